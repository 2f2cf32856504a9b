package entry_test

import (
	"fmt"
	"strings"
	"testing"
)

// Guards against a panic that undoes what stays in force after the store was restored: the
// replica is read anew then, and the copy has an older configuration and lacks the data
// centre that was taken out.
func TestPanicAfterARestorationKeepsWhatIsInForce(t *testing.T) {
	stand, store := stores(t)
	stand.SetEra(1)
	stand.Put("op/config", fmt.Appendf(nil, configuration, 3))
	o := options(t, "entry-1", store)
	translate, panics := panicsOnceAt("servers/i-2")
	o.Translate = translate
	log := startLogged(t, o)
	copied := stand.Copy()
	stand.Put("op/evacuate/far", []byte("{}"))
	stand.Put("op/config", fmt.Appendf(nil, configuration, 7))
	logged := func(text string) func() bool { return func() bool { return strings.Contains(log.String(), text) } }
	waitUntil(t, "the changes before", logged(`"Version":7`))
	stand.Restore(copied)
	waitUntil(t, "the restoration", logged("restored from an older copy"))
	v := newBackend(t, "i-2")
	stand.Put("servers/"+v.id, v.describe("ready"))
	waitUntil(t, "a panic", func() bool { return panics.Load() > 0 })
	waitUntil(t, "the server", logged(`"msg":"Server: described.","Server":"i-2"`))
	_, after, _ := strings.Cut(log.String(), "panicked")
	if strings.Contains(after, `"Version":3`) || strings.Contains(after, `"Out":[]`) {
		t.Errorf("the copy is in force:\n%s", after)
	}
}

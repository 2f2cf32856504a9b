package forwarding_test

import (
	"math/rand/v2"
	"testing"

	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
)

// Guards against another order of preference than that of the earlier search, which went
// through all servers for each class.
func TestPlacementKeepsTheOrderOfPreference(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	d := configured()
	for _, centre := range []string{near, far} {
		for n := range 6 {
			d = d.WithServer(serverOf(feedService, centre, n+1))
		}
	}
	for _, instance := range []string{"entry", "other"} {
		d = d.WithInstance(directory.Instance{Name: instance, DataCentre: near})
	}
	c := newCore(d)
	route, _ := d.Route(feedRoute)
	none, different := 0, make(map[string]bool)
	const trials = 20000
	for range trials {
		chosen, earlier := c.ComparePlacements(random, route)
		if chosen != earlier {
			t.Fatalf("server %q, earlier %q", chosen, earlier)
		}
		if chosen == "" {
			none++
		}
		different[chosen] = true
	}
	if none == 0 || none > trials/2 || len(different) < 13 {
		t.Errorf("%d of %d flows found no server, %d choices", none, trials, len(different))
	}
}

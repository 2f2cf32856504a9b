package listing_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/tanagerweir/tanagerweir/pkg/process/listing"
	"github.com/tanagerweir/tanagerweir/pkg/process/store"
)

// list is a store's list at one revision: states of entries, with their revisions.
type list struct {
	revision int64
	entries  map[string]store.Entry
}

// RangeSince returns the entries that were written at that revision or later.
func (l *list) RangeSince(_ context.Context, _ string, since int64, _ bool) (store.Changes, error) {
	c := store.Changes{Count: int64(len(l.entries)), Revision: l.revision}
	for _, e := range l.entries {
		if e.Revision >= since {
			c.Entries = append(c.Entries, e)
		}
	}
	return c, nil
}

func (l *list) put(name string, state listing.State, revision int64) {
	key := listing.Prefix + name
	l.entries[key] = store.Entry{Key: key, Value: fmt.Appendf(nil, `{"Name":%q,"State":%q}`, name, state), Revision: revision}
}

// Guards against entries that stay as they were before the store was restored from an
// older copy: their revisions are lower than those that were read already.
func TestListOfARestoredStoreIsReadAnew(t *testing.T) {
	l := &list{revision: 9, entries: make(map[string]store.Entry)}
	l.put("kept", listing.Live, 3)
	l.put("back", listing.Leaving, 8)
	f := listing.NewFollower(l)
	if _, err := f.Read(t.Context()); err != nil {
		t.Fatal(err)
	}
	// The copy was made at revision 5, and something else was written since.
	l.revision = 6
	l.put("back", listing.Live, 4)
	got, err := f.Read(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	want := []listing.Entry{{Name: "back", State: listing.Live}, {Name: "kept", State: listing.Live}}
	if d := cmp.Diff(want, got, cmp.Comparer(func(a, b listing.Entry) bool { return a.Name == b.Name && a.State == b.State })); d != "" {
		t.Error(d)
	}
}

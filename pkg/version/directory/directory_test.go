package directory_test

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
)

// TestDifferencesLeadFromOneDirectoryToTheOther guards against a server that
// Differences misses or reports without a change: it applies the differences of
// two drawn directories to the older one and compares the result with the newer.
func TestDifferencesLeadFromOneDirectoryToTheOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drawn := func(label string) directory.Directory {
			d := directory.New()
			for id, revision := range rapid.MapOf(rapid.IntRange(0, 12), rapid.Uint64Range(1, 3)).Draw(t, label) {
				d = d.WithServer(directory.Server{ID: fmt.Sprintf("i-%d", id), Revision: revision})
			}
			return d
		}
		older, newer := drawn("older"), drawn("newer")
		changed := make(map[string]*directory.Server)
		newer.Differences(older, func(before, after *directory.Server) {
			switch {
			case after == nil:
				changed[before.ID] = nil
			case before != nil && (before.ID != after.ID || before.Revision == after.Revision):
				t.Errorf("server %q at revision %d is not a changed description of server %q", after.ID, after.Revision, before.ID)
			default:
				changed[after.ID] = after
			}
		})
		if diff := cmp.Diff(newer.Servers(), older.WithServers(changed).Servers(), cmpopts.EquateComparable(netip.AddrPort{}), cmpopts.EquateEmpty()); diff != "" {
			t.Error(diff)
		}
	})
}

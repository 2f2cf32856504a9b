package replica_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/tanagerweir/tanagerweir/pkg/version/replica"
)

func change(key string, revision uint64) replica.Change {
	return replica.Change{Key: key, Value: []byte(fmt.Sprint(revision)), Revision: revision}
}

func TestCopyNeverGoesBack(t *testing.T) {
	r := replica.New()
	r.Apply(replica.Batch{Whole: true, Revision: 9, Changes: []replica.Change{change("a", 9)}})
	for _, old := range []replica.Batch{
		{Whole: true, Revision: 8, Changes: []replica.Change{change("a", 2)}},
		{After: 3, Revision: 9, Changes: []replica.Change{change("a", 4)}},
	} {
		if changed, ok := r.Apply(old); len(changed) != 0 || !ok {
			t.Errorf("changed %v, applied %v", changed, ok)
		}
	}
	if d := cmp.Diff([]replica.Change{change("a", 9)}, r.Since(replica.Position{}).Changes); d != "" {
		t.Error(d)
	}
}

func TestBatchThatLeavesAGapIsRefused(t *testing.T) {
	r := replica.New()
	if _, ok := r.Apply(replica.Batch{After: 0, Revision: 2, Changes: []replica.Change{change("a", 2)}}); ok {
		t.Error("an empty copy applied a batch that doesn't hold all keys")
	}
	r.Apply(replica.Batch{Whole: true, Revision: 5})
	if _, ok := r.Apply(replica.Batch{After: 6, Revision: 7, Changes: []replica.Change{change("a", 7)}}); ok || r.Revision() != 5 {
		t.Errorf("applied %v, revision %d", ok, r.Revision())
	}
}

func TestOverlappingBatchBringsOnlyWhatIsNew(t *testing.T) {
	r := replica.New()
	r.Apply(replica.Batch{Whole: true, Revision: 5, Changes: []replica.Change{change("a", 5)}})
	changed, ok := r.Apply(replica.Batch{After: 3, Revision: 7, Changes: []replica.Change{change("b", 4), change("a", 7)}})
	if d := cmp.Diff([]replica.Change{change("a", 7)}, changed); d != "" || !ok {
		t.Errorf("applied %v: %s", ok, d)
	}
}

func TestWholeBatchDeletesKeysThatItLacks(t *testing.T) {
	r := replica.New()
	r.Apply(replica.Batch{Whole: true, Revision: 5, Changes: []replica.Change{change("a", 5), change("b", 3)}})
	changed, _ := r.Apply(replica.Batch{Whole: true, Revision: 8, Changes: []replica.Change{change("a", 5), change("c", 8)}})
	want := []replica.Change{change("c", 8), {Key: "b", Revision: 8, Deleted: true}}
	if d := cmp.Diff(want, changed); d != "" {
		t.Error(d)
	}
}

// TestFollowerThatFetchesAtAnyTimeEqualsTheLeader guards against a change that is
// missing from a batch: a leader gets random changes, and a follower fetches at
// random times, at times so far behind that it needs a whole batch.
func TestFollowerThatFetchesAtAnyTimeEqualsTheLeader(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	leader, follower := replica.New(), replica.New()
	leader.Apply(replica.Batch{Whole: true, Revision: 1, Changes: []replica.Change{change("k0", 1)}})
	for revision := uint64(2); revision < 3000; revision++ {
		c := change(fmt.Sprintf("k%d", random.IntN(40)), revision)
		c.Deleted = random.IntN(4) == 0
		leader.Apply(replica.Batch{After: revision - 1, Revision: revision, Changes: []replica.Change{c}})
		if random.IntN(100) == 0 || revision%700 == 0 {
			if _, ok := follower.Apply(leader.Since(follower.Position())); !ok {
				t.Fatalf("revision %d: the follower can't apply the batch", revision)
			}
		}
	}
	follower.Apply(leader.Since(follower.Position()))
	if d := cmp.Diff(leader.Since(replica.Position{}), follower.Since(replica.Position{})); d != "" {
		t.Error(d)
	}
}

func TestEarlyChangeTakesEffectAndIsPassedOn(t *testing.T) {
	r, peer := replica.New(), replica.New()
	whole := replica.Batch{Whole: true, Revision: 5, Changes: []replica.Change{change("a", 5), change("b", 3)}}
	r.Apply(whole)
	peer.Apply(whole)
	early := []replica.Change{change("a", 8), {Key: "b", Revision: 9, Deleted: true}}
	for _, attempt := range []string{"first", "again"} {
		want := early
		if attempt == "again" {
			want = nil
		}
		if d := cmp.Diff(want, r.ApplyEarly(0, early)); d != "" {
			t.Errorf("%s: %s", attempt, d)
		}
	}
	if r.Revision() != 5 || r.EarlyRevision() != 9 {
		t.Errorf("revision %d, early %d", r.Revision(), r.EarlyRevision())
	}
	if changed, ok := peer.Apply(r.Since(replica.Position{Revision: 5})); len(changed) != 2 || !ok {
		t.Errorf("the peer applied %v, %v", changed, ok)
	}
	changed, ok := r.Apply(replica.Batch{After: 5, Revision: 9, Changes: []replica.Change{change("c", 6), change("a", 7), early[0], early[1]}})
	if d := cmp.Diff([]replica.Change{change("c", 6)}, changed); d != "" || !ok || r.EarlyRevision() != 0 {
		t.Errorf("applied %v, early %d: %s", ok, r.EarlyRevision(), d)
	}
}

func TestWholeBatchKeepsLaterEarlyChanges(t *testing.T) {
	r := replica.New()
	r.Apply(replica.Batch{Whole: true, Revision: 5, Changes: []replica.Change{change("a", 5), change("b", 3)}})
	r.ApplyEarly(0, []replica.Change{change("new", 9), {Key: "b", Revision: 10, Deleted: true}})
	r.Apply(replica.Batch{Whole: true, Revision: 7, Changes: []replica.Change{change("a", 7), change("b", 3)}})
	want := []replica.Change{change("a", 7), change("new", 9), {Key: "b", Revision: 10, Deleted: true}}
	if d := cmp.Diff(want, r.Since(replica.Position{}).Changes); d != "" {
		t.Error(d)
	}
}

// changesSince returns the changes of a history after a revision to keys that begin with
// the prefix.
func changesSince(history []replica.Change, revision uint64, prefix string) []replica.Change {
	var changes []replica.Change
	for _, c := range history {
		if c.Revision > revision && strings.HasPrefix(c.Key, prefix) {
			changes = append(changes, c)
		}
	}
	return changes
}

// TestEarlyChangesLoseAndRevertNothing guards against a key that misses a change or goes
// back: two replicas that fetch from each other get the changes of one store, of
// some keys early, in batches and as whole.
func TestEarlyChangesLoseAndRevertNothing(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 1))
		var history []replica.Change
		store := replica.New()
		store.Apply(replica.Batch{Whole: true, Revision: 1, Changes: []replica.Change{change("k0", 1)}})
		copies := []*replica.Replica{replica.New(), replica.New()}
		copies[0].Apply(store.Since(replica.Position{}))
		copies[1].Apply(store.Since(replica.Position{}))
		latest := []map[string]uint64{{}, {}}
		note := func(n int, changed []replica.Change) {
			for _, c := range changed {
				if c.Revision <= latest[n][c.Key] && !c.Deleted {
					t.Fatalf("seed %d: copy %d goes back to revision %d of %q, from %d", seed, n, c.Revision, c.Key, latest[n][c.Key])
				}
				latest[n][c.Key] = max(latest[n][c.Key], c.Revision)
			}
		}
		since := func(revision uint64, prefix string) []replica.Change { return changesSince(history, revision, prefix) }
		for revision := uint64(2); revision < 600; revision++ {
			c := change(fmt.Sprintf("k%d", random.IntN(12)), revision)
			c.Deleted = random.IntN(4) == 0
			history = append(history, c)
			store.Apply(replica.Batch{After: revision - 1, Revision: revision, Changes: []replica.Change{c}})
			n := random.IntN(2)
			switch own := copies[n].Revision(); random.IntN(12) {
			case 0:
				note(n, copies[n].ApplyEarly(0, since(own, fmt.Sprintf("k%d", random.IntN(3)))))
			case 1:
				changed, _ := copies[n].Apply(replica.Batch{After: own, Revision: revision, Changes: since(own, "")})
				note(n, changed)
			case 2:
				changed, _ := copies[n].Apply(copies[1-n].Since(replica.Position{Revision: own}))
				note(n, changed)
			case 3:
				changed, _ := copies[n].Apply(store.Since(replica.Position{}))
				note(n, changed)
			}
		}
		for n, r := range copies {
			r.Apply(replica.Batch{After: r.Revision(), Revision: 600, Changes: since(r.Revision(), "")})
			if d := cmp.Diff(store.Since(replica.Position{}).Changes, r.Since(replica.Position{}).Changes); d != "" {
				t.Fatalf("seed %d, copy %d: %s", seed, n, d)
			}
		}
	}
}

// Guards against changes of large keys that are kept by their number alone: 256 versions of a
// configuration of 1 MB took all memory of an instance.
func TestChangesForPeersAreNoLargerThanAllKeys(t *testing.T) {
	r := replica.New()
	size := func(b replica.Batch) int {
		total := 0
		for _, c := range b.Changes {
			total += len(c.Value)
		}
		return total
	}
	const large, small = 1 << 20, 100
	r.Apply(replica.Batch{Whole: true, Revision: 1, Changes: []replica.Change{
		{Key: "configuration", Value: make([]byte, large), Revision: 1}, {Key: "server", Value: make([]byte, small), Revision: 1},
	}})
	for revision := uint64(2); revision < 300; revision++ {
		c := replica.Change{Key: "configuration", Value: make([]byte, large), Revision: revision}
		if revision%2 == 0 {
			c = replica.Change{Key: "server", Value: make([]byte, small), Revision: revision}
		}
		r.Apply(replica.Batch{After: revision - 1, Revision: revision, Changes: []replica.Change{c}})
		for p := uint64(1); p <= revision; p++ {
			b := r.Since(replica.Position{Revision: p})
			if got := size(b); got > large+200*small {
				t.Fatalf("at revision %d, %d bytes for a peer at %d", revision, got, p)
			}
			if p == revision-1 && b.Whole && c.Key == "server" {
				t.Fatalf("at revision %d all keys for a peer that lacks a small change", revision)
			}
		}
	}
}

package replica_test

import (
	"fmt"
	"math/rand/v2"
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
	if d := cmp.Diff([]replica.Change{change("a", 9)}, r.Since(0).Changes); d != "" {
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
			if _, ok := follower.Apply(leader.Since(follower.Revision())); !ok {
				t.Fatalf("revision %d: the follower can't apply the batch", revision)
			}
		}
	}
	follower.Apply(leader.Since(follower.Revision()))
	if d := cmp.Diff(leader.Since(0), follower.Since(0)); d != "" {
		t.Error(d)
	}
}

package replica_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/tanagerweir/tanagerweir/pkg/version/replica"
)

// inEra returns a change in era 2, as a replica returns it.
func inEra(c replica.Change) replica.Change {
	c.Era = 2
	return c
}

func written(key, value string, revision uint64) replica.Change {
	return replica.Change{Key: key, Value: []byte(value), Revision: revision}
}

// Guards against a replica that takes a restored store's lower revision for an outdated
// one and keeps content that no longer changes.
func TestWholeBatchOfANewerEraReplacesAHigherRevision(t *testing.T) {
	r := replica.New()
	r.Apply(replica.Batch{Whole: true, Era: 1, Revision: 90, Changes: []replica.Change{written("a", "1", 80), written("b", "1", 70), written("c", "1", 60)}})
	changed, ok := r.Apply(replica.Batch{Whole: true, Era: 2, Revision: 65, Changes: []replica.Change{written("a", "1", 65), written("b", "2", 50), written("d", "1", 64)}})
	want := []replica.Change{
		inEra(written("b", "2", 50)), inEra(written("d", "1", 64)), {Key: "c", Revision: 65, Deleted: true, Era: 2},
	}
	if d := cmp.Diff(want, changed); d != "" || !ok {
		t.Errorf("applied %v: %s", ok, d)
	}
	if d := cmp.Diff(replica.Position{Era: 2, Revision: 65}, r.Position()); d != "" {
		t.Error(d)
	}
}

// Guards against a malformed batch that leaves a replica with keys and without a revision: the
// store's revisions begin above 0.
func TestBatchOfANewerEraWithoutARevisionIsRefused(t *testing.T) {
	r := replica.New()
	r.Apply(replica.Batch{Whole: true, Era: 1, Revision: 8})
	if changed, ok := r.Apply(replica.Batch{Whole: true, Era: 48, Changes: []replica.Change{written("a", "1", 0)}}); ok || len(changed) > 0 {
		t.Errorf("applied %v: %v", ok, changed)
	}
	if d := cmp.Diff(replica.Position{Era: 1, Revision: 8}, r.Position()); d != "" {
		t.Error(d)
	}
}

// Guards against changes that are applied to keys of another era, or to an era that the
// replica has left: neither may change a key, nor count as applied.
func TestOnlyWholeBatchesOfANewerEraAreApplied(t *testing.T) {
	for name, b := range map[string]replica.Batch{
		"changes of a newer era":       {Era: 3, After: 4, Revision: 9, Changes: []replica.Change{written("a", "x", 9)}},
		"all keys of an older era":     {Era: 1, Whole: true, Revision: 90, Changes: []replica.Change{written("a", "x", 90)}},
		"changes of an older era":      {Era: 1, After: 4, Revision: 90, Changes: []replica.Change{written("a", "x", 90)}},
		"all keys of an unknown era":   {Whole: true, Revision: 90, Changes: []replica.Change{written("a", "x", 90)}},
		"early ones of an older era":   {Era: 1, After: 4, Revision: 5, Changes: []replica.Change{written("a", "x", 90)}},
		"early ones of a newer era":    {Era: 3, After: 4, Revision: 5, Changes: []replica.Change{written("a", "x", 90)}},
		"early ones of an unknown one": {After: 4, Revision: 5, Changes: []replica.Change{written("a", "x", 90)}},
	} {
		r := replica.New()
		r.Apply(replica.Batch{Whole: true, Era: 2, Revision: 5, Changes: []replica.Change{written("a", "1", 5)}})
		if changed, ok := r.Apply(b); ok || len(changed) != 0 {
			t.Errorf("%s: applied %v, changed %v", name, ok, changed)
		}
		if changed := r.ApplyEarly(b.Era, b.Changes); len(changed) != 0 {
			t.Errorf("%s: early %v", name, changed)
		}
		if d := cmp.Diff(replica.Position{Era: 2, Revision: 5}, r.Position()); d != "" {
			t.Errorf("%s: %s", name, d)
		}
	}
}

// Guards against a peer of an older era that is sent only changes, which it can't apply,
// and against one with a higher revision of that era that is sent nothing.
func TestPeerOfAnotherEraIsSentAllKeys(t *testing.T) {
	r := replica.New()
	r.Apply(replica.Batch{Whole: true, Era: 2, Revision: 5, Changes: []replica.Change{written("a", "1", 5)}})
	r.Apply(replica.Batch{Era: 2, After: 5, Revision: 6, Changes: []replica.Change{written("b", "1", 6)}})
	for _, p := range []replica.Position{{Era: 1, Revision: 5}, {Era: 1, Revision: 90}, {Revision: 6}, {Era: 3, Revision: 6}} {
		if b := r.Since(p); !b.Whole || b.Era != 2 || len(b.Changes) != 2 {
			t.Errorf("from %+v: %+v", p, b)
		}
	}
	if b := r.Since(replica.Position{Era: 2, Revision: 5}); b.Whole || b.Era != 2 || len(b.Changes) != 1 {
		t.Errorf("from the same era: %+v", b)
	}
}

// Guards against early changes of the era before that survive a restoration, and against
// early changes that arrive with the first batch of the new era and are lost.
func TestEarlyChangesOfAnEraEndWithIt(t *testing.T) {
	r := replica.New()
	r.Apply(replica.Batch{Whole: true, Era: 1, Revision: 5, Changes: []replica.Change{written("a", "1", 5), written("b", "1", 4)}})
	r.ApplyEarly(1, []replica.Change{written("a", "early", 20)})
	changed, _ := r.Apply(replica.Batch{Whole: true, Era: 2, Revision: 5, Changes: []replica.Change{
		written("a", "1", 5), written("c", "early", 8), {Key: "b", Revision: 9, Deleted: true}, {Key: "unknown", Revision: 7, Deleted: true},
	}})
	want := []replica.Change{inEra(written("a", "1", 5)), inEra(written("c", "early", 8)), {Key: "b", Revision: 9, Deleted: true, Era: 2}}
	if d := cmp.Diff(want, changed); d != "" || r.EarlyRevision() != 9 {
		t.Errorf("early revision %d: %s", r.EarlyRevision(), d)
	}
	if changed := r.ApplyEarly(2, []replica.Change{written("a", "2", 6)}); len(changed) != 1 {
		t.Errorf("a change at a revision below the earlier era's early one: %v", changed)
	}
}

// Guards against a replica that diverges from a store which is restored at random times,
// while two replicas read from it and from each other.
func TestReplicasFollowAStoreThatIsRestored(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 2))
		store := replica.New()
		store.Apply(replica.Batch{Whole: true, Era: 1, Revision: 1, Changes: []replica.Change{written("k0", "0", 1)}})
		copied := store.Since(replica.Position{})
		replicas := []*replica.Replica{replica.New(), replica.New()}
		for n := range 600 {
			p := store.Position()
			c := written(fmt.Sprintf("k%d", random.IntN(8)), fmt.Sprint(n), p.Revision+1)
			c.Deleted = random.IntN(4) == 0
			store.Apply(replica.Batch{Era: p.Era, After: p.Revision, Revision: p.Revision + 1, Changes: []replica.Change{c}})
			switch random.IntN(40) {
			case 0:
				copied = store.Since(replica.Position{})
			case 1:
				copied.Era = p.Era + 1
				store.Apply(copied)
			}
			reader := random.IntN(2)
			source := []*replica.Replica{store, replicas[1-reader]}[random.IntN(2)]
			before := replicas[reader].Position()
			_, ok := replicas[reader].Apply(source.Since(before))
			if after := replicas[reader].Position(); after.Compare(before) < 0 || ok && after.Compare(source.Position()) < 0 {
				t.Fatalf("seed %d: from %+v to %+v, source at %+v", seed, before, after, source.Position())
			}
		}
		for _, r := range replicas {
			r.Apply(store.Since(r.Position()))
			if d := cmp.Diff(store.Since(replica.Position{}), r.Since(replica.Position{})); d != "" {
				t.Fatalf("seed %d: %s", seed, d)
			}
		}
	}
}

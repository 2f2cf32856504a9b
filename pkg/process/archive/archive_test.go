package archive_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/tanagerweir/tanagerweir/pkg/process/archive"
	"github.com/tanagerweir/tanagerweir/pkg/request/budget"
)

var start = time.Date(2026, 10, 1, 22, 0, 0, 0, time.UTC)

// platform holds the kept hour of each shard, as compare-and-swap leaves it.
type platform map[int]archive.Hour

func (p platform) add(h archive.Hour) {
	for shard := range archive.Shards {
		part := h.Shard(shard)
		if len(part.Classes) > 0 {
			kept := p[shard]
			kept.Start = h.Start
			p[shard] = kept.Plus(part)
		}
	}
}

func (p platform) kept() []archive.KeptShard {
	var shards []archive.KeptShard
	for shard, h := range p {
		shards = append(shards, archive.KeptShard{Hour: h, Shard: shard})
	}
	return shards
}

// Instances add their hour in any order, again after a lost answer, or not at
// all. The merged report must have exactly what was counted.
func TestNothingCountsTwiceOrIsLost(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		kept := platform{}
		var held []archive.Hour
		wanted := make(map[string]uint64)
		for n := range rapid.IntRange(1, 5).Draw(r, "instances") {
			core := archive.New(string(rune('a'+n)), 1)
			for _, class := range []string{"feed", "sign-off", "upload"} {
				count := rapid.Uint64Range(0, 9).Draw(r, "count")
				wanted[class] += count
				counters := budget.NewCounters()
				counters.Add(start.Add(time.Minute), class, budget.Good, count)
				core.Fold(start.Add(2*time.Minute), class, counters.Series(class), nil)
				core.Fold(start.Add(3*time.Minute), class, counters.Series(class), nil)
			}
			for range rapid.IntRange(0, 2).Draw(r, "times added") {
				for _, h := range core.Unadded() {
					kept.add(h)
				}
			}
			if rapid.Bool().Draw(r, "alive") || len(kept) == 0 {
				held = append(held, core.Hours()...)
				continue
			}
			for _, h := range core.Unadded() {
				kept.add(h)
			}
		}
		got := make(map[string]uint64)
		for class, s := range archive.Merge(kept.kept(), held) {
			got[class], _ = s.Requests.Served(start.Add(time.Hour), 2*time.Hour)
		}
		for class, n := range wanted {
			if got[class] != n {
				r.Errorf("%s: %d counted, %d reported", class, n, got[class])
			}
		}
	})
}

func TestAnHourIsDueOnceItIsOver(t *testing.T) {
	core := archive.New("entry-1", 1)
	counters := budget.NewCounters()
	counters.Record(start.Add(time.Minute), "feed", budget.Good)
	core.Fold(start.Add(5*time.Minute), "feed", counters.Series("feed"), counters.Series("feed"))
	if early := core.Due(start.Add(archive.HourLength)); len(early) > 0 {
		t.Errorf("the hour is due before its last counts are folded: %v", early)
	}
	late := start.Add(archive.HourLength + archive.SpreadTime + time.Minute)
	one := map[budget.Cause]uint64{budget.Good: 1}
	wanted := []archive.Hour{{
		Start:        start,
		Classes:      map[string]archive.Totals{"feed": {Requests: one, Flows: one}},
		Contributors: []string{"entry-1/1"},
	}}
	if diff := cmp.Diff(wanted, core.Due(late)); diff != "" {
		t.Errorf("due (-want +got):\n%s", diff)
	}
	core.Added(start)
	if again := core.Due(late); len(again) > 0 {
		t.Errorf("an added hour is due again: %v", again)
	}
}

package emulation_test

import (
	"testing"

	"github.com/tanagerweir/tanagerweir/pkg/connection/mechanism"
	"github.com/tanagerweir/tanagerweir/pkg/emulation"
	"github.com/tanagerweir/tanagerweir/pkg/emulation/day"
)

// onTime returns the part of a class's requests that were answered on time.
func onTime(r emulation.Result, class string) float64 {
	for _, c := range r.Classes {
		if c.Name == class {
			return float64(c.OnTime) / float64(max(c.Asked, 1))
		}
	}
	return 0
}

// Guards against an upgrade amid a crowd in which instances that decide differently serve callers
// worse than either way alone. Without admission, an instance leaves the servers' queues to all.
func TestMixedDecisionsAreNoWorseThanTheWorseOfBoth(t *testing.T) {
	d := load(t, "regressions/crowd")
	for _, off := range []mechanism.Set{
		mechanism.Set(0).With(mechanism.ClassOrder),
		mechanism.Set(0).With(mechanism.CrowdOnset).With(mechanism.DelayCorrection),
	} {
		t.Run(off.String(), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seedsPerDay) {
				play := func(p day.Policy) emulation.Result {
					return runDay(t, d.WithPolicy(p), emulation.Options{Seed: seed + 1})
				}
				newer, older, mixed := play(day.Policy{}), play(day.Policy{Off: off}), play(day.Policy{Off: off, Part: 0.5})
				urgent := func(r emulation.Result) float64 { return onTime(r, "step-signoff") }
				if urgent(mixed) < min(urgent(newer), urgent(older)) || mixed.Worth < min(newer.Worth, older.Worth) {
					t.Errorf("seed %d: urgent on time %.4f, worth %.4f; newer %.4f, %.4f; older %.4f, %.4f",
						seed+1, urgent(mixed), mixed.Worth, urgent(newer), newer.Worth, urgent(older), older.Worth)
				}
				t.Logf("seed %d: urgent on time %.4f, worth %.4f; newer %.4f, %.4f; older %.4f, %.4f",
					seed+1, urgent(mixed), mixed.Worth, urgent(newer), newer.Worth, urgent(older), older.Worth)
				if mixed.Broken > 0 {
					t.Errorf("seed %d: %v", seed+1, mixed.Breaches)
				}
			}
		})
	}
}

package emulation_test

import (
	"testing"

	"github.com/tanagerweir/tanagerweir/pkg/emulation"
	"github.com/tanagerweir/tanagerweir/pkg/emulation/day"
)

// Guards against urgent requests that are lost among others in a crowd: nearly all of the
// day's have to be served, and more of all on time than without admission.
func TestUrgentRequestsAreServedInACrowd(t *testing.T) {
	t.Parallel()
	d, err := day.Load(examples + "regressions/crowd.ini")
	if err != nil {
		t.Fatal(err)
	}
	for seed := range uint64(seedsPerDay) {
		with := runDay(t, d, emulation.Options{Seed: seed + 1})
		without := runDay(t, d, emulation.Options{Seed: seed + 1, WithoutAdmission: true})
		for _, c := range with.Classes {
			if c.Name == "step-signoff" && float64(c.Served) < 0.97*float64(c.Asked) {
				t.Errorf("seed %d: %d of %d urgent requests served", seed+1, c.Served, c.Asked)
			}
		}
		if with.All.OnTime <= without.All.OnTime {
			t.Errorf("seed %d: %d of %d requests on time, without admission %d", seed+1, with.All.OnTime, with.All.Asked, without.All.OnTime)
		}
		t.Logf("seed %d: worth %.4f, without admission %.4f; classes %v, without admission %v", seed+1, with.Worth, without.Worth, with.Classes, without.Classes)
	}
}

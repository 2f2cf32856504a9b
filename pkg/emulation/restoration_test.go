package emulation_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/emulation"
	"github.com/tanagerweir/tanagerweir/pkg/emulation/day"
)

// Guards against a burst of writes: after a restoration, each instance of the largest fleet
// registers again with two writes, and the store takes 1,200 a second.
func TestLargestFleetRegistersAgainWithinTheStoresLimit(t *testing.T) {
	t.Parallel()
	const perCentre, maxWrites = 98, 1200
	d := load(t, "fleet")
	d.Store.Eras, d.Warmup, d.Length = true, 5*time.Second, 4*time.Second
	for n := range d.DataCentres {
		d.DataCentres[n].Instances, d.DataCentres[n].Requests = perCentre, 10
	}
	for n := range d.Classes {
		d.Classes[n].Budget = time.Second // the day lasts for the longest budget beyond its length
	}
	for n := range d.Services {
		d.Services[n].Servers = []int{2, 2, 2, 2, 2}
	}
	instances := perCentre * len(d.DataCentres)
	var log bytes.Buffer
	r := runDay(t, d.WithFaults([]day.Fault{{Name: "restored", Kind: day.StoreRestored, At: time.Second, For: 5 * time.Second}}), emulation.Options{Seed: 1, Log: &log})
	registered := 0
	for line := range strings.Lines(log.String()) {
		if strings.Contains(line, "Registrar: registered.") && strings.Contains(line, `"Era":2`) {
			registered++
		}
	}
	if registered != instances {
		t.Errorf("%d of %d instances registered again", registered, instances)
	}
	if r.BusiestWrites > maxWrites {
		t.Errorf("%d writes in a second", r.BusiestWrites)
	}
	t.Logf("%d instances, %d writes in the busiest second", instances, r.BusiestWrites)
}

// restoredDays is how many days with a store that is restored are drawn for each
// deployment.
const restoredDays = 12

// Guards against promises that a restoration breaks beside other faults.
func TestDrawnDaysWithARestoredStore(t *testing.T) {
	for _, name := range []string{"dakar", "five-centres", "pince-kelet"} {
		d := load(t, name)
		d.Store.Eras = true
		drawn := 0
		for seed := uint64(1); drawn < restoredDays; seed++ {
			faults := day.DrawFaults(d, seed)
			if !restores(faults) {
				continue
			}
			drawn++
			t.Run(fmt.Sprintf("%s/seed=%d", name, seed), func(t *testing.T) {
				t.Parallel()
				requireNoBreach(t, d.WithFaults(faults), seed, " --drawn examples/emulation/"+name+"-restored.ini")
			})
		}
	}
}

func restores(faults []day.Fault) bool {
	for _, f := range faults {
		if f.Kind == day.StoreRestored {
			return true
		}
	}
	return false
}

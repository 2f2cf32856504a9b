package configuration_test

import (
	"fmt"
	"testing"

	"github.com/tanagerweir/tanagerweir/pkg/bench/configuration"
)

// TestChangeIsInForceEverywhereWithinFiveSecondsAndNeverBack guards against
// changes that propagate too slowly, are lost or are reverted. It injects each
// failure of the platform and of instances around changes.
func TestChangeIsInForceEverywhereWithinFiveSecondsAndNeverBack(t *testing.T) {
	for _, size := range []struct{ instances, dataCentres int }{{9, 3}, {36, 9}} {
		for seed := uint64(1); seed <= 4; seed++ {
			t.Run(fmt.Sprintf("%d instances, seed %d", size.instances, seed), func(t *testing.T) {
				rows, err := configuration.RunFaults(t.Context(), seed, size.instances, size.dataCentres)
				if err != nil {
					t.Fatal(err)
				}
				for _, r := range rows {
					if !r.Holds {
						t.Errorf("%s is %g %s, the bound is %g", r.Measure, r.Value, r.Unit, *r.Bound)
					}
				}
			})
		}
	}
}

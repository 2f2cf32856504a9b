package requests_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/tanagerweir/tanagerweir/pkg/bench"
	"github.com/tanagerweir/tanagerweir/pkg/bench/requests"
)

// TestStatedBoundsHold guards against a design that misses a bound that users
// stated, under overload, while servers shed or are cold, and for keys under all
// faults at once. It also guards against rows that lose their bound.
func TestStatedBoundsHold(t *testing.T) {
	bounds := 0
	for _, row := range requests.Decisions(bench.Tanagerweir, 1) {
		if row.Bound != nil {
			bounds++
		}
		if !row.Holds {
			t.Errorf("%s is %g, the bound is %g", row.Measure, row.Value, *row.Bound)
		}
	}
	if diff := cmp.Diff(6, bounds); diff != "" {
		t.Errorf("rows with a bound (-want +got):\n%s", diff)
	}
}

// TestKeysRunAtMostOnceUnderAllFaults guards against keys that run twice and
// against false answers. It submits keys to instances that die, pause and restart
// while the platform is down, slow or loses answers.
func TestKeysRunAtMostOnceUnderAllFaults(t *testing.T) {
	for seed := range uint64(5) {
		for _, row := range requests.Keys(bench.Tanagerweir, seed) {
			if !row.Holds {
				t.Errorf("seed %d: %s is %g", seed, row.Measure, row.Value)
			}
		}
	}
}

// TestRetriesWithoutClaimsRunTwice guards against faults that cause no harm, with
// which the test above would prove nothing: without claims, requests of the same
// callers run twice.
func TestRetriesWithoutClaimsRunTwice(t *testing.T) {
	for _, row := range requests.Keys("RoundRobin", 1) {
		if row.Measure == "DoubleRuns" && row.Holds {
			t.Error("no request ran twice without claims")
		}
	}
}

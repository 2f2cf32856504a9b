package flow_test

import (
	"slices"
	"testing"

	"github.com/tanagerweir/tanagerweir/pkg/bench/flows"
	"github.com/tanagerweir/tanagerweir/pkg/connection/flow"
)

// graceSteps is the default grace period of a planned stop, in steps of a fleet.
const graceSteps = 30

// quiet is no traffic, so that few instances have seen a packet of a new flow.
var quiet = flows.Traffic{}

// TestInstancesEndOnceHandedOver guards against flows that break since an instance
// ends before its records are copied. Six of nine instances leave at once, and each
// stops as soon as HandedOver allows it. A backend server is leaving, so that they
// own flows on disputed buckets. The cache has its full size, so that copying takes
// several ticks.
func TestInstancesEndOnceHandedOver(t *testing.T) {
	f := flows.NewFleet(flows.Config{Seed: 11, NewDesign: flows.Tanagerweir(flow.Options{RetireAfter: retire})})
	f.Open(openFlows)
	f.Run(5, busy)
	f.Change(leaving("board", 3))
	f.Run(8, quiet)
	f.Open(4 * openFlows)
	ending := slices.Clone(f.Nodes[:6])
	for _, node := range ending {
		if node.Design.(*flow.Core).HandedOver() {
			t.Error("HandedOver is true for an instance that isn't leaving")
		}
		node.Leaving = true
	}
	for steps := 0; len(ending) > 0; steps++ {
		if steps > graceSteps {
			t.Fatalf("%d instances have not handed over after %d s", len(ending), graceSteps)
		}
		f.Run(1, quiet)
		ending = slices.DeleteFunc(ending, func(n *flows.Node) bool {
			done := n.Design.(*flow.Core).HandedOver()
			if done {
				f.Kill(n)
			}
			return done
		})
	}
	f.Run(60, busy)
	wantNoneBroken(t, f)
}

package flows

import (
	"math"

	"github.com/tanagerweir/tanagerweir/pkg/bench"
	"github.com/tanagerweir/tanagerweir/pkg/connection/flow"
)

// Flows and packets in the measurement of silent flows.
const (
	silentFlows   = 2_000 // of each kind: dead, idle and lossy
	silentSeconds = 240
	segmentLength = 200  // bytes of payload of a TCP segment
	probePeriod   = 30   // seconds between keep-alive probes
	lossShare     = 0.05 // of segments
)

// silent measures how many dead flows are detected within four minutes, and how
// many healthy ones are moved away from their backend server. A dead flow
// retransmits one segment at doubled intervals. A healthy one is idle except for
// keep-alive probes, or sends segments of which some are lost and retransmitted.
func (m *measurement) silent() {
	f := NewFleet(Config{Seed: m.seed, NewDesign: m.newDesign})
	f.Open(silentFlows * 3)
	dead, idle, lossy := f.Flows[:silentFlows], f.Flows[silentFlows:2*silentFlows], f.Flows[2*silentFlows:]
	detected := make(map[*Flow]bool)
	healthyMoved := 0
	for second := range silentSeconds {
		f.advance()
		for i, w := range dead {
			if !detected[w] && resends(second, i) && f.moved(w, flow.Packet{Key: w.Key, Sequence: 7, Length: segmentLength}) {
				detected[w] = true
			}
		}
		for i, w := range idle {
			if (second+i)%probePeriod == 0 && f.moved(w, flow.Packet{Key: w.Key, Sequence: 6, Length: 1}) {
				healthyMoved++
			}
		}
		for _, w := range lossy {
			p := flow.Packet{Key: w.Key, Sequence: uint32(second) * segmentLength, Length: segmentLength}
			if f.moved(w, p) || f.random.Float64() < lossShare && f.moved(w, p) {
				healthyMoved++
			}
		}
	}
	m.add(
		bench.Measured(m.design, "SilentFlowsMissed", 1-share(len(detected), silentFlows), "share"),
		bench.AtMost(m.design, "HealthyFlowsCut", float64(healthyMoved), "flows", 0),
	)
}

// resends reports whether a dead flow retransmits in that second: 0, 1, 3, 7, 15
// and so on seconds after it began, which is distributed over the first 8 seconds.
func resends(second, flow int) bool {
	age := second - flow%8
	return age >= 0 && math.Log2(float64(age+1)) == math.Trunc(math.Log2(float64(age+1)))
}

// moved sends a packet to an instance chosen at random and reports whether it was
// forwarded to a backend server other than the flow's own.
func (f *Fleet) moved(w *Flow, p flow.Packet) bool {
	n := f.alive[f.random.IntN(len(f.alive))]
	d := n.Design.Decide(f.Now(), p)
	return d.Action == flow.Forward && d.Backend.Name != w.Backend
}

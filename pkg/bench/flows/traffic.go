package flows

import (
	"net/netip"

	"github.com/tanagerweir/tanagerweir/pkg/connection/flow"
	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
)

// Traffic is what callers send in each step.
type Traffic struct {
	// New is the number of flows that are opened and end after a few steps.
	New int
	// Packets is the number of packets on open flows, which are drawn at random.
	Packets int
	// Idle is the share of flows, counted from the oldest, that send nothing.
	Idle float64
}

// Open opens that many flows that don't end, to services drawn at random in
// proportion to their backend servers.
func (f *Fleet) Open(count int) {
	for range count {
		w := f.newFlow()
		f.send(w, flow.Packet{Key: w.Key, Starts: true})
	}
}

// newFlow adds a flow with a source address of its own, and sends nothing yet.
func (f *Fleet) newFlow() *Flow {
	f.flowNumber++
	backends := f.current.Backends()
	s, _ := f.current.Service(backends[f.random.IntN(len(backends))].Service)
	source := netip.AddrFrom4([4]byte{198, 18 + byte(f.flowNumber>>28), byte(f.flowNumber >> 20), byte(f.flowNumber >> 12)})
	key := flow.Key{
		Protocol: catalogue.TCP, Destination: s.Address,
		Source: netip.AddrPortFrom(source, 10_000+uint16(f.flowNumber&0xfff)),
	}
	w := &Flow{Key: key, Service: s.Name}
	f.Flows = append(f.Flows, w)
	return w
}

// Run advances that many steps with the same traffic in each.
func (f *Fleet) Run(steps int, t Traffic) {
	for range steps {
		f.advance()
		f.retry()
		lasting := len(f.Flows)
		idle := int(float64(lasting) * t.Idle)
		f.sendOnBriefFlows()
		for range t.New {
			f.openBrief()
		}
		for range t.Packets {
			w := f.Flows[idle+f.random.IntN(lasting-idle)]
			f.sendOnFlow(w)
		}
	}
}

// openBrief opens a flow that ends after briefFlowSteps and isn't in Flows.
func (f *Fleet) openBrief() {
	w := f.newFlow()
	f.Flows = f.Flows[:len(f.Flows)-1]
	f.send(w, flow.Packet{Key: w.Key, Starts: true})
	if w.Backend == "" {
		return // no server answered; its caller would try again later
	}
	f.briefFlows = append(f.briefFlows, w)
}

// sendOnBriefFlows sends one packet on each brief flow, the last one on those that
// end now.
func (f *Fleet) sendOnBriefFlows() {
	kept := f.briefFlows[:0]
	for _, w := range f.briefFlows {
		last := f.step-w.begunAt >= briefFlowSteps
		f.send(w, flow.Packet{Key: w.Key, Ends: last})
		if !last && !w.Broken {
			kept = append(kept, w)
		}
	}
	f.briefFlows = kept
}

// sendOnFlow sends a packet on a flow that is open and waits for no answer.
func (f *Fleet) sendOnFlow(w *Flow) {
	if w.Broken || w.GivenUp || w.Ended || w.unansweredSteps > 0 {
		return
	}
	f.send(w, flow.Packet{Key: w.Key, Starts: w.Backend == ""})
}

// SendOnEveryFlow sends one packet on every open flow that waits for no answer.
func (f *Fleet) SendOnEveryFlow() {
	for _, w := range f.Flows {
		f.sendOnFlow(w)
	}
}

// retry retransmits on every open flow whose last packet got no answer.
func (f *Fleet) retry() {
	for _, w := range f.Flows {
		if w.unansweredSteps == 0 || w.Broken || w.GivenUp || w.Ended {
			continue
		}
		f.send(w, flow.Packet{Key: w.Key, Starts: w.Backend == ""})
	}
}

// send hands a packet to an instance chosen at random, and takes it along its way
// to a backend server or until it is dropped.
func (f *Fleet) send(w *Flow, p flow.Packet) {
	f.tally.Packets++
	n := f.alive[f.random.IntN(len(f.alive))]
	d := n.Design.Decide(f.Now(), p)
	if d.Action == flow.Pass {
		f.tally.Passed++
		p.Passed = true
		to, ok := f.byName[d.Owner]
		if !ok || to.dead || to.Partition != n.Partition {
			f.recordUnanswered(w)
			return
		}
		d = to.Design.Decide(f.Now(), p)
	}
	if d.Action != flow.Forward {
		f.recordUnanswered(w)
		return
	}
	f.receiveAtServer(w, p, d)
}

// recordUnanswered counts a dropped packet, and loses the flow after too many in a
// row.
func (f *Fleet) recordUnanswered(w *Flow) {
	f.tally.Dropped++
	w.unansweredSteps++
	if w.unansweredSteps > brokenAfterSteps && w.Backend != "" {
		f.loseFlow(w)
	}
}

// receiveAtServer is what a backend server does with a packet: it accepts new flows,
// and resets flows that began at another server.
func (f *Fleet) receiveAtServer(w *Flow, p flow.Packet, d flow.Decision) {
	w.unansweredSteps = 0
	f.LastPacket[d.Backend.Name] = f.Now()
	if d.Backend.Service != w.Service {
		f.tally.Misrouted++
	}
	if p.Starts && w.Backend == "" {
		w.Backend = d.Backend.Name
		w.begunAt = f.step
		f.Begun[w.Backend]++
	}
	if w.Backend != d.Backend.Name {
		f.loseFlow(w)
	}
	if p.Ends {
		w.Ended = true
	}
}

// loseFlow ends a flow. It counts as given up if its backend server is gone or its
// data centre has been out since it began, as broken otherwise.
func (f *Fleet) loseFlow(w *Flow) {
	if w.Broken || w.GivenUp {
		return
	}
	b, ok := f.current.Backend(w.Backend)
	if outStep, wasOut := f.lastOutStep[b.DataCentre]; !ok || wasOut && w.begunAt <= outStep {
		w.GivenUp = true
		f.tally.GivenUp++
		return
	}
	w.Broken = true
	f.tally.Broken++
}

// Tanagerweir returns the constructor of this project's own design. Its argument
// is the name of the instance.
func Tanagerweir(o flow.Options) func(string) Design {
	return func(name string) Design { return flow.New(name, o) }
}

package trial

import (
	"net/netip"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/connection/flow"
	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
)

const (
	packetPeriod   = 700 * time.Millisecond
	maxSilence     = 6 * time.Second // a flow without a delivered packet for longer is broken
	blackholeOneIn = 20              // one flow in this many is blackholed
)

// Flow is one connection of a caller. It sends a packet every packetPeriod
// until it is broken or given up.
type Flow struct {
	number  int
	key     flow.Key
	service string
	// home is the backend server that its first packet reached, nil before.
	home   *Backend
	opened time.Time
	// lastArrival is when the last packet reached home.
	lastArrival time.Time
	// givenUpReason says why the promise leaves the flow out. It is empty while
	// the flow counts.
	givenUpReason string
	broken        bool
}

// OpenFlows opens as many flows as each says for every service, at random times
// within the given duration from now.
func (t *Trial) OpenFlows(each int, over time.Duration) {
	for n := range t.plan.Services {
		for range each {
			t.after(time.Duration(t.random.Int64N(int64(over)+1)), func() { t.openFlow(n) })
		}
	}
}

func (t *Trial) openFlow(service int) {
	number := len(t.flows)
	f := &Flow{
		number:  number,
		service: t.plan.Services[service].Name,
		opened:  t.now,
		key: flow.Key{
			Protocol: catalogue.TCP,
			Source: netip.AddrPortFrom(
				netip.AddrFrom4([4]byte{198, 51, byte(number >> 8), byte(number)}), uint16(t.random.IntN(60_000)+1_024)),
			Destination: serviceAddress(service),
		},
	}
	t.flows = append(t.flows, f)
	t.sendPacket(f)
	t.every(packetPeriod, func() bool {
		t.sendPacket(f)
		return !f.broken && f.givenUpReason == ""
	})
}

// sendPacket sends the next packet of f through a random instance. As long as
// no packet has reached a backend server, it starts the flow.
func (t *Trial) sendPacket(f *Flow) {
	t.counts.Sent++
	n := t.anyInstance()
	if n == nil || t.lost() {
		return
	}
	p := flow.Packet{Key: f.key, Starts: f.home == nil}
	t.send(callerLocation, n.Centre, func() { n.do(func() { n.handlePacket(f, p, maxPasses) }) })
}

// handlePacket has the cores of n decide on a packet and carries the decision
// out. passesLeft is how many more times the packet may be passed to another
// instance.
func (n *Node) handlePacket(f *Flow, p flow.Packet, passesLeft int) {
	t := n.trial
	d := n.cores.Packet(t.now, p)
	if !p.Passed {
		t.recordPacket(n, f, p)
	}
	switch d.Action {
	case flow.Forward:
		b, ok := t.backendsByName[d.Backend.Name]
		if !ok {
			t.violate(RightService, "%s forwarded a packet to %q, which doesn't exist", n.Name, d.Backend.Name)
			return
		}
		t.checkForward(n, f, p, b)
		t.send(n.Centre, b.Centre, func() { t.deliver(n, f, p, b, d.Reason) })
	case flow.Pass:
		other, ok := t.nodes[d.Owner]
		if !ok || passesLeft == 0 || !n.connectedTo(other) {
			return
		}
		p.Passed = true
		t.send(n.Centre, other.Centre, func() { other.do(func() { other.handlePacket(f, p, passesLeft-1) }) })
	case flow.Drop:
	}
}

// checkForward checks where n forwards a packet, whether or not the packet
// arrives.
func (t *Trial) checkForward(n *Node, f *Flow, p flow.Packet, b *Backend) {
	if b.Service != f.service {
		t.violate(RightService, "%s forwarded a packet of %s to %s", n.Name, f.service, b.Name)
	}
	if n.mustReflect(t.outSince[b.Centre]) {
		t.violate(OutCentreSilent, "%s forwarded a packet to %s of %s", n.Name, b.Name, b.Centre)
	}
	if p.Starts && f.home == nil && n.mustReflect(b.leavingSince) && f.opened.Sub(b.leavingSince) > EffectTime {
		t.violate(LeavingGetsNoWork, "%s gave %s a new flow", n.Name, b.Name)
	}
}

// deliver handles the arrival of a packet at a backend server. n forwarded it,
// for the given reason.
func (t *Trial) deliver(n *Node, f *Flow, p flow.Packet, b *Backend, reason flow.Reason) {
	if f.givenUpReason != "" || f.broken || b.blackholed[f.number] {
		return
	}
	if f.home == nil {
		if !p.Starts {
			return
		}
		f.home = b
		b.countNewFlow(n)
	}
	if f.home != b {
		if p.Starts {
			return
		}
		t.breakFlow(f, "%s sent a packet of a flow at %s to %s (%s), opened after %s", n.Name, f.home.Name, b.Name, reason, f.opened.Sub(t.began))
		return
	}
	f.lastArrival = t.now
	t.counts.Delivered++
}

// breakFlow records that f was broken, unless it is given up.
func (t *Trial) breakFlow(f *Flow, format string, args ...any) {
	if t.isGivenUp(f) {
		return
	}
	f.broken = true
	t.violate(FlowSurvives, format, args...)
}

// isGivenUp reports whether the promise leaves f out, and marks it as given up if
// its data centre is out.
func (t *Trial) isGivenUp(f *Flow) bool {
	if f.givenUpReason == "" && f.home != nil && !t.outSince[f.home.Centre].IsZero() {
		f.givenUpReason = "data centre out"
	}
	return f.givenUpReason != ""
}

// checkSilence looks for flows of which no packet arrives any more. It checks
// nothing while a fault may still have effects, because a sender retransmits.
func (t *Trial) checkSilence() {
	if !t.undisturbed() {
		return
	}
	for _, f := range t.flows {
		if f.home == nil || f.broken || t.isGivenUp(f) {
			continue
		}
		if t.now.Sub(f.lastArrival) > maxSilence {
			t.breakFlow(f, "a flow at %s has been silent since %s", f.home.Name, f.lastArrival.Sub(t.began))
		}
	}
}

// Blackhole discards all further packets of some established flows between the
// instances and their backend servers. New flows still work.
func (t *Trial) Blackhole() {
	for _, f := range t.flows {
		if f.home != nil && f.givenUpReason == "" && t.random.IntN(blackholeOneIn) == 0 {
			f.home.blackholed[f.number] = true
			f.givenUpReason = "blackholed"
		}
	}
}

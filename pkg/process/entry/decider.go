package entry

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/clock"
	"github.com/tanagerweir/tanagerweir/pkg/connection/admission"
	"github.com/tanagerweir/tanagerweir/pkg/connection/forwarding"
	"github.com/tanagerweir/tanagerweir/pkg/connection/mark"
	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
)

// TickPeriod is the time between two ticks, which handle timeouts and publish
// loads.
const TickPeriod = 100 * time.Millisecond

// decider runs the forwarding core and forwards packets as it decides. One
// goroutine uses the core; other goroutines pass values to it through the channels
// and atomic fields.
type decider struct {
	options     Options
	core        *forwarding.Core
	readiness   *readiness
	observer    *observer
	version     directory.Version
	host        Host
	guards      *guards
	directories chan directory.Directory
	// resetBuffer is reused for the packets that reset flows.
	resetBuffer []byte
	// lastPacket is when the latest packet arrived, in nanoseconds since the start.
	lastPacket atomic.Int64
	// confirmedAt is when the directory was last known to be the newest, nil for never.
	confirmedAt atomic.Pointer[clock.Time]
	// maxFlow is how long a flow may last, in nanoseconds.
	maxFlow     atomic.Int64
	peerReports chan peerLoads
	inquiries   chan inquiry
	answers     chan answer
	// heard receives the data centre of each message from another one.
	heard chan heard
	// ask and answer send messages to other instances; ask returns how many of the
	// data centre it asked.
	ask    func([]forwarding.Inquiry) int
	answer func(loads []forwarding.Load, to netip.AddrPort)
	// notify tells other instances of the data centre of backend servers that may have
	// been started anew.
	notify func([]forwarding.Load)
	// published are the core's loads and pressures as of the last tick, for the exchange.
	published  atomic.Pointer[published]
	suspension suspension
}

// peerLoads are the loads of backend servers and the pressures of services that another
// instance reported. loads is nil if it reported none.
type peerLoads struct {
	receivedAt time.Duration
	name       string
	loads      []forwarding.Load
	pressures  []admission.Pressure
	// aliveInstances is how many other instances of the data centre are alive.
	aliveInstances int
}

// inquiry is the question of another instance about backend servers.
type inquiry struct {
	marks []mark.Mark
	from  netip.AddrPort
}

// answer is the answer of another instance to an inquiry.
type answer struct {
	receivedAt    time.Duration
	loads         []forwarding.Load
	ownDataCentre bool
}

// heard says that a message of an instance in another data centre was received.
type heard struct {
	receivedAt time.Duration
	dataCentre string
	loads      []forwarding.CentreLoad
}

// peerReportQueue is how many reports of other instances can wait for the decider, and
// how many inquiries and answers.
const peerReportQueue = 32

func newDecider(o Options, c *forwarding.Core, r *readiness, h Host, m *metrics) *decider {
	d := &decider{
		options: o, core: c, readiness: r, host: h, observer: &observer{log: o.Logger, metrics: m},
		directories: make(chan directory.Directory, 1), peerReports: make(chan peerLoads, peerReportQueue),
		inquiries: make(chan inquiry, peerReportQueue), answers: make(chan answer, peerReportQueue),
		heard: make(chan heard, peerReportQueue),
	}
	d.maxFlow.Store(int64(o.MaxFlow))
	d.suspension.lastActive = h.Now()
	return d
}

// queueDirectory passes a newer directory to the decider, in place of one that is
// still waiting. Calls must not overlap.
func (d *decider) queueDirectory(next directory.Directory) {
	select {
	case <-d.directories:
	default:
	}
	d.directories <- next
}

// confirm records the time at which the directory was last known to be the newest.
func (d *decider) confirm(at clock.Time) { d.confirmedAt.Store(&at) }

// confirmed returns the time at which the directory was last known to be the newest.
func (d *decider) confirmed() clock.Time {
	if at := d.confirmedAt.Load(); at != nil {
		return *at
	}
	return clock.Time{}
}

// confirmCore passes the last confirmation to the core.
func (d *decider) confirmCore(now time.Duration) { d.core.Confirm(now, d.confirmed()) }

// queuePeerLoads passes another instance's loads to the decider. A full queue drops
// them, since the next report follows soon.
func (d *decider) queuePeerLoads(p peerLoads) {
	select {
	case d.peerReports <- p:
	default:
	}
}

// queueInquiry passes another instance's inquiry to the decider. A full queue drops it;
// the instance asks again.
func (d *decider) queueInquiry(i inquiry) {
	select {
	case d.inquiries <- i:
	default:
	}
}

// queueAnswer passes another instance's answer to the decider. A full queue drops it, as
// if it was lost on the way.
func (d *decider) queueAnswer(a answer) {
	select {
	case d.answers <- a:
	default:
	}
}

// queueHeard passes the data centre of a message to the decider. A full queue drops it,
// as if the message was lost.
func (d *decider) queueHeard(h heard) {
	select {
	case d.heard <- h:
	default:
	}
}

// reports returns what this instance reports to others as of the last tick, and nothing if that is
// too long ago. The caller must not change it.
func (d *decider) reports() published {
	p := d.published.Load()
	if p == nil {
		return published{}
	}
	age := d.host.Now() - p.at
	if age > maxLoadsAge {
		return published{}
	}
	aged := *p
	aged.loads = make([]forwarding.Load, len(p.loads))
	for i, l := range p.loads {
		aged.loads[i] = l.Aged(age)
	}
	return aged
}

// run handles the receiver's packets until the context ends or the receiver stops.
func (d *decider) run(ctx context.Context, r *receiver) {
	ticks := time.NewTicker(TickPeriod)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case b, ok := <-r.full:
			if !ok {
				return
			}
			d.handleBatch(b)
			r.free <- b
		case next := <-d.directories:
			d.applyDirectory(next)
		case <-ticks.C:
			d.tick()
		case p := <-d.peerReports:
			d.receivePeerLoads(p)
		case i := <-d.inquiries:
			d.answerInquiry(i)
		case a := <-d.answers:
			d.receiveAnswer(a)
		case h := <-d.heard:
			d.recordHeard(h)
		}
	}
}

// applyQueued applies the waiting directories and messages of peers. Directories go
// first, so that equal inputs lead to equal decisions.
func (d *decider) applyQueued() {
	for {
		select {
		case next := <-d.directories:
			d.applyDirectory(next)
			continue
		default:
		}
		select {
		case p := <-d.peerReports:
			d.receivePeerLoads(p)
			continue
		default:
		}
		select {
		case i := <-d.inquiries:
			d.answerInquiry(i)
			continue
		default:
		}
		select {
		case a := <-d.answers:
			d.receiveAnswer(a)
			continue
		default:
		}
		select {
		case h := <-d.heard:
			d.recordHeard(h)
		default:
			return
		}
	}
}

func (d *decider) applyDirectory(next directory.Directory) {
	d.confirmCore(d.host.Now())
	d.core.Adopt(d.host.Now(), next)
	d.version = next.Version()
	if next.Version() > 0 {
		d.host.AcceptPackets()
	}
}

func (d *decider) tick() {
	defer d.guards.ticks.Contain()
	now := d.host.Now()
	d.checkSuspension(now)
	d.core.Tick(now, time.Duration(d.maxFlow.Load()))
	if inquiries := d.core.Inquiries(now); len(inquiries) > 0 {
		asked := d.ask(inquiries)
		for _, i := range inquiries {
			d.core.Asked(now, i.Mark, asked)
		}
	}
	d.sendNotices(now)
	d.observer.recordRestarts(d.core.RestartEvents())
	d.observer.recordServerStates(d.core.Events())
	d.observer.recordReach(d.core.ReachEvents())
	d.observer.recordHealth(d.core.HealthEvents(), d.core.HealthStates(now))
	d.observer.recordShortages(d.core.Shortages())
	d.observer.recordSpills(d.core.SpillEvents())
	d.observer.metrics.countDemand(d.core.Demand())
	if d.readiness.setServed(d.core.Served()) {
		d.observer.recordServed(d.core.Served())
	}
	d.observer.logSummary(now)
	d.published.Store(&published{at: now, loads: d.core.Loads(now), pressures: d.core.Pressures(), centres: d.core.CentreLoads(now)})
}

// sendNotices sends what other instances should know at once.
func (d *decider) sendNotices(now time.Duration) {
	if loads := d.core.Notices(now); len(loads) > 0 {
		d.notify(loads)
	}
}

// recordArrival records the current time as that of the latest packet and returns
// it.
func (d *decider) recordArrival() time.Duration {
	now := d.host.Now()
	d.lastPacket.Store(int64(now))
	d.checkSuspension(now)
	d.confirmCore(now)
	return now
}

func (d *decider) handleBatch(b *batch) {
	d.recordArrival()
	headroom := d.options.Format.Headroom()
	for i := range b.count {
		// The clock is read for each packet, as the instance may be suspended between two.
		d.handlePacket(d.host.Now(), b.buffers[i][:headroom+b.messages[i].N])
	}
}

// handlePacket forwards, resets or drops one datagram, which begins with the
// headroom.
func (d *decider) handlePacket(now time.Duration, datagram []byte) {
	defer d.guards.packets.Contain()
	s, err := d.options.Format.Parse(datagram[d.options.Format.Headroom():])
	if err != nil {
		d.observer.countMalformed()
		return
	}
	decision := forwarding.Decision{Verdict: forwarding.Drop, Reason: forwarding.Unsynchronised}
	if !d.awaitsConfirmation(now, s) {
		decision = d.core.Decide(now, s)
	}
	d.sendNotices(now)
	id := ""
	if s.Length > 0 {
		// A request's header may extend into its second packet, so every packet with
		// data is searched.
		id = d.options.Format.RequestID(datagram[d.options.Format.Headroom():])
	}
	d.observer.recordDecision(s, decision, decisionInputs{
		requestID: id, version: uint64(d.version), confirmedAge: d.confirmed().Age(now),
	})
	switch decision.Verdict {
	case forwarding.Forward:
		d.options.Format.SetDestination(datagram, decision.Number, uint32(decision.Mark))
		d.host.SendPacket(datagram, s.Flow.Hash(), decision.Endpoint)
	case forwarding.Reset:
		if d.host.Now()-now > maxSendDelay {
			return // The caller may use its port for another flow by now.
		}
		d.resetBuffer = d.options.Format.AppendReset(d.resetBuffer[:0], s)
		d.host.SendPacket(d.resetBuffer, s.Flow.Hash(), netip.AddrPortFrom(s.Flow.Caller.Addr(), d.options.Packets.Port()))
	}
}

package entry

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/connection/forwarding"
	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
)

// TickPeriod is how often Tick looks at what time alone changes.
const TickPeriod = 100 * time.Millisecond

// decider owns the forwarding core and sends packets on.
type decider struct {
	options     Options
	core        *forwarding.Core
	witness     *witness
	version     directory.Version
	host        Host
	directories chan directory.Directory
	// reset is the buffer for resets.
	reset []byte
	// last is when the latest packet came, in nanoseconds since the start.
	last atomic.Int64
	// confirmed is when the directory was known to be the newest, likewise.
	confirmed atomic.Int64
	// maxFlow is how long a flow may last, in nanoseconds.
	maxFlow atomic.Int64
	reports chan peerLoads
	// shared are the core's loads as of the last tick, for the exchange.
	shared atomic.Pointer[[]forwarding.Load]
}

// peerLoads are the loads that another instance reported.
type peerLoads struct {
	name  string
	loads []forwarding.Load
	alive int
}

// ringReports is how many reports of other instances wait for the decider.
const ringReports = 32

func newDecider(o Options, c *forwarding.Core, h Host, m *metrics) *decider {
	d := &decider{
		options: o, core: c, host: h, witness: &witness{log: o.Logger, metrics: m},
		directories: make(chan directory.Directory, 1), reports: make(chan peerLoads, ringReports),
	}
	d.maxFlow.Store(int64(o.MaxFlow))
	return d
}

// adopt hands over a newer directory; one that still waits is replaced.
func (d *decider) adopt(next directory.Directory) {
	select {
	case <-d.directories:
	default:
	}
	d.directories <- next
}

// confirm notes when the directory was known to be the newest.
func (d *decider) confirm(at time.Duration) { d.confirmed.Store(int64(at)) }

// hear hands over another instance's loads; with a full ring they are dropped,
// since the next come soon.
func (d *decider) hear(p peerLoads) {
	select {
	case d.reports <- p:
	default:
	}
}

// loads returns what this instance's flows tell, as of the last tick.
func (d *decider) loads() []forwarding.Load {
	if l := d.shared.Load(); l != nil {
		return *l
	}
	return nil
}

// run decides about the receiver's packets until the context ends.
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
			d.decide(b)
			r.free <- b
		case next := <-d.directories:
			d.use(next)
		case <-ticks.C:
			d.tick()
		case p := <-d.reports:
			d.core.Hear(d.host.Now(), p.name, p.loads, p.alive)
		}
	}
}

// settle takes what waits from other duties, directories first, so that equal inputs
// bring equal decisions.
func (d *decider) settle() {
	for {
		select {
		case next := <-d.directories:
			d.use(next)
			continue
		default:
		}
		select {
		case p := <-d.reports:
			d.core.Hear(d.host.Now(), p.name, p.loads, p.alive)
		default:
			return
		}
	}
}

func (d *decider) use(next directory.Directory) {
	d.core.Confirm(d.host.Now(), time.Duration(d.confirmed.Load()))
	d.core.Adopt(d.host.Now(), next)
	d.version = next.Version()
	if next.Version() > 0 {
		d.host.Accept()
	}
}

func (d *decider) tick() {
	now := d.host.Now()
	d.core.Tick(now, time.Duration(d.maxFlow.Load()))
	d.witness.believed(d.core.Events())
	d.witness.tell(now)
	loads := d.core.Loads(now)
	d.shared.Store(&loads)
}

// arrived notes that packets came, and returns when.
func (d *decider) arrived() time.Duration {
	now := d.host.Now()
	d.last.Store(int64(now))
	d.core.Confirm(now, time.Duration(d.confirmed.Load()))
	return now
}

func (d *decider) decide(b *batch) {
	now := d.arrived()
	headroom := d.options.Format.Headroom()
	for i := range b.count {
		d.packet(now, b.buffers[i][:headroom+b.messages[i].N])
	}
}

// packet decides for one datagram, which begins with the headroom.
func (d *decider) packet(now time.Duration, datagram []byte) {
	s, err := d.options.Format.Parse(datagram[d.options.Format.Headroom():])
	if err != nil {
		d.witness.malformed()
		return
	}
	decision := d.core.Decide(now, s)
	id := ""
	if s.Length > 0 {
		// A request's head may reach into its second packet.
		id = d.options.Format.RequestID(datagram[d.options.Format.Headroom():])
	}
	d.witness.decided(s, decision, facts{
		request: id, version: uint64(d.version), confirmedAge: now - time.Duration(d.confirmed.Load()),
	})
	switch decision.Verdict {
	case forwarding.Forward:
		d.options.Format.Address(datagram, decision.Number, uint32(decision.Mark))
		d.host.SendPacket(datagram, decision.Endpoint)
	case forwarding.Reset:
		d.reset = d.options.Format.AppendReset(d.reset[:0], s)
		d.host.SendPacket(d.reset, netip.AddrPortFrom(s.Flow.Caller.Addr(), d.options.Packets.Port()))
	}
}

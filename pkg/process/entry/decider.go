package entry

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/connection/forwarding"
	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
)

// tickPeriod is how often the core looks at what time alone changes.
const tickPeriod = 100 * time.Millisecond

// decider owns the forwarding core and sends packets on.
type decider struct {
	options     Options
	core        *forwarding.Core
	receiver    *receiver
	now         func() time.Duration
	directories chan directory.Directory
	reset       []byte
	// last is when the latest packet came, in nanoseconds since the start.
	last atomic.Int64
}

func newDecider(o Options, c *forwarding.Core, r *receiver, now func() time.Duration) *decider {
	return &decider{options: o, core: c, receiver: r, now: now, directories: make(chan directory.Directory, 1)}
}

// adopt hands over a newer directory; one that still waits is replaced.
func (d *decider) adopt(next directory.Directory) {
	select {
	case <-d.directories:
	default:
	}
	d.directories <- next
}

// run decides until the context ends.
func (d *decider) run(ctx context.Context) {
	ticks := time.NewTicker(tickPeriod)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case b, ok := <-d.receiver.full:
			if !ok {
				return
			}
			d.decide(b)
			d.receiver.free <- b
		case next := <-d.directories:
			d.core.Adopt(d.now(), next)
		case <-ticks.C:
			d.core.Tick(d.now())
		}
	}
}

func (d *decider) decide(b *batch) {
	now := d.now()
	d.last.Store(int64(now))
	headroom := d.options.Format.Headroom()
	for i := range b.count {
		d.packet(now, b.buffers[i][:headroom+b.messages[i].N])
	}
}

// packet decides for one datagram, which begins with the headroom.
func (d *decider) packet(now time.Duration, datagram []byte) {
	s, err := d.options.Format.Parse(datagram[d.options.Format.Headroom():])
	if err != nil {
		return
	}
	decision := d.core.Decide(now, s)
	switch decision.Verdict {
	case forwarding.Forward:
		d.options.Format.Address(datagram, decision.Number, uint32(decision.Mark))
		d.write(datagram, decision.Endpoint)
	case forwarding.Reset:
		d.reset = d.options.Format.AppendReset(d.reset[:0], s)
		d.write(d.reset, netip.AddrPortFrom(s.Flow.Caller.Addr(), d.options.Packets.Port()))
	}
}

func (d *decider) write(b []byte, to netip.AddrPort) {
	if _, err := d.receiver.conn.WriteToUDPAddrPort(b, to); err != nil {
		d.options.Logger.Debug("Packets: one can't be sent.", "To", to, "Error", err)
	}
}

package entry

import (
	"context"
	"log/slog"
	"net/netip"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/connection/forwarding"
	"github.com/tanagerweir/tanagerweir/pkg/version/replica"
)

// Host is what the duties of an instance run on: clock, network and waiting. An
// Instance brings the machine's, and an emulator its own.
type Host interface {
	// Now is the time since the instance began, by a clock that never steps.
	Now() time.Duration
	// Pause returns after that time, or once the context ends.
	Pause(ctx context.Context, d time.Duration)
	// Deadline bounds what is done with the context that it returns.
	Deadline(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc)
	// Accept lets packets come in.
	Accept()
	// SendPacket sends to a caller or a backend server, and SendWord to another
	// instance. Both may lose what they send, and don't keep the datagram.
	SendPacket(datagram []byte, to netip.AddrPort)
	SendWord(datagram []byte, to netip.AddrPort)
	// Fetch asks another instance for its changes after a revision.
	Fetch(ctx context.Context, from netip.AddrPort, after uint64) (replica.Batch, error)
}

// Duties are all that an instance does and decides, without sockets, threads and
// clock of their own. Packet, Word, Tick and Tell must not overlap one another
// unless an Instance runs them.
type Duties struct {
	host      Host
	log       *slog.Logger
	decider   *decider
	state     *state
	gate      *gate
	fetcher   *fetcher
	exchange  *exchange
	follower  *follower
	registrar *registrar
}

// NewDuties returns the duties of an instance that knows nothing yet.
func NewDuties(o Options, h Host) (*Duties, error) {
	d := &Duties{host: h, log: o.Logger, gate: &gate{}}
	core := forwarding.New(forwarding.Options{
		Name: o.Name, DataCentre: o.DataCentre, Seed: o.Seed, Policy: o.Policy, ColdFactor: o.ColdFactor, ColdSlack: o.ColdSlack,
	})
	counts := newMetrics(o.Store.CallCounts, func() time.Duration { return h.Now() - time.Duration(d.decider.confirmed.Load()) })
	d.decider = newDecider(o, core, h, counts)
	d.state = newState(o, d.decider, d.gate, h.Now)
	d.fetcher = newFetcher(o, d.state, h)
	d.exchange = newExchange(o, d.state, d.decider, d.fetcher, h)
	d.fetcher.pass = d.exchange.pass
	d.follower = newFollower(o, d.state, d.exchange.push, h)
	var err error
	if d.registrar, err = newRegistrar(o, d.state, h); err != nil {
		return nil, err
	}
	return d, nil
}

// Packet decides about one datagram of a caller, which begins with the headroom.
func (d *Duties) Packet(datagram []byte) {
	d.decider.settle()
	d.decider.packet(d.decider.arrived(), datagram)
}

// Word takes a datagram of another instance.
func (d *Duties) Word(datagram []byte, from netip.AddrPort) {
	d.exchange.take(datagram, from)
	d.decider.settle()
}

// Tick does what time alone brings, once each TickPeriod.
func (d *Duties) Tick() {
	d.decider.settle()
	d.decider.tick()
}

// Tell tells other instances, once each ExchangePeriod.
func (d *Duties) Tell() { d.exchange.tell() }

// Follow reads the platform's store where that is this instance's part, until the
// context ends.
func (d *Duties) Follow(ctx context.Context) { d.follower.run(ctx) }

// Register keeps the instance registered until the context ends.
func (d *Duties) Register(ctx context.Context) { d.registrar.run(ctx) }

// FetchWanted brings changes from another instance if a word told of newer ones.
// It says whether one did.
func (d *Duties) FetchWanted(ctx context.Context) bool {
	select {
	case from := <-d.fetcher.asked:
		d.fetcher.bring(ctx, from)
		return true
	default:
		return false
	}
}

// Since returns what brings another copy from a revision up to this one.
func (d *Duties) Since(revision uint64) replica.Batch { return d.state.since(revision) }

// Ready says whether routers may send packets here.
func (d *Duties) Ready() bool { return d.gate.isOpen() }

package entry

import (
	"context"
	"log/slog"
	"net/netip"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/connection/forwarding"
	"github.com/tanagerweir/tanagerweir/pkg/version/replica"
)

// Host supplies the clock, the network and waiting. An Instance uses those of the
// machine, and an emulator its own.
type Host interface {
	// Now returns the time since the instance started, by a monotonic clock.
	Now() time.Duration
	// Pause waits for d, or until the context ends.
	Pause(ctx context.Context, d time.Duration)
	// Deadline returns a context that ends after d.
	Deadline(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc)
	// AcceptPackets starts the reception of callers' packets. Later calls have no effect.
	AcceptPackets()
	// SendPacket sends a datagram to a caller or a backend server. It may be lost, and
	// the slice isn't kept.
	SendPacket(datagram []byte, to netip.AddrPort)
	// SendMessage sends a message to another instance. It may be lost, and the slice isn't
	// kept.
	SendMessage(datagram []byte, to netip.AddrPort)
	// Fetch requests the changes after a revision from another instance.
	Fetch(ctx context.Context, from netip.AddrPort, after uint64) (replica.Batch, error)
}

// Engine holds the parts of an instance that need no sockets, goroutines or clock of
// their own: an Instance or an emulator supplies these through a Host. An emulator calls
// the methods. Those that handle packets, messages and ticks or send the state must not
// overlap; an Instance runs the parts behind them in goroutines instead.
type Engine struct {
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

// NewEngine returns an instance without keys, configuration and peers.
func NewEngine(o Options, h Host) (*Engine, error) {
	d := &Engine{host: h, log: o.Logger, gate: &gate{}}
	core := forwarding.New(forwarding.Options{
		Name: o.Name, DataCentre: o.DataCentre, Seed: o.Seed, Policy: o.Policy, ColdFactor: o.ColdFactor, ColdSlack: o.ColdSlack,
	})
	metrics := newMetrics(o.Store.CallCounts, func() time.Duration { return h.Now() - time.Duration(d.decider.confirmedAt.Load()) })
	d.decider = newDecider(o, core, h, metrics)
	d.state = newState(o, d.decider, d.gate, h.Now)
	d.fetcher = newFetcher(o, d.state, h)
	d.exchange = newExchange(o, d.state, d.decider, d.fetcher, h)
	d.fetcher.relay = d.exchange.relay
	d.follower = newFollower(o, d.state, d.exchange.push, h)
	var err error
	if d.registrar, err = newRegistrar(o, d.state, h); err != nil {
		return nil, err
	}
	return d, nil
}

// HandlePacket forwards, resets or drops one datagram of a caller. The datagram begins
// with the headroom, into which the backend server's number is written.
func (d *Engine) HandlePacket(datagram []byte) {
	d.decider.applyQueued()
	d.decider.handlePacket(d.decider.recordArrival(), datagram)
}

// HandleMessage handles a message of another instance.
func (d *Engine) HandleMessage(datagram []byte, from netip.AddrPort) {
	d.exchange.receive(datagram, from)
	d.decider.applyQueued()
}

// Tick handles timeouts and publishes loads. It is called once in each TickPeriod.
func (d *Engine) Tick() {
	d.decider.applyQueued()
	d.decider.tick()
}

// SendState sends this instance's state to some peers. It is called once in each
// ExchangePeriod.
func (d *Engine) SendState() { d.exchange.sendState() }

// Follow reads the platform's store whenever this instance has to follow it, until
// the context ends.
func (d *Engine) Follow(ctx context.Context) { d.follower.run(ctx) }

// Register keeps the instance registered in the store until the context ends.
func (d *Engine) Register(ctx context.Context) { d.registrar.run(ctx) }

// FetchRequested makes the fetch that a message with a newer revision has requested.
// It returns false if none is waiting.
func (d *Engine) FetchRequested(ctx context.Context) bool {
	select {
	case from := <-d.fetcher.requests:
		d.fetcher.fetch(ctx, from)
		return true
	default:
		return false
	}
}

// Since returns the changes of this instance's replica after a revision.
func (d *Engine) Since(revision uint64) replica.Batch { return d.state.since(revision) }

// Ready reports whether routers may send packets to this instance.
func (d *Engine) Ready() bool { return d.gate.isOpen() }

package entry

import (
	"context"
	"log/slog"
	"net/netip"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/clock"
	"github.com/tanagerweir/tanagerweir/pkg/connection/forwarding"
	"github.com/tanagerweir/tanagerweir/pkg/transfer"
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
	// Transfer returns a context that ends with the cause transfer.ErrStopped once a
	// response stops to arrive. Calls with it report to its trace.
	Transfer(ctx context.Context, l transfer.Limit) (context.Context, context.CancelCauseFunc)
	// AcceptPackets starts the reception of callers' packets. Later calls have no
	// effect.
	AcceptPackets()
	// SendPacket sends a datagram to a caller or a backend server. Those of flows with
	// the same number stay in order. It may be lost, and the slice isn't kept.
	SendPacket(datagram []byte, flow uint64, to netip.AddrPort)
	// SendMessage sends a message to another instance. It may be lost, and the slice
	// isn't kept.
	SendMessage(datagram []byte, to netip.AddrPort)
	// Fetch requests the changes after a position from another instance. The error is
	// ErrBusy if that one serves too many fetches.
	Fetch(ctx context.Context, from netip.AddrPort, after replica.Position) (replica.Batch, error)
}

// Engine holds the parts of an instance that need no sockets, goroutines or clock of
// their own: an Instance or an emulator supplies these through a Host. An emulator
// calls the methods. Those that handle packets, messages and ticks or send the state
// must not overlap; an Instance runs the parts behind them in goroutines instead.
type Engine struct {
	host      Host
	log       *slog.Logger
	decider   *decider
	state     *state
	readiness *readiness
	fetcher   *fetcher
	exchange  *exchange
	replicas  *replicaServer
	follower  *follower
	early     *earlyReader
	registrar *registrar
	guards    *guards
}

// NewEngine returns an instance without keys, configuration and peers.
func NewEngine(o Options, h Host) (*Engine, error) {
	e := &Engine{host: h, log: o.Logger, readiness: &readiness{}, guards: newGuards(o.Logger)}
	core := forwarding.New(forwarding.Options{
		Name: o.Name, DataCentre: o.DataCentre, Seed: o.Seed, Policy: o.Policy, ColdFactor: o.ColdFactor, ColdSlack: o.ColdSlack,
		Health:    o.Health,
		Admission: o.Admission, Off: o.Off,
	})
	metrics := newMetrics(o.Store.CallCounts, func() clock.Age { return e.decider.confirmed().Age(h.Now()) }, o.Off)
	metrics.countPanics(e.guards)
	if o.Health.Active() {
		metrics.registerHealth()
	}
	e.decider = newDecider(o, core, e.readiness, h, metrics)
	e.state = newState(o, e.decider, e.readiness, h.Now)
	metrics.count("tanagerweir_entry_store_restorations_total", "Times that the store returned restored from an older copy.", e.state.restorations.Load)
	e.fetcher = newFetcher(o, e.state, h)
	e.exchange = newExchange(o, e.state, e.decider, e.fetcher, h)
	e.fetcher.relay = e.exchange.relay
	e.decider.ask, e.decider.answer, e.decider.notify = e.exchange.ask, e.exchange.answer, e.exchange.notify
	metrics.count("tanagerweir_entry_unusable_entries_total", "Entries read from the store that couldn't be used.", e.state.unusable.Load)
	metrics.count("tanagerweir_entry_suspensions_total", "Times that the process was suspended for a second or longer.", e.decider.suspension.count.Load)
	metrics.count("tanagerweir_entry_late_messages_total", "Messages of other instances dropped since they had waited too long, received or to be sent.", e.exchange.late.Load)
	link := &linkBudget{bytesPerSecond: o.LinkBytesPerSecond}
	e.replicas = newReplicaServer(o, e.state, link, h.Now)
	metrics.count("tanagerweir_entry_refused_fetches_total", "Fetches of other instances refused since the link's share was used up.", e.replicas.refused.Load)
	e.follower = newFollower(o, e.state, link, e.exchange.push, h)
	e.early = newEarlyReader(o, e.state, e.follower, e.exchange.push, h)
	var err error
	if e.registrar, err = newRegistrar(o, e.state, h); err != nil {
		return nil, err
	}
	e.decider.guards, e.exchange.guards = e.guards, e.guards
	e.fetcher.guard, e.follower.guard, e.early.guard, e.registrar.guard = e.guards.fetcher, e.guards.follower, e.guards.early, e.guards.registrar
	return e, nil
}

// HandlePacket forwards, resets or drops one datagram of a caller. The datagram begins
// with the headroom, into which the backend server's number is written.
func (e *Engine) HandlePacket(datagram []byte) {
	e.decider.applyQueued()
	e.decider.handlePacket(e.decider.recordArrival(), datagram)
}

// HandleMessage handles a message of another instance, which has waited in the socket since
// it arrived, as while the process was suspended.
func (e *Engine) HandleMessage(datagram []byte, from netip.AddrPort, waited time.Duration) {
	e.exchange.receive(datagram, from, e.host.Now()-waited)
	e.decider.applyQueued()
}

// Short reports whether a service is short of capacity, so that new flows of its routes may
// be refused.
func (e *Engine) Short(service string) bool { return e.decider.core.Short(service) }

// Tick handles timeouts and publishes loads. It is called once in each TickPeriod.
func (e *Engine) Tick() {
	e.decider.applyQueued()
	e.decider.tick()
}

// SendState sends this instance's state to some peers. It is called once in each
// ExchangePeriod.
func (e *Engine) SendState() { e.exchange.sendState() }

// Follow reads the platform's store whenever this instance has to follow it, until
// the context ends.
func (e *Engine) Follow(ctx context.Context) { e.follower.run(ctx) }

// FollowEarly reads urgent changes while a large one arrives from the store, until the
// context ends.
func (e *Engine) FollowEarly(ctx context.Context) { e.early.run(ctx) }

// Register keeps the instance registered in the store until the context ends.
func (e *Engine) Register(ctx context.Context) { e.registrar.run(ctx) }

// FetchRequested makes the fetch that a message with a newer revision has requested.
// It returns false if none is waiting.
func (e *Engine) FetchRequested(ctx context.Context) bool {
	select {
	case from := <-e.fetcher.requests:
		e.fetcher.step(ctx, from)
		return true
	default:
		return false
	}
}

// ServeFetch returns the response to another instance's fetch of the changes after a
// position, as [DecodeFetch] reads it. The error is ErrBusy if this instance serves too
// many fetches.
func (e *Engine) ServeFetch(after replica.Position) ([]byte, error) { return e.replicas.admit(after) }

// Ready reports whether routers may send packets to this instance.
func (e *Engine) Ready() bool { return e.readiness.isReady() }

// Package entry runs one instance of the load balancer on a platform whose
// packets carry a mark that names the flow's backend server.
//
// It moves packets and messages between the sockets and the forwarding and
// membership cores, which decide and do no I/O. The interfaces Format and Store
// supply the platform's packet format and its key-value store.
//
// # Usage
//
//	node, closeNode, err := entry.New(options)
//	if err != nil {
//		return err
//	}
//	defer closeNode()
//	<-ctx.Done()
//	node.Stop(grace)
package entry

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/connection/admission"
	"github.com/tanagerweir/tanagerweir/pkg/connection/forwarding"
	"github.com/tanagerweir/tanagerweir/pkg/connection/mechanism"
	"github.com/tanagerweir/tanagerweir/pkg/connection/placement"
	"github.com/tanagerweir/tanagerweir/pkg/connection/segment"
	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
	"github.com/tanagerweir/tanagerweir/pkg/version/replica"
)

// Format reads and writes the platform's packets.
type Format interface {
	// Headroom returns the number of bytes that precede a packet in a datagram to
	// a backend server.
	Headroom() int
	// MaxPacket returns the length of the longest packet in bytes.
	MaxPacket() int
	// Parse decodes the header of a caller's packet.
	Parse(packet []byte) (segment.Segment, error)
	// SetDestination writes the backend server's number into the headroom at the
	// start of the datagram, and the mark into the packet behind it.
	SetDestination(datagram []byte, number uint64, mark uint32)
	// AppendReset appends to b the packet that tells the caller of s that its flow
	// is closed.
	AppendReset(b []byte, s segment.Segment) []byte
	// RequestID returns the identifier of the request whose header is in the
	// packet, or "" if the packet doesn't contain the whole identifier.
	RequestID(packet []byte) string
}

// Store is the platform's key-value store.
type Store interface {
	// ReadAll returns all keys.
	ReadAll(ctx context.Context) (replica.Batch, error)
	// Watch waits up to the given time for changes after a revision to keys that
	// begin with the prefix. A batch without changes means that there were none.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (replica.Batch, error)
	// Grant creates a lease that lasts for about ttl.
	Grant(ctx context.Context, ttl time.Duration) (replica.Lease, error)
	// Renew extends a lease by the time that it lasts. It fails if the lease has ended, or
	// is of an older era than the store.
	Renew(ctx context.Context, lease replica.Lease) error
	// Put writes a key that the store deletes when the lease ends. It fails as Renew
	// does.
	Put(ctx context.Context, key string, value []byte, lease replica.Lease) error
	// Reconnect makes the next call use a new connection.
	Reconnect()
	// CallCounts returns the number of calls made so far, by kind.
	CallCounts() map[string]uint64
}

// Translate applies changed keys to a directory and returns the result with one
// error for each entry that can't be used.
type Translate func(directory.Directory, []replica.Change) (directory.Directory, []error)

// Options configure an instance.
type Options struct {
	Name       string
	DataCentre string
	// Packets is the UDP endpoint for callers' packets.
	Packets netip.AddrPort
	// Ready is the HTTP endpoint for the routers' readiness probes.
	Ready netip.AddrPort
	// Metrics is the HTTP endpoint for metrics; if it isn't valid, none are served.
	Metrics netip.AddrPort
	// ReadyPath is the path of the readiness probe.
	ReadyPath string
	// Peers is the endpoint for UDP messages and HTTP fetches of other instances.
	Peers netip.AddrPort
	// Seeds are the Peers endpoints of a few other instances, which may no longer
	// exist.
	Seeds  []netip.AddrPort
	Format Format
	Store  Store
	// ChangesLost reports whether a watch would fail again, as the store dropped the history
	// that it needs or has too many changes, so that all keys have to be read.
	ChangesLost func(error) bool
	Translate   Translate
	// EarlyPrefixes are the prefixes of small, urgent keys, whose changes are read
	// early while a large change of another key arrives.
	EarlyPrefixes []string
	// EncodeInstance returns the key and value that register an instance in the
	// store.
	EncodeInstance func(directory.Instance) (key string, value []byte, err error)
	// LinkBytesPerSecond is the bandwidth of the machine's link, 0 if unknown. Packets
	// are sent at this rate, and what other instances fetch is kept to a share of it.
	LinkBytesPerSecond float64
	// ChangeBound is the time in which a change of the store has to take effect, 0 for none.
	ChangeBound time.Duration
	// MaxFlow is how long a flow may last.
	MaxFlow time.Duration
	// MaxStretch is how long knowledge of the era before may stay in force after the store
	// was restored from an older copy; 0 selects transition.DefaultStretch.
	MaxStretch time.Duration
	// ColdFactor and ColdSlack are passed to forwarding.Options.
	ColdFactor, ColdSlack float64
	// Health is passed to forwarding.Options.
	Health forwarding.HealthOptions
	Logger *slog.Logger
	// Seed seeds the instance's random streams.
	Seed uint64
	// Admission are the settings of the admission of new flows; nil admits all.
	Admission *admission.Options
	// Off is passed to forwarding.Options.
	Off mechanism.Set
	// Policy ranks backend servers for new flows; nil selects the default policy.
	Policy placement.Policy
}

// Instance is a running instance with sockets, clock and goroutines of its own.
type Instance struct {
	options Options
	engine  *Engine
	sockets *sockets
	// decided is closed when the decider has handled all packets that were received.
	decided chan struct{}
	cancel  context.CancelFunc
	closers []func()
	running sync.WaitGroup
}

// New starts an instance. The returned function closes its sockets without a
// drain and returns once its goroutines have ended; Stop drains it first.
func New(o Options) (*Instance, func(), error) {
	ctx, cancel := context.WithCancel(context.Background())
	i := &Instance{options: o, cancel: cancel, decided: make(chan struct{})}
	if err := i.open(ctx); err != nil {
		i.close()
		return nil, nil, err
	}
	return i, i.close, nil
}

// open opens the sockets and starts the goroutines.
func (i *Instance) open(ctx context.Context) error {
	sockets, err := newSockets(i.options)
	if err != nil {
		return err
	}
	i.sockets = sockets
	i.closers = append(i.closers, sockets.close)
	engine, err := NewEngine(i.options, sockets)
	if err != nil {
		return err
	}
	i.engine = engine
	engine.decider.observer.metrics.count("tanagerweir_entry_paced_drops_total", "Packets dropped since they waited too long for the link.", sockets.pacer.drops)
	if err := i.serve(); err != nil {
		return err
	}
	i.start(sockets.receiver.run, sockets.pacer.run, func() { sockets.run(engine.exchange.receive) }, func() {
		defer close(i.decided)
		engine.decider.run(ctx, sockets.receiver)
	})
	for _, run := range []func(context.Context){engine.follower.run, engine.early.run, engine.exchange.run, engine.fetcher.run, engine.registrar.run} {
		i.start(func() { run(ctx) })
	}
	return nil
}

// serve starts the HTTP servers for other instances, routers and metrics.
func (i *Instance) serve() error {
	replicas, err := i.engine.replicas.listen(i.options, i.engine.guards)
	if err != nil {
		return err
	}
	i.closers = append(i.closers, replicas.close)
	ready, err := newReadyServer(i.options, i.engine.readiness, i.engine.guards)
	if err != nil {
		return err
	}
	i.closers = append(i.closers, ready.close)
	i.start(replicas.run, ready.run)
	if !i.options.Metrics.IsValid() {
		return nil
	}
	metrics, err := newMetricsServer(i.options, i.options.Metrics, i.engine.decider.observer.metrics, i.engine.guards)
	if err != nil {
		return err
	}
	i.closers = append(i.closers, metrics.close)
	i.start(metrics.run)
	return nil
}

// UpdateSettings replaces the settings that may change while the instance runs. It may
// be called from any goroutine.
func (i *Instance) UpdateSettings(seeds []netip.AddrPort, maxFlow time.Duration) {
	i.engine.state.setSeeds(seeds)
	i.engine.decider.maxFlow.Store(int64(maxFlow))
}

// close stops all goroutines and returns once they have ended.
func (i *Instance) close() {
	i.cancel()
	for _, closePart := range i.closers {
		closePart()
	}
	i.running.Wait()
}

func (i *Instance) start(functions ...func()) {
	for _, run := range functions {
		i.running.Go(run)
	}
}

// Package entry runs one instance on a platform whose flows carry marks.
//
// It moves bytes between sockets and the cores that decide. The platform's
// formats come in through the interfaces Format and Store.
//
// # Usage
//
//	node, closeNode, err := entry.New(options)
//	if err != nil {
//		return err
//	}
//	defer closeNode()
//	<-ctx.Done()
//	node.Stop()
package entry

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/connection/placement"
	"github.com/tanagerweir/tanagerweir/pkg/connection/segment"
	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
	"github.com/tanagerweir/tanagerweir/pkg/version/replica"
)

// Format reads and writes the platform's packets.
type Format interface {
	// Headroom returns the bytes that stand before a packet for a backend server.
	Headroom() int
	// MaxPacket returns the length of the longest packet in bytes.
	MaxPacket() int
	// Parse reads the head of a caller's packet.
	Parse(packet []byte) (segment.Segment, error)
	// Address prepares a datagram, which begins with the headroom.
	Address(datagram []byte, number uint64, mark uint32)
	// AppendReset appends the packet that gives a flow up.
	AppendReset(b []byte, s segment.Segment) []byte
	// RequestID returns the identifier of the request whose head is in a packet,
	// or nothing if the packet doesn't show it whole.
	RequestID(packet []byte) string
}

// Store is the platform's key-value store.
type Store interface {
	// ReadAll returns every key.
	ReadAll(ctx context.Context) (replica.Batch, error)
	// Watch waits for changes after a revision.
	Watch(ctx context.Context, after uint64, wait time.Duration) (replica.Batch, error)
	// Grant opens a lease and returns its number and how long it lasts.
	Grant(ctx context.Context, ttl time.Duration) (lease uint64, lasts time.Duration, err error)
	// Renew renews a lease.
	Renew(ctx context.Context, lease uint64) error
	// Put writes a key that lasts as long as a lease.
	Put(ctx context.Context, key string, value []byte, lease uint64) error
	// Reconnect makes the next call open a new connection.
	Reconnect()
	// CallCounts returns how many calls were made, by kind.
	CallCounts() map[string]uint64
}

// Translate applies changed keys to a directory and returns what was unusable.
type Translate func(directory.Directory, []replica.Change) (directory.Directory, []error)

// Options are what an instance is told at its start.
type Options struct {
	Name       string
	DataCentre string
	Packets    netip.AddrPort
	Ready      netip.AddrPort
	// Metrics serves metrics, if it is valid.
	Metrics netip.AddrPort
	// ReadyPath is the path that the routers ask for at Ready.
	ReadyPath string
	// Peers takes datagrams and streams from other instances, and Seeds are the
	// same of a few others, which may be gone.
	Peers  netip.AddrPort
	Seeds  []netip.AddrPort
	Format Format
	Store  Store
	// HistoryGone says whether a watch failed because all keys have to be read.
	HistoryGone func(error) bool
	Translate   Translate
	// EncodeInstance returns the key and value that register an instance.
	EncodeInstance func(directory.Instance) (key string, value []byte, err error)
	MaxFlow        time.Duration
	// ColdFactor and ColdSlack are those of forwarding.Options.
	ColdFactor, ColdSlack float64
	Logger                *slog.Logger
	Seed                  uint64
	// Policy ranks backend servers for new flows, the product's own where it is nil.
	Policy placement.Policy
}

// Instance is a running instance.
type Instance struct {
	options Options
	duties  *Duties
	cancel  context.CancelFunc
	closers []func()
	running sync.WaitGroup
}

// New starts an instance and returns a function that ends it at once.
func New(o Options) (*Instance, func(), error) {
	ctx, cancel := context.WithCancel(context.Background())
	i := &Instance{options: o, cancel: cancel}
	if err := i.open(ctx); err != nil {
		i.close()
		return nil, nil, err
	}
	return i, i.close, nil
}

// open opens the sockets and starts the duties.
func (i *Instance) open(ctx context.Context) error {
	host, err := newSockets(i.options)
	if err != nil {
		return err
	}
	i.closers = append(i.closers, host.close)
	d, err := NewDuties(i.options, host)
	if err != nil {
		return err
	}
	i.duties = d
	if err := i.serve(d.state); err != nil {
		return err
	}
	i.start(host.receiver.run, func() { host.run(d.exchange.take) }, func() { d.decider.run(ctx, host.receiver) })
	for _, duty := range []func(context.Context){d.follower.run, d.exchange.loop, d.fetcher.run, d.registrar.run} {
		i.start(func() { duty(ctx) })
	}
	return nil
}

// serve starts what answers routers and other instances.
func (i *Instance) serve(s *state) error {
	copies, err := newCopyServer(i.options, s)
	if err != nil {
		return err
	}
	i.closers = append(i.closers, copies.close)
	ready, err := newReadyServer(i.options, i.duties.gate)
	if err != nil {
		return err
	}
	i.closers = append(i.closers, ready.close)
	i.start(copies.run, ready.run)
	if !i.options.Metrics.IsValid() {
		return nil
	}
	served, err := newMetricsServer(i.options, i.options.Metrics, i.duties.decider.witness.metrics)
	if err != nil {
		return err
	}
	i.closers = append(i.closers, served.close)
	i.start(served.run)
	return nil
}

// Adjust takes settings that may change while the instance runs.
func (i *Instance) Adjust(seeds []netip.AddrPort, maxFlow time.Duration) {
	i.duties.state.seed(seeds)
	i.duties.decider.maxFlow.Store(int64(maxFlow))
}

// close ends all duties and returns once they have ended.
func (i *Instance) close() {
	i.cancel()
	for _, closeOne := range i.closers {
		closeOne()
	}
	i.running.Wait()
}

func (i *Instance) start(duties ...func()) {
	for _, duty := range duties {
		i.running.Go(duty)
	}
}

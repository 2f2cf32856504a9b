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

	"github.com/go-faster/errors"

	"github.com/tanagerweir/tanagerweir/pkg/connection/forwarding"
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
}

// Store is the platform's key-value store.
type Store interface {
	// ReadAll returns every key.
	ReadAll(ctx context.Context) (replica.Batch, error)
	// Watch waits for changes after a revision.
	Watch(ctx context.Context, after uint64, wait time.Duration) (replica.Batch, error)
	// Reconnect makes the next call open a new connection.
	Reconnect()
}

// Translate applies changed keys to a directory and returns what was unusable.
type Translate func(directory.Directory, []replica.Change) (directory.Directory, []error)

// Options are what an instance is told at its start.
type Options struct {
	Name       string
	DataCentre string
	Packets    netip.AddrPort
	Ready      netip.AddrPort
	// ReadyPath is the path that the routers ask for at Ready.
	ReadyPath string
	Format    Format
	Store     Store
	Translate Translate
	MaxFlow   time.Duration
	Logger    *slog.Logger
	Seed      uint64
}

// Instance is a running instance.
type Instance struct {
	options Options
	began   time.Time
	decider *decider
	gate    *gate
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// New starts an instance and returns a function that ends it at once.
func New(o Options) (*Instance, func(), error) {
	ctx, cancel := context.WithCancel(context.Background())
	i := &Instance{options: o, began: time.Now(), cancel: cancel, gate: &gate{}}
	receiver, err := newReceiver(o)
	if err != nil {
		cancel()
		return nil, nil, err
	}
	ready, err := newReadyServer(o, i.gate)
	if err != nil {
		cancel()
		return nil, nil, errors.Wrap(err, "serve readiness")
	}
	core := forwarding.New(forwarding.Options{DataCentre: o.DataCentre, Seed: o.Seed, MaxFlow: o.MaxFlow})
	i.decider = newDecider(o, core, receiver, i.now)
	follower := newFollower(o, i.decider, i.gate)
	i.start(receiver.run, ready.run)
	i.start(func() { i.decider.run(ctx) }, func() { follower.run(ctx) })
	return i, func() { cancel(); receiver.close(); ready.close(); i.running.Wait() }, nil
}

// now is the time since the instance began, by a clock that never steps.
func (i *Instance) now() time.Duration { return time.Since(i.began) }

func (i *Instance) start(duties ...func()) {
	for _, duty := range duties {
		i.running.Go(duty)
	}
}

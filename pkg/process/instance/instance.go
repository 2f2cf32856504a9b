// Package instance connects the decision cores of one instance to sockets, the
// platform and the clock.
//
// The cores make the decisions; this package does the I/O. Each background task is
// one goroutine with a method whose name begins with run, and tasks pass data to
// each other through bounded channels.
//
// # Usage
//
//	node, closeNode, err := instance.New(loaded, instance.Options{Logger: logger})
//	if err != nil {
//		return err
//	}
//	defer closeNode()
//	<-interrupted
//	node.Stop(ctx) // finishes requests in flight
package instance

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/tanagerweir/tanagerweir/pkg/process/certificate"
	"github.com/tanagerweir/tanagerweir/pkg/process/control"
	"github.com/tanagerweir/tanagerweir/pkg/process/registrar"
	"github.com/tanagerweir/tanagerweir/pkg/process/settings"
	"github.com/tanagerweir/tanagerweir/pkg/process/store"
	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
)

// Options hold what an instance needs besides its settings.
type Options struct {
	Logger *slog.Logger
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Incarnation has to grow with every start; 0 means the time of the start.
	Incarnation uint64
	// Certificates replace the files that the settings name, unless nil.
	Certificates *certificate.Source
}

// Instance is one running entry instance.
type Instance struct {
	settings       settings.Settings
	log            *slog.Logger
	now            func() time.Time
	store          *store.Client
	registrar      *registrar.Registrar
	state          *state
	packets        *packets
	entrance       *entrance
	servers        *servers
	platformSync   *platformSync
	exchange       *exchange
	configSync     *configSync
	archiver       *archiver
	metrics        *metrics
	stopping       atomic.Bool
	activeRequests requestCounter
	tasks          sync.WaitGroup
	security       security
	guards         guards
}

// New starts an instance. The returned function ends it at once and may be called
// more than once; see Stop for a planned stop.
func New(s settings.Settings, o Options) (*Instance, func(), error) {
	o = o.withDefaults()
	protection, err := newSecurity(s, o)
	if err != nil {
		return nil, nil, err
	}
	client, closeClient, err := store.Dial(s.Platform.String(), insecure.NewCredentials())
	if err != nil {
		return nil, nil, err
	}
	bound, s, err := openSockets(s)
	if err != nil {
		return nil, nil, errors.Join(err, closeClient())
	}
	i := &Instance{
		settings: s, log: o.Logger, now: o.Now, store: client,
		registrar: registrar.New(client), security: protection,
	}
	i.state = newState(s, o)
	i.state.withCore(func(_ time.Time, c *control.Core) { c.SetSeeds(s.Seeds) })
	i.metrics = newMetrics(i)
	i.guards = newGuards(o, i.metrics.registry)
	i.platformSync = newPlatformSync(i, o)
	i.exchange = newExchange(i)
	i.configSync = newConfigSync(i)
	i.archiver = newArchiver(i)
	i.packets = newPackets(i, bound)
	i.entrance = newEntrance(i)
	i.servers = newServers(i, bound)
	ctx, cancel := context.WithCancel(context.Background())
	i.start(ctx)
	end := func() {
		cancel()
		i.servers.close()
		i.exchange.close()
		if err := errors.Join(bound.close(), closeClient()); err != nil {
			i.log.Debug("Instance: closing the sockets or the connection to the platform failed.", "Error", err)
		}
		i.tasks.Wait()
	}
	return i, sync.OnceFunc(end), nil
}

func (o Options) withDefaults() Options {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Incarnation == 0 {
		o.Incarnation = uint64(o.Now().UnixNano())
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	return o
}

func (i *Instance) start(ctx context.Context) {
	i.entrance.start(ctx)
	i.servers.start(&i.tasks)
	i.packets.start(ctx, &i.tasks)
	i.tasks.Go(func() { i.platformSync.runPolls(ctx) })
	i.tasks.Go(func() { i.platformSync.runWatch(ctx) })
	i.tasks.Go(func() { i.exchange.run(ctx) })
	i.tasks.Go(func() { newInspector(i).run(ctx) })
	i.tasks.Go(func() { newListReconciler(i).run(ctx) })
	i.tasks.Go(func() { i.configSync.run(ctx) })
	i.tasks.Go(func() { i.archiver.run(ctx) })
}

// Name returns the instance's name.
func (i *Instance) Name() string { return i.settings.Name }

// Settings returns the settings with the endpoints that were bound.
func (i *Instance) Settings() settings.Settings { return i.settings }

// Ready reports whether the instance has a configuration, has learned from its
// peers which flows are disputed, and isn't leaving.
func (i *Instance) Ready() bool {
	return i.state.version() > 0 && i.packets.synchronised.Load() && !i.stopping.Load()
}

// Version returns the catalogue version in force, 0 for none.
func (i *Instance) Version() catalogue.Version { return i.state.version() }

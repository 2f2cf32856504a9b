package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/process/logs"
	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
)

const (
	// leaseFor is how long a registration outlasts its instance. It only names
	// where an instance may be; who is alive shows in the exchange.
	leaseFor = time.Minute
	// renewEvery leaves two more tries before a lease runs out.
	renewEvery = 20 * time.Second
	// registerDeadline bounds a call of the registrar.
	registerDeadline = 2 * time.Second
	// missingFor is how long a registration may be missing from the copy until
	// it is written again: other instances need a second to tell of it.
	missingFor = 3 * time.Second
	// registerPoll is how often the registrar looks at the copy.
	registerPoll = time.Second
)

// registrar keeps the instance's registration in the store.
type registrar struct {
	store  Store
	state  *state
	self   directory.Instance
	key    string
	value  []byte
	log    *slog.Logger
	random *rand.Rand
	host   Host

	lease   uint64
	renewed time.Duration
	// seen is when the registration was last in the copy, or written.
	seen time.Duration
}

func newRegistrar(o Options, s *state, h Host) (*registrar, error) {
	self := directory.Instance{Name: o.Name, DataCentre: o.DataCentre, Endpoint: o.Peers}
	key, value, err := o.EncodeInstance(self)
	if err != nil {
		return nil, err
	}
	return &registrar{
		store: o.Store, state: s, self: self, key: key, value: value, log: o.Logger, host: h,
		random: rand.New(rand.NewPCG(o.Seed, 1)), seen: -missingFor,
	}, nil
}

// run registers, renews the lease, and registers again when the registration is
// lost, until the context ends.
func (r *registrar) run(ctx context.Context) {
	for ctx.Err() == nil {
		// Drawn, so that instances that start together don't write in step.
		r.host.Pause(ctx, registerPoll/2+time.Duration(r.random.Int64N(int64(registerPoll))))
		if r.state.revision() == 0 {
			continue
		}
		if err := r.step(ctx); err != nil && ctx.Err() == nil {
			r.log.WarnContext(logs.Always(), "Registrar: the instance isn't registered.", "Error", err)
			r.host.Pause(ctx, time.Duration(r.random.Int64N(int64(missingFor))))
		}
	}
}

func (r *registrar) step(ctx context.Context) error {
	ctx, cancel := r.host.Deadline(ctx, registerDeadline)
	defer cancel()
	if r.state.registered(r.self) {
		r.seen = r.host.Now()
	}
	switch {
	case r.host.Now()-r.seen >= missingFor:
		return r.register(ctx)
	case r.lease != 0 && r.host.Now()-r.renewed >= renewEvery:
		return r.renew(ctx)
	}
	return nil
}

func (r *registrar) register(ctx context.Context) error {
	lease, _, err := r.store.Grant(ctx, leaseFor)
	if err != nil {
		return err
	}
	if err := r.store.Put(ctx, r.key, r.value, lease); err != nil {
		return err
	}
	r.lease, r.renewed, r.seen = lease, r.host.Now(), r.host.Now()
	r.log.InfoContext(logs.Always(), "Registrar: registered.", "Lease", lease)
	return nil
}

func (r *registrar) renew(ctx context.Context) error {
	if err := r.store.Renew(ctx, r.lease); err != nil {
		r.lease = 0
		return err
	}
	r.renewed = r.host.Now()
	return nil
}

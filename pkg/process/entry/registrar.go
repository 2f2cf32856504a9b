package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/process/containment"
	"github.com/tanagerweir/tanagerweir/pkg/process/logs"
	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
)

const (
	// leaseDuration is how long a registration outlasts its instance. A registration
	// only says where an instance may be found; whether it is alive is known from
	// the messages that instances exchange.
	leaseDuration = time.Minute
	// renewPeriod leaves time for two more attempts before a lease expires.
	renewPeriod = 20 * time.Second
	// registerDeadline bounds one step of the registrar with all its calls to the
	// store.
	registerDeadline = 2 * time.Second
	// missingLimit is how long the registration may be missing from the replica
	// before it is written again: a new key takes about a second to arrive through
	// other instances.
	missingLimit = 3 * time.Second
	// registerPoll is the mean time between two checks of the replica.
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
	guard  *containment.Guard

	lease     uint64
	renewedAt time.Duration
	// lastSeen is when the registration was last found in the replica, or written.
	lastSeen time.Duration
}

func newRegistrar(o Options, s *state, h Host) (*registrar, error) {
	self := directory.Instance{Name: o.Name, DataCentre: o.DataCentre, Endpoint: o.Peers}
	key, value, err := o.EncodeInstance(self)
	if err != nil {
		return nil, err
	}
	return &registrar{
		store: o.Store, state: s, self: self, key: key, value: value, log: o.Logger, host: h,
		random: rand.New(rand.NewPCG(o.Seed, 1)), lastSeen: -missingLimit,
	}, nil
}

// run registers the instance, renews the lease, and registers again when the
// registration is lost, until the context ends.
func (r *registrar) run(ctx context.Context) {
	for ctx.Err() == nil {
		// The random part keeps instances that start together from writing at the
		// same time.
		r.host.Pause(ctx, registerPoll/2+time.Duration(r.random.Int64N(int64(registerPoll))))
		if r.state.revision() == 0 {
			continue
		}
		if err := r.guard.Do(func() error { return r.step(ctx) }); err != nil && ctx.Err() == nil {
			r.log.WarnContext(logs.Always(), "Registrar: the instance's registration can't be written or renewed.", "Error", err)
			r.host.Pause(ctx, time.Duration(r.random.Int64N(int64(missingLimit))))
		}
	}
}

func (r *registrar) step(ctx context.Context) error {
	ctx, cancel := r.host.Deadline(ctx, registerDeadline)
	defer cancel()
	if r.state.registered(r.self) {
		r.lastSeen = r.host.Now()
	}
	switch {
	case r.host.Now()-r.lastSeen >= missingLimit:
		return r.register(ctx)
	case r.lease != 0 && r.host.Now()-r.renewedAt >= renewPeriod:
		return r.renew(ctx)
	}
	return nil
}

func (r *registrar) register(ctx context.Context) error {
	lease, _, err := r.store.Grant(ctx, leaseDuration)
	if err != nil {
		return err
	}
	if err := r.store.Put(ctx, r.key, r.value, lease); err != nil {
		return err
	}
	r.lease, r.renewedAt, r.lastSeen = lease, r.host.Now(), r.host.Now()
	r.log.InfoContext(logs.Always(), "Registrar: registered.", "Lease", lease)
	return nil
}

func (r *registrar) renew(ctx context.Context) error {
	if err := r.store.Renew(ctx, r.lease); err != nil {
		r.lease = 0
		return err
	}
	r.renewedAt = r.host.Now()
	return nil
}

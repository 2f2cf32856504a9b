package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/process/containment"
	"github.com/tanagerweir/tanagerweir/pkg/process/logs"
	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
	"github.com/tanagerweir/tanagerweir/pkg/version/replica"
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
	// registerPoll is the mean time between two checks of the replica. After a change of
	// the store's era all instances register again at their next check, with two writes
	// each: of 490 instances some 430 in the busiest second, which is 860 writes and
	// below the 1,200 that the store takes.
	registerPoll = time.Second
)

// registrar keeps the instance's registration in the store. A restored store may lack the
// registration, or have it under the number of a lease that it gives to another instance,
// so that each era needs a new lease.
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

	// lease is the zero Lease if there is none.
	lease     replica.Lease
	renewedAt time.Duration
	// lastSeen is when the registration was last found in the replica, or written, and
	// era the replica's era at the first check and at each writing.
	lastSeen time.Duration
	era      uint64
	checked  bool
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
	era := r.state.position().Era
	if !r.checked {
		r.era, r.checked = era, true
	}
	switch {
	case era > r.era || r.host.Now()-r.lastSeen >= missingLimit:
		return r.register(ctx, era)
	case r.lease.Number != 0 && r.host.Now()-r.renewedAt >= renewPeriod:
		return r.renew(ctx)
	}
	return nil
}

// register writes the registration with a new lease; era is the replica's.
func (r *registrar) register(ctx context.Context, era uint64) error {
	lease, err := r.store.Grant(ctx, leaseDuration)
	if err != nil {
		return err
	}
	if err := r.store.Put(ctx, r.key, r.value, lease); err != nil {
		return err
	}
	r.lease, r.era, r.renewedAt, r.lastSeen = lease, era, r.host.Now(), r.host.Now()
	r.log.InfoContext(logs.Always(), "Registrar: registered.", "Lease", lease.Number, "Era", lease.Era)
	return nil
}

func (r *registrar) renew(ctx context.Context) error {
	if err := r.store.Renew(ctx, r.lease); err != nil {
		r.lease = replica.Lease{}
		return err
	}
	r.renewedAt = r.host.Now()
	return nil
}

package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/tanagerweir/tanagerweir/pkg/process/containment"
	"github.com/tanagerweir/tanagerweir/pkg/process/logs"
	"github.com/tanagerweir/tanagerweir/pkg/transfer"
	"github.com/tanagerweir/tanagerweir/pkg/version/replica"
)

const (
	// watchWait is how long the store holds a watch without changes. Each response
	// confirms the replica; instances follow the store themselves after 1.7 s
	// without a confirmation.
	watchWait = 800 * time.Millisecond
	// callSlack is the time that a response may take to begin beyond watchWait: the
	// store answers in 4 ms, and in a few hundred when it is slow.
	callSlack = 500 * time.Millisecond
	// An instance without any keys serves nobody, so that of startupCalls calls all but the last
	// are given up after startupFirst: a call that was sent while the store was silent stays
	// unanswered. The last allows for a store that is slower.
	startupFirst = 400 * time.Millisecond
	startupCalls = 3
	// transferSilence is how long a response that has begun may bring less than
	// transferStep: lost packets are sent again after 200 ms, and again after 400 ms.
	transferSilence = time.Second
	// transferStep is the number of bytes that count as progress. A link of 1 Mbit/s
	// carries thirty times as many in transferSilence.
	transferStep = 4 << 10
	// burstPause is the pause after changes, so that a burst of them takes fewer
	// calls. The users' rules allow 3 s for a change to take effect.
	burstPause = 120 * time.Millisecond
	// idlePoll is how often an instance that doesn't follow the store checks
	// whether it has to.
	idlePoll = 100 * time.Millisecond
	// initialBackoff and maxBackoff bound the pause after a failed call, which
	// doubles with each failure. The pause is drawn from the upper half of that
	// time, so that instances don't call at the same moment. maxBackoff is half the
	// time that the users' rules allow for a change to take effect.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 1500 * time.Millisecond
)

// storeLimit bounds one call to the store.
var storeLimit = transfer.Limit{First: watchWait + callSlack, Silence: transferSilence, MinBytes: transferStep}

var (
	// errMoreThanAll ends a watch that returns more than all keys hold, as after many
	// changes of one large key.
	errMoreThanAll = errors.New("entry: the changes are larger than all keys")
	// errReplicaArrived ends the first reading of all keys once another instance has
	// sent them.
	errReplicaArrived = errors.New("entry: another instance has sent all keys")
)

// follower reads changes from the platform's store while the instance is the one
// that follows it.
type follower struct {
	store Store
	state *state
	link  *linkBudget
	// push announces changes from the store to other instances.
	push        func()
	changesLost func(error) bool
	log         *slog.Logger
	host        Host
	guard       *containment.Guard
	random      *rand.Rand
	// failedCalls counts failed calls in a row.
	failedCalls int
	// readAll is set when the next call has to read all keys instead of watching.
	readAll bool
	// loadingSince is when the response that arrives now began, in nanoseconds since
	// the start, or notLoading.
	loadingSince atomic.Int64
}

// notLoading says that no response arrives.
const notLoading = -1

func newFollower(o Options, s *state, link *linkBudget, push func(), h Host) *follower {
	f := &follower{
		store: o.Store, state: s, link: link, push: push, changesLost: o.ChangesLost, log: o.Logger, host: h,
		random: rand.New(rand.NewPCG(o.Seed, uint64(len(o.Name)))), readAll: true,
	}
	f.loadingSince.Store(notLoading)
	return f
}

// run follows the store whenever the instance has to, until the context ends.
func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		if f.state.revision() > 0 && !f.state.updateFollowing() {
			f.failedCalls, f.readAll = 0, false
			f.host.Pause(ctx, idlePoll)
			continue
		}
		if err := f.guard.Do(func() error { return f.call(ctx) }); err != nil && ctx.Err() == nil {
			f.handleFailure(err)
			f.host.Pause(ctx, f.backoff())
		}
	}
}

// call makes one call to the store and applies its response.
func (f *follower) call(ctx context.Context) error {
	began := f.host.Now()
	b, err := f.readStore(ctx)
	if err != nil {
		return err
	}
	before := f.state.position()
	if b.Era < before.Era {
		return &olderEraError{response: b.Position(), own: before.Position}
	}
	if f.failedCalls > 0 {
		f.log.InfoContext(logs.Always(), "Follower: the store answers again.", "Failed", f.failedCalls, "Revision", b.Revision)
	}
	f.failedCalls, f.readAll = 0, false
	if !f.state.applyBatch(b, fromStore) {
		f.readAll = true
		return nil
	}
	if !b.Whole && len(b.Changes) == 0 {
		// The store answered at the end of the wait, not at its beginning.
		began = min(began+watchWait, f.host.Now())
	}
	f.state.confirm(began)
	if b.Position().Compare(before.Position) > 0 {
		f.push()
		f.host.Pause(ctx, burstPause)
	}
	return nil
}

// readStore makes the call. It gives up a response only if that stops to arrive, or
// isn't needed any more.
func (f *follower) readStore(ctx context.Context) (replica.Batch, error) {
	atStart := f.state.revision() == 0
	limit := storeLimit
	if atStart && f.failedCalls%startupCalls < startupCalls-1 {
		limit.First = startupFirst
	}
	ctx, cancel := f.host.Transfer(ctx, limit)
	defer cancel(nil)
	defer f.loadingSince.Store(notLoading)
	whole := f.readAll || atStart
	most, received := max(int64(f.state.size()), f.link.abandonedSize()), int64(0)
	ctx = transfer.WithTrace(ctx, transfer.Trace{
		Began: func(size int64) {
			f.loadingSince.Store(int64(f.host.Now()))
			if !whole && size > most {
				cancel(errMoreThanAll)
			}
		},
		Received: func(bytes int) {
			f.state.progress()
			received += int64(bytes)
			switch {
			case !whole && received > most:
				cancel(errMoreThanAll)
			case atStart && f.state.revision() > 0:
				cancel(errReplicaArrived)
			}
		},
	})
	if whole {
		return f.store.ReadAll(ctx)
	}
	return f.store.Watch(ctx, "", f.state.revision(), watchWait)
}

// loadingFor returns for how long the response that arrives now has been arriving, 0 if
// there is none.
func (f *follower) loadingFor() time.Duration {
	if since := f.loadingSince.Load(); since != notLoading {
		return f.host.Now() - time.Duration(since)
	}
	return 0
}

// handleFailure logs a failed call and sets up the next one.
func (f *follower) handleFailure(err error) {
	switch {
	case errors.Is(err, errReplicaArrived):
		f.readAll = false
		return
	case !f.readAll && f.changesLost(err):
		f.readAll = true
		f.log.InfoContext(logs.Always(), "Follower: the changes can't be read; reading all keys.", "Error", err, "Revision", f.state.revision())
		return
	case errors.Is(err, errMoreThanAll):
		f.readAll = true
		f.log.InfoContext(logs.Always(), "Follower: the changes are larger than all keys; reading all keys.", "Revision", f.state.revision())
		return
	}
	f.failedCalls++
	f.log.WarnContext(logs.Always(), "Follower: the store can't be read.", "Error", err, "Failed", f.failedCalls, "Revision", f.state.revision())
	f.store.Reconnect()
}

func (f *follower) backoff() time.Duration {
	if f.failedCalls == 0 {
		return 0
	}
	longest := min(initialBackoff<<min(f.failedCalls-1, 10), maxBackoff)
	return longest/2 + time.Duration(f.random.Int64N(int64(longest/2)))
}

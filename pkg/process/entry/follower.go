package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/process/logs"
	"github.com/tanagerweir/tanagerweir/pkg/version/replica"
)

const (
	// watchWait is how long the store holds a watch without changes. Each answer
	// confirms the copy, and instances follow themselves after 1.7 s without.
	watchWait = 800 * time.Millisecond
	// callSlack is the time that an answer may take beyond that: the store
	// answers in 4 ms, and a few hundred when it is slow.
	callSlack = 500 * time.Millisecond
	// gatherFor is the pause after changes, so that a burst of them costs fewer
	// calls. Rules leave 3 s for a change to take effect.
	gatherFor = 120 * time.Millisecond
	// idlePoll is how often an instance that doesn't follow looks whether it has
	// to.
	idlePoll = 100 * time.Millisecond
	// firstBackoff and lastBackoff bound the pause after a failed call, which
	// doubles; each is drawn between half and all of it, so that instances don't
	// call in step. The last is half the time that rules leave for a change.
	firstBackoff = 100 * time.Millisecond
	lastBackoff  = 1500 * time.Millisecond
)

// follower brings the platform's changes in while the instance follows.
type follower struct {
	store  Store
	state  *state
	push   func()
	gone   func(error) bool
	log    *slog.Logger
	host   Host
	random *rand.Rand
	// failed counts the calls that failed in a row.
	failed int
	// whole says that all keys have to be read.
	whole bool
}

func newFollower(o Options, s *state, push func(), h Host) *follower {
	return &follower{
		store: o.Store, state: s, push: push, gone: o.HistoryGone, log: o.Logger, host: h,
		random: rand.New(rand.NewPCG(o.Seed, uint64(len(o.Name)))), whole: true,
	}
}

// run follows until the context ends.
func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		if f.state.revision() > 0 && !f.state.follows() {
			f.failed, f.whole = 0, false
			f.host.Pause(ctx, idlePoll)
			continue
		}
		if err := f.call(ctx); err != nil && ctx.Err() == nil {
			f.recover(err)
			f.host.Pause(ctx, f.backoff())
		}
	}
}

// call makes one call and takes its answer.
func (f *follower) call(ctx context.Context) error {
	began := f.host.Now()
	b, err := f.ask(ctx)
	if err != nil {
		return err
	}
	if f.failed > 0 {
		f.log.InfoContext(logs.Always(), "Follower: the store answers again.", "Failed", f.failed, "Revision", b.Revision)
	}
	f.failed, f.whole = 0, false
	before := f.state.revision()
	if !f.state.take(b, "the store") {
		f.whole = true
		return nil
	}
	if !b.Whole && len(b.Changes) == 0 {
		// The store answered when the wait was over, not when it began.
		began = min(began+watchWait, f.host.Now())
	}
	f.state.confirm(began)
	if b.Revision > before {
		f.push()
		f.host.Pause(ctx, gatherFor)
	}
	return nil
}

func (f *follower) ask(ctx context.Context) (replica.Batch, error) {
	ctx, cancel := f.host.Deadline(ctx, watchWait+callSlack)
	defer cancel()
	if f.whole || f.state.revision() == 0 {
		return f.store.ReadAll(ctx)
	}
	return f.store.Watch(ctx, f.state.revision(), watchWait)
}

// recover prepares the next call after a failed one.
func (f *follower) recover(err error) {
	if f.gone(err) {
		f.whole = true
		f.log.InfoContext(logs.Always(), "Follower: the store dropped its history, all keys are read.", "Revision", f.state.revision())
		return
	}
	f.failed++
	f.log.WarnContext(logs.Always(), "Follower: the store can't be read.", "Error", err, "Failed", f.failed, "Revision", f.state.revision())
	f.store.Reconnect()
}

func (f *follower) backoff() time.Duration {
	if f.failed == 0 {
		return 0
	}
	longest := min(firstBackoff<<min(f.failed-1, 10), lastBackoff)
	return longest/2 + time.Duration(f.random.Int64N(int64(longest/2)))
}

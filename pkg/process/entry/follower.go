package entry

import (
	"context"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
	"github.com/tanagerweir/tanagerweir/pkg/version/replica"
)

const (
	watchWait    = 700 * time.Millisecond
	callDeadline = 1100 * time.Millisecond
	retryPause   = 100 * time.Millisecond
)

// follower brings the platform's changes in.
type follower struct {
	options   Options
	decider   *decider
	gate      *gate
	replica   *replica.Replica
	directory directory.Directory
}

func newFollower(o Options, d *decider, g *gate) *follower {
	return &follower{options: o, decider: d, gate: g, replica: replica.New(), directory: directory.New()}
}

func (f *follower) run(ctx context.Context) {
	whole := true
	for ctx.Err() == nil {
		b, err := f.call(ctx, whole)
		if err != nil {
			f.options.Logger.Warn("Follower: store.", "Error", err)
			f.options.Store.Reconnect()
			whole = true
			time.Sleep(retryPause)
			continue
		}
		whole = false
		f.take(b)
	}
}

func (f *follower) call(ctx context.Context, whole bool) (replica.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, callDeadline)
	defer cancel()
	if whole {
		return f.options.Store.ReadAll(ctx)
	}
	return f.options.Store.Watch(ctx, f.replica.Revision(), watchWait)
}

func (f *follower) take(b replica.Batch) {
	changes, _ := f.replica.Apply(b)
	if len(changes) == 0 {
		return
	}
	var problems []error
	f.directory, problems = f.options.Translate(f.directory, changes)
	for _, p := range problems {
		f.options.Logger.Warn("Follower: entry.", "Error", p)
	}
	f.decider.adopt(f.directory)
	if f.directory.Version() > 0 {
		f.gate.know()
	}
}

package entry

import (
	"context"
	"log/slog"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/process/containment"
)

const (
	// earlyAfter is how long a response may take to arrive until changes of the keys
	// with early prefixes are read beside it. Instances have 3 s at the least to stop
	// using a backend server that leaves.
	earlyAfter = 300 * time.Millisecond
	// earlyPoll is the time between two readings.
	earlyPoll = 300 * time.Millisecond
)

// earlyReader reads changes of small keys from the store while a large change of
// another key arrives, which would hold them up for seconds on a slow link.
type earlyReader struct {
	store    Store
	state    *state
	follower *follower
	prefixes []string
	push     func()
	log      *slog.Logger
	host     Host
	guard    *containment.Guard
	// after is the revision up to which the changes of each prefix were read, in this
	// era; it is empty while nothing is read early.
	after map[string]uint64
	era   uint64
}

func newEarlyReader(o Options, s *state, f *follower, push func(), h Host) *earlyReader {
	return &earlyReader{store: o.Store, state: s, follower: f, prefixes: o.EarlyPrefixes, push: push, log: o.Logger, host: h}
}

// run reads early changes whenever a response takes long, until the context ends.
func (r *earlyReader) run(ctx context.Context) {
	for ctx.Err() == nil {
		r.host.Pause(ctx, earlyPoll)
		r.step(ctx)
	}
}

// step reads early changes if a response takes long.
func (r *earlyReader) step(ctx context.Context) {
	defer r.guard.Contain()
	p := r.state.position()
	revision := p.Revision
	if revision == 0 || r.follower.loadingFor() < earlyAfter {
		r.after = nil
		return
	}
	if r.after == nil || r.era != p.Era {
		r.after, r.era = make(map[string]uint64), p.Era
		r.log.Info("Follower: a large change arrives; reading others early.", "Revision", revision)
	}
	for _, prefix := range r.prefixes {
		r.read(ctx, prefix, max(r.after[prefix], revision))
	}
}

// read reads the changes of one prefix after a revision.
func (r *earlyReader) read(ctx context.Context, prefix string, after uint64) {
	ctx, cancel := r.host.Transfer(ctx, storeLimit)
	defer cancel(nil)
	b, err := r.store.Watch(ctx, prefix, after, time.Millisecond)
	if err != nil {
		// The follower reads all keys if the history is gone.
		r.log.Info("Follower: changes can't be read early.", "Prefix", prefix, "After", after, "Error", err)
		return
	}
	if b.Era != r.era {
		return // the follower reads all keys of a newer era
	}
	r.after[prefix] = b.Revision
	if r.state.applyEarly(b.Era, b.Changes, fromStore) {
		r.push()
	}
}

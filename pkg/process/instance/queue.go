package instance

import (
	"context"
	"sync"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/process/control"
	"github.com/tanagerweir/tanagerweir/pkg/request/dispatch"
	"github.com/tanagerweir/tanagerweir/pkg/request/verdict"
)

// queue blocks requests that wait for a slot until the control core decides on
// them.
type queue struct {
	node *Instance

	mu      sync.Mutex
	waiters map[string]chan dispatch.Decision // by ticket
}

func newQueue(i *Instance) *queue {
	return &queue{node: i, waiters: make(map[string]chan dispatch.Decision)}
}

// run asks the control core at every tick for waits that are over.
func (q *queue) run(ctx context.Context) {
	ticker := time.NewTicker(dispatch.TickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		q.node.state.withCore(func(now time.Time, c *control.Core) {
			if c.Waiting() > 0 {
				q.deliver(c.Ready(now))
			}
		})
	}
}

// begin returns the first attempt of a request, after its wait, or a refusal.
func (q *queue) begin(ctx context.Context, r dispatch.Request) (a dispatch.Attempt, refusal *verdict.Error) {
	var decided chan dispatch.Decision
	q.node.state.withCore(func(now time.Time, c *control.Core) {
		a, refusal = c.Begin(now, r)
		if refusal == nil && a.Waiting {
			decided = q.addWaiter(a.Ticket)
		}
		q.deliver(c.Ready(now))
	})
	if refusal != nil {
		return a, refusal
	}
	return q.wait(ctx, a, decided)
}

// complete takes the outcome of an attempt and returns the next one, after its
// wait, if one follows.
func (q *queue) complete(ctx context.Context, a dispatch.Attempt, o dispatch.Outcome) (dispatch.Attempt, *verdict.Error, bool) {
	var next dispatch.Attempt
	var again bool
	var decided chan dispatch.Decision
	q.node.state.withCore(func(now time.Time, c *control.Core) {
		next, again = c.Complete(now, a, o)
		if again && next.Waiting {
			decided = q.addWaiter(next.Ticket)
		}
		q.deliver(c.Ready(now))
	})
	if !again {
		return next, nil, false
	}
	next, refusal := q.wait(ctx, next, decided)
	return next, refusal, true
}

// wait blocks until the attempt is decided or ctx ends. With a nil channel it
// returns a at once.
func (q *queue) wait(ctx context.Context, a dispatch.Attempt, decided <-chan dispatch.Decision) (dispatch.Attempt, *verdict.Error) {
	if decided == nil {
		return a, nil
	}
	select {
	case d := <-decided:
		return d.Attempt, d.Refusal
	case <-ctx.Done():
		return q.abandon(a, decided)
	}
}

// abandon ends the wait of a request whose caller is gone. If the wait was already
// over, it returns the decision that was made.
func (q *queue) abandon(a dispatch.Attempt, decided <-chan dispatch.Decision) (dispatch.Attempt, *verdict.Error) {
	stillWaiting := false
	q.node.state.withCore(func(_ time.Time, c *control.Core) { stillWaiting = c.Abandon(a) })
	if !stillWaiting {
		d := <-decided
		return d.Attempt, d.Refusal
	}
	q.removeWaiter(a.Ticket)
	return a, verdict.New(a.Verdict(verdict.NotRun), dispatch.CauseCancelled, nil)
}

func (q *queue) addWaiter(ticket string) chan dispatch.Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	decided := make(chan dispatch.Decision, 1)
	q.waiters[ticket] = decided
	return decided
}

func (q *queue) removeWaiter(ticket string) chan dispatch.Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	decided := q.waiters[ticket]
	delete(q.waiters, ticket)
	return decided
}

// deliver wakes the requests that wait for these decisions.
func (q *queue) deliver(decisions []dispatch.Decision) {
	for _, d := range decisions {
		if decided := q.removeWaiter(d.Attempt.Ticket); decided != nil {
			decided <- d
		}
	}
}

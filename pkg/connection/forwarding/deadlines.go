package forwarding

import (
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/connection/segment"
)

const (
	// deadlineStep is the time between two ticks, and deadlineSteps the number of steps
	// ahead that a deadline may be.
	deadlineStep  = 100 * time.Millisecond
	deadlineSteps = 16
)

// deadline is when to look at a flow again.
type deadline struct {
	key segment.Flow
	// at is when the request or the answer began that the deadline is about.
	at time.Duration
	// hang says that it is about a request without an answer.
	hang bool
}

// deadlines holds deadlines by the step in which they are due. Adding one allocates no
// memory in the long run.
type deadlines struct {
	steps [deadlineSteps][]deadline
	// next is the number of the first step that isn't handled yet.
	next int64
}

// add adds a deadline. A full step drops it, as flows beyond that number aren't recorded
// either.
func (d *deadlines) add(now, due time.Duration, l deadline) {
	step := max(int64(due/deadlineStep)+1, d.next)
	step = min(step, max(d.next, int64(now/deadlineStep))+deadlineSteps-1)
	if slot := &d.steps[step%deadlineSteps]; len(*slot) < maxFlows {
		*slot = append(*slot, l)
	}
}

// expire calls due for each deadline up to now.
func (d *deadlines) expire(now time.Duration, due func(deadline)) {
	last := int64(now / deadlineStep)
	for d.next = max(d.next, last-deadlineSteps+1); d.next <= last; d.next++ {
		slot := &d.steps[d.next%deadlineSteps]
		for _, l := range *slot {
			due(l)
		}
		*slot = (*slot)[:0]
	}
}

func (d *deadlines) clear() {
	for i := range d.steps {
		d.steps[i] = d.steps[i][:0]
	}
}

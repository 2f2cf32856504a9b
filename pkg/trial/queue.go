package trial

import (
	"container/heap"
	"time"
)

// event is an action scheduled for a time. number is the order in which events
// were scheduled.
type event struct {
	at     time.Time
	number uint64
	action func()
}

// queue is a heap of events, ordered by time and then by number. It implements
// heap.Interface.
type queue []event

// Len returns the number of events.
func (q queue) Len() int { return len(q) }

// Less reports whether event i comes before event j.
func (q queue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].number < q[j].number
}

// Swap exchanges two events.
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends an event; see container/heap.
func (q *queue) Push(x any) { *q = append(*q, x.(event)) }

// Pop removes the last event; see container/heap.
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// after schedules action for d from now.
func (t *Trial) after(d time.Duration, action func()) {
	t.eventCount++
	heap.Push(&t.queue, event{at: t.now.Add(d), number: t.eventCount, action: action})
}

// every runs action periodically until it returns false. The first run comes
// after a random part of the period.
func (t *Trial) every(period time.Duration, action func() bool) {
	var run func()
	run = func() {
		if action() {
			t.after(period, run)
		}
	}
	t.after(time.Duration(t.random.Int64N(int64(period))), run)
}

package configuration

import (
	"container/heap"
	"time"
)

// event is a function that is due at a time.
type event struct {
	at       time.Time
	sequence int
	run      func()
}

// events is a heap of events, ordered by time and, for the same time, by when
// they were scheduled.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].sequence < e[j].sequence
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(item any) { *e = append(*e, item.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// queue runs events in injected time.
type queue struct {
	now       time.Time
	scheduled int // number of events so far
	pending   events
}

// after schedules run at d from now.
func (q *queue) after(d time.Duration, run func()) {
	q.scheduled++
	heap.Push(&q.pending, event{at: q.now.Add(d), sequence: q.scheduled, run: run})
}

// advance moves the time on by d and runs the events that become due meanwhile.
func (q *queue) advance(d time.Duration) {
	end := q.now.Add(d)
	for len(q.pending) > 0 && !q.pending[0].at.After(end) {
		next := heap.Pop(&q.pending).(event)
		q.now = next.at
		next.run()
	}
	q.now = end
}

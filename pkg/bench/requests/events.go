package requests

import (
	"container/heap"
	"time"
)

// event is a function that is due at a time of a timeline.
type event struct {
	at       time.Duration
	sequence uint64 // events of the same time run in the order of scheduling
	run      func()
}

// events is a heap of events, the one due first at the top.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	(*e)[len(*e)-1] = event{}
	*e = (*e)[:len(*e)-1]
	return last
}

// timeline is the injected time of a benchmark and the events to come.
type timeline struct {
	now      time.Duration
	pending  events
	sequence uint64 // of the newest event
}

// epoch is the time at which every timeline begins.
var epoch = time.Date(2026, 6, 1, 0, 0, 0, 0, time.UTC)

func (t *timeline) clock() time.Time { return epoch.Add(t.now) }

// after schedules run at d from now, or now if d is negative.
func (t *timeline) after(d time.Duration, run func()) {
	t.sequence++
	heap.Push(&t.pending, event{at: t.now + max(0, d), sequence: t.sequence, run: run})
}

// runUntil runs the events that are due until that time, and moves the time there.
func (t *timeline) runUntil(until time.Duration) {
	for len(t.pending) > 0 && t.pending[0].at <= until {
		e := heap.Pop(&t.pending).(event)
		t.now = e.at
		e.run()
	}
	t.now = until
}

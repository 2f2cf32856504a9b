// Package timeline schedules events and processes in virtual time. They run one at
// a time and in a fixed order, so a run with the same inputs always gives the same
// result.
//
// # Usage
//
//	t := timeline.New()
//	t.After(time.Second, func() { fmt.Println(t.Now()) })
//	t.Go(func() {
//		t.Pause(2 * time.Second)
//		fmt.Println("two seconds later")
//	})
//	t.Run(10 * time.Second)
//	t.Close()
//
// A Timeline is not safe for concurrent use: one goroutine creates, runs and closes
// it. Processes run in turn, as coroutines of that goroutine.
package timeline

import (
	"iter"
	"time"
)

// Timeline is a queue of scheduled events and the processes that wait for them.
type Timeline struct {
	now time.Duration
	// queue is a binary heap; the next event comes first.
	queue []event
	// sequence is the number of events scheduled so far.
	sequence uint64
	running  *Process
	// processes holds those that haven't ended, and idle the coroutines without one.
	processes map[*Process]struct{}
	idle      []*coroutine
}

// coroutine runs one process after the other. A coroutine for each process would do as well, but
// the race detector keeps what it knows of every coroutine that ended, some 10 GB in the tests of
// emulated days.
type coroutine struct {
	// work is the present process's function, nil while there is none.
	work   func()
	resume func() (struct{}, bool)
	stop   func()
	yield  func(struct{}) bool
}

func newCoroutine() *coroutine {
	c := &coroutine{}
	c.resume, c.stop = iter.Pull(func(yield func(struct{}) bool) {
		c.yield = yield
		for {
			c.work()
			c.work = nil
			if !yield(struct{}{}) {
				return
			}
		}
	})
	return c
}

type event struct {
	due time.Duration
	// sequence orders events that are due at the same time.
	sequence uint64
	run      func()
	timer    *Timer
}

func (e event) before(other event) bool {
	return e.due < other.due || e.due == other.due && e.sequence < other.sequence
}

// Timer is a scheduled event that can be cancelled.
type Timer struct{ stopped bool }

// Stop cancels the event if it hasn't run yet. On a nil Timer it does nothing.
func (t *Timer) Stop() {
	if t != nil {
		t.stopped = true
	}
}

// New returns an empty timeline at time 0.
func New() *Timeline { return &Timeline{processes: make(map[*Process]struct{})} }

// Now returns the virtual time since the timeline began.
func (t *Timeline) Now() time.Duration { return t.now }

// At schedules an event for a virtual time; one that lies in the past means now.
// Events for the same time run in the order in which they were scheduled.
func (t *Timeline) At(due time.Duration, run func()) { t.push(event{due: max(due, t.now), run: run}) }

// After schedules an event that runs a duration from now.
func (t *Timeline) After(d time.Duration, run func()) { t.At(t.now+d, run) }

// Timer schedules an event as After does and returns a handle that cancels it.
func (t *Timeline) Timer(d time.Duration, run func()) *Timer {
	timer := &Timer{}
	t.push(event{due: t.now + max(d, 0), run: run, timer: timer})
	return timer
}

// Run runs all events that are due up to and including a virtual time, those
// scheduled meanwhile too, and advances the timeline to that time.
func (t *Timeline) Run(until time.Duration) {
	for len(t.queue) > 0 && t.queue[0].due <= until {
		e := t.pop()
		t.now = e.due
		if e.timer == nil || !e.timer.stopped {
			e.run()
		}
	}
	t.now = max(t.now, until)
}

// push numbers an event and adds it to the heap.
func (t *Timeline) push(e event) {
	t.sequence++
	e.sequence = t.sequence
	t.queue = append(t.queue, e)
	for i := len(t.queue) - 1; i > 0; {
		parent := (i - 1) / 2
		if !t.queue[i].before(t.queue[parent]) {
			return
		}
		t.queue[i], t.queue[parent] = t.queue[parent], t.queue[i]
		i = parent
	}
}

// pop removes the next event from the heap and returns it.
func (t *Timeline) pop() event {
	first, last := t.queue[0], len(t.queue)-1
	t.queue[0], t.queue[last] = t.queue[last], event{}
	t.queue = t.queue[:last]
	for i := 0; ; {
		smallest := i
		for _, child := range [...]int{2*i + 1, 2*i + 2} {
			if child < last && t.queue[child].before(t.queue[smallest]) {
				smallest = child
			}
		}
		if smallest == i {
			return first
		}
		t.queue[i], t.queue[smallest] = t.queue[smallest], t.queue[i]
		i = smallest
	}
}

// Process is a function that runs as a coroutine and can wait in virtual time.
type Process struct {
	timeline  *Timeline
	coroutine *coroutine
	// waitNumber counts the waits that ended, so that a late call of an earlier wait's
	// done function doesn't end the current wait.
	waitNumber uint64
	ended      bool
}

// Go starts a process at the current virtual time. It returns before the process
// has run.
func (t *Timeline) Go(run func()) *Process {
	p := &Process{timeline: t}
	if last := len(t.idle) - 1; last >= 0 {
		p.coroutine, t.idle = t.idle[last], t.idle[:last]
	} else {
		p.coroutine = newCoroutine()
	}
	p.coroutine.work = run
	t.processes[p] = struct{}{}
	t.After(0, p.step)
	return p
}

// step resumes the process until it waits again or ends.
func (p *Process) step() {
	if p.ended {
		return
	}
	previous := p.timeline.running
	p.timeline.running = p
	p.coroutine.resume()
	if p.coroutine.work == nil {
		p.ended = true
		delete(p.timeline.processes, p)
		p.timeline.idle = append(p.timeline.idle, p.coroutine)
	}
	p.timeline.running = previous
}

// Interrupt ends the current wait of the process early.
func (p *Process) Interrupt() { p.wake(p.waitNumber) }

// wake resumes the process if it is still in the wait of that number.
func (p *Process) wake(number uint64) {
	if p.waitNumber == number && !p.ended {
		p.waitNumber++
		p.timeline.After(0, p.step)
	}
}

// Wait suspends the running process until done is called, which begin receives and
// may call at any time, also more than once. Only a process may call Wait.
func (t *Timeline) Wait(begin func(done func())) {
	p := t.running
	number := p.waitNumber
	begin(func() { p.wake(number) })
	p.coroutine.yield(struct{}{})
}

// Pause suspends the running process for a duration of virtual time. Only a process
// may call it.
func (t *Timeline) Pause(d time.Duration) {
	t.Wait(func(done func()) { t.After(d, done) })
}

// Close ends the processes that still wait. Their waits return at once from now on,
// so a process has to check by itself whether it should end.
func (t *Timeline) Close() {
	for p := range t.processes {
		p.ended = true
		t.running = p
		p.coroutine.stop()
	}
	for _, c := range t.idle {
		c.stop()
	}
	t.running, t.idle = nil, nil
	clear(t.processes)
}

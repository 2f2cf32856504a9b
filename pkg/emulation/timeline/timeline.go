// Package timeline runs events and processes in virtual time, one at a time and in
// one order, so that a run with the same inputs repeats.
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
// A Timeline belongs to one goroutine; processes run in turn, as coroutines of it.
package timeline

import (
	"iter"
	"time"
)

// Timeline is a queue of events.
type Timeline struct {
	now     time.Duration
	queue   []event
	order   uint64
	running *Process
	// processes are those that have not ended.
	processes map[*Process]struct{}
}

type event struct {
	at    time.Duration
	order uint64
	do    func()
	timer *Timer
}

func (e event) before(other event) bool {
	return e.at < other.at || e.at == other.at && e.order < other.order
}

// Timer is an event that can be called off.
type Timer struct{ stopped bool }

// Stop calls the event off if it has not happened. A nil Timer has nothing to stop.
func (t *Timer) Stop() {
	if t != nil {
		t.stopped = true
	}
}

// New returns a timeline that begins at 0.
func New() *Timeline { return &Timeline{processes: make(map[*Process]struct{})} }

// Now returns the time since the beginning.
func (t *Timeline) Now() time.Duration { return t.now }

// At lets something happen at a time, at once if that has passed. What was planned
// first for a time happens first.
func (t *Timeline) At(at time.Duration, do func()) { t.push(event{at: max(at, t.now), do: do}) }

// After lets something happen after a time.
func (t *Timeline) After(d time.Duration, do func()) { t.At(t.now+d, do) }

// Timer is After for what may be called off.
func (t *Timeline) Timer(d time.Duration, do func()) *Timer {
	timer := &Timer{}
	t.push(event{at: t.now + max(d, 0), do: do, timer: timer})
	return timer
}

// Run lets happen what is planned until then.
func (t *Timeline) Run(until time.Duration) {
	for len(t.queue) > 0 && t.queue[0].at <= until {
		e := t.pop()
		t.now = e.at
		if e.timer == nil || !e.timer.stopped {
			e.do()
		}
	}
	t.now = max(t.now, until)
}

// push adds an event to the heap.
func (t *Timeline) push(e event) {
	t.order++
	e.order = t.order
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

// pop takes the first event from the heap.
func (t *Timeline) pop() event {
	first, last := t.queue[0], len(t.queue)-1
	t.queue[0], t.queue[last] = t.queue[last], event{}
	t.queue = t.queue[:last]
	for i := 0; ; {
		least := i
		for _, child := range [...]int{2*i + 1, 2*i + 2} {
			if child < last && t.queue[child].before(t.queue[least]) {
				least = child
			}
		}
		if least == i {
			return first
		}
		t.queue[i], t.queue[least] = t.queue[least], t.queue[i]
		i = least
	}
}

// Process is a function that can wait in virtual time.
type Process struct {
	timeline *Timeline
	resume   func() (struct{}, bool)
	stop     func()
	yield    func(struct{}) bool
	// waits numbers the waits, so that a late call doesn't end a later one.
	waits uint64
	ended bool
}

// Go starts a process, now.
func (t *Timeline) Go(run func()) *Process {
	p := &Process{timeline: t}
	p.resume, p.stop = iter.Pull(func(yield func(struct{}) bool) {
		p.yield = yield
		run()
	})
	t.processes[p] = struct{}{}
	t.After(0, p.step)
	return p
}

// step lets the process go on until it waits again or ends.
func (p *Process) step() {
	if p.ended {
		return
	}
	outer := p.timeline.running
	p.timeline.running = p
	if _, waits := p.resume(); !waits {
		p.ended = true
		delete(p.timeline.processes, p)
	}
	p.timeline.running = outer
}

// Interrupt ends the wait that the process is in.
func (p *Process) Interrupt() { p.wake(p.waits) }

func (p *Process) wake(wait uint64) {
	if p.waits == wait && !p.ended {
		p.waits++
		p.timeline.After(0, p.step)
	}
}

// Wait lets the running process wait until the function that begin gets is called.
func (t *Timeline) Wait(begin func(done func())) {
	p := t.running
	wait := p.waits
	begin(func() { p.wake(wait) })
	p.yield(struct{}{})
}

// Pause lets the running process wait for a time.
func (t *Timeline) Pause(d time.Duration) {
	t.Wait(func(done func()) { t.After(d, done) })
}

// Close ends the processes that still wait: their waits return at once from now on,
// so they have to notice that they are to end.
func (t *Timeline) Close() {
	for p := range t.processes {
		p.ended = true
		t.running = p
		p.stop()
	}
	t.running = nil
	clear(t.processes)
}

package emulation

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/connection/segment"
	"github.com/tanagerweir/tanagerweir/pkg/emulation/day"
	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
)

// server is one backend server under one identifier.
type server struct {
	place
	world    *world
	service  day.Service
	id       string
	number   uint64
	endpoint netip.AddrPort
	born     time.Duration
	// listening says that the process runs; a machine that is dark answers nothing.
	listening, dark bool
	draining        bool
	coldUntil       time.Duration
	// slow is by how much work takes longer, grey the share that fails, mute that
	// failed work isn't answered.
	slow   float64
	grey   float64
	mute   bool
	flows  map[segment.Flow]*serverFlow
	active int
	queue  []*attempt
	// beat is when it last wrote to the store, and written what.
	beat    time.Duration
	written string
	stored  bool
	// leftAt is when the store acknowledged that it drains or is gone, 0 for not.
	leftAt time.Duration
	// opened are the times at which cold flows were opened here, for the promise.
	opened []time.Duration
}

// serverFlow is a flow as its server sees it.
type serverFlow struct {
	flow   *flow
	mark   uint32
	first  uint32
	opened bool
	// opening is the packet that the server took.
	opening *transit
	in      *receiver
	out     *sender
	ended   bool
	used    time.Duration
}

// description is what the server writes to the store.
func (v *server) description() directory.Server {
	return directory.Server{
		ID: v.id, Number: v.number, Service: v.service.Name, DataCentre: v.centre, Endpoint: v.endpoint,
		Slots: v.service.Slots, Draining: v.draining, ColdLeft: max(v.coldUntil-v.world.line.Now(), 0),
		Born: int64(v.born / time.Millisecond),
	}
}

// write puts the server's entry into the store if it has changed.
func (v *server) write() {
	w := v.world
	if !v.listening || v.dark || w.store.down || !w.network.reaches(&v.place, &w.store.place) {
		return
	}
	v.beat = w.line.Now()
	d := v.description()
	// The time that stays is written when it begins and ends to count.
	content := fmt.Sprint(d.Draining, d.ColdLeft > 0, d.Born)
	if v.stored && content == v.written {
		return
	}
	v.written, v.stored = content, true
	key, value := w.platform.Server(d)
	w.store.change(func(k Keys) { k.Put(key, value) })
	if v.draining && v.leftAt == 0 {
		v.leftAt = w.line.Now()
	}
}

// remove takes the server's entry out of the store.
func (v *server) remove() {
	if !v.stored {
		return
	}
	v.stored = false
	if v.leftAt == 0 && !v.listening {
		v.leftAt = v.world.line.Now()
	}
	key, _ := v.world.platform.Server(v.description())
	v.world.store.change(func(k Keys) { k.Delete(key) })
}

// run writes to the store as long as the server lives.
func (v *server) run() {
	v.write()
	w := v.world
	var next func()
	next = func() {
		if !v.listening {
			return
		}
		v.write()
		w.line.After(w.day.Store.Heartbeat, next)
	}
	w.line.After(time.Duration(w.random.Int64N(int64(w.day.Store.Heartbeat))), next)
}

// end ends the process: all that it holds is lost.
func (v *server) end(dark bool) {
	for _, key := range v.sortedFlows() {
		f := v.flows[key]
		f.out.stop()
		f.in.answered()
	}
	clear(v.flows)
	v.listening, v.dark, v.active, v.queue = false, dark, 0, nil
}

// sortedFlows returns the flows in one order.
func (v *server) sortedFlows() []segment.Flow {
	keys := make([]segment.Flow, 0, len(v.flows))
	for key := range v.flows {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b segment.Flow) int { return a.Caller.Compare(b.Caller) })
	return keys
}

// receive takes a datagram that arrives at the server's address.
func (v *server) receive(s segment.Segment, t *transit) {
	if v.dark {
		return
	}
	f, held := v.flows[s.Flow]
	switch {
	case s.Flags.Has(segment.Abort):
		if held {
			v.forget(f)
		}
	case s.Flags.Has(segment.Open):
		v.open(s, t, f)
	case held && !f.ended:
		f.used = v.world.line.Now()
		v.packet(s, f)
	case s.Length > 0 || !held && !s.Flags.Has(segment.Finish):
		v.answer(t.flow, segment.Segment{Flow: s.Flow, Flags: segment.Abort, Sequence: s.Acknowledged})
	}
}

// open takes an opening packet.
func (v *server) open(s segment.Segment, t *transit, f *serverFlow) {
	switch {
	case !v.listening:
		v.answer(t.flow, segment.Segment{Flow: s.Flow, Flags: segment.Abort})
	case f != nil:
		v.welcome(f)
	case len(v.flows) < v.service.Connections:
		w := v.world
		f = &serverFlow{flow: t.flow, mark: s.Mark, first: w.random.Uint32(), opening: t, used: w.line.Now()}
		f.in = newReceiver(w.line, w.day.Callers, s.Sequence+1, func() { v.send(f, f.out.next, 0, segment.Acknowledge) })
		f.out = newSender(w.line, w.day.Callers, f.first+1, func(sequence uint32, length int) {
			v.send(f, sequence, length, segment.Acknowledge)
		})
		f.out.limit, f.out.gaveUp = serverRepeats, func() { v.forget(f) }
		v.flows[s.Flow] = f
		w.line.After(v.service.Handshake, func() { v.welcome(f) })
	}
}

// serverRepeats is how often a backend server sends a packet again before it gives
// the flow up.
const serverRepeats = 8

func (v *server) welcome(f *serverFlow) {
	v.answer(f.flow, segment.Segment{
		Flow: f.flow.key, Flags: segment.Open | segment.Acknowledge, Sequence: f.first, Acknowledged: f.in.expected, Mark: f.mark,
	})
}

// packet takes a packet of a flow that the server holds.
func (v *server) packet(s segment.Segment, f *serverFlow) {
	f.mark = s.Mark
	if !f.opened {
		if s.Acknowledged != f.first+1 {
			return
		}
		f.opened = true
		v.world.judge.opened(v, f)
	}
	f.out.acknowledge(s.Acknowledged)
	if s.Length > 0 {
		f.in.take(s.Sequence, s.Length)
		v.arrived(f)
	}
	if s.Flags.Has(segment.Finish) {
		f.ended = true
		v.forget(f)
	}
}

// arrived begins a request once it is there in full.
func (v *server) arrived(f *serverFlow) {
	a := f.flow.attempt
	if a == nil || a.taken || int32(f.in.expected-a.end) < 0 {
		return
	}
	a.taken, a.at = true, f
	switch {
	case v.active < v.service.Slots:
		v.work(a)
	case len(v.queue) < v.service.Queue:
		v.queue = append(v.queue, a)
	default:
		v.reply(a, notRun)
	}
}

// work runs a request.
func (v *server) work(a *attempt) {
	v.active++
	a.ran = true
	v.world.judge.ran(v, a)
	born := v.born
	v.world.line.After(v.workTime(a), func() {
		if v.born != born || !v.listening {
			return
		}
		v.active--
		outcome := done
		if v.grey > 0 && v.world.random.Float64() < v.grey {
			outcome = failed
		}
		if outcome == done || !v.mute {
			v.reply(a, outcome)
		}
		if len(v.queue) > 0 {
			next := v.queue[0]
			v.queue = v.queue[1:]
			v.work(next)
		}
	})
}

// workTime draws how long a request takes.
func (v *server) workTime(a *attempt) time.Duration {
	class := a.request.class
	// A lognormal time with the class's mean and spread.
	sigma := math.Sqrt(math.Log(1 + class.WorkSpread*class.WorkSpread))
	factor := math.Exp(sigma*v.world.random.NormFloat64() - sigma*sigma/2)
	took := min(time.Duration(float64(class.Work)*factor), class.WorkMost)
	if v.world.line.Now() < v.coldUntil {
		took = time.Duration(float64(took) * v.service.ColdWork)
	}
	return time.Duration(float64(took) * max(v.slow, 1))
}

// reply answers a request.
func (v *server) reply(a *attempt, o outcome) {
	f := a.at
	if v.flows[f.flow.key] != f {
		return // its flow is gone
	}
	a.outcome = o
	length := a.request.class.AnswerBytes
	if o != done {
		length = refusalBytes
	}
	a.answerEnd = f.out.end + uint32(length)
	a.answered = true
	a.closes = v.draining || !a.request.class.LongFlows
	f.out.write(length)
}

// refusalBytes is the length of an answer without a body.
const refusalBytes = 120

// send sends a packet of a flow.
func (v *server) send(f *serverFlow, sequence uint32, length int, flags segment.Flags) {
	f.in.answered()
	v.answer(f.flow, segment.Segment{
		Flow: f.flow.key, Flags: flags, Sequence: sequence, Acknowledged: f.in.expected, Mark: f.mark, Length: length,
	})
}

// answer sends a packet to a caller.
func (v *server) answer(f *flow, s segment.Segment) {
	if f == nil {
		return
	}
	v.world.network.datagram(&v.place, &f.home.place, s.Length, func() { f.receive(s, v) })
}

func (v *server) forget(f *serverFlow) {
	f.out.stop()
	f.in.answered()
	delete(v.flows, f.flow.key)
}

// expire forgets flows that were never opened, or idle for too long.
func (v *server) expire(now time.Duration) {
	for _, key := range v.sortedFlows() {
		f := v.flows[key]
		switch idle := now - f.used; {
		case !f.opened && idle > halfOpenFor:
			v.forget(f)
		case f.opened && idle > v.service.IdleClose && (f.flow.attempt == nil || f.flow.attempt.at != f):
			v.answer(f.flow, segment.Segment{Flow: key, Flags: segment.Finish | segment.Acknowledge, Sequence: f.out.next, Acknowledged: f.in.expected, Mark: f.mark})
			v.forget(f)
		}
	}
}

// halfOpenFor is how long a backend server holds a flow that doesn't open: callers
// try for 1.4 s.
const halfOpenFor = 3 * time.Second

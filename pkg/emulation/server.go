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

// server is one backend server under one identifier. It keeps the identifier when
// its process restarts.
type server struct {
	node
	world    *world
	service  day.Service
	id       string
	number   uint64
	endpoint netip.AddrPort
	// startedAt tells the starts of the process apart. It is the virtual time of the
	// start plus Day.Warmup, and so isn't 0, which means unknown in the entry.
	startedAt time.Duration
	// listening says that the process runs. While dark, the machine answers nothing;
	// otherwise it refuses packets when no process runs.
	listening, dark bool
	draining        bool
	coldUntil       time.Duration
	// Work takes slowFactor times as long if that is above 1. failShare is the share
	// of the requests that fail, and failsSilently says that those aren't answered.
	slowFactor    float64
	failShare     float64
	failsSilently bool
	// sheds says that failing requests aren't run but refused at once, and hangs that the
	// server answers no packet.
	sheds, hangs    bool
	flows           map[segment.Flow]*serverFlow
	runningRequests int
	queue           []*attempt
	// lastWriteAt is the time of the last write to the store, and writtenState what
	// the entry depends on as of the last change. hasEntry says that the entry is in
	// the store.
	lastWriteAt  time.Duration
	writtenState string
	hasEntry     bool
	// writtenValue is the entry as it was written last.
	writtenValue []byte
	// leaveKnownAt is when the store acknowledged that the server drains or is gone,
	// 0 for neither.
	leaveKnownAt time.Duration
	// coldFlowTimes holds the times at which the packets that opened flows here
	// within the last second were sent, while the server is cold. The promise
	// ColdBound limits their number.
	coldFlowTimes []time.Duration
}

// serverFlow is a flow as its backend server sees it.
type serverFlow struct {
	flow          *flow
	mark          uint32
	firstSequence uint32
	opened        bool
	// opening is the opening packet that the server accepted.
	opening    *transit
	in         *receiver
	out        *sender
	ended      bool
	lastUsedAt time.Duration
}

// entry returns what the server writes to the store.
func (v *server) entry() directory.Server {
	return directory.Server{
		ID: v.id, Number: v.number, Service: v.service.Name, DataCentre: v.centre, Endpoint: v.endpoint,
		Slots: v.service.Slots, Draining: v.draining, ColdLeft: max(v.coldUntil-v.world.clock.Now(), 0),
		StartedMillis: int64(v.startedAt / time.Millisecond),
	}
}

// writeEntry writes the server's entry to the store, if the store is reachable and
// the entry has changed.
func (v *server) writeEntry() {
	w := v.world
	if !v.listening || v.dark || w.store.down || !w.network.reaches(&v.node, &w.store.node) {
		return
	}
	v.lastWriteAt = w.clock.Now()
	d := v.entry()
	// The remaining cold time changes all the time, so only its beginning and end
	// cause a write.
	content := fmt.Sprint(d.Draining, d.ColdLeft > 0, d.StartedMillis)
	if v.hasEntry && content == v.writtenState {
		return
	}
	v.writtenState, v.hasEntry = content, true
	key, value := w.platform.ServerEntry(d)
	v.writtenValue = value
	w.store.change(func(k Keys) { k.Put(key, value) })
	if v.draining && v.leaveKnownAt == 0 {
		v.leaveKnownAt = w.clock.Now()
	}
}

// removeEntry removes the server's entry from the store.
func (v *server) removeEntry() {
	if !v.hasEntry {
		return
	}
	v.hasEntry = false
	if v.leaveKnownAt == 0 && !v.listening {
		v.leaveKnownAt = v.world.clock.Now()
	}
	key, _ := v.world.platform.ServerEntry(v.entry())
	v.world.store.change(func(k Keys) { k.Delete(key) })
}

// startHeartbeats writes the entry now, and then once each heartbeat while the
// process runs.
func (v *server) startHeartbeats() {
	v.writeEntry()
	w := v.world
	var next func()
	next = func() {
		if !v.listening {
			return
		}
		v.writeEntry()
		w.clock.After(w.day.Store.Heartbeat, next)
	}
	w.clock.After(time.Duration(w.random.Int64N(int64(w.day.Store.Heartbeat))), next)
}

// endProcess ends the process, which loses all its flows and requests.
func (v *server) endProcess(dark bool) {
	for _, key := range v.sortedFlows() {
		f := v.flows[key]
		f.out.stop()
		f.in.acknowledgementSent()
	}
	clear(v.flows)
	v.listening, v.dark, v.runningRequests, v.queue = false, dark, 0, nil
}

// sortedFlows returns the flows sorted by caller, so that the order of a map doesn't
// affect the run.
func (v *server) sortedFlows() []segment.Flow {
	keys := make([]segment.Flow, 0, len(v.flows))
	for key := range v.flows {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b segment.Flow) int { return a.Caller.Compare(b.Caller) })
	return keys
}

// receive handles a datagram that arrives at the server's address.
func (v *server) receive(s segment.Segment, t *transit) {
	if v.dark || v.hangs {
		return
	}
	f, known := v.flows[s.Flow]
	switch {
	case s.Flags.Has(segment.Abort):
		if known {
			v.forgetFlow(f)
		}
	case s.Flags.Has(segment.Open):
		v.acceptOpening(s, t, f)
	case known && !f.ended:
		f.lastUsedAt = v.world.clock.Now()
		v.receiveData(s, f)
	case s.Length > 0 || !known && !s.Flags.Has(segment.Finish):
		v.sendToCaller(t.flow, segment.Segment{Flow: s.Flow, Flags: segment.Abort, Sequence: s.Acknowledged})
	}
}

// acceptOpening handles an opening packet. It refuses the flow if no process
// listens, and ignores the packet if there are too many flows.
func (v *server) acceptOpening(s segment.Segment, t *transit, f *serverFlow) {
	switch {
	case !v.listening:
		v.sendToCaller(t.flow, segment.Segment{Flow: s.Flow, Flags: segment.Abort})
	case f != nil:
		v.confirmOpening(f)
	case len(v.flows) < v.service.Connections:
		w := v.world
		f = &serverFlow{flow: t.flow, mark: s.Mark, firstSequence: w.random.Uint32(), opening: t, lastUsedAt: w.clock.Now()}
		f.in = newReceiver(w.clock, w.day.Callers, s.Sequence+1, func() { v.sendOnFlow(f, f.out.next, 0, segment.Acknowledge) })
		f.out = newSender(w.clock, w.day.Callers, f.firstSequence+1, func(sequence uint32, length int) {
			v.sendOnFlow(f, sequence, length, segment.Acknowledge)
		})
		f.out.maxRepeats, f.out.gaveUp = maxServerRepeats, func() { v.forgetFlow(f) }
		v.flows[s.Flow] = f
		w.clock.After(v.service.Handshake, func() { v.confirmOpening(f) })
	}
}

// maxServerRepeats is how often a backend server retransmits a packet before it
// drops the flow.
const maxServerRepeats = 8

func (v *server) confirmOpening(f *serverFlow) {
	v.sendToCaller(f.flow, segment.Segment{
		Flow: f.flow.key, Flags: segment.Open | segment.Acknowledge, Sequence: f.firstSequence, Acknowledged: f.in.expected, Mark: f.mark,
	})
}

// receiveData handles a packet of a flow that the server knows.
func (v *server) receiveData(s segment.Segment, f *serverFlow) {
	f.mark = s.Mark
	if !f.opened {
		if s.Acknowledged != f.firstSequence+1 {
			return
		}
		f.opened = true
		v.world.checker.checkOpenedFlow(v, f)
	}
	f.out.acknowledge(s.Acknowledged)
	if s.Length > 0 {
		f.in.receive(s.Sequence, s.Length)
		v.startIfComplete(f)
	}
	if s.Flags.Has(segment.Finish) {
		f.ended = true
		v.forgetFlow(f)
	}
}

// startIfComplete starts, queues or refuses a request once all of it has arrived.
func (v *server) startIfComplete(f *serverFlow) {
	a := f.flow.attempt
	if a == nil || a.received || int32(f.in.expected-a.requestEnd) < 0 {
		return
	}
	a.received, a.serverFlow = true, f
	switch {
	case v.sheds && v.world.random.Float64() < v.failShare:
		v.answerRequest(a, notRun)
	case v.runningRequests < v.service.Slots:
		v.runRequest(a)
	case len(v.queue) < v.service.Queue:
		v.queue = append(v.queue, a)
	default:
		v.answerRequest(a, notRun)
	}
}

// runRequest runs a request, and then the next one in the queue.
func (v *server) runRequest(a *attempt) {
	v.runningRequests++
	a.ran = true
	v.world.checker.checkRun(v, a)
	startedAt := v.startedAt
	v.world.clock.After(v.workTime(a), func() {
		if v.startedAt != startedAt || !v.listening {
			return
		}
		v.runningRequests--
		outcome := done
		if v.failShare > 0 && !v.sheds && v.world.random.Float64() < v.failShare {
			outcome = failed
		}
		if outcome == done || !v.failsSilently {
			v.answerRequest(a, outcome)
		}
		if len(v.queue) > 0 {
			next := v.queue[0]
			v.queue = v.queue[1:]
			v.runRequest(next)
		}
	})
}

// workTime draws how long a request takes on this server.
func (v *server) workTime(a *attempt) time.Duration {
	class := a.request.class
	// The time is lognormal, with the mean and spread of the class.
	sigma := math.Sqrt(math.Log(1 + class.WorkSpread*class.WorkSpread))
	factor := math.Exp(sigma*v.world.random.NormFloat64() - sigma*sigma/2)
	took := min(time.Duration(float64(class.Work)*factor), class.WorkMost)
	if v.world.clock.Now() < v.coldUntil {
		took = time.Duration(float64(took) * v.service.ColdWork)
	}
	return time.Duration(float64(took) * max(v.slowFactor, 1))
}

// answerRequest sends the answer to a request, unless its flow is gone.
func (v *server) answerRequest(a *attempt, o outcome) {
	f := a.serverFlow
	if v.flows[f.flow.key] != f {
		return // the flow is gone
	}
	a.outcome = o
	length := a.request.class.AnswerBytes
	if o != done {
		length = refusalBytes
	}
	a.answerEnd = f.out.end + uint32(length)
	a.answered = true
	a.closesFlow = v.draining || !a.request.class.LongFlows
	f.out.write(length)
}

// refusalBytes is the length of an answer without a body.
const refusalBytes = 120

// sendOnFlow sends a packet of a flow, with an acknowledgement.
func (v *server) sendOnFlow(f *serverFlow, sequence uint32, length int, flags segment.Flags) {
	f.in.acknowledgementSent()
	v.sendToCaller(f.flow, segment.Segment{
		Flow: f.flow.key, Flags: flags, Sequence: sequence, Acknowledged: f.in.expected, Mark: f.mark, Length: length,
	})
}

// sendToCaller sends a packet to a caller directly, not through an instance.
func (v *server) sendToCaller(f *flow, s segment.Segment) {
	if f == nil {
		return
	}
	v.world.network.sendDatagram(&v.node, &f.group.node, s.Length, func() { f.receive(s, v) })
}

func (v *server) forgetFlow(f *serverFlow) {
	f.out.stop()
	f.in.acknowledgementSent()
	delete(v.flows, f.flow.key)
}

// expireFlows drops flows that weren't confirmed in time, and closes those that were
// idle for too long.
func (v *server) expireFlows(now time.Duration) {
	for _, key := range v.sortedFlows() {
		f := v.flows[key]
		switch idle := now - f.lastUsedAt; {
		case !f.opened && idle > halfOpenTimeout:
			v.forgetFlow(f)
		case f.opened && idle > v.service.IdleClose && (f.flow.attempt == nil || f.flow.attempt.serverFlow != f):
			v.sendToCaller(f.flow, segment.Segment{Flow: key, Flags: segment.Finish | segment.Acknowledge, Sequence: f.out.next, Acknowledged: f.in.expected, Mark: f.mark})
			v.forgetFlow(f)
		}
	}
}

// halfOpenTimeout is how long a backend server keeps a flow that the caller hasn't
// confirmed. Callers try for 1.4 s.
const halfOpenTimeout = 3 * time.Second

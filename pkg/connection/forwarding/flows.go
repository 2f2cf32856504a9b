package forwarding

import (
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/connection/segment"
)

const (
	// maxFlows bounds the flows that are recorded: 4.4 million open flows over 490
	// instances are 9,000 each, and several times as many after a loss of
	// instances.
	maxFlows = 32768
	// maxTries is how many backend servers an opening packet and its two copies can
	// reach.
	maxTries = 3
	// openingTimeout is how long a caller tries to open a flow: it gives up 1.4 s
	// after its first packet.
	openingTimeout = 1500 * time.Millisecond
	// defaultIdleTimeout is how long a flow without packets counts as open if
	// operators set no idle timeout.
	defaultIdleTimeout = 15 * time.Second
	// sweepPeriod is the time between two searches for idle flows, and waitingPeriod
	// between two for requests that can't be running any more.
	sweepPeriod   = time.Second
	waitingPeriod = 250 * time.Millisecond
	// overtakenFor is how much later than a request another one has to be sent whose answer
	// shows that the first isn't at the server any more, and longestWait how long a request
	// counts as running in any case. They are longer than the work of a request and the wait
	// in a full queue, and so many times the server's average answer time at least, as work at
	// slow servers takes longer.
	overtakenFor   = 500 * time.Millisecond
	overtakenTimes = 4
	longestWait    = 600 * time.Millisecond
	longestTimes   = 8
)

// flow is the record of what this instance has seen of a flow.
type flow struct {
	key segment.Flow
	// stored is true if the record is in flows.byKey, so that it counts as load.
	stored bool
	// tries are the backend servers that opening packets went to, in order, and
	// lastSent is when the last opening packet or the last request was sent.
	tries    [maxTries]*server
	lastSent time.Duration
	// unplaced is true if the latest copy of the opening packet went to no server, so that the
	// flow is no load of the one that was tried last.
	unplaced bool
	// opening is the sequence number of the opening packets.
	opening uint32
	// server is the backend server at which the flow is open, nil while it opens.
	server     *server
	lastPacket time.Duration
	// openSince is when the first packet after the opening arrived here.
	openSince time.Duration
	// sentEnd is the sequence number after the last byte that the caller sent, and
	// acknowledged the one after the last byte that it acknowledged.
	sentEnd, acknowledged uint32
	// requests is the number of requests that this instance saw begin in the flow.
	requests int
	// waiting is true if a request was sent and no answer has come since.
	waiting bool
	// lost is true if the waiting request can't be at the server any more, as its answer was
	// acknowledged at another instance. It no longer counts as running.
	lost bool
	// stale is true if the opening went unanswered, or the request for so long that it can't
	// be at a server that answers. It keeps other flows away from the server as a running one
	// does, in case the server doesn't answer, but is no load of it.
	stale bool
	// failureCounted is true if the present wait, for the opening or for an answer,
	// already counts as a failure of the backend server.
	failureCounted bool
	// answer is what is known of the latest answer, for the server's health.
	answer answer
}

func (f *flow) tried(v *server) bool {
	for _, t := range f.tries {
		if t == v {
			return true
		}
	}
	return false
}

// lastTried returns the backend server that the latest opening packet went to,
// nil for none.
func (f *flow) lastTried() *server {
	for i := len(f.tries) - 1; i >= 0; i-- {
		if f.tries[i] != nil {
			return f.tries[i]
		}
	}
	return nil
}

// countLoad adds the flow to the load of its backend server with sign 1, and
// subtracts it with sign -1. A flow that is being opened counts as a running
// request, as it is about to carry one.
func (f *flow) countLoad(sign int) {
	switch {
	case !f.stored:
	case f.server != nil:
		f.server.observed.openFlows += sign
		if f.waiting && !f.lost {
			f.countRunning(f.server, sign)
		}
	case f.lastTried() != nil && !f.unplaced:
		f.countRunning(f.lastTried(), sign)
	}
}

func (f *flow) countRunning(v *server, sign int) {
	v.observed.running += sign
	if f.stale {
		v.observed.stale += sign
	}
}

// flows holds the recorded flows. Records are reused, so that a new flow
// allocates no memory in the long run.
type flows struct {
	byKey     map[segment.Flow]*flow
	free      []*flow
	lastSweep time.Duration
	// lastWaiting is when sweepWaiting last ran.
	lastWaiting time.Duration
	// openings are the latest opening packets, in the order of their times.
	openings []openingPacket
}

// openingPacket is an opening packet of a flow and when it was sent.
type openingPacket struct {
	key  segment.Flow
	sent time.Duration
}

func newFlows() flows { return flows{byKey: make(map[segment.Flow]*flow)} }

// record returns the record of a flow, a new one if it has none, or nil if too
// many flows are recorded.
func (t *flows) record(now time.Duration, key segment.Flow) *flow {
	f, ok := t.byKey[key]
	if !ok {
		if len(t.byKey) >= maxFlows {
			return nil
		}
		f = t.newRecord()
		f.key, f.stored = key, true
		t.byKey[key] = f
	}
	f.lastPacket = now
	return f
}

func (t *flows) newRecord() *flow {
	if n := len(t.free); n > 0 {
		f := t.free[n-1]
		t.free = t.free[:n-1]
		return f
	}
	return &flow{}
}

// unansweredFor is how long a flow's data has to go unanswered until the flow is given up
// with its data centre: callers have sent it three times by then.
const unansweredFor = 500 * time.Millisecond

// unanswered reports whether the flow's data was sent again and went unanswered for long.
// One server may live where all others of its data centre are silent.
func (t *flows) unanswered(now time.Duration, key segment.Flow) bool {
	f := t.byKey[key]
	return f != nil && f.waiting && f.failureCounted && now-f.lastSent >= unansweredFor
}

// remove removes a flow's record.
func (t *flows) remove(f *flow) {
	f.countLoad(-1)
	delete(t.byKey, f.key)
	*f = flow{}
	t.free = append(t.free, f)
}

// removeServer removes the records of flows that are open or being opened at a
// backend server.
func (t *flows) removeServer(v *server) {
	for _, f := range t.byKey {
		if f.server == v || f.server == nil && f.lastTried() == v {
			t.remove(f)
		}
	}
}

// nextUnopened removes opening packets sent up to the given time, until it finds
// a flow that is still being opened by one. It returns nil for none.
func (t *flows) nextUnopened(before time.Duration) *flow {
	for len(t.openings) > 0 && t.openings[0].sent <= before {
		a := t.openings[0]
		t.openings = t.openings[1:]
		if f := t.byKey[a.key]; f != nil && f.server == nil && f.lastSent == a.sent {
			return f
		}
	}
	return nil
}

// checkWaiting stops counting the flow's request as running if it can't be at the server any
// more: servers take requests in the order in which they arrive. Where servers may answer some
// requests and leave others hanging, it goes on keeping other flows away.
func (f *flow) checkWaiting(now time.Duration, mayHang bool) {
	if !f.waiting || f.lost || f.server == nil {
		return
	}
	o := &f.server.observed
	overtaken := o.answeredSent-f.lastSent > max(overtakenFor, overtakenTimes*o.answerTime)
	switch {
	case !overtaken && now-f.lastSent <= max(longestWait, longestTimes*o.answerTime):
	case mayHang:
		f.markStale()
	default:
		f.countLoad(-1)
		f.lost = true
		f.countLoad(1)
	}
}

// markStale records that the flow is no load of its server, although it waits.
func (f *flow) markStale() {
	if f.stored && !f.stale {
		f.countLoad(-1)
		f.stale = true
		f.countLoad(1)
	}
}

// endWait records that the flow's request was answered.
func (f *flow) endWait() {
	if !f.waiting {
		return
	}
	f.countLoad(-1)
	f.waiting, f.lost, f.stale = false, false, false
	f.countLoad(1)
}

// sweepWaiting stops counting requests as running that can't be at their servers any more.
func (t *flows) sweepWaiting(now time.Duration, mayHang bool) {
	if now-t.lastWaiting < waitingPeriod {
		return
	}
	t.lastWaiting = now
	for _, f := range t.byKey {
		f.checkWaiting(now, mayHang)
	}
}

// sweep removes the records of flows that were idle for too long.
func (t *flows) sweep(now, idle time.Duration) {
	if now-t.lastSweep < sweepPeriod {
		return
	}
	t.lastSweep = now
	if idle <= 0 {
		idle = defaultIdleTimeout
	}
	for _, f := range t.byKey {
		if now-f.lastPacket > idle || f.server == nil && now-f.lastPacket > openingTimeout {
			t.remove(f)
		}
	}
}

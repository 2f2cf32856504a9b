package emulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/connection/segment"
	"github.com/tanagerweir/tanagerweir/pkg/emulation/day"
	"github.com/tanagerweir/tanagerweir/pkg/emulation/timeline"
	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
)

// callerGroup models the callers of one data centre.
type callerGroup struct {
	node
	world *world
	load  day.DataCentre
	// arrivals draws the times and classes of requests, and so gives each design the
	// same load. random draws everything else.
	arrivals, random *rand.Rand
	// rateFactor multiplies the rate of requests; faults change it.
	rateFactor float64
	users      []*user
	port       uint16
}

// user is a caller that keeps one long flow open.
type user struct {
	flow *flow
	busy bool
}

// scheduleRequests schedules the next request and, after it, the ones that follow.
// It ends with the day's traffic.
func (c *callerGroup) scheduleRequests() {
	w := c.world
	now := w.clock.Now()
	if now >= w.trafficStart()+w.day.Length {
		return
	}
	wave := 1 + c.load.Swing*math.Sin(2*math.Pi*float64(now)/float64(c.load.Period))
	rate := c.load.Requests * wave * max(c.rateFactor, 0)
	gap := time.Second
	if rate > 0 {
		gap = time.Duration(c.arrivals.ExpFloat64() / rate * float64(time.Second))
	}
	w.clock.After(gap, func() {
		if rate > 0 {
			w.startRequest(c, w.drawClass(c.arrivals))
		}
		c.scheduleRequests()
	})
}

// outcome is what a backend server did with a request.
type outcome uint8

const (
	done outcome = iota
	failed
	notRun
)

// request is what a caller asks for, over all attempts.
type request struct {
	class     *day.Class
	group     *callerGroup
	startedAt time.Duration
	attempts  int
	ended     bool
	user      *user
	deadline  *timeline.Timer
	current   *attempt
}

// attempt is one attempt at a request.
type attempt struct {
	request *request
	id      string
	flow    *flow
	// requestEnd is the sequence number after the request's last byte, and answerEnd
	// the one after the answer's.
	requestEnd, answerEnd uint32
	// sent says that the caller began to send the request, received that a backend
	// server has all of it, ran that the server began to run it, and answered that
	// it began to send the answer.
	sent, received, ran, answered bool
	outcome                       outcome
	closesFlow                    bool
	serverFlow                    *serverFlow
}

// startRequest begins a request of a class, with its deadline.
func (w *world) startRequest(c *callerGroup, class *day.Class) {
	r := &request{class: class, group: c, startedAt: w.clock.Now()}
	w.tally.asked(r)
	r.deadline = w.clock.Timer(class.Budget, func() { r.giveUp() })
	if class.LongFlows {
		r.user = c.idleUser()
		r.user.busy = true
	}
	r.startAttempt()
}

// idleUser returns a user without a request in progress, a new one if all are busy.
func (c *callerGroup) idleUser() *user {
	from := c.random.IntN(len(c.users) + 1)
	for i := range c.users {
		if u := c.users[(from+i)%len(c.users)]; !u.busy {
			return u
		}
	}
	u := &user{}
	c.users = append(c.users, u)
	return u
}

// idFactor spreads the identifiers of attempts, so that consecutive ones don't look
// alike. It is the odd number nearest to 2^64 divided by the golden ratio.
const idFactor = 0x9e3779b97f4a7c15

// startAttempt starts an attempt, on the user's open flow if there is one.
func (r *request) startAttempt() {
	w := r.group.world
	r.attempts++
	w.attemptCount++
	a := &attempt{request: r, id: fmt.Sprintf("%016x", w.attemptCount*idFactor)}
	r.current = a
	if r.user != nil && r.user.flow != nil && r.user.flow.state == open {
		r.user.flow.sendRequest(a)
		return
	}
	f := newFlow(r.group, w.routes[r.class.Name])
	if r.user != nil {
		r.user.flow = f
	}
	f.attempt, a.flow = a, f
	f.open()
}

// succeed ends the request with an answer.
func (r *request) succeed() {
	r.end()
	r.group.world.tally.answered(r, r.group.world.clock.Now()-r.startedAt)
}

func (r *request) end() {
	r.ended = true
	r.deadline.Stop()
	if r.user != nil {
		r.user.busy = false
	}
}

// attemptFailed ends an attempt. It starts another one only if that can't run the
// request twice and retries are left.
func (r *request) attemptFailed(a *attempt) {
	if r.ended || r.current != a {
		return
	}
	again := r.class.Kind == directory.Repeatable || !a.sent || a.answered && a.outcome == notRun
	if !again || r.attempts > r.class.Retries {
		r.end()
		r.group.world.tally.unserved(r)
		return
	}
	r.current = nil
	w := r.group.world
	w.clock.After(w.day.Callers.RetryPause, func() {
		if !r.ended {
			r.startAttempt()
		}
	})
}

// giveUp ends the request when its budget is spent.
func (r *request) giveUp() {
	if r.ended {
		return
	}
	r.end()
	r.group.world.tally.unserved(r)
	if a := r.current; a != nil && a.flow != nil {
		a.flow.abort()
	}
}

// flowState is the state of a flow at its caller.
type flowState uint8

const (
	opening flowState = iota
	open
	closed
)

// flow is a flow as its caller sees it.
type flow struct {
	group         *callerGroup
	key           segment.Flow
	state         flowState
	firstSequence uint32
	mark          uint32
	// server is the backend server that the flow opened at, and openedAt when it
	// did.
	server   *server
	openedAt time.Duration
	attempt  *attempt
	in       *receiver
	out      *sender
	timers   []*timeline.Timer
	// via is the router's choice as of rotationRevision.
	via              *instance
	rotationRevision int
	// strayTimes holds the times at which packets of the flow reached other servers,
	// since one last reached its own.
	strayTimes []time.Duration
	// routeCheck is set if the flow carries no request and only shows which
	// configuration an instance uses.
	routeCheck *routeCheck
}

func newFlow(c *callerGroup, route netip.AddrPort) *flow {
	return &flow{group: c, key: segment.Flow{Caller: c.nextEndpoint(), Route: route}, firstSequence: c.random.Uint32()}
}

// usersPerCaller is how many users share a caller's address.
const usersPerCaller = 3

// nextEndpoint returns the endpoint of a random caller. Ports are used in turn, so
// that a port isn't reused for long.
func (c *callerGroup) nextEndpoint() netip.AddrPort {
	c.port++
	if c.port < 1024 {
		c.port = 1024
	}
	host := c.random.IntN(max(c.load.Users/usersPerCaller, 1))
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, byte(64 + c.world.centreIndex(c.centre)), byte(host >> 8), byte(host)}), c.port)
}

// open sends the opening packet and schedules its copies and the timeout.
func (f *flow) open() {
	w, s := f.group.world, f.group.world.day.Callers
	for n, delay := range [...]time.Duration{0, s.FirstCopy, s.SecondCopy} {
		f.timers = append(f.timers, w.clock.Timer(delay, func() {
			f.send(segment.Segment{Flags: segment.Open, Sequence: f.firstSequence, Acknowledged: uint32(n)}, nil)
		}))
	}
	f.timers = append(f.timers, w.clock.Timer(s.OpenTimeout, func() { f.fail() }))
}

// send sends a packet through the router.
func (f *flow) send(s segment.Segment, data []byte) {
	w := f.group.world
	s.Flow, s.Mark, s.Length = f.key, f.mark, len(data)
	w.routePacket(f, w.platform.Packet(s, data))
}

// receive handles a packet from a backend server.
func (f *flow) receive(s segment.Segment, v *server) {
	switch {
	case f.state == closed:
	case s.Flags.Has(segment.Abort):
		f.group.world.checker.checkServerReset(f, v)
		f.fail()
	case s.Flags.Has(segment.Open):
		f.acceptServer(s, v)
	case f.state != open || f.server != v:
	default:
		f.receiveData(s)
	}
}

// receiveReset handles a reset that an instance sent.
func (f *flow) receiveReset(t *transit) {
	if f.state == closed {
		return
	}
	f.group.world.checker.checkInstanceReset(f, t)
	f.fail()
}

// acceptServer opens the flow at the first backend server that answers.
func (f *flow) acceptServer(s segment.Segment, v *server) {
	if f.state != opening {
		return
	}
	w := f.group.world
	f.state, f.server, f.mark, f.openedAt = open, v, s.Mark, w.clock.Now()
	f.stopTimers()
	f.in = newReceiver(w.clock, w.day.Callers, s.Sequence+1, func() { f.acknowledge(0) })
	f.out = newSender(w.clock, w.day.Callers, f.firstSequence+1, f.sendData)
	if f.routeCheck != nil {
		f.acknowledge(0)
		f.finish()
		return
	}
	f.sendRequest(f.attempt)
}

func (f *flow) stopTimers() {
	for _, t := range f.timers {
		t.Stop()
	}
	f.timers = nil
}

func (f *flow) acknowledge(flags segment.Flags) {
	f.in.acknowledgementSent()
	f.send(segment.Segment{Flags: segment.Acknowledge | flags, Sequence: f.out.next, Acknowledged: f.in.expected}, nil)
}

// sendRequest sends the request of an attempt on an open flow.
func (f *flow) sendRequest(a *attempt) {
	f.attempt, a.flow, a.sent = a, f, true
	length := requestHeaderBytes + a.request.class.RequestBytes
	a.requestEnd = f.out.end + uint32(length)
	f.out.write(length)
}

// requestHeaderBytes is the length of a request without its body.
const requestHeaderBytes = 150

// sendData sends a part of the request. The first part contains the request's header
// with the identifier of the attempt.
func (f *flow) sendData(sequence uint32, length int) {
	data := make([]byte, length)
	if a := f.attempt; a != nil && sequence == a.requestEnd-uint32(requestHeaderBytes+a.request.class.RequestBytes) {
		copy(data, "POST / HTTP/1.1\r\nRequest-Id: "+a.id+"\r\n\r\n")
	}
	f.in.acknowledgementSent()
	f.send(segment.Segment{Flags: segment.Acknowledge, Sequence: sequence, Acknowledged: f.in.expected}, data)
}

// receiveData handles a packet from the backend server that the flow is open at.
func (f *flow) receiveData(s segment.Segment) {
	f.mark = s.Mark
	f.out.acknowledge(s.Acknowledged)
	if s.Length > 0 {
		f.in.receive(s.Sequence, s.Length)
	}
	a := f.attempt
	if a != nil && a.answered && int32(f.in.expected-a.answerEnd) >= 0 {
		f.attempt = nil
		closes := a.closesFlow
		if a.request.current == a && !a.request.ended {
			if a.outcome == done {
				a.request.succeed()
			} else {
				a.request.attemptFailed(a)
			}
		}
		if closes {
			f.finish()
			return
		}
	}
	if s.Flags.Has(segment.Finish) {
		f.fail()
	}
}

// finish closes the flow in order and informs the backend server.
func (f *flow) finish() {
	f.acknowledge(segment.Finish)
	f.close()
}

// abort closes the flow and resets it at the backend server.
func (f *flow) abort() {
	if f.state == open {
		f.send(segment.Segment{Flags: segment.Abort, Sequence: f.out.next, Acknowledged: f.in.expected}, nil)
	}
	f.close()
}

// fail closes the flow and fails the attempt that uses it.
func (f *flow) fail() {
	if f.state == closed {
		return
	}
	f.close()
	if a := f.attempt; a != nil {
		f.attempt = nil
		a.request.attemptFailed(a)
	}
}

func (f *flow) close() {
	f.state = closed
	f.stopTimers()
	if f.out != nil {
		f.out.stop()
		f.in.acknowledgementSent()
	}
}

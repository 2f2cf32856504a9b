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

// callers are the callers of one data centre.
type callers struct {
	place
	world *world
	load  day.DataCentre
	// arrivals draws what is asked and when, the same for each design; random draws
	// the rest.
	arrivals, random *rand.Rand
	// factor is by how much more they ask.
	factor float64
	users  []*user
	port   uint16
}

// user keeps one long flow.
type user struct {
	flow *flow
	busy bool
}

// ask plans the next request.
func (c *callers) ask() {
	w := c.world
	now := w.line.Now()
	if now >= w.trafficFrom()+w.day.Length {
		return
	}
	wave := 1 + c.load.Swing*math.Sin(2*math.Pi*float64(now)/float64(c.load.Period))
	rate := c.load.Requests * wave * max(c.factor, 0)
	gap := time.Second
	if rate > 0 {
		gap = time.Duration(c.arrivals.ExpFloat64() / rate * float64(time.Second))
	}
	w.line.After(gap, func() {
		if rate > 0 {
			w.begin(c, w.drawClass(c.arrivals))
		}
		c.ask()
	})
}

// outcome is what a backend server did with a request.
type outcome uint8

const (
	done outcome = iota
	failed
	notRun
)

// request is what a caller wants, over all attempts.
type request struct {
	class    *day.Class
	home     *callers
	began    time.Duration
	attempts int
	ended    bool
	user     *user
	deadline *timeline.Timer
	current  *attempt
}

// attempt is one try of a request.
type attempt struct {
	request *request
	id      string
	flow    *flow
	// end is the position after the request's last byte, answerEnd that after the
	// answer's.
	end, answerEnd uint32
	// sent says that the caller began to send it, taken that a backend server has
	// all of it, ran that it began to work, answered that it answers.
	sent, taken, ran, answered bool
	outcome                    outcome
	closes                     bool
	at                         *serverFlow
}

// begin lets a caller ask.
func (w *world) begin(c *callers, class *day.Class) {
	r := &request{class: class, home: c, began: w.line.Now()}
	w.tally.asked(r)
	r.deadline = w.line.Timer(class.Budget, func() { r.giveUp() })
	if class.LongFlows {
		r.user = c.idle()
		r.user.busy = true
	}
	r.try()
}

// idle returns a user that waits for nothing.
func (c *callers) idle() *user {
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

// idStep parts the identifiers of attempts, so that they don't look alike: the odd
// number nearest to 2^64 divided by the golden ratio.
const idStep = 0x9e3779b97f4a7c15

// try starts an attempt.
func (r *request) try() {
	w := r.home.world
	r.attempts++
	w.attempts++
	a := &attempt{request: r, id: fmt.Sprintf("%016x", w.attempts*idStep)}
	r.current = a
	if r.user != nil && r.user.flow != nil && r.user.flow.state == open {
		r.user.flow.carry(a)
		return
	}
	f := newFlow(r.home, w.routes[r.class.Name])
	if r.user != nil {
		r.user.flow = f
	}
	f.attempt, a.flow = a, f
	f.open()
}

// finish ends the request with an answer.
func (r *request) finish() {
	r.end()
	r.home.world.tally.answered(r, r.home.world.line.Now()-r.began)
}

func (r *request) end() {
	r.ended = true
	r.deadline.Stop()
	if r.user != nil {
		r.user.busy = false
	}
}

// fail ends an attempt, and tries again where that can't run the request twice.
func (r *request) fail(a *attempt) {
	if r.ended || r.current != a {
		return
	}
	again := r.class.Kind == directory.Repeatable || !a.sent || a.answered && a.outcome == notRun
	if !again || r.attempts > r.class.Retries {
		r.end()
		r.home.world.tally.lost(r)
		return
	}
	r.current = nil
	w := r.home.world
	w.line.After(w.day.Callers.RetryPause, func() {
		if !r.ended {
			r.try()
		}
	})
}

// giveUp ends the request at its deadline.
func (r *request) giveUp() {
	if r.ended {
		return
	}
	r.end()
	r.home.world.tally.lost(r)
	if a := r.current; a != nil && a.flow != nil {
		a.flow.abort()
	}
}

// flowState is how far a flow is, for its caller.
type flowState uint8

const (
	opening flowState = iota
	open
	closed
)

// flow is a flow as its caller sees it.
type flow struct {
	home  *callers
	key   segment.Flow
	state flowState
	first uint32
	mark  uint32
	// at is the server that it opened at, and opened since when it is open there.
	at      *server
	opened  time.Duration
	attempt *attempt
	in      *receiver
	out     *sender
	timers  []*timeline.Timer
	// via is the router's choice, for the rotation of that number.
	via      *instance
	rotation int
	// strays are the times of its packets that reached other servers since one
	// reached its own.
	strays []time.Duration
	// trap says that the flow is one that only shows a configuration.
	trap *trap
}

func newFlow(c *callers, route netip.AddrPort) *flow {
	return &flow{home: c, key: segment.Flow{Caller: c.nextEndpoint(), Route: route}, first: c.random.Uint32()}
}

// usersOfCaller is how many users share a caller's address.
const usersOfCaller = 3

// nextEndpoint returns the endpoint of a drawn caller, with a port that wasn't used
// for long.
func (c *callers) nextEndpoint() netip.AddrPort {
	c.port++
	if c.port < 1024 {
		c.port = 1024
	}
	host := c.random.IntN(max(c.load.Users/usersOfCaller, 1))
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, byte(64 + c.world.centreIndex(c.centre)), byte(host >> 8), byte(host)}), c.port)
}

// open sends the opening packet and its copies.
func (f *flow) open() {
	w, s := f.home.world, f.home.world.day.Callers
	for n, at := range [...]time.Duration{0, s.FirstCopy, s.SecondCopy} {
		f.timers = append(f.timers, w.line.Timer(at, func() {
			f.send(segment.Segment{Flags: segment.Open, Sequence: f.first, Acknowledged: uint32(n)}, nil)
		}))
	}
	f.timers = append(f.timers, w.line.Timer(s.OpenTimeout, func() { f.broken() }))
}

// send sends a packet by way of the router.
func (f *flow) send(s segment.Segment, data []byte) {
	w := f.home.world
	s.Flow, s.Mark, s.Length = f.key, f.mark, len(data)
	w.route(f, w.platform.Packet(s, data))
}

// receive takes a packet of a server.
func (f *flow) receive(s segment.Segment, v *server) {
	switch {
	case f.state == closed:
	case s.Flags.Has(segment.Abort):
		f.home.world.judge.aborted(f, v)
		f.broken()
	case s.Flags.Has(segment.Open):
		f.accepted(s, v)
	case f.state != open || f.at != v:
	default:
		f.packet(s)
	}
}

// reset takes an instance's reset.
func (f *flow) reset(t *transit) {
	if f.state == closed {
		return
	}
	f.home.world.judge.reset(f, t)
	f.broken()
}

// accepted opens the flow at the first server that answers.
func (f *flow) accepted(s segment.Segment, v *server) {
	if f.state != opening {
		return
	}
	w := f.home.world
	f.state, f.at, f.mark, f.opened = open, v, s.Mark, w.line.Now()
	f.stopTimers()
	f.in = newReceiver(w.line, w.day.Callers, s.Sequence+1, func() { f.acknowledge(0) })
	f.out = newSender(w.line, w.day.Callers, f.first+1, f.data)
	if f.trap != nil {
		f.acknowledge(0)
		f.finish()
		return
	}
	f.carry(f.attempt)
}

func (f *flow) stopTimers() {
	for _, t := range f.timers {
		t.Stop()
	}
	f.timers = nil
}

func (f *flow) acknowledge(flags segment.Flags) {
	f.in.answered()
	f.send(segment.Segment{Flags: segment.Acknowledge | flags, Sequence: f.out.next, Acknowledged: f.in.expected}, nil)
}

// carry sends a request.
func (f *flow) carry(a *attempt) {
	f.attempt, a.flow, a.sent = a, f, true
	length := requestHead + a.request.class.RequestBytes
	a.end = f.out.end + uint32(length)
	f.out.write(length)
}

// requestHead is the length of a request without its body.
const requestHead = 150

// data sends a part of the request; the first shows its identifier.
func (f *flow) data(sequence uint32, length int) {
	data := make([]byte, length)
	if a := f.attempt; a != nil && sequence == a.end-uint32(requestHead+a.request.class.RequestBytes) {
		copy(data, "POST / HTTP/1.1\r\nRequest-Id: "+a.id+"\r\n\r\n")
	}
	f.in.answered()
	f.send(segment.Segment{Flags: segment.Acknowledge, Sequence: sequence, Acknowledged: f.in.expected}, data)
}

// packet takes a packet of the server that the flow is open at.
func (f *flow) packet(s segment.Segment) {
	f.mark = s.Mark
	f.out.acknowledge(s.Acknowledged)
	if s.Length > 0 {
		f.in.take(s.Sequence, s.Length)
	}
	a := f.attempt
	if a != nil && a.answered && int32(f.in.expected-a.answerEnd) >= 0 {
		f.attempt = nil
		closes := a.closes
		if a.request.current == a && !a.request.ended {
			if a.outcome == done {
				a.request.finish()
			} else {
				a.request.fail(a)
			}
		}
		if closes {
			f.finish()
			return
		}
	}
	if s.Flags.Has(segment.Finish) {
		f.broken()
	}
}

// finish closes the flow.
func (f *flow) finish() {
	f.acknowledge(segment.Finish)
	f.close()
}

// abort gives the flow up.
func (f *flow) abort() {
	if f.state == open {
		f.send(segment.Segment{Flags: segment.Abort, Sequence: f.out.next, Acknowledged: f.in.expected}, nil)
	}
	f.close()
}

// broken ends the flow and the attempt on it.
func (f *flow) broken() {
	if f.state == closed {
		return
	}
	f.close()
	if a := f.attempt; a != nil {
		f.attempt = nil
		a.request.fail(a)
	}
}

func (f *flow) close() {
	f.state = closed
	f.stopTimers()
	if f.out != nil {
		f.out.stop()
		f.in.answered()
	}
}

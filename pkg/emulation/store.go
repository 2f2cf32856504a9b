package emulation

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/tanagerweir/tanagerweir/pkg/emulation/day"
	"github.com/tanagerweir/tanagerweir/pkg/emulation/timeline"
)

// store models the platform's store: it adds delays, faults, watches and the ends of
// leases to Keys.
type store struct {
	node
	clock    *timeline.Timeline
	network  *network
	random   *rand.Rand
	settings day.Store
	keys     Keys
	watches  []*watch
	// down says that the store serves nobody. If busy, it answers calls with 503
	// meanwhile, otherwise not at all.
	down, busy bool
	// lapseWhileDown says that entries of backend servers lapse while the store is
	// down.
	lapseWhileDown bool
	// refused holds the instances whose calls are refused, and the answer that they
	// get.
	refused map[string]refusal
	// Answers take slowFactor times as long if that is above 0. lostShare is the
	// share of the calls that write and lose their answer. runsLostLate says that
	// those are executed with a delay.
	slowFactor, lostShare float64
	runsLostLate          bool
	// leaseEnds holds the time at which each lease ends.
	leaseEnds map[uint64]time.Duration
	callCount int
	// writes holds the times of the calls that write within the last second, and
	// busiestWrites the largest number of them so far.
	writes        []time.Duration
	busiestWrites int
	// copies are made each copyPeriod on days on which the store may be restored, the
	// oldest first.
	copies []storeCopy
}

// refusal is the status with which an instance is refused, or silentRefusal for no
// answer.
type refusal int

const silentRefusal refusal = 0

// watch is a call that waits for changes.
type watch struct {
	call
	startedAt time.Duration
	timer     *timeline.Timer
}

// call is a call to the store.
type call struct {
	from   string
	method string
	target *url.URL
	body   []byte
	// respond sends the answer. It is called at the store, before the answer's way
	// back.
	respond func(Answer)
}

// change changes the keys and answers the watches that this concerns.
func (s *store) change(do func(Keys)) {
	do(s.keys)
	s.answerWatches()
}

// answerWatches answers the watches that have changes to return now.
func (s *store) answerWatches() {
	waiting := s.watches
	s.watches = nil
	for _, w := range waiting {
		a := s.keys.Answer(w.method, w.target, w.body, s.clock.Now()-w.startedAt)
		if a.Wait > 0 {
			s.watches = append(s.watches, w)
			continue
		}
		w.timer.Stop()
		w.respond(a)
	}
}

// cutWatches ends watches, with a status, or without an answer if the status is 0.
// The function wanted selects them by the instance that called.
func (s *store) cutWatches(wanted func(from string) bool, status int) {
	s.watches = slices.DeleteFunc(s.watches, func(w *watch) bool {
		if !wanted(w.from) {
			return false
		}
		w.timer.Stop()
		if status != 0 {
			w.respond(Answer{Status: status})
		}
		return true
	})
}

// receive handles a call as it arrives.
func (s *store) receive(c call) {
	s.callCount++
	if c.method == http.MethodPost {
		s.countWrite()
	}
	switch status, refused := s.refused[c.from]; {
	case s.down && s.busy:
		c.respond(Answer{Status: http.StatusServiceUnavailable})
	case s.down || refused && status == silentRefusal:
	case refused:
		c.respond(Answer{Status: int(status)})
	default:
		s.clock.After(s.answerTime(), func() { s.executeOrLose(c) })
	}
}

// countWrite counts a call that writes.
func (s *store) countWrite() {
	now := s.clock.Now()
	s.writes = slices.DeleteFunc(append(s.writes, now), func(at time.Duration) bool { return at <= now-time.Second })
	s.busiestWrites = max(s.busiestWrites, len(s.writes))
}

func (s *store) answerTime() time.Duration {
	if s.slowFactor > 0 {
		return time.Duration(float64(s.settings.AnswerTime) * s.slowFactor)
	}
	return s.settings.AnswerTime
}

// A call whose answer is lost is executed between minLateDelay and maxLateDelay
// later, if runsLostLate.
const minLateDelay, maxLateDelay = time.Second, 6 * time.Second

// executeOrLose executes a call, possibly late, and loses the answer if the fault
// says so.
func (s *store) executeOrLose(c call) {
	if s.down {
		return
	}
	if c.method == http.MethodPost && s.lostShare > 0 && s.random.Float64() < s.lostShare {
		c.respond = func(Answer) {}
		if s.runsLostLate {
			s.clock.After(minLateDelay+time.Duration(s.random.Int64N(int64(maxLateDelay-minLateDelay))), func() { s.execute(c) })
			return
		}
	}
	s.execute(c)
}

// execute executes a call and answers it, or adds it to the watches if it has to
// wait.
func (s *store) execute(c call) {
	a := s.keys.Answer(c.method, c.target, c.body, 0)
	if a.Wait > 0 {
		w := &watch{call: c, startedAt: s.clock.Now()}
		w.timer = s.clock.Timer(a.Wait, func() {
			s.watches = slices.DeleteFunc(s.watches, func(other *watch) bool { return other == w })
			c.respond(s.keys.Answer(c.method, c.target, c.body, s.clock.Now()-w.startedAt))
		})
		s.watches = append(s.watches, w)
		return
	}
	if a.Lease != 0 {
		s.extendLease(a.Lease, a.LeaseFor)
	}
	c.respond(a)
	if a.Wrote {
		s.answerWatches()
	}
}

// extendLease sets the end of a lease, which a later call can postpone.
func (s *store) extendLease(lease uint64, duration time.Duration) {
	s.leaseEnds[lease] = s.clock.Now() + duration
	s.clock.After(duration, func() {
		if end, ok := s.leaseEnds[lease]; ok && s.clock.Now() >= end {
			delete(s.leaseEnds, lease)
			s.change(func(k Keys) { k.EndLease(lease) })
		}
	})
}

// storeTransport carries one instance's calls to the store. It implements
// http.RoundTripper.
type storeTransport struct {
	instance *instance
	store    *store
	// silent says that the open connection gets no more answers.
	silent bool
}

// errNoAnswer says that the store didn't answer a call before the deadline.
var errNoAnswer = errors.New("emulation: the store didn't answer in time")

// CloseIdleConnections closes the open connection, so that the next call opens a new
// one.
func (t *storeTransport) CloseIdleConnections() { t.silent = false }

// RoundTrip sends a call and suspends the instance's process until the answer begins
// to arrive, or until the deadline. Reading the answer's body suspends it again.
func (t *storeTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	body := []byte(nil)
	if r.Body != nil {
		var err error
		if body, err = io.ReadAll(r.Body); err != nil {
			return nil, errors.Wrap(err, "read the body of a call to the store")
		}
	}
	answer, arriving := t.call(r.Context(), call{from: t.instance.name, method: r.Method, target: r.URL, body: body})
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	if arriving == nil {
		t.silent = false
		return nil, errNoAnswer
	}
	header := http.Header{}
	if answer.Era > 0 {
		header.Set(t.instance.world.platform.EraHeader(), strconv.FormatUint(answer.Era, 10))
	}
	return &http.Response{StatusCode: answer.Status, Header: header, ContentLength: int64(len(answer.Body)), Body: arriving, Request: r}, nil
}

// call makes a call. It returns a nil body if no answer came before the deadline.
func (t *storeTransport) call(ctx context.Context, c call) (Answer, *arrivingBody) {
	clock, i, silent := t.store.clock, t.instance, t.silent
	deadline := func() time.Duration { return deadlineOf(ctx, clock.Now()+time.Minute) }
	first := deadline()
	var answer Answer
	var body *arrivingBody
	clock.Wait(func(done func()) {
		clock.At(first, done)
		if silent {
			return
		}
		c.respond = func(a Answer) {
			t.store.network.sendTransfer(delivery{
				from: &t.store.node, to: &i.node, size: len(a.Body), deadline: deadline,
				deliver: func(arrived int) {
					i.whenRunning(func() {
						if body == nil {
							answer, body = a, &arrivingBody{clock: clock, ctx: ctx, deadline: deadline, data: a.Body}
							done()
						}
						body.extend(arrived)
					})
				},
			})
		}
		t.store.network.sendStream(&i.node, &t.store.node, first, func() { t.store.receive(c) })
	})
	return answer, body
}

// arrivingBody is the body of an answer that arrives window by window.
type arrivingBody struct {
	clock    *timeline.Timeline
	ctx      context.Context
	deadline func() time.Duration
	data     []byte
	// arrived and read are how many bytes have arrived, and were read.
	arrived, read int
	// wake resumes the process that waits for more, nil for none.
	wake func()
}

func (b *arrivingBody) extend(arrived int) {
	b.arrived = arrived
	if b.wake != nil {
		b.wake()
	}
}

// Read returns what has arrived. It suspends the process until there is something, and
// fails if the deadline passes first.
func (b *arrivingBody) Read(p []byte) (int, error) {
	for b.read == b.arrived && b.read < len(b.data) {
		switch deadline := b.deadline(); {
		case b.ctx.Err() != nil:
			return 0, b.ctx.Err()
		case b.clock.Now() >= deadline:
			return 0, errNoAnswer
		default:
			b.clock.Wait(func(done func()) {
				b.wake = done
				b.clock.At(deadline, done)
			})
			b.wake = nil
		}
	}
	if b.read == len(b.data) {
		return 0, io.EOF
	}
	n := copy(p, b.data[b.read:b.arrived])
	b.read += n
	return n, nil
}

// Close does nothing.
func (b *arrivingBody) Close() error { return nil }

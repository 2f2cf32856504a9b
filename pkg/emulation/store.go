package emulation

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/tanagerweir/tanagerweir/pkg/emulation/day"
	"github.com/tanagerweir/tanagerweir/pkg/emulation/timeline"
)

// store is the platform's store in virtual time.
type store struct {
	place
	line     *timeline.Timeline
	network  *network
	random   *rand.Rand
	settings day.Store
	keys     Keys
	waiting  []*watch
	// down says that nobody is served, busy that calls are answered with 503.
	down, busy bool
	// lapse says that entries of backend servers run out while it is down.
	lapse bool
	// refused are the instances that are turned away, by how.
	refused map[string]refusal
	// slow is by how much answers take longer, lost the share of the calls that
	// write and aren't answered, late that they are carried out later.
	slow, lost float64
	late       bool
	// leases are when leases end.
	leases map[uint64]time.Duration
	calls  int
}

// refusal is how an instance is turned away: with a status, or in silence.
type refusal int

const silentRefusal refusal = 0

// watch is a call that waits for changes.
type watch struct {
	call
	began time.Duration
	timer *timeline.Timer
}

// call is one call to the store.
type call struct {
	from   string
	method string
	target *url.URL
	body   []byte
	// answer takes the answer, at the store.
	answer func(Answer)
}

// change changes the keys and tells those that wait.
func (s *store) change(do func(Keys)) {
	do(s.keys)
	s.wake()
}

// wake answers the watches that have something to tell now.
func (s *store) wake() {
	waiting := s.waiting
	s.waiting = nil
	for _, w := range waiting {
		a := s.keys.Answer(w.method, w.target, w.body, s.line.Now()-w.began)
		if a.Wait > 0 {
			s.waiting = append(s.waiting, w)
			continue
		}
		w.timer.Stop()
		w.answer(a)
	}
}

// cutWatches ends all watches without an answer, or with a status.
func (s *store) cutWatches(wanted func(from string) bool, status int) {
	s.waiting = slices.DeleteFunc(s.waiting, func(w *watch) bool {
		if !wanted(w.from) {
			return false
		}
		w.timer.Stop()
		if status != 0 {
			w.answer(Answer{Status: status})
		}
		return true
	})
}

// take takes a call as it arrives.
func (s *store) take(c call) {
	s.calls++
	switch how, refused := s.refused[c.from]; {
	case s.down && s.busy:
		c.answer(Answer{Status: http.StatusServiceUnavailable})
	case s.down || refused && how == silentRefusal:
	case refused:
		c.answer(Answer{Status: int(how)})
	default:
		s.line.After(s.answerTime(), func() { s.carryOut(c) })
	}
}

func (s *store) answerTime() time.Duration {
	if s.slow > 0 {
		return time.Duration(float64(s.settings.AnswerTime) * s.slow)
	}
	return s.settings.AnswerTime
}

// lateFrom and lateTo are when a call whose answer is lost may be carried out.
const lateFrom, lateTo = time.Second, 6 * time.Second

func (s *store) carryOut(c call) {
	if s.down {
		return
	}
	if c.method == http.MethodPost && s.lost > 0 && s.random.Float64() < s.lost {
		c.answer = func(Answer) {}
		if s.late {
			s.line.After(lateFrom+time.Duration(s.random.Int64N(int64(lateTo-lateFrom))), func() { s.execute(c) })
			return
		}
	}
	s.execute(c)
}

func (s *store) execute(c call) {
	a := s.keys.Answer(c.method, c.target, c.body, 0)
	if a.Wait > 0 {
		w := &watch{call: c, began: s.line.Now()}
		w.timer = s.line.Timer(a.Wait, func() {
			s.waiting = slices.DeleteFunc(s.waiting, func(other *watch) bool { return other == w })
			c.answer(s.keys.Answer(c.method, c.target, c.body, s.line.Now()-w.began))
		})
		s.waiting = append(s.waiting, w)
		return
	}
	if a.Lease != 0 {
		s.lease(a.Lease, a.LeaseFor)
	}
	c.answer(a)
	if a.Wrote {
		s.wake()
	}
}

// lease ends a lease unless it is renewed.
func (s *store) lease(lease uint64, lasts time.Duration) {
	s.leases[lease] = s.line.Now() + lasts
	s.line.After(lasts, func() {
		if end, ok := s.leases[lease]; ok && s.line.Now() >= end {
			delete(s.leases, lease)
			s.change(func(k Keys) { k.EndLease(lease) })
		}
	})
}

// storeTransport carries one instance's calls to the store.
type storeTransport struct {
	instance *instance
	store    *store
	// silent says that the open connection never answers again.
	silent bool
}

// errNoAnswer says that a call wasn't answered in time.
var errNoAnswer = errors.New("emulation: the store didn't answer in time")

// CloseIdleConnections lets the next call open a new connection.
func (t *storeTransport) CloseIdleConnections() { t.silent = false }

// RoundTrip lets the instance's process wait for the store's answer.
func (t *storeTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	body := []byte(nil)
	if r.Body != nil {
		var err error
		if body, err = io.ReadAll(r.Body); err != nil {
			return nil, errors.Wrap(err, "read call")
		}
	}
	answer, ok := t.call(r.Context(), call{from: t.instance.name, method: r.Method, target: r.URL, body: body})
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	if !ok {
		t.silent = false
		return nil, errNoAnswer
	}
	return &http.Response{StatusCode: answer.Status, Body: io.NopCloser(bytes.NewReader(answer.Body)), Request: r}, nil
}

func (t *storeTransport) call(ctx context.Context, c call) (answer Answer, ok bool) {
	line, i, silent := t.store.line, t.instance, t.silent
	deadline := deadlineOf(ctx, line.Now()+time.Minute)
	line.Wait(func(done func()) {
		line.At(deadline, done)
		if silent {
			return
		}
		c.answer = func(a Answer) {
			t.store.network.stream(&t.store.place, &i.place, deadline, func() {
				i.whenRunning(func() {
					if !ok {
						answer, ok = a, true
						done()
					}
				})
			})
		}
		t.store.network.stream(&i.place, &t.store.place, deadline, func() { t.store.take(c) })
	})
	return answer, ok
}

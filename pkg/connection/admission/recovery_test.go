package admission_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tanagerweir/tanagerweir/pkg/connection/admission"
)

// steady asks a core for one service at a constant rate, and answers at most a rate of what
// it admits.
type steady struct {
	core    *admission.Core
	now     time.Duration
	asked   int
	refused int
}

var boardRoute = netip.MustParseAddrPort("198.18.0.1:443")

func newSteady() *steady {
	c := admission.New(admission.Options{})
	c.Configure([]admission.Route{{Service: "board", Endpoint: boardRoute, Target: 400 * time.Millisecond}})
	return &steady{core: c}
}

// run asks for and answers so many requests in each tick of a while. The answers take the
// given times in turn; the servers have 100 slots.
func (s *steady) run(length time.Duration, asked, answered int, running float64, waits ...time.Duration) {
	for end := s.now + length; s.now < end; {
		s.now += 100 * time.Millisecond
		admitted := 0
		for range asked {
			s.asked++
			caller := netip.AddrFrom4([4]byte{100, byte(s.asked >> 16), byte(s.asked >> 8), byte(s.asked)})
			if s.core.Admit(s.now, "board", boardRoute, caller) {
				admitted++
			} else {
				s.refused++
			}
		}
		for n := range min(admitted, answered) {
			s.core.Answered(s.now, "board", boardRoute, waits[n%len(waits)], true)
		}
		s.core.SetLoad("board", admission.Load{Capacity: 100, Running: running, Own: int(running), Instances: 1})
		s.core.Tick(s.now)
	}
}

const idleAnswer, queuedAnswer = 50 * time.Millisecond, 250 * time.Millisecond

// crowd makes the service short.
func (s *steady) crowd(t *testing.T) {
	t.Helper()
	s.run(5*time.Second, 20, 20, 10, idleAnswer)
	s.run(time.Second, 300, 50, 200, queuedAnswer)
	if !s.core.Short("board") {
		t.Fatal("a crowd begins no shortage")
	}
}

func (s *steady) requireRecovered(t *testing.T) {
	t.Helper()
	s.refused = 0
	s.run(10*time.Second, 20, 20, 10, idleAnswer)
	if s.refused > 0 || s.core.Short("board") {
		t.Errorf("%d requests refused after the crowd; short: %v", s.refused, s.core.Short("board"))
	}
}

// Guards against a shortage that outlasts its crowd by the faded reports of others, where
// the instance itself gets hardly any answers.
func TestOldReportsKeepNoShortage(t *testing.T) {
	s := newSteady()
	s.crowd(t)
	for range 10 {
		s.core.Receive(s.now, []admission.Pressure{{Service: uint32(xxhash.Sum64String("board")), Wait: 200 * time.Millisecond, Answers: 60, Level: 0.2}})
	}
	for range 20 {
		s.run(600*time.Millisecond, 0, 0, 1, idleAnswer)
		s.run(100*time.Millisecond, 2, 2, 1, idleAnswer)
	}
	s.requireRecovered(t)
}

// Guards against short good answers that count as shed requests: one in eight takes a tenth
// of the time, at servers that are idle.
func TestShortAnswersOfIdleServersKeepNoShortage(t *testing.T) {
	s := newSteady()
	s.crowd(t)
	waits := []time.Duration{5 * time.Millisecond, idleAnswer, idleAnswer, idleAnswer, idleAnswer, idleAnswer, idleAnswer, idleAnswer}
	s.run(5*time.Second, 100, 100, 10, waits...)
	s.refused = 0
	s.run(10*time.Second, 100, 100, 10, waits...)
	if s.refused > 0 {
		t.Errorf("%d requests refused at idle servers", s.refused)
	}
}

// Guards against reports that arrive together, as after a pause, and multiply the rate of an
// overloaded service.
func TestReportsThatArriveTogetherCountOnce(t *testing.T) {
	admitted := func(reports int) int {
		s := newSteady()
		s.crowd(t)
		for range reports {
			s.core.Receive(s.now, []admission.Pressure{{Service: uint32(xxhash.Sum64String("board")), Wait: queuedAnswer, Answers: 60, Level: 1}})
		}
		s.run(100*time.Millisecond, 300, 50, 200, queuedAnswer)
		s.refused = 0
		s.run(100*time.Millisecond, 300, 50, 200, queuedAnswer)
		return 300 - s.refused
	}
	if none, many := admitted(0), admitted(20); many > 3*none {
		t.Errorf("%d admitted after 20 reports, %d without any", many, none)
	}
}

// Guards against a begin without an end in the log, when the configuration takes the targets
// of a short service away.
func TestServiceThatLeavesEndsItsShortage(t *testing.T) {
	s := newSteady()
	s.crowd(t)
	s.core.Events()
	s.core.Configure(nil)
	if e := s.core.Events(); len(e) != 1 || e[0].Short || e[0].Service != "board" {
		t.Errorf("events %+v", e)
	}
}

// Guards against callers that are refused while all servers are cold, to which the placing leads
// as many as they take.
func TestWithoutWarmServersNothingIsRefused(t *testing.T) {
	s := newSteady()
	s.crowd(t)
	s.refused = 0
	s.core.SetLoad("board", admission.Load{Instances: 1})
	for n := range 50 {
		if !s.core.Admit(s.now, "board", boardRoute, netip.AddrFrom4([4]byte{100, 64, 1, byte(n)})) {
			s.refused++
		}
	}
	if s.refused > 0 {
		t.Errorf("%d of 50 requests refused", s.refused)
	}
}

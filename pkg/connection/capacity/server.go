package capacity

import (
	"math"
	"time"
)

const (
	// riskLoad is the load, in requests a slot, that the failure of every request adds to
	// a server's score: as much as makes a server's queue full, so that the server is used
	// only where the others are full. An unrepeatable request that fails is lost, so it
	// takes twice as much.
	riskLoad             = 4
	unrepeatableRiskLoad = 8
	// greatestSlowLoad is the largest load, in requests a slot, that slow answers add.
	// It is the same as for a server in another data centre.
	greatestSlowLoad = 2
	// unansweredWeight is how many short answers a request without an answer counts as: it
	// can't be a good answer that happens to be short, and its caller waits for long.
	unansweredWeight = 2
	// staleGood is the part of the good answers so far that a request without an answer
	// makes obsolete: they came before it was sent. A server that stops answering gets few
	// requests, as those that it holds count as load, so that older answers would outweigh
	// its failures for seconds.
	staleGood = 0.5
	// trialPreference is the load, in requests a slot, by which a server that is due for a
	// trial ranks before others, so that it returns even if others are idle.
	trialPreference = 20
	// trialTimeout is how long a trial may be without an outcome until the next one. It is
	// longer than a caller tries to open a flow.
	trialTimeout = 1500 * time.Millisecond
	// turnPeriod is the time between the turns of two instances to probe a server: time
	// for a trial, and for a report of its outcome.
	turnPeriod = time.Second
)

// Server is what is known of one server. The zero value is a server without evidence.
type Server struct {
	own    counts
	others reports
	state  State
	// since is when the state began.
	since time.Duration
	// until is when the ejection ends, and turn when this instance may probe the server
	// after it.
	until, turn time.Duration
	// ejections is the number of ejections in a row, and lastEjected when the last one
	// ended.
	ejections   int
	lastEjected time.Duration
	// limit is the number of requests at a time while the server is Probed, good the number
	// of good answers since it last changed, and short that of short answers.
	limit, good, short int
	// trials is the number of trials without an outcome, and trialAt when the last of them
	// began.
	trials  int
	trialAt time.Duration
	// rank is this instance's place among those that probe the server.
	rank int
	// joins says that another instance has returned the server before this one's turn.
	joins bool
	// risk is how much larger the share of failures is than at other servers, slowness
	// how many times as long answers take, at least 1, and reference the share of failures
	// at other servers.
	risk, slowness, reference float64
	// outlierSince is since when the server fails more than others, 0 if it doesn't.
	outlierSince time.Duration
	// proven says that the server answered lately and that little speaks against it.
	proven bool
}

// State returns how the server is used.
func (s *Server) State() State { return s.state }

// Proven reports whether the server answered lately and little speaks against it.
func (s *Server) Proven() bool { return s.proven && s.state < Probed }

// EjectedLeft returns for how long this instance ejects the server, and 1 ms while it
// probes it, so that others can tell a server that has recovered.
func (s *Server) EjectedLeft(now time.Duration) time.Duration {
	if s.state < Probed {
		return 0
	}
	return max(s.until-now, time.Millisecond)
}

// RecordAnswer records an answer on a route, after a time.
func (s *Server) RecordAnswer(now time.Duration, r *Route, waited time.Duration, o Outcome) {
	s.own.advance(now)
	s.own.answered++
	if o != Good {
		s.own.failed++
		s.short++
		// One short answer may be a good one: of three trials at each of six instances, one
		// in four would fail.
		if s.state == Probed && s.short > 1 {
			s.limit = 0
		}
		return
	}
	if waited > 0 {
		s.own.timed++
		s.own.times += float64(r.recordTime(waited))
	}
	if s.state != Probed {
		return
	}
	s.trials = max(s.trials-1, 0)
	if s.good++; s.good >= s.limit {
		s.good, s.limit = 0, 2*s.limit
	}
}

// RecordFailure records a flow that failed to open, or a request without an answer.
func (s *Server) RecordFailure(now time.Duration) {
	s.own.advance(now)
	s.own.answered -= staleGood * max(s.own.answered-s.own.failed, 0)
	s.own.answered += unansweredWeight
	s.own.failed += unansweredWeight
	if s.state == Probed {
		s.limit = 0
	}
}

// RevokeFailure takes back a failure that was recorded at that time, as the answer came
// late.
func (s *Server) RevokeFailure(now, at time.Duration) {
	s.own.advance(now)
	k := unansweredWeight * decay(now-at)
	s.own.answered, s.own.failed = max(s.own.answered-k, 0), max(s.own.failed-k, 0)
}

// RecordFlow records that a new flow goes to the server.
func (s *Server) RecordFlow(now time.Duration) {
	if s.state == Probed {
		if now-s.trialAt >= trialTimeout {
			s.trials = 0
		}
		s.trials++
		s.trialAt = now
	}
}

// Accepts reports whether the server may get a new flow. Trials are only made with
// requests that callers may repeat, if trialAllowed is true.
func (s *Server) Accepts(now time.Duration, trialAllowed bool) bool {
	switch s.state {
	case Ejected:
		return false
	case Probed:
		return trialAllowed && now >= s.turn && (s.trials < s.limit || s.limit > 0 && now-s.trialAt >= trialTimeout)
	}
	return true
}

// Limit returns how many requests the server carries at once, if it has that many slots
// when it is healthy.
func (s *Server) Limit(slots int) int {
	switch s.state {
	case Ejected:
		return 0
	case Probed:
		return min(s.limit, slots)
	case Limited:
		return max(int(math.Round(float64(slots)/s.slowness)), 1)
	}
	return slots
}

// Penalty returns the load, in requests a slot, that ranks the server behind better ones.
func (s *Server) Penalty(repeatable bool) float64 {
	if s.state == Probed && s.limit == 1 && !s.joins {
		return -trialPreference
	}
	penalty := riskLoad * s.risk
	if !repeatable {
		penalty = unrepeatableRiskLoad * s.risk
	}
	if s.slowness > 1 {
		penalty += min(s.slowness-1, greatestSlowLoad)
	}
	return penalty
}

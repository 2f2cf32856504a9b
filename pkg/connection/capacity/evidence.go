package capacity

import (
	"math"
	"time"
)

// halfLife is the time in which each answer loses half of its weight. The fields of Load
// messages are defined by it.
const halfLife = 2 * time.Second

// Evidence is what one or more instances have lately seen of a server. Each answer loses
// half of its weight in 2 s.
type Evidence struct {
	// Answered is the number of requests that were answered or failed, and Failed the
	// part of them that failed.
	Answered, Failed float64
	// AnswerTime is the average time from a request to its answer, without failures, 0 if
	// unknown.
	AnswerTime time.Duration
}

func (e Evidence) share() float64 {
	if e.Answered <= 0 {
		return 0
	}
	return min(e.Failed/e.Answered, 1)
}

// plus returns the sum of two disjoint observations.
func (e Evidence) plus(other Evidence) Evidence {
	if other.AnswerTime > 0 {
		weight, added := 0.0, other.Answered-other.Failed
		if e.AnswerTime > 0 {
			weight = e.Answered - e.Failed
		}
		if weight+added > 0 {
			e.AnswerTime = time.Duration((weight*float64(e.AnswerTime) + added*float64(other.AnswerTime)) / (weight + added))
		}
	}
	e.Answered += other.Answered
	e.Failed += other.Failed
	return e
}

func (e Evidence) aged(by time.Duration) Evidence {
	k := decay(by)
	e.Answered, e.Failed = k*e.Answered, k*e.Failed
	return e
}

func decay(by time.Duration) float64 {
	if by <= 0 {
		return 1
	}
	return math.Exp2(-float64(by) / float64(halfLife))
}

// counts are sums that decay.
type counts struct {
	at                             time.Duration
	answered, failed, timed, times float64
}

func (c *counts) advance(now time.Duration) {
	if now <= c.at {
		return
	}
	k := decay(now - c.at)
	c.at = now
	c.answered, c.failed, c.timed, c.times = k*c.answered, k*c.failed, k*c.timed, k*c.times
}

// leastWeight is the weight from which on an average or a source counts: that of one
// answer after 4 s.
const leastWeight = 0.25

func (c *counts) evidence(now time.Duration) Evidence {
	if c.answered == 0 {
		return Evidence{}
	}
	k := decay(now - c.at)
	e := Evidence{Answered: k * c.answered, Failed: k * c.failed}
	if k*c.timed >= leastWeight {
		e.AnswerTime = time.Duration(c.times / c.timed)
	}
	return e
}

// Report is what another instance reports of a server.
type Report struct {
	Evidence
	// Age is how long ago the report was received.
	Age time.Duration
	// EjectedLeft is how long the instance still ejects the server, 0 if it doesn't.
	EjectedLeft time.Duration
}

// reports is the sum of other instances' reports about a server.
type reports struct {
	evidence Evidence
	// worst is the part of the instance that saw most failures.
	worst Evidence
	// at is the time for which the evidence was summed up.
	at time.Duration
	// failing is the number of instances that saw failures, ejecting the number of those
	// that eject the server, ejectedLeft the longest time for which they do, and cleared
	// the number of those that don't and got good answers.
	failing, ejecting, cleared int
	ejectedLeft                time.Duration
}

// ClearReports forgets what other instances reported, before it is summed up again.
func (s *Server) ClearReports(now time.Duration) {
	if s.others.evidence.Answered > 0 || s.others.ejecting > 0 {
		s.others = reports{}
	}
	s.others.at = now
}

// AddReport adds another instance's report.
func (s *Server) AddReport(r Report) {
	e := r.aged(r.Age)
	s.others.evidence = s.others.evidence.plus(e)
	if e.Failed >= leastWeight {
		s.others.failing++
	}
	if e.Failed > s.others.worst.Failed {
		s.others.worst = e
	}
	left := r.EjectedLeft - r.Age
	switch {
	case r.EjectedLeft > 0:
		s.others.ejecting++
		s.others.ejectedLeft = max(s.others.ejectedLeft, left)
	case e.Answered-e.Failed >= leastWeight:
		s.others.cleared++
	}
}

// Own returns what this instance's flows show of the server, for reports to others.
func (s *Server) Own(now time.Duration) Evidence { return s.own.evidence(now) }

func (s *Server) combined(now time.Duration) Evidence {
	e := s.own.evidence(now)
	if s.others.evidence.Answered == 0 {
		return e
	}
	return e.plus(s.others.evidence.aged(now - s.others.at))
}

// sources returns the number of instances that saw failures of the server.
func (s *Server) sources(now time.Duration) int {
	n := s.others.failing
	if s.own.failed*decay(now-s.own.at) >= leastWeight {
		n++
	}
	return n
}

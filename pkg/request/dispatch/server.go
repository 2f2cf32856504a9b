package dispatch

import (
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/request/verdict"
	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
	"github.com/tanagerweir/tanagerweir/pkg/version/health"
)

// phase limits how much work a backend server may get.
type phase uint8

const (
	phaseServing phase = iota
	// phaseCold takes one request at a time; the instances take turns.
	phaseCold
	// phaseRamping opens one more slot every rampSlotPeriod.
	phaseRamping
)

// phaseNames holds the Note.Action for the start of each phase.
var phaseNames = [...]string{phaseServing: "Serving", phaseCold: "Cold", phaseRamping: "Ramping"}

// Rules for a single backend server.
const (
	rampSlotPeriod    = 5 * time.Second       // between the openings of two slots
	minColdPhase      = 10 * time.Second      // shortest cold phase that this instance's own requests began
	maxColdPhase      = 30 * time.Second      // longest one if too few answers arrive to end it earlier
	coldExitAnswers   = 3                     // answers that end a cold phase after minColdPhase
	coldReportMaxAge  = 60 * time.Second      // a cold report counts no longer than this while half of the servers are reported cold
	refusalsToCold    = 8                     // refusals in a row from which a server counts as cold
	slowFactor        = 5                     // times its usual time above which an answer is slow
	slowMinimum       = 20 * time.Millisecond // no faster answer is slow
	slowAnswersToCold = 3                     // slow answers in a row from which a server counts as cold
	failuresToEject   = 3                     // failures in a row
	ejectBase         = 5 * time.Second       // first ejection; it doubles each time
	ejectLimit        = 60 * time.Second      // longest ejection
	pauseBase         = 5 * time.Millisecond  // after the first refusal; it doubles each time
	pauseLimit        = 2 * time.Second
	usualTimeWeight   = 0.1 // of a new answer in the usual time
)

// server is the state of one backend server, from this instance's own requests
// and from reports.
type server struct {
	backend   catalogue.Backend
	notes     *notes
	slots     []int     // assigned to this instance among those alive
	rampSlots []int     // assigned to it among all known ones, for the ramping phase
	turns     turnOrder // for the cold phase
	busy      int       // own attempts in flight

	phase        phase
	phaseStart   time.Time
	reported     health.State // last state reported
	reportedAt   time.Time    // when reported changed
	phaseAnswers int          // answers since the phase began

	usualTime   time.Duration // mean answer time while serving, zero before the first answer
	slowAnswers int           // in a row
	refusals    int           // in a row
	pausedUntil time.Time     // no attempts before

	failures     int // in a row
	ejections    int // since the last answer
	ejectedUntil time.Time
	returning    bool // an ejection's return hasn't been handled yet
}

// setReported updates the reported state. Only a change has an effect, so that
// a repeated report doesn't undo what own requests have shown since.
func (s *server) setReported(now time.Time, state health.State) {
	if state == s.reported {
		return
	}
	previous := s.reported
	s.reported = state
	s.reportedAt = now
	switch {
	case state == health.Cold:
		s.enterPhase(now, phaseCold, "its report")
	case previous == health.Cold && s.phase == phaseCold:
		s.enterPhase(now, phaseRamping, "its report")
	}
}

func (s *server) enterPhase(now time.Time, p phase, cause string) {
	if s.phase != p {
		s.notes.add(s.backend.Name, phaseNames[p], cause)
	}
	s.phase = p
	s.phaseStart = now
	s.phaseAnswers = 0
	s.slowAnswers = 0
}

// advance ends the phase if its conditions are met. distrustCold says that at
// least half of the service's servers are reported cold.
func (s *server) advance(now time.Time, distrustCold bool) {
	age := now.Sub(s.phaseStart)
	switch s.phase {
	case phaseCold:
		if s.reported == health.Cold && (!distrustCold || now.Sub(s.reportedAt) < coldReportMaxAge) {
			return
		}
		if age >= maxColdPhase || age >= minColdPhase && s.phaseAnswers >= coldExitAnswers {
			s.enterPhase(now, phaseRamping, "its answers, or the time since its last refusal")
		}
	case phaseRamping:
		if s.openSlots(now) > int(s.backend.Slots) {
			s.enterPhase(now, phaseServing, "all its slots are open")
		}
	}
}

// openSlots returns how many slots a ramping server has open for all instances
// together.
func (s *server) openSlots(now time.Time) int {
	return 1 + int(now.Sub(s.phaseStart)/rampSlotPeriod)
}

// allowed returns how many attempts this instance may have in flight at the
// server, borrowed slots excluded.
func (s *server) allowed(now time.Time) int {
	if now.Before(s.pausedUntil) {
		return 0
	}
	switch s.phase {
	case phaseCold:
		if s.turns.isOwnTurn(now) {
			return 1
		}
		return 0
	case phaseRamping:
		return countBelow(s.rampSlots, s.openSlots(now))
	}
	return len(s.slots)
}

func countBelow(slots []int, limit int) int {
	n := 0
	for _, slot := range slots {
		if slot < limit {
			n++
		}
	}
	return n
}

// canLend reports whether slots assigned to other instances may be borrowed.
func (s *server) canLend(now time.Time) bool {
	return s.phase == phaseServing && !now.Before(s.pausedUntil) && s.busy < int(s.backend.Slots)
}

// recordOutcome updates the state by the outcome of an attempt. backoff is
// random, from 0 to 1: a pause after a refusal lasts 0.5+backoff times its
// length.
func (s *server) recordOutcome(now time.Time, took time.Duration, a Attempt, o Outcome, backoff float64) {
	switch {
	case o.Verdict == verdict.Ran:
		s.recordAnswer(now, took)
	case o.Cause == CauseRefused:
		s.recordRefusal(now, a.borrowed, o, backoff)
	case o.Cause == CauseCancelled, o.Cause == CauseTooLate:
	case o.Cause == CauseLate && took < a.Class.Target.Within:
		// The caller's own deadline was short.
	default:
		s.recordFailure(now)
	}
}

func (s *server) recordAnswer(now time.Time, took time.Duration) {
	s.refusals = 0
	s.failures = 0
	s.ejections = 0
	s.ejectedUntil = time.Time{}
	s.returning = false
	s.phaseAnswers++
	if s.usualTime > 0 && took > max(slowFactor*s.usualTime, slowMinimum) {
		s.slowAnswers++
		if s.slowAnswers >= slowAnswersToCold && s.phase != phaseCold {
			s.enterPhase(now, phaseCold, "slow answers")
		}
		return
	}
	s.slowAnswers = 0
	if s.usualTime == 0 {
		s.usualTime = took
	}
	if s.phase == phaseServing {
		s.usualTime += time.Duration(usualTimeWeight * float64(took-s.usualTime))
	}
}

// recordRefusal pauses attempts: for a time that doubles with each refusal, or
// for the sending time of a turn if the server is cold. A warm server's refusal
// of a borrowed slot is ignored, since that slot may be in use by its owner.
func (s *server) recordRefusal(now time.Time, borrowed bool, o Outcome, backoff float64) {
	s.failures = 0
	if borrowed && !o.Cold {
		return
	}
	s.refusals++
	pause := min(pauseBase<<min(s.refusals-1, 10), pauseLimit)
	pause = max(pause, min(o.RetryAfter, pauseLimit))
	if o.Cold || s.refusals >= refusalsToCold {
		s.enterPhase(now, phaseCold, "its refusals")
		pause = max(pause, turnSendTime)
	}
	s.pausedUntil = now.Add(time.Duration(float64(pause) * (0.5 + backoff)))
}

func (s *server) recordFailure(now time.Time) {
	s.failures++
	if s.failures < failuresToEject {
		return
	}
	s.failures = 0
	s.ejectedUntil = now.Add(min(ejectBase<<min(s.ejections, 10), ejectLimit))
	s.ejections++
	s.returning = true
	s.notes.add(s.backend.Name, "Ejected", "failures in a row")
}

// updateEjection reports whether the server is ejected. A server whose ejection
// has ended starts in the cold phase.
func (s *server) updateEjection(now time.Time) bool {
	if now.Before(s.ejectedUntil) {
		return true
	}
	if s.returning {
		s.returning = false
		s.enterPhase(now, phaseCold, "back after failures")
	}
	return false
}

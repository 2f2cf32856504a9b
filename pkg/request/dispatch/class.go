package dispatch

import (
	"slices"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
)

const (
	initialWorkLimit = 250 * time.Millisecond // longest work time assumed before the first answer
	queueLimit       = 256                    // waiting requests of one class
	workMargin       = 1.5                    // mean work times left after the wait for the request to run
	fastestAgeWeight = 0.01                   // of a slower answer, so that an old fastest time ages
)

// classState holds the load, the share of slots and the queue of one class.
type classState struct {
	class          catalogue.Class
	arrivals       rate
	work           time.Duration // mean answer time
	fastest        time.Duration // fastest recent answer time, zero before the first
	share          float64       // in slots
	needUnmet      bool          // the share is below the need
	pass           float64       // virtual time of stride scheduling, in seconds
	busy           int           // attempts in flight
	waiting        []Attempt
	earliestGiveUp time.Time // earliest GiveUpAt among waiting
}

func newClassState(c catalogue.Class) *classState {
	return &classState{
		class: c,
		work:  min(c.Target.Within/4, initialWorkLimit),
		share: minShare,
	}
}

// recordAnswer updates the mean and the fastest answer time.
func (s *classState) recordAnswer(took time.Duration) {
	s.work += time.Duration(workTimeWeight * float64(took-s.work))
	if s.fastest == 0 || took < s.fastest {
		s.fastest = took
		return
	}
	s.fastest += time.Duration(fastestAgeWeight * float64(took-s.fastest))
}

// canFinish reports whether an attempt sent at sendAt can be answered before
// the deadline, judged by the fastest recent answer.
func (s *classState) canFinish(sendAt, deadline time.Time) bool {
	return sendAt.Add(s.fastest).Before(deadline)
}

// maxWait returns how long r may wait for a slot and still be served within its
// class's target and its own deadline. It may be negative.
func (s *classState) maxWait(now time.Time, r Request) time.Duration {
	limit := min(s.class.Target.Within, r.Deadline.Sub(now))
	return limit - time.Duration(workMargin*float64(s.work))
}

// demand returns the class's load and need in slots; burn is the burn rate of
// its error budget.
func (s *classState) demand(now time.Time, burn float64) demand {
	s.arrivals.decay(now)
	load := s.arrivals.perSecond * s.work.Seconds()
	return demand{need: load * requiredShare(s.class.Target.Share, burn), load: load}
}

// advancePass advances the class's virtual time by one request that starts.
func (s *classState) advancePass() { s.pass += s.work.Seconds() / s.share }

func (s *classState) push(a Attempt) {
	s.updateEarliestGiveUp(a)
	s.waiting = append(s.waiting, a)
}

// pushFront puts a request that is to be retried at the head of the queue.
func (s *classState) pushFront(a Attempt) {
	s.updateEarliestGiveUp(a)
	s.waiting = slices.Insert(s.waiting, 0, a)
}

func (s *classState) updateEarliestGiveUp(a Attempt) {
	if len(s.waiting) == 0 || a.GiveUpAt.Before(s.earliestGiveUp) {
		s.earliestGiveUp = a.GiveUpAt
	}
}

func (s *classState) pop() Attempt {
	a := s.waiting[0]
	s.waiting = s.waiting[1:]
	return a
}

// removeExpired removes the waiting requests whose GiveUpAt has passed, and
// returns them. A request that arrived just now stays even without time to
// wait, because a slot may be free.
func (s *classState) removeExpired(now time.Time) []Attempt {
	if len(s.waiting) == 0 || now.Before(s.earliestGiveUp) {
		return nil
	}
	var expired, remaining []Attempt
	for _, a := range s.waiting {
		if now.Before(a.GiveUpAt) || a.Began.Equal(now) {
			remaining = append(remaining, a)
			continue
		}
		expired = append(expired, a)
	}
	s.waiting = nil
	for _, a := range remaining {
		s.push(a)
	}
	return expired
}

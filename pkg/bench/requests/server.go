package requests

import (
	"math/rand/v2"
	"time"
)

// How a backend server of the benchmark and the network to it behave.
const (
	meanWork       = 50 * time.Millisecond  // time of one request on a warm server
	coldFactor     = 4                      // how many times slower a cold server is
	workPerRefusal = 1 * time.Millisecond   // by which a refusal delays the next request
	networkDelay   = 500 * time.Microsecond // of a message, one way
	coldSlots      = 1                      // requests that a cold server handles at once
)

// server is a backend server that refuses requests beyond its slots.
type server struct {
	timeline *timeline
	random   *rand.Rand
	slots    int

	busy        int // requests in work
	cold        bool
	shedding    bool          // refuses everything
	refusalWork time.Duration // of refusals since the last accepted request, added to the next
	overloads   int           // arrivals beyond coldSlots while cold
	arrivals    int
}

// arrive handles a request that reaches the server. It calls refused at once, or
// answered when the work is done; the network's delay is up to the caller.
func (s *server) arrive(answered func(work time.Duration), refused func(cold bool)) {
	s.arrivals++
	capacity := s.slots
	if s.cold {
		capacity = min(coldSlots, s.slots)
	}
	if s.shedding || s.busy >= capacity {
		if s.cold {
			s.overloads++
		}
		s.refusalWork += workPerRefusal
		refused(s.cold)
		return
	}
	s.busy++
	work := s.randomWork()
	duration := work + s.refusalWork
	s.refusalWork = 0
	s.timeline.after(duration, func() {
		s.busy--
		answered(work)
	})
}

// randomWork returns the time that a request takes: half the mean plus an
// exponential part.
func (s *server) randomWork() time.Duration {
	half := float64(meanWork) / 2
	work := time.Duration(half + half*s.random.ExpFloat64())
	if s.cold {
		work *= coldFactor
	}
	return work
}

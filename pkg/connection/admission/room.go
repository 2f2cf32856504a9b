package admission

import (
	"math"

	"github.com/tanagerweir/tanagerweir/pkg/connection/mechanism"
)

// roomControl is a way to adapt the number of requests that may run while a service is short.
type roomControl interface {
	// target returns how many times the fair places there should be, by what the last window
	// showed.
	target(s *service) float64
}

func roomOf(w mechanism.Ways) roomControl {
	switch w.Of(mechanism.ServiceRoom) {
	case mechanism.Gradient:
		return byGradient{}
	case mechanism.Additive:
		return byAddition{}
	}
	return byDelay{}
}

// byDelay follows the ratio of the answer time that is aimed for to the measured one.
type byDelay struct{}

func (byDelay) target(s *service) float64 {
	ratio := s.answerRatio()
	switch {
	case ratio < 1:
		// The delay is the one of the requests that ran when the answered ones came.
		before := s.past(s.work + s.combined).inFlight
		return min(s.correction, float64(before)*ratio/max(s.fairPlaces(), 1))
	case s.window.refused > 0:
		return max(s.correction*ratio, 1)
	}
	return max(s.correction, 1)
}

// byGradient multiplies the places by the ratio of idle to present answer times, and leaves room
// for a queue of the square root of the places.
type byGradient struct{}

// leastGradient bounds how much the places shrink by one measurement.
const leastGradient = 0.5

func (byGradient) target(s *service) float64 {
	idle := s.roundTrip + s.work
	gradient := min(max(float64(idle)/float64(max(idle+s.combined, 1)), leastGradient), 1)
	if s.shedding {
		gradient = leastGradient
	}
	places := s.places()
	next := places*gradient + math.Sqrt(places)
	if next > places && s.window.refused == 0 {
		return max(s.correction, 1)
	}
	return next / max(s.fairPlaces(), 1)
}

// byAddition adds a place in each tick with rejected requests, and takes a tenth of the places
// away when servers shed or the delay is longer than aimed for.
type byAddition struct{}

const decrease = 0.9

func (byAddition) target(s *service) float64 {
	fair := max(s.fairPlaces(), 1)
	// The weight of one measurement is taken out again.
	change := func(places float64) float64 {
		return s.correction + (places/fair-s.correction)/correctionWeight
	}
	switch {
	case s.shedding || s.combined > s.goal():
		return change(decrease * s.places())
	case s.window.refused > 0:
		return change(s.places() + 1)
	}
	return max(s.correction, 1)
}

package admission

import (
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/connection/mechanism"
)

// classOrder is a way to decide which classes may run while a service is short.
type classOrder interface {
	// part returns the part of a class's callers that is admitted whatever runs.
	part(s *service, index int) float64
}

func orderOf(w mechanism.Ways) classOrder {
	if w.Of(mechanism.ClassRoom) == mechanism.Reserve {
		return byReserve{}
	}
	return byDemand{}
}

type byReserve struct{}

func (byReserve) part(s *service, index int) float64 {
	demand := 0.0
	for i := range s.classes[:index+1] {
		demand += s.classes[i].demand
	}
	if demand*(s.roundTrip+s.work+s.goal()).Seconds() < fitsPart*s.places() {
		return 1
	}
	return 0
}

// byDemand compares demand with the slots rather than with the places, which shrink while later
// requests of open flows, which nothing rejects, keep the servers' queues full.
type byDemand struct{}

func (byDemand) part(s *service, index int) float64 {
	room := s.slotShare()
	for i := range s.classes[:index] {
		room -= s.slotsOf(i)
	}
	need := s.slotsOf(index)
	switch {
	case need <= 0 || need <= room:
		return 1
	case room <= 0:
		return 0
	}
	return room / need
}

// slotsOf returns how many slots the demand of a class keeps busy, without waits.
func (s *service) slotsOf(index int) float64 {
	return s.classes[index].demand * max(s.workOf(index)-s.roundTrip, 0).Seconds()
}

// workOf returns the time in which idle servers answer requests of a class.
func (s *service) workOf(index int) time.Duration {
	var total time.Duration
	n := 0
	for _, r := range s.routes {
		if r.class == index && r.idle.known() {
			total += r.idle.median
			n++
		}
	}
	if n == 0 {
		return s.work
	}
	return total / time.Duration(n)
}

package admission

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// pressureHalfLife is the age at which another instance's report counts half: a
	// full queue of 8 requests at 2 slots drains in some 120 ms.
	pressureHalfLife = 300 * time.Millisecond
	// maxPressures bounds the services in one report, which takes some 25 bytes for each:
	// a datagram has room for as many beside 48 loads.
	maxPressures = 8
	// leastPeerAnswers is the weight of others' answers below which they count for nothing:
	// that of 60 answers after 3 s.
	leastPeerAnswers = 1.0 / 16
	// pressureMaxAge is how long another instance's report counts.
	pressureMaxAge = 3 * time.Second
)

// Pressure is what an instance observes of a service that is short of capacity.
type Pressure struct {
	// Service is the hash of the service's name.
	Service uint32
	// Asked and Admitted are new flows a second.
	Asked, Admitted float64
	// Wait is the queueing delay that the number of Answers showed lately.
	Wait    time.Duration
	Answers int
	// Level is the fraction of the demand, from the most urgent on, that is admitted.
	Level float64
}

// hashOf returns the number that stands for a service in a Pressure.
func hashOf(service string) uint32 { return uint32(xxhash.Sum64String(service)) }

// peers is the sum of other instances' reports about a service, each with a weight that
// halves in each pressureHalfLife.
type peers struct {
	updated       time.Duration
	answers, wait float64
	// asked is the sum of the rates that others reported, and ownAsked that of the own rate
	// at these times: a rate that was reported before a crowd began can't be compared with
	// a later one.
	asked, ownAsked float64
}

func (p *peers) age(now time.Duration) {
	if now > p.updated {
		factor := math.Exp2(-float64(now-p.updated) / float64(pressureHalfLife))
		if now-p.updated > pressureMaxAge {
			factor = 0
		}
		p.answers, p.wait = p.answers*factor, p.wait*factor
		p.asked, p.ownAsked = p.asked*factor, p.ownAsked*factor
		if p.answers < leastPeerAnswers {
			// The remainder would decide alone where nothing is asked for.
			p.answers, p.wait = 0, 0
		}
		p.updated = now
	}
}

// Pressures returns what to report of the services that are short, of those with the most
// answers if there are too many.
func (c *Core) Pressures() []Pressure {
	var pressures []Pressure
	for _, s := range c.sorted {
		if s.short {
			pressures = append(pressures, Pressure{
				Service: s.hash, Asked: s.askedRate, Admitted: s.admittedRate, Wait: s.wait, Answers: s.samples, Level: s.level(),
			})
		}
	}
	if len(pressures) > maxPressures {
		slices.SortStableFunc(pressures, func(a, b Pressure) int { return b.Answers - a.Answers })
		pressures = pressures[:maxPressures]
	}
	return pressures
}

// Receive applies the report of another instance of the data centre.
func (c *Core) Receive(now time.Duration, pressures []Pressure) {
	for _, p := range pressures {
		if s, ok := c.byHash[p.Service]; ok && p.Answers > 0 {
			s.receive(now, p)
		}
	}
}

func (s *service) receive(now time.Duration, p Pressure) {
	if s.peers.updated-now > pressureMaxAge {
		return
	}
	s.peers.age(now)
	s.peers.answers += float64(p.Answers)
	s.peers.wait += float64(p.Answers) * p.Wait.Seconds()
	s.peers.asked += p.Asked
	s.peers.ownAsked += s.askedRate
}

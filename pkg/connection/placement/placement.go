// Package placement ranks the backend servers that a new flow could go to.
//
// It is made for many short requests, long flows and servers with few
// slots: a flow goes to a server where a request is likely to find a free slot,
// in the caller's data centre as long as that is likely there.
//
// # Usage
//
//	best := placement.NewBest(draw, placement.Score)
//	for i, s := range servers {
//		best.Offer(i, placement.Candidate{Slots: s.Slots, Running: s.running, Local: s.local})
//	}
//	i, ok := best.Choice()
package placement

import "math"

// Weights of the ranking.
const (
	// openLoad is the number of slots that an open, idle flow counts as: that of a
	// flow with one request a second that takes 40 ms.
	openLoad = 0.04
	// remoteLoad is how much higher the load of a local server, in requests a slot,
	// has to be than that of a server in another data centre before a flow goes
	// there. At two requests a slot the next one waits for about two service times,
	// which callers' targets allow, while a flow to another data centre breaks when
	// the connection between the data centres does.
	remoteLoad = 2
	// averagedRemoteLoad is remoteLoad where the load that others cause is averaged over
	// servers. The average is exact enough to leave earlier, before the fuller servers of
	// the data centre shed; one request takes longer than the way to another data centre.
	averagedRemoteLoad = 1
	// reportedRemoteLoad is how much higher the load of a local server has to be than that which
	// the other data centre reports. Where that has no room either, flows leave as they do without
	// its report, which evens out what a few servers vary.
	reportedRemoteLoad = 1
	// drawLoad is the largest random load that is added, in requests a slot. It
	// spreads flows over servers with about equal load.
	drawLoad = 0.02
	// distanceLoad is the load, in requests a slot, that is added for the server that is
	// farthest from the instance. At twice this figure an instance that gets more than its
	// share of the requests overloads the servers next to it, and at half of it servers are
	// shared by too many instances to know their load.
	distanceLoad = 1.25
)

// Candidate is what is known about a backend server that a flow could go to.
type Candidate struct {
	// Server is the backend server's identifier.
	Server string
	// Slots is how many requests it runs at the same time, at least 1.
	Slots int
	// Running is the estimated number of requests that run or wait there.
	Running float64
	// Open is the estimated number of flows that are open there.
	Open float64
	// Local is true if it is in the caller's data centre.
	Local bool
	// Penalty is the load, in requests a slot, that is added because of recent
	// failures of the server.
	Penalty float64
	// Distance says how far the server is from those that the instance prefers, from 0
	// to 1.
	Distance float64
	// Averaged says that Running contains an average of what other instances cause at the
	// servers of the service and data centre.
	Averaged bool
	// Reported says that the other data centre reports its load, CentreLoad, in requests a slot.
	Reported   bool
	CentreLoad float64
}

// Policy returns a candidate's score; the lowest score is best.
type Policy func(Candidate) float64

// Score returns the load that a new flow would find, in requests a slot. It is the
// policy that instances use.
func Score(c Candidate) float64 {
	score := (c.Running+openLoad*c.Open)/float64(max(c.Slots, 1)) + c.Penalty + distanceLoad*c.Distance
	if !c.Local {
		score += c.remoteLoad()
	}
	return score
}

// remoteLoad returns the load that is added to that of a server in another data centre.
func (c Candidate) remoteLoad() float64 {
	load := float64(remoteLoad)
	if c.Averaged {
		load = averagedRemoteLoad
	}
	if c.Reported {
		load = min(load, c.CentreLoad+reportedRemoteLoad)
	}
	return load
}

// Least returns the lowest score that a server can have for Score, whatever its load and its
// penalty. Of the candidate it takes the place alone.
func Least(c Candidate) float64 {
	return Score(Candidate{Slots: 1, Local: c.Local, Distance: c.Distance, Averaged: c.Averaged, Reported: true})
}

// Best finds the candidate with the lowest score.
type Best struct {
	policy Policy
	draw   uint64
	index  int
	score  float64
}

// NewBest returns a search without candidates. The draw is the random number that
// decides between candidates with about equal scores.
func NewBest(draw uint64, p Policy) Best {
	return Best{policy: p, draw: draw, index: -1, score: math.Inf(1)}
}

// Offer adds a candidate; Choice returns the index if it is the best.
func (b *Best) Offer(index int, c Candidate) {
	b.draw = b.draw*6364136223846793005 + 1442695040888963407
	b.offer(index, b.policy(c)+drawLoad*float64(b.draw>>40)/(1<<24))
}

// OfferInAnyOrder is like Offer, but the result doesn't depend on the order in which candidates
// are offered, nor on those that are left out as they can't be the best. A search uses one of both
// methods.
func (b *Best) OfferInAnyOrder(index int, c Candidate) {
	b.offer(index, b.policy(c)+drawLoad*fraction(b.draw+uint64(index)*indexStep))
}

func (b *Best) offer(index int, score float64) {
	if score < b.score || score == b.score && index < b.index {
		b.index, b.score = index, score
	}
}

// indexStep separates the draws of neighbouring indices, as the increment of SplitMix64 does.
const indexStep = 0x9e3779b97f4a7c15

// fraction returns a number from 0 to 1 that is spread evenly over different arguments, by the
// finalizer of SplitMix64.
func fraction(x uint64) float64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return float64((x^x>>31)>>11) / (1 << 53)
}

// Decided reports whether the choice is better than any candidate whose score is at least so
// high.
func (b *Best) Decided(least float64) bool { return b.score < least }

// Choice returns the index of the best candidate, and false if there was none.
func (b *Best) Choice() (int, bool) { return b.index, b.index >= 0 }

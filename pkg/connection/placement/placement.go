// Package placement ranks the backend servers that a new flow could go to.
//
// It answers the load of many short requests and long flows on servers with few
// slots: a flow goes where a request is likely to find a free slot, in the
// caller's data centre as long as that holds there.
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
	// openLoad is the share of a slot that an open, idle flow is counted for: a
	// flow of one request a second of 40 ms.
	openLoad = 0.04
	// remoteLoad is the load a slot by which a local server has to be busier
	// than one in another data centre before a flow goes there. Two requests a
	// slot let the next one wait for about two service times, which callers'
	// targets allow, while a flow that goes elsewhere breaks with any cut
	// between the data centres.
	remoteLoad = 2
	// drawLoad spreads flows over servers that are about equally loaded.
	drawLoad = 0.02
)

// Candidate is what is known of a backend server.
type Candidate struct {
	// Server is its identifier.
	Server string
	// Slots is how many requests it runs at once, at least 1.
	Slots int
	// Running is the estimated number of requests that run or wait there.
	Running float64
	// Open is the estimated number of flows that are open there.
	Open float64
	// Local says that it is in the caller's data centre.
	Local bool
	// Penalty is added for doubts about the server, in requests a slot.
	Penalty float64
}

// Policy returns a candidate's score; the lowest is best.
type Policy func(Candidate) float64

// Score returns the load that a new flow would find, in requests a slot. It is the
// product's policy.
func Score(c Candidate) float64 {
	score := (c.Running+openLoad*c.Open)/float64(max(c.Slots, 1)) + c.Penalty
	if !c.Local {
		score += remoteLoad
	}
	return score
}

// Best finds the candidate with the lowest score.
type Best struct {
	policy Policy
	draw   uint64
	index  int
	score  float64
}

// NewBest returns an empty search. The draw decides between equal candidates.
func NewBest(draw uint64, p Policy) Best {
	return Best{policy: p, draw: draw, index: -1, score: math.Inf(1)}
}

// Offer takes a candidate with its index.
func (b *Best) Offer(index int, c Candidate) {
	b.draw = b.draw*6364136223846793005 + 1442695040888963407
	score := b.policy(c) + drawLoad*float64(b.draw>>40)/(1<<24)
	if score < b.score {
		b.index, b.score = index, score
	}
}

// Choice returns the index of the best candidate, if there was one.
func (b *Best) Choice() (int, bool) { return b.index, b.index >= 0 }

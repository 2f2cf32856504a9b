package emulation

import (
	"math"

	"github.com/tanagerweir/tanagerweir/pkg/connection/placement"
	"github.com/tanagerweir/tanagerweir/pkg/emulation/day"
)

// remotePenalty ranks every server of another data centre behind the local ones.
const remotePenalty = 1e6

// placementOf returns the placement policy of an instance by a design, or nil for the product's
// own.
func (w *world) placementOf(d day.Design, i *instance) placement.Policy {
	switch d {
	case day.Anywhere:
		return func(c placement.Candidate) float64 {
			c.Local = true
			return placement.Score(c)
		}
	case day.OwnDataCentre:
		return func(c placement.Candidate) float64 {
			if c.Local {
				return placement.Score(c)
			}
			return remotePenalty + placement.Score(c)
		}
	case day.RoundRobin:
		return func(c placement.Candidate) float64 {
			return float64(w.openingsSent[instanceAndServer{i.name, c.Server}])
		}
	case day.FullKnowledge:
		return w.scoreByActualLoad
	}
	return nil
}

// scoreByActualLoad ranks a backend server by the requests that it runs, queues and
// is about to receive; one that can't serve comes last.
func (w *world) scoreByActualLoad(c placement.Candidate) float64 {
	v, ok := w.byID[c.Server]
	if !ok || !v.listening || v.dark {
		return math.Inf(1)
	}
	c.Open, c.Penalty = 0, 0
	c.Running = float64(v.runningRequests + len(v.queue))
	for _, f := range v.flows {
		if !f.opened || f.flow.attempt != nil && !f.flow.attempt.received {
			c.Running++ // its request is on the way
		}
	}
	c.Running *= max(v.slowFactor, 1)
	return placement.Score(c)
}

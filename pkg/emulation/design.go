package emulation

import (
	"math"
	"slices"

	"github.com/tanagerweir/tanagerweir/pkg/connection/placement"
)

// Design is a policy for the choice of a backend server for new flows.
type Design string

// Designs that a day can be run with.
const (
	// Product is the policy of the real instances.
	Product Design = "Product"
	// Anywhere ranks servers by load alone, without regard to their data centre.
	Anywhere Design = "Anywhere"
	// OwnDataCentre keeps flows within the instance's data centre while a server is
	// available there.
	OwnDataCentre Design = "OwnDataCentre"
	// RoundRobin sends flows to the servers in turn, without regard to their load.
	RoundRobin Design = "RoundRobin"
	// FullKnowledge ranks servers by the requests that really run and wait there,
	// which no instance can know. It marks the limit of what placement can achieve.
	FullKnowledge Design = "FullKnowledge"
)

// Designs returns all designs.
func Designs() []Design { return []Design{Product, Anywhere, OwnDataCentre, RoundRobin, FullKnowledge} }

// remotePenalty ranks every server of another data centre behind the local ones.
const remotePenalty = 1e6

// policyFor returns the placement policy of an instance, or nil for the product's
// own.
func (d Design) policyFor(w *world, i *instance) placement.Policy {
	switch d {
	case Anywhere:
		return func(c placement.Candidate) float64 {
			c.Local = true
			return placement.Score(c)
		}
	case OwnDataCentre:
		return func(c placement.Candidate) float64 {
			if c.Local {
				return placement.Score(c)
			}
			return remotePenalty + placement.Score(c)
		}
	case RoundRobin:
		return func(c placement.Candidate) float64 {
			return float64(w.openingsSent[instanceAndServer{i.name, c.Server}])
		}
	case FullKnowledge:
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

// KnownDesign reports whether a design of that name exists.
func KnownDesign(d Design) bool { return slices.Contains(Designs(), d) }

package emulation

import (
	"math"
	"slices"

	"github.com/tanagerweir/tanagerweir/pkg/connection/placement"
)

// Design is a way to place new flows.
type Design string

// Designs that a day can be played with.
const (
	// Product is what instances do.
	Product Design = "Product"
	// Anywhere ranks by load alone.
	Anywhere Design = "Anywhere"
	// OwnDataCentre never leaves the caller's data centre while a server is there.
	OwnDataCentre Design = "OwnDataCentre"
	// RoundRobin sends to each server in turn, whatever its load.
	RoundRobin Design = "RoundRobin"
	// FullKnowledge knows all that runs and waits at each server, which no instance
	// can: the limit of what placing can do.
	FullKnowledge Design = "FullKnowledge"
)

// Designs returns all designs.
func Designs() []Design { return []Design{Product, Anywhere, OwnDataCentre, RoundRobin, FullKnowledge} }

// farAway ranks what isn't local behind everything that is.
const farAway = 1e6

// policy returns the ranking of an instance, nil for the product's own.
func (d Design) policy(w *world, i *instance) placement.Policy {
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
			return farAway + placement.Score(c)
		}
	case RoundRobin:
		return func(c placement.Candidate) float64 { return float64(w.sent[sentKey{i.name, c.Server}]) }
	case FullKnowledge:
		return w.known
	}
	return nil
}

// known ranks by what a backend server really has to do, and what can't serve last.
func (w *world) known(c placement.Candidate) float64 {
	v, ok := w.byID[c.Server]
	if !ok || !v.listening || v.dark {
		return math.Inf(1)
	}
	c.Open, c.Penalty = 0, 0
	c.Running = float64(v.active + len(v.queue))
	for _, f := range v.flows {
		if !f.opened || f.flow.attempt != nil && !f.flow.attempt.taken {
			c.Running++ // its request is on the way
		}
	}
	c.Running *= max(v.slow, 1)
	return placement.Score(c)
}

// Known says whether there is such a design.
func Known(d Design) bool { return slices.Contains(Designs(), d) }

package forwarding

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tanagerweir/tanagerweir/pkg/connection/placement"
	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
)

// place chooses the backend server of a new flow, nil if there is none. It
// prefers warm servers that aren't suspected and weren't tried yet, then
// suspected ones that weren't tried, then those that were tried, and then cold
// ones; servers out of reach come last.
func (c *Core) place(now time.Duration, r directory.Route, f *flow) *server {
	service := serviceOf(r, f.key)
	servers, trial := c.servers.byService[service], c.health.allowsTrial(now, service, r)
	c.draw++
	reserve := c.health.reserves(service, r)
	for _, accept := range [...]func(*server) bool{
		func(v *server) bool {
			return c.warm(now, v) && c.withinReach(now, v) && !f.tried(v) && !c.suspected(now, v) && c.accepts(now, trial, v)
		},
		func(v *server) bool {
			return c.warm(now, v) && c.withinReach(now, v) && !f.tried(v) && c.accepts(now, trial, v)
		},
		func(v *server) bool { return c.warm(now, v) && c.withinReach(now, v) },
		func(v *server) bool {
			return c.usable(now, v) && c.withinReach(now, v) && c.acceptsCold(now, v)
		},
		func(v *server) bool { return c.warm(now, v) },
		func(v *server) bool { return c.usable(now, v) && c.acceptsCold(now, v) },
	} {
		best := placement.NewBest(c.draw, c.options.Policy)
		for i, v := range servers {
			if accept(v) {
				best.Offer(i, c.weighHealth(c.candidate(now, v), r, reserve, v))
			}
		}
		if i, ok := best.Choice(); ok {
			return servers[i]
		}
	}
	return nil
}

// usable reports whether the backend server may get new flows at all.
func (c *Core) usable(now time.Duration, v *server) bool {
	present := !v.missing || now < v.usableUntil
	return present && !v.Draining && !c.directory.Evacuated(v.DataCentre)
}

// warm reports whether the backend server may get as many flows as it has slots
// for.
func (c *Core) warm(now time.Duration, v *server) bool {
	return c.usable(now, v) && now >= v.coldUntil
}

const (
	// coldPause is the shortest time between two flows of one instance to a cold
	// backend server: its requests are counted by the second.
	coldPause = time.Second
	// coldShare is the part of a cold backend server's bound that is used, as
	// instances that can't reach each other may disagree on which ones send.
	coldShare = 0.5
)

// acceptsCold reports whether a cold backend server may get a flow from this
// instance. As many of all registered instances as the bound allows send one flow
// each second.
func (c *Core) acceptsCold(now time.Duration, v *server) bool {
	service, ok := c.directory.Service(v.Service)
	if !ok || v.coldSent > 0 && now-v.coldSent < coldPause {
		return false
	}
	senders := int(coldShare * (service.ColdRate*c.options.ColdFactor + c.options.ColdSlack))
	own := senderRank(c.options.Name, v.ID)
	for _, i := range c.directory.Instances() {
		if i.Name != c.options.Name && senderRank(i.Name, v.ID) < own {
			senders--
		}
	}
	return senders > 0
}

// senderRank orders the instances for one backend server, in the same way
// everywhere.
func senderRank(instance, server string) uint64 {
	return xxhash.Sum64String(server + "\x00" + instance)
}

func (c *Core) candidate(now time.Duration, v *server) placement.Candidate {
	return placement.Candidate{
		Server:  v.ID,
		Slots:   max(v.capacity(), 1),
		Running: float64(v.observed.running) + c.reportScale*v.observed.others.running,
		Open:    float64(v.observed.openFlows) + c.reportScale*float64(v.observed.others.openFlows),
		Local:   v.DataCentre == c.options.DataCentre,
		Penalty: v.observed.penalty(now),
	}
}

// capacity returns how many requests the backend server carries at once, 0 while it is
// ejected.
func (v *server) capacity() int { return v.health.Limit(v.Slots) }

package forwarding

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tanagerweir/tanagerweir/pkg/connection/placement"
	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
)

// Classes of warm backend servers, in the order of preference. A cold server within reach
// comes before the last of them, and any other cold server after it.
const (
	untried = iota
	suspectedUntried
	triedBefore
	outOfReach
	warmClasses
)

// place chooses the backend server of a new flow, nil if there is none. It
// prefers warm servers that aren't suspected and weren't tried yet, then
// suspected ones that weren't tried, then those that were tried, and then cold
// ones; servers out of reach come last. Cold servers are only looked at if no warm one
// is within reach, as their bound takes long to check.
func (c *Core) place(now time.Duration, r directory.Route, f *flow) *server {
	servers := c.servers.byService[serviceOf(r, f.key)]
	c.draw++
	best := [warmClasses]placement.Best{}
	for class := range best {
		best[class] = placement.NewBest(c.draw, c.options.Policy)
	}
	for i, v := range servers {
		if c.warm(now, v) {
			best[c.warmClass(now, f, v)].Offer(i, c.candidate(now, v))
		}
	}
	for _, class := range []int{untried, suspectedUntried, triedBefore} {
		if i, ok := best[class].Choice(); ok {
			return servers[i]
		}
	}
	if v := c.placeCold(now, servers, true); v != nil {
		return v
	}
	if i, ok := best[outOfReach].Choice(); ok {
		return servers[i]
	}
	return c.placeCold(now, servers, false)
}

// warmClass returns the class of a warm backend server for a flow.
func (c *Core) warmClass(now time.Duration, f *flow, v *server) int {
	switch {
	case !c.withinReach(now, v):
		return outOfReach
	case f.tried(v):
		return triedBefore
	case v.observed.suspected(now):
		return suspectedUntried
	}
	return untried
}

// placeCold chooses among the cold backend servers that accept a flow, within reach or
// not, nil if there is none.
func (c *Core) placeCold(now time.Duration, servers []*server, reached bool) *server {
	best := placement.NewBest(c.draw, c.options.Policy)
	for i, v := range servers {
		if c.usable(now, v) && !c.warm(now, v) && c.withinReach(now, v) == reached && c.acceptsCold(now, v) {
			best.Offer(i, c.candidate(now, v))
		}
	}
	if i, ok := best.Choice(); ok {
		return servers[i]
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
		Slots:   v.capacity(),
		Running: float64(v.observed.running) + c.reportScale*v.observed.others.running,
		Open:    float64(v.observed.openFlows) + c.reportScale*float64(v.observed.others.openFlows),
		Local:   v.DataCentre == c.options.DataCentre,
		Penalty: v.observed.penalty(now),
	}
}

// capacity returns how many requests the backend server carries at once.
func (v *server) capacity() int { return v.Slots }

package forwarding

import (
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/connection/mechanism"
	"github.com/tanagerweir/tanagerweir/pkg/connection/placement"
	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
)

const (
	// apartPart is the part of each data centre's servers of a service that is set apart for
	// more urgent flows.
	apartPart = 0.45
	// apartLoad is the load, in requests a slot, that is added for a server of the other part:
	// with more at its own part a flow goes to the other one.
	apartLoad = 1
	// leastUrgentFor is how long the least urgent priority of a service holds after its
	// latest flow.
	leastUrgentFor = 10 * time.Second
)

// urgency is the least urgent priority that callers of a service ask for, when they last did,
// and when a caller last asked for a more urgent one.
type urgency struct {
	least          int
	at, moreUrgent time.Duration
}

// preference says which part of a service's servers a flow prefers.
type preference uint8

const (
	noPart preference = iota
	apartPreferred
	otherPreferred
)

// prefers records a new flow of a service and returns which part of the servers it prefers.
func (c *Core) prefers(now time.Duration, service string, r directory.Route) preference {
	u := c.urgencies[service]
	if r.Priority < u.least && now-u.at <= leastUrgentFor {
		u.moreUrgent = now
		c.urgencies[service] = u
		return apartPreferred
	}
	if r.Priority != u.least {
		u.moreUrgent = 0
	}
	c.urgencies[service] = urgency{least: r.Priority, at: now, moreUrgent: u.moreUrgent}
	if u.moreUrgent > 0 && now-u.moreUrgent <= leastUrgentFor {
		return otherPreferred
	}
	return noPart
}

// setApart sets which servers of a service are set apart for more urgent flows. Callers keep
// less urgent flows open, and what they send there later can't be rejected: where these are at
// all servers, a crowd keeps all queues full.
func setApart(servers []*server) {
	next := make(map[string]int)
	for _, v := range servers {
		n := next[v.DataCentre]
		v.apart = int(float64(n+1)*apartPart) > int(float64(n)*apartPart)
		next[v.DataCentre]++
	}
}

// weighPart adds the load for a server of the other part.
func (c *Core) weighPart(k placement.Candidate, p preference, v *server) placement.Candidate {
	if p != noPart && v.apart != (p == apartPreferred) && c.options.Ways.Of(mechanism.ClassRoom) == mechanism.DemandApart {
		k.Penalty += apartLoad
	}
	return k
}

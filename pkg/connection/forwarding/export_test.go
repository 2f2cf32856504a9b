package forwarding

import (
	"math/rand/v2"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/connection/placement"
	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
)

// ComparePlacements puts the backend servers of a route into random states, places a flow
// by both searches, and returns the identifiers of their choices.
func (c *Core) ComparePlacements(random *rand.Rand, r directory.Route) (chosen, earlier string) {
	const now = time.Hour
	f, copies := &flow{}, random.IntN(maxTries)
	servers := c.servers.byService[r.Shares[0].Service]
	// The smaller part, the fewer servers are in the best classes.
	part := random.Float64()
	rarely := func() bool { return random.Float64() > part }
	for _, v := range servers {
		v.observed = observations{running: random.IntN(4), openFlows: random.IntN(20)}
		v.coldUntil, v.coldSent, v.restart, v.Draining = 0, 0, restart{}, random.IntN(8) == 0
		if rarely() {
			v.restart.firstSign, v.restart.lastSign = now-time.Second, now-time.Second
		}
		if rarely() {
			v.coldUntil = now + time.Second
		}
		if rarely() {
			v.coldSent = now - time.Duration(random.IntN(int(2*coldPause)))
		}
		if rarely() {
			v.observed.failures, v.observed.nextTrial = suspectFailures, now+time.Second
		}
		if rarely() {
			f.tries[random.IntN(maxTries)] = v
		}
		c.reachOf(v.DataCentre).lost, c.reachOf(v.DataCentre).nextTrial = rarely(), now+time.Second
	}
	name := func(v *server) string {
		if v == nil {
			return ""
		}
		return v.ID
	}
	return name(c.place(now, r, f, copies)), name(c.placeInPasses(now, r, f, copies))
}

// placeInPasses is the earlier search of place, which goes through all servers once for each
// class, without what is known of their health.
func (c *Core) placeInPasses(now time.Duration, r directory.Route, f *flow, copies int) *server {
	servers := c.servers.byService[serviceOf(r, f.key)]
	for _, accept := range [...]func(*server) bool{
		func(v *server) bool {
			return c.withinReach(now, v) && !f.tried(v) && (c.warm(now, v) && !v.observed.suspected(now) || c.acceptsTrial(now, v))
		},
		func(v *server) bool { return c.warm(now, v) && c.withinReach(now, v) && !f.tried(v) },
		func(v *server) bool { return c.warm(now, v) && c.withinReach(now, v) },
		func(v *server) bool {
			return c.usable(now, v) && c.withinReach(now, v) && c.acceptsCold(now, v)
		},
		func(v *server) bool { return c.warm(now, v) },
		func(v *server) bool { return c.usable(now, v) && c.acceptsCold(now, v) },
		func(v *server) bool { return c.acceptsDoubtful(now, v, copies) },
	} {
		best := placement.NewBest(c.draw, c.policy())
		for i, v := range servers {
			switch {
			case !accept(v):
			case c.affinity:
				best.OfferInAnyOrder(i, c.candidate(now, v))
			default:
				best.Offer(i, c.candidate(now, v))
			}
		}
		if i, ok := best.Choice(); ok {
			return servers[i]
		}
	}
	return nil
}

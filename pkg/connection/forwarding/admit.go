package forwarding

import (
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/connection/admission"
	"github.com/tanagerweir/tanagerweir/pkg/connection/mechanism"
	"github.com/tanagerweir/tanagerweir/pkg/connection/segment"
	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
)

// configureAdmission passes the routes to the admission core if the configuration has
// changed.
func (c *Core) configureAdmission(before directory.Version) {
	if c.admission == nil || c.directory.Version() == before {
		return
	}
	var routes []admission.Route
	c.directory.EachRoute(func(r directory.Route) {
		for _, s := range r.Shares {
			routes = append(routes, admission.Route{Service: s.Service, Endpoint: r.Endpoint, Target: r.Target, Priority: r.Priority})
		}
	})
	c.admission.Configure(routes)
}

// admits reports whether an opening packet may go to the servers of a service. Copies go
// with the first packet, which was admitted: a rejected caller sends none.
func (c *Core) admits(now time.Duration, s segment.Segment, service string) bool {
	return c.admission == nil || s.Copy() > 0 || c.admission.Admit(now, service, s.Flow.Route, s.Flow.Caller.Addr())
}

// observeAdmission passes to the admission core what a packet of an open flow shows. Only
// first requests count: later ones are bound to their server, which may be full while new
// flows find room at others.
func (c *Core) observeAdmission(now time.Duration, s segment.Segment, v *server, request requestEvents) {
	if c.admission != nil && request.answered && request.first {
		c.admission.Answered(now, v.Service, s.Flow.Route, request.waited, true)
	}
}

// observeUnopened passes to the admission core that a flow wasn't opened.
func (c *Core) observeUnopened(now time.Duration, v *server) {
	if c.admission != nil {
		c.admission.Unopened(now, v.Service)
	}
}

// tickAdmission passes the capacity and the load of the usable servers of each service to the
// admission core. Requests at servers that don't answer are no load of the others.
func (c *Core) tickAdmission(now time.Duration) {
	if c.admission == nil {
		return
	}
	for name, servers := range c.servers.byService {
		c.admission.SetLoad(name, c.loadOf(now, name, servers))
	}
	c.admission.Tick(now)
}

// loadOf returns the load of a service's servers. Loads of servers in other data centres are
// only known in part, so these count only where the own data centre lacks servers that it
// usually has: flows leave it then, and there is room elsewhere for its part of all. Where all
// own slots are taken, there is also room in what other data centres report that they can spare.
func (c *Core) loadOf(now time.Duration, service string, servers []*server) admission.Load {
	var own, all, ownRunning, allRunning, usual float64
	inFlight := 0
	for _, v := range servers {
		local := v.DataCentre == c.options.DataCentre
		if local {
			usual += float64(v.Slots)
		}
		if !c.takesFlows(now, v) {
			continue
		}
		inFlight += v.observed.atServer()
		running := c.running(v) - float64(v.observed.stale)
		all += float64(v.capacity())
		allRunning += running
		if local {
			own += float64(v.capacity())
			ownRunning += running
		}
	}
	instances := c.peerCount + 1
	if own == 0 || c.peerCount > 0 && c.health.reporting == 0 {
		// What others cause isn't known, so the servers don't count as idle.
		return admission.Load{Capacity: all, Running: max(allRunning, all), Own: inFlight, Instances: max(c.instances, instances)}
	}
	if ownRunning >= fullEnded*own {
		spare, away := c.spareElsewhere(now, service)
		if running := ownRunning + away; spare > 0 && running > own {
			own, ownRunning = own+min(spare, running-own), running
		}
	}
	if part := min(all*float64(instances)/float64(max(c.instances, instances)), usual); part > own && !c.options.Off.Has(mechanism.RoomElsewhere) {
		return admission.Load{Capacity: part, Running: allRunning, Own: inFlight, Instances: instances}
	}
	return admission.Load{Capacity: own, Running: ownRunning, Own: inFlight, Instances: instances}
}

// Shortages returns the begins and ends of shortages since the last call, oldest first.
func (c *Core) Shortages() []admission.Event {
	if c.admission == nil {
		return nil
	}
	return c.admission.Events()
}

// Short reports whether a service is short of capacity, so that new flows may be refused.
func (c *Core) Short(service string) bool { return c.admission != nil && c.admission.Short(service) }

// Demand returns the counts of requests by service and priority since the start.
func (c *Core) Demand() []admission.Count {
	if c.admission == nil {
		return nil
	}
	return c.admission.Counts()
}

// Pressures returns what this instance reports of services that are short of capacity.
func (c *Core) Pressures() []admission.Pressure {
	if c.admission == nil {
		return nil
	}
	return c.admission.Pressures()
}

// ReceivePressures applies the report of another instance of the data centre.
func (c *Core) ReceivePressures(now time.Duration, pressures []admission.Pressure) {
	if c.admission != nil {
		c.admission.Receive(now, pressures)
	}
}

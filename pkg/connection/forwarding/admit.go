package forwarding

import (
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/connection/admission"
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

// tickAdmission passes the capacity of the usable servers of each service to the
// admission core. Loads of servers in other data centres are only known in part, so these
// count only where the own data centre has none.
func (c *Core) tickAdmission(now time.Duration) {
	if c.admission == nil {
		return
	}
	for name, servers := range c.servers.byService {
		var own, all, ownRunning, allRunning float64
		for _, v := range servers {
			if !c.warm(now, v) || v.capacity() == 0 {
				continue
			}
			running := c.running(v)
			all += float64(v.capacity())
			allRunning += running
			if v.DataCentre == c.options.DataCentre {
				own += float64(v.capacity())
				ownRunning += running
			}
		}
		switch {
		case own > 0 && (c.peerCount == 0 || c.health.reporting > 0):
			all, allRunning = own, ownRunning
		default:
			// What others cause there isn't known, so the servers don't count as idle.
			allRunning = max(allRunning, all)
		}
		c.admission.SetLoad(name, all, allRunning)
	}
	c.admission.Tick(now)
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

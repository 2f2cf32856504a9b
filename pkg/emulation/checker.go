package emulation

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/connection/segment"
	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
)

// version is the version of a configuration.
type version = directory.Version

// Promise names a guarantee that must hold on every day.
type Promise string

// Promises, from the point of view of callers, backend servers and operators.
const (
	// RightService: a backend server gets only flows of routes that lead to its
	// service.
	RightService Promise = "RightService"
	// Drained: a backend server that leaves gets no new flow later than Bounds.Drain
	// after the store has acknowledged it.
	Drained Promise = "Drained"
	// Evacuated: a backend server in a data centre that is taken out gets no new
	// flow later than Bounds.Evacuation.
	Evacuated Promise = "Evacuated"
	// ColdBound: a cold backend server gets no more new flows in a second than the
	// bounds allow.
	ColdBound Promise = "ColdBound"
	// ConfigurationInForce: an instance acts on a configuration within
	// Bounds.Configuration, and never goes back to an older one.
	ConfigurationInForce Promise = "ConfigurationInForce"
	// FlowsKept: while a flow's backend server is alive, the flow isn't reset and
	// its packets don't go to another server.
	FlowsKept Promise = "FlowsKept"
	// Unchanged: packets arrive as they were sent, except for their marks.
	Unchanged Promise = "Unchanged"
	// RunsOnce: a request that may not be repeated runs at most once.
	RunsOnce Promise = "RunsOnce"
	// Recovered: service returns within Bounds.Recovery after all instances were
	// lost.
	Recovered Promise = "Recovered"
)

// Promises returns all promises.
func Promises() []Promise {
	return []Promise{RightService, Drained, Evacuated, ColdBound, ConfigurationInForce, FlowsKept, Unchanged, RunsOnce, Recovered}
}

// Breach records that a promise was broken. At counts from the first request.
type Breach struct {
	Promise Promise
	At      time.Duration
	Text    string
}

// maxBreaches is how many breaches a Result lists at most.
const maxBreaches = 50

// checker compares what happens with the promises.
type checker struct {
	world    *world
	breaches []Breach
	// breachCount counts all breaches, listed or not.
	breachCount int
	// runs counts how often each request ran that may run once only.
	runs map[*request]int
}

func (c *checker) addBreach(p Promise, format string, args ...any) {
	c.breachCount++
	if len(c.breaches) < maxBreaches {
		c.breaches = append(c.breaches, Breach{Promise: p, At: c.world.clock.Now() - c.world.trafficStart(), Text: fmt.Sprintf(format, args...)})
	}
}

// timeBoundsApply reports whether promises with a time bound apply to an instance
// now: it has run for some time, and neither it nor the store was disturbed.
func (c *checker) timeBoundsApply(i *instance) bool {
	now, stable := c.world.clock.Now(), c.world.day.Bounds.Stable
	return i.running && now-i.startedAt >= stable && i.undisturbed(now, stable) && c.world.store.undisturbed(now, stable)
}

// checkOpenedFlow checks a new flow that a backend server has accepted.
func (c *checker) checkOpenedFlow(v *server, f *serverFlow) {
	w, t := c.world, f.opening
	now, b := w.clock.Now(), w.day.Bounds
	route := f.flow.key.Route
	if !w.operator.everLedTo(route, v.service.Name) {
		c.addBreach(RightService, "server %s of service %s took a flow of route %s", v.id, v.service.Name, route)
	}
	timed := c.timeBoundsApply(t.via)
	if v.leaveKnownAt > 0 && t.sentAt > v.leaveKnownAt+b.Drain && timed {
		c.addBreach(Drained, "server %s left %v before instance %s sent it a new flow", v.id, t.sentAt-v.leaveKnownAt, t.via.name)
	}
	if since, out := w.operator.evacuatedAt[v.centre]; out && t.sentAt > since+b.Evacuation && timed {
		c.addBreach(Evacuated, "data centre %s was out for %v when instance %s sent server %s a new flow", v.centre, t.sentAt-since, t.via.name, v.id)
	}
	if now < v.coldUntil {
		c.checkColdBound(v, t)
	}
}

// checkColdBound counts the flows that a cold backend server got within the last
// second.
func (c *checker) checkColdBound(v *server, t *transit) {
	now, b := c.world.clock.Now(), c.world.day.Bounds
	v.coldFlowTimes = append(v.coldFlowTimes, t.sentAt)
	for len(v.coldFlowTimes) > 0 && v.coldFlowTimes[0] < now-time.Second {
		v.coldFlowTimes = v.coldFlowTimes[1:]
	}
	if bound := v.service.ColdRate*b.ColdFactor + b.ColdSlack; float64(len(v.coldFlowTimes)) > bound {
		c.addBreach(ColdBound, "cold server %s got %d flows in a second, bound %g", v.id, len(v.coldFlowTimes), bound)
	}
}

// checkRun checks a request that a backend server begins to run.
func (c *checker) checkRun(v *server, a *attempt) {
	r := a.request
	if r.class.Kind == directory.Repeatable {
		return
	}
	c.runs[r]++
	if c.runs[r] > 1 {
		c.addBreach(RunsOnce, "request %s of class %s ran %d times, last at server %s", a.id, r.class.Name, c.runs[r], v.id)
	}
}

// aliveAndStable reports whether a backend server runs and no fault affected it
// lately.
func (c *checker) aliveAndStable(v *server) bool {
	return v != nil && v.listening && v.undisturbed(c.world.clock.Now(), c.world.day.Bounds.Stable)
}

// olderThanMaxFlow reports whether a flow is so old that instances may have
// forgotten it.
func (c *checker) olderThanMaxFlow(f *flow) bool {
	return c.world.clock.Now()-f.openedAt > c.world.day.Bounds.MaxFlow
}

// serverKeeps reports whether the flow's backend server still knows the flow.
func (c *checker) serverKeeps(f *flow) bool {
	kept, ok := f.server.flows[f.key]
	return ok && kept.opened
}

// checkInstanceReset checks a reset from an instance that a caller received.
func (c *checker) checkInstanceReset(f *flow, t *transit) {
	if f.state != open || c.olderThanMaxFlow(f) || !c.aliveAndStable(f.server) || !c.serverKeeps(f) || !c.timeBoundsApply(t.via) {
		return
	}
	if !c.world.operator.hasRoute(f.key.Route) {
		return
	}
	c.addBreach(FlowsKept, "instance %s reset flow %s, which server %s holds", t.via.name, f.key.Caller, f.server.id)
}

// checkServerReset checks a reset from a backend server that a caller received.
func (c *checker) checkServerReset(f *flow, v *server) {
	if f.state == open && f.server != v && c.aliveAndStable(f.server) && c.serverKeeps(f) && !c.olderThanMaxFlow(f) {
		c.addBreach(FlowsKept, "server %s reset flow %s, which server %s holds", v.id, f.key.Caller, f.server.id)
	}
}

// checkArrival checks a flow's packet that arrived at an address, which the current
// backend server has now. Three packets or more in a row must reach another server
// than the flow's, over at least Bounds.FlowTimeout, to break the promise.
func (c *checker) checkArrival(current *server, t *transit) {
	f := t.flow
	now := c.world.clock.Now()
	if f.state != open || f.server == nil {
		return
	}
	if f.server == current {
		f.strayTimes = nil
		return
	}
	if c.olderThanMaxFlow(f) || !c.aliveAndStable(f.server) || !c.serverKeeps(f) || !c.timeBoundsApply(t.via) {
		return
	}
	f.strayTimes = append(f.strayTimes, now)
	if len(f.strayTimes) >= 3 && now-f.strayTimes[0] >= c.world.day.Bounds.FlowTimeout {
		c.addBreach(FlowsKept, "packets of flow %s reach server %s, and not server %s, for %v", f.key.Caller, current.id, f.server.id, now-f.strayTimes[0])
		f.strayTimes = nil
	}
}

// checkForwarded checks a packet that an instance sent to a backend server.
func (c *checker) checkForwarded(i *instance, t *transit, packet []byte, err error) {
	if err != nil || !c.world.platform.SameButMark(packet, t.bytes) {
		c.addBreach(Unchanged, "instance %s changed a packet of flow %s: %v", i.name, t.flow.key.Caller, err)
	}
	if check := t.flow.routeCheck; check != nil && isOpening(c.world, t) {
		c.checkRoute(i, check, true)
	}
}

// checkSentReset checks a reset that an instance sends to a caller.
func (c *checker) checkSentReset(i *instance, t *transit, packet []byte, to netip.AddrPort) {
	s, err := c.world.platform.Parse(packet)
	port := i.packetEndpoint.Port()
	if err != nil || s.Flags != segment.Abort || s.Length != 0 || to.Port() != port {
		c.addBreach(Unchanged, "instance %s sent the caller %s something else than a reset: %v", i.name, to, err)
	}
	if check := t.flow.routeCheck; check != nil {
		c.checkRoute(i, check, false)
	}
}

// isOpening reports whether the caller's packet opens a flow.
func isOpening(w *world, t *transit) bool {
	s, err := w.platform.Parse(t.bytes)
	return err == nil && s.Flags.Has(segment.Open)
}

// checkRoute checks what an instance did with a flow of a route that was just added,
// was just removed, or never existed: it forwarded the flow or reset it.
func (c *checker) checkRoute(i *instance, check *routeCheck, forwarded bool) {
	showsVersion := forwarded == (check.kind == addedRoute)
	b := c.world.day.Bounds
	switch {
	case check.kind == unknownRoute:
		if forwarded {
			c.addBreach(RightService, "instance %s forwarded a flow of route %s, which never existed", i.name, check.route)
		}
	case showsVersion && check.kind == removedRoute && check.addedIn > max(i.seenVersion, firstVersion):
		// The instance may be behind the version that added the route.
	case showsVersion:
		if check.version > i.seenVersion {
			i.seenVersion, i.seenVersionAt = check.version, c.world.clock.Now()
		}
	case !forwarded && (!c.world.canServe(check.route) || c.shortOf(i, check.route)):
		// The reset may say that no server can serve the flow, not that the route is
		// unknown.
	case check.sentAt > max(check.acknowledgedAt, c.world.operator.rewrittenAt)+b.Configuration && c.timeBoundsApply(i):
		c.addBreach(ConfigurationInForce, "instance %s goes by a version before %d, %v after it was acknowledged", i.name, check.version, check.sentAt-check.acknowledgedAt)
	case i.seenVersion >= check.version && check.sentAt > i.seenVersionAt+slackOf(i):
		c.addBreach(ConfigurationInForce, "instance %s went back before version %d", i.name, check.version)
	}
}

// shortOf reports whether a service of the route is short of capacity at the instance.
func (c *checker) shortOf(i *instance, route netip.AddrPort) bool {
	for service := range c.world.operator.servicesOfRoute[route] {
		if i.engine.Short(service) {
			return true
		}
	}
	return false
}

// canServe reports whether a warm backend server may get new flows of a route.
func (w *world) canServe(route netip.AddrPort) bool {
	return slices.ContainsFunc(w.servers, func(v *server) bool {
		_, out := w.operator.evacuatedAt[v.centre]
		return v.listening && !v.draining && !out && w.clock.Now() >= v.coldUntil && w.operator.everLedTo(route, v.service.Name)
	})
}

const (
	// olderVersionSlack is how long after the first effect of a version a packet may
	// still be handled by an older one, and slowInstanceSlack the same for a slowed
	// instance.
	olderVersionSlack = 250 * time.Millisecond
	slowInstanceSlack = 8 * olderVersionSlack
)

func slackOf(i *instance) time.Duration {
	if i.slowFactor > 1 {
		return slowInstanceSlack
	}
	return olderVersionSlack
}

// checkRecovery checks that service returned each time after all instances were
// lost: at least a quarter of the later requests must be served.
func (c *checker) checkRecovery() {
	w := c.world
	for _, back := range w.allReturnedAt {
		from := back + w.day.Bounds.Recovery
		owed, served := w.tally.servedFrom(from)
		if owed >= minRecoveryRequests && served*4 < owed {
			c.addBreach(Recovered, "%d of %d requests were served later than %v after all instances were back", served, owed, w.day.Bounds.Recovery)
		}
	}
}

// minRecoveryRequests is the least number of requests that can show whether service
// returned.
const minRecoveryRequests = 20

package emulation

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/connection/segment"
	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
)

const (
	// idleRoutes is how many routes without callers a day begins with.
	idleRoutes = 20
	// firstVersion is the version of the configuration that is in force when
	// instances start.
	firstVersion = 3
	// routeCheckTime is how long the added, removed and unknown routes are checked
	// after a change, with one flow each routeCheckPeriod.
	routeCheckTime   = 8 * time.Second
	routeCheckPeriod = 200 * time.Millisecond
	// operatorRetry is the time between attempts of operators to write while the
	// store is down.
	operatorRetry = 250 * time.Millisecond
	// flowIdle is the idle timeout of flows in the configuration.
	flowIdle = 15 * time.Second
)

// operator models the operators, who write configurations and take data centres out.
type operator struct {
	world   *world
	random  *rand.Rand
	current directory.Configuration
	// servicesOfRoute holds the services that any configuration so far gave each
	// route.
	servicesOfRoute map[netip.AddrPort]map[string]bool
	// addedIn holds the version that added each route.
	addedIn map[netip.AddrPort]version
	// evacuatedAt holds, for each data centre that is out now, when it was taken out.
	evacuatedAt map[string]time.Duration
	// idleRoutesAdded is how many routes without callers were ever added; it numbers
	// them.
	idleRoutesAdded int
	// rewrittenAt is when the configuration was last written again after a restored
	// store had lost it.
	rewrittenAt time.Duration
}

// routeCheckKind says why a route is checked.
type routeCheckKind uint8

const (
	addedRoute routeCheckKind = iota
	removedRoute
	unknownRoute
)

// routeCheck describes a flow without a request that only shows which configuration
// an instance uses. The configuration of that version was acknowledged at
// acknowledgedAt.
type routeCheck struct {
	kind                   routeCheckKind
	route                  netip.AddrPort
	version                version
	acknowledgedAt, sentAt time.Duration
	// addedIn is the version that added the route.
	addedIn version
}

// routeOf returns the endpoint of the route of the class with this index.
func routeOf(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, byte(n + 1)}), 443)
}

// idleRouteOf returns the endpoint of a route without callers, by its number.
func idleRouteOf(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 19, byte(n >> 8), byte(n)}), 443)
}

// firstConfiguration returns the configuration that the day begins with: a route for
// each class, and idle routes.
func (o *operator) firstConfiguration() directory.Configuration {
	w := o.world
	c := directory.Configuration{Version: firstVersion, IdleTimeout: flowIdle}
	for n, class := range w.day.Classes {
		c.Routes = append(c.Routes, directory.Route{
			Name: class.Name, Endpoint: routeOf(n), Kind: class.Kind, Target: class.Target, Timeout: class.Budget, Priority: class.Priority,
			Shares: []directory.Share{{Service: class.Service, Weight: 1}},
		})
	}
	for range idleRoutes {
		c.Routes = append(c.Routes, o.idleRoute())
	}
	for _, s := range w.day.Services {
		c.Services = append(c.Services, directory.Service{Name: s.Name, ColdFor: s.ColdFor, ColdRate: s.ColdRate})
	}
	return c
}

// idleRoute returns a new route without callers.
func (o *operator) idleRoute() directory.Route {
	o.idleRoutesAdded++
	service := o.world.day.Services[o.idleRoutesAdded%len(o.world.day.Services)].Name
	return directory.Route{
		Name: fmt.Sprintf("idle-%d", o.idleRoutesAdded), Endpoint: idleRouteOf(o.idleRoutesAdded), Kind: directory.Repeatable,
		Shares: []directory.Share{{Service: service, Weight: 1}},
	}
}

// writeConfiguration writes a configuration with a new version, and calls then once
// the store has acknowledged it. While the store is down, it tries again.
func (o *operator) writeConfiguration(c directory.Configuration, then func()) {
	w := o.world
	if w.store.down {
		w.clock.After(operatorRetry, func() { o.writeConfiguration(c, then) })
		return
	}
	c.Version = max(c.Version, o.current.Version+1+version(o.random.IntN(3)))
	key, value, err := w.platform.ConfigurationEntry(c)
	if err != nil {
		w.fail(err)
		return
	}
	o.current = c
	for _, r := range c.Routes {
		if o.servicesOfRoute[r.Endpoint] == nil {
			o.servicesOfRoute[r.Endpoint] = make(map[string]bool)
			o.addedIn[r.Endpoint] = c.Version
		}
		for _, s := range r.Shares {
			o.servicesOfRoute[r.Endpoint][s.Service] = true
		}
	}
	w.store.change(func(k Keys) { k.Put(key, value) })
	then()
}

// changeConfiguration writes the next configuration. With replaceRoute it adds an
// idle route and removes one; with extraRoutes it adds that many; with
// neither it raises a timeout.
func (o *operator) changeConfiguration(replaceRoute bool, extraRoutes int) {
	c := o.current
	c.Routes = append([]directory.Route{}, c.Routes...)
	if !replaceRoute && extraRoutes == 0 {
		c.Routes[0].Timeout += time.Second
		o.writeConfiguration(c, func() {})
		return
	}
	var removed directory.Route
	classes := len(o.world.day.Classes)
	if replaceRoute && len(c.Routes) > classes {
		removedAt := classes + o.random.IntN(len(c.Routes)-classes)
		removed = c.Routes[removedAt]
		c.Routes = append(c.Routes[:removedAt:removedAt], c.Routes[removedAt+1:]...)
	}
	added := o.idleRoute()
	c.Routes = append(c.Routes, added)
	for range extraRoutes - 1 {
		c.Routes = append(c.Routes, o.idleRoute())
	}
	o.writeConfiguration(c, func() {
		now := o.world.clock.Now()
		o.startRouteChecks(routeCheck{kind: addedRoute, route: added.Endpoint, version: o.current.Version, acknowledgedAt: now})
		if removed.Name != "" {
			o.startRouteChecks(routeCheck{kind: removedRoute, route: removed.Endpoint, version: o.current.Version, acknowledgedAt: now})
		}
		o.startRouteChecks(routeCheck{kind: unknownRoute, route: idleRouteOf(1<<16 - 1), version: o.current.Version, acknowledgedAt: now})
	})
}

// startRouteChecks opens a flow of a route each routeCheckPeriod, each at a random
// instance.
func (o *operator) startRouteChecks(check routeCheck) {
	w := o.world
	check.addedIn = o.addedIn[check.route]
	end := w.clock.Now() + routeCheckTime
	var next func()
	next = func() {
		if w.clock.Now() > end || check.kind == addedRoute && !o.hasRoute(check.route) {
			return
		}
		o.sendRouteCheck(check, w.instances[o.random.IntN(len(w.instances))])
		w.clock.After(routeCheckPeriod, next)
	}
	next()
}

// sendRouteCheck opens a flow of a route at an instance, if that is ready.
func (o *operator) sendRouteCheck(check routeCheck, i *instance) {
	w := o.world
	if !i.deployed || !i.ready() {
		return
	}
	c := w.callers[w.centreIndex(i.centre)]
	check.sentAt = w.clock.Now()
	f := newFlow(c, check.route)
	f.routeCheck = &check
	w.sendToInstance(f, i, w.platform.Packet(segment.Segment{Flow: f.key, Flags: segment.Open, Sequence: f.firstSequence}, nil))
}

// hasRoute reports whether the last written configuration has a route with this
// endpoint.
func (o *operator) hasRoute(endpoint netip.AddrPort) bool {
	for _, r := range o.current.Routes {
		if r.Endpoint == endpoint {
			return true
		}
	}
	return false
}

// everLedTo reports whether any configuration so far gave the route this service.
func (o *operator) everLedTo(route netip.AddrPort, service string) bool {
	return o.servicesOfRoute[route][service]
}

// evacuate takes a data centre out for some time. Its backend servers are cold
// afterwards unless they stay warm.
func (o *operator) evacuate(centre string, duration time.Duration, warm bool) {
	w := o.world
	if w.store.down {
		w.clock.After(operatorRetry, func() { o.evacuate(centre, duration, warm) })
		return
	}
	key := w.platform.EvacuationKey(centre)
	w.store.change(func(k Keys) { k.Put(key, nil) })
	o.evacuatedAt[centre] = w.clock.Now()
	w.clock.After(duration, func() { o.endEvacuation(centre, warm) })
}

func (o *operator) endEvacuation(centre string, warm bool) {
	w := o.world
	if w.store.down {
		w.clock.After(operatorRetry, func() { o.endEvacuation(centre, warm) })
		return
	}
	delete(o.evacuatedAt, centre)
	for _, v := range w.servers {
		if v.centre == centre && !warm {
			v.coldUntil = w.clock.Now() + v.service.ColdFor
			v.writeEntry()
		}
	}
	w.store.change(func(k Keys) { k.Delete(w.platform.EvacuationKey(centre)) })
}

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
	// firstVersion is the version in force when instances start.
	firstVersion = 3
	// trapsFor is how long after a change flows of the changed routes are tried, one
	// each trapPeriod.
	trapsFor   = 8 * time.Second
	trapPeriod = 200 * time.Millisecond
	// operatorRetry is how long operators wait while the store is away.
	operatorRetry = 250 * time.Millisecond
	// flowIdle is how long flows may be idle.
	flowIdle = 15 * time.Second
)

// operator writes configurations and takes data centres out.
type operator struct {
	world   *world
	random  *rand.Rand
	current directory.Configuration
	// led are the services that each route ever led to.
	led map[netip.AddrPort]map[string]bool
	// out is when a data centre was taken out.
	out map[string]time.Duration
	// added numbers the routes without callers.
	added int
}

// trapKind says what is special about a route.
type trapKind uint8

const (
	addedRoute trapKind = iota
	removedRoute
	unknownRoute
)

// trap is a flow that only shows which configuration an instance goes by.
type trap struct {
	kind               trapKind
	route              netip.AddrPort
	version            version
	acknowledged, sent time.Duration
}

// routeOf returns the address of a class's route.
func routeOf(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, byte(n + 1)}), 443)
}

func idleRouteOf(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 19, byte(n >> 8), byte(n)}), 443)
}

// first returns the configuration that the day begins with.
func (o *operator) first() directory.Configuration {
	w := o.world
	c := directory.Configuration{Version: firstVersion, IdleTimeout: flowIdle}
	for n, class := range w.day.Classes {
		c.Routes = append(c.Routes, directory.Route{
			Name: class.Name, Endpoint: routeOf(n), Kind: class.Kind, Target: class.Target, Timeout: class.Budget,
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
	o.added++
	service := o.world.day.Services[o.added%len(o.world.day.Services)].Name
	return directory.Route{
		Name: fmt.Sprintf("idle-%d", o.added), Endpoint: idleRouteOf(o.added), Kind: directory.Repeatable,
		Shares: []directory.Share{{Service: service, Weight: 1}},
	}
}

// configure writes a configuration, and calls then once it is acknowledged.
func (o *operator) configure(c directory.Configuration, then func()) {
	w := o.world
	if w.store.down {
		w.line.After(operatorRetry, func() { o.configure(c, then) })
		return
	}
	c.Version = max(c.Version, o.current.Version+1+version(o.random.IntN(3)))
	key, value, err := w.platform.Configuration(c)
	if err != nil {
		w.fail(err)
		return
	}
	o.current = c
	for _, r := range c.Routes {
		if o.led[r.Endpoint] == nil {
			o.led[r.Endpoint] = make(map[string]bool)
		}
		for _, s := range r.Shares {
			o.led[r.Endpoint][s.Service] = true
		}
	}
	w.store.change(func(k Keys) { k.Put(key, value) })
	then()
}

// change writes the next configuration: with a route added and one removed, or with
// another timeout, or with many more routes.
func (o *operator) change(routes bool, more int) {
	c := o.current
	c.Routes = append([]directory.Route{}, c.Routes...)
	if !routes && more == 0 {
		c.Routes[0].Timeout += time.Second
		o.configure(c, func() {})
		return
	}
	var removed directory.Route
	classes := len(o.world.day.Classes)
	if routes && len(c.Routes) > classes {
		at := classes + o.random.IntN(len(c.Routes)-classes)
		removed = c.Routes[at]
		c.Routes = append(c.Routes[:at:at], c.Routes[at+1:]...)
	}
	added := o.idleRoute()
	c.Routes = append(c.Routes, added)
	for range more {
		c.Routes = append(c.Routes, o.idleRoute())
	}
	o.configure(c, func() {
		now := o.world.line.Now()
		o.try(trap{kind: addedRoute, route: added.Endpoint, version: o.current.Version, acknowledged: now})
		if removed.Name != "" {
			o.try(trap{kind: removedRoute, route: removed.Endpoint, version: o.current.Version, acknowledged: now})
		}
		o.try(trap{kind: unknownRoute, route: idleRouteOf(1<<16 - 1), version: o.current.Version, acknowledged: now})
	})
}

// try opens flows of a route again and again, at instances in turn.
func (o *operator) try(p trap) {
	w := o.world
	end := w.line.Now() + trapsFor
	var next func()
	next = func() {
		if w.line.Now() > end || p.kind == addedRoute && !o.has(p.route) {
			return
		}
		o.tryAt(p, w.instances[o.random.IntN(len(w.instances))])
		w.line.After(trapPeriod, next)
	}
	next()
}

func (o *operator) tryAt(p trap, i *instance) {
	w := o.world
	if !i.present || !i.probe() {
		return
	}
	c := w.callers[w.centreIndex(i.centre)]
	p.sent = w.line.Now()
	f := newFlow(c, p.route)
	f.trap = &p
	w.carry(f, i, w.platform.Packet(segment.Segment{Flow: f.key, Flags: segment.Open, Sequence: f.first}, nil))
}

// has says whether the configuration in force has a route.
func (o *operator) has(at netip.AddrPort) bool {
	for _, r := range o.current.Routes {
		if r.Endpoint == at {
			return true
		}
	}
	return false
}

// everLeads says whether any configuration led a route to a service.
func (o *operator) everLeads(route netip.AddrPort, service string) bool { return o.led[route][service] }

// evacuate takes a data centre out for some time.
func (o *operator) evacuate(centre string, lasts time.Duration, warm bool) {
	w := o.world
	if w.store.down {
		w.line.After(operatorRetry, func() { o.evacuate(centre, lasts, warm) })
		return
	}
	key := w.platform.Evacuation(centre)
	w.store.change(func(k Keys) { k.Put(key, nil) })
	o.out[centre] = w.line.Now()
	w.line.After(lasts, func() { o.bringBack(centre, warm) })
}

func (o *operator) bringBack(centre string, warm bool) {
	w := o.world
	if w.store.down {
		w.line.After(operatorRetry, func() { o.bringBack(centre, warm) })
		return
	}
	delete(o.out, centre)
	for _, v := range w.servers {
		if v.centre == centre && !warm {
			v.coldUntil = w.line.Now() + v.service.ColdFor
			v.write()
		}
	}
	w.store.change(func(k Keys) { k.Delete(w.platform.Evacuation(centre)) })
}

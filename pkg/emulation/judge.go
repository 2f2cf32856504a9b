package emulation

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/connection/segment"
	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
)

// version is a configuration's.
type version = directory.Version

// Promise is something that must hold on every day.
type Promise string

// Promises, as callers, backend servers and operators see them.
const (
	// RightService: a backend server takes only flows of routes that lead to it.
	RightService Promise = "RightService"
	// Drained: a backend server that leaves gets no new flow after the bound.
	Drained Promise = "Drained"
	// Evacuated: nor does one in a data centre that is taken out.
	Evacuated Promise = "Evacuated"
	// ColdBound: a cold backend server gets no more flows than it bears.
	ColdBound Promise = "ColdBound"
	// ConfigurationInForce: a configuration is in force after the bound, and an
	// instance never goes back.
	ConfigurationInForce Promise = "ConfigurationInForce"
	// FlowsKept: a flow whose backend server lives isn't reset nor led astray.
	FlowsKept Promise = "FlowsKept"
	// Unchanged: packets arrive as they were sent.
	Unchanged Promise = "Unchanged"
	// RunsOnce: a request that may not be repeated runs once.
	RunsOnce Promise = "RunsOnce"
	// Recovered: service returns after all instances were lost.
	Recovered Promise = "Recovered"
)

// Promises returns all promises.
func Promises() []Promise {
	return []Promise{RightService, Drained, Evacuated, ColdBound, ConfigurationInForce, FlowsKept, Unchanged, RunsOnce, Recovered}
}

// Breach is a promise that didn't hold.
type Breach struct {
	Promise Promise
	At      time.Duration
	Text    string
}

// maxBreaches bounds the breaches that are told.
const maxBreaches = 50

// judge holds what happens against the promises.
type judge struct {
	world    *world
	breaches []Breach
	// counted is how many there were, told or not.
	counted int
	// ranOf is how often requests ran that may run once.
	ranOf map[*request]int
}

func (j *judge) broken(p Promise, format string, args ...any) {
	j.counted++
	if len(j.breaches) < maxBreaches {
		j.breaches = append(j.breaches, Breach{Promise: p, At: j.world.line.Now() - j.world.trafficFrom(), Text: fmt.Sprintf(format, args...)})
	}
}

// inTouch says whether promises with a time bound hold for an instance now.
func (j *judge) inTouch(i *instance) bool {
	now, stable := j.world.line.Now(), j.world.day.Bounds.Stable
	return i.running && now-i.began >= stable && i.undisturbed(now, stable) && j.world.store.undisturbed(now, stable)
}

// opened judges a flow that a backend server took.
func (j *judge) opened(v *server, f *serverFlow) {
	w, t := j.world, f.opening
	now, b := w.line.Now(), w.day.Bounds
	route := f.flow.key.Route
	if !w.operator.everLeads(route, v.service.Name) {
		j.broken(RightService, "server %s of service %s took a flow of route %s", v.id, v.service.Name, route)
	}
	touched := j.inTouch(t.via)
	if v.leftAt > 0 && t.sent > v.leftAt+b.Drain && touched {
		j.broken(Drained, "server %s left %v before instance %s sent it a new flow", v.id, t.sent-v.leftAt, t.via.name)
	}
	if since, out := w.operator.out[v.centre]; out && t.sent > since+b.Evacuation && touched {
		j.broken(Evacuated, "data centre %s was out for %v when instance %s sent server %s a new flow", v.centre, t.sent-since, t.via.name, v.id)
	}
	if now < v.coldUntil {
		j.cold(v, t)
	}
}

// cold counts the flows of a cold backend server within a second.
func (j *judge) cold(v *server, t *transit) {
	now, b := j.world.line.Now(), j.world.day.Bounds
	v.opened = append(v.opened, t.sent)
	for len(v.opened) > 0 && v.opened[0] < now-time.Second {
		v.opened = v.opened[1:]
	}
	if bound := v.service.ColdRate*b.ColdFactor + b.ColdSlack; float64(len(v.opened)) > bound {
		j.broken(ColdBound, "cold server %s got %d flows in a second, bound %g", v.id, len(v.opened), bound)
	}
}

// ran judges a request that a backend server begins to run.
func (j *judge) ran(v *server, a *attempt) {
	r := a.request
	if r.class.Kind == directory.Repeatable {
		return
	}
	j.ranOf[r]++
	if j.ranOf[r] > 1 {
		j.broken(RunsOnce, "request %s of class %s ran %d times, last at server %s", a.id, r.class.Name, j.ranOf[r], v.id)
	}
}

// living says whether a flow's server lives undisturbed.
func (j *judge) living(v *server) bool {
	return v != nil && v.listening && v.undisturbed(j.world.line.Now(), j.world.day.Bounds.Stable)
}

// old says whether a flow is older than those that are kept.
func (j *judge) old(f *flow) bool {
	return j.world.line.Now()-f.opened > j.world.day.Bounds.MaxFlow
}

// held says whether a flow's server holds it.
func (j *judge) held(f *flow) bool {
	held, ok := f.at.flows[f.key]
	return ok && held.opened
}

// reset judges an instance's reset that a caller got.
func (j *judge) reset(f *flow, t *transit) {
	if f.state != open || j.old(f) || !j.living(f.at) || !j.held(f) || !j.inTouch(t.via) {
		return
	}
	if !j.world.operator.has(f.key.Route) {
		return
	}
	j.broken(FlowsKept, "instance %s reset flow %s, which server %s holds", t.via.name, f.key.Caller, f.at.id)
}

// aborted judges a reset that a backend server sent.
func (j *judge) aborted(f *flow, v *server) {
	if f.state == open && f.at != v && j.living(f.at) && j.held(f) && !j.old(f) {
		j.broken(FlowsKept, "server %s reset flow %s, which server %s holds", v.id, f.key.Caller, f.at.id)
	}
}

// arrived judges where a flow's packet arrived.
func (j *judge) arrived(owner *server, t *transit) {
	f := t.flow
	now := j.world.line.Now()
	if f.state != open || f.at == nil {
		return
	}
	if f.at == owner {
		f.strays = nil
		return
	}
	if j.old(f) || !j.living(f.at) || !j.held(f) || !j.inTouch(t.via) {
		return
	}
	f.strays = append(f.strays, now)
	if len(f.strays) >= 3 && now-f.strays[0] >= j.world.day.Bounds.FlowTimeout {
		j.broken(FlowsKept, "packets of flow %s reach server %s, and not server %s, for %v", f.key.Caller, owner.id, f.at.id, now-f.strays[0])
		f.strays = nil
	}
}

// forwarded judges a packet that an instance sent to a backend server.
func (j *judge) forwarded(i *instance, t *transit, packet []byte, err error) {
	if err != nil || !j.world.platform.SameButMark(packet, t.bytes) {
		j.broken(Unchanged, "instance %s changed a packet of flow %s: %v", i.name, t.flow.key.Caller, err)
	}
	if p := t.flow.trap; p != nil && isOpen(j.world, t) {
		j.trapped(i, p, true)
	}
}

// resetSent judges a reset that an instance sends.
func (j *judge) resetSent(i *instance, t *transit, packet []byte, to netip.AddrPort) {
	s, err := j.world.platform.Parse(packet)
	port := i.packets.Port()
	if err != nil || s.Flags != segment.Abort || s.Length != 0 || to.Port() != port {
		j.broken(Unchanged, "instance %s sent the caller %s something else than a reset: %v", i.name, to, err)
	}
	if p := t.flow.trap; p != nil {
		j.trapped(i, p, false)
	}
}

func isOpen(w *world, t *transit) bool {
	s, err := w.platform.Parse(t.bytes)
	return err == nil && s.Flags.Has(segment.Open)
}

// trapped judges what an instance does with a flow of a route that was just added,
// just removed, or never there.
func (j *judge) trapped(i *instance, p *trap, forwarded bool) {
	newer := forwarded == (p.kind == addedRoute)
	b := j.world.day.Bounds
	switch {
	case p.kind == unknownRoute:
		if forwarded {
			j.broken(RightService, "instance %s forwarded a flow of route %s, which never existed", i.name, p.route)
		}
	case newer:
		if p.version > i.shown {
			i.shown, i.shownAt = p.version, j.world.line.Now()
		}
	case !forwarded && !j.world.servable(p.route):
		// A reset says that nothing can serve the flow, not that there is no route.
	case p.sent > p.acknowledged+b.Configuration && j.inTouch(i):
		j.broken(ConfigurationInForce, "instance %s goes by a version before %d, %v after it was acknowledged", i.name, p.version, p.sent-p.acknowledged)
	case i.shown >= p.version && p.sent > i.shownAt+slackOf(i):
		j.broken(ConfigurationInForce, "instance %s went back before version %d", i.name, p.version)
	}
}

// servable says whether a warm backend server may get new flows of a route.
func (w *world) servable(route netip.AddrPort) bool {
	return slices.ContainsFunc(w.servers, func(v *server) bool {
		_, out := w.operator.out[v.centre]
		return v.listening && !v.draining && !out && w.line.Now() >= v.coldUntil && w.operator.everLeads(route, v.service.Name)
	})
}

const (
	// rollbackSlack is how long after the first effect of a version a packet may
	// still be handled by an older one, and slowedSlack that of a slowed instance.
	rollbackSlack = 250 * time.Millisecond
	slowedSlack   = 8 * rollbackSlack
)

func slackOf(i *instance) time.Duration {
	if i.slow > 1 {
		return slowedSlack
	}
	return rollbackSlack
}

// recovered judges the service after all instances were lost.
func (j *judge) recovered() {
	w := j.world
	for _, back := range w.losses {
		from := back + w.day.Bounds.Recovery
		owed, served := w.tally.servedFrom(from)
		if owed >= leastRequests && served*4 < owed {
			j.broken(Recovered, "%d of %d requests were served later than %v after all instances were back", served, owed, w.day.Bounds.Recovery)
		}
	}
}

// leastRequests is the least number of requests that show whether service returned.
const leastRequests = 20

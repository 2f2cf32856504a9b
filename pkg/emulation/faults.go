package emulation

import (
	"net/http"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/tanagerweir/tanagerweir/pkg/emulation/day"
)

// injectors let faults happen, by their kind.
var injectors = map[string]func(*world, day.Fault){
	day.ServersCrash: (*world).serversCrash, day.ServersReplaced: (*world).serversReplaced,
	day.AddressesReused: (*world).addressesReused, day.ServersLeave: (*world).serversLeave,
	day.ServersAdded: (*world).serversAdded, day.ServersGrey: (*world).serversGrey,
	day.ServersSlow: (*world).serversSlow, day.ServersFlap: (*world).serversFlap,
	day.DataCentreBackCold: (*world).dataCentreBackCold,
	day.InstancesKilled:    (*world).instancesKilled, day.InstancesRestarted: (*world).instancesRestarted,
	day.InstancesFrozen: (*world).instancesFrozen, day.InstancesSlow: (*world).instancesSlow,
	day.InstancesAdded: (*world).instancesAdded, day.InstancesCut: (*world).instancesCut,
	day.InstancesReload: (*world).instancesReload, day.ConnectionsSilent: (*world).connectionsSilent,
	day.DataCentreCut: (*world).dataCentreCut, day.DataCentreWithoutPath: (*world).dataCentreWithoutPath,
	day.DataCentreDark: (*world).dataCentreDark, day.LinksLossy: (*world).linksLossy,
	day.StoreDown: (*world).storeDown, day.StoreCut: (*world).storeCut, day.StoreRefuses: (*world).storeRefuses,
	day.StoreSlow: (*world).storeSlow, day.StoreLosesAnswers: (*world).storeLosesAnswers,
	day.StoreForgets: (*world).storeForgets, day.ConfigurationChanges: (*world).configurationChanges,
	day.ConfigurationStorm: (*world).configurationStorm, day.ConfigurationGrows: (*world).configurationGrows,
	day.DataCentreOut: (*world).dataCentreOut, day.CallersBurst: (*world).callersBurst, day.CallersMove: (*world).callersMove,
}

// inject lets a fault happen.
func (w *world) inject(f day.Fault) {
	inject, ok := injectors[f.Kind]
	if !ok {
		w.fail(errors.Errorf("fault %q has the unknown kind %q", f.Name, f.Kind))
		return
	}
	w.told = append(w.told, f.String())
	inject(w, f)
}

// disturb marks places as affected for some time.
func (w *world) disturb(lasts time.Duration, places ...*place) {
	for _, p := range places {
		p.disturbances++
		w.line.After(lasts, func() {
			p.disturbances--
			p.calm = w.line.Now()
		})
	}
}

// or returns a figure of a fault, or what stands for 0.
func or(figure, missing float64) float64 {
	if figure == 0 {
		return missing
	}
	return figure
}

// someServers draws backend servers that run.
func (w *world) someServers(f day.Fault, share float64) []*server {
	var running []*server
	for _, v := range w.servers {
		if v.listening && !v.draining && (f.Service == "" || v.service.Name == f.Service) && (f.DataCentre == "" || v.centre == f.DataCentre) {
			running = append(running, v)
		}
	}
	if len(running) == 0 {
		return nil
	}
	return shuffled(w.faults, running, or(f.Share, share), f.Count)
}

// someInstances draws instances that run, first the one that reads the store where
// the fault says so.
func (w *world) someInstances(f day.Fault, share float64) []*instance {
	var running []*instance
	for _, i := range w.instances {
		if i.present && !i.leaving && (f.DataCentre == "" || i.centre == f.DataCentre) {
			running = append(running, i)
		}
	}
	if len(running) == 0 {
		return nil
	}
	some := shuffled(w.faults, running, or(f.Share, share), f.Count)
	if f.Has("Follower") && len(w.store.waiting) > 0 {
		reader := w.store.waiting[0].from
		at := slices.IndexFunc(running, func(i *instance) bool { return i.name == reader })
		if at >= 0 && !slices.Contains(some, running[at]) {
			some[0] = running[at]
		}
	}
	return some
}

// drawCentre returns the fault's data centre, or a drawn one.
func (w *world) drawCentre(f day.Fault) string {
	if f.DataCentre != "" {
		return f.DataCentre
	}
	return w.day.DataCentres[w.faults.IntN(len(w.day.DataCentres))].Name
}

// crash ends a backend server's process; it starts again after a time, under its
// identifier. A machine that isn't dark refuses what comes meanwhile.
func (w *world) crash(v *server, lasts time.Duration, dark bool) {
	w.disturb(lasts, &v.place)
	v.end(dark)
	w.line.After(lasts, func() { w.boot(v, true) })
}

func (w *world) serversCrash(f day.Fault) {
	for _, v := range w.someServers(f, 0.15) {
		if f.Has("Lost") {
			w.leave(v, f.Has("Dark"))
			continue
		}
		w.crash(v, f.For, f.Has("Dark"))
	}
}

// leave ends a backend server for good.
func (w *world) leave(v *server, dark bool) {
	v.disturbances++ // it never returns
	v.end(dark)
}

// drainFor is how long a backend server serves after the bound on draining.
const drainFor = 500 * time.Millisecond

// drain lets a backend server finish and end, and calls then.
func (w *world) drain(v *server, then func()) {
	if !v.listening || v.draining {
		return
	}
	v.draining = true
	v.write()
	w.drained(v, then)
}

// drained ends a draining server once the store has known for long enough.
func (w *world) drained(v *server, then func()) {
	wait := w.day.Bounds.Drain + drainFor
	if v.leftAt == 0 || w.line.Now()-v.leftAt < wait {
		w.line.After(w.day.Store.Heartbeat, func() { w.drained(v, then) })
		return
	}
	v.end(false)
	v.remove()
	then()
}

func (w *world) serversReplaced(f day.Fault) {
	for n, old := range w.someServers(f, 0.5) {
		w.line.After(time.Duration(n)*f.Gap, func() {
			if !old.listening || old.draining {
				return
			}
			w.addServer(old.service, old.centre, w.newEndpoint(), true)
			w.line.After(time.Second, func() { w.drain(old, func() {}) })
		})
	}
}

// reuseAfter is how long an address is free before another server gets it.
const reuseAfter = 2 * time.Second

func (w *world) addressesReused(f day.Fault) {
	for _, v := range w.someServers(f, 0.15) {
		other := w.day.Services[(slices.IndexFunc(w.day.Services, func(s day.Service) bool { return s.Name == v.service.Name })+1)%len(w.day.Services)]
		reuse := func() {
			w.line.After(reuseAfter, func() { w.addServer(other, v.centre, v.endpoint, true) })
		}
		if f.Has("Drain") {
			w.drain(v, reuse)
			continue
		}
		service, centre := v.service, v.centre
		w.leave(v, f.Has("Dark"))
		reuse()
		// Its own service gets another server instead.
		w.line.After(2*reuseAfter, func() { w.addServer(service, centre, w.newEndpoint(), true) })
	}
}

func (w *world) serversLeave(f day.Fault) {
	for _, v := range w.someServers(f, 0.15) {
		w.drain(v, func() {})
	}
}

func (w *world) serversAdded(f day.Fault) {
	for n, like := range w.someServers(f, 0.3) {
		w.line.After(time.Duration(n)*f.Gap, func() { w.addServer(like.service, like.centre, w.newEndpoint(), true) })
	}
}

func (w *world) serversGrey(f day.Fault) {
	for _, v := range w.someServers(f, 0.15) {
		w.disturb(f.For, &v.place)
		v.grey, v.mute = or(f.Factor, 0.4), f.Has("Mute")
		w.line.After(f.For, func() { v.grey, v.mute = 0, false })
	}
}

func (w *world) serversSlow(f day.Fault) {
	for _, v := range w.someServers(f, 0.15) {
		w.disturb(f.For, &v.place)
		v.slow = or(f.Factor, 4)
		w.line.After(f.For, func() { v.slow = 0 })
	}
}

func (w *world) serversFlap(f day.Fault) {
	for _, v := range w.someServers(f, 0.15) {
		for at := time.Duration(0); at < f.For; at += 2 * f.Gap {
			w.line.After(at, func() { w.crash(v, f.Gap, f.Has("Dark")) })
		}
	}
}

func (w *world) dataCentreBackCold(f day.Fault) {
	centre := w.drawCentre(f)
	for _, v := range w.servers {
		if v.centre == centre && v.listening {
			w.crash(v, f.For, f.Has("Dark"))
		}
	}
}

// lose ends instances at once; they start again after a time.
func (w *world) lose(some []*instance, lasts time.Duration) {
	for _, i := range some {
		w.disturb(lasts, &i.place)
		i.kill()
		w.line.After(lasts+w.startSpread(), i.start)
	}
}

func (w *world) instancesKilled(f day.Fault) {
	some := w.someInstances(f, 0.1)
	w.lose(some, f.For)
	present := 0
	for _, i := range w.instances {
		if i.present {
			present++
		}
	}
	if len(some) == present {
		w.losses = append(w.losses, w.line.Now()+f.For)
	}
}

// restartPause is the time from the end of a process to its next start.
const restartPause = 300 * time.Millisecond

func (w *world) instancesRestarted(f day.Fault) {
	for n, i := range w.someInstances(f, 1) {
		w.line.After(time.Duration(n)*f.Gap, func() {
			w.disturb(w.day.Bounds.Grace, &i.place)
			i.stop(func() {
				if f.Has("Remove") {
					i.leaving, i.present = true, false
					w.rotate()
					return
				}
				w.line.After(restartPause, i.start)
			})
		})
	}
}

func (w *world) instancesFrozen(f day.Fault) {
	for _, i := range w.someInstances(f, 0.1) {
		w.disturb(f.For, &i.place)
		i.frozen = w.line.Now() + f.For
	}
}

func (w *world) instancesSlow(f day.Fault) {
	for _, i := range w.someInstances(f, 0.1) {
		w.disturb(f.For, &i.place)
		i.slow = or(f.Factor, 5)
		w.line.After(f.For, func() { i.slow = 0 })
	}
}

func (w *world) instancesAdded(f day.Fault) {
	for _, i := range w.instances {
		if !i.present && !i.leaving && w.faults.Float64() < or(f.Share, 1) {
			i.present = true
			i.start()
		}
	}
	w.rotate()
}

// instancesReload needs no more than that nothing happens: an instance that reads
// the same settings again goes on.
func (w *world) instancesReload(f day.Fault) {
	for n, i := range w.someInstances(f, 0.3) {
		w.line.After(time.Duration(n)*f.Gap, func() { w.disturb(0, &i.place) })
	}
}

func (w *world) connectionsSilent(f day.Fault) {
	for _, i := range w.someInstances(f, 1) {
		w.disturb(0, &i.place)
		if i.transport == nil {
			continue
		}
		i.transport.silent = true
		w.store.cutWatches(func(from string) bool { return from == i.name }, 0)
	}
}

// cutOff blocks the way between the places for some time, and disturbs those that
// are named.
func (w *world) cutOff(lasts time.Duration, blocks func(from, to *place) bool, touched ...*place) {
	heal := w.network.add(blocks)
	w.disturb(lasts, touched...)
	w.line.After(lasts, heal)
}

// at returns the places of a data centre's instances and backend servers.
func (w *world) at(centre string) []*place {
	var there []*place
	for _, i := range w.instances {
		if i.centre == centre {
			there = append(there, &i.place)
		}
	}
	for _, v := range w.servers {
		if v.centre == centre {
			there = append(there, &v.place)
		}
	}
	return there
}

func (w *world) dataCentreCut(f day.Fault) {
	centre := w.drawCentre(f)
	inside := func(p *place) bool { return p.role != storeRole && p.centre == centre }
	w.cutOff(f.For, func(from, to *place) bool {
		return from.role != callerRole && to.role != callerRole && inside(from) != inside(to)
	}, w.at(centre)...)
}

func (w *world) dataCentreWithoutPath(f day.Fault) {
	one := w.faults.IntN(len(w.day.DataCentres))
	a, b := w.day.DataCentres[one].Name, w.day.DataCentres[(one+1)%len(w.day.DataCentres)].Name
	w.cutOff(f.For, func(from, to *place) bool {
		inside := from.role != callerRole && to.role != callerRole && from.role != storeRole && to.role != storeRole
		return inside && (from.centre == a && to.centre == b || from.centre == b && to.centre == a)
	}, append(w.at(a), w.at(b)...)...)
}

func (w *world) dataCentreDark(f day.Fault) {
	centre := w.drawCentre(f)
	var there []*instance
	for _, i := range w.instances {
		if i.present && i.centre == centre {
			there = append(there, i)
		}
	}
	w.lose(there, f.For)
	for _, v := range w.servers {
		if v.centre == centre && v.listening {
			w.crash(v, f.For, true)
		}
	}
}

func (w *world) linksLossy(f day.Fault) {
	w.network.lossy = or(f.Factor, 0.1)
	for _, c := range w.day.DataCentres {
		w.disturb(f.For, w.at(c.Name)...)
	}
	w.line.After(f.For, func() { w.network.lossy = 0 })
}

func (w *world) instancesCut(f day.Fault) {
	some := w.someInstances(f, 0.1)
	var touched []*place
	cutOff := make(map[*place]bool)
	for _, i := range some {
		cutOff[&i.place] = true
		touched = append(touched, &i.place)
	}
	w.cutOff(f.For, func(from, to *place) bool {
		if !cutOff[from] && (f.Has("OneWay") || !cutOff[to]) {
			return false
		}
		other := to.role
		if !cutOff[from] {
			other = from.role
		}
		return other == instanceRole || other == storeRole || f.Has("All") && other == serverRole
	}, touched...)
}

func (w *world) storeCut(f day.Fault) {
	cutOff := make(map[*place]bool)
	var touched []*place
	for _, i := range w.someInstances(f, 0.1) {
		cutOff[&i.place] = true
		touched = append(touched, &i.place)
	}
	w.cutOff(f.For, func(from, to *place) bool {
		return from.role == storeRole && cutOff[to] || !f.Has("OneWay") && to.role == storeRole && cutOff[from]
	}, touched...)
}

func (w *world) storeDown(f day.Fault) {
	s := w.store
	w.disturb(f.For, &s.place)
	s.down, s.busy, s.lapse = true, f.Has("Busy"), f.Has("Lapse")
	status := 0
	if s.busy {
		status = http.StatusServiceUnavailable
	}
	s.cutWatches(func(string) bool { return true }, status)
	w.line.After(f.For, func() {
		s.down, s.busy, s.lapse = false, false, false
		for _, v := range w.servers {
			v.beat = max(v.beat, w.line.Now()) // entries count from the return on
		}
	})
}

func (w *world) storeRefuses(f day.Fault) {
	s := w.store
	how := refusal(http.StatusServiceUnavailable)
	switch {
	case f.Has("Many"):
		how = http.StatusTooManyRequests
	case f.Has("Silent"):
		how = silentRefusal
	}
	for _, i := range w.someInstances(f, 0.35) {
		w.disturb(f.For, &i.place)
		s.refused[i.name] = how
		s.cutWatches(func(from string) bool { return from == i.name }, int(how))
		w.line.After(f.For, func() { delete(s.refused, i.name) })
	}
	if f.Has("Revoke") {
		s.change(func(k Keys) { k.Revoke() })
	}
}

func (w *world) storeSlow(f day.Fault) {
	w.disturb(f.For, &w.store.place)
	w.store.slow = or(f.Factor, 50)
	w.line.After(f.For, func() { w.store.slow = 0 })
}

func (w *world) storeLosesAnswers(f day.Fault) {
	w.disturb(f.For, &w.store.place)
	w.store.lost, w.store.late = or(f.Factor, 0.3), f.Has("Late")
	w.line.After(f.For, func() { w.store.lost, w.store.late = 0, false })
}

func (w *world) storeForgets(f day.Fault) {
	for at := time.Duration(0); at <= f.For; at += max(f.Gap, lapsePoll) {
		w.line.After(at, func() {
			w.disturb(0, &w.store.place)
			w.store.change(func(k Keys) { k.Compact() })
			w.store.cutWatches(func(string) bool { return true }, 0)
		})
	}
}

func (w *world) configurationChanges(f day.Fault) { w.operator.change(f.Has("Route"), 0) }

func (w *world) configurationStorm(f day.Fault) {
	for at := time.Duration(0); at <= f.For; at += max(f.Gap, lapsePoll) {
		w.line.After(at, func() { w.operator.change(w.faults.IntN(2) == 0, 0) })
	}
}

// grownBy is how many routes a configuration grows by without a count.
const grownBy = 300

func (w *world) configurationGrows(f day.Fault) {
	more := f.Count
	if more == 0 {
		more = grownBy
	}
	w.operator.change(false, more)
}

func (w *world) dataCentreOut(f day.Fault) {
	w.operator.evacuate(w.drawCentre(f), f.For, f.Has("Warm"))
}

func (w *world) callersBurst(f day.Fault) {
	for _, c := range w.callers {
		if f.DataCentre == "" || c.centre == f.DataCentre {
			c.factor *= or(f.Factor, 2)
			w.line.After(f.For, func() { c.factor /= or(f.Factor, 2) })
		}
	}
}

func (w *world) callersMove(f day.Fault) {
	from := w.callers[w.centreIndex(w.drawCentre(f))]
	to := w.callers[(w.centreIndex(from.centre)+1)%len(w.callers)]
	share := or(f.Share, 0.5)
	moved := from.load.Requests * share * from.factor / max(to.load.Requests, 1)
	from.factor -= share
	to.factor += moved
	w.line.After(f.For, func() {
		from.factor += share
		to.factor -= moved
	})
}

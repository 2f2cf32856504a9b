package emulation

import (
	"net/http"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/tanagerweir/tanagerweir/pkg/emulation/day"
)

// injectors holds the function that injects each kind of fault. day.DescribeKinds
// describes the kinds.
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
	day.StoreForgets: (*world).storeForgets, day.StoreRestored: (*world).storeRestored, day.ConfigurationChanges: (*world).configurationChanges,
	day.ConfigurationStorm: (*world).configurationStorm, day.ConfigurationGrows: (*world).configurationGrows,
	day.DataCentreOut: (*world).dataCentreOut, day.CallersBurst: (*world).callersBurst, day.CallersMove: (*world).callersMove,
}

// inject injects a fault now and adds it to the result.
func (w *world) inject(f day.Fault) {
	inject, ok := injectors[f.Kind]
	if !ok {
		w.fail(errors.Errorf("fault %q has the unknown kind %q", f.Name, f.Kind))
		return
	}
	w.injectedFaults = append(w.injectedFaults, f.String())
	inject(w, f)
}

// disturb marks nodes as affected by a fault for some time. Promises with a time
// bound don't apply to them meanwhile.
func (w *world) disturb(duration time.Duration, nodes ...*node) {
	for _, n := range nodes {
		n.disturbances++
		w.clock.After(duration, func() {
			n.disturbances--
			n.disturbedUntil = w.clock.Now()
		})
	}
}

// orDefault returns a number of a fault, or the default if it is 0.
func orDefault(number, fallback float64) float64 {
	if number == 0 {
		return fallback
	}
	return number
}

// drawServers draws running backend servers, limited to the fault's service and data
// centre. The share is the default.
func (w *world) drawServers(f day.Fault, share float64) []*server {
	var running []*server
	for _, v := range w.servers {
		if v.listening && !v.draining && (f.Service == "" || v.service.Name == f.Service) && (f.DataCentre == "" || v.centre == f.DataCentre) {
			running = append(running, v)
		}
	}
	if len(running) == 0 {
		return nil
	}
	return drawSome(w.faultRandom, running, orDefault(f.Share, share), f.Count)
}

// drawInstances draws deployed instances, limited to the fault's data centre. The
// share is the default. With the variant Follower they include the instance that
// follows the store, which is the one with the oldest watch.
func (w *world) drawInstances(f day.Fault, share float64) []*instance {
	var running []*instance
	for _, i := range w.instances {
		if i.deployed && !i.retired && (f.DataCentre == "" || i.centre == f.DataCentre) {
			running = append(running, i)
		}
	}
	if len(running) == 0 {
		return nil
	}
	drawn := drawSome(w.faultRandom, running, orDefault(f.Share, share), f.Count)
	if f.HasVariant("Follower") && len(w.store.watches) > 0 {
		reader := w.store.watches[0].from
		index := slices.IndexFunc(running, func(i *instance) bool { return i.name == reader })
		if index >= 0 && !slices.Contains(drawn, running[index]) {
			drawn[0] = running[index]
		}
	}
	return drawn
}

// drawCentre returns the fault's data centre, or a random one.
func (w *world) drawCentre(f day.Fault) string {
	if f.DataCentre != "" {
		return f.DataCentre
	}
	return w.day.DataCentres[w.faultRandom.IntN(len(w.day.DataCentres))].Name
}

// crashServer ends a backend server's process and restarts it after a time, cold and
// under the same identifier. A machine that isn't dark refuses packets meanwhile.
func (w *world) crashServer(v *server, duration time.Duration, dark bool) {
	w.disturb(duration, &v.node)
	v.endProcess(dark)
	w.clock.After(duration, func() { w.startServer(v, true) })
}

func (w *world) serversCrash(f day.Fault) {
	for _, v := range w.drawServers(f, 0.15) {
		if f.HasVariant("Lost") {
			w.endServerForGood(v, f.HasVariant("Dark"))
			continue
		}
		w.crashServer(v, f.For, f.HasVariant("Dark"))
	}
}

// endServerForGood ends a backend server's process; it never restarts.
func (w *world) endServerForGood(v *server, dark bool) {
	v.disturbances++ // never reset, as the server doesn't return
	v.endProcess(dark)
}

// serveAfterDrainBound is how much longer than the bound on draining a backend
// server serves.
const serveAfterDrainBound = 500 * time.Millisecond

// drainServer drains a backend server, ends it once no more flows may arrive, and
// then calls then.
func (w *world) drainServer(v *server, then func()) {
	if !v.listening || v.draining {
		return
	}
	v.draining = true
	v.writeEntry()
	w.endDrainedServer(v, then)
}

// endDrainedServer ends a draining server once the store has listed it as draining
// for long enough, and otherwise checks again after a heartbeat.
func (w *world) endDrainedServer(v *server, then func()) {
	wait := w.day.Bounds.Drain + serveAfterDrainBound
	if v.leaveKnownAt == 0 || w.clock.Now()-v.leaveKnownAt < wait {
		w.clock.After(w.day.Store.Heartbeat, func() { w.endDrainedServer(v, then) })
		return
	}
	v.endProcess(false)
	v.removeEntry()
	then()
}

func (w *world) serversReplaced(f day.Fault) {
	for n, old := range w.drawServers(f, 0.5) {
		w.clock.After(time.Duration(n)*f.Gap, func() {
			if !old.listening || old.draining {
				return
			}
			w.addServer(old.service, old.centre, w.newEndpoint(), true)
			w.clock.After(time.Second, func() { w.drainServer(old, func() {}) })
		})
	}
}

// addressReuseDelay is how long an address is unused before another server gets it.
const addressReuseDelay = 2 * time.Second

func (w *world) addressesReused(f day.Fault) {
	for _, v := range w.drawServers(f, 0.15) {
		other := w.day.Services[(slices.IndexFunc(w.day.Services, func(s day.Service) bool { return s.Name == v.service.Name })+1)%len(w.day.Services)]
		reuse := func() {
			w.clock.After(addressReuseDelay, func() { w.addServer(other, v.centre, v.endpoint, true) })
		}
		if f.HasVariant("Drain") {
			w.drainServer(v, reuse)
			continue
		}
		service, centre := v.service, v.centre
		w.endServerForGood(v, f.HasVariant("Dark"))
		reuse()
		// A new server replaces the one whose address went to another service.
		w.clock.After(2*addressReuseDelay, func() { w.addServer(service, centre, w.newEndpoint(), true) })
	}
}

func (w *world) serversLeave(f day.Fault) {
	for _, v := range w.drawServers(f, 0.15) {
		w.drainServer(v, func() {})
	}
}

func (w *world) serversAdded(f day.Fault) {
	for n, model := range w.drawServers(f, 0.3) {
		w.clock.After(time.Duration(n)*f.Gap, func() { w.addServer(model.service, model.centre, w.newEndpoint(), true) })
	}
}

func (w *world) serversGrey(f day.Fault) {
	for _, v := range w.drawServers(f, 0.15) {
		w.disturb(f.For, &v.node)
		v.failShare, v.failsSilently = orDefault(f.Factor, 0.4), f.HasVariant("Mute")
		v.sheds, v.hangs = f.HasVariant("Shed"), f.HasVariant("Hang")
		w.clock.After(f.For, func() { v.failShare, v.failsSilently, v.sheds, v.hangs = 0, false, false, false })
	}
}

func (w *world) serversSlow(f day.Fault) {
	for _, v := range w.drawServers(f, 0.15) {
		w.disturb(f.For, &v.node)
		v.slowFactor = orDefault(f.Factor, 4)
		w.clock.After(f.For, func() { v.slowFactor = 0 })
	}
}

func (w *world) serversFlap(f day.Fault) {
	for _, v := range w.drawServers(f, 0.15) {
		for at := time.Duration(0); at < f.For; at += 2 * f.Gap {
			w.clock.After(at, func() { w.crashServer(v, f.Gap, f.HasVariant("Dark")) })
		}
	}
}

func (w *world) dataCentreBackCold(f day.Fault) {
	centre := w.drawCentre(f)
	for _, v := range w.servers {
		if v.centre == centre && v.listening {
			w.crashServer(v, f.For, f.HasVariant("Dark"))
		}
	}
}

// killInstances kills instances and starts them again after a time.
func (w *world) killInstances(instances []*instance, duration time.Duration) {
	for _, i := range instances {
		w.disturb(duration, &i.node)
		i.kill()
		w.clock.After(duration+w.startSpread(), i.start)
	}
}

func (w *world) instancesKilled(f day.Fault) {
	drawn := w.drawInstances(f, 0.1)
	w.killInstances(drawn, f.For)
	deployed := 0
	for _, i := range w.instances {
		if i.deployed {
			deployed++
		}
	}
	if len(drawn) == deployed {
		w.allReturnedAt = append(w.allReturnedAt, w.clock.Now()+f.For)
	}
}

// restartPause is the time from the end of a process to its next start.
const restartPause = 300 * time.Millisecond

func (w *world) instancesRestarted(f day.Fault) {
	for n, i := range w.drawInstances(f, 1) {
		w.clock.After(time.Duration(n)*f.Gap, func() {
			w.disturb(w.day.Bounds.Grace, &i.node)
			i.stop(func() {
				if f.HasVariant("Remove") {
					i.retired, i.deployed = true, false
					w.updateRotations()
					return
				}
				w.clock.After(restartPause, i.start)
			})
		})
	}
}

func (w *world) instancesFrozen(f day.Fault) {
	for _, i := range w.drawInstances(f, 0.1) {
		w.disturb(f.For, &i.node)
		i.frozenUntil = w.clock.Now() + f.For
	}
}

func (w *world) instancesSlow(f day.Fault) {
	for _, i := range w.drawInstances(f, 0.1) {
		w.disturb(f.For, &i.node)
		i.slowFactor = orDefault(f.Factor, 5)
		w.clock.After(f.For, func() { i.slowFactor = 0 })
	}
}

func (w *world) instancesAdded(f day.Fault) {
	for _, i := range w.instances {
		if !i.deployed && !i.retired && w.faultRandom.Float64() < orDefault(f.Share, 1) {
			i.deployed = true
			i.start()
		}
	}
	w.updateRotations()
}

// instancesReload only marks the instances as disturbed for a moment: an instance
// that reads the same settings again continues unchanged.
func (w *world) instancesReload(f day.Fault) {
	for n, i := range w.drawInstances(f, 0.3) {
		w.clock.After(time.Duration(n)*f.Gap, func() { w.disturb(0, &i.node) })
	}
}

func (w *world) connectionsSilent(f day.Fault) {
	for _, i := range w.drawInstances(f, 1) {
		w.disturb(0, &i.node)
		if i.transport == nil {
			continue
		}
		i.transport.silent = true
		w.store.cutWatches(func(from string) bool { return from == i.name }, 0)
	}
}

// cutOff blocks packets between nodes for some time, and marks the given nodes as
// disturbed.
func (w *world) cutOff(duration time.Duration, blocks func(from, to *node) bool, disturbed ...*node) {
	heal := w.network.addCut(blocks)
	w.disturb(duration, disturbed...)
	w.clock.After(duration, heal)
}

// nodesOf returns the nodes of a data centre's instances and backend servers.
func (w *world) nodesOf(centre string) []*node {
	var nodes []*node
	for _, i := range w.instances {
		if i.centre == centre {
			nodes = append(nodes, &i.node)
		}
	}
	for _, v := range w.servers {
		if v.centre == centre {
			nodes = append(nodes, &v.node)
		}
	}
	return nodes
}

func (w *world) dataCentreCut(f day.Fault) {
	centre := w.drawCentre(f)
	inside := func(n *node) bool { return n.role != storeRole && n.centre == centre }
	w.cutOff(f.For, func(from, to *node) bool {
		return from.role != callerRole && to.role != callerRole && inside(from) != inside(to)
	}, w.nodesOf(centre)...)
}

func (w *world) dataCentreWithoutPath(f day.Fault) {
	first := w.faultRandom.IntN(len(w.day.DataCentres))
	a, b := w.day.DataCentres[first].Name, w.day.DataCentres[(first+1)%len(w.day.DataCentres)].Name
	w.cutOff(f.For, func(from, to *node) bool {
		inside := from.role != callerRole && to.role != callerRole && from.role != storeRole && to.role != storeRole
		return inside && (from.centre == a && to.centre == b || from.centre == b && to.centre == a)
	}, append(w.nodesOf(a), w.nodesOf(b)...)...)
}

func (w *world) dataCentreDark(f day.Fault) {
	centre := w.drawCentre(f)
	var affected []*instance
	for _, i := range w.instances {
		if i.deployed && i.centre == centre {
			affected = append(affected, i)
		}
	}
	w.killInstances(affected, f.For)
	for _, v := range w.servers {
		if v.centre == centre && v.listening {
			w.crashServer(v, f.For, true)
		}
	}
}

func (w *world) linksLossy(f day.Fault) {
	w.network.instanceLoss = orDefault(f.Factor, 0.1)
	for _, c := range w.day.DataCentres {
		w.disturb(f.For, w.nodesOf(c.Name)...)
	}
	w.clock.After(f.For, func() { w.network.instanceLoss = 0 })
}

func (w *world) instancesCut(f day.Fault) {
	drawn := w.drawInstances(f, 0.1)
	var disturbed []*node
	cutOff := make(map[*node]bool)
	for _, i := range drawn {
		cutOff[&i.node] = true
		disturbed = append(disturbed, &i.node)
	}
	w.cutOff(f.For, func(from, to *node) bool {
		if !cutOff[from] && (f.HasVariant("OneWay") || !cutOff[to]) {
			return false
		}
		other := to.role
		if !cutOff[from] {
			other = from.role
		}
		return other == instanceRole || other == storeRole || f.HasVariant("All") && other == serverRole
	}, disturbed...)
}

func (w *world) storeCut(f day.Fault) {
	cutOff := make(map[*node]bool)
	var disturbed []*node
	for _, i := range w.drawInstances(f, 0.1) {
		cutOff[&i.node] = true
		disturbed = append(disturbed, &i.node)
	}
	w.cutOff(f.For, func(from, to *node) bool {
		return from.role == storeRole && cutOff[to] || !f.HasVariant("OneWay") && to.role == storeRole && cutOff[from]
	}, disturbed...)
}

func (w *world) storeDown(f day.Fault) {
	s := w.store
	w.disturb(f.For, &s.node)
	s.down, s.busy, s.lapseWhileDown = true, f.HasVariant("Busy"), f.HasVariant("Lapse")
	status := 0
	if s.busy {
		status = http.StatusServiceUnavailable
	}
	s.cutWatches(func(string) bool { return true }, status)
	w.clock.After(f.For, func() {
		s.down, s.busy, s.lapseWhileDown = false, false, false
		for _, v := range w.servers {
			v.lastWriteAt = max(v.lastWriteAt, w.clock.Now()) // heartbeats are counted from the store's return
		}
	})
}

func (w *world) storeRefuses(f day.Fault) {
	s := w.store
	status := refusal(http.StatusServiceUnavailable)
	switch {
	case f.HasVariant("Many"):
		status = http.StatusTooManyRequests
	case f.HasVariant("Silent"):
		status = silentRefusal
	}
	for _, i := range w.drawInstances(f, 0.35) {
		w.disturb(f.For, &i.node)
		s.refused[i.name] = status
		s.cutWatches(func(from string) bool { return from == i.name }, int(status))
		w.clock.After(f.For, func() { delete(s.refused, i.name) })
	}
	if f.HasVariant("Revoke") {
		s.change(func(k Keys) { k.Revoke() })
	}
}

func (w *world) storeSlow(f day.Fault) {
	w.disturb(f.For, &w.store.node)
	w.store.slowFactor = orDefault(f.Factor, 50)
	w.clock.After(f.For, func() { w.store.slowFactor = 0 })
}

func (w *world) storeLosesAnswers(f day.Fault) {
	w.disturb(f.For, &w.store.node)
	w.store.lostShare, w.store.runsLostLate = orDefault(f.Factor, 0.3), f.HasVariant("Late")
	w.clock.After(f.For, func() { w.store.lostShare, w.store.runsLostLate = 0, false })
}

func (w *world) storeForgets(f day.Fault) {
	for at := time.Duration(0); at <= f.For; at += max(f.Gap, lapseCheckPeriod) {
		w.clock.After(at, func() {
			w.disturb(0, &w.store.node)
			w.store.change(func(k Keys) { k.Compact() })
			w.store.cutWatches(func(string) bool { return true }, 0)
		})
	}
}

func (w *world) configurationChanges(f day.Fault) {
	w.operator.changeConfiguration(f.HasVariant("Route"), 0)
}

func (w *world) configurationStorm(f day.Fault) {
	for at := time.Duration(0); at <= f.For; at += max(f.Gap, lapseCheckPeriod) {
		w.clock.After(at, func() { w.operator.changeConfiguration(w.faultRandom.IntN(2) == 0, 0) })
	}
}

// defaultGrowth is the Count of ConfigurationGrows if the fault has none.
const defaultGrowth = 300

func (w *world) configurationGrows(f day.Fault) {
	extraRoutes := f.Count
	if extraRoutes == 0 {
		extraRoutes = defaultGrowth
	}
	w.operator.changeConfiguration(false, extraRoutes)
}

func (w *world) dataCentreOut(f day.Fault) {
	w.operator.evacuate(w.drawCentre(f), f.For, f.HasVariant("Warm"))
}

func (w *world) callersBurst(f day.Fault) {
	for _, c := range w.callers {
		if f.DataCentre == "" || c.centre == f.DataCentre {
			c.rateFactor *= orDefault(f.Factor, 2)
			w.clock.After(f.For, func() { c.rateFactor /= orDefault(f.Factor, 2) })
		}
	}
}

func (w *world) callersMove(f day.Fault) {
	from := w.callers[w.centreIndex(w.drawCentre(f))]
	to := w.callers[(w.centreIndex(from.centre)+1)%len(w.callers)]
	share := orDefault(f.Share, 0.5)
	moved := from.load.Requests * share * from.rateFactor / max(to.load.Requests, 1)
	from.rateFactor -= share
	to.rateFactor += moved
	w.clock.After(f.For, func() {
		from.rateFactor += share
		to.rateFactor -= moved
	})
}

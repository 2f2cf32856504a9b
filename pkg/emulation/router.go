package emulation

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tanagerweir/tanagerweir/pkg/connection/segment"
)

const (
	// probePeriod is the time between two probes of an instance by its router.
	// maxFailedProbes is how many must fail in a row before the instance leaves
	// rotation.
	probePeriod     = 500 * time.Millisecond
	maxFailedProbes = 2
)

// routers is the model of the routers, which choose the instance for each packet.
type routers struct {
	// rotation holds the instances that get packets from each data centre's router.
	rotation map[string][]*instance
	// revision counts the changes of rotation.
	revision int
}

// startProbes probes an instance periodically from now on, after a random delay.
func (w *world) startProbes(i *instance) {
	router := &node{role: callerRole, name: "router", centre: i.centre}
	w.clock.After(time.Duration(w.random.Int64N(int64(probePeriod))), func() { w.probeRepeatedly(i, router) })
}

func (w *world) probeRepeatedly(i *instance, router *node) {
	wasReady := i.failedProbes < maxFailedProbes
	if i.deployed && i.ready() && w.network.reaches(router, &i.node) {
		i.failedProbes = 0
	} else {
		i.failedProbes++
	}
	if ready := i.failedProbes < maxFailedProbes; ready != wasReady {
		w.updateRotations()
	}
	w.clock.After(probePeriod, func() { w.probeRepeatedly(i, router) })
}

// updateRotations computes all rotations anew from the results of the probes.
func (w *world) updateRotations() {
	w.routers.revision++
	ready := make(map[string][]*instance)
	deployed := make(map[string][]*instance)
	for _, i := range w.instances {
		if !i.deployed {
			continue
		}
		deployed[i.centre] = append(deployed[i.centre], i)
		if i.failedProbes < maxFailedProbes {
			ready[i.centre] = append(ready[i.centre], i)
		}
	}
	w.routers.rotation = make(map[string][]*instance)
	for n, c := range w.day.DataCentres {
		w.routers.rotation[c.Name] = w.rotationOf(n, ready, deployed)
	}
}

// rotationOf returns the instances that a data centre's router uses: those of its
// own that are ready; all of its own if fewer than half are ready; if none is, those
// of the next data centre that has ready ones.
func (w *world) rotationOf(n int, ready, deployed map[string][]*instance) []*instance {
	own := w.day.DataCentres[n].Name
	switch {
	case len(ready[own])*2 >= len(deployed[own]) && len(ready[own]) > 0:
		return ready[own]
	case len(ready[own]) > 0:
		return deployed[own]
	}
	for step := 1; step < len(w.day.DataCentres); step++ {
		other := w.day.DataCentres[(n+step)%len(w.day.DataCentres)].Name
		if len(ready[other]) > 0 {
			return ready[other]
		}
	}
	return deployed[own]
}

// routePacket sends a caller's packet to the instance that its router chooses. The
// choice is kept until the rotation changes.
func (w *world) routePacket(f *flow, packet []byte) {
	if f.via == nil || f.rotationRevision != w.routers.revision {
		f.via, f.rotationRevision = w.chooseInstance(f), w.routers.revision
	}
	if f.via != nil {
		w.sendToInstance(f, f.via, packet)
	}
}

func (w *world) sendToInstance(f *flow, i *instance, packet []byte) {
	t := &transit{flow: f, bytes: packet, sentAt: w.clock.Now()}
	w.network.sendDatagram(&f.group.node, &i.node, len(packet), func() { i.receivePacket(t) })
}

// chooseInstance chooses an instance in rotation by a hash of the flow: with
// ModuloHash by the remainder, otherwise by rendezvous hashing. It returns nil if
// there is none.
func (w *world) chooseInstance(f *flow) *instance {
	instances := w.routers.rotation[f.group.centre]
	if len(instances) == 0 {
		return nil
	}
	caller, _ := f.key.Caller.MarshalBinary()
	route, _ := f.key.Route.MarshalBinary()
	key := string(caller) + string(route)
	if w.day.ModuloHash {
		return instances[xxhash.Sum64String(key)%uint64(len(instances))]
	}
	var best *instance
	highest := uint64(0)
	for _, i := range instances {
		if sum := xxhash.Sum64String(key + i.name); best == nil || sum > highest {
			best, highest = i, sum
		}
	}
	return best
}

// deliverForwarded delivers a datagram that an instance sent for a packet, to the
// caller or to a backend server. A backend server drops one that is meant for
// another server that had its address.
func (w *world) deliverForwarded(i *instance, t *transit, datagram []byte, to netip.AddrPort) {
	if to.Addr() == t.flow.key.Caller.Addr() {
		w.checker.checkSentReset(i, t, datagram, to)
		w.network.sendDatagram(&i.node, &t.flow.group.node, len(datagram), func() { t.flow.receiveReset(t) })
		return
	}
	number, packet := w.platform.Addressee(datagram)
	v, ok := w.byEndpoint[to]
	s, err := w.platform.Parse(packet)
	w.checker.checkForwarded(i, t, packet, err)
	if !ok || err != nil {
		return
	}
	if s.Flags.Has(segment.Open) {
		w.openingsSent[instanceAndServer{i.name, v.id}]++
	}
	w.network.sendDatagram(&i.node, &v.node, len(datagram), func() {
		current, found := w.byEndpoint[to]
		if !found {
			return
		}
		w.checker.checkArrival(current, t)
		if number == 0 || number == current.number {
			current.receive(s, t)
		}
	})
}

// instanceAndServer is the key of openingsSent.
type instanceAndServer struct{ instance, server string }

// drawSome draws elements without replacement: as many as count says, or as the
// share if count is 0, but at least one.
func drawSome[T any](r *rand.Rand, all []T, share float64, count int) []T {
	some := append([]T{}, all...)
	r.Shuffle(len(some), func(a, b int) { some[a], some[b] = some[b], some[a] })
	if count == 0 {
		count = int(share*float64(len(all)) + 0.5)
	}
	return some[:min(max(count, 1), len(all))]
}

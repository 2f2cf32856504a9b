package emulation

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tanagerweir/tanagerweir/pkg/connection/segment"
)

const (
	// probePeriod is the time between two probes of a router, and missesOut how many
	// have to fail in a row until an instance is out of rotation.
	probePeriod = 500 * time.Millisecond
	missesOut   = 2
)

// routers choose the instance that gets a packet.
type routers struct {
	// rotation are the instances that get packets, by data centre.
	rotation map[string][]*instance
	// number counts changes of the rotation.
	number int
}

// probe asks an instance again and again whether it is ready.
func (w *world) probe(i *instance) {
	router := &place{role: callerRole, name: "router", centre: i.centre}
	w.line.After(time.Duration(w.random.Int64N(int64(probePeriod))), func() { w.probeNow(i, router) })
}

func (w *world) probeNow(i *instance, router *place) {
	was := i.misses < missesOut
	if i.present && i.probe() && w.network.reaches(router, &i.place) {
		i.misses = 0
	} else {
		i.misses++
	}
	if is := i.misses < missesOut; is != was {
		w.rotate()
	}
	w.line.After(probePeriod, func() { w.probeNow(i, router) })
}

// rotate finds the instances that get packets anew.
func (w *world) rotate() {
	w.routers.number++
	ready := make(map[string][]*instance)
	all := make(map[string][]*instance)
	for _, i := range w.instances {
		if !i.present {
			continue
		}
		all[i.centre] = append(all[i.centre], i)
		if i.misses < missesOut {
			ready[i.centre] = append(ready[i.centre], i)
		}
	}
	w.routers.rotation = make(map[string][]*instance)
	for n, c := range w.day.DataCentres {
		w.routers.rotation[c.Name] = w.rotationOf(n, ready, all)
	}
}

// rotationOf returns whom a data centre's router uses: those in rotation, all where
// these are fewer than half, the nearest data centre's where there is none.
func (w *world) rotationOf(n int, ready, all map[string][]*instance) []*instance {
	own := w.day.DataCentres[n].Name
	switch {
	case len(ready[own])*2 >= len(all[own]) && len(ready[own]) > 0:
		return ready[own]
	case len(ready[own]) > 0:
		return all[own]
	}
	for step := 1; step < len(w.day.DataCentres); step++ {
		other := w.day.DataCentres[(n+step)%len(w.day.DataCentres)].Name
		if len(ready[other]) > 0 {
			return ready[other]
		}
	}
	return all[own]
}

// route sends a caller's packet to the instance that its router chooses.
func (w *world) route(f *flow, packet []byte) {
	if f.via == nil || f.rotation != w.routers.number {
		f.via, f.rotation = w.choose(f), w.routers.number
	}
	if f.via != nil {
		w.carry(f, f.via, packet)
	}
}

func (w *world) carry(f *flow, i *instance, packet []byte) {
	t := &transit{flow: f, bytes: packet, sent: w.line.Now()}
	w.network.datagram(&f.home.place, &i.place, len(packet), func() { i.receive(t) })
}

// choose hashes a flow over the instances in rotation.
func (w *world) choose(f *flow) *instance {
	in := w.routers.rotation[f.home.centre]
	if len(in) == 0 {
		return nil
	}
	caller, _ := f.key.Caller.MarshalBinary()
	route, _ := f.key.Route.MarshalBinary()
	key := string(caller) + string(route)
	if w.day.ModuloHash {
		return in[xxhash.Sum64String(key)%uint64(len(in))]
	}
	var best *instance
	highest := uint64(0)
	for _, i := range in {
		if sum := xxhash.Sum64String(key + i.name); best == nil || sum > highest {
			best, highest = i, sum
		}
	}
	return best
}

// forwarded carries what an instance sent on to its end.
func (w *world) forwarded(i *instance, t *transit, datagram []byte, to netip.AddrPort) {
	if to.Addr() == t.flow.key.Caller.Addr() {
		w.judge.resetSent(i, t, datagram, to)
		w.network.datagram(&i.place, &t.flow.home.place, len(datagram), func() { t.flow.reset(t) })
		return
	}
	number, packet := w.platform.Addressee(datagram)
	v, ok := w.byEndpoint[to]
	s, err := w.platform.Parse(packet)
	w.judge.forwarded(i, t, packet, err)
	if !ok || err != nil {
		return
	}
	if s.Flags.Has(segment.Open) {
		w.sent[sentKey{i.name, v.id}]++
	}
	w.network.datagram(&i.place, &v.place, len(datagram), func() {
		owner, there := w.byEndpoint[to]
		if !there {
			return
		}
		w.judge.arrived(owner, t)
		if number == 0 || number == owner.number {
			owner.receive(s, t)
		}
	})
}

// sentKey names how many opening packets an instance sent to a backend server.
type sentKey struct{ instance, server string }

// shuffled returns some of the things, as many as the share or the count says, but
// one at least.
func shuffled[T any](r *rand.Rand, all []T, share float64, count int) []T {
	some := append([]T{}, all...)
	r.Shuffle(len(some), func(a, b int) { some[a], some[b] = some[b], some[a] })
	if count == 0 {
		count = int(share*float64(len(all)) + 0.5)
	}
	return some[:min(max(count, 1), len(all))]
}

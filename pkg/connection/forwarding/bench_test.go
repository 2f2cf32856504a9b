package forwarding_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/clock"
	"github.com/tanagerweir/tanagerweir/pkg/connection/admission"
	"github.com/tanagerweir/tanagerweir/pkg/connection/forwarding"
	"github.com/tanagerweir/tanagerweir/pkg/connection/mark"
	"github.com/tanagerweir/tanagerweir/pkg/connection/segment"
	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
)

// fleetSizes are numbers of backend servers, and of services over which they are
// distributed: today's deployments, the grown ones and the size to design for.
var fleetSizes = []struct{ servers, services int }{{18, 2}, {150, 2}, {3800, 1200}}

// sized returns a deployment of that size with one route for each service.
func sized(servers, services int) directory.Directory {
	c := directory.Configuration{Version: 1}
	for n := range services {
		name := fmt.Sprintf("service-%d", n)
		c.Routes = append(c.Routes, directory.Route{
			Endpoint: routeOf(n), Kind: directory.Repeatable, Shares: []directory.Share{{Service: name, Weight: 1}},
		})
		c.Services = append(c.Services, directory.Service{Name: name, ColdFor: 2 * time.Second})
	}
	d := directory.New().WithConfiguration(c)
	for n := range servers {
		d = d.WithServer(directory.Server{
			ID: fmt.Sprintf("i-%08x", n), Number: uint64(n + 1), Service: fmt.Sprintf("service-%d", n%services),
			DataCentre: []string{near, far}[n%2], Slots: 3, Revision: 1,
			Endpoint: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 8080),
		})
	}
	return d
}

func routeOf(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(n >> 8), byte(n)}), 443)
}

func bySize(b *testing.B, run func(b *testing.B, c *forwarding.Core)) {
	b.Helper()
	for _, size := range fleetSizes {
		for _, health := range []bool{false, true} {
			c := newCoreWith(forwarding.HealthOptions{Enabled: health}, sized(size.servers, size.services))
			b.Run(fmt.Sprintf("Servers=%d/Health=%t", size.servers, health), func(b *testing.B) { run(b, c) })
		}
	}
}

// A flow of a service whose servers may all have been started anew, with 490 instances.
func BenchmarkOpeningWithDoubtfulServers(b *testing.B) {
	d := sized(3800, 40)
	for n := range 490 {
		d = d.WithInstance(directory.Instance{Name: fmt.Sprintf("entry-%d", n), DataCentre: near})
	}
	c := newCore(d)
	for n := range 400 {
		now := time.Duration(n) * 5 * time.Millisecond
		c.Decide(now, newCaller(routeOf(0)).open(0))
		if n%20 == 0 {
			c.Tick(now, maxFlow)
		}
	}
	s := newCaller(routeOf(0)).open(0)
	b.ReportAllocs()
	for b.Loop() {
		c.Decide(2*time.Second, s)
	}
}

func BenchmarkKnownMark(b *testing.B) {
	bySize(b, func(b *testing.B, c *forwarding.Core) {
		p := newCaller(routeOf(0))
		p.mark = uint32(c.Decide(0, p.open(0)).Mark)
		s := p.acknowledge()
		b.ReportAllocs()
		for b.Loop() {
			c.Decide(time.Second, s)
		}
	})
}

func BenchmarkUnknownMark(b *testing.B) {
	bySize(b, func(b *testing.B, c *forwarding.Core) {
		p := newCaller(routeOf(0))
		p.mark = 1
		s := p.acknowledge()
		b.ReportAllocs()
		for b.Loop() {
			c.Decide(time.Second, s)
		}
	})
}

// BenchmarkPlacement opens and finishes flows, so that records are reused.
func BenchmarkPlacement(b *testing.B) {
	bySize(b, func(b *testing.B, c *forwarding.Core) {
		p := newCaller(routeOf(0))
		open, finish := p.open(0), p.finish()
		b.ReportAllocs()
		for b.Loop() {
			finish.Mark = uint32(c.Decide(time.Second, open).Mark)
			request := segment.Segment{Flow: p.flow, Flags: segment.Acknowledge, Sequence: p.sequence, Mark: finish.Mark, Length: 200}
			c.Decide(time.Second, request)
			c.Decide(time.Second, finish)
		}
	})
}

// BenchmarkPlacementInOneService places flows of a service that has all servers, so that
// the search is as long as it can be: without a ring, and with one where other instances keep
// the servers idle or busy.
func BenchmarkPlacementInOneService(b *testing.B) {
	for _, size := range []struct {
		servers, instances int
		running            float64
	}{{18, 0, 0}, {150, 0, 0}, {3800, 0, 0}, {3800, 490, 0}, {3800, 490, 4}} {
		d := sized(size.servers, 1)
		for n := range size.instances {
			d = d.WithInstance(directory.Instance{Name: fmt.Sprintf("entry-%d", n), DataCentre: []string{near, far}[n%2]})
		}
		c := newCore(d)
		var loads []forwarding.Load
		for _, s := range d.Servers() {
			loads = append(loads, forwarding.Load{Mark: mark.Of(s.ID), Running: size.running})
		}
		c.ReceiveLoads(0, "other", loads, 1)
		p := newCaller(routeOf(0))
		open, finish := p.open(0), p.finish()
		b.Run(fmt.Sprintf("Servers=%d/Instances=%d/Running=%g", size.servers, size.instances, size.running), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				finish.Mark = uint32(c.Decide(time.Second, open).Mark)
				c.Decide(time.Second, finish)
			}
		})
	}
}

func BenchmarkAdopt(b *testing.B) {
	for _, size := range fleetSizes {
		d := sized(size.servers, size.services)
		c := newCore(d)
		b.Run(fmt.Sprintf("Servers=%d", size.servers), func(b *testing.B) {
			for b.Loop() {
				c.Adopt(time.Second, d.WithServer(d.Servers()[0]))
			}
		})
	}
}

func BenchmarkTick(b *testing.B) {
	bySize(b, func(b *testing.B, c *forwarding.Core) {
		for b.Loop() {
			c.Tick(time.Second, maxFlow)
			c.Loads(time.Second)
		}
	})
}

// The packet path must not allocate memory.
func TestDecisionsAllocateNothing(t *testing.T) {
	for _, health := range []bool{false, true} {
		testAllocations(t, newCoreWith(forwarding.HealthOptions{Enabled: health}, sized(150, 2)))
	}
}

func testAllocations(t *testing.T, c *forwarding.Core) {
	t.Helper()
	p := newCaller(routeOf(0))
	open := p.open(0)
	p.mark = uint32(c.Decide(time.Second, open).Mark)
	acknowledge, finish := p.acknowledge(), p.finish()
	for name, decide := range map[string]func(){
		"known mark":   func() { c.Decide(time.Second, acknowledge) },
		"unknown mark": func() { unknown := acknowledge; unknown.Mark = 1; c.Decide(time.Second, unknown) },
		"placement": func() {
			c.Decide(time.Second, open)
			c.Decide(time.Second, finish)
		},
	} {
		if got := testing.AllocsPerRun(100, decide); got != 0 {
			t.Errorf("%s: %v allocations", name, got)
		}
	}
}

// BenchmarkOpening is the whole decision of an opening packet while the service is short, with
// admission, health, two priorities and 240 routes without traffic.
func BenchmarkOpening(b *testing.B) {
	for _, size := range []struct{ instances, servers int }{{9, 18}, {78, 150}, {490, 3800}} {
		d := sized(size.servers, 1200)
		if size.servers < 3800 {
			d = sized(size.servers, 2)
		}
		for n := range size.instances {
			d = d.WithInstance(directory.Instance{Name: fmt.Sprintf("entry-%d", n), DataCentre: []string{near, far}[n%2]})
		}
		routes := []directory.Route{routeWith(0, 1), routeWith(5000, 0)}
		for n := range 240 {
			routes = append(routes, routeWith(5001+n, 1))
		}
		d = d.WithConfiguration(directory.Configuration{Version: 2, Routes: routes, Services: []directory.Service{{Name: "service-0", ColdFor: 2 * time.Second}}})
		c := forwarding.New(forwarding.Options{
			Name: "entry-0", DataCentre: near, Seed: 1, ColdFactor: 1.5, ColdSlack: 5,
			Health: forwarding.HealthOptions{Enabled: true}, Admission: &admission.Options{},
		})
		c.Confirm(0, clock.At(1))
		c.Adopt(0, d)
		now := time.Duration(0)
		for n := range 4000 {
			now += time.Millisecond
			c.Decide(now, newCaller(routeOf(0)).open(0))
			if n%100 == 0 {
				c.Tick(now, maxFlow)
			}
		}
		p := newCaller(routeOf(5000))
		open, finish := p.open(0), p.finish()
		b.Run(fmt.Sprintf("Instances=%d/Short=%t", size.instances, c.Short("service-0")), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				finish.Mark = uint32(c.Decide(now, open).Mark)
				c.Decide(now, finish)
			}
		})
	}
}

func routeWith(n, priority int) directory.Route {
	return directory.Route{
		Name: fmt.Sprintf("route-%d", n), Endpoint: routeOf(n), Shares: []directory.Share{{Service: "service-0", Weight: 1}},
		Target: 600 * time.Millisecond, Priority: priority,
	}
}

package flow_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/tanagerweir/tanagerweir/pkg/bench/flows"
	"github.com/tanagerweir/tanagerweir/pkg/connection/flow"
	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
	"github.com/tanagerweir/tanagerweir/pkg/version/health"
)

var epoch = time.Unix(1_800_000_000, 0)

// services makes a catalogue of count services with that many servers each.
func services(count, servers int) catalogue.Catalogue {
	p := catalogue.Parts{Version: 1}
	for n := range 3 {
		p.DataCentres = append(p.DataCentres, catalogue.DataCentre{Name: flows.DataCentre(n), State: catalogue.DataCentreIn})
	}
	for i := range count {
		name := fmt.Sprintf("service-%d", i)
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, byte(i >> 8), byte(i)}), 443)
		p.Services = append(p.Services, catalogue.Service{Name: name, Address: address, Protocol: catalogue.TCP})
		for n := range servers {
			p.Backends = append(p.Backends, flows.Backend(name, n))
		}
	}
	return catalogue.FromParts(p)
}

// synchronisedCore returns a synchronised core whose peers don't answer, and the
// time.
func synchronisedCore(c catalogue.Catalogue, members int) (*flow.Core, time.Time) {
	core := flow.New("node-0", flow.Options{Flows: 1 << 16})
	core.Adopt(epoch, c)
	now := epoch
	for range 20 {
		now = now.Add(time.Second)
		core.Tick(now)
	}
	list := make([]flow.Member, 0, members)
	for n := range members {
		name := fmt.Sprintf("node-%d", n)
		list = append(list, flow.Member{Name: name})
		core.Receive(now, name, flow.Message{Progress: flow.Progress{Received: c.Order()}})
	}
	core.SetMembers(now, list)
	for range 70 {
		now = now.Add(time.Second)
		core.Tick(now)
	}
	return core, now
}

func key(n uint32, to netip.AddrPort) flow.Key {
	source := netip.AddrFrom4([4]byte{198, 18, byte(n >> 16), byte(n >> 8)})
	return flow.Key{Protocol: catalogue.TCP, Source: netip.AddrPortFrom(source, 10_000+uint16(n)&0xff), Destination: to}
}

// decisionCases are the lookups that a measured decision needs.
var decisionCases = []struct {
	name    string
	dispute bool
	fresh   bool
}{{"Hit", false, false}, {"UndisputedMiss", false, true}, {"DisputedMiss", true, true}}

// prepared returns a core as synchronisedCore does, on request with disputed
// buckets, and the address of its first service.
func prepared(count, servers, members int, dispute bool) (*flow.Core, time.Time, netip.AddrPort) {
	c := services(count, servers)
	core, now := synchronisedCore(c, members)
	if dispute {
		for n := range servers {
			core.SetConditions(now, []flow.Condition{{Backend: flows.Backend("service-0", n).Name, State: health.Cold, Share: 0.5}})
		}
		now = now.Add(5 * time.Second)
	}
	return core, now, c.Services()[0].Address
}

func TestDecisionsAllocateNothing(t *testing.T) {
	for _, d := range decisionCases {
		core, now, to := prepared(1, 15, 9, d.dispute)
		core.Decide(now, flow.Packet{Key: key(0, to)})
		n := uint32(0)
		got := testing.AllocsPerRun(2_000, func() {
			if d.fresh {
				n++
			}
			core.Decide(now, flow.Packet{Key: key(n, to), Starts: n%2 == 0 && d.fresh})
		})
		if got != 0 {
			t.Errorf("%s: %v allocations a packet", d.name, got)
		}
	}
}

func TestMemoryOfFlowsIsBounded(t *testing.T) {
	core := flow.New("node-0", flow.Options{Flows: 1_024})
	c := services(1, 4)
	core.Adopt(epoch, c)
	for n := range 20 {
		core.Tick(epoch.Add(time.Duration(n) * time.Second))
	}
	for n := range uint32(50_000) {
		core.Decide(epoch.Add(time.Minute), flow.Packet{Key: key(n, c.Services()[0].Address), Starts: true})
	}
	if got := core.CachedFlows(); got > 1_024 {
		t.Errorf("the cache holds %d flows, the limit is 1024", got)
	}
}

func TestSameInputsGiveSameDecisions(t *testing.T) {
	record := func() []string {
		f := newFleet(21)
		f.Change(leaving("board", 1))
		f.Run(10, busy)
		var homes []string
		for _, w := range f.Flows {
			homes = append(homes, w.Backend)
		}
		return append(homes, fmt.Sprintf("%+v", f.Tally()))
	}
	if diff := cmp.Diff(record(), record()); diff != "" {
		t.Errorf("two runs with one seed differ (-first +second):\n%s", diff)
	}
}

// An unsynchronised instance that requests the history again in reply to one of
// another version would exchange messages with the peer without end.
func TestHistoryOfAnotherVersionIsNotRequestedAgain(t *testing.T) {
	unsynchronised := flow.New("a", flow.Options{Flows: 64})
	m := flow.Message{History: &flow.History{Version: 9}}
	if got := unsynchronised.Receive(epoch, "b", m); len(got) != 0 {
		t.Errorf("a history of another version was answered with %d messages", len(got))
	}
}

// The dead flow sends one segment again and again, the idle one only probes.
func TestDeadFlowMovesToAnotherServerAndIdleFlowDoesNot(t *testing.T) {
	core, now, to := prepared(1, 4, 1, false)
	dead, idle := key(1, to), key(2, to)
	core.Decide(now, flow.Packet{Key: dead, Starts: true})
	core.Decide(now, flow.Packet{Key: idle, Starts: true})
	var resent, probe flow.Decision
	for second := range 60 {
		sent := now.Add(time.Duration(second) * time.Second)
		if second%5 == 0 && resent.Reason != flow.Silent {
			resent = core.Decide(sent, flow.Packet{Key: dead, Sequence: 9, Length: 100})
			probe = core.Decide(sent, flow.Packet{Key: idle, Sequence: 8, Length: 1})
		}
	}
	if resent.Reason != flow.Silent || probe.Reason != flow.ByCache {
		t.Errorf("got reason %s for the dead flow and %s for the idle one, want Silent and Cache", resent.Reason, probe.Reason)
	}
}

func BenchmarkDecide(b *testing.B) {
	sizes := []struct{ services, servers, members int }{{1, 15, 9}, {1_200, 3, 9}, {1, 3_800, 9}, {1, 15, 490}, {1_200, 3, 490}}
	for _, d := range decisionCases {
		for _, s := range sizes {
			if d.dispute && s.servers > 15 {
				continue
			}
			b.Run(fmt.Sprintf("%s/Services%d/Servers%d/Nodes%d", d.name, s.services, s.servers, s.members), func(b *testing.B) {
				core, now, to := prepared(s.services, s.servers, s.members, d.dispute)
				keys := make([]flow.Key, 1<<15)
				for n := range keys {
					keys[n] = key(uint32(n), to)
					if !d.fresh {
						core.Decide(now, flow.Packet{Key: keys[n]})
					}
				}
				b.ReportAllocs()
				n := 0
				for b.Loop() {
					core.Decide(now, flow.Packet{Key: keys[n&(1<<15-1)], Starts: d.fresh})
					n++
				}
			})
		}
	}
}

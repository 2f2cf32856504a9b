package capacity

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tanagerweir/tanagerweir/pkg/connection/flow"
	"github.com/tanagerweir/tanagerweir/pkg/process/roster"
	"github.com/tanagerweir/tanagerweir/pkg/request/dispatch"
	"github.com/tanagerweir/tanagerweir/pkg/request/verdict"
	"github.com/tanagerweir/tanagerweir/pkg/trial/cores"
	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
	"github.com/tanagerweir/tanagerweir/pkg/version/gossip"
	"github.com/tanagerweir/tanagerweir/pkg/version/table"
	"github.com/tanagerweir/tanagerweir/pkg/version/watcher"
	"github.com/tanagerweir/tanagerweir/service/api"
)

const (
	rounds    = 5 // of a timing, of which the shortest counts
	decisions = 200_000
	simulated = 10 * time.Minute // of the platform's calls
	ownName   = "entry-1"
	// requestPeriod is the time between two requests: 20 a second, about half of the
	// 43 that an instance gets at the design size (21,000 / 490).
	requestPeriod = 50 * time.Millisecond
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func sized(name string, size int, of string) string { return fmt.Sprintf("%sAt%d%s", name, size, of) }

func measures(seed uint64) []measure {
	targets := []int{19, 380, 1_900, 3_800}
	instances := []int{9, 90, 270, 490}
	flows := []int{50_000, 200_000, 400_000}
	return []measure{
		{"TableComputing", "ms", "Targets", targets, tableTime, designTargets, 0},
		{"TableMemory", "B", "Targets", targets, tableMemory, designTargets, boundMemory},
		{"CatalogueStored", "B", "Targets", targets, storedBytes, designTargets, 1 << 20},
		{"ChangeSent", "B", "Targets", targets, changeBytes, designTargets, 0},
		{"ChangesControl", "B/s", "Targets", targets, changesControl, designTargets, boundBytes},
		{"PacketCoreMemory", "B", "Flows", flows, func(n int) float64 { return flowMemory(seed, n) }, 489_000, boundMemory},
		{"Decision", "ns", "Flows", flows, func(n int) float64 { return decisionTime(seed, n) }, 489_000, 0},
		{"DecisionByTargets", "ns", "Targets", targets, func(n int) float64 { return decisionByTargets(seed, n) }, designTargets, 0},
		{"FlowTick", "us", "Instances", instances, flowTickTime, designInstances, 0},
		{"FlowTickControl", "B/s", "Instances", instances, flowTickBytes, designInstances, boundBytes},
		{"FlowTickControlBlank", "B/s", "Instances", instances, blankTickBytes, designInstances, 0},
		{"RecordsSent", "B", "Records", []int{64, 256, 1_024}, func(n int) float64 { return recordBytes(seed, n) }, 1_024, 0},
		{"MembersExchange", "B", "Instances", instances, exchangeBytes, designInstances, 0},
		{"MembersTick", "us", "Instances", instances, memberTickTime, designInstances, 0},
		{"RequestDispatch", "us", "Targets", targets, dispatchTime, designTargets, 0},
		{"PlatformCalls", "calls/s", "Instances", instances, func(n int) float64 { return platformCalls(seed, n) }, designInstances, 2_000},
	}
}

// deployment returns a catalogue of that many backend servers, with as many
// services as the design has for them.
func deployment(targets int) catalogue.Catalogue {
	var c catalogue.Catalogue
	for d := range designCentres {
		c = c.WithDataCentre(catalogue.DataCentre{Name: centreName(d), State: catalogue.DataCentreIn})
	}
	services := max(targets*designAddresses/designTargets, 2)
	for s := range services {
		name := fmt.Sprintf("service-%d", s)
		c = c.WithService(catalogue.Service{Name: name, Protocol: catalogue.TCP, Address: front(s)})
		c = c.WithClass(catalogue.Class{Name: "class-" + name, Service: name, Target: catalogue.Target{
			Share: 0.99, Within: time.Second, Window: time.Hour, FlowShare: 0.999,
		}})
	}
	for b := range targets {
		c = c.WithBackend(catalogue.Backend{
			Name: fmt.Sprintf("backend-%d", b), Service: fmt.Sprintf("service-%d", b%services),
			DataCentre: centreName(b % designCentres), Slots: 3, State: catalogue.BackendActive,
			Packets: host(b, 20_000), Requests: host(b, 30_000),
		})
	}
	return c.WithOperation(catalogue.Operation{Identifier: "first", Author: "author", At: epoch})
}

func centreName(n int) string { return fmt.Sprintf("centre-%d", n%designCentres) }

func front(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, byte(n >> 8), byte(n)}), 443)
}

func host(n int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), port)
}

// shortest returns the shortest of several runs.
func shortest(run func()) time.Duration {
	least := time.Duration(1<<63 - 1)
	for range rounds {
		began := time.Now()
		run()
		least = min(least, time.Since(began))
	}
	return least
}

// held returns the bytes of heap that what make returns takes.
func held(make func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := make()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return max(float64(after.HeapAlloc)-float64(before.HeapAlloc), 0)
}

func tableTime(targets int) float64 {
	c := deployment(targets)
	return float64(shortest(func() { table.New(c) })) / float64(time.Millisecond)
}

func tableMemory(targets int) float64 {
	c := deployment(targets)
	return held(func() any { return table.New(c) })
}

func storedBytes(targets int) float64 {
	data, err := api.EncodeCatalogue(deployment(targets))
	if err != nil {
		panic(err)
	}
	return float64(len(data))
}

// changeBytes is the size of one change as peers send it.
func changeBytes(targets int) float64 {
	before := deployment(targets)
	b := before.Backends()[targets/2]
	b.State = catalogue.BackendLeaving
	o := catalogue.Operation{Identifier: "an-operator-1764793500000000000", Author: "an-operator", Reason: "replace the machine", At: epoch}
	after, err := before.Apply(o, []catalogue.Change{catalogue.PutBackend{Backend: b}})
	if err != nil {
		panic(err)
	}
	difference, ok := after.Since(before.Version(), before.Digest())
	if !ok {
		panic("a change has no difference")
	}
	data, err := api.EncodeUpdate(gossip.Update{Difference: &difference})
	if err != nil {
		panic(err)
	}
	return float64(len(data))
}

// copiesMost is how often an instance sends one change on: to each of its
// neighbours in every round of the spread while there is news.
const copiesMost = 20

// changesControl is what the changes of a day cost an instance a second.
func changesControl(targets int) float64 {
	return changeBytes(targets) * copiesMost * designChanges / secondsADay
}

func drawnKey(random *rand.Rand, services int) flow.Key {
	source := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 51, byte(random.Uint32()), byte(random.Uint32())}), uint16(random.Uint32()))
	return flow.Key{Protocol: catalogue.TCP, Source: source, Destination: front(random.IntN(services))}
}

func packetCore(targets int) *flow.Core {
	core := flow.New(ownName, flow.Options{})
	core.Members(epoch, []flow.Member{{Name: ownName}})
	core.Adopt(epoch, deployment(targets))
	core.Tick(epoch.Add(flow.TickPeriod))
	return core
}

// fill lets the core see that many flows and returns their keys.
func fill(core *flow.Core, seed uint64, flows, services int) []flow.Key {
	random := rand.New(rand.NewPCG(seed, uint64(flows)))
	keys := make([]flow.Key, flows)
	for i := range keys {
		keys[i] = drawnKey(random, services)
		core.Decide(epoch.Add(2*flow.TickPeriod), flow.Packet{Key: keys[i], Starts: true})
	}
	return keys
}

func flowMemory(seed uint64, flows int) float64 {
	return held(func() any {
		core := packetCore(19)
		fill(core, seed, flows, 2)
		return core
	})
}

func decisionTime(seed uint64, flows int) float64 {
	core := packetCore(19)
	return decide(core, fill(core, seed, flows, 2))
}

func decisionByTargets(seed uint64, targets int) float64 {
	core := packetCore(targets)
	services := max(targets*designAddresses/designTargets, 2)
	return decide(core, fill(core, seed, decisions, services))
}

func decide(core *flow.Core, keys []flow.Key) float64 {
	at := epoch.Add(3 * flow.TickPeriod)
	n := min(decisions, len(keys))
	took := shortest(func() {
		for i := range n {
			core.Decide(at, flow.Packet{Key: keys[i*7919%len(keys)]})
		}
	})
	return float64(took) / float64(n)
}

func memberName(n int) string { return fmt.Sprintf("%s-entry-%d", centreName(n), n+1) }

// told returns a packet core that knows that many instances.
func told(instances int) *flow.Core {
	core := flow.New(memberName(0), flow.Options{})
	core.Members(epoch, flowMembers(instances))
	core.Adopt(epoch, deployment(380))
	return core
}

func flowMembers(instances int) []flow.Member {
	var members []flow.Member
	for n := range instances {
		members = append(members, flow.Member{Name: memberName(n)})
	}
	return members
}

func flowTickTime(instances int) float64 {
	core := told(instances)
	at := epoch
	took := shortest(func() {
		at = at.Add(flow.TickPeriod)
		core.Tick(at)
	})
	return float64(took) / float64(time.Microsecond)
}

// blankTickBytes is what the ticks of an instance send that has just started
// and hears from nobody.
func blankTickBytes(instances int) float64 {
	const ticks = 3
	return tickBytes(told(instances), epoch, ticks)
}

// flowTickBytes is what one instance's ticks send when nothing happens: it
// knows what is disputed, and its view of the members is long settled.
func flowTickBytes(instances int) float64 {
	const (
		alone   = 30
		settles = 120
		ticks   = 60
	)
	core := flow.New(memberName(0), flow.Options{})
	core.Members(epoch, []flow.Member{{Name: memberName(0)}})
	core.Adopt(epoch, deployment(380))
	tickBytes(core, epoch, alone)
	at := epoch.Add(alone * flow.TickPeriod)
	core.Members(at, flowMembers(instances))
	tickBytes(core, at, settles)
	return tickBytes(core, at.Add(settles*flow.TickPeriod), ticks)
}

// tickBytes returns the bytes that a core sends in a tick, over some ticks.
func tickBytes(core *flow.Core, from time.Time, ticks int) float64 {
	sent := 0
	for n := range ticks {
		for _, e := range core.Tick(from.Add(time.Duration(n+1) * flow.TickPeriod)) {
			sent += proto.Size(api.FlowMessageToWire(memberName(0), e.Message))
		}
	}
	return float64(sent) / float64(ticks)
}

func memberOf(n int) roster.Member {
	return roster.Member{
		Name: memberName(n), DataCentre: centreName(n), Incarnation: uint64(epoch.UnixNano()) + uint64(n), Heartbeat: 86_400,
		Version: 500, Peer: host(n, 7_000), Passed: host(n, 7_001), Admin: host(n, 7_002),
	}
}

// unit returns the cores of an instance that knows that many instances.
func unit(instances int) *cores.Unit {
	u := cores.New(memberOf(0), 1)
	var members []roster.Member
	for n := range instances {
		members = append(members, memberOf(n))
	}
	u.Acquaint(epoch, members)
	return u
}

// exchangeBytes is the size of one side of an exchange of members.
func exchangeBytes(instances int) float64 {
	return float64(unit(instances).HelloSize())
}

// recordBytes is the size of a message with that many records of flows.
func recordBytes(seed uint64, records int) float64 {
	random := rand.New(rand.NewPCG(seed, uint64(records)))
	var m flow.Message
	for range records {
		m.Records = append(m.Records, flow.Record{Print: random.Uint64() &^ 0xffff, Server: uint64(random.IntN(15))})
	}
	return float64(proto.Size(api.FlowMessageToWire(memberName(0), m)))
}

func memberTickTime(instances int) float64 {
	u := unit(instances)
	took := shortest(func() { u.Tick(epoch.Add(time.Second)) })
	return float64(took) / float64(time.Microsecond)
}

// dispatchTime is the time to admit a request and to settle it.
func dispatchTime(targets int) float64 {
	u := unit(9)
	c := deployment(targets)
	u.Offer(epoch, c, "platform")
	const requests = 2_000
	class := c.Classes()[0].Name
	at := epoch.Add(time.Second)
	took := shortest(func() {
		for range requests {
			at = at.Add(requestPeriod)
			a, refusal := u.Begin(at, dispatch.Request{Class: class, Deadline: at.Add(time.Minute)})
			if refusal == nil && !a.Waiting {
				u.Settle(at, a, dispatch.Outcome{Verdict: verdict.Ran})
			}
		}
	})
	return float64(took) / requests / float64(time.Microsecond)
}

// platformCalls is how often a fleet looks at the platform while nothing
// happens, waiting watches counted once each and left out.
func platformCalls(seed uint64, instances int) float64 {
	var fleet []watcher.Instance
	for n := range instances {
		fleet = append(fleet, watcher.Instance{Name: memberName(n), DataCentre: centreName(n)})
	}
	calls := 0
	for n, i := range fleet {
		core := watcher.New(i, seed+uint64(n))
		core.SetFleet(epoch, fleet)
		for at := epoch; at.Sub(epoch) < simulated; at = core.Next() {
			d := core.Due(at, false)
			if d.Peek {
				calls++
			}
			if d.List {
				calls++
			}
		}
	}
	return float64(calls) / simulated.Seconds()
}

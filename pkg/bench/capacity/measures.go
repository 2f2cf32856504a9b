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
	timingRuns     = 5                // runs of each timing, the shortest of which counts
	timedDecisions = 200_000          // decisions in each run
	simulatedTime  = 10 * time.Minute // in which calls on the platform are counted
	instanceName   = "entry-1"        // of the only instance of a packetCore
	// requestPeriod is the time between two requests. It gives 20 per second, about
	// half of the 43 that an instance gets at the design size (21,000 / 490).
	requestPeriod = 50 * time.Millisecond
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// measureName returns the name of a measure's row for one size.
func measureName(name string, size int, sizeUnit string) string {
	return fmt.Sprintf("%sAt%d%s", name, size, sizeUnit)
}

// measures returns all measures. The unit Targets in row names counts backend
// servers.
func measures(seed uint64) []measure {
	backends := []int{19, 380, 1_900, 3_800}
	instances := []int{9, 90, 270, 490}
	flows := []int{50_000, 200_000, 400_000}
	return []measure{
		{"TableComputing", "ms", "Targets", backends, tableTime, designBackends, 0},
		{"TableMemory", "B", "Targets", backends, tableMemory, designBackends, memoryBound},
		{"CatalogueStored", "B", "Targets", backends, storedBytes, designBackends, 1 << 20},
		{"ChangeSent", "B", "Targets", backends, changeBytes, designBackends, 0},
		{"ChangesControl", "B/s", "Targets", backends, changeControlRate, designBackends, controlBound},
		{"PacketCoreMemory", "B", "Flows", flows, func(n int) float64 { return flowMemory(seed, n) }, 489_000, memoryBound},
		{"Decision", "ns", "Flows", flows, func(n int) float64 { return decisionTime(seed, n) }, 489_000, 0},
		{"DecisionByTargets", "ns", "Targets", backends, func(n int) float64 { return decisionTimeByBackends(seed, n) }, designBackends, 0},
		{"FlowTick", "us", "Instances", instances, flowTickTime, designInstances, 0},
		{"FlowTickControl", "B/s", "Instances", instances, flowTickBytes, designInstances, controlBound},
		{"FlowTickControlBlank", "B/s", "Instances", instances, unsynchronisedTickBytes, designInstances, 0},
		{"RecordsSent", "B", "Records", []int{64, 256, 1_024}, func(n int) float64 { return recordBytes(seed, n) }, 1_024, 0},
		{"MembersExchange", "B", "Instances", instances, exchangeBytes, designInstances, 0},
		{"MembersTick", "us", "Instances", instances, memberTickTime, designInstances, 0},
		{"RequestDispatch", "us", "Targets", backends, dispatchTime, designBackends, 0},
		{"PlatformCalls", "calls/s", "Instances", instances, func(n int) float64 { return platformCalls(seed, n) }, designInstances, 2_000},
	}
}

// deployment returns a catalogue with that many backend servers, and services
// in the proportion of the design size, at least 2.
func deployment(backends int) catalogue.Catalogue {
	var c catalogue.Catalogue
	for d := range designCentres {
		c = c.WithDataCentre(catalogue.DataCentre{Name: centreName(d), State: catalogue.DataCentreIn})
	}
	services := max(backends*designAddresses/designBackends, 2)
	for s := range services {
		name := fmt.Sprintf("service-%d", s)
		c = c.WithService(catalogue.Service{Name: name, Protocol: catalogue.TCP, Address: serviceAddress(s)})
		c = c.WithClass(catalogue.Class{Name: "class-" + name, Service: name, Target: catalogue.Target{
			Share: 0.99, Within: time.Second, Window: time.Hour, FlowShare: 0.999,
		}})
	}
	for b := range backends {
		c = c.WithBackend(catalogue.Backend{
			Name: fmt.Sprintf("backend-%d", b), Service: fmt.Sprintf("service-%d", b%services),
			DataCentre: centreName(b % designCentres), Slots: 3, State: catalogue.BackendActive,
			Packets: hostAddress(b, 20_000), Requests: hostAddress(b, 30_000),
		})
	}
	return c.WithOperation(catalogue.Operation{Identifier: "first", Author: "author", At: epoch})
}

func centreName(n int) string { return fmt.Sprintf("centre-%d", n%designCentres) }

func serviceAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, byte(n >> 8), byte(n)}), 443)
}

func hostAddress(n int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), port)
}

// shortestRun calls run timingRuns times and returns the shortest duration,
// which other load on the machine distorts least.
func shortestRun(run func()) time.Duration {
	shortest := time.Duration(1<<63 - 1)
	for range timingRuns {
		began := time.Now()
		run()
		shortest = min(shortest, time.Since(began))
	}
	return shortest
}

// heapBytes returns how many bytes of heap the value that build returns
// occupies, measured after a garbage collection.
func heapBytes(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	value := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(value)
	return max(float64(after.HeapAlloc)-float64(before.HeapAlloc), 0)
}

// tableTime is the time to compute the table, in milliseconds.
func tableTime(backends int) float64 {
	c := deployment(backends)
	return float64(shortestRun(func() { table.New(c) })) / float64(time.Millisecond)
}

// tableMemory is the heap of the table, in bytes.
func tableMemory(backends int) float64 {
	c := deployment(backends)
	return heapBytes(func() any { return table.New(c) })
}

// storedBytes is the size of the encoded catalogue as the platform stores it.
func storedBytes(backends int) float64 {
	data, err := api.EncodeCatalogue(deployment(backends))
	if err != nil {
		panic(err)
	}
	return float64(len(data))
}

// changeBytes is the encoded size of one change as peers send it.
func changeBytes(backends int) float64 {
	before := deployment(backends)
	b := before.Backends()[backends/2]
	b.State = catalogue.BackendLeaving
	o := catalogue.Operation{Identifier: "an-operator-1764793500000000000", Author: "an-operator", Reason: "replace the machine", At: epoch}
	after, err := before.Apply(o, []catalogue.Change{catalogue.PutBackend{Backend: b}})
	if err != nil {
		panic(err)
	}
	difference, ok := after.Since(before.Version(), before.Digest())
	if !ok {
		panic("the catalogue after a change has no difference from the one before it")
	}
	data, err := api.EncodeUpdate(gossip.Update{Difference: &difference})
	if err != nil {
		panic(err)
	}
	return float64(len(data))
}

// maxCopiesPerChange is how often an instance forwards one change: to each of
// its neighbours in every gossip round that carries the update.
const maxCopiesPerChange = 20

// changeControlRate is the control traffic of an instance for the changes of a
// day, in bytes per second.
func changeControlRate(backends int) float64 {
	return changeBytes(backends) * maxCopiesPerChange * designChangesPerDay / secondsPerDay
}

// randomKey returns a flow key to one of the first services.
func randomKey(random *rand.Rand, services int) flow.Key {
	source := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 51, byte(random.Uint32()), byte(random.Uint32())}), uint16(random.Uint32()))
	return flow.Key{Protocol: catalogue.TCP, Source: source, Destination: serviceAddress(random.IntN(services))}
}

// packetCore returns the packet core of a deployment's only instance.
func packetCore(backends int) *flow.Core {
	core := flow.New(instanceName, flow.Options{})
	core.SetMembers(epoch, []flow.Member{{Name: instanceName}})
	core.Adopt(epoch, deployment(backends))
	core.Tick(epoch.Add(flow.TickPeriod))
	return core
}

// fillCore opens that many flows at the core and returns their keys.
func fillCore(core *flow.Core, seed uint64, flows, services int) []flow.Key {
	random := rand.New(rand.NewPCG(seed, uint64(flows)))
	keys := make([]flow.Key, flows)
	for i := range keys {
		keys[i] = randomKey(random, services)
		core.Decide(epoch.Add(2*flow.TickPeriod), flow.Packet{Key: keys[i], Starts: true})
	}
	return keys
}

// flowMemory is the heap of a packet core with that many flows, in bytes.
func flowMemory(seed uint64, flows int) float64 {
	return heapBytes(func() any {
		core := packetCore(19)
		fillCore(core, seed, flows, 2)
		return core
	})
}

// decisionTime is the time of a decision beside that many flows, in
// nanoseconds.
func decisionTime(seed uint64, flows int) float64 {
	core := packetCore(19)
	return timePerDecision(core, fillCore(core, seed, flows, 2))
}

// decisionTimeByBackends is the time of a decision with that many backend
// servers, in nanoseconds.
func decisionTimeByBackends(seed uint64, backends int) float64 {
	core := packetCore(backends)
	services := max(backends*designAddresses/designBackends, 2)
	return timePerDecision(core, fillCore(core, seed, timedDecisions, services))
}

// timePerDecision returns the mean time of a decision for a later packet of
// the flows, in nanoseconds.
func timePerDecision(core *flow.Core, keys []flow.Key) float64 {
	now := epoch.Add(3 * flow.TickPeriod)
	count := min(timedDecisions, len(keys))
	duration := shortestRun(func() {
		for i := range count {
			core.Decide(now, flow.Packet{Key: keys[i*7919%len(keys)]})
		}
	})
	return float64(duration) / float64(count)
}

func memberName(n int) string { return fmt.Sprintf("%s-entry-%d", centreName(n), n+1) }

// packetCoreWithMembers returns a packet core whose member list has that many
// instances.
func packetCoreWithMembers(instances int) *flow.Core {
	core := flow.New(memberName(0), flow.Options{})
	core.SetMembers(epoch, flowMembers(instances))
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

// flowTickTime is the time of a tick of the packet core, in microseconds.
func flowTickTime(instances int) float64 {
	core := packetCoreWithMembers(instances)
	now := epoch
	duration := shortestRun(func() {
		now = now.Add(flow.TickPeriod)
		core.Tick(now)
	})
	return float64(duration) / float64(time.Microsecond)
}

// unsynchronisedTickBytes is what an instance sends per tick if it has just
// started and receives nothing from any other.
func unsynchronisedTickBytes(instances int) float64 {
	const ticks = 3
	return tickBytes(packetCoreWithMembers(instances), epoch, ticks)
}

// flowTickBytes is what an instance sends per tick while nothing changes: it
// knows which flows are disputed, and its member list has long been stable.
func flowTickBytes(instances int) float64 {
	const (
		aloneTicks       = 30
		stabilisingTicks = 120
		measuredTicks    = 60
	)
	core := flow.New(memberName(0), flow.Options{})
	core.SetMembers(epoch, []flow.Member{{Name: memberName(0)}})
	core.Adopt(epoch, deployment(380))
	tickBytes(core, epoch, aloneTicks)
	now := epoch.Add(aloneTicks * flow.TickPeriod)
	core.SetMembers(now, flowMembers(instances))
	tickBytes(core, now, stabilisingTicks)
	return tickBytes(core, now.Add(stabilisingTicks*flow.TickPeriod), measuredTicks)
}

// tickBytes returns the mean number of bytes that a core sends per tick, over
// the ticks that follow from.
func tickBytes(core *flow.Core, from time.Time, ticks int) float64 {
	total := 0
	for n := range ticks {
		for _, e := range core.Tick(from.Add(time.Duration(n+1) * flow.TickPeriod)) {
			total += proto.Size(api.FlowMessageToWire(memberName(0), e.Message))
		}
	}
	return float64(total) / float64(ticks)
}

func rosterMember(n int) roster.Member {
	return roster.Member{
		Name: memberName(n), DataCentre: centreName(n), Incarnation: uint64(epoch.UnixNano()) + uint64(n), Heartbeat: 86_400,
		Version: 500, Peer: hostAddress(n, 7_000), Passed: hostAddress(n, 7_001), Admin: hostAddress(n, 7_002),
	}
}

// newInstance returns the cores of an instance whose roster has that many
// instances.
func newInstance(instances int) *cores.Instance {
	i := cores.New(rosterMember(0), 1)
	var members []roster.Member
	for n := range instances {
		members = append(members, rosterMember(n))
	}
	i.AddMembers(epoch, members)
	return i
}

// exchangeBytes is the size of what one side sends in a member exchange.
func exchangeBytes(instances int) float64 {
	return float64(newInstance(instances).HelloSize())
}

// recordBytes is the encoded size of a message with that many flow records.
func recordBytes(seed uint64, records int) float64 {
	random := rand.New(rand.NewPCG(seed, uint64(records)))
	var m flow.Message
	for range records {
		m.Records = append(m.Records, flow.Record{Fingerprint: random.Uint64() &^ 0xffff, Server: uint64(random.IntN(15))})
	}
	return float64(proto.Size(api.FlowMessageToWire(memberName(0), m)))
}

// memberTickTime is the time of a tick of the roster, in microseconds.
func memberTickTime(instances int) float64 {
	i := newInstance(instances)
	duration := shortestRun(func() { i.Tick(epoch.Add(time.Second)) })
	return float64(duration) / float64(time.Microsecond)
}

// dispatchTime is the time to admit a request and to complete it, in
// microseconds.
func dispatchTime(backends int) float64 {
	i := newInstance(9)
	c := deployment(backends)
	i.Offer(epoch, c, "platform")
	const requests = 2_000
	class := c.Classes()[0].Name
	now := epoch.Add(time.Second)
	duration := shortestRun(func() {
		for range requests {
			now = now.Add(requestPeriod)
			attempt, refusal := i.Begin(now, dispatch.Request{Class: class, Deadline: now.Add(time.Minute)})
			if refusal == nil && !attempt.Waiting {
				i.Complete(now, attempt, dispatch.Outcome{Verdict: verdict.Ran})
			}
		}
	})
	return float64(duration) / requests / float64(time.Microsecond)
}

// platformCalls is how many calls per second a fleet makes on the platform
// while nothing changes. An open watch is a single call that waits, and isn't
// counted.
func platformCalls(seed uint64, instances int) float64 {
	var fleet []watcher.Instance
	for n := range instances {
		fleet = append(fleet, watcher.Instance{Name: memberName(n), DataCentre: centreName(n)})
	}
	calls := 0
	for n, i := range fleet {
		core := watcher.New(i, seed+uint64(n))
		core.SetFleet(epoch, fleet)
		for now := epoch; now.Sub(epoch) < simulatedTime; now = core.Next() {
			due := core.Due(now, false)
			if due.Poll {
				calls++
			}
			if due.List {
				calls++
			}
		}
	}
	return float64(calls) / simulatedTime.Seconds()
}

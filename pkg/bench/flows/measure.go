package flows

import (
	"math"
	"runtime"
	"slices"
	"sync"

	"github.com/tanagerweir/tanagerweir/pkg/bench"
	"github.com/tanagerweir/tanagerweir/pkg/connection/flow"
	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
	"github.com/tanagerweir/tanagerweir/pkg/version/health"
)

// Bounds that users stated, and the load under which they are measured.
const (
	controlBound    = 3_000       // bytes per second and instance
	memoryBound     = 128_000_000 // bytes per instance
	imbalanceBound  = 1.10        // most flows at one backend server over the mean
	memoryFlows     = 400_000     // at the instance whose memory is measured
	newFlowsPerNode = 2_000       // per second, while control traffic is measured
	flowsPerServer  = 2_000       // connections of one backend server
	boardServers    = 15          // backend servers of the service board
	coldShare       = 1.0 / 16    // of a full share, for a cold backend server
)

// Scale is the size of a run.
type Scale struct {
	// Open is the number of open flows when changes and failures begin.
	Open int
	// Packets is the number of packets in each step.
	Packets int
	// SettleSteps is the number of steps after a backend server begins to leave.
	SettleSteps int
}

// FullScale returns the size that weirctl bench runs.
func FullScale() Scale { return Scale{Open: 200_000, Packets: 10_000, SettleSteps: 340} }

// measurement collects the rows of one design.
type measurement struct {
	design    string
	newDesign func(string) Design
	seed      uint64
	scale     Scale
	rows      []bench.Row
}

// Measure returns the rows of this project's design and of the baselines. The
// memory of each is measured first, one after another; the rest runs
// concurrently.
func Measure(seed uint64, s Scale) []bench.Row {
	designs := []*measurement{
		{design: bench.Tanagerweir, newDesign: Tanagerweir(flow.Options{})},
		{design: Modulo, newDesign: Baseline(Modulo)},
		{design: Rendezvous, newDesign: Baseline(Rendezvous)},
		{design: OnePeer, newDesign: Baseline(OnePeer)},
	}
	var rows []bench.Row
	var running sync.WaitGroup
	for _, m := range designs {
		m.seed, m.scale = seed, s
		m.memory()
	}
	for _, m := range designs {
		running.Go(m.measureAll)
	}
	running.Wait()
	for _, m := range designs {
		rows = append(rows, m.rows...)
	}
	return rows
}

func (m *measurement) measureAll() {
	m.plannedChanges()
	m.instancesLost("BrokenFlowsOneInstanceLost", 1)
	m.instancesLost("BrokenFlowsTwoLost", 2)
	m.instancesLost("BrokenFlowsThirdLost", 3)
	m.serverLost()
	m.control()
	m.imbalance()
	m.cold()
	m.silent()
}

func (m *measurement) add(rows ...bench.Row) { m.rows = append(m.rows, rows...) }

// warmFleet returns a fleet with open flows that has run 15 steps, and whose tally
// is empty.
func (m *measurement) warmFleet() *Fleet {
	f := NewFleet(Config{Seed: m.seed, NewDesign: m.newDesign})
	f.Open(m.scale.Open)
	f.Run(15, m.traffic())
	f.Reset()
	return f
}

func (m *measurement) traffic() Traffic { return Traffic{New: 500, Packets: m.scale.Packets} }

// plannedChanges makes every kind of planned change, some of them at once, while
// a part of the flows is idle.
func (m *measurement) plannedChanges() {
	f := m.warmFleet()
	idle := m.traffic()
	idle.Idle = 0.05
	f.Change(leavingBackend("board", 3), catalogue.PutBackend{Backend: Backend("board", 15)})
	f.Run(5, idle)
	begunBefore := f.Begun["board-4"]
	f.Join("entry-10")
	f.Run(10, idle)
	m.replaceInstances(f, 9, idle)
	f.Change(leavingBackend("ledger", 1))
	f.Run(m.scale.SettleSteps, idle)
	f.Change(dataCentreChange(2, catalogue.DataCentreOut))
	f.Run(10, idle)
	f.Change(dataCentreChange(2, catalogue.DataCentreIn))
	f.Run(20, idle)
	f.SendOnEveryFlow()
	f.SendOnEveryFlow()
	f.Run(brokenAfterSteps+2, idle)
	t := f.Tally()
	m.add(
		bench.AtMost(m.design, "BrokenFlowsPlanned", share(t.Broken, t.Open), "share", 0),
		bench.AtMost(m.design, "MisroutedPackets", float64(t.Misrouted), "packets", 0),
		bench.Measured(m.design, "ExtraHopShare", float64(t.Passed)/float64(t.Packets), "share"),
		bench.Measured(m.design, "DroppedShare", float64(t.Dropped)/float64(t.Packets), "share"),
		bench.AtMost(m.design, "NewWorkAfterLeaving", float64(f.Begun["board-4"]-begunBefore), "flows", 0),
	)
}

// replaceInstances stops that many instances one by one, each after a successor
// has joined.
func (m *measurement) replaceInstances(f *Fleet, count int, t Traffic) {
	for n := range count {
		f.Join("entry-2" + string(rune('0'+n)))
		f.Run(8, t)
		node := f.Nodes[0]
		node.Leaving = true
		f.Run(10, t)
		f.Kill(node)
		f.Run(5, t)
		f.Nodes = f.Nodes[1:]
	}
}

// share returns part as a share of all, 0 if all is 0.
func share(part, all int) float64 { return float64(part) / float64(max(all, 1)) }

func leavingBackend(service string, n int) catalogue.Change {
	b := Backend(service, n)
	b.State = catalogue.BackendLeaving
	return catalogue.PutBackend{Backend: b}
}

func dataCentreChange(n int, s catalogue.DataCentreState) catalogue.Change {
	return catalogue.PutDataCentre{DataCentre: catalogue.DataCentre{Name: DataCentre(n), State: s}}
}

// instancesLost kills that many instances at once, while a change is under way.
func (m *measurement) instancesLost(measure string, count int) {
	f := m.warmFleet()
	f.Change(leavingBackend("board", 3))
	t := m.traffic()
	t.New = 500 * instanceCount
	f.Run(30, t)
	f.Open(m.scale.Open / 20)
	for n := range count {
		f.Kill(f.Nodes[n])
	}
	f.Run(15, m.traffic())
	f.SendOnEveryFlow()
	f.SendOnEveryFlow()
	f.Run(brokenAfterSteps+2, m.traffic())
	tally := f.Tally()
	m.add(bench.Measured(m.design, measure, share(tally.Broken, tally.Open), "share"))
}

// serverLost ejects a backend server that died. Its own flows count as given up.
func (m *measurement) serverLost() {
	f := m.warmFleet()
	f.SetConditions(flow.Condition{Backend: "board-2", State: health.Ejected})
	for _, w := range slices.Concat(f.briefFlows, f.Flows) {
		w.GivenUp = w.GivenUp || w.Backend == "board-2"
	}
	f.Run(30, m.traffic())
	f.SendOnEveryFlow()
	tally := f.Tally()
	m.add(bench.AtMost(m.design, "BrokenFlowsServerLost", share(tally.Broken, tally.Open), "share", 0))
}

// control measures the control traffic between instances while changes are under
// way.
func (m *measurement) control() {
	f := NewFleet(Config{Seed: m.seed, NewDesign: m.newDesign})
	f.Open(m.scale.Open / 10)
	t := Traffic{New: newFlowsPerNode * instanceCount * m.scale.Open / FullScale().Open, Packets: m.scale.Packets / 2}
	f.Run(10, t)
	f.Reset()
	f.Change(leavingBackend("board", 3))
	const steps = 60
	f.Run(steps/2, t)
	f.Change(catalogue.PutBackend{Backend: Backend("board", 15)})
	f.Run(steps/2, t)
	total := f.Tally()
	busiest := uint64(0)
	for _, n := range f.Nodes {
		busiest = max(busiest, n.sentBytes)
	}
	m.add(
		bench.AtMost(m.design, "ControlBytesPerSecondPerNode", float64(total.ControlBytes)/steps/instanceCount, "bytes/s", controlBound),
		bench.AtMost(m.design, "ControlBytesPerSecondBusiestNode", float64(busiest)/steps, "bytes/s", controlBound),
	)
}

// imbalance measures how evenly flows are placed at full load, and with as many
// flows in all as one backend server has then.
func (m *measurement) imbalance() {
	f := NewFleet(Config{Seed: m.seed, NewDesign: m.newDesign, Services: []ServicePlan{{Name: "board", Backends: boardServers}}})
	f.Open(flowsPerServer)
	withFewFlows := f.maxOverMean()
	f.Open(flowsPerServer * (boardServers - 1))
	m.add(
		bench.AtMost(m.design, "ImbalanceMaxOverMean", f.maxOverMean(), "ratio", imbalanceBound),
		bench.Measured(m.design, "ImbalanceMaxOverMean2000InAll", withFewFlows, "ratio"),
	)
}

// maxOverMean returns the largest number of flows that began at one backend
// server, over the mean of the servers.
func (f *Fleet) maxOverMean() float64 {
	largest, total := 0, 0
	for _, n := range f.Begun {
		largest, total = max(largest, n), total+n
	}
	return float64(largest) * float64(len(f.Begun)) / float64(total)
}

// cold opens flows while no instance can reach another. Flows at a cold backend
// server beyond its share are overload, except for what chance allows (three
// standard deviations of a count).
func (m *measurement) cold() {
	f := NewFleet(Config{Seed: m.seed, NewDesign: m.newDesign, Services: []ServicePlan{{Name: "board", Backends: boardServers}}})
	for i, n := range f.Nodes {
		n.Partition = i
	}
	f.Run(10, Traffic{})
	f.SetConditions(flow.Condition{Backend: "board-5", State: health.Cold, Share: coldShare})
	f.Open(flowsPerServer * boardServers)
	allowed := coldShare * flowsPerServer
	allowed += 3 * math.Sqrt(allowed)
	m.add(bench.AtMost(m.design, "ColdOverload", max(0, float64(f.Begun["board-5"])-allowed), "flows", 0))
}

// memory measures the heap of one instance with memoryFlows flows.
func (m *measurement) memory() {
	f := NewFleet(Config{Seed: m.seed, NewDesign: m.newDesign, Instances: 1})
	f.Flows = nil
	before := heapBytes()
	core := m.newDesign("entry-1")
	core.Adopt(f.Now(), f.Catalogue())
	core.SetMembers(f.Now(), []flow.Member{{Name: "entry-1"}})
	for range 20 {
		f.step++
		core.Tick(f.Now())
	}
	for range memoryFlows {
		w := f.newFlow()
		core.Decide(f.Now(), flow.Packet{Key: w.Key, Starts: true})
	}
	f.Flows = nil
	used := heapBytes() - before
	runtime.KeepAlive(core)
	runtime.KeepAlive(f)
	m.add(bench.AtMost(m.design, "NodeMemoryBytes", float64(used), "bytes", memoryBound))
}

// heapBytes returns the heap in use after a garbage collection.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

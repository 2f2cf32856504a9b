package configuration

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tanagerweir/tanagerweir/pkg/process/roster"
	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
	"github.com/tanagerweir/tanagerweir/pkg/version/gossip"
	"github.com/tanagerweir/tanagerweir/pkg/version/watcher"
	"github.com/tanagerweir/tanagerweir/service/api"
)

const (
	tickPeriod       = 25 * time.Millisecond   // between two checks of what is due
	peerDelay        = 1500 * time.Microsecond // one way between two instances
	platformDelay    = 2 * time.Millisecond    // of one call on the platform
	callTimeout      = 2 * time.Second         // the limit that an instance's platform sync sets for its calls
	reopenPause      = 1 * time.Second         // from the end of a watch to the next attempt
	exchangeOverhead = gossip.MessageOverhead  // bytes
	listPeriod       = 2 * time.Second         // of the baseline, in which every instance reads the list
	baselineRenewal  = 30 * time.Second        // after which a watch of the baseline ends and is opened again
)

// node is one instance.
type node struct {
	name       string
	dataCentre string
	spreader   *gossip.Spreader
	watcher    *watcher.Core
	alive      bool
	// watchNumber identifies the open watch, 0 while none is open. Each watch gets
	// a new number, so that late events of an older one are recognised.
	watchNumber     int
	lastWatchNumber int
	openAfter       time.Time // no watch is opened before
	nextListRead    time.Time // of the baseline
	controlBytes    int       // sent and received
	currentOrder    catalogue.Order
	inForceSince    map[catalogue.Version]time.Time
}

// fleet is a number of instances with one platform, in injected time.
type fleet struct {
	queue
	platform           platform
	nodes              []*node
	random             *rand.Rand
	seed               uint64
	direct             bool // the baseline: every instance watches the platform
	centres            []string
	networkGroup       map[string]int      // by data centre; those with the same number reach each other
	aliveNames         map[string][]string // the instances that those in a data centre take for alive
	allNames           []string            // of instances, dead ones included
	byName             map[string]*node
	reversions         int
	acceptedOperations []string // identifiers
	marks              []catalogue.Mark
	err                error // the first that check was given
}

// newFleet returns a fleet whose instances all have version 1 of the
// configuration. With direct it is the baseline, in which every instance watches
// the platform.
func newFleet(size, dataCentres int, seed uint64, direct bool) *fleet {
	f := &fleet{
		queue:  queue{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)},
		random: rand.New(rand.NewPCG(seed, uint64(size))), seed: seed, direct: direct,
		networkGroup: make(map[string]int), aliveNames: make(map[string][]string), byName: make(map[string]*node),
		platform: platform{cutOff: make(map[string]bool)},
	}
	for d := range dataCentres {
		f.centres = append(f.centres, fmt.Sprintf("dc-%d", d+1))
	}
	for i := range size {
		d := f.centres[i%dataCentres]
		n := &node{name: fmt.Sprintf("%s-entry-%d", d, i), dataCentre: d}
		f.nodes = append(f.nodes, n)
		f.byName[n.name] = n
		f.allNames = append(f.allNames, n.name)
		f.startNode(n)
	}
	f.updateViews()
	first := f.firstCatalogue()
	f.check(f.platform.write(first))
	for _, n := range f.nodes {
		f.recordInForce(n, n.spreader.Offer(f.now, first))
	}
	f.acceptedOperations = append(f.acceptedOperations, first.History()[0].Identifier)
	f.tick()
	return f
}

// check keeps the first error, for the end of the run.
func (f *fleet) check(err error) {
	if err != nil && f.err == nil {
		f.err = err
	}
}

// startNode starts an instance without a configuration. Each start draws a new
// seed from the number of scheduled events.
func (f *fleet) startNode(n *node) {
	f.scheduled++
	seed := f.seed<<32 ^ uint64(f.scheduled)
	n.spreader = gossip.NewSpreader(n.name, seed)
	n.watcher = watcher.New(watcher.Instance{Name: n.name, DataCentre: n.dataCentre}, seed)
	n.alive, n.currentOrder, n.watchNumber = true, 0, 0
	n.inForceSince = make(map[catalogue.Version]time.Time)
	n.nextListRead = f.now.Add(time.Duration(f.random.Int64N(int64(listPeriod))))
}

// firstCatalogue returns version 1: all data centres and one service with 50
// backend servers.
func (f *fleet) firstCatalogue() catalogue.Catalogue {
	var changes []catalogue.Change
	for _, d := range f.centres {
		changes = append(changes, catalogue.PutDataCentre{DataCentre: catalogue.DataCentre{Name: d, State: catalogue.DataCentreIn}})
	}
	board := catalogue.Service{Name: "board", Protocol: catalogue.TCP, Address: netip.MustParseAddrPort("192.0.2.1:443")}
	changes = append(changes, catalogue.PutService{Service: board})
	for i := range 50 {
		changes = append(changes, f.backend(i, 1))
	}
	o := catalogue.Operation{Identifier: "first", Author: "operator", Reason: "first configuration", At: f.now}
	c, err := catalogue.Catalogue{}.Apply(o, changes)
	f.check(err)
	return c
}

// backend returns the change that gives the i-th backend server that many slots.
func (f *fleet) backend(i int, slots uint32) catalogue.Change {
	return catalogue.PutBackend{Backend: catalogue.Backend{
		Name: fmt.Sprintf("board-%d", i+1), Service: "board", DataCentre: f.centres[i%len(f.centres)],
		Packets:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 4000),
		Requests: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 8000),
		Slots:    slots, State: catalogue.BackendActive,
	}}
}

// acceptChange writes a change to the platform on behalf of an instance, which
// adopts it if it is alive, and returns its version.
func (f *fleet) acceptChange(n *node) catalogue.Version {
	identifier := fmt.Sprintf("operator-%d", f.now.UnixNano()+int64(len(f.acceptedOperations)))
	o := catalogue.Operation{Identifier: identifier, Author: "operator", Reason: "more slots for the deadline", At: f.now}
	next, err := f.platform.stored.Apply(o, []catalogue.Change{f.backend(f.random.IntN(50), uint32(2+f.random.IntN(9)))})
	f.check(err)
	f.check(f.platform.write(next))
	f.acceptedOperations = append(f.acceptedOperations, identifier)
	if n.alive {
		f.recordInForce(n, n.spreader.Offer(f.now, next))
	}
	f.notifyWatches()
	return next.Version()
}

// recordInForce records which versions an instance has in force now, and
// whether it went back to an older configuration.
func (f *fleet) recordInForce(n *node, o gossip.Outcome) {
	current := n.spreader.Core().Current()
	if current.Order() < n.currentOrder {
		f.reversions++
	}
	n.currentOrder = current.Order()
	if !o.Changed {
		return
	}
	for v := current.Version(); v > 0; v-- {
		if _, ok := n.inForceSince[v]; ok {
			break
		}
		n.inForceSince[v] = f.now
	}
}

// updateViews sets every instance's view of which others are alive and
// reachable.
func (f *fleet) updateViews() {
	clear(f.aliveNames)
	for _, d := range f.centres {
		var alive []string
		for _, n := range f.nodes {
			if n.alive && f.networkGroup[n.dataCentre] == f.networkGroup[d] {
				alive = append(alive, n.name)
			}
		}
		f.aliveNames[d] = alive
	}
	for _, n := range f.nodes {
		var visible []watcher.Instance
		for _, name := range f.aliveNames[n.dataCentre] {
			visible = append(visible, watcher.Instance{Name: name, DataCentre: f.byName[name].dataCentre})
		}
		n.watcher.SetFleet(f.now, visible)
	}
}

// scheduleViewUpdate updates the views after the time in which the roster detects
// dead members.
func (f *fleet) scheduleViewUpdate() { f.after(roster.RemovedWithin, f.updateViews) }

// tick runs what is due at every living instance, and schedules the next tick.
func (f *fleet) tick() {
	for _, n := range f.nodes {
		if !n.alive {
			continue
		}
		if f.direct {
			f.watchDirectly(n)
			continue
		}
		f.follow(n)
		if peer, ok := n.spreader.Next(f.now, f.aliveNames[n.dataCentre], f.allNames); ok {
			f.compare(n, f.byName[peer])
		}
	}
	f.after(tickPeriod, f.tick)
}

// canReach reports whether a message from a arrives at b.
func (f *fleet) canReach(a, b *node) bool {
	return a.alive && b.alive && f.networkGroup[a.dataCentre] == f.networkGroup[b.dataCentre]
}

// send counts a message's bytes at both ends and calls arrive if it reaches to.
func (f *fleet) send(from, to *node, m gossip.Message, arrive func()) {
	wire, err := api.SpreadToWire(m.Digest, m.Update)
	f.check(err)
	size := proto.Size(wire) + exchangeOverhead
	from.controlBytes += size
	if m.Update.Difference != nil {
		from.spreader.CountUpdateBytes(f.now, proto.Size(wire))
	}
	if !f.canReach(from, to) {
		return
	}
	f.after(peerDelay, func() {
		if f.canReach(from, to) {
			to.controlBytes += size
			arrive()
		}
	})
}

// compare runs one gossip exchange between two instances, with a second message
// where the first shows that to lacks something.
func (f *fleet) compare(from, to *node) {
	first := from.spreader.Begin()
	f.send(from, to, first, f.handle(from, to, first, func(answer gossip.Message) {
		second, needed, outcome := from.spreader.Finish(f.now, answer)
		f.recordInForce(from, outcome)
		if needed {
			f.send(from, to, second, f.handle(from, to, second, func(last gossip.Message) {
				f.recordInForce(from, from.spreader.Apply(f.now, last.Update))
			}))
		}
	}))
}

// handle returns what a peer does when a message arrives: it answers, and calls
// answered if the answer arrives.
func (f *fleet) handle(from, to *node, m gossip.Message, answered func(gossip.Message)) func() {
	return func() {
		answer, outcome := to.spreader.Compare(f.now, m)
		f.recordInForce(to, outcome)
		f.send(to, from, answer, func() { answered(answer) })
	}
}

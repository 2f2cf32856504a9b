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
	tickPeriod       = 25 * time.Millisecond   // between two looks at what is due
	peerDelay        = 1500 * time.Microsecond // one way between two instances
	platformDelay    = 2 * time.Millisecond    // for one call on the platform
	callTimeout      = 2 * time.Second         // as an instance's keeper bounds its calls
	reopenPause      = 1 * time.Second         // after a watch ended
	exchangeOverhead = gossip.MessageOverhead
	listPeriod       = 2 * time.Second // of the baseline, which reads the list everywhere
	// baselineRenewal is how long the baseline's watches last; no measurement or page
	// gives the figure.
	baselineRenewal = 30 * time.Second
)

// node is one instance.
type node struct {
	name       string
	dataCentre string
	spreader   *gossip.Spreader
	watcher    *watcher.Core
	alive      bool
	// watch is 0 while none is open; each one opened gets another number.
	watch     int
	watches   int
	openAfter time.Time
	nextList  time.Time
	bytes     int
	order     catalogue.Order
	inForce   map[catalogue.Version]time.Time
}

// fleet is a number of instances over one platform.
type fleet struct {
	queue
	platform  platform
	nodes     []*node
	random    *rand.Rand
	seed      uint64
	direct    bool
	centres   []string
	group     map[string]int
	views     map[string][]string
	known     []string
	byName    map[string]*node
	reversals int
	accepted  []string
	marks     []catalogue.Mark
	problem   error
}

// newFleet returns a fleet whose instances all hold version 1. direct makes it
// the baseline, in which every instance watches the platform.
func newFleet(size, dataCentres int, seed uint64, direct bool) *fleet {
	f := &fleet{
		queue:  queue{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)},
		random: rand.New(rand.NewPCG(seed, uint64(size))), seed: seed, direct: direct,
		group: make(map[string]int), views: make(map[string][]string), byName: make(map[string]*node),
		platform: platform{cut: make(map[string]bool)},
	}
	for d := range dataCentres {
		f.centres = append(f.centres, fmt.Sprintf("dc-%d", d+1))
	}
	for i := range size {
		d := f.centres[i%dataCentres]
		n := &node{name: fmt.Sprintf("%s-entry-%d", d, i), dataCentre: d}
		f.nodes = append(f.nodes, n)
		f.byName[n.name] = n
		f.known = append(f.known, n.name)
		f.start(n)
	}
	f.look()
	first := f.firstCatalogue()
	f.must(f.platform.write(first))
	for _, n := range f.nodes {
		f.adopted(n, n.spreader.Offer(f.now, first))
	}
	f.accepted = append(f.accepted, first.History()[0].Identifier)
	f.tick()
	return f
}

func (f *fleet) must(err error) {
	if err != nil && f.problem == nil {
		f.problem = err
	}
}

// start starts an instance that holds nothing.
func (f *fleet) start(n *node) {
	f.planned++
	seed := f.seed<<32 ^ uint64(f.planned)
	n.spreader = gossip.NewSpreader(n.name, seed)
	n.watcher = watcher.New(watcher.Instance{Name: n.name, DataCentre: n.dataCentre}, seed)
	n.alive, n.order, n.watch = true, 0, 0
	n.inForce = make(map[catalogue.Version]time.Time)
	n.nextList = f.now.Add(time.Duration(f.random.Int64N(int64(listPeriod))))
}

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
	f.must(err)
	return c
}

func (f *fleet) backend(i int, slots uint32) catalogue.Change {
	return catalogue.PutBackend{Backend: catalogue.Backend{
		Name: fmt.Sprintf("board-%d", i+1), Service: "board", DataCentre: f.centres[i%len(f.centres)],
		Packets:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 4000),
		Requests: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 8000),
		Slots:    slots, State: catalogue.BackendActive,
	}}
}

// accept lets an instance accept a change through the platform and returns its
// version.
func (f *fleet) accept(n *node) catalogue.Version {
	identifier := fmt.Sprintf("operator-%d", f.now.UnixNano()+int64(len(f.accepted)))
	o := catalogue.Operation{Identifier: identifier, Author: "operator", Reason: "more slots for the deadline", At: f.now}
	next, err := f.platform.stored.Apply(o, []catalogue.Change{f.backend(f.random.IntN(50), uint32(2+f.random.IntN(9)))})
	f.must(err)
	f.must(f.platform.write(next))
	f.accepted = append(f.accepted, identifier)
	if n.alive {
		f.adopted(n, n.spreader.Offer(f.now, next))
	}
	f.notify()
	return next.Version()
}

// adopted notes what an instance has in force now.
func (f *fleet) adopted(n *node, o gossip.Outcome) {
	current := n.spreader.Core().Current()
	if current.Order() < n.order {
		f.reversals++
	}
	n.order = current.Order()
	if !o.Changed {
		return
	}
	for v := current.Version(); v > 0; v-- {
		if _, ok := n.inForce[v]; ok {
			break
		}
		n.inForce[v] = f.now
	}
}

// look gives every instance its view of which others are alive.
func (f *fleet) look() {
	clear(f.views)
	for _, d := range f.centres {
		var alive []string
		for _, n := range f.nodes {
			if n.alive && f.group[n.dataCentre] == f.group[d] {
				alive = append(alive, n.name)
			}
		}
		f.views[d] = alive
	}
	for _, n := range f.nodes {
		var seen []watcher.Instance
		for _, name := range f.views[n.dataCentre] {
			seen = append(seen, watcher.Instance{Name: name, DataCentre: f.byName[name].dataCentre})
		}
		n.watcher.SetFleet(f.now, seen)
	}
}

// notice lets the instances see a change of who is alive as late as the roster
// does.
func (f *fleet) notice() { f.after(roster.DeadAfter, f.look) }

// tick lets every instance do what is due.
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
		if peer, ok := n.spreader.Next(f.now, f.views[n.dataCentre], f.known); ok {
			f.compare(n, f.byName[peer])
		}
	}
	f.after(tickPeriod, f.tick)
}

func (f *fleet) reaches(a, b *node) bool {
	return a.alive && b.alive && f.group[a.dataCentre] == f.group[b.dataCentre]
}

// send carries a message and counts its bytes at both ends.
func (f *fleet) send(from, to *node, m gossip.Message, arrive func()) {
	wire, err := api.SpreadToWire(m.Digest, m.Update)
	f.must(err)
	size := proto.Size(wire) + exchangeOverhead
	from.bytes += size
	if m.Update.Difference != nil {
		from.spreader.Spent(f.now, proto.Size(wire))
	}
	if !f.reaches(from, to) {
		return
	}
	f.after(peerDelay, func() {
		if f.reaches(from, to) {
			to.bytes += size
			arrive()
		}
	})
}

// compare runs one comparison between two instances.
func (f *fleet) compare(from, to *node) {
	first := from.spreader.Begin()
	f.send(from, to, first, f.serve(from, to, first, func(answer gossip.Message) {
		second, again, outcome := from.spreader.Finish(f.now, answer)
		f.adopted(from, outcome)
		if again {
			f.send(from, to, second, f.serve(from, to, second, func(last gossip.Message) {
				f.adopted(from, from.spreader.Take(f.now, last.Update))
			}))
		}
	}))
}

// serve returns what the peer does when a message arrives.
func (f *fleet) serve(from, to *node, m gossip.Message, answered func(gossip.Message)) func() {
	return func() {
		answer, outcome := to.spreader.Compare(f.now, m)
		f.adopted(to, outcome)
		f.send(to, from, answer, func() { answered(answer) })
	}
}

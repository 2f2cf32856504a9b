package admission_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/connection/admission"
	"github.com/tanagerweir/tanagerweir/pkg/connection/mechanism"
	"github.com/tanagerweir/tanagerweir/pkg/connection/placement"
)

const (
	centres  = 3
	toServer = 500 * time.Microsecond
	tick     = 100 * time.Millisecond
	service  = "board"
	attempts = 3
	// work is that of both routes of the quarter.
	work = 30 * time.Millisecond
)

// fleet is the shape of a played deployment.
type fleet struct {
	// instances and servers are in all data centres together.
	instances, servers int
	slots, queue       int
	// work is the mean work of the urgent route and of the other.
	work     [2]time.Duration
	toCaller time.Duration
	callers  int
	// longFlows says that callers of the other route keep flows open for many requests.
	longFlows bool
}

// quarter is a quarter of a deployment with 240 slots and 8,000 requests a second, and few
// and many are a small and a large deployment with heavier work and shorter targets.
var (
	quarter = fleet{
		instances: 18, servers: 30, slots: 2, queue: 8, work: [2]time.Duration{work, work}, toCaller: 3500 * time.Microsecond, callers: 20000,
	}
	few = fleet{
		instances: 9, servers: 14, slots: 3, queue: 12, work: [2]time.Duration{52 * time.Millisecond, 40 * time.Millisecond},
		toCaller: time.Millisecond, callers: 297,
	}
	many = fleet{
		instances: 66, servers: 120, slots: 2, queue: 12, work: [2]time.Duration{52 * time.Millisecond, 40 * time.Millisecond},
		toCaller: time.Millisecond, callers: 2000,
	}
	// feeds is a large deployment whose less urgent callers keep their flows open.
	feeds = fleet{
		instances: 78, servers: 120, slots: 2, queue: 8, work: [2]time.Duration{72 * time.Millisecond, 55 * time.Millisecond},
		toCaller: time.Millisecond, callers: 2250, longFlows: true,
	}
	// feedsFew is a small one.
	feedsFew = fleet{
		instances: 9, servers: 14, slots: 3, queue: 12, work: [2]time.Duration{52 * time.Millisecond, 40 * time.Millisecond},
		toCaller: time.Millisecond, callers: 900, longFlows: true,
	}
)

var routes = []netip.AddrPort{netip.MustParseAddrPort("198.18.0.1:443"), netip.MustParseAddrPort("198.18.0.1:8080")}

// design is how the instances decide.
type design int

const (
	product design = iota
	// present admits everything, as before this package.
	present
	// known knows each server's queue, and rejects what would wait for too long.
	known
	// holding admits as product does, but holds what it would reject until the next tick.
	holding
)

// load is the load and the faults of one run.
type load struct {
	fleet
	design design
	// off are the mechanisms that are switched off.
	off  mechanism.Set
	seed uint64
	// factor is the load in capacities from crowdFrom to crowdTo, and usual that of the
	// rest.
	factor, usual float64
	// urgent is the part of the requests that are urgent.
	urgent float64
	// firstWeight is the part of the requests that the first instance gets, 0 for an
	// even one.
	firstWeight float64
	// silent is the part of the openings that full servers leave unanswered.
	silent float64
	// targets are those of the urgent route and of the other.
	targets [2]time.Duration
	// flags unset good for short error responses.
	flags bool
	// length is how long the crowd lasts, 5 s if 0.
	length time.Duration
	// knownLimit is the number of requests a slot up to which full knowledge admits what
	// isn't urgent.
	knownLimit float64
	// leave is how many servers leave in the middle, and stop how many instances. restart
	// is how many instances lose what they know then.
	leave, stop, restart int
	// reports is the part of the reports between instances that arrive.
	reports float64
}

const (
	crowdFrom, crowdLength = 3 * time.Second, 5 * time.Second
	middle                 = crowdFrom + crowdLength/2
	afterCrowd             = 3 * time.Second
)

// figures are what came of the requests of the crowd.
type figures struct {
	seconds, carried                  float64
	asked, served, onTime             int
	urgentAsked, urgentOnTime         int
	atServers                         int
	refusedBefore, refusedAfterSecond int
	levels                            []float64
}

type backend struct {
	centre, running int
	waiting         []*request
	gone            bool
	// expected is the number of requests there or on the way.
	expected int
	average  float64
}

type node struct {
	centre  int
	core    *admission.Core
	running []int
	average []float64
	stopped bool
	held    []*request
}

type request struct {
	started  time.Duration
	centre   int
	class    int
	caller   netip.Addr
	attempts int
	node     *node
	at       int
	sent     time.Duration
	copies   int
	ended    bool
	counted  bool
	// later says that the request isn't the first of its flow.
	later bool
}

// openFlow is a flow that stays open after its first request.
type openFlow struct {
	node *node
	at   int
}

type event struct {
	at    time.Duration
	order int
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// player plays a load against instances and servers.
type player struct {
	load
	figures
	random  *rand.Rand
	now     time.Duration
	pending events
	order   int
	// idle are the open flows of each caller without a request.
	idle     map[netip.Addr][]*openFlow
	backends []*backend
	nodes    []*node
}

func (p *player) after(d time.Duration, run func()) {
	p.order++
	heap.Push(&p.pending, event{at: p.now + d, order: p.order, run: run})
}

// play runs the load and returns its figures.
func play(l load) figures {
	p := &player{load: l, random: rand.New(rand.NewPCG(l.seed, 0)), idle: make(map[netip.Addr][]*openFlow)}
	p.seconds, p.carried = (p.crowdTo() - crowdFrom).Seconds(), l.capacity()
	for i := range l.servers {
		p.backends = append(p.backends, &backend{centre: i % centres})
	}
	for i := range l.instances {
		p.nodes = append(p.nodes, &node{
			centre: i % centres, core: p.newCore(), running: make([]int, len(p.backends)), average: make([]float64, len(p.backends)),
		})
	}
	for i, n := range p.nodes {
		p.after(time.Duration(i)*tick/time.Duration(len(p.nodes)), func() { p.tick(n) })
	}
	p.after(middle, func() {
		for _, v := range p.backends[:l.leave] {
			v.gone = true
		}
		for _, n := range p.nodes[:l.stop] {
			n.stopped = true
		}
		for _, n := range p.nodes[:l.restart] {
			n.core = p.newCore()
		}
	})
	p.arrive()
	for p.pending.Len() > 0 && p.now < p.crowdTo()+afterCrowd {
		e := heap.Pop(&p.pending).(event)
		p.now = e.at
		e.run()
	}
	return p.figures
}

func (p *player) newCore() *admission.Core {
	core := admission.New(admission.Options{Off: p.off})
	core.Configure([]admission.Route{
		{Service: service, Endpoint: routes[0], Target: p.targets[0]},
		{Service: service, Endpoint: routes[1], Target: p.targets[1], Priority: 1},
	})
	return core
}

// workOf returns the mean work of a request.
func (l load) workOf() time.Duration {
	return time.Duration(l.urgent*float64(l.work[0]) + (1-l.urgent)*float64(l.work[1]))
}

// capacity returns how many requests a second the servers carry.
func (l load) capacity() float64 {
	return float64(l.servers*l.slots) / l.workOf().Seconds()
}

func (l load) crowdTo() time.Duration { return crowdFrom + cmp.Or(l.length, crowdLength) }

func (p *player) inCrowd(at time.Duration) bool { return at >= crowdFrom && at < p.crowdTo() }

func (p *player) arrive() {
	rate := p.usual * p.capacity()
	if p.inCrowd(p.now) {
		rate = p.factor * p.capacity()
	}
	p.after(time.Duration(p.random.ExpFloat64()/rate*float64(time.Second)), func() {
		r := &request{started: p.now, centre: p.random.IntN(centres), class: 1, caller: callerOf(p.random.IntN(p.callers))}
		if p.random.Float64() < p.urgent {
			r.class = 0
		}
		if r.counted = p.inCrowd(p.now); r.counted {
			p.asked++
			if r.class == 0 {
				p.urgentAsked++
			}
		}
		p.attempt(r)
		p.arrive()
	})
}

func callerOf(n int) netip.Addr {
	return netip.AddrFrom4([4]byte{100, 64, byte(n >> 8), byte(n)})
}

func (p *player) attempt(r *request) {
	if r.attempts == attempts || r.ended {
		return
	}
	r.attempts++
	r.copies, r.later = 0, false
	if p.longFlows && r.class > 0 && p.reuse(r) {
		return
	}
	if p.random.Float64() < p.firstWeight {
		r.node = p.nodes[0]
	} else {
		for r.node = nil; r.node == nil || r.node.stopped || r.node.centre != r.centre; {
			r.node = p.nodes[p.random.IntN(len(p.nodes))]
		}
	}
	p.after(p.toCaller, func() { p.open(r) })
}

// reuse sends the request in an open flow of its caller, and reports whether there is one.
func (p *player) reuse(r *request) bool {
	flows := p.idle[r.caller]
	for len(flows) > 0 {
		f := flows[len(flows)-1]
		flows = flows[:len(flows)-1]
		p.idle[r.caller] = flows
		if v := p.backends[f.at]; !v.gone && !f.node.stopped {
			r.node, r.at, r.later = f.node, f.at, true
			p.after(p.toCaller, func() {
				f.node.running[f.at]++
				v.expected++
				if r.counted {
					p.atServers++
				}
				p.sendLater(r, v, f.node, f.at)
			})
			return true
		}
	}
	return false
}

// open handles an opening packet at its instance.
func (p *player) open(r *request) {
	switch p.design {
	case product:
		if !r.node.core.Admit(p.now, service, routes[r.class], r.caller) {
			p.reject(r)
			return
		}
	case holding:
		if !r.node.core.Admit(p.now, service, routes[r.class], r.caller) {
			r.node.held = append(r.node.held, r)
			return
		}
	case known:
		least := math.Inf(1)
		for _, v := range p.backends {
			if !v.gone {
				least = min(least, float64(v.expected))
			}
		}
		if least >= float64(p.slots+p.queue) || r.class > 0 && least >= p.knownLimit*float64(p.slots) {
			p.reject(r)
			return
		}
	case present:
	}
	p.place(r)
}

// awaitCopy waits for the caller's next copy of an opening packet, and ends the attempt after the
// last one.
func (p *player) awaitCopy(r *request) {
	p.after([]time.Duration{200, 400, 800}[min(r.copies, 2)]*time.Millisecond, func() {
		if r.copies++; r.copies == 3 {
			p.attempt(r)
		} else {
			p.place(r)
		}
	})
}

func (p *player) reject(r *request) {
	if !r.counted && p.now < crowdFrom {
		p.refusedBefore++
	}
	if p.now > p.crowdTo()+time.Second {
		p.refusedAfterSecond++
	}
	p.after(p.toCaller, func() { p.attempt(r) })
}

// release places the requests that were held since the last tick and are admitted now, and
// rejects the others.
func (p *player) release(n *node) {
	held := n.held
	n.held = nil
	for _, r := range held {
		if n.core.WouldAdmit(p.now, service, routes[r.class], r.caller) {
			p.place(r)
		} else {
			p.reject(r)
		}
	}
}

// place sends an opening packet to a server, and the request if it accepts it.
func (p *player) place(r *request) {
	best := placement.NewBest(p.random.Uint64(), placement.Score)
	for i, v := range p.backends {
		if v.gone {
			continue
		}
		others := max(v.average-r.node.average[i], 0)
		if p.design == known {
			others = float64(v.expected - r.node.running[i])
		}
		best.Offer(i, placement.Candidate{Slots: p.slots, Running: float64(r.node.running[i]) + others, Local: v.centre == r.node.centre})
	}
	r.at, _ = best.Choice()
	v, n, at := p.backends[r.at], r.node, r.at
	n.running[at]++
	v.expected++
	if r.counted {
		p.atServers++
	}
	full := v.running+len(v.waiting) >= p.slots+p.queue
	if v.gone || full && p.random.Float64() < p.silent {
		p.after(tick, func() {
			n.running[at]--
			v.expected--
			n.core.Unopened(p.now, service)
		})
		p.awaitCopy(r)
		return
	}
	p.after(2*(p.toCaller+toServer), func() { p.send(r, v, n, at) })
}

// send sends the request over an open flow; the instance sees it first.
func (p *player) send(r *request, v *backend, n *node, at int) {
	n.core.Opened(service, 2*(p.toCaller+toServer))
	p.sendLater(r, v, n, at)
}

// sendLater sends a request over a flow that is open already.
func (p *player) sendLater(r *request, v *backend, n *node, at int) {
	r.sent = p.now
	p.after(toServer, func() {
		switch {
		case v.running < p.slots:
			v.running++
			p.run(r, v, n, at)
		case len(v.waiting) < p.queue:
			v.waiting = append(v.waiting, r)
		default:
			p.answer(r, n, at, false)
		}
	})
}

// workSpread is the standard deviation of the logarithm of the work.
const workSpread = 0.47

func (p *player) run(r *request, v *backend, n *node, at int) {
	took := time.Duration(float64(p.work[r.class]) * math.Exp(workSpread*p.random.NormFloat64()-workSpread*workSpread/2))
	p.after(took, func() {
		p.answer(r, n, at, true)
		if len(v.waiting) == 0 {
			v.running--
			return
		}
		next := v.waiting[0]
		v.waiting = v.waiting[1:]
		p.run(next, v, next.node, at)
	})
}

func (p *player) answer(r *request, n *node, at int, good bool) {
	p.after(p.toCaller, func() {
		if !good {
			p.attempt(r)
		} else if !r.ended {
			r.ended = true
			p.record(r)
		}
		if p.longFlows && r.class > 0 && good {
			p.idle[r.caller] = append(p.idle[r.caller], &openFlow{node: n, at: at})
		}
	})
	p.after(2*p.toCaller, func() {
		n.running[at]--
		p.backends[at].expected--
		if r.later {
			return
		}
		n.core.Answered(p.now, service, routes[r.class], p.now-r.sent, good || !p.flags)
	})
}

func (p *player) record(r *request) {
	if !r.counted {
		return
	}
	p.served++
	if p.now-r.started > p.targets[r.class] {
		return
	}
	p.onTime++
	if r.class == 0 {
		p.urgentOnTime++
	}
}

// tick does an instance's periodic work, and sends a report to one other instance of the
// data centre about three times a second.
func (p *player) tick(n *node) {
	sum, slots := 0.0, 0
	for i, v := range p.backends {
		n.average[i] += 0.2 * (float64(n.running[i]) - n.average[i])
		total := float64(v.running + len(v.waiting))
		v.average += 0.2 / float64(len(p.nodes)) * (total - v.average)
		if !v.gone {
			sum += v.average
			slots += p.slots
		}
	}
	own := 0
	for _, running := range n.running {
		own += running
	}
	n.core.SetLoad(service, admission.Load{Capacity: float64(slots), Running: sum, Own: own, Instances: len(p.nodes)})
	n.core.Tick(p.now)
	p.release(n)
	if to := p.nodes[p.random.IntN(len(p.nodes))]; p.reports > p.random.Float64() && to.centre == n.centre && to != n {
		to.core.Receive(p.now, n.core.Pressures())
	}
	if p.now > p.crowdTo()-tick && p.now <= p.crowdTo() {
		for _, r := range n.core.Pressures() {
			p.levels = append(p.levels, r.Level)
		}
	}
	p.after(tick, func() { p.tick(n) })
}

// String returns the figures in one line.
func (f figures) String() string {
	return fmt.Sprintf("goodput %.3f, urgent on time %d of %d, attempts a served one %.3f, refused before %d and 1 s after %d, levels %.2f",
		f.goodput(), f.urgentOnTime, f.urgentAsked, f.attempts(), f.refusedBefore, f.refusedAfterSecond, f.levels)
}

// goodput returns the answers on time to the crowd's requests, in capacities.
func (f figures) goodput() float64 {
	return float64(f.onTime) / f.seconds / f.carried
}

// attempts returns the attempts at servers for each request that was served.
func (f figures) attempts() float64 { return float64(f.atServers) / float64(max(f.served, 1)) }

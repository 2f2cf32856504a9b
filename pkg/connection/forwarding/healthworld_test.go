package forwarding_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/clock"
	"github.com/tanagerweir/tanagerweir/pkg/connection/capacity"
	"github.com/tanagerweir/tanagerweir/pkg/connection/forwarding"
	"github.com/tanagerweir/tanagerweir/pkg/connection/mark"
	"github.com/tanagerweir/tanagerweir/pkg/connection/segment"
	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
)

// degradation is how a server misbehaves.
type degradation string

const (
	none   degradation = ""
	slow   degradation = "slow"   // work takes 6 times as long
	errs   degradation = "errors" // half of the requests get a short answer at once
	shed   degradation = "shed"   // the same, of six in ten
	hang   degradation = "hang"   // neither openings nor requests are answered
	resets degradation = "reset"  // half of the requests are reset
	mute   degradation = "mute"   // flows open, and half of the requests get no answer
)

const (
	worldWork      = 25 * time.Millisecond
	worldTarget    = 250 * time.Millisecond
	worldTimeout   = 2 * time.Second
	worldTrip      = time.Millisecond
	worldSlots     = 2
	worldQueue     = 8
	worldAnswer    = 800.0
	worldErrorSize = 150
)

// healthWorld plays callers and servers against the cores of some instances, which exchange
// reports, in virtual time.
type healthWorld struct {
	now       time.Duration
	random    *rand.Rand
	events    eventQueue
	cores     []*forwarding.Core
	directory directory.Directory
	servers   map[mark.Mark]*modelServer
	order     []*modelServer
	port      int
	// rate is the number of requests a second, and badInstance an instance of whose packets
	// loss are lost.
	rate        float64
	badInstance int
	loss        float64
	// since is from when on attempts count. attempts, lost, late and unserved are those that
	// began, failed at a degraded server, were answered late, and the requests of which no
	// attempt was answered.
	since                          time.Duration
	attempts, lost, late, unserved int
	// ejections are the servers that an instance ejected, and greatest the most at a time.
	ejections map[string]int
	ejected   []map[string]bool
	greatest  int
}

type modelServer struct {
	id      string
	kind    degradation
	running int
	waiting []func()
	// placed and shed are the numbers of opening packets that arrived, and of requests that
	// found the queue full.
	placed, shed int
}

type event struct {
	at    time.Duration
	order int
	do    func()
}

type eventQueue struct {
	list  []event
	count int
}

func (q *eventQueue) Len() int { return len(q.list) }
func (q *eventQueue) Less(a, b int) bool {
	return q.list[a].at < q.list[b].at || q.list[a].at == q.list[b].at && q.list[a].order < q.list[b].order
}
func (q *eventQueue) Swap(a, b int) { q.list[a], q.list[b] = q.list[b], q.list[a] }
func (q *eventQueue) Push(x any)    { q.list = append(q.list, x.(event)) }
func (q *eventQueue) Pop() any {
	e := q.list[len(q.list)-1]
	q.list = q.list[:len(q.list)-1]
	return e
}

func (w *healthWorld) after(d time.Duration, do func()) {
	w.events.count++
	heap.Push(&w.events, event{at: w.now + d, order: w.events.count, do: do})
}

// newHealthWorld returns instances of one data centre, and servers of which worldLoad keeps
// a part busy.
func newHealthWorld(seed uint64, instances, servers int, h forwarding.HealthOptions) *healthWorld {
	w := &healthWorld{
		random: rand.New(rand.NewPCG(seed, 7)), servers: make(map[mark.Mark]*modelServer), badInstance: -1, ejections: make(map[string]int),
		rate: worldLoad * float64(servers*worldSlots) / worldWork.Seconds(),
	}
	c := directory.Configuration{
		Version: 1, Services: []directory.Service{{Name: feedService, ColdFor: 2 * time.Second, ColdRate: 4}},
		Routes: []directory.Route{
			{Endpoint: feedRoute, Kind: directory.Repeatable, Target: worldTarget, Timeout: worldTimeout, Shares: []directory.Share{{Service: feedService, Weight: 1}}},
			{Endpoint: signoffRoute, Target: worldTarget, Timeout: worldTimeout, Shares: []directory.Share{{Service: feedService, Weight: 1}}},
		},
	}
	d := directory.New().WithConfiguration(c)
	for n := range servers {
		s := directory.Server{
			ID: fmt.Sprintf("i-%04x", n), Number: uint64(n + 1), Service: feedService, DataCentre: near, Slots: worldSlots, Revision: 1,
			Endpoint: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 8080),
		}
		d = d.WithServer(s)
		v := &modelServer{id: s.ID}
		w.servers[mark.Of(s.ID)], w.order = v, append(w.order, v)
	}
	for n := range instances {
		d = d.WithInstance(directory.Instance{Name: fmt.Sprint("entry-", n), DataCentre: near})
	}
	w.directory = d
	for n := range instances {
		core := forwarding.New(forwarding.Options{Name: fmt.Sprint("entry-", n), DataCentre: near, Seed: seed + uint64(n), ColdFactor: 1.5, ColdSlack: 5, Health: h})
		w.cores, w.ejected = append(w.cores, core), append(w.ejected, make(map[string]bool))
		core.Confirm(0, clock.At(1))
		core.Adopt(0, d)
		w.after(time.Duration(n)*time.Millisecond, func() { w.tick(n) })
		w.after(time.Duration(n)*time.Millisecond, func() { w.report(n) })
	}
	w.after(0, w.arrive)
	return w
}

func (w *healthWorld) run(until time.Duration) {
	for len(w.events.list) > 0 && w.events.list[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

// degrade makes a part of the servers misbehave, and the others healthy.
func (w *healthWorld) degrade(part float64, kind degradation) {
	for n, v := range w.order {
		v.kind = none
		if n < int(math.Round(part*float64(len(w.order)))) {
			v.kind = kind
		}
	}
}

func (w *healthWorld) tick(n int) {
	c := w.cores[n]
	c.Confirm(w.now, clock.At(w.now))
	c.Tick(w.now, maxFlow)
	for _, e := range c.HealthEvents() {
		switch e.Now.String() {
		case "Ejected":
			w.ejections[e.Server]++
			w.ejected[n][e.Server] = true
		default:
			delete(w.ejected[n], e.Server)
		}
	}
	if states := c.HealthStates(w.now); states != nil {
		w.greatest = max(w.greatest, states[capacity.Probed]+states[capacity.Ejected])
	}
	w.after(100*time.Millisecond, func() { w.tick(n) })
}

// report sends an instance's loads to two others, each 0.25 s.
func (w *healthWorld) report(n int) {
	loads := w.cores[n].Loads(w.now)
	for range min(2, len(w.cores)-1) {
		to := (n + 1 + w.random.IntN(len(w.cores)-1)) % len(w.cores)
		w.cores[to].ReceiveLoads(w.now, fmt.Sprint("entry-", n), loads, len(w.cores)-1)
	}
	w.after(250*time.Millisecond, func() { w.report(n) })
}

func (w *healthWorld) arrive() {
	route := feedRoute
	if w.random.IntN(4) == 0 {
		route = signoffRoute
	}
	w.attempt(route, netip.AddrFrom4([4]byte{100, 64, byte(w.random.IntN(4)), byte(w.random.IntN(256))}), 1)
	w.after(time.Duration(w.random.ExpFloat64()/w.rate*float64(time.Second)), w.arrive)
}

// modelFlow is one attempt at a request, in a flow of its own.
type modelFlow struct {
	*caller
	instance int
	server   *modelServer
	ended    bool
	began    time.Duration
	again    func(opened bool)
	opened   bool
}

// attempt opens a flow for a request, for the n-th time.
func (w *healthWorld) attempt(route netip.AddrPort, from netip.Addr, n int) {
	w.port++
	f := &modelFlow{caller: newCallerAt(netip.AddrPortFrom(from, uint16(1024+w.port%60000)), route), instance: w.random.IntN(len(w.cores)), began: w.now}
	f.again = func(opened bool) {
		f.ended = true
		counts := f.began >= w.since
		if counts && f.server != nil && f.server.kind != none {
			w.lost++
		}
		switch {
		case n < 3 && (route == feedRoute || !opened):
			w.attempt(route, from, n+1)
		case counts:
			w.unserved++
		}
	}
	if f.began >= w.since {
		w.attempts++
	}
	for copies, at := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		w.after(at, func() { w.openModel(f, copies) })
	}
	w.after(1400*time.Millisecond, func() {
		if !f.opened && !f.ended {
			f.again(false)
		}
	})
}

// send passes a packet to the flow's instance, and returns where it goes.
func (w *healthWorld) send(f *modelFlow, s segment.Segment) (*modelServer, bool) {
	d := w.cores[f.instance].Decide(w.now, s)
	if d.Verdict != forwarding.Forward || f.instance == w.badInstance && w.random.Float64() < w.loss {
		return nil, d.Verdict == forwarding.Reset
	}
	if s.Flags.Has(segment.Open) {
		f.mark = uint32(d.Mark)
	}
	return w.servers[d.Mark], false
}

func (w *healthWorld) openModel(f *modelFlow, copies int) {
	if f.opened || f.ended {
		return
	}
	v, reset := w.send(f, f.open(copies))
	f.server = v
	if reset {
		f.again(false)
	}
	if v == nil || v.kind == hang {
		return
	}
	v.placed++
	w.after(2*worldTrip, func() {
		if f.opened || f.ended {
			return
		}
		f.opened, f.server = true, v
		f.mark = uint32(mark.Of(v.id))
		w.sendRequest(f, f.request(), 0)
		w.after(worldTimeout, func() {
			if !f.ended {
				s := f.finish()
				s.Flags = segment.Abort
				w.send(f, s)
				f.again(true)
			}
		})
	})
}

// sendRequest sends a request until it arrives.
func (w *healthWorld) sendRequest(f *modelFlow, s segment.Segment, repeats int) {
	if f.ended {
		return
	}
	if v, _ := w.send(f, s); v == nil {
		w.after(200*time.Millisecond<<repeats, func() { w.sendRequest(f, s, min(repeats+1, 3)) })
		return
	}
	v := f.server
	misbehaves := w.random.Float64() < 0.5
	switch {
	case v.kind == hang, v.kind == mute && misbehaves:
	case v.kind == resets && misbehaves:
		w.after(2*worldTrip, func() { f.again(true) })
	case v.kind == errs && misbehaves, v.kind == shed && w.random.Float64() < 0.6:
		w.answer(f, worldErrorSize, false)
	case v.running < worldSlots:
		w.work(v, f)
	case len(v.waiting) < worldQueue:
		v.waiting = append(v.waiting, func() { w.work(v, f) })
	default:
		v.shed++
		w.answer(f, worldErrorSize, false)
	}
}

func (w *healthWorld) work(v *modelServer, f *modelFlow) {
	v.running++
	took := w.logNormal(float64(worldWork))
	if v.kind == slow {
		took *= 6
	}
	w.after(time.Duration(took), func() {
		v.running--
		w.answer(f, int(w.logNormal(worldAnswer)), true)
		if len(v.waiting) > 0 {
			next := v.waiting[0]
			v.waiting = v.waiting[1:]
			next()
		}
	})
}

// logNormal draws from a log-normal distribution with that mean and a spread of half of it.
func (w *healthWorld) logNormal(mean float64) float64 {
	const sigma = 0.47
	return mean * math.Exp(sigma*w.random.NormFloat64()-sigma*sigma/2)
}

func (w *healthWorld) answer(f *modelFlow, length int, good bool) {
	w.after(2*worldTrip, func() {
		if f.ended {
			return
		}
		f.acknowledged += uint32(length)
		w.send(f, f.finish())
		if !good {
			f.again(true)
			return
		}
		f.ended = true
		if f.began >= w.since && w.now-f.began > worldTarget {
			w.late++
		}
	})
}

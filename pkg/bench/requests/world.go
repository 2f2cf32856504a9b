package requests

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/bench"
	"github.com/tanagerweir/tanagerweir/pkg/request/dispatch"
	"github.com/tanagerweir/tanagerweir/pkg/request/verdict"
	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
)

// The size of the benchmark: the board service of the users' brief.
const (
	instanceCount = 9
	serverCount   = 15
	slotCount     = 3
	deadline      = 3 * time.Second // of a request
)

// load is a class's share of the offered load, and whether the capacity can serve
// the class when the offered load is three times the capacity.
type load struct {
	class    catalogue.Class
	share    float64
	servable bool
}

// loads returns the classes of the benchmark: two small ones, which fit into the
// capacity at triple load, and uploads, which don't.
func loads() []load {
	target := func(share float64, within time.Duration) catalogue.Target {
		return catalogue.Target{Share: share, Within: within, Window: time.Hour}
	}
	return []load{
		{share: 0.15, servable: true, class: catalogue.Class{Name: "feed", Service: "board", Target: target(0.95, time.Second), Repeatable: true}},
		{share: 0.10, servable: true, class: catalogue.Class{Name: "sign-off", Service: "board", Target: target(0.99, 500*time.Millisecond)}},
		{share: 0.75, class: catalogue.Class{Name: "upload", Service: "board", Target: target(0.9, 2*time.Second), Repeatable: true}},
	}
}

func dataCentre(n int) string { return fmt.Sprintf("dakar-%d", n%3+1) }

// configuration returns the catalogue of the board service.
func configuration() catalogue.Catalogue {
	parts := catalogue.Parts{Version: 1, Services: []catalogue.Service{{Name: "board", Protocol: catalogue.TCP}}}
	for n := range 3 {
		parts.DataCentres = append(parts.DataCentres, catalogue.DataCentre{Name: dataCentre(n), State: catalogue.DataCentreIn})
	}
	for _, l := range loads() {
		parts.Classes = append(parts.Classes, l.class)
	}
	for n := range serverCount {
		parts.Backends = append(parts.Backends, catalogue.Backend{
			Name: fmt.Sprintf("board-%02d", n), Service: "board", DataCentre: dataCentre(n), Slots: slotCount,
			Requests: netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(n + 1)}), 80),
			State:    catalogue.BackendActive,
		})
	}
	return catalogue.FromParts(parts)
}

// world is the simulation of one run: the instances of one design, their callers
// and the backend servers.
type world struct {
	timeline
	design      string
	seed        uint64
	random      *rand.Rand
	instances   []balancer
	servers     map[string]*server
	serverNames []string // sorted
	// waiters has, for each instance and by ticket, what to call when a waiting
	// request is decided.
	waiters    []map[string]func(dispatch.Attempt, *verdict.Error)
	loadFactor float64 // offered load over capacity
	counts     counts
}

// counts are what a run measures from one time until another. Requests that begin
// in between are counted, also if they end later.
type counts struct {
	from         time.Time
	until        time.Time
	began        map[string]int // requests, by class
	inTime       map[string]int // requests answered within the target, by class
	workDone     time.Duration  // for answers that arrived in time and before until
	requestsSent int            // requests with at least one attempt
	attempts     int
}

// startCounting sets all counts to zero and counts for that time.
func (w *world) startCounting(span time.Duration) {
	w.counts = counts{
		from: w.clock(), until: w.clock().Add(span),
		began: make(map[string]int), inTime: make(map[string]int),
	}
}

func (c counts) covers(at time.Time) bool { return !at.Before(c.from) && at.Before(c.until) }

// newWorld returns a world without load, whose instances have the configuration.
func newWorld(design string, seed uint64) *world {
	w := &world{
		design: design, seed: seed, random: rand.New(rand.NewPCG(seed, 1)),
		servers: make(map[string]*server),
	}
	w.startCounting(0)
	c := configuration()
	for _, b := range c.Backends() {
		w.servers[b.Name] = &server{timeline: &w.timeline, random: w.random, slots: int(b.Slots)}
		w.serverNames = append(w.serverNames, b.Name)
	}
	for n := range instanceCount {
		w.instances = append(w.instances, w.instance(n, c))
		w.waiters = append(w.waiters, make(map[string]func(dispatch.Attempt, *verdict.Error)))
		w.tick(n)
	}
	w.scheduleArrival()
	return w
}

func member(n int) dispatch.Member {
	return dispatch.Member{Name: fmt.Sprintf("entry-%d", n+1), DataCentre: dataCentre(n)}
}

// instance returns the balancer of the n-th instance.
func (w *world) instance(n int, c catalogue.Catalogue) balancer {
	if w.design != bench.Tanagerweir {
		return newBaseline(w.design, c, rand.New(rand.NewPCG(w.seed, uint64(n))), instanceCount)
	}
	core := dispatch.New(member(n), uint64(n+1), w.seed)
	core.SetConfiguration(w.clock(), c)
	var members []dispatch.Member
	for m := range instanceCount {
		members = append(members, member(m))
	}
	core.SetMembers(members, members)
	return core
}

// tick delivers the decisions that an instance has made as time passed, and
// schedules the next tick.
func (w *world) tick(n int) {
	if w.instances[n].Waiting() > 0 {
		w.deliverDecisions(n)
	}
	w.after(dispatch.TickPeriod, func() { w.tick(n) })
}

// deliverDecisions continues the waiting requests that an instance has decided.
func (w *world) deliverDecisions(n int) {
	for _, d := range w.instances[n].Ready(w.clock()) {
		decided := w.waiters[n][d.Attempt.Ticket]
		delete(w.waiters[n], d.Attempt.Ticket)
		decided(d.Attempt, d.Refusal)
	}
}

// scheduleArrival schedules the next request. Requests arrive in a Poisson process
// at the rate of the load.
func (w *world) scheduleArrival() {
	rate := w.loadFactor * serverCount * slotCount / meanWork.Seconds()
	if rate == 0 {
		w.after(time.Second, w.scheduleArrival)
		return
	}
	gap := time.Duration(w.random.ExpFloat64() / rate * float64(time.Second))
	w.after(gap, func() {
		w.beginRequest()
		w.scheduleArrival()
	})
}

// randomClass returns a class drawn by the classes' shares of the load.
func (w *world) randomClass() catalogue.Class {
	rest := w.random.Float64()
	offered := loads()
	for _, l := range offered {
		rest -= l.share
		if rest < 0 {
			return l.class
		}
	}
	return offered[len(offered)-1].class
}

// beginRequest submits a request to a random instance.
func (w *world) beginRequest() {
	class := w.randomClass()
	n := w.random.IntN(instanceCount)
	if w.counts.covers(w.clock()) {
		w.counts.began[class.Name]++
	}
	r := dispatch.Request{Class: class.Name, Deadline: w.clock().Add(deadline)}
	a, refusal := w.instances[n].Begin(w.clock(), r)
	if refusal == nil {
		w.proceed(n, a)
	}
	w.deliverDecisions(n)
}

// proceed sends an attempt, at once or when the instance has decided about it.
func (w *world) proceed(n int, a dispatch.Attempt) {
	if !a.Waiting {
		w.send(n, a)
		return
	}
	w.waiters[n][a.Ticket] = func(a dispatch.Attempt, refusal *verdict.Error) {
		if refusal == nil {
			w.send(n, a)
		}
	}
}

// send counts an attempt and sends it to its backend server.
func (w *world) send(n int, a dispatch.Attempt) {
	w.counts.attempts++
	if a.Number == 1 {
		w.counts.requestsSent++
	}
	wait := a.NotBefore.Sub(w.clock())
	w.after(wait+networkDelay, func() {
		w.servers[a.Backend.Name].arrive(
			func(work time.Duration) { w.handleAnswer(n, a, work, dispatch.Outcome{Verdict: verdict.Ran}) },
			func(cold bool) {
				w.handleAnswer(n, a, 0, dispatch.Outcome{Verdict: verdict.NotRun, Cause: dispatch.CauseRefused, Cold: cold})
			})
	})
}

// recordServed counts a request that was answered in time.
func (w *world) recordServed(a dispatch.Attempt, work time.Duration) {
	if w.counts.covers(a.Began) {
		w.counts.inTime[a.Class.Name]++
	}
	if w.counts.covers(w.clock()) {
		w.counts.workDone += work
	}
}

// handleAnswer takes a backend server's answer to the instance, which may make
// another attempt.
func (w *world) handleAnswer(n int, a dispatch.Attempt, work time.Duration, o dispatch.Outcome) {
	w.after(networkDelay, func() {
		if o.Verdict == verdict.Ran && w.clock().Sub(a.Began) <= a.Class.Target.Within {
			w.recordServed(a, work)
		}
		next, retry := w.instances[n].Complete(w.clock(), a, o)
		if retry {
			w.proceed(n, next)
		}
		w.deliverDecisions(n)
	})
}

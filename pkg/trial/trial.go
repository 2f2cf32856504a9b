package trial

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/process/listing"
	"github.com/tanagerweir/tanagerweir/pkg/trace"
	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
)

const (
	samplePeriod            = 250 * time.Millisecond
	firstConfigurationAfter = 500 * time.Millisecond // between the start and the first configuration
	fabricDelay             = time.Second            // until the fabric notices that an instance started or ended
	seedStream              = 7                      // PCG stream of the trial's random numbers
)

// startTime is the simulated time at which every trial begins.
var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Trial is one simulated run of a deployment.
type Trial struct {
	Platform *Platform

	plan            Plan
	now, began      time.Time
	queue           queue
	eventCount      uint64
	random          *rand.Rand
	cuts            map[pair]int
	instanceNames   []string
	nodes           map[string]*Node
	heldBack        map[string]bool // instances that start later than the others
	receiving       map[string]bool // instances that the fabric distributes packets to
	backends        []*Backend
	backendsByName  map[string]*Backend
	flows           []*Flow
	requestCount    int
	operationCount  int
	outSince        map[string]time.Time
	accepted        catalogue.Catalogue
	acceptedAt      time.Time
	emergencyMarks  []catalogue.Mark // all that operators made
	violations      []Violation
	lastDisturbance time.Time
	counts          Counts
	recorder        *recorder
}

// New returns a trial of a deployment. Run starts the instances and makes the
// first configuration.
func New(p Plan, seed uint64) *Trial {
	t := &Trial{
		plan: p, now: startTime, began: startTime,
		random:         rand.New(rand.NewPCG(seed, seedStream)),
		cuts:           make(map[pair]int),
		nodes:          make(map[string]*Node),
		heldBack:       make(map[string]bool),
		receiving:      make(map[string]bool),
		backendsByName: make(map[string]*Backend),

		outSince: make(map[string]time.Time),
	}
	t.Platform = &Platform{trial: t, claims: make(map[string]storedClaim)}
	for _, b := range p.backends() {
		backend := newBackend(t, b)
		t.backends = append(t.backends, backend)
		t.backendsByName[b.Name] = backend
	}
	for _, c := range p.Centres {
		for n := range c.Instances {
			name := instanceName(c, n)
			t.instanceNames = append(t.instanceNames, name)
			t.nodes[name] = &Node{Name: name, Centre: c.Name, trial: t}
		}
	}
	return t
}

func instanceName(c Centre, n int) string { return fmt.Sprintf("%s-entry-%d", c.Name, n+1) }

// boot starts every instance, schedules the first configuration and the
// periodic checks.
func (t *Trial) boot() {
	for _, name := range t.instanceNames {
		if !t.heldBack[name] {
			t.receiving[name] = true
			t.nodes[name].start()
		}
	}
	t.publishList()
	t.after(firstConfigurationAfter, func() { t.Change(firstOperator, t.plan.changes()...) })
	t.every(samplePeriod, func() bool {
		t.checkConfigurations()
		return true
	})
}

// Run runs the trial up to a time since its beginning and returns the
// violations of promises. It may be called once.
func (t *Trial) Run(until time.Duration) []Violation {
	t.boot()
	end := t.began.Add(until)
	for len(t.queue) > 0 && !t.queue[0].at.After(end) {
		e := heap.Pop(&t.queue).(event)
		t.now = e.at
		e.action()
	}
	t.now = end
	t.checkSilence()
	return t.violations
}

// Schedule schedules action for d from now. Before Run, now is the beginning of
// the trial.
func (t *Trial) Schedule(d time.Duration, action func()) { t.after(d, action) }

// Random returns the trial's source of random numbers.
func (t *Trial) Random() *rand.Rand { return t.random }

// Plan returns the deployment.
func (t *Trial) Plan() Plan { return t.plan }

// Instances returns the instances that are running and not leaving.
func (t *Trial) Instances() []*Node {
	var instances []*Node
	for _, name := range t.instanceNames {
		if n := t.nodes[name]; n.alive && !n.leaving {
			instances = append(instances, n)
		}
	}
	return instances
}

// Backends returns the backend servers of a service that are in the accepted
// configuration and not leaving.
func (t *Trial) Backends(service string) []*Backend {
	var backends []*Backend
	for _, b := range t.backends {
		stored, ok := t.accepted.Backend(b.Name)
		if ok && stored.Service == service && b.leavingSince.IsZero() {
			backends = append(backends, b)
		}
	}
	return backends
}

// HoldBack keeps the last instance of a data centre from starting with the
// others. The returned function starts it with empty state.
func (t *Trial) HoldBack(centre string) (start func()) {
	for _, name := range slices.Backward(t.instanceNames) {
		n := t.nodes[name]
		if n.Centre == centre && !t.heldBack[name] {
			t.heldBack[name] = true
			return func() { t.Join(n) }
		}
	}
	return func() {}
}

// Join starts an instance that is not running, with empty state.
func (t *Trial) Join(n *Node) {
	t.noteDisturbance(0)
	t.restart(n)
}

// Kill ends an instance without warning. An instance of the same name starts
// with empty state after the duration restart.
func (t *Trial) Kill(n *Node, restart time.Duration) {
	if !n.alive {
		return
	}
	t.noteDisturbance(restart)
	t.endInstance(n)
	t.after(fabricDelay, func() { t.updateFabric(n) })
	t.after(restart, func() { t.restart(n) })
}

// endInstance ends an instance. Its requests in flight or waiting get the
// verdict MayHaveRun, and are violations if the instance was stopping as
// planned.
func (t *Trial) endInstance(n *Node) {
	n.alive = false
	t.record(trace.Line{Input: trace.Kill, Instance: n.Name})
	for _, key := range slices.SortedFunc(maps.Keys(n.pending), compareAttemptKeys) {
		s := n.pending[key]
		if n.leaving {
			t.violate(StopCutsNothing, "%s stopped with %s in flight", n.Name, s.request.identifier)
		}
		t.after(t.plan.CallerDelay, func() { t.connectionLost(s) })
	}
	for _, ticket := range slices.Sorted(maps.Keys(n.waiting)) {
		s := n.waiting[ticket]
		if n.leaving {
			t.violate(StopCutsNothing, "%s stopped with %s waiting", n.Name, s.request.identifier)
		}
		t.after(t.plan.CallerDelay, func() { t.connectionLost(s) })
	}
	n.pending, n.waiting = nil, nil
}

func (t *Trial) restart(n *Node) {
	if n.alive {
		return
	}
	n.start()
	t.publishList()
	t.after(fabricDelay, func() { t.updateFabric(n) })
}

// updateFabric updates whether the fabric distributes packets to n.
func (t *Trial) updateFabric(n *Node) { t.receiving[n.Name] = n.alive && !n.leaving }

// Freeze pauses an instance for d. It handles what arrived meanwhile after the
// pause.
func (t *Trial) Freeze(n *Node, d time.Duration) {
	t.noteDisturbance(d)
	if until := t.now.Add(d); n.alive && until.After(n.frozenUntil) {
		n.frozenUntil = until
	}
}

// Stop stops an instance as planned: it leaves, waits up to stopGrace until its
// requests have ended and the fabric sends it nothing more, and ends. An
// instance of the same name starts with empty state after the duration restart.
func (t *Trial) Stop(n *Node, restart time.Duration) {
	if !n.alive || n.leaving {
		return
	}
	t.noteDisturbance(restart + stopGrace)
	n.leaving = true
	limit := t.now.Add(stopGrace)
	n.do(func() {
		n.cores.Leave()
		t.record(trace.Line{Input: trace.Leave, Instance: n.Name})
	})
	t.publishList()
	t.after(fabricDelay, func() { t.updateFabric(n) })
	n.loop(stopPeriod, func() {
		if t.now.Before(limit) && (len(n.pending)+len(n.waiting) > 0 || t.receiving[n.Name]) {
			return
		}
		t.endInstance(n)
		t.publishList()
		t.after(restart, func() { t.restart(n) })
	})
}

// anyInstance draws the instance to which the fabric sends a packet or request,
// nil if there is none.
func (t *Trial) anyInstance() *Node {
	var names []string
	for _, name := range t.instanceNames {
		if t.receiving[name] {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return nil
	}
	return t.nodes[names[t.random.IntN(len(names))]]
}

// publishList publishes the present state of instances and backend servers on
// the platform's list.
func (t *Trial) publishList() {
	var entries []listing.Entry
	for _, name := range t.instanceNames {
		n := t.nodes[name]
		if n.alive {
			e := n.endpoint()
			entries = append(entries, listing.Entry{
				Name: name, Kind: listing.EntryInstance, DataCentre: n.Centre, State: stateOf(n.leaving),
				Packets: e, Passed: e, Requests: e, Admin: e, Peer: e,
			})
		}
	}
	for i, b := range t.plan.backends() {
		entries = append(entries, listing.Entry{
			Name: b.Name, Kind: listing.BackendServer, DataCentre: b.DataCentre,
			State: stateOf(t.backends[i].selfLeaving), Packets: b.Packets, Requests: b.Requests, Slots: b.Slots,
		})
	}
	t.Platform.publish(entries)
}

func stateOf(leaving bool) listing.State {
	if leaving {
		return listing.Leaving
	}
	return listing.Live
}

// checkConfigurations checks that the newest configuration and all emergency
// marks are in force wherever they must be by now.
func (t *Trial) checkConfigurations() {
	reachable := t.reachableInstances()
	for _, name := range t.instanceNames {
		n := t.nodes[name]
		if !n.alive || !reachable[name] {
			n.lastUnreachable = t.now
			continue
		}
		if n.mustReflect(t.acceptedAt) && !t.obeysMarks(n) {
			t.violate(ConfigurationStands, "%s does not apply an emergency mark %s after it was made", name, t.now.Sub(t.acceptedAt))
		}
		if n.mustReflect(t.acceptedAt) && n.cores.Version() < t.accepted.Version() {
			t.violate(ConfigurationStands, "%s has version %d in force, %d was accepted %s ago",
				name, n.cores.Version(), t.accepted.Version(), t.now.Sub(t.acceptedAt))
		}
	}
}

// reachableInstances returns the instances that can receive the newest
// configuration: from the platform, or through other instances from one that
// has it.
func (t *Trial) reachableInstances() map[string]bool {
	reached := make(map[string]bool)
	var found []*Node
	for _, name := range t.instanceNames {
		n := t.nodes[name]
		if n.alive && !n.frozen() && t.canLearnNewest(n) {
			reached[name] = true
			found = append(found, n)
		}
	}
	for len(found) > 0 {
		from := found[0]
		found = found[1:]
		for _, name := range t.instanceNames {
			n := t.nodes[name]
			if n.alive && !n.frozen() && !reached[name] && from.connectedTo(n) {
				reached[name] = true
				found = append(found, n)
			}
		}
	}
	return reached
}

// canLearnNewest reports whether n has the newest configuration and marks or can
// read them from the platform.
func (t *Trial) canLearnNewest(n *Node) bool {
	if n.cores.Version() >= t.accepted.Version() && t.obeysMarks(n) {
		return true
	}
	for _, m := range t.emergencyMarks {
		if !t.accepted.Reflects(m) {
			return false
		}
	}
	return t.Platform.down == 0 && n.isolated == 0 && t.connected(n.Centre, platformLocation)
}

// obeysMarks reports whether every emergency mark, or a later one for its data
// centre, is in force at n.
func (t *Trial) obeysMarks(n *Node) bool {
	for _, m := range t.emergencyMarks {
		if !n.cores.Obeys(m) {
			return false
		}
	}
	return true
}

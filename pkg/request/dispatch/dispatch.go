// Package dispatch chooses backend servers for requests and decides on retries.
//
// A Core is one instance's decision state for requests. Begin admits a
// request and names the backend server for its first attempt, queues it until
// a slot is free, or refuses it; Complete takes the outcome of an attempt and
// returns the next attempt, if there is one. A request that may not be repeated
// gets another attempt only after NotRun.
//
// # Usage
//
//	attempt, refusal := core.Begin(now, request)
//	for {
//		if attempt.Waiting {
//			attempt, refusal = await(core.Ready) // by ticket
//		}
//		if refusal != nil {
//			return refusal
//		}
//		outcome := send(attempt)
//		next, again := core.Complete(now, attempt, outcome)
//		if !again {
//			return attempt.Verdict(outcome.Verdict)
//		}
//		attempt = next
//	}
//
// After each Complete, and at least every TickPeriod while Waiting is above
// zero, the caller calls Ready for the attempts whose wait is over.
//
// A Core does no I/O and is not safe for use from several goroutines.
package dispatch

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/request/budget"
	"github.com/tanagerweir/tanagerweir/pkg/request/verdict"
	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
	"github.com/tanagerweir/tanagerweir/pkg/version/health"
)

// TickPeriod is the longest time between two calls of Ready while requests wait.
const TickPeriod = 5 * time.Millisecond

const (
	retryHintBase  = 200 * time.Millisecond // shortest RetryAfter of a refusal, before jitter
	retryHintLimit = 5 * time.Second        // longest one, before jitter
)

// Core decides on the requests that arrive at one instance.
type Core struct {
	self           Member
	incarnation    uint64
	sequence       uint64 // of the last ticket
	random         *rand.Rand
	members        members
	configuration  catalogue.Catalogue
	groups         []*group // sorted by service
	byService      map[string]*group
	servers        map[string]*server     // by name
	classes        map[string]*classState // by name
	reportedStates map[string]health.State
	retryBudget    retryBudget
	ready          []Decision // for the next call of Ready
	waiting        int        // waiting attempts of all classes
	counts         *budget.Counters
	notes          notes
	stopping       bool
}

// New returns the core of one incarnation of an instance, without a
// configuration. seed seeds its random decisions.
func New(self Member, incarnation, seed uint64) *Core {
	return &Core{
		self:           self,
		incarnation:    incarnation,
		random:         rand.New(rand.NewPCG(seed, incarnation)),
		members:        membersOf(self, nil, nil),
		servers:        make(map[string]*server),
		classes:        make(map[string]*classState),
		reportedStates: make(map[string]health.State),
		counts:         budget.NewCounters(),
	}
}

// SetConfiguration replaces the configuration. The state of servers, classes and
// services that both configurations hold is kept.
func (c *Core) SetConfiguration(now time.Time, next catalogue.Catalogue) {
	c.configuration = next
	previous := c.byService
	c.groups = nil
	c.byService = make(map[string]*group, len(next.Services()))
	for _, s := range next.Services() {
		g := &group{service: s.Name}
		if old, ok := previous[s.Name]; ok {
			g.borrowed, g.pass, g.sharesUpdated = old.borrowed, old.pass, old.sharesUpdated
		}
		for _, b := range next.Backends() {
			if b.Service == s.Name && b.State == catalogue.BackendActive && next.TakesPart(b.DataCentre) {
				g.servers = append(g.servers, c.serverOf(now, b))
			}
		}
		for _, l := range next.Classes() {
			if l.Service == s.Name {
				g.classes = append(g.classes, c.classOf(l))
			}
		}
		c.groups = append(c.groups, g)
		c.byService[s.Name] = g
	}
	c.dropRemoved(now)
	c.assignSlots()
}

// serverOf returns the state of a backend server; one whose request endpoint has
// changed starts with new state.
func (c *Core) serverOf(now time.Time, b catalogue.Backend) *server {
	s, ok := c.servers[b.Name]
	if !ok || s.backend.Requests != b.Requests {
		s = &server{backend: b, notes: &c.notes, phaseStart: now}
		c.servers[b.Name] = s
		s.setReported(now, c.reportedStates[b.Name])
	}
	s.backend = b
	return s
}

func (c *Core) classOf(l catalogue.Class) *classState {
	s, ok := c.classes[l.Name]
	if !ok {
		s = newClassState(l)
		c.classes[l.Name] = s
	}
	s.class = l
	return s
}

// dropRemoved drops the state of servers and classes that the configuration no
// longer holds, and refuses the requests that wait in those classes. A server
// with attempts in flight stays.
func (c *Core) dropRemoved(now time.Time) {
	for name, s := range c.servers {
		if _, ok := c.configuration.Backend(name); !ok && s.busy == 0 {
			delete(c.servers, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.classes)) {
		if _, ok := c.configuration.Class(name); ok {
			continue
		}
		s := c.classes[name]
		for _, a := range s.waiting {
			c.waiting--
			c.ready = append(c.ready, c.giveUp(now, s, a, CauseUnknownClass))
		}
		delete(c.classes, name)
	}
}

func (c *Core) assignSlots() {
	for _, g := range c.groups {
		backends := make([]catalogue.Backend, 0, len(g.servers))
		for _, s := range g.servers {
			backends = append(backends, s.backend)
		}
		m := c.members
		alive := assignSlots(m.self.Name, m.alive, g.service, backends)
		known := assignSlots(m.self.Name, m.knownNames(), g.service, backends)
		for i, server := range g.servers {
			server.slots = alive[i]
			server.rampSlots = known[i]
			server.turns = m.turnOrderFor(backends[i])
		}
	}
}

// SetMembers sets the instances that are alive, which share the slots, and all
// that are known. Turns at cold servers and the slots of ramping ones are shared
// between the known ones, so that instances that can't reach each other don't
// overload these servers together.
func (c *Core) SetMembers(alive, known []Member) {
	next := membersOf(c.self, alive, known)
	if next.equal(c.members) {
		return
	}
	c.members = next
	c.assignSlots()
}

// SetConditions updates the reported states of the backend servers in conditions;
// others keep theirs.
func (c *Core) SetConditions(now time.Time, conditions []Condition) {
	for _, condition := range conditions {
		c.reportedStates[condition.Backend] = condition.State
		if s, ok := c.servers[condition.Backend]; ok {
			s.setReported(now, condition.State)
		}
	}
}

// Stop makes Begin refuse every request; those that wait may still be sent.
func (c *Core) Stop() { c.stopping = true }

// Counters returns the counts of the requests that ended.
func (c *Core) Counters() *budget.Counters { return c.counts }

// Waiting returns how many requests wait for a slot.
func (c *Core) Waiting() int { return c.waiting }

// refuseUnknownClass refuses a class that isn't in the configuration, or any
// class while the instance has no configuration.
func (c *Core) refuseUnknownClass() *verdict.Error {
	if c.configuration.Version() == 0 {
		return verdict.New(verdict.NotRun, CauseNoConfiguration, nil).WithRetryAfter(retryHintBase)
	}
	return verdict.New(verdict.NotRun, CauseUnknownClass, nil)
}

// Begin admits r, queues it (Attempt.Waiting), or refuses it; a refusal carries
// NotRun.
func (c *Core) Begin(now time.Time, r Request) (Attempt, *verdict.Error) {
	if c.stopping {
		return Attempt{}, verdict.New(verdict.NotRun, CauseStopping, nil).WithRetryAfter(retryHintBase)
	}
	s, ok := c.classes[r.Class]
	if !ok {
		return Attempt{}, c.refuseUnknownClass()
	}
	g := c.byService[s.class.Service]
	if g == nil || len(g.servers) == 0 {
		return Attempt{}, c.refuse(now, s, CauseNoBackend, retryHintLimit)
	}
	s.arrivals.add(now)
	if !s.canFinish(now, r.Deadline) {
		return Attempt{}, c.refuse(now, s, CauseTooLate, 0)
	}
	c.updateShares(now, g)
	return c.admit(now, g, s, r)
}

// admit queues r and starts the waiting requests that can start. It refuses r
// if its estimated wait is too long or the class's queue is full.
func (c *Core) admit(now time.Time, g *group, s *classState, r Request) (Attempt, *verdict.Error) {
	c.sequence++
	maxWait := s.maxWait(now, r)
	a := Attempt{
		Ticket:    fmt.Sprintf("%s/%d/%d", c.self.Name, c.incarnation, c.sequence),
		Class:     s.class,
		Began:     now,
		NotBefore: now,
		Waiting:   true,
		GiveUpAt:  now.Add(maxWait),
		Request:   r,
	}
	s.pass = max(s.pass, g.pass-burstCredit)
	s.push(a)
	c.waiting++
	c.startWaiting(now, g)
	if started, ok := c.takeReady(a.Ticket); ok {
		return started.Attempt, started.Refusal
	}
	if wait := g.estimateWait(now, s); wait > maxWait || len(s.waiting) > queueLimit {
		s.waiting = s.waiting[:len(s.waiting)-1]
		c.waiting--
		return Attempt{}, c.refuse(now, s, CauseShed, wait-maxWait)
	}
	return a, nil
}

// takeReady removes the decision on that ticket from ready and returns it.
func (c *Core) takeReady(ticket string) (Decision, bool) {
	for i, d := range c.ready {
		if d.Attempt.Ticket == ticket {
			c.ready = slices.Delete(c.ready, i, i+1)
			return d, true
		}
	}
	return Decision{}, false
}

// refuse counts a refusal and returns it with a jittered RetryAfter.
func (c *Core) refuse(now time.Time, s *classState, cause string, after time.Duration) *verdict.Error {
	c.counts.Record(now, s.class.Name, budgetCause(cause))
	after = min(max(after, retryHintBase), retryHintLimit)
	after += time.Duration(c.random.Int64N(int64(after)))
	return verdict.New(verdict.NotRun, cause, nil).WithRetryAfter(after)
}

// startWaiting refuses the waiting requests whose GiveUpAt has passed, and
// starts the others while servers have room.
func (c *Core) startWaiting(now time.Time, g *group) {
	g.waitingChecked = now
	c.refuseExpired(now, g)
	for {
		s := g.nextClass()
		if s == nil {
			return
		}
		chosen, borrowed := g.choose(now, s, c.random)
		if chosen == nil {
			return
		}
		a := s.pop()
		c.waiting--
		g.pass = s.pass
		s.advancePass()
		c.ready = append(c.ready, Decision{Attempt: c.assign(now, g, s, chosen, borrowed, a)})
	}
}

func (c *Core) refuseExpired(now time.Time, g *group) {
	for _, s := range g.classes {
		for _, a := range s.removeExpired(now) {
			c.waiting--
			c.ready = append(c.ready, c.giveUp(now, s, a, CauseShed))
		}
	}
}

// giveUp refuses a waiting request.
func (c *Core) giveUp(now time.Time, s *classState, a Attempt, cause string) Decision {
	refusal := c.refuse(now, s, cause, 0)
	refusal.Verdict = a.Verdict(verdict.NotRun)
	return Decision{Attempt: a, Refusal: refusal}
}

// assign takes a slot of chosen for the next attempt of a request and returns
// that attempt.
func (c *Core) assign(now time.Time, g *group, s *classState, chosen *server, borrowed bool, a Attempt) Attempt {
	chosen.busy++
	s.busy++
	if borrowed {
		g.borrowed.busy++
	}
	a.borrowed = borrowed
	a.Waiting = false
	a.Number++
	a.Backend = chosen.backend
	a.NotBefore = now
	return a
}

// Ready returns the attempts whose wait has ended since its last call. The
// caller owns the slice.
func (c *Core) Ready(now time.Time) []Decision {
	for _, g := range c.groups {
		if c.waiting > 0 && !g.waitingChecked.Equal(now) {
			c.startWaiting(now, g)
		}
	}
	ready := c.ready
	c.ready = nil
	return ready
}

// Abandon removes a waiting attempt whose caller has gone away. It returns false
// if the attempt doesn't wait any more.
func (c *Core) Abandon(a Attempt) bool {
	s, ok := c.classes[a.Class.Name]
	if !ok {
		return false
	}
	for i, w := range s.waiting {
		if w.Ticket == a.Ticket {
			s.waiting = slices.Delete(s.waiting, i, i+1)
			c.waiting--
			return true
		}
	}
	return false
}

// Complete records the outcome of a and returns the next attempt and true if the
// request is retried; that attempt may be a waiting one.
func (c *Core) Complete(now time.Time, a Attempt, o Outcome) (Attempt, bool) {
	c.release(now, a, o)
	s, known := c.classes[a.Class.Name]
	g := c.byService[a.Class.Service]
	if known && g != nil {
		defer c.startWaiting(now, g)
		if next, ok := c.retry(now, g, s, a, o); ok {
			return next, true
		}
	}
	if cause, counts := countedCause(now, a, o); counts {
		c.counts.Record(now, a.Class.Name, cause)
	}
	return Attempt{}, false
}

// release frees the slot of a and updates the state of its server, its class and
// the retry budget by the outcome.
func (c *Core) release(now time.Time, a Attempt, o Outcome) {
	took := now.Sub(a.NotBefore)
	if s, ok := c.servers[a.Backend.Name]; ok && s.backend.Requests == a.Backend.Requests {
		s.busy--
		s.recordOutcome(now, took, a, o, c.random.Float64())
	}
	switch {
	case o.Verdict == verdict.Ran:
		c.retryBudget.answered()
	case o.Cause != CauseCancelled:
		c.retryBudget.failed()
	}
	if s, ok := c.classes[a.Class.Name]; ok {
		s.busy--
		if o.Verdict == verdict.Ran {
			s.recordAnswer(took)
		}
	}
	if g := c.byService[a.Class.Service]; g != nil && a.borrowed {
		c.releaseBorrowed(now, g, o)
	}
}

func (c *Core) releaseBorrowed(now time.Time, g *group, o Outcome) {
	g.borrowed.busy = max(0, g.borrowed.busy-1)
	switch {
	case o.Verdict == verdict.Ran:
		g.borrowed.answered(g.totalSlots())
	case o.Cause == CauseRefused:
		g.borrowed.refused(now, c.random.Float64())
	}
}

// retry returns the next attempt for a request, ready to be sent or waiting for
// a slot, and false if the request isn't retried.
func (c *Core) retry(now time.Time, g *group, s *classState, a Attempt, o Outcome) (Attempt, bool) {
	if !mayRetry(a, o) || !c.retryBudget.allowed() {
		return Attempt{}, false
	}
	a.mayHaveRun = a.mayHaveRun || o.Verdict == verdict.MayHaveRun
	sendAt := now.Add(drawBackOff(c.random, a.Number))
	if !s.canFinish(sendAt, a.Request.Deadline) {
		return Attempt{}, false
	}
	chosen, borrowed := g.choose(now, s, c.random)
	if chosen != nil {
		next := c.assign(now, g, s, chosen, borrowed, a)
		next.NotBefore = sendAt
		return next, true
	}
	if !now.Before(a.GiveUpAt) {
		return Attempt{}, false
	}
	a.Waiting = true
	s.pushFront(a)
	c.waiting++
	return a, true
}

// mayRetry reports whether o permits another attempt: after NotRun for every
// request, after MayHaveRun only for a repeatable one.
func mayRetry(a Attempt, o Outcome) bool {
	if o.Verdict == verdict.Ran || o.Cause == CauseCancelled || a.Number >= attemptLimit {
		return false
	}
	return o.Verdict == verdict.NotRun || a.Class.Repeatable
}

// updateShares recomputes the classes' shares of the slots every sharePeriod.
func (c *Core) updateShares(now time.Time, g *group) {
	if now.Sub(g.sharesUpdated) < sharePeriod {
		return
	}
	g.sharesUpdated = now
	demands := make([]demand, len(g.classes))
	for i, s := range g.classes {
		burn := c.counts.BurnRate(now, s.class.Name, budget.FastWindow, s.class.Target.Share)
		demands[i] = s.demand(now, burn)
	}
	shares := allocateShares(float64(max(1, g.ownCapacity(now))), demands)
	for i, s := range g.classes {
		s.share = shares[i]
		c.noteNeed(s, shares[i], demands[i].need)
	}
}

// noteNeed adds a note when a class's need starts or stops being met.
func (c *Core) noteNeed(s *classState, share, need float64) {
	unmet := share < need
	if unmet == s.needUnmet {
		return
	}
	s.needUnmet = unmet
	action := "NeedMet"
	if unmet {
		action = "NeedNotMet"
	}
	c.notes.add(s.class.Name, action, fmt.Sprintf("%.2f slots, needs %.2f for its target", share, need))
}

// countedCause returns the cause under which a finished request is counted, and
// false for one that its caller cancelled, which isn't counted.
func countedCause(now time.Time, a Attempt, o Outcome) (budget.Cause, bool) {
	if o.Cause == CauseCancelled {
		return budget.Good, false
	}
	if o.Verdict != verdict.Ran {
		return budgetCause(o.Cause), true
	}
	if now.Sub(a.Began) > a.Class.Target.Within {
		return budget.Late, true
	}
	return budget.Good, true
}

func budgetCause(cause string) budget.Cause {
	switch cause {
	case CauseNoBackend, CauseDial:
		return budget.NoBackend
	case CauseShed, CauseRefused, CauseStopping:
		return budget.Shed
	case CauseLate, CauseTooLate:
		return budget.Late
	}
	return budget.Broken
}

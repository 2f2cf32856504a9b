package forwarding

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/connection/capacity"
	"github.com/tanagerweir/tanagerweir/pkg/connection/mechanism"
	"github.com/tanagerweir/tanagerweir/pkg/connection/placement"
	"github.com/tanagerweir/tanagerweir/pkg/connection/segment"
	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
)

// HealthOptions are the settings of what is learnt of servers' capacity and health.
type HealthOptions struct {
	// Enabled turns it on: the platform's settings list `health` among the contracts.
	Enabled bool
	// EjectionOff is the setting `Ejection = Off`, which turns it off again.
	EjectionOff bool
	// The other fields are those of capacity.Options; 0 stands for the default.
	GreatestEjectedPart               float64
	ShortestEjection, LongestEjection time.Duration
}

// Active reports whether health is observed.
func (o HealthOptions) Active() bool { return o.Enabled && !o.EjectionOff }

const (
	// answerSettles is how long after the first acknowledged byte of an answer its length
	// is taken, unless its flow goes on or ends before: the acknowledgement of a last part
	// may be delayed by 40 ms, and a lost one is sent again after 200 ms.
	answerSettles = 200 * time.Millisecond
	// A request counts as failed once it is unanswered for its route's target, but not
	// before shortestHang, by when a lost packet has been sent again, and not later than
	// after longestHang, so that servers that hang are found within a few seconds.
	shortestHang = 400 * time.Millisecond
	longestHang  = time.Second
	// A slow server isn't one that hangs: its requests count as failed only after slowHang
	// times its average answer time, and after longestSlowHang at the latest.
	slowHang        = 4
	longestSlowHang = 3 * time.Second
	// maxHealthLoads bounds the servers in one report with health, at some 36 bytes each, so
	// that it fits into a datagram.
	maxHealthLoads = 36
	// turnLoads is how many of the less urgent servers a report names by turns, and
	// leastRunning the average of running requests from which on a server is named anyway.
	turnLoads    = 16
	leastRunning = 1.0 / 64
	// repeatableFor is how long a service counts as one with repeatable requests after the
	// latest of them.
	repeatableFor = 2 * time.Second
	// unprovenLoad is the load, in requests a slot, that ranks servers without proven health
	// behind the others for requests that can't be repeated: these go to proven servers as
	// long as one of them has a free slot. Where that was a strict order, the proven servers
	// of an overloaded service were full in turn, and shed what others could have taken.
	unprovenLoad = 1
	// comparePeriods is the number of ticks between two comparisons of a service's servers,
	// and retainPeriods that between two searches for routes that are gone. At 3,800
	// servers, a comparison of all takes a millisecond.
	comparePeriods = 2
	retainPeriods  = 100
	// leastReported is the weight of answers from which on a server is reported.
	leastReported = 0.5
)

// answer is what is known of the answer to the latest request of a flow.
type answer struct {
	// start is the sequence number of the answer's first byte.
	start uint32
	// at is when its first byte was acknowledged, after a time, while pending. Pending
	// says that its length isn't known yet.
	at, waited time.Duration
	pending    bool
	// failedAt is when the request was counted as failed, 0 if it wasn't.
	failedAt time.Duration
}

// health is the state of what is learnt of servers' capacity and health. The zero value is
// turned off.
type health struct {
	core *capacity.Core
	// reporting is the number of other instances whose reports count.
	reporting int
	deadlines deadlines
	lastTick  time.Duration
	ticks     int
	// repeatableAt is when a caller last sent a repeatable request to a service.
	repeatableAt map[string]time.Duration
	// usable is reused by updateHealth.
	usable []capacity.Usable
	// reported counts the reports, so that servers take turns in them.
	reported int
}

func newHealth(o HealthOptions, off mechanism.Set) health {
	if !o.Active() {
		return health{}
	}
	return health{
		core: capacity.New(capacity.Options{
			GreatestEjectedPart: o.GreatestEjectedPart, ShortestEjection: o.ShortestEjection, LongestEjection: o.LongestEjection, Off: off,
		}),
		repeatableAt: make(map[string]time.Duration),
	}
}

func (h *health) on() bool { return h.core != nil }

// observeHealth records what a packet shows of the server at which the flow is open.
func (c *Core) observeHealth(now time.Duration, s segment.Segment, f *flow, events requestEvents) {
	if !c.health.on() {
		return
	}
	if events.answered {
		if f.answer.failedAt > 0 {
			f.server.health.RevokeFailure(now, f.answer.failedAt)
		}
		f.answer = answer{start: f.answer.start, at: now, waited: events.waited, pending: true}
		c.health.deadlines.add(now, now+answerSettles, deadline{key: f.key, at: now})
	}
	ended := s.Flags&(segment.Finish|segment.Abort) != 0
	if f.answer.pending && (events.began || ended) {
		c.settleAnswer(now, f)
	}
	switch {
	case events.began:
		f.answer = answer{start: f.acknowledged}
		r, _ := c.directory.Route(f.key.Route)
		c.health.deadlines.add(now, now+hangsAfter(r), deadline{key: f.key, at: now, hang: true})
	case ended && f.waiting && f.answer.failedAt == 0 && now-f.lastSent >= answerTime:
		// The caller gave the request up.
		f.server.health.RecordFailure(now)
	}
}

// hangsAfter returns the time after which an unanswered request of the route counts as
// failed.
func hangsAfter(r directory.Route) time.Duration {
	if r.Target == 0 {
		return longestHang
	}
	return min(max(r.Target, shortestHang), longestHang)
}

// settleAnswer records the answer of a flow by the length that was acknowledged.
func (c *Core) settleAnswer(now time.Duration, f *flow) {
	f.answer.pending = false
	route := c.health.core.Route(f.key.Route, f.server.Service)
	f.server.health.RecordAnswer(now, route, f.answer.waited, route.Classify(f.acknowledged-f.answer.start, f.answer.waited))
}

func (h *health) recordUnopened(now time.Duration, v *server) {
	if h.on() {
		v.health.RecordFailure(now)
	}
}

// allowsTrial records that a caller asks for a service, and reports whether the request may
// probe a server: trials are made with requests that callers may repeat, where there are any.
func (h *health) allowsTrial(now time.Duration, service string, r directory.Route) bool {
	if !h.on() {
		return false
	}
	if r.Kind == directory.Repeatable {
		h.repeatableAt[service] = now
		return true
	}
	at, known := h.repeatableAt[service]
	return !known || now-at > repeatableFor
}

// accepts reports whether the server's health allows a new flow, which may be a trial.
func (c *Core) accepts(now time.Duration, trial bool, v *server) bool {
	return !c.health.on() || v.health.Accepts(now, trial)
}

// suspected reports whether the server gets no new flow since it left flows unanswered. A
// server that is probed after an ejection gets trials instead.
func (c *Core) suspected(now time.Duration, v *server) bool {
	return v.health.State() != capacity.Probed && v.observed.suspected(now)
}

// reserves reports whether requests of the route prefer servers with proven health:
// they can't be repeated, and a server of the service may be degraded.
func (h *health) reserves(service string, r directory.Route) bool {
	return h.on() && r.Kind != directory.Repeatable && h.core.Degraded(service)
}

// weighHealth adds what is known of the server's health to a candidate.
func (c *Core) weighHealth(k placement.Candidate, r directory.Route, reserve bool, v *server) placement.Candidate {
	if !c.health.on() {
		return k
	}
	k.Penalty += v.health.Penalty(r.Kind == directory.Repeatable)
	if reserve && !v.health.Proven() {
		k.Penalty += unprovenLoad
	}
	return k
}

// updateHealth does the periodic work: it handles requests and answers that are due, and
// compares the servers of each service.
func (c *Core) updateHealth(now time.Duration) {
	h := &c.health
	if !h.on() {
		return
	}
	if now-h.lastTick > suspendedAfter {
		// Packets that arrived meanwhile still wait, so nothing is known of what is due.
		h.deadlines.clear()
	}
	h.lastTick = now
	h.deadlines.expire(now, func(d deadline) { c.checkDeadline(now, d) })
	h.ticks++
	fleet := capacity.Fleet{Reporting: h.reporting, Rank: c.probeRank}
	for n, service := range c.servers.services {
		if (n+h.ticks)%comparePeriods != 0 {
			continue
		}
		h.usable = h.usable[:0]
		for _, v := range c.servers.byService[service] {
			if c.usable(now, v) && now >= v.coldUntil {
				h.usable = append(h.usable, capacity.Usable{Server: &v.health, ID: v.ID, Slots: v.Slots})
			}
		}
		h.core.Update(now, service, h.usable, fleet)
	}
	if h.ticks%retainPeriods != 0 {
		return
	}
	h.core.Retain(func(endpoint netip.AddrPort) bool {
		_, ok := c.directory.Route(endpoint)
		return ok
	})
}

func (c *Core) checkDeadline(now time.Duration, d deadline) {
	f := c.flows.byKey[d.key]
	switch {
	case f == nil || f.server == nil:
	case d.hang && f.waiting && f.lastSent == d.at && f.answer.failedAt == 0:
		if due := d.at + min(slowHang*f.server.health.Own(now).AnswerTime, longestSlowHang); due > now {
			c.health.deadlines.add(now, due, d)
			return
		}
		f.answer.failedAt = now
		f.server.health.RecordFailure(now)
	case !d.hang && f.answer.pending && f.answer.at == d.at:
		c.settleAnswer(now, f)
	}
}

// probeRank returns this instance's place among those of its data centre that probe the
// server after an ejection.
func (c *Core) probeRank(id string) int {
	rank := 0
	own := senderOrder(c.options.Name, id)
	for _, i := range c.directory.Instances() {
		if i.DataCentre == c.options.DataCentre && i.Name != c.options.Name && senderOrder(i.Name, id) < own {
			rank++
		}
	}
	return rank
}

// reports reports whether the server's health has to be reported to others.
func (h *health) reports(now time.Duration, v *server) bool {
	return h.on() && (v.health.EjectedLeft(now) > 0 || v.health.Own(now).Answered >= leastReported)
}

// choose returns the loads that fit into a report: those with open flows, running requests
// or failures, and a few of the others by turns, as longer reports go round more slowly.
func (h *health) choose(loads []Load) []Load {
	chosen := make([]Load, 0, maxHealthLoads)
	var others []Load
	for _, l := range loads {
		if l.EjectedLeft > 0 || l.Failures > 0 || l.Open > 0 || l.Running >= leastRunning || l.ColdLeft > 0 || l.Evidence.Failed >= leastReported {
			chosen = append(chosen, l)
		} else {
			others = append(others, l)
		}
	}
	if len(chosen) > maxHealthLoads {
		slices.SortStableFunc(chosen, func(a, b Load) int { return cmp.Compare(b.urgency(), a.urgency()) })
		chosen, others = chosen[:maxHealthLoads-turnLoads], chosen[maxHealthLoads-turnLoads:]
	}
	for range min(len(others), turnLoads, maxHealthLoads-len(chosen)) {
		chosen = append(chosen, others[h.reported%len(others)])
		h.reported++
	}
	return chosen
}

func (l Load) urgency() float64 {
	u := float64(l.Failures+l.Open) + l.Evidence.Failed
	if l.EjectedLeft > 0 {
		u += maxHealthLoads
	}
	return u
}

// HealthEvent is a change of how a backend server is used because of its health.
type HealthEvent struct {
	capacity.Event
	DataCentre string
}

// HealthEvents returns the changes since the last call, oldest first.
func (c *Core) HealthEvents() []HealthEvent {
	if !c.health.on() {
		return nil
	}
	var events []HealthEvent
	for _, e := range c.health.core.Events() {
		h := HealthEvent{Event: e}
		if s, ok := c.directory.Server(e.Server); ok {
			h.DataCentre = s.DataCentre
		}
		events = append(events, h)
	}
	return events
}

// HealthStates returns the number of usable backend servers in each state, nil if health
// isn't observed.
func (c *Core) HealthStates(now time.Duration) []int {
	if !c.health.on() {
		return nil
	}
	n := make([]int, len(capacity.States()))
	for _, v := range c.servers.sorted {
		if c.usable(now, v) {
			n[v.health.State()]++
		}
	}
	return n
}

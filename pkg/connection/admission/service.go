package admission

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// targetPart is the part of the shortest target that the queueing delay may take.
	// The rest is for the work, the round trips and a lost packet.
	targetPart = 4
	// limitWork is how many times the work the delay may be in any case: flows go to
	// another data centre only when two requests a slot make others wait for about the
	// work of one, and the delay varies.
	limitWork = 1.5
	// goalPart is the part of the longest delay that is aimed for during a shortage: the
	// delay varies by about as much again between servers. The aim is at least goalWork
	// of the work, for the same reason.
	goalPart, goalWork = 0.45, 0.9
	// rateWeight is the weight of the latest window in the rates, which gives a time
	// constant of about 0.3 s.
	rateWeight = 0.3
	// shareWeight is the weight of the latest window in the share of the capacity. It is
	// lower, as the share follows what was admitted before.
	shareWeight = 0.1
	// responseTime is the time from an admission to the effect on the measured delay: the
	// request's answer, half a window and the median over two.
	responseTime = 250 * time.Millisecond
	// gain times the goal in responseTime is the relative change of the rate at a delay
	// of 0; the delay oscillates at gains above 1.
	gain, maxGain = 0.4, 0.3
	// overloadWeight replaces shareWeight, and overloadFactor bounds the rate, while
	// servers shed or the delay is above its limit.
	overloadWeight, overloadFactor = 0.5, 0.85
	// leastRate bounds the reduction of the rate while the delay is above its limit.
	leastRate = 0.5
	// minSamples is the number of answers or failures that can begin a shortage.
	minSamples = 8
	// onsetPart is the part of the attempts at servers that have to be shed or fail to
	// open to begin a shortage at once, with a queueing delay of queuedPart of the work:
	// idle servers that fail have room. The median of queuedSamples answers of idle
	// servers is as long in less than one of 10,000 cases. Over 0.3 s failedPart is
	// enough, with a delay as long as the work.
	onsetPart, failedPart     = 0.25, 0.1
	queuedPart, queuedSamples = 0.5, 16
	// shedPart is the part of the attempts that shows during a shortage that queues are
	// full at the present delay: with work that varies by half, 3 % of the answers are as
	// short as error responses. ceilingGrowth is how that delay is forgotten in each
	// window.
	shedPart, ceilingGrowth = 0.06, 1.02
	// protectedFor is how long all less urgent requests have to be rejected until a more
	// urgent class is rejected too, with servers that shed more than protectedShed: it
	// fails in part anyway. Where servers hardly shed it takes drainedAfter and a delay of
	// protectedDelay times the limit, half of the target, as full queues drain slowly
	// where the more urgent requests just fit.
	protectedFor, drainedAfter = 500 * time.Millisecond, time.Second
	protectedShed              = 0.25
	protectedDelay             = 2
	// protectedGoal is how much longer the delay may be while a more urgent class is
	// rejected. Data centres with much urgent demand thus get a part of the servers of
	// others, whose less urgent requests are rejected at shorter delays.
	protectedGoal = 1.75
	// calmAfter is how long everything has to be admitted until a shortage ends.
	calmAfter = 500 * time.Millisecond
	// slowGrowth is the growth of the share in each window at a delay of 0, and less at
	// longer ones. After slowWindows above fastFrom of it, it doubles with each window up
	// to maxGrowth, so that all capacity is found within a second after servers returned.
	slowGrowth, fastFrom, slowWindows, maxGrowth = 0.05, 0.75, 3, 0.4
	// attemptsOfRejected is how many attempts a rejected request makes at most.
	attemptsOfRejected = 3
	// idleLoad is the load, in requests a slot, below which servers count as idle.
	idleLoad = 0.6
	// ringSize is the number of answers whose median is the queueing delay.
	ringSize = 64
)

// service is the state of one service.
type service struct {
	name   string
	hash   uint32
	target time.Duration
	routes map[netip.AddrPort]*route
	// classes are the priorities of the routes, from the most urgent on.
	classes []class
	window  window
	// waits are the queueing delays that answers of the present window and the one before
	// showed, and sorted is reused for their median.
	waits  [2][]time.Duration
	sorted []time.Duration
	// limit is the longest allowed queueing delay, and work the average baseline of the
	// routes, 0 if none is known.
	limit, work time.Duration
	capacity    float64
	running     float64
	// wait is the queueing delay that the last samples answers here showed, combined
	// the one together with the reports of others.
	wait, combined time.Duration
	samples        int
	peers          peers
	// Rates are in requests a second, over about 0.3 s.
	askedRate, admittedRate, answeredRate float64
	// failed is the part of the last window's attempts at servers that failed, and
	// failedAverage that over about 0.3 s.
	failed, failedAverage float64

	short bool
	since time.Duration
	// share is the rate of answers that the servers seem to have room for at this
	// instance, and growing the number of windows in a row in which it grew.
	share   float64
	growing int
	// ceiling is the delay that is aimed for since queues were full at longer ones, 0
	// for none. It is at least the work, as failures may have other reasons.
	ceiling time.Duration
	// shedding says that servers shed a part of the requests of the last window.
	shedding bool
	// calmSince is since when everything is admitted.
	calmSince time.Duration
}

// route is a route's baseline and the index of its class.
type route struct {
	class int
	idle  baseline
}

// class is the requests of one priority.
type class struct {
	priority int
	// asked and refused are totals, and windowAsked and windowRefused those of the
	// present window.
	asked, refused, windowAsked, windowRefused uint64
	// demand is the rate of requests, each counted once whatever its attempts, and
	// refusedRate that of refused attempts.
	demand, refusedRate float64
	// fraction is the part of the callers that are admitted, and noneSince when it
	// became 0 for all less urgent classes.
	fraction  float64
	noneSince time.Duration
}

// window counts the events of the present window.
type window struct {
	started          time.Duration
	answers, overdue int
	// failed are answers that weren't good and openings without a further packet, and
	// shed only the former.
	failed, shed int
}

func newService(name string) *service {
	return &service{name: name, hash: hashOf(name), routes: make(map[netip.AddrPort]*route)}
}

// configure replaces the routes and the classes, whose counts stay.
func (s *service) configure(target time.Duration, routes []Route) {
	s.target = target
	before, classesBefore := s.routes, s.classes
	s.routes, s.classes = make(map[netip.AddrPort]*route, len(routes)), nil
	priorities := make([]int, 0, len(routes))
	for _, r := range routes {
		priorities = append(priorities, r.Priority)
	}
	slices.Sort(priorities)
	for _, p := range slices.Compact(priorities) {
		k := class{priority: p, fraction: 1}
		if i := slices.IndexFunc(classesBefore, func(b class) bool { return b.priority == p }); i >= 0 {
			k = classesBefore[i]
		}
		s.classes = append(s.classes, k)
	}
	for _, r := range routes {
		kept, ok := before[r.Endpoint]
		if !ok {
			kept = &route{}
		}
		kept.class = slices.IndexFunc(s.classes, func(k class) bool { return k.priority == r.Priority })
		s.routes[r.Endpoint] = kept
	}
}

// admit counts a request of a class and reports whether it is admitted. The position of
// its caller is only needed during a shortage.
func (s *service) admit(index int, position func() float64) bool {
	k := &s.classes[index]
	k.asked++
	k.windowAsked++
	if !s.short || k.fraction >= 1 || k.fraction > 0 && position() < k.fraction {
		return true
	}
	k.refused++
	k.windowRefused++
	return false
}

// answered records an answer and its queueing delay. Short error responses count as
// failures also if the caller of the package doesn't know them.
func (s *service) answered(r *route, waited time.Duration, good bool) {
	if good && (s.isIdle() || !r.idle.known()) {
		r.idle.learn(waited)
	}
	if !good || r.idle.known() && waited < time.Duration(shortAnswer*float64(r.idle.median)) {
		s.window.failed++
		s.window.shed++
		return
	}
	s.window.answers++
	if !r.idle.known() {
		return
	}
	wait := max(waited-r.idle.median, 0)
	if s.limit > 0 && wait > s.limit {
		s.window.overdue++
	}
	if len(s.waits[0]) < ringSize {
		s.waits[0] = append(s.waits[0], wait)
		return
	}
	s.waits[0][s.window.answers%ringSize] = wait
}

// isIdle reports whether the servers were idle at the last tick. This holds in a shortage
// too: a baseline that was learnt from other answers than those of idle servers, as after a
// start amid a crowd, would make it last.
func (s *service) isIdle() bool { return s.running < idleLoad*s.capacity }

// goal returns the queueing delay to aim for.
func (s *service) goal() time.Duration {
	goal := max(time.Duration(goalPart*float64(s.limit)), time.Duration(goalWork*float64(s.work)))
	if s.ceiling > 0 {
		goal = min(goal, s.ceiling)
	}
	return goal
}

// level returns the admitted fraction of the demand.
func (s *service) level() float64 {
	demand, admitted := 0.0, 0.0
	for i := range s.classes {
		k := &s.classes[i]
		demand += k.demand
		admitted += k.demand * k.fraction
	}
	if !s.short || demand == 0 {
		return 1
	}
	return admitted / demand
}

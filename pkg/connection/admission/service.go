package admission

import (
	"net/netip"
	"slices"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/connection/mechanism"
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
	// correctionWeight is the weight of the latest window in the correction of the places by
	// the delay, and greatestCorrection bounds it.
	correctionWeight, greatestCorrection = 0.2, 8
	// shareWeight is the weight of the latest tick in the usual share of an instance in the
	// running requests, which gives a time constant of some seconds, and usualSamples the
	// number of ticks from which on it is known. ownWeight is that in the average of the own
	// requests, the same as in the reports of others.
	shareWeight, ownWeight = 0.03, 0.2
	usualSamples           = 20
	// crowdFactor times its fair places is how many requests have to run for an instance to
	// begin a shortage before any answer shows it, with crowdLoad requests a slot known to be
	// at the servers: with less, other instances may have none. Until the usual share is known
	// after usualSamples ticks, it takes unknownCrowdLoad.
	crowdFactor, crowdLoad, unknownCrowdLoad = 2, 0.7, 1.5
	// steadySamples is the number of ticks since an instance came or left after which rates
	// show the shares of the instances, and leastShare the least share in the even one: a
	// report may be wrong.
	steadySamples = 10
	leastShare    = 0.5
	// backlogFactor replaces crowdFactor, and backlogCorrection is the correction at first,
	// where instances have just come or left, as after an outage: a backlog of callers passes,
	// and most of it can still be served in time.
	backlogFactor, backlogCorrection = 2.5, 1.5
	// tickPeriod is the time between two calls of Tick.
	tickPeriod = 100 * time.Millisecond
	// sheddingRatio bounds the change that is asked for while servers shed.
	sheddingRatio = 0.5
	// reserve is how many times the running requests a more urgent class may take than the
	// least urgent one.
	reserve = 1.75
	// choosyFrom is the part of the places that are taken from which on only callers come
	// that the window admits: while more are free, nobody is refused.
	choosyFrom = 0.75
	// crowdedPart is the part of the window's callers that find no free place. Without any,
	// places would stay free as the callers' number varies. leastNarrowing and widening
	// bound the change of the window in 0.1 s, and leastFraction the window.
	crowdedPart, leastNarrowing, widening = 0.2, 0.5, 1.6
	leastFraction                         = 0.02
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
	// short as error responses.
	shedPart = 0.06
	// calmAfter is how long everything has to be admitted until a shortage ends.
	calmAfter = 500 * time.Millisecond
	// attemptsOfRejected is how many attempts a rejected request makes at most.
	attemptsOfRejected = 3.0
	// roundTripWeight is the number of openings over which the round trip is averaged.
	roundTripWeight = 16
	// queuedLoad is the load, in requests a slot, from which on servers may shed.
	queuedLoad = 2.5
	// idleLoad is the load, in requests a slot, below which servers count as idle.
	idleLoad = 0.6
	// ringSize is the number of answers whose median is the queueing delay.
	ringSize = 64
)

// service is the state of one service.
type service struct {
	// off are the mechanisms that are switched off.
	off    mechanism.Set
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
	// roundTrip is the average time from an opening packet to the next packet of its flow.
	roundTrip time.Duration
	load      Load
	// usualShare is the share of this instance in the running requests over some seconds, of
	// the shareSamples ticks since the number of instances, sharedBy, last changed.
	usualShare             float64
	sharedBy, shareSamples int
	// ownAverage is the average of the own requests that run, over half a second as in the
	// reports of others.
	ownAverage float64
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
	// inFlight is the number of requests that run or wait at servers for this instance.
	inFlight int
	// history holds what was known at the latest ticks, of which there were so many.
	history [16]moment
	ticks   int
	// correction is how many times the fair places requests may run in a shortage.
	correction float64
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
	// asked and refused are totals, and demand the rate of requests, each counted once
	// whatever its attempts. windowAsked counts those of
	// the present window, windowOutside the refused ones of callers that the class's window
	// of callers leaves out, and windowCrowded those that found no free place.
	asked, refused                            uint64
	demand                                    float64
	windowAsked, windowOutside, windowCrowded uint64
	// fraction is the part of the callers that may come.
	fraction float64
	// work is the average of the class's known baselines, that of the service if none is known.
	work  time.Duration
	known int
}

// moment is what was known at a tick: the requests that ran for this instance, and those of
// all instances at each slot of the servers.
type moment struct {
	inFlight int
	load     float64
}

// window counts the events of the present window.
type window struct {
	started          time.Duration
	answers, overdue int
	// failed are answers that weren't good and openings without a further packet, and
	// shed only the former.
	failed, shed int
	refused      uint64
}

func newService(name string, off mechanism.Set) *service {
	return &service{off: off, name: name, hash: hashOf(name), routes: make(map[netip.AddrPort]*route)}
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

// setLoad records the load of the servers.
func (s *service) setLoad(l Load) {
	s.load, s.inFlight = l, l.Own
	s.ownAverage += ownWeight * (float64(l.Own) - s.ownAverage)
	if l.Instances != s.sharedBy {
		// The requests of an instance that left come to the others, and the other way round.
		s.sharedBy, s.shareSamples, s.usualShare = l.Instances, 0, 1/float64(max(l.Instances, 1))
	}
	s.shareSamples++
	if l.Running > 0 {
		s.usualShare += shareWeight * (min(s.ownAverage/l.Running, 1) - s.usualShare)
	}
}

// admit counts a request of a class and reports whether it is admitted. The position of its
// caller is only needed during a shortage.
func (s *service) admit(index int, position func() float64) bool {
	k := &s.classes[index]
	k.asked++
	k.windowAsked++
	if s.scarce() && !s.exempt(index, position) {
		places := s.placesOf(index)
		switch {
		case float64(s.inFlight) >= places:
			k.windowCrowded++
			k.refused++
			return false
		case !s.off.Has(mechanism.CallerWindow) && float64(s.inFlight) >= choosyFrom*places && k.fraction < 1 && position() >= k.fraction:
			k.windowOutside++
			k.refused++
			return false
		}
	}
	s.inFlight++
	return true
}

// exempt reports whether a request is admitted whatever runs: its class is more urgent than
// others, and the slots have room for it, or for the part of its callers to which this one
// belongs. What fills the places then is less urgent, such as later requests of open flows, which
// nothing rejects.
func (s *service) exempt(index int, position func() float64) bool {
	if index >= s.leastUrgent() || s.off.Has(mechanism.ClassOrder) {
		return false
	}
	part := s.fittingPart(index)
	return part >= 1 || part > 0 && position() < part
}

// fittingPart returns the part of a class's demand for which there are slots beside the demand of
// all more urgent classes. It compares with the slots rather than with the places, which shrink
// while open flows keep the servers' queues full.
func (s *service) fittingPart(index int) float64 {
	room := s.slotShare()
	for i := range s.classes[:index] {
		room -= s.slotsOf(i)
	}
	need := s.slotsOf(index)
	switch {
	case need <= 0 || need <= room:
		return 1
	case room <= 0:
		return 0
	}
	return room / need
}

// slotsOf returns how many slots the demand of a class keeps busy, without waits.
func (s *service) slotsOf(index int) float64 {
	return s.classes[index].demand * max(s.classes[index].work-s.roundTrip, 0).Seconds()
}

// scarce reports whether there may be no place for a request. Without any warm server, the
// placing decides what cold ones take.
func (s *service) scarce() bool {
	return s.short && s.load.Capacity > 0 && s.known() >= idleLoad*s.load.Capacity
}

// past returns what was known that long ago.
func (s *service) past(ago time.Duration) moment {
	n := len(s.history)
	return s.history[(s.ticks-min(int(ago/tickPeriod), n-1)+n)%n]
}

// opened records the time from an opening packet to the next packet of its flow.
func (s *service) opened(took time.Duration) {
	if s.roundTrip == 0 {
		s.roundTrip = took
	}
	s.roundTrip += (took - s.roundTrip) / roundTripWeight
}

// places returns how many requests may run for this instance.
func (s *service) places() float64 { return max(s.correction*s.fairPlaces(), 1) }

// placesOf returns how many requests may run for this instance when one of the class comes.
func (s *service) placesOf(index int) float64 {
	if index < s.leastUrgent() && !s.off.Has(mechanism.ClassOrder) {
		return reserve * s.places()
	}
	return s.places()
}

// answered records an answer and its queueing delay. Short error responses count as
// failures also if the caller of the package doesn't know them.
func (s *service) answered(r *route, waited time.Duration, good bool) {
	s.inFlight = max(s.inFlight-1, 0)
	switch {
	case !good:
	case s.isIdle():
		r.idle.learn(waited)
	case s.load.Running < queuedLoad*s.load.Capacity && !s.off.Has(mechanism.IdleEstimates):
		r.idle.estimate(waited, min(s.load.Running/s.load.Capacity, s.past(waited).load))
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
func (s *service) isIdle() bool { return s.load.Running < idleLoad*s.load.Capacity }

// goal returns the queueing delay to aim for.
func (s *service) goal() time.Duration {
	return max(time.Duration(goalPart*float64(s.target)/targetPart), time.Duration(goalWork*float64(s.work)))
}

// level returns the admitted fraction of the demand.
func (s *service) level() float64 {
	demand := s.admittedRate + (s.askedRate-s.admittedRate)/attemptsOfRejected
	if !s.short || demand == 0 {
		return 1
	}
	return s.admittedRate / demand
}

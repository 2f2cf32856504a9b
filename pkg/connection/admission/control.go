package admission

import (
	"slices"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/connection/mechanism"
)

// median returns the median of the queueing delays of the present window and, if these
// are too few, the one before, and of how many answers it is.
func (s *service) median(enough int) (time.Duration, int) {
	s.sorted = append(s.sorted[:0], s.waits[0]...)
	if len(s.sorted) < enough {
		s.sorted = append(s.sorted, s.waits[1]...)
	}
	if len(s.sorted) == 0 {
		return 0, 0
	}
	slices.Sort(s.sorted)
	return s.sorted[len(s.sorted)/2], len(s.sorted)
}

// checkOnset begins a shortage if the events of the present window show one. Waiting for
// the next tick would fill the servers' queues.
func (s *service) checkOnset(now time.Duration) (Event, bool) {
	w := &s.window
	if s.short {
		return Event{}, false
	}
	overdue := w.overdue >= minSamples && 2*w.overdue > w.answers && s.exceeded(now)
	shedding := w.shed >= minSamples && w.shed > w.answers
	crowded := s.crowded()
	failing := w.failed >= minSamples && float64(w.failed) > onsetPart*float64(w.answers+w.failed)
	if !overdue && !shedding && !failing && !crowded {
		return Event{}, false
	}
	wait, n := s.median(queuedSamples)
	if !overdue && !shedding && !crowded && (n < queuedSamples || wait < time.Duration(queuedPart*float64(s.work))) {
		return Event{}, false
	}
	s.wait, s.samples, s.combined = wait, n, wait
	s.begin(now, crowded)
	return s.event(), true
}

// begin begins a shortage. Where a delay shows it there are places for what runs at first, in
// bounds, as the delay may come from a variation that passes.
func (s *service) begin(now time.Duration, crowded bool) {
	s.short, s.since, s.calmSince, s.correction = true, now, 0, 1
	if s.shareSamples < steadySamples {
		s.correction = backlogCorrection
	}
	if !crowded {
		s.correction = min(max(float64(s.inFlight)/max(s.fairPlaces(), 1), 1), crowdFactor)
	}
	for i := range s.classes {
		s.classes[i].fraction = 1
	}
}

// answerRatio returns how many times as long as now answers take with the delay that is
// aimed for. By Little's law the running requests are to change by the same factor.
func (s *service) answerRatio() float64 {
	ratio := float64(s.roundTrip+s.work+s.goal()) / float64(max(s.roundTrip+s.work+s.combined, 1))
	if s.shedding {
		ratio = min(ratio, sheddingRatio)
	}
	return ratio
}

// fairPlaces returns this instance's share of the requests that keep the delay at its aim, if
// servers carry as many at once as is known.
func (s *service) fairPlaces() float64 { return s.slotShare() * s.placesPerSlot() }

// slotShare returns this instance's share of the servers' slots.
func (s *service) slotShare() float64 { return s.load.Capacity * s.demandShare() }

// placesPerSlot returns how many requests may run for each slot at the delay that is aimed for. A
// request runs from its opening packet on, and its answer takes a round trip longer than the
// server.
func (s *service) placesPerSlot() float64 {
	if s.work == 0 {
		return 1 + goalWork
	}
	return float64(s.roundTrip+s.work+s.goal()) / float64(max(s.work-s.roundTrip, s.work/2))
}

// demandShare returns the part of all requests that come to this instance, by the reports of
// others or by what is usual. While instances come and go, callers' packets reach others than
// before, and rates are those of backlogs.
func (s *service) demandShare() float64 {
	others := float64(max(s.load.Instances-1, 0))
	even := 1 / (others + 1)
	switch {
	case s.shareSamples < steadySamples || s.off.Has(mechanism.DemandShares):
		return even
	case s.peers.asked > leastPeerAnswers:
		return max(s.peers.ownAsked/(s.peers.ownAsked+others*s.peers.asked), leastShare*even)
	}
	return max(s.usualShare, even)
}

// excess is how many times the answers requests have to be for a delay to begin a
// shortage. At 100 answers a second, their rate over 0.3 s varies by a seventh.
const excess = 1.2

// minWindow is the shortest time in seconds over which a rate is measured.
const minWindow = 0.05

// crowded reports whether clearly more requests run for this instance than its usual share
// of those that the servers can take, which shows a crowd before any answer does.
func (s *service) crowded() bool {
	if s.off.Has(mechanism.CrowdOnset) || s.load.Capacity == 0 {
		return false
	}
	factor := float64(crowdFactor)
	if s.shareSamples < steadySamples {
		factor = backlogFactor
	}
	if float64(s.inFlight) < max(factor*s.fairPlaces(), minSamples) {
		return false
	}
	least := unknownCrowdLoad
	if s.shareSamples >= usualSamples {
		least = crowdLoad
	}
	return s.known() > least*s.load.Capacity
}

// known returns the number of requests at the servers: those of the last tick and those that
// came to this instance since.
func (s *service) known() float64 {
	return s.load.Running + max(float64(s.inFlight-s.load.Own), 0)
}

// tick ends the window, and adapts the places while the service is short.
func (s *service) tick(now time.Duration) (Event, bool) {
	seconds := (now - s.window.started).Seconds()
	if seconds < minWindow {
		return Event{}, false
	}
	s.measure(now, seconds)
	s.ticks++
	s.history[s.ticks%len(s.history)] = moment{inFlight: s.inFlight, load: s.load.Running / max(s.load.Capacity, 1)}
	s.updateLimit()
	changed := false
	if s.short {
		s.control(now)
		changed = !s.short
	} else if s.overdue(now) {
		s.begin(now, false)
		changed = true
	}
	event := s.event()
	if !s.short {
		event.Lasted = now - s.since
	}
	s.window = window{started: now}
	s.waits[0], s.waits[1] = s.waits[1][:0], s.waits[0]
	for i := range s.classes {
		k := &s.classes[i]
		k.windowAsked, k.windowOutside, k.windowCrowded = 0, 0, 0
	}
	return event, changed
}

// overdue reports whether the delay is too long, by the own answers or, if these confirm
// it in part, together with the reports of others.
func (s *service) overdue(now time.Duration) bool {
	if s.limit == 0 || s.samples < minSamples {
		return false
	}
	return s.combined > s.limit && 2*s.wait > s.limit && (s.exceeded(now) || s.combined > 2*s.limit) ||
		s.failedAverage > failedPart && s.samples >= queuedSamples && s.wait > s.work
}

// exceeded reports whether clearly more is asked for than answered, of late or in the
// present window. Otherwise a delay comes from variations that pass by themselves.
func (s *service) exceeded(now time.Duration) bool {
	asked := s.askedRate
	count := uint64(0)
	for i := range s.classes {
		count += s.classes[i].windowAsked
	}
	if count >= 2*minSamples {
		asked = max(asked, float64(count)/max((now-s.window.started).Seconds(), minWindow))
	}
	return asked > excess*s.answeredRate
}

// measure updates the rates and delays by the window that ends.
func (s *service) measure(now time.Duration, seconds float64) {
	w := &s.window
	var asked, refused uint64
	for i := range s.classes {
		k := &s.classes[i]
		asked += k.windowAsked
		refused += k.windowOutside + k.windowCrowded
		demand := float64(k.windowAsked) - (1-1/attemptsOfRejected)*float64(k.windowOutside+k.windowCrowded)
		k.demand += rateWeight * (demand/seconds - k.demand)
	}
	s.window.refused = refused
	average := func(rate *float64, count int) { *rate += rateWeight * (float64(count)/seconds - *rate) }
	average(&s.askedRate, int(asked))
	average(&s.admittedRate, int(asked-refused))
	average(&s.answeredRate, w.answers)
	s.wait, s.samples = s.median(2 * ringSize)
	s.peers.age(now)
	s.combined = s.wait
	if total := s.peers.answers + float64(s.samples); total > 0 {
		s.combined = time.Duration((s.peers.wait + s.wait.Seconds()*float64(s.samples)) / total * float64(time.Second))
	}
	s.failed = float64(w.failed) / float64(max(w.failed+w.answers, 1))
	s.failedAverage += rateWeight * (s.failed - s.failedAverage)
}

// updateLimit updates the work of the service and its classes, and the limit of the delay.
func (s *service) updateLimit() {
	var total time.Duration
	n := 0
	for i := range s.classes {
		s.classes[i].work, s.classes[i].known = 0, 0
	}
	for _, r := range s.routes {
		r.idle.inWindow = 0
		if r.idle.known() {
			total += r.idle.median
			n++
			k := &s.classes[r.class]
			k.known++
			k.work += (r.idle.median - k.work) / time.Duration(k.known)
		}
	}
	for i := range s.classes {
		if k := &s.classes[i]; k.known == 0 {
			k.work = s.work
		}
	}
	if n > 0 {
		s.work = total / time.Duration(n)
		s.limit = max(s.target/targetPart, time.Duration(limitWork*float64(s.work)))
	}
}

// control adapts the number of requests that may run for this instance, and the part of
// each class's callers among whom they are chosen.
func (s *service) control(now time.Duration) {
	// Idle servers without a delay shed nothing: their short answers are good ones.
	idle := s.isIdle() && s.wait < time.Duration(queuedPart*float64(s.work))
	s.shedding = s.window.failed >= minSamples/2 && s.failed > shedPart && !idle
	if s.work > 0 && !s.off.Has(mechanism.DelayCorrection) {
		s.correct()
	}
	for i := range s.classes {
		s.classes[i].adapt()
	}
	s.end(now)
}

// correct adapts the places to the delay: fewer if it is longer than aimed for, more if it is
// shorter and there are more requests than places.
func (s *service) correct() {
	ratio := s.answerRatio()
	target := s.correction
	switch {
	case ratio < 1:
		// The delay is the one of the requests that ran when the answered ones came.
		before := s.past(s.work + s.combined).inFlight
		target = min(target, float64(before)*ratio/max(s.fairPlaces(), 1))
	case s.window.refused > 0:
		target = max(target*ratio, 1)
	default:
		target = max(target, 1)
	}
	s.correction += correctionWeight * (target - s.correction)
	// With a request at each slot a delay isn't one of queues, as where all servers are slow.
	s.correction = min(max(s.correction, 1/s.placesPerSlot()), greatestCorrection)
}

// adapt moves the part of the class's callers that may come: some more of them than there
// are places for, so that no place stays free.
func (k *class) adapt() {
	came := k.windowAsked - k.windowOutside
	switch {
	case float64(k.windowCrowded) > crowdedPart*float64(came):
		k.fraction = max(k.fraction*max(1-float64(k.windowCrowded)/float64(came)+crowdedPart, leastNarrowing), leastFraction)
	case float64(k.windowCrowded) < crowdedPart/2*float64(came) || k.windowOutside > 0 && came == 0:
		k.fraction = min(k.fraction*widening, 1)
	}
}

// leastUrgent returns the index of the least urgent class with demand, which is the first
// to be refused.
func (s *service) leastUrgent() int {
	last := 0
	for i := range s.classes {
		if s.classes[i].demand >= 1 {
			last = i
		}
	}
	return last
}

// end ends the shortage once everything was admitted for long enough.
func (s *service) end(now time.Duration) {
	switch {
	case s.window.refused > 0 || s.combined > s.limit:
		s.calmSince = 0
	case s.calmSince == 0:
		s.calmSince = now
	case now-s.calmSince >= calmAfter:
		s.short = false
		for i := range s.classes {
			s.classes[i].fraction = 1
		}
	}
}

// event returns the begin or end of a shortage, as short says.
func (s *service) event() Event {
	w := &s.window
	return Event{
		Service: s.name, Short: s.short, Wait: s.combined, Limit: s.limit,
		Asked: s.askedRate, Admitted: s.admittedRate, Answered: s.answeredRate,
		Failed: float64(w.failed) / float64(max(w.failed+w.answers, 1)),
	}
}

package admission

import (
	"math"
	"slices"
	"time"
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
	if s.short || s.limit == 0 {
		return Event{}, false
	}
	overdue := w.overdue >= minSamples && 2*w.overdue > w.answers && s.exceeded(now)
	shedding := w.shed >= minSamples && w.shed > w.answers
	failing := w.failed >= minSamples && float64(w.failed) > onsetPart*float64(w.answers+w.failed)
	if !overdue && !shedding && !failing {
		return Event{}, false
	}
	wait, n := s.median(queuedSamples)
	if !overdue && !shedding && (n < queuedSamples || wait < time.Duration(queuedPart*float64(s.work))) {
		return Event{}, false
	}
	s.wait, s.samples, s.combined = wait, n, wait
	s.begin(now)
	return s.event(), true
}

// begin begins a shortage, with the rates of the present window where these are higher.
func (s *service) begin(now time.Duration) {
	s.short, s.since, s.calmSince, s.growing, s.ceiling = true, now, 0, 0, 0
	seconds := max((now - s.window.started).Seconds(), minWindow)
	s.share = max(s.answeredRate, float64(s.window.answers)/seconds)
	for i := range s.classes {
		k := &s.classes[i]
		k.demand = max(k.demand, float64(k.windowAsked)/seconds)
		k.noneSince = 0
	}
	s.divide(now, s.share)
}

// excess is how many times the answers requests have to be for a delay to begin a
// shortage. At 100 answers a second, their rate over 0.3 s varies by a seventh.
const excess = 1.2

// minWindow is the shortest time in seconds over which a rate is measured.
const minWindow = 0.05

// tick ends the window, and adapts the admitted rate while the service is short.
func (s *service) tick(now time.Duration) (Event, bool) {
	seconds := (now - s.window.started).Seconds()
	if seconds < minWindow {
		return Event{}, false
	}
	s.measure(now, seconds)
	s.updateLimit()
	changed := false
	if s.short {
		s.control(now)
		changed = !s.short
	} else if s.overdue(now) {
		s.begin(now)
		changed = true
	}
	event := s.event()
	if !s.short {
		event.Lasted = now - s.since
	}
	s.window = window{started: now}
	s.waits[0], s.waits[1] = s.waits[1][:0], s.waits[0]
	for i := range s.classes {
		s.classes[i].windowAsked, s.classes[i].windowRefused = 0, 0
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
		refused += k.windowRefused
		s.measureDemand(k, seconds)
	}
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

// measureDemand estimates the rate of a class's requests. Requests that are admitted
// count once, as the callers are drawn by a hash; refused ones may make several attempts.
func (s *service) measureDemand(k *class, seconds float64) {
	refused := float64(k.windowRefused) / seconds
	k.refusedRate += rateWeight * (refused - k.refusedRate)
	fraction := 1.0
	if s.short {
		fraction = k.fraction
	}
	admitted := float64(k.windowAsked-k.windowRefused) / seconds
	k.demand += rateWeight / max(fraction, leastFraction) * (admitted - fraction*k.demand)
	if rest := 1 - fraction; rest > leastFraction {
		refused := min(k.refusedRate, most(k.windowRefused, seconds))
		k.demand = max(k.demand, refused/attemptsOfRejected/rest)
	}
	k.demand = max(min(k.demand, most(k.windowAsked, seconds)), 0)
}

// most returns the highest rate at which so few events in a window are likely: three
// standard deviations above the mean.
func most(events uint64, seconds float64) float64 {
	n := float64(events)
	return (n + 3*math.Sqrt(n) + 3) / seconds
}

// leastFraction is the part of a class that has to be admitted or refused to say
// something of its demand.
const leastFraction = 0.1

// updateLimit updates the average work and the limit of the delay.
func (s *service) updateLimit() {
	var total time.Duration
	n := 0
	for _, r := range s.routes {
		r.idle.inWindow = 0
		if r.idle.known() {
			total += r.idle.median
			n++
		}
	}
	if n > 0 {
		s.work = total / time.Duration(n)
		s.limit = max(s.target/targetPart, time.Duration(limitWork*float64(s.work)))
	}
}

// control adapts the share and divides the rate over the classes.
func (s *service) control(now time.Duration) {
	s.followPeers()
	// Idle servers without a delay shed nothing: their short answers are good ones.
	idle := s.isIdle() && s.wait < time.Duration(queuedPart*float64(s.work))
	s.shedding = s.window.failed >= minSamples/2 && s.failed > shedPart && !idle
	if s.shedding && s.wait > 0 {
		s.ceiling = max(s.wait/2, s.work)
	} else if s.ceiling > 0 {
		s.ceiling = time.Duration(ceilingGrowth * float64(s.ceiling))
	}
	goal := s.goal()
	overloaded := s.shedding || s.combined > s.limit
	switch {
	case overloaded && s.answeredRate < s.share:
		s.share += overloadWeight * (s.answeredRate - s.share)
	case s.answeredRate > s.share || 2*s.combined > goal:
		// Servers with empty queues answer what is asked, which may be less than they could.
		s.share += shareWeight * (s.answeredRate - s.share)
	}
	if s.refusingProtected() {
		goal = min(time.Duration(protectedGoal*float64(goal)), s.limit)
	}
	growth := 0.0
	switch {
	case !s.refusing() || s.shedding:
	case s.isIdle():
		growth = slowGrowth
	default:
		growth = slowGrowth * max(1-s.combined.Seconds()/goal.Seconds(), 0)
	}
	if growth > fastFrom*slowGrowth {
		s.growing++
		growth = min(growth*float64(int(1)<<max(min(s.growing, 16)-slowWindows, 0)), maxGrowth)
	} else {
		s.growing = 0
	}
	s.share *= 1 + growth
	s.share = max(s.share, 1)
	change := min(gain*goal.Seconds()/responseTime.Seconds(), maxGain)
	factor := max(1+change*(1-s.combined.Seconds()/goal.Seconds()), leastRate)
	if overloaded {
		factor = min(factor, overloadFactor)
	}
	rate := s.share * factor
	s.divide(now, rate)
	s.end(now)
}

// refusing reports whether any class is refused in part.
func (s *service) refusing() bool {
	return slices.ContainsFunc(s.classes, func(k class) bool { return k.fraction < 1 })
}

// refusingProtected reports whether other requests than the least urgent are refused.
func (s *service) refusingProtected() bool {
	last := s.leastUrgent()
	return slices.ContainsFunc(s.classes[:last], func(k class) bool { return k.fraction < 1 })
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

// divide admits as many flows a second, the most urgent first.
func (s *service) divide(now time.Duration, rate float64) {
	last := s.leastUrgent()
	for i := range s.classes {
		k := &s.classes[i]
		before := k.fraction
		k.fraction = 1
		if k.demand > 0 {
			k.fraction = min(max(rate/k.demand, 0), 1)
		}
		if k.fraction < 1 && i < last && !s.othersRefused(now, i) && before >= 1 {
			k.fraction = 1
		}
		rate -= k.fraction * k.demand
	}
	s.markRefused(now)
}

// markRefused records since when all classes after each one are refused.
func (s *service) markRefused(now time.Duration) {
	none := true
	for i := len(s.classes) - 1; i >= 0; i-- {
		k := &s.classes[i]
		switch {
		case !none:
			k.noneSince = 0
		case k.noneSince == 0:
			k.noneSince = now
		}
		none = none && (k.fraction == 0 || k.demand == 0)
	}
}

// othersRefused reports whether all requests less urgent than a class were refused for
// long, and the servers still have more than they can carry.
func (s *service) othersRefused(now time.Duration, index int) bool {
	since := s.classes[index].noneSince
	if since == 0 || now-since < protectedFor {
		return false
	}
	return s.failedAverage > protectedShed && s.combined > s.limit || s.combined > protectedDelay*s.limit && now-since >= drainedAfter
}

// end ends the shortage once everything was admitted for long enough.
func (s *service) end(now time.Duration) {
	switch {
	case s.refusing() || s.combined > s.limit:
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

package forwarding

import (
	"net/netip"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/clock"
	"github.com/tanagerweir/tanagerweir/pkg/connection/segment"
)

const (
	// suspectFailures is how many flows have to go unanswered, with no sign of life
	// meanwhile, until a backend server is suspected: one lost packet isn't enough.
	suspectFailures = 2
	// failurePenalty is the load, in requests a slot, that is added to a backend
	// server that left one flow unanswered. It ranks the server behind any other
	// that isn't overloaded.
	failurePenalty = 3
	// penaltyPeriod is how long a single unanswered flow counts: a few times the
	// 200 ms after which callers retransmit.
	penaltyPeriod = time.Second
	// firstTrialDelay is the time until a suspected backend server gets a flow
	// again. Each flow that fails doubles it, up to maxTrialDelay. A flow that is
	// sent there in vain loses 200 ms.
	firstTrialDelay = time.Second
	maxTrialDelay   = 8 * time.Second
	// silentFailures is how many flows have to go unanswered until flows at the
	// backend server are given up, and silentStuck how many of them had been open:
	// a server that is merely full leaves no data of open flows unanswered.
	silentFailures = 3
	silentStuck    = 2
	// silentAfter is how long no instance of the data centre may have seen a sign
	// of life until then. A request waits for some 0.4 s at most when the work of
	// cold servers takes all slots and queues.
	silentAfter = 700 * time.Millisecond
	// silentPeriod is how long a server counts as silent without further failures.
	silentPeriod = 2 * time.Second
	// answerTime is the longest time that the opening of a flow takes, from its
	// first packet to the caller's next: two ways of some 3 ms each, and the queue
	// of a slow machine or link.
	answerTime = 100 * time.Millisecond
	// suspendedAfter is the time without a tick, which is due each 0.1 s, after
	// which the instance counts as having been suspended.
	suspendedAfter = 250 * time.Millisecond
	// lastAnswerMaxAge is the largest age of the last answer of any server at which
	// a server counts as silent: without any answers, the instance or its callers
	// may be cut off instead.
	lastAnswerMaxAge = 300 * time.Millisecond
)

// observations is what this instance's flows show about a backend server.
type observations struct {
	// openFlows is the number of flows open there, and running the number of
	// requests that wait there.
	openFlows int
	running   int
	// stale is the number of the running requests that are no load of the server.
	stale int
	// average is the average of running over the last half second, others the sum
	// of the reports of other instances of the data centre.
	average float64
	others  others
	// lastAlive is when a caller last acknowledged something of the server.
	lastAlive clock.Time
	// failures is the number of flows that the server left unanswered since then,
	// and lastFailure when the last of them was noticed.
	failures    int
	lastFailure time.Duration
	// answeredSent is when the latest of the requests that were answered was sent, and
	// answerTime the average time of an answer.
	answeredSent, answerTime time.Duration
	// lastCaller is the caller whose opening was the last to count as a failure.
	lastCaller netip.Addr
	// stuck is how many of the failures were flows that had been open.
	stuck int
	// nextTrial is when a suspected server gets its next flow, backoff the time
	// between trials.
	nextTrial, backoff time.Duration
	// inquiry is the last one about the server.
	inquiry inquiry
}

// suspected reports whether the server gets no new flow at present.
func (o *observations) suspected(now time.Duration) bool {
	if o.failures >= suspectFailures {
		return now < o.nextTrial
	}
	return o.combinedFailures(now) >= suspectFailures
}

// combinedFailures adds the failures that other instances noticed lately to the
// own ones, unless the server has answered here since.
func (o *observations) combinedFailures(now time.Duration) int {
	if o.others.failures == 0 || o.lastAlive.NotBefore(o.others.lastFailure) || now-o.others.lastFailure > firstTrialDelay {
		return o.failures
	}
	return o.failures + o.others.failures
}

// penalty returns the load, in requests a slot, that is added for a recent
// failure.
func (o *observations) penalty(now time.Duration) float64 {
	if o.combinedFailures(now) > 0 && o.failures < suspectFailures && now-max(o.lastFailure, o.others.lastFailure) < penaltyPeriod {
		return failurePenalty
	}
	return 0
}

// recordAnswer records a sign of life.
func (o *observations) recordAnswer(now time.Duration) {
	o.lastAlive, o.failures, o.stuck, o.backoff = clock.At(now), 0, 0, 0
}

// atServer returns the number of requests that run or wait at the server, as far as known.
func (o *observations) atServer() int { return o.running - o.stale }

// recordAnswerTime records the answer of a request that was sent at a time.
func (o *observations) recordAnswerTime(sent, waited time.Duration) {
	o.answeredSent = max(o.answeredSent, sent)
	o.answerTime += (waited - o.answerTime) / answerTimeWeight
}

// answerTimeWeight is the number of answers over which a server's answer time is averaged.
const answerTimeWeight = 16

// forgive forgets the failures so far.
func (o *observations) forgive() { o.failures, o.stuck, o.backoff, o.nextTrial = 0, 0, 0, 0 }

// silent reports whether the server has ended or can't be reached from the data
// centre, so that flows at it are lost. lastAnswer is when this instance last
// saw an answer of any server, peers the number of other instances of the data
// centre, which are asked before.
func (o *observations) silent(now, lastAnswer time.Duration, peers int) bool {
	return o.withoutSigns(now, lastAnswer) && (peers == 0 || o.inquiry.confirmed(now))
}

// withoutSigns reports whether the server seems to be silent by what this instance
// knows.
func (o *observations) withoutSigns(now, lastAnswer time.Duration) bool {
	if o.stuck == 0 || o.failures+o.others.failures < silentFailures || o.stuck+o.others.stuck < silentStuck {
		return false
	}
	// Without any sign, an instance waits from its start on.
	sinceAlive := now - o.lastSign().Or(0)
	sinceFailure := now - max(o.lastFailure, o.others.lastFailure)
	return sinceAlive >= silentAfter && sinceFailure <= silentPeriod && now-lastAnswer <= lastAnswerMaxAge
}

// lastSign returns when this or another instance last saw a sign of life of the server.
func (o *observations) lastSign() clock.Time {
	return o.lastAlive.Latest(o.others.lastAlive).Latest(o.inquiry.lastAlive)
}

// recordUnanswered records a failure: a flow whose caller sent something at that
// time and had to send it again. It returns false without recording one if the
// server has answered others since, so that a packet was lost, or if the server
// had no time to answer, as both packets had waited at the instance.
func (o *observations) recordUnanswered(now, sent time.Duration) bool {
	if o.lastAlive.NotBefore(sent) || now-sent < answerTime {
		return false
	}
	o.failures++
	o.lastFailure = now
	if o.failures >= suspectFailures && now >= o.nextTrial {
		o.backoff = min(max(2*o.backoff, firstTrialDelay), maxTrialDelay)
		o.nextTrial = now + o.backoff
	}
	return true
}

// recordUnopened is like recordUnanswered, for a flow that the caller doesn't go
// on to open. A second one of the same caller counts for nothing, as some callers
// open flows and abandon them.
func (o *observations) recordUnopened(now time.Duration, f *flow) bool {
	caller := f.key.Caller.Addr()
	if o.failures > 0 && o.lastCaller == caller || !o.recordUnanswered(now, f.lastSent) {
		return false
	}
	o.lastCaller = caller
	return true
}

// recordTrial records that a suspected server gets a flow, so that the next has
// to wait.
func (o *observations) recordTrial(now time.Duration) {
	if o.failures >= suspectFailures {
		o.nextTrial = now + max(o.backoff, firstTrialDelay)
	}
}

// openFlow returns the record of a flow that is being opened. A copy of the
// opening packet counts as a failure of the backend server that was tried before.
func (c *Core) openFlow(now time.Duration, s segment.Segment) *flow {
	f := c.flows.record(now, s.Flow)
	if f == nil {
		return &flow{key: s.Flow}
	}
	if f.server != nil {
		// The caller uses the port of an earlier flow again.
		f.countLoad(-1)
		*f = flow{key: s.Flow, stored: true, lastPacket: now}
	}
	if v := f.lastTried(); v != nil {
		if !f.failureCounted && v.observed.recordUnanswered(now, f.lastSent) {
			c.recordSign(now, v, f.lastSent, v.observed.failures)
			c.reachOf(v.DataCentre).recordFailure(v)
		}
		f.countLoad(-1)
		f.unplaced = true
	}
	f.opening = s.Sequence
	return f
}

// checkOpenings counts openings that take too long as failures of their servers,
// long before callers send copies; if a server refused, no copies follow. After the
// instance was suspended it counts none, as the packets that it would have seen
// still wait.
func (c *Core) checkOpenings(now time.Duration) {
	if now-c.openingsChecked > suspendedAfter {
		c.flows.openings = nil
	}
	c.openingsChecked = now
	for f := c.flows.nextUnopened(now - answerTime); f != nil; f = c.flows.nextUnopened(now - answerTime) {
		f.markStale()
		if c.firstOpened == 0 || f.lastSent < c.firstOpened-answerTime {
			// The caller may have left while no instance was running, or its packets reach
			// another one since. A copy of the opening counts.
			continue
		}
		f.failureCounted = true
		v := f.lastTried()
		c.health.recordUnopened(now, v)
		c.observeUnopened(now, v)
		if v.observed.recordUnopened(now, f) {
			c.recordSign(now, v, f.lastSent, v.observed.failures)
			c.reachOf(v.DataCentre).recordFailure(v)
		}
	}
}

// recordPlacement records where an opening packet goes.
func (c *Core) recordPlacement(now time.Duration, f *flow, v *server) {
	v.observed.recordTrial(now)
	v.health.RecordFlow(now)
	if r := c.reachOf(v.DataCentre); r.lost {
		r.nextTrial = now + reachTrialPeriod
	}
	if now < v.coldUntil || c.doubtful(now, v) {
		v.coldSent = now
	}
	f.lastSent, f.failureCounted, f.stale, f.unplaced = now, false, false, false
	if f.stored && len(c.flows.openings) < maxFlows {
		c.flows.openings = append(c.flows.openings, openingPacket{key: f.key, sent: now})
	}
	for i := range f.tries {
		if f.tries[i] == nil || i == len(f.tries)-1 {
			f.tries[i] = v
			break
		}
	}
	f.countLoad(1)
}

// requestEvents is what a packet shows about the requests in its flow.
type requestEvents struct {
	began, answered bool
	waited          time.Duration
	// first is true if the answered request was the first of a flow that was opened
	// here.
	first bool
}

// observe updates the flow's record and the server's observations for a packet of
// an open flow.
func (c *Core) observe(now time.Duration, s segment.Segment, v *server) requestEvents {
	f := c.flows.byKey[s.Flow]
	if f == nil && s.Length == 0 {
		return requestEvents{}
	}
	if f == nil {
		if f = c.flows.record(now, s.Flow); f == nil {
			return requestEvents{}
		}
	}
	f.lastPacket = now
	if f.server != v {
		c.established(now, s, f, v)
	}
	var events requestEvents
	waiting, sent := f.waiting, time.Duration(0)
	if waiting {
		sent = f.lastSent
	}
	if f.acknowledge(s) {
		c.signOfLife(now, sent, v)
		c.recordRun(now, v, f.openSince)
		if events.answered, events.waited = waiting, now-f.lastSent; waiting {
			v.observed.recordAnswerTime(f.lastSent, events.waited)
		}
		events.first = f.requests == 1 && f.lastTried() != nil
	}
	waiting = f.waiting
	if f.observeData(now, s) {
		c.recordSign(now, v, f.lastSent, v.observed.failures)
		c.reachOf(v.DataCentre).recordFailure(v)
	}
	events.began = f.waiting && !waiting
	if events.began {
		f.requests++
	}
	c.observeHealth(now, s, f, events)
	if s.Flags&(segment.Finish|segment.Abort) != 0 {
		c.flows.remove(f)
	}
	return events
}

// established updates the records for the first packet of a flow after its
// opening.
func (c *Core) established(now time.Duration, s segment.Segment, f *flow, v *server) {
	openedHere := f.lastTried() != nil && s.Sequence-f.opening <= maxFirstSequence
	f.countLoad(-1)
	f.server, f.waiting, f.lost, f.stale, f.openSince = v, false, false, false, now
	f.sentEnd, f.acknowledged = s.Sequence, s.Acknowledged
	f.countLoad(1)
	if !openedHere {
		return
	}
	if c.firstOpened == 0 {
		c.firstOpened = now
	}
	sent := time.Duration(0)
	if f.tried(v) {
		sent = f.lastSent
	}
	c.signOfLife(now, sent, v)
	c.recordRun(now, v, now)
	if c.admission != nil && !f.failureCounted {
		c.admission.Opened(v.Service, now-f.lastSent)
	}
}

// acknowledge updates the flow for what the caller acknowledges, and reports
// whether any of it is new.
func (f *flow) acknowledge(s segment.Segment) bool {
	if !s.Flags.Has(segment.Acknowledge) || int32(s.Acknowledged-f.acknowledged) <= 0 {
		return false
	}
	f.acknowledged = s.Acknowledged
	f.endWait()
	return true
}

// observeData updates the flow for the data that the caller sends, and reports whether
// it shows that the server left earlier data unanswered.
func (f *flow) observeData(now time.Duration, s segment.Segment) bool {
	if s.Length == 0 {
		return false
	}
	end := s.Sequence + uint32(s.Length)
	if int32(end-f.sentEnd) <= 0 {
		if f.waiting && !f.failureCounted && now-f.lastSent >= answerTime {
			f.failureCounted = true
			if f.server.observed.recordUnanswered(now, f.lastSent) {
				f.server.observed.stuck++
				return true
			}
		}
		return false
	}
	f.sentEnd = end
	if !f.waiting {
		f.waiting, f.failureCounted, f.lost, f.stale, f.lastSent = true, false, false, false, now
		f.server.observed.running++
	}
	return false
}

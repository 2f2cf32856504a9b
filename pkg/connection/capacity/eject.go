package capacity

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/connection/mechanism"
)

const (
	// referencePart is the part of the servers, from those with the fewest failures on, that
	// the others are compared with. A smaller part would make chance alone look like an
	// outlier; a larger one would consist of degraded servers where three in five are.
	referencePart = 0.6
	// leastReferenceShare is the smallest share of failures that is assumed of healthy
	// servers, as answers may be short and packets may be lost.
	leastReferenceShare = 0.02
	// leastReference is the weight of the answers that the comparison needs.
	leastReference = 5
	// A server fails more than others if its share of failures is leastRatio times the
	// reference and leastMargin more: few failures where the others have none, and nearly all
	// where a crowd makes the others fail too, as these differ from each other.
	leastRatio  = 3
	leastMargin = 0.05
	// outlierFor is how long a server has to be an outlier: when a crowd begins, the servers
	// that are full first shed for some 0.3 s before others do. Meanwhile its risk leads flows
	// elsewhere.
	outlierFor = 600 * time.Millisecond
	// greatestReference is the share of failures at other servers from which on a fault
	// counts as common to all, such as a crowd, so that no server is ejected.
	greatestReference = 0.3
	// leastFailures is the smallest weight of failures for which a server is ejected.
	leastFailures = 2
	// leastConfirmed is the likelihood by the evidence of all instances but the one that
	// saw most failures: more than that of one short answer, less than that of two requests
	// without an answer.
	leastConfirmed = 4.5
	// leastLikelihood is the logarithm of the likelihood ratio from which on a share of
	// failures isn't chance: about 1 in 10,000 comparisons of healthy servers exceeds it.
	// leastLikelihoodAgain is that for a server that was ejected shortly before.
	leastLikelihood      = 7
	leastLikelihoodAgain = 3.5
	// leastEjecting is the number of other instances whose ejection an instance follows
	// without evidence of its own.
	leastEjecting = 2
	// priorWeight is the weight of the assumption that a server is like the others.
	priorWeight = 4
	// riskTolerance is the excess of failures that counts for nothing.
	riskTolerance = 0.05
	// provenRisk is the excess of failures up to which a server has proven health. Servers
	// that shed a few requests would otherwise leave all unrepeatable ones to the others,
	// which are then full in turn.
	provenRisk = 0.1
	// leastSlowness is the ratio of answer times from which on a server counts as slow: the
	// averages of few answers, and of servers in another data centre, differ by less, as do
	// those of servers whose queues differ.
	leastSlowness = 2.2
	// slowAgain is the ratio below which a slow server no longer counts as slow.
	slowAgain = 1.7
)

// Fleet is what Update needs to know about the instances.
type Fleet struct {
	// Reporting is the number of other instances of the data centre whose reports count.
	Reporting int
	// Rank returns this instance's place in the order of instances that probe the server,
	// 0 for the first.
	Rank func(id string) int
}

// Usable is a server that may get flows, and its slots.
type Usable struct {
	*Server
	ID    string
	Slots int
}

// ranked is a server with its evidence.
type ranked struct {
	Usable
	evidence   Evidence
	likelihood float64
}

// Update compares the usable servers of a service and changes their states. Call it
// for each service once in each 0.2 s.
func (c *Core) Update(now time.Duration, service string, servers []Usable, f Fleet) {
	c.ranking = c.ranking[:0]
	slots, ejected := 0, 0
	for _, v := range servers {
		slots += v.Slots
		c.updateEjection(now, service, v, f)
		if v.state >= Probed {
			ejected += v.Slots
		}
		c.ranking = append(c.ranking, ranked{Usable: v, evidence: v.combined(now)})
	}
	c.compareFailures()
	if !c.options.Off.Has(mechanism.SlowLimits) {
		c.compareTimes(now, service)
	}
	allowed := int(c.options.GreatestEjectedPart * float64(slots))
	c.eject(now, service, allowed-ejected, f)
	degraded := false
	for _, v := range c.ranking {
		v.proven = v.risk <= provenRisk && v.evidence.Answered-v.evidence.Failed >= leastWeight
		degraded = degraded || v.risk > 0 || v.state != Healthy
		if c.options.Off.Has(mechanism.FailureRisk) {
			v.risk = 0
		}
	}
	c.group(service).degraded = degraded
}

// compareFailures sets each server's risk and the likelihood that it is degraded.
func (c *Core) compareFailures() {
	slices.SortStableFunc(c.ranking, func(a, b ranked) int { return cmp.Compare(a.evidence.share(), b.evidence.share()) })
	known := 0
	for _, v := range c.ranking {
		if v.evidence.Answered >= leastWeight {
			known++
		}
	}
	var total Evidence
	rest := int(math.Ceil(referencePart * float64(known)))
	for _, v := range c.ranking {
		if v.evidence.Answered >= leastWeight && rest > 0 {
			total.Answered += v.evidence.Answered
			total.Failed += v.evidence.Failed
			rest--
		}
	}
	// With too few answers to compare with, flows move to other servers, whose answers can
	// then be compared, but nothing is ejected.
	comparable := known > 1 && total.Answered >= leastReference
	reference := leastReferenceShare
	if comparable {
		reference = max(total.share(), leastReferenceShare)
	}
	for i := range c.ranking {
		v := &c.ranking[i]
		v.reference, v.risk, v.likelihood = reference, 0, 0
		e := v.evidence
		v.risk = max((e.Failed+priorWeight*reference)/(e.Answered+priorWeight)-reference-riskTolerance, 0)
		if comparable && e.Failed >= leastFailures {
			v.likelihood = likelihood(e, reference)
		}
	}
}

// likelihood returns the logarithm of how much likelier the server's own share of
// failures makes what was seen than the reference does, 0 if the share is too small.
func likelihood(e Evidence, reference float64) float64 {
	share := e.share()
	if share < leastRatio*reference+leastMargin || reference >= 1 {
		return 0
	}
	l := e.Failed * math.Log(share/reference)
	if share < 1 {
		l += (e.Answered - e.Failed) * math.Log((1-share)/(1-reference))
	}
	return l
}

// compareTimes sets each server's slowness, and whether it is Limited.
func (c *Core) compareTimes(now time.Duration, service string) {
	slices.SortStableFunc(c.ranking, func(a, b ranked) int { return cmp.Compare(a.evidence.AnswerTime, b.evidence.AnswerTime) })
	known := 0
	for _, v := range c.ranking {
		if v.evidence.AnswerTime > 0 {
			known++
		}
	}
	rest := int(math.Ceil(referencePart * float64(known)))
	weights, times := 0.0, 0.0
	for _, v := range c.ranking {
		if v.evidence.AnswerTime > 0 && rest > 0 {
			w := v.evidence.Answered - v.evidence.Failed
			weights += w
			times += w * float64(v.evidence.AnswerTime)
			rest--
		}
	}
	for _, v := range c.ranking {
		v.slowness = 1
		if good := v.evidence.Answered - v.evidence.Failed; weights >= leastReference && v.evidence.AnswerTime > 0 && good > 0 {
			// Few answers say little.
			ratio := float64(v.evidence.AnswerTime) * weights / times
			v.slowness = 1 + max(ratio-1, 0)*good/(good+1)
		}
		least := leastSlowness
		if v.state == Limited {
			least = slowAgain
		}
		if v.slowness < least {
			v.slowness = 1
		}
		switch {
		case v.state == Healthy && v.slowness > 1:
			c.setState(now, service, v.Usable, Limited)
		case v.state == Limited && v.slowness <= 1:
			c.setState(now, service, v.Usable, Healthy)
		}
	}
}

// eject ejects outliers, the clearest first, as long as their slots are within the
// allowed number.
func (c *Core) eject(now time.Duration, service string, allowed int, f Fleet) {
	slices.SortStableFunc(c.ranking, func(a, b ranked) int { return cmp.Compare(b.likelihood, a.likelihood) })
	for _, v := range c.ranking {
		if v.state >= Probed || v.Slots > allowed || v.reference > greatestReference {
			v.outlierSince = 0
			continue
		}
		least := float64(leastLikelihood)
		if v.ejections > 0 {
			least = leastLikelihoodAgain
		}
		outlier := v.likelihood >= least && (f.Reporting == 0 || v.confirmed(now))
		if !outlier {
			v.outlierSince = 0
		} else if v.outlierSince == 0 {
			v.outlierSince = now
		}
		outlier = outlier && now-v.outlierSince >= outlierFor
		followed := v.follows(now)
		if !outlier && !followed {
			continue
		}
		allowed -= v.Slots
		c.startEjection(now, service, v.Usable)
		if !outlier {
			v.until = now + min(v.others.ejectedLeft, c.options.LongestEjection)
		}
	}
}

// follows reports whether this instance, which has seen no answer of the server lately,
// ejects it as others do.
func (s *Server) follows(now time.Duration) bool {
	own := s.own.evidence(now)
	return own.Answered-own.Failed < leastWeight && s.others.ejecting >= leastEjecting && s.others.ejecting > s.others.cleared &&
		s.others.ejectedLeft > time.Millisecond
}

// trialFailed reports whether a trial of another instance has failed. The first two
// instances don't rely on a single one, whose own link may be at fault; the others rely on
// these two.
func (s *Server) trialFailed() bool {
	if s.others.ejectedLeft <= time.Millisecond {
		return false
	}
	return s.others.ejecting >= leastEjecting || s.rank >= leastEjecting && s.others.cleared == 0
}

// confirmed reports whether the server is an outlier also without the instance that saw
// most of its failures: an instance whose own link is at fault sees failures at servers
// that others don't.
func (s *Server) confirmed(now time.Duration) bool {
	e, own := s.others.evidence.aged(now-s.others.at), s.own.evidence(now)
	if worst := s.others.worst; worst.Failed > own.Failed {
		worst = worst.aged(now - s.others.at)
		e.Answered, e.Failed = e.Answered-worst.Answered+own.Answered, e.Failed-worst.Failed+own.Failed
	}
	return likelihood(e, s.reference) >= leastConfirmed
}

// startEjection ejects the server, for twice as long as the last time.
func (c *Core) startEjection(now time.Duration, service string, s Usable) {
	period := c.options.ShortestEjection
	for range s.ejections {
		if period = min(2*period, c.options.LongestEjection); period == c.options.LongestEjection {
			break
		}
	}
	s.ejections++
	s.outlierSince = 0
	s.until = now + period
	c.setState(now, service, s, Ejected)
}

// updateEjection begins and ends the trials after an ejection.
func (c *Core) updateEjection(now time.Duration, service string, v Usable, f Fleet) {
	switch v.state {
	case Ejected:
		if v.others.ejecting >= leastEjecting && v.others.ejectedLeft > 0 {
			// Two instances have seen that trials fail.
			v.until = max(v.until, now+min(v.others.ejectedLeft, c.options.LongestEjection))
		}
		if now >= v.until {
			v.limit, v.good, v.short, v.trials, v.lastEjected, v.rank, v.joins = 1, 0, 0, 0, now, f.Rank(v.ID), false
			v.turn = now + min(time.Duration(v.rank)*turnPeriod, c.options.LongestEjection)
			// What was seen before the ejection says nothing about the server now.
			v.own = counts{}
			c.setState(now, service, v, Probed)
		}
	case Probed:
		switch {
		case v.limit == 0:
			c.startEjection(now, service, v)
		case v.limit > v.Slots:
			c.setState(now, service, v, Healthy)
		case now < v.turn && v.trialFailed():
			v.until = now + min(v.others.ejectedLeft, c.options.LongestEjection)
			c.setState(now, service, v, Ejected)
		case v.others.cleared > 0 && now < v.turn:
			// Another instance has returned the server, so it gets its share of flows here
			// too. If each instance hurried its trial, many would be lost at once.
			v.turn, v.joins = now, true
		}
	default:
		if v.ejections > 0 && now-v.lastEjected > c.options.LongestEjection {
			v.ejections = 0
		}
	}
}

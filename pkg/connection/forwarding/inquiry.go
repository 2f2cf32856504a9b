package forwarding

import (
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/clock"
	"github.com/tanagerweir/tanagerweir/pkg/connection/mark"
)

const (
	// inquiryWait is how long an instance waits for answers to an inquiry: an answer
	// takes a few milliseconds, and longer on a slow machine or a full link.
	inquiryWait = 100 * time.Millisecond
	// inquiryPeriod is the time between two inquiries about a server, and how long
	// the answers to one count.
	inquiryPeriod = 500 * time.Millisecond
	// answersMaxAge is how long ago an inquiry may have been made whose answers count: two
	// periods. They are older only if the instance was suspended since.
	answersMaxAge = 2 * inquiryPeriod
	// enoughAnswers is how many answers confirm that nobody saw a sign of life, or
	// half of those that were asked, if these are fewer.
	enoughAnswers = 4
	// maxInquiries bounds the servers that one inquiry asks about, so that the answer
	// fits into a datagram.
	maxInquiries = 48
)

// Inquiry asks other instances about a backend server that seems to be silent.
//
// Reports of loads go round slowly, so that a sign of life may arrive long after
// another instance saw it. Before flows are given up, the others are asked: those of the
// own data centre, whose flows take the same way, and some of the server's, which see
// best whether it lives.
type Inquiry struct {
	Mark mark.Mark
	// DataCentre is that of the backend server.
	DataCentre string
}

// inquiry is the state of the last inquiry about a backend server.
type inquiry struct {
	askedAt time.Duration
	// asked and answered are the numbers of instances of the own data centre that
	// were asked, and that have answered.
	asked, answered int
	// lastAlive is the latest sign of life that any answer named.
	lastAlive clock.Time
}

// due reports whether it is time for another inquiry.
func (i inquiry) due(now time.Duration) bool {
	return i.askedAt == 0 || now-i.askedAt >= inquiryPeriod
}

// confirmed reports whether the answers so far suffice. What they say is in lastAlive.
func (i inquiry) confirmed(now time.Duration) bool {
	return enough(now, i.askedAt, i.asked, i.answered)
}

// enough reports whether enough of the instances that were asked at that time have
// answered.
func enough(now, askedAt time.Duration, asked, answered int) bool {
	return askedAt > 0 && now-askedAt >= inquiryWait && now-askedAt <= answersMaxAge && answered >= min(enoughAnswers, (asked+1)/2)
}

// Inquiries returns the backend servers to ask other instances about now: those that seem
// to be silent, and all of a data centre out of reach, as far as they fit.
func (c *Core) Inquiries(now time.Duration) []Inquiry {
	if c.peerCount == 0 {
		return nil
	}
	inquiries := c.reachInquiries(now)
	for _, v := range c.servers.sorted {
		if len(inquiries) == maxInquiries {
			break
		}
		if v.observed.withoutSigns(now, c.lastAnswer) && v.observed.inquiry.due(now) {
			inquiries = append(inquiries, Inquiry{Mark: v.mark, DataCentre: v.DataCentre})
		}
	}
	return inquiries
}

// reachInquiries returns backend servers of data centres out of reach.
func (c *Core) reachInquiries(now time.Duration) []Inquiry {
	var inquiries []Inquiry
	for _, v := range c.servers.sorted {
		if r := c.reaches[v.DataCentre]; r == nil || !r.lost || r.askedAt > 0 && now-r.askedAt < inquiryPeriod {
			continue
		}
		if len(inquiries) == maxInquiries {
			break
		}
		inquiries = append(inquiries, Inquiry{Mark: v.mark, DataCentre: v.DataCentre})
	}
	return inquiries
}

// Asked records that an inquiry about a backend server was sent to so many instances of
// the own data centre.
func (c *Core) Asked(now time.Duration, m mark.Mark, peers int) {
	v, ok := c.servers.byMark[m]
	if !ok {
		return
	}
	v.observed.inquiry = inquiry{askedAt: now, asked: peers, lastAlive: v.observed.inquiry.lastAlive}
	if r := c.reachOf(v.DataCentre); r.lost {
		r.askedAt, r.asked, r.answered = now, peers, 0
	}
}

// AnswerInquiry returns what this instance has seen of some backend servers. It leaves out
// unknown ones, and those that it hasn't observed for long enough to miss a sign of life.
func (c *Core) AnswerInquiry(now time.Duration, marks []mark.Mark) []Load {
	var loads []Load
	for _, m := range marks[:min(len(marks), maxInquiries)] {
		if v, ok := c.servers.byMark[m]; ok && (v.observed.lastAlive.Known() || now-v.observedSince >= silentAfter) {
			loads = append(loads, c.load(now, v))
		}
	}
	return loads
}

// receiveSign applies when another instance last saw a sign of life of a server in a data centre
// out of reach. One from before the data centre was lost may be from before the way there was
// cut, so it only keeps flows there from being given up.
func (c *Core) receiveSign(now, sign time.Duration, r *reach, v *server) {
	switch {
	case sign > r.lostAt:
		c.reachEvents = append(c.reachEvents, ReachEvent{DataCentre: v.DataCentre, Server: v.ID, SilentFor: now - max(r.lastSign, r.lastMessage)})
		r.recordSign(sign)
	case sign > r.lastSign && now-sign < lostAfter:
		r.contradictedAt = now
	}
}

// ReceiveAnswer applies the answer of another instance, of the own data centre or
// another one, to an inquiry.
func (c *Core) ReceiveAnswer(now time.Duration, loads []Load, ownDataCentre bool) {
	c.receiveSigns(now, loads)
	counted := make(map[*reach]bool)
	for _, l := range loads {
		v, ok := c.servers.byMark[l.Mark]
		if !ok {
			continue
		}
		alive := l.AliveAge.Before(now)
		v.observed.inquiry.lastAlive = v.observed.inquiry.lastAlive.Latest(alive)
		r := c.reachOf(v.DataCentre)
		if ownDataCentre && r.lost && alive.Known() {
			c.receiveSign(now, alive.Or(0), r, v)
		}
		if ownDataCentre {
			v.observed.inquiry.answered++
			if !counted[r] {
				r.answered++
				counted[r] = true
			}
		}
	}
}

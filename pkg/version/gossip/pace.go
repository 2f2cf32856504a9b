package gossip

import (
	"math/rand/v2"
	"time"
)

// Periods and budgets of the gossip.
const (
	// IdlePeriod is the time between two comparisons with peers while there is
	// no recent update to send.
	IdlePeriod = 1 * time.Second
	// EmptyPeriod is the time between two comparisons of an instance without a
	// catalogue.
	EmptyPeriod = 250 * time.Millisecond
	// UpdatePeriod is the time between two comparisons that carry a recent update.
	UpdatePeriod = 150 * time.Millisecond
	// UpdateSends is how many peers an instance sends an update to.
	UpdateSends = 3
	// BytesPerSecond is the rate of bytes at which an instance may send updates
	// in this way.
	BytesPerSecond = 300
	// MessageOverhead is the number of bytes that the protocols below add to a
	// message and its answer.
	MessageOverhead = 130
	// maxSavedBytes is how many bytes of BytesPerSecond may be saved up.
	maxSavedBytes = 4_000
)

// Pace decides when an instance compares with a peer next. It sends an update to
// peers at once while the budget of bytes lasts; after that the update spreads by
// the regular comparisons, several changes in one difference.
type Pace struct {
	random        *rand.Rand
	sendsLeft     int  // comparisons that may carry the update, plus one
	carriesUpdate bool // the comparison that was due last
	next          time.Time
	tokens        float64 // bytes that may be sent
	refilled      time.Time
}

// NewPace returns a pace whose first comparison is due at once.
func NewPace(seed uint64) *Pace {
	return &Pace{random: rand.New(rand.NewPCG(seed, 0)), tokens: maxSavedBytes}
}

// Updated records that an update took effect at now.
func (p *Pace) Updated(now time.Time) {
	p.sendsLeft = UpdateSends + 1
	soon := now.Add(p.jitter(UpdatePeriod) / 4)
	if p.next.After(soon) && p.hasBudget(now) {
		p.next = soon
	}
}

// Due reports whether a comparison is due and, if so, schedules the next one.
// empty says that the instance has no catalogue.
func (p *Pace) Due(now time.Time, empty bool) bool {
	if now.Before(p.next) {
		return false
	}
	p.sendsLeft = max(p.sendsLeft-1, 0)
	p.carriesUpdate = p.sendsLeft > 0 && p.hasBudget(now)
	period := IdlePeriod
	switch {
	case empty:
		period = EmptyPeriod
	case p.carriesUpdate && p.sendsLeft > 1:
		period = UpdatePeriod
	}
	p.next = now.Add(p.jitter(period))
	return true
}

// HasUpdate reports whether there is a recent update to send.
func (p *Pace) HasUpdate() bool { return p.sendsLeft > 0 }

// CarriesUpdate reports whether the comparison that was due last carries the
// update.
func (p *Pace) CarriesUpdate() bool { return p.carriesUpdate }

// Next returns when the next comparison is due.
func (p *Pace) Next() time.Time { return p.next }

// CountUpdateBytes subtracts a message of that many bytes, sent to carry an update, from the
// budget.
func (p *Pace) CountUpdateBytes(now time.Time, bytes int) {
	p.refill(now)
	p.tokens -= float64(bytes + MessageOverhead)
}

func (p *Pace) hasBudget(now time.Time) bool {
	p.refill(now)
	return p.tokens > 0
}

func (p *Pace) refill(now time.Time) {
	if !p.refilled.IsZero() {
		p.tokens = min(p.tokens+now.Sub(p.refilled).Seconds()*BytesPerSecond, maxSavedBytes)
	}
	p.refilled = now
}

// jitter returns a random time from 0.75 to 1.25 times the period.
func (p *Pace) jitter(period time.Duration) time.Duration {
	return period*3/4 + time.Duration(p.random.Int64N(int64(period/2)))
}

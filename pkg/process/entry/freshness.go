package entry

import (
	"sync/atomic"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/connection/admission"
	"github.com/tanagerweir/tanagerweir/pkg/connection/forwarding"
	"github.com/tanagerweir/tanagerweir/pkg/connection/segment"
	"github.com/tanagerweir/tanagerweir/pkg/process/logs"
)

// An instance may be suspended for seconds, between any two instructions, and doesn't notice
// by itself. What it knew before must not count as fresh afterwards, neither here nor at
// other instances. What is received therefore counts from a time that was read before it:
// messages from when they reached the socket, responses of the store from their request.
// What is sent is given up if the clock was read too long before. Openings wait until the
// directory is confirmed.

const (
	// maxMessageWait is how long a message may have waited in the socket. After a
	// suspension the oldest messages wait there; newer ones follow within ExchangePeriod.
	maxMessageWait = time.Second
	// maxSendDelay is how old a message or the decision to reset a flow may be when it is
	// sent. Other instances don't know the time that a message waited before it was sent;
	// the smallest limit of an age in it is 300 ms.
	maxSendDelay = 100 * time.Millisecond
	// maxLoadsAge is how old the loads may be that are sent: three ticks.
	maxLoadsAge = 3 * TickPeriod
	// suspendedFor is the time without a tick, which is due each 0.1 s, after which the
	// instance counts as having been suspended. Stalls of a slow machine are shorter.
	suspendedFor = time.Second
	// resumeLimit is how long openings may be dropped after that. Hellos and answers of
	// the store confirm the directory within ExchangePeriod, and callers send copies of an
	// opening packet after 200 and 600 ms.
	resumeLimit = 400 * time.Millisecond
)

// published are the core's loads and pressures as of a tick.
type published struct {
	at        time.Duration
	loads     []forwarding.Load
	pressures []admission.Pressure
	centres   []forwarding.CentreLoad
}

// suspension tells a decider that was suspended from one that had nothing to do. Only the
// decider uses it, but for the count.
type suspension struct {
	// lastActive is when the decider last handled something, and resumedAt when it last
	// did so after a suspension.
	lastActive, resumedAt time.Duration
	count                 atomic.Uint64
}

// recordActive records that the decider is active. It returns for how long it was
// suspended before, 0 if it wasn't.
func (s *suspension) recordActive(now time.Duration) time.Duration {
	gap := now - s.lastActive
	s.lastActive = now
	if gap < suspendedFor {
		return 0
	}
	s.resumedAt = now
	s.count.Add(1)
	return gap
}

// checkSuspension records that the decider is active.
func (d *decider) checkSuspension(now time.Duration) {
	if gap := d.suspension.recordActive(now); gap > 0 {
		d.observer.log.WarnContext(logs.Always(), "Instance: was suspended; new flows wait until the directory is confirmed.",
			"For", gap, "ConfirmedAge", d.confirmed().Age(now))
	}
}

// awaitsConfirmation reports whether a packet opens a flow while the directory hasn't been
// confirmed since a suspension. Servers may have left and data centres may be out by now.
func (d *decider) awaitsConfirmation(now time.Duration, s segment.Segment) bool {
	resumed := d.suspension.resumedAt
	return resumed > 0 && now-resumed <= resumeLimit && !d.confirmed().NotBefore(resumed) && s.Flags.Has(segment.Open)
}

package flow

import "time"

// ServiceCounts counts the flows of one service as one instance saw them.
type ServiceCounts struct {
	Service string
	// Begun counts new flows that this instance placed.
	Begun uint64
	// Ended counts packets that end a flow.
	Ended uint64
	// GivenUp counts packets of flows whose backend server is gone or whose data
	// centre is out.
	GivenUp uint64
	// Silent counts decisions with the reason Silent.
	Silent uint64
	// Guessed counts decisions with the reason Guessed.
	Guessed uint64
	// Dropped counts dropped packets of all reasons.
	Dropped uint64
}

// ReasonCount counts dropped packets by reason.
type ReasonCount struct {
	Reason Reason
	Count  uint64
}

// Counts holds the counters of one instance's core since its start.
type Counts struct {
	// Services are ordered by name.
	Services []ServiceCounts
	// Drops are ordered by reason; reasons without drops are left out.
	Drops []ReasonCount
	// Passes counts packets passed to another instance.
	Passes uint64
}

// Counts returns the counters.
func (c *Core) Counts() Counts {
	counts := Counts{Passes: c.passes}
	for _, s := range c.ordered {
		counts.Services = append(counts.Services, *s.counts)
	}
	for r, n := range c.drops {
		if n > 0 {
			counts.Drops = append(counts.Drops, ReasonCount{Reason: Reason(r), Count: n})
		}
	}
	return counts
}

// CachedFlows returns how many flows are in the cache. It scans the whole cache.
func (c *Core) CachedFlows() int { return c.cache.count() }

// Unsynchronised reports whether the instance is unsynchronised: it passes the
// packets of flows that it doesn't know to their owners.
func (c *Core) Unsynchronised() bool { return c.own.Unsynchronised }

// Event is a change of the core's state, for the journal.
type Event struct {
	At      time.Time
	Subject string
	Action  string
}

// Events returns the events since the last call, oldest first. Beyond a limit,
// later events are lost.
func (c *Core) Events() []Event {
	events := append([]Event(nil), c.events...)
	c.events = c.events[:0]
	return events
}

// note adds an event unless too many wait.
func (c *Core) note(now time.Time, subject, action string) {
	if len(c.events) < cap(c.events) {
		c.events = append(c.events, Event{At: now, Subject: subject, Action: action})
	}
}

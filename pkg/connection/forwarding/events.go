package forwarding

import "time"

// Belief is what the instance takes a backend server for.
type Belief uint8

// Beliefs, from the best to the worst.
const (
	// Answering servers get new flows.
	Answering Belief = iota
	// Suspected ones get a flow now and then, to see whether they answer.
	Suspected
	// Silent ones have surely ended or can't be reached.
	Silent
)

// String returns the name that logs show.
func (b Belief) String() string { return [...]string{"Answering", "Suspected", "Silent"}[b] }

// maxEvents bounds the events that wait to be taken; the oldest stay.
const maxEvents = 64

// Event is a change of what the instance believes of a backend server.
type Event struct {
	Server, Service, DataCentre string
	Before, Now                 Belief
	// Failures and Stuck are the flows that it left unanswered here, and Others
	// those that other instances reported.
	Failures, Stuck, Others int
	// SilentFor is how long ago the last sign of life was seen anywhere.
	SilentFor time.Duration
}

// judge notes when the belief about a backend server changes.
func (c *Core) judge(now time.Duration, v *server) {
	belief := Answering
	switch {
	case v.view.dead(now, c.answered, c.alive):
		belief = Silent
	case v.view.suspect(now):
		belief = Suspected
	}
	if belief == v.belief {
		return
	}
	if len(c.events) < maxEvents {
		c.events = append(c.events, Event{
			Server: v.ID, Service: v.Service, DataCentre: v.DataCentre, Before: v.belief, Now: belief,
			Failures: v.view.failures, Stuck: v.view.stuck, Others: v.view.others.failures,
			SilentFor: now - max(v.view.alive, v.view.others.alive),
		})
	}
	v.belief = belief
}

// Events returns the changes of belief since the last call.
func (c *Core) Events() []Event {
	events := c.events
	c.events = nil
	return events
}

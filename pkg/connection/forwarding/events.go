package forwarding

import (
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/clock"
)

// ServerState is the state in which the instance assumes a backend server to be.
type ServerState uint8

// States of a backend server, from the best to the worst.
const (
	// Answering: the server gets new flows.
	Answering ServerState = iota
	// Suspected: the server gets single flows as trials, to see whether it answers.
	Suspected
	// Silent: the server has ended or can't be reached from the data centre.
	Silent
)

// String returns the name that logs show.
func (s ServerState) String() string { return [...]string{"Answering", "Suspected", "Silent"}[s] }

// maxEvents bounds the events that wait for a call of Events; later ones are lost.
const maxEvents = 64

// Event is a change of the assumed state of a backend server.
type Event struct {
	Server, Service, DataCentre string
	Before, Now                 ServerState
	// Failures is the number of flows that the server left unanswered at this
	// instance, Stuck how many of them had been open, and Others the number of
	// failures that other instances reported.
	Failures, Stuck, Others int
	// SilentFor is how long ago this or another instance last saw a sign of life.
	SilentFor clock.Age
	// Asked is the number of instances that were asked about the server last, and
	// Answered how many of them answered.
	Asked, Answered int
}

// updateState sets the assumed state of a backend server and adds an event if it
// changes.
func (c *Core) updateState(now time.Duration, v *server) {
	state := Answering
	switch {
	case v.observed.silent(now, c.lastAnswer, c.peerCount):
		state = Silent
	case v.observed.suspected(now):
		state = Suspected
	}
	if state == v.state {
		return
	}
	if state == Silent {
		v.silentAt = now
	}
	if len(c.events) < maxEvents {
		c.events = append(c.events, Event{
			Server: v.ID, Service: v.Service, DataCentre: v.DataCentre, Before: v.state, Now: state,
			Failures: v.observed.failures, Stuck: v.observed.stuck, Others: v.observed.others.failures,
			SilentFor: v.observed.lastSign().Age(now),
			Asked:     v.observed.inquiry.asked, Answered: v.observed.inquiry.answered,
		})
	}
	v.state = state
}

// Events returns the changes of assumed states since the last call, oldest first.
func (c *Core) Events() []Event {
	events := c.events
	c.events = nil
	return events
}

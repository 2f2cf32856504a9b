// Package capacity decides how much work each backend server of a service gets, by what
// flows show of it.
//
// The load that it addresses: servers that pass health probes and yet answer slowly, with
// errors, or not at all. A server counts as degraded only by comparison with the other
// servers of its service, so that a crowd or a fault of the instance itself, which affect
// all servers alike, changes nothing.
//
// # Usage
//
//	core := capacity.New(capacity.Options{})
//	route := core.Route(endpoint, service)
//	outcome := route.Classify(bytes, waited)
//	server.RecordAnswer(now, route, waited, outcome)
//	core.Update(now, service, servers, reporting, rank)
//	if server.Accepts(now, repeatable) {
//		limit, penalty := server.Limit(slots), server.Penalty(repeatable)
//	}
//
// Times are readings of a monotonic clock with any starting point. Nothing here does I/O
// or is safe for use from several goroutines.
package capacity

import (
	"net/netip"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/connection/mechanism"
)

// Defaults of Options, as the settings document them.
const (
	DefaultGreatestEjectedPart = 0.3
	DefaultShortestEjection    = 2 * time.Second
	DefaultLongestEjection     = 16 * time.Second
)

// Options are the settings of a Core. A zero field has its default.
type Options struct {
	// GreatestEjectedPart is the largest part of the usable slots of a service that is
	// ejected at a time.
	GreatestEjectedPart float64
	// ShortestEjection is how long the first ejection of a server lasts. Each further
	// one lasts twice as long, up to LongestEjection.
	ShortestEjection, LongestEjection time.Duration
	// Off are the mechanisms that are switched off.
	Off mechanism.Set
}

func (o Options) withDefaults() Options {
	if o.GreatestEjectedPart == 0 {
		o.GreatestEjectedPart = DefaultGreatestEjectedPart
	}
	if o.ShortestEjection == 0 {
		o.ShortestEjection = DefaultShortestEjection
	}
	if o.LongestEjection == 0 {
		o.LongestEjection = DefaultLongestEjection
	}
	return o
}

// Core compares the servers of each service.
type Core struct {
	options Options
	routes  map[routeKey]*Route
	groups  map[string]*group
	events  []Event
	// ranking is reused by Update.
	ranking []ranked
}

// routeKey names a route and one of the services that its flows go to.
type routeKey struct {
	endpoint netip.AddrPort
	service  string
}

// group is what is known of a service.
type group struct {
	// degraded says that there was evidence against a server at the last Update.
	degraded bool
	// answerTime is the average time of an answer.
	answerTime average
}

// New returns a Core without evidence.
func New(o Options) *Core {
	return &Core{options: o.withDefaults(), routes: make(map[routeKey]*Route), groups: make(map[string]*group)}
}

// Route returns what is known of the answers of a service on a route.
func (c *Core) Route(endpoint netip.AddrPort, service string) *Route {
	key := routeKey{endpoint: endpoint, service: service}
	r, ok := c.routes[key]
	if !ok {
		r = &Route{group: c.group(service)}
		c.routes[key] = r
	}
	return r
}

func (c *Core) group(service string) *group {
	g, ok := c.groups[service]
	if !ok {
		g = &group{}
		c.groups[service] = g
	}
	return g
}

// Retain forgets the routes for which keep returns false.
func (c *Core) Retain(keep func(netip.AddrPort) bool) {
	for key := range c.routes {
		if !keep(key.endpoint) {
			delete(c.routes, key)
		}
	}
}

// Degraded reports whether there was evidence against any server of the service at its
// last Update.
func (c *Core) Degraded(service string) bool {
	g, ok := c.groups[service]
	return ok && g.degraded
}

// Events returns the changes of servers' states since the last call, oldest first.
func (c *Core) Events() []Event {
	events := c.events
	c.events = nil
	return events
}

// State is how a server is used.
type State uint8

// States of a server, from the best to the worst.
const (
	// Healthy: nothing distinguishes the server from the others of its service.
	Healthy State = iota
	// Limited: the server is slower than the others and gets a smaller share.
	Limited
	// Probed: an ejection has ended, and few flows show whether the server has recovered.
	Probed
	// Ejected: the server gets no new flows.
	Ejected
)

// States returns all states, in the order of their values.
func States() []State { return []State{Healthy, Limited, Probed, Ejected} }

// String returns the name that logs and metrics show.
func (s State) String() string { return [...]string{"Healthy", "Limited", "Probed", "Ejected"}[s] }

// Event is a change of a server's state.
type Event struct {
	Server, Service string
	Before, Now     State
	// Evidence is the sum of this and other instances' counts of the server, Sources the
	// number of instances that saw failures, and Reference the share of failures at the
	// other servers.
	Evidence  Evidence
	Sources   int
	Reference float64
	// AnswerTimes is how many times as long as at other servers an answer takes.
	AnswerTimes float64
	// For is how long an ejection lasts, and Since how long the state before lasted.
	For, Since time.Duration
}

// maxEvents bounds the events that wait for a call of Events; later ones are lost.
const maxEvents = 64

func (c *Core) setState(now time.Duration, service string, s Usable, state State) {
	if s.state == state {
		return
	}
	if len(c.events) < maxEvents {
		c.events = append(c.events, Event{
			Server: s.ID, Service: service, Before: s.state, Now: state, Evidence: s.combined(now), Sources: s.sources(now),
			Reference: s.reference, AnswerTimes: s.slowness, For: max(s.until-now, 0), Since: now - s.since,
		})
	}
	s.state, s.since = state, now
}

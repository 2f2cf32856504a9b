// Package forwarding decides where each packet of a flow goes.
//
// The instance that places a flow writes the mark of the chosen backend server
// into the flow's packets. Both ends send the mark back, so any instance can
// forward any later packet of the flow without a record of it. Records that a
// Core keeps of flows only tell how backend servers answer; losing them breaks
// nothing.
//
// # Usage
//
//	core := forwarding.New(forwarding.Options{DataCentre: "dakar-1", Seed: seed})
//	core.Adopt(now, directory)
//	d := core.Decide(now, parsed)
//	if d.Verdict == forwarding.Forward {
//		send(d.Server.Endpoint, d.Server.Number, d.Mark)
//	}
//
// Times are those of a steady clock that begins at any moment. A Core does no
// I/O and is not safe for use from several goroutines.
package forwarding

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tanagerweir/tanagerweir/pkg/connection/mark"
	"github.com/tanagerweir/tanagerweir/pkg/connection/placement"
	"github.com/tanagerweir/tanagerweir/pkg/connection/segment"
	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
)

// Verdict says what becomes of a packet.
type Verdict uint8

// Verdicts.
const (
	// Drop leaves the packet to its sender, which sends it again.
	Drop Verdict = iota
	// Forward sends it to the backend server.
	Forward
	// Reset tells the caller that the flow is given up.
	Reset
)

// Reason says why a decision was taken.
type Reason uint8

// Reasons of decisions.
const (
	// ByMark: the packet names its backend server.
	ByMark Reason = iota
	// Placed: a new flow was placed.
	Placed
	// PlacedAgain: a copy of an opening packet went to another backend server.
	PlacedAgain
	// NoMark: a packet in the middle of a flow names no backend server.
	NoMark
	// UnknownMark: the named backend server isn't known here, or not yet.
	UnknownMark
	// ServerGone: the named backend server has surely ended.
	ServerGone
	// ServerSilent: the named backend server answers nobody.
	ServerSilent
	// NoRoute: no route has this address.
	NoRoute
	// NoServer: no backend server can take a new flow of the route.
	NoServer
	// Unsynchronised: nothing is known yet of the configuration.
	Unsynchronised
)

var reasonNames = [...]string{
	"ByMark", "Placed", "PlacedAgain", "NoMark", "UnknownMark", "ServerGone", "ServerSilent", "NoRoute", "NoServer", "Unsynchronised",
}

// Reasons returns all reasons.
func Reasons() []Reason {
	all := make([]Reason, len(reasonNames))
	for i := range all {
		all[i] = Reason(i)
	}
	return all
}

// String returns the name that logs and metrics show.
func (r Reason) String() string { return reasonNames[r] }

// Decision is what becomes of one packet.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	// Endpoint, Number and Mark belong to the backend server of Forward.
	Endpoint netip.AddrPort
	Number   uint64
	Mark     mark.Mark
	// Server, Service and DataCentre name it, and Route is the flow's, for logs.
	Server, Service, DataCentre, Route string
	// Load is what was known of the server when a flow was placed there.
	Load placement.Candidate
	// Began says that the packet begins a request, and Answered that it is the
	// first to acknowledge an answer, after Waited.
	Began, Answered bool
	Waited          time.Duration
}

// Options are what a Core is told at its start.
type Options struct {
	// Name and DataCentre are the instance's own.
	Name       string
	DataCentre string
	// ColdFactor and ColdSlack bound the requests of a cold backend server in a
	// second: its rate times ColdFactor, plus ColdSlack, from all instances.
	ColdFactor float64
	ColdSlack  float64
	// Seed decides between equally good backend servers.
	Seed uint64
	// Policy ranks backend servers, placement.Score where it is nil.
	Policy placement.Policy
}

// Core decides for the packets that one instance gets.
type Core struct {
	options   Options
	directory directory.Directory
	servers   registry
	flows     flows
	draws     uint64
	// reports are what other instances of the data centre told last, alive how
	// many of them there are, and scale how many each report stands for.
	reports map[string]report
	alive   int
	scale   float64
	// confirmed is when the directory was known to be the newest, and returned
	// when that was so again after an outage of the platform.
	confirmed, returned time.Duration
	// answered is when a caller last acknowledged something new.
	answered time.Duration
	// ticked is when it was last looked for openings that take too long.
	ticked time.Duration
	events []Event
}

// New returns a Core that knows nothing yet.
func New(o Options) *Core {
	if o.Policy == nil {
		o.Policy = placement.Score
	}
	return &Core{options: o, servers: newRegistry(), flows: newFlows(), draws: o.Seed, reports: make(map[string]report), scale: 1}
}

const (
	// freshFor is how old the last confirmation of the directory may be for what
	// it lacks to count: the follower confirms it each 0.8 s.
	freshFor = 1500 * time.Millisecond
	// outageAfter is the age of the last confirmation from which on the platform
	// counts as having been away.
	outageAfter = 2500 * time.Millisecond
	// lapsedFor is how long after an outage entries of living backend servers
	// may be missing.
	lapsedFor = 2 * time.Second
	// goneAfter is how long an entry has to be missing until flows at its
	// backend server are given up: longer than any entry lapses by an outage.
	goneAfter = 2500 * time.Millisecond
)

// Confirm notes when the directory was known to be the newest.
func (c *Core) Confirm(now, at time.Duration) {
	if at <= c.confirmed {
		return
	}
	if c.confirmed > 0 && at-c.confirmed > outageAfter {
		c.returned = now
	}
	c.confirmed = at
}

// fresh says whether what the directory lacks is surely not there.
func (c *Core) fresh(now time.Duration) bool { return now-c.confirmed <= freshFor }

// Decide takes a caller's packet.
func (c *Core) Decide(now time.Duration, s segment.Segment) Decision {
	if s.Flags.Has(segment.Open) {
		return c.open(now, s)
	}
	if s.Mark == uint32(mark.None) {
		return Decision{Verdict: Drop, Reason: NoMark}
	}
	v, ok := c.servers.byMark[mark.Mark(s.Mark)]
	if !ok {
		return Decision{Verdict: Drop, Reason: UnknownMark}
	}
	seen := c.observe(now, s, v)
	if reason, lost := c.lost(now, s, v); lost {
		if f := c.flows.byKey[s.Flow]; f != nil {
			c.flows.forget(f)
		}
		return v.decision(Reset, reason)
	}
	d := v.decision(Forward, ByMark)
	d.Began, d.Answered, d.Waited = seen.began, seen.answered, seen.waited
	if r, ok := c.directory.Route(s.Flow.Route); ok && seen.began {
		d.Route = r.Name
	}
	return d
}

// lost says whether a flow is to be given up since its backend server has ended.
// Only callers that may send a request again gain by that.
func (c *Core) lost(now time.Duration, s segment.Segment, v *server) (Reason, bool) {
	if s.Length == 0 {
		return ByMark, false
	}
	if r, ok := c.directory.Route(s.Flow.Route); !ok || r.Kind != directory.Repeatable {
		return ByMark, false
	}
	switch {
	case v.missing && now-v.gone >= goneAfter && v.view.alive < v.gone && c.fresh(now):
		return ServerGone, true
	case v.view.dead(now, c.answered, c.alive):
		return ServerSilent, true
	}
	return ByMark, false
}

// open decides for a packet that asks for a new flow.
func (c *Core) open(now time.Duration, s segment.Segment) Decision {
	if c.directory.Version() == 0 {
		return Decision{Verdict: Drop, Reason: Unsynchronised}
	}
	route, ok := c.directory.Route(s.Flow.Route)
	if !ok && !c.fresh(now) {
		// A newer configuration may have the route; copies of the packet follow.
		return Decision{Verdict: Drop, Reason: NoRoute}
	}
	if !ok {
		return Decision{Verdict: Reset, Reason: NoRoute}
	}
	c.doubtUnopened(now)
	f := c.begin(now, s)
	v := c.place(now, route, f)
	if v == nil {
		return Decision{Verdict: Reset, Reason: NoServer, Route: route.Name}
	}
	d := v.decision(Forward, Placed)
	if s.Copy() > 0 {
		d.Reason = PlacedAgain
	}
	d.Route, d.Load = route.Name, c.candidate(now, v)
	c.placed(now, f, v)
	return d
}

func (v *server) decision(verdict Verdict, r Reason) Decision {
	return Decision{
		Verdict: verdict, Reason: r, Endpoint: v.Endpoint, Number: v.Number, Mark: v.mark,
		Server: v.ID, Service: v.Service, DataCentre: v.DataCentre,
	}
}

// serviceOf chooses the service of a route for a flow. All copies of an opening
// packet get the same one.
func serviceOf(r directory.Route, f segment.Flow) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	at := float64(hash(f)>>11) / (1 << 53) * total
	for _, s := range r.Shares {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return ""
}

func hash(f segment.Flow) uint64 {
	var b [12]byte
	caller, route := f.Caller.Addr().As4(), f.Route.Addr().As4()
	copy(b[:], caller[:])
	copy(b[4:], route[:])
	b[8], b[9] = byte(f.Caller.Port()>>8), byte(f.Caller.Port())
	b[10], b[11] = byte(f.Route.Port()>>8), byte(f.Route.Port())
	return xxhash.Sum64(b[:])
}

// Tick does what time alone brings. A backend server that left stays known by
// its mark for as long as a flow may last.
func (c *Core) Tick(now, maxFlow time.Duration) {
	c.servers.expire(now, maxFlow)
	c.doubtUnopened(now)
	c.flows.sweep(now, c.directory.IdleTimeout())
	for _, v := range c.servers.known {
		v.view.average += averageShare * (float64(v.view.running) - v.view.average)
	}
	c.combine(now)
	for _, v := range c.servers.known {
		c.judge(now, v)
	}
}

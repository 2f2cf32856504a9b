// Package forwarding decides where each packet of a flow goes.
//
// The instance that places a flow writes the mark of the chosen backend server
// into the flow's packets. Both ends send the mark back, so any instance can
// forward any later packet of the flow without a record of it. A Core keeps
// records of flows only to measure the load of backend servers and whether they
// answer; losing the records breaks no flow.
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
// Times are readings of a monotonic clock with any starting point. A Core does no
// I/O and is not safe for use from several goroutines.
package forwarding

import (
	"net/netip"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/clock"
	"github.com/tanagerweir/tanagerweir/pkg/connection/admission"
	"github.com/tanagerweir/tanagerweir/pkg/connection/mark"
	"github.com/tanagerweir/tanagerweir/pkg/connection/mechanism"
	"github.com/tanagerweir/tanagerweir/pkg/connection/placement"
	"github.com/tanagerweir/tanagerweir/pkg/connection/segment"
	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
)

// Verdict is what to do with a packet.
type Verdict uint8

// Verdicts.
const (
	// Drop discards the packet; its sender retransmits it.
	Drop Verdict = iota
	// Forward sends the packet to the backend server.
	Forward
	// Reset answers the caller with a reset, which ends the flow.
	Reset
)

// Reason is why a decision was taken.
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
	// UnknownMark: the instance doesn't know the named backend server, or not yet.
	UnknownMark
	// ServerGone: the named backend server has left the directory and has ended.
	ServerGone
	// ServerSilent: the named backend server answers no instance of the data centre.
	ServerSilent
	// OutOfReach: no backend server of the named one's data centre answers any instance
	// of this one.
	OutOfReach
	// NoRoute: no route has this address.
	NoRoute
	// NoServer: no backend server can take a new flow of the route.
	NoServer
	// Unsynchronised: the instance has received no configuration yet.
	Unsynchronised
	// NoRoom: the servers have no room for a request of this priority now.
	NoRoom
)

var reasonNames = [...]string{
	"ByMark", "Placed", "PlacedAgain", "NoMark", "UnknownMark", "ServerGone", "ServerSilent", "OutOfReach", "NoRoute", "NoServer", "Unsynchronised", "NoRoom",
}

// Reasons returns all reasons, in the order of their values.
func Reasons() []Reason {
	reasons := make([]Reason, len(reasonNames))
	for i := range reasons {
		reasons[i] = Reason(i)
	}
	return reasons
}

// String returns the name that logs and metrics show.
func (r Reason) String() string { return reasonNames[r] }

// Decision is what to do with one packet, and why.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	// Endpoint, Number and Mark are those of the backend server of a Forward.
	Endpoint netip.AddrPort
	Number   uint64
	Mark     mark.Mark
	// Server, Service and DataCentre name the backend server, and Route is the
	// flow's, for logs.
	Server, Service, DataCentre, Route string
	// Load is what was known about the server when a new flow was placed there.
	Load placement.Candidate
	// Began is true if the packet begins a request. Answered is true if it is the
	// first to acknowledge the answer, Waited after the request.
	Began, Answered bool
	Waited          time.Duration
}

// Options are the settings of a Core.
type Options struct {
	// Name and DataCentre are the instance's own.
	Name       string
	DataCentre string
	// ColdFactor and ColdSlack bound the requests that a cold backend server gets
	// in a second from all instances together: its rate times ColdFactor, plus
	// ColdSlack.
	ColdFactor float64
	ColdSlack  float64
	// Seed starts the draws between equally good backend servers.
	Seed uint64
	// Policy ranks backend servers; nil stands for placement.Score.
	Policy placement.Policy
	// Health are the settings of what is learnt of servers' capacity and health.
	Health HealthOptions
	// Admission are the settings of the admission of new flows; nil admits all.
	Admission *admission.Options
	// Off are the mechanisms that are switched off, of this package and of those that it uses.
	Off mechanism.Set
}

// Core decides about the packets that one instance receives.
type Core struct {
	options   Options
	directory directory.Directory
	servers   registry
	flows     flows
	draw      uint64
	// reports are the last ones of other instances of the data centre, by name,
	// peerCount is the number of these instances, and reportScale how many of them
	// each report stands for.
	reports     map[string]report
	peerCount   int
	reportScale float64
	// instances is the number of registered instances of all data centres.
	instances int
	// affinity says that this instance prefers some servers, see assignAffinity.
	affinity      bool
	affinityState affinityState
	spillEvents   []SpillEvent
	// confirmed is when the directory was last known to be the newest.
	confirmed clock.Time
	// outageEnded is when this was so again after an outage of the platform, 0 for never.
	outageEnded time.Duration
	// eraChanged is when the era of the platform's store last changed, 0 for never.
	eraChanged time.Duration
	// firstOpened is when a flow was first seen to open since the start, 0 for never.
	firstOpened time.Duration
	// lastAnswer is when a caller last acknowledged new data.
	lastAnswer time.Duration
	// openingsChecked is when checkOpenings last ran.
	openingsChecked time.Duration
	events          []Event
	// reaches are the ways to the data centres, by name, and askedAt when callers
	// last asked for each service. unserved says that callers aren't served here,
	// since unservedAt.
	reaches     map[string]*reach
	askedAt     map[string]time.Duration
	unserved    bool
	unservedAt  time.Duration
	reachEvents []ReachEvent
	health      health
	// restartEvents wait for a call of RestartEvents, and noticesDue says that Notices may
	// have something to tell.
	restartEvents []RestartEvent
	noticesDue    bool
	senders       senders
	// admission is nil if all new flows are admitted.
	admission *admission.Core
}

// New returns a Core without a directory; it drops packets until Adopt.
func New(o Options) *Core {
	c := &Core{
		options: o, servers: newRegistry(), flows: newFlows(), draw: o.Seed, reports: make(map[string]report), reportScale: 1,
		reaches: make(map[string]*reach), askedAt: make(map[string]time.Duration),
		health: newHealth(o.Health, o.Off),
	}
	if o.Admission != nil {
		a := *o.Admission
		a.Off = o.Off
		c.admission = admission.New(a)
	}
	return c
}

const (
	// freshPeriod is the largest age of the directory's last confirmation at which
	// an entry that it lacks counts as gone: the follower confirms it each 0.8 s.
	freshPeriod = 1500 * time.Millisecond
	// outageAfter is the age of the last confirmation above which the platform is
	// taken to have had an outage.
	outageAfter = 2500 * time.Millisecond
	// graceAfterOutage is how long after an outage the entries of running backend
	// servers may be missing.
	graceAfterOutage = 2 * time.Second
	// goneAfter is how long an entry has to be missing until flows at its backend
	// server are given up: longer than an outage makes any entry missing.
	goneAfter = 2500 * time.Millisecond
)

// Confirm records that the directory was known to be the newest at that time, which
// may be before now. It ignores a time that isn't later than the last one.
func (c *Core) Confirm(now time.Duration, at clock.Time) {
	latest := c.confirmed.Latest(at)
	if latest == c.confirmed {
		return
	}
	if c.outageUntil(latest.Or(0)) {
		c.outageEnded = now
	}
	c.confirmed = latest
}

// outageUntil reports whether the platform was out of reach up to that time. Nothing is known
// of an outage that began before the instance.
func (c *Core) outageUntil(at time.Duration) bool {
	return c.confirmed.NotBefore(0) && !c.confirmed.Age(at).AtMost(outageAfter)
}

// directoryFresh reports whether the directory is recent enough that an entry which
// it lacks doesn't exist. A directory that was never confirmed isn't: an instance may have
// got it at its start from another one that was cut off.
func (c *Core) directoryFresh(now time.Duration) bool {
	return c.confirmed.Age(now).AtMost(freshPeriod)
}

// Decide returns what to do with a caller's packet. It allocates no memory in the
// long run.
func (c *Core) Decide(now time.Duration, s segment.Segment) Decision {
	if s.Flags.Has(segment.Open) {
		return c.decideOpening(now, s)
	}
	if s.Mark == uint32(mark.None) {
		return Decision{Verdict: Drop, Reason: NoMark}
	}
	v, ok := c.servers.byMark[mark.Mark(s.Mark)]
	if !ok {
		return Decision{Verdict: Drop, Reason: UnknownMark}
	}
	request := c.observe(now, s, v)
	c.observeAdmission(now, s, v, request)
	if reason, lost := c.flowLost(now, s, v); lost {
		if f := c.flows.byKey[s.Flow]; f != nil {
			c.flows.remove(f)
		}
		return v.decision(Reset, reason)
	}
	d := v.decision(Forward, ByMark)
	d.Began, d.Answered, d.Waited = request.began, request.answered, request.waited
	if r, ok := c.directory.Route(s.Flow.Route); ok && request.began {
		d.Route = r.Name
	}
	return d
}

// flowLost reports whether to give a flow up since its backend server has ended,
// and the reason. This is only done on routes whose requests callers may repeat:
// other callers gain nothing by it.
func (c *Core) flowLost(now time.Duration, s segment.Segment, v *server) (Reason, bool) {
	if s.Length == 0 {
		return ByMark, false
	}
	if r, ok := c.directory.Route(s.Flow.Route); !ok || r.Kind != directory.Repeatable {
		return ByMark, false
	}
	switch {
	case v.missing && now-v.missingSince >= goneAfter && !v.observed.lastAlive.NotBefore(v.missingSince) && c.directoryFresh(now):
		return ServerGone, true
	case v.observed.silent(now, c.lastAnswer, c.peerCount):
		return ServerSilent, true
	case c.reachOf(v.DataCentre).confirmed(now, c.peerCount) && c.flows.unanswered(now, s.Flow):
		return OutOfReach, true
	}
	return ByMark, false
}

// decideOpening decides about a packet that opens a new flow.
func (c *Core) decideOpening(now time.Duration, s segment.Segment) Decision {
	if c.directory.Version() == 0 {
		return Decision{Verdict: Drop, Reason: Unsynchronised}
	}
	if v := c.openedBefore(s); v != nil {
		return v.decision(Forward, ByMark)
	}
	route, ok := c.directory.Route(s.Flow.Route)
	if !ok && !c.directoryFresh(now) {
		// A newer configuration may have the route; the caller sends copies of the
		// packet.
		return Decision{Verdict: Drop, Reason: NoRoute}
	}
	if !ok {
		return Decision{Verdict: Reset, Reason: NoRoute}
	}
	c.checkOpenings(now)
	c.askFor(now, route)
	if service := serviceOf(route, s.Flow); !c.admits(now, s, service) {
		return Decision{Verdict: Reset, Reason: NoRoom, Route: route.Name, Service: service}
	}
	f := c.openFlow(now, s)
	v := c.place(now, route, f, s.Copy())
	if v == nil && c.usableSoon(now, route, f, s.Copy()) {
		return Decision{Verdict: Drop, Reason: NoServer, Route: route.Name}
	}
	if v == nil {
		return Decision{Verdict: Reset, Reason: NoServer, Route: route.Name}
	}
	d := v.decision(Forward, Placed)
	if s.Copy() > 0 {
		d.Reason = PlacedAgain
	}
	d.Route, d.Load = route.Name, c.candidate(now, v)
	c.recordPlacement(now, f, v)
	return d
}

func (v *server) decision(verdict Verdict, r Reason) Decision {
	return Decision{
		Verdict: verdict, Reason: r, Endpoint: v.Endpoint, Number: v.Number, Mark: v.mark,
		Server: v.ID, Service: v.Service, DataCentre: v.DataCentre,
	}
}

// serviceOf chooses a service of the route for a flow, by the shares' weights. All
// copies of an opening packet get the same service. It returns "" if the route has
// no shares with weight.
func serviceOf(r directory.Route, f segment.Flow) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	point := float64(f.Hash()>>11) / (1 << 53) * total
	for _, s := range r.Shares {
		if point -= s.Weight; point < 0 {
			return s.Service
		}
	}
	return ""
}

// Tick does the periodic work; call it each 0.1 s. A backend server that left the
// directory stays known by its mark for maxFlow, the longest life of a flow.
func (c *Core) Tick(now, maxFlow time.Duration) {
	if c.servers.expire(now, maxFlow) {
		c.assignAffinity()
	}
	c.checkOpenings(now)
	c.flows.sweep(now, c.directory.IdleTimeout())
	c.flows.sweepWaiting(now, c.health.on())
	for _, v := range c.servers.sorted {
		v.observed.average += averageWeight * (float64(v.observed.atServer()) - v.observed.average)
	}
	c.combineReports(now)
	c.updateHealth(now)
	c.settleSigns(now)
	for _, v := range c.servers.sorted {
		c.updateState(now, v)
	}
	c.updateReach(now)
	c.updateFull(now)
	c.tickAdmission(now)
}

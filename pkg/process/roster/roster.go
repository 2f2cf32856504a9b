// Package roster keeps one instance's view of which instances are alive.
//
// Every instance stands once in each of several hash rings and exchanges
// messages with its successor in each ring, so it keeps few connections and
// is watched by as many others. An instance that leaves several exchanges in
// a row unanswered is suspected. The suspicion spreads, and the suspect
// refutes it when it receives it from any of its other neighbours; a suspect
// that doesn't refute in time is considered dead. A message carries a bounded
// number of records: changes, which are sent to a number of peers that grows
// with the logarithm of the fleet, and, where two views still differ, the
// next records in turn.
//
// The platform's list, which lags, adds names and says which instances are
// leaving; it never revives a dead instance. A wrong view costs an extra hop
// between instances, never a wrong backend server.
//
// # Usage
//
//	core := roster.New(roster.Member{Name: "entry-1", DataCentre: "dakar-1", Incarnation: boot}, seed)
//	core.ApplyList(now, entries)
//	peer, ok := core.Tick(now)
//	message := core.MessageFor(now, peer.Name)
//	answer, err := send(peer, message)
//	if err != nil {
//		core.Failed(now, peer.Name)
//	} else {
//		core.Receive(now, answer)
//	}
//
// A Core does no I/O and is not safe for use from several goroutines.
package roster

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
)

// Times and amounts of the protocol.
const (
	// Period is the time between two exchanges that an instance starts.
	Period = 1 * time.Second
	// SuspicionTimeout is how long a suspect has to refute the suspicion.
	SuspicionTimeout = 10 * time.Second
	// RemovedWithin is the longest time until a dead member is out of all views.
	RemovedWithin = 20 * time.Second
	// ReachableAfterLeave is how long after it left a member may still answer.
	ReachableAfterLeave = 30 * time.Second
	// ForgetAfter is how long a dead or departed member is remembered.
	ForgetAfter = 10 * time.Minute
	// Rings is the number of hash rings, and so the largest number of
	// neighbours that an instance exchanges with.
	Rings = 4
	// RecordsPerMessage bounds the records of one message.
	RecordsPerMessage = 8
	// RecordsToNewInstance bounds the records of an answer to an instance that
	// knows fewer than half of the members.
	RecordsToNewInstance = 64
	// missesToSuspect is how many exchanges in a row have to fail before an
	// instance suspects another. The number doubles, up to
	// missesToSuspectLimit, each time the other refutes, as then it is the
	// path between the two that fails.
	missesToSuspect      = 3
	missesToSuspectLimit = 96
	// sendsPerDoubling is how often a change of health is sent for each
	// doubling of the fleet's size.
	sendsPerDoubling = 3
	// sendsDone is the send count of a record that needs no sending, as every
	// instance has it from the platform's list.
	sendsDone = 1 << 20
	// fastPeriod is the time between exchanges while changes of health are
	// pending. fastExchanges is how many fast exchanges follow a change at
	// most. Each takes a token from a bucket that holds at most
	// fastTokensLimit and gains one token every fastTokenPeriod.
	fastPeriod      = 150 * time.Millisecond
	fastExchanges   = 2 * Rings
	fastTokensLimit = 3 * fastExchanges
	fastTokenPeriod = 2 * time.Second
	// nonHealthSends is how often a new member or a new version is sent; the
	// exchange of records between differing views spreads the rest.
	nonHealthSends = 6
	// One in reconnectOneIn exchanges goes to a member that isn't alive, so
	// that healed partitions are found.
	reconnectOneIn = 8
)

// Health is the state of a member in a view.
type Health uint8

// Healths of a member. At the same incarnation and heartbeat a later one
// overrides an earlier one.
const (
	Healthy Health = iota
	Suspect
	Dead
)

// Member is the latest known record of one instance.
type Member struct {
	Name       string
	DataCentre string
	// Incarnation grows with every start of the instance.
	Incarnation uint64
	// Heartbeat grows with every record that the member issues about itself.
	Heartbeat uint64
	Version   catalogue.Version
	Leaving   bool
	Health    Health
	// Endpoints of the instance, see package settings. They are invalid in a
	// record that carries only a change to a known member.
	Peer   netip.AddrPort
	Passed netip.AddrPort
	Admin  netip.AddrPort
}

// brief returns m without the fields that never change within an incarnation.
func (m Member) brief() Member {
	return Member{Name: m.Name, Incarnation: m.Incarnation, Heartbeat: m.Heartbeat, Version: m.Version, Leaving: m.Leaving, Health: m.Health}
}

// Message is what one instance sends another in an exchange. Members is owned
// by the receiver.
type Message struct {
	// From is the sender's own record. ViewDigest is a digest of the sender's
	// view and KnownMembers is the number of members in it.
	From         Member
	ViewDigest   uint64
	KnownMembers int
	Members      []Member
}

// changeKind classifies a change of a record, the most urgent kind first.
type changeKind uint8

const (
	healthChange changeKind = iota
	joinChange
	versionChange
)

// record is what this instance knows of one member.
type record struct {
	member Member
	// lastHeartbeat is when a newer heartbeat or incarnation was last
	// received. stateSince is when the member's health, leaving state,
	// incarnation or peer endpoint last changed in this view.
	lastHeartbeat time.Time
	stateSince    time.Time
	// sends counts how often the record was sent since it last changed.
	sends int
	// change is the kind of the change to send. withEndpoints says that the
	// endpoints are sent with it.
	change        changeKind
	withEndpoints bool
	misses        int
	// missesAllowed is how many failed exchanges in a row make this instance
	// suspect the member; misses counts them. suspectedHere says that this
	// instance itself raised the suspicion.
	missesAllowed int
	suspectedHere bool
	// listed says that the platform's list has the member.
	listed bool
	// endpointsFromList says that the endpoints come from the platform's list
	// and not from the member itself.
	endpointsFromList bool
	// listedLeaving says that the platform's list has the member as leaving.
	listedLeaving bool
}

// Core is one instance's view of the other instances.
type Core struct {
	self    *record
	random  *rand.Rand
	records map[string]*record
	// sorted holds the records by name. syncCursor is the index of the record
	// that was last sent because views differ.
	sorted        []*record
	syncCursor    int
	neighbourTurn int
	rings         *rings
	// viewsDiffer says that a peer has just sent the digest of another view.
	viewsDiffer bool
	// nextExchange is when the next regular exchange is due. fastPending
	// counts the fast exchanges still wanted. fastTokens is the number of
	// those allowed now, and lastToken is when one was last added.
	nextExchange time.Time
	fastPending  int
	fastTokens   int
	lastToken    time.Time
	seeds        []netip.AddrPort
	// digest is the digest of the view at the change count digestAt; changes
	// is the present count.
	digest   uint64
	digestAt uint64
	changes  uint64
}

// New returns a view that holds only the instance itself. The seed makes its
// random choice of peers reproducible.
func New(self Member, seed uint64) *Core {
	own := &record{member: self, change: joinChange, withEndpoints: true}
	return &Core{
		self:       own,
		random:     rand.New(rand.NewPCG(seed, self.Incarnation)),
		records:    map[string]*record{self.Name: own},
		sorted:     []*record{own},
		rings:      newRings(self.Name),
		changes:    1,
		fastTokens: fastTokensLimit,
	}
}

// exchangeFast makes the next few exchanges follow each other at fastPeriod.
func (c *Core) exchangeFast() { c.fastPending = fastExchanges }

// Due reports whether an exchange is due and, if so, schedules the one after
// it.
func (c *Core) Due(now time.Time) bool {
	for c.fastTokens < fastTokensLimit && now.Sub(c.lastToken) >= fastTokenPeriod {
		c.fastTokens++
		c.lastToken = c.lastToken.Add(fastTokenPeriod)
	}
	if c.fastTokens == fastTokensLimit {
		c.lastToken = now
	}
	fast := c.fastPending > 0 && c.fastTokens > 0 && !now.Before(c.nextExchange.Add(fastPeriod-Period))
	if now.Before(c.nextExchange) && !fast {
		return false
	}
	if fast {
		c.fastPending--
		c.fastTokens--
	}
	c.nextExchange = now.Add(Period)
	return true
}

// SetVersion records the catalogue version that the instance has in force.
func (c *Core) SetVersion(v catalogue.Version) {
	if c.self.member.Version != v {
		c.self.member.Version = v
		c.announceSelf(versionChange)
	}
}

// Leave marks the instance as leaving; it can't be undone.
func (c *Core) Leave() {
	c.self.member.Leaving = true
	c.announceSelf(healthChange)
	c.changes++
	c.exchangeFast()
}

// announceSelf raises the heartbeat, so that the instance's own record
// overrides all earlier ones, and queues it for sending.
func (c *Core) announceSelf(k changeKind) {
	c.self.member.Heartbeat++
	c.self.queueChange(k)
}

// queueChange queues r for sending as a change of kind k. A more urgent kind
// that hasn't been sent yet is kept.
func (r *record) queueChange(k changeKind) {
	if r.sends > 0 || k < r.change {
		r.change = k
	}
	r.sends = 0
}

// Changes returns a number that grows whenever the result of Alive or Members
// may have changed by more than versions.
func (c *Core) Changes() uint64 { return c.changes }

// ApplyList applies the platform's list of entry instances. Members that the
// list lacks stay in the view.
func (c *Core) ApplyList(now time.Time, members []Member) {
	for _, r := range c.records {
		r.listed = false
	}
	for _, m := range members {
		r, ok := c.records[m.Name]
		if !ok {
			r = c.add(now, m.withoutOwnState())
			r.sends = sendsDone
		}
		r.listed = true
		if r.listedLeaving != m.Leaving {
			r.listedLeaving = m.Leaving
			c.changes++
		}
	}
}

// withoutOwnState returns m without what only the member itself can say of
// its state; the platform's list knows none of it.
func (m Member) withoutOwnState() Member {
	m.Incarnation, m.Heartbeat, m.Leaving, m.Health = 0, 0, false, Healthy
	return m
}

func (c *Core) add(now time.Time, m Member) *record {
	r := &record{member: m, lastHeartbeat: now, stateSince: now, change: joinChange, withEndpoints: true, missesAllowed: missesToSuspect}
	c.records[m.Name] = r
	index, _ := slices.BinarySearchFunc(c.sorted, m.Name, byName)
	c.sorted = slices.Insert(c.sorted, index, r)
	c.changes++
	return r
}

// Tick expires suspicions, forgets members that are long gone and returns the
// peer to exchange with next, or false if there is none.
func (c *Core) Tick(now time.Time) (Member, bool) {
	c.sweep(now)
	if c.random.IntN(reconnectOneIn) == 0 {
		if m, ok := c.reconnectTarget(); ok {
			return m, true
		}
	}
	neighbours := c.Neighbours(now)
	if len(neighbours) == 0 {
		return c.reconnectTarget()
	}
	for _, m := range neighbours {
		if r := c.records[m.Name]; r.misses > 0 && r.misses < missesToSuspect && r.member.Health == Healthy {
			return m, true
		}
	}
	c.neighbourTurn++
	return neighbours[c.neighbourTurn%len(neighbours)], true
}

// sweep declares suspects dead that didn't refute in time and forgets members
// that are long gone.
func (c *Core) sweep(now time.Time) {
	for _, r := range slices.Clone(c.sorted) {
		if r == c.self {
			continue
		}
		if r.member.Health == Suspect && now.Sub(r.stateSince) >= r.suspicionTimeout() {
			c.setHealth(now, r, Dead)
		}
		gone := r.member.Health == Dead || r.member.Leaving
		if gone && !r.listed && now.Sub(r.stateSince) >= ForgetAfter {
			c.forget(r.member.Name)
		}
	}
}

// suspicionTimeout is how long a suspect has to refute. An instance that only
// received the suspicion from others waits longer, so that those whose
// exchanges failed decide.
func (r *record) suspicionTimeout() time.Duration {
	if r.suspectedHere {
		return SuspicionTimeout
	}
	return 3 * SuspicionTimeout
}

func (c *Core) forget(name string) {
	delete(c.records, name)
	index, _ := slices.BinarySearchFunc(c.sorted, name, byName)
	c.sorted = slices.Delete(c.sorted, index, index+1)
	c.changes++
}

func byName(r *record, name string) int { return strings.Compare(r.member.Name, name) }

func (c *Core) setHealth(now time.Time, r *record, h Health) {
	r.member.Health, r.stateSince = h, now
	r.queueChange(healthChange)
	c.changes++
	c.exchangeFast()
}

// Seed sets peer endpoints to contact where no member is known to be alive.
// The slice is copied.
func (c *Core) Seed(endpoints []netip.AddrPort) { c.seeds = slices.Clone(endpoints) }

// reconnectTarget returns a random member that isn't alive but may be again,
// or a seed endpoint at which no member is known to be alive. A member that
// stands for a seed has no name.
func (c *Core) reconnectTarget() (Member, bool) {
	candidates := c.ReconnectCandidates()
	for _, s := range c.seeds {
		if !c.aliveAt(s) {
			candidates = append(candidates, Member{Peer: s})
		}
	}
	if len(candidates) == 0 {
		return Member{}, false
	}
	return candidates[c.random.IntN(len(candidates))], true
}

// ReconnectCandidates returns the members that aren't alive but may be again,
// sorted by name.
func (c *Core) ReconnectCandidates() []Member {
	var members []Member
	for _, r := range c.sorted {
		if !c.isAlive(r) && r.member.Peer.IsValid() {
			members = append(members, r.member)
		}
	}
	return members
}

func (c *Core) aliveAt(peer netip.AddrPort) bool {
	return slices.ContainsFunc(c.sorted, func(r *record) bool { return c.isAlive(r) && r.member.Peer == peer })
}

// Failed records that an exchange with the named member got no answer.
func (c *Core) Failed(now time.Time, name string) {
	r, ok := c.records[name]
	if !ok || r == c.self || r.member.Health != Healthy {
		return
	}
	r.misses++
	if r.misses >= r.missesAllowed {
		r.suspectedHere = true
		c.setHealth(now, r, Suspect)
	}
}

// isAlive reports whether the member is in the rings: neither dead nor
// leaving. The instance itself always is.
func (c *Core) isAlive(r *record) bool {
	return r == c.self || r.member.Health != Dead && !r.member.Leaving && !r.listedLeaving
}

// Neighbours returns the members to exchange with, at most Rings of them.
func (c *Core) Neighbours(time.Time) []Member {
	c.rings.refresh(c.changes, c.aliveNames)
	neighbours := make([]Member, 0, Rings)
	for _, name := range c.rings.neighbours {
		neighbours = append(neighbours, c.records[name].member)
	}
	return neighbours
}

func (c *Core) aliveNames() []string {
	names := make([]string, 0, len(c.sorted))
	for _, r := range c.sorted {
		if c.isAlive(r) {
			names = append(names, r.member.Name)
		}
	}
	return names
}

// Members returns every known member, the instance itself included, sorted by
// name.
func (c *Core) Members() []Member {
	members := make([]Member, 0, len(c.sorted))
	for _, r := range c.sorted {
		members = append(members, r.member)
	}
	return members
}

// Alive returns the members that take packets, the instance itself included,
// sorted by name.
func (c *Core) Alive(time.Time) []Member {
	alive := make([]Member, 0, len(c.sorted))
	for _, r := range c.sorted {
		if c.isAlive(r) {
			alive = append(alive, r.member)
		}
	}
	return alive
}

// Reachable returns the members that may still answer, sorted by name: those
// alive, the instance itself included, and those that left less than
// ReachableAfterLeave ago.
func (c *Core) Reachable(now time.Time) []Member {
	reachable := make([]Member, 0, len(c.sorted))
	for _, r := range c.sorted {
		left := r.member.Leaving && now.Sub(r.stateSince) >= ReachableAfterLeave
		if r == c.self || r.member.Health != Dead && !left {
			reachable = append(reachable, r.member)
		}
	}
	return reachable
}

// HeartbeatAge returns how long ago a newer heartbeat of the named member was
// last received. It is zero for the instance itself and for unknown members.
func (c *Core) HeartbeatAge(now time.Time, name string) time.Duration {
	if r, ok := c.records[name]; ok && r != c.self {
		return now.Sub(r.lastHeartbeat)
	}
	return 0
}

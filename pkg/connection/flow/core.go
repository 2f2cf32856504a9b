package flow

import (
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
	"github.com/tanagerweir/tanagerweir/pkg/version/health"
	"github.com/tanagerweir/tanagerweir/pkg/version/table"
)

const (
	// DefaultFlows is the default size of the flow cache, in entries.
	DefaultFlows = 1 << 20
	// DefaultRecordsPerSecond bounds the traffic for sending flow records to
	// peers; a record takes about 7 bytes.
	DefaultRecordsPerSecond = 260

	activateTimeout = 4 * time.Second // longest wait for members before an announced change is in force
	conditionDelay  = 2 * time.Second // time for peers to learn of a condition before it is used
	retireAfter     = 5 * time.Minute // default of Options.RetireAfter
	unsentLimit     = 4_096           // records that wait to be sent
	eventLimit      = 256             // events that wait for a call of Events
	announcedLimit  = 8               // announced changes that wait at the same time
	repeatWindow    = 10              // seconds in which another opening packet is a retransmission
)

// Options are the limits of a core; zero values stand for the defaults.
type Options struct {
	// Flows is the size of the flow cache, in entries.
	Flows int
	// RecordsPerSecond bounds the flow records that are sent to peers. A leaving
	// instance sends more.
	RecordsPerSecond int
	// RetireAfter is how long after a change of the catalogue the instance waits
	// for packets of old flows before it reports the remaining ones to their
	// owners.
	RetireAfter time.Duration
}

func (o Options) withDefaults() Options {
	if o.Flows == 0 {
		o.Flows = DefaultFlows
	}
	if o.RecordsPerSecond == 0 {
		o.RecordsPerSecond = DefaultRecordsPerSecond
	}
	if o.RetireAfter == 0 {
		o.RetireAfter = retireAfter
	}
	return o
}

// announcement is a table whose catalogue was received but that places no flows
// yet.
type announcement struct {
	table    *table.Table
	received time.Time
}

// Core decides about the packets that one instance receives.
type Core struct {
	name     string
	options  Options
	services map[table.Frontend]*service
	ordered  []*service // by name
	registry *registry
	cache    *cache
	members  *membership
	progress map[string]Progress // last received, by peer
	own      Progress
	newest   catalogue.Version // of the newest catalogue received
	// activeVersion is the version of table, which places new flows.
	activeVersion catalogue.Order
	table         *table.Table
	announced     []announcement
	// nextBase is the table that unrecorded flows will follow next, nil for none.
	nextBase *table.Table
	// reportAt is when this instance begins to report old flows for nextBase.
	reportAt time.Time
	// baseAgreed is true while no change of the base is under way and no peer
	// follows an older one.
	baseAgreed       bool
	round            round
	handoverSent     bool     // a leaving instance has sent all its records
	unsent           []uint64 // fingerprints of flows whose records wait to be sent
	started          time.Time
	behindSince      time.Time // when a catalogue version was found missing; zero while none is
	viewsDifferSince time.Time // when members' views began to differ; zero while they agree
	progressChanged  bool      // the next tick sends the progress to all peers
	gossipTurn       int
	recordCredit     int
	drops            [reasonCount]uint64
	passes           uint64
	events           []Event
}

// New returns the core of the instance with that name. It is unsynchronised:
// until it has received the disputed buckets from a peer, or has found that
// there are no peers, it passes packets to their owners.
func New(name string, o Options) *Core {
	o = o.withDefaults()
	return &Core{
		name:     name,
		options:  o,
		services: make(map[table.Frontend]*service),
		registry: newRegistry(),
		cache:    newCache(o.Flows),
		members:  newMembership(name),
		progress: make(map[string]Progress),
		own:      Progress{Unsynchronised: true},
		table:    &table.Table{},
		unsent:   make([]uint64, 0, unsentLimit),
		events:   make([]Event, 0, eventLimit),
	}
}

// Decide returns where p goes. It doesn't allocate memory.
func (c *Core) Decide(now time.Time, p Packet) Decision {
	if c.own.Received == 0 {
		return c.drop(nil, NoConfiguration)
	}
	s, ok := c.services[table.Frontend{Address: p.Key.Destination, Protocol: p.Key.Protocol}]
	if !ok {
		return c.drop(nil, UnknownAddress)
	}
	q := query{packet: p, service: s, fingerprint: p.Key.fingerprint(s.salt), now: uint32(now.Unix())}
	q.disputed = s.disputed(q.fingerprint)
	q.entry = c.cached(&q)
	if q.entry != nil && !p.Starts && c.authoritative(&q) {
		return c.decideCached(now, &q)
	}
	if c.own.Unsynchronised || !c.behindSince.IsZero() && !q.disputed {
		if d, done := c.decideUnsynchronised(&q); done {
			return d
		}
	}
	if !q.disputed {
		return c.decideUndisputed(&q)
	}
	return c.decideDisputed(now, &q)
}

// query is one packet with the results of the lookups for it.
type query struct {
	packet      Packet
	service     *service
	fingerprint uint64
	now         uint32 // Unix seconds
	disputed    bool
	entry       *entry // nil if the flow isn't in the cache
}

// cached returns the cache entry of the flow, or nil. It ignores an entry of
// another service, which can only have the same fingerprint by collision.
func (c *Core) cached(q *query) *entry {
	e := c.cache.find(q.fingerprint, q.now)
	if e == nil || c.registry.servers[e.server()].salt != q.service.salt {
		return nil
	}
	return e
}

// authoritative reports whether the entry takes precedence over the table and
// the owner. On a disputed bucket only a recent entry does: the caller may since
// have opened another flow with the same addresses, which the owner would know.
func (c *Core) authoritative(q *query) bool {
	if !q.disputed {
		return true
	}
	if q.entry.has(flagRecorded) && (q.packet.Passed || c.owns(q.fingerprint)) {
		return true
	}
	return q.now-q.entry.seen <= trustPeriod
}

func (c *Core) owns(fingerprint uint64) bool { return c.members.ownerOf(fingerprint) == c.members.self }

// decideCached decides about a flow that is in the cache.
func (c *Core) decideCached(now time.Time, q *query) Decision {
	e := q.entry
	if !c.registry.servers[e.server()].usable {
		*e = entry{}
		return c.giveUp(now, q)
	}
	if c.passesToOwner(q) {
		e.passed++
		e.touch(q.now, q.packet.Ends)
		return c.pass(c.members.ownerOf(q.fingerprint))
	}
	if q.disputed && c.owns(q.fingerprint) {
		e.flags |= flagRecorded
	}
	if e.retransmits(&q.packet) {
		return c.decideRetransmitted(q)
	}
	e.touch(q.now, q.packet.Ends)
	return c.forward(q, e.server(), ByCache)
}

// decideRetransmitted decides about a TCP segment that was seen before. The
// entry keeps the time at which the segment came first.
func (c *Core) decideRetransmitted(q *query) Decision {
	if q.now-q.entry.seen < silenceAfter {
		return c.forward(q, q.entry.server(), ByCache)
	}
	silent := q.entry.server()
	*q.entry = entry{}
	q.service.counts.Silent++
	active := &q.service.active
	i, ok := active.ring.Best(q.fingerprint, func(i int) bool {
		return active.servers[i] != silent && c.accepts(active.servers[i])
	})
	if !ok {
		return c.drop(q.service, NoBackend)
	}
	return c.forward(q, active.servers[i], Silent)
}

// passesToOwner reports whether to pass the packet on so that the owner records
// the flow, which this instance knows from before its bucket was disputed.
func (c *Core) passesToOwner(q *query) bool {
	e := q.entry
	if !q.disputed || e.has(flagRecorded) || e.passed >= passPackets || q.packet.Passed || q.service.baseIsActive() {
		return false
	}
	owner := c.members.ownerOf(q.fingerprint)
	return owner != c.members.self && owner != noMember
}

// decideUnsynchronised decides while the instance may not know which buckets are
// disputed: it passes the packet to the owner. It returns false if this instance
// has to decide by itself.
func (c *Core) decideUnsynchronised(q *query) (Decision, bool) {
	owner := c.members.ownerOf(q.fingerprint)
	if owner != c.members.self && owner != noMember && !q.packet.Passed {
		return c.pass(owner), true
	}
	if c.own.Unsynchronised {
		return c.drop(q.service, Blank), true
	}
	return Decision{}, false
}

// decideUndisputed decides about a flow on an undisputed bucket, for which every
// instance computes the same backend server.
func (c *Core) decideUndisputed(q *query) Decision {
	chosen := q.service.active.serverOf(q.fingerprint)
	if chosen == 0 || !c.registry.servers[chosen].usable {
		return c.drop(q.service, NoBackend)
	}
	c.countBegun(q)
	e := c.cache.put(q.fingerprint, chosen, q.now)
	if q.packet.Ends {
		e.flags |= flagEnded
	}
	return c.forward(q, chosen, ByTable)
}

// decideDisputed decides about a flow on a disputed bucket, or passes the packet
// to the owner.
func (c *Core) decideDisputed(now time.Time, q *query) Decision {
	owner := c.members.ownerOf(q.fingerprint)
	switch {
	case owner == c.members.self || owner == noMember:
		return c.decideOwned(now, q)
	case q.packet.Passed:
		return c.drop(q.service, Doubt)
	}
	return c.pass(owner)
}

// decideOwned decides about a flow on a disputed bucket that this instance owns.
func (c *Core) decideOwned(now time.Time, q *query) Decision {
	if q.packet.Starts {
		return c.decideNew(now, q, ByOwner)
	}
	chosen := q.service.base.serverOf(q.fingerprint)
	if chosen == 0 || !c.registry.servers[chosen].usable {
		return c.giveUp(now, q)
	}
	elsewhere := c.members.ownedElsewhere(slotOf(q.fingerprint))
	if elsewhere && now.Sub(c.viewsDifferSince) < viewsDifferTimeout {
		return c.drop(q.service, Doubt)
	}
	reason := ByOwner
	if elsewhere || !c.members.holders[slotOf(q.fingerprint)].has(c.members.self) {
		reason = Guessed
		q.service.counts.Guessed++
	}
	c.record(q, chosen)
	return c.forward(q, chosen, reason)
}

// decideNew places a new flow on a disputed bucket. An opening packet that was
// retransmitted goes to the same backend server as the first.
func (c *Core) decideNew(now time.Time, q *query, reason Reason) Decision {
	if q.entry != nil && q.now-q.entry.seen <= repeatWindow && c.accepts(q.entry.server()) {
		q.entry.touch(q.now, q.packet.Ends)
		return c.forward(q, q.entry.server(), reason)
	}
	chosen, refused := c.place(now, q)
	if chosen == 0 {
		return c.drop(q.service, refused)
	}
	c.countBegun(q)
	c.record(q, chosen)
	return c.forward(q, chosen, reason)
}

// accepts reports whether a backend server may receive a retransmitted packet.
func (c *Core) accepts(chosen uint16) bool {
	v := &c.registry.servers[chosen]
	return v.usable && v.backend.State == catalogue.BackendActive && v.condition.State <= health.Cold
}

// record keeps a flow on a disputed bucket in the cache. It queues the record
// for the successor if the successor couldn't compute the backend server.
func (c *Core) record(q *query, chosen uint16) {
	e := c.cache.put(q.fingerprint, chosen, q.now)
	e.flags |= flagRecorded
	if q.packet.Ends {
		e.flags |= flagEnded
	}
	if chosen == q.service.base.serverOf(q.fingerprint) && c.baseAgreed {
		return
	}
	if q.packet.Starts || c.ownershipChanging() {
		c.queueRecord(q.fingerprint)
	}
}

// ownershipChanging reports whether a pending view will give slots to other
// members. A flow recorded meanwhile may be too late for the round that copies
// records to the new owners.
func (c *Core) ownershipChanging() bool { return len(c.members.pending.members) > 0 }

// queueRecord queues the record of a flow for the members that keep copies of
// it. If the queue is full, the next round over the cache sends it.
func (c *Core) queueRecord(fingerprint uint64) {
	if len(c.unsent) < cap(c.unsent) {
		c.unsent = append(c.unsent, fingerprint)
	}
}

// giveUp sends a packet of a flow whose backend server is gone to another one,
// which answers with a reset.
func (c *Core) giveUp(now time.Time, q *query) Decision {
	q.service.counts.GivenUp++
	chosen, refused := c.place(now, q)
	if chosen == 0 {
		return c.drop(q.service, refused)
	}
	return c.forward(q, chosen, GivenUp)
}

func (c *Core) countBegun(q *query) {
	if q.packet.Starts {
		q.service.counts.Begun++
	}
}

func (c *Core) forward(q *query, chosen uint16, reason Reason) Decision {
	if q.packet.Ends {
		q.service.counts.Ended++
	}
	return Decision{Action: Forward, Reason: reason, Backend: c.registry.servers[chosen].backend}
}

func (c *Core) pass(owner int32) Decision {
	c.passes++
	return Decision{Action: Pass, Reason: ByOwner, Owner: c.members.names[owner]}
}

func (c *Core) drop(s *service, reason Reason) Decision {
	c.drops[reason]++
	if s != nil {
		s.counts.Dropped++
	}
	return Decision{Action: Drop, Reason: reason}
}

package flow

import (
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
)

const (
	// TickPeriod is the time between two calls of Tick.
	TickPeriod = 1 * time.Second

	leavingFactor      = 20               // factor by which a leaving instance sends more records
	viewsDifferTimeout = 10 * time.Second // longest time for which packets are dropped as views differ
	joinAloneAfter     = 2 * time.Second  // wait of an unsynchronised instance for synchronised peers
	joinTimeout        = 15 * time.Second // its longest wait for the history of a synchronised peer
	behindTimeout      = 5 * time.Second  // longest wait for a history after missed versions
	scanSetsPerTick    = 32_768           // sets of the cache that one tick scans
	passPackets        = 2                // packets of an old flow that are passed to its owner
)

// round is one scan of the cache that sends peers the records that they need.
type round struct {
	running bool
	next    int // the first entry that wasn't scanned yet
	// targets are the members that get copies, by slot.
	targets []targets
	view    uint64 // hash of the pending view
	// reportsOldFlows is true if old flows are reported to their owners.
	reportsOldFlows bool
	// reportedVersion is the version up to which all old flows are reported after
	// the round, 0 for none.
	reportedVersion catalogue.Order
	leaving         bool
}

// Tick does the periodic work and returns messages to peers, at most one for
// each.
func (c *Core) Tick(now time.Time) []Envelope {
	if c.started.IsZero() {
		c.started = now
	}
	c.join(now)
	c.activate(now)
	c.activateView(now)
	c.compareViews(now)
	c.retire(now)
	o := &outbox{core: c, messages: make(map[string]*Message)}
	limit := c.options.RecordsPerSecond
	if c.members.leaving[c.members.self] {
		limit *= leavingFactor
	}
	c.recordCredit = min(c.recordCredit+limit, 2*limit)
	c.sendUnsent(o, now)
	c.startRound(now)
	c.scan(o, now)
	c.sendProgress(o)
	return o.envelopes()
}

// join makes an unsynchronised instance synchronised that finds no peer with a
// history. It also ends the wait for a history after missed versions.
func (c *Core) join(now time.Time) {
	if !c.behindSince.IsZero() && now.Sub(c.behindSince) > behindTimeout {
		c.behindSince = time.Time{}
	}
	if !c.own.Unsynchronised {
		return
	}
	waited := now.Sub(c.started)
	alone := c.startsAlone()
	if waited >= joinTimeout || alone && waited >= joinAloneAfter && len(c.members.current.members) == 0 {
		c.finishJoin(now)
	}
}

// startsAlone reports whether this instance is the one to become synchronised
// first if all are unsynchronised: the first by name of those that can be reached,
// once it has received the progress of all others. An instance without peers also
// starts alone.
func (c *Core) startsAlone() bool {
	others := c.members.others()
	for _, name := range others {
		if _, ok := c.progress[name]; !ok {
			return false
		}
	}
	return len(others) == 0 || c.name < others[0]
}

// activateView puts the pending view in force once all records were copied to the
// members that need them, or after maxHandover.
func (c *Core) activateView(now time.Time) {
	p := &c.members.pending
	if c.own.Unsynchronised || len(p.members) == 0 || now.Sub(c.members.pendingSince) < minHandover {
		return
	}
	ready := c.own.CopiedView == p.hash && c.everyPeer(func(o Progress) bool { return o.CopiedView == p.hash || o.View == p.hash })
	if !ready && now.Sub(c.members.pendingSince) < maxHandover {
		return
	}
	c.members.activate(*p)
	c.members.viewNumber++
	c.progressChanged = true
	c.note(now, "flows", "MembersSettled")
}

// compareViews notes whether members find owners by different views. Another
// owner than the one that gets a packet may then have the flow's record.
func (c *Core) compareViews(now time.Time) {
	m := c.members
	m.differences = viewDifferences{}
	c.everyPeer(func(p Progress) bool {
		switch p.View {
		case m.current.hash:
		case m.pending.hash:
			m.differences.pending = true
		case m.previous.hash:
			m.differences.previous = true
		default:
			m.differences.unknown = true
		}
		return true
	})
	switch {
	case m.differences == viewDifferences{}:
		c.viewsDifferSince = time.Time{}
	case c.viewsDifferSince.IsZero():
		c.viewsDifferSince = now
	}
}

// retire lets unrecorded flows follow a newer version once all old flows that any
// instance knows are recorded by their owners.
func (c *Core) retire(now time.Time) {
	if c.nextBase == nil && c.activeVersion > c.own.BaseVersion && !c.own.Unsynchronised {
		c.nextBase = c.table
		c.reportAt = now.Add(c.options.RetireAfter)
	}
	if c.nextBase != nil && c.own.Reported >= c.nextBase.Order() {
		v := c.nextBase.Order()
		if c.everyPeer(func(p Progress) bool { return p.Reported >= v }) {
			c.advanceBase(now)
		}
	}
	c.baseAgreed = c.nextBase == nil && c.everyPeer(func(p Progress) bool { return p.BaseVersion >= c.own.BaseVersion })
}

// advanceBase lets unrecorded flows follow nextBase.
func (c *Core) advanceBase(now time.Time) {
	for _, s := range c.ordered {
		ring, ok := c.nextBase.Ring(s.frontend)
		if !ok {
			continue
		}
		if ring == s.active.ring {
			s.base = s.active
			continue
		}
		s.base = c.registry.placementOf(ring)
	}
	c.own.BaseVersion = c.nextBase.Order()
	c.nextBase = nil
	c.progressChanged = true
	c.note(now, "flows", "OldVersionRetired")
}

// sendUnsent sends the queued records of new flows, as many as the limit allows.
func (c *Core) sendUnsent(o *outbox, now time.Time) {
	seconds := uint32(now.Unix())
	sent := 0
	for _, fingerprint := range c.unsent {
		if c.recordCredit <= 0 {
			break
		}
		sent++
		e := c.cache.find(fingerprint, seconds)
		if e == nil || e.has(flagCopied) || e.has(flagEnded) {
			continue
		}
		e.flags |= flagCopied
		for _, t := range c.members.targets[slotOf(fingerprint)] {
			o.addRecord(t, e)
		}
	}
	c.unsent = c.unsent[:copy(c.unsent, c.unsent[sent:])]
}

// startRound starts a round over the cache if peers need records. A running round
// is only replaced if the pending view has changed.
func (c *Core) startRound(now time.Time) {
	if c.own.Unsynchronised || c.round.running {
		if c.round.running && c.round.view != c.members.pending.hash {
			c.round.running = false
		} else {
			return
		}
	}
	r := round{view: c.members.pending.hash, running: true}
	if c.nextBase != nil && !now.Before(c.reportAt) && c.own.Reported < c.nextBase.Order() {
		r.reportedVersion = c.nextBase.Order()
	}
	r.leaving = c.members.leaving[c.members.self] && !c.handoverSent
	r.reportsOldFlows = r.reportedVersion != 0 || r.leaving
	hash := c.members.pending.hash
	copies := !c.members.allCopied() || hash != 0 && c.own.CopiedView != hash
	if !r.reportsOldFlows && !copies {
		return
	}
	r.targets = append([]targets(nil), c.members.targets...)
	c.round = r
}

// scan continues the round until the limit of records or of sets is reached.
func (c *Core) scan(o *outbox, now time.Time) {
	r := &c.round
	if !r.running {
		return
	}
	if !c.anyDisputes() {
		r.next = len(c.cache.entries)
	}
	seconds := uint32(now.Unix())
	for range scanSetsPerTick * cacheWays {
		if r.next >= len(c.cache.entries) {
			c.finishRound()
			return
		}
		if c.recordCredit <= 0 {
			return
		}
		c.scanEntry(o, &c.cache.entries[r.next], seconds)
		r.next++
	}
}

func (c *Core) anyDisputes() bool {
	for _, s := range c.ordered {
		if len(s.epochs) > 0 || s.allDisputed {
			return true
		}
	}
	return false
}

// finishRound updates the progress after a whole round.
func (c *Core) finishRound() {
	r := &c.round
	r.running = false
	copy(c.members.holders, r.targets)
	if r.view != 0 {
		c.own.CopiedView = r.view
	}
	c.own.Reported = max(c.own.Reported, r.reportedVersion)
	c.handoverSent = c.handoverSent || r.leaving
	c.progressChanged = true
}

// scanEntry sends one flow's record to the members that need it and don't have it.
func (c *Core) scanEntry(o *outbox, e *entry, now uint32) {
	if e.server() == 0 || e.expired(now) || e.has(flagEnded) && now-e.seen > endedLimit {
		return
	}
	s := c.serviceOf(e)
	if s == nil || !s.disputed(e.fingerprint()) {
		return
	}
	slot := slotOf(e.fingerprint())
	owner := c.members.owner[slot]
	if owner != c.members.self {
		c.scanForeign(o, e, s, owner)
		return
	}
	if !e.has(flagRecorded) {
		e.flags = e.flags&^flagCopied | flagRecorded
	}
	if s.baseIsActive() && s.base.serverOf(e.fingerprint()) == e.server() {
		return
	}
	for _, t := range c.round.targets[slot] {
		if !e.has(flagCopied) || !c.members.holders[slot].has(t) {
			o.addRecord(t, e)
		}
	}
	e.flags |= flagCopied
}

// scanForeign reports an old flow to its owner, another member, unless this
// instance has passed enough of its packets there since the bucket was disputed.
func (c *Core) scanForeign(o *outbox, e *entry, s *service, owner int32) {
	if !c.round.reportsOldFlows || e.has(flagRecorded) || e.passed >= passPackets || s.active.serverOf(e.fingerprint()) == e.server() {
		return
	}
	e.passed = passPackets
	o.addRecord(owner, e)
}

func (c *Core) serviceOf(e *entry) *service {
	salt := c.registry.servers[e.server()].salt
	for _, s := range c.ordered {
		if s.salt == salt {
			return s
		}
	}
	return nil
}

// sendProgress sends the progress to all peers if it has changed or the instance
// is unsynchronised, otherwise to one peer in turn.
func (c *Core) sendProgress(o *outbox) {
	c.own.Digest = c.digest()
	c.own.View = c.members.current.hash
	c.own.ViewNumber = c.members.viewNumber
	others := c.members.others()
	if len(others) == 0 {
		return
	}
	c.gossipTurn++
	for i, name := range others {
		if c.progressChanged || c.own.Unsynchronised || i == c.gossipTurn%len(others) {
			o.message(name)
		}
	}
	c.progressChanged = false
	c.requestHistory(o, others)
}

// requestHistory requests the history of a peer that knows other disputed buckets
// or has a newer view, or of any synchronised peer if this instance is
// unsynchronised or has missed versions.
func (c *Core) requestHistory(o *outbox, others []string) {
	for i := range others {
		name := others[(c.gossipTurn+i)%len(others)]
		p, ok := c.progress[name]
		if !ok || p.Unsynchronised || p.Received != c.own.Received {
			continue
		}
		if c.own.Unsynchronised || !c.behindSince.IsZero() || p.Digest != c.own.Digest || p.ahead(c.members.viewNumber, c.members.current.hash) {
			o.message(name).RequestsHistory = true
			return
		}
	}
}

func (c *Core) digest() uint64 {
	d := uint64(0)
	for _, s := range c.ordered {
		d ^= s.digest
	}
	return d
}

// Receive applies a message from a peer and returns the answers to it.
func (c *Core) Receive(now time.Time, from string, m Message) []Envelope {
	before, known := c.progress[from]
	c.progress[from] = m.Progress
	if !c.own.Unsynchronised && !m.Progress.Unsynchronised && m.Progress.ahead(c.members.viewNumber, c.members.current.hash) && c.members.adoptProposed(m.Progress) {
		c.progressChanged = true
	}
	if !known || before.Unsynchronised != m.Progress.Unsynchronised {
		c.proposeView(now)
		c.progressChanged = true
	}
	for _, r := range m.Records {
		c.receiveRecord(now, from, r)
	}
	if m.History != nil {
		c.mergeHistory(now, m.History)
	}
	c.activate(now)
	c.compareViews(now)
	if c.own.Unsynchronised && !m.Progress.Unsynchronised && m.History == nil && m.Progress.Received == c.own.Received {
		return []Envelope{{To: from, Message: Message{Progress: c.own, RequestsHistory: true}}}
	}
	if !m.RequestsHistory || c.own.Unsynchronised {
		return nil
	}
	return []Envelope{{To: from, Message: Message{Progress: c.own, History: c.history()}}}
}

// receiveRecord applies one record. A record from the owner replaces a known one;
// a record from another peer doesn't replace recorded flows.
func (c *Core) receiveRecord(now time.Time, from string, r Record) {
	server, ok := c.registry.byCode[r.Server]
	if !ok {
		return
	}
	seconds := uint32(now.Unix())
	fingerprint := r.Fingerprint & fingerprintMask
	owner := c.members.ownerOf(fingerprint)
	fromOwner := owner != noMember && c.members.names[owner] == from
	e := c.cache.find(fingerprint, seconds)
	if e != nil && e.has(flagRecorded) && !fromOwner {
		return
	}
	e = c.cache.put(fingerprint, server, seconds)
	e.flags |= flagRecorded
	if fromOwner {
		e.flags |= flagCopied
		return
	}
	if owner == c.members.self && c.ownershipChanging() {
		c.queueRecord(fingerprint)
	}
}

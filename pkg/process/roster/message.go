package roster

import (
	"encoding/binary"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MessageFor returns the message to send to the named member.
func (c *Core) MessageFor(_ time.Time, to string) Message {
	return c.message(to, RecordsPerMessage, false)
}

// Answer processes a peer's message and returns the answer to it.
func (c *Core) Answer(now time.Time, m Message) Message {
	c.Receive(now, m)
	limit := RecordsPerMessage
	if m.KnownMembers < len(c.sorted)/2 {
		limit = RecordsToNewInstance
	}
	return c.message(m.From.Name, limit, m.ViewDigest != c.viewDigest())
}

// Receive processes a message or an answer from a peer.
func (c *Core) Receive(now time.Time, m Message) {
	if r, ok := c.records[m.From.Name]; ok {
		r.misses = 0
	}
	for _, received := range append([]Member{m.From}, m.Members...) {
		c.receiveRecord(now, received)
	}
	if m.ViewDigest != c.viewDigest() {
		c.markViewsDiffer()
	}
}

// markViewsDiffer makes the next message carry records in turn, as a peer's
// view differs from this one.
func (c *Core) markViewsDiffer() { c.viewsDiffer = true }

func (c *Core) message(to string, limit int, differ bool) Message {
	m := Message{From: c.self.member.brief(), ViewDigest: c.viewDigest(), KnownMembers: len(c.sorted)}
	differ = differ || c.viewsDiffer
	c.viewsDiffer = false
	if r, ok := c.records[to]; ok && r.member.Health != Healthy {
		m.Members = append(m.Members, r.member.brief())
	}
	m.Members = c.appendChanges(m.Members, limit)
	if differ {
		m.Members = c.appendNextRecords(m.Members, limit)
	}
	return m
}

// appendChanges appends queued changes up to the limit, the most urgent and
// least sent first.
func (c *Core) appendChanges(records []Member, limit int) []Member {
	healthSends := sendsPerDoubling * bits.Len(uint(len(c.sorted)))
	var changed []*record
	for _, r := range c.sorted {
		if r.sends < r.change.sendLimit(healthSends) {
			changed = append(changed, r)
		}
	}
	slices.SortStableFunc(changed, byUrgency)
	for _, r := range changed[:min(len(changed), max(limit-len(records), 0))] {
		r.sends++
		records = append(records, r.outgoing())
		if r.sends >= r.change.sendLimit(healthSends) {
			r.withEndpoints = false
		}
	}
	return records
}

// sendLimit returns how often a change of the kind is sent; most is the
// number for a change of health.
func (k changeKind) sendLimit(most int) int {
	if k == healthChange {
		return most
	}
	return min(nonHealthSends, most)
}

// byUrgency orders records by kind, changes of health first, and within a
// kind by how often they were sent.
func byUrgency(a, b *record) int {
	if a.change != b.change {
		return int(a.change) - int(b.change)
	}
	return a.sends - b.sends
}

// outgoing returns the record as it is sent, with endpoints only where the
// receiver may lack them.
func (r *record) outgoing() Member {
	if r.withEndpoints {
		return r.member
	}
	return r.member.brief()
}

// appendNextRecords appends whole records in turn up to the limit, for a peer
// whose view differs.
func (c *Core) appendNextRecords(records []Member, limit int) []Member {
	for range c.sorted {
		if len(records) >= limit {
			break
		}
		c.syncCursor = (c.syncCursor + 1) % len(c.sorted)
		records = append(records, c.sorted[c.syncCursor].member)
	}
	return records
}

// receiveRecord processes one record from a peer.
func (c *Core) receiveRecord(now time.Time, m Member) {
	if m.Name == c.self.member.Name {
		c.refute(m)
		return
	}
	r, ok := c.records[m.Name]
	if !ok {
		if m.Peer.IsValid() && m.Health != Dead {
			c.add(now, m)
		}
		return
	}
	if r.endpointsFromList && m.Peer.IsValid() && m.Incarnation == r.member.Incarnation {
		c.setEndpoints(r, m)
	}
	if overrides(m, r.member) {
		c.applyRecord(now, r, m)
	}
}

// setEndpoints replaces endpoints from the platform's list by those that the
// member itself gave.
func (c *Core) setEndpoints(r *record, m Member) {
	r.endpointsFromList, r.withEndpoints = false, true
	if r.member.Peer != m.Peer || r.member.Passed != m.Passed || r.member.Admin != m.Admin {
		r.member.Peer, r.member.Passed, r.member.Admin = m.Peer, m.Passed, m.Admin
		c.changes++
	}
}

// refute overrides a wrong record of this instance that others have: one in
// which it isn't healthy, or one with a heartbeat that it never issued.
func (c *Core) refute(m Member) {
	own := &c.self.member
	if m.Incarnation < own.Incarnation && m.Health != Healthy {
		c.self.withEndpoints = true
		c.announceSelf(healthChange)
		c.exchangeFast()
	}
	if m.Incarnation != own.Incarnation {
		return
	}
	if m.Heartbeat > own.Heartbeat || m.Heartbeat == own.Heartbeat && m.Health != Healthy {
		own.Heartbeat = m.Heartbeat
		c.announceSelf(healthChange)
		c.exchangeFast()
	}
}

// applyRecord replaces r's member by m, which overrides it, and queues the
// difference for sending.
func (c *Core) applyRecord(now time.Time, r *record, m Member) {
	old := r.member
	newHeartbeat := m.Incarnation != old.Incarnation || m.Heartbeat != old.Heartbeat
	if !m.Peer.IsValid() {
		if m.Incarnation != old.Incarnation && old.Incarnation != 0 {
			// The member restarted and its endpoints aren't known yet.
			return
		}
		r.endpointsFromList = r.endpointsFromList || old.Incarnation == 0
		m.DataCentre, m.Peer, m.Passed, m.Admin = old.DataCentre, old.Peer, old.Passed, old.Admin
	} else {
		r.withEndpoints, r.endpointsFromList = true, false
	}
	if m.Health == Dead && old.Health == Healthy {
		// The sender may have declared the member dead while it was cut off
		// itself, so the member may refute first.
		m.Health = Suspect
	}
	r.member = m
	if newHeartbeat {
		r.lastHeartbeat = now
	}
	if m.Health == Healthy {
		r.clearSuspicion(m.Incarnation != old.Incarnation)
	}
	c.queueDifference(now, r, old)
}

// clearSuspicion ends a suspicion after a newer heartbeat or a restart of the
// member.
func (r *record) clearSuspicion(restarted bool) {
	switch {
	case restarted:
		r.missesAllowed = missesToSuspect
	case r.suspectedHere:
		r.missesAllowed = min(2*r.missesAllowed, missesToSuspectLimit)
	}
	r.misses, r.suspectedHere = 0, false
}

// queueDifference queues r for sending, as the kind of change that its
// difference from old amounts to.
func (c *Core) queueDifference(now time.Time, r *record, old Member) {
	m := r.member
	switch {
	case old.Health != m.Health || old.Leaving != m.Leaving:
		r.queueChange(healthChange)
		c.exchangeFast()
	case old.Incarnation != m.Incarnation || old.Peer != m.Peer:
		r.queueChange(joinChange)
	default:
		r.queueChange(versionChange)
		return
	}
	r.stateSince = now
	c.changes++
}

// overrides reports whether a overrides b: by a later incarnation, a later
// heartbeat, or a worse health at the same heartbeat.
func overrides(a, b Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Heartbeat != b.Heartbeat {
		return a.Heartbeat > b.Heartbeat
	}
	return a.Health > b.Health
}

// viewDigest returns a digest of which members are alive, equal for equal
// views.
func (c *Core) viewDigest() uint64 {
	if c.digestAt == c.changes {
		return c.digest
	}
	c.digestAt, c.digest = c.changes, 0
	for _, r := range c.sorted {
		if m := r.member; m.Health != Dead && !m.Leaving {
			c.digest ^= m.digest()
		}
	}
	return c.digest
}

func (m Member) digest() uint64 {
	b := append(make([]byte, 0, 96), m.Name...)
	b = binary.BigEndian.AppendUint64(b, m.Incarnation)
	return xxhash.Sum64(append(b, byte(m.Health)))
}

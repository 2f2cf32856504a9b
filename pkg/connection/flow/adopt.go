package flow

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
	"github.com/tanagerweir/tanagerweir/pkg/version/table"
)

const (
	viewLimit    = 4_096 // members of a view that is accepted from a peer
	serversLimit = 8_192 // backend servers of an epoch that is accepted from a peer
)

// Adopt applies a catalogue; it ignores one that isn't newer. From now on no
// packet goes to a backend server that the catalogue lacks or whose data centre
// is out. New flows follow the catalogue once all members have received it, or
// after 4 s.
func (c *Core) Adopt(now time.Time, next catalogue.Catalogue) {
	if next.Order() <= c.own.Received {
		return
	}
	first := c.own.Received == 0
	if !first && next.Version() > c.newest+1 && len(c.members.others()) > 0 {
		c.behindSince = now
	}
	c.newest = next.Version()
	c.own.Received = next.Order()
	c.progressChanged = true
	c.registry.refresh(next)
	newest := c.table
	if n := len(c.announced); n > 0 {
		newest = c.announced[n-1].table
	}
	t := newest.Next(next)
	c.updateServices(next, t)
	if first {
		c.table, c.activeVersion = t, t.Order()
		c.own.BaseVersion = c.activeVersion
		return
	}
	for _, s := range c.ordered {
		if ring, ok := t.Ring(s.frontend); ok {
			s.disputeAnnounced(ring)
		}
	}
	if len(c.announced) >= announcedLimit {
		c.announced = slices.Delete(c.announced, 1, 2)
	}
	c.announced = append(c.announced, announcement{table: t, received: now})
	c.activate(now)
}

// updateServices adds and removes services at once, as in the catalogue. An
// address that moved to another service starts without any disputed buckets.
func (c *Core) updateServices(next catalogue.Catalogue, t *table.Table) {
	kept := make(map[table.Frontend]*service, len(next.Services()))
	c.ordered = c.ordered[:0]
	for _, s := range next.Services() {
		frontend := table.Frontend{Address: s.Address, Protocol: s.Protocol}
		known, ok := c.services[frontend]
		if !ok || known.name != s.Name {
			ring, _ := t.Ring(frontend)
			known = newService(s, c.registry.placementOf(ring))
			known.frontend = frontend
		}
		kept[frontend] = known
		c.ordered = append(c.ordered, known)
	}
	c.services = kept
}

// disputeAnnounced makes the buckets disputed that an announced ring changes.
func (s *service) disputeAnnounced(ring *table.Ring) {
	if ring == s.active.ring || slices.Equal(ring.Seeds(), s.active.ring.Seeds()) {
		return
	}
	s.dispute(epochOf(ring))
}

// activate lets new flows follow the announced catalogues that all members have
// received, or that have waited for activateTimeout.
func (c *Core) activate(now time.Time) {
	for len(c.announced) > 0 {
		a := c.announced[0]
		if !c.receivedByAll(a.table.Order()) && now.Sub(a.received) < activateTimeout {
			return
		}
		c.announced = slices.Delete(c.announced, 0, 1)
		c.activateTable(now, a.table)
	}
}

func (c *Core) receivedByAll(v catalogue.Order) bool {
	return c.everyPeer(func(p Progress) bool { return p.Received >= v })
}

// everyPeer reports whether a condition holds for every peer that can be reached
// and isn't unsynchronised. A peer that has sent no progress yet counts as
// unsynchronised.
func (c *Core) everyPeer(condition func(Progress) bool) bool {
	for name, p := range c.progress {
		if !p.Unsynchronised && c.members.reachable(name) && !condition(p) {
			return false
		}
	}
	return true
}

// activateTable lets new flows follow a table.
func (c *Core) activateTable(now time.Time, t *table.Table) {
	c.table, c.activeVersion = t, t.Order()
	for _, s := range c.ordered {
		ring, ok := t.Ring(s.frontend)
		if !ok || ring == s.active.ring {
			continue
		}
		baseIsActive := s.baseIsActive()
		sameServers := slices.Equal(ring.Seeds(), s.active.ring.Seeds())
		s.active = c.registry.placementOf(ring)
		if baseIsActive && sameServers {
			s.base = s.active
		}
		c.disputeConditions(s)
	}
	c.baseAgreed = false
	c.note(now, "flows", fmt.Sprintf("Version%dPlacesFlows", t.Version()))
}

// SetMembers replaces the list of instances that can be reached, the instance itself
// included.
func (c *Core) SetMembers(now time.Time, members []Member) {
	if c.started.IsZero() {
		c.started = now
	}
	if c.members.setReachable(members) {
		c.members.assign()
	}
	c.proposeView(now)
}

// proposeView proposes a view after members or their progress changed. While the
// instance is unsynchronised, the view of the synchronised members is in force at
// once.
func (c *Core) proposeView(now time.Time) {
	synchronised := func(name string) bool {
		if name == c.name {
			return !c.own.Unsynchronised
		}
		p, ok := c.progress[name]
		return ok && !p.Unsynchronised
	}
	if c.own.Unsynchronised {
		c.members.activate(c.members.newView(c.members.stayingMembers(synchronised)))
		return
	}
	c.members.propose(now, synchronised)
}

// stayingMembers returns the indexes of the members that can be reached, aren't
// leaving and are eligible.
func (m *membership) stayingMembers(eligible func(string) bool) []int32 {
	var members []int32
	for i, name := range m.names {
		if m.alive[i] && !m.leaving[i] && eligible(name) {
			members = append(members, int32(i))
		}
	}
	return members
}

func (m *membership) reachable(name string) bool {
	i, ok := m.index[name]
	return ok && m.alive[i]
}

// history returns what this instance knows about disputed buckets.
func (c *Core) history() *History {
	h := &History{
		Version: c.own.Received, BaseVersion: c.own.BaseVersion,
		View: c.members.currentNames(), ViewNumber: c.members.viewNumber,
	}
	for _, s := range c.ordered {
		if len(s.epochs) == 0 && !s.allDisputed {
			continue
		}
		h.Services = append(h.Services, ServiceHistory{
			Service: s.name, Base: s.base.ring.Seeds(), Epochs: slices.Clone(s.epochs), AllDisputed: s.allDisputed,
		})
	}
	return h
}

// mergeHistory merges a peer's history. Afterwards every bucket is disputed that
// was disputed here or there. A history of another catalogue version is ignored.
func (c *Core) mergeHistory(now time.Time, h *History) {
	if h.Version != c.own.Received {
		return
	}
	for _, s := range c.ordered {
		i, ok := slices.BinarySearchFunc(h.Services, s.name, func(h ServiceHistory, name string) int {
			return strings.Compare(h.Service, name)
		})
		if ok {
			c.mergeService(s, h.Services[i])
		}
	}
	c.behindSince = time.Time{}
	c.mergeView(h)
	if c.own.Unsynchronised {
		c.own.BaseVersion = h.BaseVersion
		c.finishJoin(now)
	}
}

// mergeView puts a peer's view in force if it is ahead of the own one.
func (c *Core) mergeView(h *History) {
	if len(h.View) == 0 || len(h.View) > viewLimit {
		return
	}
	v := c.members.viewOfNames(h.View)
	p := Progress{View: v.hash, ViewNumber: h.ViewNumber}
	if !c.own.Unsynchronised && !p.ahead(c.members.viewNumber, c.members.current.hash) {
		return
	}
	c.members.activate(v)
	c.members.viewNumber = h.ViewNumber
	c.progressChanged = true
}

func (c *Core) mergeService(s *service, h ServiceHistory) {
	if h.AllDisputed && !s.allDisputed {
		s.allDisputed, s.epochs, s.disputedBuckets = true, nil, nil
		s.digest = ^s.salt
	}
	for _, e := range h.Epochs {
		if len(e) > serversLimit {
			continue
		}
		s.dispute(e)
	}
	if c.own.Unsynchronised && len(h.Base) <= serversLimit && !slices.Equal(h.Base, s.active.ring.Seeds()) {
		s.base = c.registry.placementOfSeeds(s.active.ring.WithSeeds(h.Base), s.salt)
		c.baseAgreed = false
	}
}

// finishJoin makes the instance synchronised. If it knows no view, it puts one in
// force of which it is the only member.
func (c *Core) finishJoin(now time.Time) {
	c.own.Unsynchronised = false
	c.progressChanged = true
	c.reportAt = now.Add(c.options.RetireAfter)
	if len(c.members.current.members) == 0 {
		c.members.activate(c.members.newView([]int32{c.members.self}))
		copy(c.members.holders, c.members.targets)
	}
	c.note(now, "flows", "Informed")
	c.proposeView(now)
}

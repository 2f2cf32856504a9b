// Package control combines the decision cores of one instance, except the one for
// packets, which belongs to a goroutine of its own (see package flow).
//
// A Core has no clock, socket or goroutine. Its inputs are messages from peers,
// catalogues from the platform, reports of backend servers, requests and the time;
// its outputs are messages, attempts and journal entries. The daemon connects it to
// sockets; tests, the fault matrix and replays call it directly.
//
// # Usage
//
//	core := control.New(self, seed)
//	core.Offer(now, fromPlatform, "platform")
//	peer, ok := core.Tick(now)
//	answer := remote.HandleHello(now, core.Hello(now, peer.Name))
//	core.ApplyAnswer(now, peer.Name, answer)
//
// A Core is not safe for use from several goroutines.
package control

import (
	"net/netip"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/process/archive"
	"github.com/tanagerweir/tanagerweir/pkg/process/condition"
	"github.com/tanagerweir/tanagerweir/pkg/process/journal"
	"github.com/tanagerweir/tanagerweir/pkg/process/listing"
	"github.com/tanagerweir/tanagerweir/pkg/process/roster"
	"github.com/tanagerweir/tanagerweir/pkg/request/budget"
	"github.com/tanagerweir/tanagerweir/pkg/request/claim"
	"github.com/tanagerweir/tanagerweir/pkg/request/dispatch"
	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
	"github.com/tanagerweir/tanagerweir/pkg/version/gossip"
)

// Hello is the message with which an instance begins an exchange with a peer.
type Hello struct {
	Roster roster.Message
	Marks  []condition.Mark
	Digest gossip.Digest
}

// Answer is a peer's response to a Hello.
type Answer struct {
	Roster roster.Message
	Marks  []condition.Mark
	Digest gossip.Digest
	// Update holds what the sender of the Hello lacks of the configuration.
	Update gossip.Update
}

// Core is the control state of one instance.
type Core struct {
	name        string
	gossip      *gossip.Core
	spreader    *gossip.Spreader
	roster      *roster.Core
	condition   *condition.Core
	dispatch    *dispatch.Core
	claims      *claim.Tracker
	journal     *journal.Journal
	archive     *archive.Core
	flowCounts  *budget.Counters
	listEntries []listing.Entry
	leaving     bool
	// journalledVersion is the version up to which changes of the configuration are
	// in the journal.
	journalledVersion catalogue.Version
	// dispatchRosterChanges and dispatchMarkChanges are the change counts of roster
	// and condition whose state the core for requests has.
	dispatchRosterChanges uint64
	dispatchMarkChanges   uint64

	inspection inspection
}

// New returns the control state of an instance that has just started and has no
// configuration. seed seeds its random choices.
func New(self roster.Member, seed uint64) *Core {
	spreader := gossip.NewSpreader(self.Name, seed^self.Incarnation)
	return &Core{
		name:       self.Name,
		gossip:     spreader.Core(),
		spreader:   spreader,
		roster:     roster.New(self, seed),
		condition:  condition.New(self.Name),
		dispatch:   dispatch.New(dispatch.Member{Name: self.Name, DataCentre: self.DataCentre}, self.Incarnation, seed),
		claims:     claim.NewTracker(self.Name, self.Incarnation),
		journal:    journal.New(journal.DefaultLimit),
		archive:    archive.New(self.Name, self.Incarnation),
		flowCounts: budget.NewCounters(),
	}
}

// ExchangeDue reports whether an exchange with a peer is due and, if so, schedules the
// next one; see roster.Core.
func (c *Core) ExchangeDue(now time.Time) bool { return c.roster.Due(now) }

// Tick advances the heartbeat and returns the peer to exchange with next, or false
// if there is none.
func (c *Core) Tick(now time.Time) (roster.Member, bool) {
	peer, ok := c.roster.Tick(now)
	c.updateDispatch(now)
	return peer, ok
}

// Hello returns the message to send to the peer of that name.
func (c *Core) Hello(now time.Time, to string) Hello {
	return Hello{
		Roster: c.roster.MessageFor(now, to),
		Marks:  c.condition.MarksToSend(),
		Digest: c.gossip.Digest(),
	}
}

// SetSeeds sets the peer endpoints to contact while no member responds.
func (c *Core) SetSeeds(endpoints []netip.AddrPort) { c.roster.Seed(endpoints) }

// ExchangeFailed records that the peer didn't respond to an exchange.
func (c *Core) ExchangeFailed(now time.Time, peer string) { c.roster.Failed(now, peer) }

// HandleHello applies a peer's Hello and returns the response to it.
func (c *Core) HandleHello(now time.Time, h Hello) Answer {
	response := c.roster.Answer(now, h.Roster)
	c.mergeMarks(now, h.Marks)
	a := Answer{Roster: response, Marks: c.condition.MarksToSend(), Digest: c.gossip.Digest()}
	a.Update, _ = c.gossip.UpdateFor(h.Digest)
	return a
}

// ApplyAnswer applies a peer's Answer and reports whether the configuration in force
// changed.
func (c *Core) ApplyAnswer(now time.Time, from string, a Answer) bool {
	c.roster.Receive(now, a.Roster)
	c.mergeMarks(now, a.Marks)
	return c.ApplyUpdate(now, from, a.Update)
}

// SetList replaces the entries of the platform's list. The core keeps the slice.
func (c *Core) SetList(now time.Time, entries []listing.Entry) {
	c.listEntries = entries
	var members []roster.Member
	for _, e := range entries {
		if e.Kind == listing.EntryInstance {
			members = append(members, memberOf(e))
		}
	}
	c.roster.ApplyList(now, members)
	c.updateLeaving(now)
	c.updateDispatch(now)
}

func memberOf(e listing.Entry) roster.Member {
	return roster.Member{
		Name:       e.Name,
		DataCentre: e.DataCentre,
		Leaving:    e.State == listing.Leaving,
		Peer:       e.Peer,
		Passed:     e.Passed,
		Admin:      e.Admin,
	}
}

// ListEntries returns the platform's list as it was last read. Callers must not change
// the slice.
func (c *Core) ListEntries() []listing.Entry { return c.listEntries }

// ListEntry returns the entry of that name in the platform's list as last read.
func (c *Core) ListEntry(name string) (listing.Entry, bool) { return listing.Find(c.listEntries, name) }

// Leave begins a planned stop: further messages announce it to peers, and new
// requests are refused.
func (c *Core) Leave() {
	c.leaving = true
	c.roster.Leave()
	c.dispatch.Stop()
}

// Members returns all known members, including the instance itself.
func (c *Core) Members() []roster.Member { return c.roster.Members() }

// Alive returns the members that accept packets, including the instance itself.
func (c *Core) Alive(now time.Time) []roster.Member { return c.roster.Alive(now) }

// Neighbours returns the members that this instance exchanges with.
func (c *Core) Neighbours(now time.Time) []roster.Member { return c.roster.Neighbours(now) }

// Reachable returns the members that may still respond, including the instance
// itself and those that are leaving.
func (c *Core) Reachable(now time.Time) []roster.Member { return c.roster.Reachable(now) }

// Age returns how long ago newer information about a member was last received.
func (c *Core) Age(now time.Time, name string) time.Duration { return c.roster.HeartbeatAge(now, name) }

// Decisions returns the journal's entries about a subject, oldest first.
func (c *Core) Decisions(subject string) []journal.Entry { return c.journal.About(subject) }

// AddDecision adds a decision of another part of the instance to the journal.
func (c *Core) AddDecision(e journal.Entry) { c.journal.Add(e) }

func (c *Core) journalDecision(now time.Time, subject, action, cause string) {
	c.journal.Add(journal.Entry{At: now, Subject: subject, Action: action, Cause: cause})
}

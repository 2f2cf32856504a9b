package control

import (
	"fmt"
	"slices"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/process/roster"
	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
	"github.com/tanagerweir/tanagerweir/pkg/version/gossip"
)

// maxDirectPeers is how many members an instance may keep connections to. In a
// larger fleet an instance compares the configuration with its neighbours instead of
// with all members that are alive.
const maxDirectPeers = 16

// configurationSubject is the subject of journal entries about the configuration.
const configurationSubject = "configuration"

// Spread is one side of a comparison of the configuration between two instances.
type Spread = gossip.Message

// Offer adopts a whole catalogue if it is newer than the one held, and reports
// whether the configuration in force changed. from names its source in the journal.
func (c *Core) Offer(now time.Time, next catalogue.Catalogue, from string) bool {
	return c.putInForce(now, c.spreader.Offer(now, next), from)
}

// ApplyUpdate applies the update that a peer or the store sends to this instance,
// and reports whether the configuration in force changed.
func (c *Core) ApplyUpdate(now time.Time, from string, u gossip.Update) bool {
	return c.putInForce(now, c.spreader.Apply(now, u), from)
}

// AddMark puts an operator's emergency mark on a data centre in force at this
// instance, from which it is propagated to the others. It returns the mark with its
// number and whether the configuration in force changed. Repeating the operation
// with the same identifier changes nothing.
func (c *Core) AddMark(now time.Time, m catalogue.Mark) (catalogue.Mark, bool) {
	for _, existing := range c.gossip.Marks() {
		if existing.Identifier == m.Identifier && existing.DataCentre == m.DataCentre {
			return existing, false
		}
	}
	m, outcome := c.spreader.AddMark(now, m)
	c.journalDecision(now, m.DataCentre, "Marked", fmt.Sprintf("%s by %s: %s", m.State, m.Author, m.Reason))
	return m, c.putInForce(now, outcome, "operator")
}

// EmergencyMarks returns the emergency marks that the newest catalogue doesn't
// contain yet.
func (c *Core) EmergencyMarks() []catalogue.Mark { return c.gossip.Marks() }

func (c *Core) putInForce(now time.Time, o gossip.Outcome, from string) bool {
	for _, lost := range o.Lost {
		cause := fmt.Sprintf("version %d by %s (%s) is not in the history that came from %s", lost.Version, lost.Author, lost.Summary, from)
		c.journalDecision(now, configurationSubject, "Lost", cause)
	}
	if !o.Changed {
		return false
	}
	next := c.gossip.Current()
	c.journalChanges(now, c.journalledVersion, next)
	c.journalledVersion = next.Version()
	c.condition.SetServices(serviceByBackend(next))
	c.dispatch.SetConfiguration(now, next)
	c.roster.SetVersion(next.Version())
	c.journalDecision(now, configurationSubject, "Adopted", fmt.Sprintf("version %d from %s", next.Version(), from))
	return true
}

// Current returns the catalogue in force: the newest one, with the emergency marks
// that it doesn't contain yet.
func (c *Core) Current() catalogue.Catalogue { return c.gossip.Current() }

// Accepted returns the newest catalogue as the platform accepted it, without
// emergency marks.
func (c *Core) Accepted() catalogue.Catalogue { return c.gossip.Accepted() }

// Digest returns the digest that is compared with those of peers.
func (c *Core) Digest() gossip.Digest { return c.gossip.Digest() }

// NewestKnown returns the highest version that any member is known to hold.
func (c *Core) NewestKnown() catalogue.Version {
	newest := c.gossip.Accepted().Version()
	for _, m := range c.roster.Members() {
		newest = max(newest, m.Version)
	}
	return newest
}

// OldestKnown returns the lowest version that any known member holds, 0 if one
// hasn't reported its version.
func (c *Core) OldestKnown() catalogue.Version {
	oldest := c.gossip.Accepted().Version()
	for _, m := range c.roster.Members() {
		oldest = min(oldest, m.Version)
	}
	return oldest
}

// NextSpread returns the peer to compare the configuration with now, and false if
// no comparison is due; SpreadDue returns when to call again. The peer is a
// neighbour, so that few connections are kept, or any member in a small fleet. Some
// comparisons go to a member that isn't alive, so that healed partitions are found.
func (c *Core) NextSpread(now time.Time) (roster.Member, bool) {
	peers := c.roster.Alive(now)
	if len(peers) > maxDirectPeers {
		peers = c.roster.Neighbours(now)
	}
	known := slices.Concat(peers, c.roster.ReconnectCandidates())
	name, ok := c.spreader.Next(now, memberNames(peers), memberNames(known))
	if !ok {
		return roster.Member{}, false
	}
	for _, m := range known {
		if m.Name == name {
			return m, true
		}
	}
	return roster.Member{}, false
}

func memberNames(members []roster.Member) []string {
	list := make([]string, 0, len(members))
	for _, m := range members {
		list = append(list, m.Name)
	}
	return list
}

// SpreadDue returns when the next comparison is due.
func (c *Core) SpreadDue() time.Time { return c.spreader.Due() }

// BeginSpread returns this instance's side of a comparison.
func (c *Core) BeginSpread() Spread { return c.spreader.Begin() }

// Compare handles a peer's side of a comparison and returns this instance's side.
// The boolean reports whether the configuration in force changed here.
func (c *Core) Compare(now time.Time, from string, s Spread) (Spread, bool) {
	answer, outcome := c.spreader.Compare(now, s)
	return answer, c.putInForce(now, outcome, from)
}

// FinishSpread handles the peer's side of a comparison that this instance began. If
// the peer still lacks something, it returns what to send in a second comparison.
func (c *Core) FinishSpread(now time.Time, from string, answer Spread) (second Spread, again, changed bool) {
	second, again, outcome := c.spreader.Finish(now, answer)
	return second, again, c.putInForce(now, outcome, from)
}

// CountUpdateBytes counts bytes sent to propagate configuration updates against their
// budget.
func (c *Core) CountUpdateBytes(now time.Time, bytes int) { c.spreader.CountUpdateBytes(now, bytes) }

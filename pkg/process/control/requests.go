package control

import (
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/process/roster"
	"github.com/tanagerweir/tanagerweir/pkg/request/claim"
	"github.com/tanagerweir/tanagerweir/pkg/request/dispatch"
	"github.com/tanagerweir/tanagerweir/pkg/request/verdict"
)

// Begin admits a request or refuses it; see dispatch.Core.
func (c *Core) Begin(now time.Time, r dispatch.Request) (dispatch.Attempt, *verdict.Error) {
	a, refusal := c.dispatch.Begin(now, r)
	c.journalNotes(now)
	return a, refusal
}

// Claims returns the state of the keys of requests; see claim.Tracker.
func (c *Core) Claims() *claim.Tracker { return c.claims }

// Issue issues a ticket. It is refused with NotRun while the instance is leaving,
// and as claim.Tracker refuses.
func (c *Core) Issue(now time.Time) (string, *verdict.Error) {
	if c.leaving {
		return "", verdict.New(verdict.NotRun, dispatch.CauseStopping, nil)
	}
	return c.claims.Issue(now)
}

// Ready returns the attempts whose wait is over; see dispatch.Core.
func (c *Core) Ready(now time.Time) []dispatch.Decision { return c.dispatch.Ready(now) }

// Waiting returns how many requests wait for a slot.
func (c *Core) Waiting() int { return c.dispatch.Waiting() }

// Abandon ends the wait of an attempt; see dispatch.Core.
func (c *Core) Abandon(a dispatch.Attempt) bool { return c.dispatch.Abandon(a) }

// Complete takes the outcome of an attempt; see dispatch.Core.
func (c *Core) Complete(now time.Time, a dispatch.Attempt, o dispatch.Outcome) (dispatch.Attempt, bool) {
	c.recordOutcome(now, a, o)
	next, again := c.dispatch.Complete(now, a, o)
	c.journalNotes(now)
	return next, again
}

// updateDispatch passes the members and the marks of backend servers to the core for
// requests, if they have changed since the last call.
func (c *Core) updateDispatch(now time.Time) {
	if c.dispatchRosterChanges == c.roster.Changes() && c.dispatchMarkChanges == c.condition.ChangeCount() {
		return
	}
	c.dispatchRosterChanges, c.dispatchMarkChanges = c.roster.Changes(), c.condition.ChangeCount()
	alive := c.roster.Alive(now)
	c.dispatch.SetMembers(dispatchMembers(alive), dispatchMembers(c.roster.Members()))
	c.claims.SetInstances(len(alive))
	marks := c.condition.Marks()
	converted := make([]dispatch.Condition, 0, len(marks))
	for _, m := range marks {
		converted = append(converted, dispatch.Condition{Backend: m.Backend, State: m.State})
	}
	c.dispatch.SetConditions(now, converted)
	c.journalNotes(now)
}

// journalNotes journals the core for requests' decisions on classes and backend
// servers.
func (c *Core) journalNotes(now time.Time) {
	for _, n := range c.dispatch.Notes() {
		c.journalDecision(now, n.Subject, n.Action, n.Cause)
	}
}

func dispatchMembers(members []roster.Member) []dispatch.Member {
	converted := make([]dispatch.Member, 0, len(members))
	for _, m := range members {
		converted = append(converted, dispatch.Member{Name: m.Name, DataCentre: m.DataCentre})
	}
	return converted
}

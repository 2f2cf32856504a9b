package control

import (
	"slices"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/process/condition"
	"github.com/tanagerweir/tanagerweir/pkg/process/listing"
	"github.com/tanagerweir/tanagerweir/pkg/request/dispatch"
	"github.com/tanagerweir/tanagerweir/pkg/request/verdict"
	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
)

// InspectionsPerSecond is how many backend servers an instance queries for their
// load per second, at most.
const InspectionsPerSecond = 4

// inspection holds the backend servers that this instance queries, the index of the
// one queried last, and the roster and catalogue that the selection is based on.
type inspection struct {
	servers       []catalogue.Backend
	last          int
	rosterChanges uint64
	version       catalogue.Version
	computed      bool
}

// NextInspections returns the backend servers to query for their load now. It is to be
// called once a second. Each server is queried by two instances of its data centre,
// chosen by hash of the names, or by two of all instances if its data centre has none.
func (c *Core) NextInspections(now time.Time) []catalogue.Backend {
	c.planInspections(now)
	i := &c.inspection
	var due []catalogue.Backend
	for range min(InspectionsPerSecond, len(i.servers)) {
		i.last = (i.last + 1) % len(i.servers)
		due = append(due, i.servers[i.last])
	}
	return due
}

// planInspections selects the backend servers to query again if the instances or
// the configuration have changed.
func (c *Core) planInspections(now time.Time) {
	i, current := &c.inspection, c.Current()
	if i.computed && i.rosterChanges == c.roster.Changes() && i.version == current.Version() {
		return
	}
	*i = inspection{rosterChanges: c.roster.Changes(), version: current.Version(), computed: true}
	namesByCentre := make(map[string][]string)
	var allNames []string
	for _, m := range c.roster.Alive(now) {
		namesByCentre[m.DataCentre] = append(namesByCentre[m.DataCentre], m.Name)
		allNames = append(allNames, m.Name)
	}
	for _, b := range current.Backends() {
		candidates := namesByCentre[b.DataCentre]
		if len(candidates) == 0 {
			candidates = allNames
		}
		if condition.Designated(c.name, b.Name, candidates) {
			i.servers = append(i.servers, b)
		}
	}
}

// ApplyReport applies a backend server's report about itself.
func (c *Core) ApplyReport(now time.Time, r condition.Report) {
	c.journalConditions(now, c.condition.Report(now, r))
	c.updateDispatch(now)
}

// Conditions returns the marks in force, sorted by backend server.
func (c *Core) Conditions() []condition.Mark { return c.condition.Marks() }

// recordOutcome updates the condition of an attempt's backend server from the
// outcome of the attempt.
func (c *Core) recordOutcome(now time.Time, a dispatch.Attempt, o dispatch.Outcome) {
	switch {
	case o.Cause == dispatch.CauseDial:
		c.journalConditions(now, c.condition.ConnectionFailed(now, a.Backend.Name))
	case o.Cold:
		c.journalConditions(now, c.condition.TurnedCold(now, a.Backend.Name))
	case o.Verdict == verdict.Ran:
		c.condition.RequestAnswered(a.Backend.Name)
	}
	c.updateDispatch(now)
}

// journalConditions journals changes of condition with their causes.
func (c *Core) journalConditions(now time.Time, changes []condition.Change) {
	for _, change := range changes {
		c.journalDecision(now, change.Mark.Backend, change.Mark.State.String(), change.Cause)
	}
}

func (c *Core) mergeMarks(now time.Time, marks []condition.Mark) {
	for _, m := range c.condition.Merge(marks) {
		c.journalDecision(now, m.Backend, m.State.String(), "told by a peer")
	}
	c.journalConditions(now, c.condition.Tick(now))
	c.updateDispatch(now)
}

// updateLeaving marks the backend servers that are leaving according to the
// platform's list.
func (c *Core) updateLeaving(now time.Time) {
	var leaving []string
	for _, e := range c.listEntries {
		if e.Kind == listing.BackendServer && e.State == listing.Leaving {
			leaving = append(leaving, e.Name)
		}
	}
	slices.Sort(leaving)
	c.journalConditions(now, c.condition.SetListedLeaving(leaving))
}

func serviceByBackend(c catalogue.Catalogue) map[string]string {
	services := make(map[string]string, len(c.Backends()))
	for _, b := range c.Backends() {
		services[b.Name] = b.Service
	}
	return services
}

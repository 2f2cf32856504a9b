package control

import (
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/process/archive"
	"github.com/tanagerweir/tanagerweir/pkg/request/budget"
	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
)

// CountFlows counts n flows of a service that ended with the cause.
func (c *Core) CountFlows(now time.Time, service string, cause budget.Cause, n uint64) {
	c.flowCounts.Add(now, service, cause, n)
}

// Counts returns the counts of a class: those of its own requests, and those of all
// flows of its service, since a flow can't be attributed to a class.
func (c *Core) Counts(class catalogue.Class) (requests, flows budget.Series) {
	return c.dispatch.Counters().Series(class.Name), c.flowCounts.Series(class.Service)
}

// FoldCounts adds the counted intervals that are over to the hours of the archive.
func (c *Core) FoldCounts(now time.Time) {
	for _, class := range c.Current().Classes() {
		requests, flows := c.Counts(class)
		c.archive.Fold(now, class.Name, requests, flows)
	}
}

// FoldAllCounts is FoldCounts before a planned stop: it includes intervals that
// are not over yet.
func (c *Core) FoldAllCounts(now time.Time) {
	for _, class := range c.Current().Classes() {
		requests, flows := c.Counts(class)
		c.archive.FoldAll(now, class.Name, requests, flows)
	}
}

// Archive returns the hourly counts that the instance holds.
func (c *Core) Archive() *archive.Core { return c.archive }

// Package archive keeps counts beyond the life of the instances that counted.
//
// A Core sums the ten-second counts of one incarnation of an instance into
// hours, and says when an hour is to be added to those that the platform
// keeps. Adding is by compare-and-swap; every kept hour lists its
// contributors, so that no contribution is added twice.
//
// # Usage
//
//	core := archive.New("entry-1", incarnation)
//	core.Fold(now, "sign-off", requests, flows)
//	for _, hour := range core.Due(now) {
//		// For each shard: read the kept hour, write kept.Plus(hour.Shard(n)).
//		core.Added(hour.Start)
//	}
//
// A Core does no I/O and is not safe for use from several goroutines.
package archive

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tanagerweir/tanagerweir/pkg/request/budget"
)

// Times of the archive.
const (
	// HourLength is the time that one kept hour covers.
	HourLength = time.Hour
	// SpreadTime is the time over which instances add a finished hour, each with
	// a delay of its own, so that they don't all write at once.
	SpreadTime = 10 * time.Minute
	// KeepTime is how long the platform keeps an hour.
	KeepTime = 8 * 24 * time.Hour
)

// foldDelay is how long after the end of an hour its last intervals may still
// be folded.
const foldDelay = 2 * budget.IntervalLength

// Core holds the hours of one incarnation of an instance.
type Core struct {
	// contributor is the instance's name and incarnation. delay is how long
	// after its end an hour is due. added holds the starts of the hours that
	// the platform keeps.
	contributor string
	delay       time.Duration
	hours       map[time.Time]*Hour
	added       map[time.Time]bool
	folded      map[string]foldedUntil
}

// foldedUntil is the start of the first interval that is not yet folded, for
// each kind of count.
type foldedUntil struct {
	requests time.Time
	flows    time.Time
}

// New returns the empty archive of one incarnation of the named instance.
func New(name string, incarnation uint64) *Core {
	contributor := name + "/" + strconv.FormatUint(incarnation, 10)
	delay := time.Duration(xxhash.Sum64String(contributor) % uint64(SpreadTime))
	return &Core{
		contributor: contributor,
		delay:       foldDelay + delay,
		hours:       make(map[time.Time]*Hour),
		added:       make(map[time.Time]bool),
		folded:      make(map[string]foldedUntil),
	}
}

// Fold adds the intervals of a class that are over and not yet folded to
// their hours. It must be called at least once in the time for which a
// budget.Counters keeps intervals, or counts are lost.
func (c *Core) Fold(now time.Time, class string, requests, flows budget.Series) {
	c.fold(now.Add(-budget.IntervalLength), class, requests, flows)
}

// FoldAll is Fold for a planned stop: it also takes intervals that aren't
// over. It must be the last call, as counts that such an interval gains later
// are left out.
func (c *Core) FoldAll(now time.Time, class string, requests, flows budget.Series) {
	c.fold(now, class, requests, flows)
}

func (c *Core) fold(last time.Time, class string, requests, flows budget.Series) {
	until := c.folded[class]
	for _, i := range intervalsBetween(requests, until.requests, last) {
		t := c.totalsAt(i.Start, class)
		t.Requests = sum(t.Requests, i.Counts)
		c.setTotals(i.Start, class, t)
		until.requests = i.Start.Add(budget.IntervalLength)
	}
	for _, i := range intervalsBetween(flows, until.flows, last) {
		t := c.totalsAt(i.Start, class)
		t.Flows = sum(t.Flows, i.Counts)
		c.setTotals(i.Start, class, t)
		until.flows = i.Start.Add(budget.IntervalLength)
	}
	c.folded[class] = until
}

// intervalsBetween returns the intervals that start between from and last,
// both included.
func intervalsBetween(s budget.Series, from, last time.Time) budget.Series {
	var found budget.Series
	for _, i := range s {
		if !i.Start.Before(from) && !i.Start.After(last) {
			found = append(found, i)
		}
	}
	return found
}

// totalsAt returns the totals of a class in the hour that contains the time.
func (c *Core) totalsAt(at time.Time, class string) Totals {
	if h, ok := c.hours[at.Truncate(HourLength)]; ok {
		return h.Classes[class]
	}
	return Totals{}
}

// setTotals replaces the totals of a class in the hour that contains the
// time.
func (c *Core) setTotals(at time.Time, class string, t Totals) {
	start := at.Truncate(HourLength)
	h, ok := c.hours[start]
	if !ok {
		h = &Hour{Start: start, Classes: make(map[string]Totals), Contributors: []string{c.contributor}}
		c.hours[start] = h
	}
	h.Classes[class] = t
}

// Due returns the hours that are over, not yet added and due for adding at
// now.
func (c *Core) Due(now time.Time) []Hour {
	return c.selectHours(func(h Hour) bool {
		return !c.added[h.Start] && !now.Before(h.Start.Add(HourLength+c.delay))
	})
}

// Unadded returns all hours that aren't added yet, for a planned stop.
func (c *Core) Unadded() []Hour {
	return c.selectHours(func(h Hour) bool { return !c.added[h.Start] })
}

// Hours returns all hours in memory, added or not, for a report.
func (c *Core) Hours() []Hour {
	return c.selectHours(func(Hour) bool { return true })
}

// Added records that the platform keeps the hour, and drops added hours that
// are more than KeepTime older, as no report asks for them.
func (c *Core) Added(start time.Time) {
	c.added[start] = true
	for hour := range c.hours {
		if c.added[hour] && hour.Before(start.Add(-KeepTime)) {
			delete(c.hours, hour)
			delete(c.added, hour)
		}
	}
}

// selectHours returns copies of the wanted hours, sorted by start.
func (c *Core) selectHours(wanted func(Hour) bool) []Hour {
	var found []Hour
	for _, h := range c.hours {
		if wanted(*h) {
			copied := *h
			copied.Classes = maps.Clone(h.Classes)
			found = append(found, copied)
		}
	}
	slices.SortFunc(found, func(a, b Hour) int { return cmp.Compare(a.Start.Unix(), b.Start.Unix()) })
	return found
}

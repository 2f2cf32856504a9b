// Package budget counts for each class how many requests or flows met its target,
// and computes the burn rate of its error budget.
//
// Counters holds one instance's counts in intervals of fixed length. Counts of
// several instances are merged by adding them, interval by interval. At a burn
// rate of 1 the error budget is used up exactly within the target's window.
//
// # Usage
//
//	counters := budget.NewCounters()
//	counters.Record(now, "sign-off", budget.Good)
//	counters.Record(now, "sign-off", budget.Late)
//	merged := budget.Merge(one, other)
//	burn := merged.BurnRate(now, budget.FastWindow, target.Share)
package budget

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Lengths of the intervals and of the windows of burn rates.
const (
	IntervalLength = 10 * time.Second // time that one count covers
	FastWindow     = 5 * time.Minute  // shows an outage soon after it begins
	SlowWindow     = time.Hour        // shows a low error rate that lasts
	keptIntervals  = int(SlowWindow/IntervalLength) + 1
)

// Cause is how a request or flow ended, for its class's counts.
type Cause string

// Causes; all but Good count against the error budget.
const (
	Good      Cause = "Good"
	Late      Cause = "Late"
	Shed      Cause = "Shed"
	Broken    Cause = "Broken"
	NoBackend Cause = "NoBackend"
)

// Causes returns every cause that reports show.
func Causes() []Cause { return []Cause{Good, Late, Shed, Broken, NoBackend} }

// Interval holds the counts of what ended within IntervalLength from Start.
type Interval struct {
	Start  time.Time
	Counts map[Cause]uint64
}

// Series holds the intervals of one class, oldest first.
type Series []Interval

// Counters holds the counts of one instance for at least SlowWindow. It is not
// safe for use from several goroutines.
type Counters struct {
	classes map[string]Series
}

// NewCounters returns empty counters.
func NewCounters() *Counters { return &Counters{classes: make(map[string]Series)} }

// Record counts one request or flow of the class that ended.
func (c *Counters) Record(now time.Time, class string, cause Cause) { c.Add(now, class, cause, 1) }

// Add counts n requests or flows of the class that ended; zero adds nothing.
func (c *Counters) Add(now time.Time, class string, cause Cause, n uint64) {
	if n == 0 {
		return
	}
	start := now.Truncate(IntervalLength)
	s := c.classes[class]
	if len(s) == 0 || s[len(s)-1].Start.Before(start) {
		s = append(s, Interval{Start: start, Counts: make(map[Cause]uint64)})
	}
	if len(s) > keptIntervals {
		s = slices.Clone(s[len(s)-keptIntervals:])
	}
	s[len(s)-1].Counts[cause] += n
	c.classes[class] = s
}

// Classes returns the names of the classes that were counted, sorted.
func (c *Counters) Classes() []string { return slices.Sorted(maps.Keys(c.classes)) }

// Series returns a copy of the counts of one class, which the caller owns.
func (c *Counters) Series(class string) Series { return Merge(c.classes[class]) }

// BurnRate returns Series.BurnRate of one class without copying its counts.
func (c *Counters) BurnRate(now time.Time, class string, window time.Duration, share float64) float64 {
	return c.classes[class].BurnRate(now, window, share)
}

// Merge returns the sum of the series, interval by interval. It shares no memory
// with them.
func Merge(series ...Series) Series {
	var merged Series
	for _, s := range series {
		for _, i := range s {
			merged = merged.add(i)
		}
	}
	return merged
}

func (s Series) add(i Interval) Series {
	index, found := slices.BinarySearchFunc(s, i.Start, func(a Interval, t time.Time) int { return a.Start.Compare(t) })
	if !found {
		s = slices.Insert(s, index, Interval{Start: i.Start, Counts: make(map[Cause]uint64, len(i.Counts))})
	}
	for cause, n := range i.Counts {
		s[index].Counts[cause] += n
	}
	return s
}

// Total returns the counts by cause over the window that ends now.
func (s Series) Total(now time.Time, window time.Duration) map[Cause]uint64 {
	total := make(map[Cause]uint64)
	for _, i := range s {
		if i.Start.Before(now.Add(-window)) {
			continue
		}
		for cause, n := range i.Counts {
			total[cause] += n
		}
	}
	return total
}

// BurnRate returns the burn rate over the window that ends now: the share of bad
// outcomes divided by the share that a target of share allows. It is 0 without
// counts.
func (s Series) BurnRate(now time.Time, window time.Duration, share float64) float64 {
	good, all := goodAndAll(s.Total(now, window))
	if all == 0 || share >= 1 {
		return 0
	}
	return float64(all-good) / float64(all) / (1 - share)
}

func goodAndAll(counts map[Cause]uint64) (good, all uint64) {
	for cause, n := range counts {
		all += n
		if cause == Good {
			good += n
		}
	}
	return good, all
}

// Served returns the number of good outcomes and of all over the window that ends
// now.
func (s Series) Served(now time.Time, window time.Duration) (good, all uint64) {
	return goodAndAll(s.Total(now, window))
}

// BadCauses returns the causes in counts other than Good, sorted by name.
func BadCauses(counts map[Cause]uint64) []Cause {
	var bad []Cause
	for cause := range counts {
		if cause != Good {
			bad = append(bad, cause)
		}
	}
	slices.SortFunc(bad, func(a, b Cause) int { return strings.Compare(string(a), string(b)) })
	return bad
}

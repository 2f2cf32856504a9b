// Package dayreport computes a report from the logs of instances: how many requests
// were answered, slow, unanswered or refused, how long they waited and why, by class
// of work, data centre and backend server, and over time.
//
// # Usage
//
//	r := dayreport.New(log.Lines(), 200*time.Millisecond)
//	err := r.WriteHTML(os.Stdout)
package dayreport

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/tanagerweir/tanagerweir/pkg/process/explanation"
)

const (
	// binLength is the span of time that one point of a plot covers.
	binLength = 2 * time.Second
	// maxWait is the longest wait that histograms record; longer ones are recorded as
	// maxWait.
	maxWait = time.Minute
	// waitPrecision is the precision of histograms in significant decimal digits.
	waitPrecision = 3
)

// Counts summarises the outcomes of a group of requests.
type Counts struct {
	// Forwarded counts requests that an instance forwarded, Answered those whose
	// answer was acknowledged, and Slow the answered ones that waited longer than the
	// target.
	Forwarded, Answered, Slow int
	// Refused counts flows that an instance reset or dropped.
	Refused int
	// Median and P99 are percentiles of the waits of answered requests.
	Median, P99 time.Duration

	// waits is nil once the percentiles are computed.
	waits *hdrhistogram.Histogram
}

// Unanswered returns the number of forwarded requests without an acknowledged answer.
func (c Counts) Unanswered() int { return max(c.Forwarded-c.Answered, 0) }

func newCounts() *Counts {
	return &Counts{waits: hdrhistogram.New(1, maxWait.Microseconds(), waitPrecision)}
}

func (c *Counts) addAnswer(waited, target time.Duration) {
	c.Answered++
	if waited > target {
		c.Slow++
	}
	// Recording can't fail, since the value is within the histogram's range.
	_ = c.waits.RecordValue(min(max(waited, 0), maxWait).Microseconds())
}

func (c *Counts) computeQuantiles() {
	c.Median = time.Duration(c.waits.ValueAtQuantile(50)) * time.Microsecond
	c.P99 = time.Duration(c.waits.ValueAtQuantile(99)) * time.Microsecond
	c.waits = nil
}

// Row holds the counts of one class of work, data centre or backend server.
type Row struct {
	Name string
	Counts
}

// Bin holds the counts of one span of binLength.
type Bin struct {
	// From is the time from the report's Began to the beginning of the span.
	From time.Duration
	Counts
}

// Reason is a kind of event and the number of its occurrences.
type Reason struct {
	Name  string
	Times int
}

// Report is the report of one day.
type Report struct {
	// Began is the time of the first forwarded request or refused flow.
	Began time.Time
	// Target is the longest wait that isn't slow.
	Target time.Duration
	All    Counts
	// Classes are named after routes. A request counts to the data centre of the
	// instance that forwarded it.
	Classes, DataCentres, Servers []Row
	Bins                          []Bin
	// Reasons counts refusals, suspected and silent backend servers, lost entries and
	// lost connections to the store. The most frequent come first.
	Reasons []Reason
}

// builder accumulates the counts of a report while lines are read.
type builder struct {
	target  time.Duration
	total   *Counts
	classes map[string]*Counts
	centres map[string]*Counts
	servers map[string]*Counts
	bins    map[int]*Counts
	reasons map[string]int
	began   time.Time
	// openRequests are the requests that wait for an answer, by caller and route.
	openRequests map[string]openRequest
	// dataCentreOf maps instances to their data centres.
	dataCentreOf map[string]string
}

// openRequest holds the counts to which a forwarded request was added.
type openRequest struct{ counts []*Counts }

// New computes a report from lines in order of time. Requests that waited longer than
// the target count as slow.
func New(lines []explanation.Line, target time.Duration) Report {
	b := &builder{
		target: target, total: newCounts(),
		classes: make(map[string]*Counts), centres: make(map[string]*Counts), servers: make(map[string]*Counts),
		bins: make(map[int]*Counts), reasons: make(map[string]int), openRequests: make(map[string]openRequest), dataCentreOf: make(map[string]string),
	}
	for _, l := range lines {
		b.read(l)
	}
	return b.report()
}

func (b *builder) read(l explanation.Line) {
	switch l.Message {
	case "Instance: started.":
		b.dataCentreOf[l.Instance] = l.Fields["DataCentre"]
	case "Request: forwarded.":
		b.forwarded(l)
	case "Request: answered.":
		b.answered(l)
	case "Flow: reset.", "Flow: dropped.":
		b.refused(l)
	case "Server: suspected.", "Server: silent, flows there are given up.", "Server: its entry is gone.",
		"Instance: cut off from the store and from instances that reach it.", "Follower: the store can't be read.":
		b.reasons[l.Message]++
	}
}

func (b *builder) forwarded(l explanation.Line) {
	if l.Fields["Class"] == "" {
		// This is a later packet of a request that is already counted.
		return
	}
	counts := []*Counts{
		b.total, countsFor(b.classes, l.Fields["Class"]), countsFor(b.centres, b.dataCentreOf[l.Instance]), countsFor(b.servers, l.Fields["Server"]), countsFor(b.bins, b.binIndex(l.At)),
	}
	for _, c := range counts {
		c.Forwarded++
	}
	b.openRequests[l.Fields["Caller"]+l.Fields["Route"]] = openRequest{counts: counts}
}

func (b *builder) answered(l explanation.Line) {
	key := l.Fields["Caller"] + l.Fields["Route"]
	a, ok := b.openRequests[key]
	waited, err := time.ParseDuration(l.Fields["Waited"])
	if !ok || err != nil {
		// The line of the forwarded request exceeded the log's rate, or this line is
		// damaged.
		b.reasons["Request: answered, but not seen when it was forwarded."]++
		return
	}
	delete(b.openRequests, key)
	for _, c := range a.counts {
		c.addAnswer(waited, b.target)
	}
}

func (b *builder) refused(l explanation.Line) {
	b.total.Refused++
	countsFor(b.centres, b.dataCentreOf[l.Instance]).Refused++
	countsFor(b.bins, b.binIndex(l.At)).Refused++
	b.reasons[l.Message+" "+l.Fields["Reason"]]++
}

func (b *builder) binIndex(at time.Time) int {
	if b.began.IsZero() {
		b.began = at
	}
	return int(at.Sub(b.began) / binLength)
}

// countsFor returns the counts of a key, and adds them to the map if there are none.
func countsFor[K comparable](counts map[K]*Counts, key K) *Counts {
	c, ok := counts[key]
	if !ok {
		c = newCounts()
		counts[key] = c
	}
	return c
}

func (b *builder) report() Report {
	b.total.computeQuantiles()
	r := Report{
		Began: b.began, Target: b.target, All: *b.total,
		Classes: rows(b.classes), DataCentres: rows(b.centres), Servers: rows(b.servers),
	}
	for _, n := range slices.Sorted(maps.Keys(b.bins)) {
		b.bins[n].computeQuantiles()
		r.Bins = append(r.Bins, Bin{From: time.Duration(n) * binLength, Counts: *b.bins[n]})
	}
	for name, times := range b.reasons {
		r.Reasons = append(r.Reasons, Reason{Name: name, Times: times})
	}
	slices.SortFunc(r.Reasons, func(x, y Reason) int {
		return cmp.Or(cmp.Compare(y.Times, x.Times), cmp.Compare(x.Name, y.Name))
	})
	return r
}

// rows returns the counts as rows sorted by name.
func rows(counts map[string]*Counts) []Row {
	var sorted []Row
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		counts[name].computeQuantiles()
		sorted = append(sorted, Row{Name: name, Counts: *counts[name]})
	}
	return sorted
}

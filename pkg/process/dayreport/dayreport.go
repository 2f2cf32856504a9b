// Package dayreport tells, from the logs of instances, who was served, who waited
// and why, by class of work, data centre and backend server, and over time.
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
	// binLength is the time that one point of a plot covers.
	binLength = 2 * time.Second
	// longestWait is the highest time that histograms hold; longer ones count as
	// that.
	longestWait = time.Minute
	// waitDigits is the precision of histograms in decimal digits.
	waitDigits = 3
)

// Counts is what became of some requests.
type Counts struct {
	// Forwarded requests reached an instance, and Answered ones had their answer
	// acknowledged; Slow are those among them that waited longer than the target.
	Forwarded, Answered, Slow int
	// Refused flows were reset or dropped by an instance.
	Refused int
	// Median and P99 are of the waits of answered requests.
	Median, P99 time.Duration

	waits *hdrhistogram.Histogram
}

// Unanswered returns how many requests had no answer that an instance saw.
func (c Counts) Unanswered() int { return max(c.Forwarded-c.Answered, 0) }

func newCounts() *Counts {
	return &Counts{waits: hdrhistogram.New(1, longestWait.Microseconds(), waitDigits)}
}

func (c *Counts) answered(waited, target time.Duration) {
	c.Answered++
	if waited > target {
		c.Slow++
	}
	// The value is within the histogram's range, so it is taken.
	_ = c.waits.RecordValue(min(max(waited, 0), longestWait).Microseconds())
}

func (c *Counts) close() {
	c.Median = time.Duration(c.waits.ValueAtQuantile(50)) * time.Microsecond
	c.P99 = time.Duration(c.waits.ValueAtQuantile(99)) * time.Microsecond
	c.waits = nil
}

// Row is the counts of one class, data centre or backend server.
type Row struct {
	Name string
	Counts
}

// Bin is the counts of one span of time.
type Bin struct {
	// From is counted from the first request.
	From time.Duration
	Counts
}

// Reason is how often something was decided or believed.
type Reason struct {
	Name  string
	Times int
}

// Report is one day.
type Report struct {
	Began  time.Time
	Target time.Duration
	All    Counts
	// Classes are by route, DataCentres by the instance that forwarded.
	Classes, DataCentres, Servers []Row
	Bins                          []Bin
	// Reasons counts refusals and what was believed of backend servers.
	Reasons []Reason
}

// book collects counts while lines are read.
type book struct {
	target  time.Duration
	all     *Counts
	classes map[string]*Counts
	centres map[string]*Counts
	servers map[string]*Counts
	bins    map[int]*Counts
	reasons map[string]int
	began   time.Time
	// open are the requests that wait, by flow.
	open map[string]asked
	// home is the data centre of each instance.
	home map[string]string
}

// asked is where a request was counted when it was forwarded.
type asked struct{ counts []*Counts }

// New reads lines, which stand in order of time. Requests that waited longer than
// the target are slow.
func New(lines []explanation.Line, target time.Duration) Report {
	b := &book{
		target: target, all: newCounts(),
		classes: make(map[string]*Counts), centres: make(map[string]*Counts), servers: make(map[string]*Counts),
		bins: make(map[int]*Counts), reasons: make(map[string]int), open: make(map[string]asked), home: make(map[string]string),
	}
	for _, l := range lines {
		b.read(l)
	}
	return b.report()
}

func (b *book) read(l explanation.Line) {
	switch l.Message {
	case "Instance: started.":
		b.home[l.Instance] = l.Fields["DataCentre"]
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

func (b *book) forwarded(l explanation.Line) {
	if l.Fields["Class"] == "" {
		// A later packet of a request that was counted.
		return
	}
	counts := []*Counts{
		b.all, of(b.classes, l.Fields["Class"]), of(b.centres, b.home[l.Instance]), of(b.servers, l.Fields["Server"]), of(b.bins, b.bin(l.At)),
	}
	for _, c := range counts {
		c.Forwarded++
	}
	b.open[l.Fields["Caller"]+l.Fields["Route"]] = asked{counts: counts}
}

func (b *book) answered(l explanation.Line) {
	key := l.Fields["Caller"] + l.Fields["Route"]
	a, ok := b.open[key]
	waited, err := time.ParseDuration(l.Fields["Waited"])
	if !ok || err != nil {
		// The request itself was beyond the log's rate, or its line is spoilt.
		b.reasons["Request: answered, but not seen when it was forwarded."]++
		return
	}
	delete(b.open, key)
	for _, c := range a.counts {
		c.answered(waited, b.target)
	}
}

func (b *book) refused(l explanation.Line) {
	b.all.Refused++
	of(b.centres, b.home[l.Instance]).Refused++
	of(b.bins, b.bin(l.At)).Refused++
	b.reasons[l.Message+" "+l.Fields["Reason"]]++
}

func (b *book) bin(at time.Time) int {
	if b.began.IsZero() {
		b.began = at
	}
	return int(at.Sub(b.began) / binLength)
}

func of[K comparable](all map[K]*Counts, key K) *Counts {
	c, ok := all[key]
	if !ok {
		c = newCounts()
		all[key] = c
	}
	return c
}

func (b *book) report() Report {
	b.all.close()
	r := Report{
		Began: b.began, Target: b.target, All: *b.all,
		Classes: rows(b.classes), DataCentres: rows(b.centres), Servers: rows(b.servers),
	}
	for _, n := range slices.Sorted(maps.Keys(b.bins)) {
		b.bins[n].close()
		r.Bins = append(r.Bins, Bin{From: time.Duration(n) * binLength, Counts: *b.bins[n]})
	}
	for name, times := range b.reasons {
		r.Reasons = append(r.Reasons, Reason{Name: name, Times: times})
	}
	slices.SortFunc(r.Reasons, func(a, c Reason) int {
		return cmp.Or(cmp.Compare(c.Times, a.Times), cmp.Compare(a.Name, c.Name))
	})
	return r
}

func rows(all map[string]*Counts) []Row {
	var sorted []Row
	for _, name := range slices.Sorted(maps.Keys(all)) {
		all[name].close()
		sorted = append(sorted, Row{Name: name, Counts: *all[name]})
	}
	return sorted
}

package forwarding

import (
	"maps"
	"slices"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/clock"
	"github.com/tanagerweir/tanagerweir/pkg/connection/capacity"
	"github.com/tanagerweir/tanagerweir/pkg/connection/mark"
)

const (
	// maxLoads bounds the backend servers in one report, so that it fits into a
	// datagram at some 20 bytes for each server.
	maxLoads = 48
	// reportMaxAge is how long another instance's report counts.
	reportMaxAge = 3 * time.Second
	// averageWeight is the weight of the newest sample in the average of running
	// requests. It gives a time constant of about half a second at one sample each
	// 100 ms.
	averageWeight = 0.2
)

// Load is what one instance's flows show about a backend server.
type Load struct {
	Mark mark.Mark
	// Open is the number of flows open there.
	Open int
	// Running is the average number of requests that wait for an answer there.
	Running float64
	// Failures is the number of flows that the server left unanswered since its
	// last sign of life, and FailedAge how long ago the latest was noticed.
	Failures  int
	FailedAge time.Duration
	// Stuck is how many of these flows were open when their data went unanswered.
	Stuck int
	// AliveAge is how long ago the instance last saw a sign of life, never if it has seen
	// none since its start.
	AliveAge clock.Age
	// ColdLeft is for how long the instance still takes the server for cold since it
	// may have been started anew, 0 if it doesn't.
	ColdLeft time.Duration
	// Evidence is what the instance's flows show of the server's health, and
	// EjectedLeft for how long the instance still ejects it, 0 if it doesn't.
	Evidence    capacity.Evidence
	EjectedLeft time.Duration
}

// Aged returns the load as it is that much later, if nothing has changed: without that, two
// instances that report to each other would extend what ends at a time.
func (l Load) Aged(by time.Duration) Load {
	l.FailedAge += by
	l.AliveAge = l.AliveAge.Add(by)
	l.ColdLeft = max(l.ColdLeft-by, 0)
	if l.EjectedLeft > 0 {
		// While it is probed, a server counts as ejected for this shortest time.
		l.EjectedLeft = max(l.EjectedLeft-by, time.Millisecond)
	}
	return l
}

// report holds another instance's loads and the time when they were received.
type report struct {
	received time.Duration
	loads    []Load
}

// Loads returns the loads that this instance reports to others. If there are too
// many, it leaves out the servers with the fewest failures and open flows.
func (c *Core) Loads(now time.Duration) []Load {
	var loads []Load
	for _, m := range slices.Sorted(maps.Keys(c.servers.byMark)) {
		v := c.servers.byMark[m]
		o := &v.observed
		if o.openFlows == 0 && o.running == 0 && o.failures == 0 && o.average < 1.0/64 && c.coldLeft(now, v) == 0 && !c.health.reports(now, v) {
			continue
		}
		loads = append(loads, c.load(now, v))
	}
	if c.health.on() {
		return c.health.choose(loads)
	}
	if len(loads) > maxLoads {
		slices.SortStableFunc(loads, func(a, b Load) int { return b.Failures + b.Open - a.Failures - a.Open })
		loads = loads[:maxLoads]
	}
	return loads
}

// load returns what this instance has seen of the backend server.
func (c *Core) load(now time.Duration, v *server) Load {
	o := &v.observed
	return Load{
		Mark: v.mark, Open: o.openFlows, Running: o.average,
		Failures: o.failures, FailedAge: now - o.lastFailure, Stuck: o.stuck, AliveAge: o.lastAlive.Age(now),
		ColdLeft: c.coldLeft(now, v), Evidence: v.health.Own(now), EjectedLeft: v.health.EjectedLeft(now),
	}
}

// ReceiveLoads applies the loads of another instance of the data centre, and
// keeps the slice. alive is the number of other instances; if only some of them
// report, each report stands for several.
func (c *Core) ReceiveLoads(now time.Duration, name string, loads []Load, alive int) {
	c.reports[name] = report{received: now, loads: loads}
	c.peerCount = alive
	c.receiveSigns(now, loads)
	c.combineReports(now)
}

// combineReports sums up the reports that still count.
func (c *Core) combineReports(now time.Duration) {
	for _, v := range c.servers.sorted {
		v.observed.others = others{}
		v.health.ClearReports(now)
	}
	reporting := 0
	// In a fixed order, since sums of floating-point numbers depend on it.
	for _, name := range slices.Sorted(maps.Keys(c.reports)) {
		r := c.reports[name]
		if now-r.received > reportMaxAge {
			delete(c.reports, name)
			continue
		}
		reporting++
		for _, l := range r.loads {
			if v, ok := c.servers.byMark[l.Mark]; ok {
				v.observed.others.add(l, r.received)
				v.health.AddReport(capacity.Report{Evidence: l.Evidence, Age: now - r.received, EjectedLeft: l.EjectedLeft})
			}
		}
	}
	c.health.reporting = reporting
	c.reportScale = 1
	if reporting > 0 && c.peerCount > reporting {
		c.reportScale = float64(c.peerCount) / float64(reporting)
	}
	c.averageOthers()
}

// others is the sum of other instances' reports about a backend server.
type others struct {
	openFlows   int
	running     float64
	failures    int
	lastFailure time.Duration
	stuck       int
	lastAlive   clock.Time
}

func (o *others) add(l Load, received time.Duration) {
	o.openFlows += l.Open
	o.running += l.Running
	o.lastAlive = o.lastAlive.Latest(l.AliveAge.Before(received))
	if l.Failures > 0 {
		o.failures += l.Failures
		o.stuck += l.Stuck
		o.lastFailure = max(o.lastFailure, received-l.FailedAge)
	}
}

package forwarding

import (
	"maps"
	"slices"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/connection/mark"
)

const (
	// maxLoads bounds the backend servers in one report, so that it fits into a
	// datagram with some 20 bytes each.
	maxLoads = 48
	// reportFor is how long another instance's report counts.
	reportFor = 3 * time.Second
	// averageShare is the weight of the newest sample in the average of running
	// requests, for a time constant of about half a second at one each 100 ms.
	averageShare = 0.2
)

// Load is what one instance's flows tell of a backend server.
type Load struct {
	Mark mark.Mark
	// Open is the number of flows open there.
	Open int
	// Running is the average number of requests that wait there.
	Running float64
	// Failures is the number of flows left unanswered since the last sign of
	// life, FailedAge how long ago the latest was noticed.
	Failures  int
	FailedAge time.Duration
	// Stuck is how many of these flows were open and had their data unanswered.
	Stuck int
	// AliveAge is how long ago the last sign of life was seen.
	AliveAge time.Duration
}

// report is another instance's loads.
type report struct {
	at    time.Duration
	loads []Load
}

// Loads returns what this instance's flows tell, of the busiest backend servers
// first where it is too much.
func (c *Core) Loads(now time.Duration) []Load {
	var loads []Load
	for _, m := range slices.Sorted(maps.Keys(c.servers.byMark)) {
		w := &c.servers.byMark[m].view
		if w.open == 0 && w.running == 0 && w.failures == 0 && w.average < 1.0/64 {
			continue
		}
		loads = append(loads, Load{
			Mark: m, Open: w.open, Running: w.average,
			Failures: w.failures, FailedAge: now - w.failed, Stuck: w.stuck, AliveAge: now - w.alive,
		})
	}
	if len(loads) > maxLoads {
		slices.SortStableFunc(loads, func(a, b Load) int { return b.Failures + b.Open - a.Failures - a.Open })
		loads = loads[:maxLoads]
	}
	return loads
}

// Hear takes the loads of another instance of the data centre. Alive is how many
// others there are; where only some report, they stand for all.
func (c *Core) Hear(now time.Duration, name string, loads []Load, alive int) {
	c.reports[name] = report{at: now, loads: loads}
	c.alive = alive
	c.combine(now)
}

// combine adds up the reports that still count.
func (c *Core) combine(now time.Duration) {
	for _, v := range c.servers.known {
		v.view.others = others{}
	}
	heard := 0
	// In one order, since sums of fractions depend on it.
	for _, name := range slices.Sorted(maps.Keys(c.reports)) {
		r := c.reports[name]
		if now-r.at > reportFor {
			delete(c.reports, name)
			continue
		}
		heard++
		for _, l := range r.loads {
			if v, ok := c.servers.byMark[l.Mark]; ok {
				v.view.others.add(l, r.at)
			}
		}
	}
	c.scale = 1
	if heard > 0 && c.alive > heard {
		c.scale = float64(c.alive) / float64(heard)
	}
}

// others is what other instances reported of a backend server.
type others struct {
	open     int
	running  float64
	failures int
	failed   time.Duration
	stuck    int
	alive    time.Duration
}

func (o *others) add(l Load, at time.Duration) {
	o.open += l.Open
	o.running += l.Running
	o.alive = max(o.alive, at-l.AliveAge)
	if l.Failures > 0 {
		o.failures += l.Failures
		o.stuck += l.Stuck
		o.failed = max(o.failed, at-l.FailedAge)
	}
}

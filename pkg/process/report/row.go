package report

import (
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/process/archive"
	"github.com/tanagerweir/tanagerweir/pkg/request/budget"
	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
)

// Row shows how one class is served. FastBurn and SlowBurn are the burn rates
// over budget.FastWindow and budget.SlowWindow; Good, All and Bad cover the
// latter, as do their counterparts for flows.
type Row struct {
	Class   string
	Service string

	// Share is the target for requests, and Within is the time that a request
	// may take.
	Share  float64
	Within string
	Good   uint64
	All    uint64
	// Window is the period of the target. WindowGood, WindowAll and
	// BudgetLeft cover it in whole hours. BudgetLeft is the share of the
	// error budget that is left, negative where it is overspent.
	Window     string
	WindowGood uint64
	WindowAll  uint64
	BudgetLeft float64
	FastBurn   float64
	SlowBurn   float64
	Bad        []CauseCount

	// FlowShare is the target for flows. Flows are counted per service, so
	// the classes of a service have the same counts.
	FlowShare    float64
	FlowsGood    uint64
	FlowsAll     uint64
	FlowFastBurn float64
	FlowSlowBurn float64
	FlowsBad     []CauseCount
	// FlowBudgetLeft is the share of the error budget for flows that is left.
	FlowBudgetLeft float64

	// Points and FlowPoints are the counts of the last hour, one point per
	// minute.
	Points     []Point
	FlowPoints []Point
}

// CauseCount counts the requests or flows that ended badly for one cause.
type CauseCount struct {
	Cause string
	Count uint64
}

// Point holds the counts of one minute, which starts at At.
type Point struct {
	At   time.Time
	Good uint64
	All  uint64
}

// Burn returns the burn rate of the minute for a target share, from 0 to 1.
func (p Point) Burn(share float64) float64 {
	if p.All == 0 || share >= 1 {
		return 0
	}
	return float64(p.All-p.Good) / float64(p.All) / (1 - share)
}

// classSeries are the merged series of one class.
type classSeries struct {
	requests budget.Series
	flows    budget.Series
	hours    archive.Series
}

func newRow(now time.Time, class catalogue.Class, c classSeries) Row {
	t := class.Target
	r := Row{
		Class:        class.Name,
		Service:      class.Service,
		Share:        t.Share,
		Within:       t.Within.String(),
		FastBurn:     c.requests.BurnRate(now, budget.FastWindow, t.Share),
		SlowBurn:     c.requests.BurnRate(now, budget.SlowWindow, t.Share),
		Bad:          badByCause(c.requests.Total(now, budget.SlowWindow)),
		FlowShare:    t.FlowShare,
		FlowFastBurn: c.flows.BurnRate(now, budget.FastWindow, t.FlowShare),
		FlowSlowBurn: c.flows.BurnRate(now, budget.SlowWindow, t.FlowShare),
		FlowsBad:     badByCause(c.flows.Total(now, budget.SlowWindow)),
		Points:       pointsByMinute(now, c.requests),
		FlowPoints:   pointsByMinute(now, c.flows),
	}
	r.Good, r.All = c.requests.Served(now, budget.SlowWindow)
	r.FlowsGood, r.FlowsAll = c.flows.Served(now, budget.SlowWindow)
	r.Window = t.Window.String()
	r.WindowGood, r.WindowAll = c.hours.Requests.Served(now, t.Window)
	r.BudgetLeft = 1 - c.hours.Requests.BurnRate(now, t.Window, t.Share)
	r.FlowBudgetLeft = 1 - c.hours.Flows.BurnRate(now, t.Window, t.FlowShare)
	return r
}

// badByCause returns the counts of the causes that count against the target.
func badByCause(total map[budget.Cause]uint64) []CauseCount {
	var bad []CauseCount
	for _, cause := range budget.BadCauses(total) {
		bad = append(bad, CauseCount{Cause: string(cause), Count: total[cause]})
	}
	return bad
}

// pointsByMinute sums the intervals of the last hour by minute.
func pointsByMinute(now time.Time, s budget.Series) []Point {
	var points []Point
	for _, i := range s {
		at := i.Start.Truncate(time.Minute)
		if at.Before(now.Add(-budget.SlowWindow)) {
			continue
		}
		if len(points) == 0 || !points[len(points)-1].At.Equal(at) {
			points = append(points, Point{At: at})
		}
		point := &points[len(points)-1]
		for cause, n := range i.Counts {
			point.All += n
			if cause == budget.Good {
				point.Good += n
			}
		}
	}
	return points
}

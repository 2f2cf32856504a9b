// Package configuration measures how changes of the configuration propagate.
//
// It drives the production cores that store, gossip and follow the configuration
// in injected time, over a simulated store and network that only count and delay
// calls and messages, for 9, 90 and 490 instances and with each failure. In the
// baseline every instance watches the platform. All instances get the same view
// of which others are alive, as late as the roster detects it; the roster's own
// messages aren't counted here.
//
// # Usage
//
//	rows, err := configuration.Run(ctx, seed)
package configuration

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/bench"
	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
)

const (
	baseline = "EveryInstanceWatches" // the baseline's name in rows

	inForceBound  = 5.0     // seconds
	controlBound  = 3_000.0 // bytes per second and instance
	valueBound    = 1 << 20 // bytes of a stored value
	readBound     = 2_000.0 // calls on the platform per second
	burstChanges  = 30      // changes in a burst, one per second
	changesPerDay = 510     // on an ordinary day
	secondsPerDay = 24 * 3600
	idleTime      = 60 * time.Second // over which rates without changes are measured
)

// scale is the size of a fleet.
type scale struct{ instances, dataCentres int }

func scales() []scale { return []scale{{9, 3}, {90, 9}, {490, 9}} }

// Run returns the rows of this project's design and of the baseline. It returns
// the rows so far and an error when ctx ends or a simulated run fails.
func Run(ctx context.Context, seed uint64) ([]bench.Row, error) {
	m := &measurement{ctx: ctx, seed: seed}
	for _, direct := range []bool{false, true} {
		m.faults(scales()[0], direct)
		m.faults(scales()[2], direct)
		for _, s := range scales() {
			m.calls(s, direct)
		}
		m.burst(scales()[2], direct)
	}
	m.summary()
	m.size()
	m.move()
	return m.rows, m.err
}

// RunFaults returns the rows of this project's design for one size of the fleet,
// with each failure.
func RunFaults(ctx context.Context, seed uint64, instances, dataCentres int) ([]bench.Row, error) {
	m := &measurement{ctx: ctx, seed: seed}
	m.faults(scale{instances, dataCentres}, false)
	return m.rows, m.err
}

// measurement collects rows. Its last four fields summarise this project's design
// over all sizes and faults.
type measurement struct {
	ctx        context.Context
	seed       uint64
	rows       []bench.Row
	err        error   // no more faults are run after one
	maxSeconds float64 // longest time until a change was in force
	maxMedian  float64 // longest median of that time
	reversions int
	lost       int
}

func designName(direct bool) string {
	if direct {
		return baseline
	}
	return bench.Tanagerweir
}

func (m *measurement) add(r bench.Row) { m.rows = append(m.rows, r) }

// faults measures one size of the fleet with each fault.
func (m *measurement) faults(s scale, direct bool) {
	for _, ft := range faults() {
		if m.err == nil {
			m.err = m.ctx.Err()
		}
		if m.err != nil {
			return
		}
		result, err := runFault(s.instances, s.dataCentres, m.seed, direct, ft)
		if err != nil {
			m.err = err
			return
		}
		slices.Sort(result.seconds)
		name := fmt.Sprintf(".%s.%d", ft.name, s.instances)
		median, longest := result.seconds[len(result.seconds)/2], result.seconds[len(result.seconds)-1]
		m.add(bench.AtMost(designName(direct), "SecondsToInForceP50"+name, median, "s", inForceBound))
		m.add(bench.AtMost(designName(direct), "SecondsToInForceMax"+name, longest, "s", inForceBound))
		m.add(bench.AtMost(designName(direct), "Reversions"+name, float64(result.reversions), "times", 0))
		m.add(bench.AtMost(designName(direct), "LostAccepted"+name, float64(result.lost), "changes", 0))
		if !direct {
			m.maxSeconds, m.maxMedian = max(m.maxSeconds, longest), max(m.maxMedian, median)
			m.reversions += result.reversions
			m.lost += result.lost
		}
	}
}

// summary adds the worst times and the totals over all sizes and faults.
func (m *measurement) summary() {
	m.add(bench.AtMost(bench.Tanagerweir, "SecondsToInForceP50", m.maxMedian, "s", inForceBound))
	m.add(bench.AtMost(bench.Tanagerweir, "SecondsToInForceMax", m.maxSeconds, "s", inForceBound))
	m.add(bench.AtMost(bench.Tanagerweir, "Reversions", float64(m.reversions), "times", 0))
	m.add(bench.AtMost(bench.Tanagerweir, "LostAccepted", float64(m.lost), "changes", 0))
}

// calls measures a fleet's calls on the platform, idle and in an outage.
func (m *measurement) calls(s scale, direct bool) {
	f := newFleet(s.instances, s.dataCentres, m.seed, direct)
	f.advance(warmUpTime)
	idle := f.platformCallRate(idleTime)
	f.platform.down = true
	f.endWatches()
	outage := f.platformCallRate(idleTime)
	name := fmt.Sprintf(".%d", s.instances)
	m.add(bench.AtMost(designName(direct), "PlatformCallsPerSecond"+name, idle, "calls/s", readBound))
	m.add(bench.AtMost(designName(direct), "PlatformCallsPerSecondInOutage"+name, outage, "calls/s", readBound))
}

// platformCallRate advances by d and returns the fleet's calls per second.
func (f *fleet) platformCallRate(d time.Duration) float64 {
	before := f.platform.calls
	f.advance(d)
	return float64(f.platform.calls-before) / d.Seconds()
}

// burst measures the control traffic of an idle fleet and of one that gets a
// change every second.
func (m *measurement) burst(s scale, direct bool) {
	f := newFleet(s.instances, s.dataCentres, m.seed, direct)
	f.advance(warmUpTime)
	idle, _ := f.controlRates(func() { f.advance(idleTime) })
	acceptedAt := make(map[catalogue.Version]time.Time)
	mean, highest := f.controlRates(func() {
		for range burstChanges {
			acceptedAt[f.acceptChange(f.randomNode())] = f.now
			f.advance(time.Second)
		}
	})
	f.advance(faultTime)
	var result faultResult
	for v, at := range acceptedAt {
		result.addTimes(f, v, at)
	}
	slices.Sort(result.seconds)
	day := idle + (mean-idle)*changesPerDay/secondsPerDay
	m.add(bench.AtMost(designName(direct), "ControlBytesPerSecondPerNode", highest, "B/s", controlBound))
	m.add(bench.AtMost(designName(direct), "ControlBytesPerSecondPerNode.Mean", mean, "B/s", controlBound))
	m.add(bench.AtMost(designName(direct), "ControlBytesPerSecondPerNode.Day", day, "B/s", controlBound))
	median, longest := result.seconds[len(result.seconds)/2], result.seconds[len(result.seconds)-1]
	m.add(bench.AtMost(designName(direct), "SecondsToInForceP50.Burst.490", median, "s", inForceBound))
	m.add(bench.AtMost(designName(direct), "SecondsToInForceMax.Burst.490", longest, "s", inForceBound))
	if !direct {
		m.maxSeconds, m.maxMedian = max(m.maxSeconds, longest), max(m.maxMedian, median)
	}
	if m.err == nil {
		m.err = f.err
	}
}

// controlRates calls during and returns the control traffic meanwhile in bytes per
// second: the mean over the nodes and that of the busiest, sent and received
// bytes together.
func (f *fleet) controlRates(during func()) (mean, highest float64) {
	began := f.now
	for _, n := range f.nodes {
		n.controlBytes = 0
	}
	during()
	seconds := f.now.Sub(began).Seconds()
	for _, n := range f.nodes {
		rate := float64(n.controlBytes) / seconds
		mean += rate / float64(len(f.nodes))
		highest = max(highest, rate)
	}
	return mean, highest
}

package requests

import (
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/bench"
	"github.com/tanagerweir/tanagerweir/pkg/request/dispatch"
	"github.com/tanagerweir/tanagerweir/pkg/version/health"
)

// Lengths of the runs in injected time.
const (
	loadSettleTime = 5 * time.Second  // after a change of the load, not counted
	loadCountTime  = 10 * time.Second // after that, counted
	shedCountTime  = 10 * time.Second // counted while every server sheds
)

// loadStep is one level of the offered load, as a factor of the capacity.
type loadStep struct {
	name   string
	factor float64
}

// loadSteps returns the levels in the order in which they follow. Names stand in
// measures.
func loadSteps() []loadStep {
	return []loadStep{
		{"AtTwentiethLoad", 0.05},
		{"AtFullLoad", 1},
		{"AtTripleLoad", 3},
		{"AtTenfoldLoad", 10},
	}
}

const tripleLoad = 3

// loadRows measures every load step in one run, from nearly no load to ten times
// the capacity.
func loadRows(design string, seed uint64) []bench.Row {
	w := newWorld(design, seed)
	var rows []bench.Row
	for _, s := range loadSteps() {
		w.loadFactor = s.factor
		w.runUntil(w.now + loadSettleTime)
		w.startCounting(loadCountTime)
		w.runUntil(w.now + loadCountTime + deadline)
		rows = append(rows, stepRows(design, s, w)...)
	}
	return rows
}

// stepRows returns the rows of one load step. Only those at triple load have
// bounds.
func stepRows(design string, s loadStep, w *world) []bench.Row {
	name := "Goodput" + s.name
	rows := []bench.Row{bench.Measured(design, name, w.goodput(s.factor), "share of capacity or offered load")}
	if s.factor != tripleLoad {
		return append(rows, classRows(design, s, w)...)
	}
	rows[0] = bench.AtLeast(design, name, w.goodput(s.factor), "share of capacity", 0.95)
	met, servable := w.targetsMet()
	rows = append(rows, bench.AtLeast(design, "ClassTargetsMet"+s.name, met, "classes", servable))
	return append(rows, classRows(design, s, w)...)
}

// classRows returns each class's share of requests answered in time.
func classRows(design string, s loadStep, w *world) []bench.Row {
	var rows []bench.Row
	for _, l := range loads() {
		share := w.servedInTime(l.class.Name)
		rows = append(rows, bench.Measured(design, "ServedInTime"+s.name+":"+l.class.Name, share, "share"))
	}
	return rows
}

// goodput returns the work of requests answered in time, as a share of the work
// that was offered or that the capacity allows, whichever is less.
func (w *world) goodput(factor float64) float64 {
	possible := loadCountTime.Seconds() * serverCount * slotCount * min(1, factor)
	return w.counts.workDone.Seconds() / possible
}

// servedInTime returns the share of a class's requests that were answered within
// the class's target, 1 without requests.
func (w *world) servedInTime(class string) float64 {
	if w.counts.began[class] == 0 {
		return 1
	}
	return float64(w.counts.inTime[class]) / float64(w.counts.began[class])
}

// targetsMet counts the classes that the capacity can serve, and how many of them
// met their target.
func (w *world) targetsMet() (met, servable float64) {
	for _, l := range loads() {
		if !l.servable {
			continue
		}
		servable++
		if w.servedInTime(l.class.Name) >= l.class.Target.Share {
			met++
		}
	}
	return met, servable
}

// sheddingRows measures how much retries multiply the load while every backend
// server refuses every request.
func sheddingRows(design string, seed uint64) []bench.Row {
	w := newWorld(design, seed)
	w.loadFactor = 1
	w.runUntil(loadSettleTime)
	for _, name := range w.serverNames {
		w.servers[name].shedding = true
	}
	w.startCounting(shedCountTime)
	w.runUntil(w.now + shedCountTime)
	amplification := float64(w.counts.attempts) / float64(max(1, w.counts.requestsSent))
	return []bench.Row{
		bench.AtMost(design, "RetryAmplification", amplification, "attempts a request sent", 1.1),
		bench.Measured(design, "AttemptsWhileAllShed", float64(w.counts.attempts)/shedCountTime.Seconds(), "attempts a second"),
	}
}

// coldRows measures the overload of cold servers while half of the servers are
// cold: once with reports that warn the instances before, and once without.
func coldRows(design string, seed uint64) []bench.Row {
	warned := newWorld(design, seed)
	warned.makeCold(true)
	warned.loadFactor = 1
	warned.runUntil(loadSettleTime)
	warned.startCounting(loadCountTime)
	warned.runUntil(warned.now + loadCountTime)
	served := warned.goodput(1)
	warned.loadFactor = tripleLoad
	warned.runUntil(warned.now + loadSettleTime + loadCountTime)
	unwarned := newWorld(design, seed)
	unwarned.loadFactor = 1
	unwarned.runUntil(loadSettleTime)
	unwarned.makeCold(false)
	unwarned.runUntil(unwarned.now + loadCountTime)
	return []bench.Row{
		bench.AtMost(design, "ColdOverload", float64(warned.coldOverloads()), "requests", 0),
		bench.Measured(design, "GoodputAtFullLoadHalfCold", served, "share of the whole capacity"),
		bench.Measured(design, "ColdOverloadWithoutWarning", float64(unwarned.coldOverloads()), "requests"),
	}
}

// makeCold turns every second server cold. With warn, the instances of this
// project's design learn their condition at once.
func (w *world) makeCold(warn bool) {
	var conditions []dispatch.Condition
	for i, name := range w.serverNames {
		if i%2 == 0 {
			w.servers[name].cold = true
			conditions = append(conditions, dispatch.Condition{Backend: name, State: health.Cold})
		}
	}
	for _, i := range w.instances {
		if core, ok := i.(*dispatch.Core); ok && warn {
			core.SetConditions(w.clock(), conditions)
		}
	}
}

// coldOverloads returns the overloads of all servers.
func (w *world) coldOverloads() int {
	total := 0
	for _, name := range w.serverNames {
		total += w.servers[name].overloads
	}
	return total
}

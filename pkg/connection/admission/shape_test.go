package admission_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/tanagerweir/tanagerweir/pkg/connection/mechanism"
)

// targetsOfHeavyWork are the targets of work that takes 52 and 40 ms, so that an answer is late
// behind three others, and heavyLimit is the number of requests a slot at which full knowledge
// has the most answers on time then.
var targetsOfHeavyWork = [2]time.Duration{250 * time.Millisecond, 200 * time.Millisecond}

const heavyLimit = 1.7

// shapes are crowds of a small and a large deployment.
var shapes = map[string]load{
	"Few/Twice":       {fleet: few, factor: 1.7},
	"Few/ThreeTimes":  {fleet: few, factor: 3},
	"Few/HalfLeave":   {fleet: few, factor: 1.5, leave: 7},
	"Few/AllRestart":  {fleet: few, factor: 3, restart: 9},
	"Few/SomeRestart": {fleet: few, factor: 3, restart: 6},
	"Few/HalfAtOne":   {fleet: few, factor: 3, firstWeight: 0.4},
	"Many/Twice":      {fleet: many, factor: 1.7},
	"Many/ThreeTimes": {fleet: many, factor: 3},
	"Many/HalfLeave":  {fleet: many, factor: 1.5, leave: 60},
	"Many/AllRestart": {fleet: many, factor: 3, restart: 66},
}

// Guards against room that a small fleet leaves unused in a crowd, against instances that start
// amid it and learn from overloaded servers how long answers of idle ones take, and against
// callers that are refused once it is over. Instances got between a fifth and a third less out
// of 14 servers than these could do, and refused callers for 12 s after a crowd.
func TestCrowdsOfHeavyWork(t *testing.T) {
	for name, l := range shapes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l.targets, l.urgent, l.knownLimit = targetsOfHeavyWork, 2./9, heavyLimit
			played := func(d design) figures {
				p := l.withDefaults(d)
				p.usual = 0.38
				return play(p)
			}
			f, best := played(product), played(known)
			t.Log("product:", f)
			t.Log("full knowledge:", best)
			check(t, "Goodput", f.goodput() >= 0.95*best.goodput(), f)
			check(t, "UrgentOnTime", float64(f.urgentOnTime) >= 0.99*float64(f.urgentAsked), f)
			check(t, "Attempts", f.attempts() <= 1.1, f)
			check(t, "NothingRefusedBefore", f.refusedBefore == 0, f)
			if l.leave == 0 {
				check(t, "NothingRefusedASecondAfter", f.refusedAfterSecond == 0, f)
			}
		})
	}
}

// feedShape is a crowd in which callers of the less urgent route keep flows open, as they do for
// live feeds, so that their later requests are never rejected.
type feedShape struct {
	load
	// urgentOnTime is the part of the urgent requests that has to be on time.
	urgentOnTime float64
}

var feedShapes = map[string]feedShape{
	"Many/Crowd":      {load{fleet: feeds, factor: 1.45, urgent: 0.331, usual: 0.32}, 0.97},
	"Many/OneRoute":   {load{fleet: feeds, factor: 1.7, urgent: 0.06, usual: 0.32}, 0.97},
	"Many/TwoOfThree": {load{fleet: feeds, factor: 0.8, urgent: 0.331, usual: 0.32, leave: 80}, 0.92},
	"Few/Crowd":       {load{fleet: feedsFew, factor: 1.7, urgent: 0.222, usual: 0.38}, 0.85},
	"Few/HalfLeave":   {load{fleet: feedsFew, factor: 1.0, urgent: 0.222, usual: 0.38, leave: 7}, 0.85},
}

// Guards against urgent requests that are rejected, or wait behind others, where the places are
// taken by later requests of open flows, which can't be rejected. They were on time to 0.86 where
// they alone took 0.57 of the room.
func TestCrowdsOfOpenFlows(t *testing.T) {
	for name, shape := range feedShapes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := shape.load
			l.targets = [2]time.Duration{600 * time.Millisecond, 600 * time.Millisecond}
			if l.servers == few.servers {
				l.targets = [2]time.Duration{250 * time.Millisecond, 200 * time.Millisecond}
			}
			usual := l.usual
			p := l.withDefaults(product)
			p.usual = usual
			f := play(p)
			t.Log("product:", f)
			check(t, "UrgentOnTime", float64(f.urgentOnTime) >= shape.urgentOnTime*float64(f.urgentAsked), f)
			check(t, "NothingRefusedBefore", f.refusedBefore == 0, f)
			if l.leave == 0 {
				check(t, "NothingRefusedASecondAfter", f.refusedAfterSecond == 0, f)
			}
		})
	}
}

// Guards against a switch that nothing reads.
func TestMechanismsCanBeSwitchedOff(t *testing.T) {
	played := func(off mechanism.Set) figures {
		l := shapes["Few/SomeRestart"]
		l.targets, l.urgent, l.off = targetsOfHeavyWork, 2./9, off
		return play(l.withDefaults(product))
	}
	all := played(0)
	for _, m := range []mechanism.Mechanism{
		mechanism.CrowdOnset, mechanism.ClassOrder, mechanism.CallerWindow, mechanism.DemandShares, mechanism.DelayCorrection, mechanism.IdleEstimates,
	} {
		if cmp.Equal(all, played(mechanism.Set(0).With(m)), cmp.AllowUnexported(figures{})) {
			t.Errorf("%v: switched off, nothing changes", m)
		}
	}
}

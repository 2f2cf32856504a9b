package main

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tanagerweir/tanagerweir/platform/standin"
)

const (
	// coldRate is how many requests a second a cold target can take, and coldBound what the
	// rule allows: coldPerS x coldOverage + coldSlack.
	coldRate  = 4
	coldBound = coldRate*1.5 + 5
	coldTime  = 2 * time.Second
)

// runRestart starts a target again under its identifier while the store is silent. The rule
// is FAILBACK.
func runRestart(w *world, trouble bool) (bool, error) {
	w.configure("safe", coldRate)
	var first *target
	for n, id := range []string{"i-0d00000001", "i-0d00000002"} {
		t, err := w.addTarget(id, zones[0], 10*time.Millisecond)
		if err != nil {
			return false, err
		}
		if n == 0 {
			first = t
		}
	}
	if err := w.startInstances(3); err != nil {
		return false, err
	}
	w.pause(3 * time.Second)
	for range 40 {
		w.tasks.Go(func() { w.clients.loopShort(500 * time.Millisecond) })
	}
	w.pause(4 * time.Second)
	if trouble {
		w.record("the store is silent")
		w.store.SetFault(standin.Fault{Silent: true})
	}
	w.pause(time.Second)
	first.crash(50 * time.Millisecond)
	started := time.Now()
	if !trouble {
		first.announce("ready", coldTime)
	}
	w.pause(3400 * time.Millisecond)
	w.store.SetFault(standin.Fault{})
	first.announce("ready", 0)
	w.pause(time.Second)
	w.recordRuns()
	most := first.busiestSecond(started.Add(coldTime))
	w.record("%d flows in the busiest second of the cold target; %g are allowed", most, float64(coldBound))
	return float64(most) > coldBound, nil
}

// busiestSecond returns the largest number of flows since the last start, and before a time,
// that were sent and arrived within one second.
func (t *target) busiestSecond(before time.Time) int {
	t.mu.Lock()
	opened := slices.Clone(t.opened)
	t.mu.Unlock()
	most := 0
	for _, first := range opened {
		n := 0
		for _, o := range opened {
			if !o.sent.Before(first.sent) && o.arrived.Sub(first.sent) < time.Second && o.arrived.Before(before) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// loopShort opens a flow for each request.
func (c *clients) loopShort(pause time.Duration) {
	for c.world.context.Err() == nil {
		f := c.newFlow()
		if f.open() {
			f.request()
			f.finish()
		}
		time.Sleep(pause + time.Duration(rand.Int64N(int64(pause/5))))
	}
}

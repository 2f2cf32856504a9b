package main

import (
	"fmt"
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
	// downTime is how long the target's process is down, and wavePeriod the time between two
	// waves of clients.
	downTime   = 300 * time.Millisecond
	wavePeriod = 2500 * time.Millisecond
	// One of targetCount targets restarts, and waveClients come in a wave.
	targetCount = 7
	waveClients = 168
)

// runRestart starts a target again under its identifier while the store is silent. The rule
// is FAILBACK.
func runRestart(w *world, trouble bool) (bool, error) {
	w.configure("safe", coldRate)
	var first *target
	for n := range targetCount {
		t, err := w.addTarget(fmt.Sprintf("i-0d%08x", n+1), zones[n%len(zones)], 10*time.Millisecond)
		if err != nil {
			return false, err
		}
		if n == 0 {
			first = t
		}
	}
	if err := w.addInstances(3); err != nil {
		return false, err
	}
	if err := w.startInstances(); err != nil {
		return false, err
	}
	w.pause(3 * time.Second)
	began := time.Now()
	for n := range 5 {
		wave := began.Add(time.Duration(n+1) * wavePeriod)
		w.tasks.Go(func() { w.clients.openAt(wave, waveClients) })
	}
	w.pause(2*wavePeriod - 500*time.Millisecond)
	if trouble {
		w.record("the store is silent")
		w.store.SetFault(standin.Fault{Silent: true})
	}
	w.pause(time.Second) // the second wave is over
	first.crash(downTime)
	started := time.Now()
	if !trouble {
		first.announce("ready", coldTime)
	}
	w.pause(coldTime + 500*time.Millisecond)
	w.record("the store answers")
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

// openAt lets that many clients open a flow each and send a request, within 0.3 s from a time on.
func (c *clients) openAt(at time.Time, count int) {
	time.Sleep(time.Until(at))
	for range count {
		c.world.tasks.Go(func() {
			f := c.newFlow()
			if f.open() {
				f.request()
				f.finish()
			}
		})
		time.Sleep(300 * time.Millisecond / time.Duration(count))
	}
}

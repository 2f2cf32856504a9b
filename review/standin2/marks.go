package main

import (
	"math/rand/v2"
	"time"
)

// The identifiers of these two targets have the same 32-bit hash, by which flows are forwarded.
const (
	earlierTarget = "i-cd7d6c655d"
	laterTarget   = "i-77e873ae5e"
)

// runMarks rolls all instances while two targets with the same mark are in use. The rule is
// FLOW: no client may get a reset that its flow's target didn't send, under planned work.
func runMarks(w *world, trouble bool) (bool, error) {
	w.configure("unsafe", 0)
	for n, id := range []string{earlierTarget, "i-0d00000001", "i-0d00000002", "i-0d00000003"} {
		if _, err := w.addTarget(id, zones[n%len(zones)], 30*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := w.startInstances(3); err != nil {
		return false, err
	}
	w.pause(2 * time.Second)
	if _, err := w.addTarget(laterTarget, zones[0], 30*time.Millisecond); err != nil {
		return false, err
	}
	w.pause(2 * time.Second)
	for range 48 {
		w.tasks.Go(func() { w.clients.loopLong() })
	}
	w.pause(5 * time.Second)
	for _, i := range w.instances {
		if trouble {
			if err := i.restart(); err != nil {
				return false, err
			}
		}
		w.pause(stableTime + time.Second)
	}
	w.pause(5 * time.Second)
	w.recordRuns()
	resets, unanswered := w.clients.foreignResets()
	w.record("%d requests sent, %d answered; %d resets of open flows by others than their target, with %d requests that were never answered",
		w.clients.asked.Load(), w.clients.answered.Load(), resets, unanswered)
	return resets > 0, nil
}

// foreignResets returns the number of resets that the flow's target didn't send, and that of
// requests that waited for an answer then.
func (c *clients) foreignResets() (resets, unanswered int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.resets {
		if x.pending != "" {
			unanswered++
		}
	}
	return len(c.resets), unanswered
}

// loopLong keeps one flow open for many requests, and opens another when it ends.
func (c *clients) loopLong() {
	for c.world.context.Err() == nil {
		f := c.newFlow()
		if !f.open() {
			continue
		}
		for c.world.context.Err() == nil && f.request() {
			time.Sleep(time.Duration(300+rand.IntN(700)) * time.Millisecond)
		}
	}
}

package main

import (
	"math/rand/v2"
	"time"
)

// The link is full fullCount times, each time for fullTime.
const (
	fullCount = 3
	fullTime  = 1500 * time.Millisecond
)

// runOffice fills the link to the clients of one office, which loses the packets to them. The rule is FLOW.
func runOffice(w *world, trouble bool) (bool, error) {
	w.configure("safe", 0)
	for n, id := range []string{"i-0d00000001", "i-0d00000002", "i-0d00000003", "i-0d00000004", "i-0d00000005", "i-0d00000006"} {
		if _, err := w.addTarget(id, zones[n%len(zones)], 20*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := w.addInstances(3); err != nil {
		return false, err
	}
	if err := w.startInstances(); err != nil {
		return false, err
	}
	office, err := newClients(w, "office", 201)
	if err != nil {
		return false, err
	}
	defer func() { _ = office.conn.Close() }()
	w.pause(3 * time.Second)
	for range 26 {
		w.tasks.Go(func() { w.clients.loopPaused(2 * time.Second) })
	}
	for range 26 {
		w.tasks.Go(func() { office.loopPaused(800 * time.Millisecond) })
	}
	w.pause(6 * time.Second)
	for range fullCount {
		if trouble {
			w.record("the link to the office's clients is full")
			office.full.Store(true)
		}
		w.pause(fullTime)
		office.full.Store(false)
		w.record("the link to the office's clients is free")
		w.pause(8 * time.Second)
	}
	w.recordRuns()
	resets, unanswered := office.foreignResets()
	w.record("office: %d requests sent, %d answered; %d resets of open flows by others than their target, with %d requests that were never answered",
		office.asked.Load(), office.answered.Load(), resets, unanswered)
	others, unanswered := w.clients.foreignResets()
	w.record("other clients: %d requests sent, %d answered; %d such resets, with %d requests that were never answered",
		w.clients.asked.Load(), w.clients.answered.Load(), others, unanswered)
	return resets+others > 0, nil
}

// loopPaused keeps one flow open for many requests with pauses.
func (c *clients) loopPaused(pause time.Duration) {
	time.Sleep(time.Duration(rand.Int64N(int64(pause))))
	for c.world.context.Err() == nil {
		f := c.newFlow()
		if !f.open() {
			continue
		}
		for c.world.context.Err() == nil && f.request() {
			time.Sleep(pause/2 + time.Duration(rand.Int64N(int64(pause))))
		}
	}
}

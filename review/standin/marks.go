package main

import (
	"errors"
	"sync"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/connection/mark"
)

const (
	// feedFlows is how many long flows are open, and feedPause the time between two requests
	// of one.
	feedFlows = 60
	feedPause = 400 * time.Millisecond
	// boardID and ledgerID are identifiers with the same mark.
	boardID, ledgerID = "i-cf144d78", "i-32453a22"
	// stopPause is the time between the stops of two instances.
	stopPause = 2 * time.Second
)

var errMarksDiffer = errors.New("the two identifiers have different marks")

// playMarks stops and starts all instances in turn, as planned, while long flows are open at a
// server with whose mark another service's server has been added.
func playMarks(f *fleet, trouble bool) error {
	if mark.Of(boardID) != mark.Of(ledgerID) {
		return errMarksDiffer
	}
	if _, err := f.configure(true, 0); err != nil {
		return err
	}
	if err := f.addServer(boardID, "board", f.site.zone(0)); err != nil {
		return err
	}
	if err := f.addServers(); err != nil {
		return err
	}
	if err := f.start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	var feeds sync.WaitGroup
	for range feedFlows {
		feeds.Go(func() { f.feed(ended) })
		time.Sleep(20 * time.Millisecond)
	}
	if err := f.addServer(ledgerID, "ledger", f.site.zone(1)); err != nil {
		return err
	}
	time.Sleep(stable)
	for _, i := range f.instances {
		if trouble {
			f.record.add("%s is stopped and started as planned", i.name)
			if err := i.restart(); err != nil {
				return err
			}
		}
		time.Sleep(stopPause)
	}
	close(ended)
	feeds.Wait()
	return nil
}

// feed keeps a flow of the board open, and reports if it is reset although its server lives.
func (f *fleet) feed(ended <-chan struct{}) {
	c := f.caller.newFlow(boardRoute, nil)
	defer c.finish()
	if !c.open(2) {
		return
	}
	takes := f.caller.takesOf(c)
	at := takes[len(takes)-1].server
	f.record.add("flow %d is open at %s of %s", c.port, at.id, at.service)
	for {
		select {
		case <-ended:
			return
		case <-time.After(feedPause):
		}
		result, r := c.request()
		if result == answered {
			continue
		}
		f.record.add("request %d of flow %d, which is open at %s, was %s", c.requests, c.port, at.id, result)
		if result == reset {
			f.record.breach("FLOW: flow %d, open at %s, which lives and sent no reset, was reset; by a server: %v", c.port, at.id, r.own)
		}
		return
	}
}

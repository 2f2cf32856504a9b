package main

import (
	"sync"
	"time"
)

const (
	// loopKills is how often the process of the instance that is cut off is killed, and
	// loopPeriod the time between two kills.
	loopKills  = 4
	loopPeriod = 1200 * time.Millisecond
	// loopProbedFor is how long flows are sent after a server began to drain.
	loopProbedFor = 9 * time.Second
)

// playLoop cuts the instance that follows the store off from it, and kills its process again
// and again. Meanwhile a server begins to drain. All other instances are in touch.
func playLoop(f *fleet, trouble bool) error {
	if _, err := f.configure(true, 0); err != nil {
		return err
	}
	if err := f.addServers(); err != nil {
		return err
	}
	if err := f.start(); err != nil {
		return err
	}
	follower := f.awaitFollower(time.Now().Add(30 * time.Second))
	if follower == nil {
		return errNoFollower
	}
	f.record.add("%s follows the store", follower.name)
	var probes sync.WaitGroup
	if trouble {
		f.cut(follower, cutFor)
		probes.Go(func() { f.killAgainAndAgain(follower) })
	}
	time.Sleep(50 * time.Millisecond)
	leaving := f.servers[0]
	draining := leaving.drain()
	f.record.add("the store has that %s of %s is draining", leaving.id, leaving.service)
	for _, i := range f.instances {
		if i != follower {
			probes.Go(func() { f.probeLeaving(i, leaving, draining, loopProbedFor, f.breachDrain) })
		}
	}
	probes.Wait()
	leaving.leave()
	return nil
}

func (f *fleet) breachDrain(format string, args ...any) { f.record.breach("DRAIN: "+format, args...) }

// killAgainAndAgain kills the instance's process, which is started again after restartDelay.
func (f *fleet) killAgainAndAgain(i *instance) {
	for range loopKills {
		began := time.Now()
		i.kill()
		f.record.add("the process of %s was killed", i.name)
		time.Sleep(restartDelay)
		i.disturb()
		if err := i.launch(); err != nil {
			f.record.add("%s can't be started: %v", i.name, err)
			return
		}
		time.Sleep(time.Until(began.Add(loopPeriod)))
	}
}

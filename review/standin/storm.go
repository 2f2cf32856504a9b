package main

import (
	"sync"
	"time"
)

const (
	// growths is how often the configuration has grown by grownRoutes before.
	growths = 4
	// stormFor is how long configurations follow one another, and stormGap the time between
	// two. The one with this number drops the seasonal route.
	stormFor     = 2 * time.Second
	stormGap     = 80 * time.Millisecond
	dropsInStorm = 10
	// cutAfter is the time from the first configuration of the storm to the cut of the
	// instance that follows the store, and cutFor how long it lasts.
	cutAfter = 200 * time.Millisecond
	cutFor   = 5500 * time.Millisecond
	// leavesAfter is the time from the acknowledgement that a server is draining to its end.
	leavesAfter = drainTime + 3*time.Second
	// historyFor is how long the store keeps its history.
	historyFor = 20 * time.Second
	// stormProbedFor is how long flows are sent after the route was dropped.
	stormProbedFor = 24 * time.Second
)

// playStorm lets configurations come in quick succession, while the instance that follows the
// store is cut off from it. All others are in touch.
func playStorm(f *fleet, trouble bool) error {
	if _, err := f.configure(true, 0); err != nil {
		return err
	}
	if err := f.addServers(); err != nil {
		return err
	}
	if err := f.start(); err != nil {
		return err
	}
	for n := range growths {
		if _, err := f.configure(true, (n+1)*grownRoutes); err != nil {
			return err
		}
		time.Sleep(time.Second)
	}
	follower := f.awaitFollower(time.Now().Add(30 * time.Second))
	if follower == nil {
		return errNoFollower
	}
	f.record.add("%s follows the store", follower.name)
	began := time.Now()
	if trouble {
		time.AfterFunc(cutAfter, func() { f.cut(follower, cutFor) })
	}
	time.AfterFunc(historyFor, func() {
		f.store.Compact()
		f.record.add("the store dropped the history of the storm")
	})
	dropped, err := f.storm(began)
	if err != nil {
		return err
	}
	leaving := f.servers[0]
	draining := leaving.drain()
	f.record.add("the store has that %s of %s is draining", leaving.id, leaving.service)
	time.AfterFunc(leavesAfter, func() {
		leaving.leave()
		f.record.add("%s has left", leaving.id)
	})
	var probes sync.WaitGroup
	for _, i := range f.instances {
		probes.Go(func() { f.probeDropped(i, dropped, stormProbedFor) })
		probes.Go(func() { f.probeLeaving(i, leaving, draining, leavesAfter, f.recordDrain) })
	}
	probes.Wait()
	return nil
}

// recordDrain records a flow that reached a draining server too late. It isn't counted, as the
// case is about another rule.
func (f *fleet) recordDrain(format string, args ...any) { f.record.add("also DRAIN: "+format, args...) }

// storm writes configurations from the given time on. It returns when the store had the first
// one without the seasonal route.
func (f *fleet) storm(began time.Time) (dropped time.Time, err error) {
	for n := 0; time.Since(began) < stormFor; n++ {
		at, err := f.configure(n < dropsInStorm, growths*grownRoutes)
		if err != nil {
			return time.Time{}, err
		}
		if n == dropsInStorm {
			dropped = at
		}
		time.Sleep(time.Until(began.Add(time.Duration(n+1) * stormGap)))
	}
	return dropped, nil
}

// cut partitions an instance from the store for some time.
func (f *fleet) cut(i *instance, duration time.Duration) {
	i.disturb()
	i.proxy.isCut.Store(true)
	f.record.add("%s is cut off from the store", i.name)
	time.AfterFunc(duration, func() {
		i.disturb()
		i.proxy.isCut.Store(false)
		f.record.add("%s reaches the store again", i.name)
	})
}

package main

import (
	"slices"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

const (
	// cutTime is how long one instance is cut off from the store, and killPeriod the time
	// between two kills of its process.
	cutTime    = 5500 * time.Millisecond
	killPeriod = 1200 * time.Millisecond
	killCount  = 4
)

// runUpgrade plays an upgrade in which all instances but one run the present build, and the last
// one the production version. That one is cut off from the store, and its process is killed
// again and again, while a target begins to drain. The rule is DRAIN.
func runUpgrade(w *world, trouble bool) (bool, error) {
	w.configure("safe", 0)
	var leaving *target
	for n, id := range []string{"i-0d00000001", "i-0d00000002", "i-0d00000003"} {
		t, err := w.addTarget(id, zones[n%len(zones)], 10*time.Millisecond)
		if err != nil {
			return false, err
		}
		leaving = t
	}
	last, err := w.upgradeAllButReader()
	if err != nil {
		return false, err
	}
	for range 24 {
		w.tasks.Go(func() { w.clients.loopShort(300 * time.Millisecond) })
	}
	w.pause(stableTime + 2*time.Second)
	if w.reader() != last {
		return false, errors.New("another instance reads the store by now")
	}
	w.record("%s, which runs the production version, reads the store for the others", last.name)
	cutAt := time.Now()
	if trouble {
		w.record("%s is cut off from the store", last.name)
		last.proxy.cut.Store(true)
		w.tasks.Go(func() { last.killAgain(cutAt) })
	}
	w.pause(300 * time.Millisecond)
	leaving.announce("draining", 0)
	acknowledged := time.Now()
	w.pause(cutTime - time.Since(cutAt))
	last.proxy.cut.Store(false)
	w.record("the cut is over")
	w.pause(4 * time.Second)
	late, latest := leaving.openedAfter(acknowledged, drainTime, last.name)
	w.recordRuns()
	w.record("%d flows by way of the five undisturbed instances reached the draining target more than %v after the acknowledgement, the last one %v after it", late, drainTime, latest)
	return late > 0, nil
}

// upgradeAllButReader starts six instances with the production version, and replaces it by the
// present build at all but the one that reads the store, which it returns.
func (w *world) upgradeAllButReader() (*instance, error) {
	if err := w.addInstances(6); err != nil {
		return nil, err
	}
	for _, i := range w.instances {
		i.program = productionProgram
	}
	if err := w.startInstances(); err != nil {
		return nil, err
	}
	w.pause(3 * time.Second)
	last := w.reader()
	if last == nil {
		return nil, errors.New("no single instance reads the store")
	}
	for _, i := range w.instances {
		if i == last {
			continue
		}
		i.program = currentProgram
		if err := i.restart(); err != nil {
			return nil, err
		}
	}
	return last, nil
}

// reader returns the instance of which a watch waits at the store, nil if there isn't just one
// within two seconds.
func (w *world) reader() *instance {
	for range 100 {
		var found []*instance
		for _, i := range w.instances {
			if i.proxy.watches() {
				found = append(found, i)
			}
		}
		if len(found) == 1 {
			return found[0]
		}
		w.pause(20 * time.Millisecond)
	}
	return nil
}

// killAgain kills the process killCount times; the platform starts it again each time.
func (i *instance) killAgain(began time.Time) {
	for n := range killCount {
		time.Sleep(time.Until(began.Add(200*time.Millisecond + time.Duration(n)*killPeriod)))
		i.signal(syscall.SIGKILL)
		<-i.exited
		time.Sleep(restartDelay)
		if err := i.launch(); err != nil {
			i.world.record("%v", err)
			return
		}
	}
}

// openedAfter returns how many flows arrived later than a bound after a time, and how long
// after it the last one did. Flows of which a disturbed instance took a packet don't count.
func (t *target) openedAfter(at time.Time, bound time.Duration, disturbed string) (late int, latest time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, o := range t.opened {
		if slices.Contains(o.taken, disturbed) {
			continue
		}
		after := o.arrived.Sub(at)
		latest = max(latest, after)
		if after > bound {
			late++
		}
	}
	return late, latest
}

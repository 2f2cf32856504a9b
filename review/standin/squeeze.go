package main

import (
	"sync"
	"time"
)

const (
	// squeezedBytesPerSecond is the bandwidth of the follower's link to the store while it is
	// squeezed, and squeezedFor for how long.
	squeezedBytesPerSecond = 25_000
	squeezedFor            = 6 * time.Second
	// grownRoutes is how many routes a growth of the configuration brings.
	grownRoutes = 350
	// probePause is the time between two flows to the same instance.
	probePause = 200 * time.Millisecond
	// probedFor is how long flows are sent after the change.
	probedFor = 8 * time.Second
)

// playSqueeze squeezes the link of the instance that follows the store, while a
// configuration drops a route. All other instances are in touch.
func playSqueeze(f *fleet, trouble bool) error {
	if _, err := f.configure(true, grownRoutes); err != nil {
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
	if trouble {
		follower.disturb()
		follower.proxy.bytesPerSecond.Store(squeezedBytesPerSecond)
		f.record.add("the link of %s is squeezed to %d bytes a second", follower.name, squeezedBytesPerSecond)
		defer follower.proxy.bytesPerSecond.Store(0)
		time.AfterFunc(squeezedFor, func() {
			follower.proxy.bytesPerSecond.Store(0)
			f.record.add("the link of %s is as before", follower.name)
		})
	}
	time.Sleep(300 * time.Millisecond)
	acknowledged, err := f.configure(false, grownRoutes)
	if err != nil {
		return err
	}
	var probes sync.WaitGroup
	for _, i := range f.instances {
		if i != follower {
			probes.Go(func() { f.probeDropped(i, acknowledged, probedFor) })
		}
	}
	probes.Wait()
	return nil
}

// probeDropped opens flows of the seasonal route at one instance for some time after the
// configuration without it was acknowledged, and reports those that a server took although
// that configuration had to be in force.
func (f *fleet) probeDropped(i *instance, acknowledged time.Time, duration time.Duration) {
	var flows sync.WaitGroup
	for time.Since(acknowledged) < duration {
		flows.Go(func() {
			c := f.caller.newFlow(seasonalRoute, i)
			defer c.finish()
			if !c.open(0) {
				return
			}
			result, _ := c.request()
			for _, t := range f.caller.takesOf(c) {
				late := c.opened.Sub(acknowledged)
				f.record.add("flow %d of the dropped route, sent %d ms after the acknowledgement through %s, was taken by %s; its request was %s",
					c.port, late.Milliseconds(), i.name, t.server.id, result)
				if late > configTime && i.inTouch(c.opened) {
					f.record.breach("CONFIG: flow %d, sent %d ms after the acknowledgement through %s, which is in touch, was run with a dropped route",
						c.port, late.Milliseconds(), i.name)
				}
			}
		})
		time.Sleep(probePause)
	}
	flows.Wait()
}

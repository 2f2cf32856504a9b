package main

import (
	"sync"
	"time"
)

// drainProbePause is the time between two flows of the board to the same instance.
const drainProbePause = 50 * time.Millisecond

// probeLeaving opens flows of the board at one instance for some time after the
// acknowledgement that a server is draining, and reports those that reach it through the
// instance although it had to be out of use.
func (f *fleet) probeLeaving(i *instance, leaving *server, draining time.Time, duration time.Duration, report func(string, ...any)) {
	var flows sync.WaitGroup
	for time.Since(draining) < duration {
		flows.Go(func() {
			c := f.caller.newFlow(boardRoute, i)
			defer c.finish()
			if !c.open(0) {
				return
			}
			result, _ := c.request()
			for _, t := range f.caller.takesOf(c) {
				if late := t.at.Sub(draining); t.server == leaving && late > drainTime && i.inTouch(c.opened) {
					report("flow %d reached %s %d ms after the acknowledgement that it is draining, through %s, which is in touch; its request was %s",
						c.port, leaving.id, late.Milliseconds(), i.name, result)
				}
			}
		})
		time.Sleep(drainProbePause)
	}
	flows.Wait()
}

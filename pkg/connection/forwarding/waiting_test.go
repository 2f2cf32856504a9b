package forwarding_test

import (
	"testing"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/connection/forwarding"
)

// serveFor opens a flow each 10 ms and lets it be answered after serviceTime.
func serveFor(t *testing.T, c *forwarding.Core, from, length time.Duration) {
	t.Helper()
	var waiting []*caller
	for now := from; now < from+length; now += 10 * time.Millisecond {
		if now%(100*time.Millisecond) == 0 {
			c.Tick(now, maxFlow)
		}
		if len(waiting) >= int(serviceTime/(10*time.Millisecond)) {
			c.Decide(now, waiting[0].acknowledge())
			c.Decide(now, waiting[0].finish())
			waiting = waiting[1:]
		}
		p, _ := opened(t, c, now, feedRoute)
		c.Decide(now, p.request())
		waiting = append(waiting, p)
	}
}

// largestLoad returns the most running requests that placement sees at a server that gets
// one of some flows.
func largestLoad(t *testing.T, c *forwarding.Core, now time.Duration) float64 {
	t.Helper()
	largest := 0.0
	for range 12 {
		_, d := opened(t, c, now, feedRoute)
		largest = max(largest, d.Load.Running)
	}
	return largest
}

// Guards against requests that count as running for as long as a flow may be idle, because
// the packets of their flows reach another instance since, as after one has returned.
func TestRequestsAnsweredElsewhereNoLongerCountAsRunning(t *testing.T) {
	c := newCore(deployment())
	const moved = 200
	for range moved {
		p, _ := opened(t, c, time.Millisecond, feedRoute)
		c.Decide(2*time.Millisecond, p.request())
	}
	serveFor(t, c, 10*time.Millisecond, 3*time.Second)
	if load := largestLoad(t, c, 3010*time.Millisecond); load > 10 {
		t.Errorf("a server counts as having %v running requests, of %d that were answered elsewhere", load, moved)
	}
}

// Guards against an instance that refuses callers for as long as a flow may be idle, as none
// of its requests is answered here and it lets no other through (crowd-after-power).
func TestRequestsStopCountingAsRunningWithoutAnyAnswer(t *testing.T) {
	c := newCore(deployment())
	for range 60 {
		p, _ := opened(t, c, time.Millisecond, feedRoute)
		c.Decide(2*time.Millisecond, p.request())
	}
	now := 100 * time.Millisecond
	for ; now <= 3*time.Second; now += 100 * time.Millisecond {
		c.Tick(now, maxFlow)
	}
	for _, l := range c.Loads(now) {
		if l.Running > 0.5 {
			t.Errorf("%v requests are reported as running at %v", l.Running, l.Mark)
		}
	}
}

// Guards against a server that answers nothing looking idle at once.
func TestRequestsAtAMuteServerCountAsRunning(t *testing.T) {
	c := newCore(deployment())
	at := make(map[string]int)
	for range 60 {
		p, d := opened(t, c, time.Millisecond, feedRoute)
		c.Decide(2*time.Millisecond, p.request())
		at[d.Server]++
	}
	for now := 100 * time.Millisecond; now < 500*time.Millisecond; now += 100 * time.Millisecond {
		c.Tick(now, maxFlow)
	}
	_, d := opened(t, c, 500*time.Millisecond, feedRoute)
	if got := d.Load.Running; got < float64(at[d.Server]) {
		t.Errorf("%v requests count as running at server %q, which has %d unanswered", got, d.Server, at[d.Server])
	}
}

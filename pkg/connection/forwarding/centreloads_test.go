package forwarding_test

import (
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/go-cmp/cmp"

	"github.com/tanagerweir/tanagerweir/pkg/connection/forwarding"
	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
)

// report applies a load of the feed's servers in the other data centre.
func report(c *forwarding.Core, now time.Duration, load float64) {
	c.ReceiveCentreLoads(now, far, []forwarding.CentreLoad{{Service: uint32(xxhash.Sum64String(feedService)), Load: load}})
}

// Guards against flows that stay at full servers while another data centre reports free ones, and
// against flows that stay longer for the report of a full one.
func TestFlowsLeaveForDataCentresThatReportRoom(t *testing.T) {
	const slots = 9 // of three servers
	for name, test := range map[string]struct {
		report func(c *forwarding.Core)
		// least and most bound how many flows stay before the first leaves.
		least, most int
	}{
		"nothing is reported": {func(*forwarding.Core) {}, 2 * slots, 2*slots + 4},
		"idle":                {func(c *forwarding.Core) { report(c, time.Second, 0) }, slots, slots + 4},
		"half busy":           {func(c *forwarding.Core) { report(c, time.Second, 0.5) }, 3 * slots / 2, 3*slots/2 + 4},
		"full":                {func(c *forwarding.Core) { report(c, time.Second, 2) }, 2 * slots, 2*slots + 4},
		"idle, long ago":      {func(c *forwarding.Core) { report(c, time.Second-5*time.Second, 0) }, 2 * slots, 2*slots + 4},
		"an unknown place":    {func(c *forwarding.Core) { c.ReceiveCentreLoads(time.Second, "nowhere", []forwarding.CentreLoad{{}}) }, 2 * slots, 2*slots + 4},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCore(deployment())
			test.report(c)
			stayed := 0
			for c.Decide(time.Second, newCaller(feedRoute).open(0)).DataCentre == near {
				stayed++
			}
			if stayed < test.least || stayed > test.most {
				t.Errorf("%d flows stayed, want %d to %d", stayed, test.least, test.most)
			}
		})
	}
}

// Guards against callers that are refused while another data centre reports that it can take them.
func TestRoomThatOthersReportIsAdmitted(t *testing.T) {
	const requests, period = 120, 10 * time.Millisecond
	admitted := func(load float64) int {
		c := newAdmittingCore()
		now := time.Duration(0)
		for range 100 {
			now += period
			p, _ := opened(t, c, now, feedRoute)
			c.Decide(now, p.request())
			c.Decide(now+30*time.Millisecond, p.acknowledge())
			c.Decide(now+30*time.Millisecond, p.finish())
			c.Tick(now+30*time.Millisecond, maxFlow)
			now += 30 * time.Millisecond
		}
		// Now nothing is answered any more.
		n := 0
		for range requests {
			now += period
			if load >= 0 {
				report(c, now, load)
			}
			p := newCaller(feedRoute)
			if d := c.Decide(now, p.open(0)); d.Verdict == forwarding.Forward {
				p.mark = uint32(d.Mark)
				c.Decide(now, p.request())
				n++
			}
			if now%(10*period) < period {
				c.Tick(now, maxFlow)
			}
		}
		return n
	}
	without, full, idle := admitted(-1), admitted(1), admitted(0)
	if without == requests || full > without*11/10 || idle < without*12/10 {
		t.Errorf("%d of %d admitted, with a full data centre elsewhere %d, with an idle one %d", without, requests, full, idle)
	}
}

// Guards against flows that leave for other data centres without a line in the log that says so.
func TestBeginAndEndOfLeavingAreEvents(t *testing.T) {
	c := newCore(deployment())
	now := time.Second
	var open []*caller
	for range 12 {
		p, _ := opened(t, c, now, feedRoute)
		c.Decide(now, p.request())
		open = append(open, p)
	}
	for range 10 {
		now += 100 * time.Millisecond
		report(c, now, 0.2)
		c.Tick(now, maxFlow)
	}
	for _, p := range open {
		c.Decide(now, p.acknowledge())
		c.Decide(now, p.finish())
	}
	c.Tick(now+time.Millisecond, maxFlow)
	events := c.SpillEvents()
	if len(events) != 2 || !events[0].Began || events[1].Began || events[0].Running <= events[0].Slots || events[0].Spare < 4 || events[0].FullFor < 300*time.Millisecond {
		t.Errorf("%+v", events)
	}
}

// Guards against loads that contain what other data centres cause, or that of servers that take no
// flows, which nobody can use.
func TestLoadsForOtherDataCentresAreThoseOfOwnServers(t *testing.T) {
	d := deployment()
	leaving := serverOf(feedService, near, 1)
	leaving.Draining, leaving.Revision = true, 2
	c := newCore(d.WithServer(leaving))
	for range 3 {
		opened(t, c, time.Second, feedRoute)
		p, _ := opened(t, c, time.Second, uploadRoute)
		c.Decide(time.Second, p.request())
	}
	report(c, time.Second, 1)
	hash := func(service string) uint32 { return uint32(xxhash.Sum64String(service)) }
	want := []forwarding.CentreLoad{{Service: hash(feedService), Load: 0.5}, {Service: hash(ledgerService), Load: 0.5}}
	if diff := cmp.Diff(want, c.CentreLoads(time.Second)); diff != "" {
		t.Error(diff)
	}
}

// Guards against messages that grow with the number of services.
func TestLoadsOfTheBusiestServicesAreReported(t *testing.T) {
	d := sized(200, 100)
	for range 3 {
		d = d.WithInstance(directory.Instance{Name: "entry", DataCentre: near})
	}
	c := newCore(d)
	c.Decide(time.Second, newCaller(routeOf(98)).open(0))
	loads := c.CentreLoads(time.Second)
	if len(loads) != 8 || loads[0].Load == 0 {
		t.Errorf("%+v", loads)
	}
}

package forwarding_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/connection/forwarding"
	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
)

// Guards against another choice than that of the earlier search, which went through all servers
// for each class, also where an instance prefers servers of its own and doesn't look at the others.
func TestPlacementKeepsTheOrderOfPreference(t *testing.T) {
	for _, instances := range []int{2, 12} {
		t.Run(fmt.Sprintf("Instances=%d", instances), func(t *testing.T) { testOrderOfPreference(t, instances) })
	}
}

func testOrderOfPreference(t *testing.T, instances int) {
	t.Helper()
	random := rand.New(rand.NewPCG(1, 0))
	d := configured()
	for _, centre := range []string{near, far} {
		for n := range 6 {
			d = d.WithServer(serverOf(feedService, centre, n+1))
		}
	}
	for n := range instances {
		d = d.WithInstance(directory.Instance{Name: fmt.Sprintf("entry-%d", n), DataCentre: near})
	}
	c := newCore(d)
	route, _ := d.Route(feedRoute)
	none, different := 0, make(map[string]bool)
	const trials = 20000
	for range trials {
		chosen, earlier := c.ComparePlacements(random, route)
		if chosen != earlier {
			t.Fatalf("server %q, earlier %q", chosen, earlier)
		}
		if chosen == "" {
			none++
		}
		different[chosen] = true
	}
	if none == 0 || none > trials/2 || len(different) < 13 {
		t.Errorf("%d of %d flows found no server, %d choices", none, trials, len(different))
	}
}

// Guards against a server whose load falls below 0, which attracts flows: a copy of an opening
// that found no server took its flow off the load, and the end of the record did so again.
func TestCopyWithoutServerLeavesTheLoadAsItIs(t *testing.T) {
	only := serverOf(feedService, near, 1)
	c := newCore(configured().WithServer(only))
	now := time.Second
	p := newCaller(feedRoute)
	if d := c.Decide(now, p.open(0)); d.Verdict != forwarding.Forward {
		t.Fatalf("%+v", d)
	}
	only.Draining, only.Revision = true, 2
	c.Adopt(now, configured().WithServer(only))
	for copies, at := range []time.Duration{firstCopy, secondCopy} {
		if d := c.Decide(now+at, p.open(copies+1)); d.Verdict == forwarding.Forward {
			t.Fatalf("%+v", d)
		}
	}
	only.Draining, only.Revision = false, 3
	c.Adopt(now+time.Second, configured().WithServer(only))
	for range 300 {
		now += tick
		c.Tick(now, maxFlow)
	}
	if d := c.Decide(now, newCaller(feedRoute).open(0)); d.Verdict != forwarding.Forward || d.Load.Running != 0 {
		t.Errorf("%+v", d)
	}
}

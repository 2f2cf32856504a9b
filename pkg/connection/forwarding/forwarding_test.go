package forwarding_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/tanagerweir/tanagerweir/pkg/connection/forwarding"
	"github.com/tanagerweir/tanagerweir/pkg/connection/segment"
	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
)

func TestBlankInstanceForwardsEveryPacketOfAFlow(t *testing.T) {
	d := deployment()
	first, blank := newCore(d), newCore(d)
	p, placed := opened(t, first, 0, feedRoute)
	for _, s := range []segment.Segment{p.request(), p.acknowledge(), p.finish()} {
		got := blank.Decide(time.Second, s)
		if got.Verdict != forwarding.Forward || got.Endpoint != placed.Endpoint || got.Number != placed.Number {
			t.Errorf("%v: %+v, placed at %v", s.Flags, got, placed.Endpoint)
		}
	}
}

func TestFlowGoesToTheServiceOfItsRouteInItsDataCentre(t *testing.T) {
	c := newCore(deployment())
	for range 50 {
		p, d := opened(t, c, 0, uploadRoute)
		c.Decide(0, p.request())
		c.Decide(0, p.acknowledge())
		if d.Endpoint.Addr().As4()[2] != byte(len(ledgerService)) || d.Endpoint.Addr().As4()[1] != byte(len(near)) {
			t.Fatalf("placed at %v", d.Endpoint)
		}
	}
}

func TestFlowsSpreadEvenly(t *testing.T) {
	c := newCore(deployment())
	counts := make(map[string]int)
	for range 300 {
		p, d := opened(t, c, 0, feedRoute)
		c.Decide(0, p.request())
		c.Decide(0, p.acknowledge())
		counts[d.Server]++
	}
	for server, n := range counts {
		if n < 95 || n > 105 {
			t.Errorf("server %q got %d of 300 flows over 3 servers", server, n)
		}
	}
}

func TestUnknownAndAbsentMarksAreNeverGuessed(t *testing.T) {
	c := newCore(deployment())
	p := newCaller(feedRoute)
	if d := c.Decide(0, p.request()); d.Verdict != forwarding.Drop || d.Reason != forwarding.NoMark {
		t.Errorf("without mark: %+v", d)
	}
	p.mark = markOf(serverOf(feedService, "elsewhere", 9))
	if d := c.Decide(0, p.request()); d.Verdict != forwarding.Drop || d.Reason != forwarding.UnknownMark {
		t.Errorf("unknown mark: %+v", d)
	}
}

func TestServerThatLeftStaysKnownForAFlowsLife(t *testing.T) {
	d := deployment()
	c := newCore(d)
	p, placed := opened(t, c, 0, signoffRoute)
	c.Adopt(time.Second, d.WithoutServer(placed.Server))
	c.Tick(time.Second+maxFlow, maxFlow)
	if got := c.Decide(time.Second+maxFlow, p.request()); got.Verdict != forwarding.Forward {
		t.Errorf("within a flow's life: %+v", got)
	}
	c.Tick(2*time.Second+maxFlow, maxFlow)
	if got := c.Decide(2*time.Second+maxFlow, p.request()); got.Reason != forwarding.UnknownMark {
		t.Errorf("after it: %+v", got)
	}
}

func TestAddressUsedAgainDoesNotTakeFlowsOfTheOldServer(t *testing.T) {
	d := deployment()
	c := newCore(d)
	p, placed := opened(t, c, 0, signoffRoute)
	next := serverOf(ledgerService, near, 7)
	next.Endpoint = placed.Endpoint
	c.Adopt(time.Second, d.WithoutServer(placed.Server).WithServer(next))
	if got := c.Decide(time.Second, p.request()); got.Number != placed.Number || got.Number == next.Number {
		t.Errorf("addressed to %d, placed at %d, now there %d", got.Number, placed.Number, next.Number)
	}
}

func TestServersThatLeaveOrAreTakenOutGetNoNewFlow(t *testing.T) {
	d := deployment()
	draining := serverOf(feedService, near, 1)
	draining.Draining, draining.Revision = true, 2
	cold := serverOf(feedService, near, 2)
	cold.ColdLeft, cold.Revision = time.Hour, 2
	d = d.WithServer(draining).WithServer(cold).WithEvacuated(far, true)
	c := newCore(d)
	for range 100 {
		if _, placed := opened(t, c, 0, feedRoute); placed.Server != serverOf(feedService, near, 3).ID {
			t.Fatalf("placed at %q", placed.Server)
		}
	}
}

func TestNoRouteIsRefusedOnlyWhileTheConfigurationIsKnownToBeTheNewest(t *testing.T) {
	c := newCore(deployment())
	c.Confirm(10*time.Second, 10*time.Second)
	if d := c.Decide(11*time.Second, newCaller(absentRoute).open(0)); d.Verdict != forwarding.Reset || d.Reason != forwarding.NoRoute {
		t.Errorf("fresh: %+v", d)
	}
	if d := c.Decide(12*time.Second, newCaller(absentRoute).open(0)); d.Verdict != forwarding.Drop || d.Reason != forwarding.NoRoute {
		t.Errorf("stale: %+v", d)
	}
}

func TestWithoutServersCallersAreRefusedAtOnce(t *testing.T) {
	c := newCore(configured())
	if d := c.Decide(0, newCaller(feedRoute).open(0)); d.Verdict != forwarding.Reset || d.Reason != forwarding.NoServer {
		t.Errorf("%+v", d)
	}
	blank := forwarding.New(forwarding.Options{DataCentre: near})
	if d := blank.Decide(0, newCaller(feedRoute).open(0)); d.Verdict != forwarding.Drop || d.Reason != forwarding.Unsynchronised {
		t.Errorf("blank: %+v", d)
	}
}

func TestDividedRouteFollowsItsWeightsAndCopiesGoToOneService(t *testing.T) {
	d := deployment().WithConfiguration(directory.Configuration{
		Version: 2,
		Routes: []directory.Route{{Endpoint: feedRoute, Shares: []directory.Share{
			{Service: feedService, Weight: 90}, {Service: ledgerService, Weight: 10},
		}}},
	})
	c := newCore(d)
	ledger := 0
	for range 1000 {
		p, first := opened(t, c, 0, feedRoute)
		again := c.Decide(200*time.Millisecond, p.open(1))
		if first.Endpoint.Addr().As4()[2] != again.Endpoint.Addr().As4()[2] {
			t.Fatalf("copies went to %v and %v", first.Endpoint, again.Endpoint)
		}
		if first.Endpoint.Addr().As4()[2] == byte(len(ledgerService)) {
			ledger++
		}
	}
	if ledger < 70 || ledger > 130 {
		t.Errorf("%d of 1000 flows went to the service with a tenth", ledger)
	}
}

func TestEntryThatLapsedInAnOutageStaysUsableForTwoSeconds(t *testing.T) {
	d := configured().WithServer(serverOf(feedService, near, 1))
	c := newCore(d)
	back := 20 * time.Second
	c.Confirm(back, back)
	c.Adopt(back, configured())
	if got := c.Decide(back+1900*time.Millisecond, newCaller(feedRoute).open(0)); got.Verdict != forwarding.Forward {
		t.Errorf("within two seconds: %+v", got)
	}
	if got := c.Decide(back+2100*time.Millisecond, newCaller(feedRoute).open(0)); got.Reason != forwarding.NoServer {
		t.Errorf("after them: %+v", got)
	}
}

func TestEntryThatGoesWithoutOutageIsGoneAtOnce(t *testing.T) {
	c := newCore(configured().WithServer(serverOf(feedService, near, 1)))
	c.Confirm(time.Second, time.Second)
	c.Adopt(time.Second, configured())
	if got := c.Decide(time.Second, newCaller(feedRoute).open(0)); got.Reason != forwarding.NoServer {
		t.Errorf("%+v", got)
	}
}

func TestFlowsAtAServerThatIsGoneAreGivenUpWhenCallersMayRepeat(t *testing.T) {
	d := deployment()
	for _, kind := range []struct {
		name    string
		route   netip.AddrPort
		verdict forwarding.Verdict
	}{{"repeatable", feedRoute, forwarding.Reset}, {"unrepeatable", signoffRoute, forwarding.Forward}} {
		c := newCore(d)
		p, placed := opened(t, c, 0, kind.route)
		c.Decide(time.Millisecond, p.request())
		c.Adopt(time.Second, d.WithoutServer(placed.Server))
		c.Confirm(3*time.Second, 3*time.Second)
		if got := c.Decide(3*time.Second, p.request()); got.Verdict != forwarding.Forward {
			t.Errorf("%s, entry missing for 2 s: %+v", kind.name, got)
		}
		c.Confirm(4*time.Second, 4*time.Second)
		if got := c.Decide(4*time.Second, p.request()); got.Verdict != kind.verdict {
			t.Errorf("%s, entry missing for 3 s: %+v", kind.name, got)
		}
	}
}

func TestDataCentreBroughtBackCountsAsColdUntilItsServersSayOtherwise(t *testing.T) {
	d := configured().WithServer(serverOf(feedService, near, 1)).WithServer(serverOf(feedService, far, 1))
	c := newCore(d.WithEvacuated(near, true))
	c.Adopt(10*time.Second, d)
	if _, placed := opened(t, c, 10*time.Second, feedRoute); placed.Server != serverOf(feedService, far, 1).ID {
		t.Errorf("placed at %q at once", placed.Server)
	}
	warm := serverOf(feedService, near, 1)
	warm.Revision = 2
	c.Adopt(11*time.Second, d.WithServer(warm))
	if _, placed := opened(t, c, 11*time.Second, feedRoute); placed.Server != warm.ID {
		t.Errorf("placed at %q after it said so", placed.Server)
	}
}

// TestColdServerStaysWithinItsBoundFromAllInstances lets many instances, which
// don't hear each other, send as many flows as they can to one cold server.
func TestColdServerStaysWithinItsBoundFromAllInstances(t *testing.T) {
	cold := serverOf(feedService, near, 1)
	cold.ColdLeft = time.Hour
	d := configured().WithServer(cold)
	const fleet = 40
	names := make([]string, fleet)
	for i := range names {
		names[i] = string(rune('A'+i/26)) + string(rune('a'+i%26))
		d = d.WithInstance(directory.Instance{Name: names[i], DataCentre: near})
	}
	bound := 4*1.5 + 5
	var sent []time.Duration
	for _, name := range names {
		c := forwarding.New(forwarding.Options{Name: name, DataCentre: near, ColdFactor: 1.5, ColdSlack: 5})
		c.Adopt(0, d)
		for now := time.Millisecond; now < 5*time.Second; now += 10 * time.Millisecond {
			if c.Decide(now, newCaller(feedRoute).open(0)).Verdict == forwarding.Forward {
				sent = append(sent, now)
			}
		}
	}
	if len(sent) == 0 {
		t.Fatal("a cold server that is the only one got nothing")
	}
	for _, from := range sent {
		within := 0
		for _, at := range sent {
			if at >= from && at < from+time.Second {
				within++
			}
		}
		if float64(within) > bound {
			t.Fatalf("%d flows in the second after %v, %v allowed", within, from, bound)
		}
	}
}

func TestTwoServersWithOneMarkDoNotShareIt(t *testing.T) {
	first := serverOf(feedService, near, 1)
	c := newCore(configured().WithServer(first))
	restarted := first
	restarted.Born, restarted.Revision = 99, 2
	c.Adopt(time.Second, configured().WithServer(restarted))
	if _, placed := opened(t, c, time.Second, feedRoute); placed.Server != first.ID {
		t.Errorf("placed at %q", placed.Server)
	}
}

func TestReasonsHaveNames(t *testing.T) {
	seen := make(map[string]bool)
	for _, r := range forwarding.Reasons() {
		seen[r.String()] = true
	}
	if d := cmp.Diff(len(forwarding.Reasons()), len(seen)); d != "" {
		t.Error(d)
	}
}

// A copy that is fetched from another instance comes before the word that confirms it.
func TestEntriesThatLapsedInAnOutageStayUsableIfTheNewsComesFirst(t *testing.T) {
	c := newCore(deployment())
	back := 10 * time.Second
	c.Adopt(back, configured())
	c.Confirm(back+100*time.Millisecond, back)
	for _, at := range []time.Duration{back, back + time.Second} {
		if d := c.Decide(at, newCaller(feedRoute).open(0)); d.Verdict != forwarding.Forward {
			t.Errorf("%v after the store's return: %v", at-back, d.Reason)
		}
	}
	if d := c.Decide(back+3*time.Second, newCaller(feedRoute).open(0)); d.Verdict != forwarding.Reset {
		t.Errorf("3 s after the store's return: %v", d.Reason)
	}
}

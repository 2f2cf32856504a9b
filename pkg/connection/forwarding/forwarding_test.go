package forwarding_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/tanagerweir/tanagerweir/pkg/clock"
	"github.com/tanagerweir/tanagerweir/pkg/connection/forwarding"
	"github.com/tanagerweir/tanagerweir/pkg/connection/segment"
	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
)

// An instance that has seen no packet of a flow forwards it by its mark.
func TestOtherInstanceForwardsEveryPacketOfAFlow(t *testing.T) {
	d := deployment()
	first, other := newCore(d), newCore(d)
	p, placed := opened(t, first, 0, feedRoute)
	for _, s := range []segment.Segment{p.request(), p.acknowledge(), p.finish()} {
		got := other.Decide(time.Second, s)
		if got.Verdict != forwarding.Forward || got.Endpoint != placed.Endpoint || got.Number != placed.Number {
			t.Errorf("packet with flags %v: %+v, the flow was placed at %v", s.Flags, got, placed.Endpoint)
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

func TestPacketsWithUnknownOrNoMarkAreDropped(t *testing.T) {
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

func TestServerThatLeftStaysKnownForTheLifeOfAFlow(t *testing.T) {
	d := deployment()
	c := newCore(d)
	p, placed := opened(t, c, 0, signoffRoute)
	c.Adopt(time.Second, d.WithoutServer(placed.Server))
	c.Tick(time.Second+maxFlow, maxFlow)
	if got := c.Decide(time.Second+maxFlow, p.request()); got.Verdict != forwarding.Forward {
		t.Errorf("one flow life after it left: %+v", got)
	}
	c.Tick(2*time.Second+maxFlow, maxFlow)
	if got := c.Decide(2*time.Second+maxFlow, p.request()); got.Reason != forwarding.UnknownMark {
		t.Errorf("more than a flow life after it left: %+v", got)
	}
}

// A server that gets the address of an earlier one must not get its flows.
func TestAddressUsedAgainDoesNotTakeFlowsOfTheOldServer(t *testing.T) {
	d := deployment()
	c := newCore(d)
	p, placed := opened(t, c, 0, signoffRoute)
	next := serverOf(ledgerService, near, 7)
	next.Endpoint = placed.Endpoint
	c.Adopt(time.Second, d.WithoutServer(placed.Server).WithServer(next))
	if got := c.Decide(time.Second, p.request()); got.Number != placed.Number || got.Number == next.Number {
		t.Errorf("forwarded to server number %d, the flow is at %d, the address is now used by %d", got.Number, placed.Number, next.Number)
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
			t.Fatalf("placed at %q, which is draining, cold or taken out", placed.Server)
		}
	}
}

func TestNoRouteIsRefusedOnlyWhileTheConfigurationIsKnownToBeTheNewest(t *testing.T) {
	c := newCore(deployment())
	c.Confirm(10*time.Second, clock.At(10*time.Second))
	if d := c.Decide(11*time.Second, newCaller(absentRoute).open(0)); d.Verdict != forwarding.Reset || d.Reason != forwarding.NoRoute {
		t.Errorf("1 s after the confirmation: %+v", d)
	}
	if d := c.Decide(12*time.Second, newCaller(absentRoute).open(0)); d.Verdict != forwarding.Drop || d.Reason != forwarding.NoRoute {
		t.Errorf("2 s after the confirmation: %+v", d)
	}
}

func TestWithoutServersCallersAreRefusedAtOnce(t *testing.T) {
	c := newCore(configured())
	if d := c.Decide(0, newCaller(feedRoute).open(0)); d.Verdict != forwarding.Reset || d.Reason != forwarding.NoServer {
		t.Errorf("without servers: %+v", d)
	}
	unsynchronised := forwarding.New(forwarding.Options{DataCentre: near})
	if d := unsynchronised.Decide(0, newCaller(feedRoute).open(0)); d.Verdict != forwarding.Drop || d.Reason != forwarding.Unsynchronised {
		t.Errorf("without a directory: %+v", d)
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
		t.Errorf("%d of 1000 flows went to the service with a weight of 10 %%", ledger)
	}
}

func TestEntryThatLapsedInAnOutageStaysUsableForTwoSeconds(t *testing.T) {
	d := configured().WithServer(serverOf(feedService, near, 1))
	c := newCore(d)
	outageEnd := 20 * time.Second
	c.Confirm(outageEnd, clock.At(outageEnd))
	c.Adopt(outageEnd, configured())
	if got := c.Decide(outageEnd+1900*time.Millisecond, newCaller(feedRoute).open(0)); got.Verdict != forwarding.Forward {
		t.Errorf("1.9 s after the outage: %+v", got)
	}
	if got := c.Decide(outageEnd+2100*time.Millisecond, newCaller(feedRoute).open(0)); got.Reason != forwarding.NoServer {
		t.Errorf("2.1 s after the outage: %+v", got)
	}
}

func TestEntryThatGoesWithoutOutageIsGoneAtOnce(t *testing.T) {
	c := newCore(configured().WithServer(serverOf(feedService, near, 1)))
	c.Confirm(time.Second, clock.At(time.Second))
	c.Adopt(time.Second, configured())
	if got := c.Decide(time.Second, newCaller(feedRoute).open(0)); got.Reason != forwarding.NoServer {
		t.Errorf("a new flow after the only server left the directory: %+v", got)
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
		c.Confirm(3*time.Second, clock.At(3*time.Second))
		if got := c.Decide(3*time.Second, p.request()); got.Verdict != forwarding.Forward {
			t.Errorf("%s, entry missing for 2 s: %+v", kind.name, got)
		}
		c.Confirm(4*time.Second, clock.At(4*time.Second))
		if got := c.Decide(4*time.Second, p.request()); got.Verdict != kind.verdict {
			t.Errorf("%s, entry missing for 3 s: %+v", kind.name, got)
		}
	}
}

// Servers of a data centre that was out may have been restarted meanwhile.
func TestDataCentreTakenInAgainIsColdUntilItsEntriesSayOtherwise(t *testing.T) {
	d := configured().WithServer(serverOf(feedService, near, 1)).WithServer(serverOf(feedService, far, 1))
	c := newCore(d.WithEvacuated(near, true))
	c.Adopt(10*time.Second, d)
	if _, placed := opened(t, c, 10*time.Second, feedRoute); placed.Server != serverOf(feedService, far, 1).ID {
		t.Errorf("placed at %q as soon as its data centre was taken in", placed.Server)
	}
	warm := serverOf(feedService, near, 1)
	warm.Revision = 2
	c.Adopt(11*time.Second, d.WithServer(warm))
	if _, placed := opened(t, c, 11*time.Second, feedRoute); placed.Server != warm.ID {
		t.Errorf("placed at %q though the local server's entry says that it is warm", placed.Server)
	}
}

// Many instances, which exchange no messages, send as many flows as they can to
// one cold server.
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
		t.Fatal("the only server, a cold one, got no flow")
	}
	for _, from := range sent {
		count := 0
		for _, other := range sent {
			if other >= from && other < from+time.Second {
				count++
			}
		}
		if float64(count) > bound {
			t.Fatalf("%d flows in the second after %v, %v allowed", count, from, bound)
		}
	}
}

func TestServerRestartedUnderItsIdentifierGetsFlows(t *testing.T) {
	first := serverOf(feedService, near, 1)
	c := newCore(configured().WithServer(first))
	restarted := first
	restarted.StartedMillis, restarted.Revision = 99, 2
	c.Adopt(time.Second, configured().WithServer(restarted))
	if _, placed := opened(t, c, time.Second, feedRoute); placed.Server != first.ID {
		t.Errorf("placed at %q, not at the restarted server", placed.Server)
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

// A directory that is fetched from another instance arrives before its confirmation.
func TestEntriesThatLapsedInAnOutageStayUsableIfTheDirectoryArrivesFirst(t *testing.T) {
	c := newCore(deployment())
	outageEnd := 10 * time.Second
	c.Adopt(outageEnd, configured())
	c.Confirm(outageEnd+100*time.Millisecond, clock.At(outageEnd))
	for _, now := range []time.Duration{outageEnd, outageEnd + time.Second} {
		if d := c.Decide(now, newCaller(feedRoute).open(0)); d.Verdict != forwarding.Forward {
			t.Errorf("%v after the outage: %v", now-outageEnd, d.Reason)
		}
	}
	if d := c.Decide(outageEnd+3*time.Second, newCaller(feedRoute).open(0)); d.Verdict != forwarding.Reset {
		t.Errorf("3 s after the outage: %v", d.Reason)
	}
}

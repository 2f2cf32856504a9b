package forwarding_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/tanagerweir/tanagerweir/pkg/clock"
	"github.com/tanagerweir/tanagerweir/pkg/connection/forwarding"
	"github.com/tanagerweir/tanagerweir/pkg/connection/mark"
	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
)

// neighbours returns a directory with so many feed servers in the own data centre, and so
// many instances there.
func neighbours(servers, instances int) directory.Directory {
	d := configured()
	for n := range servers {
		d = d.WithServer(serverOf(feedService, near, n+1))
	}
	for n := range instances {
		d = d.WithInstance(directory.Instance{Name: fmt.Sprintf("entry-%d", n), DataCentre: near})
	}
	return d
}

// fleetOf returns cores of all instances of the directory.
func fleetOf(d directory.Directory) []*forwarding.Core {
	var cores []*forwarding.Core
	for n, i := range d.Instances() {
		c := forwarding.New(forwarding.Options{Name: i.Name, DataCentre: near, Seed: uint64(n), ColdFactor: 1.5, ColdSlack: 5})
		c.Confirm(0, clock.At(1))
		c.Adopt(0, d)
		cores = append(cores, c)
	}
	return cores
}

// run lets each core get a flow each period, which is answered unless its server is down,
// and returns when the server got answered flows. A flow of a repeatable route lasts for
// one request.
func run(cores []*forwarding.Core, from, to, period time.Duration, server string, down bool) (got []time.Duration) {
	for now := from; now < to; now += period {
		for n, c := range cores {
			at := now + time.Duration(n)*time.Millisecond
			p := newCaller(feedRoute)
			d := c.Decide(at, p.open(0))
			if d.Verdict != forwarding.Forward || d.Server == server && down {
				continue
			}
			if d.Server == server {
				got = append(got, at)
			}
			p.mark = uint32(d.Mark)
			c.Decide(at, p.request())
			c.Decide(at, p.acknowledge())
			c.Decide(at, p.finish())
		}
		for _, c := range cores {
			c.Tick(now+period-time.Microsecond, maxFlow)
		}
	}
	return got
}

func most(times []time.Duration) int {
	most := 0
	for i, from := range times {
		count := 0
		for _, at := range times[i:] {
			if at < from+time.Second {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// A server that was down for longer than a suspicion lasted, and had one flow at each
// instance meanwhile, got flows as a warm one (drawn day five-centres, seed 33).
func TestServerThatRestartsWithoutEntryStaysWithinTheColdBound(t *testing.T) {
	cores := fleetOf(neighbours(4, 24))
	server := serverOf(feedService, near, 1).ID
	run(cores, 0, time.Second, 20*time.Millisecond, server, false)
	run(cores, time.Second, 2800*time.Millisecond, 20*time.Millisecond, server, true)
	got := run(cores, 2800*time.Millisecond, 4500*time.Millisecond, 20*time.Millisecond, server, false)
	if bound := 4*1.5 + 5; float64(most(got)) > bound {
		t.Errorf("%d flows in a second, %v allowed", most(got), bound)
	}
	if len(got) == 0 {
		t.Error("never tried")
	}
	if len(run(cores, 4800*time.Millisecond, 5500*time.Millisecond, 20*time.Millisecond, server, false)) < 20 {
		t.Error("still cold, although it has answered for as long as a server stays cold")
	}
}

// While the store is within reach, an entry that doesn't change shows that the server wasn't
// started anew.
func TestConfirmedEntryEndsTheDoubt(t *testing.T) {
	c, server := doubted(t, neighbours(3, 1))
	now := 1500 * time.Millisecond
	if placedAt(c, now, server) {
		t.Fatal("got a flow before its entry was confirmed")
	}
	c.Confirm(now, clock.At(now))
	if !placedAt(c, now, server) {
		t.Error("got no flow although its entry was confirmed after it answered")
	}
}

// A server that doesn't reach the store can't write its entry, so that a directory without
// it confirms nothing (drawn day dakar, seed 2197).
func TestMissingEntryConfirmsNothing(t *testing.T) {
	d := neighbours(3, 1)
	c, server := doubted(t, d)
	outageEnds := 2600 * time.Millisecond
	c.Confirm(outageEnds, clock.At(outageEnds))
	c.Adopt(outageEnds, d.WithoutServer(server))
	trials, now := 0, outageEnds+10*time.Millisecond
	for range 60 {
		p := newCaller(feedRoute)
		if d := c.Decide(now, p.open(0)); d.Server == server {
			trials++
			p.mark = uint32(d.Mark)
			c.Decide(now, p.request())
		}
	}
	if trials > 1 {
		t.Errorf("got %d flows although its entry is missing, want one trial at most", trials)
	}
	if now := 3500 * time.Millisecond; !placedAt(c, now, server) {
		t.Error("got no flow after it had answered for as long as a server stays cold")
	}
}

// doubted returns a core and a server that left two flows unanswered at 0.1 s and answered
// a new one after 1.1 s.
func doubted(t *testing.T, d directory.Directory) (*forwarding.Core, string) {
	t.Helper()
	c := forwarding.New(forwarding.Options{Name: "entry-0", DataCentre: near, Seed: 1, ColdFactor: 1.5, ColdSlack: 5})
	c.Confirm(0, clock.At(1))
	c.Adopt(0, d)
	server := refuse(t, c)
	c.Tick(150*time.Millisecond, maxFlow)
	for now := 1200 * time.Millisecond; now < 1400*time.Millisecond; now += time.Millisecond {
		p := newCaller(feedRoute)
		answered := c.Decide(now, p.open(0))
		p.mark = uint32(answered.Mark)
		c.Decide(now+time.Millisecond, p.request())
		c.Decide(now+2*time.Millisecond, p.acknowledge())
		if answered.Server == server {
			c.Tick(1400*time.Millisecond, maxFlow)
			return c, server
		}
	}
	t.Fatal("the server was never tried again")
	return nil, ""
}

// placedAt reports whether the server is among those that get new flows.
func placedAt(c *forwarding.Core, now time.Duration, server string) bool {
	for range 60 {
		if c.Decide(now, newCaller(feedRoute).open(0)).Server == server {
			return true
		}
	}
	return false
}

// A server that was full, or whose packets were lost, answers in flows that were open
// before; one that was started anew would have lost them.
func TestAnswerInAnOlderFlowEndsTheDoubt(t *testing.T) {
	c := newCore(deployment())
	callers, server := openAtServer(t, c, 2)
	older := callers[1]
	now := time.Second
	for refused := 0; refused < 2; now += time.Millisecond {
		p := newCaller(feedRoute)
		if d := c.Decide(now, p.open(0)); d.Server == server {
			refused++
		} else {
			p.mark = uint32(d.Mark)
			c.Decide(now, p.request())
		}
	}
	c.Tick(now+110*time.Millisecond, maxFlow)
	now += 150 * time.Millisecond
	if placedAt(c, now, server) {
		t.Fatal("a suspected server got a flow")
	}
	c.Decide(now, older.request())
	c.Decide(now+serviceTime, older.acknowledge())
	if !placedAt(c, now+serviceTime, server) {
		t.Error("got no flow although it answered in an older one")
	}
	for _, l := range c.Loads(now + serviceTime) {
		if l.ColdLeft > 0 {
			t.Errorf("reported as cold: %+v", l)
		}
	}
}

// A server that answers others all the time wasn't started anew when one caller abandons its
// opening.
func TestSteadyAnswersEndTheDoubt(t *testing.T) {
	c := newCore(neighbours(2, 1))
	server := serverOf(feedService, near, 1).ID
	for now := time.Second; now < 2*time.Second; now += 150 * time.Millisecond {
		for range 20 {
			p := newCaller(feedRoute)
			d := c.Decide(now, p.open(0))
			p.mark = uint32(d.Mark)
			c.Decide(now+time.Millisecond, p.request())
			c.Decide(now+2*time.Millisecond, p.acknowledge())
			c.Decide(now+2*time.Millisecond, p.finish())
		}
		if now == 1300*time.Millisecond {
			placedAt(c, now+10*time.Millisecond, server)
		}
		c.Tick(now+140*time.Millisecond, maxFlow)
	}
	if !placedAt(c, 2100*time.Millisecond, server) {
		t.Error("got no flow after one abandoned opening")
	}
}

// Remote instances have no flows for a cold server, so that it was never tried if all of the
// chosen ones were remote.
func TestInstancesOfTheServersDataCentreSendToItWhileCold(t *testing.T) {
	for server := range 6 {
		cold := serverOf(feedService, near, server+1)
		cold.ColdLeft = time.Hour
		d := configured().WithServer(cold)
		for n := range 20 {
			d = d.WithInstance(directory.Instance{Name: fmt.Sprintf("near-%d", n), DataCentre: near})
			d = d.WithInstance(directory.Instance{Name: fmt.Sprintf("far-%d", n), DataCentre: far})
		}
		senders := make(map[string]int)
		for _, i := range d.Instances() {
			c := forwarding.New(forwarding.Options{Name: i.Name, DataCentre: i.DataCentre, Seed: 1, ColdFactor: 1.5, ColdSlack: 5})
			c.Confirm(0, clock.At(1))
			c.Adopt(0, d)
			if c.Decide(time.Millisecond, newCaller(feedRoute).open(0)).Verdict == forwarding.Forward {
				senders[i.DataCentre]++
			}
		}
		if senders[near] < 3 || senders[near]+senders[far] != 5 {
			t.Errorf("server %s: senders %v, want 5 of which 3 or more are near", cold.ID, senders)
		}
	}
}

// A server that restarts time and again was taken for warm after it had answered once (drawn
// days of dakar, seeds 2005 and 2156).
func TestOneAnswerWarmsNoServerUp(t *testing.T) {
	c, server := doubted(t, neighbours(3, 1))
	now := 3300 * time.Millisecond
	flows := 0
	for range 60 {
		if d := c.Decide(now, newCaller(feedRoute).open(0)); d.Server == server {
			flows++
		}
	}
	if flows != 1 {
		t.Errorf("%d flows 2 s after its only answer, want one trial", flows)
	}
}

// An instance that has seen nothing of it learns at once that a server may have ended.
func TestNoticeKeepsOthersWithinTheColdBound(t *testing.T) {
	d := neighbours(4, 9)
	cores := fleetOf(d)
	server := refuse(t, cores[0])
	if notices := cores[0].Notices(2 * time.Millisecond); len(notices) > 0 {
		t.Fatalf("notices without a sign: %+v", notices)
	}
	cores[0].Tick(150*time.Millisecond, maxFlow)
	notices := cores[0].Notices(150 * time.Millisecond)
	if len(notices) != 1 || notices[0].Mark != mark.Of(server) {
		t.Fatalf("notices %+v, want one of server %q", notices, server)
	}
	if again := cores[0].Notices(160 * time.Millisecond); len(again) > 0 {
		t.Errorf("noticed again: %+v", again)
	}
	for _, c := range cores[1:] {
		c.ReceiveAnswer(151*time.Millisecond, notices, true)
	}
	got := run(cores[1:], 160*time.Millisecond, 1200*time.Millisecond, 10*time.Millisecond, server, false)
	if bound := 4*1.5 + 5; float64(most(got)) > bound {
		t.Errorf("%d flows in a second, %v allowed", most(got), bound)
	}
}

// A cold server may be started anew unnoticed, as few flows go there. When its cold time is
// over by its first entry, it counts as warm only if the entry was confirmed since (drawn
// days with seed 140).
func TestColdServerWarmsUpOnlyOnceItsEntryIsConfirmed(t *testing.T) {
	d := neighbours(2, 9)
	cold := serverOf(feedService, near, 3)
	cold.ColdLeft = 2 * time.Second
	for _, test := range []struct {
		name string
		at   time.Duration
		then func(*forwarding.Core)
		want bool
	}{
		{"store away", 2100 * time.Millisecond, func(*forwarding.Core) {}, false},
		{"directory confirmed", 2100 * time.Millisecond, func(c *forwarding.Core) { c.Confirm(2*time.Second, clock.At(2*time.Second)) }, true},
		{"entry says warm", 2100 * time.Millisecond, func(c *forwarding.Core) {
			warm := cold
			warm.ColdLeft, warm.Revision = 0, 2
			c.Adopt(2*time.Second, d.WithServer(warm))
		}, true},
		{"store away for longer", 4100 * time.Millisecond, func(*forwarding.Core) {}, true},
	} {
		c := newCore(d.WithServer(cold))
		test.then(c)
		if got := placedAt(c, test.at, cold.ID); got != test.want {
			t.Errorf("%s: got flows %v, want %v", test.name, got, test.want)
		}
	}
}

// A flow was rejected 27 ms before its only servers were warm (drawn day pince-kelet, seed
// 76), although its caller would have sent another copy.
func TestFlowIsDroppedIfAServerIsUsableBeforeTheNextCopy(t *testing.T) {
	cold := serverOf(feedService, near, 1)
	cold.ColdLeft = 2 * time.Second
	d := configured().WithServer(cold)
	for n := range 40 {
		d = d.WithInstance(directory.Instance{Name: fmt.Sprintf("entry-%d", n), DataCentre: near})
	}
	for _, test := range []struct {
		at     time.Duration
		copies int
		want   forwarding.Verdict
	}{
		{time.Second, 0, forwarding.Reset},
		{1900 * time.Millisecond, 0, forwarding.Drop},
		{1700 * time.Millisecond, 0, forwarding.Reset},
		{1700 * time.Millisecond, 1, forwarding.Drop},
		{1900 * time.Millisecond, 2, forwarding.Reset},
	} {
		verdicts := make(map[forwarding.Verdict]int)
		for _, i := range d.Instances() {
			c := forwarding.New(forwarding.Options{Name: i.Name, DataCentre: near, Seed: 1, ColdFactor: 1.5, ColdSlack: 5})
			c.Confirm(0, clock.At(1))
			c.Adopt(0, d)
			verdicts[c.Decide(test.at, newCaller(feedRoute).open(test.copies)).Verdict]++
		}
		if verdicts[test.want] != 35 || verdicts[forwarding.Forward] != 5 {
			t.Errorf("copy %d at %v: %v, want 5 forwarded and 35 times %v", test.copies, test.at, verdicts, test.want)
		}
	}
}

// Lost packets and callers that abandon their openings must not leave callers without any
// server while the store is away.
func TestDoubtsAboutAllServersLeaveNoCallerUnserved(t *testing.T) {
	c := newCore(neighbours(3, 9))
	abandoned, served, asked := 0, 0, 0
	for now := time.Second; now < 8*time.Second; now += 20 * time.Millisecond {
		c.Tick(now, maxFlow)
		p := newCaller(feedRoute)
		if now%(200*time.Millisecond) == 0 {
			abandoned++
			c.Decide(now, p.open(0))
			continue
		}
		asked++
		for copies, after := range []time.Duration{0, firstCopy, secondCopy} {
			d := c.Decide(now+after, p.open(copies))
			if d.Verdict == forwarding.Reset {
				break
			}
			if d.Verdict == forwarding.Forward {
				served++
				p.mark = uint32(d.Mark)
				c.Decide(now+after, p.request())
				break
			}
		}
	}
	if served < asked {
		t.Errorf("%d of %d flows forwarded beside %d abandoned ones", served, asked, abandoned)
	}
}

// Where servers are never cold, a suspected server that answers is as good as any.
func TestServersThatAreNeverColdAreNotRestricted(t *testing.T) {
	d := neighbours(3, 1)
	d = d.WithConfiguration(directory.Configuration{
		Version:  2,
		Routes:   []directory.Route{{Endpoint: feedRoute, Kind: directory.Repeatable, Shares: []directory.Share{{Service: feedService, Weight: 1}}}},
		Services: []directory.Service{{Name: feedService}},
	})
	c, server := doubted(t, d)
	if !placedAt(c, 1500*time.Millisecond, server) {
		t.Error("got no flow although it answers")
	}
	if events := c.RestartEvents(); len(events) > 0 {
		t.Errorf("events %+v", events)
	}
}

// Guards against servers that other instances are never told of, as one notice has room for
// a part of them.
func TestAllDoubtedServersAreAnnounced(t *testing.T) {
	const servers = 100
	c := newCore(sized(servers, 1))
	// An instance that has seen no flow open doubts no server.
	p, _ := opened(t, c, time.Millisecond, routeOf(0))
	c.Decide(2*time.Millisecond, p.request())
	c.Decide(3*time.Millisecond, p.finish())
	tried := make(map[mark.Mark]bool)
	for range servers {
		tried[c.Decide(time.Second, newCaller(routeOf(0)).open(0)).Mark] = true
	}
	c.Tick(time.Second+200*time.Millisecond, maxFlow)
	announced := make(map[mark.Mark]bool)
	for range servers {
		for _, l := range c.Notices(time.Second + 200*time.Millisecond) {
			announced[l.Mark] = true
		}
	}
	if d := cmp.Diff(tried, announced); d != "" {
		t.Errorf("tried and announced: %s", d)
	}
}

// Guards against an instance that restarts while callers wait, and takes all servers for ended
// since the callers have left or reach another instance: it had one server of fourteen for a
// crowd then (crowd-after-power).
func TestInstanceThatHasSeenNoFlowOpenDoubtsNoServer(t *testing.T) {
	c := newCore(neighbours(3, 1))
	for range 20 {
		c.Decide(time.Millisecond, newCaller(feedRoute).open(1))
	}
	for now := 100 * time.Millisecond; now < time.Second; now += 100 * time.Millisecond {
		c.Tick(now, maxFlow)
	}
	if events := c.RestartEvents(); len(events) > 0 {
		t.Errorf("events %+v", events)
	}
	p, _ := opened(t, c, time.Second, feedRoute)
	c.Decide(time.Second+time.Millisecond, p.request())
	if _, d := opened(t, c, time.Second+2*time.Millisecond, feedRoute); d.Reason != forwarding.Placed || d.Load.Penalty > 0 {
		t.Errorf("a flow at a service of idle servers: %+v", d)
	}
}

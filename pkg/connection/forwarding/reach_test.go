package forwarding_test

import (
	"testing"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/clock"
	"github.com/tanagerweir/tanagerweir/pkg/connection/forwarding"
)

const tick = 100 * time.Millisecond

// passTime opens flows of the feed, one each 50 ms, until the given time, and ticks. The
// servers for which answers returns true answer. It returns the time and the number of
// flows that went to each data centre.
func passTime(t *testing.T, c *forwarding.Core, now, until time.Duration, answers func(dataCentre string) bool) (time.Duration, map[string]int) {
	t.Helper()
	placed := make(map[string]int)
	for ; now < until; now += tick / 2 {
		p, d := opened(t, c, now, feedRoute)
		placed[d.DataCentre]++
		if answers(d.DataCentre) {
			c.Decide(now+time.Millisecond, p.request())
		}
		c.Tick(now+2*time.Millisecond, maxFlow)
	}
	return now, placed
}

func nobody(string) bool { return false }

func everybody(string) bool { return true }

// takenOut returns a core whose own data centre is taken out, so that flows go to the
// other one, which answers for a second.
func takenOut(t *testing.T) (*forwarding.Core, time.Duration) {
	t.Helper()
	c := newCore(deployment().WithEvacuated(near, true))
	now, placed := passTime(t, c, tick, time.Second, everybody)
	if placed[far] == 0 || placed[near] > 0 || !c.Served() {
		t.Fatalf("placed %v, served %v", placed, c.Served())
	}
	return c, now
}

// Callers of a data centre whose instances may not use its servers and reach no others
// are served elsewhere, so routers have to learn it soon.
func TestCallersAreNotServedWhileAllUsableServersAreOutOfReach(t *testing.T) {
	c, now := takenOut(t)
	cut := now
	for c.Served() {
		now, _ = passTime(t, c, now, now+tick, nobody)
		if now > cut+2*time.Second {
			t.Fatal("still taken for served 2 s after the cut")
		}
	}
	// Routers lead callers elsewhere now, so that nothing shows the servers.
	for range 50 {
		now += tick
		c.Tick(now, maxFlow)
	}
	if c.Served() {
		t.Fatal("served without any sign of the servers")
	}
	c.HeardFrom(now, far)
	c.Tick(now+tick, maxFlow)
	if !c.Served() {
		t.Error("not served although the other data centre was heard from")
	}
}

// Guards against instances of a cut data centre that turn ready and not ready by turns: while
// routers lead callers elsewhere, their copies are answered through instances there, and callers
// acknowledge these answers here.
func TestAnswersThatCameAnotherWayLeaveTheDataCentreOutOfReach(t *testing.T) {
	c, now := takenOut(t)
	p, _ := opened(t, c, now, feedRoute)
	c.Decide(now+time.Millisecond, p.request())
	c.Decide(now+2*time.Millisecond, p.acknowledge())
	c.Decide(now+3*time.Millisecond, p.request())
	now += 4 * time.Millisecond
	for c.Served() {
		now, _ = passTime(t, c, now, now+tick, nobody)
	}
	c.Decide(now, p.acknowledge())
	c.Tick(now+tick, maxFlow)
	if c.Served() {
		t.Error("served because of an answer to a request from before")
	}
	request := p.request()
	now += 2 * tick
	c.Decide(now, request)
	c.Decide(now+firstCopy, request)
	c.Decide(now+firstCopy+10*time.Millisecond, p.acknowledge())
	c.Tick(now+3*tick, maxFlow)
	if c.Served() {
		t.Error("served because of an answer to a copy")
	}
	now += 4 * tick
	c.Decide(now, p.request())
	c.Decide(now+50*time.Millisecond, p.acknowledge())
	c.Tick(now+tick, maxFlow)
	if !c.Served() {
		t.Error("not served although a request was answered at once")
	}
	if events := c.ReachEvents(); len(events) != 2 || events[1].Lost || events[1].Server == "" {
		t.Errorf("events %+v", events)
	}
}

// Guards against the same by way of what other instances saw before the cut.
func TestSignsFromBeforeTheLossLeaveTheDataCentreOutOfReach(t *testing.T) {
	c, now := takenOut(t)
	_, d := opened(t, c, now, feedRoute)
	for c.Served() {
		now, _ = passTime(t, c, now, now+tick, nobody)
	}
	lost := now
	for _, test := range []struct {
		age  time.Duration
		want bool
	}{{time.Minute, false}, {400 * time.Millisecond, false}, {10 * time.Millisecond, true}} {
		c.ReceiveAnswer(lost+tick, []forwarding.Load{{Mark: d.Mark, AliveAge: clock.Ago(test.age)}}, true)
		c.Tick(lost+tick, maxFlow)
		if c.Served() != test.want {
			t.Errorf("sign of life %v ago: served %v", test.age, c.Served())
		}
	}
}

// A fleet must never stay out of rotation for want of anybody to hear from.
func TestCallersAreLetInAgainAfterAWhile(t *testing.T) {
	c, now := takenOut(t)
	for c.Served() {
		now, _ = passTime(t, c, now, now+tick, nobody)
	}
	letIn := now
	for !c.Served() {
		now += tick
		c.Tick(now, maxFlow)
		if now > letIn+15*time.Second {
			t.Fatal("still not served 15 s later")
		}
	}
	c.HeardFrom(now, far)
	c.Confirm(now, clock.At(now))
	c.Tick(now, maxFlow)
	now, _ = passTime(t, c, now, now+2*time.Second, everybody)
	if !c.Served() {
		t.Errorf("not served at %v although servers answer", now)
	}
}

// After a cut all servers beyond it are suspected. They must not count as started anew one
// by one, which would leave callers without any.
func TestServersAreForgivenOnceTheirDataCentreIsWithinReach(t *testing.T) {
	for _, fresh := range []bool{true, false} {
		c, now := takenOut(t)
		for c.Served() {
			now, _ = passTime(t, c, now, now+tick, nobody)
		}
		now += 5 * time.Second
		c.HeardFrom(now, far)
		if fresh {
			c.Confirm(now, clock.At(now))
		}
		c.Tick(now, maxFlow)
		refused := 0
		for range 40 {
			now += 10 * time.Millisecond
			p := newCaller(feedRoute)
			d := c.Decide(now, p.open(0))
			if d.Verdict != forwarding.Forward {
				refused++
				continue
			}
			p.mark = uint32(d.Mark)
			c.Decide(now+time.Millisecond, p.request())
		}
		if fresh == (refused > 0) {
			t.Errorf("directory fresh %v: %d of 40 flows refused", fresh, refused)
		}
	}
}

// An instance whose own data centre's servers are all silent can't know whether callers
// would fare better elsewhere.
func TestSilentServersOfTheOwnDataCentreLeaveTheInstanceReady(t *testing.T) {
	d := configured()
	for n := range 3 {
		d = d.WithServer(serverOf(feedService, near, n+1))
	}
	c := newCore(d)
	passTime(t, c, tick, 5*time.Second, nobody)
	if !c.Served() {
		t.Error("not served")
	}
}

// Without servers anywhere, readiness helps nobody: routers know no better place.
func TestInstanceStaysReadyWhen(t *testing.T) {
	for name, play := range map[string]func(c *forwarding.Core, now time.Duration){
		"the other data centre is heard from": func(c *forwarding.Core, now time.Duration) {
			for end := now + 5*time.Second; now < end; {
				c.HeardFrom(now, far)
				now, _ = passTime(t, c, now, now+tick, nobody)
			}
		},
		"one server answers": func(c *forwarding.Core, now time.Duration) {
			p, _ := opened(t, c, now, feedRoute)
			c.Decide(now, p.request())
			for end := now + 5*time.Second; now < end; {
				now, _ = passTime(t, c, now, now+5*tick, nobody)
				c.Decide(now, p.acknowledge())
			}
		},
		"nobody asks": func(c *forwarding.Core, now time.Duration) {
			for range 50 {
				now += tick
				c.Tick(now, maxFlow)
			}
		},
	} {
		c, now := takenOut(t)
		play(c, now)
		if !c.Served() {
			t.Errorf("%s: not served", name)
		}
	}
}

// A service without reach must not cost the callers of the others.
func TestOneServiceOutOfReachLeavesTheInstanceReady(t *testing.T) {
	d := configured()
	for n := range 3 {
		d = d.WithServer(serverOf(feedService, far, n+1)).WithServer(serverOf(ledgerService, near, n+1))
	}
	c := newCore(d)
	for now := tick; now < 5*time.Second; {
		p, _ := opened(t, c, now, uploadRoute)
		c.Decide(now+time.Millisecond, p.request())
		now, _ = passTime(t, c, now+2*time.Millisecond, now+tick, nobody)
		if !c.Served() {
			t.Fatalf("not served after %v", now)
		}
	}
}

// New flows go where servers answer, and only single ones try the others.
func TestDataCentreOutOfReachGetsSingleFlows(t *testing.T) {
	d := configured()
	for n := range 3 {
		d = d.WithServer(serverOf(feedService, far, n+1)).WithServer(serverOf(feedService, "farthest", n+1))
	}
	c := newCore(d)
	lost := func(dataCentre string) bool { return dataCentre != far }
	now, _ := passTime(t, c, tick, 3*time.Second, lost)
	if events := c.ReachEvents(); len(events) != 1 || events[0].DataCentre != far || !events[0].Lost {
		t.Errorf("events %+v", events)
	}
	_, placed := passTime(t, c, now, now+4*time.Second, lost)
	if placed[far] > 9 || placed["farthest"] < 70 {
		t.Errorf("placed %v in 4 s", placed)
	}
	if !c.Served() {
		t.Error("not served although one data centre answers")
	}
}

// With a data centre that lost power, hundreds of servers go silent at once, each with too
// few flows at one instance to show it. Their flows are given up together, once other
// instances see no sign of them either.
func TestFlowsAtADataCentreOutOfReachAreGivenUp(t *testing.T) {
	const peers = 4
	for _, test := range []struct {
		name    string
		answers int
		age     time.Duration
		want    forwarding.Verdict
	}{
		{"nobody answers", 0, time.Minute, forwarding.Forward},
		{"others see nothing", 2, time.Minute, forwarding.Reset},
		{"one has seen an answer", 2, 200 * time.Millisecond, forwarding.Forward},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, now := takenOut(t)
			c.ReceiveLoads(now, "other", nil, peers)
			idle, _ := opened(t, c, now, feedRoute)
			c.Decide(now+time.Millisecond, idle.request())
			c.Decide(now+2*time.Millisecond, idle.acknowledge())
			p, d := opened(t, c, now+2*time.Millisecond, feedRoute)
			unanswered := p.request()
			c.Decide(now+3*time.Millisecond, unanswered)
			now, _ = passTime(t, c, now+4*time.Millisecond, now+1500*time.Millisecond, nobody)
			if events := c.ReachEvents(); len(events) != 1 || !events[0].Lost {
				t.Fatalf("events %+v", events)
			}
			var loads []forwarding.Load
			for _, i := range c.Inquiries(now) {
				if i.DataCentre != far {
					t.Errorf("asks about %+v", i)
				}
				c.Asked(now, i.Mark, peers)
				loads = append(loads, forwarding.Load{Mark: i.Mark, AliveAge: clock.Ago(time.Minute)})
			}
			if len(loads) < 3 {
				t.Fatalf("asks about %d servers", len(loads))
			}
			loads[len(loads)-1].AliveAge = clock.Ago(test.age)
			for range test.answers {
				c.ReceiveAnswer(now, loads, true)
			}
			now += 100 * time.Millisecond
			if got := c.Decide(now, unanswered); got.Verdict != test.want || got.Verdict == forwarding.Reset && got.Reason != forwarding.OutOfReach {
				t.Errorf("flow at server %q: %+v", d.Server, got)
			}
			// Its server may be the only one there that lives.
			request := idle.request()
			if got := c.Decide(now, request); got.Verdict != forwarding.Forward {
				t.Errorf("first packet of a flow that was idle: %+v", got)
			}
			c.Decide(now+firstCopy, request)
			if got := c.Decide(now+secondCopy, request); got.Verdict != test.want {
				t.Errorf("flow that went unanswered for %v: %+v", secondCopy, got)
			}
		})
	}
}

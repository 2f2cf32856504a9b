package forwarding_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/clock"
	"github.com/tanagerweir/tanagerweir/pkg/connection/forwarding"
	"github.com/tanagerweir/tanagerweir/pkg/connection/mark"
)

const (
	firstCopy   = 200 * time.Millisecond
	secondCopy  = 600 * time.Millisecond
	serviceTime = 50 * time.Millisecond
)

func TestCopiesOfAnOpeningPacketGoToOtherServers(t *testing.T) {
	c := newCore(deployment())
	p := newCaller(feedRoute)
	seen := make(map[string]bool)
	for i, at := range []time.Duration{0, firstCopy, secondCopy} {
		d := c.Decide(at, p.open(i))
		if seen[d.Server] {
			t.Errorf("copy %d went to %q again", i, d.Server)
		}
		seen[d.Server] = true
	}
}

func TestServerThatLeavesTwoFlowsUnansweredGetsNoMore(t *testing.T) {
	c := newCore(deployment())
	unresponsive := leaveUnanswered(t, c)
	for range 60 {
		if _, d := opened(t, c, firstCopy+time.Millisecond, feedRoute); d.Server == unresponsive {
			t.Fatal("a suspected server got a flow")
		}
	}
}

// leaveUnanswered opens flows. The first server that gets one leaves two of its
// openings unanswered, so that their callers send copies, and all others answer.
// It returns the unresponsive server.
func leaveUnanswered(t *testing.T, c *forwarding.Core) string {
	t.Helper()
	unresponsive := ""
	for unanswered := 0; unanswered < 2; {
		p, d := opened(t, c, time.Millisecond, feedRoute)
		if unresponsive == "" {
			unresponsive = d.Server
		}
		if d.Server != unresponsive {
			c.Decide(2*time.Millisecond, p.request())
			continue
		}
		unanswered++
		c.Decide(firstCopy, p.open(1))
	}
	return unresponsive
}

func TestOneLostPacketMakesNoServerSuspected(t *testing.T) {
	c := newCore(deployment())
	p, d := opened(t, c, time.Millisecond, feedRoute)
	other, otherPlaced := opened(t, c, time.Millisecond, feedRoute)
	for otherPlaced.Server != d.Server {
		other, otherPlaced = opened(t, c, time.Millisecond, feedRoute)
	}
	c.Decide(100*time.Millisecond, other.request())
	c.Decide(firstCopy, p.open(1))
	for range 100 {
		if _, again := opened(t, c, firstCopy, feedRoute); again.Server == d.Server {
			return
		}
	}
	t.Errorf("server %q answered another caller since and gets nothing", d.Server)
}

func TestSuspectedServerIsTriedAgainWithOneFlow(t *testing.T) {
	c := newCore(deployment())
	unresponsive := leaveUnanswered(t, c)
	trials := 0
	for range 30 {
		if _, d := opened(t, c, 1500*time.Millisecond, feedRoute); d.Server == unresponsive {
			trials++
		}
	}
	if trials != 1 {
		t.Errorf("%d flows went to the suspected server at the same time, want 1", trials)
	}
}

func TestServiceWithSuspectsOnlyIsStillServed(t *testing.T) {
	c := newCore(configured().WithServer(serverOf(feedService, near, 1)))
	leaveUnanswered(t, c)
	if _, d := opened(t, c, firstCopy, feedRoute); d.Verdict != forwarding.Forward {
		t.Errorf("a service whose only server is suspected: %+v", d)
	}
}

// A suspected server that answers may have been restarted.
func TestServerThatAnswersAfterSuspicionCountsAsCold(t *testing.T) {
	c := newCore(deployment())
	unresponsive := leaveUnanswered(t, c)
	now := 1500 * time.Millisecond
	var p *caller
	for placed := ""; placed != unresponsive; {
		var d forwarding.Decision
		p, d = opened(t, c, now, feedRoute)
		placed = d.Server
	}
	c.Decide(now+time.Millisecond, p.request())
	for range 60 {
		if _, d := opened(t, c, now+time.Second, feedRoute); d.Server == unresponsive {
			t.Fatal("a server that may just have been restarted got a flow")
		}
	}
}

// openAtServer opens that many flows at one server, which answers their first
// requests, and returns their callers and the server. Flows at other servers get as
// far as a request.
func openAtServer(t *testing.T, c *forwarding.Core, flows int) (callers []*caller, unresponsive string) {
	t.Helper()
	for len(callers) < flows {
		p, d := opened(t, c, time.Millisecond, feedRoute)
		if unresponsive == "" {
			unresponsive = d.Server
		}
		c.Decide(2*time.Millisecond, p.request())
		if d.Server != unresponsive {
			continue
		}
		c.Decide(2*time.Millisecond+serviceTime, p.acknowledge())
		callers = append(callers, p)
	}
	return callers, unresponsive
}

// sendUnanswered lets callers send a request, which goes unanswered, and send it
// again.
func sendUnanswered(c *forwarding.Core, callers []*caller) {
	const sent = 100 * time.Millisecond
	for _, p := range callers {
		s := p.request()
		c.Decide(sent, s)
		c.Decide(sent+firstCopy, s)
	}
}

// answerElsewhere lets a server other than the unresponsive one answer a caller at
// that time.
func answerElsewhere(t *testing.T, c *forwarding.Core, unresponsive string, now time.Duration) {
	t.Helper()
	for range 20 {
		p, d := opened(t, c, now-time.Millisecond, feedRoute)
		if d.Server != unresponsive {
			c.Decide(now, p.request())
			return
		}
	}
	t.Fatal("no other server gets flows")
}

func TestFlowsAtASilentServerAreGivenUp(t *testing.T) {
	c := newCore(deployment())
	callers, unresponsive := openAtServer(t, c, 3)
	sendUnanswered(c, callers)
	now := time.Second
	answerElsewhere(t, c, unresponsive, now)
	if d := c.Decide(now, callers[0].request()); d.Verdict != forwarding.Reset || d.Reason != forwarding.ServerSilent {
		t.Errorf("a packet of a flow at a silent server was not answered with a reset: %+v", d)
	}
}

// Giving flows up needs enough failures, enough time, answers of other servers, and
// no sign of life at another instance.
func TestFlowsAreKeptWithoutEnoughEvidence(t *testing.T) {
	cases := map[string]func(c *forwarding.Core) (time.Duration, []*caller){
		"two flows only": func(c *forwarding.Core) (time.Duration, []*caller) {
			callers, unresponsive := openAtServer(t, c, 2)
			sendUnanswered(c, callers)
			answerElsewhere(t, c, unresponsive, time.Second)
			return time.Second, callers
		},
		"not for long": func(c *forwarding.Core) (time.Duration, []*caller) {
			callers, unresponsive := openAtServer(t, c, 3)
			sendUnanswered(c, callers)
			answerElsewhere(t, c, unresponsive, 500*time.Millisecond)
			return 500 * time.Millisecond, callers
		},
		"no server answers": func(c *forwarding.Core) (time.Duration, []*caller) {
			callers, _ := openAtServer(t, c, 3)
			sendUnanswered(c, callers)
			return time.Second, callers
		},
		"another instance sees it alive": func(c *forwarding.Core) (time.Duration, []*caller) {
			callers, unresponsive := openAtServer(t, c, 3)
			sendUnanswered(c, callers)
			answerElsewhere(t, c, unresponsive, time.Second)
			c.ReceiveLoads(time.Second, "other", []forwarding.Load{{Mark: callers[0].markNumber(), AliveAge: clock.Ago(100 * time.Millisecond)}}, 1)
			return time.Second, callers
		},
	}
	for name, prepare := range cases {
		c := newCore(deployment())
		now, callers := prepare(c)
		if d := c.Decide(now, callers[0].request()); d.Verdict != forwarding.Forward {
			t.Errorf("%s: %+v", name, d)
		}
	}
}

// Callers of a route whose requests may not be repeated gain nothing by a reset.
func TestFlowsWhoseRequestsMayNotBeRepeatedAreKept(t *testing.T) {
	c := newCore(deployment())
	callers, unresponsive := openAtServer(t, c, 3)
	sendUnanswered(c, callers)
	answerElsewhere(t, c, unresponsive, time.Second)
	p := newCaller(signoffRoute)
	p.mark = callers[0].mark
	if d := c.Decide(time.Second, p.request()); d.Verdict != forwarding.Forward {
		t.Errorf("a packet of a flow whose requests may not be repeated was not forwarded: %+v", d)
	}
}

func TestLoadsOfOtherInstancesMoveNewFlows(t *testing.T) {
	c := newCore(deployment())
	_, busy := opened(t, c, time.Millisecond, feedRoute)
	c.ReceiveLoads(2*time.Millisecond, "other", []forwarding.Load{{Mark: busy.Mark, Open: 60, Running: 3}}, 1)
	for range 6 {
		if _, d := opened(t, c, 3*time.Millisecond, feedRoute); d.Server == busy.Server {
			t.Fatal("a server that others keep busy got a flow")
		}
	}
}

func TestReportsOfInstancesThatFellSilentNoLongerCount(t *testing.T) {
	c := newCore(deployment())
	_, busy := opened(t, c, time.Millisecond, feedRoute)
	c.ReceiveLoads(2*time.Millisecond, "other", []forwarding.Load{{Mark: busy.Mark, Open: 600, Running: 30}}, 1)
	c.Tick(5*time.Second, maxFlow)
	for range 40 {
		if _, d := opened(t, c, 5*time.Second, feedRoute); d.Server == busy.Server {
			return
		}
	}
	t.Error("a server gets no flow because of a report that is 5 s old")
}

func TestFinishedAndSilentFlowsNoLongerCountAsLoad(t *testing.T) {
	c := newCore(deployment())
	p, _ := opened(t, c, time.Millisecond, feedRoute)
	c.Decide(2*time.Millisecond, p.request())
	q, _ := opened(t, c, time.Millisecond, feedRoute)
	c.Decide(2*time.Millisecond, q.request())
	opened(t, c, time.Millisecond, feedRoute)
	c.Decide(60*time.Millisecond, p.acknowledge())
	c.Decide(61*time.Millisecond, p.finish())
	c.Tick(time.Minute, maxFlow)
	for _, l := range c.Loads(time.Minute) {
		if l.Open != 0 {
			t.Errorf("mark %x has %d flows open", l.Mark, l.Open)
		}
	}
}

// Flows are open at a server that restarts under its identifier, and end after that:
// they must not count as load of the restarted server.
func TestLoadOfARestartedServerStartsAtZero(t *testing.T) {
	v := serverOf(feedService, near, 1)
	d := configured().WithServer(v)
	c := newCore(d)
	p, _ := opened(t, c, time.Millisecond, feedRoute)
	c.Decide(2*time.Millisecond, p.request())
	opened(t, c, 3*time.Millisecond, feedRoute)
	v.StartedMillis, v.Revision = 99, 2
	c.Adopt(time.Second, d.WithServer(v))
	c.Decide(time.Second+time.Millisecond, p.finish())
	c.Tick(time.Minute, maxFlow)
	q, _ := opened(t, c, time.Minute, feedRoute)
	c.Decide(time.Minute+time.Millisecond, q.request())
	for _, l := range c.Loads(time.Minute + time.Millisecond) {
		if l.Open != 1 {
			t.Errorf("%d flows open, one was opened since the restart", l.Open)
		}
	}
}

// A server whose process has ended refuses openings, which ends the caller's
// attempt without another packet.
func TestServerThatRefusesTwoFlowsGetsNoMore(t *testing.T) {
	for name, tick := range map[string]bool{"found by time": true, "found by the next flow": false} {
		c := newCore(deployment())
		refusing := refuse(t, c)
		later := 150 * time.Millisecond
		if tick {
			c.Tick(later, maxFlow)
		}
		for range 60 {
			if _, d := opened(t, c, later, feedRoute); d.Server == refusing {
				t.Fatalf("%s: a server that refuses flows got another one", name)
			}
		}
	}
}

// refuse opens flows. The first server that gets one refuses two, so that their
// callers send nothing more, and all others answer. It returns the refusing server.
func refuse(t *testing.T, c *forwarding.Core) string {
	t.Helper()
	refusing, refused := "", 0
	for now := time.Millisecond; refused < 2; now += time.Millisecond {
		p, d := opened(t, c, now, feedRoute)
		if refusing == "" {
			refusing = d.Server
		}
		if d.Server == refusing {
			refused++
			continue
		}
		c.Decide(now, p.request())
	}
	return refusing
}

// An opening that took too long counts as a failure; the caller's copy of the
// opening packet must not count as a second one.
func TestCopyOfALateOpeningIsNoSecondFailure(t *testing.T) {
	c := newCore(deployment())
	p, d := opened(t, c, time.Millisecond, feedRoute)
	c.Tick(150*time.Millisecond, maxFlow)
	c.Decide(firstCopy, p.open(1))
	c.Tick(250*time.Millisecond, maxFlow)
	for _, e := range c.Events() {
		if e.Server == d.Server && e.Now == forwarding.Suspected {
			t.Errorf("server %q is suspected after one flow", e.Server)
		}
	}
}

// After the instance was suspended, the packets that came meanwhile still wait, so
// that openings without a further packet prove nothing.
func TestSuspendedInstanceSuspectsNoServer(t *testing.T) {
	c := newCore(deployment())
	for range 40 {
		opened(t, c, time.Millisecond, feedRoute)
	}
	c.Tick(3*time.Second, maxFlow)
	if events := c.Events(); len(events) != 0 {
		t.Errorf("%d servers are suspected", len(events))
	}
}

// A port scanner opens flows and abandons them.
func TestCallerThatAbandonsItsOpeningsMakesNoServerSuspected(t *testing.T) {
	c := newCore(deployment())
	for n := range uint16(200) {
		address := netip.AddrPortFrom(netip.MustParseAddr("100.64.9.9"), 1024+n)
		c.Decide(time.Duration(n)*time.Millisecond, newCallerAt(address, feedRoute).open(0))
		c.Tick(time.Duration(n)*time.Millisecond, maxFlow)
	}
	c.Tick(400*time.Millisecond, maxFlow)
	for _, e := range c.Events() {
		if e.Now == forwarding.Suspected {
			t.Errorf("server %q is suspected", e.Server)
		}
	}
}

// Packets that waited while the instance started or was suspended arrive all at
// once: a server had no time to answer between them.
func TestCopiesThatWaitedWithTheFirstPacketAreNoFailure(t *testing.T) {
	c := newCore(deployment())
	for range 30 {
		p := newCaller(feedRoute)
		for copies := range 3 {
			c.Decide(time.Second, p.open(copies))
		}
	}
	for range 5 {
		p, _ := opened(t, c, time.Second, feedRoute)
		first := p.request()
		for range 3 {
			c.Decide(time.Second, first)
		}
	}
	c.Tick(time.Second+10*time.Millisecond, maxFlow)
	if events := c.Events(); len(events) != 0 {
		t.Errorf("%d servers are suspected", len(events))
	}
}

// silentServer returns a core with peers that sees three flows unanswered at a server
// while another one answers, with the callers, the server and the time.
func silentServer(t *testing.T, peers int) (*forwarding.Core, []*caller, string, time.Duration) {
	t.Helper()
	c := newCore(deployment())
	c.ReceiveLoads(0, "other", nil, peers)
	callers, unresponsive := openAtServer(t, c, 3)
	sendUnanswered(c, callers)
	answerElsewhere(t, c, unresponsive, time.Second)
	return c, callers, unresponsive, time.Second
}

// Reports of other instances may arrive long after these saw a sign of life, so that
// flows are given up only once they were asked.
func TestOthersAreAskedBeforeFlowsAreGivenUp(t *testing.T) {
	const (
		peers = 5
		wait  = 100 * time.Millisecond
	)
	quiet := forwarding.Load{AliveAge: clock.Ago(time.Minute)}
	for _, test := range []struct {
		name string
		// answers are those of the own data centre, elsewhere that of another one.
		answers   int
		answer    forwarding.Load
		elsewhere *forwarding.Load
		after     time.Duration
		want      forwarding.Verdict
	}{
		{name: "nobody answers", after: wait, want: forwarding.Forward},
		{name: "too few answer", answers: 2, answer: quiet, after: wait, want: forwarding.Forward},
		{name: "at once", answers: 4, answer: quiet, want: forwarding.Forward},
		{name: "enough answer", answers: 3, answer: quiet, after: wait, want: forwarding.Reset},
		{name: "enough have seen nothing since their start", answers: 3, after: wait, want: forwarding.Reset},
		{name: "one has seen it", answers: 4, answer: forwarding.Load{AliveAge: clock.Ago(50 * time.Millisecond)}, after: wait, want: forwarding.Forward},
		{
			name: "its data centre has seen it", answers: 4, answer: quiet,
			elsewhere: &forwarding.Load{AliveAge: clock.Ago(50 * time.Millisecond)}, after: wait, want: forwarding.Forward,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, callers, _, now := silentServer(t, peers)
			inquiries := c.Inquiries(now)
			if len(inquiries) != 1 || inquiries[0].Mark != callers[0].markNumber() {
				t.Fatalf("asks about %+v", inquiries)
			}
			c.Asked(now, inquiries[0].Mark, peers)
			if again := c.Inquiries(now); len(again) != 0 {
				t.Errorf("asks again at once: %+v", again)
			}
			test.answer.Mark = inquiries[0].Mark
			for range test.answers {
				c.ReceiveAnswer(now, []forwarding.Load{test.answer}, true)
			}
			if test.elsewhere != nil {
				test.elsewhere.Mark = inquiries[0].Mark
				c.ReceiveAnswer(now, []forwarding.Load{*test.elsewhere}, false)
			}
			if d := c.Decide(now+test.after, callers[0].request()); d.Verdict != test.want {
				t.Errorf("%+v", d)
			}
		})
	}
}

func TestInquiryIsAnsweredWithTheLastSignOfLife(t *testing.T) {
	c := newCore(deployment())
	p, d := opened(t, c, time.Millisecond, feedRoute)
	c.Decide(20*time.Millisecond, p.request())
	loads := c.AnswerInquiry(120*time.Millisecond, []mark.Mark{d.Mark, d.Mark + 1})
	if len(loads) != 1 || loads[0].Mark != d.Mark || loads[0].AliveAge != clock.Ago(100*time.Millisecond) {
		t.Errorf("%+v", loads)
	}
}

// A server that was silent and answers again may have been started anew. Instances that
// saw less of it must not fill it.
func TestOthersLearnThatASilentServerMayBeCold(t *testing.T) {
	c, callers, unresponsive, now := silentServer(t, 0)
	c.Tick(now, maxFlow)
	now += 1500 * time.Millisecond
	var p *caller
	for placed := ""; placed != unresponsive; {
		var d forwarding.Decision
		p, d = opened(t, c, now, feedRoute)
		placed = d.Server
	}
	c.Decide(now+time.Millisecond, p.request())
	other := newCore(deployment())
	for _, l := range c.Loads(now + 2*time.Millisecond) {
		if l.Mark == callers[0].markNumber() && l.ColdLeft == 0 {
			t.Error("reported as warm")
		}
	}
	other.ReceiveLoads(now, "first", c.Loads(now+2*time.Millisecond), 1)
	for range 60 {
		if _, d := opened(t, other, now+3*time.Millisecond, feedRoute); d.Server == unresponsive {
			t.Fatal("another instance gives it a flow")
		}
	}
}

// A server that was only full for a moment stays warm for others.
func TestFullServerStaysWarmForOthers(t *testing.T) {
	c := newCore(deployment())
	unresponsive := leaveUnanswered(t, c)
	now := firstCopy + 10*time.Millisecond
	for _, l := range c.Loads(now) {
		if l.ColdLeft > 0 {
			t.Errorf("server %q counts as started anew: %+v", unresponsive, l)
		}
	}
}

package forwarding_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/clock"
	"github.com/tanagerweir/tanagerweir/pkg/connection/forwarding"
	"github.com/tanagerweir/tanagerweir/pkg/connection/mark"
	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
)

// oneServer returns a directory in which flows of the feed go to one server: the others
// drain.
func oneServer(n int, revision uint64) directory.Directory {
	d := configured()
	for k := 1; k <= 2; k++ {
		s := serverOf(feedService, near, k)
		s.Draining, s.Revision = k != n, revision
		d = d.WithServer(s)
	}
	return d
}

// reopened opens a flow at one server, ends it, and opens another from the same port at a
// second server. It returns the callers of both.
func reopened(t *testing.T, c *forwarding.Core, now time.Duration) (earlier, later *caller) {
	t.Helper()
	c.Adopt(now, oneServer(1, 1))
	earlier, _ = opened(t, c, now, feedRoute)
	c.Decide(now+10*time.Millisecond, earlier.request())
	c.Decide(now+20*time.Millisecond, earlier.acknowledge())
	c.Decide(now+30*time.Millisecond, earlier.finish())
	c.Adopt(now+time.Second, oneServer(2, 2))
	later = newCallerAt(earlier.flow.Caller, feedRoute)
	later.sequence = 1 << 30
	d := c.Decide(now+2*time.Second, later.open(0))
	if d.Server == "" || uint32(d.Mark) == earlier.mark {
		t.Fatalf("the second flow went to %q", d.Server)
	}
	later.mark = uint32(d.Mark)
	return earlier, later
}

// A late packet of an earlier flow must not reach the server of a flow that uses the same
// port now, which might take it for its own and answer the next caller with it. Each packet
// goes by its own mark, also after the idle timeout has dropped the record.
func TestLatePacketOfAnEarlierFlowGoesToItsOwnServer(t *testing.T) {
	for name, idle := range map[string]time.Duration{"at once": 0, "after the idle timeout": 20 * time.Second} {
		c := newCore(oneServer(1, 1))
		now := 10 * time.Second
		earlier, later := reopened(t, c, now)
		c.Decide(now+2100*time.Millisecond, later.request())
		now += 3*time.Second + idle
		c.Tick(now, maxFlow)
		for range 2 {
			if d := c.Decide(now, earlier.request()); d.Verdict != forwarding.Forward || uint32(d.Mark) != earlier.mark || d.Number != 1 {
				t.Errorf("%s: packet of the earlier flow: %+v", name, d)
			}
			if d := c.Decide(now, later.request()); d.Verdict != forwarding.Forward || uint32(d.Mark) != later.mark || d.Number != 2 {
				t.Errorf("%s: packet of the later flow: %+v", name, d)
			}
		}
	}
}

// An address that another server uses now must not get packets of earlier flows as its own:
// they name the number of the server that they are meant for.
func TestLatePacketNamesItsServerAlsoWhereTheAddressIsUsedAgain(t *testing.T) {
	c := newCore(oneServer(1, 1))
	now := 10 * time.Second
	earlier, _ := opened(t, c, now, feedRoute)
	gone := serverOf(feedService, near, 1)
	successor := serverOf(feedService, near, 2)
	successor.Endpoint = gone.Endpoint
	c.Adopt(now+time.Second, configured().WithServer(successor))
	if d := c.Decide(now+2*time.Second, earlier.request()); d.Endpoint != gone.Endpoint || d.Number != gone.Number {
		t.Errorf("%+v", d)
	}
}

// A late packet of an earlier flow says nothing about its server: it must not count as the
// answer to the opening that uses the port now.
func TestLatePacketOfAnEarlierFlowIsNoSignOfLife(t *testing.T) {
	c := newCore(oneServer(1, 1))
	now := 10 * time.Second
	earlier, _ := reopened(t, c, now)
	now += 2*time.Second + 50*time.Millisecond
	c.Decide(now, earlier.finish())
	for _, l := range c.AnswerInquiry(now, []mark.Mark{earlier.markNumber()}) {
		if l.AliveAge.AtMost(time.Second - 1) {
			t.Errorf("alive %v ago", l.AliveAge)
		}
	}
}

// A copy of an opening packet that arrives after its flow has opened must not open a second
// flow at another server, whose answer the caller may take for that of the first, nor be
// answered by a reset, which would end the open flow.
func TestLateCopyOfAnOpeningGoesToTheServerOfTheFlow(t *testing.T) {
	for name, after := range map[string]directory.Directory{
		"same servers": oneServer(1, 1), "other server": oneServer(2, 2), "no server": configured().WithServer(serverOf(ledgerService, near, 1)),
		"no route": directory.New().WithConfiguration(directory.Configuration{Version: 2}),
	} {
		c := newCore(oneServer(1, 1))
		now := 10 * time.Second
		p, _ := opened(t, c, now, feedRoute)
		copies := p.open(1)
		c.Decide(now+150*time.Millisecond, p.request())
		before := c.Loads(now + 200*time.Millisecond)
		c.Adopt(now+200*time.Millisecond, after)
		c.Confirm(now+200*time.Millisecond, clock.At(now+200*time.Millisecond))
		d := c.Decide(now+210*time.Millisecond, copies)
		if d.Verdict != forwarding.Forward || uint32(d.Mark) != p.mark {
			t.Errorf("%s: %+v", name, d)
		}
		if got := c.Loads(now + 220*time.Millisecond); len(got) != len(before) || got[0].Open != before[0].Open {
			t.Errorf("%s: loads %+v, before %+v", name, got, before)
		}
	}
}

// A caller that uses its port for a new flow opens it anew, also with a copy whose first
// packet was lost or went to another instance.
func TestCopyOfANewOpeningOnAUsedPortIsPlaced(t *testing.T) {
	c := newCore(oneServer(1, 1))
	now := 10 * time.Second
	p, _ := opened(t, c, now, feedRoute)
	c.Decide(now+20*time.Millisecond, p.request())
	c.Adopt(now+time.Second, oneServer(2, 2))
	next := newCallerAt(p.flow.Caller, feedRoute)
	next.sequence = 1 << 30
	if d := c.Decide(now+2*time.Second, next.open(1)); d.Reason != forwarding.PlacedAgain || d.Number != 2 {
		t.Errorf("%+v", d)
	}
}

// A copy of an opening packet that can't be served is refused at once, although the server
// of an earlier one may have answered meanwhile: a caller whose flow has opened doesn't send
// the request again, and one whose flow hasn't can. Packets of the flow still reach the
// server, so that the refusal stops nothing that runs.
func TestRefusedCopyOfAnOpeningLeavesTheOpenFlowWithItsServer(t *testing.T) {
	for _, route := range []netip.AddrPort{feedRoute, signoffRoute} {
		c := newCore(oneServer(1, 1))
		now := 10 * time.Second
		p, _ := opened(t, c, now, route)
		c.Adopt(now+100*time.Millisecond, oneServer(0, 2))
		if d := c.Decide(now+200*time.Millisecond, p.open(1)); d.Verdict != forwarding.Reset || d.Reason != forwarding.NoServer {
			t.Errorf("copy to %v: %+v", route, d)
		}
		if d := c.Decide(now+220*time.Millisecond, p.request()); d.Verdict != forwarding.Forward || uint32(d.Mark) != p.mark {
			t.Errorf("request to %v: %+v", route, d)
		}
	}
}

// A request that may not run twice must not be asked for again by its caller because an
// instance ended its flow: without an answer, only flows of repeatable routes are given up.
func TestOpenFlowOfAnUnrepeatableRequestIsNeverReset(t *testing.T) {
	c := newCore(oneServer(1, 1))
	now := 10 * time.Second
	p, _ := opened(t, c, now, signoffRoute)
	request := p.request()
	c.Decide(now+10*time.Millisecond, request)
	c.Adopt(now+time.Second, directory.New().WithConfiguration(directory.Configuration{Version: 2}))
	for at := now + time.Second; at < now+30*time.Second; at += 200 * time.Millisecond {
		c.Confirm(at, clock.At(at))
		c.Tick(at, maxFlow)
		if d := c.Decide(at, request); d.Verdict != forwarding.Forward {
			t.Fatalf("%v after the request: %+v", at-now, d)
		}
	}
}

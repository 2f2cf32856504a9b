package forwarding_test

import (
	"testing"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/clock"
	"github.com/tanagerweir/tanagerweir/pkg/connection/admission"
	"github.com/tanagerweir/tanagerweir/pkg/connection/forwarding"
	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
)

// newAdmittingCore returns a core whose routes of the feed have targets; sign-offs are
// more urgent.
func newAdmittingCore() *forwarding.Core {
	feed := []directory.Share{{Service: feedService, Weight: 1}}
	d := deployment().WithConfiguration(directory.Configuration{
		Version: 2,
		Routes: []directory.Route{
			{Endpoint: feedRoute, Kind: directory.Repeatable, Shares: feed, Target: 200 * time.Millisecond, Priority: 2, Name: "feed"},
			{Endpoint: signoffRoute, Shares: feed, Target: 200 * time.Millisecond, Priority: 1, Name: "signoff"},
		},
		Services: []directory.Service{{Name: feedService}, {Name: ledgerService}},
	})
	c := forwarding.New(forwarding.Options{Name: "entry", DataCentre: near, Seed: 1, Admission: &admission.Options{}})
	c.Confirm(0, clock.At(1))
	c.Adopt(0, d)
	return c
}

// crowd asks for 200 feeds a second, which are answered in 30 ms at first. Later a fifth of
// what is asked for is answered, the oldest first, and after 400 ms at the least. It returns
// the decisions about openings after that.
func crowd(c *forwarding.Core) (now time.Duration, decisions map[forwarding.Reason]int) {
	decisions = make(map[forwarding.Reason]int)
	type answer struct {
		at time.Duration
		p  *caller
	}
	var answers, waiting []answer
	for step := range 700 {
		now = time.Duration(step) * 5 * time.Millisecond
		p := newCaller(feedRoute)
		d := c.Decide(now, p.open(0))
		if step >= 600 {
			decisions[d.Reason]++
		}
		if d.Verdict == forwarding.Forward {
			p.mark = uint32(d.Mark)
			c.Decide(now, p.request())
			switch {
			case step < 200:
				answers = append(answers, answer{now + 30*time.Millisecond, p})
			default:
				waiting = append(waiting, answer{now + 400*time.Millisecond, p})
			}
		}
		if step%5 == 0 && len(waiting) > 0 && waiting[0].at <= now {
			answers, waiting = append(answers, waiting[0]), waiting[1:]
		}
		for len(answers) > 0 && answers[0].at <= now {
			c.Decide(now, answers[0].p.acknowledge())
			c.Decide(now, answers[0].p.finish())
			answers = answers[1:]
		}
		if step%20 == 0 {
			c.Tick(now, maxFlow)
		}
	}
	return now, decisions
}

// Guards against a crowd that is let through, urgent requests that are refused with it, and
// refusals of copies and of requests in open flows.
func TestOnlyNewFlowsOfACrowdAreRefused(t *testing.T) {
	c := newAdmittingCore()
	open, _ := opened(t, c, 0, feedRoute)
	c.Decide(0, open.request())
	now, decisions := crowd(c)
	if decisions[forwarding.NoRoom] < 50 || decisions[forwarding.Placed] == 0 {
		t.Fatalf("decisions %v", decisions)
	}
	if d := c.Decide(now, newCaller(signoffRoute).open(0)); d.Verdict != forwarding.Forward {
		t.Errorf("an urgent flow: %v", d.Reason)
	}
	if d := c.Decide(now, newCaller(feedRoute).open(1)); d.Verdict != forwarding.Forward {
		t.Errorf("a copy: %v", d.Reason)
	}
	if d := c.Decide(now, open.request()); d.Verdict != forwarding.Forward {
		t.Errorf("a request in an open flow: %v", d.Reason)
	}
	for {
		d := c.Decide(now, newCaller(feedRoute).open(0))
		if d.Reason != forwarding.NoRoom {
			continue
		}
		want := forwarding.Decision{Verdict: forwarding.Reset, Reason: forwarding.NoRoom, Route: "feed", Service: feedService}
		if d != want {
			t.Errorf("%+v, want %+v", d, want)
		}
		break
	}
	if events := c.Shortages(); len(events) != 1 || !events[0].Short || events[0].Service != feedService {
		t.Errorf("events %+v", events)
	}
	if p := c.Pressures(); len(p) != 1 || p[0].Level <= 0 || p[0].Level >= 1 {
		t.Errorf("pressures %+v", p)
	}
}

// Guards against limits where operators turned admission off.
func TestWithoutAdmissionACrowdIsPlaced(t *testing.T) {
	c := newCore(deployment())
	if _, decisions := crowd(c); decisions[forwarding.NoRoom] > 0 {
		t.Errorf("decisions %v", decisions)
	}
	if len(c.Pressures())+len(c.Shortages())+len(c.Demand()) > 0 {
		t.Error("shortages are reported")
	}
}

package forwarding_test

import (
	"testing"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/clock"
	"github.com/tanagerweir/tanagerweir/pkg/connection/forwarding"
)

// Answers that others gave before the instance was suspended say nothing about the time
// after it: the data centre may be within reach again, and a flow there must not be reset.
func TestAnswersFromBeforeASuspensionGiveNoFlowUp(t *testing.T) {
	for name, c := range map[string]struct {
		suspended time.Duration
		want      forwarding.Verdict
	}{"not suspended": {100 * time.Millisecond, forwarding.Reset}, "suspended": {5 * time.Second, forwarding.Forward}} {
		core, now := takenOut(t)
		const peers = 4
		core.ReceiveLoads(now, "other", nil, peers)
		p, _ := opened(t, core, now, feedRoute)
		unanswered := p.request()
		core.Decide(now+time.Millisecond, unanswered)
		now, _ = passTime(t, core, now+4*time.Millisecond, now+1500*time.Millisecond, nobody)
		var loads []forwarding.Load
		for _, i := range core.Inquiries(now) {
			core.Asked(now, i.Mark, peers)
			loads = append(loads, forwarding.Load{Mark: i.Mark, AliveAge: clock.Ago(time.Minute)})
		}
		for range 2 {
			core.ReceiveAnswer(now, loads, true)
		}
		if d := core.Decide(now+c.suspended, unanswered); d.Verdict != c.want {
			t.Errorf("%s: %+v", name, d)
		}
	}
}

// A route that the directory lacks may exist as long as the directory was never confirmed.
func TestUnconfirmedDirectoryRefusesNoRoute(t *testing.T) {
	c := forwarding.New(forwarding.Options{Name: "entry", DataCentre: near, Seed: 1})
	c.Adopt(100*time.Millisecond, deployment())
	if d := c.Decide(200*time.Millisecond, newCaller(absentRoute).open(0)); d.Verdict != forwarding.Drop {
		t.Errorf("%+v", d)
	}
	c.Confirm(300*time.Millisecond, clock.At(250*time.Millisecond))
	if d := c.Decide(300*time.Millisecond, newCaller(absentRoute).open(0)); d.Verdict != forwarding.Reset {
		t.Errorf("confirmed: %+v", d)
	}
}

package forwarding_test

import (
	"testing"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/clock"
	"github.com/tanagerweir/tanagerweir/pkg/connection/forwarding"
	"github.com/tanagerweir/tanagerweir/pkg/connection/mark"
)

// Guards against a start of an instance that passes for a sign of life of the servers that it
// is asked about: others took a data centre for within reach again, a silent server for one
// that answers, and one that had ended for one that was started anew.
func TestStartIsNoSignOfLife(t *testing.T) {
	known := serverOf(feedService, near, 1)
	asked := []mark.Mark{mark.Of(known.ID)}
	fresh := newCore(deployment())
	if loads := fresh.AnswerInquiry(200*time.Millisecond, asked); len(loads) > 0 {
		t.Errorf("0.2 s after its start an instance tells of %+v", loads)
	}
	loads := fresh.AnswerInquiry(800*time.Millisecond, asked)
	if len(loads) != 1 || loads[0].AliveAge.Known() {
		t.Errorf("an instance that has seen no sign for 0.8 s tells of %+v", loads)
	}
	opened(t, fresh, time.Second, feedRoute)
	fresh.Tick(time.Second+tick, maxFlow)
	for _, l := range fresh.Loads(time.Second + tick) {
		if l.AliveAge.Known() != (l.Open > 0) {
			t.Errorf("reports %+v", l)
		}
	}
}

// Guards against the same where the word is received: no sign at all is none.
func TestUnseenServersStayLost(t *testing.T) {
	c, now := takenOut(t)
	_, d := opened(t, c, now, feedRoute)
	for c.Served() {
		now, _ = passTime(t, c, now, now+tick, nobody)
	}
	c.ReceiveAnswer(now+tick, []forwarding.Load{{Mark: d.Mark}}, true)
	c.Tick(now+tick, maxFlow)
	if c.Served() {
		t.Error("an answer without any sign of life brings the data centre within reach")
	}
	c.ReceiveAnswer(now+tick, []forwarding.Load{{Mark: d.Mark, AliveAge: clock.Ago(0)}}, true)
	c.Tick(now+tick, maxFlow)
	if !c.Served() {
		t.Error("a sign of life doesn't")
	}
}

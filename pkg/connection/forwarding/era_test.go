package forwarding_test

import (
	"testing"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/clock"
	"github.com/tanagerweir/tanagerweir/pkg/connection/forwarding"
)

// Guards against flows to a backend server that was deleted right after the store returned
// restored: the 2 s after an outage are for entries that the store lacks, which the
// directory keeps itself after a restoration.
func TestDeletedServerIsGoneAtOnceAfterARestoration(t *testing.T) {
	d := configured().WithServer(serverOf(feedService, near, 1))
	for _, confirmedFirst := range []bool{false, true} {
		c := newCore(d)
		end := 20 * time.Second
		if confirmedFirst {
			c.Confirm(end, clock.At(end))
		}
		c.Adopt(end, d.WithEra(2))
		c.Confirm(end, clock.At(end))
		c.Adopt(end+time.Second, configured().WithEra(2))
		if got := c.Decide(end+time.Second, newCaller(feedRoute).open(0)); got.Reason != forwarding.NoServer {
			t.Errorf("confirmed first %v: %+v", confirmedFirst, got)
		}
	}
	// A later outage in the same era is one as before.
	c := newCore(d)
	c.Adopt(time.Second, d.WithEra(2))
	end := 30 * time.Second
	c.Confirm(end, clock.At(end))
	c.Adopt(end, configured().WithEra(2))
	if got := c.Decide(end+time.Second, newCaller(feedRoute).open(0)); got.Verdict != forwarding.Forward {
		t.Errorf("1 s after a later outage: %+v", got)
	}
}

// Guards against an entry of the new era that is ignored since its revision was used by
// the server's entry before.
func TestEntryWithTheSameRevisionInANewEraTakesEffect(t *testing.T) {
	v := serverOf(feedService, near, 1)
	c := newCore(configured().WithServer(v))
	v.Era, v.Draining = 2, true
	c.Adopt(time.Second, configured().WithServer(v).WithEra(2))
	if got := c.Decide(time.Second, newCaller(feedRoute).open(0)); got.Reason != forwarding.NoServer {
		t.Errorf("the only server drains: %+v", got)
	}
	// A cold server gets one flow a second.
	v.Era, v.Draining, v.ColdLeft = 3, false, time.Hour
	c.Adopt(2*time.Second, configured().WithServer(v).WithEra(3))
	c.Decide(2*time.Second, newCaller(feedRoute).open(0))
	if got := c.Decide(2*time.Second, newCaller(feedRoute).open(0)); got.Reason != forwarding.NoServer {
		t.Errorf("the only server is cold: %+v", got)
	}
}

// Guards against a restoration that is taken for a restart of each server whose entry
// changes: flows and what is known of them must stay.
func TestServerWithTheSameStartKeepsItsFlows(t *testing.T) {
	v := serverOf(feedService, near, 1)
	v.StartedMillis = 5
	c := newCore(configured().WithServer(v))
	p, _ := opened(t, c, 0, feedRoute)
	c.Decide(time.Millisecond, p.request())
	v.Era, v.Revision = 2, 9
	c.Adopt(time.Second, configured().WithServer(v).WithEra(2))
	if got := c.Loads(time.Second); len(got) != 1 || got[0].Open != 1 {
		t.Errorf("loads after the restoration: %+v", got)
	}
	v.StartedMillis, v.Revision = 6, 10
	c.Adopt(2*time.Second, configured().WithServer(v).WithEra(2))
	if got := c.Loads(2 * time.Second); len(got) == 1 && got[0].Open != 0 {
		t.Errorf("loads after a restart: %+v", got)
	}
}

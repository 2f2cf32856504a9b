package forwarding_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/tanagerweir/tanagerweir/pkg/clock"
	"github.com/tanagerweir/tanagerweir/pkg/connection/capacity"
	"github.com/tanagerweir/tanagerweir/pkg/connection/forwarding"
	"github.com/tanagerweir/tanagerweir/pkg/connection/mark"
)

var healthOn = forwarding.HealthOptions{Enabled: true}

const (
	faultAt    = 5 * time.Second
	faultLasts = 10 * time.Second
	// worldInstances and worldServers are a deployment in which a sixth of the instances
	// sees each flow, and in which 30 % of the servers are a whole number.
	worldInstances, worldServers = 6, 30
	// worldLoad is the part of the slots that are busy, at which the servers that are left
	// can carry all when 60 % are degraded.
	worldLoad = 0.35
)

// degradedRun plays a fault and returns the world after it.
func degradedRun(seed uint64, kind degradation, part float64, h forwarding.HealthOptions) *healthWorld {
	w := newHealthWorld(seed, worldInstances, worldServers, h)
	w.since = faultAt + time.Second
	w.run(faultAt)
	w.degrade(part, kind)
	w.run(faultAt + faultLasts)
	return w
}

// Servers that pass health probes and yet misbehave must not go on losing requests. What is
// lost or late from the first second of the fault on is compared with the placement
// without health; chance may add a few, and trials a few attempts for each server.
func TestDegradedServersLoseFewRequests(t *testing.T) {
	const chance, trialsPerServer = 4, 5
	for _, kind := range []degradation{slow, errs, shed, hang, resets, mute} {
		for _, part := range []float64{0.1, 0.3, 0.6} {
			t.Run(fmt.Sprintf("%s/part=%.1f", kind, part), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(2) {
					before, after := degradedRun(seed, kind, part, forwarding.HealthOptions{}), degradedRun(seed, kind, part, healthOn)
					t.Logf("%s seed %d: of %d and %d attempts %d and %d lost, %d and %d late, %d and %d requests unserved; at most %d ejected", t.Name(), seed,
						before.attempts, after.attempts, before.lost, after.lost, before.late, after.late, before.unserved, after.unserved, after.greatest)
					share := 5
					if part > 0.3 {
						share = 1
					}
					if after.unserved > before.unserved/share+chance {
						t.Errorf("seed %d: %d requests unserved, %d without health", seed, after.unserved, before.unserved)
					}
					if after.late > before.late/share+chance {
						t.Errorf("seed %d: %d requests late, %d without health", seed, after.late, before.late)
					}
					trials := int(part*worldServers) * trialsPerServer
					if after.lost > before.lost/share+trials {
						t.Errorf("seed %d: %d attempts lost at degraded servers, %d without health", seed, after.lost, before.lost)
					}
					checkEjections(t, after)
				}
			})
		}
	}
}

// checkEjections checks that no healthy server was ejected, and never too many.
func checkEjections(t *testing.T, w *healthWorld) {
	t.Helper()
	for _, v := range w.order {
		if v.kind == none && w.ejections[v.id] > 0 {
			t.Errorf("server %s was ejected %d times and is healthy", v.id, w.ejections[v.id])
		}
	}
	if allowed := int(capacity.DefaultGreatestEjectedPart * float64(len(w.order))); w.greatest > allowed {
		t.Errorf("%d servers were ejected at a time, %d are allowed", w.greatest, allowed)
	}
}

// A crowd makes all servers shed. Ejecting any would add to the load of the others.
func TestCrowdEjectsNone(t *testing.T) {
	for _, load := range []float64{1.2, 2, 4} {
		w := newHealthWorld(1, worldInstances, worldServers, healthOn)
		w.run(faultAt)
		w.rate *= load / worldLoad
		w.run(faultAt + faultLasts)
		if len(w.ejections) > 0 {
			t.Errorf("load %.1f: ejections %v", load, w.ejections)
		}
	}
}

// An instance that loses packets sees failures at all servers, and must eject none by
// itself. At a loss of half of its packets or more, its reports make others suspect servers,
// so that the rest are full for a time; only such a server may be ejected.
func TestInstanceWithLossyLinkEjectsNone(t *testing.T) {
	for _, loss := range []float64{0.05, 0.1, 0.2, 0.5, 0.9} {
		w := newHealthWorld(1, worldInstances, worldServers, healthOn)
		w.run(faultAt)
		w.badInstance, w.loss = 0, loss
		w.run(faultAt + faultLasts)
		for _, v := range w.order {
			if n := w.ejections[v.id]; n > 0 && (v.shed == 0 || loss < 0.5) {
				t.Errorf("loss %.2f: server %s was ejected %d times and shed %d requests", loss, v.id, n, v.shed)
			}
		}
	}
}

// Servers that recover must get their share again soon after the ejection that is under
// way, of at most 16 s.
func TestRecoveredServersReturn(t *testing.T) {
	for _, kind := range []degradation{errs, hang, mute, resets} {
		w := degradedRun(1, kind, 0.3, healthOn)
		w.degrade(0, none)
		w.run(w.now + 20*time.Second)
		for _, v := range w.order {
			v.placed = 0
		}
		w.run(w.now + 5*time.Second)
		for n, v := range w.order {
			if average := 5 * w.rate / float64(len(w.order)); float64(v.placed) < 0.6*average {
				t.Errorf("%s: server %d got %d flows, %.0f on average", kind, n, v.placed, average)
			}
		}
	}
}

// An ejection must outlive the instances that decided it: one that starts later has no
// evidence of its own.
func TestEjectionOutlivesInstances(t *testing.T) {
	w := newHealthWorld(1, worldInstances, worldServers, healthOn)
	w.run(faultAt)
	w.degrade(0.3, shed)
	both := func(v *modelServer) bool { return w.ejected[0][v.id] && w.ejected[1][v.id] }
	for !slices.ContainsFunc(w.order, both) {
		w.run(w.now + 100*time.Millisecond)
		if w.now > faultAt+faultLasts {
			t.Fatal("two instances don't eject a server at the same time")
		}
	}
	c := forwarding.New(forwarding.Options{Name: "entry-9", DataCentre: near, Health: healthOn})
	c.Confirm(w.now, clock.At(w.now))
	c.Adopt(w.now, w.directory)
	for n := range 2 {
		c.ReceiveLoads(w.now, fmt.Sprint("entry-", n), w.cores[n].Loads(w.now), worldInstances)
	}
	for n := range 2 {
		c.Tick(w.now+time.Duration(n)*100*time.Millisecond, maxFlow)
	}
	events := c.HealthEvents()
	for _, e := range events {
		if e.Now != capacity.Ejected || !w.ejected[0][e.Server] || !w.ejected[1][e.Server] {
			t.Errorf("server %s becomes %v", e.Server, e.Now)
		}
	}
	if len(events) == 0 {
		t.Error("the ejections of two instances have no effect on a third")
	}
}

// Requests that can't be repeated are lost with a failure, so they must go to servers with
// proven health while these have room.
func TestUnrepeatableRequestsAvoidDegradedServers(t *testing.T) {
	w := degradedRun(1, errs, 0.6, healthOn)
	bad := w.order[:18]
	placed := 0
	for range 200 {
		p := newCaller(signoffRoute)
		d := w.cores[0].Decide(w.now, p.open(0))
		if slices.ContainsFunc(bad, func(v *modelServer) bool { return v.id == d.Server }) {
			placed++
		}
		reset := p.finish()
		reset.Mark = uint32(d.Mark)
		w.cores[0].Decide(w.now, reset)
	}
	if placed > 0 {
		t.Errorf("%d of 200 unrepeatable requests went to degraded servers", placed)
	}
}

// Reports fit into a datagram of 1,400 bytes, and each server that gets requests is
// reported in turn.
func TestHealthReportsTakeTurns(t *testing.T) {
	w := newHealthWorld(1, 2, 150, healthOn)
	w.run(faultAt)
	reported := make(map[uint32]bool)
	for range 20 {
		loads := w.cores[0].Loads(w.now)
		if len(loads) > 36 {
			t.Fatalf("%d loads in a report", len(loads))
		}
		for _, l := range loads {
			reported[uint32(l.Mark)] = true
		}
	}
	if len(reported) < 140 {
		t.Errorf("%d of 150 servers reported", len(reported))
	}
}

// Guards against health that was compared with the servers of another service.
func TestServerOfAnotherServiceStartsWithoutEvidence(t *testing.T) {
	d := configured().WithServer(serverOf(feedService, near, 1))
	c := forwarding.New(forwarding.Options{Name: "entry", DataCentre: near, Seed: 1, Health: healthOn})
	c.Confirm(0, clock.At(1))
	c.Adopt(0, d)
	p, _ := opened(t, c, time.Second, feedRoute)
	c.Decide(time.Second, p.request())
	c.Decide(time.Second+40*time.Millisecond, p.acknowledge())
	c.Decide(time.Second+50*time.Millisecond, p.finish())
	answered := func() float64 {
		total := 0.0
		for _, l := range c.AnswerInquiry(2*time.Second, []mark.Mark{p.markNumber()}) {
			total += l.Evidence.Answered
		}
		return total
	}
	if answered() == 0 {
		t.Fatal("no evidence of an answer")
	}
	moved := serverOf(feedService, near, 1)
	moved.Service, moved.Revision = ledgerService, 2
	c.Adopt(2*time.Second, d.WithServer(moved))
	if n := answered(); n != 0 {
		t.Errorf("evidence of %v answers of the other service", n)
	}
}

// Guards against limits in time that two instances extend by turns, as each report is older
// than it says.
func TestAgedLoadEndsEarlier(t *testing.T) {
	l := forwarding.Load{AliveAge: clock.Ago(time.Second), FailedAge: 2 * time.Second, ColdLeft: 500 * time.Millisecond, EjectedLeft: time.Millisecond}
	want := forwarding.Load{AliveAge: clock.Ago(1100 * time.Millisecond), FailedAge: 2100 * time.Millisecond, ColdLeft: 400 * time.Millisecond, EjectedLeft: time.Millisecond}
	if d := cmp.Diff(want, l.Aged(100*time.Millisecond)); d != "" {
		t.Error(d)
	}
	if got := (forwarding.Load{ColdLeft: 50 * time.Millisecond, EjectedLeft: time.Second}).Aged(100 * time.Millisecond); got.ColdLeft != 0 || got.EjectedLeft != 900*time.Millisecond {
		t.Errorf("cold for %v, ejected for %v", got.ColdLeft, got.EjectedLeft)
	}
}

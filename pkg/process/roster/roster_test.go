package roster_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/tanagerweir/tanagerweir/pkg/process/roster"
)

// Targets stated in docs/design/membership.md.
const (
	deathLimit = roster.RemovedWithin // until a dead instance is out of all views
	leaveLimit = 5 * time.Second      // until an instance that announced its leaving is out of all views
	healLimit  = 60 * time.Second     // until all views agree after a partition
	byteLimit  = 3_000                // bytes of control messages a second that an instance may send
)

var sizes = []int{9, 90, 490}

// An instance stops without leaving. All others must find out within the
// limit, and none of them may be declared dead with it.
func TestDeadInstanceIsOutOfAllViewsInTime(t *testing.T) {
	for _, size := range sizes {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			f := newFleet(size, 7)
			f.run(20*time.Second, nil)
			dead := f.nodes[size/2]
			dead.down = true
			took := f.run(deathLimit, func() bool { return f.seenBy(dead.self.Name) == 0 })
			if left := f.seenBy(dead.self.Name); left > 0 {
				t.Errorf("%d of %d instances still see it after %s", left, size-1, took)
			}
			if wrong := f.falseDeaths(); wrong > 0 {
				t.Errorf("%d living instances are taken for dead", wrong)
			}
			t.Logf("out of all views after %s", took)
		})
	}
}

// An instance announces its leaving to its neighbours and stops, while 5 % of
// the messages are lost. The change must reach all others all the same.
func TestLeavingInstanceIsOutOfAllViewsInTime(t *testing.T) {
	for _, size := range sizes {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			f := newFleet(size, 8)
			f.run(20*time.Second, nil)
			f.loss = 0.05
			gone := f.nodes[size/2]
			gone.core.Leave()
			for _, m := range gone.core.Neighbours(f.now) {
				f.exchangeWith(gone, m)
			}
			gone.down = true
			took := f.run(leaveLimit, func() bool { return f.seenBy(gone.self.Name) == 0 })
			if left := f.seenBy(gone.self.Name); left > 0 {
				t.Errorf("%d of %d instances still see it after %s", left, size-1, took)
			}
			t.Logf("out of all views after %s", took)
		})
	}
}

// 5 % of the messages are lost, so that about a tenth of all exchanges fail. No
// instance that runs may be declared dead over it.
func TestMessageLossCausesNoFalseDeaths(t *testing.T) {
	f := newFleet(90, 9)
	f.loss = 0.05
	f.run(5*time.Minute, func() bool { return f.falseDeaths() > 0 })
	if wrong := f.falseDeaths(); wrong > 0 {
		t.Errorf("%d living instances are taken for dead after %s with a tenth of all exchanges failing", wrong, f.now.Sub(start))
	}
}

// Only the path between two neighbours is cut. Each keeps suspecting the other;
// the suspicions have to be refuted through other neighbours.
func TestCutBetweenTwoInstancesMarksNeitherDead(t *testing.T) {
	f := newFleet(30, 10)
	f.run(20*time.Second, nil)
	one := f.nodes[3]
	otherName := one.core.Neighbours(f.now)[0].Name
	f.cut = func(a, b *node) bool {
		return a == one && b.self.Name == otherName || b == one && a.self.Name == otherName
	}
	f.run(5*time.Minute, func() bool { return f.falseDeaths() > 0 })
	if wrong := f.falseDeaths(); wrong > 0 {
		t.Errorf("%d living instances are taken for dead since one can't reach another", wrong)
	}
}

// One data centre is cut off for longer than ForgetAfter, so each side
// declares the other dead. After the cut heals the sides must find each other
// again.
func TestPartitionedDataCentresHealToOneView(t *testing.T) {
	for _, size := range []int{9, 90} {
		f := newFleet(size, 11)
		f.run(20*time.Second, nil)
		f.cut = func(a, b *node) bool {
			return (a.self.DataCentre == "dakar-1") != (b.self.DataCentre == "dakar-1")
		}
		f.run(15*time.Minute, nil)
		for _, n := range f.nodes {
			for _, other := range f.nodes {
				if got, want := alive(n.core, f.now, other.self.Name), !f.cut(n, other); got != want {
					t.Fatalf("%d: cut off, %s sees %s alive: %v, want %v", size, n.self.Name, other.self.Name, got, want)
				}
			}
		}
		f.cut = func(_, _ *node) bool { return false }
		took := f.run(healLimit, func() bool { return f.falseDeaths() == 0 })
		if wrong := f.falseDeaths(); wrong > 0 {
			t.Errorf("%d: %d pairs don't see each other %s after the partition healed", size, wrong, took)
		}
		t.Logf("%d: healed after %s", size, took)
	}
}

// An instance starts while the platform is down and knows one peer endpoint
// from its settings only.
func TestEmptyInstanceLearnsTheFleetFromASeed(t *testing.T) {
	f := newFleet(90, 12)
	f.run(20*time.Second, nil)
	empty := f.add(member(90))
	empty.core.Seed([]netip.AddrPort{f.nodes[5].self.Peer})
	f.run(30*time.Second, func() bool { return f.falseDeaths() == 0 })
	if wrong := f.falseDeaths(); wrong > 0 {
		t.Errorf("%d pairs don't see each other with the platform down", wrong)
	}
}

// An instance dies and restarts at another peer endpoint. The others must see
// it alive, and none may keep its old endpoint.
func TestRestartedInstanceIsAliveAgainAtItsNewEndpoints(t *testing.T) {
	f := newFleet(9, 13)
	f.run(20*time.Second, nil)
	old := f.nodes[4]
	old.down = true
	f.run(deathLimit, nil)
	again := old.self
	again.Incarnation++
	again.Peer = netip.MustParseAddrPort("10.9.9.9:7005")
	f.add(again).core.Seed([]netip.AddrPort{f.nodes[0].self.Peer})
	f.run(deathLimit, nil)
	for _, n := range f.nodes {
		for _, m := range n.core.Alive(f.now) {
			if m.Name == again.Name && m.Peer != again.Peer && !n.down {
				t.Errorf("%s has the restarted instance at %s", n.self.Name, m.Peer)
			}
		}
	}
	if seen := f.seenBy(again.Name); seen != 8 {
		t.Errorf("%d of 8 instances see it", seen)
	}
}

// The platform's list lags: it still has a dead instance and lacks a live
// one. Only its leaving state may change who is alive.
func TestLaggingListNeverRevivesADeadMember(t *testing.T) {
	f := newFleet(9, 14)
	f.run(20*time.Second, nil)
	dead := f.nodes[4]
	dead.down = true
	f.run(deathLimit, nil)
	var list []roster.Member
	for _, n := range f.nodes {
		list = append(list, n.self)
	}
	list[7].Leaving = true
	got := map[string]bool{}
	for _, n := range f.nodes[:2] {
		n.core.ApplyList(f.now, list)
		got["dead at "+n.self.Name] = alive(n.core, f.now, dead.self.Name)
		got["leaving at "+n.self.Name] = alive(n.core, f.now, list[7].Name)
		n.core.ApplyList(f.now, nil)
		got["missing at "+n.self.Name] = alive(n.core, f.now, list[8].Name)
	}
	want := map[string]bool{}
	for _, n := range f.nodes[:2] {
		want["dead at "+n.self.Name] = false
		want["leaving at "+n.self.Name] = false
		want["missing at "+n.self.Name] = true
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("alive (-want +got):\n%s", diff)
	}
}

// Records arrive in any order, and repeatedly. The member's record has to be
// the newest received, whatever the order.
func TestOlderRecordNeverOverridesANewerOne(t *testing.T) {
	m := member(1)
	records := []roster.Member{m, m, m, m}
	records[1].Health = roster.Suspect
	records[2].Heartbeat, records[2].Leaving = 1, true
	records[3].Heartbeat, records[3].Leaving, records[3].Health = 1, true, roster.Suspect
	for first := range records {
		for second := range records {
			c := roster.New(member(0), 1)
			c.Receive(start, roster.Message{Members: []roster.Member{records[0], records[first], records[second], records[0]}})
			if diff := cmp.Diff(records[max(first, second)], c.Members()[1], cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })); diff != "" {
				t.Errorf("records %d and %d (-want +got):\n%s", first, second, diff)
			}
		}
	}
}

// One instance leaves every 10 s. The changes to spread must not make
// messages or the rate of control bytes exceed their bounds.
func TestControlBytesStayBoundedWhileInstancesAreReplaced(t *testing.T) {
	for _, size := range []int{9, 90} {
		f := newFleet(size, 15)
		f.run(30*time.Second, nil)
		f.bytes = 0
		const minute = 60
		for n := range 6 {
			f.nodes[n].core.Leave()
			f.run(minute/6*time.Second, nil)
		}
		if f.maxRecords > roster.RecordsPerMessage {
			t.Errorf("%d instances: a message holds %d records", size, f.maxRecords)
		}
		rate := float64(f.bytes) / minute / float64(size)
		if rate > byteLimit {
			t.Errorf("%d instances: %.0f bytes a second", size, rate)
		}
		t.Logf("%d instances, one leaves every 10 s: %.0f bytes a second", size, rate)
	}
}

package membership_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/clock"
	"github.com/tanagerweir/tanagerweir/pkg/process/membership"
)

// fleet is a set of instances that exchange hellos, with a simulated clock.
type fleet struct {
	now     time.Duration
	cores   []*membership.Core
	members []membership.Member
	// indexOf maps an instance's endpoint to its index.
	indexOf map[netip.AddrPort]int
	// cut reports whether messages from one instance to another are lost.
	cut func(from, to int) bool
	// storeReachable reports whether an instance reaches the store.
	storeReachable func(i int) bool
	// storeCalls and messages count what was sent.
	storeCalls int
	messages   int
}

const (
	period = 250 * time.Millisecond
	// fanout is how many peers an instance can send its loads to in one period with
	// 3 KB/s.
	fanout = 2
)

func newFleet(centres, each int) *fleet {
	f := &fleet{cut: func(int, int) bool { return false }, storeReachable: func(int) bool { return true }}
	for c := range centres {
		for i := range each {
			f.members = append(f.members, membership.Member{
				Name: fmt.Sprintf("entry-%d-%d", c, i), DataCentre: fmt.Sprintf("centre-%d", c),
				Endpoint: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(c), 0, byte(i)}), 7720),
			})
		}
	}
	f.indexOf = make(map[netip.AddrPort]int)
	for i, m := range f.members {
		f.indexOf[m.Endpoint] = i
		core := membership.New(m, nil, uint64(i))
		core.SetRegistered(0, f.members)
		core.Confirm(0)
		f.cores = append(f.cores, core)
	}
	return f
}

// run simulates a span of time: followers read the store, and all instances send
// hellos to their peers.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += period {
		for i, core := range f.cores {
			if core.UpdateFollowing(f.now) {
				f.storeCalls++
				if f.storeReachable(i) {
					core.Confirm(f.now)
				}
			}
			h := core.Hello(f.now)
			h.Revision = 1
			for _, endpoint := range core.PeriodPeers(fanout) {
				f.messages++
				if to := f.indexOf[endpoint]; !f.cut(i, to) {
					f.cores[to].ReceiveHello(f.now, h, true)
				}
			}
		}
	}
}

func (f *fleet) followers() int {
	n := 0
	for _, core := range f.cores {
		if core.Following() {
			n++
		}
	}
	return n
}

// never is the age of a confirmation that an instance lacks.
const never = time.Hour

// oldest returns the age of the oldest confirmation of any instance.
func (f *fleet) oldest() time.Duration {
	var oldest time.Duration
	for _, core := range f.cores {
		oldest = max(oldest, core.ConfirmedAge(f.now).Or(never))
	}
	return oldest
}

// In a fleet of any size one instance must follow the store, and no replica may
// become stale.
func TestOneInstanceFollowsInAnyFleet(t *testing.T) {
	for _, size := range [][2]int{{1, 1}, {3, 3}, {5, 17}, {9, 54}} {
		f := newFleet(size[0], size[1])
		f.run(30 * time.Second)
		if got := f.followers(); got != 1 {
			t.Errorf("%d data centres of %d: %d follow", size[0], size[1], got)
		}
		if f.oldest() > f.cores[0].MaxConfirmedAge() {
			t.Errorf("%d data centres of %d: a replica is %v old", size[0], size[1], f.oldest())
		}
	}
}

// When the follower is cut off, another instance must follow before replicas become
// stale.
func TestAnotherFollowsWhenTheFollowerFallsSilent(t *testing.T) {
	f := newFleet(1, 6)
	f.run(5 * time.Second)
	follower := -1
	for i, core := range f.cores {
		if core.Following() {
			follower = i
		}
	}
	f.cut = func(from, to int) bool { return from == follower || to == follower }
	f.run(3 * time.Second)
	for i, core := range f.cores {
		if i != follower && !core.ConfirmedAge(f.now).AtMost(core.MaxConfirmedAge()) {
			t.Errorf("instance %d has a replica of age %v", i, core.ConfirmedAge(f.now))
		}
	}
}

// A data centre whose instances can't reach the store must get confirmations through
// the other data centres.
func TestDataCentreWithoutStoreIsConfirmedByOthers(t *testing.T) {
	f := newFleet(3, 3)
	f.run(5 * time.Second)
	f.storeReachable = func(i int) bool { return i >= 3 }
	f.run(10 * time.Second)
	if f.oldest() > 3*time.Second {
		t.Errorf("a replica is %v old", f.oldest())
	}
}

// While the fleet is split, each side needs a follower; after the split only one of
// them may go on.
func TestBothSidesOfACutFollowAndOneStopsAfterIt(t *testing.T) {
	f := newFleet(1, 8)
	f.run(5 * time.Second)
	f.cut = func(from, to int) bool { return from%2 != to%2 }
	f.run(5 * time.Second)
	if f.followers() < 2 || f.oldest() > 2*time.Second {
		t.Errorf("during the cut %d follow, a replica is %v old", f.followers(), f.oldest())
	}
	f.cut = func(int, int) bool { return false }
	f.run(3 * time.Second)
	if f.followers() != 1 {
		t.Errorf("after the cut %d follow", f.followers())
	}
}

// Instances that ended must not get messages for ever.
func TestUnregisteredSilentInstancesAreForgotten(t *testing.T) {
	f := newFleet(1, 3)
	f.run(2 * time.Second)
	f.cores[0].SetRegistered(f.now+time.Minute, f.members[:2])
	if near := f.cores[0].DataCentrePeers(); len(near) != 1 || near[0] != f.members[1].Endpoint {
		t.Errorf("near: %v", near)
	}
}

// An instance that announces that it leaves must not count as alive any longer.
func TestLeavingInstanceIsNotAlive(t *testing.T) {
	f := newFleet(1, 3)
	f.run(2 * time.Second)
	if got := f.cores[0].AliveCount(f.now); got != 2 {
		t.Fatalf("%d alive", got)
	}
	f.cores[0].ReceiveHello(f.now, membership.Hello{From: f.members[1], Leaving: true}, false)
	if got := f.cores[0].AliveCount(f.now); got != 1 {
		t.Errorf("%d alive", got)
	}
}

// An instance that knows no others must contact its seeds, which may include its own
// endpoint.
func TestNewInstanceContactsItsSeedsButNotItself(t *testing.T) {
	self := membership.Member{Name: "entry", Endpoint: netip.MustParseAddrPort("10.0.0.1:7720")}
	other := netip.MustParseAddrPort("10.0.0.2:7720")
	core := membership.New(self, []netip.AddrPort{self.Endpoint, other}, 1)
	if got := core.PeriodPeers(fanout); len(got) != 1 || got[0] != other {
		t.Errorf("contacts %v", got)
	}
}

// BenchmarkFleet counts calls to the store and messages between instances in a
// fleet without changes, 10 s after its start.
func BenchmarkFleet(b *testing.B) {
	for _, size := range [][2]int{{3, 3}, {5, 18}, {9, 54}} {
		b.Run(fmt.Sprintf("Instances=%d", size[0]*size[1]), func(b *testing.B) {
			for b.Loop() {
				f := newFleet(size[0], size[1])
				f.run(10 * time.Second)
				f.storeCalls, f.messages = 0, 0
				const measured = 20 * time.Second
				f.run(measured)
				// A follower's watch of 0.8 s is one call for several periods.
				b.ReportMetric(float64(f.storeCalls)*period.Seconds()/0.8/measured.Seconds(), "calls/s")
				b.ReportMetric(float64(f.messages)/measured.Seconds()/float64(len(f.cores)), "words/s/instance")
				b.ReportMetric(float64(f.followers()), "followers")
			}
		})
	}
}

// After all instances have restarted together none follows, and backend servers may
// turn cold meanwhile, so one must follow soon without all of them calling the store.
func TestInstancesThatStartTogetherSoonHaveAFollower(t *testing.T) {
	for _, each := range []int{3, 30, 160} {
		f := newFleet(3, each)
		f.run(750 * time.Millisecond)
		earlyCalls := f.storeCalls
		if earlyCalls == 0 {
			t.Errorf("3 times %d instances: nobody follows 0.75 s after the start", each)
		}
		f.run(4 * time.Second)
		if n := f.followers(); n != 1 {
			t.Errorf("3 times %d instances: %d follow later, want 1", each, n)
		}
		// Each has read the store once at its start already.
		if earlyCalls > 3*each/2 {
			t.Errorf("3 times %d instances: %d calls right after the start", each, earlyCalls)
		}
	}
}

// A new instance that learns of a follower must not follow too, although its own
// replica is still older.
func TestNewInstanceDoesNotFollowBesideAKnownFollower(t *testing.T) {
	f := newFleet(1, 2)
	f.run(4 * time.Second)
	newcomer := membership.New(membership.Member{Name: "new", DataCentre: "centre-0"}, nil, 3)
	newcomer.SetRegistered(f.now, f.members)
	newcomer.Confirm(f.now)
	for _, core := range f.cores {
		h := core.Hello(f.now)
		h.Revision = 1
		newcomer.ReceiveHello(f.now, h, false)
	}
	if newcomer.UpdateFollowing(f.now + time.Second) {
		t.Error("an instance follows beside a follower that it knows of")
	}
}

// TestOthersWaitForAFollowerThatReceives guards against a fleet in which all instances
// read a large change at once since its follower takes long to receive it.
func TestOthersWaitForAFollowerThatReceives(t *testing.T) {
	follower := membership.Member{Name: "entry-1", DataCentre: "centre", Endpoint: netip.MustParseAddrPort("10.0.0.1:7720")}
	for _, c := range []struct {
		name string
		// progressAge returns how long ago the follower received something.
		progressAge func(now time.Duration) time.Duration
		bound, want time.Duration
	}{
		{"receives", func(time.Duration) time.Duration { return 50 * time.Millisecond }, 0, 5 * time.Second},
		{"receives, a long bound", func(time.Duration) time.Duration { return 50 * time.Millisecond }, time.Minute, 5 * time.Second},
		{"receives, a bound of 3 s", func(time.Duration) time.Duration { return 50 * time.Millisecond }, 3 * time.Second, 2200 * time.Millisecond},
		{"stops to receive", func(now time.Duration) time.Duration { return max(now-2*time.Second, 0) }, 0, 2*time.Second + membership.StaleAfter},
		{"receives nothing", func(now time.Duration) time.Duration { return now }, 0, membership.StaleAfter},
	} {
		t.Run(c.name, func(t *testing.T) {
			core := membership.New(membership.Member{Name: "entry-2", DataCentre: "centre"}, nil, 1)
			core.SetBound(c.bound)
			core.Confirm(0)
			followsAt := time.Duration(0)
			for now := time.Duration(0); followsAt == 0 && now < time.Minute; now += period {
				core.ReceiveHello(now, membership.Hello{From: follower, Following: true, ConfirmedAge: clock.Ago(now), Follower: follower.Name, FollowerAge: clock.Ago(c.progressAge(now))}, true)
				if core.UpdateFollowing(now) {
					followsAt = now
				}
			}
			const jitter = 400 * time.Millisecond
			if followsAt < c.want || followsAt > c.want+jitter+2*period {
				t.Errorf("follows at %v, want %v", followsAt, c.want)
			}
		})
	}
}

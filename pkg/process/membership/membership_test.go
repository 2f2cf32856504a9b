package membership_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/process/membership"
)

// fleet is instances that hear each other, driven by a clock of its own.
type fleet struct {
	now   time.Duration
	cores []*membership.Core
	names []membership.Member
	// places finds an instance by its endpoint.
	places map[netip.AddrPort]int
	// cut says whether one instance can't hear another.
	cut func(from, to int) bool
	// store says whether an instance reaches the store.
	store func(i int) bool
	calls int
	words int
}

const (
	period = 250 * time.Millisecond
	// fan is how many others hear of loads in one period at 3 KB/s.
	fan = 2
)

func newFleet(centres, each int) *fleet {
	f := &fleet{cut: func(int, int) bool { return false }, store: func(int) bool { return true }}
	for c := range centres {
		for i := range each {
			f.names = append(f.names, membership.Member{
				Name: fmt.Sprintf("entry-%d-%d", c, i), DataCentre: fmt.Sprintf("centre-%d", c),
				Endpoint: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(c), 0, byte(i)}), 7720),
			})
		}
	}
	f.places = make(map[netip.AddrPort]int)
	for i, m := range f.names {
		f.places[m.Endpoint] = i
		core := membership.New(m, nil, uint64(i))
		core.Know(0, f.names)
		core.Confirm(0)
		f.cores = append(f.cores, core)
	}
	return f
}

// run lets time pass: followers confirm from the store, and all tell their peers.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += period {
		for i, core := range f.cores {
			if core.Follows(f.now) {
				f.calls++
				if f.store(i) {
					core.Confirm(f.now)
				}
			}
			h := core.Hello(f.now)
			h.Revision = 1
			for _, at := range core.Peers(fan) {
				f.words++
				if to := f.places[at]; !f.cut(i, to) {
					f.cores[to].Hear(f.now, h, true)
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

func (f *fleet) oldest() time.Duration {
	var oldest time.Duration
	for _, core := range f.cores {
		oldest = max(oldest, core.ConfirmedAge(f.now))
	}
	return oldest
}

func TestOneInstanceFollowsInAnyFleet(t *testing.T) {
	for _, size := range [][2]int{{1, 1}, {3, 3}, {5, 17}, {9, 54}} {
		f := newFleet(size[0], size[1])
		f.run(30 * time.Second)
		if got := f.followers(); got != 1 {
			t.Errorf("%d data centres of %d: %d follow", size[0], size[1], got)
		}
		if f.oldest() > f.cores[0].Patience() {
			t.Errorf("%d data centres of %d: a copy is %v old", size[0], size[1], f.oldest())
		}
	}
}

func TestAnotherFollowsWhenTheFollowerFallsSilent(t *testing.T) {
	f := newFleet(1, 6)
	f.run(5 * time.Second)
	silent := -1
	for i, core := range f.cores {
		if core.Following() {
			silent = i
		}
	}
	f.cut = func(from, to int) bool { return from == silent || to == silent }
	f.run(3 * time.Second)
	for i, core := range f.cores {
		if i != silent && core.ConfirmedAge(f.now) > core.Patience() {
			t.Errorf("instance %d has a copy of %v", i, core.ConfirmedAge(f.now))
		}
	}
}

func TestDataCentreThatTheStoreTurnsAwayHearsFromOthers(t *testing.T) {
	f := newFleet(3, 3)
	f.run(5 * time.Second)
	f.store = func(i int) bool { return i >= 3 }
	f.run(10 * time.Second)
	if f.oldest() > 3*time.Second {
		t.Errorf("a copy is %v old", f.oldest())
	}
}

func TestBothSidesOfACutFollowAndOneStopsAfterIt(t *testing.T) {
	f := newFleet(1, 8)
	f.run(5 * time.Second)
	f.cut = func(from, to int) bool { return from%2 != to%2 }
	f.run(5 * time.Second)
	if f.followers() < 2 || f.oldest() > 2*time.Second {
		t.Errorf("during the cut %d follow, a copy is %v old", f.followers(), f.oldest())
	}
	f.cut = func(int, int) bool { return false }
	f.run(3 * time.Second)
	if f.followers() != 1 {
		t.Errorf("after the cut %d follow", f.followers())
	}
}

func TestUnregisteredSilentInstancesAreForgotten(t *testing.T) {
	f := newFleet(1, 3)
	f.run(2 * time.Second)
	f.cores[0].Know(f.now+time.Minute, f.names[:2])
	if near := f.cores[0].Near(); len(near) != 1 || near[0] != f.names[1].Endpoint {
		t.Errorf("near: %v", near)
	}
}

func TestLeavingInstanceIsNotAlive(t *testing.T) {
	f := newFleet(1, 3)
	f.run(2 * time.Second)
	if got := f.cores[0].Alive(f.now); got != 2 {
		t.Fatalf("%d alive", got)
	}
	f.cores[0].Hear(f.now, membership.Hello{From: f.names[1], Leaving: true}, false)
	if got := f.cores[0].Alive(f.now); got != 1 {
		t.Errorf("%d alive", got)
	}
}

func TestBlankInstanceAsksItsSeedsButNotItself(t *testing.T) {
	self := membership.Member{Name: "entry", Endpoint: netip.MustParseAddrPort("10.0.0.1:7720")}
	other := netip.MustParseAddrPort("10.0.0.2:7720")
	core := membership.New(self, []netip.AddrPort{self.Endpoint, other}, 1)
	if got := core.Peers(fan); len(got) != 1 || got[0] != other {
		t.Errorf("asks %v", got)
	}
}

// BenchmarkFleet counts calls to the store and words between instances in a quiet
// fleet, once its members have settled.
func BenchmarkFleet(b *testing.B) {
	for _, size := range [][2]int{{3, 3}, {5, 18}, {9, 54}} {
		b.Run(fmt.Sprintf("Instances=%d", size[0]*size[1]), func(b *testing.B) {
			for b.Loop() {
				f := newFleet(size[0], size[1])
				f.run(10 * time.Second)
				f.calls, f.words = 0, 0
				const measured = 20 * time.Second
				f.run(measured)
				// A follower's wait of 0.8 s covers several periods.
				b.ReportMetric(float64(f.calls)*period.Seconds()/0.8/measured.Seconds(), "calls/s")
				b.ReportMetric(float64(f.words)/measured.Seconds()/float64(len(f.cores)), "words/s/instance")
				b.ReportMetric(float64(f.followers()), "followers")
			}
		})
	}
}

// After all instances were lost together nobody follows, and backend servers may
// turn cold meanwhile.
func TestInstancesThatStartTogetherSoonHaveAFollower(t *testing.T) {
	for _, each := range []int{3, 30, 160} {
		f := newFleet(3, each)
		f.run(750 * time.Millisecond)
		early := f.calls
		if early == 0 {
			t.Errorf("3 times %d instances: nobody follows 0.75 s after the start", each)
		}
		f.run(4 * time.Second)
		if n := f.followers(); n != 1 {
			t.Errorf("3 times %d instances: %d follow later, want 1", each, n)
		}
		// Each has read the store once at its start already.
		if early > 3*each/2 {
			t.Errorf("3 times %d instances: %d calls right after the start", each, early)
		}
	}
}

func TestInstanceThatHearsOfAFollowerLeavesItTheStore(t *testing.T) {
	f := newFleet(1, 2)
	f.run(4 * time.Second)
	started := membership.New(membership.Member{Name: "new", DataCentre: "centre-0"}, nil, 3)
	started.Know(f.now, f.names)
	started.Confirm(f.now)
	for _, core := range f.cores {
		h := core.Hello(f.now)
		h.Revision = 1
		started.Hear(f.now, h, false)
	}
	if started.Follows(f.now + time.Second) {
		t.Error("an instance follows beside another that it hears of")
	}
}

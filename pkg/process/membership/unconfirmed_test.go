package membership_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/tanagerweir/tanagerweir/pkg/clock"
	"github.com/tanagerweir/tanagerweir/pkg/process/membership"
)

// Guards against an instance that knows nothing yet and says how long ago it started instead:
// no age that it sends may be that of its start, whether it has keys or not.
func TestHelloOfANewInstanceConfirmsNothing(t *testing.T) {
	self, other := pair(t)
	fresh := membership.New(self, nil, 1)
	h := fresh.Hello(200 * time.Millisecond)
	if d := cmp.Diff([]clock.Age{{}, {}}, []clock.Age{h.ConfirmedAge, h.FollowerAge}); d != "" {
		t.Error(d)
	}
	for _, current := range []bool{false, true} {
		core := membership.New(other, nil, 1)
		core.Confirm(time.Minute)
		h.Revision = 8
		core.ReceiveHello(time.Minute+time.Second, h, current)
		if got := core.ConfirmedAge(time.Minute + time.Second); got != clock.Ago(time.Second) {
			t.Errorf("current %v: the replica counts as confirmed %v ago", current, got)
		}
		if got := core.ReadAge(time.Minute + time.Second); got.Known() {
			t.Errorf("current %v: a follower received something %v ago", current, got)
		}
	}
}

// An instance that was never confirmed must read the store itself as soon as one that was
// confirmed when it started.
func TestUnconfirmedInstanceFollowsSoonAfterItsStart(t *testing.T) {
	self, other := pair(t)
	core := membership.New(self, nil, 1)
	hello := membership.Hello{From: other, Following: true, Follower: other.Name, FollowerAge: clock.Ago(0)}
	core.ReceiveHello(0, hello, false)
	now := time.Duration(0)
	for ; !core.UpdateFollowing(now) && now < time.Minute; now += period {
		continue
	}
	const jitter = 400 * time.Millisecond
	if now < membership.StaleAfter || now > membership.StaleAfter+jitter+period {
		t.Errorf("follows %v after its start", now)
	}
}

// Guards against a start whose reading of all keys passes for a follower that receives a
// change: the reading was given up as the keys came from another instance, and all others
// waited for it for another 1.7 to 2.1 s.
func TestReadingAtTheStartIsNoProgressOfAFollower(t *testing.T) {
	self, _ := pair(t)
	core := membership.New(self, nil, 1)
	core.Progress(100 * time.Millisecond)
	if h := core.Hello(200 * time.Millisecond); h.FollowerAge.Known() {
		t.Errorf("an instance that doesn't follow tells of progress %v ago", h.FollowerAge)
	}
	now := 10 * time.Second
	if !core.UpdateFollowing(now) {
		t.Fatal("doesn't follow")
	}
	core.Progress(now)
	if h := core.Hello(now); h.FollowerAge != clock.Ago(0) {
		t.Errorf("a follower tells of progress %v ago", h.FollowerAge)
	}
}

// Guards against an instance that begins to read the store, since its replica is stale, and
// stops before it has read anything, as a follower of lower rank still receives a change.
func TestStaleInstanceReadsOnBesideASlowFollower(t *testing.T) {
	stopped := 0
	for _, reversed := range []bool{false, true} {
		self, other := pair(t)
		if reversed {
			self, other = other, self
		}
		core := membership.New(self, nil, 1)
		core.SetRegistered(0, []membership.Member{self, other})
		core.Confirm(0)
		now := 10 * time.Second
		core.UpdateFollowing(now)
		slow := following(other, 0, 8)
		slow.ConfirmedAge = clock.Ago(now)
		core.ReceiveHello(now, slow, true)
		if !core.Following() {
			t.Errorf("reversed %v: stopped for a follower that confirms nothing", reversed)
		}
		core.Confirm(now)
		core.ReceiveHello(now, slow, true)
		if !core.Following() {
			stopped++
		}
	}
	if stopped != 1 {
		t.Errorf("%d of two stopped once their replicas were confirmed", stopped)
	}
}

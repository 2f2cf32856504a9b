package membership_test

import (
	"testing"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/clock"
	"github.com/tanagerweir/tanagerweir/pkg/process/membership"
)

func pair(t *testing.T) (one, other membership.Member) {
	t.Helper()
	f := newFleet(1, 2)
	return f.members[0], f.members[1]
}

// following returns the hello of a follower that has just read the store.
func following(from membership.Member, era, revision uint64) membership.Hello {
	return membership.Hello{
		From: from, Era: era, Revision: revision, ConfirmedAge: clock.Ago(0), Following: true, Follower: from.Name, FollowerAge: clock.Ago(0),
	}
}

// Guards against a follower that is cut off with the older era: it may neither confirm a
// replica of the newer era, nor keep its instance from following the store.
func TestHelloOfAnOlderEraConfirmsNothing(t *testing.T) {
	self, other := pair(t)
	for _, era := range []uint64{0, 1} {
		core := membership.New(self, nil, 1)
		core.SetRegistered(0, []membership.Member{self, other})
		core.Confirm(0)
		core.SetEra(2)
		now := time.Duration(0)
		for ; now < 3*time.Second; now += period {
			// The older era's revision is the higher one, so that "current" is false.
			core.ReceiveHello(now, following(other, era, 900), false)
		}
		if !core.UpdateFollowing(now) || core.Follower() != "" {
			t.Errorf("era %d: following %v, follower %q", era, core.Following(), core.Follower())
		}
		if core.AliveCount(now) != 1 {
			t.Errorf("era %d: the sender isn't alive", era)
		}
	}
}

// Guards against two followers of which the one with the newer era stops, so that nobody
// reads the restored store.
func TestFollowerOfTheNewerEraGoesOnAndTheOtherStops(t *testing.T) {
	for _, reversed := range []bool{false, true} {
		older, newer := pair(t)
		if reversed {
			older, newer = newer, older
		}
		core := membership.New(newer, nil, 1)
		core.SetRegistered(0, []membership.Member{older, newer})
		core.SetEra(2)
		now := time.Minute
		core.UpdateFollowing(now)
		core.Confirm(now)
		core.ReceiveHello(now, following(older, 1, 900), false)
		if !core.Following() {
			t.Errorf("reversed %v: the follower of the newer era stopped", reversed)
		}
	}
	// Of the other instance, only the rank decides, once its replica is confirmed.
	stopped := 0
	for _, reversed := range []bool{false, true} {
		older, newer := pair(t)
		if reversed {
			older, newer = newer, older
		}
		core := membership.New(older, nil, 1)
		core.SetRegistered(0, []membership.Member{older, newer})
		core.SetEra(1)
		core.UpdateFollowing(time.Minute)
		core.Confirm(time.Minute)
		core.ReceiveHello(time.Minute, following(newer, 2, 5), false)
		if !core.Following() {
			stopped++
		}
	}
	if stopped != 1 {
		t.Errorf("%d of two stopped", stopped)
	}
}

// Guards against instances that all begin to follow the store in the moment in which they
// learn of a newer era, as if no follower had ever been known.
func TestChangeOfEraStartsNoFollower(t *testing.T) {
	self, other := pair(t)
	core := membership.New(self, nil, 1)
	core.SetRegistered(0, []membership.Member{self, other})
	core.SetEra(1)
	now := time.Minute
	core.ReceiveHello(now, following(other, 1, 900), true)
	core.SetEra(2)
	now += time.Second
	if core.UpdateFollowing(now) {
		t.Error("follows 1 s after the last confirmation")
	}
	if h := core.Hello(now); h.Era != 2 || h.Follower != "" {
		t.Errorf("names a follower of the older era: %+v", h)
	}
	core.ReceiveHello(now, following(other, 2, 5), true)
	if h := core.Hello(now); h.Follower != other.Name {
		t.Errorf("doesn't name the follower of the newer era: %+v", h)
	}
}

// Guards against a follower whose hello of the newer era came before the replica, and is
// forgotten when the replica follows.
func TestFollowerOfTheNewerEraStaysKnown(t *testing.T) {
	self, other := pair(t)
	core := membership.New(self, nil, 1)
	core.SetRegistered(0, []membership.Member{self, other})
	core.SetEra(1)
	core.ReceiveHello(time.Minute, following(other, 2, 5), false)
	core.SetEra(2)
	if h := core.Hello(time.Minute); h.Follower != other.Name {
		t.Errorf("follower %q", h.Follower)
	}
}

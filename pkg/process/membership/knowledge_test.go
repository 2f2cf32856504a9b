package membership_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/process/membership"
)

const (
	// step is the resolution of a world's clock.
	step = 10 * time.Millisecond
	// watchWait, callLimit and burstPause are those of instances' calls to the store.
	watchWait, callLimit, burstPause = 800 * time.Millisecond, 1300 * time.Millisecond, 120 * time.Millisecond
	// applied is how long a change may take to take effect, by the users' rules, at instances
	// that nothing has disturbed for as long as calm.
	applied, calm = 3 * time.Second, 4 * time.Second
	// handover is how long it takes until another instance has read the store: it begins to
	// follow up to 2.1 s after the last confirmation, 0.3 s later where data centres have 20
	// instances, and a call without changes takes 0.8 s.
	handover = 3300 * time.Millisecond
)

// world plays instances that follow a store, with the time that messages and calls take, to
// see what they know and when.
type world struct {
	now       time.Duration
	instances []*instance
	byAddress map[netip.AddrPort]*instance
	messages  []delivery
	random    *rand.Rand
	// acknowledged is when each revision was written, from revision 1 on.
	acknowledged []time.Duration
	// lastRead is when any instance last got a response of the store.
	lastRead time.Duration
}

type instance struct {
	membership.Member
	core     *membership.Core
	revision uint64
	// startedAt is when the present process started, and down is set while there is none.
	startedAt time.Duration
	down      bool
	// cutOff is set while the store is out of reach, and disturbedAt is when it, or another
	// disturbance, last held.
	cutOff      bool
	disturbedAt time.Duration
	// delay is how long what it sends takes, and transfer how long a change takes to arrive from
	// the store.
	delay     time.Duration
	transfer  time.Duration
	nextHello time.Duration
	// callBegan is when the present call to the store began, 0 for none, nextCall the earliest
	// time of the next one, and failed how many failed in a row.
	callBegan, nextCall time.Duration
	failed              int
	// arrivedAt is when the change that arrives now has arrived, 0 for none.
	arrivedAt time.Duration
}

type delivery struct {
	at    time.Duration
	to    *instance
	hello membership.Hello
}

// newWorld returns a world of several data centres whose instances have run for a while.
func newWorld(centres, each int, seed uint64) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, seed)), byAddress: make(map[netip.AddrPort]*instance), now: time.Second, acknowledged: []time.Duration{0}}
	for n := range centres * each {
		i := &instance{Member: membership.Member{
			Name: fmt.Sprintf("entry-%d-%d", n%centres, n/centres), DataCentre: fmt.Sprintf("centre-%d", n%centres),
			Endpoint: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n % centres), byte(n / centres / 250), byte(n / centres % 250)}), 7720),
		}, delay: time.Millisecond}
		w.instances = append(w.instances, i)
		w.byAddress[i.Endpoint] = i
	}
	for _, i := range w.instances {
		w.start(i)
	}
	w.run(10*time.Second, nil)
	return w
}

// start starts an instance's process, without keys.
func (w *world) start(i *instance) {
	i.core = membership.New(i.Member, nil, w.random.Uint64())
	var members []membership.Member
	for _, other := range w.instances {
		members = append(members, other.Member)
	}
	i.core.SetRegistered(0, members)
	i.core.SetBound(applied)
	i.revision, i.down, i.startedAt, i.disturbedAt = 0, false, w.now, w.now
	i.callBegan, i.nextCall, i.failed, i.arrivedAt = 0, 0, 0, 0
	i.nextHello = w.now + time.Duration(w.random.Int64N(int64(period)))
}

// follower returns the instance that alone follows the store.
func (w *world) follower(t *testing.T) *instance {
	t.Helper()
	var found *instance
	for _, i := range w.instances {
		if i.core.Following() {
			if found != nil {
				t.Fatalf("%s and %s follow", found.Name, i.Name)
			}
			found = i
		}
	}
	if found == nil {
		t.Fatal("nobody follows")
	}
	return found
}

// run plays a span of time and calls check after each step, if it isn't nil.
func (w *world) run(d time.Duration, check func()) {
	for end := w.now + d; w.now < end; w.now += step {
		w.deliver()
		for _, i := range w.instances {
			if i.down || i.cutOff || i.delay > 200*time.Millisecond || i.transfer > 0 {
				i.disturbedAt = w.now
			}
			if i.down {
				continue
			}
			w.call(i)
			if w.now >= i.nextHello {
				i.nextHello += period
				w.send(i, i.core.PeriodPeers(4))
			}
		}
		if check != nil {
			check()
		}
	}
}

func (w *world) deliver() {
	var waiting []delivery
	for _, m := range w.messages {
		switch {
		case m.at > w.now:
			waiting = append(waiting, m)
		case !m.to.down:
			// A replica that lacks something gets it with the message, or fetches it.
			m.to.revision = max(m.to.revision, m.hello.Revision)
			current := m.hello.Revision > 0
			m.to.core.ReceiveHello(w.now-m.to.startedAt, m.hello, current)
		}
	}
	w.messages = waiting
}

func (w *world) send(i *instance, to []netip.AddrPort) {
	h := i.core.Hello(w.now - i.startedAt)
	h.Revision = i.revision
	for _, endpoint := range to {
		if other := w.byAddress[endpoint]; other != i {
			w.messages = append(w.messages, delivery{at: w.now + i.delay, to: other, hello: h})
		}
	}
}

// call plays the instance's call to the store.
func (w *world) call(i *instance) {
	now := w.now - i.startedAt
	newest := uint64(len(w.acknowledged))
	switch {
	case i.arrivedAt > w.now:
		i.core.Progress(now)
	case i.revision > 0 && i.arrivedAt == 0 && !i.core.UpdateFollowing(now):
		i.callBegan = 0
	case i.callBegan == 0 && w.now >= i.nextCall:
		i.callBegan = w.now
	case i.callBegan == 0:
	case i.cutOff && w.now-i.callBegan >= callLimit:
		i.callBegan, i.nextCall = 0, w.now+min(100*time.Millisecond<<i.failed, 1500*time.Millisecond)
		i.failed++
	case i.cutOff:
	case i.revision < newest && i.arrivedAt == 0 && i.transfer > 0:
		i.arrivedAt = w.now + i.transfer
	case i.revision < newest && w.now > i.callBegan:
		i.arrivedAt = 0
		w.lastRead = w.now
		i.revision = newest
		i.core.Confirm(i.callBegan - i.startedAt)
		i.callBegan, i.nextCall, i.failed = 0, w.now+burstPause, 0
		w.send(i, i.core.PushTargets())
	case w.now-i.callBegan >= watchWait:
		w.lastRead = w.now
		i.core.Confirm(now)
		i.callBegan, i.failed = 0, 0
	}
}

// write changes the store.
func (w *world) write() { w.acknowledged = append(w.acknowledged, w.now) }

// undisturbed returns the instances to which bounds on time apply.
func (w *world) undisturbed() []*instance {
	var result []*instance
	for _, i := range w.instances {
		if w.now-i.disturbedAt >= calm {
			result = append(result, i)
		}
	}
	return result
}

// requireApplied fails the test if an undisturbed instance lacks a change for too long.
func (w *world) requireApplied(t *testing.T) {
	t.Helper()
	for _, i := range w.undisturbed() {
		if i.revision < uint64(len(w.acknowledged)) && w.now-w.acknowledged[i.revision] > applied {
			t.Fatalf("%v: %s lacks revision %d for %v; its replica was confirmed %v ago by %s",
				w.now, i.Name, i.revision+1, w.now-w.acknowledged[i.revision], i.core.ConfirmedAge(w.now-i.startedAt), i.core.ConfirmedBy())
		}
	}
}

// fleetSizes are numbers of data centres, and of instances in each.
var fleetSizes = [][2]int{{3, 3}, {4, 2}, {3, 20}}

// eachFleet runs a test for some fleets and seeds.
func eachFleet(t *testing.T, test func(t *testing.T, w *world)) {
	t.Helper()
	for _, size := range fleetSizes {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("%dx%d/seed=%d", size[0], size[1], seed+1), func(t *testing.T) { test(t, newWorld(size[0], size[1], seed+1)) })
		}
	}
}

// Guards against a follower that is cut off from the store and stops those that read it since
// its rank is lower: it passed for one that reads, as the others had confirmed its replica.
// Nobody then read the store for 1.7 to 2.1 s, again and again.
func TestFollowerThatIsCutOffStopsNobody(t *testing.T) {
	eachFleet(t, func(t *testing.T, w *world) {
		cut := w.follower(t)
		cut.cutOff = true
		w.run(handover, nil)
		w.run(10*time.Second, func() {
			if w.random.IntN(100) == 0 {
				w.write()
			}
			w.requireApplied(t)
			if silent := w.now - w.lastRead; silent > watchWait+period {
				t.Fatalf("%v: nobody has read the store for %v", w.now, silent)
			}
		})
		cut.cutOff = false
		w.run(4*time.Second, nil)
		w.follower(t)
	})
}

// Guards against restarts that keep the others waiting: one instance is killed again and again
// while the follower is cut off, and gets its keys from others.
func TestRestartsKeepNobodyWaiting(t *testing.T) {
	eachFleet(t, func(t *testing.T, w *world) {
		cut := w.follower(t)
		other := w.instances[w.random.IntN(len(w.instances))]
		cut.cutOff, other.cutOff = true, true
		for round := range 6 {
			other.down = true
			w.run(300*time.Millisecond, func() { w.requireApplied(t) })
			w.start(other)
			if round%2 == 0 {
				w.write()
			}
			w.run(900*time.Millisecond, func() { w.requireApplied(t) })
		}
	})
}

// Guards against echoes: an instance whose link is slow repeats what others told it, and with
// the time that its messages take, an old confirmation passed for a new one for ever.
func TestEchoOfASlowInstanceConfirmsNothing(t *testing.T) {
	eachFleet(t, func(t *testing.T, w *world) {
		gone := w.follower(t)
		slow := w.instances[0]
		if slow == gone {
			slow = w.instances[1]
		}
		slow.delay = 400 * time.Millisecond
		w.run(5*time.Second, func() { w.requireApplied(t) })
		gone.down = true
		w.run(100*time.Millisecond, nil)
		w.write()
		w.run(6*time.Second, func() { w.requireApplied(t) })
	})
}

// Guards against ages that lose something at each hop: in a fleet whose follower ended, the
// confirmations of all have to grow old as fast as time passes.
func TestConfirmationsGrowOldInALargeFleet(t *testing.T) {
	w := newWorld(3, 98, 1)
	gone := w.follower(t)
	for _, i := range w.instances {
		i.cutOff = true
	}
	gone.down = true
	began := w.now
	w.run(5*time.Second, nil)
	for _, i := range w.instances {
		if i == gone {
			continue
		}
		if age := i.core.ConfirmedAge(w.now - i.startedAt).Or(never); age < w.now-began-period {
			t.Fatalf("%s counts its replica as confirmed %v ago, %v after the last reading", i.Name, age, w.now-began)
		}
	}
}

// Guards against a follower whose link to the store is slow, for which all others wait for
// longer than a change may take: they reach the store, and have to read it themselves, and not
// to stop since the slow one still receives something.
func TestSlowFollowerKeepsNobodyWaiting(t *testing.T) {
	eachFleet(t, func(t *testing.T, w *world) {
		w.follower(t).transfer = 4 * time.Second
		for range 3 {
			w.write()
			w.run(6*time.Second, func() { w.requireApplied(t) })
		}
	})
}

package transition_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
	"github.com/tanagerweir/tanagerweir/pkg/version/replica"
	"github.com/tanagerweir/tanagerweir/pkg/version/transition"
)

const stretch = 8 * time.Second

// restoredAt is when the store of the tests is restored, at revision 60 of era 2.
const restoredAt = time.Minute

var first = replica.Position{Era: 2, Revision: 60}

// before is a server's entry in era 1, and after one in era 2.
func before(id string, revision uint64) directory.Server {
	return directory.Server{ID: id, Era: 1, Revision: revision, StartedMillis: 100}
}

func after(id string, revision uint64) directory.Server {
	s := before(id, revision)
	s.Era = 2
	return s
}

func draining(s directory.Server) directory.Server {
	s.Draining = true
	return s
}

func startedAt(millis int64, s directory.Server) directory.Server {
	s.StartedMillis = millis
	return s
}

func listing(servers ...directory.Server) directory.Directory {
	d := directory.New()
	for _, s := range servers {
		d = d.WithServer(s)
	}
	return d
}

func requireServers(t *testing.T, what string, d directory.Directory, want ...directory.Server) {
	t.Helper()
	if diff := cmp.Diff(listing(want...).Servers(), d.Servers(), cmpopts.EquateComparable(netip.AddrPort{}), cmpopts.EquateEmpty()); diff != "" {
		t.Errorf("%s: %s", what, diff)
	}
}

// Guards against flows to a backend server that drains although the copy says that it is
// ready, and against a hold that outlives what its server wrote again.
func TestDrainingServerStaysDrainingUntilItsEntryIsWrittenAgain(t *testing.T) {
	known, copied := draining(before("a", 90)), after("a", 50)
	for name, test := range map[string]struct {
		at   time.Duration
		read directory.Server
		want directory.Server
	}{
		"at once":                 {at: restoredAt, read: copied, want: known},
		"written by the copy":     {at: restoredAt + time.Second, read: after("a", 60), want: known},
		"written again as ready":  {at: restoredAt + time.Second, read: after("a", 61), want: after("a", 61)},
		"written again, draining": {at: restoredAt + time.Second, read: draining(after("a", 61)), want: draining(after("a", 61))},
		"just before the end":     {at: restoredAt + stretch - 1, read: copied, want: known},
		"at the end":              {at: restoredAt + stretch, read: copied, want: copied},
	} {
		c := transition.New(stretch)
		c.Update(0, listing(known))
		requireServers(t, name+": restored", c.Restore(restoredAt, first, listing(copied)), known)
		c.Update(test.at, listing(test.read))
		d, _ := c.Expire(test.at)
		requireServers(t, name, d, test.want)
	}
}

// Guards against flows to a backend server that has left and is in the copy again.
func TestDepartedServerStaysRemovedUntilItsEntryIsWrittenAgain(t *testing.T) {
	c := transition.New(stretch)
	c.Update(0, listing(startedAt(200, before("a", 70)), before("b", 40), before("c", 41)))
	c.Update(time.Second, listing())
	read := listing(after("a", 50), after("b", 40), startedAt(300, after("c", 58)), after("new", 59))
	// A later start than the departed one's can't be in a copy instead of it.
	requireServers(t, "restored", c.Restore(restoredAt, first, read), startedAt(300, after("c", 58)), after("new", 59))
	again := read.WithServer(after("b", 62))
	requireServers(t, "b is written again", c.Update(restoredAt, again), after("b", 62), startedAt(300, after("c", 58)), after("new", 59))
	requireServers(t, "a is deleted", c.Update(restoredAt, again.WithoutServer("a")), after("b", 62), startedAt(300, after("c", 58)), after("new", 59))
	if held := c.Held(); held != (transition.Held{}) {
		t.Errorf("held: %+v", held)
	}
}

// Guards against servers that are taken for departed for ever: the copy of a later
// restoration may be much younger than their departure.
func TestDepartureIsForgotten(t *testing.T) {
	c := transition.New(stretch)
	c.Update(0, listing(before("a", 70)))
	c.Update(time.Second, listing())
	c.Expire(time.Second + 61*time.Second)
	requireServers(t, "restored", c.Restore(2*time.Minute, first, listing(after("a", 50))), after("a", 50))
}

// Guards against a restart that is taken back: the copy's entry is of an earlier start and
// would show its server as restarted, and warm.
func TestEntryOfAnEarlierStartDoesNotReplaceALaterOne(t *testing.T) {
	known := startedAt(200, before("a", 90))
	c := transition.New(stretch)
	c.Update(0, listing(known))
	requireServers(t, "restored", c.Restore(restoredAt, first, listing(after("a", 50))), known)
	again := startedAt(200, after("a", 61))
	requireServers(t, "written again", c.Update(restoredAt, listing(again)), again)
}

// Guards against a hold on what the new era says itself: a later start, or that a server
// drains.
func TestNewerEntriesTakeEffectAtOnce(t *testing.T) {
	for name, restored := range map[string]directory.Server{
		"a later start": startedAt(200, after("a", 55)), "draining": draining(after("a", 55)),
	} {
		c := transition.New(stretch)
		c.Update(0, listing(before("a", 90)))
		requireServers(t, name, c.Restore(restoredAt, first, listing(restored)), restored)
	}
}

// Guards against backend servers that are lost as long as their entries are missing, and
// against servers that are used for longer than after an outage.
func TestServerThatTheCopyLacksStaysForTwoSeconds(t *testing.T) {
	c := transition.New(stretch)
	c.Update(0, listing(before("a", 90), before("b", 91)))
	requireServers(t, "restored", c.Restore(restoredAt, first, listing()), before("a", 90), before("b", 91))
	if _, changed := c.Expire(restoredAt + 2*time.Second - 1); changed {
		t.Error("ended before 2 s")
	}
	requireServers(t, "b is written again", c.Update(restoredAt, listing(after("b", 61))), before("a", 90), after("b", 61))
	// A second restoration doesn't prolong the time.
	d := c.Restore(restoredAt+time.Second, replica.Position{Era: 3, Revision: 60}, listing())
	requireServers(t, "restored again", d, before("a", 90), after("b", 61))
	d, changed := c.Expire(restoredAt + 2*time.Second)
	if !changed {
		t.Error("nothing ended after 2 s")
	}
	requireServers(t, "after 2 s", d, after("b", 61))
	d, _ = c.Expire(restoredAt + 3*time.Second)
	requireServers(t, "after 3 s", d)
}

// Guards against flows to a data centre that is out, until operators bring it back in the
// new era or the time has passed.
func TestDataCentreStaysOut(t *testing.T) {
	out := listing().WithEvacuated("far", true)
	for name, test := range map[string]struct {
		change func(*transition.Core) directory.Directory
		want   []string
	}{
		"restored": {func(c *transition.Core) directory.Directory { return c.Update(restoredAt, listing()) }, []string{"far"}},
		"written again and deleted": {func(c *transition.Core) directory.Directory {
			c.Update(restoredAt, out)
			return c.Update(restoredAt, listing())
		}, nil},
		"written again and deleted in one batch": {func(c *transition.Core) directory.Directory {
			return c.Delete(restoredAt, listing(), listing())
		}, nil},
		"another one is deleted": {func(c *transition.Core) directory.Directory { return c.Delete(restoredAt, out, listing()) }, []string{"far"}},
		"before the end": {func(c *transition.Core) directory.Directory {
			d, _ := c.Expire(restoredAt + stretch - 1)
			return d
		}, []string{"far"}},
		"at the end": {func(c *transition.Core) directory.Directory {
			d, _ := c.Expire(restoredAt + stretch)
			return d
		}, nil},
	} {
		c := transition.New(stretch)
		c.Update(0, out)
		c.Restore(restoredAt, first, listing())
		if d := cmp.Diff(test.want, test.change(c).EvacuatedNames()); d != "" {
			t.Errorf("%s: %s", name, d)
		}
	}
}

// Guards against a deletion in the new era that takes effect only with the end of a hold.
func TestDeletionInTheNewEraTakesEffectAtOnce(t *testing.T) {
	c := transition.New(stretch)
	c.Update(0, listing(draining(before("kept", 90)), before("missing", 91)))
	c.Restore(restoredAt, first, listing(after("kept", 50)))
	d := c.Delete(restoredAt, listing(), listing())
	requireServers(t, "deleted", d)
}

// Guards against an instance that is forgotten while it registers again: cold backend
// servers' bounds are divided among the registered instances.
func TestInstancesStayRegistered(t *testing.T) {
	instance := directory.Instance{Name: "entry-1", DataCentre: "near"}
	c := transition.New(stretch)
	c.Update(0, directory.New().WithInstance(instance))
	if _, ok := c.Restore(restoredAt, first, directory.New()).Instance("entry-1"); !ok {
		t.Error("not registered")
	}
	if _, ok := c.Read().Instance("entry-1"); ok {
		t.Error("in the store")
	}
	if d, _ := c.Expire(restoredAt + stretch); len(d.Instances()) != 0 {
		t.Error("registered for ever")
	}
}

// Guards against a second restoration, from the same copy, that ends what the first holds.
func TestSecondRestorationKeepsWhatIsHeld(t *testing.T) {
	c := transition.New(stretch)
	c.Update(0, listing(draining(before("a", 90)), before("left", 40)).WithEvacuated("far", true))
	c.Update(0, listing(draining(before("a", 90))).WithEvacuated("far", true))
	copied := listing(after("a", 50), after("left", 40))
	c.Restore(restoredAt, first, copied)
	// The second copy has the same values, so that the directory read from it is equal.
	second := replica.Position{Era: 3, Revision: 60}
	d := c.Restore(restoredAt+time.Second, second, copied)
	requireServers(t, "restored again", d, draining(before("a", 90)))
	if !d.Evacuated("far") || d.Era() != 3 {
		t.Errorf("era %d, out: %v", d.Era(), d.EvacuatedNames())
	}
	again := after("a", 61)
	again.Era = 3
	requireServers(t, "written again", c.Update(restoredAt+time.Second, listing(again, after("left", 40))), again)
}

// Guards against a transition in deployments whose store sends no era.
func TestNothingIsHeldWithoutARestoration(t *testing.T) {
	c := transition.New(0)
	c.Update(0, listing(draining(before("a", 90)), before("b", 91)).WithEvacuated("far", true))
	d := c.Update(time.Second, listing(before("a", 92)))
	requireServers(t, "changed", d, before("a", 92))
	if len(d.EvacuatedNames()) != 0 || d.Era() != 0 || c.Held() != (transition.Held{}) {
		t.Errorf("era %d, out %v, held %+v", d.Era(), d.EvacuatedNames(), c.Held())
	}
}

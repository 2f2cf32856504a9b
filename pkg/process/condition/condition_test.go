package condition_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/tanagerweir/tanagerweir/pkg/process/condition"
	"github.com/tanagerweir/tanagerweir/pkg/version/health"
)

var start = time.Date(2026, 1, 5, 9, 0, 0, 0, time.UTC)

// board returns a core with one service, "board", of the given number of backend
// servers.
func board(servers int) *condition.Core {
	c := condition.New("entry-1")
	services := make(map[string]string)
	for n := range servers {
		services[name(n)] = "board"
	}
	c.SetServices(services)
	return c
}

func name(n int) string { return fmt.Sprintf("board-%02d", n) }

func count(c *condition.Core, s health.State) int {
	n := 0
	for _, m := range c.Marks() {
		if m.State == s {
			n++
		}
	}
	return n
}

// Wrong reports and failed connections of all 15 servers must leave at least half of
// the service in use, and the earliest to go out stays out.
func TestLyingReportsAndFailuresCanNotEmptyAService(t *testing.T) {
	c := board(15)
	for n := range 15 {
		now := start.Add(time.Duration(n) * time.Second)
		if n%2 == 0 {
			c.Report(now, condition.Report{Backend: name(n), Leaving: true})
			continue
		}
		for range 20 {
			c.ConnectionFailed(now, name(n))
		}
	}
	if out := count(c, health.Leaving) + count(c, health.Ejected); out != 7 {
		t.Errorf("%d of 15 are out, want 7", out)
	}
	if got := c.State(name(0)); got != health.Leaving {
		t.Errorf("the first to leave is %s", got)
	}
}

// Servers that the platform lists as leaving are out even if they are more than half
// of the service. A server's own report then can't take out the last one.
func TestListedServersMayExceedHalfOfAService(t *testing.T) {
	c := board(4)
	c.Report(start, condition.Report{Backend: name(3), Leaving: true})
	c.SetListedLeaving([]string{name(0), name(1), name(2)})
	if out := count(c, health.Leaving); out != 3 {
		t.Errorf("%d are leaving, want the 3 that the list names", out)
	}
	if got := c.State(name(3)); got != health.Serving {
		t.Errorf("the last one is %s by its own report", got)
	}
	c.SetListedLeaving(nil)
	if got := c.State(name(3)); got != health.Leaving {
		t.Errorf("with the others back, its own report leaves it %s", got)
	}
}

// Instances that get the same marks in different orders must end with the same view.
func TestViewsAgreeInWhateverOrderMarksCome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		marks := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) condition.Mark {
			return condition.Mark{
				Backend:  name(0),
				State:    health.State(rapid.IntRange(0, 2).Draw(t, "state")),
				Since:    start.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "since")) * time.Second),
				Sequence: uint64(rapid.IntRange(1, 4).Draw(t, "sequence")),
			}
		}), 1, 8).Draw(t, "marks")
		shuffled := rapid.Permutation(marks).Draw(t, "order")
		one, other := board(4), board(4)
		one.Merge(marks)
		for _, m := range shuffled {
			other.Merge([]condition.Mark{m})
		}
		if diff := cmp.Diff(one.Marks(), other.Marks()); diff != "" {
			t.Fatalf("views differ:\n%s", diff)
		}
	})
}

// A peer that still sends an older mark must not bring the earlier state back.
func TestOlderMarkDoesNotFlapBack(t *testing.T) {
	c := board(4)
	c.Report(start, condition.Report{Backend: name(0), Cold: true})
	old := c.Mark(name(0))
	c.Report(start.Add(time.Minute), condition.Report{Backend: name(0)})
	c.Merge([]condition.Mark{old})
	if got := c.State(name(0)); got != health.Serving {
		t.Errorf("an older mark made it %s", got)
	}
}

// A report that was sent before a cold start and arrives during it must not end the
// protection of the cold server.
func TestLaggingReportDoesNotEndAColdStart(t *testing.T) {
	c := board(4)
	if changes := c.TurnedCold(start, name(0)); len(changes) != 1 || changes[0].Cause == "" {
		t.Fatal("a cold start without warning was not taken")
	}
	c.Report(start.Add(time.Second), condition.Report{Backend: name(0)})
	if got := c.State(name(0)); got != health.Cold {
		t.Errorf("a report from before made it %s", got)
	}
	c.Report(start.Add(condition.MinColdTime), condition.Report{Backend: name(0)})
	if got := c.State(name(0)); got != health.Serving {
		t.Errorf("a later report left it %s", got)
	}
}

// The path from one instance may be cut while the server works, so peers must not
// learn of an ejection. After the ejection the server counts as cold.
func TestEjectionStaysWithItsInstanceAndComesBackCold(t *testing.T) {
	c := board(4)
	for range 5 {
		c.ConnectionFailed(start, name(0))
	}
	if got := c.State(name(0)); got != health.Ejected {
		t.Fatalf("after 5 failures it is %s", got)
	}
	if sent := c.MarksToSend(); len(sent) > 0 {
		t.Errorf("peers are sent %v", sent)
	}
	c.Tick(start.Add(condition.FirstEjection))
	if got := c.State(name(0)); got != health.Cold {
		t.Errorf("after the ejection it is %s", got)
	}
}

// After a change of all 200 servers at once, messages must stay within their bound
// and still bring every mark to a peer.
func TestMessagesAreBoundedAndCarryEveryMark(t *testing.T) {
	c, other := board(200), board(200)
	for n := range 200 {
		c.Report(start, condition.Report{Backend: name(n), Cold: true})
	}
	for range 200 {
		sent := c.MarksToSend()
		if len(sent) > condition.MarksPerMessage {
			t.Fatalf("a message holds %d marks", len(sent))
		}
		other.Merge(sent)
	}
	if diff := cmp.Diff(c.Marks(), other.Marks()); diff != "" {
		t.Errorf("views differ:\n%s", diff)
	}
}

// The load of queries on a backend server must not grow with the number of instances.
func TestEachBackendServerIsAskedByAFewInstances(t *testing.T) {
	for _, size := range []int{1, 9, 54} {
		var members []string
		for n := range size {
			members = append(members, fmt.Sprintf("entry-%d", n))
		}
		for n := range 100 {
			inspectors := 0
			for _, m := range members {
				if condition.Designated(m, name(n), members) {
					inspectors++
				}
			}
			if want := min(condition.Inspectors, size); inspectors != want {
				t.Errorf("%s is queried by %d of %d instances, want %d", name(n), inspectors, size, want)
			}
		}
	}
}

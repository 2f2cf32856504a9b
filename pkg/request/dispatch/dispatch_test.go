package dispatch_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/tanagerweir/tanagerweir/pkg/request/dispatch"
	"github.com/tanagerweir/tanagerweir/pkg/request/verdict"
	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
	"github.com/tanagerweir/tanagerweir/pkg/version/health"
)

const (
	instances = 9
	slots     = 3
	step      = 10 * time.Millisecond
)

var start = time.Date(2026, 6, 1, 12, 0, 0, 0, time.UTC)

func centre(n int) string { return fmt.Sprintf("alfold-%d", n%3+1) }

func member(n int) dispatch.Member {
	return dispatch.Member{Name: fmt.Sprintf("entry-%d", n+1), DataCentre: centre(n)}
}

func serverName(n int) string { return fmt.Sprintf("cellar-%d", n+1) }

func configuration(servers int) catalogue.Catalogue {
	target := catalogue.Target{Share: 0.99, Within: 500 * time.Millisecond, Window: time.Hour}
	parts := catalogue.Parts{
		Version:  1,
		Services: []catalogue.Service{{Name: "cellar", Protocol: catalogue.TCP}},
		Classes: []catalogue.Class{
			{Name: "reading", Service: "cellar", Target: target, Repeatable: true},
			{Name: "turning", Service: "cellar", Target: target},
		},
	}
	for n := range 3 {
		parts.DataCentres = append(parts.DataCentres, catalogue.DataCentre{Name: centre(n), State: catalogue.DataCentreIn})
	}
	for n := range servers {
		parts.Backends = append(parts.Backends, catalogue.Backend{
			Name: serverName(n), Service: "cellar", DataCentre: centre(n), Slots: slots, State: catalogue.BackendActive,
			Requests: netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(n + 1)}), 80),
		})
	}
	return catalogue.FromParts(parts)
}

// single returns the core of an instance that knows no other.
func single(servers int) *dispatch.Core {
	core := dispatch.New(member(0), 1, 1)
	core.SetConfiguration(start, configuration(servers))
	return core
}

// fleet returns the cores of nine instances. Unless they are connected, each one
// sees only itself alive.
func fleet(servers int, connected bool) []*dispatch.Core {
	var known []dispatch.Member
	for n := range instances {
		known = append(known, member(n))
	}
	var cores []*dispatch.Core
	for n := range instances {
		core := dispatch.New(member(n), 1, uint64(n))
		core.SetConfiguration(start, configuration(servers))
		alive := known
		if !connected {
			alive = known[n : n+1]
		}
		core.SetMembers(alive, known)
		cores = append(cores, core)
	}
	return cores
}

func request(class string, now time.Time) dispatch.Request {
	return dispatch.Request{Class: class, Deadline: now.Add(time.Second)}
}

func ran() dispatch.Outcome { return dispatch.Outcome{Verdict: verdict.Ran} }

func broken() dispatch.Outcome {
	return dispatch.Outcome{Verdict: verdict.MayHaveRun, Cause: dispatch.CauseBroken}
}

func refusedBy(cold bool) dispatch.Outcome {
	return dispatch.Outcome{Verdict: verdict.NotRun, Cause: dispatch.CauseRefused, Cold: cold}
}

// flight is one attempt in flight.
type flight struct {
	core    *dispatch.Core
	attempt dispatch.Attempt
	ends    time.Time
}

// drive sends a request to each core in each step, ends each attempt after work,
// and returns for each step the highest number of attempts in flight at any one
// server.
func drive(cores []*dispatch.Core, from time.Time, span, work time.Duration) []int {
	var flights []flight
	var peaks []int
	for now := from; now.Before(from.Add(span)); now = now.Add(step) {
		var remaining []flight
		for _, f := range flights {
			if now.Before(f.ends) {
				remaining = append(remaining, f)
				continue
			}
			f.core.Complete(now, f.attempt, ran())
		}
		flights = remaining
		for _, core := range cores {
			if a, refusal := core.Begin(now, request("reading", now)); refusal == nil && !a.Waiting {
				flights = append(flights, flight{core, a, now.Add(work)})
			}
			for _, d := range core.Ready(now) {
				if d.Refusal == nil {
					flights = append(flights, flight{core, d.Attempt, now.Add(work)})
				}
			}
		}
		peaks = append(peaks, busiest(flights))
	}
	for _, f := range flights {
		f.core.Complete(from.Add(span), f.attempt, ran())
	}
	return peaks
}

func busiest(flights []flight) int {
	peak := 0
	inFlight := make(map[string]int)
	for _, f := range flights {
		inFlight[f.attempt.Backend.Name]++
		peak = max(peak, inFlight[f.attempt.Backend.Name])
	}
	return peak
}

func highest(peaks []int) int {
	peak := 0
	for _, p := range peaks {
		peak = max(peak, p)
	}
	return peak
}

func reportAll(cores []*dispatch.Core, now time.Time, state health.State) {
	var conditions []dispatch.Condition
	for n := range 3 {
		conditions = append(conditions, dispatch.Condition{Backend: serverName(n), State: state})
	}
	for _, core := range cores {
		core.SetConditions(now, conditions)
	}
}

func TestColdServerGetsOneRequestFromAllInstancesTogether(t *testing.T) {
	for _, connected := range []bool{true, false} {
		cores := fleet(3, connected)
		reportAll(cores, start, health.Cold)
		if got := highest(drive(cores, start, 30*time.Second, 370*time.Millisecond)); got != 1 {
			t.Errorf("instances connected: %t; a cold server had %d requests at once, it can run 1", connected, got)
		}
	}
}

func TestServerComingOutOfColdGetsOneSlotAfterTheOther(t *testing.T) {
	for _, connected := range []bool{true, false} {
		cores := fleet(3, connected)
		reportAll(cores, start, health.Cold)
		warm := start.Add(10 * time.Second)
		reportAll(cores, warm, health.Serving)
		peaks := drive(cores, warm, 20*time.Second, 30*time.Millisecond)
		for n, peak := range peaks {
			if open := 1 + int(time.Duration(n)*step/(5*time.Second)); open <= slots && peak > open {
				t.Fatalf("instances connected: %t; %s after the cold phase: %d requests at once, %d slots are open",
					connected, time.Duration(n)*step, peak, open)
			}
		}
		if got := highest(peaks); got < slots {
			t.Errorf("the warm servers never had more than %d requests at once, they have %d slots", got, slots)
		}
	}
}

func TestRefusalOfAServerColdWithoutWarningStopsWorkThere(t *testing.T) {
	core := single(1)
	a, refusal := core.Begin(start, request("turning", start))
	if refusal != nil {
		t.Fatal(refusal)
	}
	if _, again := core.Complete(start, a, refusedBy(true)); again {
		core.Ready(start)
	}
	for now := start; now.Before(start.Add(400 * time.Millisecond)); now = now.Add(step) {
		if b, refusal := core.Begin(now, request("reading", now)); refusal == nil && !b.Waiting {
			t.Fatalf("a request went to the cold server %s after its refusal", now.Sub(start))
		}
		for _, d := range core.Ready(now) {
			if d.Refusal == nil {
				t.Fatalf("a waiting request went to the cold server %s after its refusal", now.Sub(start))
			}
		}
	}
}

func TestRequestThatMayHaveRunIsNotSentAgain(t *testing.T) {
	core := single(3)
	a, _ := core.Begin(start, request("turning", start))
	if _, again := core.Complete(start, a, broken()); again {
		t.Error("a request that may not be repeated was sent again")
	}
	b, _ := core.Begin(start, request("reading", start))
	next, again := core.Complete(start, b, broken())
	if !again {
		t.Fatal("a repeatable request was not sent again")
	}
	if got := next.Verdict(verdict.NotRun); got != verdict.MayHaveRun {
		t.Errorf("refused after an attempt that may have run: %s", got)
	}
	if got := next.Verdict(verdict.Ran); got != verdict.Ran {
		t.Errorf("served after an attempt that may have run: %s", got)
	}
}

// TestRequestGivenUpWhileWaitingKeepsItsVerdict guards against NotRun for a
// request that is refused while it waits for a retry, although its first attempt
// may have run.
func TestRequestGivenUpWhileWaitingKeepsItsVerdict(t *testing.T) {
	for _, first := range []dispatch.Outcome{broken(), refusedBy(false)} {
		core := single(1)
		a, _ := core.Begin(start, request("reading", start))
		for _, o := range []dispatch.Outcome{first, refusedBy(false)} {
			if a.Waiting {
				break
			}
			var again bool
			if a, again = core.Complete(start, a, o); !again {
				t.Fatalf("%s: not sent again", o.Cause)
			}
		}
		if !a.Waiting {
			t.Fatal("the refused request doesn't wait")
		}
		decisions := core.Ready(start.Add(time.Second))
		if len(decisions) != 1 || decisions[0].Refusal == nil {
			t.Fatalf("given up after its time: %v", decisions)
		}
		if diff := cmp.Diff(first.Verdict.String(), decisions[0].Refusal.Verdict.String()); diff != "" {
			t.Errorf("given up after %s (-want +got):\n%s", first.Cause, diff)
		}
	}
}

func TestFullInstanceRefusesAtOnceWithRetryAfter(t *testing.T) {
	const work = 100 * time.Millisecond
	core := single(1)
	a, _ := core.Begin(start, request("reading", start))
	now := start.Add(work)
	core.Complete(now, a, ran())
	admitted := 0
	for range 100 {
		_, refusal := core.Begin(now, request("reading", now))
		switch {
		case refusal == nil:
			admitted++
		case refusal.Verdict != verdict.NotRun || refusal.RetryAfter <= 0:
			t.Fatalf("refused as %v, with RetryAfter %s", refusal, refusal.RetryAfter)
		}
	}
	if fit := slots * int(500*time.Millisecond/work); admitted > fit {
		t.Errorf("%d requests were admitted, %d can be served in time", admitted, fit)
	}
}

func TestNoAttemptIsSentThatCannotEndInTime(t *testing.T) {
	const work = 100 * time.Millisecond
	core := single(3)
	a, _ := core.Begin(start, request("reading", start))
	now := start.Add(work)
	core.Complete(now, a, ran())
	short := dispatch.Request{Class: "reading", Deadline: now.Add(work / 2)}
	if _, refusal := core.Begin(now, short); refusal == nil || refusal.Cause != dispatch.CauseTooLate {
		t.Errorf("a request with half the time it takes was admitted: %v", refusal)
	}
	feasible, _ := core.Begin(now, dispatch.Request{Class: "reading", Deadline: now.Add(2 * work)})
	if _, again := core.Complete(now.Add(work), feasible, broken()); again {
		t.Error("another attempt was sent that can't end before the deadline")
	}
}

func TestFailingServerIsEjectedUnlessAllFail(t *testing.T) {
	core := single(3)
	now := start
	failing := map[string]bool{serverName(0): true}
	sent := send(core, now, 200, failing)
	if share := float64(sent[serverName(0)]) / 200; share > 0.05 {
		t.Errorf("a failing server still got %g of the requests", share)
	}
	all := map[string]bool{serverName(0): true, serverName(1): true, serverName(2): true}
	send(core, now.Add(3*time.Second), 100, all)
	if reached := send(core, now.Add(4*time.Second), 50, all); len(reached) < 2 {
		t.Errorf("with all servers failing only %v are used", reached)
	}
}

// send sends requests one after the other and counts them by server.
func send(core *dispatch.Core, now time.Time, count int, failing map[string]bool) map[string]int {
	reached := make(map[string]int)
	for range count {
		now = now.Add(step)
		a, refusal := core.Begin(now, request("turning", now))
		if refusal != nil || a.Waiting {
			continue
		}
		reached[a.Backend.Name]++
		outcome := ran()
		if failing[a.Backend.Name] {
			outcome = broken()
		}
		core.Complete(now.Add(step/2), a, outcome)
	}
	return reached
}

func TestReportsAreObeyedButCannotEmptyAService(t *testing.T) {
	core := single(3)
	core.SetConditions(start, []dispatch.Condition{{Backend: serverName(0), State: health.Leaving}})
	if got := send(core, start, 100, nil); got[serverName(0)] != 0 {
		t.Errorf("a leaving server got %d requests", got[serverName(0)])
	}
	reportAll([]*dispatch.Core{core}, start, health.Leaving)
	if got := send(core, start.Add(time.Second), 100, nil); len(got) == 0 {
		t.Error("reports that all servers are leaving emptied the service")
	}
	operators := configuration(3)
	for _, b := range operators.Backends() {
		b.State = catalogue.BackendLeaving
		operators = operators.WithBackend(b)
	}
	core.SetConfiguration(start.Add(time.Minute), operators)
	_, refusal := core.Begin(start.Add(time.Minute), request("turning", start.Add(time.Minute)))
	if refusal == nil || refusal.Cause != dispatch.CauseNoBackend {
		t.Errorf("operators set all servers to leaving, and a request was not refused with NoBackend: %v", refusal)
	}
}

func TestInstancesWithEqualListsNeverShareAnAssignedSlot(t *testing.T) {
	cores := fleet(15, true)
	used := make(map[string]int)
	for _, core := range cores {
		for range 15 * slots / instances {
			a, refusal := core.Begin(start, request("turning", start))
			if refusal != nil || a.Waiting {
				t.Fatal("an instance can't use its part of the slots")
			}
			used[a.Backend.Name]++
		}
	}
	wanted := make(map[string]int)
	for n := range 15 {
		wanted[serverName(n)] = slots
	}
	if diff := cmp.Diff(wanted, used); diff != "" {
		t.Errorf("requests at each server (-want +got):\n%s", diff)
	}
}

func TestStoppedInstanceRefusesAndLetsAttemptsEnd(t *testing.T) {
	core := single(1)
	a, _ := core.Begin(start, request("turning", start))
	core.Stop()
	_, refusal := core.Begin(start, request("turning", start))
	if refusal == nil || refusal.Verdict != verdict.NotRun || refusal.Cause != dispatch.CauseStopping {
		t.Errorf("a stopped instance answered %v", refusal)
	}
	if next, again := core.Complete(start, a, refusedBy(false)); !again || next.Ticket != a.Ticket {
		t.Error("a request in flight wasn't finished")
	}
}

func TestDecisionsOnServersAndClassesAreExplained(t *testing.T) {
	core := single(2)
	a, _ := core.Begin(start, request("turning", start))
	core.Complete(start, a, refusedBy(true))
	send(core, start, 200, map[string]bool{serverName(0): true, serverName(1): true})
	now := start.Add(time.Minute)
	for n := range 2_000 {
		at := now.Add(time.Duration(n) * time.Millisecond)
		if _, refusal := core.Begin(at, request("reading", at)); refusal != nil && refusal.Verdict != verdict.NotRun {
			t.Fatal(refusal)
		}
	}
	seen := make(map[string]bool)
	for _, n := range core.Notes() {
		seen[n.Action] = true
		if n.Subject == "" || n.Cause == "" {
			t.Errorf("a note lacks its subject or cause: %v", n)
		}
	}
	wanted := map[string]bool{"Cold": true, "Ejected": true, "NeedNotMet": true}
	for action := range wanted {
		if !seen[action] {
			t.Errorf("no note with action %s among %v", action, seen)
		}
	}
}

func TestInstanceWithoutConfigurationRefusesWithCauseAndRetryAfter(t *testing.T) {
	core := dispatch.New(member(0), 1, 1)
	_, refusal := core.Begin(start, dispatch.Request{Class: "reading", Deadline: start.Add(time.Second)})
	if refusal == nil || refusal.Verdict != verdict.NotRun || refusal.Cause != dispatch.CauseNoConfiguration || refusal.RetryAfter <= 0 {
		t.Errorf("an instance without a configuration answers %v", refusal)
	}
	core.SetConfiguration(start, configuration(1))
	_, refusal = core.Begin(start, dispatch.Request{Class: "unheard", Deadline: start.Add(time.Second)})
	if refusal == nil || refusal.Cause != dispatch.CauseUnknownClass {
		t.Errorf("for an unknown class, it answers %v", refusal)
	}
}

package matrix_test

import (
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/tanagerweir/tanagerweir/pkg/request/claim"
	"github.com/tanagerweir/tanagerweir/pkg/request/verdict"
	"github.com/tanagerweir/tanagerweir/pkg/trial"
	"github.com/tanagerweir/tanagerweir/pkg/trial/knownred"
	"github.com/tanagerweir/tanagerweir/pkg/trial/matrix"
)

// seeds are run in every cell: under the first the fault occurs once, under the
// others twice. An odd seed takes the deployment with four data centres.
var seeds = []uint64{2, 3}

// pairs is the number of cells with randomly drawn faults, and pairSeed draws
// them.
const (
	pairs    = 60
	pairSeed = 1
)

// knownRed skips a test that KNOWN-RED.txt lists and prints its entry. CI runs
// listed tests separately.
func knownRed(t *testing.T) {
	t.Helper()
	if line, listed := knownred.Entry("../../..", t.Name()); listed {
		t.Skip("KNOWN-RED:", line)
	}
}

// run returns a function that runs the cells on its first call and returns the
// observed violations by promise.
func run(cells ...matrix.Cell) func() map[trial.Promise][]string {
	return sync.OnceValue(func() map[trial.Promise][]string {
		violations := make(map[trial.Promise][]string)
		for _, c := range cells {
			for _, v := range c.Run() {
				violations[v.Promise] = append(violations[v.Promise], c.String()+": "+v.String())
			}
		}
		return violations
	})
}

// shown is the largest number of violations that a failure prints.
const shown = 3

// compare fails the test if there are any violations.
func compare(t *testing.T, violations []string) {
	t.Helper()
	var none []string
	if diff := cmp.Diff(none, violations[:min(shown, len(violations))]); len(violations) > 0 {
		t.Errorf("the promise was broken %d times (-want +got):\n%s", len(violations), diff)
	}
}

// TestMatrix runs every fault at every step, once with the fault occurring once
// and once with it occurring twice.
func TestMatrix(t *testing.T) {
	results := make(map[string]func() map[trial.Promise][]string)
	for _, f := range matrix.Faults() {
		for _, s := range matrix.Steps() {
			var cells []matrix.Cell
			for i, seed := range seeds {
				cells = append(cells, matrix.Cell{Step: s, Faults: []matrix.Fault{f}, Twice: i > 0, Seed: seed})
			}
			results[f.Name+"/"+s.Name] = run(cells...)
		}
	}
	for _, p := range trial.Promises() {
		t.Run(string(p), func(t *testing.T) {
			knownRed(t)
			for _, f := range matrix.Faults() {
				t.Run(f.Name, func(t *testing.T) {
					knownRed(t)
					for _, s := range matrix.Steps() {
						if matrix.Unchecked(p, f, s) != "" {
							continue
						}
						t.Run(s.Name, func(t *testing.T) {
							t.Parallel()
							knownRed(t)
							compare(t, results[f.Name+"/"+s.Name]()[p])
						})
					}
				})
			}
		})
	}
}

// TestPairs runs randomly drawn cells, most of them under two faults.
func TestPairs(t *testing.T) {
	cells := matrix.DrawCells(pairSeed, pairs)
	results := make(map[string]func() map[trial.Promise][]string)
	for _, c := range cells {
		results[c.String()] = run(c)
	}
	for _, p := range trial.Promises() {
		t.Run(string(p), func(t *testing.T) {
			knownRed(t)
			for _, c := range cells {
				t.Run(c.String(), func(t *testing.T) {
					t.Parallel()
					knownRed(t)
					compare(t, results[c.String()]()[p])
				})
			}
		})
	}
}

// TestCellsAreBusy guards against cells that keep every promise only because
// too few flows, packets or requests got through.
func TestCellsAreBusy(t *testing.T) {
	for _, s := range matrix.Steps() {
		c := matrix.Cell{Step: s, Faults: matrix.Faults()[:1], Seed: seeds[0]}
		cellTrial := c.Trial()
		cellTrial.Run(30 * time.Second)
		counts := cellTrial.Counts()
		if counts.Established < counts.Opened*9/10 || counts.Delivered < counts.Sent*3/4 || counts.Ran < counts.Requests*9/10 || counts.Versions == 0 {
			t.Errorf("%s: too little happened: %+v", s.Name, counts)
		}
	}
}

// TestSameSeedSameRun guards against runs that depend on more than the seed,
// such as the order of a map: a failing cell could not be reproduced.
func TestSameSeedSameRun(t *testing.T) {
	c := matrix.DrawCells(pairSeed, 1)[0]
	one, other := c.Trial(), c.Trial()
	if diff := cmp.Diff(one.Run(30*time.Second), other.Run(30*time.Second)); diff != "" {
		t.Errorf("two runs differ (-one +other):\n%s", diff)
	}
	if diff := cmp.Diff(one.Counts(), other.Counts()); diff != "" {
		t.Errorf("two runs differ (-one +other):\n%s", diff)
	}
}

// TestKeyThatRanElsewhereIsNotSaidNotRun guards against a false NotRun: a
// request with a key runs through one instance and is submitted again through
// another while the platform does not answer, so the second instance cannot see
// the claim.
func TestKeyThatRanElsewhereIsNotSaidNotRun(t *testing.T) {
	const key = "019b76da-a800-7000-8000-000000000001"
	now := time.Date(2026, 1, 1, 0, 0, 1, 0, time.UTC)
	first, second := claim.NewTracker("entry-1", 1), claim.NewTracker("entry-2", 2)
	first.Submit(now, claim.Submission{Key: key})
	if d := first.FinishClaim(now, key, claim.Result{Won: true, Revision: 1}); d.Step != claim.Dispatch {
		t.Fatalf("the won claim was not dispatched: %+v", d)
	}
	first.Finish(key, claim.Answer{Verdict: verdict.Ran})
	second.Submit(now, claim.Submission{Key: key})
	d := second.FinishClaim(now, key, claim.Result{Unanswered: true})
	if diff := cmp.Diff(verdict.MayHaveRun, d.Answer.Verdict); diff != "" {
		t.Errorf("verdict on a request that ran (-want +got):\n%s", diff)
	}
}

// TestJoinWhilePlatformIsDownServesFromPeers starts an instance with empty
// state while the platform is down. It must get members and configuration from
// its peers, as it can read neither from the platform.
func TestJoinWhilePlatformIsDownServesFromPeers(t *testing.T) {
	knownRed(t)
	joinTrial := trial.New(trial.Teranga(), 1)
	joinTrial.Schedule(8*time.Second, joinTrial.HoldBack("dakar-3"))
	joinTrial.Schedule(5*time.Second, func() { joinTrial.Platform.Down(20 * time.Second) })
	compare(t, outcome(joinTrial))
}

// outcome runs the trial for 20 s and returns its violations.
func outcome(joinTrial *trial.Trial) []string {
	var violations []string
	for _, v := range joinTrial.Run(20 * time.Second) {
		violations = append(violations, v.String())
	}
	return violations
}

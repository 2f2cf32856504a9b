package capacity_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/tanagerweir/tanagerweir/pkg/connection/capacity"
)

var endpoint = netip.MustParseAddrPort("198.18.0.1:443")

const usual = 20 * time.Millisecond

// logNormal draws a length with that mean and spread.
func logNormal(r *rand.Rand, mean, spread float64) uint32 {
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	return uint32(mean * math.Exp(sigma*r.NormFloat64()-sigma*sigma/2))
}

// Errors of 100 to 200 bytes must be told apart from good answers of any usual length, also
// where three in five servers fail three in five requests, and if a header of 150 bytes is
// added. The bounds on good answers that count as errors are those of the distributions: of
// a log-normal one with a mean of 600 and a spread of a half, 1.8 % are shorter than 200
// bytes, and of the 24 % between 200 and 400 one in nine comes fast.
func TestClassifyTellsErrorsFromAnswers(t *testing.T) {
	for _, test := range []struct{ mean, spread, errorShare, header, missed, wrong float64 }{
		{600, 0.5, 0, 0, 0, 0.06},
		{600, 0.5, 0.05, 0, 0.01, 0.06},
		{600, 0.5, 0.36, 0, 0.01, 0.06},
		{600, 0.5, 0.18, 150, 0.01, 0.04},
		{600, 1, 0.18, 0, 0.01, 0.24},
		{600, 1, 0.36, 150, 0.02, 0.1},
		{800, 0.5, 0.18, 0, 0.01, 0.03},
		{1000, 0.5, 0.36, 0, 0.01, 0.02},
		{1000, 1, 0.36, 0, 0.01, 0.12},
		{20000, 0.5, 0.36, 150, 0.01, 0},
		{20000, 1, 0.36, 0, 0.01, 0},
		{300, 0, 0, 0, 0, 0},
	} {
		t.Run(fmt.Sprintf("mean=%v/spread=%v/errors=%v/header=%v", test.mean, test.spread, test.errorShare, test.header), func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, 1))
			route, server := capacity.New(capacity.Options{}).Route(endpoint, "board"), capacity.Server{}
			var errs, answers, missed, wrong float64
			for n := range 5000 {
				isError := r.Float64() < test.errorShare
				length, waited := logNormal(r, test.mean, test.spread), time.Duration(logNormal(r, float64(usual), 0.5))
				if isError {
					length, waited = 100+r.Uint32N(101), usual/10
				}
				outcome := route.Classify(length+uint32(test.header), waited)
				server.RecordAnswer(0, route, waited, outcome)
				switch {
				case n < 100: // the route's lengths are being learnt
				case isError:
					errs++
					if outcome == capacity.Good {
						missed++
					}
				default:
					answers++
					if outcome != capacity.Good {
						wrong++
					}
				}
			}
			t.Logf("of errors %.4f missed, of answers %.4f taken for errors", missed/max(errs, 1), wrong/answers)
			if missed/max(errs, 1) > test.missed || wrong/answers > test.wrong {
				t.Errorf("of errors %.4f missed, of answers %.4f taken for errors", missed/max(errs, 1), wrong/answers)
			}
		})
	}
}

// A route whose good answers are as short as errors must not lose its servers, nor one
// of which nothing is known yet.
func TestShortAnswersOfARouteAreNoErrors(t *testing.T) {
	route := capacity.New(capacity.Options{}).Route(endpoint, "board")
	for range 100 {
		if got := route.Classify(110, usual); got != capacity.Good {
			t.Fatalf("outcome %v", got)
		}
	}
}

// pool is one instance's view of some servers with two slots each.
type pool struct {
	core    *capacity.Core
	servers []capacity.Usable
	now     time.Duration
	fleet   capacity.Fleet
}

func newPool(n int) *pool {
	p := &pool{core: capacity.New(capacity.Options{}), now: time.Second, fleet: capacity.Fleet{Rank: func(string) int { return 0 }}}
	for i := range n {
		p.servers = append(p.servers, capacity.Usable{Server: &capacity.Server{}, ID: fmt.Sprint(i), Slots: 2})
	}
	return p
}

// answer records answers at a server of which every so many are errors, 0 for none.
func (p *pool) answer(server, answers, errorEach int, waited time.Duration) {
	route := p.core.Route(endpoint, "board")
	for n := range answers {
		outcome := capacity.Good
		if errorEach > 0 && n%errorEach == 0 {
			outcome = capacity.Short
		}
		p.servers[server].RecordAnswer(p.now, route, waited, outcome)
	}
}

func (p *pool) update(after time.Duration) []capacity.State {
	p.now += after
	p.core.Update(p.now, "board", p.servers, p.fleet)
	states := make([]capacity.State, len(p.servers))
	for i, v := range p.servers {
		states[i] = v.State()
	}
	return states
}

// persist updates for as long as a server has to be an outlier.
func (p *pool) persist() []capacity.State {
	p.update(0)
	return p.update(600 * time.Millisecond)
}

func statesOf(n int, others map[int]capacity.State) []capacity.State {
	states := make([]capacity.State, n)
	for i, s := range others {
		states[i] = s
	}
	return states
}

func requireStates(t *testing.T, got, want []capacity.State) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("states (-want +got):\n%s", diff)
	}
}

// A server is ejected once it was an outlier for 0.6 s. Ejections last 2 s, then 4, 8 and 16 s; each ends with a trial, a failed trial begins the
// next, and good trials double the limit until the server has its slots.
func TestEjectionDoublesAndEndsByTrials(t *testing.T) {
	p := newPool(4)
	for i := range 4 {
		p.answer(i, 10, map[int]int{2: 2}[i], usual)
	}
	requireStates(t, p.update(0), statesOf(4, nil))
	requireStates(t, p.update(600*time.Millisecond), statesOf(4, map[int]capacity.State{2: capacity.Ejected}))
	v := p.servers[2]
	for _, lasts := range []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second, 16 * time.Second, 16 * time.Second} {
		if v.Accepts(p.now, true) || v.Limit(2) != 0 {
			t.Fatal("an ejected server accepts a flow")
		}
		if got := p.update(lasts - 100*time.Millisecond); got[2] != capacity.Ejected {
			t.Fatalf("state %v before the end of %v", got[2], lasts)
		}
		if got := p.update(100 * time.Millisecond); got[2] != capacity.Probed {
			t.Fatalf("state %v after %v", got[2], lasts)
		}
		if v.Accepts(p.now, false) {
			t.Fatal("a request that can't be repeated is a trial")
		}
		if !v.Accepts(p.now, true) {
			t.Fatal("a probed server accepts no trial")
		}
		v.RecordFlow(p.now)
		if v.Accepts(p.now, true) {
			t.Fatal("a second trial at a time is accepted")
		}
		v.RecordFailure(p.now)
		if got := p.update(0); got[2] != capacity.Ejected {
			t.Fatalf("state %v after a failed trial", got[2])
		}
	}
	p.update(16 * time.Second)
	for _, want := range []int{2, 2, 2} {
		v.RecordFlow(p.now)
		p.answer(2, 1, 0, usual)
		if got := v.Limit(2); got != want {
			t.Fatalf("limit %d after a good trial", got)
		}
	}
	requireStates(t, p.update(0), statesOf(4, nil))
}

// At most 30 % of the slots are ejected, the clearest outliers first.
func TestEjectionsAreCapped(t *testing.T) {
	p := newPool(10)
	for i := range 10 {
		p.answer(i, 12, []int{1, 2, 2, 1, 1}[i%5]*map[bool]int{true: 1}[i < 5], usual)
	}
	requireStates(t, p.persist(), statesOf(10, map[int]capacity.State{0: capacity.Ejected, 3: capacity.Ejected, 4: capacity.Ejected}))
}

// Failures common to all servers eject none, nor does the only server with evidence.
func TestCommonFailuresEjectNone(t *testing.T) {
	p := newPool(10)
	for i := range 10 {
		p.answer(i, 12, 2, usual)
	}
	requireStates(t, p.persist(), statesOf(10, nil))
	p = newPool(10)
	p.answer(0, 12, 1, usual)
	requireStates(t, p.persist(), statesOf(10, nil))
	if p.servers[0].Penalty(true) <= 0 {
		t.Error("flows don't move to the servers of which nothing is known")
	}
}

// Where others report, an instance's own failures alone don't suffice.
func TestEjectionNeedsASecondInstance(t *testing.T) {
	good := capacity.Evidence{Answered: 10, AnswerTime: usual}
	for _, test := range []struct {
		reported capacity.Evidence
		want     capacity.State
	}{
		{good, capacity.Healthy},
		{capacity.Evidence{Answered: 10, Failed: 1}, capacity.Healthy},
		{capacity.Evidence{Answered: 10, Failed: 5}, capacity.Ejected},
	} {
		p := newPool(4)
		p.fleet.Reporting = 1
		for i := range 4 {
			p.answer(i, 10, map[int]int{2: 1}[i], usual)
			p.servers[i].ClearReports(p.now)
			e := good
			if i == 2 {
				e = test.reported
			}
			p.servers[i].AddReport(capacity.Report{Evidence: e})
		}
		if got := p.persist(); got[2] != test.want {
			t.Errorf("reported %+v: state %v", test.reported, got[2])
		}
	}
}

// A slow server gets a matching share, and its slots again once it answers as others do.
func TestSlowServerIsLimited(t *testing.T) {
	p := newPool(4)
	for i := range 4 {
		p.answer(i, 10, 0, map[bool]time.Duration{true: 4 * usual, false: usual}[i == 1])
	}
	requireStates(t, p.update(0), statesOf(4, map[int]capacity.State{1: capacity.Limited}))
	if got := p.servers[1].Limit(8); got < 2 || got > 3 {
		t.Errorf("limit %d of 8 slots at four times the answer time", got)
	}
	if !p.servers[1].Accepts(p.now, false) {
		t.Error("a slow server gets nothing")
	}
	p.now += 20 * time.Second
	for i := range 4 {
		p.answer(i, 10, 0, usual)
	}
	requireStates(t, p.update(0), statesOf(4, nil))
}

// The half-life of evidence is part of the messages between instances.
func TestEvidenceHalvesInTwoSeconds(t *testing.T) {
	p := newPool(1)
	p.answer(0, 8, 2, usual)
	got := p.servers[0].Own(p.now + 2*time.Second)
	if diff := cmp.Diff(capacity.Evidence{Answered: 4, Failed: 2, AnswerTime: usual}, got); diff != "" {
		t.Errorf("evidence (-want +got):\n%s", diff)
	}
}

// An answer that comes after its request counted as failed takes that back.
func TestLateAnswerRevokesTheFailure(t *testing.T) {
	p := newPool(1)
	at := p.now
	p.servers[0].RecordFailure(at)
	p.servers[0].RevokeFailure(at+time.Second, at)
	if got := p.servers[0].Own(at + time.Second); got.Failed > 1e-9 || got.Answered > 1e-9 {
		t.Errorf("evidence %+v", got)
	}
}

package placement_test

import (
	"math/rand/v2"
	"testing"

	"github.com/tanagerweir/tanagerweir/pkg/connection/placement"
)

func choose(draw uint64, candidates ...placement.Candidate) (int, bool) {
	best := placement.NewBest(draw, placement.Score)
	for i, c := range candidates {
		best.Offer(i, c)
	}
	return best.Choice()
}

func TestLocalServerIsChosenUntilItIsOverloaded(t *testing.T) {
	remote := placement.Candidate{Slots: 3}
	for running, want := range map[float64]int{0: 0, 3: 0, 5: 0, 7: 1, 12: 1} {
		local := placement.Candidate{Slots: 3, Local: true, Running: running}
		if got, _ := choose(1, local, remote); got != want {
			t.Errorf("with %v requests running locally: chose server %d", running, got)
		}
	}
}

// Guards against a full data centre that keeps its flows until its servers shed, while
// others have room, where instances know the average load.
func TestFlowsLeaveEarlierWhereTheLoadIsAveraged(t *testing.T) {
	remote := placement.Candidate{Slots: 3, Averaged: true}
	for running, want := range map[float64]int{0: 0, 2: 0, 4: 1, 7: 1} {
		local := placement.Candidate{Slots: 3, Local: true, Running: running, Averaged: true}
		if got, _ := choose(1, local, remote); got != want {
			t.Errorf("with %v requests running locally: chose server %d", running, got)
		}
	}
}

func TestServerWithPenaltyIsChosenLast(t *testing.T) {
	penalised := placement.Candidate{Slots: 3, Local: true, Penalty: 3}
	if got, _ := choose(1, penalised, placement.Candidate{Slots: 3}); got != 1 {
		t.Errorf("chose server %d, the one with a penalty, want 1", got)
	}
	if got, ok := choose(1, penalised); got != 0 || !ok {
		t.Errorf("with one candidate: chose server %d, %v", got, ok)
	}
}

func TestSearchWithoutCandidatesHasNoChoice(t *testing.T) {
	if _, ok := choose(1); ok {
		t.Error("chose a server though there was no candidate")
	}
}

// Requests of random duration go to servers with different numbers of slots: no
// server may get more requests than slots while others are free.
func TestRequestsOverServersOfUnequalSize(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	slots := []int{1, 2, 3, 4, 6}
	running := make([][]int, len(slots))
	worst := 0.0
	for now := range 20_000 {
		for i := range running {
			running[i] = endingAfter(running[i], now)
		}
		if random.IntN(4) == 0 {
			continue
		}
		candidates := make([]placement.Candidate, len(slots))
		for i := range slots {
			candidates[i] = placement.Candidate{Slots: slots[i], Running: float64(len(running[i])), Local: true}
		}
		i, _ := choose(random.Uint64(), candidates...)
		running[i] = append(running[i], now+5+random.IntN(10))
		worst = max(worst, float64(len(running[i]))/float64(slots[i]))
	}
	// 0.75 requests a step that last 9.5 steps each take 7.1 of 16 slots on average.
	if worst > 1 {
		t.Errorf("a server had %.2f requests a slot", worst)
	}
}

// endingAfter returns the ends of requests that are after now.
func endingAfter(ends []int, now int) []int {
	var remaining []int
	for _, end := range ends {
		if end > now {
			remaining = append(remaining, end)
		}
	}
	return remaining
}

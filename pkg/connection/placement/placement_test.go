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

func TestLocalServerIsChosenUntilItIsOverrun(t *testing.T) {
	remote := placement.Candidate{Slots: 3}
	for running, want := range map[float64]int{0: 0, 3: 0, 5: 0, 7: 1, 12: 1} {
		local := placement.Candidate{Slots: 3, Local: true, Running: running}
		if got, _ := choose(1, local, remote); got != want {
			t.Errorf("with %v running locally: server %d", running, got)
		}
	}
}

func TestDoubtfulServerIsLeftToOthers(t *testing.T) {
	doubtful := placement.Candidate{Slots: 3, Local: true, Penalty: 3}
	if got, _ := choose(1, doubtful, placement.Candidate{Slots: 3}); got != 1 {
		t.Errorf("server %d", got)
	}
	if got, ok := choose(1, doubtful); got != 0 || !ok {
		t.Errorf("alone: server %d, %v", got, ok)
	}
}

func TestNoCandidateIsNoChoice(t *testing.T) {
	if _, ok := choose(1); ok {
		t.Error("chose a server of none")
	}
}

// TestRequestsOverServersOfUnequalSize plays requests that stay for a drawn time
// and checks that no server gets more than its slots while others are free.
func TestRequestsOverServersOfUnequalSize(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	slots := []int{1, 2, 3, 4, 6}
	running := make([][]int, len(slots))
	worst := 0.0
	for now := range 20_000 {
		for i := range running {
			running[i] = left(running[i], now)
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
	// 0.75 a step, 9.5 steps each: 7.1 of 16 slots on average.
	if worst > 1 {
		t.Errorf("a server had %.2f requests a slot", worst)
	}
}

// left returns the requests that end after now.
func left(ends []int, now int) []int {
	var still []int
	for _, end := range ends {
		if end > now {
			still = append(still, end)
		}
	}
	return still
}

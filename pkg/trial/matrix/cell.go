package matrix

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/trial"
)

// Cell is one step under one or more faults.
type Cell struct {
	Step   Step
	Faults []Fault
	// Twice says that each fault occurs twice.
	Twice bool
	Seed  uint64
}

// String returns the faults, the step, how often the faults occur and the seed.
// Names of subtests are made of it.
func (c Cell) String() string {
	var names []string
	for _, f := range c.Faults {
		names = append(names, f.Name)
	}
	times := "once"
	if c.Twice {
		times = "twice"
	}
	return fmt.Sprintf("%s/%s/%s/seed=%d", strings.Join(names, "And"), c.Step.Name, times, c.Seed)
}

// When faults occur. The seed draws the first occurrence of a fault within
// firstFaultSpan of firstFaultFrom, and the second one within secondFaultSpan
// of secondFaultAfter after the first.
const (
	firstFaultFrom   = stepAt - 2*time.Second
	firstFaultSpan   = 4 * time.Second
	secondFaultAfter = 3 * time.Second
	secondFaultSpan  = 4 * time.Second
)

// Trial returns the cell's trial, ready to run. An odd seed takes the
// deployment with four data centres, an even one that with three.
func (c Cell) Trial() *trial.Trial {
	plan := trial.Teranga()
	if c.Seed%2 == 1 {
		plan = trial.Kovacsreti()
	}
	t := trial.New(plan, c.Seed)
	background(t)
	for i, f := range c.Faults {
		at := firstFaultFrom + time.Duration(t.Random().Int64N(int64(firstFaultSpan)))
		t.Schedule(at, f.prepare(t, i))
		if c.Twice {
			at += secondFaultAfter + time.Duration(t.Random().Int64N(int64(secondFaultSpan)))
			t.Schedule(at, f.prepare(t, i+len(c.Faults)))
		}
	}
	c.Step.prepare(t)
	return t
}

// Run runs the cell and returns the violations of promises.
func (c Cell) Run() []trial.Violation { return c.Trial().Run(cellEnd) }

// SingleFaultCells returns one cell for each combination of a single fault and a
// step.
func SingleFaultCells(seed uint64, twice bool) []Cell {
	var cells []Cell
	for _, f := range Faults() {
		for _, s := range Steps() {
			cells = append(cells, Cell{Step: s, Faults: []Fault{f}, Twice: twice, Seed: seed})
		}
	}
	return cells
}

// drawStream is the PCG stream that draws cells. It differs from that of the
// trials, so that a trial with the same seed draws other numbers.
const drawStream = 11

// DrawCells draws count cells: a step under one or two faults that occur once or
// twice each.
func DrawCells(seed uint64, count int) []Cell {
	random := rand.New(rand.NewPCG(seed, drawStream))
	faults, steps := Faults(), Steps()
	var cells []Cell
	for range count {
		c := Cell{
			Step:   steps[random.IntN(len(steps))],
			Faults: []Fault{faults[random.IntN(len(faults))]},
			Twice:  random.IntN(2) == 1,
			Seed:   random.Uint64N(1 << 32),
		}
		if second := faults[random.IntN(len(faults))]; random.IntN(4) > 0 && second.Name != c.Faults[0].Name {
			c.Faults = append(c.Faults, second)
		}
		cells = append(cells, c)
	}
	return cells
}

package matrix

import (
	"github.com/tanagerweir/tanagerweir/pkg/bench"
	"github.com/tanagerweir/tanagerweir/pkg/trial"
)

// RunDrawnCells runs count drawn cells and returns the amount of work in them and,
// for each promise, the number of cells that violated it. broken is called with
// each cell that violated any.
func RunDrawnCells(seed uint64, count int, broken func(Cell, []trial.Violation)) []bench.Row {
	cells := DrawCells(seed, count)
	failingByPromise := make(map[trial.Promise]int)
	failingCells := 0
	var counts trial.Counts
	for _, c := range cells {
		t := c.Trial()
		violations := t.Run(cellEnd)
		counts = counts.Plus(t.Counts())
		if len(violations) == 0 {
			continue
		}
		failingCells++
		broken(c, violations)
		for p := range promisesOf(violations) {
			failingByPromise[p]++
		}
	}
	rows := []bench.Row{
		bench.Measured(bench.Tanagerweir, "Cells", float64(len(cells)), "cells"),
		bench.Measured(bench.Tanagerweir, "FlowsOpened", float64(counts.Opened), "flows"),
		bench.Measured(bench.Tanagerweir, "PacketsSent", float64(counts.Sent), "packets"),
		bench.Measured(bench.Tanagerweir, "RequestsAsked", float64(counts.Requests), "requests"),
		bench.AtMost(bench.Tanagerweir, "FailingCells", float64(failingCells), "cells", 0),
	}
	for _, p := range trial.Promises() {
		rows = append(rows, bench.AtMost(bench.Tanagerweir, "Failing"+string(p), float64(failingByPromise[p]), "cells", 0))
	}
	return rows
}

// promisesOf returns the set of promises that were violated.
func promisesOf(violations []trial.Violation) map[trial.Promise]bool {
	promises := make(map[trial.Promise]bool)
	for _, v := range violations {
		promises[v.Promise] = true
	}
	return promises
}

// Package requests measures the dispatch of requests and compares it with
// baselines.
//
// It drives the production cores of nine instances with fifteen backend servers
// in injected time: at a twentieth, once, three times and ten times the capacity,
// each following the one before at once, with every server shedding, and with
// half of them cold. Keys are submitted to instances that die, pause and lose
// the platform. Faults of the path to a backend server and the added latency are
// measured over loopback.
//
// # Usage
//
//	rows, err := requests.Run(ctx, seed)
package requests

import (
	"context"

	"github.com/tanagerweir/tanagerweir/pkg/bench"
)

// Run returns the rows of this project's design and of the baselines. It fails if
// a measurement over loopback does.
func Run(ctx context.Context, seed uint64) ([]bench.Row, error) {
	var rows []bench.Row
	for _, design := range []string{bench.Tanagerweir, noAdmission, fixedLimit, roundRobin} {
		rows = append(rows, Decisions(design, seed)...)
	}
	for _, measure := range []func(context.Context) ([]bench.Row, error){pathRows, latencyRows} {
		more, err := measure(ctx)
		if err != nil {
			return nil, err
		}
		rows = append(rows, more...)
	}
	return rows, nil
}

// Decisions returns the rows of one design that need no sockets: those in injected
// time. The design is bench.Tanagerweir or the name of a baseline.
func Decisions(design string, seed uint64) []bench.Row {
	rows := loadRows(design, seed)
	rows = append(rows, sheddingRows(design, seed)...)
	rows = append(rows, coldRows(design, seed)...)
	return append(rows, Keys(design, seed)...)
}

package cmds

import (
	"context"
	"fmt"
	"io"
	"log"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/tanagerweir/tanagerweir/pkg/bench"
	"github.com/tanagerweir/tanagerweir/pkg/bench/capacity"
	"github.com/tanagerweir/tanagerweir/pkg/bench/configuration"
	"github.com/tanagerweir/tanagerweir/pkg/bench/flows"
	"github.com/tanagerweir/tanagerweir/pkg/bench/requests"
	"github.com/tanagerweir/tanagerweir/pkg/trial"
	"github.com/tanagerweir/tanagerweir/pkg/trial/matrix"
)

const (
	flagSeed  = "seed"
	flagCells = "cells"

	defaultCells = 200
	maxCells     = 100_000
)

func benchCommand() *cli.Command {
	return &cli.Command{
		Name:  "bench",
		Usage: "measure the balancer's decisions against their bounds and against baselines",
		Commands: []*cli.Command{
			benchmarkCommand("capacity", "measure how state, messages and time grow with the size of the deployment", measureCapacity),
			benchmarkCommand("configuration", "measure how changes come into force, with failures and at scale", measureConfiguration),
			benchmarkCommand("flows", "measure how flows are kept, against baselines", measureFlows),
			benchmarkCommand("matrix", "run cells of the fault matrix and count broken promises", measureMatrix, cellsFlag()),
			benchmarkCommand("requests", "measure verdicts, at-most-once execution, admission and cold starts", measureRequests),
		},
	}
}

// measureFunc runs one benchmark and returns its results.
type measureFunc func(ctx context.Context, c *cli.Command) ([]bench.Row, error)

func benchmarkCommand(name, usage string, measure measureFunc, flags ...cli.Flag) *cli.Command {
	seed := &cli.Uint64Flag{Name: flagSeed, Value: 1, Usage: "seed of the random numbers"}
	return &cli.Command{
		Name:      name,
		Usage:     usage,
		UsageText: fmt.Sprintf("weirctl bench %s --seed 1 --format json", name),
		Flags:     append([]cli.Flag{seed}, flags...),
		Action: func(ctx context.Context, c *cli.Command) error {
			rows, err := measure(ctx, c)
			if err != nil {
				return err
			}
			return writeRows(c, rows)
		},
	}
}

func writeRows(c *cli.Command, rows []bench.Row) error {
	if c.String(flagFormat) == formatJSON {
		return bench.WriteJSON(c.Root().Writer, rows)
	}
	return bench.WriteTable(c.Root().Writer, rows)
}

func measureCapacity(_ context.Context, c *cli.Command) ([]bench.Row, error) {
	return capacity.Rows(c.Uint64(flagSeed)), nil
}

func measureConfiguration(ctx context.Context, c *cli.Command) ([]bench.Row, error) {
	return configuration.Run(ctx, c.Uint64(flagSeed))
}

func measureFlows(_ context.Context, c *cli.Command) ([]bench.Row, error) {
	return flows.Measure(c.Uint64(flagSeed), flows.FullScale()), nil
}

func measureRequests(ctx context.Context, c *cli.Command) ([]bench.Row, error) {
	// net/http logs each duplicate answer to the standard logger.
	log.SetOutput(io.Discard)
	return requests.Run(ctx, c.Uint64(flagSeed))
}

func cellsFlag() cli.Flag {
	return &cli.IntFlag{Name: flagCells, Value: defaultCells, Usage: "number of cells to run", Validator: checkCells}
}

func checkCells(n int) error {
	if n < 1 || n > maxCells {
		return errors.Errorf("cells %d: allowed are 1 to %d", n, maxCells)
	}
	return nil
}

// measureMatrix also prints the first violation of each cell that broke a promise
// to the error output.
func measureMatrix(_ context.Context, c *cli.Command) ([]bench.Row, error) {
	errOut := c.Root().ErrWriter
	return matrix.RunDrawnCells(c.Uint64(flagSeed), c.Int(flagCells), func(cell matrix.Cell, violations []trial.Violation) {
		fmt.Fprintf(errOut, "%s: %s (%d in all)\n", cell, violations[0], len(violations))
	}), nil
}

package cmds

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/tanagerweir/tanagerweir/cmd/internal/soak"
	"github.com/tanagerweir/tanagerweir/cmd/internal/tree"
)

// ErrPromiseBroken is returned if a promise was broken in a soak or an emulated day.
var ErrPromiseBroken = errors.New("a promise was broken")

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:      "soak",
		Usage:     "run instances as processes, inject faults drawn from a seed into them from outside, and check what callers and backend servers see",
		UsageText: "weirctl soak --binary target/tanagerweir --seed 1 --seeds 5 --for 10s",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "binary", Value: "target/tanagerweir", Usage: "program that runs an instance"},
			&cli.StringFlag{Name: "previous", Usage: "program of an earlier build: instances start with it, and change to the other build at each restart"},
			&cli.BoolFlag{Name: "replace", Usage: "replace the earlier build at one instance after the other, instead of drawing faults; half way some go back"},
			&cli.IntFlag{Name: "instances", Value: 4, Usage: "number of instances"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first seed"},
			&cli.Uint64Flag{Name: "seeds", Value: 1, Usage: "number of consecutive seeds to run"},
			&cli.DurationFlag{Name: "for", Value: 10 * time.Second, Usage: "how long faults are injected for each seed"},
			&cli.StringFlag{Name: "logs", Usage: "directory to keep the logs of instances in"},
		},
		Action: runSoak,
	}
}

func runSoak(ctx context.Context, c *cli.Command) error {
	if c.Int("instances") < 1 || c.Bool("replace") && c.String("previous") == "" {
		return errors.Wrap(tree.ErrUsage, "instances must be 1 or more, and replace needs the program of the earlier build")
	}
	broken := false
	for n := range c.Uint64("seeds") {
		r, err := soak.Run(ctx, soak.Options{
			Binary: c.String("binary"), Previous: c.String("previous"), Seed: c.Uint64("seed") + n, For: c.Duration("for"), LogDirectory: c.String("logs"),
			Replace: c.Bool("replace"), Instances: c.Int("instances"),
		})
		if err != nil {
			return err
		}
		out := c.Root().Writer
		fmt.Fprintf(out, "Seed %d: %d faults, %d of %d requests served, %d promises broken.\n", r.Seed, len(r.Faults), r.Served, r.Asked, len(r.Broken))
		if r.ReplacedIn > 0 {
			fmt.Fprintf(out, "All %d instances had the other build after %.1f s.\n", c.Int("instances"), r.ReplacedIn.Seconds())
		}
		if len(r.Broken) == 0 {
			continue
		}
		broken = true
		for _, line := range append(r.Faults, r.Broken...) {
			fmt.Fprintln(out, line)
		}
		fmt.Fprintf(out, "Again: weirctl soak --seed %d --for %v --binary %s", r.Seed, c.Duration("for"), c.String("binary"))
		if previous := c.String("previous"); previous != "" {
			fmt.Fprintf(out, " --previous %s", previous)
		}
		fmt.Fprintln(out)
	}
	if broken {
		return ErrPromiseBroken
	}
	return nil
}

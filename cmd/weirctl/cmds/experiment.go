package cmds

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/tanagerweir/tanagerweir/cmd/internal/tree"
	"github.com/tanagerweir/tanagerweir/pkg/emulation"
	"github.com/tanagerweir/tanagerweir/pkg/emulation/day"
	"github.com/tanagerweir/tanagerweir/pkg/emulation/experiment"
	"github.com/tanagerweir/tanagerweir/pkg/process/settings"
	"github.com/tanagerweir/tanagerweir/platform/emulated"
)

func experimentCommand() *cli.Command {
	return &cli.Command{
		Name:      "experiment",
		Usage:     "emulate days with and without mechanisms over the same seeds, and say what each mechanism is worth",
		ArgsUsage: "EXPERIMENT.ini",
		UsageText: "weirctl experiment --results crowd.jsonl examples/experiments/crowd.ini\nweirctl experiment --results new.jsonl --against old.jsonl examples/experiments/small.ini",
		Description: "Each run is appended to the file of results; runs that stand there aren't played again, so that an interrupted experiment goes on. " +
			"Exit codes: 0 done, 1 a run failed or a file can't be read or written, 2 wrong arguments or experiment.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "results", Usage: "`FILE` of results, one run a line"},
			&cli.StringFlag{Name: "against", Usage: "`FILE` of results of an earlier version, with which each cell is compared"},
			&cli.IntFlag{Name: "jobs", Value: 2, Usage: "runs at the same time, each on one core"},
		},
		Action: runExperiment,
	}
}

func runExperiment(ctx context.Context, c *cli.Command) (err error) {
	if c.Args().Len() != 1 {
		return errors.Wrap(tree.ErrUsage, "experiment takes one file")
	}
	e, err := experiment.Load(c.Args().First())
	var invalid *settings.ProblemsError
	if errors.As(err, &invalid) {
		return errors.Wrapf(tree.ErrUsage, "%s: %v", c.Args().First(), err)
	}
	if err != nil {
		return err
	}
	days, err := loadDays(e.Days)
	if err != nil {
		return err
	}
	var earlier []experiment.Row
	if name := c.String("against"); name != "" {
		if earlier, err = readResults(name); err != nil {
			return err
		}
	}
	o := experiment.Options{Jobs: c.Int("jobs"), Play: player{days: days, drawn: e.Drawn}.play, Progress: progress(c.Root().ErrWriter)}
	if name := c.String("results"); name != "" {
		file, done, err := openResults(name)
		if err != nil {
			return err
		}
		defer func() {
			if closeErr := file.Close(); err == nil && closeErr != nil {
				err = errors.Wrap(closeErr, "write results")
			}
		}()
		o.Results, o.Done = file, done
	}
	rows, err := experiment.Run(ctx, e, o)
	if err != nil {
		return err
	}
	differences := experiment.Compare(rows, e.Cells[0].Name)
	if earlier != nil {
		differences = experiment.CompareVersions(earlier, rows)
	}
	return writeDifferences(c, differences)
}

// progress returns a function that prints how many runs are done, about twenty times.
func progress(out io.Writer) func(done, all int) {
	return func(done, all int) {
		if step := max(all/20, 1); done%step == 0 || done == all {
			fmt.Fprintf(out, "%d of %d runs done\n", done, all)
		}
	}
}

func loadDays(files []string) (map[string]day.Day, error) {
	days := make(map[string]day.Day, len(files))
	for _, file := range files {
		d, err := day.Load(file)
		var invalid *settings.ProblemsError
		if errors.As(err, &invalid) {
			return nil, errors.Wrapf(tree.ErrUsage, "%s: %v", file, err)
		}
		if err != nil {
			return nil, err
		}
		days[file] = d
	}
	return days, nil
}

func readResults(name string) ([]experiment.Row, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "read results")
	}
	defer func() { _ = file.Close() }() // it was only read
	return experiment.Read(file)
}

// openResults opens a file of results to append to, and returns its rows. A last line that was
// cut off is removed.
func openResults(name string) (*os.File, []experiment.Row, error) {
	data, err := os.ReadFile(name)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, nil, errors.Wrap(err, "read results")
	}
	whole := len(data)
	for whole > 0 && data[whole-1] != '\n' {
		whole--
	}
	file, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, nil, errors.Wrap(err, "open results")
	}
	rows, err := experiment.Read(file)
	if err == nil {
		err = file.Truncate(int64(whole))
	}
	if err == nil {
		_, err = file.Seek(int64(whole), io.SeekStart)
	}
	if err != nil {
		_ = file.Close() // nothing was written
		return nil, nil, errors.Wrap(err, "open results")
	}
	return file, rows, nil
}

// player plays emulated days.
type player struct {
	days  map[string]day.Day
	drawn bool
}

func (p player) play(_ context.Context, name string, seed uint64, c experiment.Cell) (map[string]float64, error) {
	d := p.days[name]
	if p.drawn {
		d = d.WithFaults(day.DrawFaults(d, seed))
	}
	r, err := emulation.Run(d, emulation.Options{Seed: seed, Platform: emulated.Platform{}, Policy: c.Policy})
	if err != nil {
		return nil, err
	}
	measures := map[string]float64{
		"Worth": r.Worth, "WorstWindows": r.WorstWindows, "Broken": float64(r.Broken), "StoreCalls": float64(r.StoreCalls), "BytesBetween": float64(r.BytesBetween),
	}
	for i, level := range r.Classes {
		measures["OnTime "+d.Classes[i].Name] = float64(level.OnTime) / float64(max(level.Asked, 1))
	}
	return measures, nil
}

func writeDifferences(c *cli.Command, differences []experiment.Difference) error {
	r := rows{head: []string{"Day", "Cell", "Measure", "Base", "Difference", "Low", "High", "Seeds"}}
	for _, d := range differences {
		difference := "no difference seen"
		if d.Seen() {
			difference = fmt.Sprintf("%+.4f", d.Mean)
		}
		r.add(d.Day, d.Cell, d.Measure, fmt.Sprintf("%.4f", d.Base), difference, fmt.Sprintf("%+.4f", d.Low), fmt.Sprintf("%+.4f", d.High), fmt.Sprint(d.Pairs))
	}
	return r.write(c.Root().Writer, c.String(flagFormat))
}

package cmds

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/tanagerweir/tanagerweir/cmd/internal/tree"
	"github.com/tanagerweir/tanagerweir/pkg/connection/mechanism"
	"github.com/tanagerweir/tanagerweir/pkg/emulation"
	"github.com/tanagerweir/tanagerweir/pkg/emulation/day"
	"github.com/tanagerweir/tanagerweir/pkg/process/settings"
	"github.com/tanagerweir/tanagerweir/platform/emulated"
)

func emulateCommand() *cli.Command {
	return &cli.Command{
		Name:      "emulate",
		Usage:     "emulate a day of a deployment in virtual time, and check its promises",
		ArgsUsage: "DAY.ini",
		UsageText: "weirctl emulate examples/emulation/dakar.ini\nweirctl emulate --seed 7 --runs 20 --drawn examples/emulation/dakar.ini\nweirctl emulate --design Product --design RoundRobin examples/emulation/dakar.ini",
		Description: "Exit codes: 0 all promises held, 1 one was broken or a file can't be read, 2 wrong arguments or settings. " +
			"A run with a broken promise prints the command that repeats it.",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first seed"},
			&cli.Uint64Flag{Name: "runs", Value: 1, Usage: "number of consecutive seeds to run"},
			&cli.StringSliceFlag{Name: "design", Usage: "design that places flows, instead of that of the day; repeat the flag to compare several: " + designNames()},
			&cli.StringFlag{Name: "off", Usage: "mechanisms to switch off instead of those of the day, separated by commas: " + mechanism.Names()},
			&cli.FloatFlag{Name: "part", Usage: "part of the instances for which design and off hold, above 0 and up to 1"},
			&cli.BoolFlag{Name: "drawn", Usage: "draw each run's faults from its seed instead of taking those of the day"},
			&cli.BoolFlag{Name: "shrink", Usage: "remove faults for as long as a promise stays broken, and print the remaining ones"},
			&cli.StringFlag{Name: "html", Usage: "file to write a report with plots to"},
			&cli.StringFlag{Name: "log", Usage: "file to write the log of all instances to; only for one run"},
			&cli.BoolFlag{Name: "kinds", Usage: "print the kinds of faults without running anything"},
		},
		Action: runEmulate,
	}
}

func designNames() string { return strings.Join(day.DesignNames(), ", ") }

// emulationRun is one invocation of the command, which may run several seeds and
// designs.
type emulationRun struct {
	command *cli.Command
	file    string
	day     day.Day
	results []emulation.Result
}

func runEmulate(_ context.Context, c *cli.Command) error {
	if c.Bool("kinds") {
		return printKinds(c)
	}
	if c.Args().Len() != 1 {
		return errors.Wrap(tree.ErrUsage, "emulate takes one day file")
	}
	d, err := day.Load(c.Args().First())
	var invalid *settings.ProblemsError
	if errors.As(err, &invalid) {
		return errors.Wrapf(tree.ErrUsage, "%s: %v", c.Args().First(), err)
	}
	if err != nil {
		return err
	}
	p, err := policyOf(c, d.Policy)
	if err != nil {
		return err
	}
	e := &emulationRun{command: c, file: c.Args().First(), day: d.WithPolicy(p)}
	for n := range c.Uint64("runs") {
		if err := e.runSeed(c.Uint64("seed") + n); err != nil {
			return err
		}
	}
	return e.writeReports()
}

// policyOf returns the policy of a day with what the flags replace.
func policyOf(c *cli.Command, p day.Policy) (day.Policy, error) {
	if c.IsSet("off") {
		off, err := mechanism.Parse(c.String("off"))
		if err != nil {
			return p, errors.Wrapf(tree.ErrUsage, "off: %v", err)
		}
		p.Off = off
	}
	if c.IsSet("part") {
		p.Part = c.Float("part")
		if p.Part <= 0 || p.Part > 1 {
			return p, errors.Wrapf(tree.ErrUsage, "part: %v isn't above 0 and up to 1", p.Part)
		}
	}
	return p, nil
}

// designs returns the designs to run the day with.
func (e *emulationRun) designs() []day.Design {
	names := e.command.StringSlice("design")
	if len(names) == 0 {
		return []day.Design{e.day.Policy.Design}
	}
	var designs []day.Design
	for _, name := range names {
		designs = append(designs, day.Design(name))
	}
	return designs
}

func printKinds(c *cli.Command) error {
	r := rows{head: []string{"Kind", "Meaning"}}
	for _, m := range day.DescribeKinds() {
		r.add(m.Kind, m.Text)
	}
	return r.write(c.Root().Writer, c.String(flagFormat))
}

// runSeed emulates the day with one seed, once for each design.
func (e *emulationRun) runSeed(seed uint64) error {
	d := e.day
	if e.command.Bool("drawn") {
		d = d.WithFaults(day.DrawFaults(d, seed))
	}
	for _, design := range e.designs() {
		p := d.Policy
		p.Design = design
		r, err := e.run(d, emulation.Options{Seed: seed, Policy: p, Platform: emulated.Platform{}})
		if err != nil {
			return err
		}
		e.results = append(e.results, r)
		e.printResult(r)
		if r.Broken > 0 && e.command.Bool("shrink") {
			if err := e.shrink(d, seed, p); err != nil {
				return err
			}
		}
	}
	return nil
}

func (e *emulationRun) run(d day.Day, o emulation.Options) (_ emulation.Result, err error) {
	if !o.Policy.Design.Known() {
		return emulation.Result{}, errors.Wrapf(tree.ErrUsage, "design %q isn't one of %s", o.Policy.Design, designNames())
	}
	name := e.command.String("log")
	if name == "" {
		return emulation.Run(d, o)
	}
	file, err := os.Create(name)
	if err != nil {
		return emulation.Result{}, errors.Wrap(err, "write log")
	}
	defer func() {
		if closeErr := file.Close(); err == nil && closeErr != nil {
			err = errors.Wrap(closeErr, "write log")
		}
	}()
	o.Log = file
	return emulation.Run(d, o)
}

// printResult prints the result of one run, unless the output is JSON, which is
// written at the end. A broken promise is printed with the command that repeats it.
func (e *emulationRun) printResult(r emulation.Result) {
	if e.command.String(flagFormat) == formatJSON {
		return
	}
	out := e.command.Root().Writer
	fmt.Fprintf(out, "Seed %d, %s: %d of %d requests served, %d on time, median %.0f ms, P99 %.0f ms, worst windows %.3f, worth %.3f, %d store calls, %d promises broken.\n",
		r.Seed, r.Design, r.All.Served, r.All.Asked, r.All.OnTime, r.All.MedianMilliseconds, r.All.P99Milliseconds, r.WorstWindows, r.Worth, r.StoreCalls, r.Broken)
	if r.Broken == 0 {
		return
	}
	for _, f := range r.Faults {
		fmt.Fprintln(out, "  Fault:", f)
	}
	for _, b := range r.Breaches {
		fmt.Fprintf(out, "  %v %s: %s\n", b.At, b.Promise, b.Text)
	}
	drawn := ""
	if e.command.Bool("drawn") {
		drawn = " --drawn"
	}
	fmt.Fprintf(out, "Again: weirctl emulate --seed %d --design %s%s %s\n", r.Seed, r.Design, drawn, e.file)
}

// shrink removes faults from the day for as long as a promise stays broken, and
// prints the sections of the remaining ones.
func (e *emulationRun) shrink(d day.Day, seed uint64, p day.Policy) error {
	out := e.command.Root().Writer
	shrunk, err := emulation.Shrink(d, emulation.Options{Seed: seed, Policy: p, Platform: emulated.Platform{}}, func(message string) {
		fmt.Fprintln(out, "  Shrink:", message)
	})
	if err != nil {
		return err
	}
	for _, f := range shrunk.Faults {
		fmt.Fprint(out, f.Section())
	}
	return nil
}

// writeReports writes the JSON and HTML reports that the flags ask for, and returns
// ErrPromiseBroken if a run broke a promise.
func (e *emulationRun) writeReports() error {
	if e.command.String(flagFormat) == formatJSON {
		if err := emulation.WriteJSON(e.command.Root().Writer, e.results); err != nil {
			return err
		}
	}
	if name := e.command.String("html"); name != "" {
		file, err := os.Create(name)
		if err != nil {
			return errors.Wrap(err, "write report")
		}
		if err := emulation.WriteHTML(file, e.results); err != nil {
			return err
		}
		if err := file.Close(); err != nil {
			return errors.Wrap(err, "write report")
		}
	}
	for _, r := range e.results {
		if r.Broken > 0 {
			return ErrPromiseBroken
		}
	}
	return nil
}

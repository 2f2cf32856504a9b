// Package experiment plays emulated days with and without mechanisms, over the same seeds, and
// says what each mechanism is worth.
//
// An experiment is an INI file: the section [Experiment] has the key Days, files of emulated days
// relative to the experiment's own; Seeds, as "1-5" or "1, 4, 9"; and Drawn, "On" to draw each
// run's faults from its seed. Each section [Cell NAME] has the keys Off, the mechanisms that are
// switched off in it; Design, the design that places flows; and Part, the part of the instances
// for which both hold. The first cell is the one that others are compared with. With Each = On,
// there is a further cell for each mechanism that the first one has on, without it, and with
// Pairs = On one for each two of them.
//
// # Usage
//
//	e, err := experiment.Load("experiment.ini")
//	rows, err := experiment.Run(ctx, e, experiment.Options{Jobs: 3, Play: play, Results: file})
//	for _, d := range experiment.Compare(rows, e.Cells[0].Name) {
//		fmt.Println(d)
//	}
package experiment

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"gopkg.in/ini.v1"

	"github.com/tanagerweir/tanagerweir/pkg/connection/mechanism"
	"github.com/tanagerweir/tanagerweir/pkg/emulation/day"
	"github.com/tanagerweir/tanagerweir/pkg/process/settings"
)

// Experiment says which days to play, with which seeds and in which cells.
type Experiment struct {
	// Days are the paths of the files of emulated days.
	Days  []string
	Seeds []uint64
	Drawn bool
	Cells []Cell
}

// Cell is one policy with which the days are played.
type Cell struct {
	Name   string
	Policy day.Policy
}

const (
	section    = "Experiment"
	cellPrefix = "Cell "
	// maxSeeds bounds a range of seeds, so that a typing error doesn't start thousands of runs.
	maxSeeds = 1000
)

// Load reads and checks a file. An error that isn't about reading is a
// *settings.ProblemsError.
func Load(file string) (Experiment, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Experiment{}, errors.Wrap(err, "read experiment")
	}
	e, err := Parse(data)
	if err != nil {
		return Experiment{}, err
	}
	for i, d := range e.Days {
		if !filepath.IsAbs(d) {
			e.Days[i] = filepath.Join(filepath.Dir(file), d)
		}
	}
	return e, nil
}

// IsExperiment reports whether the content of an INI file has the section of an experiment.
func IsExperiment(data []byte) bool {
	parsed, err := ini.Load(data)
	return err == nil && parsed.HasSection(section)
}

// parser collects the problems of a file.
type parser struct {
	experiment  Experiment
	each, pairs bool
	problems    []string
}

// Parse reads and checks an experiment from memory; the paths of days stay as they are. An error
// is a *settings.ProblemsError, which lists all problems.
func Parse(data []byte) (Experiment, error) {
	parsed, err := ini.Load(data)
	if err != nil {
		return Experiment{}, &settings.ProblemsError{List: []string{strings.TrimSpace(err.Error())}}
	}
	var p parser
	for _, s := range parsed.Sections() {
		switch {
		case s.Name() == section:
			p.readExperiment(s)
		case strings.HasPrefix(s.Name(), cellPrefix):
			p.readCell(s)
		case s.Name() != ini.DefaultSection || len(s.Keys()) > 0:
			p.addProblem(s, "", "", "no such section")
		}
	}
	p.addCells()
	e := p.experiment
	if len(e.Days) == 0 {
		p.problems = append(p.problems, "["+section+"] Days: no file of an emulated day is named")
	}
	if len(e.Seeds) == 0 {
		p.problems = append(p.problems, "["+section+"] Seeds: no seed is given")
	}
	if len(e.Cells) < 2 {
		p.problems = append(p.problems, "at least two sections ["+cellPrefix+"NAME] are needed")
	}
	if len(p.problems) > 0 {
		return Experiment{}, &settings.ProblemsError{List: p.problems}
	}
	return e, nil
}

func (p *parser) addProblem(s *ini.Section, key, value, problem string) {
	where := "[" + s.Name() + "]"
	if key != "" {
		where += fmt.Sprintf(" %s = %q", key, value)
	}
	p.problems = append(p.problems, where+": "+problem)
}

func (p *parser) readExperiment(s *ini.Section) {
	for _, k := range s.Keys() {
		var err error
		switch k.Name() {
		case "Days":
			p.experiment.Days = splitList(k.Value())
		case "Seeds":
			p.experiment.Seeds, err = parseSeeds(k.Value())
		case "Drawn":
			p.experiment.Drawn, err = parseSwitch(k.Value())
		case "Each":
			p.each, err = parseSwitch(k.Value())
		case "Pairs":
			p.pairs, err = parseSwitch(k.Value())
		default:
			err = errors.New("no such key")
		}
		if err != nil {
			p.addProblem(s, k.Name(), k.Value(), err.Error())
		}
	}
}

func parseSwitch(text string) (bool, error) {
	if text != "On" && text != "Off" {
		return false, errors.New("allowed: On or Off")
	}
	return text == "On", nil
}

func (p *parser) readCell(s *ini.Section) {
	c := Cell{Name: strings.TrimSpace(strings.TrimPrefix(s.Name(), cellPrefix))}
	if p.known(c.Name) {
		p.addProblem(s, "", "", "there is a cell of that name already")
	}
	for _, k := range s.Keys() {
		var err error
		switch k.Name() {
		case "Off":
			c.Policy.Off, err = mechanism.Parse(k.Value())
		case "Design":
			c.Policy.Design = day.Design(k.Value())
			if !c.Policy.Design.Known() {
				err = errors.Errorf("allowed: %s", strings.Join(day.DesignNames(), ", "))
			}
		case "Part":
			c.Policy.Part, err = strconv.ParseFloat(k.Value(), 64)
			if err != nil || c.Policy.Part <= 0 || c.Policy.Part > 1 {
				err = errors.New("allowed: a number above 0 and up to 1")
			}
		default:
			err = errors.New("no such key")
		}
		if err != nil {
			p.addProblem(s, k.Name(), k.Value(), err.Error())
		}
	}
	p.experiment.Cells = append(p.experiment.Cells, c)
}

func (p *parser) known(cell string) bool {
	return slices.ContainsFunc(p.experiment.Cells, func(c Cell) bool { return c.Name == cell })
}

// addCells adds the cells without each mechanism, and without each two, as Each and Pairs say.
// Cells of the file that have such a name hold instead.
func (p *parser) addCells() {
	if len(p.experiment.Cells) == 0 || !p.each && !p.pairs {
		return
	}
	first := p.experiment.Cells[0].Policy
	add := func(off ...mechanism.Mechanism) {
		c := Cell{Policy: first}
		for _, m := range off {
			if c.Name != "" {
				c.Name += "+"
			}
			c.Name += m.String()
			c.Policy.Off = c.Policy.Off.With(m)
		}
		if !p.known(c.Name) {
			p.experiment.Cells = append(p.experiment.Cells, c)
		}
	}
	var on []mechanism.Mechanism
	for _, m := range mechanism.All() {
		if !first.Off.Has(m) {
			on = append(on, m)
		}
	}
	for i, m := range on {
		if p.each {
			add(m)
		}
		for _, other := range on[i+1:] {
			if p.pairs {
				add(m, other)
			}
		}
	}
}

func splitList(text string) []string {
	var list []string
	for part := range strings.SplitSeq(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			list = append(list, part)
		}
	}
	return list
}

// parseSeeds reads numbers and ranges such as "1-5, 9".
func parseSeeds(text string) ([]uint64, error) {
	var seeds []uint64
	for _, part := range splitList(text) {
		first, last, isRange := strings.Cut(part, "-")
		from, err := strconv.ParseUint(first, 10, 64)
		to := from
		if err == nil && isRange {
			to, err = strconv.ParseUint(last, 10, 64)
		}
		if err != nil || to < from || to-from >= maxSeeds {
			return nil, errors.Errorf("%q is neither a seed nor a range of at most %d", part, maxSeeds)
		}
		for seed := from; seed <= to; seed++ {
			seeds = append(seeds, seed)
		}
	}
	return seeds, nil
}

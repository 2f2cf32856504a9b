package experiment_test

import (
	"bytes"
	"context"
	"errors"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/tanagerweir/tanagerweir/pkg/connection/mechanism"
	"github.com/tanagerweir/tanagerweir/pkg/emulation/day"
	"github.com/tanagerweir/tanagerweir/pkg/emulation/experiment"
	"github.com/tanagerweir/tanagerweir/pkg/process/settings"
)

const valid = "[Experiment]\nDays = a.ini, b.ini\nSeeds = 1-3, 9\nDrawn = On\n[Cell All]\n[Cell Ring]\nOff = ServerRing\n"

func TestFileIsRead(t *testing.T) {
	got, err := experiment.Parse([]byte(valid))
	want := experiment.Experiment{
		Days: []string{"a.ini", "b.ini"}, Seeds: []uint64{1, 2, 3, 9}, Drawn: true,
		Cells: []experiment.Cell{{Name: "All"}, {Name: "Ring", Policy: day.Policy{Off: mechanism.Set(0).With(mechanism.ServerRing)}}},
	}
	if d := cmp.Diff(want, got); d != "" || err != nil {
		t.Error(err, d)
	}
}

// Guards against a wrong file that is played as if its problems weren't there.
func TestAllProblemsOfAFileAreReported(t *testing.T) {
	_, err := experiment.Parse([]byte("[Experiment]\nSeeds = 5-1\nDrawn = yes\nRuns = 3\n[Cell All]\nOff = ColdBound\nOn = x\n[Other]\n"))
	var problems *settings.ProblemsError
	if !errors.As(err, &problems) {
		t.Fatal(err)
	}
	want := []string{
		`[Experiment] Seeds = "5-1": "5-1" is neither a seed nor a range of at most 1000`,
		`[Experiment] Drawn = "yes": allowed: On or Off`,
		`[Experiment] Runs = "3": no such key`,
		`[Cell All] Off = "ColdBound": "ColdBound" isn't one of ` + mechanism.Names(),
		`[Cell All] On = "x": no such key`,
		`[Other]: no such section`,
		`[Experiment] Days: no file of an emulated day is named`,
		`[Experiment] Seeds: no seed is given`,
		`at least two sections [Cell NAME] are needed`,
	}
	if d := cmp.Diff(want, problems.List); d != "" {
		t.Error(d)
	}
}

// Guards against cells that say in one name what another one plays.
func TestCellsHaveAPolicyAndAreAdded(t *testing.T) {
	off := mechanism.Names()
	off = off[strings.Index(off, ", ")+2:] // all but the first
	off = off[strings.Index(off, ", ")+2:] // all but two
	e, err := experiment.Parse([]byte("[Experiment]\nDays = a.ini\nSeeds = 1\nEach = On\nPairs = On\n" +
		"[Cell All]\nOff = " + off + "\n[Cell Mixed]\nOff = ServerRing\nDesign = Anywhere\nPart = 0.5\n"))
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, c := range e.Cells {
		names = append(names, c.Name)
	}
	if d := cmp.Diff([]string{"All", "Mixed", "CrowdOnset", "CrowdOnset+ClassOrder", "ClassOrder"}, names); d != "" {
		t.Error(d)
	}
	if d := cmp.Diff(day.Policy{Off: mechanism.Set(0).With(mechanism.ServerRing), Design: day.Anywhere, Part: 0.5}, e.Cells[1].Policy); d != "" {
		t.Error(d)
	}
	if p := e.Cells[3].Policy; !p.Off.Has(mechanism.CrowdOnset) || !p.Off.Has(mechanism.ClassOrder) || !p.Off.Has(mechanism.ServerRing) {
		t.Errorf("%+v", p)
	}
	_, err = experiment.Parse([]byte("[Experiment]\nDays = a.ini\nSeeds = 1\nPairs = yes\n[Cell All]\nDesign = Best\nPart = 2\n[Cell All ]\n"))
	var problems *settings.ProblemsError
	if !errors.As(err, &problems) || len(problems.List) != 4 {
		t.Errorf("%v", err)
	}
}

// Guards against days that are looked for where the command runs.
func TestDaysAreRelativeToTheFile(t *testing.T) {
	e, err := experiment.Load(filepath.Join("testdata", "ring.ini"))
	if want := []string{filepath.Join("testdata", "day.ini")}; err != nil || !slices.Equal(want, e.Days) {
		t.Error(err, e.Days)
	}
}

// planted measures a mechanism that is worth 0.02 and one that is worth nothing; both vary by seed.
func planted(_ context.Context, _ string, seed uint64, c experiment.Cell) (map[string]float64, error) {
	noise := float64(seed*2654435761%97) / 9700
	worth := 0.9 + noise
	if c.Policy.Off.Has(mechanism.ServerRing) {
		worth -= 0.02 + noise/10
	}
	if c.Policy.Off.Has(mechanism.MeanLoads) {
		worth += (float64(seed%2) - 0.5) / 1000
	}
	return map[string]float64{"Worth": worth}, nil
}

func plan() experiment.Experiment {
	return experiment.Experiment{
		Days: []string{"day"}, Seeds: []uint64{1, 2, 3, 4, 5, 6, 7, 8},
		Cells: []experiment.Cell{
			{Name: "All"}, {Name: "Ring", Policy: day.Policy{Off: mechanism.Set(0).With(mechanism.ServerRing)}}, {Name: "Mean", Policy: day.Policy{Off: mechanism.Set(0).With(mechanism.MeanLoads)}},
		},
	}
}

func TestWorthOfMechanismsIsFound(t *testing.T) {
	rows, err := experiment.Run(t.Context(), plan(), experiment.Options{Jobs: 3, Play: planted})
	if err != nil || len(rows) != 24 {
		t.Fatal(err, len(rows))
	}
	list := experiment.Compare(rows, "All")
	if len(list) != 2 {
		t.Fatal(list)
	}
	mean, ring := list[0], list[1]
	if ring.Cell != "Ring" || !ring.Seen() || ring.Mean > -0.02 || ring.Pairs != 8 {
		t.Errorf("a mechanism that is worth 0.02: %v", ring)
	}
	if mean.Cell != "Mean" || mean.Seen() || !strings.Contains(mean.String(), "no difference seen") {
		t.Errorf("a mechanism that is worth nothing: %v", mean)
	}
	backward := slices.Clone(rows)
	slices.Reverse(backward)
	if d := cmp.Diff(list, experiment.Compare(backward, "All")); d != "" {
		t.Errorf("the order of the rows changes the figures: %s", d)
	}
}

// Guards against a difference that is claimed from a single run.
func TestOnePairShowsNothing(t *testing.T) {
	e := plan()
	e.Seeds = e.Seeds[:1]
	rows, err := experiment.Run(t.Context(), e, experiment.Options{Play: planted})
	for _, d := range experiment.Compare(rows, "All") {
		if err != nil || d.Seen() {
			t.Error(err, d)
		}
	}
}

// Guards against runs that are lost or played twice when an experiment is interrupted in the
// middle of writing a row.
func TestInterruptedExperimentIsResumed(t *testing.T) {
	var results bytes.Buffer
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	_, err := experiment.Run(ctx, plan(), experiment.Options{Play: planted, Results: &results, Progress: func(done, _ int) {
		if done == 7 {
			cancel()
		}
	}})
	if !errors.Is(err, context.Canceled) {
		t.Fatal(err)
	}
	written := results.Len()
	results.WriteString(`{"Day":"day","Se`)
	done, err := experiment.Read(bytes.NewReader(results.Bytes()))
	if err != nil || len(done) < 7 || len(done) == 24 {
		t.Fatal(err, len(done))
	}
	results.Truncate(written)
	var played atomic.Int32
	rows, err := experiment.Run(t.Context(), plan(), experiment.Options{Jobs: 2, Done: done, Results: &results, Play: func(ctx context.Context, day string, seed uint64, c experiment.Cell) (map[string]float64, error) {
		played.Add(1)
		return planted(ctx, day, seed, c)
	}})
	if err != nil || len(rows) != 24 || int(played.Load()) != 24-len(done) {
		t.Error(err, len(rows), played.Load())
	}
	again, err := experiment.Run(t.Context(), plan(), experiment.Options{Jobs: 4, Play: planted})
	if d := cmp.Diff(experiment.Compare(again, "All"), experiment.Compare(rows, "All")); d != "" || err != nil {
		t.Error(err, d)
	}
	all, err := experiment.Read(bytes.NewReader(results.Bytes()))
	if err != nil || len(all) != 24 {
		t.Error(err, len(all))
	}
}

func TestVersionsAreComparedByCell(t *testing.T) {
	rows, err := experiment.Run(t.Context(), plan(), experiment.Options{Play: planted})
	if err != nil {
		t.Fatal(err)
	}
	var worse []experiment.Row
	for _, r := range rows {
		worse = append(worse, experiment.Row{Key: r.Key, Measures: map[string]float64{"Worth": r.Measures["Worth"] - 0.1, "New": 1}})
	}
	list := experiment.CompareVersions(rows, worse)
	if len(list) != 3 {
		t.Fatal(list)
	}
	for _, d := range list {
		if d.Measure != "Worth" || !d.Seen() || d.Mean > -0.099 {
			t.Error(d)
		}
	}
}

func TestFirstErrorEndsAnExperiment(t *testing.T) {
	wrong := errors.New("day can't be read")
	_, err := experiment.Run(t.Context(), plan(), experiment.Options{Jobs: 2, Play: func(context.Context, string, uint64, experiment.Cell) (map[string]float64, error) {
		return nil, wrong
	}})
	if !errors.Is(err, wrong) || !strings.Contains(err.Error(), "cell ") {
		t.Error(err)
	}
}

func TestDamagedResultsAreAnError(t *testing.T) {
	if _, err := experiment.Read(strings.NewReader("{}\nno row\n")); err == nil || !strings.Contains(err.Error(), "line 2") {
		t.Error(err)
	}
}

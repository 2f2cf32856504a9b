package experiment

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"sync"

	"github.com/go-faster/errors"
)

// Key names one run.
type Key struct {
	Day  string
	Seed uint64
	Cell string
}

// Row is one run and what it measured, by the name of the measure.
type Row struct {
	Key
	Measures map[string]float64
}

// Play plays a day with a seed in a cell, and returns what it measured.
type Play func(ctx context.Context, day string, seed uint64, c Cell) (map[string]float64, error)

// Options choose how an experiment runs.
type Options struct {
	// Jobs is how many runs go on at the same time, at least 1.
	Jobs int
	Play Play
	// Done are rows of an interrupted experiment, which aren't played again.
	Done []Row
	// Results receives each new row as a line of JSON.
	Results io.Writer
	// Progress is called after each run, with the number of rows and of all runs.
	Progress func(done, all int)
}

// task is one run to play.
type task struct {
	key  Key
	day  string
	cell Cell
}

// runner plays the tasks of one experiment.
type runner struct {
	options Options
	tasks   chan task
	workers sync.WaitGroup

	mu   sync.Mutex
	rows []Row
	all  int
	err  error
}

// Run plays each day with each seed in each cell, and returns all rows, those that were done
// before first. It ends early with the first error, or with that of the context; what was
// written to Results until then is kept.
func Run(ctx context.Context, e Experiment, o Options) ([]Row, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &runner{options: o, tasks: make(chan task)}
	known := make(map[Key]bool)
	var tasks []task
	for _, d := range e.Days {
		for _, seed := range e.Seeds {
			for _, c := range e.Cells {
				tasks = append(tasks, task{key: Key{Day: d, Seed: seed, Cell: c.Name}, day: d, cell: c})
				known[tasks[len(tasks)-1].key] = true
			}
		}
	}
	r.all = len(tasks)
	done := make(map[Key]bool)
	for _, row := range o.Done {
		if known[row.Key] && !done[row.Key] {
			done[row.Key] = true
			r.rows = append(r.rows, row)
		}
	}
	for range max(o.Jobs, 1) {
		r.workers.Add(1)
		go r.run(ctx, cancel)
	}
	for _, t := range tasks {
		if done[t.key] {
			continue
		}
		select {
		case r.tasks <- t:
		case <-ctx.Done():
		}
	}
	close(r.tasks)
	r.workers.Wait()
	if r.err == nil {
		r.err = ctx.Err()
	}
	return r.rows, r.err
}

// run plays tasks until there are none left, or one fails.
func (r *runner) run(ctx context.Context, cancel context.CancelFunc) {
	defer r.workers.Done()
	for t := range r.tasks {
		if ctx.Err() != nil {
			return
		}
		measures, err := r.options.Play(ctx, t.day, t.key.Seed, t.cell)
		if err == nil {
			err = r.record(Row{Key: t.key, Measures: measures})
		}
		if err != nil {
			r.fail(errors.Wrapf(err, "%s, seed %d, cell %s", t.key.Day, t.key.Seed, t.key.Cell))
			cancel()
			return
		}
	}
}

// record keeps a row and writes it.
func (r *runner) record(row Row) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.options.Results != nil {
		line, err := json.Marshal(row)
		if err != nil {
			return errors.Wrap(err, "encode row")
		}
		if _, err := r.options.Results.Write(append(line, '\n')); err != nil {
			return errors.Wrap(err, "write results")
		}
	}
	r.rows = append(r.rows, row)
	if r.options.Progress != nil {
		r.options.Progress(len(r.rows), r.all)
	}
	return nil
}

func (r *runner) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err == nil {
		r.err = err
	}
}

// Read reads the rows that Run wrote, also those of other versions of the program. It leaves out
// a last line that was cut off as a run was interrupted.
func Read(results io.Reader) ([]Row, error) {
	var rows []Row
	lines := bufio.NewReader(results)
	for number := 1; ; number++ {
		line, err := lines.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return rows, nil
		}
		if err != nil {
			return nil, errors.Wrap(err, "read results")
		}
		var row Row
		if err := json.Unmarshal(line, &row); err != nil {
			return nil, errors.Wrapf(err, "results, line %d", number)
		}
		rows = append(rows, row)
	}
}

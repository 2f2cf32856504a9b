// Package soak runs instances as separate processes on one machine, injects
// faults from outside them, and checks what callers and backend servers see.
//
// Faults come in overlapping series drawn from a seed: processes are killed,
// paused, stopped as planned and told to read their settings again; the store
// refuses, falls silent, loses answers, drops its history and ends leases; the
// way of one instance to it is delayed, reset or silenced; backend servers fall
// silent, leave and come back. Only processes that it started are signalled.
//
// # Usage
//
//	report, err := soak.Run(ctx, soak.Options{Binary: "target/tanagerweir", Seed: 7, For: 10 * time.Second})
//	for _, broken := range report.Broken {
//		fmt.Println(broken)
//	}
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/tanagerweir/tanagerweir/platform/standin"
)

const (
	// calmFor is how long after a disturbance rules with a time bound don't bind.
	calmFor = 4 * time.Second
	// applyWithin is the time in which a change has to be in force.
	applyWithin = 3 * time.Second
	// settleFor is the time between the last fault and the final measurement.
	settleFor = 4 * time.Second
	// measureFor is how long service is measured at the end.
	measureFor = 2 * time.Second
	// servedAtEnd is the least share of requests that have to be served then.
	servedAtEnd = 0.9
)

// Options say what to run.
type Options struct {
	// Binary is the program that runs an instance.
	Binary string
	Seed   uint64
	// For is how long faults are injected.
	For time.Duration
	// LogDirectory keeps the logs of the instances, if it isn't empty.
	LogDirectory string
}

// Report is what one run saw.
type Report struct {
	Seed uint64
	// Broken lists promises that were broken, each with the time and what was seen.
	Broken []string
	// Faults lists what was injected, in order.
	Faults []string
	// Served and Asked count requests over the whole run.
	Served, Asked int
}

// world is everything of one run.
type world struct {
	options   Options
	random    *rand.Rand
	began     time.Time
	directory string
	store     *standin.Store
	instances []*instance
	callers   *callers
	// duties are what runs until the end.
	duties sync.WaitGroup

	mu      sync.Mutex
	servers []*server
	version int
	removed map[string]time.Time
	report  Report
	// disturbed is when the last fault ended that rules with a bound allow for.
	disturbed time.Time
}

// Run plays one seed.
func Run(ctx context.Context, o Options) (Report, error) {
	w := &world{
		options: o, random: rand.New(rand.NewPCG(o.Seed, o.Seed)), began: time.Now(),
		removed: make(map[string]time.Time), report: Report{Seed: o.Seed},
	}
	directory, err := os.MkdirTemp("", "soak")
	if err != nil {
		return Report{}, errors.Wrap(err, "make directory")
	}
	defer func() { _ = os.RemoveAll(directory) }() // it lies among temporary files
	w.directory = directory
	if o.LogDirectory != "" {
		w.directory = filepath.Join(o.LogDirectory, fmt.Sprintf("seed-%d", o.Seed))
		if err := os.MkdirAll(w.directory, 0o700); err != nil {
			return Report{}, errors.Wrap(err, "make directory")
		}
	}
	store, closeStore := standin.New()
	defer closeStore()
	w.store = store
	if err := w.play(ctx); err != nil {
		return Report{}, err
	}
	return w.report, nil
}

// play starts everything, injects the faults and measures.
func (w *world) play(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer w.duties.Wait()
	defer cancel()
	if err := w.start(ctx); err != nil {
		w.end()
		return err
	}
	defer w.end()
	w.inject(ctx)
	w.heal()
	wait(ctx, settleFor)
	served, asked := w.callers.counts()
	wait(ctx, measureFor)
	servedThen, askedThen := w.callers.counts()
	w.report.Served, w.report.Asked = servedThen, askedThen
	if done := float64(servedThen-served) / float64(max(askedThen-asked, 1)); done < servedAtEnd || askedThen == asked {
		w.broken("recovery: %.2f of %d requests are served %v after the last fault", done, askedThen-asked, settleFor)
	}
	cancel()
	return nil
}

// start starts the backend servers, the instances and the callers.
func (w *world) start(ctx context.Context) error {
	port, err := freePort()
	if err != nil {
		return err
	}
	for n := range serversAtStart * len(services) {
		if err := w.addServer(ctx, services[n%len(services)], centres[n/len(services)%len(centres)]); err != nil {
			return err
		}
	}
	w.configure()
	for n := range instancesAtStart {
		i, err := newInstance(w, n, port)
		if err != nil {
			return err
		}
		w.instances = append(w.instances, i)
		if err := i.launch(); err != nil {
			return err
		}
		w.duties.Go(func() { i.probe(ctx) })
		w.duties.Go(func() { i.proxy.run(ctx) })
	}
	if w.callers, err = newCallers(w, port); err != nil {
		return err
	}
	w.duties.Go(func() { w.callers.run(ctx) })
	for n := range callersAtStart {
		w.duties.Go(func() { w.callers.loop(ctx, n) })
	}
	return nil
}

// end ends the processes and closes the sockets.
func (w *world) end() {
	for _, i := range w.instances {
		i.end()
	}
	if w.callers != nil {
		w.callers.close()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.servers {
		s.close()
	}
}

func (w *world) broken(format string, values ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.report.Broken = append(w.report.Broken, fmt.Sprintf("%6.2f s ", time.Since(w.began).Seconds())+fmt.Sprintf(format, values...))
}

func (w *world) fault(format string, values ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.report.Faults = append(w.report.Faults, fmt.Sprintf("%6.2f s ", time.Since(w.began).Seconds())+fmt.Sprintf(format, values...))
}

// disturb notes a disturbance that lasts until now at least.
func (w *world) disturb() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.disturbed = time.Now()
}

// calm says whether rules with a time bound have bound for a while.
func (w *world) calm() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.disturbed) > calmFor
}

// wait waits unless the context ends.
func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Package soak runs instances as separate processes on one machine, injects
// faults from outside them, and checks what callers and backend servers see.
//
// Faults come in overlapping series drawn from a seed: processes are killed,
// paused, stopped as planned and sent SIGHUP; the store refuses calls, doesn't
// answer, loses answers, drops its history and ends leases; connections of one
// instance to the store are delayed, reset or carry only one direction; backend
// servers fall silent, restart, and leave while others start. Only processes that
// the package started are signalled.
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
	// stableAfter is the time after a disturbance in which promises with a time bound
	// aren't checked.
	stableAfter = 4 * time.Second
	// changeDeadline is the time after which a change has to be in force.
	changeDeadline = 3 * time.Second
	// recoveryTime is the time between the last fault and the final measurement.
	recoveryTime = 4 * time.Second
	// measureTime is how long service is measured at the end.
	measureTime = 2 * time.Second
	// minServedShare is the smallest share of requests that have to be served in measureTime.
	minServedShare = 0.9
)

// Options are the options of one run.
type Options struct {
	// Binary is the program that runs an instance.
	Binary string
	// Previous is the program of the build before, "" for none. Instances start with it, and
	// change to the other build at each restart, so that both serve side by side.
	Previous string
	// Seed is the seed from which faults are drawn; their timing varies between runs.
	Seed uint64
	// For is how long faults are injected.
	For time.Duration
	// Replace replaces the build of all instances, one after the other, instead of drawing faults.
	Replace bool
	// Instances is the number of instances, 0 for 4.
	Instances int
	// LogDirectory is where the instances' logs are kept; if it is empty, they are
	// removed after the run.
	LogDirectory string
}

// Report is the result of one run.
type Report struct {
	Seed uint64
	// Broken lists the broken promises, each with the time and the observation.
	Broken []string
	// Faults lists the injected faults in order.
	Faults []string
	// Served and Asked count the requests of the whole run that were served and sent;
	// opening a flow counts as a request, and the seasonal route isn't counted.
	Served, Asked int
	// ReplacedIn is the time until all instances had changed their build.
	ReplacedIn time.Duration
}

// harness has the state of one run.
type harness struct {
	options   Options
	random    *rand.Rand
	started   time.Time
	directory string
	store     *standin.Store
	instances []*instance
	callers   *callers
	// tasks are the goroutines that run until the end.
	tasks sync.WaitGroup

	// configuring is held while a configuration is written.
	configuring sync.Mutex

	mu      sync.Mutex
	servers []*server
	version int
	removed map[string]time.Time
	report  Report
	// disturbed is the last time at which a fault began or ended that suspends promises
	// with a time bound.
	disturbed time.Time
}

// Run runs the instances with the faults of one seed. Broken promises are in the
// report; an error means that the run itself failed.
func Run(ctx context.Context, o Options) (Report, error) {
	if o.Instances == 0 {
		o.Instances = instanceCount
	}
	h := &harness{
		options: o, random: rand.New(rand.NewPCG(o.Seed, o.Seed)), started: time.Now(),
		removed: make(map[string]time.Time), report: Report{Seed: o.Seed},
	}
	directory, err := os.MkdirTemp("", "soak")
	if err != nil {
		return Report{}, errors.Wrap(err, "make directory")
	}
	defer func() { _ = os.RemoveAll(directory) }() // a leftover is in the directory for temporary files
	h.directory = directory
	if o.LogDirectory != "" {
		h.directory = filepath.Join(o.LogDirectory, fmt.Sprintf("seed-%d", o.Seed))
		if err := os.MkdirAll(h.directory, 0o700); err != nil {
			return Report{}, errors.Wrap(err, "make directory")
		}
	}
	store, closeStore := standin.New()
	defer closeStore()
	h.store = store
	h.store.SetEra(1)
	if err := h.execute(ctx); err != nil {
		return Report{}, err
	}
	return h.report, nil
}

// execute starts everything, injects the faults, and at the end measures which share
// of requests is served.
func (h *harness) execute(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer h.tasks.Wait()
	defer cancel()
	if err := h.start(ctx); err != nil {
		h.shutDown()
		return err
	}
	defer h.shutDown()
	if h.options.Replace {
		h.replace(ctx)
	} else {
		h.inject(ctx)
	}
	h.clearFaults()
	wait(ctx, recoveryTime)
	served, asked := h.callers.counts()
	wait(ctx, measureTime)
	servedAfter, askedAfter := h.callers.counts()
	h.report.Served, h.report.Asked = servedAfter, askedAfter
	if share := float64(servedAfter-served) / float64(max(askedAfter-asked, 1)); share < minServedShare || askedAfter == asked {
		h.reportBroken("recovery: %.2f of %d requests are served %v after the last fault", share, askedAfter-asked, recoveryTime)
	}
	cancel()
	return nil
}

// start starts the backend servers, the instances and the callers.
func (h *harness) start(ctx context.Context) error {
	port, err := freePort()
	if err != nil {
		return err
	}
	for n := range serversPerService * len(services) {
		if err := h.addServer(ctx, services[n%len(services)], centres[n/len(services)%len(centres)]); err != nil {
			return err
		}
	}
	h.configure()
	for n := range h.options.Instances {
		i, err := newInstance(h, n, port)
		if err != nil {
			return err
		}
		h.instances = append(h.instances, i)
		if err := i.launch(); err != nil {
			return err
		}
		h.tasks.Go(func() { i.probe(ctx) })
		h.tasks.Go(func() { i.proxy.run(ctx) })
	}
	if h.callers, err = newCallers(h, port); err != nil {
		return err
	}
	h.tasks.Go(func() { h.callers.run(ctx) })
	for n := range callerCount {
		h.tasks.Go(func() { h.callers.openFlows(ctx, n) })
	}
	return nil
}

// shutDown kills the processes and closes the sockets.
func (h *harness) shutDown() {
	for _, i := range h.instances {
		i.close()
	}
	if h.callers != nil {
		h.callers.close()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.servers {
		s.close()
	}
}

// reportBroken adds a broken promise to the report, with the time since the start.
func (h *harness) reportBroken(format string, values ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.report.Broken = append(h.report.Broken, fmt.Sprintf("%6.2f s ", time.Since(h.started).Seconds())+fmt.Sprintf(format, values...))
}

// recordFault adds an injected fault to the report, with the time since the start.
func (h *harness) recordFault(format string, values ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.report.Faults = append(h.report.Faults, fmt.Sprintf("%6.2f s ", time.Since(h.started).Seconds())+fmt.Sprintf(format, values...))
}

// recordDisturbance records that a fault is in effect now, which suspends promises
// with a time bound.
func (h *harness) recordDisturbance() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.disturbed = time.Now()
}

// stable returns whether promises with a time bound are checked: the last disturbance
// is longer ago than stableAfter.
func (h *harness) stable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.disturbed) > stableAfter
}

// wait waits for d or until the context ends.
func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

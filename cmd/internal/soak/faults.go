package soak

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/tanagerweir/tanagerweir/platform/standin"
)

const (
	// minFaultGap and maxFaultGap bound the time between the starts of two faults. A
	// fault may last longer, so that faults overlap.
	minFaultGap, maxFaultGap = 150 * time.Millisecond, 1200 * time.Millisecond
	// minFaultTime and maxFaultTime bound how long a fault lasts.
	minFaultTime, maxFaultTime = 300 * time.Millisecond, 3500 * time.Millisecond
)

// inject starts one fault after the other, and returns when all have ended.
func (h *harness) inject(ctx context.Context) {
	wait(ctx, time.Second)
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() { h.restoreStore(ctx) })
	for end := time.Now().Add(h.options.For); time.Now().Before(end) && ctx.Err() == nil; {
		duration := h.randomDuration(minFaultTime, maxFaultTime)
		switch h.random.IntN(3) {
		case 0:
			h.processFault(ctx, &running, duration)
		case 1:
			h.platformFault(ctx, &running, duration)
		case 2:
			h.serverFault(ctx, &running, duration)
		}
		wait(ctx, h.randomDuration(minFaultGap, maxFaultGap))
	}
}

// processFault sends a signal to an instance's process, and starts the process again
// if the signal ends it.
func (h *harness) processFault(ctx context.Context, running *sync.WaitGroup, duration time.Duration) {
	i := h.randomInstance()
	switch h.random.IntN(4) {
	case 0:
		h.recordFault("kill %s", i.name)
		running.Go(func() { h.withDisturbance(func() { i.signal(syscall.SIGKILL); i.restart(ctx, stopGrace) }) })
	case 1:
		h.recordFault("stop %s as planned", i.name)
		running.Go(func() { i.signal(syscall.SIGTERM); i.restart(ctx, stopGrace) })
	case 2:
		h.recordFault("pause %s for %v", i.name, duration)
		running.Go(func() {
			h.withDisturbance(func() { i.signal(syscall.SIGSTOP); wait(ctx, duration); i.signal(syscall.SIGCONT) })
		})
	case 3:
		h.recordFault("send SIGHUP to %s", i.name)
		i.signal(syscall.SIGHUP)
	}
}

// platformFault disturbs the store or the connections of an instance to it, or changes
// the configuration.
func (h *harness) platformFault(ctx context.Context, running *sync.WaitGroup, duration time.Duration) {
	switch h.random.IntN(4) {
	case 0:
		h.storeFault(ctx, running, duration)
	case 1:
		h.proxyFault(ctx, running, duration)
	case 2:
		h.recordFault("change the configuration")
		h.configure()
	case 3:
		h.recordFault("the store drops its history, leases end")
		h.store.Compact()
		h.store.Revoke()
	}
}

// serverFault makes a backend server silent or replaces it.
func (h *harness) serverFault(ctx context.Context, running *sync.WaitGroup, duration time.Duration) {
	s := h.randomServer()
	switch {
	case s == nil:
	case h.random.IntN(2) == 0:
		h.recordFault("%s falls silent for %v", s.id, duration)
		running.Go(func() { s.fallSilent(ctx, duration) })
	default:
		h.recordFault("%s leaves, another backend server starts", s.id)
		h.replaceServer(ctx, running, s)
	}
}

// replaceServer starts another server of the service and drains the old one.
func (h *harness) replaceServer(ctx context.Context, running *sync.WaitGroup, old *server) {
	if err := h.addServer(ctx, old.service, old.centre); err != nil {
		h.reportBroken("a backend server can't be started: %v", err)
		return
	}
	running.Go(func() { old.leave(ctx) })
}

// withDisturbance runs a fault, and records its start and end as disturbances.
func (h *harness) withDisturbance(fault func()) {
	h.recordDisturbance()
	fault()
	h.recordDisturbance()
}

// storeFault makes the store refuse calls, not answer or lose answers.
func (h *harness) storeFault(ctx context.Context, running *sync.WaitGroup, duration time.Duration) {
	faults := []standin.Fault{
		{Status: http.StatusServiceUnavailable}, {Status: http.StatusTooManyRequests}, {Silent: true}, {LoseAnswers: true},
	}
	f := faults[h.random.IntN(len(faults))]
	h.recordFault("store %+v for %v", f, duration)
	running.Go(func() {
		h.withDisturbance(func() { h.store.SetFault(f); wait(ctx, duration); h.store.SetFault(standin.Fault{}) })
	})
}

// proxyFault sets a mode of an instance's proxy, or resets the connections through it
// if the mode is modePass.
func (h *harness) proxyFault(ctx context.Context, running *sync.WaitGroup, duration time.Duration) {
	i := h.randomInstance()
	mode := int32(h.random.IntN(4))
	h.recordFault("connections of %s to the store: mode %d for %v", i.name, mode, duration)
	running.Go(func() {
		h.withDisturbance(func() {
			if mode == modePass {
				i.proxy.reset()
				return
			}
			i.proxy.mode.Store(mode)
			wait(ctx, duration)
			i.proxy.mode.Store(modePass)
		})
	})
}

// clearFaults ends all faults and removes the seasonal route, so that the measurement
// without faults also checks that this removal comes into force.
func (h *harness) clearFaults() {
	h.store.SetFault(standin.Fault{})
	for _, i := range h.instances {
		i.signal(syscall.SIGCONT)
		i.proxy.mode.Store(modePass)
	}
	h.mu.Lock()
	removed := h.version%2 == 0
	h.mu.Unlock()
	if !removed {
		h.configure()
	}
}

func (h *harness) randomDuration(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(h.random.Int64N(int64(longest-shortest)))
}

func (h *harness) randomInstance() *instance { return h.instances[h.random.IntN(len(h.instances))] }

// randomServer draws a server, and returns nil if it may not be disturbed: it is silent,
// draining or closed, or its service has no other server.
func (h *harness) randomServer() *server {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.servers[h.random.IntN(len(h.servers))]
	others := 0
	for _, o := range h.servers {
		if o != s && o.service == s.service && !o.silent.Load() && !o.closed.Load() && o.active() {
			others++
		}
	}
	if others == 0 || s.closed.Load() || s.silent.Load() || !s.active() {
		return nil
	}
	return s
}

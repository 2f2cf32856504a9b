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
	// leastGap and mostGap bound the time between the beginnings of two faults,
	// which may last longer.
	leastGap, mostGap = 150 * time.Millisecond, 1200 * time.Millisecond
	// leastFault and mostFault bound how long a fault lasts.
	leastFault, mostFault = 300 * time.Millisecond, 3500 * time.Millisecond
)

// inject begins one fault after the other, and returns when all have ended.
func (w *world) inject(ctx context.Context) {
	wait(ctx, time.Second)
	var running sync.WaitGroup
	defer running.Wait()
	for end := time.Now().Add(w.options.For); time.Now().Before(end) && ctx.Err() == nil; {
		last := w.between(leastFault, mostFault)
		switch w.random.IntN(3) {
		case 0:
			w.processFault(ctx, &running, last)
		case 1:
			w.platformFault(ctx, &running, last)
		case 2:
			w.serverFault(ctx, &running, last)
		}
		wait(ctx, w.between(leastGap, mostGap))
	}
}

// processFault signals an instance.
func (w *world) processFault(ctx context.Context, running *sync.WaitGroup, last time.Duration) {
	i := w.anInstance()
	switch w.random.IntN(4) {
	case 0:
		w.fault("kill %s", i.name)
		running.Go(func() { w.disturbing(func() { i.signal(syscall.SIGKILL); i.again(ctx, graceFor) }) })
	case 1:
		w.fault("stop %s as planned", i.name)
		running.Go(func() { i.signal(syscall.SIGTERM); i.again(ctx, graceFor) })
	case 2:
		w.fault("pause %s for %v", i.name, last)
		running.Go(func() {
			w.disturbing(func() { i.signal(syscall.SIGSTOP); wait(ctx, last); i.signal(syscall.SIGCONT) })
		})
	case 3:
		w.fault("hang up %s", i.name)
		i.signal(syscall.SIGHUP)
	}
}

// platformFault disturbs the store, the way of an instance to it, or changes the
// configuration.
func (w *world) platformFault(ctx context.Context, running *sync.WaitGroup, last time.Duration) {
	switch w.random.IntN(4) {
	case 0:
		w.storeFault(ctx, running, last)
	case 1:
		w.proxyFault(ctx, running, last)
	case 2:
		w.fault("configure")
		w.configure()
	case 3:
		w.fault("the store drops its history, leases end")
		w.store.Compact()
		w.store.Revoke()
	}
}

// serverFault silences a backend server or lets another one take its place.
func (w *world) serverFault(ctx context.Context, running *sync.WaitGroup, last time.Duration) {
	s := w.aServer()
	switch {
	case s == nil:
	case w.random.IntN(2) == 0:
		w.fault("%s falls silent for %v", s.id, last)
		running.Go(func() { s.fall(ctx, last) })
	default:
		w.fault("%s leaves, another one comes", s.id)
		w.replace(ctx, running, s)
	}
}

// replace lets a server leave and another one of its service come.
func (w *world) replace(ctx context.Context, running *sync.WaitGroup, old *server) {
	if err := w.addServer(ctx, old.service, old.centre); err != nil {
		w.broken("a backend server doesn't start: %v", err)
		return
	}
	running.Go(func() { old.leave(ctx) })
}

// disturbing marks the time of a fault, for which rules with a bound allow.
func (w *world) disturbing(fault func()) {
	w.disturb()
	fault()
	w.disturb()
}

func (w *world) storeFault(ctx context.Context, running *sync.WaitGroup, last time.Duration) {
	faults := []standin.Fault{
		{Status: http.StatusServiceUnavailable}, {Status: http.StatusTooManyRequests}, {Silent: true}, {LoseAnswers: true},
	}
	f := faults[w.random.IntN(len(faults))]
	w.fault("store %+v for %v", f, last)
	running.Go(func() {
		w.disturbing(func() { w.store.Fail(f); wait(ctx, last); w.store.Fail(standin.Fault{}) })
	})
}

func (w *world) proxyFault(ctx context.Context, running *sync.WaitGroup, last time.Duration) {
	i := w.anInstance()
	mode := int32(w.random.IntN(4))
	w.fault("the store's connections of %s: mode %d for %v", i.name, mode, last)
	running.Go(func() {
		w.disturbing(func() {
			if mode == passing {
				i.proxy.reset()
				return
			}
			i.proxy.mode.Store(mode)
			wait(ctx, last)
			i.proxy.mode.Store(passing)
		})
	})
}

// heal ends what may still be disturbed, and removes the seasonal route, so that
// the calm end shows whether that is in force.
func (w *world) heal() {
	w.store.Fail(standin.Fault{})
	for _, i := range w.instances {
		i.signal(syscall.SIGCONT)
		i.proxy.mode.Store(passing)
	}
	w.mu.Lock()
	removed := w.version%2 == 0
	w.mu.Unlock()
	if !removed {
		w.configure()
	}
}

func (w *world) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.random.Int64N(int64(most-least)))
}

func (w *world) anInstance() *instance { return w.instances[w.random.IntN(len(w.instances))] }

// aServer returns a server that may be disturbed: one whose service has another.
func (w *world) aServer() *server {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.servers[w.random.IntN(len(w.servers))]
	others := 0
	for _, o := range w.servers {
		if o != s && o.service == s.service && !o.dark.Load() && !o.gone.Load() && o.staying() {
			others++
		}
	}
	if others == 0 || s.gone.Load() || s.dark.Load() || !s.staying() {
		return nil
	}
	return s
}

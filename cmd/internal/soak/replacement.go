package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// replacementStream distinguishes the random numbers of a replacement from those of faults.
	replacementStream = 8
	// takenBack is how many instances go back to the build before once half of all have changed.
	takenBack = 2
	// cutTime is how long a data centre is cut off from the store half way.
	cutTime = 2 * time.Second
	// copyAge is how old the copy is from which the store is restored half way.
	copyAge = 1500 * time.Millisecond
	// readyTimeout is the longest time in which a replaced instance has to be in rotation again.
	readyTimeout = 10 * time.Second
)

// replace replaces the build of each instance, one after the other, by SIGTERM or SIGKILL. Half
// way some go back, the configuration changes, the store is restored from an older copy, and a
// data centre is cut off from it.
func (h *harness) replace(ctx context.Context) {
	wait(ctx, time.Second)
	random := rand.New(rand.NewPCG(h.options.Seed, replacementStream))
	order := random.Perm(len(h.instances))
	half := len(order) / 2
	began := time.Now()
	for _, n := range order[:half] {
		h.replaceOne(ctx, random, h.instances[n])
	}
	var disturbances sync.WaitGroup
	disturbances.Go(func() { h.disturbHalfWay(ctx, centres[random.IntN(len(centres))]) })
	for _, n := range order[:takenBack] {
		h.replaceOne(ctx, random, h.instances[n])
	}
	disturbances.Wait()
	for _, n := range append(order[half:], order[:takenBack]...) {
		h.replaceOne(ctx, random, h.instances[n])
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.report.ReplacedIn = time.Since(began)
}

// replaceOne ends an instance's process, starts the other build and waits until the instance is
// in rotation.
func (h *harness) replaceOne(ctx context.Context, random *rand.Rand, i *instance) {
	signal := syscall.SIGTERM
	if random.IntN(2) == 0 {
		signal = syscall.SIGKILL
	}
	h.recordFault("replace %s by %v", i.name, signal)
	if signal == syscall.SIGKILL {
		h.recordDisturbance()
	}
	i.signal(signal)
	i.restart(ctx, stopGrace)
	if signal == syscall.SIGKILL {
		h.recordDisturbance()
	}
	client := &http.Client{Timeout: probeInterval}
	for began := time.Now(); !i.isReady(client); wait(ctx, probeInterval/10) {
		if ctx.Err() != nil {
			return
		}
		if time.Since(began) > readyTimeout {
			h.reportBroken("%s isn't ready %v after its replacement", i.name, readyTimeout)
			return
		}
	}
	wait(ctx, probeInterval) // the routers have seen it
}

// disturbHalfWay changes the configuration, restores the store and cuts a data centre off from it.
func (h *harness) disturbHalfWay(ctx context.Context, centre string) {
	h.recordFault("change the configuration, restore the store, cut %s off from it", centre)
	copied := h.store.Copy()
	h.configure()
	wait(ctx, copyAge)
	h.withDisturbance(func() {
		h.store.Restore(copied)
		wait(ctx, rewriteDelay)
		h.writeAgain()
		for _, i := range h.instances {
			if i.centre == centre {
				i.proxy.mode.Store(modeDropAnswers)
			}
		}
		wait(ctx, cutTime)
		for _, i := range h.instances {
			i.proxy.mode.Store(modePass)
			i.proxy.reset()
		}
	})
}

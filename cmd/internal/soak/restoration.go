package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// restorationStream distinguishes the random numbers of restorations, so that the
	// other faults of a seed stay as they are without them.
	restorationStream = 7
	// minCopyAge and maxCopyAge bound how old the copy is from which the store is
	// restored, and so the time between two restorations.
	minCopyAge, maxCopyAge = 1500 * time.Millisecond, 4 * time.Second
	// secondRestoration is the time between two restorations from the same copy.
	secondRestoration = 300 * time.Millisecond
	// rewriteDelay is the time until writers write again what the store has lost.
	rewriteDelay = 500 * time.Millisecond
)

// restoreStore restores the store from older copies of itself until the faults end, now and
// then twice in a row. Watches are pending and pages are read meanwhile.
func (h *harness) restoreStore(ctx context.Context) {
	random := rand.New(rand.NewPCG(h.options.Seed, restorationStream))
	for end := time.Now().Add(h.options.For); ; {
		age := minCopyAge + time.Duration(random.Int64N(int64(maxCopyAge-minCopyAge)))
		if time.Now().Add(age).After(end) || ctx.Err() != nil {
			return
		}
		copied := h.store.Copy()
		wait(ctx, age)
		twice := random.IntN(2) == 0
		h.recordFault("the store is restored from a copy that is %v old, twice: %v", age, twice)
		h.withDisturbance(func() {
			h.store.Restore(copied)
			if twice {
				wait(ctx, secondRestoration)
				h.store.Restore(copied)
			}
			wait(ctx, rewriteDelay)
			h.writeAgain()
		})
	}
}

// writeAgain writes the configuration and the entries of all backend servers, as their
// writers do after a restoration, and removes those of servers that have left.
func (h *harness) writeAgain() {
	h.configuring.Lock()
	h.mu.Lock()
	version, servers := h.version, slices.Clone(h.servers)
	h.mu.Unlock()
	h.putConfiguration(version)
	h.configuring.Unlock()
	for _, s := range servers {
		s.mu.Lock()
		drained := s.drained
		s.mu.Unlock()
		switch {
		case s.closed.Load() || !drained.IsZero() && time.Since(drained) >= drainTime:
			h.store.DeleteServer(s.id)
		case !s.silent.Load():
			s.putEntry(!drained.IsZero())
		}
	}
}

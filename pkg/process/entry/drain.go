package entry

import (
	"context"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/process/logs"
)

const (
	// drainLimit bounds the drain, so that it ends within stopReserve.
	drainLimit = time.Second
	// drainQuiet is how long no packet may arrive until the socket counts as empty.
	drainQuiet = 20 * time.Millisecond
	// drainPoll is the time between two checks of the packets that wait for the link.
	drainPoll = 5 * time.Millisecond
)

// drain forwards the packets that were received before it: those in the socket, the
// receiver's ring and the queue for the link. Packets that arrive later are read too, for
// at most half of drainLimit, so that the rest is left for what waits by then.
func (i *Instance) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, drainLimit)
	defer cancel()
	began := time.Now()
	sockets := i.sockets
	if !sockets.receiver.drain(time.Now().Add(drainLimit / 2)) {
		return // no packet was read yet
	}
	select {
	case <-i.decided:
	case <-ctx.Done():
	}
	for sockets.pacer.waits() && ctx.Err() == nil {
		sockets.Pause(ctx, drainPoll)
	}
	i.options.Logger.InfoContext(logs.Always(), "Instance: drained.", "After", time.Since(began), "Complete", ctx.Err() == nil)
}

// drain makes run end once no packet waits in the socket, at the latest at the given time.
// It returns false if run hasn't begun to read.
func (r *receiver) drain(until time.Time) bool {
	select {
	case <-r.started:
	default:
		return false
	}
	// The deadline ends the read that waits now. It is set first, so that it can't replace
	// that of a read of the drain.
	_ = r.conn.SetReadDeadline(time.Now()) // fails only if the socket is closed
	r.drainUntil.Store(&until)
	return true
}

// draining reports whether the socket is being drained, and then makes the next read wait
// for drainQuiet at most.
func (r *receiver) draining() bool {
	if r.drainUntil.Load() == nil {
		return false
	}
	_ = r.conn.SetReadDeadline(time.Now().Add(drainQuiet)) // fails only if the socket is closed, as the read does
	return true
}

// waits reports whether packets wait for the link.
func (p *pacer) waits() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, waiting := p.queue.Wait(p.now())
	return waiting
}

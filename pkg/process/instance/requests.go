package instance

import (
	"context"
	"sync"

	"github.com/go-faster/errors"
)

// requestCounter counts the requests in flight and signals when there are none. Its
// zero value is ready for use, from several goroutines.
type requestCounter struct {
	mu         sync.Mutex
	count      int
	idleSignal chan struct{}
}

// begin counts a request; the returned function ends it.
func (c *requestCounter) begin() func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
	return sync.OnceFunc(c.end)
}

func (c *requestCounter) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count--
	if c.count == 0 && c.idleSignal != nil {
		close(c.idleSignal)
		c.idleSignal = nil
	}
}

// inFlight returns how many requests are in flight.
func (c *requestCounter) inFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}

// idle returns a channel that is closed once no request is in flight.
func (c *requestCounter) idle() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.count == 0 {
		done := make(chan struct{})
		close(done)
		return done
	}
	if c.idleSignal == nil {
		c.idleSignal = make(chan struct{})
	}
	return c.idleSignal
}

// waitIdle waits until no request is in flight. It returns an error if ctx ends
// first.
func (c *requestCounter) waitIdle(ctx context.Context) error {
	select {
	case <-c.idle():
		return nil
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "%d requests still in flight", c.inFlight())
	}
}

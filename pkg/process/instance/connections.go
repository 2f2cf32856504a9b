package instance

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/go-faster/errors"
)

var errWritesClosed = errors.New("the request was abandoned before it was sent")

// trackedConn is a connection to a backend server that counts the writes begun on
// it and can refuse all further ones. Refusing is needed because the HTTP library
// may still write after it has returned an error.
type trackedConn struct {
	net.Conn

	mu     sync.Mutex
	writes uint64
	closed bool
}

// Write counts the write before it begins, or returns errWritesClosed.
func (c *trackedConn) Write(p []byte) (int, error) {
	if !c.beginWrite() {
		return 0, errWritesClosed
	}
	return c.Conn.Write(p)
}

func (c *trackedConn) beginWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.writes++
	return true
}

func (c *trackedConn) writesBegun() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// closeWrites makes every further write fail.
func (c *trackedConn) closeWrites() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
}

// closeIfUnwritten makes every further write fail if the number of writes begun is
// still count. It reports whether writes are closed.
func (c *trackedConn) closeIfUnwritten(count uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes == count {
		c.closed = true
	}
	return c.closed
}

// dialTracked dials a backend server and returns a *trackedConn.
func dialTracked(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: c}, nil
}

// attemptTrace records the connections that the HTTP library used for one
// attempt.
type attemptTrace struct {
	mu    sync.Mutex
	uses  []connUse
	ended bool
}

type connUse struct {
	conn         *trackedConn
	writesBefore uint64 // writes begun before this attempt
}

// withTrace returns a context in which the HTTP library reports to t.
func (t *attemptTrace) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.recordConn})
}

func (t *attemptTrace) recordConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*trackedConn)
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		c.closeWrites()
		return
	}
	t.uses = append(t.uses, connUse{conn: c, writesBefore: c.writesBegun()})
}

// endUnsent ends the attempt and reports whether no write was begun for it. It
// closes, for writes, the connections without one and those that come later.
func (t *attemptTrace) endUnsent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
	unsent := true
	for _, u := range t.uses {
		if !u.conn.closeIfUnwritten(u.writesBefore) {
			unsent = false
		}
	}
	return unsent
}

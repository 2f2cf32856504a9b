// Package transfer follows the progress of a response, so that it is bounded by
// silence instead of a fixed time: a large response takes seconds on a slow link,
// and giving up while it arrives only starts it anew.
//
// # Usage
//
// The caller attaches a trace to the context of its call, and the client reports
// the body to it:
//
//	ctx = transfer.WithTrace(ctx, transfer.Trace{Began: began, Received: received})
//	body := transfer.Reader(ctx, response.ContentLength, response.Body)
//
// A Meter turns such reports into the time at which the call has to be given up:
//
//	meter := transfer.NewMeter(now, transfer.Limit{First: time.Second, Silence: time.Second, MinBytes: 4096})
//	meter.Receive(now, n)
//	timer.Reset(meter.Deadline() - now)
//
// A Meter does no I/O and is not safe for concurrent use.
package transfer

import (
	"context"
	"io"
	"time"

	"github.com/go-faster/errors"
)

// ErrStopped is the cause with which a context ends once its response makes no more
// progress.
var ErrStopped = errors.New("transfer: the response makes no progress")

// Trace receives what arrives of a response. Functions may be nil.
type Trace struct {
	// Began is called when the body begins. Size is its length in bytes, -1 if the
	// sender doesn't say.
	Began func(size int64)
	// Received is called for each part of the body.
	Received func(bytes int)
}

type traceKey struct{}

// WithTrace returns a context whose calls report to t, and to the trace that ctx
// already has.
func WithTrace(ctx context.Context, t Trace) context.Context {
	outer, _ := ctx.Value(traceKey{}).(Trace)
	return context.WithValue(ctx, traceKey{}, Trace{
		Began: func(size int64) { outer.began(size); t.began(size) },
		Received: func(bytes int) {
			outer.received(bytes)
			t.received(bytes)
		},
	})
}

func (t Trace) began(size int64) {
	if t.Began != nil {
		t.Began(size)
	}
}

func (t Trace) received(bytes int) {
	if t.Received != nil {
		t.Received(bytes)
	}
}

// Reader reports the beginning of a body of that size, -1 for unknown, to the trace
// of ctx, and returns a reader that reports the rest.
func Reader(ctx context.Context, size int64, body io.Reader) io.Reader {
	t, _ := ctx.Value(traceKey{}).(Trace)
	t.began(size)
	return &reader{ctx: ctx, trace: t, body: body}
}

type reader struct {
	ctx   context.Context
	trace Trace
	body  io.Reader
}

// Read reads from the body. It fails once the context has ended, also if the body
// could still be read.
func (r *reader) Read(p []byte) (int, error) {
	if r.ctx.Err() != nil {
		return 0, context.Cause(r.ctx)
	}
	n, err := r.body.Read(p)
	if n > 0 {
		r.trace.received(n)
	}
	if err != nil && !errors.Is(err, io.EOF) && r.ctx.Err() != nil {
		err = context.Cause(r.ctx)
	}
	return n, err
}

// Limit says when a response is given up.
type Limit struct {
	// First is the longest time until the body begins.
	First time.Duration
	// Silence is the longest time in which fewer than MinBytes of the body arrive.
	Silence  time.Duration
	MinBytes int
}

// Meter decides when one response is given up. Times are readings of a monotonic
// clock.
type Meter struct {
	limit    Limit
	deadline time.Duration
	// pending is how many bytes arrived since the deadline was last moved.
	pending int
}

// NewMeter returns the meter of a call that is made now.
func NewMeter(now time.Duration, l Limit) *Meter { return &Meter{limit: l, deadline: now + l.First} }

// Begin records that the body begins.
func (m *Meter) Begin(now time.Duration) { m.deadline = now + m.limit.Silence }

// Receive records bytes of the body.
func (m *Meter) Receive(now time.Duration, bytes int) {
	m.pending += bytes
	if m.pending >= m.limit.MinBytes {
		m.pending, m.deadline = 0, now+m.limit.Silence
	}
}

// Deadline returns when the response is given up if nothing else arrives.
func (m *Meter) Deadline() time.Duration { return m.deadline }

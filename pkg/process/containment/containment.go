// Package containment keeps a panic in one part of an instance from ending its process.
//
// A part is a loop or a handler whose steps are independent: the step that panicked is
// given up and the next one is made. Each panic is logged with its stack and counted. A
// part whose steps panic again and again, without one that succeeds between them, doesn't
// do its work any more; the panic then ends the process, so that it is started anew.
//
// Parts whose steps leave a half-changed state behind must repair it themselves, or
// aren't contained.
//
// # Usage
//
//	guard := containment.NewGuard("Follower", containment.LoopLimit, logger)
//	for ctx.Err() == nil {
//		if err := guard.Do(func() error { return step(ctx) }); err != nil {
//			pause()
//		}
//	}
package containment

import (
	"fmt"
	"log/slog"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

const (
	// LoopLimit is how many steps of a loop may panic in a row. With the pauses of the
	// instance's loops, of 0.1 s or more, that takes a second or longer: a fault that
	// depends on passing input is over by then.
	LoopLimit = 16
	// InputLimit is how many inputs in a row, packets or messages from outside, may
	// cause a panic: two full rings of packets. A sender of malformed ones reaches it
	// only if no correct one arrives between them.
	InputLimit = 256
)

// Guard contains the panics of one part. Its methods may be called from any goroutine.
type Guard struct {
	part   string
	limit  int64
	log    *slog.Logger
	panics atomic.Uint64
	inRow  atomic.Int64
	// loggedAt is when a panic was last logged, in nanoseconds since the Unix epoch.
	loggedAt atomic.Int64
}

// logPeriod is the shortest time between two logged panics of a part, as a line with a
// stack for each malformed input would let anyone fill the log.
const logPeriod = time.Second

// NewGuard returns the guard of a part, of which limit steps may panic in a row.
func NewGuard(part string, limit int64, log *slog.Logger) *Guard {
	return &Guard{part: part, limit: limit, log: log}
}

// Part returns the part's name.
func (g *Guard) Part() string { return g.part }

// Panics returns how many panics were contained.
func (g *Guard) Panics() uint64 { return g.panics.Load() }

// PanicError is the error of a step that panicked.
type PanicError struct {
	Part  string
	Value any
}

// Error returns the part and the panic's value.
func (e *PanicError) Error() string { return fmt.Sprintf("%s panicked: %v", e.Part, e.Value) }

// Do makes a step and returns its error, a *PanicError if it panics.
func (g *Guard) Do(step func() error) (err error) {
	defer func() {
		if value := recover(); value != nil {
			err = g.handle(value)
			return
		}
		g.inRow.Store(0)
	}()
	return step()
}

// Contain ends a step. It must be deferred, and costs less than Do: nothing is allocated
// unless the step panics.
func (g *Guard) Contain() {
	if value := recover(); value != nil {
		_ = g.handle(value) // logged and counted; the step has no error to return
		return
	}
	if g.inRow.Load() != 0 {
		g.inRow.Store(0)
	}
}

// handle counts and logs a panic, and panics again if it was one too many in a row.
func (g *Guard) handle(value any) error {
	panics, inRow := g.panics.Add(1), g.inRow.Add(1)
	if inRow >= g.limit || g.mayLog() {
		g.log.Error(g.part+": a step panicked and was given up.", "Panic", fmt.Sprint(value), "Panics", panics, "InRow", inRow, "Stack", string(debug.Stack()))
	}
	if inRow >= g.limit {
		panic(fmt.Sprintf("%s: %d steps in a row panicked, the last with: %v", g.part, inRow, value))
	}
	return &PanicError{Part: g.part, Value: value}
}

// mayLog reports whether a panic may be logged now, and then counts it as logged.
func (g *Guard) mayLog() bool {
	now, last := time.Now().UnixNano(), g.loggedAt.Load()
	return now-last >= int64(logPeriod) && g.loggedAt.CompareAndSwap(last, now)
}

// Handler contains panics in the requests of an HTTP handler, which are answered with
// status 500 unless the response has begun. The HTTP server would contain them too, but
// not count them. A handler that aborts a response by http.ErrAbortHandler still does.
func (g *Guard) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			value := recover()
			if value == nil {
				return
			}
			if err, ok := value.(error); ok && errors.Is(err, http.ErrAbortHandler) {
				panic(value)
			}
			if panics := g.panics.Add(1); g.mayLog() {
				g.log.Error(g.part+": a request's handler panicked.", "Method", r.Method, "Path", r.URL.Path, "Panic", fmt.Sprint(value), "Panics", panics, "Stack", string(debug.Stack()))
			}
			w.WriteHeader(http.StatusInternalServerError)
		}()
		h.ServeHTTP(w, r)
	})
}

package entry

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// readyDeadline bounds one readiness probe; routers probe twice a second.
const readyDeadline = time.Second

// readiness decides the result of readiness probes: the instance is ready once it has
// a configuration, and never again after it begins to stop. Meanwhile it is ready as
// long as callers can be served, or routers know no other way for them. Its methods may
// be called from any goroutine.
type readiness struct{ configured, stopping, unserved atomic.Bool }

// setConfigured records that the instance has a configuration, and so can decide about
// packets. It returns false if that was recorded before.
func (r *readiness) setConfigured() bool { return !r.configured.Swap(true) }

func (r *readiness) setStopping() { r.stopping.Store(true) }

func (r *readiness) isStopping() bool { return r.stopping.Load() }

// setServed records whether callers are served here, and reports whether that changed.
func (r *readiness) setServed(served bool) bool { return r.unserved.Swap(!served) == served }

func (r *readiness) isReady() bool {
	return r.configured.Load() && !r.stopping.Load() && !r.unserved.Load()
}

func newReadyServer(o Options, ready *readiness, g *guards) (*webServer, error) {
	listener, err := net.Listen("tcp4", o.Ready.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen for readiness probes of routers")
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+o.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !ready.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return newWebServer("Ready", listener, g.web.Handler(mux), webLimits{header: readyDeadline, response: readyDeadline}, o.Logger), nil
}

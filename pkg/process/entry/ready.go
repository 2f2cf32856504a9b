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

// gate decides the result of readiness probes: it is open once the instance has a
// configuration, until it is closed. A closed gate stays closed. Its methods may be
// called from any goroutine.
type gate struct{ configured, closed atomic.Bool }

// setConfigured opens the gate, as the instance can now decide about packets. It
// returns false if that was known before.
func (g *gate) setConfigured() bool { return !g.configured.Swap(true) }

func (g *gate) close() { g.closed.Store(true) }

func (g *gate) isClosed() bool { return g.closed.Load() }

func (g *gate) isOpen() bool { return g.configured.Load() && !g.closed.Load() }

func newReadyServer(o Options, g *gate) (*webServer, error) {
	listener, err := net.Listen("tcp4", o.Ready.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen for readiness probes of routers")
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+o.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !g.isOpen() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return newWebServer("Ready", listener, mux, readyDeadline, o.Logger), nil
}

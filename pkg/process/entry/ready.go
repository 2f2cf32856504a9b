package entry

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// readyDeadline bounds one probe, which comes twice a second.
const readyDeadline = time.Second

// gate says whether routers may send packets here. Once closed it stays so.
type gate struct{ known, closed atomic.Bool }

// know opens the gate: the instance can decide for packets. It returns whether
// that is new.
func (g *gate) know() bool { return !g.known.Swap(true) }

func (g *gate) close() { g.closed.Store(true) }

func (g *gate) isClosed() bool { return g.closed.Load() }

func (g *gate) isOpen() bool { return g.known.Load() && !g.closed.Load() }

func newReadyServer(o Options, g *gate) (*webServer, error) {
	listener, err := net.Listen("tcp4", o.Ready.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen for routers' probes")
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+o.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !g.isOpen() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return newWebServer("Ready", listener, mux, readyDeadline, o.Logger), nil
}

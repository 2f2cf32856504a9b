package entry

import (
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// readyDeadline bounds the reading of a probe, which comes twice a second.
const readyDeadline = time.Second

// gate says whether routers may send packets here. Once closed it stays so.
type gate struct{ known, closed atomic.Bool }

// know opens the gate: the instance can decide for packets. It returns whether
// that is new.
func (g *gate) know() bool { return !g.known.Swap(true) }

func (g *gate) close() { g.closed.Store(true) }

func (g *gate) isClosed() bool { return g.closed.Load() }

func (g *gate) isOpen() bool { return g.known.Load() && !g.closed.Load() }

type readyServer struct {
	listener net.Listener
	server   *http.Server
	log      *slog.Logger
}

func newReadyServer(o Options, g *gate) (*readyServer, error) {
	listener, err := net.Listen("tcp4", o.Ready.String())
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+o.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !g.isOpen() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return &readyServer{listener: listener, server: &http.Server{Handler: mux, ReadHeaderTimeout: readyDeadline}, log: o.Logger}, nil
}

// run answers the routers until the server is closed.
func (r *readyServer) run() {
	if err := r.server.Serve(r.listener); !errors.Is(err, http.ErrServerClosed) {
		r.log.Error("Ready: serving ended.", "Error", err)
	}
}

func (r *readyServer) close() { _ = r.server.Close() }

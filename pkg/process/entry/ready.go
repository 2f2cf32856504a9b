package entry

import (
	"net"
	"net/http"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// gate says whether routers may send packets here. Once closed it stays so.
type gate struct{ known, closed atomic.Bool }

// know opens the gate: the instance can decide for packets.
func (g *gate) know() { g.known.Store(true) }

func (g *gate) close() { g.closed.Store(true) }

func (g *gate) isOpen() bool { return g.known.Load() && !g.closed.Load() }

type readyServer struct {
	listener net.Listener
	server   *http.Server
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
	return &readyServer{listener: listener, server: &http.Server{Handler: mux}}, nil
}

func (r *readyServer) run() {
	if err := r.server.Serve(r.listener); !errors.Is(err, http.ErrServerClosed) {
		panic(err)
	}
}

func (r *readyServer) close() { _ = r.server.Close() }

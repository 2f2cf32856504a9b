package entry

import (
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// webServer is an HTTP server at one endpoint. Its log messages begin with part.
type webServer struct {
	part     string
	listener net.Listener
	server   *http.Server
	log      *slog.Logger
}

func newWebServer(part string, l net.Listener, h http.Handler, deadline time.Duration, log *slog.Logger) *webServer {
	return &webServer{
		part: part, listener: l, log: log,
		server: &http.Server{Handler: h, ReadHeaderTimeout: deadline, WriteTimeout: deadline},
	}
}

// run serves requests until the server is closed.
func (w *webServer) run() {
	if err := w.server.Serve(w.listener); !errors.Is(err, http.ErrServerClosed) {
		w.log.Error(w.part+": the HTTP server stopped unexpectedly.", "Error", err)
	}
}

func (w *webServer) close() {
	if err := w.server.Close(); err != nil {
		w.log.Warn(w.part+": the HTTP server can't be closed.", "Error", err)
	}
}

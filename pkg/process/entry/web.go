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

// webLimits bounds a request's header and its response; a response of 0 has no limit.
type webLimits struct{ header, response time.Duration }

func newWebServer(part string, l net.Listener, h http.Handler, limits webLimits, log *slog.Logger) *webServer {
	return &webServer{
		part: part, listener: l, log: log,
		server: &http.Server{Handler: h, ReadHeaderTimeout: limits.header, WriteTimeout: limits.response},
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

package instance

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"google.golang.org/grpc"

	"github.com/tanagerweir/tanagerweir/pkg/process/certificate"
	"github.com/tanagerweir/tanagerweir/service/api"
	"github.com/tanagerweir/tanagerweir/service/api/apiconnect"
)

// entranceServer is the name of the server that callers connect to.
const entranceServer = "Requests"

// servers are the TCP servers of an instance.
type servers struct {
	node    *Instance
	entries []server
}

type server struct {
	name  string
	serve func() error
	stop  func() error
	// drain waits until every response is written; nil for a server that isn't
	// drained.
	drain func(context.Context) error
}

func newServers(i *Instance, bound *sockets) *servers {
	s := &servers{node: i}
	entrance := http.NewServeMux()
	entrance.Handle(apiconnect.NewEntranceHandler(i.entrance, connect.WithCompressMinBytes(compressMinBytes)))
	admin := http.NewServeMux()
	protection, options := i.security.admin()
	admin.Handle(apiconnect.NewAdminHandler(newAdmin(i), options...))
	s.addHTTP(entranceServer, bound.requests, entrance, nil)
	s.addHTTP("Admin", bound.admin, certificate.Identify(admin), protection)
	s.addHTTP("Metrics", bound.metrics, i.health(), nil)
	s.addPeer(bound.peer)
	return s
}

// addHTTP adds an HTTP server. If protection isn't nil, the server uses TLS and
// requires client certificates.
func (s *servers) addHTTP(name string, listener net.Listener, h http.Handler, protection *tls.Config) {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	httpServer := &http.Server{Handler: s.node.guards.calls.Handler(h), Protocols: protocols, ReadHeaderTimeout: callTimeout}
	serve := func() error { return httpServer.Serve(listener) }
	if protection != nil {
		protocols.SetHTTP2(true)
		protocols.SetUnencryptedHTTP2(false)
		httpServer.TLSConfig = protection
		httpServer.ErrorLog = s.node.security.access.ErrorLog()
		serve = func() error { return httpServer.ServeTLS(listener, "", "") }
	}
	s.entries = append(s.entries, server{
		name:  name,
		serve: serve,
		stop:  httpServer.Close,
		drain: httpServer.Shutdown,
	})
}

// drain waits until the named server has written all responses. This is needed
// because requestCounter counts a request as ended before its response is written.
func (s *servers) drain(ctx context.Context, name string) error {
	for _, e := range s.entries {
		if e.name != name {
			continue
		}
		if err := e.drain(ctx); err != nil {
			return errors.Wrap(err, "responses to callers are still being written")
		}
	}
	return nil
}

func (s *servers) addPeer(listener net.Listener) {
	grpcServer := grpc.NewServer(append(s.node.guards.peerServer(), s.node.security.peerServer()...)...)
	api.RegisterPeerServer(grpcServer, s.node.exchange)
	api.RegisterFlowPeerServer(grpcServer, &flowPeer{incoming: s.node.packets.incomingMessages})
	s.entries = append(s.entries, server{
		name:  "Peer",
		serve: func() error { return grpcServer.Serve(listener) },
		stop: func() error {
			grpcServer.Stop()
			return nil
		},
	})
}

func (s *servers) start(tasks *sync.WaitGroup) {
	for _, e := range s.entries {
		tasks.Go(func() { s.run(e) })
	}
}

func (s *servers) run(e server) {
	err := e.serve()
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		s.node.log.Debug("Servers: a server stopped serving.", "Server", e.name, "Error", err)
	}
}

func (s *servers) close() {
	for _, e := range s.entries {
		if err := e.stop(); err != nil {
			s.node.log.Debug("Servers: closing a server failed.", "Server", e.name, "Error", err)
		}
	}
}

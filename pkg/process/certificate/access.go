package certificate

import (
	"context"
	"log"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
)

// refusalPeriod is the shortest time between two log lines about refused
// calls.
const refusalPeriod = 1 * time.Second

// Access refuses calls that the caller's role doesn't allow, and logs them:
// at most one line in refusalPeriod, with the number of refusals that weren't
// logged since the line before. It is safe for use from several goroutines.
type Access struct {
	log *slog.Logger
	now func() time.Time

	mu         sync.Mutex
	lastLogged time.Time
	suppressed int
	refused    uint64
}

// NewAccess returns the access check for the ports of one instance.
func NewAccess(log *slog.Logger, now func() time.Time) *Access {
	return &Access{log: log, now: now}
}

// Refused returns how many calls and handshakes were refused.
func (a *Access) Refused() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.refused
}

// refuse counts a refused call or handshake and logs it, unless a line was
// logged less than refusalPeriod ago.
func (a *Access) refuse(procedure string, i Identity, from string, cause error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refused++
	now := a.now()
	if now.Sub(a.lastLogged) < refusalPeriod {
		a.suppressed++
		return
	}
	a.log.Warn("Certificate: a call was refused.", "Procedure", procedure, "Name", i.Name,
		"Role", string(i.Role), "From", from, "Error", cause, "LeftOut", a.suppressed)
	a.lastLogged, a.suppressed = now, 0
}

// Identify puts the caller's identity into each request's context.
func Identify(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.TLS != nil && len(r.TLS.PeerCertificates) > 0 {
			// A caller without a role has no rights.
			i, _ := IdentityOf(r.TLS.PeerCertificates[0])
			r = r.WithContext(WithIdentity(r.Context(), i))
		}
		next.ServeHTTP(w, r)
	})
}

// Admin returns an interceptor that checks the caller's role: calls that the
// protocol declares free of side effects require a reader, all others an
// operator.
func (a *Access) Admin() connect.Interceptor {
	return connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			needed := Operator
			if r.Spec().IdempotencyLevel == connect.IdempotencyNoSideEffects {
				needed = Reader
			}
			i, _ := IdentityFrom(ctx)
			if !i.May(needed) {
				err := errors.Errorf("%s requires the role %s; caller %q has the role %q", r.Spec().Procedure, needed, i.Name, string(i.Role))
				a.refuse(r.Spec().Procedure, i, r.Peer().Addr, err)
				return nil, connect.NewError(connect.CodePermissionDenied, err)
			}
			return next(ctx, r)
		}
	})
}

// Peer is a gRPC interceptor that refuses calls by anybody but instances.
func (a *Access) Peer(ctx context.Context, r any, call *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
	i, from := caller(ctx)
	if !i.May(Instance) {
		err := status.Errorf(codes.PermissionDenied, "%s requires the role Instance; caller %q has the role %q", call.FullMethod, i.Name, string(i.Role))
		a.refuse(call.FullMethod, i, from, err)
		return nil, err
	}
	return next(WithIdentity(ctx, i), r)
}

// caller returns the identity and the address of the peer that made a gRPC
// call. The identity has no role if the peer's certificate has none, and is
// empty if there is no certificate.
func caller(ctx context.Context) (Identity, string) {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return Identity{}, ""
	}
	from := p.Addr.String()
	info, ok := p.AuthInfo.(credentials.TLSInfo)
	if !ok || len(info.State.PeerCertificates) == 0 {
		return Identity{}, from
	}
	i, err := IdentityOf(info.State.PeerCertificates[0])
	if err != nil {
		return Identity{Name: i.Name}, from
	}
	return i, from
}

// Transport returns the credentials of the peer port, which log failed
// handshakes.
func (a *Access) Transport(s *Source) credentials.TransportCredentials {
	return loggingTransport{TransportCredentials: credentials.NewTLS(s.Server()), access: a}
}

// loggingTransport logs failed handshakes of the credentials that it wraps.
type loggingTransport struct {
	credentials.TransportCredentials
	access *Access
}

// ServerHandshake performs the handshake and logs a failure.
func (t loggingTransport) ServerHandshake(raw net.Conn) (net.Conn, credentials.AuthInfo, error) {
	c, info, err := t.TransportCredentials.ServerHandshake(raw)
	if err != nil {
		t.access.refuse("Handshake", Identity{}, raw.RemoteAddr().String(), err)
	}
	return c, info, err
}

// Clone returns a copy that shares the Access.
func (t loggingTransport) Clone() credentials.TransportCredentials {
	return loggingTransport{TransportCredentials: t.TransportCredentials.Clone(), access: t.access}
}

// ErrorLog returns the error log for an HTTP server that requires
// certificates; the lines that such a server writes are about failed
// handshakes.
func (a *Access) ErrorLog() *log.Logger { return log.New(handshakeLog{access: a}, "", 0) }

// handshakeLog records each line written to it as a refused handshake.
type handshakeLog struct{ access *Access }

// Write records one line of the server's error log.
func (h handshakeLog) Write(line []byte) (int, error) {
	h.access.refuse("Handshake", Identity{}, "", errors.New(strings.TrimSpace(string(line))))
	return len(line), nil
}

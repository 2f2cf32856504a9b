package instance

import (
	"crypto/tls"

	"connectrpc.com/connect"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/tanagerweir/tanagerweir/pkg/process/certificate"
	"github.com/tanagerweir/tanagerweir/pkg/process/settings"
)

// security authenticates clients of the admin and peer ports as the settings say.
// In Plain mode, which has to be set explicitly, every client is accepted.
type security struct {
	mutual bool
	source *certificate.Source
	access *certificate.Access
}

func newSecurity(s settings.Settings, o Options) (security, error) {
	g := security{
		mutual: s.Security != settings.Plain,
		source: o.Certificates,
		access: certificate.NewAccess(o.Logger, o.Now),
	}
	if !g.mutual || g.source != nil {
		return g, nil
	}
	files := certificate.Files{Certificate: s.Certificate, Key: s.Key, Authority: s.Authority}
	source, err := certificate.Load(files, certificate.Options{Logger: o.Logger, Now: o.Now})
	g.source = source
	return g, err
}

// admin returns the TLS configuration and the handler options of the admin port,
// both nil in Plain mode.
func (g security) admin() (*tls.Config, []connect.HandlerOption) {
	if !g.mutual {
		return nil, nil
	}
	return g.source.Server(), []connect.HandlerOption{connect.WithInterceptors(g.access.Admin())}
}

// peerServer returns the server options of the peer port, nil in Plain mode.
func (g security) peerServer() []grpc.ServerOption {
	if !g.mutual {
		return nil
	}
	return []grpc.ServerOption{
		grpc.Creds(g.access.Transport(g.source)),
		grpc.ChainUnaryInterceptor(g.access.Peer),
	}
}

// peerClient returns the credentials of connections to other instances.
func (g security) peerClient() credentials.TransportCredentials {
	if !g.mutual {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(g.source.Client())
}

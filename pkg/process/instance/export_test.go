package instance

import (
	"google.golang.org/grpc"

	"github.com/prometheus/client_golang/prometheus"
)

// PeerServerOptions returns the options that contain panics of the gRPC server for other
// instances: no message is known at which its handlers panic.
func PeerServerOptions(o Options) []grpc.ServerOption {
	return newGuards(o, prometheus.NewRegistry()).peerServer()
}

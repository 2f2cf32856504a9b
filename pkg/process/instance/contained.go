package instance

import (
	"context"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/tanagerweir/tanagerweir/pkg/process/containment"
)

// guards contain panics of packets and of calls. The servers of gRPC contain none by
// themselves: a panic in one handler would end the process. The loops that write to the
// platform aren't contained, as a half-made change must not be continued.
type guards struct{ packets, calls *containment.Guard }

func newGuards(o Options, registry *prometheus.Registry) guards {
	g := guards{
		packets: containment.NewGuard("Packets", containment.InputLimit, o.Logger),
		calls:   containment.NewGuard("Calls", containment.InputLimit, o.Logger),
	}
	for _, guard := range []*containment.Guard{g.packets, g.calls} {
		registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "tanagerweir_panics_total", Help: "Panics that were contained, by the part that panicked.",
			ConstLabels: prometheus.Labels{"part": guard.Part()},
		}, func() float64 { return float64(guard.Panics()) }))
	}
	return g
}

// peerServer returns the options of the gRPC server for other instances. A call whose
// handler panics ends with the code Internal.
func (g guards) peerServer() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.ChainUnaryInterceptor(func(ctx context.Context, request any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (response any, err error) {
			err = g.call(func() error {
				response, err = handle(ctx, request)
				return err
			})
			return response, err
		}),
		grpc.ChainStreamInterceptor(func(server any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, handle grpc.StreamHandler) error {
			return g.call(func() error { return handle(server, stream) })
		}),
	}
}

func (g guards) call(handle func() error) error {
	err := g.calls.Do(handle)
	var p *containment.PanicError
	if errors.As(err, &p) {
		return status.Error(codes.Internal, p.Error())
	}
	return err
}

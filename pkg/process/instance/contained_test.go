package instance_test

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"strings"
	"testing"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/tanagerweir/tanagerweir/pkg/process/instance"
	"github.com/tanagerweir/tanagerweir/service/api"
)

// panickingPeer is a server for other instances whose handlers panic.
type panickingPeer struct{ api.UnimplementedPeerServer }

func (panickingPeer) Exchange(context.Context, *api.ExchangeRequest) (*api.ExchangeResponse, error) {
	panic("a message that nobody thought of")
}

// A call between instances at which a handler panics must fail alone: without an
// interceptor, gRPC lets it end the process.
func TestPanicInACallOfAnotherInstanceFailsThatCall(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var log bytes.Buffer
	server := grpc.NewServer(instance.PeerServerOptions(instance.Options{Logger: slog.New(slog.NewJSONHandler(&log, nil))})...)
	api.RegisterPeerServer(server, panickingPeer{})
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	conn, err := grpc.NewClient(listener.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	for range 2 {
		if _, err := api.NewPeerClient(conn).Exchange(t.Context(), &api.ExchangeRequest{}); status.Code(err) != codes.Internal {
			t.Errorf("error %v", err)
		}
	}
	server.Stop()
	if err := <-served; err != nil {
		t.Error(err)
	}
	if !strings.Contains(log.String(), "panickingPeer") {
		t.Error("the log lacks the panic's stack")
	}
}

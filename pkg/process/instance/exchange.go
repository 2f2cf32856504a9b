package instance

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/tanagerweir/tanagerweir/pkg/process/control"
	"github.com/tanagerweir/tanagerweir/pkg/process/roster"
	"github.com/tanagerweir/tanagerweir/service/api"
)

const (
	exchangePollPeriod = 50 * time.Millisecond // between two checks whether one is due
	exchangeTimeout    = 1 * time.Second       // limits one exchange
	peerIdleTimeout    = 60 * time.Second      // after which an unused connection closes
)

// exchange begins exchanges of member records and backend marks with peers, and
// handles those that peers begin.
type exchange struct {
	api.UnimplementedPeerServer
	node *Instance

	mu          sync.Mutex
	connections map[netip.AddrPort]*grpc.ClientConn
}

func newExchange(i *Instance) *exchange {
	return &exchange{node: i, connections: make(map[netip.AddrPort]*grpc.ClientConn)}
}

func (e *exchange) run(ctx context.Context) {
	for ctx.Err() == nil {
		due := false
		e.node.state.withCore(func(now time.Time, c *control.Core) { due = c.ExchangeDue(now) })
		if due {
			e.exchangeNext(ctx)
		}
		sleep(ctx, exchangePollPeriod)
	}
}

// exchangeNext exchanges with the peer that the control core chooses.
func (e *exchange) exchangeNext(ctx context.Context) {
	var peer roster.Member
	var ok bool
	e.node.state.withCore(func(now time.Time, c *control.Core) { peer, ok = c.Tick(now) })
	if !ok || !peer.Peer.IsValid() {
		return
	}
	if err := e.exchangeWith(ctx, peer); err != nil {
		e.node.log.Debug("Exchange: a peer is not answering.", "Peer", peer.Name, "Error", err)
		e.node.state.withCore(func(now time.Time, c *control.Core) { c.ExchangeFailed(now, peer.Name) })
	}
}

// announceLeave exchanges with all neighbours, so that they learn at once that
// this instance is leaving.
func (e *exchange) announceLeave(ctx context.Context) {
	var peers []roster.Member
	e.node.state.withCore(func(now time.Time, c *control.Core) { peers = c.Neighbours(now) })
	for _, peer := range peers {
		if err := e.exchangeWith(ctx, peer); err != nil {
			e.node.log.Debug("Exchange: a peer is not answering.", "Peer", peer.Name, "Error", err)
		}
	}
}

func (e *exchange) exchangeWith(ctx context.Context, peer roster.Member) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	connection, err := e.connection(peer.Peer)
	if err != nil {
		return err
	}
	response, err := api.NewPeerClient(connection).Exchange(ctx, e.helloRequest(peer.Name))
	if err != nil {
		return err
	}
	received, err := answerFromWire(response)
	if err != nil {
		return err
	}
	e.node.state.applyAnswer(peer.Name, received)
	return nil
}

func (e *exchange) helloRequest(to string) *api.ExchangeRequest {
	var h control.Hello
	e.node.state.withCore(func(now time.Time, c *control.Core) { h = c.Hello(now, to) })
	return &api.ExchangeRequest{Roster: api.RosterToWire(h.Roster), Marks: api.MarksToWire(h.Marks)}
}

func answerFromWire(w *api.ExchangeResponse) (control.Answer, error) {
	received, err := api.RosterFromWire(w.GetRoster())
	if err != nil {
		return control.Answer{}, err
	}
	return control.Answer{Roster: received, Marks: api.MarksFromWire(w.GetMarks())}, nil
}

// Exchange handles an exchange that a peer begins. An unreadable request is
// refused with InvalidArgument.
func (e *exchange) Exchange(_ context.Context, r *api.ExchangeRequest) (*api.ExchangeResponse, error) {
	received, err := api.RosterFromWire(r.GetRoster())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	hello := control.Hello{Roster: received, Marks: api.MarksFromWire(r.GetMarks())}
	var a control.Answer
	e.node.state.withCore(func(now time.Time, c *control.Core) { a = c.HandleHello(now, hello) })
	return &api.ExchangeResponse{Roster: api.RosterToWire(a.Roster), Marks: api.MarksToWire(a.Marks)}, nil
}

func (e *exchange) connection(to netip.AddrPort) (*grpc.ClientConn, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c, ok := e.connections[to]; ok {
		return c, nil
	}
	c, err := grpc.NewClient("passthrough:///"+to.String(),
		grpc.WithTransportCredentials(e.node.security.peerClient()), grpc.WithDisableServiceConfig(), grpc.WithIdleTimeout(peerIdleTimeout))
	if err != nil {
		return nil, errors.Wrap(err, "dial peer")
	}
	e.connections[to] = c
	return c, nil
}

func (e *exchange) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.connections {
		if err := c.Close(); err != nil {
			e.node.log.Debug("Exchange: closing a connection to a peer failed.", "Error", err)
		}
	}
}

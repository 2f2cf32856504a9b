package instance

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/tanagerweir/tanagerweir/pkg/process/control"
	"github.com/tanagerweir/tanagerweir/pkg/process/roster"
	"github.com/tanagerweir/tanagerweir/pkg/version/gossip"
	"github.com/tanagerweir/tanagerweir/service/api"
)

// minComparisonPause is the minimum time between two checks whether a comparison
// is due.
const minComparisonPause = 10 * time.Millisecond

// configSync compares the configuration with peers and exchanges what either side
// lacks. The control core decides when and with which peer. Its log part is Spread.
type configSync struct {
	node    *Instance
	wakeups chan struct{}
}

func newConfigSync(i *Instance) *configSync {
	return &configSync{node: i, wakeups: make(chan struct{}, 1)}
}

// wake makes run check again, since an update may have made a comparison due
// earlier.
func (s *configSync) wake() {
	select {
	case s.wakeups <- struct{}{}:
	default:
	}
}

func (s *configSync) run(ctx context.Context) {
	for ctx.Err() == nil {
		if peer, ok := s.nextPeer(); ok {
			if err := s.compareWith(ctx, peer); err != nil {
				s.node.log.Debug("Spread: a peer is not answering.", "Peer", peer.Name, "Error", err)
			}
		}
		s.waitDue(ctx)
	}
}

func (s *configSync) nextPeer() (peer roster.Member, ok bool) {
	s.node.state.withCore(func(now time.Time, c *control.Core) { peer, ok = c.NextSpread(now) })
	return peer, ok && peer.Peer.IsValid()
}

func (s *configSync) waitDue(ctx context.Context) {
	var wait time.Duration
	s.node.state.withCore(func(now time.Time, c *control.Core) { wait = c.SpreadDue().Sub(now) })
	timer := time.NewTimer(max(wait, minComparisonPause))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-s.wakeups:
	}
}

// compareWith compares the configuration with one peer. If the peer turns out to
// lack something, a second call sends it.
func (s *configSync) compareWith(ctx context.Context, peer roster.Member) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var first control.Spread
	s.node.state.withCore(func(_ time.Time, c *control.Core) { first = c.BeginSpread() })
	response, err := s.sendComparison(ctx, peer, first)
	if err != nil {
		return err
	}
	var second control.Spread
	again := false
	s.node.state.update(peer.Name, func(now time.Time, c *control.Core) (changed bool) {
		second, again, changed = c.FinishSpread(now, peer.Name, response)
		return changed
	})
	if again {
		_, err = s.sendComparison(ctx, peer, second)
	}
	return err
}

func (s *configSync) sendComparison(ctx context.Context, peer roster.Member, own control.Spread) (control.Spread, error) {
	connection, err := s.node.exchange.connection(peer.Peer)
	if err != nil {
		return control.Spread{}, err
	}
	request, err := api.SpreadToWire(own.Digest, own.Update)
	if err != nil {
		return control.Spread{}, err
	}
	s.countUpdateBytes(request, own.Update)
	response, err := api.NewPeerClient(connection).Compare(ctx, request)
	if err != nil {
		return control.Spread{}, err
	}
	digest, update, err := api.SpreadFromWire(response)
	return control.Spread{Digest: digest, Update: update}, err
}

// countUpdateBytes counts the size of a message against the budget for updates, if
// it carries a difference.
func (s *configSync) countUpdateBytes(m *api.Spread, u gossip.Update) {
	if u.Difference == nil {
		return
	}
	s.node.state.withCore(func(now time.Time, c *control.Core) { c.CountUpdateBytes(now, proto.Size(m)) })
}

// Compare handles a peer's comparison. It returns this instance's digest and the
// update that the peer lacks.
func (e *exchange) Compare(_ context.Context, r *api.Spread) (*api.Spread, error) {
	digest, update, err := api.SpreadFromWire(r)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	var result control.Spread
	e.node.state.update("a peer", func(now time.Time, c *control.Core) (changed bool) {
		result, changed = c.Compare(now, "a peer", control.Spread{Digest: digest, Update: update})
		return changed
	})
	w, err := api.SpreadToWire(result.Digest, result.Update)
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	e.node.configSync.countUpdateBytes(w, result.Update)
	return w, nil
}

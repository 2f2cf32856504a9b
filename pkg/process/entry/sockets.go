package entry

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/klauspost/compress/gzip"

	"github.com/tanagerweir/tanagerweir/pkg/version/replica"
	wire "github.com/tanagerweir/tanagerweir/service/entry"
)

// sockets is the Host of an instance that runs as a process.
type sockets struct {
	began    time.Time
	receiver *receiver
	// peers takes and sends words of instances.
	peers  *net.UDPConn
	client *http.Client
	log    *slog.Logger
	closed atomic.Bool
}

func newSockets(o Options) (*sockets, error) {
	r, err := newReceiver(o)
	if err != nil {
		return nil, err
	}
	peers, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(o.Peers))
	if err != nil {
		r.close()
		return nil, errors.Wrap(err, "listen for instances")
	}
	// Other instances come and go, so no connection is kept.
	t := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	return &sockets{began: time.Now(), receiver: r, peers: peers, client: &http.Client{Transport: t}, log: o.Logger}, nil
}

func (s *sockets) close() {
	s.closed.Store(true)
	s.receiver.close()
	_ = s.peers.Close() // nothing is left to write
}

// run hands the words of other instances over until the sockets are closed.
func (s *sockets) run(take func(datagram []byte, from netip.AddrPort)) {
	buffer := make([]byte, 1<<16)
	for {
		n, from, err := s.peers.ReadFromUDPAddrPort(buffer)
		if s.closed.Load() {
			return
		}
		if err != nil {
			s.log.Debug("Exchange: a datagram can't be read.", "Error", err)
			continue
		}
		take(buffer[:n], from)
	}
}

// Now is the time since the instance began, by a clock that never steps.
func (s *sockets) Now() time.Duration { return time.Since(s.began) }

// Pause returns after that time, or once the context ends.
func (s *sockets) Pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Deadline bounds what is done with the context that it returns.
func (s *sockets) Deadline(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, d)
}

// Accept lets packets come in.
func (s *sockets) Accept() { s.receiver.start() }

// SendPacket sends to a caller or a backend server.
func (s *sockets) SendPacket(datagram []byte, to netip.AddrPort) {
	if _, err := s.receiver.conn.WriteToUDPAddrPort(datagram, to); err != nil {
		s.log.Debug("Packets: one can't be sent.", "To", to, "Error", err)
	}
}

// SendWord sends to another instance.
func (s *sockets) SendWord(datagram []byte, to netip.AddrPort) {
	if _, err := s.peers.WriteToUDPAddrPort(datagram, to); err != nil && !s.closed.Load() {
		s.log.Debug("Exchange: a word can't be sent.", "To", to, "Error", err)
	}
}

// Fetch asks another instance for its changes after a revision.
func (s *sockets) Fetch(ctx context.Context, from netip.AddrPort, after uint64) (_ replica.Batch, err error) {
	url := fmt.Sprintf("http://%s%s?after=%d", from, changesPath, after)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return replica.Batch{}, errors.Wrap(err, "build request")
	}
	response, err := s.client.Do(request)
	if err != nil {
		return replica.Batch{}, errors.Wrap(err, "ask instance")
	}
	defer func() {
		if closing := response.Body.Close(); err == nil && closing != nil {
			err = errors.Wrap(closing, "close answer")
		}
	}()
	if response.StatusCode != http.StatusOK {
		return replica.Batch{}, errors.Errorf("instance answered with status %d", response.StatusCode)
	}
	unpacked, err := gzip.NewReader(response.Body)
	if err != nil {
		return replica.Batch{}, errors.Wrap(err, "unpack answer")
	}
	body, err := io.ReadAll(io.LimitReader(unpacked, fetchBytes))
	if err != nil {
		return replica.Batch{}, errors.Wrap(err, "read answer")
	}
	return wire.DecodeBatch(body)
}

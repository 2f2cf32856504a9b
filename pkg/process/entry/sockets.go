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

	"github.com/tanagerweir/tanagerweir/pkg/transfer"
	"github.com/tanagerweir/tanagerweir/pkg/version/replica"
	wire "github.com/tanagerweir/tanagerweir/service/entry"
)

// sockets is the Host of an instance that runs as a process, on the machine's
// network and clock.
type sockets struct {
	startedAt time.Time
	receiver  *receiver
	// peers receives and sends messages between instances.
	peers  *net.UDPConn
	client *http.Client
	log    *slog.Logger
	closed atomic.Bool
	pacer  *pacer
}

func newSockets(o Options) (*sockets, error) {
	r, err := newReceiver(o)
	if err != nil {
		return nil, err
	}
	peers, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(o.Peers))
	if err != nil {
		r.close()
		return nil, errors.Wrap(err, "listen for messages of instances")
	}
	if err := stampArrivals(peers); err != nil {
		o.Logger.Warn("Exchange: the socket doesn't tell when messages arrive; old ones may count as new.", "Error", err)
	}
	// Other instances come and go, so connections aren't kept alive.
	t := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	s := &sockets{startedAt: time.Now(), receiver: r, peers: peers, client: &http.Client{Transport: t}, log: o.Logger}
	s.pacer = newPacer(o.LinkBytesPerSecond, s.Now, s.writePacket)
	return s, nil
}

func (s *sockets) close() {
	s.closed.Store(true)
	s.pacer.close()
	s.receiver.close()
	_ = s.peers.Close() // nothing is left to write
}

// run passes messages of other instances to receive until the sockets are closed, with the
// time at which they reached the socket.
// The datagram is valid only during the call.
func (s *sockets) run(receive func(datagram []byte, from netip.AddrPort, at time.Duration)) {
	buffer, control := make([]byte, 1<<16), make([]byte, controlBytes)
	for {
		n, controlled, _, from, err := s.peers.ReadMsgUDPAddrPort(buffer, control)
		if s.closed.Load() {
			return
		}
		if err != nil {
			s.log.Debug("Exchange: a datagram can't be read from the socket.", "Error", err)
			continue
		}
		// The clock is read first: if the process is suspended meanwhile, the message looks
		// older than it is, and never newer.
		now := s.Now()
		receive(buffer[:n], from, now-waitedInSocket(control[:controlled]))
	}
}

// Now returns the time since the instance started, by the monotonic clock.
func (s *sockets) Now() time.Duration { return time.Since(s.startedAt) }

// Pause waits for d, or until the context ends.
func (s *sockets) Pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Deadline returns a context that ends after d.
func (s *sockets) Deadline(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, d)
}

// Transfer returns a context that ends once a response stops to arrive. Calls with it
// report to its trace.
func (s *sockets) Transfer(ctx context.Context, l transfer.Limit) (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	meter := transfer.NewMeter(s.Now(), l)
	timer := time.AfterFunc(l.First, func() { cancel(transfer.ErrStopped) })
	context.AfterFunc(ctx, func() { timer.Stop() })
	restart := func() {
		if ctx.Err() == nil {
			timer.Reset(meter.Deadline() - s.Now())
		}
	}
	return transfer.WithTrace(ctx, transfer.Trace{
		Began: func(int64) {
			meter.Begin(s.Now())
			restart()
		},
		Received: func(bytes int) {
			meter.Receive(s.Now(), bytes)
			restart()
		},
	}), cancel
}

// AcceptPackets starts the reception of callers' packets. Later calls have no effect.
func (s *sockets) AcceptPackets() { s.receiver.start() }

// SendPacket sends a datagram to a caller or a backend server, once the link is free.
func (s *sockets) SendPacket(datagram []byte, flow uint64, to netip.AddrPort) {
	s.pacer.send(datagram, flow, to)
}

func (s *sockets) writePacket(datagram []byte, to netip.AddrPort) {
	if _, err := s.receiver.conn.WriteToUDPAddrPort(datagram, to); err != nil {
		s.log.Debug("Packets: a packet can't be sent.", "To", to, "Error", err)
	}
}

// SendMessage sends a message to another instance.
func (s *sockets) SendMessage(datagram []byte, to netip.AddrPort) {
	if _, err := s.peers.WriteToUDPAddrPort(datagram, to); err != nil && !s.closed.Load() {
		s.log.Debug("Exchange: a message can't be sent to another instance.", "To", to, "Error", err)
	}
}

// Fetch requests the changes after a position from another instance.
func (s *sockets) Fetch(ctx context.Context, from netip.AddrPort, after replica.Position) (_ replica.Batch, err error) {
	target := fmt.Sprintf("http://%s%s?%s", from, changesPath, positionQuery(after).Encode())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return replica.Batch{}, errors.Wrap(err, "build fetch request")
	}
	response, err := s.client.Do(request)
	if err != nil {
		return replica.Batch{}, errors.Wrap(err, "send fetch request")
	}
	defer func() {
		if closing := response.Body.Close(); err == nil && closing != nil {
			err = errors.Wrap(closing, "close fetch response")
		}
	}()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable:
		return replica.Batch{}, ErrBusy
	default:
		return replica.Batch{}, errors.Errorf("instance answered the fetch with status %d", response.StatusCode)
	}
	return DecodeFetch(transfer.Reader(ctx, response.ContentLength, response.Body))
}

var errFetchTooLarge = errors.Errorf("entry: the response to a fetch has more than %d bytes", maxFetchBytes)

// DecodeFetch reads the response to a fetch.
func DecodeFetch(response io.Reader) (replica.Batch, error) {
	unpacked, err := gzip.NewReader(response)
	if err != nil {
		return replica.Batch{}, errors.Wrap(err, "decompress fetch response")
	}
	body, err := io.ReadAll(io.LimitReader(unpacked, maxFetchBytes+1))
	if err != nil {
		return replica.Batch{}, errors.Wrap(err, "read fetch response")
	}
	if len(body) > maxFetchBytes {
		// The part up to the limit may be a valid batch, which would lack keys.
		return replica.Batch{}, errFetchTooLarge
	}
	return wire.DecodeBatch(body)
}

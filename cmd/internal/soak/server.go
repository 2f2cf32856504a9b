package soak

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/tanagerweir/tanagerweir/pkg/connection/segment"
	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
	"github.com/tanagerweir/tanagerweir/platform"
	"github.com/tanagerweir/tanagerweir/platform/standin"
)

const (
	// serversAtStart is how many there are of each service, spread over the data
	// centres.
	serversAtStart = 3
	// firstNumber is the number of the first backend server.
	firstNumber = 0x1000
	// serverSequence is where a backend server's data begins.
	serverSequence = 5000
	// lapseAfter is when the entry of a silent server goes.
	lapseAfter = 3 * time.Second
	// leaveAfter is how long a draining server stays.
	leaveAfter = 4 * time.Second
)

// server stands in for a backend server.
type server struct {
	world   *world
	id      string
	number  uint64
	service string
	centre  string
	conn    *net.UDPConn
	dark    atomic.Bool
	gone    atomic.Bool

	mu sync.Mutex
	// flows are those that are open here, by the caller's port.
	flows map[uint16]bool
	// drained is when it said that it drains.
	drained time.Time
	// troubled is when it was last disturbed.
	troubled time.Time
	born     int64
}

// addServer starts a backend server, each with a number of its own.
func (w *world) addServer(ctx context.Context, service, centre string) error {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 8, 0, 1)})
	if err != nil {
		return errors.Wrap(err, "listen as backend server")
	}
	w.mu.Lock()
	number := uint64(firstNumber + len(w.servers))
	s := &server{
		world: w, id: fmt.Sprintf("i-%x", number), number: number, service: service, centre: centre,
		conn: conn, flows: make(map[uint16]bool), born: int64(number),
	}
	w.servers = append(w.servers, s)
	w.mu.Unlock()
	s.describe(false)
	w.duties.Go(func() { s.run(ctx) })
	return nil
}

func (s *server) endpoint() netip.AddrPort { return s.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

func (s *server) describe(draining bool) {
	s.world.store.Describe(directory.Server{
		ID: s.id, Service: s.service, DataCentre: s.centre, Endpoint: s.endpoint(), Slots: 3, Draining: draining, Born: s.born,
	})
}

func (s *server) close() {
	s.gone.Store(true)
	_ = s.conn.Close() // nothing is left to write
}

// run answers packets until the socket is closed.
func (s *server) run(ctx context.Context) {
	buffer := make([]byte, platform.AddresseeBytes+platform.MaxPacketBytes)
	for ctx.Err() == nil {
		n, err := s.conn.Read(buffer)
		if err != nil {
			return
		}
		if s.dark.Load() || n < platform.AddresseeBytes || binary.BigEndian.Uint64(buffer) != s.number {
			continue
		}
		packet := buffer[platform.AddresseeBytes:n]
		if parsed, err := platform.ParsePacket(packet); err != nil {
			s.world.broken("backend server %s got a packet that can't be read: %v", s.id, err)
		} else {
			s.take(parsed)
		}
	}
}

func (s *server) take(p segment.Segment) {
	if serviceOf(p.Flow.Route) != s.service {
		s.world.broken("backend server %s of %s got a packet for %v", s.id, s.service, p.Flow.Route)
	}
	port := p.Flow.Caller.Port()
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.Flags.Has(segment.Open) {
		s.opening(p)
		s.flows[port] = true
		s.answer(p, segment.Open|segment.Acknowledge, p.Sequence+1)
		return
	}
	if other := s.world.callers.at(port); other != nil && other != s {
		s.world.broken("packet of a flow open at %s reached %s", other.id, s.id)
	}
	if !s.flows[port] {
		s.answer(p, segment.Abort, p.Sequence)
		return
	}
	if p.Length > 0 {
		s.answer(p, segment.Acknowledge, p.Sequence+uint32(p.Length))
	}
}

// opening checks a new flow against what the server and the operator said.
func (s *server) opening(p segment.Segment) {
	if !s.world.calm() {
		return
	}
	if !s.drained.IsZero() && time.Since(s.drained) > applyWithin {
		s.world.broken("draining backend server %s got a new flow after %v", s.id, time.Since(s.drained))
	}
	s.world.mu.Lock()
	removed, gone := s.world.removed[p.Flow.Route.String()]
	s.world.mu.Unlock()
	if gone && time.Since(removed) > applyWithin {
		s.world.broken("backend server %s got a flow of %v, removed %v ago", s.id, p.Flow.Route, time.Since(removed))
	}
}

// answer sends a packet to the caller, directly as backend servers do.
func (s *server) answer(p segment.Segment, flags segment.Flags, acknowledged uint32) {
	packet := standin.Packet(segment.Segment{
		Flow: segment.Flow{Caller: p.Flow.Route, Route: p.Flow.Caller}, Flags: flags,
		Sequence: serverSequence, Acknowledged: acknowledged, Mark: p.Mark,
	}, nil)
	to := netip.AddrPortFrom(p.Flow.Caller.Addr(), s.world.callers.port)
	_, _ = s.conn.WriteToUDPAddrPort(packet, to) // a datagram may be lost
}

// fall makes the server silent for some time, after which it starts anew.
func (s *server) fall(ctx context.Context, d time.Duration) {
	s.trouble()
	s.dark.Store(true)
	if d > lapseAfter {
		wait(ctx, lapseAfter)
		s.world.store.Forget(s.id)
		wait(ctx, d-lapseAfter)
	} else {
		wait(ctx, d)
	}
	s.mu.Lock()
	clear(s.flows)
	s.born += 1000
	s.mu.Unlock()
	s.trouble()
	s.dark.Store(false)
	s.describe(false)
}

// leave drains the server and ends it.
func (s *server) leave(ctx context.Context) {
	s.mu.Lock()
	s.drained = time.Now()
	s.mu.Unlock()
	s.describe(true)
	wait(ctx, leaveAfter)
	s.world.store.Forget(s.id)
	s.trouble()
	s.close()
}

func (s *server) trouble() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.troubled = time.Now()
}

// sound says whether the server has lived undisturbed for a while.
func (s *server) sound() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.dark.Load() && !s.gone.Load() && time.Since(s.troubled) > calmFor
}

// staying says that the server hasn't begun to leave.
func (s *server) staying() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drained.IsZero()
}

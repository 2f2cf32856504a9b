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
	// serversPerService is the number of backend servers of each service at the start,
	// spread over the data centres.
	serversPerService = 3
	// firstServerNumber is the number of the first backend server.
	firstServerNumber = 0x1000
	// firstServerSequence is the sequence number at which a backend server's data begins.
	firstServerSequence = 5000
	// entryLifetime is how long the entry of a silent server stays in the store.
	entryLifetime = 3 * time.Second
	// drainTime is how long a server drains before it is closed.
	drainTime = 4 * time.Second
)

// server is a stand-in for a backend server.
type server struct {
	harness *harness
	id      string
	number  uint64
	service string
	centre  string
	conn    *net.UDPConn
	silent  atomic.Bool
	closed  atomic.Bool

	mu sync.Mutex
	// flows has the ports of the callers whose flows are open at the server.
	flows map[uint16]bool
	// drained is when the server began to drain, zero before.
	drained time.Time
	// disturbed is when the server last fell silent, restarted or finished draining.
	disturbed time.Time
	// startedMillis stands for the start time in the server's entry; it grows with each
	// restart.
	startedMillis int64
}

// addServer starts a backend server with the next free number.
func (h *harness) addServer(ctx context.Context, service, centre string) error {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 8, 0, 1)})
	if err != nil {
		return errors.Wrap(err, "listen as backend server")
	}
	h.mu.Lock()
	number := uint64(firstServerNumber + len(h.servers))
	s := &server{
		harness: h, id: fmt.Sprintf("i-%x", number), number: number, service: service, centre: centre,
		conn: conn, flows: make(map[uint16]bool), startedMillis: int64(number),
	}
	h.servers = append(h.servers, s)
	h.mu.Unlock()
	s.putEntry(false)
	h.tasks.Go(func() { s.run(ctx) })
	return nil
}

func (s *server) endpoint() netip.AddrPort { return s.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// putEntry writes the server's entry to the store.
func (s *server) putEntry(draining bool) {
	s.mu.Lock()
	started := s.startedMillis
	s.mu.Unlock()
	s.harness.store.PutServer(directory.Server{
		ID: s.id, Service: s.service, DataCentre: s.centre, Endpoint: s.endpoint(), Slots: 3, Draining: draining, StartedMillis: started,
	})
}

func (s *server) close() {
	s.closed.Store(true)
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
		if s.silent.Load() || n < platform.AddresseeBytes || binary.BigEndian.Uint64(buffer) != s.number {
			continue
		}
		packet := buffer[platform.AddresseeBytes:n]
		if parsed, err := platform.ParsePacket(packet); err != nil {
			s.harness.reportBroken("backend server %s got a packet that can't be parsed: %v", s.id, err)
		} else {
			s.handle(parsed)
		}
	}
}

// handle answers a packet, and checks that its flow belongs to this server.
func (s *server) handle(p segment.Segment) {
	if serviceOf(p.Flow.Route) != s.service {
		s.harness.reportBroken("backend server %s of %s got a packet for %v", s.id, s.service, p.Flow.Route)
	}
	port := p.Flow.Caller.Port()
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.Flags.Has(segment.Open) {
		s.checkNewFlow(p)
		s.flows[port] = true
		s.sendReply(p, segment.Open|segment.Acknowledge, p.Sequence+1)
		return
	}
	if owner := s.harness.callers.serverOf(port); owner != nil && owner != s {
		s.harness.reportBroken("packet of a flow open at %s reached %s", owner.id, s.id)
	}
	if !s.flows[port] {
		s.sendReply(p, segment.Abort, p.Sequence)
		return
	}
	if p.Length > 0 {
		s.sendReply(p, segment.Acknowledge, p.Sequence+uint32(p.Length))
	}
}

// checkNewFlow checks that a new flow is allowed: the server doesn't drain, and the
// configuration has the route, both with changeDeadline to apply.
func (s *server) checkNewFlow(p segment.Segment) {
	if !s.harness.stable() {
		return
	}
	if !s.drained.IsZero() && time.Since(s.drained) > changeDeadline {
		s.harness.reportBroken("draining backend server %s got a new flow after %v", s.id, time.Since(s.drained))
	}
	s.harness.mu.Lock()
	removedAt, isRemoved := s.harness.removed[p.Flow.Route.String()]
	s.harness.mu.Unlock()
	if isRemoved && time.Since(removedAt) > changeDeadline {
		s.harness.reportBroken("backend server %s got a flow of %v, removed %v ago", s.id, p.Flow.Route, time.Since(removedAt))
	}
}

// sendReply sends a packet directly to the caller, as backend servers do.
func (s *server) sendReply(p segment.Segment, flags segment.Flags, acknowledged uint32) {
	packet := standin.Packet(segment.Segment{
		Flow: segment.Flow{Caller: p.Flow.Route, Route: p.Flow.Caller}, Flags: flags,
		Sequence: firstServerSequence, Acknowledged: acknowledged, Mark: p.Mark,
	}, nil)
	to := netip.AddrPortFrom(p.Flow.Caller.Addr(), s.harness.callers.port)
	_, _ = s.conn.WriteToUDPAddrPort(packet, to) // a datagram may be lost
}

// fallSilent makes the server silent for d, after which it restarts without its flows.
// Its entry leaves the store after entryLifetime.
func (s *server) fallSilent(ctx context.Context, d time.Duration) {
	s.recordDisturbance()
	s.silent.Store(true)
	if d > entryLifetime {
		wait(ctx, entryLifetime)
		s.harness.store.DeleteServer(s.id)
		wait(ctx, d-entryLifetime)
	} else {
		wait(ctx, d)
	}
	s.mu.Lock()
	clear(s.flows)
	s.startedMillis += 1000
	s.mu.Unlock()
	s.recordDisturbance()
	s.silent.Store(false)
	s.putEntry(false)
}

// leave drains the server and closes it.
func (s *server) leave(ctx context.Context) {
	s.mu.Lock()
	s.drained = time.Now()
	s.mu.Unlock()
	s.putEntry(true)
	wait(ctx, drainTime)
	s.harness.store.DeleteServer(s.id)
	s.recordDisturbance()
	s.close()
}

func (s *server) recordDisturbance() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disturbed = time.Now()
}

// healthy returns whether the server answers and had no fault for stableAfter.
func (s *server) healthy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.silent.Load() && !s.closed.Load() && time.Since(s.disturbed) > stableAfter
}

// active returns whether the server hasn't begun to drain.
func (s *server) active() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drained.IsZero()
}

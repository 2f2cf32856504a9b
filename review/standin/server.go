package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/connection/segment"
	"github.com/tanagerweir/tanagerweir/platform"
	"github.com/tanagerweir/tanagerweir/platform/standin"
)

// serverSequence is the sequence number with which a server's part of a flow begins.
const serverSequence = 7000

// server is a stand-in for a backend server. It answers each request in one packet.
type server struct {
	fleet             *fleet
	id, service, zone string
	number            uint64
	conn              *net.UDPConn
	born              int64

	mu       sync.Mutex
	draining bool
	seq      int
	// flows are the ones that it holds, by the caller's port.
	flows map[uint16]*serverFlow
	// runs counts the requests that it ran.
	runs int
}

// serverFlow is a flow at a server.
type serverFlow struct {
	route netip.AddrPort
	open  bool
	// next is the caller's next sequence number, sent the server's own.
	next, sent uint32
	// mark is the last one received, and response the last packet with data.
	mark     uint32
	response []byte
}

// take is an opening packet that a server took.
type take struct {
	server *server
	at     time.Time
}

func newServer(f *fleet, n int, id, service, zone string) (*server, error) {
	number, err := strconv.ParseUint(strings.TrimPrefix(id, "i-"), 16, 64)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(f.address(150+n), 0)))
	if err != nil {
		return nil, err
	}
	s := &server{
		fleet: f, id: id, service: service, zone: zone, number: number, conn: conn, born: time.Now().UnixMilli(),
		flows: make(map[uint16]*serverFlow),
	}
	go s.run()
	s.writeEntry()
	return s, nil
}

// writeEntry writes the server's entry to the store. The store has it when it returns.
func (s *server) writeEntry() {
	s.mu.Lock()
	s.seq++
	state := "ready"
	if s.draining {
		state = "draining"
	}
	entry, err := json.Marshal(map[string]any{
		"service": s.service, "address": s.conn.LocalAddr().String(), "zone": s.zone, "configVersion": "v1", "slots": s.fleet.site.slots,
		"state": state, "coldLeftMs": 0, "seq": s.seq, "born": s.born,
	})
	s.mu.Unlock()
	if err == nil {
		s.fleet.store.Put("servers/"+s.id, entry)
	}
}

// drain writes to the store that the server leaves, and returns when the store had it.
func (s *server) drain() time.Time {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.writeEntry()
	return time.Now()
}

// leave ends the server.
func (s *server) leave() {
	s.fleet.store.Delete("servers/" + s.id)
	_ = s.conn.Close()
}

// run answers packets until the socket is closed.
func (s *server) run() {
	buffer := make([]byte, platform.AddresseeBytes+platform.MaxPacketBytes)
	for {
		n, err := s.conn.Read(buffer)
		if err != nil {
			return
		}
		if n < platform.AddresseeBytes {
			continue
		}
		number, packet := standin.Addressee(buffer[:n])
		p, err := platform.ParsePacket(packet)
		if err != nil || number != 0 && number != s.number {
			continue
		}
		s.handle(p, packet[platform.HeaderBytes:])
	}
}

func (s *server) handle(p segment.Segment, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	port := p.Flow.Caller.Port()
	f := s.flows[port]
	switch {
	case p.Flags.Has(segment.Open):
		s.takeOpening(p)
	case f == nil || f.route != p.Flow.Route:
		s.fleet.record.add("server %s of %s has no flow of port %d for %s and resets it", s.id, s.service, port, s.fleet.routeName(p.Flow.Route))
		s.send(p, segment.Abort, p.Acknowledged, p.Sequence, nil)
	case p.Flags.Has(segment.Abort):
		delete(s.flows, port)
	default:
		f.open, f.mark = true, p.Mark
		if len(data) > 0 {
			s.answer(p, f, data)
		}
		if p.Flags.Has(segment.Finish) {
			s.send(p, segment.Acknowledge|segment.Finish, f.sent, p.Sequence+uint32(len(data))+1, nil)
			delete(s.flows, port)
		}
	}
}

// takeOpening takes an opening packet. The caller holds the lock.
func (s *server) takeOpening(p segment.Segment) {
	port := p.Flow.Caller.Port()
	if s.flows[port] == nil {
		s.flows[port] = &serverFlow{route: p.Flow.Route, next: p.Sequence + 1, sent: serverSequence + 1, mark: p.Mark}
		s.fleet.caller.taken(port, take{server: s, at: time.Now()})
	}
	s.send(p, segment.Open|segment.Acknowledge, serverSequence, p.Sequence+1, nil)
}

// answer runs a request, or sends the answer of the last one again. The caller holds the lock.
func (s *server) answer(p segment.Segment, f *serverFlow, data []byte) {
	if p.Sequence == f.next {
		s.runs++
		f.next += uint32(len(data))
		id := requestID(data)
		s.fleet.record.add("server %s of %s runs %s of port %d for %s", s.id, s.service, id, p.Flow.Caller.Port(), s.fleet.routeName(p.Flow.Route))
		f.response = []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: %s-%d\r\nContent-Length: 2\r\n\r\nok", id, s.id, s.runs))
		f.sent += uint32(len(f.response))
	}
	if f.response != nil {
		s.send(p, segment.Acknowledge, f.sent-uint32(len(f.response)), f.next, f.response)
	}
}

// send sends a packet directly to the caller, as backend servers do.
func (s *server) send(p segment.Segment, flags segment.Flags, sequence, acknowledged uint32, data []byte) {
	packet := standin.Packet(segment.Segment{
		Flow: segment.Flow{Caller: p.Flow.Route, Route: p.Flow.Caller}, Flags: flags,
		Sequence: sequence, Acknowledged: acknowledged, Mark: p.Mark,
	}, data)
	_, _ = s.conn.WriteToUDPAddrPort(packet, netip.AddrPortFrom(p.Flow.Caller.Addr(), s.fleet.port)) // a datagram may be lost
}

func requestID(data []byte) string {
	_, after, _ := strings.Cut(string(data), "Request-Id: ")
	id, _, _ := strings.Cut(after, "\r\n")
	return id
}

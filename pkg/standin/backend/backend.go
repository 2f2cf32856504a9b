// Package backend is a stand-in for a backend server.
//
// It receives encapsulated packets over UDP and counts them by flow. It runs
// requests over Connect and counts the runs of each ticket. It refuses a
// request if all its slots are busy.
//
// # Usage
//
//	server, closeServer, err := backend.New("board-1", slots)
//	if err != nil {
//		return err
//	}
//	defer closeServer()
//	ran := server.Runs(ticket)
//
// It is for tests and the demonstration only.
package backend

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"github.com/tanagerweir/tanagerweir/pkg/connection/flow"
	"github.com/tanagerweir/tanagerweir/pkg/connection/parcel"
	"github.com/tanagerweir/tanagerweir/service/api"
	"github.com/tanagerweir/tanagerweir/service/api/apiconnect"
)

// retryAfter is how long a caller should wait after a refusal.
const retryAfter = 100 * time.Millisecond

// anyLoopback listens on any free loopback port.
const anyLoopback = "127.0.0.1:0"

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	name       string
	slots      uint32
	packets    *net.UDPConn
	requests   net.Listener
	httpServer *http.Server
	goroutines sync.WaitGroup

	mu        sync.Mutex
	flows     map[flow.Key]int // packets by flow
	runs      map[string]int   // by ticket
	busy      uint32
	work      time.Duration // of each request
	cold      bool
	leaving   bool
	fault     Fault
	refused   int
	cancelled int
	peak      uint32        // largest value of busy so far
	released  chan struct{} // closed to release held requests, nil before the first HoldRequests
	arrived   chan struct{} // receives a value for each held request
}

// New starts a stand-in on any free loopback ports. The returned function stops
// it and may be called more than once.
func New(name string, slots uint32) (*Server, func(), error) {
	packets, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(anyLoopback)))
	if err != nil {
		return nil, nil, errors.Wrap(err, "listen for packets")
	}
	requests, err := net.Listen("tcp", anyLoopback)
	if err != nil {
		return nil, nil, errors.Join(errors.Wrap(err, "listen for requests"), packets.Close())
	}
	s := &Server{
		name: name, slots: slots, packets: packets, requests: requests,
		flows: make(map[flow.Key]int), runs: make(map[string]int),
	}
	mux := http.NewServeMux()
	mux.Handle(apiconnect.NewWorkerHandler(s))
	s.httpServer = &http.Server{Handler: s.injectFaults(mux), ReadHeaderTimeout: time.Second}
	s.goroutines.Go(s.runPackets)
	s.goroutines.Go(s.runRequests)
	return s, sync.OnceFunc(s.close), nil
}

// close stops the stand-in and waits for its goroutines.
func (s *Server) close() {
	// These fail only if a socket is closed already.
	_ = errors.Join(s.httpServer.Close(), s.packets.Close())
	s.goroutines.Wait()
}

// Packets returns the endpoint for encapsulated packets.
func (s *Server) Packets() netip.AddrPort {
	return s.packets.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Requests returns the endpoint for requests.
func (s *Server) Requests() netip.AddrPort {
	return s.requests.Addr().(*net.TCPAddr).AddrPort()
}

// SetWork sets how long each request takes.
func (s *Server) SetWork(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.work = d
}

// HoldRequests blocks the requests that arrive from now on until release is called
// or their callers cancel them. The returned channel receives a value for each
// request that arrives, also after the release. It must be read if more arrive
// than there are slots.
func (s *Server) HoldRequests() (arrived <-chan struct{}, release func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	released := make(chan struct{})
	s.released = released
	s.arrived = make(chan struct{}, s.slots)
	return s.arrived, sync.OnceFunc(func() { close(released) })
}

// waitForRelease blocks while requests are held, at most until ctx ends.
func (s *Server) waitForRelease(ctx context.Context) {
	s.mu.Lock()
	released, arrived := s.released, s.arrived
	s.mu.Unlock()
	if released == nil {
		return
	}
	arrived <- struct{}{}
	select {
	case <-released:
	case <-ctx.Done():
	}
}

// SetCold sets whether the stand-in reports a cold start.
func (s *Server) SetCold(cold bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cold = cold
}

// SetLeaving sets whether the stand-in reports that it is leaving and refuses
// all requests.
func (s *Server) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// Flows returns a copy of the number of packets received for each flow.
func (s *Server) Flows() map[flow.Key]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := make(map[flow.Key]int, len(s.flows))
	for k, n := range s.flows {
		copied[k] = n
	}
	return copied
}

// runPackets receives packets until the socket is closed. Packets that cannot
// be parsed are dropped.
func (s *Server) runPackets() {
	parser := parcel.NewParser()
	buffer := make([]byte, parcel.SizeLimit)
	for {
		n, _, err := s.packets.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		head, problem := parser.Parse(buffer[:n])
		if problem != parcel.Fine {
			continue
		}
		s.countPacket(head.Key)
	}
}

func (s *Server) countPacket(k flow.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flows[k]++
}

func (s *Server) runRequests() {
	// Serve always returns an error; here it is that the server was closed.
	_ = s.httpServer.Serve(s.requests)
}

// Load returns the number of slots, how many are busy, and whether the server
// is cold or leaving. It implements the Worker service.
func (s *Server) Load(context.Context, *connect.Request[api.LoadRequest]) (*connect.Response[api.LoadResponse], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return connect.NewResponse(&api.LoadResponse{
		Slots: s.slots, Busy: s.busy, Cold: s.cold, Leaving: s.leaving,
	}), nil
}

package main

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/connection/segment"
	"github.com/tanagerweir/tanagerweir/platform"
	"github.com/tanagerweir/tanagerweir/platform/standin"
)

const (
	// callerSequence is the sequence number with which a caller's part of a flow begins.
	callerSequence = 900
	// retransmitAfter is the time after which a caller sends a packet again, and
	// requestBudget the time after which it gives a request up.
	retransmitAfter = 200 * time.Millisecond
	requestBudget   = 3 * time.Second
)

// caller is a client with one address and a port for each flow.
type caller struct {
	fleet *fleet
	conn  *net.UDPConn
	ports atomic.Uint32

	mu    sync.Mutex
	flows map[uint16]*callerFlow
	takes map[uint16][]take
}

// callerFlow is a flow of the caller.
type callerFlow struct {
	caller *caller
	port   uint16
	route  netip.AddrPort
	// via is the instance to which all packets go, nil for the routers' choice.
	via     *instance
	opened  time.Time // when the opening packet was sent
	replies chan reply
	// next is the caller's next sequence number, and received the server's.
	next, received, mark uint32
	requests             int
}

// reply is a packet that the caller received.
type reply struct {
	segment segment.Segment
	// own is true if a server sent it, not an instance.
	own bool
}

func newCaller(f *fleet, conn *net.UDPConn) *caller {
	c := &caller{fleet: f, conn: conn, flows: make(map[uint16]*callerFlow), takes: make(map[uint16][]take)}
	c.ports.Store(10_000)
	go c.run()
	return c
}

// run delivers packets to their flows until the socket is closed.
func (c *caller) run() {
	buffer := make([]byte, platform.MaxPacketBytes)
	for {
		n, err := c.conn.Read(buffer)
		if err != nil {
			return
		}
		p, err := platform.ParsePacket(buffer[:n])
		if err != nil {
			continue
		}
		c.mu.Lock()
		f := c.flows[p.Flow.Route.Port()]
		c.mu.Unlock()
		if f == nil {
			continue
		}
		select {
		case f.replies <- reply{segment: p, own: standin.HasChecksum(buffer[:n])}:
		default:
		}
	}
}

// taken records which server took the opening packet of a port.
func (c *caller) taken(port uint16, t take) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.takes[port] = append(c.takes[port], t)
}

// takesOf returns the servers that took the opening packets of a flow.
func (c *caller) takesOf(f *callerFlow) []take {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.takes[f.port]
}

// newFlow returns a flow from a new port that isn't open yet.
func (c *caller) newFlow(route netip.AddrPort, via *instance) *callerFlow {
	f := &callerFlow{caller: c, port: uint16(c.ports.Add(1)), route: route, via: via, replies: make(chan reply, 16), next: callerSequence}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.flows[f.port] = f
	return f
}

func (f *callerFlow) send(flags segment.Flags, sequence uint32, acknowledged uint32, data []byte) {
	to := f.via
	if to == nil {
		to = f.caller.fleet.route(f.port)
	}
	if to == nil {
		return
	}
	flow := segment.Flow{Caller: netip.AddrPortFrom(f.caller.fleet.address(callerHost), f.port), Route: f.route}
	packet := standin.Packet(segment.Segment{Flow: flow, Flags: flags, Sequence: sequence, Acknowledged: acknowledged, Mark: f.mark}, data)
	_, _ = f.caller.conn.WriteToUDPAddrPort(packet, to.packets()) // a datagram may be lost
}

// open sends the opening packet and its copies, and reports whether a server answered.
func (f *callerFlow) open(copies int) bool {
	f.opened = time.Now()
	for n, pause := range []time.Duration{retransmitAfter, 2 * retransmitAfter, 4 * retransmitAfter} {
		if n > copies {
			break
		}
		f.send(segment.Open, f.next, uint32(n), nil)
		for deadline := time.After(pause); ; {
			r, ok := f.receive(deadline)
			if !ok {
				break
			}
			if r.segment.Flags.Has(segment.Abort) {
				return false
			}
			if r.segment.Flags.Has(segment.Open | segment.Acknowledge) {
				f.next, f.received, f.mark = f.next+1, r.segment.Sequence+1, r.segment.Mark
				return true
			}
		}
	}
	return false
}

func (f *callerFlow) receive(deadline <-chan time.Time) (reply, bool) {
	select {
	case r := <-f.replies:
		return r, true
	case <-deadline:
		return reply{}, false
	}
}

// outcome is how a request ended.
type outcome string

// Outcomes.
const (
	answered  outcome = "answered"
	reset     outcome = "reset"
	abandoned outcome = "abandoned"
)

// request sends a request on the open flow and waits for its answer, within its budget.
func (f *callerFlow) request() (outcome, reply) {
	f.requests++
	data := []byte(fmt.Sprintf("GET /feed HTTP/1.1\r\nHost: board\r\nRequest-Id: r-%d-%d\r\n\r\n", f.port, f.requests))
	end := f.next + uint32(len(data))
	pause := retransmitAfter
	for began := time.Now(); time.Since(began) < requestBudget; pause *= 2 {
		f.send(segment.Acknowledge, f.next, f.received, data)
		for deadline := time.After(pause); ; {
			r, ok := f.receive(deadline)
			if !ok {
				break
			}
			if r.segment.Flags.Has(segment.Abort) {
				return reset, r
			}
			if r.segment.Length > 0 && r.segment.Acknowledged == end && r.segment.Sequence == f.received {
				f.next, f.received = end, f.received+uint32(r.segment.Length)
				return answered, r
			}
		}
	}
	return abandoned, reply{}
}

// finish closes the flow.
func (f *callerFlow) finish() {
	f.send(segment.Acknowledge|segment.Finish, f.next, f.received, nil)
	f.forget()
}

// forget drops what later packets of the flow bring.
func (f *callerFlow) forget() {
	f.caller.mu.Lock()
	defer f.caller.mu.Unlock()
	delete(f.caller.flows, f.port)
}

package soak

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/tanagerweir/tanagerweir/pkg/connection/segment"
	"github.com/tanagerweir/tanagerweir/platform"
	"github.com/tanagerweir/tanagerweir/platform/standin"
)

const (
	callerCount = 16
	// requestsPerFlow is how many requests a caller sends before it closes a flow.
	requestsPerFlow = 30
	// thinkTime is the pause between requests.
	thinkTime = 40 * time.Millisecond
	// requestTimeout is how long a caller waits for an answer.
	requestTimeout = 3 * time.Second
)

// openingSchedule has the times since the first packet at which a caller sends the
// opening packet again; at the last one it gives up. dataSchedule is the same for the
// data of a request.
var (
	openingSchedule = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}
	dataSchedule    = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond, requestTimeout}
)

// reply is a packet that a caller received.
type reply struct {
	segment segment.Segment
	// fromServer says that the packet has a checksum: a backend server sent it, not an
	// instance.
	fromServer bool
}

// callers are all callers, which share one socket. They differ by the ports that their
// packets carry.
type callers struct {
	harness       *harness
	conn          *net.UDPConn
	port          uint16
	asked, served atomic.Int64
	ports         atomic.Uint32

	mu      sync.Mutex
	replies map[uint16]chan reply
	// openAt has the server at which each flow is open, by the caller's port.
	openAt map[uint16]*server
}

func newCallers(h *harness, port uint16) (*callers, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 9, 0, 1), Port: int(port)})
	if err != nil {
		return nil, errors.Wrap(err, "listen as callers")
	}
	c := &callers{harness: h, conn: conn, port: port, replies: make(map[uint16]chan reply), openAt: make(map[uint16]*server)}
	c.ports.Store(20_000)
	return c, nil
}

func (c *callers) close() { _ = c.conn.Close() } // nothing is left to write

func (c *callers) counts() (served, asked int) { return int(c.served.Load()), int(c.asked.Load()) }

// serverOf returns the server at which the flow of a caller's port is open, nil for
// none.
func (c *callers) serverOf(port uint16) *server {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.openAt[port]
}

// run delivers received packets to the goroutines of their flows. A packet is dropped
// if its flow is unknown or doesn't take packets fast enough.
func (c *callers) run(ctx context.Context) {
	buffer := make([]byte, platform.MaxPacketBytes)
	for ctx.Err() == nil {
		n, err := c.conn.Read(buffer)
		if err != nil {
			return
		}
		p, err := platform.ParsePacket(buffer[:n])
		if err != nil {
			c.harness.reportBroken("a caller got a packet that can't be parsed: %v", err)
			continue
		}
		c.mu.Lock()
		flow := c.replies[p.Flow.Route.Port()]
		c.mu.Unlock()
		select {
		case flow <- reply{segment: p, fromServer: standin.HasChecksum(buffer)}:
		default:
		}
	}
}

// openFlows runs one flow after the other until the context ends.
func (c *callers) openFlows(ctx context.Context, n int) {
	routes := []netip.AddrPort{boardRoute, ledgerRoute, boardRoute, seasonalRoute}
	for ctx.Err() == nil {
		c.runFlow(ctx, routes[n%len(routes)])
		wait(ctx, thinkTime)
	}
}

// runFlow opens a flow, sends requests on it and closes it. Flows of the seasonal route
// aren't counted, as changes of the configuration may remove it at any time.
func (c *callers) runFlow(ctx context.Context, route netip.AddrPort) {
	port := uint16(c.ports.Add(1))
	f := segment.Flow{Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 9, 0, 1}), port), Route: route}
	replies := make(chan reply, 16)
	c.mu.Lock()
	c.replies[port] = replies
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.replies, port)
		delete(c.openAt, port)
		c.mu.Unlock()
	}()
	counted := route != seasonalRoute
	if counted {
		c.asked.Add(1)
	}
	mark, ok := c.openFlow(ctx, f, replies)
	if !ok {
		return
	}
	if counted {
		c.served.Add(1)
	}
	sequence := uint32(101)
	for range requestsPerFlow {
		if counted {
			c.asked.Add(1)
		}
		if !c.sendRequest(ctx, f, replies, sequence, mark) {
			return
		}
		if counted {
			c.served.Add(1)
		}
		sequence += uint32(len(requestData))
		wait(ctx, thinkTime)
	}
	c.send(segment.Segment{Flow: f, Flags: segment.Acknowledge | segment.Finish, Sequence: sequence, Acknowledged: firstServerSequence, Mark: mark}, nil)
}

var requestData = []byte("GET / HTTP/1.1\r\nRequest-Id: 1\r\n\r\n")

// openFlow sends the opening packet by openingSchedule until a server answers, and
// returns the server's mark.
func (c *callers) openFlow(ctx context.Context, f segment.Flow, replies chan reply) (mark uint32, ok bool) {
	start := time.Now()
	for attempt, delay := range openingSchedule {
		if !c.receiveUntil(ctx, start.Add(delay), replies, func(r reply) bool {
			if r.segment.Flags.Has(segment.Open | segment.Acknowledge) {
				mark, ok = r.segment.Mark, true
			}
			return ok || r.segment.Flags.Has(segment.Abort)
		}) {
			break
		}
		if attempt < len(openingSchedule)-1 {
			c.send(segment.Segment{Flow: f, Flags: segment.Open, Sequence: 100, Acknowledged: uint32(attempt)}, nil)
		}
	}
	if ok {
		c.mu.Lock()
		c.openAt[f.Caller.Port()] = c.harness.serverByMark(mark)
		c.mu.Unlock()
	}
	return mark, ok
}

// sendRequest sends a request's data by dataSchedule, and returns whether the server
// acknowledged it.
func (c *callers) sendRequest(ctx context.Context, f segment.Flow, replies chan reply, sequence, mark uint32) bool {
	start := time.Now()
	end := sequence + uint32(len(requestData))
	done, aborted := false, false
	for attempt, delay := range dataSchedule {
		if !c.receiveUntil(ctx, start.Add(delay), replies, func(r reply) bool {
			done = r.segment.Flags.Has(segment.Acknowledge) && !r.segment.Flags.Has(segment.Open) && r.segment.Acknowledged == end
			aborted = r.segment.Flags.Has(segment.Abort)
			if aborted {
				c.checkReset(f, r)
			}
			return done || aborted
		}) {
			break
		}
		if attempt < len(dataSchedule)-1 {
			c.send(segment.Segment{Flow: f, Flags: segment.Acknowledge, Sequence: sequence, Acknowledged: firstServerSequence, Mark: mark}, requestData)
		}
	}
	return done && !aborted
}

// checkReset reports a reset that an instance sent for an open flow while the flow's
// server was healthy.
func (c *callers) checkReset(f segment.Flow, r reply) {
	s := c.serverOf(f.Caller.Port())
	if !r.fromServer && s != nil && s.healthy() && c.harness.stable() {
		c.harness.reportBroken("an instance reset a flow that is open at %s, which is healthy", s.id)
	}
}

// receiveUntil passes replies to handle until the deadline, and returns true then. It
// returns false if handle returned true or the context ended.
func (c *callers) receiveUntil(ctx context.Context, deadline time.Time, replies chan reply, handle func(reply) bool) bool {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case r := <-replies:
			if handle(r) {
				return false
			}
		case <-timer.C:
			return true
		}
	}
}

// send sends a packet to the instance that the routers choose, if there is one.
func (c *callers) send(s segment.Segment, data []byte) {
	if i := c.harness.instanceFor(s.Flow); i != nil {
		_, _ = c.conn.WriteToUDPAddrPort(standin.Packet(s, data), i.packets) // a datagram may be lost
	}
}

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
	callersAtStart = 16
	// requestsAFlow is how many requests a caller sends before it closes a flow.
	requestsAFlow = 30
	// thinkFor is the pause between requests.
	thinkFor = 40 * time.Millisecond
	// budget is how long a caller waits for an answer.
	budget = 3 * time.Second
)

// openingCopies are the times at which a caller sends the opening packet, and the
// last is when it gives up; resends are the same of data.
var (
	openingCopies = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}
	resends       = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond, budget}
)

// reply is a packet that a caller got.
type reply struct {
	parsed segment.Segment
	// signed says that a backend server made it, and not an instance.
	signed bool
}

// callers are all callers behind one socket.
type callers struct {
	world         *world
	conn          *net.UDPConn
	port          uint16
	asked, served atomic.Int64
	ports         atomic.Uint32

	mu      sync.Mutex
	replies map[uint16]chan reply
	// open is where each flow is open, by its port.
	open map[uint16]*server
}

func newCallers(w *world, port uint16) (*callers, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 9, 0, 1), Port: int(port)})
	if err != nil {
		return nil, errors.Wrap(err, "listen as callers")
	}
	c := &callers{world: w, conn: conn, port: port, replies: make(map[uint16]chan reply), open: make(map[uint16]*server)}
	c.ports.Store(20_000)
	return c, nil
}

func (c *callers) close() { _ = c.conn.Close() } // nothing is left to write

func (c *callers) counts() (served, asked int) { return int(c.served.Load()), int(c.asked.Load()) }

// at returns the server at which a flow is open, nil for none.
func (c *callers) at(port uint16) *server {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open[port]
}

// run hands packets to the flows that they belong to.
func (c *callers) run(ctx context.Context) {
	buffer := make([]byte, platform.MaxPacketBytes)
	for ctx.Err() == nil {
		n, err := c.conn.Read(buffer)
		if err != nil {
			return
		}
		p, err := platform.ParsePacket(buffer[:n])
		if err != nil {
			c.world.broken("a caller got a packet that can't be read: %v", err)
			continue
		}
		c.mu.Lock()
		flow := c.replies[p.Flow.Route.Port()]
		c.mu.Unlock()
		select {
		case flow <- reply{parsed: p, signed: standin.Signed(buffer)}:
		default:
		}
	}
}

// loop opens one flow after the other.
func (c *callers) loop(ctx context.Context, n int) {
	routes := []netip.AddrPort{boardRoute, ledgerRoute, boardRoute, seasonalRoute}
	for ctx.Err() == nil {
		c.flow(ctx, routes[n%len(routes)])
		wait(ctx, thinkFor)
	}
}

// flow opens a flow, sends requests on it and closes it.
func (c *callers) flow(ctx context.Context, route netip.AddrPort) {
	port := uint16(c.ports.Add(1))
	f := segment.Flow{Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 9, 0, 1}), port), Route: route}
	replies := make(chan reply, 16)
	c.mu.Lock()
	c.replies[port] = replies
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.replies, port)
		delete(c.open, port)
		c.mu.Unlock()
	}()
	counted := route != seasonalRoute
	if counted {
		c.asked.Add(1)
	}
	mark, ok := c.opened(ctx, f, replies)
	if !ok {
		return
	}
	if counted {
		c.served.Add(1)
	}
	sequence := uint32(101)
	for range requestsAFlow {
		if counted {
			c.asked.Add(1)
		}
		if !c.request(ctx, f, replies, sequence, mark) {
			return
		}
		if counted {
			c.served.Add(1)
		}
		sequence += uint32(len(requestData))
		wait(ctx, thinkFor)
	}
	c.send(segment.Segment{Flow: f, Flags: segment.Acknowledge | segment.Finish, Sequence: sequence, Acknowledged: serverSequence, Mark: mark}, nil)
}

var requestData = []byte("GET / HTTP/1.1\r\nRequest-Id: 1\r\n\r\n")

// opened sends the opening packet and its copies until a server answers.
func (c *callers) opened(ctx context.Context, f segment.Flow, replies chan reply) (mark uint32, ok bool) {
	began := time.Now()
	for copies, at := range openingCopies {
		if !c.pauseUntil(ctx, began.Add(at), replies, func(r reply) bool {
			if r.parsed.Flags.Has(segment.Open | segment.Acknowledge) {
				mark, ok = r.parsed.Mark, true
			}
			return ok || r.parsed.Flags.Has(segment.Abort)
		}) {
			break
		}
		if copies < len(openingCopies)-1 {
			c.send(segment.Segment{Flow: f, Flags: segment.Open, Sequence: 100, Acknowledged: uint32(copies)}, nil)
		}
	}
	if ok {
		c.mu.Lock()
		c.open[f.Caller.Port()] = c.world.byMark(mark)
		c.mu.Unlock()
	}
	return mark, ok
}

// request sends data until the server acknowledges it.
func (c *callers) request(ctx context.Context, f segment.Flow, replies chan reply, sequence, mark uint32) bool {
	began := time.Now()
	end := sequence + uint32(len(requestData))
	done, aborted := false, false
	for copies, at := range resends {
		if !c.pauseUntil(ctx, began.Add(at), replies, func(r reply) bool {
			done = r.parsed.Flags.Has(segment.Acknowledge) && !r.parsed.Flags.Has(segment.Open) && r.parsed.Acknowledged == end
			aborted = r.parsed.Flags.Has(segment.Abort)
			if aborted {
				c.reset(f, r)
			}
			return done || aborted
		}) {
			break
		}
		if copies < len(resends)-1 {
			c.send(segment.Segment{Flow: f, Flags: segment.Acknowledge, Sequence: sequence, Acknowledged: serverSequence, Mark: mark}, requestData)
		}
	}
	return done && !aborted
}

// reset checks a reset of an open flow.
func (c *callers) reset(f segment.Flow, r reply) {
	s := c.at(f.Caller.Port())
	if !r.signed && s != nil && s.sound() && c.world.calm() {
		c.world.broken("an instance reset a flow that is open at %s, which lives", s.id)
	}
}

// pauseUntil takes replies until a time comes, and returns false if one of them
// was what the caller waits for.
func (c *callers) pauseUntil(ctx context.Context, at time.Time, replies chan reply, take func(reply) bool) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case r := <-replies:
			if take(r) {
				return false
			}
		case <-timer.C:
			return true
		}
	}
}

// send hands a packet to the instance that the routers choose.
func (c *callers) send(s segment.Segment, data []byte) {
	if i := c.world.routed(s.Flow); i != nil {
		_, _ = c.conn.WriteToUDPAddrPort(standin.Packet(s, data), i.packets) // a datagram may be lost
	}
}

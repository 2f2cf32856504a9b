package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/tanagerweir/tanagerweir/pkg/connection/segment"
	"github.com/tanagerweir/tanagerweir/platform"
	"github.com/tanagerweir/tanagerweir/platform/standin"
)

// Times at which clients send an opening packet and data again.
var (
	openingTimes = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}
	dataTimes    = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond, 3 * time.Second, 4 * time.Second}
)

// reply is a packet that a client received.
type reply struct {
	segment segment.Segment
	data    []byte
	// from is the sender's socket, and system says that the packet has no checksum, as only
	// the system's own resets.
	from   netip.AddrPort
	system bool
}

// foreignReset is a reset of an open flow that the flow's target didn't send.
type foreignReset struct {
	at          time.Time
	flow, owner string
	sender      string
	// pending is the identifier of the request that waited, empty if none did.
	pending string
	// through is the instance that took the flow's last packet.
	through string
}

// clients are all clients. They share one address and differ by port.
type clients struct {
	world   *world
	name    string
	conn    *net.UDPConn
	address netip.Addr
	ports   atomic.Uint32

	asked, answered atomic.Int64

	// full says that the clients' link carries nothing to them.
	full atomic.Bool

	mu      sync.Mutex
	replies map[uint16]chan reply
	sent    map[uint16]time.Time
	// taken holds the instances that took a flow's opening packets.
	taken  map[uint16][]string
	resets []foreignReset
}

// newClients returns clients that share the link of the address with that last number.
func newClients(w *world, name string, n int) (*clients, error) {
	address := w.address(n)
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: address.AsSlice(), Port: int(w.packetPort)})
	if err != nil {
		return nil, errors.Wrap(err, "listen as clients")
	}
	c := &clients{world: w, name: name, conn: conn, address: address, replies: make(map[uint16]chan reply), sent: make(map[uint16]time.Time), taken: make(map[uint16][]string)}
	c.ports.Store(20000)
	w.tasks.Go(c.run)
	return c, nil
}

// openedAt returns when the first opening packet of a flow was sent, and which instances took
// its opening packets.
func (c *clients) openedAt(caller netip.AddrPort) (sent time.Time, taken []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent[caller.Port()], slices.Clone(c.taken[caller.Port()])
}

// run hands packets to their flows.
func (c *clients) run() {
	buffer := make([]byte, 2048)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if c.full.Load() {
			continue
		}
		s, err := platform.ParsePacket(buffer[:n])
		if err != nil {
			c.world.record("a client got a packet that can't be read: %v", err)
			continue
		}
		c.mu.Lock()
		replies := c.replies[s.Flow.Route.Port()]
		c.mu.Unlock()
		r := reply{segment: s, data: append([]byte(nil), buffer[platform.HeaderBytes:n]...), from: from, system: !standin.HasChecksum(buffer)}
		select {
		case replies <- r:
		default:
		}
	}
}

// clientFlow is one flow.
type clientFlow struct {
	clients            *clients
	key                segment.Flow
	replies            chan reply
	owner              netip.AddrPort
	sequence, received uint32
	mark               uint32
	lastInstance       string
}

// newFlow returns a flow from a port that wasn't used before.
func (c *clients) newFlow() *clientFlow {
	port := uint16(c.ports.Add(1))
	f := &clientFlow{
		clients: c, key: segment.Flow{Caller: netip.AddrPortFrom(c.address, port), Route: routeEndpoint},
		replies: make(chan reply, 32), sequence: rand.Uint32(),
	}
	c.mu.Lock()
	c.replies[port], c.sent[port] = f.replies, time.Now()
	c.mu.Unlock()
	return f
}

func (f *clientFlow) send(s segment.Segment, data []byte) {
	i := f.clients.world.instanceFor(f.key)
	if i == nil {
		return
	}
	f.lastInstance = i.name
	if s.Flags.Has(segment.Open) {
		f.clients.mu.Lock()
		f.clients.taken[f.key.Caller.Port()] = append(f.clients.taken[f.key.Caller.Port()], i.name)
		f.clients.mu.Unlock()
	}
	s.Flow, s.Mark = f.key, f.mark
	_, _ = f.clients.conn.WriteToUDPAddrPort(standin.Packet(s, data), netip.AddrPortFrom(i.address, f.clients.world.packetPort))
}

// exchange sends at the given times, but for the last, until handle accepts a reply. At the
// last one it gives up.
func (f *clientFlow) exchange(times []time.Duration, send func(attempt int), handle func(reply) (done bool)) {
	began := time.Now()
	for attempt, at := range times {
		if f.await(began.Add(at), handle) {
			return
		}
		if attempt < len(times)-1 {
			send(attempt)
		}
	}
}

// await passes replies to handle until it accepts one, and reports whether it did by the
// deadline, or the case ended.
func (f *clientFlow) await(deadline time.Time, handle func(reply) bool) bool {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	for {
		select {
		case r := <-f.replies:
			if handle(r) {
				return true
			}
		case <-timer.C:
			return false
		case <-f.clients.world.context.Done():
			return true
		}
	}
}

// open opens the flow and reports whether it is open.
func (f *clientFlow) open() bool {
	ok := false
	f.exchange(openingTimes, func(attempt int) {
		f.send(segment.Segment{Flags: segment.Open, Sequence: f.sequence, Acknowledged: uint32(attempt)}, nil)
	}, func(r reply) bool {
		if r.segment.Flags.Has(segment.Open | segment.Acknowledge) {
			f.owner, f.mark, f.received, ok = r.from, r.segment.Mark, r.segment.Sequence+1, true
		}
		return ok || r.segment.Flags.Has(segment.Abort)
	})
	if ok {
		f.sequence++
		f.send(segment.Segment{Flags: segment.Acknowledge, Sequence: f.sequence, Acknowledged: f.received}, nil)
	}
	return ok
}

// request sends a request, and reports whether it was answered whole.
func (f *clientFlow) request() bool {
	c := f.clients
	id := fmt.Sprintf("%s-%d", c.name, c.asked.Add(1))
	data := fmt.Appendf(nil, "POST /sign HTTP/1.1\r\nHost: board\r\nRequest-Id: %s\r\nContent-Length: 2\r\n\r\nhi", id)
	answered := false
	f.exchange(dataTimes, func(int) {
		f.send(segment.Segment{Flags: segment.Acknowledge, Sequence: f.sequence, Acknowledged: f.received}, data)
	}, func(r reply) bool {
		switch {
		case r.segment.Flags.Has(segment.Abort):
			f.checkReset(r, id)
			return true
		case r.from == f.owner && r.segment.Length > 0 && r.segment.Sequence == f.received:
			f.mark = r.segment.Mark
			f.received += uint32(r.segment.Length)
			answered = strings.Contains(string(r.data), "/"+id+"\r\n")
			return true
		}
		return false
	})
	f.sequence += uint32(len(data))
	switch {
	case c.world.context.Err() != nil:
		return false
	case !answered:
		c.world.record("request %s of client %s, sent to %s by way of %s, got no answer", id, f.key.Caller, c.world.targetAt(f.owner), f.lastInstance)
	default:
		c.answered.Add(1)
		f.send(segment.Segment{Flags: segment.Acknowledge, Sequence: f.sequence, Acknowledged: f.received}, nil)
	}
	return answered
}

// checkReset records a reset that the flow's target didn't send.
func (f *clientFlow) checkReset(r reply, pending string) {
	c := f.clients
	if !r.system && r.from == f.owner {
		return
	}
	sender := "an instance of the system"
	if !r.system {
		sender = c.world.targetAt(r.from)
	}
	x := foreignReset{
		at: time.Now(), flow: f.key.Caller.String(), owner: c.world.targetAt(f.owner), sender: sender, pending: pending, through: f.lastInstance,
	}
	c.mu.Lock()
	c.resets = append(c.resets, x)
	c.mu.Unlock()
	c.world.record("client %s: the flow open at %s got a reset of %s, by way of %s; request %s was waiting", x.flow, x.owner, x.sender, x.through, x.pending)
}

// finish closes the flow.
func (f *clientFlow) finish() {
	f.send(segment.Segment{Flags: segment.Acknowledge | segment.Finish, Sequence: f.sequence, Acknowledged: f.received}, nil)
}

// targetAt returns the identifier of the target with that socket.
func (w *world) targetAt(endpoint netip.AddrPort) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.targets {
		if t.conn.LocalAddr().(*net.UDPAddr).AddrPort() == endpoint {
			return t.id
		}
	}
	return endpoint.String()
}

// loopShort opens a flow for each request.
func (c *clients) loopShort(pause time.Duration) {
	for c.world.context.Err() == nil {
		f := c.newFlow()
		if f.open() {
			f.request()
			f.finish()
		}
		time.Sleep(pause + time.Duration(rand.Int64N(int64(pause/5))))
	}
}

// foreignResets returns the number of resets that the flow's target didn't send, and that of
// requests that waited for an answer then.
func (c *clients) foreignResets() (resets, unanswered int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.resets {
		if x.pending != "" {
			unanswered++
		}
	}
	return len(c.resets), unanswered
}

package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/tanagerweir/tanagerweir/pkg/connection/segment"
	"github.com/tanagerweir/tanagerweir/platform"
	"github.com/tanagerweir/tanagerweir/platform/standin"
)

// target is a backend server of the platform. All of its packets bear its own address.
type target struct {
	world  *world
	id     string
	number uint64
	zone   string
	conn   *net.UDPConn
	work   time.Duration
	// down says that the process doesn't run.
	down atomic.Bool

	mu    sync.Mutex
	flows map[netip.AddrPort]*targetFlow
	// born is the start in Unix milliseconds.
	born int64
	// opened holds when flows opened since the last start.
	opened []opening
	// ran holds the identifiers of the requests that it began to work on.
	ran map[string]int
}

// opening is the time when a flow's opening packet was sent, that when it arrived, and the
// instances that took it or its copies.
type opening struct {
	sent, arrived time.Time
	taken         []string
}

// targetFlow is a flow at a target.
type targetFlow struct {
	sequence uint32
	open     bool
	arrived  time.Time
	// expected is the next byte expected from the client, and answer the last answer.
	expected uint32
	answer   []byte
	mark     uint32
}

// addTarget starts a target and registers it.
func (w *world) addTarget(id, zone string, work time.Duration) (*target, error) {
	digits := strings.TrimPrefix(id, "i-")
	number, err := strconv.ParseUint(digits, 16, 64)
	if err != nil {
		return nil, errors.Wrap(err, "read the identifier of a target")
	}
	w.mu.Lock()
	address := w.address(100 + len(w.targets))
	w.mu.Unlock()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: address.AsSlice()})
	if err != nil {
		return nil, errors.Wrap(err, "listen as target")
	}
	t := &target{
		world: w, id: id, number: number, zone: zone, conn: conn, work: work,
		flows: make(map[netip.AddrPort]*targetFlow), born: time.Now().UnixMilli(), ran: make(map[string]int),
	}
	w.mu.Lock()
	w.targets = append(w.targets, t)
	w.mu.Unlock()
	t.announce("ready", 0)
	w.tasks.Go(t.run)
	return t, nil
}

// announce writes the target's entry into the store.
func (t *target) announce(state string, coldLeft time.Duration) {
	t.mu.Lock()
	born := t.born
	t.mu.Unlock()
	t.world.store.Put("servers/"+t.id, fmt.Appendf(nil,
		`{"service":"board","address":%q,"zone":%q,"configVersion":"v1","slots":3,"state":%q,"coldLeftMs":%d,"seq":1,"born":%d}`,
		t.conn.LocalAddr(), t.zone, state, coldLeft.Milliseconds(), born))
	t.world.record("target %s is %s", t.id, state)
}

// run answers packets until the socket is closed.
func (t *target) run() {
	buffer := make([]byte, platform.AddresseeBytes+platform.MaxPacketBytes)
	for {
		n, err := t.conn.Read(buffer)
		if err != nil {
			return
		}
		if t.down.Load() || n < platform.AddresseeBytes {
			continue
		}
		if number := binary.BigEndian.Uint64(buffer); number != 0 && number != t.number {
			continue // another target is meant
		}
		packet := buffer[platform.AddresseeBytes:n]
		s, err := platform.ParsePacket(packet)
		if err != nil {
			t.world.record("target %s got a packet that can't be read: %v", t.id, err)
			continue
		}
		t.handle(s, append([]byte(nil), packet[platform.HeaderBytes:]...))
	}
}

// handle answers one packet of a client.
func (t *target) handle(s segment.Segment, data []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.flows[s.Flow.Caller]
	if s.Flags.Has(segment.Open) {
		if f == nil || f.expected != s.Sequence+1 {
			f = &targetFlow{sequence: rand.Uint32(), expected: s.Sequence + 1, arrived: time.Now()}
			t.flows[s.Flow.Caller] = f
		}
		f.mark = s.Mark
		t.send(s.Flow, f, segment.Open|segment.Acknowledge, f.sequence, nil)
		return
	}
	switch {
	case f == nil:
		t.world.record("target %s resets the flow of %s, which it doesn't hold", t.id, s.Flow.Caller)
		t.send(s.Flow, &targetFlow{expected: s.Sequence, mark: s.Mark}, segment.Abort, s.Acknowledged, nil)
		return
	case !f.open && s.Acknowledged == f.sequence+1:
		f.open = true
		sent, taken := t.world.clients.openedAt(s.Flow.Caller)
		t.opened = append(t.opened, opening{sent: sent, arrived: f.arrived, taken: taken})
		f.sequence++
	}
	f.mark = s.Mark
	switch {
	case s.Flags.Has(segment.Finish), s.Flags.Has(segment.Abort):
		delete(t.flows, s.Flow.Caller)
	case s.Length > 0 && s.Sequence == f.expected && f.open:
		f.expected += uint32(s.Length)
		if f.answer != nil {
			f.sequence += uint32(len(f.answer))
			f.answer = nil
		}
		t.send(s.Flow, f, segment.Acknowledge, f.sequence, nil)
		t.begin(s.Flow, f, data)
	case s.Length > 0 && f.answer != nil:
		t.send(s.Flow, f, segment.Acknowledge, f.sequence, f.answer)
	}
}

var requestID = regexp.MustCompile(`Request-Id: (\S+)`)

// begin begins to work on a request.
func (t *target) begin(flow segment.Flow, f *targetFlow, data []byte) {
	id := ""
	if m := requestID.FindSubmatch(data); m != nil {
		id = string(m[1])
	}
	t.ran[id]++
	born := t.born
	time.AfterFunc(t.work, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.down.Load() || t.born != born {
			return
		}
		f.answer = fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nResponse-Stamp: %s/%s\r\nContent-Length: 2\r\n\r\nok", t.id, id)
		t.send(flow, f, segment.Acknowledge, f.sequence, f.answer)
	})
}

// send sends a packet to the client directly.
func (t *target) send(flow segment.Flow, f *targetFlow, flags segment.Flags, sequence uint32, data []byte) {
	packet := standin.Packet(segment.Segment{
		Flow: segment.Flow{Caller: flow.Route, Route: flow.Caller}, Flags: flags,
		Sequence: sequence, Acknowledged: f.expected, Mark: f.mark,
	}, data)
	_, _ = t.conn.WriteToUDPAddrPort(packet, netip.AddrPortFrom(flow.Caller.Addr(), t.world.packetPort))
}

// crash ends the process and starts it again under its identifier after that time.
func (t *target) crash(d time.Duration) {
	t.world.record("target %s crashes", t.id)
	t.down.Store(true)
	t.mu.Lock()
	t.flows, t.opened = make(map[netip.AddrPort]*targetFlow), nil
	t.mu.Unlock()
	time.Sleep(d)
	t.mu.Lock()
	t.flows, t.opened = make(map[netip.AddrPort]*targetFlow), nil
	t.born = time.Now().UnixMilli()
	t.mu.Unlock()
	t.down.Store(false)
	t.world.record("target %s has started again under its identifier", t.id)
}

package entry_test

import (
	"encoding/binary"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/connection/segment"
	"github.com/tanagerweir/tanagerweir/pkg/process/entry"
	"github.com/tanagerweir/tanagerweir/platform"
	wire "github.com/tanagerweir/tanagerweir/service/entry"
)

// openingTo returns a datagram that opens a flow to a port of the route's address.
func openingTo(t *testing.T, port uint16) []byte {
	t.Helper()
	packet := synPacket(t, 40001)
	binary.BigEndian.PutUint16(packet[16:], port)
	return append(make([]byte, platform.AddresseeBytes), packet...)
}

const routePort, absentPort = 443, 444

// isReset reports whether the instance resets a flow to a port that no route has, which it
// may do only by a directory that is fresh.
func isReset(t *testing.T, e *entry.Engine, host *stillHost) bool {
	t.Helper()
	host.sent = nil
	e.HandlePacket(openingTo(t, absentPort))
	if len(host.sent) == 0 {
		return false
	}
	s, err := platform.ParsePacket(host.sent[0])
	return err == nil && s.Flags.Has(segment.Abort)
}

// isPlaced reports whether the instance forwards a new flow.
func isPlaced(t *testing.T, e *entry.Engine, host *stillHost) bool {
	t.Helper()
	host.sent = nil
	e.HandlePacket(openingTo(t, routePort))
	return len(host.sent) == 1 && len(host.sent[0]) > platform.HeaderBytes
}

func runFor(e *entry.Engine, host *stillHost, d time.Duration) {
	for until := host.now + d; host.now < until; host.now += entry.TickPeriod {
		e.Tick()
	}
}

// A hello that waited in the socket while the process was suspended says how fresh the
// replica was then. It must not confirm the replica now: flows to a route added meanwhile
// would be reset.
func TestHelloThatWaitedConfirmsNothing(t *testing.T) {
	for name, c := range map[string]struct {
		age, waited time.Duration
		reset       bool
	}{
		"at once":               {100 * time.Millisecond, 0, true},
		"waited a moment":       {100 * time.Millisecond, 900 * time.Millisecond, true},
		"too old by its wait":   {900 * time.Millisecond, 900 * time.Millisecond, false},
		"during the suspension": {0, 8 * time.Second, false},
	} {
		host := &stillHost{}
		e, _ := newEngine(t, host)
		runFor(e, host, 5*time.Second)
		if isReset(t, e, host) {
			t.Fatalf("%s: reset by a directory confirmed 5 s ago", name)
		}
		e.HandleMessage(helloFrom(t, "entry-2", 8, c.age, nil), netip.AddrPort{}, c.waited)
		if got := isReset(t, e, host); got != c.reset {
			t.Errorf("%s: reset %v, want %v", name, got, c.reset)
		}
	}
}

// An instance that gets its first replica from one that is cut off doesn't know whether it
// is the newest. It must not refuse routes by it, however short ago it started.
func TestReplicaOfACutOffInstanceIsNotFreshAtTheStart(t *testing.T) {
	host := &stillHost{}
	e := newEngineAt(t, host, 300*time.Millisecond, 10*time.Second, io.Discard)
	if isReset(t, e, host) {
		t.Error("a flow was reset by a replica that was confirmed 10 s ago")
	}
}

// An instance that is suspended between making and sending its state must not send it
// afterwards: its ages would make an old view fresh at the others.
func TestStateMadeBeforeASuspensionIsNotSentAfterIt(t *testing.T) {
	host := &stillHost{}
	e, _ := newEngine(t, host)
	e.HandleMessage(helloFrom(t, "entry-3", 8, 0, nil), netip.AddrPort{}, 0)
	host.sending = func() { host.now += 5 * time.Second }
	host.messages = nil
	e.SendState()
	if len(host.messages) != 1 {
		t.Errorf("%d messages sent, want that before the suspension", len(host.messages))
	}
	host.sending, host.messages = nil, nil
	e.SendState()
	for _, m := range host.messages {
		sent, err := wire.Decode(m)
		if err != nil || sent.Hello.ConfirmedAge.AtMost(5*time.Second-1) || sent.Hello.FollowerAge.AtMost(5*time.Second-1) {
			t.Errorf("sent %+v, error %v", sent.Hello, err)
		}
	}
	if len(host.messages) == 0 {
		t.Error("nothing is sent after the suspension")
	}
}

// Loads from before a suspension must not be sent: others would take the signs of life in
// them for new ones.
func TestLoadsFromBeforeASuspensionAreNotSent(t *testing.T) {
	host := &stillHost{}
	e, _ := newEngine(t, host)
	loads := func() int {
		host.messages = nil
		e.SendState()
		sent, err := wire.Decode(host.messages[0])
		if err != nil {
			t.Fatal(err)
		}
		return len(sent.Loads)
	}
	isPlaced(t, e, host)
	runFor(e, host, 200*time.Millisecond)
	if loads() != 1 {
		t.Fatal("no loads are sent")
	}
	host.now += 5 * time.Second
	if n := loads(); n != 0 {
		t.Errorf("%d loads of 5 s ago were sent", n)
	}
	e.Tick()
	if loads() != 1 {
		t.Error("no loads are sent after the next tick")
	}
}

// After a suspension, servers in the directory may have left and data centres may be out.
// New flows wait for a confirmation, but not for long, as an instance that is cut off serves
// by what it has.
func TestNewFlowsWaitForAConfirmationAfterASuspension(t *testing.T) {
	host := &stillHost{}
	e, _ := newEngine(t, host)
	runFor(e, host, time.Second)
	if !isPlaced(t, e, host) {
		t.Fatal("a flow isn't placed")
	}
	host.now += 5 * time.Second
	if isPlaced(t, e, host) {
		t.Error("a flow was placed by a directory from before the suspension")
	}
	e.HandleMessage(helloFrom(t, "entry-2", 8, 0, nil), netip.AddrPort{}, 4*time.Second)
	if isPlaced(t, e, host) {
		t.Error("a message from the time of the suspension ended the wait")
	}
	host.now += 100 * time.Millisecond
	e.HandleMessage(helloFrom(t, "entry-2", 8, 50*time.Millisecond, nil), netip.AddrPort{}, 0)
	if !isPlaced(t, e, host) {
		t.Error("a confirmation didn't end the wait")
	}

	host.now += 5 * time.Second
	e.Tick()
	runFor(e, host, 500*time.Millisecond)
	if !isPlaced(t, e, host) {
		t.Error("without a confirmation, the wait doesn't end")
	}
}

package entry_test

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/tanagerweir/tanagerweir/pkg/connection/mark"
	"github.com/tanagerweir/tanagerweir/pkg/process/entry"
	"github.com/tanagerweir/tanagerweir/platform"
	"github.com/tanagerweir/tanagerweir/platform/standin"
)

// waitLimit is how long a test waits for an expected event. It is far longer than any
// of them takes.
const waitLimit = 20 * time.Second

const configuration = `{"configVersion":%d,"routes":[{"name":"feed","host":"198.18.0.1","prefix":"/443/","routeKind":"safe","service":"board"}],
	"services":[{"name":"board","coldS":2,"coldPerS":4}],"limits":{"idleTimeoutMs":15000}}`

// synPacket returns the packet that opens a flow from 127.0.0.1 and the given port
// to 198.18.0.1:443.
func synPacket(t testing.TB, port uint16) []byte {
	t.Helper()
	b, err := hex.DecodeString("0000a1b2c3d57f000001c61200019c4101bb11223344000000000000000001")
	if err != nil {
		t.Fatal(err)
	}
	binary.BigEndian.PutUint16(b[14:], port)
	return b
}

// backend is a socket that stands in for a backend server.
type backend struct {
	id   string
	conn *net.UDPConn
}

func newBackend(t *testing.T, id string) *backend {
	t.Helper()
	return &backend{id: id, conn: socket(t)}
}

func socket(t *testing.T) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func endpointOf(conn *net.UDPConn) netip.AddrPort {
	return conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// describe returns the backend server's entry in the store.
func (b *backend) describe(state string) []byte {
	return []byte(fmt.Sprintf(`{"service":"board","address":%q,"zone":"near","slots":3,"state":%q,"coldLeftMs":0}`, endpointOf(b.conn), state))
}

// receive returns the next datagram, or fails the test after waitLimit.
func receive(t *testing.T, conn *net.UDPConn) []byte {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(waitLimit)); err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, 2048)
	n, err := conn.Read(buffer)
	if err != nil {
		t.Fatal(err)
	}
	return buffer[:n]
}

// nextPort is the port that freeEndpoint tries next. It lies below the ports that
// systems give to sockets without a port of their own, so that no connection takes one
// between its check and its use.
var nextPort atomic.Uint32

const firstPort, lastPort = 12000, 30000

func init() { nextPort.Store(firstPort + uint32(os.Getpid()*97%(lastPort-firstPort))) }

// freeEndpoint returns an endpoint of 127.0.0.1 that is free for both UDP and TCP, and
// that no other test of the process gets.
func freeEndpoint(t *testing.T) netip.AddrPort {
	t.Helper()
	for range lastPort - firstPort {
		port := uint16(firstPort + nextPort.Add(1)%(lastPort-firstPort))
		endpoint := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
		packets, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(endpoint))
		if err != nil {
			continue
		}
		streams, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(endpoint))
		_ = packets.Close() // nothing was written
		if err != nil {
			continue
		}
		_ = streams.Close() // nothing was accepted
		return endpoint
	}
	t.Fatal("no port is free")
	return netip.AddrPort{}
}

func options(t *testing.T, name string, store *platform.Store, seeds ...netip.AddrPort) entry.Options {
	t.Helper()
	return entry.Options{
		Name: name, DataCentre: "near", Packets: freeEndpoint(t), Ready: freeEndpoint(t), ReadyPath: "/ready",
		Peers: freeEndpoint(t), Seeds: seeds, Format: platform.Format{}, Store: store,
		ChangesLost: platform.ChangesLost,
		Translate:   platform.Translate, EncodeInstance: platform.EncodeInstance, EarlyPrefixes: platform.EarlyPrefixes(),
		MaxFlow: time.Minute, ColdFactor: 1.5, ColdSlack: 5, Seed: 1,
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
}

func start(t *testing.T, o entry.Options) *entry.Instance {
	t.Helper()
	node, closeNode, err := entry.New(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(closeNode)
	return node
}

func stores(t *testing.T) (*standin.Store, *platform.Store) {
	t.Helper()
	stand, closeStand := standin.New()
	store, closeStore := platform.NewStore(stand.Endpoint())
	t.Cleanup(func() { closeStore(); closeStand() })
	return stand, store
}

func send(t *testing.T, to netip.AddrPort, packet []byte) {
	t.Helper()
	if _, err := socket(t).WriteToUDPAddrPort(packet, to); err != nil {
		t.Fatal(err)
	}
}

// waitUntil calls check until it returns true, or fails the test after waitLimit.
func waitUntil(t *testing.T, what string, check func() bool) {
	t.Helper()
	timeout := time.After(waitLimit)
	ticks := time.NewTicker(5 * time.Millisecond)
	defer ticks.Stop()
	for !check() {
		select {
		case <-timeout:
			t.Fatalf("%s: not within %v", what, waitLimit)
		case <-ticks.C:
		}
	}
}

// readyStatus returns the HTTP status of a readiness probe.
func readyStatus(t *testing.T, o entry.Options) int {
	t.Helper()
	response, err := http.Get("http://" + o.Ready.String() + o.ReadyPath)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// The first packets of a flow must not be lost while a new instance waits for the
// configuration: they stay in the socket's buffer until it has one.
func TestPacketsThatComeBeforeTheConfigurationAreForwarded(t *testing.T) {
	stand, store := stores(t)
	stand.SetFault(standin.Fault{Status: http.StatusServiceUnavailable})
	o := options(t, "entry-1", store)
	start(t, o)
	send(t, o.Packets, synPacket(t, 40001))
	if got := readyStatus(t, o); got != http.StatusServiceUnavailable {
		t.Errorf("without configuration: status %d", got)
	}
	v := newBackend(t, "i-7f3a91c2")
	stand.Put("servers/"+v.id, v.describe("ready"))
	stand.Put("op/config", []byte(fmt.Sprintf(configuration, 1)))
	stand.SetFault(standin.Fault{})
	got := receive(t, v.conn)
	want := append([]byte{0, 0, 0, 0, 0x7f, 0x3a, 0x91, 0xc2}, synPacket(t, 40001)...)
	binary.BigEndian.PutUint32(want[8+26:], uint32(mark.Of(v.id)))
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
	waitUntil(t, "ready", func() bool { return readyStatus(t, o) == http.StatusOK })
}

// A caller whose address and port match no route must get a reset rather than
// silence.
func TestCallersWithoutRouteAreReset(t *testing.T) {
	stand, store := stores(t)
	stand.Put("op/config", []byte(`{"configVersion":1}`))
	o := options(t, "entry-1", store)
	// Callers receive at the same port as instances.
	o.Packets = netip.AddrPortFrom(netip.MustParseAddr("127.0.0.2"), o.Packets.Port())
	caller, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: int(o.Packets.Port())})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = caller.Close() }()
	start(t, o)
	if _, err := caller.WriteToUDPAddrPort(synPacket(t, 40001), o.Packets); err != nil {
		t.Fatal(err)
	}
	reset, err := platform.ParsePacket(receive(t, caller))
	if err != nil || reset.Flow.Route.Port() != 40001 {
		t.Errorf("reset %+v, error %v", reset, err)
	}
}

// An instance that the store refuses must still get the configuration and later
// changes from another instance.
func TestInstanceGetsChangesFromPeerWhileStoreRefusesIt(t *testing.T) {
	stand, store := stores(t)
	v := newBackend(t, "i-1")
	stand.Put("servers/"+v.id, v.describe("ready"))
	stand.Put("op/config", []byte(fmt.Sprintf(configuration, 1)))
	first := options(t, "entry-1", store)
	start(t, first)
	waitUntil(t, "first ready", func() bool { return readyStatus(t, first) == http.StatusOK })

	refusingStand, refusingStore := stores(t)
	refusingStand.SetFault(standin.Fault{Status: http.StatusTooManyRequests})
	second := options(t, "entry-2", refusingStore, first.Peers)
	start(t, second)
	waitUntil(t, "second ready", func() bool { return readyStatus(t, second) == http.StatusOK })
	send(t, second.Packets, synPacket(t, 40002))
	receive(t, v.conn)

	next := newBackend(t, "i-2")
	stand.Put("servers/"+next.id, next.describe("ready"))
	stand.Put("servers/"+v.id, v.describe("draining"))
	arrived := make(chan struct{})
	go func() {
		defer close(arrived)
		receive(t, next.conn)
	}()
	port := uint16(41000)
	waitUntil(t, "flows at the new server", func() bool {
		port++
		send(t, second.Packets, synPacket(t, port))
		select {
		case <-arrived:
			return true
		default:
			return false
		}
	})
}

// A change that the store dropped from its history while it refused calls must still
// arrive: the instance reads all keys again.
func TestDroppedHistoryIsReadAnew(t *testing.T) {
	stand, store := stores(t)
	stand.Put("op/config", []byte(fmt.Sprintf(configuration, 1)))
	o := options(t, "entry-1", store)
	start(t, o)
	waitUntil(t, "ready", func() bool { return readyStatus(t, o) == http.StatusOK })
	v := newBackend(t, "i-1")
	stand.SetFault(standin.Fault{Status: http.StatusServiceUnavailable})
	stand.Put("servers/"+v.id, v.describe("ready"))
	stand.Compact()
	stand.SetFault(standin.Fault{})
	arrived := make(chan struct{})
	go func() {
		defer close(arrived)
		receive(t, v.conn)
	}()
	port := uint16(42000)
	waitUntil(t, "flows at the new server", func() bool {
		port++
		send(t, o.Packets, synPacket(t, port))
		select {
		case <-arrived:
			return true
		default:
			return false
		}
	})
}

// Without its registration, new instances can't find this one, so a lost lease must
// lead to a new registration.
func TestInstanceRegistersAndDoesSoAgainAfterALostLease(t *testing.T) {
	stand, store := stores(t)
	stand.Put("op/config", []byte(fmt.Sprintf(configuration, 1)))
	start(t, options(t, "entry-1", store))
	registered := func() bool { return cmp.Equal(stand.Keys(), []string{"instances/entry-1", "op/config"}) }
	waitUntil(t, "registered", registered)
	stand.Revoke()
	waitUntil(t, "registered again", registered)
}

// A planned stop must cut no flow: packets that routers still send after the
// readiness probe fails are forwarded.
func TestPlannedStopTurnsRoutersAwayAndGoesOnForwarding(t *testing.T) {
	stand, store := stores(t)
	v := newBackend(t, "i-1")
	stand.Put("servers/"+v.id, v.describe("ready"))
	stand.Put("op/config", []byte(fmt.Sprintf(configuration, 1)))
	o := options(t, "entry-1", store)
	node := start(t, o)
	waitUntil(t, "ready", func() bool { return readyStatus(t, o) == http.StatusOK })
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		node.Stop(6 * time.Second)
	}()
	waitUntil(t, "turned away", func() bool { return readyStatus(t, o) == http.StatusServiceUnavailable })
	send(t, o.Packets, synPacket(t, 40003))
	receive(t, v.conn)
	<-stopped
}

// lineCounter is a log writer that counts lines.
type lineCounter struct{ lines atomic.Int64 }

func (l *lineCounter) Write(b []byte) (int, error) {
	l.lines.Add(1)
	return len(b), nil
}

// A log line for each malformed packet would let anyone fill the log, so a flood of
// 10,000 may add at most 50 lines a second.
func TestFloodOfMalformedPacketsLeavesTheLogSmall(t *testing.T) {
	stand, store := stores(t)
	v := newBackend(t, "i-1")
	stand.Put("servers/"+v.id, v.describe("ready"))
	stand.Put("op/config", []byte(fmt.Sprintf(configuration, 1)))
	var counter lineCounter
	o := options(t, "entry-1", store)
	o.Logger = slog.New(slog.NewJSONHandler(&counter, nil))
	start(t, o)
	waitUntil(t, "ready", func() bool { return readyStatus(t, o) == http.StatusOK })
	sender := socket(t)
	before, began := counter.lines.Load(), time.Now()
	for range 10_000 {
		if _, err := sender.WriteToUDPAddrPort([]byte("not a packet of ours"), o.Packets); err != nil {
			t.Fatal(err)
		}
	}
	port := uint16(43000)
	arrived := make(chan struct{})
	go func() {
		defer close(arrived)
		receive(t, v.conn)
	}()
	waitUntil(t, "a good packet", func() bool {
		port++
		send(t, o.Packets, synPacket(t, port))
		select {
		case <-arrived:
			return true
		default:
			return false
		}
	})
	seconds := int64(time.Since(began)/time.Second) + 1
	good := int64(port - 43000)
	if got := counter.lines.Load() - before - good; got > 50*seconds {
		t.Errorf("%d lines in %d s", got, seconds)
	}
}

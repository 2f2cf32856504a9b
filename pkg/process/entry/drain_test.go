package entry_test

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/connection/segment"
	"github.com/tanagerweir/tanagerweir/pkg/process/entry"
	"github.com/tanagerweir/tanagerweir/platform"
)

// slowFormat takes time for each packet, so that packets wait in the receiver's ring and in
// the socket.
type slowFormat struct{ platform.Format }

func (f slowFormat) Parse(packet []byte) (segment.Segment, error) {
	time.Sleep(time.Millisecond)
	return f.Format.Parse(packet)
}

// stopReserve is the grace with which a planned stop ends at once, as at the end of a
// longer one while packets still arrive.
const stopReserve = 1500 * time.Millisecond

// countAfterStop starts an instance, sends packets, makes a planned stop that ends while
// they wait, and returns how many reached the backend server.
func countAfterStop(t *testing.T, packets int, change func(*entry.Options)) int {
	t.Helper()
	stand, store := stores(t)
	v := newBackend(t, "i-1")
	stand.Put("servers/"+v.id, v.describe("ready"))
	stand.Put("op/config", fmt.Appendf(nil, configuration, 1))
	o := options(t, "entry-1", store)
	change(&o)
	node, closeNode, err := entry.New(o)
	if err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "ready", func() bool { return readyStatus(t, o) == http.StatusOK })
	sender := socket(t)
	for n := range packets {
		if _, err := sender.WriteToUDPAddrPort(synPacket(t, uint16(50000+n)), o.Packets); err != nil {
			t.Fatal(err)
		}
	}
	began := time.Now()
	node.Stop(stopReserve)
	closeNode()
	if took := time.Since(began); took > stopReserve {
		t.Errorf("the stop took %v, longer than its grace", took)
	}
	return distinct(t, v.conn)
}

// distinct returns from how many ports packets have arrived.
func distinct(t *testing.T, conn *net.UDPConn) int {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	ports := make(map[uint16]bool)
	buffer := make([]byte, 2048)
	for {
		if _, err := conn.Read(buffer); err != nil {
			return len(ports)
		}
		ports[binary.BigEndian.Uint16(buffer[platform.AddresseeBytes+14:])] = true
	}
}

// A planned stop that ends while the ring is full must still forward the packets that wait
// there and in the socket: their senders believe them accepted.
func TestPlannedStopForwardsWhatWaitsInTheRing(t *testing.T) {
	const packets = 200 // a socket buffer of 212,992 bytes holds 256
	if got := countAfterStop(t, packets, func(o *entry.Options) { o.Format = slowFormat{} }); got != packets {
		t.Errorf("%d of %d packets were forwarded", got, packets)
	}
}

// A planned stop must still send the packets that wait for the link.
func TestPlannedStopSendsWhatWaitsForTheLink(t *testing.T) {
	const packets = 60 // 90 ms of the link
	if got := countAfterStop(t, packets, func(o *entry.Options) { o.LinkBytesPerSecond = 50e3 }); got != packets {
		t.Errorf("%d of %d packets were sent", got, packets)
	}
}

// Packets that arrive without end must not keep a stopping instance from ending in time.
func TestPlannedStopEndsWhilePacketsArrive(t *testing.T) {
	stop := make(chan struct{})
	defer close(stop)
	countAfterStop(t, 0, func(o *entry.Options) {
		to, sender := o.Packets, socket(t)
		packet := synPacket(t, 50001)
		go func() {
			ticks := time.NewTicker(time.Millisecond)
			defer ticks.Stop()
			for {
				select {
				case <-stop:
					return
				case <-ticks.C:
					_, _ = sender.WriteToUDPAddrPort(packet, to) // refused once the instance has ended
				}
			}
		}()
	})
}

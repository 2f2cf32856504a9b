package entry_test

import (
	"encoding/binary"
	"fmt"
	"net/http"
	"testing"

	"github.com/tanagerweir/tanagerweir/platform"
)

// Buffers are used again for later packets. A packet that waits for the link must not be
// sent with the contents of another: a server would answer one caller with what another
// asked for.
func TestPacketsThatWaitForTheLinkAreNotMixedUp(t *testing.T) {
	stand, store := stores(t)
	v := newBackend(t, "i-1")
	stand.Put("servers/"+v.id, v.describe("ready"))
	stand.Put("op/config", fmt.Appendf(nil, configuration, 1))
	o := options(t, "entry-1", store)
	o.LinkBytesPerSecond = 100e3
	start(t, o)
	waitUntil(t, "ready", func() bool { return readyStatus(t, o) == http.StatusOK })
	sender := socket(t)
	const packets = 120 // about 90 ms of the link
	for n := range packets {
		packet := synPacket(t, uint16(47000+n))
		binary.BigEndian.PutUint32(packet[18:], uint32(n)) // the sequence number
		if _, err := sender.WriteToUDPAddrPort(packet, o.Packets); err != nil {
			t.Fatal(err)
		}
	}
	seen := make(map[uint16]bool)
	for range packets {
		s, err := platform.ParsePacket(receive(t, v.conn)[platform.AddresseeBytes:])
		if err != nil {
			t.Fatal(err)
		}
		if port := s.Flow.Caller.Port(); s.Sequence != uint32(port-47000) || seen[port] {
			t.Errorf("port %d with the packet of port %d, seen before: %v", port, 47000+s.Sequence, seen[port])
		}
		seen[s.Flow.Caller.Port()] = true
	}
}

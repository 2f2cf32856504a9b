package soak

import (
	"encoding/binary"
	"net"
	"net/netip"

	"github.com/go-faster/errors"

	"github.com/tanagerweir/tanagerweir/pkg/connection/segment"
	"github.com/tanagerweir/tanagerweir/platform"
)

// Bits and offsets of a packet's head, for the ends that the platform plays.
const (
	flagSYN, flagFIN, flagRST, flagACK = 1, 8, 64, 128

	offSum, offSource, offDestination, offSourcePort, offDestinationPort = 2, 6, 10, 14, 16
	offSequence, offAcknowledged, offMark, offFlags                      = 18, 22, 26, 30

	// signed stands for the sum that only the ends of a flow can compute; an
	// instance's resets have none.
	signed = 0x51677EE1
	// serverSequence is where a backend server's data begins.
	serverSequence = 5000
)

// newPacket returns a packet from the flow's caller.
func newPacket(f segment.Flow, flags byte, sequence, acknowledged, mark uint32, data []byte) []byte {
	b := make([]byte, platform.HeadBytes+len(data))
	caller, route := f.Caller.Addr().As4(), f.Route.Addr().As4()
	binary.BigEndian.PutUint16(b, uint16(len(data)))
	binary.BigEndian.PutUint32(b[offSum:], signed)
	copy(b[offSource:], caller[:])
	copy(b[offDestination:], route[:])
	binary.BigEndian.PutUint16(b[offSourcePort:], f.Caller.Port())
	binary.BigEndian.PutUint16(b[offDestinationPort:], f.Route.Port())
	binary.BigEndian.PutUint32(b[offSequence:], sequence)
	binary.BigEndian.PutUint32(b[offAcknowledged:], acknowledged)
	binary.BigEndian.PutUint32(b[offMark:], mark)
	b[offFlags] = flags
	copy(b[platform.HeadBytes:], data)
	return b
}

// freePort returns a port that is free on loopback.
func freePort() (uint16, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return 0, errors.Wrap(err, "find a free port")
	}
	defer func() { _ = conn.Close() }() // it was never used
	return conn.LocalAddr().(*net.UDPAddr).AddrPort().Port(), nil
}

var (
	boardRoute  = netip.MustParseAddrPort("198.18.0.1:443")
	ledgerRoute = netip.MustParseAddrPort("198.18.0.2:443")
	// seasonalRoute comes and goes.
	seasonalRoute = netip.MustParseAddrPort("198.18.0.3:443")
)

func serviceOf(route netip.AddrPort) string {
	if route == ledgerRoute {
		return services[1]
	}
	return services[0]
}

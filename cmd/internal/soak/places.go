package soak

import (
	"net"
	"net/netip"

	"github.com/go-faster/errors"
)

var (
	services = []string{"board", "ledger"}
	centres  = []string{"near", "far"}

	boardRoute  = netip.MustParseAddrPort("198.18.0.1:443")
	ledgerRoute = netip.MustParseAddrPort("198.18.0.2:443")
	// seasonalRoute is removed and added again by changes of the configuration.
	seasonalRoute = netip.MustParseAddrPort("198.18.0.3:443")
)

// serviceOf returns the service that a route leads to.
func serviceOf(route netip.AddrPort) string {
	if route == ledgerRoute {
		return services[1]
	}
	return services[0]
}

// freePort returns a port that is free on loopback.
func freePort() (uint16, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return 0, errors.Wrap(err, "find a free port")
	}
	defer func() { _ = conn.Close() }() // nothing was written to it
	return conn.LocalAddr().(*net.UDPAddr).AddrPort().Port(), nil
}

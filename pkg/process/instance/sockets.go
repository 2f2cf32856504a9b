package instance

import (
	"net"
	"net/netip"

	"github.com/go-faster/errors"

	"github.com/tanagerweir/tanagerweir/pkg/process/settings"
)

// sockets are the sockets that an instance listens on.
type sockets struct {
	packets  *net.UDPConn
	passed   *net.UDPConn
	requests net.Listener
	admin    net.Listener
	metrics  net.Listener
	peer     net.Listener
	opened   []interface{ Close() error }
}

// openSockets binds all endpoints of the settings; if one fails it closes the
// others. It returns the settings with the endpoints that were bound, since port 0
// asks for any port.
func openSockets(s settings.Settings) (*sockets, settings.Settings, error) {
	k := &sockets{}
	err := errors.Join(
		k.openUDP("Packets", &s.Packets, &k.packets),
		k.openUDP("Passed", &s.Passed, &k.passed),
		k.openTCP("Requests", &s.Requests, &k.requests),
		k.openTCP("Admin", &s.Admin, &k.admin),
		k.openTCP("Metrics", &s.Metrics, &k.metrics),
		k.openTCP("Peer", &s.Peer, &k.peer),
	)
	if err != nil {
		return nil, s, errors.Join(err, k.close())
	}
	return k, s, nil
}

func (k *sockets) openUDP(name string, endpoint *netip.AddrPort, conn **net.UDPConn) error {
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(*endpoint))
	if err != nil {
		return errors.Wrapf(err, "[Listen] %s", name)
	}
	*conn = c
	*endpoint = c.LocalAddr().(*net.UDPAddr).AddrPort()
	k.opened = append(k.opened, c)
	return nil
}

func (k *sockets) openTCP(name string, endpoint *netip.AddrPort, listener *net.Listener) error {
	l, err := net.Listen("tcp", endpoint.String())
	if err != nil {
		return errors.Wrapf(err, "[Listen] %s", name)
	}
	*listener = l
	*endpoint = l.Addr().(*net.TCPAddr).AddrPort()
	k.opened = append(k.opened, l)
	return nil
}

// close closes the sockets that are still open.
func (k *sockets) close() error {
	var failures error
	for _, c := range k.opened {
		if err := c.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			failures = errors.Join(failures, err)
		}
	}
	return failures
}

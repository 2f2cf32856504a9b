package soak

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// Modes of a proxy, which starts in modePass. The report shows them as numbers.
const (
	modePass int32 = iota
	// modeDelay delays the data of each read by proxyDelay.
	modeDelay
	// modeDropAnswers discards what the store sends.
	modeDropAnswers
	// modeDropRequests discards what the instance sends.
	modeDropRequests
)

// proxyDelay is the delay in modeDelay.
const proxyDelay = 150 * time.Millisecond

// proxy forwards the connections of one instance to the store.
type proxy struct {
	listener net.Listener
	store    netip.AddrPort
	mode     atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newProxy(store netip.AddrPort) (*proxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen as proxy")
	}
	return &proxy{listener: listener, store: store, conns: make(map[net.Conn]bool)}, nil
}

func (p *proxy) endpoint() netip.AddrPort { return p.listener.Addr().(*net.TCPAddr).AddrPort() }

// run accepts connections until the proxy is closed.
func (p *proxy) run(ctx context.Context) {
	for ctx.Err() == nil {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		storeConn, err := net.Dial("tcp4", p.store.String())
		if err != nil {
			_ = conn.Close() // the instance sees the end
			continue
		}
		p.mu.Lock()
		p.conns[conn], p.conns[storeConn] = true, true
		p.mu.Unlock()
		go p.forward(conn, storeConn, modeDropRequests)
		go p.forward(storeConn, conn, modeDropAnswers)
	}
}

// forward copies one direction of a connection, except in dropMode, in which it
// discards the data.
func (p *proxy) forward(from, to net.Conn, dropMode int32) {
	defer p.closeConn(from)
	defer p.closeConn(to)
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		switch mode := p.mode.Load(); mode {
		case dropMode:
			continue
		case modeDelay:
			time.Sleep(proxyDelay)
		}
		if _, err := io.Writer(to).Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (p *proxy) closeConn(conn net.Conn) {
	p.mu.Lock()
	delete(p.conns, conn)
	p.mu.Unlock()
	_ = conn.Close() // the peer sees the end
}

// reset ends all connections at once.
func (p *proxy) reset() {
	p.mu.Lock()
	conns := p.conns
	p.conns = make(map[net.Conn]bool)
	p.mu.Unlock()
	for conn := range conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // sends a reset instead of closing in order
		}
		_ = conn.Close()
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}

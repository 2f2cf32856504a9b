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

// Modes of a proxy.
const (
	passing int32 = iota
	// delaying holds each piece for proxyDelay.
	delaying
	// silencing swallows what the store answers.
	silencing
	// deafening swallows what the instance asks.
	deafening
)

// proxyDelay is how long a slow connection holds what it carries.
const proxyDelay = 150 * time.Millisecond

// proxy stands between one instance and the store.
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
		to, err := net.Dial("tcp4", p.store.String())
		if err != nil {
			_ = conn.Close() // the instance sees that it ended
			continue
		}
		p.mu.Lock()
		p.conns[conn], p.conns[to] = true, true
		p.mu.Unlock()
		go p.carry(conn, to, deafening)
		go p.carry(to, conn, silencing)
	}
}

// carry copies one direction, which a mode swallows.
func (p *proxy) carry(from, to net.Conn, swallow int32) {
	defer p.drop(from)
	defer p.drop(to)
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		switch mode := p.mode.Load(); mode {
		case swallow:
			continue
		case delaying:
			time.Sleep(proxyDelay)
		}
		if _, err := io.Writer(to).Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (p *proxy) drop(conn net.Conn) {
	p.mu.Lock()
	delete(p.conns, conn)
	p.mu.Unlock()
	_ = conn.Close() // the other end sees that it ended
}

// reset ends all connections at once.
func (p *proxy) reset() {
	p.mu.Lock()
	conns := p.conns
	p.conns = make(map[net.Conn]bool)
	p.mu.Unlock()
	for conn := range conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // a reset in place of an orderly end
		}
		_ = conn.Close()
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}

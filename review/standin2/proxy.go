package main

import (
	"bytes"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// proxy forwards the connections of one instance to the store.
type proxy struct {
	listener net.Listener
	store    netip.AddrPort
	// cut says that nothing passes, in either direction.
	cut atomic.Bool

	mu    sync.Mutex
	conns map[net.Conn]bool
	// watching holds the connections on which a watch waits for its response.
	watching map[net.Conn]bool
}

func newProxy(store netip.AddrPort) (*proxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen as proxy")
	}
	p := &proxy{listener: listener, store: store, conns: make(map[net.Conn]bool), watching: make(map[net.Conn]bool)}
	go p.run()
	return p, nil
}

func (p *proxy) endpoint() netip.AddrPort { return p.listener.Addr().(*net.TCPAddr).AddrPort() }

// run accepts connections until the proxy is closed.
func (p *proxy) run() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp4", p.store.String())
		if err != nil {
			_ = client.Close()
			continue
		}
		p.mu.Lock()
		p.conns[client], p.conns[server] = true, true
		p.mu.Unlock()
		go p.forward(client, server, func(data []byte) { p.noteWatch(client, bytes.HasPrefix(data, []byte("GET /kv-watch"))) })
		go p.forward(server, client, func([]byte) { p.noteWatch(client, false) })
	}
}

// forward copies one direction until the connection ends. What arrives during a cut is lost.
func (p *proxy) forward(from, to net.Conn, note func(data []byte)) {
	defer func() {
		p.mu.Lock()
		delete(p.conns, from)
		delete(p.watching, from)
		p.mu.Unlock()
		_ = from.Close()
		_ = to.Close()
	}()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if p.cut.Load() {
			continue
		}
		note(buffer[:n])
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// noteWatch records whether a watch waits on a connection.
func (p *proxy) noteWatch(client net.Conn, waits bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if delete(p.watching, client); waits {
		p.watching[client] = true
	}
}

// watches reports whether a watch of the instance waits at the store.
func (p *proxy) watches() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.watching) > 0
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}

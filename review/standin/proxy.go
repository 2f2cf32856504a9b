package main

import (
	"bytes"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// proxy is the link between one instance and the store. Its methods may be called from any
// goroutine.
type proxy struct {
	listener net.Listener
	store    netip.AddrPort
	// bytesPerSecond is the bandwidth of the link, 0 for no limit.
	bytesPerSecond atomic.Int64
	// isCut holds back what either end sends.
	isCut atomic.Bool
	// watches counts the calls that follow the store's changes.
	watches atomic.Int64
	// turn is held by the connection that uses the squeezed link.
	turn sync.Mutex

	mu    sync.Mutex
	pairs map[*pair]bool
}

// pair is a connection through the proxy with its two ends.
type pair struct {
	instance, store net.Conn
}

// cutPoll is how often it is checked whether a cut is over.
const cutPoll = 10 * time.Millisecond

// squeezedPart is how many bytes of a connection use the squeezed link at a time.
const squeezedPart = 512

func newProxy(address netip.Addr, store netip.AddrPort) (*proxy, error) {
	listener, err := net.Listen("tcp4", netip.AddrPortFrom(address, 0).String())
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, store: store, pairs: make(map[*pair]bool)}
	go p.run()
	return p, nil
}

func (p *proxy) endpoint() netip.AddrPort { return p.listener.Addr().(*net.TCPAddr).AddrPort() }

// run accepts connections until the proxy is closed.
func (p *proxy) run() {
	for {
		instance, err := p.listener.Accept()
		if err != nil {
			return
		}
		store, err := net.Dial("tcp4", p.store.String())
		if err != nil {
			_ = instance.Close() // the instance sees the end
			continue
		}
		c := &pair{instance: instance, store: store}
		p.mu.Lock()
		p.pairs[c] = true
		p.mu.Unlock()
		go p.forward(c, instance, store)
		go p.forward(c, store, instance)
	}
}

// forward copies one direction of a connection.
func (p *proxy) forward(c *pair, from, to net.Conn) {
	defer p.end(c)
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if from == c.instance && bytes.HasPrefix(buffer[:n], []byte("GET /kv-watch")) {
			p.watches.Add(1)
		}
		for p.isCut.Load() {
			time.Sleep(cutPoll)
		}
		if err := p.write(to, buffer[:n]); err != nil {
			return
		}
	}
}

// write writes data at the link's bandwidth.
func (p *proxy) write(to net.Conn, data []byte) error {
	for len(data) > 0 {
		n := len(data)
		if rate := p.bytesPerSecond.Load(); rate > 0 {
			n = min(n, squeezedPart)
			p.turn.Lock()
			time.Sleep(time.Duration(n) * time.Second / time.Duration(rate))
			p.turn.Unlock()
		}
		if _, err := to.Write(data[:n]); err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

// end closes both ends.
func (p *proxy) end(c *pair) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.pairs[c] {
		return
	}
	delete(p.pairs, c)
	_ = c.instance.Close()
	_ = c.store.Close()
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		_ = c.instance.Close()
		_ = c.store.Close()
	}
}

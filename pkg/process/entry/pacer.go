package entry

import (
	"net/netip"
	"sync"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/connection/pacing"
)

// pacer sends packets at the rate of the machine's link. Its methods may be called from
// any goroutine.
type pacer struct {
	write func(datagram []byte, to netip.AddrPort)
	now   func() time.Duration
	// added has a value after packets were added to the empty queue, and closing is
	// closed by close.
	added   chan struct{}
	closing chan struct{}

	mu    sync.Mutex
	queue *pacing.Queue[outgoing]
	// free holds buffers for reuse.
	free [][]byte
	// overflow counts packets that were dropped since too many waited.
	overflow uint64
}

// outgoing is a packet that waits for the link.
type outgoing struct {
	datagram []byte
	to       netip.AddrPort
}

func newPacer(bytesPerSecond float64, now func() time.Duration, write func([]byte, netip.AddrPort)) *pacer {
	return &pacer{
		write: write, now: now, added: make(chan struct{}, 1), closing: make(chan struct{}),
		queue: pacing.New[outgoing](bytesPerSecond),
	}
}

// send sends a packet, or keeps a copy of it until the link is free. It drops the packet
// if too many wait.
func (p *pacer) send(datagram []byte, flow uint64, to netip.AddrPort) {
	if p.passOrKeep(datagram, flow, to) {
		p.write(datagram, to)
	}
}

// passOrKeep reports whether the packet may be sent now; otherwise it keeps a copy.
func (p *pacer) passOrKeep(datagram []byte, flow uint64, to netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.queue.Pass(p.now(), len(datagram)) {
		return true
	}
	o := outgoing{datagram: append(p.buffer(), datagram...), to: to}
	if !p.queue.Add(p.now(), flow, len(datagram), o) {
		p.free = append(p.free, o.datagram)
		p.overflow++
		return false
	}
	select {
	case p.added <- struct{}{}:
	default:
	}
	return false
}

// buffer returns an empty buffer. The caller holds the lock.
func (p *pacer) buffer() []byte {
	n := len(p.free)
	if n == 0 {
		return nil
	}
	b := p.free[n-1]
	p.free = p.free[:n-1]
	return b[:0]
}

// run sends the packets that wait until the pacer is closed.
func (p *pacer) run() {
	for {
		select {
		case <-p.closing:
			return
		case <-p.added:
		}
		for p.sendNext() {
			continue
		}
	}
}

// sendNext sends the next packet once the link is free. It returns false if none waits or
// the pacer is closed.
func (p *pacer) sendNext() bool {
	p.mu.Lock()
	next, ok := p.queue.Next(p.now())
	wait, waiting := p.queue.Wait(p.now())
	p.mu.Unlock()
	if ok {
		p.write(next.datagram, next.to)
		p.mu.Lock()
		p.free = append(p.free, next.datagram)
		p.mu.Unlock()
		return true
	}
	if !waiting {
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-p.closing:
		return false
	case <-timer.C:
		return true
	}
}

// drops returns how many packets were dropped since they waited too long, or too many
// waited.
func (p *pacer) drops() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.Dropped() + p.overflow
}

func (p *pacer) close() { close(p.closing) }

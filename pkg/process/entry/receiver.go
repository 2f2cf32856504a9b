package entry

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/net/ipv4"
)

const (
	// batchPackets is the most packets that one system call reads. At the heaviest
	// load, some tens of such batches hold all packets that one machine receives in
	// a second.
	batchPackets = 16
	// ringBatches is how many batches can wait for the decider: 128 packets.
	ringBatches = 8
	// receiveBufferBytes is the size of the socket's receive buffer, which absorbs
	// bursts.
	receiveBufferBytes = 2 << 20
)

// batch holds the packets of one read. The first count messages are valid; each
// buffer begins with the headroom, and its packet follows.
type batch struct {
	messages []ipv4.Message
	buffers  [][]byte
	count    int
}

func newBatch(headroom, packet int) *batch {
	b := &batch{messages: make([]ipv4.Message, batchPackets), buffers: make([][]byte, batchPackets)}
	for i := range b.messages {
		// One byte more than the longest packet, so that longer ones are noticed.
		b.buffers[i] = make([]byte, headroom+packet+1)
		b.messages[i].Buffers = [][]byte{b.buffers[i][headroom:]}
	}
	return b
}

// receiver reads packets into batches, which circulate between it and the decider.
type receiver struct {
	conn   *net.UDPConn
	reader *ipv4.PacketConn
	full   chan *batch
	free   chan *batch
	closed atomic.Bool
	// started is closed once packets may be read.
	started   chan struct{}
	startOnce sync.Once
	// drainUntil is set once the socket is drained: the latest time of that.
	drainUntil atomic.Pointer[time.Time]
}

func newReceiver(o Options) (*receiver, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(o.Packets))
	if err != nil {
		return nil, errors.Wrap(err, "listen for packets")
	}
	if err := conn.SetReadBuffer(receiveBufferBytes); err != nil {
		o.Logger.Warn("Packets: the socket's receive buffer can't be enlarged.", "Error", err)
	}
	r := &receiver{
		conn: conn, reader: ipv4.NewPacketConn(conn),
		full: make(chan *batch, ringBatches), free: make(chan *batch, ringBatches),
		started: make(chan struct{}),
	}
	for range ringBatches {
		r.free <- newBatch(o.Format.Headroom(), o.Format.MaxPacket())
	}
	return r, nil
}

// start begins to read packets. Earlier ones have waited in the socket's buffer
// rather than being dropped: a caller sends again only after 200 ms, longer than the
// instance takes to get the configuration.
func (r *receiver) start() { r.startOnce.Do(func() { close(r.started) }) }

// run reads packets until the socket is closed or drained. While no batch is free, packets
// stay in the socket's buffer, and the kernel drops those that don't fit.
func (r *receiver) run() {
	defer close(r.full)
	<-r.started
	for b := range r.free {
		draining := r.draining()
		count, err := r.reader.ReadBatch(b.messages, 0)
		if r.closed.Load() {
			return
		}
		if err != nil {
			count = 0
		}
		b.count = count
		r.full <- b
		if draining && (err != nil || time.Now().After(*r.drainUntil.Load())) {
			return
		}
	}
}

func (r *receiver) close() {
	r.closed.Store(true)
	r.start()
	_ = r.conn.Close() // nothing is left to write
}

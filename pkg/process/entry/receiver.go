package entry

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
	"golang.org/x/net/ipv4"
)

const (
	// batchPackets is how many packets one call to the kernel reads at most: a
	// machine's share of a second at the heaviest load arrives in some tens.
	batchPackets = 16
	// ringBatches is how many batches wait for the decider, 128 packets.
	ringBatches = 8
	// socketBytes is the kernel's buffer for packets that arrive in a burst.
	socketBytes = 2 << 20
)

// batch is some packets as they came.
type batch struct {
	messages []ipv4.Message
	buffers  [][]byte
	count    int
}

func newBatch(headroom, packet int) *batch {
	b := &batch{messages: make([]ipv4.Message, batchPackets), buffers: make([][]byte, batchPackets)}
	for i := range b.messages {
		// One byte more than a packet may have, so that longer ones show.
		b.buffers[i] = make([]byte, headroom+packet+1)
		b.messages[i].Buffers = [][]byte{b.buffers[i][headroom:]}
	}
	return b
}

// receiver reads packets into a ring of batches.
type receiver struct {
	conn   *net.UDPConn
	reader *ipv4.PacketConn
	full   chan *batch
	free   chan *batch
	closed atomic.Bool
	// begin is closed when packets may be read.
	begin chan struct{}
	once  sync.Once
}

func newReceiver(o Options) (*receiver, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(o.Packets))
	if err != nil {
		return nil, errors.Wrap(err, "listen for packets")
	}
	if err := conn.SetReadBuffer(socketBytes); err != nil {
		o.Logger.Warn("Packets: the socket's buffer stays small.", "Error", err)
	}
	r := &receiver{
		conn: conn, reader: ipv4.NewPacketConn(conn),
		full: make(chan *batch, ringBatches), free: make(chan *batch, ringBatches),
		begin: make(chan struct{}),
	}
	for range ringBatches {
		r.free <- newBatch(o.Format.Headroom(), o.Format.MaxPacket())
	}
	return r, nil
}

// start lets packets be read. What came before waits in the socket's buffer: a
// caller sends again only after 200 ms, longer than the instance takes to learn
// the configuration.
func (r *receiver) start() { r.once.Do(func() { close(r.begin) }) }

// run reads packets until the socket is closed. It waits for a free batch, so a
// burst stays in the socket's buffer, which drops what it can't hold.
func (r *receiver) run() {
	defer close(r.full)
	<-r.begin
	for b := range r.free {
		count, err := r.reader.ReadBatch(b.messages, 0)
		if r.closed.Load() {
			return
		}
		if err != nil {
			count = 0
		}
		b.count = count
		r.full <- b
	}
}

func (r *receiver) close() {
	r.closed.Store(true)
	r.start()
	_ = r.conn.Close() // nothing is left to write
}

package instance

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/tanagerweir/tanagerweir/pkg/connection/flow"
	"github.com/tanagerweir/tanagerweir/pkg/connection/parcel"
	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
)

const (
	datagramQueueLength = 1_024 // datagrams between two tasks
	messageQueueLength  = 256   // messages between two tasks
)

// datagram is one packet on its way from a reader to the writer.
type datagram struct {
	raw         []byte
	fromPeer    bool
	destination netip.AddrPort
}

// packets forwards datagrams. It runs two readers, one decider that owns the flow
// core, one writer, and one sender of the core's messages to peers. passEndpoints
// and lastCounts belong to the decider.
type packets struct {
	node             *Instance
	packetsConn      *net.UDPConn
	passedConn       *net.UDPConn
	core             *flow.Core
	parser           *parcel.Parser
	drops            *drops
	incomingMessages chan peerMessage
	outgoingMessages chan peerMessage
	synchronised     atomic.Bool
	handedOver       atomic.Bool
	lastCounts       map[string]flow.ServiceCounts
	received         chan datagram
	outbound         chan datagram
	catalogues       chan catalogue.Catalogue
	passEndpoints    map[string]netip.AddrPort
}

func newPackets(i *Instance, bound *sockets) *packets {
	p := &packets{
		node:             i,
		packetsConn:      bound.packets,
		passedConn:       bound.passed,
		core:             flow.New(i.settings.Name, flow.Options{}),
		parser:           parcel.NewParser(),
		drops:            newDrops(i.log, i.metrics.dropped),
		incomingMessages: make(chan peerMessage, messageQueueLength),
		outgoingMessages: make(chan peerMessage, messageQueueLength),
		lastCounts:       make(map[string]flow.ServiceCounts),
		received:         make(chan datagram, datagramQueueLength),
		outbound:         make(chan datagram, datagramQueueLength),
		catalogues:       make(chan catalogue.Catalogue, datagramQueueLength),
		passEndpoints:    make(map[string]netip.AddrPort),
	}
	i.state.onUpdate = p.queueCatalogue
	return p
}

func (p *packets) queueCatalogue(c catalogue.Catalogue) {
	p.catalogues <- c
	p.node.configSync.wake()
}

func (p *packets) start(ctx context.Context, tasks *sync.WaitGroup) {
	tasks.Go(func() { p.runReader(p.packetsConn, false) })
	tasks.Go(func() { p.runReader(p.passedConn, true) })
	tasks.Go(func() { p.runDecider(ctx) })
	tasks.Go(func() { p.runWriter(ctx) })
	tasks.Go(func() { p.runMessageSender(ctx) })
}

// runReader reads datagrams until the socket is closed. A datagram that finds the
// queue full is dropped.
func (p *packets) runReader(from *net.UDPConn, fromPeer bool) {
	buffer := make([]byte, parcel.SizeLimit+1)
	for {
		n, _, err := from.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		d := datagram{raw: append([]byte(nil), buffer[:n]...), fromPeer: fromPeer}
		select {
		case p.received <- d:
		default:
			p.drops.add("RingFull")
		}
	}
}

// runDecider owns the flow core: no other goroutine may use it.
func (p *packets) runDecider(ctx context.Context) {
	ticks := time.NewTicker(flow.TickPeriod)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-p.catalogues:
			p.core.Adopt(p.node.now(), c)
		case <-ticks.C:
			p.tick()
		case m := <-p.incomingMessages:
			p.queueMessages(p.core.Receive(p.node.now(), m.peer, m.message))
		case d := <-p.received:
			p.decide(d)
		}
	}
}

func (p *packets) decide(d datagram) {
	defer p.node.guards.packets.Contain()
	head, problem := p.parser.Parse(d.raw)
	if problem != parcel.Fine {
		p.drops.add(problem.String())
		return
	}
	head.Passed = d.fromPeer
	decision := p.core.Decide(p.node.now(), head)
	switch decision.Action {
	case flow.Forward:
		d.destination = decision.Backend.Packets
	case flow.Pass:
		d.destination = p.passEndpoints[decision.Owner]
	case flow.Drop:
	}
	reason := decision.Reason.String()
	if decision.Action == flow.Pass {
		reason = "Passed"
	}
	if !d.destination.IsValid() {
		p.drops.add(reason)
		return
	}
	p.node.metrics.forwarded.WithLabelValues(reason).Inc()
	select {
	case p.outbound <- d:
	default:
		p.drops.add("RingFull")
	}
}

// runWriter sends the datagrams that the decider forwards.
func (p *packets) runWriter(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-p.outbound:
			if _, err := p.passedConn.WriteToUDPAddrPort(d.raw, d.destination); err != nil {
				p.drops.add("SendFailed")
			}
		}
	}
}

package entry

import (
	"context"
	"log/slog"
	"maps"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/connection/forwarding"
	"github.com/tanagerweir/tanagerweir/pkg/connection/mark"
	"github.com/tanagerweir/tanagerweir/pkg/version/replica"
	wire "github.com/tanagerweir/tanagerweir/service/entry"
)

const (
	// ExchangePeriod is the time between two rounds of messages to other instances.
	// A replica counts as stale after 1.7 s, so two messages in a row may be lost.
	ExchangePeriod = 250 * time.Millisecond
	// controlBytesPerSecond is the budget for messages to other instances, which is
	// the design's figure for all control traffic.
	controlBytesPerSecond = 3000
	// periodBytes is the part of that budget for one ExchangePeriod.
	periodBytes = int(controlBytesPerSecond * ExchangePeriod / time.Second)
	// reportBytesPerSecond is the part of it for reports with health. The rest is for the
	// message that the budget of earlier periods may pay for.
	reportBytesPerSecond = 2600
	// maxDatagramBytes is the longest message that is expected; longer datagrams may
	// be fragmented on the way.
	maxDatagramBytes = 1400
	// maxBatchBytes bounds the changes that a message carries; peers fetch larger
	// batches.
	maxBatchBytes = 1100
)

// exchange sends this instance's state to other instances and handles theirs.
type exchange struct {
	host       Host
	state      *state
	decider    *decider
	fetcher    *fetcher
	log        *slog.Logger
	name       string
	dataCentre string
	guards     *guards
	// announced is the position of the replica at the last announcement, nil for none.
	announced atomic.Pointer[replica.Position]
	// saved is how many bytes of the budget are left from the periods before, where reports
	// contain health. It is negative if more was sent.
	saved int
	// health says that they do.
	health bool
	// noticeBytes counts the bytes of notices in the present ExchangePeriod.
	noticeBytes atomic.Int64
	// late counts messages that were dropped since they had waited for too long.
	late atomic.Uint64
}

func newExchange(o Options, s *state, d *decider, f *fetcher, h Host) *exchange {
	return &exchange{host: h, state: s, decider: d, fetcher: f, log: o.Logger, name: o.Name, dataCentre: o.DataCentre, health: o.Health.Active()}
}

// receive handles a message that reached the socket at the given time.
func (e *exchange) receive(datagram []byte, from netip.AddrPort, at time.Duration) {
	defer e.guards.received.Contain()
	m, err := wire.Decode(datagram)
	if err != nil {
		e.log.Debug("Exchange: a datagram can't be decoded as a message of an instance.", "From", from, "Error", err)
		return
	}
	if m.Hello.From.Name == e.name {
		return
	}
	if waited := e.host.Now() - at; waited > maxMessageWait {
		e.late.Add(1)
		e.log.Debug("Exchange: a message was dropped since it had waited too long.", "From", m.Hello.From.Name, "Waited", waited)
		return
	}
	otherDataCentre := m.Hello.From.DataCentre != e.dataCentre
	if otherDataCentre {
		e.decider.queueHeard(heard{receivedAt: at, dataCentre: m.Hello.From.DataCentre, loads: m.CentreLoads})
	}
	advanced, newer := e.state.receiveHello(at, m.Hello, m.Batch)
	if advanced && otherDataCentre {
		e.relay()
	}
	if newer {
		e.fetcher.request(source{endpoint: m.Hello.From.Endpoint, otherDataCentre: otherDataCentre, position: positionOf(m.Hello)})
	}
	if len(m.Asked) > 0 {
		e.decider.queueInquiry(inquiry{marks: m.Asked, from: from})
	}
	switch {
	case m.Answer:
		e.decider.queueAnswer(answer{receivedAt: at, loads: m.Loads, ownDataCentre: !otherDataCentre})
	case !otherDataCentre && len(m.Loads)+len(m.Pressures) > 0:
		e.decider.queuePeerLoads(peerLoads{receivedAt: at, name: m.Hello.From.Name, loads: m.Loads, pressures: m.Pressures, aliveInstances: e.state.aliveInstances()})
	}
}

// run sends the state to some peers in each ExchangePeriod until the context ends.
func (e *exchange) run(ctx context.Context) {
	ticks := time.NewTicker(ExchangePeriod)
	defer ticks.Stop()
	for {
		e.sendState()
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
	}
}

// sendState sends this instance's state to as many peers as the budget allows. A
// follower leaves out the loads and sends to more peers.
func (e *exchange) sendState() {
	defer e.guards.exchange.Contain()
	began := e.host.Now()
	reports := e.decider.reports()
	m := wire.Message{Hello: e.state.hello(), Pressures: reports.pressures, CentreLoads: reports.centres}
	if !m.Hello.Following {
		m.Loads = reports.loads
	}
	datagram, ok := e.encode(m)
	if !ok {
		return
	}
	notices := int(e.noticeBytes.Swap(0))
	limit := (periodBytes - notices) / len(datagram)
	if !e.health || m.Hello.Following {
		e.sendDatagram(began, datagram, e.state.periodPeers(max(limit, 1)))
		return
	}
	if limit = e.affordable(len(datagram), notices); limit == 0 {
		// Other data centres still have to hear of this instance.
		if datagram, ok = e.encode(wire.Message{Hello: m.Hello, CentreLoads: m.CentreLoads}); !ok {
			return
		}
	}
	peers := e.state.periodPeers(limit)
	// A message to another data centre isn't part of the limit. Those to seeds, while no
	// other instance is known, may not stop reports for long afterwards.
	e.saved = max(e.saved-max(len(peers)-limit, 0)*len(datagram), -maxDatagramBytes)
	e.sendDatagram(began, datagram, peers)
}

// affordable adds a period's budget for reports, less the bytes of notices, to what is left
// of the last one's, and returns how many messages of that length it pays for, which it
// takes off. Reports with health fill a datagram, which is more than a period's budget.
func (e *exchange) affordable(length, notices int) int {
	const period = int(reportBytesPerSecond * ExchangePeriod / time.Second)
	e.saved = min(e.saved+period-notices, length+period)
	n := max(e.saved, 0) / length
	e.saved -= n * length
	return n
}

// ask sends inquiries about backend servers to the instances of this data centre and to
// some of the servers'. It returns how many of this data centre it asked.
func (e *exchange) ask(inquiries []forwarding.Inquiry) int {
	marks := make(map[string][]mark.Mark)
	for _, i := range inquiries {
		marks[e.dataCentre] = append(marks[e.dataCentre], i.Mark)
		if i.DataCentre != e.dataCentre {
			marks[i.DataCentre] = append(marks[i.DataCentre], i.Mark)
		}
	}
	asked := 0
	for _, dataCentre := range slices.Sorted(maps.Keys(marks)) {
		to := e.state.askedPeers(dataCentre)
		if dataCentre == e.dataCentre {
			asked = len(to)
		}
		e.send(e.host.Now(), wire.Message{Hello: e.state.hello(), Asked: marks[dataCentre]}, to)
	}
	return asked
}

// answer answers an inquiry of another instance.
func (e *exchange) answer(loads []forwarding.Load, to netip.AddrPort) {
	e.send(e.host.Now(), wire.Message{Hello: e.state.hello(), Loads: loads, Answer: true}, []netip.AddrPort{to})
}

// notify tells instances of this data centre of backend servers that may have been started
// anew, in the form of an answer that nobody asked for. It takes at most the budget of one
// period, so that reports leave room for it; the next reports repeat what it says.
func (e *exchange) notify(loads []forwarding.Load) {
	began := e.host.Now()
	datagram, ok := e.encode(wire.Message{Hello: e.state.hello(), Loads: loads, Answer: true})
	if !ok {
		return
	}
	to := e.state.askedPeers(e.dataCentre)
	count := min(len(to), (periodBytes-int(e.noticeBytes.Load()))/len(datagram))
	if count <= 0 {
		return
	}
	e.noticeBytes.Add(int64(count * len(datagram)))
	e.sendDatagram(began, datagram, to[:count])
}

// push announces changes from the store to other instances.
func (e *exchange) push() { e.announce(e.state.pushTargets()) }

// relay announces changes from another data centre to the instances of this one.
func (e *exchange) relay() { e.announce(e.state.dataCentrePeers()) }

// announce sends the hello and, where they fit into a message, the changes since the
// last announcement. Peers fetch what doesn't fit.
func (e *exchange) announce(to []netip.AddrPort) {
	began := e.host.Now()
	h := e.state.hello()
	last := replica.Position{}
	if p := e.announced.Swap(&replica.Position{Era: h.Era, Revision: h.Revision}); p != nil {
		last = *p
	}
	b := e.state.since(last)
	m := wire.Message{Hello: h}
	if !b.Whole && batchSize(b) <= maxBatchBytes {
		m.Batch = &b
	}
	e.send(began, m, to)
}

// batchSize estimates the encoded size of a batch in bytes.
func batchSize(b replica.Batch) int {
	const changeOverhead = 16
	total := 0
	for _, c := range b.Changes {
		total += len(c.Key) + len(c.Value) + changeOverhead
	}
	return total
}

// send sends a message that was begun at the given time.
func (e *exchange) send(began time.Duration, m wire.Message, to []netip.AddrPort) {
	if datagram, ok := e.encode(m); ok {
		e.sendDatagram(began, datagram, to)
	}
}

func (e *exchange) encode(m wire.Message) (datagram []byte, ok bool) {
	datagram, err := wire.Encode(m)
	if err != nil {
		e.log.Error("Exchange: a message to other instances can't be encoded.", "Error", err)
		return nil, false
	}
	if len(datagram) > maxDatagramBytes {
		e.log.Debug("Exchange: a message to other instances is long and may be fragmented.", "Bytes", len(datagram))
	}
	return datagram, true
}

// sendDatagram sends a message that was begun at the given time, unless that is too long
// ago: the ages in it would be wrong.
func (e *exchange) sendDatagram(began time.Duration, datagram []byte, to []netip.AddrPort) {
	for _, endpoint := range to {
		if e.host.Now()-began > maxSendDelay {
			e.late.Add(1)
			return
		}
		e.host.SendMessage(datagram, endpoint)
	}
}

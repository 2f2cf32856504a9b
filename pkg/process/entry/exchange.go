package entry

import (
	"context"
	"log/slog"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/version/replica"
	wire "github.com/tanagerweir/tanagerweir/service/entry"
)

const (
	// ExchangePeriod is the time between two words to other instances. A copy
	// counts as stale after 1.7 s, which leaves room for two lost words.
	ExchangePeriod = 250 * time.Millisecond
	// controlBytes is what an instance may spend on telling others, in bytes a
	// second: the design's figure for all control.
	controlBytes = 3000
	// datagramBytes is the longest datagram to another instance; longer ones may
	// be cut on the way.
	datagramBytes = 1400
	// batchBytes bounds the changes that a datagram carries beside the rest;
	// longer ones are fetched.
	batchBytes = 1100
)

// exchange tells other instances what this one knows, and listens to them.
type exchange struct {
	host    Host
	state   *state
	decider *decider
	fetcher *fetcher
	log     *slog.Logger
	name    string
	centre  string
	// told is the revision that other instances were last told of.
	told atomic.Uint64
}

func newExchange(o Options, s *state, d *decider, f *fetcher, h Host) *exchange {
	return &exchange{host: h, state: s, decider: d, fetcher: f, log: o.Logger, name: o.Name, centre: o.DataCentre}
}

func (e *exchange) take(datagram []byte, from netip.AddrPort) {
	w, err := wire.Decode(datagram)
	if err != nil {
		e.log.Debug("Exchange: a datagram isn't a word of an instance.", "From", from, "Error", err)
		return
	}
	if w.Hello.From.Name == e.name {
		return
	}
	away := w.Hello.From.DataCentre != e.centre
	advanced, newer := e.state.hear(w.Hello, w.Batch)
	if advanced && away {
		e.pass()
	}
	if newer {
		e.fetcher.ask(source{at: w.Hello.From.Endpoint, away: away})
	}
	if w.Hello.From.DataCentre == e.centre && len(w.Loads) > 0 {
		e.decider.hear(peerLoads{name: w.Hello.From.Name, loads: w.Loads, alive: e.state.alive()})
	}
}

// loop tells some instances in each period.
func (e *exchange) loop(ctx context.Context) {
	ticks := time.NewTicker(ExchangePeriod)
	defer ticks.Stop()
	for {
		e.tell()
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
	}
}

// tell sends a word to some instances, as many as the budget allows. A follower
// tells more of them and no loads.
func (e *exchange) tell() {
	w := wire.Word{Hello: e.state.hello()}
	if !w.Hello.Following {
		w.Loads = e.decider.loads()
	}
	datagram, ok := e.encode(w)
	if !ok {
		return
	}
	limit := int(controlBytes * ExchangePeriod.Seconds() / float64(len(datagram)))
	e.write(datagram, e.state.peers(max(limit, 1)))
}

// push tells others what the store brought.
func (e *exchange) push() { e.announce(e.state.told()) }

// pass tells the data centre what came from another one.
func (e *exchange) pass() { e.announce(e.state.near()) }

// announce tells what is new since the last time.
func (e *exchange) announce(to []netip.AddrPort) {
	h := e.state.hello()
	b := e.state.since(e.told.Swap(h.Revision))
	w := wire.Word{Hello: h}
	if !b.Whole && size(b) <= batchBytes {
		w.Batch = &b
	}
	e.send(w, to)
}

// size estimates the bytes of a batch.
func size(b replica.Batch) int {
	const frame = 16
	total := 0
	for _, c := range b.Changes {
		total += len(c.Key) + len(c.Value) + frame
	}
	return total
}

func (e *exchange) send(w wire.Word, to []netip.AddrPort) {
	if datagram, ok := e.encode(w); ok {
		e.write(datagram, to)
	}
}

func (e *exchange) encode(w wire.Word) (datagram []byte, ok bool) {
	datagram, err := wire.Encode(w)
	if err != nil {
		e.log.Error("Exchange: a word can't be encoded.", "Error", err)
		return nil, false
	}
	if len(datagram) > datagramBytes {
		e.log.Debug("Exchange: a word is long.", "Bytes", len(datagram))
	}
	return datagram, true
}

func (e *exchange) write(datagram []byte, to []netip.AddrPort) {
	for _, at := range to {
		e.host.SendWord(datagram, at)
	}
}

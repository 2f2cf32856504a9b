package forwarding

import (
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/connection/segment"
)

const (
	// maxFlows bounds the flows that are remembered: 4.4 million open flows over
	// 490 instances are 9,000 each, and several times as many after a loss.
	maxFlows = 32768
	// maxTries is how many backend servers an opening packet and its two copies
	// can reach.
	maxTries = 3
	// openingFor is how long a caller tries to open a flow: it gives up 1.4 s
	// after its first packet.
	openingFor = 1500 * time.Millisecond
	// silentFor is how long a flow without packets counts as open, when
	// operators state no idle timeout.
	silentFor = 15 * time.Second
	// sweepPeriod is how often silent flows are looked for.
	sweepPeriod = time.Second
)

// flow is what this instance has seen of a flow.
type flow struct {
	key segment.Flow
	// kept says that the record is among those remembered, so that it counts.
	kept bool
	// tries are the backend servers that opening packets went to, in order, and
	// asked is when the last of them was sent, or the last request.
	tries [maxTries]*server
	asked time.Duration
	// at is the backend server that the flow is open at, nil while it opens.
	at   *server
	seen time.Duration
	// sent and answered are the positions after the last byte that the caller
	// sent and that it acknowledged.
	sent, answered uint32
	// waiting says that a request was sent and nothing answered since.
	waiting bool
	// blamed says that this wait, for the opening or an answer, was already held
	// against the backend server.
	blamed bool
}

func (f *flow) tried(v *server) bool {
	for _, t := range f.tries {
		if t == v {
			return true
		}
	}
	return false
}

// last returns the backend server that the latest opening packet went to.
func (f *flow) last() *server {
	for i := len(f.tries) - 1; i >= 0; i-- {
		if f.tries[i] != nil {
			return f.tries[i]
		}
	}
	return nil
}

// load counts the flow at the backend servers, with sign 1, or takes it back,
// with sign -1. A flow that opens is about to carry a request.
func (f *flow) load(sign int) {
	switch {
	case !f.kept:
	case f.at != nil:
		f.at.view.open += sign
		if f.waiting {
			f.at.view.running += sign
		}
	case f.last() != nil:
		f.last().view.running += sign
	}
}

// flows are the remembered flows. Records are used again, so that a new flow
// costs no allocation in the long run.
type flows struct {
	byKey map[segment.Flow]*flow
	free  []*flow
	swept time.Duration
	// opening are the latest opening packets, in order.
	opening []asking
}

// asking is an opening packet of a flow.
type asking struct {
	key   segment.Flow
	asked time.Duration
}

func newFlows() flows { return flows{byKey: make(map[segment.Flow]*flow)} }

// record returns the record of a flow, and a new one if it has none. It returns
// nil when too many flows are remembered.
func (t *flows) record(now time.Duration, key segment.Flow) *flow {
	f, ok := t.byKey[key]
	if !ok {
		if len(t.byKey) >= maxFlows {
			return nil
		}
		f = t.blank()
		f.key, f.kept = key, true
		t.byKey[key] = f
	}
	f.seen = now
	return f
}

func (t *flows) blank() *flow {
	if n := len(t.free); n > 0 {
		f := t.free[n-1]
		t.free = t.free[:n-1]
		return f
	}
	return &flow{}
}

// forget removes a flow.
func (t *flows) forget(f *flow) {
	f.load(-1)
	delete(t.byKey, f.key)
	*f = flow{}
	t.free = append(t.free, f)
}

// leave forgets the flows that are open at a backend server or being opened there.
func (t *flows) leave(v *server) {
	for _, f := range t.byKey {
		if f.at == v || f.at == nil && f.last() == v {
			t.forget(f)
		}
	}
}

// unopened takes the next flow that is still being opened by a packet sent before
// then.
func (t *flows) unopened(before time.Duration) *flow {
	for len(t.opening) > 0 && t.opening[0].asked <= before {
		a := t.opening[0]
		t.opening = t.opening[1:]
		if f := t.byKey[a.key]; f != nil && f.at == nil && f.asked == a.asked {
			return f
		}
	}
	return nil
}

// sweep forgets flows that have been silent for too long.
func (t *flows) sweep(now, idle time.Duration) {
	if now-t.swept < sweepPeriod {
		return
	}
	t.swept = now
	if idle <= 0 {
		idle = silentFor
	}
	for _, f := range t.byKey {
		if now-f.seen > idle || f.at == nil && now-f.seen > openingFor {
			t.forget(f)
		}
	}
}

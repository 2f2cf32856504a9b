package roster_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tanagerweir/tanagerweir/pkg/process/roster"
	"github.com/tanagerweir/tanagerweir/service/api"
)

const (
	step        = 100 * time.Millisecond
	checkPeriod = 500 * time.Millisecond
	dialTimeout = 1 * time.Second
)

var start = time.Date(2026, 1, 5, 9, 0, 0, 0, time.UTC)

// fleet runs many cores in simulated time; exchanges are function calls.
type fleet struct {
	now        time.Time
	random     *rand.Rand
	nodes      []*node
	byEndpoint map[netip.AddrPort]*node
	// loss is the probability that a message is lost.
	loss float64
	// cut reports whether two nodes can't reach each other.
	cut func(a, b *node) bool
	// bytes counts the encoded size of all messages.
	bytes int
	// maxRecords is the largest number of records in one message.
	maxRecords int
}

type node struct {
	self roster.Member
	core *roster.Core
	// busyUntil is when the node's first exchange starts or its failed
	// exchange times out.
	busyUntil time.Time
	down      bool
}

func member(n int) roster.Member {
	endpoint := func(port uint16) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n / 250), byte(n%250 + 1)}), port)
	}
	return roster.Member{
		Name: fmt.Sprintf("dakar-%d-entry-%03d", n%3+1, n), DataCentre: fmt.Sprintf("dakar-%d", n%3+1),
		Incarnation: uint64(start.UnixNano()), Peer: endpoint(7005), Passed: endpoint(7002), Admin: endpoint(7004),
	}
}

// newFleet returns a fleet of n nodes that have read the platform's list.
func newFleet(n int, seed uint64) *fleet {
	f := &fleet{
		now: start, random: rand.New(rand.NewPCG(seed, 1)), byEndpoint: make(map[netip.AddrPort]*node),
		cut: func(_, _ *node) bool { return false },
	}
	var list []roster.Member
	for i := range n {
		list = append(list, member(i))
	}
	for _, m := range list {
		f.add(m).core.ApplyList(f.now, list)
	}
	return f
}

func (f *fleet) add(m roster.Member) *node {
	n := &node{self: m, core: roster.New(m, f.random.Uint64())}
	n.busyUntil = f.now.Add(time.Duration(f.random.Int64N(int64(roster.Period))))
	f.nodes = append(f.nodes, n)
	f.byEndpoint[m.Peer] = n
	return n
}

// run advances the time by up to d and returns how far it got. It calls after
// every checkPeriod, if it isn't nil, and stops once that returns true.
func (f *fleet) run(d time.Duration, after func() bool) time.Duration {
	began := f.now
	for f.now.Sub(began) < d {
		f.now = f.now.Add(step)
		for _, n := range f.nodes {
			if !n.down && !f.now.Before(n.busyUntil) && n.core.Due(f.now) {
				f.exchange(n)
			}
		}
		if after != nil && f.now.Sub(began)%checkPeriod == 0 && after() {
			break
		}
	}
	return f.now.Sub(began)
}

func (f *fleet) exchange(n *node) {
	peer, ok := n.core.Tick(f.now)
	if !ok {
		return
	}
	if !f.exchangeWith(n, peer) {
		n.busyUntil = f.now.Add(dialTimeout)
		n.core.Failed(f.now, peer.Name)
	}
}

// exchangeWith runs one exchange with the peer and returns false if the peer
// can't be reached or a message is lost.
func (f *fleet) exchangeWith(n *node, peer roster.Member) bool {
	to := f.byEndpoint[peer.Peer]
	request := f.roundTrip(n.core.MessageFor(f.now, peer.Name))
	if to == nil || to.down || f.cut(n, to) || f.random.Float64() < f.loss {
		return false
	}
	answer := f.roundTrip(to.core.Answer(f.now, request))
	if f.random.Float64() < f.loss {
		return false
	}
	n.core.Receive(f.now, answer)
	return true
}

// roundTrip encodes and decodes a message and counts its bytes and records.
func (f *fleet) roundTrip(m roster.Message) roster.Message {
	w := api.RosterToWire(m)
	f.bytes += proto.Size(w)
	f.maxRecords = max(f.maxRecords, len(m.Members))
	back, err := api.RosterFromWire(w)
	if err != nil {
		panic(err)
	}
	return back
}

// seenBy returns how many running nodes have the named member as alive.
func (f *fleet) seenBy(name string) int {
	seen := 0
	for _, n := range f.nodes {
		if !n.down && n.self.Name != name && alive(n.core, f.now, name) {
			seen++
		}
	}
	return seen
}

func alive(c *roster.Core, now time.Time, name string) bool {
	for _, m := range c.Alive(now) {
		if m.Name == name {
			return true
		}
	}
	return false
}

// falseDeaths counts the pairs of running nodes of which one doesn't have the
// other as alive.
func (f *fleet) falseDeaths() int {
	pairs := 0
	for _, n := range f.nodes {
		if n.down {
			continue
		}
		aliveNames := make(map[string]bool)
		for _, m := range n.core.Alive(f.now) {
			aliveNames[m.Name] = true
		}
		for _, other := range f.nodes {
			if !other.down && !aliveNames[other.self.Name] {
				pairs++
			}
		}
	}
	return pairs
}

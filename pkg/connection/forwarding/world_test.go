package forwarding_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/clock"
	"github.com/tanagerweir/tanagerweir/pkg/connection/forwarding"
	"github.com/tanagerweir/tanagerweir/pkg/connection/mark"
	"github.com/tanagerweir/tanagerweir/pkg/connection/segment"
	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
)

const (
	feedService   = "board"
	ledgerService = "ledger"
	maxFlow       = time.Minute
)

var (
	feedRoute    = netip.MustParseAddrPort("198.18.0.1:443")
	signoffRoute = netip.MustParseAddrPort("198.18.0.1:8080")
	uploadRoute  = netip.MustParseAddrPort("198.18.0.2:443")
	absentRoute  = netip.MustParseAddrPort("198.18.0.9:443")
)

func configured() directory.Directory {
	return directory.New().WithConfiguration(directory.Configuration{
		Version: 1,
		Routes: []directory.Route{
			{Endpoint: feedRoute, Kind: directory.Repeatable, Shares: []directory.Share{{Service: feedService, Weight: 1}}},
			{Endpoint: signoffRoute, Shares: []directory.Share{{Service: feedService, Weight: 1}}},
			{Endpoint: uploadRoute, Kind: directory.Upload, Shares: []directory.Share{{Service: ledgerService, Weight: 1}}},
		},
		Services: []directory.Service{
			{Name: feedService, ColdFor: 2 * time.Second, ColdRate: 4},
			{Name: ledgerService, ColdFor: 2 * time.Second, ColdRate: 4},
		},
	})
}

func serverOf(service, centre string, n int) directory.Server {
	id := fmt.Sprintf("i-%s%d%x", map[string]string{feedService: "a", ledgerService: "b"}[service], n, len(centre))
	return directory.Server{
		ID: id, Number: uint64(n), Service: service, DataCentre: centre, Slots: 3, Revision: 1,
		Endpoint: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(len(centre)), byte(len(service)), byte(n)}), 8080),
	}
}

// near is the instance's own data centre, far another one.
const (
	near = "near"
	far  = "farther"
)

// deployment returns a directory with three servers of the feed and two of the
// ledger in each data centre.
func deployment() directory.Directory {
	d := configured()
	for _, centre := range []string{near, far} {
		for n := range 3 {
			d = d.WithServer(serverOf(feedService, centre, n+1))
		}
		for n := range 2 {
			d = d.WithServer(serverOf(ledgerService, centre, n+1))
		}
	}
	return d
}

func newCore(d directory.Directory) *forwarding.Core {
	return newCoreWith(forwarding.HealthOptions{}, d)
}

func newCoreWith(h forwarding.HealthOptions, d directory.Directory) *forwarding.Core {
	c := forwarding.New(forwarding.Options{Name: "entry", DataCentre: near, Seed: 1, ColdFactor: 1.5, ColdSlack: 5, Health: h})
	c.Confirm(0, clock.At(1))
	c.Adopt(0, d)
	return c
}

// caller makes the packets that the caller of one flow sends.
type caller struct {
	flow         segment.Flow
	sequence     uint32
	acknowledged uint32
	mark         uint32
}

var nextPort uint16

func newCaller(route netip.AddrPort) *caller {
	nextPort++
	host := netip.AddrFrom4([4]byte{100, 64, byte(nextPort >> 8), byte(nextPort)})
	return newCallerAt(netip.AddrPortFrom(host, nextPort), route)
}

func newCallerAt(address, route netip.AddrPort) *caller {
	return &caller{
		flow:     segment.Flow{Caller: address, Route: route},
		sequence: 100, acknowledged: 5000,
	}
}

// open returns an opening packet, of which that many copies were sent before.
func (p *caller) open(copies int) segment.Segment {
	return segment.Segment{Flow: p.flow, Flags: segment.Open, Sequence: p.sequence - 1, Acknowledged: uint32(copies)}
}

// request returns a packet with new data.
func (p *caller) request() segment.Segment {
	s := segment.Segment{
		Flow: p.flow, Flags: segment.Acknowledge, Sequence: p.sequence, Acknowledged: p.acknowledged, Mark: p.mark, Length: 200,
	}
	p.sequence += uint32(s.Length)
	return s
}

// acknowledge returns the packet with which the caller acknowledges an answer.
func (p *caller) acknowledge() segment.Segment {
	p.acknowledged += 1000
	return segment.Segment{Flow: p.flow, Flags: segment.Acknowledge, Sequence: p.sequence, Acknowledged: p.acknowledged, Mark: p.mark}
}

func (p *caller) finish() segment.Segment {
	return segment.Segment{
		Flow: p.flow, Flags: segment.Acknowledge | segment.Finish, Sequence: p.sequence, Acknowledged: p.acknowledged, Mark: p.mark,
	}
}

// opened sends the opening packet of a new flow and returns its caller, who knows
// the mark of the chosen server, and the decision.
func opened(t *testing.T, c *forwarding.Core, now time.Duration, route netip.AddrPort) (*caller, forwarding.Decision) {
	t.Helper()
	p := newCaller(route)
	d := c.Decide(now, p.open(0))
	if d.Verdict != forwarding.Forward {
		t.Fatalf("opening packet: %v", d.Reason)
	}
	p.mark = uint32(d.Mark)
	return p, d
}

func markOf(s directory.Server) uint32 { return uint32(mark.Of(s.ID)) }

func (p *caller) markNumber() mark.Mark { return mark.Mark(p.mark) }

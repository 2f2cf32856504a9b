package parcel_test

import (
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"github.com/tanagerweir/tanagerweir/pkg/connection/flow"
	"github.com/tanagerweir/tanagerweir/pkg/connection/parcel"
	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
)

func serialise(t testing.TB, packetLayers ...gopacket.SerializableLayer) []byte {
	t.Helper()
	buffer := gopacket.NewSerializeBuffer()
	if err := gopacket.SerializeLayers(buffer, gopacket.SerializeOptions{FixLengths: true}, packetLayers...); err != nil {
		t.Fatal(err)
	}
	return buffer.Bytes()
}

func ipv4(protocol layers.IPProtocol) *layers.IPv4 {
	return &layers.IPv4{
		Version: 4, TTL: 64, Protocol: protocol,
		SrcIP: []byte{198, 51, 100, 1}, DstIP: []byte{192, 0, 2, 1},
	}
}

func ipv6(protocol layers.IPProtocol) *layers.IPv6 {
	return &layers.IPv6{
		Version: 6, HopLimit: 64, NextHeader: protocol,
		SrcIP: netip.MustParseAddr("2001:db8::1").AsSlice(), DstIP: netip.MustParseAddr("2001:db8::2").AsSlice(),
	}
}

func tcp() *layers.TCP { return &layers.TCP{SrcPort: 10_000, DstPort: 443, Seq: 77, ACK: true} }

// samples returns packets of each kind and the problem that Parse reports.
func samples(t testing.TB) []sample {
	firstFragment, laterFragment := ipv4(layers.IPProtocolTCP), ipv4(layers.IPProtocolTCP)
	firstFragment.Flags = layers.IPv4MoreFragments
	laterFragment.FragOffset = 100
	whole := serialise(t, ipv4(layers.IPProtocolTCP), tcp(), gopacket.Payload("abc"))
	six := serialise(t, ipv6(layers.IPProtocolTCP), tcp())
	return []sample{
		{"TCP", whole, parcel.Fine},
		{"TCPOverIPv6", six, parcel.Fine},
		{"UDP", serialise(t, ipv4(layers.IPProtocolUDP), &layers.UDP{SrcPort: 1, DstPort: 2}), parcel.Fine},
		{"Empty", nil, parcel.Truncated},
		{"TruncatedIP", whole[:12], parcel.Truncated},
		{"TruncatedTCP", whole[:28], parcel.Truncated},
		{"TruncatedIPv6", six[:30], parcel.Truncated},
		{"Oversized", make([]byte, parcel.SizeLimit+1), parcel.Oversized},
		{"FirstFragment", serialise(t, firstFragment, tcp()), parcel.Fragmented},
		{"LaterFragment", serialise(t, laterFragment, tcp()), parcel.Fragmented},
		{"FragmentOverIPv6", serialise(t, ipv6(layers.IPProtocolIPv6Fragment), gopacket.Payload(make([]byte, 16))), parcel.Fragmented},
		{"ICMP", serialise(t, ipv4(layers.IPProtocolICMPv4), gopacket.Payload(make([]byte, 8))), parcel.OtherProtocol},
		{"OtherVersion", []byte{0x90, 1, 2, 3}, parcel.OtherProtocol},
	}
}

type sample struct {
	name    string
	raw     []byte
	problem parcel.Problem
}

func TestEveryProblemIsReported(t *testing.T) {
	for _, s := range samples(t) {
		if _, got := parcel.NewParser().Parse(s.raw); got != s.problem {
			t.Errorf("%s: got problem %s, want %s", s.name, got, s.problem)
		}
	}
}

func TestParseReadsAllHeaderFields(t *testing.T) {
	got, _ := parcel.NewParser().Parse(samples(t)[0].raw)
	want := flow.Packet{
		Key: flow.Key{
			Protocol:    catalogue.TCP,
			Source:      netip.MustParseAddrPort("198.51.100.1:10000"),
			Destination: netip.MustParseAddrPort("192.0.2.1:443"),
		},
		Sequence: 77, Length: 3,
	}
	if diff := cmp.Diff(want, got, cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })); diff != "" {
		t.Errorf("the parsed packet differs (-want +got):\n%s", diff)
	}
}

// FuzzParse checks that the reused parser gives the same result as a new one: data
// of an earlier packet must not show up in a later one.
func FuzzParse(f *testing.F) {
	for _, s := range samples(f) {
		f.Add(s.raw)
	}
	reused := parcel.NewParser()
	f.Fuzz(func(t *testing.T, raw []byte) {
		p, problem := reused.Parse(raw)
		wantPacket, wantProblem := parcel.NewParser().Parse(raw)
		if problem != wantProblem || p != wantPacket {
			t.Errorf("a reused parser returns %v %s, a new one %v %s", p, problem, wantPacket, wantProblem)
		}
		if problem == parcel.Fine && (!p.Key.Source.IsValid() || !p.Key.Destination.IsValid() || len(raw) > parcel.SizeLimit) {
			t.Errorf("%v was accepted though it has no addresses or is too large", p)
		}
		if problem.String() == "Unknown" {
			t.Errorf("problem %d has no name", problem)
		}
	})
}

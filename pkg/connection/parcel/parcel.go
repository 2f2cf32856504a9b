// Package parcel parses the callers' packets that datagrams carry.
//
// The fabric sends an instance a UDP datagram whose payload is one raw IP
// packet (foo-over-UDP), and the instance sends the same payload on to a backend
// server or another instance. A Parser reads the headers of that packet.
//
// # Usage
//
//	parser := parcel.NewParser()
//	packet, problem := parser.Parse(payload)
//	if problem != parcel.Fine {
//		dropped[problem]++
//	}
package parcel

import (
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"github.com/tanagerweir/tanagerweir/pkg/connection/flow"
	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
)

// SizeLimit is the size of the largest raw packet that is accepted, in bytes.
const SizeLimit = 9_000

const (
	versionShift = 4 // bits below the IP version in the first byte of a packet
	ipVersion4   = 4
	ipVersion6   = 6
)

// Problem is the reason why a packet can't be forwarded.
type Problem uint8

// Problems of a packet.
const (
	// Fine: the packet has no problem.
	Fine Problem = iota
	// Truncated: the packet is shorter than its headers or its length field says,
	// or can't be decoded.
	Truncated
	// Oversized: the packet is larger than SizeLimit.
	Oversized
	// Fragmented: the packet is one fragment of an IP packet.
	Fragmented
	// OtherProtocol: the packet isn't TCP or UDP over IPv4 or IPv6.
	OtherProtocol
)

var problemNames = [...]string{"Fine", "Truncated", "Oversized", "Fragmented", "OtherProtocol"}

// String returns the problem's name as metrics show it.
func (p Problem) String() string {
	if int(p) >= len(problemNames) {
		return "Unknown"
	}
	return problemNames[p]
}

// Parser parses packets and reuses its memory for each. It is not safe for use
// from several goroutines.
type Parser struct {
	ipv4    layers.IPv4
	ipv6    layers.IPv6
	tcp     layers.TCP
	udp     layers.UDP
	payload gopacket.Payload
	parser4 *gopacket.DecodingLayerParser
	parser6 *gopacket.DecodingLayerParser
	decoded []gopacket.LayerType
}

// NewParser returns a Parser.
func NewParser() *Parser {
	p := &Parser{decoded: make([]gopacket.LayerType, 0, 4)}
	p.parser4 = gopacket.NewDecodingLayerParser(layers.LayerTypeIPv4, &p.ipv4, &p.tcp, &p.udp, &p.payload)
	p.parser6 = gopacket.NewDecodingLayerParser(layers.LayerTypeIPv6, &p.ipv6, &p.tcp, &p.udp, &p.payload)
	p.parser4.IgnoreUnsupported = true
	p.parser6.IgnoreUnsupported = true
	return p
}

// Parse parses the headers of one raw IP packet. The result doesn't refer to raw.
// Unless the problem is Fine, the packet is empty.
func (p *Parser) Parse(raw []byte) (flow.Packet, Problem) {
	if len(raw) == 0 {
		return flow.Packet{}, Truncated
	}
	if len(raw) > SizeLimit {
		return flow.Packet{}, Oversized
	}
	switch raw[0] >> versionShift {
	case ipVersion4:
		return p.parse4(raw)
	case ipVersion6:
		return p.parse6(raw)
	}
	return flow.Packet{}, OtherProtocol
}

func (p *Parser) parse4(raw []byte) (flow.Packet, Problem) {
	if err := p.parser4.DecodeLayers(raw, &p.decoded); err != nil || p.parser4.Truncated {
		return flow.Packet{}, Truncated
	}
	if p.ipv4.FragOffset != 0 || p.ipv4.Flags&layers.IPv4MoreFragments != 0 {
		return flow.Packet{}, Fragmented
	}
	source, _ := netip.AddrFromSlice(p.ipv4.SrcIP)
	destination, _ := netip.AddrFromSlice(p.ipv4.DstIP)
	return p.transport(source, destination)
}

func (p *Parser) parse6(raw []byte) (flow.Packet, Problem) {
	if err := p.parser6.DecodeLayers(raw, &p.decoded); err != nil || p.parser6.Truncated {
		return flow.Packet{}, Truncated
	}
	if p.ipv6.NextHeader == layers.IPProtocolIPv6Fragment {
		return flow.Packet{}, Fragmented
	}
	source, _ := netip.AddrFromSlice(p.ipv6.SrcIP)
	destination, _ := netip.AddrFromSlice(p.ipv6.DstIP)
	return p.transport(source, destination)
}

func (p *Parser) transport(source, destination netip.Addr) (flow.Packet, Problem) {
	if len(p.decoded) < 2 {
		return flow.Packet{}, OtherProtocol
	}
	switch p.decoded[1] {
	case layers.LayerTypeTCP:
		return flow.Packet{
			Key: flow.Key{
				Protocol:    catalogue.TCP,
				Source:      netip.AddrPortFrom(source, uint16(p.tcp.SrcPort)),
				Destination: netip.AddrPortFrom(destination, uint16(p.tcp.DstPort)),
			},
			Starts: p.tcp.SYN && !p.tcp.ACK,
			Ends:   p.tcp.FIN || p.tcp.RST,

			Sequence: p.tcp.Seq,
			Length:   uint16(len(p.tcp.Payload)),
		}, Fine
	case layers.LayerTypeUDP:
		return flow.Packet{
			Key: flow.Key{
				Protocol:    catalogue.UDP,
				Source:      netip.AddrPortFrom(source, uint16(p.udp.SrcPort)),
				Destination: netip.AddrPortFrom(destination, uint16(p.udp.DstPort)),
			},
		}, Fine
	}
	return flow.Packet{}, OtherProtocol
}

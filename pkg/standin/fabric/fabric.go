// Package fabric is a stand-in for the network fabric in front of the instances.
//
// It builds TCP packets of flows and sends each in a UDP datagram to a randomly
// chosen instance. Packets of the same flow go to different instances.
//
// # Usage
//
//	spray, closeSpray, err := fabric.New(instances, seed)
//	if err != nil {
//		return err
//	}
//	defer closeSpray()
//	err = spray.Send(key, fabric.Start)
//
// It is for tests and the demonstration only.
package fabric

import (
	"math/rand/v2"
	"net"
	"net/netip"

	"github.com/go-faster/errors"
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"github.com/tanagerweir/tanagerweir/pkg/connection/flow"
)

const timeToLive = 64 // of the IP packets, in hops

// Stage is the position of a packet in its flow.
type Stage uint8

// The stages: the packet that opens the flow (SYN), one in between, and the
// last one (FIN).
const (
	Start Stage = iota
	Middle
	End
)

// Spray sends packets to randomly chosen instances. It is not safe for
// concurrent use.
type Spray struct {
	connection *net.UDPConn
	instances  []netip.AddrPort
	random     *rand.Rand
}

// New returns a Spray over the instances' packet endpoints and the function
// that closes its socket. seed determines which instance each packet is sent
// to.
func New(instances []netip.AddrPort, seed uint64) (*Spray, func() error, error) {
	connection, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		return nil, nil, errors.Wrap(err, "open socket of the fabric")
	}
	s := &Spray{connection: connection, instances: instances, random: rand.New(rand.NewPCG(seed, seed))}
	return s, connection.Close, nil
}

// SetInstances replaces the instances' packet endpoints. The Spray keeps the
// slice. Send needs at least one endpoint.
func (s *Spray) SetInstances(instances []netip.AddrPort) { s.instances = instances }

// Send builds one packet of the flow and sends it to a randomly chosen
// instance.
func (s *Spray) Send(k flow.Key, stage Stage) error {
	raw, err := Packet(k, stage)
	if err != nil {
		return err
	}
	to := s.instances[s.random.IntN(len(s.instances))]
	if _, err := s.connection.WriteToUDPAddrPort(raw, to); err != nil {
		return errors.Wrap(err, "send packet to instance")
	}
	return nil
}

// Packet returns the bytes of an IPv4 packet of the flow: a TCP header without
// payload.
func Packet(k flow.Key, stage Stage) ([]byte, error) {
	ip := &layers.IPv4{
		Version: 4, TTL: timeToLive, Protocol: layers.IPProtocolTCP,
		SrcIP: k.Source.Addr().AsSlice(), DstIP: k.Destination.Addr().AsSlice(),
	}
	tcp := &layers.TCP{
		SrcPort: layers.TCPPort(k.Source.Port()), DstPort: layers.TCPPort(k.Destination.Port()),
		SYN: stage == Start, ACK: stage != Start, FIN: stage == End,
	}
	if err := tcp.SetNetworkLayerForChecksum(ip); err != nil {
		return nil, errors.Wrap(err, "prepare TCP checksum")
	}
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(buffer, options, ip, tcp); err != nil {
		return nil, errors.Wrap(err, "serialise packet")
	}
	return buffer.Bytes(), nil
}

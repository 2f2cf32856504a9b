// Package flow decides where the packets of connections go.
//
// A Core holds one instance's state for deciding about packets. It has no
// clock, no socket and no goroutine: the caller passes in packets,
// configuration, members, messages and the time, and gets decisions and
// messages back. The same inputs always give the same outputs.
// docs/design/flows.md gives the reasons.
//
// Most flows need no state: every instance computes the same backend server
// from the catalogue. A bucket of a service is disputed if the service's last
// catalogue versions, or the conditions of its backend servers, lead to
// different backend servers for it. A flow on a disputed bucket is decided by
// one instance, its owner, which records the flow and sends a copy of the
// record to a successor. The other instances pass packets of flows that they
// have no record of to the owner.
//
// An instance is unsynchronised (Progress.Unsynchronised) from its start until
// it has received the disputed buckets from a peer, or has found that it has no
// peers.
//
// # Usage
//
//	core := flow.New("entry-1", flow.Options{})
//	core.Adopt(now, current)
//	core.Members(now, members)
//	core.Conditions(now, conditions)
//	for _, e := range core.Tick(now) {
//		send(e.To, e.Message)
//	}
//	core.Receive(now, from, message)
//	decision := core.Decide(now, packet)
//	if decision.Action == flow.Forward {
//		send(decision.Backend.Packets, raw)
//	}
//
// A Core is not safe for use from several goroutines.
package flow

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
	"github.com/tanagerweir/tanagerweir/pkg/version/table"
)

// Key identifies one flow.
type Key struct {
	Protocol    catalogue.Protocol
	Source      netip.AddrPort
	Destination netip.AddrPort
}

// Hash returns the flow hash, which is the same on every instance.
func (k Key) Hash() uint64 {
	var b [37]byte
	b[0] = byte(k.Protocol)
	source, destination := k.Source.Addr().As16(), k.Destination.Addr().As16()
	copy(b[1:17], source[:])
	copy(b[17:33], destination[:])
	binary.BigEndian.PutUint16(b[33:], k.Source.Port())
	binary.BigEndian.PutUint16(b[35:], k.Destination.Port())
	return xxhash.Sum64(b[:])
}

// fingerprint returns the flow's fingerprint in the highest 48 bits. It depends
// on the service, by its salt: when an address moves to another service,
// records of the old service's flows don't match flows of the new one.
func (k Key) fingerprint(salt uint64) uint64 {
	return table.Mix(k.Hash()^salt) & fingerprintMask
}

// Packet holds the parsed headers of one packet, as a decision needs them.
type Packet struct {
	Key Key
	// Starts is true if the packet opens its flow (a TCP SYN without ACK).
	Starts bool
	// Ends is true if the packet ends its flow (a TCP FIN or RST).
	Ends bool
	// Passed is true if another instance passed the packet on.
	Passed bool
	// Sequence is the TCP sequence number.
	Sequence uint32
	// Length is the length of the TCP payload in bytes.
	Length uint16
}

// Action is what to do with a packet.
type Action uint8

// Actions of a decision.
const (
	// Drop discards the packet; its sender retransmits it.
	Drop Action = iota
	// Forward sends the packet to Decision.Backend.
	Forward
	// Pass sends the packet to the instance Decision.Owner.
	Pass
)

// Reason is why a decision was taken.
type Reason uint8

// Reasons of a decision.
const (
	// ByTable: the flow's bucket is undisputed.
	ByTable Reason = iota
	// ByCache: the flow is in the cache.
	ByCache
	// ByOwner: the bucket is disputed, and its owner decides.
	ByOwner
	// GivenUp: the backend server is gone or its data centre is out. The packet
	// goes to another one, which answers with a reset, so that the caller
	// reconnects at once.
	GivenUp
	// Guessed: the owner may lack the flow's record and takes the base version.
	Guessed
	// Silent: the flow had no answers for long. The packet goes to another
	// backend server, for the same purpose as with GivenUp.
	Silent
	// UnknownAddress: no service has the destination.
	UnknownAddress
	// NoBackend: the service has no backend server to take a new flow.
	NoBackend
	// NoConfiguration: the instance has received no catalogue yet.
	NoConfiguration
	// Doubt: the packet was passed to an instance that isn't the owner, or the
	// members' views differ so that another member may have the flow's record.
	Doubt
	// Blank: the instance has started and doesn't know the disputed buckets yet.
	Blank
	// ColdOnly: only cold backend servers are left, and their shares are used up.
	ColdOnly
	// Announced: a change that moves the flow is not yet in force.
	Announced
	reasonCount
)

var reasonNames = [...]string{
	"Table", "Cache", "Owner", "GivenUp", "Guessed", "Silent", "UnknownAddress",
	"NoBackend", "NoConfiguration", "Doubt", "Blank", "ColdOnly", "Announced",
}

// String returns the reason's name as metrics and the journal show it.
func (r Reason) String() string {
	if int(r) >= len(reasonNames) {
		return "Unknown"
	}
	return reasonNames[r]
}

// Decision is where one packet goes and why.
type Decision struct {
	Action Action
	Reason Reason
	// Backend is the receiver of a Forward.
	Backend catalogue.Backend
	// Owner is the name of the instance that receives a Pass.
	Owner string
}

// Package segment defines the header fields of one packet of a flow that
// forwarding decisions need.
//
// # Usage
//
//	s := segment.Segment{Flow: flow, Flags: segment.Open}
//	if s.Flags.Has(segment.Open) {
//		place(s.Flow)
//	}
package segment

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Flags are the flags of a packet.
type Flags uint8

// Flags that a packet can carry, in any combination.
const (
	// Open is set in a packet that opens a flow.
	Open Flags = 1 << iota
	// Acknowledge is set if Segment.Acknowledged is valid.
	Acknowledge
	// Finish is set if the sender has no more data to send.
	Finish
	// Abort ends the flow at once.
	Abort
	// Bounced is set in a packet that was returned undelivered.
	Bounced
)

// Has reports whether all of the flags are set.
func (f Flags) Has(wanted Flags) bool { return f&wanted == wanted }

// Flow identifies a flow by the addresses of its two ends.
type Flow struct {
	Caller netip.AddrPort
	// Route is the address and port that the caller connects to.
	Route netip.AddrPort
}

// Hash returns the same number for all packets of the flow, at every instance.
func (f Flow) Hash() uint64 {
	var b [12]byte
	caller, route := f.Caller.Addr().As4(), f.Route.Addr().As4()
	copy(b[:], caller[:])
	copy(b[4:], route[:])
	b[8], b[9] = byte(f.Caller.Port()>>8), byte(f.Caller.Port())
	b[10], b[11] = byte(f.Route.Port()>>8), byte(f.Route.Port())
	return xxhash.Sum64(b[:])
}

// Segment is the header of one packet from a caller.
type Segment struct {
	Flow  Flow
	Flags Flags
	// Sequence is the sequence number of the first byte of data.
	Sequence uint32
	// Acknowledged is the sequence number of the next byte that the caller
	// expects. In a packet that opens a flow it is the number of copies that were
	// sent before.
	Acknowledged uint32
	// Mark identifies the backend server at which the flow is open, 0 for none.
	Mark uint32
	// Length is the number of bytes of data.
	Length int
}

// Copy returns how many copies of an opening packet were sent before this one.
func (s Segment) Copy() int { return int(s.Acknowledged) }

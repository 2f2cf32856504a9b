// Package segment holds the head of one packet of a flow, as far as decisions
// need it.
//
// # Usage
//
//	s := segment.Segment{Flow: flow, Flags: segment.Open}
//	if s.Flags.Has(segment.Open) {
//		place(s.Flow)
//	}
package segment

import "net/netip"

// Flags are the signals of a packet.
type Flags uint8

// Flags that a packet can carry, in any combination.
const (
	// Open asks for a new flow.
	Open Flags = 1 << iota
	// Acknowledge says that Acknowledged holds.
	Acknowledge
	// Finish says that the sender has nothing more to send.
	Finish
	// Abort gives the flow up.
	Abort
	// Bounced marks a packet that came back undelivered.
	Bounced
)

// Has reports whether all of the flags are set.
func (f Flags) Has(wanted Flags) bool { return f&wanted == wanted }

// Flow names a flow by its two ends.
type Flow struct {
	Caller netip.AddrPort
	// Route is the address and port that the caller connects to.
	Route netip.AddrPort
}

// Segment is the head of one packet from a caller.
type Segment struct {
	Flow  Flow
	Flags Flags
	// Sequence is the position of the first byte of data.
	Sequence uint32
	// Acknowledged is the position of the next byte that the caller expects. In
	// a packet that opens a flow it counts the copies sent before.
	Acknowledged uint32
	// Mark names the backend server that the flow is at, 0 for none.
	Mark uint32
	// Length is the number of bytes of data.
	Length int
}

// Copy returns how many copies of an opening packet were sent before this one.
func (s Segment) Copy() int { return int(s.Acknowledged) }

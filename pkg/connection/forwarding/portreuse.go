package forwarding

import "github.com/tanagerweir/tanagerweir/pkg/connection/segment"

// Callers use ports again, and packets may be late: a packet may belong to an earlier flow
// between the same endpoints. Marks keep such packets apart on their way. The records of
// flows tell them apart by sequence numbers, of which each flow begins with a random one.

// maxFirstSequence is how far the first packet that an instance sees of an open flow may be
// beyond the opening packet: some hundred packets of an upload that went to other
// instances. A packet of an earlier flow is within it with a probability of 1/16,000.
const maxFirstSequence = 1 << 18

// openedBefore returns the backend server of an open flow of which s is a late copy of the
// opening packet, nil if it isn't one. The copy goes there, since another server would open
// a second flow with the caller, and a reset would end the open one.
func (c *Core) openedBefore(s segment.Segment) *server {
	f := c.flows.byKey[s.Flow]
	if f == nil || f.server == nil || f.lastTried() == nil || f.opening != s.Sequence {
		return nil
	}
	return f.server
}

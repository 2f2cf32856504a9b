package forwarding

import (
	"github.com/tanagerweir/tanagerweir/pkg/connection/segment"
	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
)

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

// mayBeOpen reports whether a flow may be open already, as an earlier opening packet went to
// a backend server whose answer this instance doesn't see, and its request may run. If it
// isn't repeatable, a reset would lose it. Repeatable ones are reset and asked again at once.
func mayBeOpen(r directory.Route, f *flow) bool {
	return r.Kind != directory.Repeatable && f.lastTried() != nil
}

package flow

import "slices"

// HandedOver reports whether a leaving instance may end: it has sent all its
// records, it owns no flows any more, and every instance that it can reach finds
// owners without it. It is also true if the instance can reach no other one, as
// then none could take over its flows.
func (c *Core) HandedOver() bool {
	m := c.members
	if !m.leaving[m.self] {
		return false
	}
	if len(m.others()) == 0 {
		return true
	}
	if !c.handoverSent || len(c.unsent) > 0 {
		return false
	}
	if len(m.pending.members) > 0 || slices.Contains(m.current.members, m.self) {
		return false
	}
	return c.everyPeer(func(p Progress) bool { return p.View == m.current.hash })
}

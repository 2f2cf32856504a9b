package condition

import (
	"slices"
	"strings"

	"github.com/tanagerweir/tanagerweir/pkg/version/health"
)

// Marks returns the marks in force, sorted by backend server. By reports and
// failures, at most one server in outDivisor of a service is out.
func (c *Core) Marks() []Mark {
	marks := make([]Mark, 0, len(c.servers))
	for _, name := range c.backendNames() {
		if m := c.effective(c.servers[name]); m.Sequence > 0 || m.State != health.Serving {
			marks = append(marks, m)
		}
	}
	c.limitOut(marks)
	return marks
}

// limitOut sets marks that exceed the share of a service that may be out back to
// serving, those that went out last first.
func (c *Core) limitOut(marks []Mark) {
	sizes := make(map[string]int)
	for _, service := range c.serviceByBackend {
		sizes[service]++
	}
	var out []int
	for i, m := range marks {
		if m.State == health.Leaving || m.State == health.Ejected {
			out = append(out, i)
		}
	}
	slices.SortFunc(out, func(a, b int) int { return c.compareOutOrder(marks[a], marks[b]) })
	outByService := make(map[string]int)
	for _, i := range out {
		service, known := c.serviceByBackend[marks[i].Backend]
		if !known {
			continue
		}
		outByService[service]++
		if outByService[service]*outDivisor > sizes[service] && !c.servers[marks[i].Backend].listedLeaving {
			marks[i].State = health.Serving
			outByService[service]--
		}
	}
}

// compareOutOrder puts those that the platform lists first, then the earlier ones.
func (c *Core) compareOutOrder(a, b Mark) int {
	listedA, listedB := c.servers[a.Backend].listedLeaving, c.servers[b.Backend].listedLeaving
	if listedA != listedB {
		if listedA {
			return -1
		}
		return 1
	}
	if order := a.Since.Compare(b.Since); order != 0 {
		return order
	}
	return strings.Compare(a.Backend, b.Backend)
}

// MarksToSend returns the marks for one message to a peer: changed ones, beginning with
// those that were sent least often, and then some of all marks in rotation.
func (c *Core) MarksToSend() []Mark {
	var known []*server
	for _, name := range c.backendNames() {
		if s := c.servers[name]; s.mark.Sequence > 0 {
			known = append(known, s)
		}
	}
	bySends := slices.Clone(known)
	slices.SortStableFunc(bySends, func(a, b *server) int { return a.sends - b.sends })
	var marks []Mark
	for _, s := range bySends[:min(len(bySends), MarksPerMessage)] {
		if s.sends < sendsPerChange {
			s.sends++
			marks = append(marks, s.mark)
		}
	}
	for range min(rotatedPerMessage, len(known), MarksPerMessage-len(marks)) {
		c.rotation = (c.rotation + 1) % len(known)
		marks = append(marks, known[c.rotation].mark)
	}
	return marks
}

package forwarding

import (
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/connection/placement"
	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
)

// place chooses the backend server of a new flow, nil for none.
func (c *Core) place(now time.Duration, r directory.Route, f *flow) *server {
	servers := c.servers.byService[serviceOf(r, f.key)]
	c.draws++
	for _, accept := range [...]func(*server) bool{
		func(v *server) bool { return c.usable(now, v) && !f.tried(v) && !v.view.suspect(now) },
		func(v *server) bool { return c.usable(now, v) && !f.tried(v) },
		func(v *server) bool { return c.usable(now, v) },
	} {
		best := placement.NewBest(c.draws)
		for i, v := range servers {
			if accept(v) {
				best.Offer(i, c.candidate(now, v))
			}
		}
		if i, ok := best.Choice(); ok {
			return servers[i]
		}
	}
	return nil
}

// usable says whether the backend server may get new flows at all.
func (c *Core) usable(now time.Duration, v *server) bool {
	return !v.missing && !v.Draining && now >= v.coldUntil && !c.directory.Evacuated(v.DataCentre)
}

func (c *Core) candidate(now time.Duration, v *server) placement.Candidate {
	return placement.Candidate{
		Slots:   v.Slots,
		Running: float64(v.view.running) + c.scale*v.view.others.running,
		Open:    float64(v.view.open) + c.scale*float64(v.view.others.open),
		Local:   v.DataCentre == c.options.DataCentre,
		Penalty: v.view.doubt(now),
	}
}

package forwarding

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tanagerweir/tanagerweir/pkg/connection/placement"
	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
)

// place chooses the backend server of a new flow, nil for none. A suspected
// server is better than the one that was tried before, and that one better than
// none; a cold one comes last.
func (c *Core) place(now time.Duration, r directory.Route, f *flow) *server {
	servers := c.servers.byService[serviceOf(r, f.key)]
	c.draws++
	for _, accept := range [...]func(*server) bool{
		func(v *server) bool { return c.warm(now, v) && !f.tried(v) && !v.view.suspect(now) },
		func(v *server) bool { return c.warm(now, v) && !f.tried(v) },
		func(v *server) bool { return c.warm(now, v) },
		func(v *server) bool { return c.usable(now, v) && c.bears(now, v) },
	} {
		best := placement.NewBest(c.draws, c.options.Policy)
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
	present := !v.missing || now < v.lapsed
	return present && !v.Draining && !c.directory.Evacuated(v.DataCentre)
}

// warm says whether it may get as many as it has slots for.
func (c *Core) warm(now time.Duration, v *server) bool {
	return c.usable(now, v) && now >= v.coldUntil
}

const (
	// coldPause is the least time between two flows of one instance to a cold
	// backend server: rules count its requests by the second.
	coldPause = time.Second
	// coldShare is the part of a cold backend server's bound that is used.
	// Instances that don't hear each other may disagree on who else sends.
	coldShare = 0.5
)

// bears says whether a cold backend server bears a flow from this instance. Of
// all registered instances, as many as the bound allows send one each second.
func (c *Core) bears(now time.Duration, v *server) bool {
	service, ok := c.directory.Service(v.Service)
	if !ok || v.coldSent > 0 && now-v.coldSent < coldPause {
		return false
	}
	senders := int(coldShare * (service.ColdRate*c.options.ColdFactor + c.options.ColdSlack))
	own := senderRank(c.options.Name, v.ID)
	for _, i := range c.directory.Instances() {
		if i.Name != c.options.Name && senderRank(i.Name, v.ID) < own {
			senders--
		}
	}
	return senders > 0
}

// senderRank orders the instances for one backend server, alike everywhere.
func senderRank(instance, server string) uint64 {
	return xxhash.Sum64String(server + "\x00" + instance)
}

func (c *Core) candidate(now time.Duration, v *server) placement.Candidate {
	return placement.Candidate{
		Server:  v.ID,
		Slots:   v.Slots,
		Running: float64(v.view.running) + c.scale*v.view.others.running,
		Open:    float64(v.view.open) + c.scale*float64(v.view.others.open),
		Local:   v.DataCentre == c.options.DataCentre,
		Penalty: v.view.doubt(now),
	}
}

package forwarding

import (
	"cmp"
	"math"
	"slices"

	"github.com/tanagerweir/tanagerweir/pkg/connection/mechanism"
	"github.com/tanagerweir/tanagerweir/pkg/connection/placement"
)

// affinityFrom is the number of instances in a data centre from which on each prefers
// servers of its own. A report of 48 servers takes all that an instance may send in 0.25 s,
// so that with eight peers reports are about a second old, while a request lasts 50 ms.
const affinityFrom = 8

// assignAffinity sets the distance of each backend server from this instance.
//
// The servers of a service in a data centre form a ring, and the instances of the own
// data centre start at evenly spaced positions of it. Each instance prefers the servers
// that follow its position, so that a server's requests come from few instances, which
// know its load by their own flows.
func (c *Core) assignAffinity() {
	position, instances := c.ringPosition()
	c.instances = len(c.directory.Instances())
	state := affinityState{position: position, instances: instances, generation: c.servers.generation}
	if state == c.affinityState {
		return
	}
	c.affinityState, c.affinity = state, instances >= affinityFrom
	for _, servers := range c.servers.byService {
		for _, v := range servers {
			v.distance = 0
		}
		if !c.affinity || c.options.Off.Has(mechanism.ServerRing) {
			continue
		}
		inCentre := make(map[string]int)
		for _, v := range servers {
			inCentre[v.DataCentre]++
		}
		next := make(map[string]int)
		for _, v := range servers {
			offset := float64(next[v.DataCentre])/float64(inCentre[v.DataCentre]) - position
			if offset < 0 {
				offset++
			}
			v.distance = offset
			next[v.DataCentre]++
		}
	}
	c.rankServers()
}

// affinityState is what the distances of servers depend on.
type affinityState struct {
	position              float64
	instances, generation int
}

// rankServers groups the servers of each service by data centre, the own one first, and orders
// those of a group by the lowest score that they can have. For policies other than
// placement.Score nothing is known of scores beforehand.
func (c *Core) rankServers() {
	clear(c.servers.ranks)
	before := c.servers.groups
	c.servers.groups = make(map[centreService]*centreServers)
	for service, servers := range c.servers.byService {
		var groups []*centreServers
		for i, v := range servers {
			n := slices.IndexFunc(groups, func(g *centreServers) bool { return g.dataCentre == v.DataCentre })
			if n < 0 {
				n = len(groups)
				groups = append(groups, newGroup(centreService{dataCentre: v.DataCentre, service: hashOfService(service)}, before))
			}
			v.group = groups[n]
			k := rank{server: v, index: i, least: math.Inf(-1)}
			if c.options.Policy == nil {
				k.least = placement.Least(c.placeOf(v))
			}
			groups[n].ranks = append(groups[n].ranks, k)
			groups[n].slots = max(groups[n].slots, v.Slots)
		}
		own := c.ownSlots(hashOfService(service), before)
		for _, g := range groups {
			slices.SortFunc(g.ranks, func(a, b rank) int { return cmp.Or(cmp.Compare(a.least, b.least), cmp.Compare(a.index, b.index)) })
			g.own = own
			c.servers.groups[g.key] = g
		}
		slices.SortFunc(groups, func(a, b *centreServers) int {
			return cmp.Or(cmp.Compare(c.distanceTo(a), c.distanceTo(b)), cmp.Compare(a.dataCentre, b.dataCentre))
		})
		c.servers.ranks[service] = groups
	}
}

// newGroup returns a group without servers. What its data centre reported before stays.
func newGroup(key centreService, before map[centreService]*centreServers) *centreServers {
	g := &centreServers{dataCentre: key.dataCentre, key: key}
	if earlier, ok := before[key]; ok {
		g.reported = earlier.reported
	}
	return g
}

// ownSlots returns what was known of a service's slots in the own data centre.
func (c *Core) ownSlots(service uint32, before map[centreService]*centreServers) *ownSlots {
	if earlier, ok := before[centreService{c.options.DataCentre, service}]; ok {
		return earlier.own
	}
	return &ownSlots{}
}

// distanceTo returns 0 for the own data centre and 1 for others.
func (c *Core) distanceTo(g *centreServers) int {
	if g.dataCentre == c.options.DataCentre {
		return 0
	}
	return 1
}

// ringPosition returns this instance's position among those of its data centre, from 0 to
// 1, and their number. An instance that isn't registered yet counts as one of them.
func (c *Core) ringPosition() (position float64, instances int) {
	before, instances := 0, 1
	for _, i := range c.directory.Instances() {
		if i.DataCentre != c.options.DataCentre || i.Name == c.options.Name {
			continue
		}
		instances++
		if i.Name < c.options.Name {
			before++
		}
	}
	return float64(before) / float64(instances), instances
}

// averageOthers averages what other instances report of running requests over the servers
// of a service and data centre. An old report doesn't say which of them is busy now, but
// how busy they are on the whole, which decides whether flows leave the data centre.
func (c *Core) averageOthers() {
	if !c.affinity {
		return
	}
	for _, groups := range c.servers.ranks {
		for _, g := range groups {
			g.averageOthers()
			g.common = 0
			if !c.options.Off.Has(mechanism.MeanLoads) {
				g.common = c.reportScale * g.meanOthers / float64(max(g.slots, 1))
			}
		}
	}
}

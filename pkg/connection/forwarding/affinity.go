package forwarding

import "github.com/tanagerweir/tanagerweir/pkg/connection/mechanism"

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
	c.affinity = instances >= affinityFrom
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
	for _, servers := range c.servers.byService {
		clear(c.sums)
		for _, v := range servers {
			s := c.sums[v.DataCentre]
			c.sums[v.DataCentre] = loadSum{running: s.running + v.observed.others.running, servers: s.servers + 1}
		}
		for _, v := range servers {
			s := c.sums[v.DataCentre]
			v.meanOthers = s.running / float64(s.servers)
		}
	}
}

// loadSum is the sum of running requests over some servers.
type loadSum struct {
	running float64
	servers int
}

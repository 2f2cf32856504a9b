package forwarding

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
)

// senders knows whether this instance is one of those that send to a backend server while
// it is cold. The answers are kept, as ordering all instances takes too long for each packet.
type senders struct {
	// instances are the registered ones. They are read again after stale was set, and
	// generation counts their changes.
	instances  []directory.Instance
	stale      bool
	generation int
}

// sendsCold reports whether this instance is one of so many that send to the backend server
// while it is cold. The choice is the same everywhere: half of them are instances of the
// server's data centre, which have the most flows for it, and the others are any.
func (c *Core) sendsCold(v *server, count int) bool {
	s := &c.senders
	if s.stale || s.generation == 0 {
		instances := c.directory.Instances()
		if s.generation == 0 || !slices.Equal(instances, s.instances) {
			s.instances = instances
			s.generation++
		}
		s.stale = false
	}
	if v.sendersGeneration != s.generation || v.sendersCount != count {
		v.sendersGeneration, v.sendersCount = s.generation, count
		v.sends = c.chosen(v, count)
	}
	return v.sends
}

// chosen makes the choice of sendsCold.
func (c *Core) chosen(v *server, count int) bool {
	if count <= 0 {
		return false
	}
	local := (count + 1) / 2
	own := senderOrder(c.options.Name, v.ID)
	ownLocal := c.options.DataCentre == v.DataCentre
	var orders []uint64 // of other instances of the server's data centre
	for _, i := range c.senders.instances {
		if i.DataCentre == v.DataCentre && i.Name != c.options.Name {
			orders = append(orders, senderOrder(i.Name, v.ID))
		}
	}
	slices.Sort(orders)
	if ownLocal {
		local = min(local, len(orders)+1)
	} else {
		local = min(local, len(orders))
	}
	if before, _ := slices.BinarySearch(orders, own); ownLocal && before < local {
		return true
	}
	orders = orders[min(local, len(orders)):]
	before, _ := slices.BinarySearch(orders, own)
	for _, i := range c.senders.instances {
		if i.DataCentre != v.DataCentre && i.Name != c.options.Name && senderOrder(i.Name, v.ID) < own {
			before++
		}
	}
	return before < count-local
}

// senderOrder orders the instances for one backend server, in the same way everywhere.
func senderOrder(instance, server string) uint64 {
	return xxhash.Sum64String(server + "\x00" + instance)
}

package forwarding

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// senders knows the rank of this instance among all registered ones for each cold backend
// server. Ranks are kept, as ordering all instances takes too long for each packet.
type senders struct {
	// names are the registered instances' names. They are read again after stale was set,
	// and generation counts their changes.
	names      []string
	stale      bool
	generation int
}

// senderRank returns how many instances come before this one for the backend server: as
// many of the first ones as its bound allows send to it while it is cold. The order is the
// same everywhere.
func (c *Core) senderRank(v *server) int {
	if s := &c.senders; s.stale || s.generation == 0 {
		names := make([]string, 0, len(s.names))
		for _, i := range c.directory.Instances() {
			names = append(names, i.Name)
		}
		if s.generation == 0 || !slices.Equal(names, s.names) {
			s.names = names
			s.generation++
		}
		s.stale = false
	}
	if v.senderGeneration == c.senders.generation {
		return v.senderRank
	}
	own := senderOrder(c.options.Name, v.ID)
	v.senderRank, v.senderGeneration = 0, c.senders.generation
	for _, name := range c.senders.names {
		if name != c.options.Name && senderOrder(name, v.ID) < own {
			v.senderRank++
		}
	}
	return v.senderRank
}

// senderOrder orders the instances for one backend server, in the same way everywhere.
func senderOrder(instance, server string) uint64 {
	return xxhash.Sum64String(server + "\x00" + instance)
}

package condition

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Inspectors is how many instances query each backend server for its load.
const Inspectors = 2

// Designated reports whether self is among the instances that query the backend
// server for its load, which rendezvous hashing of both names selects. Instances
// with the same view of the members agree.
func Designated(self, backend string, members []string) bool {
	own, higher := rendezvousWeight(self, backend), 0
	for _, m := range members {
		if m != self && rendezvousWeight(m, backend) > own {
			higher++
		}
	}
	return higher < Inspectors && slices.Contains(members, self)
}

func rendezvousWeight(member, backend string) uint64 {
	return xxhash.Sum64String(member + "/" + backend)
}

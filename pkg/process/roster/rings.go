package roster

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// rings orders the members by hash, once for each ring, and finds the
// successors of self. All instances that have the same view compute the same
// order.
type rings struct {
	self       string
	changes    uint64
	neighbours []string
}

func newRings(self string) *rings { return &rings{self: self} }

// refresh recomputes the neighbours if the view has changed since the last
// call. The names are those of the members in the rings.
func (r *rings) refresh(changes uint64, aliveNames func() []string) {
	if r.changes == changes {
		return
	}
	r.changes = changes
	r.neighbours = r.neighbours[:0]
	names := aliveNames()
	for ring := range Rings {
		if next, ok := successor(byte(ring), r.self, names); ok && !slices.Contains(r.neighbours, next) {
			r.neighbours = append(r.neighbours, next)
		}
	}
}

// successor returns the name that follows self in the ring, or false if there
// is no other name.
func successor(ring byte, self string, names []string) (string, bool) {
	own := position(ring, self)
	best, found := "", false
	var smallestGap uint64
	for _, name := range names {
		if name == self {
			continue
		}
		if gap := position(ring, name) - own; !found || gap < smallestGap {
			best, smallestGap, found = name, gap, true
		}
	}
	return best, found
}

// position returns the place of a name in a ring; the ring's number is the
// salt of the hash.
func position(ring byte, name string) uint64 {
	return xxhash.Sum64(append([]byte{ring}, name...))
}

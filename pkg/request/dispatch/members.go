package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
)

// Turns of the instances at a cold backend server.
const (
	turnLength   = 2 * time.Second
	turnSendTime = turnLength / 2         // requests start in this part and finish in the rest
	clockMargin  = 100 * time.Millisecond // tolerated difference between two instances' clocks
)

// members holds the instances in this one's view, itself included.
type members struct {
	self  Member
	alive []string // sorted
	known []Member // sorted by name
}

func membersOf(self Member, alive, known []Member) members {
	m := members{self: self, known: slices.Clone(known)}
	for _, a := range alive {
		m.alive = append(m.alive, a.Name)
	}
	if !slices.Contains(m.alive, self.Name) {
		m.alive = append(m.alive, self.Name)
	}
	if !slices.Contains(m.known, self) {
		m.known = append(m.known, self)
	}
	slices.Sort(m.alive)
	slices.SortFunc(m.known, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return m
}

func (m members) equal(o members) bool {
	return slices.Equal(m.alive, o.alive) && slices.Equal(m.known, o.known)
}

// assignSlots assigns the slots of a service's backend servers to the instances
// round-robin, both in order of name, and returns for each backend server the
// slots of self. instances must be sorted and hold self. Instances with equal
// lists never share a slot.
func assignSlots(self string, instances []string, service string, backends []catalogue.Backend) [][]int {
	n := uint64(len(instances))
	holder := xxhash.Sum64String(service) % n
	own, _ := slices.BinarySearch(instances, self)
	assigned := make([][]int, len(backends))
	for i, b := range backends {
		for slot := range int(b.Slots) {
			if holder == uint64(own) {
				assigned[i] = append(assigned[i], slot)
			}
			holder = (holder + 1) % n
		}
	}
	return assigned
}

func (m members) knownNames() []string {
	names := make([]string, 0, len(m.known))
	for _, k := range m.known {
		names = append(names, k.Name)
	}
	return names
}

// turnOrder is an instance's position in the turns at one cold backend server.
type turnOrder struct {
	included bool // whether the instance takes turns at all
	position uint64
	count    uint64 // instances that take turns
}

// turnOrderFor returns this instance's position among those of the backend
// server's data centre, or among all where that has none. Dead instances count,
// so that instances that can't reach each other never send at the same time.
func (m members) turnOrderFor(b catalogue.Backend) turnOrder {
	local := make([]string, 0, len(m.known))
	for _, k := range m.known {
		if k.DataCentre == b.DataCentre {
			local = append(local, k.Name)
		}
	}
	if len(local) == 0 {
		local = m.knownNames()
	}
	count := uint64(len(local))
	own, ok := slices.BinarySearch(local, m.self.Name)
	return turnOrder{included: ok, count: count, position: (uint64(own) + xxhash.Sum64String(b.Name)) % count}
}

// isOwnTurn reports whether this instance alone may send now. clockMargin at both
// ends of a turn's sending time allows for clocks that differ.
func (t turnOrder) isOwnTurn(now time.Time) bool {
	if !t.included {
		return false
	}
	turn := uint64(now.UnixNano()) / uint64(turnLength)
	elapsed := time.Duration(uint64(now.UnixNano()) % uint64(turnLength))
	return turn%t.count == t.position && elapsed >= clockMargin && elapsed < turnSendTime-clockMargin
}

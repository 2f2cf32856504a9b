package flow

import (
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/version/health"

	"github.com/cespare/xxhash/v2"

	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
	"github.com/tanagerweir/tanagerweir/pkg/version/table"
)

// Condition is the condition of one backend server that isn't serving normally.
type Condition struct {
	// Backend is the backend server's name.
	Backend string
	State   health.State
	// Share is the part of its full share of flows that a cold backend server
	// takes, from 0 to 1.
	Share float64
}

// server is a backend server of the newest or an earlier catalogue.
type server struct {
	backend        catalogue.Backend
	salt           uint64 // of its service
	code           uint64 // names it in records, alike on all instances
	seed           uint64
	usable         bool // in the newest catalogue, in a data centre that takes part
	condition      Condition
	conditionSince time.Time
}

// registry numbers the backend servers, so that a cache entry needs only 16 bits
// for one. If a name moves to another service, it gets another number.
type registry struct {
	servers []server          // position 0 stands for none
	byCode  map[uint64]uint16 // positions in servers
}

func newRegistry() *registry {
	return &registry{servers: make([]server, 1), byCode: make(map[uint64]uint16)}
}

func codeOf(seed, salt uint64) uint64 { return table.Mix(seed ^ table.Mix(salt)) }

// number returns the number of a backend server, 0 when there are too many.
func (r *registry) number(b catalogue.Backend) uint16 {
	salt, seed := xxhash.Sum64String(b.Service), table.Seed(b.Name)
	code := codeOf(seed, salt)
	if i, ok := r.byCode[code]; ok {
		return i
	}
	if len(r.servers) > serverMask {
		return 0
	}
	i := uint16(len(r.servers))
	r.servers = append(r.servers, server{backend: b, salt: salt, code: code, seed: seed})
	r.byCode[code] = i
	return i
}

// placementOf returns the placement of a ring, whose backend servers it adds to
// the registry if necessary.
func (r *registry) placementOf(ring *table.Ring) placement {
	p := placement{ring: ring, servers: make([]uint16, len(ring.Backends()))}
	for i, b := range ring.Backends() {
		p.servers[i] = r.number(b)
	}
	return p
}

// placementOfSeeds returns the placement of a ring that holds only seeds. A seed
// that isn't in the registry gets number 0.
func (r *registry) placementOfSeeds(ring *table.Ring, salt uint64) placement {
	p := placement{ring: ring, servers: make([]uint16, len(ring.Seeds()))}
	for i, seed := range ring.Seeds() {
		p.servers[i] = r.byCode[codeOf(seed, salt)]
	}
	return p
}

// refresh updates the backend servers' state from a catalogue.
func (r *registry) refresh(c catalogue.Catalogue) {
	for i := range r.servers {
		r.servers[i].usable = false
	}
	for _, b := range c.Backends() {
		i := r.number(b)
		if i == 0 {
			continue
		}
		r.servers[i].backend = b
		r.servers[i].usable = c.TakesPart(b.DataCentre)
	}
}

// Package table maps flows to backend servers for one catalogue version.
//
// A Table holds one Ring for each service. A ring divides the space of flow
// hashes into buckets and assigns each bucket to one of the service's eligible
// backend servers by rendezvous hashing. The mapping is a pure function of the
// catalogue, so all instances that hold the same version decide alike, and adding
// or removing one backend server moves only its own share of the buckets.
//
// # Usage
//
//	t := table.New(current)
//	ring, ok := t.Ring(table.Frontend{Address: destination, Protocol: protocol})
//	backend, ok := ring.Backend(hash)
//	t = t.Next(newer) // computes only what changed
//
// The package does no I/O.
package table

import (
	"net/netip"

	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
)

// Frontend is the address and protocol at which callers reach a service.
type Frontend struct {
	Address  netip.AddrPort
	Protocol catalogue.Protocol
}

// Table maps the flows of all services at one catalogue version. It never
// changes after New and may be read from any goroutine.
type Table struct {
	version catalogue.Version
	order   catalogue.Order
	rings   map[Frontend]*Ring
}

// New computes the table of c.
func New(c catalogue.Catalogue) *Table { return (&Table{}).Next(c) }

// Next computes the table of c from t. The result equals New(c); rings that didn't
// change are shared with t.
func (t *Table) Next(c catalogue.Catalogue) *Table {
	next := &Table{version: c.Version(), order: c.Order(), rings: make(map[Frontend]*Ring, len(c.Services()))}
	eligible := make(map[string][]catalogue.Backend, len(c.Services()))
	for _, b := range c.Backends() {
		if b.State == catalogue.BackendActive && c.TakesPart(b.DataCentre) {
			eligible[b.Service] = append(eligible[b.Service], b)
		}
	}
	for _, s := range c.Services() {
		frontend := Frontend{Address: s.Address, Protocol: s.Protocol}
		previous := t.rings[frontend]
		if previous == nil || previous.service != s.Name {
			previous = newRing(s.Name)
		}
		next.rings[frontend] = previous.With(eligible[s.Name])
	}
	return next
}

// Version returns the catalogue version that t was computed from.
func (t *Table) Version() catalogue.Version { return t.version }

// Order returns the order of the catalogue that t was computed from, which grows
// with each version and each emergency mark.
func (t *Table) Order() catalogue.Order { return t.order }

// Ring returns the ring of the service at f, or false if there is none.
func (t *Table) Ring(f Frontend) (*Ring, bool) {
	r, ok := t.rings[f]
	return r, ok
}

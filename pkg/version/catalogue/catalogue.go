package catalogue

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// HistoryLimit is how many accepted operations a catalogue keeps. While an
// operation is among them, an operator whose answer was lost can find out that it
// was accepted.
const HistoryLimit = 512

// RemovalLimit is how many removals a catalogue keeps. A peer that missed an
// older one needs a full copy.
const RemovalLimit = 1_024

// Catalogue is the whole configuration at one version. The zero value is the
// empty configuration at version 0. Callers must not change returned slices.
type Catalogue struct {
	version     Version
	services    []Service
	classes     []Class
	backends    []Backend
	dataCentres []DataCentre
	history     []Operation
	removals    []Removal
	horizon     Version // see Parts.Horizon
	markSum     uint64  // sum of the mark numbers of all data centres, see Order
}

// Parts holds the contents of a catalogue, for conversions.
type Parts struct {
	Version     Version
	Services    []Service
	Classes     []Class
	Backends    []Backend
	DataCentres []DataCentre
	History     []Operation
	// Removals are the last ones, oldest first, up to RemovalLimit.
	Removals []Removal
	// Horizon is the version of the last removal that was dropped; differences
	// from earlier versions are incomplete.
	Horizon Version
}

// FromParts builds a catalogue from copies of the parts, with the objects sorted
// by name.
func FromParts(p Parts) Catalogue {
	return Catalogue{
		version:     p.Version,
		services:    sorted(p.Services),
		classes:     sorted(p.Classes),
		backends:    sorted(p.Backends),
		dataCentres: sorted(p.DataCentres),
		history:     slices.Clone(p.History),
		removals:    slices.Clone(p.Removals),
		horizon:     p.Horizon,
	}
}

// Parts returns the contents of c. The slices are those of c.
func (c Catalogue) Parts() Parts {
	return Parts{
		Version:     c.version,
		Services:    c.services,
		Classes:     c.classes,
		Backends:    c.backends,
		DataCentres: c.dataCentres,
		History:     c.history,
		Removals:    c.removals,
		Horizon:     c.horizon,
	}
}

// Version returns the version of c, 0 for the empty catalogue.
func (c Catalogue) Version() Version { return c.version }

// Services returns the services sorted by name.
func (c Catalogue) Services() []Service { return c.services }

// Classes returns the classes sorted by name.
func (c Catalogue) Classes() []Class { return c.classes }

// Backends returns the backend servers sorted by name.
func (c Catalogue) Backends() []Backend { return c.backends }

// DataCentres returns the data centres sorted by name.
func (c Catalogue) DataCentres() []DataCentre { return c.dataCentres }

// History returns the last accepted operations, oldest first.
func (c Catalogue) History() []Operation { return c.history }

// Removals returns the last removals, oldest first.
func (c Catalogue) Removals() []Removal { return c.removals }

// Digest returns a digest over every operation that led to c, 0 for the empty
// catalogue. Catalogues of one version with different digests have diverged
// histories.
func (c Catalogue) Digest() uint64 { return c.DigestAt(c.version) }

// DigestAt returns the digest at version v of c's history, 0 if the history
// doesn't contain that version.
func (c Catalogue) DigestAt(v Version) uint64 {
	for i := len(c.history) - 1; i >= 0; i-- {
		if c.history[i].Version == v {
			return c.history[i].Digest
		}
	}
	return 0
}

// Service returns the service of that name.
func (c Catalogue) Service(name string) (Service, bool) { return find(c.services, name) }

// Class returns the class of that name.
func (c Catalogue) Class(name string) (Class, bool) { return find(c.classes, name) }

// Backend returns the backend server of that name.
func (c Catalogue) Backend(name string) (Backend, bool) { return find(c.backends, name) }

// DataCentre returns the data centre of that name.
func (c Catalogue) DataCentre(name string) (DataCentre, bool) { return find(c.dataCentres, name) }

// Operation returns the accepted operation with that identifier.
func (c Catalogue) Operation(identifier string) (Operation, bool) {
	for _, o := range c.history {
		if o.Identifier == identifier {
			return o, true
		}
	}
	return Operation{}, false
}

// TakesPart reports whether the data centre of that name is in. One that the
// catalogue doesn't hold is out.
func (c Catalogue) TakesPart(dataCentre string) bool {
	d, ok := c.DataCentre(dataCentre)
	return ok && d.State == DataCentreIn
}

// WithService returns a copy of c that holds s in place of one of that name.
func (c Catalogue) WithService(s Service) Catalogue {
	c.services = withItem(c.services, s)
	return c
}

// WithoutService returns a copy of c that lacks the service of that name.
func (c Catalogue) WithoutService(name string) Catalogue {
	c.services = withoutItem(c.services, name)
	return c
}

// WithClass returns a copy of c that holds l in place of one of that name.
func (c Catalogue) WithClass(l Class) Catalogue {
	c.classes = withItem(c.classes, l)
	return c
}

// WithoutClass returns a copy of c that lacks the class of that name.
func (c Catalogue) WithoutClass(name string) Catalogue {
	c.classes = withoutItem(c.classes, name)
	return c
}

// WithBackend returns a copy of c that holds b in place of one of that name.
func (c Catalogue) WithBackend(b Backend) Catalogue {
	c.backends = withItem(c.backends, b)
	return c
}

// WithoutBackend returns a copy of c that lacks the backend server of that name.
func (c Catalogue) WithoutBackend(name string) Catalogue {
	c.backends = withoutItem(c.backends, name)
	return c
}

// WithDataCentre returns a copy of c that holds d in place of one of that name.
func (c Catalogue) WithDataCentre(d DataCentre) Catalogue {
	c.dataCentres = withItem(c.dataCentres, d)
	return c
}

// WithOperation returns a copy of c one version later, with o in its history.
func (c Catalogue) WithOperation(o Operation) Catalogue {
	o.Digest = chainDigest(c.Digest(), c.version+1, o)
	c.version++
	o.Version = c.version
	kept := c.history
	if len(kept) >= HistoryLimit {
		kept = kept[len(kept)-HistoryLimit+1:]
	}
	c.history = append(slices.Clone(kept), o)
	return c
}

func (c Catalogue) withRemoval(r Removal) Catalogue {
	if len(c.removals) >= RemovalLimit {
		c.horizon = c.removals[0].Version
	}
	c.removals = lastItems(append(slices.Clone(c.removals), r), RemovalLimit)
	return c
}

// chainDigest returns the digest of an operation accepted as version v after one
// with the digest previous.
func chainDigest(previous uint64, v Version, o Operation) uint64 {
	input := fmt.Sprintf("%d\x00%d\x00%s\x00%s\x00%d\x00%s", previous, v, o.Identifier, o.Author, o.At.UnixMilli(), o.Summary)
	return xxhash.Sum64String(input)
}

type keyed interface{ key() string }

func compareKey[T keyed](item T, name string) int {
	return strings.Compare(item.key(), name)
}

func sorted[T keyed](items []T) []T {
	copied := slices.Clone(items)
	slices.SortFunc(copied, func(a, b T) int { return strings.Compare(a.key(), b.key()) })
	return copied
}

func find[T keyed](items []T, name string) (T, bool) {
	i, ok := slices.BinarySearchFunc(items, name, compareKey[T])
	if !ok {
		var none T
		return none, false
	}
	return items[i], true
}

func withItem[T keyed](items []T, item T) []T {
	i, ok := slices.BinarySearchFunc(items, item.key(), compareKey[T])
	copied := slices.Clone(items)
	if ok {
		copied[i] = item
		return copied
	}
	return slices.Insert(copied, i, item)
}

func withoutItem[T keyed](items []T, name string) []T {
	i, ok := slices.BinarySearchFunc(items, name, compareKey[T])
	if !ok {
		return items
	}
	copied := slices.Clone(items)
	return slices.Delete(copied, i, i+1)
}

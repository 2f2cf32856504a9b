package catalogue

import (
	"fmt"
	"slices"
)

// Difference holds the changes from the catalogue at Base to the newer one from
// which it was taken. It also applies to any version between the two.
type Difference struct {
	Base Version
	// BaseDigest is the digest of the catalogue at Base.
	BaseDigest uint64
	// Parts holds the objects that changed since Base, with the removals,
	// operations, version and horizon of the newer catalogue.
	Parts Parts
}

// MismatchError says that a difference doesn't apply to the catalogue held.
type MismatchError struct {
	Held, Base             Version
	HeldDigest, BaseDigest uint64
}

// Error names the versions and digests of both.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("a difference from version %d (digest %x) doesn't apply to version %d (digest %x)",
		e.Base, e.BaseDigest, e.Held, e.HeldDigest)
}

// Since returns the difference from an older catalogue, or false if a full copy
// is needed: the older one is empty, too old or of a diverged history.
func (c Catalogue) Since(base Version, digest uint64) (Difference, bool) {
	if base == 0 || base > c.version || base < c.horizon || digest == 0 || c.DigestAt(base) != digest {
		return Difference{}, false
	}
	return Difference{
		Base:       base,
		BaseDigest: digest,
		Parts: Parts{
			Version:     c.version,
			Horizon:     c.horizon,
			Services:    filter(c.services, func(s Service) bool { return s.Changed > base }),
			Classes:     filter(c.classes, func(l Class) bool { return l.Changed > base }),
			Backends:    filter(c.backends, func(b Backend) bool { return b.Changed > base }),
			DataCentres: filter(c.dataCentres, func(d DataCentre) bool { return d.Changed > base }),
			Removals:    filter(c.removals, func(r Removal) bool { return r.Version > base }),
			History:     filter(c.history, func(o Operation) bool { return o.Version > base }),
		},
	}, true
}

// WithDifference applies d to c and returns the newer catalogue. The error is a
// *MismatchError if d doesn't apply to c.
func (c Catalogue) WithDifference(d Difference) (Catalogue, error) {
	if !d.fits(c) {
		return c, &MismatchError{Held: c.version, Base: d.Base, HeldDigest: c.Digest(), BaseDigest: d.BaseDigest}
	}
	next := c
	removals := filter(d.Parts.Removals, func(r Removal) bool { return r.Version > c.version })
	history := filter(d.Parts.History, func(o Operation) bool { return o.Version > c.version })
	for _, r := range removals {
		next = next.withoutRemoved(r)
	}
	next.services = withItems(next.services, d.Parts.Services)
	next.classes = withItems(next.classes, d.Parts.Classes)
	next.backends = withItems(next.backends, d.Parts.Backends)
	next.dataCentres = withItems(next.dataCentres, d.Parts.DataCentres)
	next.removals = lastItems(append(slices.Clone(c.removals), removals...), RemovalLimit)
	next.history = lastItems(append(slices.Clone(c.history), history...), HistoryLimit)
	next.horizon = d.Parts.Horizon
	next.version = d.Parts.Version
	return next, nil
}

// fits reports whether c is one of the versions from which d leads to the newest.
func (d Difference) fits(c Catalogue) bool {
	if c.version < d.Base || c.version >= d.Parts.Version || c.DigestAt(d.Base) != d.BaseDigest {
		return false
	}
	if c.version == d.Base {
		return true
	}
	newer := Catalogue{history: d.Parts.History}
	return newer.DigestAt(c.version) == c.Digest()
}

func (c Catalogue) withoutRemoved(r Removal) Catalogue {
	switch r.Kind {
	case KindService:
		return c.WithoutService(r.Name)
	case KindClass:
		return c.WithoutClass(r.Name)
	case KindBackend:
		return c.WithoutBackend(r.Name)
	case KindDataCentre:
	}
	return c
}

func filter[T any](items []T, wanted func(T) bool) []T {
	var kept []T
	for _, item := range items {
		if wanted(item) {
			kept = append(kept, item)
		}
	}
	return kept
}

func withItems[T keyed](items, changed []T) []T {
	for _, item := range changed {
		items = withItem(items, item)
	}
	return items
}

func lastItems[T any](items []T, limit int) []T {
	if len(items) <= limit {
		return items
	}
	return slices.Clone(items[len(items)-limit:])
}

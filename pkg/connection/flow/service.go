package flow

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
	"github.com/tanagerweir/tanagerweir/pkg/version/table"
)

const (
	epochLimit      = 32 // epochs of a service; one more makes all its buckets disputed
	bucketShift     = 48 // lowest bit of a fingerprint that belongs to the bucket number
	disputeWordBits = 64
	disputeWords    = table.MaxBuckets / disputeWordBits
)

// placement is a ring with the registry's numbers of its servers, in the ring's
// order.
type placement struct {
	ring    *table.Ring
	servers []uint16
}

// serverOf returns the number of a fingerprint's server, 0 for none.
func (p *placement) serverOf(fingerprint uint64) uint16 {
	i, ok := p.ring.Index(fingerprint)
	if !ok {
		return 0
	}
	return p.servers[i]
}

// service is the core's state of one service at one address.
type service struct {
	name     string
	frontend table.Frontend
	salt     uint64
	// base places flows on disputed buckets that have no record, active new flows.
	base            placement
	active          placement
	disputedBuckets []uint64 // one bit a bucket; nil if no bucket is disputed
	epochs          []Epoch
	allDisputed     bool
	digest          uint64 // of the epochs
	ejected         int    // servers whose condition is ejected
	counts          *ServiceCounts
}

func newService(s catalogue.Service, p placement) *service {
	return &service{
		name: s.Name, salt: xxhash.Sum64String(s.Name), base: p, active: p,
		counts: &ServiceCounts{Service: s.Name},
	}
}

// disputed reports whether a flow's bucket is disputed, so that instances may
// compute different servers for it.
func (s *service) disputed(fingerprint uint64) bool {
	if s.allDisputed {
		return true
	}
	if s.disputedBuckets == nil {
		return false
	}
	bucket := fingerprint >> bucketShift
	return s.disputedBuckets[bucket/disputeWordBits]&(1<<(bucket%disputeWordBits)) != 0
}

// dispute adds a set of backend servers to the epochs. The buckets for which it
// gives another server than the first epoch become disputed. It returns false if
// the set was known.
func (s *service) dispute(e Epoch) bool {
	if s.allDisputed || s.hasEpoch(e) {
		return false
	}
	if len(s.epochs) == 0 {
		s.addEpoch(epochOf(s.base.ring))
		if !slices.Equal(s.base.ring.Seeds(), s.active.ring.Seeds()) {
			s.addEpoch(epochOf(s.active.ring))
		}
		if s.hasEpoch(e) {
			return false
		}
	}
	if len(s.epochs) >= epochLimit {
		s.allDisputed, s.epochs, s.disputedBuckets = true, nil, nil
		s.digest = ^s.salt
		return true
	}
	s.disputeDifferences(s.active.ring.WithSeeds(e))
	s.addEpoch(e)
	return true
}

// disputeDifferences makes the buckets disputed for which a ring gives another
// server than the first epoch.
func (s *service) disputeDifferences(r *table.Ring) {
	if s.disputedBuckets == nil {
		s.disputedBuckets = make([]uint64, disputeWords)
	}
	first := s.active.ring
	if !slices.Equal(s.epochs[0], epochOf(first)) {
		first = first.WithSeeds(s.epochs[0])
	}
	for bucket := range uint64(table.MaxBuckets) {
		fingerprint := bucket << bucketShift
		if r.SeedAt(fingerprint) != first.SeedAt(fingerprint) {
			s.disputedBuckets[bucket/disputeWordBits] |= 1 << (bucket % disputeWordBits)
		}
	}
}

func (s *service) addEpoch(e Epoch) {
	s.epochs = append(s.epochs, e)
	s.digest ^= e.hash() ^ table.Mix(s.salt)
}

func (s *service) hasEpoch(e Epoch) bool {
	return slices.ContainsFunc(s.epochs, func(o Epoch) bool { return slices.Equal(o, e) })
}

func epochOf(r *table.Ring) Epoch {
	e := Epoch(slices.Clone(r.Seeds()))
	slices.Sort(e)
	return e
}

func (e Epoch) hash() uint64 {
	h := uint64(len(e))
	for _, seed := range e {
		h = table.Mix(h ^ seed)
	}
	return h
}

// without returns a copy of the epoch without one backend server.
func (e Epoch) without(seed uint64) Epoch {
	return slices.DeleteFunc(slices.Clone(e), func(o uint64) bool { return o == seed })
}

// baseIsActive reports whether unrecorded and new flows follow the same ring.
func (s *service) baseIsActive() bool { return s.base.ring == s.active.ring }

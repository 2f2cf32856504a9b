package table

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
)

// Ring sizes, as powers of two. There are only two sizes, chosen by the number of
// backend servers, because a change of the size moves most flows.
const (
	smallBits       = 12         // for at most smallMaxServers backend servers
	largeBits       = 16         // for more
	smallMaxServers = 8          // backend servers of a small ring
	hashBits        = 64         // bits of a flow's hash
	noBackend       = ^uint16(0) // value of a bucket without a backend server
)

// MaxBuckets is the number of buckets of the largest ring. A bucket of a smaller
// ring covers a contiguous range of these.
const MaxBuckets = 1 << largeBits

// Ring maps the flows of one service to backend servers. It never changes.
type Ring struct {
	service  string
	salt     uint64
	backends []catalogue.Backend // sorted by name
	seeds    []uint64            // of backends, for the rendezvous hash
	bits     int                 // buckets has 1<<bits elements, none without backends
	buckets  []uint16            // index in backends
}

// Service returns the name of the service that r maps.
func (r *Ring) Service() string { return r.service }

// Backends returns the backend servers that r maps to, sorted by name. Callers
// must not change them.
func (r *Ring) Backends() []catalogue.Backend { return r.backends }

// Seeds returns the Seed of each of Backends. Callers must not change them.
func (r *Ring) Seeds() []uint64 { return r.seeds }

// Seed returns the hash of a backend server's name, which represents it in every
// rendezvous hash.
func Seed(backend string) uint64 { return xxhash.Sum64String(backend) }

// Index returns the index in Backends for a flow's hash, or false if the service
// has no backend server. Only the highest bits of hash count.
func (r *Ring) Index(hash uint64) (int, bool) {
	if len(r.buckets) == 0 {
		return 0, false
	}
	chosen := r.buckets[hash>>(hashBits-r.bits)]
	return int(chosen), chosen != noBackend
}

// Backend returns the backend server for a flow's hash, or false if the service
// has none.
func (r *Ring) Backend(hash uint64) (catalogue.Backend, bool) {
	i, ok := r.Index(hash)
	if !ok {
		return catalogue.Backend{}, false
	}
	return r.backends[i], true
}

// SeedAt returns the Seed of the backend server for a flow's hash, 0 for none.
func (r *Ring) SeedAt(hash uint64) uint64 {
	i, ok := r.Index(hash)
	if !ok {
		return 0
	}
	return r.seeds[i]
}

// Best returns the index in Backends of the server with the highest rendezvous
// score for a flow's hash among those for which eligible returns true, or false
// if there is none.
func (r *Ring) Best(hash uint64, eligible func(int) bool) (int, bool) {
	if len(r.buckets) == 0 {
		return 0, false
	}
	bucket := hash >> (hashBits - r.bits)
	best, score := -1, uint64(0)
	for i, seed := range r.seeds {
		if !eligible(i) {
			continue
		}
		if s := r.score(bucket, seed); best < 0 || s > score {
			best, score = i, s
		}
	}
	return best, best >= 0
}

func newRing(service string) *Ring {
	return &Ring{service: service, salt: xxhash.Sum64String(service)}
}

// With returns the ring of the same service for other backend servers, which must
// be sorted by name; the ring keeps the slice. The result doesn't depend on r's
// backend servers.
func (r *Ring) With(backends []catalogue.Backend) *Ring {
	if slices.Equal(backends, r.backends) {
		return r
	}
	next := &Ring{service: r.service, salt: r.salt, backends: backends}
	next.seeds = make([]uint64, len(backends))
	for i, b := range backends {
		next.seeds[i] = Seed(b.Name)
	}
	next.allocateBuckets()
	next.assignBuckets(r)
	return next
}

// WithSeeds returns the ring of the same service for backend servers of which only
// the seeds are known; its Backends are zero values.
func (r *Ring) WithSeeds(seeds []uint64) *Ring {
	next := &Ring{service: r.service, salt: r.salt, seeds: seeds}
	next.backends = make([]catalogue.Backend, len(seeds))
	next.allocateBuckets()
	next.assignBuckets(r)
	return next
}

func (r *Ring) allocateBuckets() {
	r.bits = smallBits
	if len(r.seeds) > smallMaxServers {
		r.bits = largeBits
	}
	if len(r.seeds) > 0 {
		r.buckets = make([]uint16, 1<<r.bits)
	}
}

// assignBuckets chooses the server of every bucket. To save time it starts from
// the previous ring: the winner of a bucket, if it is still there, has to be
// compared with the added servers only.
func (r *Ring) assignBuckets(previous *Ring) {
	positions, added := r.compareSeeds(previous)
	usable := r.bits == previous.bits && len(previous.buckets) > 0
	for bucket := range r.buckets {
		incumbent := noBackend
		if usable && previous.buckets[bucket] != noBackend {
			incumbent = positions[previous.buckets[bucket]]
		}
		if incumbent == noBackend {
			r.buckets[bucket] = r.winner(uint64(bucket))
			continue
		}
		r.buckets[bucket] = r.winnerAgainstAdded(uint64(bucket), incumbent, added)
	}
}

// compareSeeds returns the index in r of each server of previous, noBackend for
// one that r lacks, and the indices of the servers that previous lacks.
func (r *Ring) compareSeeds(previous *Ring) (kept, added []uint16) {
	positions := make(map[uint64]uint16, len(r.seeds))
	for i, seed := range r.seeds {
		positions[seed] = uint16(i)
	}
	kept = make([]uint16, len(previous.seeds))
	for i, seed := range previous.seeds {
		kept[i] = noBackend
		if p, ok := positions[seed]; ok {
			kept[i] = p
			delete(positions, seed)
		}
	}
	for i, seed := range r.seeds {
		if _, ok := positions[seed]; ok {
			added = append(added, uint16(i))
		}
	}
	return kept, added
}

// winner returns the index of the server with the highest score for a bucket.
func (r *Ring) winner(bucket uint64) uint16 {
	best, score := noBackend, uint64(0)
	for i, seed := range r.seeds {
		if s := r.score(bucket, seed); best == noBackend || s > score {
			best, score = uint16(i), s
		}
	}
	return best
}

// winnerAgainstAdded returns the index of the winner among the incumbent and the
// added servers.
func (r *Ring) winnerAgainstAdded(bucket uint64, incumbent uint16, added []uint16) uint16 {
	if len(added) == 0 {
		return incumbent
	}
	best, score := incumbent, r.score(bucket, r.seeds[incumbent])
	for _, i := range added {
		if s := r.score(bucket, r.seeds[i]); s > score || s == score && i < best {
			best, score = i, s
		}
	}
	return best
}

// score is the rendezvous score of a server for a bucket.
func (r *Ring) score(bucket, seed uint64) uint64 {
	return Mix(seed ^ Mix(r.salt+bucket))
}

// Mix hashes v with the finaliser of MurmurHash3.
func Mix(v uint64) uint64 {
	v ^= v >> 33
	v *= 0xff51afd7ed558ccd
	v ^= v >> 33
	v *= 0xc4ceb9fe1a85ec53
	return v ^ v>>33
}

package flow

import (
	"math/bits"

	"github.com/tanagerweir/tanagerweir/pkg/version/table"
)

const (
	cacheWays       = 8  // entries in which one fingerprint can be kept
	serverBits      = 16 // bits of an entry's word that hold the backend server's number
	serverMask      = 1<<serverBits - 1
	fingerprintMask = ^uint64(serverMask)
	idleLimit       = 4 * 3600 // seconds without a packet after which an entry expires
	endedLimit      = 60       // seconds for which an ended flow is remembered
	steadyAfter     = 5        // seconds between two packets after which a flow counts as steady
	trustPeriod     = 30       // seconds for which an entry on a disputed bucket takes precedence
)

// Flags of a cache entry.
const (
	flagRecorded uint8 = 1 << iota // received as a record, or decided as owner
	flagCopied                     // the successor has a copy
	flagSteady                     // lasted for longer than a burst
	flagEnded                      // a packet that ends the flow was seen
)

// entry is one flow in the cache. Its word holds 48 bits of fingerprint and the
// 16-bit number of the backend server.
type entry struct {
	word        uint64
	seen        uint32 // when the last packet was seen, in Unix seconds
	flags       uint8
	passed      uint8  // packets passed on so that the owner records the flow
	lastSegment uint16 // hash of the last segment, see retransmits
}

func (e *entry) fingerprint() uint64     { return e.word & fingerprintMask }
func (e *entry) server() uint16          { return uint16(e.word & serverMask) }
func (e *entry) has(flag uint8) bool     { return e.flags&flag != 0 }
func (e *entry) expired(now uint32) bool { return now-e.seen > idleLimit && now > e.seen }

// cache is a bounded, set-associative map from fingerprints to backend
// servers. It allocates no memory after newCache. Times are Unix seconds.
type cache struct {
	entries []entry
	shift   int
}

// newCache returns a cache for limit entries, rounded up to a power of two.
func newCache(limit int) *cache {
	size := bits.Len(uint(max(limit, cacheWays) - 1))
	return &cache{
		entries: make([]entry, 1<<size),
		shift:   64 - (size - bits.Len(uint(cacheWays-1))),
	}
}

// set returns the entries in which a fingerprint can be kept.
func (c *cache) set(fingerprint uint64) []entry {
	if c.shift >= 64 {
		return c.entries
	}
	offset := table.Mix(fingerprint) >> c.shift * cacheWays
	return c.entries[offset : offset+cacheWays : offset+cacheWays]
}

// find returns the entry of a fingerprint, or nil if there is none or it expired.
func (c *cache) find(fingerprint uint64, now uint32) *entry {
	set := c.set(fingerprint)
	for i := range set {
		e := &set[i]
		if e.fingerprint() == fingerprint && e.server() != 0 {
			if e.expired(now) {
				return nil
			}
			return e
		}
	}
	return nil
}

// put stores a flow and returns its entry. It overwrites an entry of the same
// flow, or else evicts the entry with the lowest rank.
func (c *cache) put(fingerprint uint64, server uint16, now uint32) *entry {
	set := c.set(fingerprint)
	victim, lowest := &set[0], ^uint64(0)
	for i := range set {
		e := &set[i]
		if e.fingerprint() == fingerprint && e.server() != 0 {
			victim = e
			break
		}
		if rank := e.retentionRank(now); rank < lowest {
			victim, lowest = e, rank
		}
	}
	*victim = entry{word: fingerprint | uint64(server), seen: now}
	return victim
}

// retentionRank orders the entries of a set for eviction, the lowest first: free
// entries, ended flows, bursts, steady flows, recorded flows, which other
// instances rely on.
func (e *entry) retentionRank(now uint32) uint64 {
	if e.server() == 0 || e.expired(now) {
		return 0
	}
	class := uint64(2)
	switch {
	case e.has(flagEnded) && now-e.seen > endedLimit:
		class = 1
	case e.has(flagRecorded):
		class = 4
	case e.has(flagSteady):
		class = 3
	}
	return class<<32 | uint64(e.seen)
}

// touch updates the entry for a packet of the flow.
func (e *entry) touch(now uint32, ends bool) {
	if now > e.seen+steadyAfter {
		e.flags |= flagSteady
	}
	e.seen = now
	if ends {
		e.flags |= flagEnded
	}
}

// count returns how many flows the cache holds.
func (c *cache) count() int {
	n := 0
	for i := range c.entries {
		if c.entries[i].server() != 0 {
			n++
		}
	}
	return n
}

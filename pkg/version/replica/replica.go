// Package replica keeps one instance's copy of the platform's keys at one
// revision.
//
// A copy only moves forward. It remembers the latest changes, so that a peer
// that is a little behind gets just those, and everything otherwise.
//
// # Usage
//
//	r := replica.New()
//	changed := r.Reset(revision, items)
//	changed = r.Advance(replica.Batch{After: revision, Revision: 412, Changes: changes})
//	batch := r.Since(peerRevision)
package replica

import (
	"maps"
	"slices"
)

// keptChanges bounds the changes that are remembered for peers: a minute of a
// deployment in which a few keys change a second.
const keptChanges = 256

// Change is a key as it was written or deleted.
type Change struct {
	Key      string
	Value    []byte
	Revision uint64
	Deleted  bool
}

// Batch takes a copy from one revision to another.
type Batch struct {
	// After is the revision that the receiver must have reached.
	After uint64
	// Revision is the one that it then has.
	Revision uint64
	Changes  []Change
	// Whole says that Changes are all keys there are, and After has no meaning.
	Whole bool
}

// Replica is a copy of the platform's keys. It is not safe for use from several
// goroutines.
type Replica struct {
	revision uint64
	items    map[string]Change
	recent   []Change
	// floor is the revision from which on recent is complete.
	floor uint64
}

// New returns an empty copy at revision 0.
func New() *Replica { return &Replica{items: make(map[string]Change)} }

// Revision returns the revision of the copy, 0 before the first.
func (r *Replica) Revision() uint64 { return r.revision }

// Apply takes a batch and returns the changes that were new. It returns false
// if the batch begins after the copy's revision, which leaves the copy as it is.
func (r *Replica) Apply(b Batch) ([]Change, bool) {
	switch {
	case b.Revision <= r.revision:
		return nil, true
	case b.Whole:
		return r.replace(b), true
	case b.After > r.revision || r.revision == 0:
		return nil, false
	}
	var changed []Change
	for _, c := range b.Changes {
		if c.Revision <= r.revision {
			continue
		}
		r.put(c)
		changed = append(changed, c)
	}
	r.revision = b.Revision
	r.remember(changed)
	return changed, true
}

func (r *Replica) put(c Change) {
	if c.Deleted {
		delete(r.items, c.Key)
		return
	}
	r.items[c.Key] = c
}

// replace takes a whole copy; keys that it lacks were deleted meanwhile.
func (r *Replica) replace(b Batch) []Change {
	var changed []Change
	present := make(map[string]bool, len(b.Changes))
	for _, c := range b.Changes {
		present[c.Key] = true
		if old, ok := r.items[c.Key]; !ok || old.Revision < c.Revision {
			changed = append(changed, c)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(r.items)) {
		if !present[key] {
			changed = append(changed, Change{Key: key, Revision: b.Revision, Deleted: true})
		}
	}
	for _, c := range changed {
		r.put(c)
	}
	r.revision, r.floor, r.recent = b.Revision, b.Revision, nil
	return changed
}

func (r *Replica) remember(changed []Change) {
	r.recent = append(r.recent, changed...)
	if over := len(r.recent) - keptChanges; over > 0 {
		r.floor = r.recent[over-1].Revision
		r.recent = slices.Clone(r.recent[over:])
	}
}

// Since returns what brings a copy at that revision up to this one.
func (r *Replica) Since(revision uint64) Batch {
	if revision == 0 || revision < r.floor {
		return r.whole()
	}
	b := Batch{After: revision, Revision: r.revision}
	for _, c := range r.recent {
		if c.Revision > revision {
			b.Changes = append(b.Changes, c)
		}
	}
	return b
}

func (r *Replica) whole() Batch {
	b := Batch{Revision: r.revision, Whole: true}
	for _, key := range slices.Sorted(maps.Keys(r.items)) {
		b.Changes = append(b.Changes, r.items[key])
	}
	return b
}

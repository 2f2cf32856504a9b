// Package replica keeps one instance's copy of the platform's keys at one
// revision.
//
// The revision of a copy only grows. A copy keeps the latest changes, so that a
// peer that is a little behind is sent only these; any other peer is sent all
// keys.
//
// # Usage
//
//	r := replica.New()
//	changed, ok := r.Apply(replica.Batch{Revision: 400, Whole: true, Changes: items})
//	changed, ok = r.Apply(replica.Batch{After: 400, Revision: 412, Changes: changes})
//	batch := r.Since(peerRevision)
package replica

import (
	"maps"
	"slices"
)

// recentLimit is how many changes are kept for peers: about a minute of a
// deployment in which a few keys change each second.
const recentLimit = 256

// Change is one key as it was last written or deleted.
type Change struct {
	Key      string
	Value    []byte
	Revision uint64
	Deleted  bool
}

// Batch holds the changes that bring a copy from one revision to another.
type Batch struct {
	// After is the lowest revision at which a copy can apply the batch.
	After uint64
	// Revision is the copy's revision after that.
	Revision uint64
	Changes  []Change
	// Whole says that Changes holds all existing keys; After isn't used then.
	Whole bool
}

// Replica is a copy of the platform's keys. It is not safe for use from several
// goroutines.
type Replica struct {
	revision uint64
	items    map[string]Change
	recent   []Change // in order of revision
	// recentSince is the revision after which recent holds every change.
	recentSince uint64
}

// New returns an empty copy at revision 0.
func New() *Replica { return &Replica{items: make(map[string]Change)} }

// Revision returns the revision of the copy, 0 before the first batch.
func (r *Replica) Revision() uint64 { return r.revision }

// Apply applies a batch and returns the changes that were new. It returns false
// and leaves the copy unchanged if the batch starts after the copy's revision, or
// the copy is empty and the batch isn't a whole one. An older batch has no effect.
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
	r.keepRecent(changed)
	return changed, true
}

func (r *Replica) put(c Change) {
	if c.Deleted {
		delete(r.items, c.Key)
		return
	}
	r.items[c.Key] = c
}

// replace applies a whole batch; keys that it lacks have been deleted.
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
	r.revision, r.recentSince, r.recent = b.Revision, b.Revision, nil
	return changed
}

func (r *Replica) keepRecent(changed []Change) {
	r.recent = append(r.recent, changed...)
	if over := len(r.recent) - recentLimit; over > 0 {
		r.recentSince = r.recent[over-1].Revision
		r.recent = slices.Clone(r.recent[over:])
	}
}

// Since returns the batch that brings a copy at that revision up to this one's:
// the recent changes if they suffice, otherwise all keys.
func (r *Replica) Since(revision uint64) Batch {
	if revision == 0 || revision < r.recentSince {
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

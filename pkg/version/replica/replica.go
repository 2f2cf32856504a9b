// Package replica keeps one instance's copy of the platform's keys at one
// position: an era of the store and a revision in it.
//
// The position of a copy only grows. A copy keeps the latest changes, so that a
// peer that is a little behind is sent only these; any other peer is sent all
// keys.
//
// A store that was restored from an older copy of itself begins a new era and uses
// revisions again, so that revisions of different eras can't be compared. The first batch
// of a newer era replaces all keys.
//
// While a large change arrives, later changes of other keys can be applied early.
// They don't advance the copy's revision, since changes before them are missing, but
// the keys have their new values, and batches for peers include them.
//
// # Usage
//
//	r := replica.New()
//	changed, ok := r.Apply(replica.Batch{Revision: 400, Whole: true, Changes: items})
//	changed, ok = r.Apply(replica.Batch{After: 400, Revision: 412, Changes: changes})
//	changed = r.ApplyEarly(era, laterChanges)
//	batch := r.Since(peerPosition)
package replica

import (
	"bytes"
	"cmp"
	"encoding/base64"
	"maps"
	"slices"
	"time"
)

const (
	// recentLimit is how many changes are kept for peers: about a minute of a
	// deployment in which a few keys change each second.
	recentLimit = 256
	// minRecentBytes is how much of them is kept at least, also if all keys are smaller.
	// With changes that are larger than all keys, a peer is better sent these.
	minRecentBytes = 64 << 10
)

// Position is a revision in an era of the store. Era 0 is unknown and lower than any
// other.
type Position struct{ Era, Revision uint64 }

// Compare returns a negative number if p is before q, a positive one if it is after q,
// and 0 if they are equal.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// Lease is a lease of the store. Its number may be used again in another era.
type Lease struct {
	Number uint64
	Era    uint64
	// Lasts is the time after which the lease ends unless it is renewed.
	Lasts time.Duration
}

// Change is one key as it was last written or deleted.
type Change struct {
	Key      string
	Value    []byte
	Revision uint64
	Deleted  bool
	// Era is the era of the revision. A Replica sets it to the batch's.
	Era uint64
}

// Batch holds the changes that bring a copy from one revision to another.
type Batch struct {
	// After is the lowest revision at which a copy can apply the batch.
	After uint64
	// Revision is the copy's revision after that. Changes with a later revision are
	// early.
	Revision uint64
	Changes  []Change
	// Whole says that Changes holds all existing keys; After isn't used then.
	Whole bool
	// Era is the era of all revisions, 0 if unknown.
	Era uint64
}

// Position returns the copy's position after the batch.
func (b Batch) Position() Position { return Position{Era: b.Era, Revision: b.Revision} }

// Replica is a copy of the platform's keys. It is not safe for use from several
// goroutines.
type Replica struct {
	era, revision uint64
	items         map[string]Change
	recent        []Change // in order of revision
	// recentSince is the revision after which recent holds every change.
	recentSince uint64
	// early holds the last change of each key that was changed after revision.
	early       map[string]Change
	encodedSize int
}

// New returns an empty copy at revision 0.
func New() *Replica {
	return &Replica{items: make(map[string]Change), early: make(map[string]Change)}
}

// Revision returns the revision of the copy, 0 before the first batch.
func (r *Replica) Revision() uint64 { return r.revision }

// Position returns the position of the copy, the zero Position before the first batch.
func (r *Replica) Position() Position { return Position{Era: r.era, Revision: r.revision} }

// EarlyRevision returns the revision of the latest early change, 0 if there is none.
func (r *Replica) EarlyRevision() uint64 {
	latest := uint64(0)
	for _, c := range r.early {
		latest = max(latest, c.Revision)
	}
	return latest
}

// Apply applies a batch and returns the changes that were new. It returns false
// and leaves the copy unchanged if the batch starts after the copy's revision, is of an
// older era, or isn't a whole one with a revision although the copy is empty or of an older era. Of an
// older batch of the same era only the early changes have an effect.
//
// A batch of a newer era replaces all keys; the changes are then those whose value
// differs.
func (r *Replica) Apply(b Batch) ([]Change, bool) {
	b.Changes = withEra(b.Changes, b.Era)
	switch {
	case b.Era < r.era || b.Era > r.era && (!b.Whole || b.Revision == 0):
		return nil, false
	case b.Era > r.era:
		return r.replaceEra(b), true
	case b.Revision <= r.revision:
		return r.ApplyEarly(b.Era, b.Changes), true
	case b.Whole:
		return r.replace(b), true
	case b.After > r.revision || r.revision == 0:
		return nil, false
	}
	var changed []Change
	for _, c := range b.Changes {
		if r.isNew(c) {
			r.put(c)
			changed = append(changed, c)
		}
	}
	r.revision = b.Revision
	r.keepRecent(b.Changes)
	r.keepEarly(changed)
	return changed, true
}

// withEra returns a copy of changes with their era set.
func withEra(changes []Change, era uint64) []Change {
	changes = slices.Clone(changes)
	for i := range changes {
		changes[i].Era = era
	}
	return changes
}

// ApplyEarly applies changes that come after the copy's revision, although others
// before them may be missing, and returns those that were new. Changes of another era
// have no effect.
func (r *Replica) ApplyEarly(era uint64, changes []Change) []Change {
	if r.revision == 0 || era != r.era {
		return nil
	}
	var changed []Change
	for _, c := range withEra(changes, era) {
		if r.isNew(c) {
			r.put(c)
			changed = append(changed, c)
		}
	}
	r.keepEarly(changed)
	return changed
}

// isNew reports whether a change is later than what the copy has of its key.
func (r *Replica) isNew(c Change) bool {
	return c.Revision > r.revision && c.Revision > r.early[c.Key].Revision
}

// keepEarly adds the early ones of some changes, and drops those that aren't early
// any more.
func (r *Replica) keepEarly(changes []Change) {
	for _, c := range changes {
		r.early[c.Key] = c
	}
	maps.DeleteFunc(r.early, func(_ string, c Change) bool { return c.Revision <= r.revision })
}

func (r *Replica) put(c Change) {
	if old, ok := r.items[c.Key]; ok {
		r.encodedSize -= encodedSize(old)
	}
	if c.Deleted {
		delete(r.items, c.Key)
		return
	}
	r.items[c.Key] = c
	r.encodedSize += encodedSize(c)
}

// fieldOverhead is about how many bytes the names and numbers of an item have.
const fieldOverhead = 80

func encodedSize(c Change) int {
	return len(c.Key) + base64.StdEncoding.EncodedLen(len(c.Value)) + fieldOverhead
}

// replace applies a whole batch; keys that it lacks have been deleted, unless they were
// written early.
func (r *Replica) replace(b Batch) []Change {
	var changed []Change
	present := make(map[string]bool, len(b.Changes))
	for _, c := range b.Changes {
		present[c.Key] = true
		if c.Revision > max(r.items[c.Key].Revision, r.early[c.Key].Revision) {
			changed = append(changed, c)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(r.items)) {
		if !present[key] && r.items[key].Revision <= b.Revision {
			changed = append(changed, Change{Key: key, Revision: b.Revision, Deleted: true, Era: b.Era})
		}
	}
	for _, c := range changed {
		r.put(c)
	}
	r.revision, r.recentSince, r.recent = b.Revision, b.Revision, nil
	r.keepEarly(changed)
	return changed
}

// replaceEra replaces all keys by those of a whole batch of a newer era. Revisions can't
// be compared with the earlier ones, so that values are.
func (r *Replica) replaceEra(b Batch) []Change {
	before := r.items
	r.items, r.early, r.recent, r.encodedSize = make(map[string]Change, len(b.Changes)), make(map[string]Change), nil, 0
	r.era, r.revision, r.recentSince = b.Era, b.Revision, b.Revision
	var changed []Change
	for _, c := range b.Changes {
		old, existed := before[c.Key]
		delete(before, c.Key)
		r.put(c)
		if existed == c.Deleted || !c.Deleted && !bytes.Equal(old.Value, c.Value) {
			changed = append(changed, c)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(before)) {
		changed = append(changed, Change{Key: key, Revision: b.Revision, Deleted: true, Era: b.Era})
	}
	r.keepEarly(b.Changes)
	return changed
}

// keepRecent adds the changes up to the copy's revision to those that are kept for
// peers.
func (r *Replica) keepRecent(changes []Change) {
	last := r.recentSince
	if n := len(r.recent); n > 0 {
		last = r.recent[n-1].Revision
	}
	for _, c := range changes {
		if c.Revision > last && c.Revision <= r.revision {
			r.recent = append(r.recent, c)
		}
	}
	if over := r.recentOver(); over > 0 {
		r.recentSince = r.recent[over-1].Revision
		r.recent = slices.Clone(r.recent[over:])
	}
}

// recentOver returns how many of the kept changes are too many, or too large together. A
// configuration may have 1 MB, and 256 versions of it would fill an instance's memory.
func (r *Replica) recentOver() int {
	bytes := 0
	for i, c := range slices.Backward(r.recent) {
		bytes += encodedSize(c)
		if len(r.recent)-i > recentLimit || bytes > max(r.encodedSize, minRecentBytes) {
			return i + 1
		}
	}
	return 0
}

// EncodedSize returns about how many bytes all keys have as text, with values in base64.
func (r *Replica) EncodedSize() int { return r.encodedSize }

// Since returns the batch that brings a copy at that position up to this one's:
// the recent changes if they suffice, otherwise all keys, and the early changes. A copy
// of another era needs all keys.
func (r *Replica) Since(p Position) Batch {
	if p.Era != r.era || p.Revision == 0 || p.Revision < r.recentSince {
		return r.whole()
	}
	b := Batch{After: p.Revision, Revision: r.revision, Era: r.era}
	for _, c := range r.recent {
		if c.Revision > p.Revision {
			b.Changes = append(b.Changes, c)
		}
	}
	b.Changes = append(b.Changes, r.sortedEarly()...)
	return b
}

// sortedEarly returns the early changes, in order of revision.
func (r *Replica) sortedEarly() []Change {
	return slices.SortedFunc(maps.Values(r.early), func(a, b Change) int { return cmp.Compare(a.Revision, b.Revision) })
}

func (r *Replica) whole() Batch {
	b := Batch{Revision: r.revision, Whole: true, Era: r.era}
	for _, key := range slices.Sorted(maps.Keys(r.items)) {
		b.Changes = append(b.Changes, r.items[key])
	}
	for _, c := range r.sortedEarly() {
		if c.Deleted {
			b.Changes = append(b.Changes, c)
		}
	}
	return b
}

package listing

import (
	"context"
	"encoding/json"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"github.com/tanagerweir/tanagerweir/pkg/process/store"
)

type sinceReader interface {
	RangeSince(ctx context.Context, prefix string, since int64, keysOnly bool) (store.Changes, error)
}

// Follower keeps a copy of the list and updates it by reading only the entries that
// changed. It is not safe for use from several goroutines.
type Follower struct {
	reader     sinceReader
	entryByKey map[string]Entry
	revision   int64
}

// NewFollower returns a follower whose first Read reads the whole list.
func NewFollower(r sinceReader) *Follower {
	return &Follower{reader: r, entryByKey: make(map[string]Entry)}
}

// Read updates the copy and returns the whole list, sorted by name, in a new slice.
// An entry that can't be decoded keeps its last readable state.
func (f *Follower) Read(ctx context.Context) ([]Entry, error) {
	changes, err := f.reader.RangeSince(ctx, Prefix, f.revision+1, false)
	if err != nil {
		return nil, errors.Wrap(err, "read the platform's list")
	}
	if changes.Revision < f.revision {
		// The store was restored from an older copy, whose entries may differ at
		// revisions that were read before.
		f.entryByKey, f.revision = make(map[string]Entry), 0
		return f.Read(ctx)
	}
	for _, row := range changes.Entries {
		e := f.entryByKey[row.Key]
		if err := json.Unmarshal(row.Value, &e); err == nil || f.entryByKey[row.Key].Name == "" {
			f.entryByKey[row.Key] = e
		}
	}
	if int64(len(f.entryByKey)) != changes.Count {
		if err := f.prune(ctx); err != nil {
			return nil, err
		}
	}
	f.revision = changes.Revision
	return f.entries(), nil
}

// prune removes the entries that are no longer in the store. A store that was
// restored from a copy may contain entries that were never read; then prune fails,
// and the next Read reads everything again.
func (f *Follower) prune(ctx context.Context) error {
	present, err := f.reader.RangeSince(ctx, Prefix, 0, true)
	if err != nil {
		return errors.Wrap(err, "read the platform's list")
	}
	kept := make(map[string]Entry, len(present.Entries))
	for _, row := range present.Entries {
		e, ok := f.entryByKey[row.Key]
		if !ok {
			f.entryByKey, f.revision = make(map[string]Entry), 0
			return errors.New("the platform's list changed while it was read")
		}
		kept[row.Key] = e
	}
	f.entryByKey = kept
	return nil
}

func (f *Follower) entries() []Entry {
	entries := make([]Entry, 0, len(f.entryByKey))
	for _, e := range f.entryByKey {
		if e.Name != "" {
			entries = append(entries, e)
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return strings.Compare(a.Name, b.Name) })
	return entries
}

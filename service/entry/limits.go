package entry

import (
	"cmp"
	"slices"

	"github.com/go-faster/errors"

	"github.com/tanagerweir/tanagerweir/pkg/version/replica"
)

// maxRevision is the largest revision that a message may have, the largest integer that
// readers of JSON hold exactly. At 1,200 writes a second the store reaches it after 200,000
// years. A replica that took a larger one from a malformed message would ignore all further
// changes.
const maxRevision = 1 << 53

func checkRevisions(revisions ...uint64) error {
	for _, r := range revisions {
		if r > maxRevision {
			return errors.Errorf("revision %d is beyond any that the store can have", r)
		}
	}
	return nil
}

// checkBatch checks the revisions of a batch and of its changes. Changes since a revision
// are in order, as a replica keeps them for its peers in the order in which they come.
func checkBatch(b replica.Batch) error {
	if err := checkRevisions(b.After, b.Revision); err != nil {
		return err
	}
	for _, c := range b.Changes {
		if err := checkRevisions(c.Revision); err != nil {
			return errors.Wrapf(err, "change of key %q", c.Key)
		}
	}
	if !b.Whole && !slices.IsSortedFunc(b.Changes, func(x, y replica.Change) int { return cmp.Compare(x.Revision, y.Revision) }) {
		return errors.Errorf("changes after revision %d aren't in the order of their revisions", b.After)
	}
	return nil
}

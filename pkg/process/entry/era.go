package entry

import (
	"fmt"

	"github.com/tanagerweir/tanagerweir/pkg/process/logs"
	"github.com/tanagerweir/tanagerweir/pkg/version/replica"
)

// olderEraError is the error of a response of the store that is of an older era than the
// replica, so that it neither changes nor confirms it.
type olderEraError struct {
	response, own replica.Position
}

// Error returns both positions.
func (e *olderEraError) Error() string {
	return fmt.Sprintf("entry: the store answered with era %d, revision %d; the replica is at era %d, revision %d",
		e.response.Era, e.response.Revision, e.own.Era, e.own.Revision)
}

// beginEra records that a batch of a newer era has replaced the replica's content.
// Before is the replica's position before it.
//
// The replica's last confirmation stays: it is older than the restoration, and the restored
// keys are at least as new.
func (s *state) beginEra(before replica.Position, changed int, from string) {
	now := s.replica.Position()
	s.members.SetEra(now.Era)
	if before.Revision == 0 {
		return // the first batch
	}
	s.restorations.Add(1)
	s.log.WarnContext(logs.Always(), "Store: restored from an older copy; its content replaces the replica.",
		"EraBefore", before.Era, "RevisionBefore", before.Revision, "Era", now.Era, "Revision", now.Revision, "Changed", changed, "From", from)
}

package entry

import (
	"fmt"
	"slices"

	"github.com/tanagerweir/tanagerweir/pkg/process/logs"
	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
	"github.com/tanagerweir/tanagerweir/pkg/version/replica"
	"github.com/tanagerweir/tanagerweir/pkg/version/transition"
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

// beginEra puts the first keys of a newer era in force, which replaced the replica's
// content by these changes. Before is the replica's position before.
//
// The replica's last confirmation stays: it is older than the restoration, and the restored
// keys are at least as new.
func (s *state) beginEra(before replica.Position, changes []replica.Change, from string) {
	now := s.replica.Position()
	s.members.SetEra(now.Era)
	if before.Revision == 0 {
		s.translateLocked(changes, from)
		return
	}
	s.restorations.Add(1)
	next := s.transition.Restore(s.now(), now, s.readLocked(s.transition.Read(), changes, from))
	held := s.transition.Held()
	s.log.WarnContext(logs.Always(), "Store: restored from an older copy; its content replaces the replica.",
		"EraBefore", before.Era, "RevisionBefore", before.Revision, "Era", now.Era, "Revision", now.Revision, "Changed", len(changes), "From", from,
		"HeldServers", held.Servers, "MissingServers", held.Missing, "HeldDataCentres", held.DataCentres, "HeldInstances", held.Instances)
	s.adoptLocked(next, from)
}

// withoutDeletedLocked returns the directory in force without the entries that were
// deleted, or nil if there are none or nothing is held after a restoration.
func (s *state) withoutDeletedLocked(changes []replica.Change) *directory.Directory {
	if (s.transition.Held() == transition.Held{}) {
		return nil
	}
	deleted := slices.DeleteFunc(slices.Clone(changes), func(c replica.Change) bool { return !c.Deleted })
	if len(deleted) == 0 {
		return nil
	}
	without, _ := s.translate(s.directory, deleted) // problems were logged with all changes
	return &without
}

// expireTransition ends what was held for long enough after a restoration. It is called
// once in each ExchangePeriod.
func (s *state) expireTransition() {
	before := s.transition.Held()
	next, changed := s.transition.Expire(s.now())
	if !changed {
		return
	}
	held := s.transition.Held()
	s.log.InfoContext(logs.Always(), "Store: entries that weren't written again count as the restored copy has them.",
		"Servers", before.Servers-held.Servers, "Missing", before.Missing-held.Missing, "DataCentres", before.DataCentres-held.DataCentres,
		"Instances", before.Instances-held.Instances)
	s.adoptLocked(next, fromStore)
}

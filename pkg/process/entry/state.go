package entry

import (
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/clock"
	"github.com/tanagerweir/tanagerweir/pkg/process/logs"
	"github.com/tanagerweir/tanagerweir/pkg/process/membership"
	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
	"github.com/tanagerweir/tanagerweir/pkg/version/replica"
	"github.com/tanagerweir/tanagerweir/pkg/version/transition"
)

// state is what the instance knows about the platform and other instances: the
// replica of the store's keys, the directory read from it, and the members. Its
// methods may be called from any goroutine.
type state struct {
	translate Translate
	decider   *decider
	readiness *readiness
	log       *slog.Logger
	now       func() time.Duration

	mu      sync.Mutex
	replica *replica.Replica
	// transition holds the directory that the replica gives; directory is the one in
	// force, which differs for a while after the store was restored.
	transition *transition.Core
	directory  directory.Directory
	members    *membership.Core
	// registeredMembers are the instances that the directory in force holds.
	registeredMembers []membership.Member
	// era is that of the directory in force.
	era uint64
	// discarded is set from a panic until all keys are read from the store again.
	discarded bool
	// unusable counts the entries that couldn't be used.
	unusable atomic.Uint64
	// cutOff is set once it is logged that the instance reaches neither the store
	// nor instances that do.
	cutOff bool
	// restorations counts the newer eras that replaced the replica.
	restorations atomic.Uint64
}

// fromStore names the store as the sender of changes in logs.
const fromStore = "the store"

// cutOffAfter is the age of the replica's last confirmation from which on the
// instance counts as cut off: by then, other instances with a stale replica follow
// the store.
const cutOffAfter = 2500 * time.Millisecond

func newState(o Options, d *decider, r *readiness, now func() time.Duration) *state {
	self := membership.Member{Name: o.Name, DataCentre: o.DataCentre, Endpoint: o.Peers}
	members := membership.New(self, o.Seeds, o.Seed)
	members.SetBound(o.ChangeBound)
	return &state{
		translate: o.Translate, decider: d, readiness: r, log: o.Logger, now: now,
		replica: replica.New(), transition: transition.New(o.MaxStretch), directory: directory.New(), members: members,
	}
}

// revision returns the revision of the replica, 0 if it has none yet.
func (s *state) revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replica.Revision()
}

// position is how far a replica has come.
type position struct {
	replica.Position
	// early is the revision of the latest early change, 0 if there is none.
	early uint64
}

// covers reports whether a replica at this position has all that one at the other has.
func (p position) covers(other position) bool {
	if p.Era != other.Era {
		return p.Era > other.Era
	}
	return p.Revision >= other.Revision && max(p.Revision, p.early) >= other.early
}

// position returns how far the replica has come.
func (s *state) position() position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.positionLocked()
}

func (s *state) positionLocked() position {
	return position{Position: s.replica.Position(), early: s.replica.EarlyRevision()}
}

// size returns about how many bytes the store's response with all keys has.
func (s *state) size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replica.EncodedSize()
}

// progress records that the instance receives something from the store.
func (s *state) progress() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members.Progress(s.now())
}

// updateFollowing starts to follow the store if the replica is stale, and reports
// whether the instance follows.
func (s *state) updateFollowing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before, now := s.members.Following(), s.now()
	following := s.members.UpdateFollowing(now)
	if following && !before {
		s.log.InfoContext(logs.Always(), "Follower: begins to follow the store.",
			"ConfirmedAge", s.members.ConfirmedAge(now), "ConfirmedBy", s.members.ConfirmedBy(),
			"Follower", s.members.Follower(), "ReadAge", s.members.ReadAge(now), "ReadBy", s.members.ReadBy(), "Revision", s.replica.Revision())
	}
	return following
}

// confirm records that the replica was the newest at the given time.
func (s *state) confirm(confirmedAt time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members.Confirm(confirmedAt)
	s.decider.confirm(s.members.Confirmed())
}

// applyBatch applies a batch to the replica and the directory. It returns false if
// the batch can't be applied, see [replica.Replica.Apply]. From names the sender in logs.
func (s *state) applyBatch(b replica.Batch, from string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.applyLocked(b, from)
}

// applyEarly applies changes that come after the replica's revision, although others
// before them are missing. It reports whether any was new.
func (s *state) applyEarly(era uint64, changes []replica.Change, from string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	applied := s.replica.ApplyEarly(era, changes)
	s.orDiscardLocked(func() { s.translateLocked(applied, from) })
	return len(applied) > 0
}

func (s *state) applyLocked(b replica.Batch, from string) bool {
	if s.discarded && from != fromStore {
		return true
	}
	before := s.replica.Position()
	changes, ok := s.replica.Apply(b)
	if !ok {
		return false
	}
	afterDiscard := s.discarded
	s.discarded = false
	s.orDiscardLocked(func() {
		switch {
		case afterDiscard:
			s.readAgainLocked(changes, from)
		case s.replica.Position().Era != before.Era:
			s.beginEra(before, changes, from)
		default:
			s.translateLocked(changes, from)
		}
		s.era = s.replica.Position().Era
	})
	return true
}

// orDiscardLocked makes a step that changes the directory, and discards the replica if it
// panics.
func (s *state) orDiscardLocked(step func()) {
	done := false
	defer func() {
		if !done {
			s.discardLocked()
		}
	}()
	step()
	done = true
}

// translateLocked applies changes of the replica to the directory.
func (s *state) translateLocked(changes []replica.Change, from string) {
	if len(changes) == 0 {
		return
	}
	read := s.readLocked(s.transition.Read(), changes, from)
	if deleted := s.withoutDeletedLocked(changes); deleted != nil {
		s.adoptLocked(s.transition.Delete(s.now(), *deleted, read), from)
		return
	}
	s.adoptLocked(s.transition.Update(s.now(), read), from)
}

// readAgainLocked applies all keys after the replica was discarded. What is held after a
// restoration stays, and a configuration in force isn't replaced by an older one.
func (s *state) readAgainLocked(changes []replica.Change, from string) {
	now := s.replica.Position()
	s.members.SetEra(now.Era)
	read := s.readLocked(s.transition.Read().WithoutEntries(), changes, from)
	if now.Era > s.era {
		s.restorations.Add(1)
		s.adoptLocked(s.transition.Restore(s.now(), now, read), from)
		return
	}
	s.adoptLocked(s.transition.Update(s.now(), read), from)
}

// readLocked returns the directory that the replica gives after changes to an earlier one.
func (s *state) readLocked(before directory.Directory, changes []replica.Change, from string) directory.Directory {
	read, problems := s.translate(before, changes)
	s.unusable.Add(uint64(len(problems)))
	for _, p := range problems {
		s.log.Warn("Directory: an entry can't be used.", "Error", p, "From", from)
	}
	return read
}

// adoptLocked puts a directory in force.
func (s *state) adoptLocked(next directory.Directory, from string) {
	before := s.directory
	s.directory = next
	if s.registeredMembers == nil || !slices.Equal(next.Instances(), before.Instances()) {
		s.registeredMembers = membersOf(next)
	}
	s.members.SetRegistered(s.now(), s.registeredMembers)
	s.logChanges(before, next, from)
	s.decider.queueDirectory(next)
	if next.Version() > 0 && s.readiness.setConfigured() {
		s.log.InfoContext(logs.Always(), "Instance: ready.", "Version", next.Version(), "Revision", s.replica.Revision(), "After", s.now(), "From", from)
	}
}

// discardLocked discards the replica after a panic, as it has changes that the directory
// lacks. All keys are read again from the store, as the replica of another instance may be
// older than the discarded one; until then the last directory stays in force.
func (s *state) discardLocked() { s.replica, s.discarded = replica.New(), true }

// membersOf returns the registered instances as members, ordered by name.
func membersOf(d directory.Directory) []membership.Member {
	instances := d.Instances()
	members := make([]membership.Member, len(instances))
	for i, instance := range instances {
		members[i] = membership.Member{Name: instance.Name, DataCentre: instance.DataCentre, Endpoint: instance.Endpoint}
	}
	return members
}

// registered reports whether the replica contains exactly this registration. One that is
// only held after a restoration doesn't count.
func (s *state) registered(self directory.Instance) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.transition.Read().Instance(self.Name)
	return ok && found == self
}

// receiveHello handles another instance's hello, which reached the socket at the given
// time, and the changes sent with it, if any. It reports whether the changes advanced the replica, and whether the other
// instance's replica has still more.
func (s *state) receiveHello(at time.Duration, h membership.Hello, b *replica.Batch) (advanced, newer bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.positionLocked()
	if b != nil {
		s.applyLocked(*b, h.From.Name)
	}
	own := s.positionLocked()
	current := own.Era == h.Era && own.Revision > 0 && own.Revision >= h.Revision && h.Revision > 0
	following, confirmed := s.members.Following(), s.members.ConfirmedBy() != ""
	s.members.ReceiveHello(at, h, current)
	if !confirmed && s.members.ConfirmedBy() != "" {
		s.log.InfoContext(logs.Always(), "Instance: the replica is confirmed for the first time.",
			"ConfirmedAge", s.members.ConfirmedAge(at), "ConfirmedBy", s.members.ConfirmedBy(), "Revision", own.Revision, "After", at)
	}
	if following && !s.members.Following() {
		s.log.InfoContext(logs.Always(), "Follower: stops following the store, as another instance does.",
			"Other", h.From.Name, "Follower", h.Follower, "ReadAge", h.FollowerAge, "ConfirmedAge", s.members.ConfirmedAge(at))
	}
	s.decider.confirm(s.members.Confirmed())
	return !before.covers(own), !own.covers(positionOf(h))
}

// positionOf returns the position of the replica of a hello's sender.
func positionOf(h membership.Hello) position {
	return position{Position: replica.Position{Era: h.Era, Revision: h.Revision}, early: h.EarlyRevision}
}

// hello returns the instance's state for its peers.
func (s *state) hello() membership.Hello {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireTransition()
	h := s.members.Hello(s.now())
	s.logCutOff(h.ConfirmedAge)
	h.Revision, h.EarlyRevision = s.replica.Revision(), s.replica.EarlyRevision()
	h.Leaving = s.readiness.isStopping()
	return h
}

// logCutOff logs when the instance becomes cut off, and when that is over. Age is
// the time since the replica's last confirmation.
func (s *state) logCutOff(age clock.Age) {
	cutOff := age.Or(s.now()) > cutOffAfter
	switch {
	case cutOff && !s.cutOff:
		s.log.WarnContext(logs.Always(), "Instance: cut off from the store and from instances that reach it.",
			"ConfirmedAge", age, "Version", s.directory.Version(), "Revision", s.replica.Revision())
	case !cutOff && s.cutOff:
		s.log.InfoContext(logs.Always(), "Instance: the configuration is confirmed again.",
			"ConfirmedAge", age, "Version", s.directory.Version(), "Revision", s.replica.Revision())
	}
	s.cutOff = cutOff
}

// since returns the changes that bring a replica at the given position up to date.
func (s *state) since(p replica.Position) replica.Batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replica.Since(p)
}

// periodPeers returns the endpoints that get this period's message, at most limit of
// them in the own data centre. Each call begins a new period.
func (s *state) periodPeers(limit int) []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.PeriodPeers(limit)
}

// setSeeds replaces the endpoints that are contacted while no instance is known.
func (s *state) setSeeds(seeds []netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members.SetSeeds(seeds)
}

// pushTargets returns the endpoints to which a follower announces changes.
func (s *state) pushTargets() []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.PushTargets()
}

// dataCentrePeers returns the endpoints of the other instances of the data centre.
func (s *state) dataCentrePeers() []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.DataCentrePeers()
}

// askedPeers returns the endpoints of instances of a data centre that are asked about a
// backend server.
func (s *state) askedPeers(dataCentre string) []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.AskedPeers(s.now(), dataCentre)
}

// aliveInstances returns how many other instances of the data centre are alive.
func (s *state) aliveInstances() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.AliveCount(s.now())
}

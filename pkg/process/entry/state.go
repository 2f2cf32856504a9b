package entry

import (
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/process/logs"
	"github.com/tanagerweir/tanagerweir/pkg/process/membership"
	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
	"github.com/tanagerweir/tanagerweir/pkg/version/replica"
)

// state is what the instance knows of the platform and of other instances. Its
// methods may be called from any goroutine.
type state struct {
	translate Translate
	decider   *decider
	gate      *gate
	log       *slog.Logger
	now       func() time.Duration

	mu        sync.Mutex
	replica   *replica.Replica
	directory directory.Directory
	members   *membership.Core
	// alone says that the loss of the store and of those that reach it was told.
	alone bool
}

// aloneAfter is the age of the copy's last confirmation at which the instance
// counts as cut off: others that find theirs stale follow the store by then.
const aloneAfter = 2500 * time.Millisecond

func newState(o Options, d *decider, g *gate, now func() time.Duration) *state {
	self := membership.Member{Name: o.Name, DataCentre: o.DataCentre, Endpoint: o.Peers}
	return &state{
		translate: o.Translate, decider: d, gate: g, log: o.Logger, now: now,
		replica: replica.New(), directory: directory.New(), members: membership.New(self, o.Seeds, o.Seed),
	}
}

// revision returns the revision of the copy.
func (s *state) revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replica.Revision()
}

// follows says whether the instance is to follow the store.
func (s *state) follows() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.members.Following()
	age := s.members.ConfirmedAge(s.now())
	follows := s.members.Follows(s.now())
	if follows && !before {
		s.log.InfoContext(logs.Always(), "Follower: begins to follow the store.", "ConfirmedAge", age, "Revision", s.replica.Revision())
	}
	return follows
}

// confirm notes that the copy was the newest at that time.
func (s *state) confirm(at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members.Confirm(at)
	s.decider.confirm(at)
}

// take brings the copy forward. It returns false if the batch doesn't join on.
func (s *state) take(b replica.Batch, from string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.apply(b, from)
}

func (s *state) apply(b replica.Batch, from string) bool {
	changes, ok := s.replica.Apply(b)
	if !ok || len(changes) == 0 {
		return ok
	}
	before := s.directory
	next, problems := s.translate(before, changes)
	for _, p := range problems {
		s.log.Warn("Directory: an entry can't be used.", "Error", p, "From", from)
	}
	s.directory = next
	s.members.Know(s.now(), members(next))
	s.tell(before, next, from)
	s.decider.adopt(next)
	if next.Version() > 0 && s.gate.know() {
		s.log.InfoContext(logs.Always(), "Instance: ready.", "Version", next.Version(), "Revision", b.Revision, "After", s.now(), "From", from)
	}
	return true
}

func members(d directory.Directory) []membership.Member {
	instances := d.Instances()
	known := make([]membership.Member, len(instances))
	for i, instance := range instances {
		known[i] = membership.Member{Name: instance.Name, DataCentre: instance.DataCentre, Endpoint: instance.Endpoint}
	}
	return known
}

// registered says whether the copy holds the instance's own registration.
func (s *state) registered(i directory.Instance) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.directory.Instance(i.Name)
	return ok && found == i
}

// hear takes another instance's word. It says whether that brought the copy
// forward, and whether the other's is newer still.
func (s *state) hear(h membership.Hello, b *replica.Batch) (advanced, newer bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.replica.Revision()
	if b != nil {
		s.apply(*b, h.From.Name)
	}
	mine := s.replica.Revision()
	current := mine > 0 && mine >= h.Revision && h.Revision > 0
	following := s.members.Following()
	s.members.Hear(s.now(), h, current)
	if following && !s.members.Following() {
		s.log.InfoContext(logs.Always(), "Follower: leaves the store to another instance.", "Other", h.From.Name, "Follower", s.members.Follower())
	}
	s.decider.confirm(s.now() - s.members.ConfirmedAge(s.now()))
	return mine > before, h.Revision > mine
}

// hello returns what the instance says of itself.
func (s *state) hello() membership.Hello {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.members.Hello(s.now())
	s.tellAlone(h.ConfirmedAge)
	h.Revision = s.replica.Revision()
	h.Leaving = s.gate.isClosed()
	return h
}

// tellAlone logs when the instance is cut off, and when that is over.
func (s *state) tellAlone(age time.Duration) {
	switch alone := age > aloneAfter; {
	case alone && !s.alone:
		s.log.WarnContext(logs.Always(), "Instance: cut off from the store and from instances that reach it.",
			"ConfirmedAge", age, "Version", s.directory.Version(), "Revision", s.replica.Revision())
	case !alone && s.alone:
		s.log.InfoContext(logs.Always(), "Instance: the configuration is confirmed again.",
			"ConfirmedAge", age, "Version", s.directory.Version(), "Revision", s.replica.Revision())
	}
	s.alone = age > aloneAfter
}

// since returns what brings a copy at that revision up to this one.
func (s *state) since(revision uint64) replica.Batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replica.Since(revision)
}

// peers returns whom to tell in this period, of the own data centre at most as
// many as the limit.
func (s *state) peers(limit int) []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.Peers(limit)
}

// seed replaces the endpoints that are asked while no instance is known.
func (s *state) seed(seeds []netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members.Seed(seeds)
}

// told returns whom a follower tells what is new.
func (s *state) told() []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.Told()
}

// near returns the other instances of the data centre.
func (s *state) near() []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.Near()
}

// alive returns how many other instances of the data centre are alive.
func (s *state) alive() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.Alive(s.now())
}

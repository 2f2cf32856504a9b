// Package condition tracks the condition of each backend server as one instance
// sees it: serving, cold, leaving or ejected.
//
// Backend servers report their own load. Reports can be late or wrong, so what the
// instance's own requests show takes precedence. Instances exchange conditions as
// marks: each message carries a bounded number of them, mostly those that changed.
// Marks of one backend server have a total order, and the later one wins at every
// instance, so that an older view never returns. An ejection stays with the instance
// whose connections failed, since only its path to the server may be broken.
//
// Reports and failures together can take at most half of a service out of use:
// beyond that, the servers that went out last count as serving. Only servers that
// the platform lists as leaving can exceed the half.
//
// # Usage
//
//	core := condition.New("entry-1")
//	core.SetServices(serviceByBackend)
//	changes := core.Report(now, condition.Report{Backend: "board-1", Cold: true})
//	core.Merge(marksFromPeer)
//	for _, m := range core.Marks() { ... }
//
// A Core does no I/O and is not safe for concurrent use.
package condition

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/version/health"
)

// Limits of conditions and of the messages that carry them.
const (
	// MinColdTime is the shortest time for which a backend server stays cold,
	// whatever it reports: a report from before may still be on its way.
	MinColdTime = 3 * time.Second
	// FirstEjection is the length of a first ejection. Each further one lasts twice as
	// long as the one before it.
	FirstEjection = 10 * time.Second
	// MaxEjection is the length of the longest ejection.
	MaxEjection = 5 * time.Minute
	// MarksPerMessage is the most marks in one message.
	MarksPerMessage = 8
	// failuresToEject is how many connections in a row must fail before an
	// ejection.
	failuresToEject = 5
	// sendsPerChange is how many messages carry each changed mark.
	sendsPerChange = 24
	// rotatedPerMessage is how many further marks a message carries, of all in
	// rotation.
	rotatedPerMessage = 2
	// outDivisor bounds how much of a service may be out: one server in outDivisor.
	outDivisor = 2
)

// Report is the state that a backend server reports about itself.
type Report struct {
	Backend string
	Slots   uint32
	Busy    uint32
	Cold    bool
	Leaving bool
}

// Mark is the condition of one backend server as instances exchange it.
type Mark struct {
	Backend string
	State   health.State
	// Since is when the state began, by the clock of the instance that noticed it,
	// in whole milliseconds.
	Since time.Time
	// Sequence increases with every change of the backend server's state.
	Sequence uint64
}

// supersedes reports whether m is later than another mark of the same backend
// server. The order is total, so all instances agree on it.
func (m Mark) supersedes(other Mark) bool {
	return cmp.Or(cmp.Compare(m.Sequence, other.Sequence), cmp.Compare(m.State, other.State),
		m.Since.Compare(other.Since)) > 0
}

// Change is a change of a backend server's state and its cause, for the journal.
type Change struct {
	Mark  Mark
	Cause string
}

type server struct {
	mark Mark
	// sends counts the messages that carried the mark since its last change.
	sends int
	// listedLeaving is set while the platform lists the server as leaving.
	listedLeaving bool
	failuresInRow int
	// ejectedAt is when the current ejection began, zero for none.
	ejectedAt time.Time
	// ejectionTime is the length of the latest ejection, 0 after an answer.
	ejectionTime time.Duration
}

// Core is one instance's view of all backend servers.
type Core struct {
	name             string
	servers          map[string]*server
	serviceByBackend map[string]string
	// rotation is the index of the mark that was last sent in rotation.
	rotation int
	// changes increases whenever the result of Marks may have changed.
	changes uint64
}

// New returns a view in which every backend server is serving.
func New(name string) *Core {
	return &Core{name: name, servers: make(map[string]*server), changes: 1}
}

// ChangeCount returns a number that increases whenever the result of Marks may have
// changed.
func (c *Core) ChangeCount() uint64 { return c.changes }

// SetServices sets the service of each backend server and forgets backend servers that
// aren't in the map. The Core keeps the map.
func (c *Core) SetServices(serviceByBackend map[string]string) {
	c.serviceByBackend = serviceByBackend
	for name := range c.servers {
		if _, ok := serviceByBackend[name]; !ok {
			delete(c.servers, name)
		}
	}
	c.changes++
}

func (c *Core) server(name string) *server {
	s, ok := c.servers[name]
	if !ok {
		s = &server{mark: Mark{Backend: name}, sends: sendsPerChange}
		c.servers[name] = s
	}
	return s
}

// Report applies a backend server's report and returns the change of its state, if
// any.
func (c *Core) Report(now time.Time, r Report) []Change {
	next := health.Serving
	switch {
	case r.Leaving:
		next = health.Leaving
	case r.Cold:
		next = health.Cold
	}
	s := c.server(r.Backend)
	if s.mark.State == next || s.mark.State == health.Cold && next == health.Serving && now.Sub(s.mark.Since) < MinColdTime {
		return nil
	}
	return []Change{c.set(now, s, next, "its own report")}
}

func (c *Core) set(now time.Time, s *server, next health.State, cause string) Change {
	s.mark.State, s.mark.Since = next, now.Truncate(time.Millisecond)
	s.mark.Sequence++
	s.sends = 0
	c.changes++
	return Change{Mark: s.mark, Cause: cause}
}

// SetListedLeaving sets the backend servers that the platform lists as leaving, in
// place of the earlier ones, and returns the changes.
func (c *Core) SetListedLeaving(leaving []string) []Change {
	var changes []Change
	for _, name := range leaving {
		c.server(name)
	}
	for _, name := range c.backendNames() {
		s := c.servers[name]
		if listed := slices.Contains(leaving, name); listed != s.listedLeaving {
			s.listedLeaving = listed
			c.changes++
			changes = append(changes, Change{Mark: c.effective(s), Cause: "the platform's list"})
		}
	}
	return changes
}

// ConnectionFailed records that a connection to the backend server couldn't be opened,
// and returns its ejection if that follows.
func (c *Core) ConnectionFailed(now time.Time, backend string) []Change {
	s := c.server(backend)
	s.failuresInRow++
	if s.failuresInRow < failuresToEject || now.Before(s.ejectedAt.Add(s.ejectionTime)) {
		return nil
	}
	s.failuresInRow = 0
	s.ejectedAt, s.ejectionTime = now, min(max(2*s.ejectionTime, FirstEjection), MaxEjection)
	c.changes++
	return []Change{{Mark: Mark{Backend: backend, State: health.Ejected, Since: now}, Cause: "connections of this instance failed"}}
}

// RequestAnswered records that the backend server answered a request. An ejection in
// force then ends with the next Tick, and the next one has the first length again.
func (c *Core) RequestAnswered(backend string) {
	if s, ok := c.servers[backend]; ok {
		s.failuresInRow, s.ejectionTime = 0, 0
	}
}

// TurnedCold records that this instance's own requests show a cold start that the
// backend server didn't report. It changes a serving backend server only.
func (c *Core) TurnedCold(now time.Time, backend string) []Change {
	s := c.server(backend)
	if s.mark.State != health.Serving {
		return nil
	}
	return []Change{c.set(now, s, health.Cold, "requests of this instance met a cold start")}
}

// Tick ends the ejections whose time is over and returns the changes. A server that
// would be serving comes back cold.
func (c *Core) Tick(now time.Time) []Change {
	var changes []Change
	for _, name := range c.backendNames() {
		s := c.servers[name]
		if s.ejectedAt.IsZero() || now.Before(s.ejectedAt.Add(s.ejectionTime)) {
			continue
		}
		s.ejectedAt = time.Time{}
		c.changes++
		if s.mark.State == health.Serving {
			changes = append(changes, c.set(now, s, health.Cold, "an ejection is over"))
		}
	}
	return changes
}

// Merge applies the marks of a peer that are later than the known ones, and returns
// those that change a state.
func (c *Core) Merge(marks []Mark) []Mark {
	var changedMarks []Mark
	for _, m := range marks {
		if _, known := c.serviceByBackend[m.Backend]; !known && c.serviceByBackend != nil || m.State == health.Ejected {
			continue
		}
		s := c.server(m.Backend)
		if !m.supersedes(s.mark) {
			continue
		}
		changed := s.mark.State != m.State
		s.mark, s.sends = m, 0
		c.changes++
		if changed {
			changedMarks = append(changedMarks, m)
		}
	}
	return changedMarks
}

// State returns the condition of a backend server, Serving where none is known.
func (c *Core) State(backend string) health.State { return c.Mark(backend).State }

// Mark returns the mark of a backend server as Marks does, or the zero Mark.
func (c *Core) Mark(backend string) Mark {
	for _, m := range c.Marks() {
		if m.Backend == backend {
			return m
		}
	}
	return Mark{}
}

func (c *Core) backendNames() []string {
	names := make([]string, 0, len(c.servers))
	for name := range c.servers {
		names = append(names, name)
	}
	slices.SortFunc(names, strings.Compare)
	return names
}

// effective returns the mark of s with the platform's list and this instance's
// ejection applied, neither of which is sent to peers.
func (c *Core) effective(s *server) Mark {
	m := s.mark
	switch {
	case s.listedLeaving:
		m.State = health.Leaving
	case m.State != health.Leaving && !s.ejectedAt.IsZero():
		m.State, m.Since = health.Ejected, s.ejectedAt
	}
	return m
}

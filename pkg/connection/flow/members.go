package flow

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tanagerweir/tanagerweir/pkg/version/table"
)

const (
	slots       = 4_096 // parts into which the ownership of fingerprints is divided
	slotShift   = 16    // lowest bit of a fingerprint that belongs to the slot number
	copyTargets = 4     // owner and successor in the current and pending view
	noMember    = -1

	proposedLimit = 16 // proposed views that are remembered

	minHandover = 3 * time.Second  // shortest time for which a view is pending
	maxHandover = 60 * time.Second // longest time for which a view is pending
)

// Member is one instance that can be reached.
type Member struct {
	Name string
	// Leaving is true if the instance will stop and hands over what it owns.
	Leaving bool
}

// targets are the members that keep copies of a slot's records, as indexes or
// noMember.
type targets [copyTargets]int32

func (t targets) has(member int32) bool { return slices.Contains(t[:], member) }

// view is a set of members with the ownership of slots that results from it.
type view struct {
	hash    uint64   // 0 for a view without members
	members []int32  // in the order of succession
	owners  []uint16 // positions in members, by slot
}

// membership records which member owns which slot. An owner that can't be reached
// any more is skipped at once. A view with other members comes into force only
// after they have received the records that they need.
type membership struct {
	self         int32
	names        []string
	index        map[string]int32
	seeds        []uint64
	alive        []bool
	leaving      []bool
	current      view
	pending      view
	pendingSince time.Time
	// previous is the view before the current one.
	previous    view
	differences viewDifferences
	viewNumber  uint64 // of the current view
	proposed    []view // the last ones, to follow a peer that puts one in force first
	owner       []int32
	targets     []targets // the members that should have copies of records, by slot
	holders     []targets // the members that have them after the last whole round, by slot
}

func newMembership(self string) *membership {
	m := &membership{index: make(map[string]int32)}
	m.self = m.intern(self)
	m.alive[m.self] = true
	m.owner = make([]int32, slots)
	m.targets = make([]targets, slots)
	m.holders = make([]targets, slots)
	m.assign()
	copy(m.holders, m.targets)
	return m
}

func (m *membership) intern(name string) int32 {
	if i, ok := m.index[name]; ok {
		return i
	}
	i := int32(len(m.names))
	m.index[name] = i
	m.names = append(m.names, name)
	m.seeds = append(m.seeds, table.Mix(xxhash.Sum64String(name)))
	m.alive = append(m.alive, false)
	m.leaving = append(m.leaving, false)
	return i
}

// setReachable sets the members that can be reached. It returns false if nothing
// changed.
func (m *membership) setReachable(members []Member) bool {
	alive, leaving := slices.Clone(m.alive), slices.Clone(m.leaving)
	clear(m.alive)
	clear(m.leaving)
	m.alive[m.self] = true
	for _, n := range members {
		i := m.intern(n.Name)
		m.alive[i] = true
		m.leaving[i] = n.Leaving
	}
	return !slices.Equal(alive, m.alive) || !slices.Equal(leaving, m.leaving)
}

// others returns the names of the other members that can be reached, in order.
func (m *membership) others() []string {
	var names []string
	for i, name := range m.names {
		if m.alive[i] && int32(i) != m.self {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, strings.Compare)
	return names
}

// propose makes the view of the staying members that are eligible the pending one,
// unless it is already in force.
func (m *membership) propose(now time.Time, eligible func(name string) bool) {
	members := m.stayingMembers(eligible)
	next := m.newView(members)
	switch {
	case next.hash == m.pending.hash:
		return
	case next.hash == m.current.hash || len(members) == 0:
		m.pending = view{}
	default:
		m.pending = next
		m.pendingSince = now
		m.proposed = append(m.proposed, next)
		if len(m.proposed) > proposedLimit {
			m.proposed = slices.Delete(m.proposed, 0, 1)
		}
	}
	m.assign()
}

// adoptProposed puts a view in force that a peer has put in force first. It
// returns false if this instance hasn't proposed that view.
func (m *membership) adoptProposed(p Progress) bool {
	i := slices.IndexFunc(m.proposed, func(v view) bool { return v.hash == p.View })
	if i < 0 {
		return false
	}
	m.activate(m.proposed[i])
	m.viewNumber = p.ViewNumber
	return true
}

// currentNames returns the names of the current view's members in their order.
func (m *membership) currentNames() []string {
	names := make([]string, 0, len(m.current.members))
	for _, i := range m.current.members {
		names = append(names, m.names[i])
	}
	return names
}

// viewOfNames returns the view of the members with these names.
func (m *membership) viewOfNames(names []string) view {
	members := make([]int32, 0, len(names))
	for _, name := range names {
		members = append(members, m.intern(name))
	}
	return m.newView(members)
}

// activate puts a view in force at once.
func (m *membership) activate(v view) {
	if v.hash != m.current.hash {
		m.previous = m.current
	}
	m.current = v
	m.pending = view{}
	m.assign()
}

func (m *membership) newView(members []int32) view {
	v := view{members: members}
	slices.SortFunc(v.members, func(a, b int32) int {
		return cmp.Or(cmp.Compare(m.seeds[a], m.seeds[b]), strings.Compare(m.names[a], m.names[b]))
	})
	for _, i := range v.members {
		v.hash = table.Mix(v.hash ^ m.seeds[i])
	}
	if len(members) == 0 {
		return v
	}
	v.owners = make([]uint16, slots)
	for slot := range v.owners {
		v.owners[slot] = m.rendezvousWinner(v.members, table.Mix(uint64(slot)))
	}
	return v
}

func (m *membership) rendezvousWinner(members []int32, salt uint64) uint16 {
	best, score := 0, uint64(0)
	for k, i := range members {
		if s := table.Mix(m.seeds[i] ^ salt); s > score {
			best, score = k, s
		}
	}
	return uint16(best)
}

// firstReachable returns the first two members in a slot's order that can be
// reached, noMember for none.
func (m *membership) firstReachable(v view, slot int) (owner, successor int32) {
	owner, successor = noMember, noMember
	if len(v.members) == 0 {
		return owner, successor
	}
	start := int(v.owners[slot])
	for k := range v.members {
		i := v.members[(start+k)%len(v.members)]
		if !m.alive[i] {
			continue
		}
		if owner != noMember {
			return owner, i
		}
		owner = i
	}
	return owner, successor
}

// assign computes the owners and targets of all slots after a change.
func (m *membership) assign() {
	for slot := range m.owner {
		owner, successor := m.firstReachable(m.current, slot)
		nextOwner, nextSuccessor := m.firstReachable(m.pending, slot)
		m.owner[slot] = owner
		m.targets[slot] = targets{owner, successor, nextOwner, nextSuccessor}
	}
}

// viewDifferences records by which views peers find owners, besides the current
// one.
type viewDifferences struct{ pending, previous, unknown bool }

// ownedElsewhere reports whether, by the views that peers use at present, another
// member may be the owner of a slot.
func (m *membership) ownedElsewhere(slot int) bool {
	d := m.differences
	if d.unknown {
		return true
	}
	if owner, _ := m.firstReachable(m.pending, slot); d.pending && owner != m.self {
		return true
	}
	owner, _ := m.firstReachable(m.previous, slot)
	return d.previous && owner != m.self
}

// allCopied reports whether all targets have copies of the records of their slots.
func (m *membership) allCopied() bool {
	for slot := range m.targets {
		for _, t := range m.targets[slot] {
			if t != noMember && !m.holders[slot].has(t) {
				return false
			}
		}
	}
	return true
}

func slotOf(fingerprint uint64) int { return int(fingerprint>>slotShift) & (slots - 1) }

func (m *membership) ownerOf(fingerprint uint64) int32 { return m.owner[slotOf(fingerprint)] }

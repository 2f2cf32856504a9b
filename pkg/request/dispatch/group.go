package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/version/health"
)

// panicThreshold is the share of a service's servers above which ejections are
// ignored, and from which on reports of cold servers expire (coldReportMaxAge).
const panicThreshold = 0.5

// group holds one service's backend servers and classes.
type group struct {
	service        string
	servers        []*server     // by name
	classes        []*classState // by name
	borrowed       borrowing
	pass           float64   // virtual time of the last waiting request that started
	sharesUpdated  time.Time // when the classes' shares were last computed
	waitingChecked time.Time // when startWaiting last ran
}

// usable returns the servers that may get work now, after it has updated their
// phases. Ejections are ignored above the panic threshold, and reports are
// ignored if they take all servers away.
func (g *group) usable(now time.Time) []*server {
	ejected, excluded, cold := 0, 0, 0
	for _, s := range g.servers {
		if s.updateEjection(now) {
			ejected++
		}
		if takesNoWork(s.reported) {
			excluded++
		}
		if s.reported == health.Cold {
			cold++
		}
	}
	limit := panicThreshold * float64(len(g.servers))
	usable := make([]*server, 0, len(g.servers))
	for _, s := range g.servers {
		s.advance(now, float64(cold) >= limit)
		if takesNoWork(s.reported) && excluded < len(g.servers) {
			continue
		}
		if s.updateEjection(now) && float64(ejected) <= limit {
			continue
		}
		usable = append(usable, s)
	}
	return usable
}

func takesNoWork(reported health.State) bool {
	return reported == health.Leaving || reported == health.Ejected
}

// choose returns the server for the next attempt of a class and whether its slot
// is borrowed, or nil if no server has room. Repeatable requests prefer cold and
// ramping servers; others go there only if no warm server has a free slot.
func (g *group) choose(now time.Time, c *classState, random *rand.Rand) (*server, bool) {
	usable := g.usable(now)
	var warming, free, lending []*server
	for _, s := range usable {
		room := s.busy < s.allowed(now)
		switch {
		case room && s.phase == phaseCold && 2*c.work > turnSendTime:
			// The request might not end within the turn.
		case room && s.phase != phaseServing:
			warming = append(warming, s)
		case room:
			free = append(free, s)
		case s.canLend(now):
			lending = append(lending, s)
		}
	}
	if len(warming) > 0 && (c.class.Repeatable || len(free) == 0) {
		return lessLoaded(warming, random), false
	}
	if len(free) > 0 {
		return lessLoaded(free, random), false
	}
	if len(lending) > 0 && g.borrowed.busy < g.borrowed.allowed(now) {
		return lessLoaded(lending, random), true
	}
	return nil, false
}

// lessLoaded returns the less loaded of two randomly drawn servers.
func lessLoaded(servers []*server, random *rand.Rand) *server {
	first := servers[random.IntN(len(servers))]
	second := servers[random.IntN(len(servers))]
	if expectedWork(second) < expectedWork(first) {
		return second
	}
	return first
}

// expectedWork is the work time of the attempts in flight and one more.
func expectedWork(s *server) time.Duration { return time.Duration(s.busy+1) * s.usualTime }

// capacity returns how many attempts this instance may have in flight, with the
// slots that it may borrow.
func (g *group) capacity(now time.Time) int {
	total := 0
	borrowable := false
	for _, s := range g.usable(now) {
		total += s.allowed(now)
		borrowable = borrowable || s.canLend(now)
	}
	if borrowable {
		total += g.borrowed.allowed(now)
	}
	return total
}

// ownCapacity returns how many attempts this instance may have in flight without
// borrowing more slots than it has now.
func (g *group) ownCapacity(now time.Time) int {
	total := g.borrowed.busy
	for _, s := range g.usable(now) {
		total += s.allowed(now)
	}
	return total
}

// totalSlots returns the number of slots of all servers together.
func (g *group) totalSlots() int {
	total := 0
	for _, s := range g.servers {
		total += int(s.backend.Slots)
	}
	return total
}

// nextClass returns the class with the lowest pass among those with waiting
// requests, or nil.
func (g *group) nextClass() *classState {
	var chosen *classState
	for _, c := range g.classes {
		if len(c.waiting) > 0 && (chosen == nil || c.pass < chosen.pass) {
			chosen = c
		}
	}
	return chosen
}

// estimateWait estimates how long the last waiting request of a class waits:
// requests for which the class has credit (a pass below the group's) go first,
// the others at the rate of its share.
func (g *group) estimateWait(now time.Time, c *classState) time.Duration {
	capacity := g.capacity(now)
	if capacity == 0 {
		return time.Hour
	}
	shares := 0.0
	for _, other := range g.classes {
		if len(other.waiting) > 0 {
			shares += other.share
		}
	}
	work := c.work.Seconds()
	slots := float64(capacity)
	credited := min(float64(len(c.waiting)), max(0, g.pass-c.pass)*c.share/work)
	others := float64(len(c.waiting)) - credited
	wait := credited*work/slots + others*work/(slots*c.share/max(shares, c.share))
	return time.Duration(wait * float64(time.Second))
}

package emulation

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/emulation/day"
	"github.com/tanagerweir/tanagerweir/pkg/emulation/timeline"
)

// role says what stands at a place in the network.
type role uint8

const (
	instanceRole role = iota
	serverRole
	storeRole
	callerRole
)

// place is where something stands in the network.
type place struct {
	role   role
	name   string
	centre string
	// disturbances are the faults that affect it now, and calm is when the last
	// one ended.
	disturbances int
	calm         time.Duration
	// bytesPerSecond is its link's bandwidth, 0 for no limit, and linkFree when
	// what it sent before has left.
	bytesPerSecond float64
	linkFree       time.Duration
}

// undisturbed says whether no fault has affected the place for a time.
func (p *place) undisturbed(now, stable time.Duration) bool {
	return p.disturbances == 0 && now-p.calm >= stable
}

// never is before any time of a day.
const never = -time.Hour

// cut keeps packets from one place to another.
type cut struct{ blocks func(from, to *place) bool }

// network carries packets between places.
type network struct {
	line   *timeline.Timeline
	random *rand.Rand
	links  day.Links
	// lossy is the share that is lost between instances and backend servers.
	lossy float64
	cuts  []*cut
	// between counts the bytes between data centres.
	between int
}

// linkQueue is how long packets wait for a link before they are dropped.
const linkQueue = 500 * time.Millisecond

// reaches says whether nothing is cut on the way.
func (n *network) reaches(from, to *place) bool {
	return !slices.ContainsFunc(n.cuts, func(c *cut) bool { return c.blocks(from, to) })
}

func (n *network) delay(from, to *place) time.Duration {
	switch {
	case from.role == callerRole || to.role == callerRole:
		if from.centre != to.centre {
			return n.links.ToCallers + n.links.BetweenDataCentres
		}
		return n.links.ToCallers
	case from.role == storeRole || to.role == storeRole || from.centre == to.centre:
		return n.links.WithinDataCentre
	}
	return n.links.BetweenDataCentres
}

// datagram delivers some bytes, unless they are lost.
func (n *network) datagram(from, to *place, bytes int, deliver func()) {
	if !n.reaches(from, to) {
		return
	}
	loss := n.links.Loss
	if n.lossy > 0 && (from.role == instanceRole || to.role == serverRole) {
		loss = n.lossy
	}
	if loss > 0 && n.random.Float64() < loss {
		return
	}
	wait, ok := n.occupy(from, bytes)
	if !ok {
		return
	}
	if from.role != callerRole && to.role != callerRole && from.role != storeRole && to.role != storeRole && from.centre != to.centre {
		n.between += bytes
	}
	n.line.After(wait+n.delay(from, to), deliver)
}

// occupy takes the sender's link for some bytes. It returns how long they need to
// leave, and false if too much waits already.
func (n *network) occupy(from *place, bytes int) (time.Duration, bool) {
	if from.bytesPerSecond == 0 {
		return 0, true
	}
	now := n.line.Now()
	free := max(from.linkFree, now)
	if free-now > linkQueue {
		return 0, false
	}
	from.linkFree = free + time.Duration(float64(bytes)/from.bytesPerSecond*float64(time.Second))
	return from.linkFree - now, true
}

// streamRetry is the first time after which a stream sends again what wasn't
// acknowledged; it doubles.
const streamRetry = 200 * time.Millisecond

// stream delivers as a connection does: what can't get through now is sent again
// until the deadline.
func (n *network) stream(from, to *place, deadline time.Duration, deliver func()) {
	n.streamAgain(from, to, deadline, streamRetry, deliver)
}

func (n *network) streamAgain(from, to *place, deadline, wait time.Duration, deliver func()) {
	if n.reaches(from, to) && n.reaches(to, from) {
		n.line.After(n.delay(from, to), deliver)
		return
	}
	if n.line.Now()+wait < deadline {
		n.line.After(wait, func() { n.streamAgain(from, to, deadline, 2*wait, deliver) })
	}
}

// add puts a cut in force and returns what heals it.
func (n *network) add(blocks func(from, to *place) bool) (heal func()) {
	c := &cut{blocks: blocks}
	n.cuts = append(n.cuts, c)
	return func() { n.cuts = slices.DeleteFunc(n.cuts, func(other *cut) bool { return other == c }) }
}

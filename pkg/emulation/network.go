package emulation

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/emulation/day"
	"github.com/tanagerweir/tanagerweir/pkg/emulation/timeline"
)

// role is the part that a node plays in the deployment.
type role uint8

const (
	instanceRole role = iota
	serverRole
	storeRole
	callerRole
)

// node is an endpoint of the network: an instance, a backend server, the store, or
// the callers or the router of a data centre.
type node struct {
	role   role
	name   string
	centre string
	// disturbances is the number of faults that affect the node now, and
	// disturbedUntil the time when the last one ended.
	disturbances   int
	disturbedUntil time.Duration
	// bytesPerSecond is the bandwidth of the node's link, 0 for no limit, and
	// linkFree the time when all packets queued on the link have left.
	bytesPerSecond float64
	linkFree       time.Duration
	// inboundFree is the time when all streams that arrive have been received.
	inboundFree time.Duration
}

// undisturbed reports whether no fault has affected the node for a time.
func (n *node) undisturbed(now, stable time.Duration) bool {
	return n.disturbances == 0 && now-n.disturbedUntil >= stable
}

// beforeDay is a time long before the day begins.
const beforeDay = -time.Hour

// cut blocks packets from one node to another.
type cut struct{ blocks func(from, to *node) bool }

// network delivers packets between nodes.
type network struct {
	clock  *timeline.Timeline
	random *rand.Rand
	links  day.Links
	// instanceLoss is the share of the datagrams from instances that a fault loses,
	// 0 for no such fault.
	instanceLoss float64
	cuts         []*cut
	// bytesBetweenCentres counts the bytes sent between data centres.
	bytesBetweenCentres int
}

// linkBuffer is how much a link buffers, in time of its bandwidth; what comes beyond that
// is dropped.
const linkBuffer = 50 * time.Millisecond

// reaches reports whether no cut blocks packets in this direction.
func (n *network) reaches(from, to *node) bool {
	return !slices.ContainsFunc(n.cuts, func(c *cut) bool { return c.blocks(from, to) })
}

func (n *network) delay(from, to *node) time.Duration {
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

// sendDatagram delivers some bytes after the delay of the link, or loses them.
func (n *network) sendDatagram(from, to *node, bytes int, deliver func()) {
	if !n.reaches(from, to) {
		return
	}
	loss := n.links.Loss
	if n.instanceLoss > 0 && (from.role == instanceRole || to.role == serverRole) {
		loss = n.instanceLoss
	}
	if loss > 0 && n.random.Float64() < loss {
		return
	}
	wait, ok := n.queueOnLink(from, bytes)
	if !ok {
		return
	}
	if from.role != callerRole && to.role != callerRole && from.role != storeRole && to.role != storeRole && from.centre != to.centre {
		n.bytesBetweenCentres += bytes
	}
	n.clock.After(wait+n.delay(from, to), deliver)
}

// queueOnLink queues some bytes on the sender's link. It returns the time until they
// have left, or false if the queue is too long, in which case they are dropped.
func (n *network) queueOnLink(from *node, bytes int) (time.Duration, bool) {
	if from.bytesPerSecond == 0 {
		return 0, true
	}
	now := n.clock.Now()
	if from.linkFree-now > linkBuffer {
		return 0, false
	}
	from.linkFree = linkFreeAfter(now, from.linkFree, bytes, from.bytesPerSecond)
	return from.linkFree - now, true
}

// firstStreamRetry is the first retransmission timeout of a stream; it doubles with
// each retry.
const firstStreamRetry = 200 * time.Millisecond

// sendStream delivers a message as a TCP connection does: while either direction is
// cut, it is sent again until the deadline.
func (n *network) sendStream(from, to *node, deadline time.Duration, deliver func()) {
	n.trySendStream(from, to, deadline, firstStreamRetry, deliver)
}

func (n *network) trySendStream(from, to *node, deadline, wait time.Duration, deliver func()) {
	if n.reaches(from, to) && n.reaches(to, from) {
		n.clock.After(n.delay(from, to), deliver)
		return
	}
	if n.clock.Now()+wait < deadline {
		n.clock.After(wait, func() { n.trySendStream(from, to, deadline, 2*wait, deliver) })
	}
}

// streamWindow is how many bytes of a transfer are under way at a time: connections
// have small windows, so that transfers share a link in turn.
const streamWindow = 16 << 10

// delivery carries a long message over one connection, window by window.
type delivery struct {
	network  *network
	from, to *node
	// size is the length of the message in bytes, and sent how many of them have left.
	size, sent int
	// deadline returns the time at which the receiver gives up.
	deadline func() time.Duration
	// deliver is called with the number of bytes that have arrived so far.
	deliver func(arrived int)
}

// sendTransfer delivers a message of that many bytes at the rate of the two links.
func (n *network) sendTransfer(t delivery) {
	t.network = n
	t.next(firstStreamRetry)
}

// next sends the next window. While either direction is cut, it tries again until
// the deadline, first after the given time.
func (t delivery) next(retry time.Duration) {
	n := t.network
	now := n.clock.Now()
	reached := n.reaches(t.from, t.to) && n.reaches(t.to, t.from)
	if now >= t.deadline() || !reached && now+retry >= t.deadline() {
		return
	}
	if !reached {
		n.clock.After(retry, func() { t.next(2 * retry) })
		return
	}
	window := min(streamWindow, t.size-t.sent)
	t.from.linkFree = linkFreeAfter(now, t.from.linkFree, window, t.from.bytesPerSecond)
	t.to.inboundFree = linkFreeAfter(now, t.to.inboundFree, window, t.to.bytesPerSecond)
	left := max(t.from.linkFree, t.to.inboundFree, now)
	t.sent += window
	n.clock.At(left+n.delay(t.from, t.to), func() { t.deliver(t.sent) })
	if t.sent < t.size {
		n.clock.At(left, func() { t.next(firstStreamRetry) })
	}
}

// linkFreeAfter returns when a link that was to be free at the given time is free
// again after it has carried some more bytes.
func linkFreeAfter(now, free time.Duration, bytes int, bytesPerSecond float64) time.Duration {
	if bytesPerSecond == 0 {
		return free
	}
	return max(free, now) + time.Duration(float64(bytes)/bytesPerSecond*float64(time.Second))
}

// addCut puts a cut in force and returns a function that removes it.
func (n *network) addCut(blocks func(from, to *node) bool) (heal func()) {
	c := &cut{blocks: blocks}
	n.cuts = append(n.cuts, c)
	return func() { n.cuts = slices.DeleteFunc(n.cuts, func(other *cut) bool { return other == c }) }
}

// Package pacing keeps the packets that an instance sends within the bandwidth of its
// link.
//
// A link buffers little and drops what comes beyond that, so that one caller's upload
// can cost many others a packet, which they send again only after 200 ms. A Queue lets
// packets pass as long as the link keeps up, and holds back the others: those of one
// flow stay in order, and flows take turns, so that short requests don't wait behind
// uploads. What waits for too long is dropped, as callers have sent it again by then.
//
// # Usage
//
//	queue := pacing.New[datagram](bytesPerSecond)
//	if queue.Pass(now, len(packet)) {
//		send(packet)
//	} else if !queue.Add(now, flow, len(packet), copyOf(packet)) {
//		drop(packet)
//	}
//	for {
//		packet, ok := queue.Next(now)
//		...
//		wait(queue.Wait(now))
//	}
//
// A Queue does no I/O and is not safe for concurrent use.
package pacing

import "time"

const (
	// linkShare is the share of the bandwidth that packets get. The rest is left for
	// calls, messages and the links' own headers.
	linkShare = 0.9
	// burst is how much may be sent at once, in time of the link.
	burst = 20 * time.Millisecond // bursts of 80 ms lost packets
	// maxWait is how long a packet may wait: callers send again after 200 ms.
	maxWait = 200 * time.Millisecond
	// packetOverhead is the number of bytes that UDP and IP add to each packet.
	packetOverhead = 28
	// laneCount is the number of lanes that flows are spread over, a power of 2.
	laneCount = 64
	// maxItems bounds the items that wait. A link of 50 Mbit/s carries as many in
	// maxWait.
	maxItems = 1024
	// turn is how many bytes a lane may send before the next one, about one packet.
	turn = 1300
)

// Queue holds items that wait for a link. The zero value isn't usable; see New.
type Queue[T any] struct {
	// bytesPerSecond is what packets may use of the link, 0 for no limit.
	bytesPerSecond float64
	// freeAt is when the link will have carried all that was sent.
	freeAt time.Duration
	lanes  [laneCount]lane[T]
	// waiting are the lanes with items, in the order of their turns.
	waiting []int
	// count is the number of items that wait, and dropped that of items that waited
	// for too long.
	count   int
	dropped uint64
}

// lane holds the waiting items of some flows, oldest first.
type lane[T any] struct {
	items []item[T]
	// left is how many bytes the lane may still send in its turn.
	left int
}

type item[T any] struct {
	value T
	bytes int
	added time.Duration
}

// New returns an empty queue for a link of that bandwidth in bytes per second; 0 means
// that the link is never the limit.
func New[T any](bytesPerSecond float64) *Queue[T] {
	return &Queue[T]{bytesPerSecond: bytesPerSecond * linkShare}
}

// Pass reports whether a packet of that length may be sent now, past the queue. It then
// counts as sent.
func (q *Queue[T]) Pass(now time.Duration, bytes int) bool {
	if q.bytesPerSecond == 0 {
		return true
	}
	if len(q.waiting) > 0 || !q.linkFree(now) {
		return false
	}
	q.spend(now, bytes)
	return true
}

// linkFree reports whether the link has carried all but a burst.
func (q *Queue[T]) linkFree(now time.Duration) bool { return q.freeAt-now <= burst }

func (q *Queue[T]) spend(now time.Duration, bytes int) {
	sent := float64(bytes + packetOverhead)
	q.freeAt = max(q.freeAt, now) + time.Duration(sent/q.bytesPerSecond*float64(time.Second))
}

// Add adds an item, a packet of that length. Packets of flows with the same number keep
// their order. It returns false if too many items wait.
func (q *Queue[T]) Add(now time.Duration, flow uint64, bytes int, value T) bool {
	if q.count == maxItems {
		return false
	}
	q.count++
	n := int(flow % laneCount)
	l := &q.lanes[n]
	if len(l.items) == 0 {
		l.left = turn
		q.waiting = append(q.waiting, n)
	}
	l.items = append(l.items, item[T]{value: value, bytes: bytes, added: now})
	return true
}

// Next removes and returns the item to send now. It returns false if there is none yet;
// Wait says when to ask again.
func (q *Queue[T]) Next(now time.Duration) (value T, ok bool) {
	for len(q.waiting) > 0 && q.linkFree(now) {
		l := &q.lanes[q.waiting[0]]
		if l.left <= 0 {
			l.left += turn
			q.waiting = append(q.waiting[1:], q.waiting[0])
			continue
		}
		first := l.items[0]
		l.items = l.items[1:]
		q.count--
		l.left -= first.bytes
		if len(l.items) == 0 {
			l.items = nil
			q.waiting = q.waiting[1:]
		}
		if now-first.added > maxWait {
			q.dropped++
			continue
		}
		q.spend(now, first.bytes)
		return first.value, true
	}
	return value, false
}

// Wait returns how long to wait until the next item may be sent, and false if none
// waits.
func (q *Queue[T]) Wait(now time.Duration) (time.Duration, bool) {
	if len(q.waiting) == 0 {
		return 0, false
	}
	return max(q.freeAt-burst-now, 0), true
}

// Dropped returns how many items have waited for too long.
func (q *Queue[T]) Dropped() uint64 { return q.dropped }

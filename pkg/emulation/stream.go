package emulation

import (
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/emulation/day"
	"github.com/tanagerweir/tanagerweir/pkg/emulation/timeline"
)

// sender sends the bytes of one direction of a flow, and again until they are
// acknowledged.
type sender struct {
	line     *timeline.Timeline
	settings day.Callers
	// send sends some bytes from a position on.
	send func(sequence uint32, length int)
	// gaveUp is called after as many repetitions as the end allows, 0 for any.
	limit  int
	gaveUp func()
	// acknowledged, next and end are the positions up to which all was
	// acknowledged, was sent, and is to be sent.
	acknowledged, next, end uint32
	flight                  []chunk
	wait                    time.Duration
	repeats                 int
	timer                   *timeline.Timer
}

// chunk is the data of one packet in flight.
type chunk struct {
	sequence uint32
	length   int
}

func newSender(line *timeline.Timeline, settings day.Callers, at uint32, send func(sequence uint32, length int)) *sender {
	return &sender{line: line, settings: settings, send: send, acknowledged: at, next: at, end: at}
}

// write adds bytes.
func (s *sender) write(length int) {
	s.end += uint32(length)
	s.pump()
}

// pump sends what the window allows.
func (s *sender) pump() {
	for s.next != s.end && len(s.flight) < s.settings.Window {
		c := chunk{sequence: s.next, length: min(int(s.end-s.next), s.settings.PacketBytes)}
		s.flight = append(s.flight, c)
		s.next += uint32(c.length)
		s.send(c.sequence, c.length)
	}
	if s.timer == nil && len(s.flight) > 0 {
		s.wait, s.repeats = s.settings.SendAgain, 0
		s.arm()
	}
}

func (s *sender) arm() { s.timer = s.line.Timer(s.wait, s.again) }

// again sends everything in flight again.
func (s *sender) again() {
	s.repeats++
	if s.limit > 0 && s.repeats > s.limit {
		s.timer = nil
		s.gaveUp()
		return
	}
	for _, c := range s.flight {
		s.send(c.sequence, c.length)
	}
	s.wait = min(2*s.wait, s.settings.SendAgainMost)
	s.arm()
}

// acknowledge takes the other end's position.
func (s *sender) acknowledge(at uint32) {
	if int32(at-s.acknowledged) <= 0 {
		return
	}
	s.acknowledged = at
	for len(s.flight) > 0 && int32(at-s.flight[0].sequence)-int32(s.flight[0].length) >= 0 {
		s.flight = s.flight[1:]
	}
	s.stop()
	s.pump()
}

// stop sends nothing again.
func (s *sender) stop() {
	s.timer.Stop()
	s.timer = nil
}

// receiver puts the bytes of one direction in order and acknowledges them.
type receiver struct {
	line     *timeline.Timeline
	settings day.Callers
	// acknowledge sends an acknowledgement.
	acknowledge func()
	expected    uint32
	early       map[uint32]int
	unanswered  int
	timer       *timeline.Timer
}

func newReceiver(line *timeline.Timeline, settings day.Callers, at uint32, acknowledge func()) *receiver {
	return &receiver{line: line, settings: settings, acknowledge: acknowledge, expected: at}
}

// take takes a packet's data. Every second packet is acknowledged at once, and so
// is one that came before.
func (r *receiver) take(sequence uint32, length int) {
	ahead := int32(sequence - r.expected)
	if ahead > 0 {
		if r.early == nil {
			r.early = make(map[uint32]int)
		}
		r.early[sequence] = length
	}
	if ahead == 0 {
		r.expected += uint32(length)
		for length, ok := r.early[r.expected]; ok; length, ok = r.early[r.expected] {
			delete(r.early, r.expected)
			r.expected += uint32(length)
		}
	}
	r.unanswered++
	if ahead != 0 || r.unanswered >= 2 {
		r.answered()
		r.acknowledge()
		return
	}
	if r.timer == nil {
		r.timer = r.line.Timer(r.settings.AcknowledgeDelay, func() {
			r.answered()
			r.acknowledge()
		})
	}
}

// answered notes that a packet carries the acknowledgement.
func (r *receiver) answered() {
	r.unanswered = 0
	r.timer.Stop()
	r.timer = nil
}

package emulation

import (
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/emulation/day"
	"github.com/tanagerweir/tanagerweir/pkg/emulation/timeline"
)

// sender sends the bytes of one direction of a flow, and retransmits them until they
// are acknowledged. It models lengths only, not contents.
type sender struct {
	clock    *timeline.Timeline
	settings day.Callers
	// send sends a packet with some bytes from a sequence number on.
	send func(sequence uint32, length int)
	// gaveUp is called instead of a retransmission once maxRepeats of them in a row
	// weren't acknowledged. 0 means no limit.
	maxRepeats int
	gaveUp     func()
	// acknowledged, next and end are sequence numbers: all bytes before them were
	// acknowledged, were sent, and are to be sent.
	acknowledged, next, end uint32
	inFlight                []chunk
	repeatDelay             time.Duration
	repeats                 int
	timer                   *timeline.Timer
}

// chunk is the data of one packet in flight.
type chunk struct {
	sequence uint32
	length   int
}

func newSender(clock *timeline.Timeline, settings day.Callers, start uint32, send func(sequence uint32, length int)) *sender {
	return &sender{clock: clock, settings: settings, send: send, acknowledged: start, next: start, end: start}
}

// write appends bytes to what is to be sent.
func (s *sender) write(length int) {
	s.end += uint32(length)
	s.sendWindow()
}

// sendWindow sends as many packets as the window allows.
func (s *sender) sendWindow() {
	for s.next != s.end && len(s.inFlight) < s.settings.Window {
		c := chunk{sequence: s.next, length: min(int(s.end-s.next), s.settings.PacketBytes)}
		s.inFlight = append(s.inFlight, c)
		s.next += uint32(c.length)
		s.send(c.sequence, c.length)
	}
	if s.timer == nil && len(s.inFlight) > 0 {
		s.repeatDelay, s.repeats = s.settings.SendAgain, 0
		s.startTimer()
	}
}

func (s *sender) startTimer() { s.timer = s.clock.Timer(s.repeatDelay, s.repeat) }

// repeat retransmits all packets in flight and doubles the timeout.
func (s *sender) repeat() {
	s.repeats++
	if s.maxRepeats > 0 && s.repeats > s.maxRepeats {
		s.timer = nil
		s.gaveUp()
		return
	}
	for _, c := range s.inFlight {
		s.send(c.sequence, c.length)
	}
	s.repeatDelay = min(2*s.repeatDelay, s.settings.SendAgainMost)
	s.startTimer()
}

// acknowledge handles the acknowledgement of all bytes before a sequence number.
func (s *sender) acknowledge(sequence uint32) {
	if int32(sequence-s.acknowledged) <= 0 {
		return
	}
	s.acknowledged = sequence
	for len(s.inFlight) > 0 && int32(sequence-s.inFlight[0].sequence)-int32(s.inFlight[0].length) >= 0 {
		s.inFlight = s.inFlight[1:]
	}
	s.stop()
	s.sendWindow()
}

// stop cancels the retransmission timer.
func (s *sender) stop() {
	s.timer.Stop()
	s.timer = nil
}

// receiver puts the bytes of one direction of a flow in order and acknowledges them.
type receiver struct {
	clock    *timeline.Timeline
	settings day.Callers
	// acknowledge sends an acknowledgement on its own.
	acknowledge    func()
	expected       uint32
	early          map[uint32]int
	unacknowledged int
	timer          *timeline.Timer
}

func newReceiver(clock *timeline.Timeline, settings day.Callers, start uint32, acknowledge func()) *receiver {
	return &receiver{clock: clock, settings: settings, acknowledge: acknowledge, expected: start}
}

// receive handles the data of a packet. It acknowledges every second packet at once,
// and so every packet that is out of order or a duplicate.
func (r *receiver) receive(sequence uint32, length int) {
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
	r.unacknowledged++
	if ahead != 0 || r.unacknowledged >= 2 {
		r.acknowledgementSent()
		r.acknowledge()
		return
	}
	if r.timer == nil {
		r.timer = r.clock.Timer(r.settings.AcknowledgeDelay, func() {
			r.acknowledgementSent()
			r.acknowledge()
		})
	}
}

// acknowledgementSent records that a packet carries the pending acknowledgement.
func (r *receiver) acknowledgementSent() {
	r.unacknowledged = 0
	r.timer.Stop()
	r.timer = nil
}

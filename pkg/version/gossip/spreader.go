package gossip

import (
	"math/rand/v2"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
)

// anyKnownPeerInterval is one in how many comparisons goes to any known instance,
// including those that count as dead, so that healed partitions are detected.
const anyKnownPeerInterval = 8

// Message is one side of a comparison between two instances.
type Message struct {
	Digest Digest
	Update Update
}

// Empty reports whether m carries nothing but the digest.
func (m Message) Empty() bool {
	return m.Update.Difference == nil && m.Update.Full == nil && len(m.Update.Marks) == 0
}

// Spreader decides when an instance compares with which peer, and what the two
// send each other. It is not safe for use from several goroutines.
type Spreader struct {
	name       string
	core       *Core
	pace       *Pace
	random     *rand.Rand
	updateBase Digest // before the first of the recent updates
}

// NewSpreader returns the spreader of an instance of that name, without a
// catalogue.
func NewSpreader(name string, seed uint64) *Spreader {
	return &Spreader{name: name, core: New(), pace: NewPace(seed), random: rand.New(rand.NewPCG(seed, 1))}
}

// Core returns the catalogue and marks that the instance holds. Callers must
// change them through s only.
func (s *Spreader) Core() *Core { return s.core }

// Offer takes over a whole catalogue, as Core.Offer does.
func (s *Spreader) Offer(now time.Time, c catalogue.Catalogue) Outcome {
	before := s.core.Digest()
	return s.planUpdate(now, before, s.core.Offer(c))
}

// Apply applies an update, as Core.Apply does.
func (s *Spreader) Apply(now time.Time, u Update) Outcome {
	before := s.core.Digest()
	return s.planUpdate(now, before, s.core.Apply(u))
}

// AddMark numbers an operator's new emergency mark, adds it and returns it.
func (s *Spreader) AddMark(now time.Time, m catalogue.Mark) (catalogue.Mark, Outcome) {
	before := s.core.Digest()
	m.Number = s.core.MarkNumber(m.DataCentre, m.State)
	return m, s.planUpdate(now, before, Outcome{Changed: s.core.AddMark(m)})
}

// planUpdate schedules the sending of an update that has changed what the instance
// holds. before is the digest before the update.
func (s *Spreader) planUpdate(now time.Time, before Digest, o Outcome) Outcome {
	if o.Changed {
		if !s.pace.HasUpdate() {
			s.updateBase = before
		}
		s.pace.Updated(now)
	}
	return o
}

// Next returns the peer to compare with now, from the instances that are alive
// or, once in anyKnownPeerInterval, from all known ones. It returns false if no
// comparison is due or there is no peer.
func (s *Spreader) Next(now time.Time, alive, known []string) (string, bool) {
	if !s.pace.Due(now, s.core.Accepted().Version() == 0) {
		return "", false
	}
	peers := s.others(alive)
	if len(peers) == 0 || s.random.IntN(anyKnownPeerInterval) == 0 {
		peers = s.others(known)
	}
	if len(peers) == 0 {
		return "", false
	}
	return peers[s.random.IntN(len(peers))], true
}

func (s *Spreader) others(names []string) []string {
	others := make([]string, 0, len(names))
	for _, name := range names {
		if name != s.name {
			others = append(others, name)
		}
	}
	return others
}

// Due returns when the next comparison is due.
func (s *Spreader) Due() time.Time { return s.pace.Next() }

// Begin returns this instance's message for the comparison that Next chose. While
// there is a recent update, and bytes to send it, the message carries what a peer
// lacks that has everything but the recent updates.
func (s *Spreader) Begin() Message {
	m := Message{Digest: s.core.Digest()}
	if s.pace.CarriesUpdate() {
		m.Update, _ = s.core.UpdateFor(s.updateBase)
		m.Update.Full = nil
	}
	return m
}

// Compare takes a peer's message and returns the answer: this instance's digest
// and what the peer lacks.
func (s *Spreader) Compare(now time.Time, m Message) (Message, Outcome) {
	outcome := s.Apply(now, m.Update)
	answer := Message{Digest: s.core.Digest()}
	answer.Update, _ = s.core.UpdateFor(m.Digest)
	return answer, outcome
}

// Finish takes the answer to a comparison. If the peer still lacks something, it
// returns the message for a second comparison, and true.
func (s *Spreader) Finish(now time.Time, answer Message) (second Message, again bool, o Outcome) {
	o = s.Apply(now, answer.Update)
	second.Digest = s.core.Digest()
	second.Update, again = s.core.UpdateFor(answer.Digest)
	return second, again, o
}

// CountUpdateBytes subtracts bytes that were sent to carry an update from the budget.
func (s *Spreader) CountUpdateBytes(now time.Time, bytes int) { s.pace.CountUpdateBytes(now, bytes) }

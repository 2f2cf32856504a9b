package membership

import (
	"maps"
	"math/rand/v2"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/clock"
)

// Source identifies what one instance got from the store, however many others repeat it.
//
// The age in a message doesn't contain the time that the message takes. Instances that take
// over each other's ages, again and again, would keep something new for as long as they repeat
// it, the more so over slow links. By its source an instance recognises what it knew before.
type Source struct {
	// Start identifies one start of an instance, and is 0 if the source is unknown, as
	// instances of earlier versions don't say it.
	Start uint32
	// Number grows with each response, or each part of one, that this start got.
	Number uint32
}

// newStart returns the number of a start of the instance.
func newStart(name string, seed uint64) uint32 {
	const stream = 3
	return max(uint32(rankOf(name))^rand.New(rand.NewPCG(seed, stream)).Uint32(), 1)
}

const (
	// maxHeard is the number of starts from which on those that are old are forgotten, and
	// heardFor how long a start is remembered. Nobody tells of what is that old.
	maxHeard = 64
	heardFor = time.Minute
)

// heard holds the latest number of each start, and when that was.
type heard map[uint32]hearing

type hearing struct {
	number uint32
	at     clock.Time
}

// place returns the time of something that a message received now says was so long ago. If it
// was heard of before, it keeps the earliest time of all messages, and it is never later than
// what the same start got after it.
func (h heard) place(now time.Duration, s Source, age clock.Age) clock.Time {
	at := age.Before(now)
	if s.Start == 0 || !at.Known() {
		return at
	}
	known, ok := h[s.Start]
	if ok && s.Number <= known.number {
		at = clock.Earliest(at, known.at)
	}
	if !ok || s.Number >= known.number {
		h.forget(now)
		h[s.Start] = hearing{number: s.Number, at: at}
	}
	return at
}

// forget removes starts that weren't heard of for long if there are many.
func (h heard) forget(now time.Duration) {
	if len(h) >= maxHeard {
		maps.DeleteFunc(h, func(_ uint32, known hearing) bool { return !known.at.Age(now).AtMost(heardFor) })
	}
}

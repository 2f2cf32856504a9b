package requests

import (
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/request/claim"
)

// keyPlatform is the part of the platform's service that claims use. It is down
// for half of each outagePeriod, and calls are lost before or after they take
// effect, or take effect late.
type keyPlatform struct {
	world    *keyWorld
	revision int64
	entries  map[string]keyEntry
}

// keyEntry is the stored claim of a key.
type keyEntry struct {
	record    claim.Record
	revision  int64
	expiresAt time.Duration
}

func (p *keyPlatform) down() bool { return p.world.now%outagePeriod > outagePeriod/2 }

// call runs effect at once, late or not at all, as a random fault has it, and
// reports to answered whether the call was answered.
func (p *keyPlatform) call(effect func(), answered func(bool)) {
	w := p.world
	draw := w.random.Float64()
	switch {
	case p.down(), draw < faultShare:
		answered(false)
	case draw < 2*faultShare:
		effect()
		answered(false)
	case draw < 3*faultShare:
		w.after(time.Duration(w.random.Int64N(int64(maxWriteDelay))), effect)
		answered(false)
	default:
		effect()
		answered(true)
	}
}

// entry returns the entry of a key, and whether it exists and hasn't expired.
func (p *keyPlatform) entry(key string) (keyEntry, bool) {
	e, ok := p.entries[key]
	return e, ok && e.expiresAt > p.world.now
}

// put stores a record and returns its revision.
func (p *keyPlatform) put(key string, r claim.Record) int64 {
	p.revision++
	p.entries[key] = keyEntry{record: r, revision: p.revision, expiresAt: p.world.now + claim.ClaimLifetime + claim.LeaseRotation}
	return p.revision
}

// claim creates the key's entry. If it exists already or the call isn't answered,
// claim reads who holds the key.
func (p *keyPlatform) claim(key string, r claim.Record, receive func(claim.Result)) {
	won := false
	revision := int64(0)
	create := func() {
		if _, ok := p.entry(key); !ok {
			revision = p.put(key, r)
			won = true
		}
	}
	p.call(create, func(answered bool) {
		if answered && won {
			receive(claim.Result{Won: true, Revision: revision})
			return
		}
		p.read(key, receive)
	})
}

// read reads the entry of a key. A missing entry counts as no answer.
func (p *keyPlatform) read(key string, receive func(claim.Result)) {
	var e keyEntry
	var ok bool
	p.call(func() { e, ok = p.entry(key) }, func(answered bool) {
		if !answered || !ok {
			receive(claim.Result{Unanswered: true})
			return
		}
		receive(claim.Result{Record: e.record, Revision: e.revision})
	})
}

// followUp removes or replaces a key's entry if it still has the expected revision.
func (p *keyPlatform) followUp(f claim.FollowUp, done func()) {
	effect := func() {
		if e, ok := p.entry(f.Key); !ok || e.revision != f.Revision {
			return
		}
		if f.Remove {
			delete(p.entries, f.Key)
			return
		}
		p.put(f.Key, f.Record)
	}
	p.call(effect, func(bool) { done() })
}

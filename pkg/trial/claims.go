package trial

import (
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/request/claim"
)

// claimTimeout is how long an instance waits for the platform to answer a call
// on a claim.
const claimTimeout = 500 * time.Millisecond

// storedClaim is one claim as stored at the platform.
type storedClaim struct {
	record   claim.Record
	revision int64
}

// claim claims a key for n by compare-and-swap and calls receive exactly once
// unless n ends: with the result from the platform, or with Unanswered set after
// claimTimeout. If the answer to the write is lost, n reads which claim is
// stored.
func (p *Platform) claim(n *Node, key string, r claim.Record, receive func(claim.Result)) {
	done := false
	once := func(result claim.Result) func() {
		return n.guard(func() {
			if !done {
				done = true
				receive(result)
			}
		})
	}
	p.trial.after(claimTimeout, once(claim.Result{Unanswered: true}))
	if n.isolated > 0 {
		return
	}
	p.call(n.Centre, func() func() {
		stored, exists := p.claims[key]
		if exists {
			return once(claim.Result{Record: stored.record, Revision: stored.revision})
		}
		p.claimRevisions++
		p.claims[key] = storedClaim{record: r, revision: p.claimRevisions}
		won := claim.Result{Won: true, Revision: p.claimRevisions}
		if p.losesAnswers > 0 {
			p.call(n.Centre, func() func() {
				stored := p.claims[key]
				return once(claim.Result{Record: stored.record, Revision: stored.revision})
			})
			return nil
		}
		return once(won)
	})
}

// finishClaim writes the result of a request to its claim, or removes the
// claim, if the stored revision is unchanged. It calls followed after
// claimTimeout in any case.
func (p *Platform) finishClaim(n *Node, f claim.FollowUp, followed func()) {
	p.trial.after(claimTimeout, n.guard(followed))
	if n.isolated > 0 {
		return
	}
	p.call(n.Centre, func() func() {
		stored, exists := p.claims[f.Key]
		if !exists || stored.revision != f.Revision {
			return nil
		}
		if f.Remove {
			delete(p.claims, f.Key)
			return nil
		}
		p.claimRevisions++
		p.claims[f.Key] = storedClaim{record: f.Record, revision: p.claimRevisions}
		return nil
	})
}

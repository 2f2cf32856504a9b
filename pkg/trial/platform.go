package trial

import (
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/process/listing"
	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
)

const (
	platformDelay = 3 * time.Millisecond // of an answer of the healthy platform
	listLag       = time.Second          // age of the list that the healthy platform returns
)

// Platform is a fake of the platform's key-value service. It stores one
// configuration with its revision, the list and the claims.
type Platform struct {
	trial        *Trial
	stored       catalogue.Catalogue
	revision     int64
	down         int           // calls of Down that are still in effect
	slow         time.Duration // added to the delay of every call
	losesAnswers int           // calls of LoseAnswers that are still in effect
	lag          time.Duration // added to the age of the list
	lists        []listVersion // all published ones, oldest first
	// claims are those of keyed requests, by key. claimRevisions counts their
	// writes.
	claims         map[string]storedClaim
	claimRevisions int64
}

// listVersion is the list as it was published at a time.
type listVersion struct {
	at      time.Time
	entries []listing.Entry
}

// Down makes the platform answer no calls for d.
func (p *Platform) Down(d time.Duration) {
	p.down++
	p.trial.after(d, func() { p.down-- })
}

// Slow makes every call take longer, by the first duration, for d.
func (p *Platform) Slow(by, d time.Duration) {
	p.slow += by
	p.trial.after(d, func() { p.slow -= by })
}

// LoseAnswers makes writes take effect without an answer for d.
func (p *Platform) LoseAnswers(d time.Duration) {
	p.losesAnswers++
	p.trial.after(d, func() { p.losesAnswers-- })
}

// Lag makes the list older, by the first duration, for d.
func (p *Platform) Lag(by, d time.Duration) {
	p.lag += by
	p.trial.after(d, func() { p.lag -= by })
}

// call runs action at the platform for a caller at the given location, and runs
// the function that it returns back at that location. If the platform is down
// or action returns nil, no answer comes back.
func (p *Platform) call(from string, action func() func()) {
	p.trial.send(from, platformLocation, func() {
		if p.down > 0 {
			return
		}
		p.trial.after(platformDelay+p.slow, func() {
			if answer := action(); answer != nil {
				p.trial.send(platformLocation, from, answer)
			}
		})
	})
}

// read calls receive with the stored configuration and its revision.
func (p *Platform) read(from string, receive func(catalogue.Catalogue, int64)) {
	p.call(from, func() func() {
		c, revision := p.stored, p.revision
		return func() { receive(c, revision) }
	})
}

// swap stores next if the stored revision is the expected one, and calls
// receive with whether it did. Nothing is received if the answer is lost.
func (p *Platform) swap(from string, expected int64, next catalogue.Catalogue, receive func(swapped bool)) {
	p.call(from, func() func() {
		swapped := p.revision == expected
		if swapped {
			p.store(next)
		}
		if p.losesAnswers > 0 {
			return nil
		}
		return func() { receive(swapped) }
	})
}

func (p *Platform) store(next catalogue.Catalogue) {
	t := p.trial
	if next.Version() <= p.stored.Version() {
		t.violate(ConfigurationStands, "the stored version went from %d to %d", p.stored.Version(), next.Version())
	}
	p.stored = next
	p.revision++
	t.configurationAccepted(next)
	p.notify()
}

// notify sends the stored configuration to the instances that watch it.
func (p *Platform) notify() {
	t := p.trial
	c, revision := p.stored, p.revision
	for _, name := range t.instanceNames {
		n := t.nodes[name]
		if !n.alive || n.isolated > 0 || p.down > 0 || !n.watcher.Watching() {
			continue
		}
		t.after(p.slow, func() {
			t.send(platformLocation, n.Centre, n.guard(func() {
				n.offer(c, "platform")
				n.watcher.Read(revision)
			}))
		})
	}
}

// readList calls receive with the list as it was listLag ago, or longer ago
// while it lags.
func (p *Platform) readList(from string, receive func([]listing.Entry)) {
	p.call(from, func() func() {
		limit := p.trial.now.Add(-listLag - p.lag)
		var entries []listing.Entry
		for _, l := range p.lists {
			if !l.at.After(limit) {
				entries = l.entries
			}
		}
		return func() { receive(entries) }
	})
}

// publish stores the list as it is now.
func (p *Platform) publish(entries []listing.Entry) {
	p.lists = append(p.lists, listVersion{at: p.trial.now, entries: entries})
}

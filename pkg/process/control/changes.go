package control

import (
	"fmt"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
)

// maxJournalledChanges limits the journal entries about one configuration change,
// so that a large first configuration doesn't displace all other entries.
const maxJournalledChanges = 64

// journalChanges journals every object that changed after version since: its state
// now, and the operation that changed it.
func (c *Core) journalChanges(now time.Time, since catalogue.Version, next catalogue.Catalogue) {
	operations := make(map[catalogue.Version]catalogue.Operation)
	for _, o := range next.History() {
		operations[o.Version] = o
	}
	count := 0
	record := func(subject, action string, changed catalogue.Version) {
		if changed <= since || count >= maxJournalledChanges {
			return
		}
		count++
		o := operations[changed]
		c.journalDecision(now, subject, action, fmt.Sprintf("version %d by %s: %s", changed, o.Author, o.Reason))
	}
	for _, d := range next.DataCentres() {
		record(d.Name, d.State.String(), d.Changed)
	}
	for _, s := range next.Services() {
		record(s.Name, "Configured", s.Changed)
	}
	for _, l := range next.Classes() {
		record(l.Name, "Configured", l.Changed)
	}
	for _, b := range next.Backends() {
		record(b.Name, b.State.String(), b.Changed)
	}
}

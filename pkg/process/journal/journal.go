// Package journal stores an instance's latest decisions with their causes, so that
// operators can find out why it made them.
//
// # Usage
//
//	decisions := journal.New(journal.DefaultLimit)
//	decisions.Add(journal.Entry{At: now, Subject: "board-1", Action: "Ejected", Cause: "5 refused dials"})
//	for _, e := range decisions.About("board-1") { ... }
//
// The journal is bounded: a new entry replaces the oldest one when it is full.
package journal

import (
	"sync"
	"time"
)

// DefaultLimit is how many entries an instance keeps.
const DefaultLimit = 1_024

// Entry is one decision.
type Entry struct {
	At time.Time
	// Subject names the class, service, backend server or data centre, or is
	// "configuration".
	Subject string
	// Action says what was done, in Pascal case.
	Action string
	// Cause says why, in a short sentence.
	Cause string
}

// Journal is a bounded list of entries, safe for use from several goroutines.
type Journal struct {
	mu      sync.Mutex
	entries []Entry
	oldest  int
}

// New returns an empty journal for that many entries, at least one.
func New(limit int) *Journal {
	return &Journal{entries: make([]Entry, 0, limit)}
}

// Add adds e. Once the journal is full, e replaces the oldest entry.
func (j *Journal) Add(e Entry) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.entries) < cap(j.entries) {
		j.entries = append(j.entries, e)
		return
	}
	j.entries[j.oldest] = e
	j.oldest = (j.oldest + 1) % len(j.entries)
}

// About returns the entries about one subject, oldest first, in a new slice. An
// empty subject returns all entries.
func (j *Journal) About(subject string) []Entry {
	j.mu.Lock()
	defer j.mu.Unlock()
	var found []Entry
	for i := range j.entries {
		e := j.entries[(j.oldest+i)%len(j.entries)]
		if subject == "" || e.Subject == subject {
			found = append(found, e)
		}
	}
	return found
}

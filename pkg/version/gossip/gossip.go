// Package gossip spreads catalogue versions and emergency marks between
// instances.
//
// A Core holds the newest catalogue that its instance has received and the marks
// that this catalogue doesn't reflect yet. Two instances compare digests, and the
// one that holds more sends an Update: a difference if the other's version is in
// its history, and a full copy if the other has no catalogue, an older one than
// the history covers, or one of a diverged history. The version never decreases,
// and no older mark replaces a newer one.
//
// # Usage
//
//	core := gossip.New()
//	core.Offer(fromPlatform)
//	if update, ok := core.UpdateFor(peerDigest); ok {
//		send(update)
//	}
//	outcome := core.Apply(updateFromPeer)
//	if outcome.Changed {
//		adopt(core.Current())
//	}
//
// A Core does no I/O and is not safe for use from several goroutines.
package gossip

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
)

// Digest summarises what an instance holds, for comparison with a peer.
type Digest struct {
	Version catalogue.Version
	// History is the digest of the catalogue's history.
	History uint64
	// Marks is the digest of the marks that the catalogue doesn't reflect, 0
	// for none.
	Marks uint64
}

// Update carries what a peer lacks. At most one of Difference and Full is set.
type Update struct {
	Difference *catalogue.Difference
	Full       *catalogue.Catalogue
	Marks      []catalogue.Mark
}

// Outcome is the effect of an update.
type Outcome struct {
	// Changed says that Current has changed.
	Changed bool
	// Lost are the accepted operations of a diverged history that the newer
	// catalogue doesn't hold. The caller has to report them to operators.
	Lost []catalogue.Operation
}

// Core holds the newest catalogue that an instance has received.
type Core struct {
	accepted     catalogue.Catalogue // without the marks
	current      catalogue.Catalogue // with the marks
	marks        []catalogue.Mark    // sorted by data centre, at most one each
	refusedOlder uint64

	mismatched uint64
}

// New returns a core without a catalogue.
func New() *Core { return &Core{} }

// Accepted returns the newest catalogue without the marks, at version 0 if there
// is none yet.
func (c *Core) Accepted() catalogue.Catalogue { return c.accepted }

// Current returns the catalogue in force: the newest one with the marks.
func (c *Core) Current() catalogue.Catalogue { return c.current }

// Marks returns the marks that the newest catalogue doesn't reflect, sorted by
// data centre. Callers must not change them.
func (c *Core) Marks() []catalogue.Mark { return c.marks }

// Refused returns how many catalogues were refused for being older than the
// one held.
func (c *Core) Refused() uint64 { return c.refusedOlder }

// Mismatched returns how many differences didn't apply to the catalogue held.
func (c *Core) Mismatched() uint64 { return c.mismatched }

// Offer takes over a whole catalogue if it is newer than the one held; any other
// changes nothing.
func (c *Core) Offer(next catalogue.Catalogue) Outcome {
	if next.Version() < c.accepted.Version() {
		c.refusedOlder++
	}
	if next.Version() <= c.accepted.Version() {
		return Outcome{}
	}
	lost := lostOperations(c.accepted, next)
	c.accepted = next
	c.recompute()
	return Outcome{Changed: true, Lost: lost}
}

// lostOperations returns the operations of held that next doesn't contain although
// its history covers their versions.
func lostOperations(held, next catalogue.Catalogue) []catalogue.Operation {
	if held.Version() == 0 || next.DigestAt(held.Version()) == held.Digest() {
		return nil
	}
	var lost []catalogue.Operation
	for _, o := range held.History() {
		known := next.DigestAt(o.Version)
		if known == 0 || known == o.Digest {
			continue
		}
		if _, ok := next.Operation(o.Identifier); !ok {
			lost = append(lost, o)
		}
	}
	return lost
}

// AddMark adds an emergency mark and reports whether Current has changed.
func (c *Core) AddMark(m catalogue.Mark) bool {
	before := c.current.Order()
	c.mergeMarks([]catalogue.Mark{m})
	c.recompute()
	return c.current.Order() > before
}

// MarkNumber returns the number for a new mark that sets the data centre's state.
func (c *Core) MarkNumber(dataCentre string, s catalogue.DataCentreState) uint64 {
	d, _ := c.current.DataCentre(dataCentre)
	return catalogue.NextMark(d.Mark, s)
}

func (c *Core) mergeMarks(marks []catalogue.Mark) {
	for _, m := range marks {
		i, found := slices.BinarySearchFunc(c.marks, m.DataCentre, func(held catalogue.Mark, name string) int {
			return strings.Compare(held.DataCentre, name)
		})
		switch {
		case !found:
			c.marks = slices.Insert(slices.Clone(c.marks), i, m)
		case m.Supersedes(c.marks[i]):
			c.marks = slices.Clone(c.marks)
			c.marks[i] = m
		}
	}
}

// recompute drops the marks that the catalogue reflects and computes the catalogue
// in force. An instance without a catalogue keeps every mark.
func (c *Core) recompute() {
	if c.accepted.Version() > 0 {
		c.marks = slices.DeleteFunc(slices.Clone(c.marks), c.accepted.Reflects)
	}
	c.current = c.accepted.WithMarks(c.marks)
}

// Digest returns the digest to compare with a peer's.
func (c *Core) Digest() Digest {
	return Digest{Version: c.accepted.Version(), History: c.accepted.Digest(), Marks: digestOf(c.marks)}
}

func digestOf(marks []catalogue.Mark) uint64 {
	if len(marks) == 0 {
		return 0
	}
	var input strings.Builder
	for _, m := range marks {
		fmt.Fprintf(&input, "%s\x00%d\x00%s\x00", m.DataCentre, m.Number, m.Identifier)
	}
	return xxhash.Sum64String(input.String())
}

// UpdateFor returns what an instance with digest d lacks, or false if it lacks
// nothing.
func (c *Core) UpdateFor(d Digest) (Update, bool) {
	var u Update
	if c.accepted.Version() > d.Version {
		if difference, ok := c.accepted.Since(d.Version, d.History); ok {
			u.Difference = &difference
		} else {
			full := c.accepted
			u.Full = &full
		}
	}
	if len(c.marks) > 0 && digestOf(c.marks) != d.Marks {
		u.Marks = c.marks
	}
	return u, u.Difference != nil || u.Full != nil || len(u.Marks) > 0
}

// Apply applies a peer's update. A difference that doesn't apply to the catalogue
// held is counted and skipped; the next comparison brings one that does.
func (c *Core) Apply(u Update) Outcome {
	before := c.current.Order()
	c.mergeMarks(u.Marks)
	c.recompute()
	outcome := c.applyCatalogue(u)
	outcome.Changed = c.current.Order() > before
	return outcome
}

func (c *Core) applyCatalogue(u Update) Outcome {
	if u.Full != nil {
		return c.Offer(*u.Full)
	}
	if u.Difference == nil || u.Difference.Parts.Version <= c.accepted.Version() {
		return Outcome{}
	}
	next, err := c.accepted.WithDifference(*u.Difference)
	if err != nil {
		c.mismatched++
		return Outcome{}
	}
	return c.Offer(next)
}

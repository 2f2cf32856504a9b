package catalogue

import "time"

// Mark is an emergency mark: an operator's order to take a data centre out or in
// that an instance accepted while it couldn't reach the platform. It spreads
// between instances and is in force until a catalogue reflects it.
type Mark struct {
	DataCentre string
	State      DataCentreState
	// Number orders the marks of one data centre.
	Number     uint64
	Identifier string
	Author     string
	Reason     string
	At         time.Time
}

// NextMark returns the number of a new mark that sets state s, where known is
// the highest number known to its author. Odd numbers take a data centre out and
// even ones bring it in, so that no two marks with the same number disagree. Of
// two marks made independently after the same one, the one that repeats its state
// gets the higher number: a data centre that is out stays out.
func NextMark(known uint64, s DataCentreState) uint64 {
	next := known + 1
	if (s == DataCentreOut) != (next%2 == 1) {
		next++
	}
	return next
}

// Supersedes reports whether m is in force in place of other, a mark on the same
// data centre.
func (m Mark) Supersedes(other Mark) bool {
	if m.Number != other.Number {
		return m.Number > other.Number
	}
	return m.Identifier > other.Identifier
}

// Reflects reports whether c reflects m or a later mark, or lacks the data centre.
func (c Catalogue) Reflects(m Mark) bool {
	d, ok := c.DataCentre(m.DataCentre)
	return !ok || d.Mark >= m.Number
}

// WithMarks returns c with those of the marks applied that it doesn't reflect.
// Its version stays the same; its order grows. marks holds at most one for each
// data centre.
func (c Catalogue) WithMarks(marks []Mark) Catalogue {
	for _, m := range marks {
		if c.Reflects(m) {
			continue
		}
		d, _ := c.DataCentre(m.DataCentre)
		d.State, d.Mark = m.State, m.Number
		c = c.WithDataCentre(d)
	}
	c.markSum = 0
	for _, d := range c.dataCentres {
		c.markSum += d.Mark
	}
	return c
}

// markBits is the number of low bits of an Order that hold the sum of the mark
// numbers.
const markBits = 16

// Order orders the catalogues in force on one instance: it grows with each
// version and, within a version, with each emergency mark.
type Order uint64

// Order returns the order of c among the catalogues in force on one instance.
func (c Catalogue) Order() Order {
	return Order(uint64(c.version)<<markBits | c.markSum&(1<<markBits-1))
}

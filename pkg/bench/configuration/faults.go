package configuration

import (
	"fmt"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
)

const (
	warmTime  = 8 * time.Second         // before a fault
	faultTime = 12 * time.Second        // while it lasts
	healTime  = 6 * time.Second         // after it
	slowCalls = 1500 * time.Millisecond // below callTimeout, so that calls still succeed
	trials    = 3                       // changes under each fault
)

// fault is a failure that strikes around a change of the configuration.
type fault struct {
	name string
	// strike brings the failure about, accepts a change and returns its version
	// and the time from which it counts.
	strike func(f *fleet) (catalogue.Version, time.Time)
	// heal ends the failure.
	heal func(f *fleet)
	// afterHeal counts from the healing.
	afterHeal bool
}

func faults() []fault {
	return []fault{
		{name: "None", strike: func(f *fleet) (catalogue.Version, time.Time) { return f.accept(f.any()), f.now }},
		{name: "OutageAfterAcceptance", strike: outage, heal: func(f *fleet) { f.platform.down = false }},
		{name: "AcceptorLost", strike: acceptorLost, heal: revive},
		{name: "SlowPlatform", strike: slow, heal: func(f *fleet) {
			f.platform.delay = 0
			revive(f)
		}},
		{name: "CompactedWatch", strike: compacted, heal: revive},
		{name: "SilentWatch", strike: silent, heal: func(f *fleet) {
			f.platform.mute = false
			revive(f)
		}},
		{name: "BlankRestarts", strike: restarts, heal: func(f *fleet) { f.platform.down = false }},
		{name: "JoinInOutage", strike: joins, heal: func(f *fleet) { f.platform.down = false }},
		{name: "PartitionHealed", strike: partition, heal: healed, afterHeal: true},
		{name: "RestoredCopy", strike: restored},
	}
}

func (f *fleet) any() *node { return f.nodes[f.random.IntN(len(f.nodes))] }

func outage(f *fleet) (catalogue.Version, time.Time) {
	v := f.accept(f.any())
	f.platform.down = true
	f.endWatches()
	return v, f.now
}

// acceptorLost loses the instance that accepted before it tells anybody: the
// change stands in the platform only.
func acceptorLost(f *fleet) (catalogue.Version, time.Time) {
	lost := f.any()
	lost.alive = false
	f.notice()
	return f.accept(lost), f.now
}

func revive(f *fleet) {
	for _, n := range f.nodes {
		if !n.alive {
			f.start(n)
		}
	}
	f.look()
}

func slow(f *fleet) (catalogue.Version, time.Time) {
	f.platform.delay = slowCalls
	return acceptorLost(f)
}

// compacted ends every watch and forgets the revision that it would go on from.
func compacted(f *fleet) (catalogue.Version, time.Time) {
	f.endWatches()
	v, at := acceptorLost(f)
	f.platform.compacted = f.platform.revision
	return v, at
}

func silent(f *fleet) (catalogue.Version, time.Time) {
	f.platform.mute = true
	return acceptorLost(f)
}

// restarts starts a third of the instances anew, blank, in an outage.
func restarts(f *fleet) (catalogue.Version, time.Time) {
	v, at := outage(f)
	for i, n := range f.nodes {
		if i%3 == 0 && n.inForce[v].IsZero() {
			f.start(n)
		}
	}
	f.look()
	return v, at
}

// joins lets the change spread in an outage and then starts a third anew.
func joins(f *fleet) (catalogue.Version, time.Time) {
	v, _ := outage(f)
	f.advance(faultTime)
	for i, n := range f.nodes {
		if i%3 == 0 {
			f.start(n)
		}
	}
	f.look()
	return v, f.now
}

// partition cuts the data centres from each other and all but the first from
// the platform; a change is accepted in the first, a mark in the second.
func partition(f *fleet) (catalogue.Version, time.Time) {
	for i, d := range f.centres {
		f.group[d] = i
		f.platform.cut[d] = i > 0
	}
	f.endWatches()
	f.notice()
	f.advance(time.Second)
	f.order(f.nodes[1], f.centres[len(f.centres)-1], catalogue.DataCentreOut)
	return f.accept(f.nodes[0]), f.now
}

// healed joins the data centres again in a drawn order within two seconds.
func healed(f *fleet) {
	for _, i := range f.random.Perm(len(f.centres)) {
		f.group[f.centres[i]] = 0
		f.platform.cut[f.centres[i]] = f.random.IntN(2) == 0
		f.advance(2 * time.Second / time.Duration(len(f.centres)))
	}
	clear(f.platform.cut)
	f.notice()
}

// restored puts an older copy back into the platform right after a change, and
// another change comes.
func restored(f *fleet) (catalogue.Version, time.Time) {
	older := f.platform.stored
	f.accept(f.any())
	f.advance(healTime)
	f.must(f.platform.write(older))
	f.notify()
	f.advance(healTime)
	return f.accept(f.any()), f.now
}

// outcome is what came of a number of changes under one fault.
type outcome struct {
	// times holds seconds to in force by instance and change.
	times []float64
	// unmet is how many instances didn't have a change in force at the end.
	unmet     int
	reversals int
	lost      int
}

// run brings a fault about some times and returns what came of it.
func run(size, dataCentres int, seed uint64, direct bool, x fault) (outcome, error) {
	f := newFleet(size, dataCentres, seed, direct)
	var o outcome
	for range trials {
		f.advance(warmTime)
		v, at := x.strike(f)
		f.advance(faultTime)
		if !x.afterHeal {
			o.measure(f, v, at)
		}
		if x.heal != nil {
			x.heal(f)
		}
		at = f.now
		f.advance(healTime)
		if x.afterHeal {
			o.measure(f, v, at)
		}
	}
	f.advance(warmTime)
	o.reversals = f.reversals
	o.lost = f.lost()
	if f.problem != nil {
		return o, fmt.Errorf("fault %s: %w", x.name, f.problem)
	}
	return o, nil
}

// measure notes how long a change took. One not in force yet counts with the
// whole time that was waited.
func (o *outcome) measure(f *fleet, v catalogue.Version, since time.Time) {
	for _, n := range f.nodes {
		if !n.alive {
			continue
		}
		at, ok := n.inForce[v]
		if ok && !f.marked(n) {
			ok = false
		}
		if !ok {
			at = f.now
			o.unmet++
		}
		o.times = append(o.times, max(at.Sub(since).Seconds(), 0))
	}
}

// lost counts accepted operations and marks that an instance lacks at the end.
func (f *fleet) lost() int {
	lost := 0
	for _, identifier := range f.accepted {
		for _, n := range f.nodes {
			if _, ok := n.spreader.Core().Accepted().Operation(identifier); n.alive && !ok {
				lost++
				break
			}
		}
	}
	for _, m := range f.marks {
		for _, n := range f.nodes {
			if d, _ := n.spreader.Core().Current().DataCentre(m.DataCentre); n.alive && d.Mark < m.Number {
				lost++
				break
			}
		}
	}
	return lost
}

// marked says whether an instance keeps clear of what the last mark took out.
func (f *fleet) marked(n *node) bool {
	if len(f.marks) == 0 {
		return true
	}
	return !n.spreader.Core().Current().TakesPart(f.marks[len(f.marks)-1].DataCentre)
}

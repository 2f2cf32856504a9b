package configuration

import (
	"fmt"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
)

const (
	warmUpTime     = 8 * time.Second         // before a fault
	faultTime      = 12 * time.Second        // from the accepted change to the repair
	recoveryTime   = 6 * time.Second         // after the repair
	slowCallDelay  = 1500 * time.Millisecond // below callTimeout, so that calls still succeed
	trialsPerFault = 3                       // changes under each fault
)

// fault is a failure that is injected around a change of the configuration.
type fault struct {
	name string
	// inject causes the failure and accepts a change. It returns the version of
	// the change and the time from which its propagation is measured.
	inject func(f *fleet) (catalogue.Version, time.Time)
	// repair ends the failure, nil where nothing is to be repaired.
	repair func(f *fleet)
	// measureAfterRepair measures the propagation from the repair instead, as the
	// change can't reach every instance before.
	measureAfterRepair bool
}

// faults returns every fault that is measured. Names stand in measures.
func faults() []fault {
	return []fault{
		{name: "None", inject: func(f *fleet) (catalogue.Version, time.Time) { return f.acceptChange(f.randomNode()), f.now }},
		{name: "OutageAfterAcceptance", inject: outage, repair: func(f *fleet) { f.platform.down = false }},
		{name: "AcceptorLost", inject: acceptorLost, repair: restartLost},
		{name: "SlowPlatform", inject: slowPlatform, repair: func(f *fleet) {
			f.platform.extraDelay = 0
			restartLost(f)
		}},
		{name: "CompactedWatch", inject: compactedWatch, repair: restartLost},
		{name: "SilentWatch", inject: silentWatch, repair: func(f *fleet) {
			f.platform.watchesSilent = false
			restartLost(f)
		}},
		{name: "BlankRestarts", inject: restartsInOutage, repair: func(f *fleet) { f.platform.down = false }},
		{name: "JoinInOutage", inject: joinsInOutage, repair: func(f *fleet) { f.platform.down = false }},
		{name: "PartitionHealed", inject: partition, repair: healPartition, measureAfterRepair: true},
		{name: "RestoredCopy", inject: restoreOlderCopy},
	}
}

func (f *fleet) randomNode() *node { return f.nodes[f.random.IntN(len(f.nodes))] }

// outage accepts a change, then takes the platform down.
func outage(f *fleet) (catalogue.Version, time.Time) {
	v := f.acceptChange(f.randomNode())
	f.platform.down = true
	f.endWatches()
	return v, f.now
}

// acceptorLost accepts a change at an instance that dies before it sends the
// change to any other: only the platform has it.
func acceptorLost(f *fleet) (catalogue.Version, time.Time) {
	lost := f.randomNode()
	lost.alive = false
	f.scheduleViewUpdate()
	return f.acceptChange(lost), f.now
}

// restartLost starts every dead instance again, without a configuration.
func restartLost(f *fleet) {
	for _, n := range f.nodes {
		if !n.alive {
			f.startNode(n)
		}
	}
	f.updateViews()
}

// slowPlatform delays every call on the platform, and loses the acceptor.
func slowPlatform(f *fleet) (catalogue.Version, time.Time) {
	f.platform.extraDelay = slowCallDelay
	return acceptorLost(f)
}

// compactedWatch ends every watch, loses the acceptor and compacts the revision
// from which the watches would resume.
func compactedWatch(f *fleet) (catalogue.Version, time.Time) {
	f.endWatches()
	v, at := acceptorLost(f)
	f.platform.compactedRevision = f.platform.revision
	return v, at
}

// silentWatch stops the delivery of changes on open watches, and loses the
// acceptor.
func silentWatch(f *fleet) (catalogue.Version, time.Time) {
	f.platform.watchesSilent = true
	return acceptorLost(f)
}

// restartsInOutage restarts a third of the instances in an outage, without a
// configuration, unless they have the change in force already.
func restartsInOutage(f *fleet) (catalogue.Version, time.Time) {
	v, at := outage(f)
	for i, n := range f.nodes {
		if i%3 == 0 && n.inForceSince[v].IsZero() {
			f.startNode(n)
		}
	}
	f.updateViews()
	return v, at
}

// joinsInOutage lets the change propagate during an outage, then restarts a
// third of the instances without a configuration.
func joinsInOutage(f *fleet) (catalogue.Version, time.Time) {
	v, _ := outage(f)
	f.advance(faultTime)
	for i, n := range f.nodes {
		if i%3 == 0 {
			f.startNode(n)
		}
	}
	f.updateViews()
	return v, f.now
}

// partition cuts the data centres off from each other, and all but the first
// from the platform. A change is accepted in the first data centre, and an
// emergency mark that takes out the last one in the second.
func partition(f *fleet) (catalogue.Version, time.Time) {
	for i, d := range f.centres {
		f.networkGroup[d] = i
		f.platform.cutOff[d] = i > 0
	}
	f.endWatches()
	f.scheduleViewUpdate()
	f.advance(time.Second)
	f.issueMark(f.nodes[1], f.centres[len(f.centres)-1], catalogue.DataCentreOut)
	return f.acceptChange(f.nodes[0]), f.now
}

// healPartition reconnects the data centres within two seconds, in a random
// order. Until all are connected, each of them reaches the platform with an even
// chance.
func healPartition(f *fleet) {
	for _, i := range f.random.Perm(len(f.centres)) {
		f.networkGroup[f.centres[i]] = 0
		f.platform.cutOff[f.centres[i]] = f.random.IntN(2) == 0
		f.advance(2 * time.Second / time.Duration(len(f.centres)))
	}
	clear(f.platform.cutOff)
	f.scheduleViewUpdate()
}

// restoreOlderCopy accepts a change, overwrites it in the platform with the copy
// from before it, and then accepts another change.
func restoreOlderCopy(f *fleet) (catalogue.Version, time.Time) {
	older := f.platform.stored
	f.acceptChange(f.randomNode())
	f.advance(recoveryTime)
	f.check(f.platform.write(older))
	f.notifyWatches()
	f.advance(recoveryTime)
	return f.acceptChange(f.randomNode()), f.now
}

// faultResult is the outcome of a number of changes under one fault.
type faultResult struct {
	// seconds holds the time until a change was in force, one value for each
	// instance and change.
	seconds []float64
	// notInForce counts the instances without a change in force when it was
	// measured.
	notInForce int
	reversions int // times at which an instance went back to an older configuration
	lost       int // accepted changes and marks that some instance lacks at the end
}

// runFault injects a fault trialsPerFault times into a fleet and returns the
// outcome. direct is as for newFleet.
func runFault(size, dataCentres int, seed uint64, direct bool, ft fault) (faultResult, error) {
	f := newFleet(size, dataCentres, seed, direct)
	var result faultResult
	for range trialsPerFault {
		f.advance(warmUpTime)
		version, since := ft.inject(f)
		f.advance(faultTime)
		if !ft.measureAfterRepair {
			result.addTimes(f, version, since)
		}
		if ft.repair != nil {
			ft.repair(f)
		}
		since = f.now
		f.advance(recoveryTime)
		if ft.measureAfterRepair {
			result.addTimes(f, version, since)
		}
	}
	f.advance(warmUpTime)
	result.reversions = f.reversions
	result.lost = f.lostCount()
	if f.err != nil {
		return result, fmt.Errorf("fault %s: %w", ft.name, f.err)
	}
	return result, nil
}

// addTimes adds the time that a change took at each living instance. Where it
// isn't in force yet, the whole time since then counts.
func (r *faultResult) addTimes(f *fleet, v catalogue.Version, since time.Time) {
	for _, n := range f.nodes {
		if !n.alive {
			continue
		}
		inForceAt, ok := n.inForceSince[v]
		if ok && !f.obeysLastMark(n) {
			ok = false
		}
		if !ok {
			inForceAt = f.now
			r.notInForce++
		}
		r.seconds = append(r.seconds, max(inForceAt.Sub(since).Seconds(), 0))
	}
}

// lostCount counts the accepted operations and the marks that at least one
// living instance lacks.
func (f *fleet) lostCount() int {
	lost := 0
	for _, identifier := range f.acceptedOperations {
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

// obeysLastMark reports whether an instance takes the data centre of the last
// emergency mark as out.
func (f *fleet) obeysLastMark(n *node) bool {
	if len(f.marks) == 0 {
		return true
	}
	return !n.spreader.Core().Current().TakesPart(f.marks[len(f.marks)-1].DataCentre)
}

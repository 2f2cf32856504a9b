package trial

import (
	"fmt"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
)

const (
	operatorPause    = time.Second
	maxOperatorTries = 30
	changeTimeout    = 1500 * time.Millisecond // for the platform to accept a change of a data centre's state
)

// Change has an operator make changes through random instances. The operator
// repeats the same operation every operatorPause until it is accepted or
// refused, at most maxOperatorTries times.
func (t *Trial) Change(author string, changes ...catalogue.Change) {
	t.operationCount++
	c := &change{
		trial:   t,
		changes: changes,
		operation: catalogue.Operation{
			Identifier: fmt.Sprintf("%s-%d", author, t.operationCount), Author: author,
		},
	}
	c.try()
}

// change is one operation of an operator that may not have been accepted yet.
type change struct {
	trial     *Trial
	operation catalogue.Operation
	changes   []catalogue.Change
	tries     int
	done      bool
}

// try attempts one compare-and-swap through a random instance and schedules the
// next attempt, which does nothing if the operation has ended by then.
func (c *change) try() {
	t := c.trial
	c.tries++
	if c.done || c.tries > maxOperatorTries {
		return
	}
	t.after(operatorPause, c.try)
	n := t.anyInstance()
	if n == nil || n.isolated > 0 {
		return
	}
	t.send(callerLocation, n.Centre, func() { n.do(func() { c.applyThrough(n) }) })
}

// applyThrough has n apply the operation to the configuration that is stored at
// the platform.
func (c *change) applyThrough(n *Node) {
	t := c.trial
	t.after(changeTimeout, n.guard(func() { c.makeMark(n) }))
	t.Platform.read(n.Centre, func(stored catalogue.Catalogue, revision int64) {
		n.guard(func() { c.apply(n, stored, revision) })()
	})
}

// makeMark turns a change of a data centre's state into an emergency mark at n
// if the platform has not accepted the change within changeTimeout.
func (c *change) makeMark(n *Node) {
	t := c.trial
	put, ok := c.changes[0].(catalogue.PutDataCentre)
	if c.done || !ok || len(c.changes) > 1 || n.cores.Version() == 0 {
		return
	}
	c.done = true
	m := n.cores.AddMark(t.now, catalogue.Mark{
		DataCentre: put.DataCentre.Name, State: put.DataCentre.State,
		Identifier: c.operation.Identifier, Author: c.operation.Author, At: t.now,
	})
	t.emergencyMarks = append(t.emergencyMarks, m)
	t.acceptedAt = t.now
	t.noteDisturbance(0)
	t.setDataCentreState(m.DataCentre, m.State)
}

// storeMarks writes the first emergency mark that the stored configuration does
// not reflect to the platform, as a change of the configuration.
func (n *Node) storeMarks(stored catalogue.Catalogue, revision int64) {
	for _, m := range n.cores.Marks() {
		if stored.Reflects(m) {
			continue
		}
		d := catalogue.DataCentre{Name: m.DataCentre, State: m.State, Mark: m.Number}
		o := catalogue.Operation{Identifier: "mark-" + m.Identifier, Author: m.Author, At: m.At}
		next, err := stored.Apply(o, []catalogue.Change{catalogue.PutDataCentre{DataCentre: d}})
		if err != nil {
			continue
		}
		n.trial.Platform.swap(n.Centre, revision, next, func(won bool) {
			if won {
				n.guard(func() { n.offer(next, "emergency mark") })()
			}
		})
		return
	}
}

// apply writes the operation to the platform, unless it is stored already.
func (c *change) apply(n *Node, stored catalogue.Catalogue, revision int64) {
	if _, accepted := stored.Operation(c.operation.Identifier); accepted {
		c.done = true
		n.offer(stored, "operator")
		return
	}
	c.operation.At = c.trial.now
	next, err := stored.Apply(c.operation, n.withMarkNumbers(c.changes))
	if err != nil {
		c.done = true
		return
	}
	c.trial.Platform.swap(n.Centre, revision, next, func(won bool) {
		if won {
			c.done = true
			n.guard(func() { n.offer(next, "operator") })()
		}
	})
}

// PauseWriter freezes an instance for d between its read and its write for an
// operator, so that the write comes late. share is the new target share that
// the operator sets.
func (t *Trial) PauseWriter(share float64, d time.Duration) {
	class, ok := t.accepted.Class(t.plan.Services[0].Class)
	n := t.anyInstance()
	if !ok || n == nil {
		return
	}
	class.Target.Share = share
	t.operationCount++
	c := &change{
		trial:   t,
		changes: []catalogue.Change{catalogue.PutClass{Class: class}},
		operation: catalogue.Operation{
			Identifier: fmt.Sprintf("%s-%d", pausedOperator, t.operationCount), Author: pausedOperator,
		},
	}
	t.Platform.read(n.Centre, func(stored catalogue.Catalogue, revision int64) {
		t.Freeze(n, d)
		n.guard(func() { c.apply(n, stored, revision) })()
	})
}

// configurationAccepted checks and records a configuration that the platform
// has accepted.
func (t *Trial) configurationAccepted(next catalogue.Catalogue) {
	for _, o := range t.accepted.History() {
		if _, ok := next.Operation(o.Identifier); !ok {
			t.violate(ConfigurationStands, "operation %s is gone in version %d", o.Identifier, next.Version())
		}
	}
	for _, d := range next.DataCentres() {
		if !t.replacedByMark(d) {
			t.setDataCentreState(d.Name, d.State)
		}
	}
	for _, b := range t.backends {
		stored, ok := next.Backend(b.Name)
		leaving := ok && stored.State == catalogue.BackendLeaving
		if leaving && b.leavingSince.IsZero() {
			b.leavingSince = t.now
		}
	}
	t.accepted, t.acceptedAt = next, t.now
	t.recordAccepted(next)
	t.noteDisturbance(0)
}

// withMarkNumbers returns the changes with mark numbers that let changes of data
// centres' states replace the emergency marks that n knows.
func (n *Node) withMarkNumbers(changes []catalogue.Change) []catalogue.Change {
	var numbered []catalogue.Change
	for _, change := range changes {
		if put, ok := change.(catalogue.PutDataCentre); ok {
			put.DataCentre.Mark = n.cores.NextMark(put.DataCentre)
			change = put
		}
		numbered = append(numbered, change)
	}
	return numbered
}

// replacedByMark reports whether a newer emergency mark is in force instead of d.
func (t *Trial) replacedByMark(d catalogue.DataCentre) bool {
	for _, m := range t.emergencyMarks {
		if m.DataCentre == d.Name && m.Number > d.Mark {
			return true
		}
	}
	return false
}

// setDataCentreState records that a data centre is out or in from now on.
func (t *Trial) setDataCentreState(centre string, s catalogue.DataCentreState) {
	_, out := t.outSince[centre]
	switch {
	case s == catalogue.DataCentreOut && !out:
		t.outSince[centre] = t.now
	case s == catalogue.DataCentreIn && out:
		delete(t.outSince, centre)
		t.giveUpFlows(centre)
	}
}

// giveUpFlows gives up the flows to a data centre that was out until now.
func (t *Trial) giveUpFlows(centre string) {
	for _, f := range t.flows {
		if f.home != nil && f.home.Centre == centre && f.givenUpReason == "" {
			f.givenUpReason = "data centre out"
		}
	}
}

// TakeOut has an operator take a data centre out.
func (t *Trial) TakeOut(centre string) {
	t.Change(firstOperator, catalogue.PutDataCentre{DataCentre: catalogue.DataCentre{Name: centre, State: catalogue.DataCentreOut}})
}

// BringIn has an operator bring a data centre back.
func (t *Trial) BringIn(centre string) {
	t.Change(firstOperator, catalogue.PutDataCentre{DataCentre: catalogue.DataCentre{Name: centre, State: catalogue.DataCentreIn}})
}

// DrainBackend has an operator take a backend server out of service.
func (t *Trial) DrainBackend(name string) {
	for _, b := range t.plan.backends() {
		if b.Name == name {
			b.State = catalogue.BackendLeaving
			t.Change(firstOperator, catalogue.PutBackend{Backend: b})
		}
	}
}

// AddBackend has an operator add the spare backend server of a service. It
// begins an announced cold start.
func (t *Trial) AddBackend(service string) {
	for _, b := range t.plan.backends() {
		if b.Service == service && t.plan.isSpare(b) {
			t.backendsByName[b.Name].TurnCold(true)
			t.Change(firstOperator, catalogue.PutBackend{Backend: b})
		}
	}
}

// Retarget has an operator change the target share of the first class.
func (t *Trial) Retarget(author string, share float64) {
	class, ok := t.accepted.Class(t.plan.Services[0].Class)
	if !ok {
		return
	}
	class.Target.Share = share
	t.Change(author, catalogue.PutClass{Class: class})
}

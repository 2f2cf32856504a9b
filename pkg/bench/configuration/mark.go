package configuration

import (
	"github.com/tanagerweir/tanagerweir/pkg/process/registrar"
	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
)

// issueMark puts an emergency mark in force at one instance, from which gossip
// carries it to the others.
func (f *fleet) issueMark(n *node, dataCentre string, s catalogue.DataCentreState) {
	m := catalogue.Mark{DataCentre: dataCentre, State: s, Identifier: "order-" + dataCentre + s.String(), Author: "operator", At: f.now}
	m, outcome := n.spreader.AddMark(f.now, m)
	f.recordInForce(n, outcome)
	f.marks = append(f.marks, m)
}

// applyMark writes a mark to the platform as the registrar does, unless the stored
// catalogue reflects it already.
func (f *fleet) applyMark(n *node, m catalogue.Mark) {
	if f.platform.stored.Reflects(m) {
		return
	}
	base := f.platform.stored
	if accepted := n.spreader.Core().Accepted(); accepted.Version() > base.Version() {
		base = accepted
	}
	d := catalogue.DataCentre{Name: m.DataCentre, State: m.State, Mark: m.Number}
	o := catalogue.Operation{Identifier: registrar.MarkIdentifier(m), Author: m.Author, Reason: m.Reason, At: m.At}
	next, err := base.Apply(o, []catalogue.Change{catalogue.PutDataCentre{DataCentre: d}})
	f.check(err)
	f.platform.calls++
	f.check(f.platform.write(next))
	f.acceptedOperations = append(f.acceptedOperations, o.Identifier)
	f.recordInForce(n, n.spreader.Offer(f.now, next))
	f.notifyWatches()
}

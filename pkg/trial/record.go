package trial

import (
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/connection/flow"
	"github.com/tanagerweir/tanagerweir/pkg/process/condition"
	"github.com/tanagerweir/tanagerweir/pkg/process/listing"
	"github.com/tanagerweir/tanagerweir/pkg/request/dispatch"
	"github.com/tanagerweir/tanagerweir/pkg/request/verdict"
	"github.com/tanagerweir/tanagerweir/pkg/trace"
	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
)

// Record makes the trial record a trace of the inputs of the instances. The
// outcomes that the trace states are derived from the promises, not from what
// the cores decide.
func (t *Trial) Record() {
	t.recorder = &recorder{
		publishedLists: make(map[string]int), reports: make(map[[2]string]condition.Report),
	}
}

// Trace returns the recorded trace. Record must have been called before Run.
func (t *Trial) Trace() trace.Trace {
	return trace.Trace{Header: trace.Header{Deployment: t.plan.Name}, Lines: t.recorder.lines}
}

type recorder struct {
	lines []trace.Line
	// publishedLists holds, for each instance, how many lists had been
	// published when it last received one.
	publishedLists map[string]int
	// reports holds the last report that an instance received from a backend
	// server, by the names of both.
	reports map[[2]string]condition.Report
}

func (t *Trial) record(l trace.Line) {
	if t.recorder == nil {
		return
	}
	l.At = t.now.Sub(t.began).Milliseconds()
	t.recorder.lines = append(t.recorder.lines, l)
}

func (t *Trial) recordAccepted(c catalogue.Catalogue) {
	parts := c.Parts()
	t.record(trace.Line{Input: trace.Accepted, Version: c.Version(), Catalogue: &parts})
}

// recordList records the list that n received, unless no list was published
// since it last received one.
func (t *Trial) recordList(n *Node, entries []listing.Entry) {
	if t.recorder == nil || t.recorder.publishedLists[n.Name] == len(t.Platform.lists) {
		return
	}
	t.recorder.publishedLists[n.Name] = len(t.Platform.lists)
	l := trace.Line{Input: trace.List, Instance: n.Name}
	for _, e := range entries {
		if e.Kind == listing.EntryInstance {
			l.Members = append(l.Members, trace.Member{
				Name: e.Name, DataCentre: e.DataCentre, Leaving: e.State == listing.Leaving,
			})
		}
	}
	t.record(l)
}

// recordReport records a report that differs from the last one that n received
// from the same backend server. A changed number of busy slots alone is no
// difference.
func (t *Trial) recordReport(n *Node, r condition.Report) {
	if t.recorder == nil {
		return
	}
	key := [2]string{n.Name, r.Backend}
	last, ok := t.recorder.reports[key]
	if ok && last.Cold == r.Cold && last.Leaving == r.Leaving {
		return
	}
	t.recorder.reports[key] = r
	t.record(trace.Line{
		Input: trace.Report, Instance: n.Name, Backend: r.Backend, Cold: r.Cold, Leaving: r.Leaving, Busy: r.Busy,
	})
}

// undisturbed reports whether the last disturbance ended longer ago than
// EffectTime, in which every change must take effect. A fault of the platform
// alone is no disturbance.
func (t *Trial) undisturbed() bool { return t.now.Sub(t.lastDisturbance) > EffectTime }

// noteDisturbance records that a fault or change begins now and lasts for d.
func (t *Trial) noteDisturbance(d time.Duration) {
	if at := t.now.Add(d); at.After(t.lastDisturbance) {
		t.lastDisturbance = at
	}
}

func (t *Trial) recordPacket(n *Node, f *Flow, p flow.Packet) {
	counted := !t.isGivenUp(f)
	o := &trace.Outcome{Service: f.service, Home: counted, Forwarded: counted && t.undisturbed()}
	if p.Starts {
		o.Avoid, o.AvoidCentre = t.noNewWork(n)
	}
	t.record(trace.Line{
		Input: trace.Packet, Instance: n.Name, Starts: p.Starts,
		Source: p.Key.Source, Destination: p.Key.Destination, Outcome: o,
	})
}

// noNewWork returns a backend server and a data centre to which n must send no
// new work by now, each empty if there is none.
func (t *Trial) noNewWork(n *Node) (backend, centre string) {
	for _, b := range t.backends {
		if n.mustReflect(b.leavingSince) {
			backend = b.Name
		}
	}
	for _, c := range t.plan.Centres {
		if n.mustReflect(t.outSince[c.Name]) {
			centre = c.Name
		}
	}
	return backend, centre
}

func (t *Trial) recordRequest(n *Node, s *submission, o dispatch.Outcome) {
	l := trace.Line{Input: trace.Request, Instance: n.Name, Class: s.request.service.Class, Ends: trace.EndRan}
	l.Outcome = &trace.Outcome{Service: s.request.service.Name, Verdict: o.Verdict.String()}
	l.Outcome.Avoid, l.Outcome.AvoidCentre = t.noNewWork(n)
	switch o.Verdict {
	case verdict.NotRun:
		l.Ends = trace.EndRefused
	case verdict.MayHaveRun:
		l.Ends = trace.EndLate
		l.Outcome.AttemptsMost = 1
	case verdict.Ran:
	}
	t.record(l)
}

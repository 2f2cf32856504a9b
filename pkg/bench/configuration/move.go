package configuration

import (
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/bench"
	"github.com/tanagerweir/tanagerweir/pkg/trial"
)

// When a data centre is taken out and brought in, counted from the trial's start.
const (
	moveOpenAt  = 3 * time.Second // the first flows are opened and requests sent
	moveOpenFor = 4 * time.Second // all flows are open 3 s before moveOutAt
	moveOutAt   = 10 * time.Second
	moveInAt    = 20 * time.Second
	moveEndAt   = 36 * time.Second
	// moveSendFor leaves the last requests 4 s to be answered.
	moveSendFor = moveEndAt - moveOpenAt - 4*time.Second

	moveFlows = 200 // for each service
)

// move takes a data centre out and brings it in again, in both deployments of
// the users' brief and over the production cores. It counts the packets and
// requests that are still forwarded there once none may be, and how the flows and
// requests of the other data centres are served.
func (m *measurement) move() {
	tooLate := 0
	counts := trial.Counts{}
	for _, p := range []trial.Plan{trial.Teranga(), trial.Kovacsreti()} {
		t := trial.New(p, m.seed)
		centre := p.Centres[1].Name
		t.Schedule(moveOpenAt, func() { t.OpenFlows(moveFlows, moveOpenFor) })
		t.Schedule(moveOpenAt, func() { t.SendRequests(moveSendFor) })
		t.Schedule(moveOutAt, func() { t.TakeOut(centre) })
		t.Schedule(moveInAt, func() { t.BringIn(centre) })
		for _, v := range t.Run(moveEndAt) {
			if v.Promise == trial.OutCentreSilent {
				tooLate++
			}
		}
		counts = counts.Plus(t.Counts())
	}
	unaffected := counts.Established - counts.GivenUp
	m.add(bench.AtMost(bench.Tanagerweir, "PacketsToOutDataCentreAfter5s", float64(tooLate), "packets and requests", 0))
	m.add(bench.AtLeast(bench.Tanagerweir, "ServiceDuringMove:flows",
		float64(unaffected-counts.Broken)/float64(unaffected), "share of the flows of the other data centres", 1))
	m.add(bench.AtLeast(bench.Tanagerweir, "ServiceDuringMove:requests",
		float64(counts.Served)/float64(counts.Requests), "share of all requests", 1))
	m.add(bench.Measured(bench.Tanagerweir, "FlowsGivenUpInMove", float64(counts.GivenUp), "flows"))
}

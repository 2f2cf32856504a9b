package configuration

import (
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/bench"
	"github.com/tanagerweir/tanagerweir/pkg/trial"
)

// Times of a data centre's move since a trial began.
const (
	moveOpens   = 3 * time.Second // flows begin to open, requests to be sent
	moveOpenFor = 4 * time.Second // all are open 3 s before moveOut
	moveOut     = 10 * time.Second
	moveIn      = 20 * time.Second
	moveEnds    = 36 * time.Second
	// moveSends leaves the last requests time to be answered.
	moveSends = moveEnds - moveOpens - 4*time.Second

	moveFlows = 200 // of each service
)

// move takes a data centre out and brings it back in both deployments of the
// brief, over the real cores, and counts what reaches it late and how the
// flows and requests of the others are served.
func (m *measurement) move() {
	late := 0
	counts := trial.Counts{}
	for _, p := range []trial.Plan{trial.Teranga(), trial.Kovacsreti()} {
		t := trial.New(p, m.seed)
		centre := p.Centres[1].Name
		t.At(moveOpens, func() { t.OpenFlows(moveFlows, moveOpenFor) })
		t.At(moveOpens, func() { t.SendRequests(moveSends) })
		t.At(moveOut, func() { t.TakeOut(centre) })
		t.At(moveIn, func() { t.BringIn(centre) })
		for _, v := range t.Run(moveEnds) {
			if v.Promise == trial.OutCentreSilent {
				late++
			}
		}
		counts = counts.With(t.Counts())
	}
	staying := counts.Established - counts.GivenUp
	m.add(bench.AtMost(bench.Tanagerweir, "PacketsToOutDataCentreAfter5s", float64(late), "packets and requests", 0))
	m.add(bench.AtLeast(bench.Tanagerweir, "ServiceDuringMove:flows",
		float64(staying-counts.Broken)/float64(staying), "share of the flows of the other data centres", 1))
	m.add(bench.AtLeast(bench.Tanagerweir, "ServiceDuringMove:requests",
		float64(counts.Served)/float64(counts.Asked), "share of all requests", 1))
	m.add(bench.Measured(bench.Tanagerweir, "FlowsGivenUpInMove", float64(counts.GivenUp), "flows"))
}

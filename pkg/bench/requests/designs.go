package requests

import (
	"math/rand/v2"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/request/dispatch"
	"github.com/tanagerweir/tanagerweir/pkg/request/verdict"
	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
)

// Names of the baselines in rows. All of them retry refused requests.
const (
	noAdmission = "NoAdmission" // random backend servers, no limit
	fixedLimit  = "FixedLimit"  // random backend servers; an instance's limit is its equal share of all slots
	roundRobin  = "RoundRobin"  // backend servers in turn, no limit
)

// balancer decides about the requests of one instance, as dispatch.Core does.
type balancer interface {
	Begin(now time.Time, r dispatch.Request) (dispatch.Attempt, *verdict.Error)
	Complete(now time.Time, a dispatch.Attempt, o dispatch.Outcome) (dispatch.Attempt, bool)
	Ready(now time.Time) []dispatch.Decision
	Waiting() int
}

// baseline is a simple balancer for comparison, without regard to classes, budgets
// or conditions.
type baseline struct {
	current     catalogue.Catalogue
	backends    []catalogue.Backend
	random      *rand.Rand
	limit       int // of requests in flight, 0 for none
	roundRobin  bool
	maxAttempts int // for each request

	inFlight    int
	nextBackend int
}

// newBaseline returns the balancer of one of instances, in the baseline of that
// name.
func newBaseline(name string, c catalogue.Catalogue, random *rand.Rand, instances int) *baseline {
	b := &baseline{current: c, backends: c.Backends(), random: random, maxAttempts: 3}
	switch name {
	case fixedLimit:
		slots := 0
		for _, s := range b.backends {
			slots += int(s.Slots)
		}
		b.limit = max(1, slots/instances)
	case roundRobin:
		b.roundRobin = true
		b.nextBackend = random.IntN(len(b.backends))
	}
	return b
}

func (b *baseline) Begin(now time.Time, r dispatch.Request) (dispatch.Attempt, *verdict.Error) {
	if b.limit > 0 && b.inFlight >= b.limit {
		return dispatch.Attempt{}, verdict.New(verdict.NotRun, dispatch.CauseShed, nil)
	}
	class, _ := b.current.Class(r.Class)
	b.inFlight++
	return dispatch.Attempt{
		Number: 1, Class: class, Backend: b.choose(), Began: now, NotBefore: now, Request: r,
	}, nil
}

func (b *baseline) choose() catalogue.Backend {
	if b.roundRobin {
		b.nextBackend++
		return b.backends[b.nextBackend%len(b.backends)]
	}
	return b.backends[b.random.IntN(len(b.backends))]
}

func (b *baseline) Complete(now time.Time, a dispatch.Attempt, o dispatch.Outcome) (dispatch.Attempt, bool) {
	if o.Verdict != verdict.NotRun || a.Number >= b.maxAttempts || !now.Before(a.Request.Deadline) {
		b.inFlight--
		return dispatch.Attempt{}, false
	}
	a.Number++
	a.Backend = b.choose()
	a.NotBefore = now
	return a, true
}

func (b *baseline) Ready(time.Time) []dispatch.Decision { return nil }
func (b *baseline) Waiting() int                        { return 0 }

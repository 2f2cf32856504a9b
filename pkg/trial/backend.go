package trial

import (
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/process/condition"
	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
)

// Load that a backend server can take during a cold start, and its timing.
const (
	warmAfter           = 30 * time.Second
	initialFlowRate     = 0.5 // new flows a second at the beginning of a cold start
	finalFlowRate       = 4.0 // new flows a second at the end of a cold start
	coldFlowBurstLimit  = 4.0 // new flows at once while cold
	initialRequestLimit = 1   // concurrent requests at the beginning of a cold start
	workTime            = 40 * time.Millisecond
	lateAnswerDelay     = 300 * time.Millisecond // added to an answer that is late
	delayOneIn          = 30                     // one answer in this many is late
	reportLagDepth      = 64                     // reports that a lagging server may repeat
)

// Backend is a fake backend server.
type Backend struct {
	Name    string
	Service string
	Centre  string

	trial         *Trial
	slots         uint32
	busy          uint32
	runs          map[string]int
	blackholed    map[int]bool // numbers of the flows whose packets are discarded
	coldSince     time.Time
	coldAnnounced bool // instances know of the cold start without delay
	flowCredit    float64
	creditUpdated time.Time
	leavingSince  time.Time
	selfLeaving   bool
	wrongReports  int // calls of FalsifyReports that are still in effect
}

func newBackend(t *Trial, b catalogue.Backend) *Backend {
	return &Backend{
		Name: b.Name, Service: b.Service, Centre: b.DataCentre, trial: t, slots: b.Slots,
		runs: make(map[string]int), blackholed: make(map[int]bool),
	}
}

// TurnCold begins a cold start of the server. announced says that instances
// know of it without delay, as of a server that is added; otherwise they learn
// of it from its reports.
func (b *Backend) TurnCold(announced bool) {
	b.coldSince = b.trial.now
	b.coldAnnounced = announced
	b.flowCredit = coldFlowBurstLimit
	b.creditUpdated = b.trial.now
}

// Drain makes the server begin to leave on its own: its reports and list entry
// say that it is leaving, and it refuses new work.
func (b *Backend) Drain() {
	if b.selfLeaving {
		return
	}
	b.selfLeaving = true
	b.leavingSince = b.trial.now
	b.trial.publishList()
}

// FalsifyReports makes the reports of the server wrong for d: whether it is cold
// is inverted, and so is the number of its busy slots.
func (b *Backend) FalsifyReports(d time.Duration) {
	b.wrongReports++
	b.trial.after(d, func() { b.wrongReports-- })
}

func (b *Backend) cold() bool {
	return !b.coldSince.IsZero() && b.trial.now.Sub(b.coldSince) < warmAfter
}

// warmUpShare returns the share of the cold start that has passed, from 0 to 1.
// It is 1 for a warm server.
func (b *Backend) warmUpShare() float64 {
	if !b.cold() {
		return 1
	}
	return float64(b.trial.now.Sub(b.coldSince)) / float64(warmAfter)
}

// report returns the present report of the server, and whether it answers.
func (b *Backend) report() (condition.Report, bool) {
	r := condition.Report{
		Backend: b.Name, Slots: b.slots, Busy: b.busy, Cold: b.cold(), Leaving: b.selfLeaving,
	}
	if b.wrongReports > 0 {
		r.Cold = !r.Cold
		r.Busy = b.slots - min(b.busy, b.slots)
	}
	return r, true
}

// mustKnowCold reports whether n must know by now that the server is cold: at once
// if the cold start was announced, otherwise after the time in which any change
// takes effect.
func (b *Backend) mustKnowCold(n *Node) bool {
	return b.cold() && (b.coldAnnounced || n.mustReflect(b.coldSince))
}

// countNewFlow counts a new flow from n against the rate that the server can
// take while it is cold, and records a violation if it exceeds that rate.
func (b *Backend) countNewFlow(n *Node) {
	if !b.cold() {
		return
	}
	rate := initialFlowRate + (finalFlowRate-initialFlowRate)*b.warmUpShare()
	b.flowCredit += rate * b.trial.now.Sub(b.creditUpdated).Seconds()
	b.flowCredit = min(b.flowCredit, coldFlowBurstLimit)
	b.creditUpdated = b.trial.now
	if b.flowCredit < 1 && b.mustKnowCold(n) {
		b.trial.violate(ColdProtected, "%s gave %s more new flows than it can take while cold", n.Name, b.Name)
		return
	}
	b.flowCredit = max(b.flowCredit-1, 0)
}

// coldRequestLimit returns how many concurrent requests the server can take
// now. It grows to the number of slots during a cold start.
func (b *Backend) coldRequestLimit() uint32 {
	return initialRequestLimit + uint32(float64(b.slots-initialRequestLimit)*b.warmUpShare())
}

// handle runs a request or refuses it, and calls answer once it has ended. A
// violation is recorded if the request exceeds what the cold server can take.
func (b *Backend) handle(n *Node, s *submission, answer func(ran bool, body string)) {
	if b.cold() && b.busy >= b.coldRequestLimit() && b.mustKnowCold(n) {
		b.trial.violate(ColdProtected, "%s gave %s request %d at once, but it can take only %d while cold", n.Name, b.Name, b.busy+1, b.coldRequestLimit())
	}
	if b.busy >= b.slots || b.selfLeaving {
		answer(false, "")
		return
	}
	b.busy++
	b.runs[s.request.identifier]++
	s.ran = true
	b.trial.countRun(s.request)
	b.trial.after(workTime, func() {
		b.busy--
		answer(true, s.request.body())
	})
}

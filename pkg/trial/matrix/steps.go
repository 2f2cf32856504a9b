package matrix

import (
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/trial"
)

// Step is one step of operation, such as a change of the configuration.
type Step struct {
	Name string
	// Description describes the step in a few words, for the page.
	Description string
	// prepare is called before the trial runs and schedules the step.
	prepare func(t *trial.Trial)
}

// Schedule of a cell: times since its trial began (At, End) and durations (For).
const (
	stepAt      = 8 * time.Second
	earlyAt     = 3 * time.Second  // the first configuration is in force by then
	earlyFor    = 3 * time.Second  // during which the first flows open
	trickleFor  = 12 * time.Second // during which further flows open in the background
	burstFor    = 2 * time.Second
	requestsFor = 12 * time.Second
	outFor      = 6 * time.Second
	absentFor   = 2 * time.Second
	cellEnd     = 30 * time.Second
)

// Numbers of flows that a cell opens for each service.
const (
	earlyFlows   = 40
	trickleFlows = 40
	burstFlows   = 40
)

// The burst of requests just before a planned stop. It is so large that some
// are in flight and some wait for a slot when the instance stops.
const (
	burstRequests = 120
	burstLead     = 10 * time.Millisecond
)

// changedShare is the target share that the step ConfigurationChange sets.
const changedShare = 0.98

// Steps returns all steps.
func Steps() []Step {
	return []Step{
		{"FlowBegins", "many flows begin", flowBegins},
		{"FlowContinues", "open flows go on and nothing else is done", func(*trial.Trial) {}},
		{"Request", "twice the usual requests are sent", sendRequests},
		{"ConfigurationChange", "a target is changed", configurationChange},
		{"DataCentreOut", "a data centre is taken out", dataCentreOut},
		{"DataCentreIn", "a data centre that was taken out is brought back", dataCentreIn},
		{"BackendDrain", "an operator drains a backend server", backendDrain},
		{"ColdStart", "a backend server is added, which starts cold", coldStart},
		{"Join", "a new instance joins", join},
		{"PlannedStop", "an instance stops as planned", plannedStop},
	}
}

// background schedules the flows and requests that every cell has.
func background(t *trial.Trial) {
	t.Schedule(earlyAt, func() { t.OpenFlows(earlyFlows, earlyFor) })
	t.Schedule(stepAt-burstFor, func() {
		t.OpenFlows(trickleFlows, trickleFor)
		t.SendRequests(requestsFor)
	})
}

func flowBegins(t *trial.Trial) {
	t.Schedule(stepAt, func() { t.OpenFlows(burstFlows, burstFor) })
}

func sendRequests(t *trial.Trial) {
	t.Schedule(stepAt, func() { t.SendRequests(requestsFor / 2) })
}

func configurationChange(t *trial.Trial) {
	t.Schedule(stepAt, func() { t.Retarget("operator-1", changedShare) })
}

func dataCentreOut(t *trial.Trial) {
	t.Schedule(stepAt, func() { t.TakeOut(t.Plan().Centres[0].Name) })
}

func dataCentreIn(t *trial.Trial) {
	name := t.Plan().Centres[0].Name
	t.Schedule(stepAt-outFor/2, func() { t.TakeOut(name) })
	t.Schedule(stepAt+outFor/2, func() { t.BringIn(name) })
}

func backendDrain(t *trial.Trial) {
	t.Schedule(stepAt, func() { t.DrainBackend(t.Backends(t.Plan().Services[0].Name)[0].Name) })
}

func coldStart(t *trial.Trial) {
	t.Schedule(stepAt, func() { t.AddBackend(t.Plan().Services[0].Name) })
}

func join(t *trial.Trial) {
	centres := t.Plan().Centres
	t.Schedule(stepAt, t.HoldBack(centres[len(centres)-1].Name))
}

func plannedStop(t *trial.Trial) {
	t.Schedule(stepAt, func() {
		t.Burst(burstRequests)
		t.Schedule(burstLead, func() { t.Stop(drawInstance(t), absentFor) })
	})
}

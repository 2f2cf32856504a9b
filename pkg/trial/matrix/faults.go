package matrix

import (
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/trial"
)

// Fault is one kind of failure.
type Fault struct {
	Name string
	// Description describes the fault in a few words, for the page.
	Description string
	// prepare is called before the trial runs, once for each occurrence, and
	// returns the function that causes the fault. n counts the occurrences from
	// 0.
	prepare func(t *trial.Trial, n int) func()
}

// Bounds of random choices, and sizes of faults.
const (
	minFaultTime       = time.Second             // shortest duration of a fault
	maxFaultTime       = 7 * time.Second         // longest duration of a fault, exclusive
	platformDelay      = 1200 * time.Millisecond // added to every call while the platform is slow
	listLag            = 10 * time.Second        // added to the age of the list while it lags
	misleadingBackends = 3                       // backend servers with wrong reports
	isolatedInstances  = 2                       // instances that updates reach late
	operator3Share     = 0.95                    // target share that operator-3 sets
	operator4Share     = 0.97                    // target share that operator-4 sets at the same time
	pausedWriterShare  = 0.96                    // target share that a paused writer sets
)

// Faults returns all faults, in the order of the users' list.
func Faults() []Fault {
	return []Fault{
		{"InstanceDies", "an instance dies; another starts with empty state in its place", instanceDies},
		{"InstanceJoinsBlank", "an instance joins with empty state", instanceJoins},
		{"InstancePaused", "an instance is paused and resumes late", instancePaused},
		{"BackendDrains", "a backend server leaves by itself", backendDrains},
		{"BackendTurnsCold", "a backend server turns cold without warning", backendTurnsCold},
		{"UpdatesUneven", "updates reach two instances late", updatesUneven},
		{"CentresCut", "one data centre is cut off from the others", centresCut},
		{"PlatformCut", "one data centre is cut off from the platform", platformCut},
		{"PlatformDown", "the platform answers no calls", platformDown},
		{"PlatformSlow", "every call on the platform takes 1.2 s longer", platformSlow},
		{"AnswerLost", "writes on the platform take effect and their answers are lost", answerLost},
		{"LeaseLapsed", "an instance is paused between its read and its write", leaseLapsed},
		{"TwoOperators", "two operators change the same target at once", twoOperators},
		{"FlowsBlackholed", "open flows go silent for good while new ones work", flowsBlackholed},
		{"ListLags", "the platform's list is 10 s old", listLags},
		{"ReportsMislead", "the reports of three backend servers are wrong", reportsMislead},
	}
}

// drawDuration draws the duration of a fault.
func drawDuration(t *trial.Trial) time.Duration {
	return minFaultTime + time.Duration(t.Random().Int64N(int64(maxFaultTime-minFaultTime)))
}

func drawInstance(t *trial.Trial) *trial.Node {
	instances := t.Instances()
	return instances[t.Random().IntN(len(instances))]
}

func drawBackend(t *trial.Trial) *trial.Backend {
	services := t.Plan().Services
	backends := t.Backends(services[t.Random().IntN(len(services))].Name)
	return backends[t.Random().IntN(len(backends))]
}

func drawDataCentre(t *trial.Trial) string {
	centres := t.Plan().Centres
	return centres[t.Random().IntN(len(centres))].Name
}

func instanceDies(t *trial.Trial, _ int) func() {
	return func() { t.Kill(drawInstance(t), drawDuration(t)) }
}

func instanceJoins(t *trial.Trial, n int) func() {
	return t.HoldBack(t.Plan().Centres[n%len(t.Plan().Centres)].Name)
}

func instancePaused(t *trial.Trial, _ int) func() {
	return func() { t.Freeze(drawInstance(t), drawDuration(t)) }
}

func backendDrains(t *trial.Trial, _ int) func() {
	return func() { drawBackend(t).Drain() }
}

func backendTurnsCold(t *trial.Trial, _ int) func() {
	return func() { drawBackend(t).TurnCold(false) }
}

func updatesUneven(t *trial.Trial, _ int) func() {
	return func() {
		d := drawDuration(t)
		for range isolatedInstances {
			t.Isolate(drawInstance(t), d)
		}
	}
}

func centresCut(t *trial.Trial, _ int) func() {
	return func() {
		d, isolated := drawDuration(t), drawDataCentre(t)
		for _, other := range t.Plan().Centres {
			if other.Name != isolated {
				t.Cut(isolated, other.Name, d)
			}
		}
	}
}

func platformCut(t *trial.Trial, _ int) func() {
	return func() { t.CutPlatform(drawDataCentre(t), drawDuration(t)) }
}

func platformDown(t *trial.Trial, _ int) func() {
	return func() { t.Platform.Down(drawDuration(t)) }
}

func platformSlow(t *trial.Trial, _ int) func() {
	return func() { t.Platform.Slow(platformDelay, drawDuration(t)) }
}

func answerLost(t *trial.Trial, _ int) func() {
	return func() { t.Platform.LoseAnswers(drawDuration(t)) }
}

func leaseLapsed(t *trial.Trial, _ int) func() {
	return func() { t.PauseWriter(pausedWriterShare, drawDuration(t)) }
}

func twoOperators(t *trial.Trial, _ int) func() {
	return func() {
		t.Retarget("operator-3", operator3Share)
		t.Retarget("operator-4", operator4Share)
	}
}

func flowsBlackholed(t *trial.Trial, _ int) func() { return t.Blackhole }

func listLags(t *trial.Trial, _ int) func() {
	return func() { t.Platform.Lag(listLag, drawDuration(t)) }
}

func reportsMislead(t *trial.Trial, _ int) func() {
	return func() {
		d := drawDuration(t)
		for range misleadingBackends {
			drawBackend(t).FalsifyReports(d)
		}
	}
}

package matrix

import "github.com/tanagerweir/tanagerweir/pkg/trial"

// Reasons why a promise is not checked in a cell.
const (
	reasonNoneCold    = "no backend server is cold"
	reasonNoneOut     = "no data centre is out"
	reasonNoneLeaving = "no backend server is leaving"
	reasonNoneStops   = "no instance stops as planned"
)

// Unchecked returns the reason why the promise is not checked for the step
// under the fault, or an empty string if it is checked.
func Unchecked(p trial.Promise, f Fault, s Step) string {
	switch p {
	case trial.ColdProtected:
		if s.Name != "ColdStart" && f.Name != "BackendTurnsCold" {
			return reasonNoneCold
		}
	case trial.OutCentreSilent:
		if s.Name != "DataCentreOut" && s.Name != "DataCentreIn" {
			return reasonNoneOut
		}
	case trial.LeavingGetsNoWork:
		if s.Name != "BackendDrain" && f.Name != "BackendDrains" {
			return reasonNoneLeaving
		}
	case trial.StopCutsNothing:
		if s.Name != "PlannedStop" {
			return reasonNoneStops
		}
	case trial.FlowSurvives, trial.RightService, trial.WholeAnswer, trial.NotRunIsTrue,
		trial.AtMostOnce, trial.ConfigurationStands:
	}
	return ""
}

// checkDescription describes what a cell checks for a promise, for the page.
func checkDescription(p trial.Promise) string {
	switch p {
	case trial.FlowSurvives:
		return "no packet of an established flow goes to another backend server than its first, and no flow is silent once the faults are over; " +
			"left out are flows that end in a data centre taken out and flows that the fault itself blackholed"
	case trial.RightService:
		return "no packet and no request goes to a backend server of another service"
	case trial.ColdProtected:
		return "a cold backend server gets no more concurrent requests and new flows a second than it can take, " +
			"from the beginning of an announced cold start, and from 5 s after the beginning of any other"
	case trial.OutCentreSilent:
		return "5 s after a data centre is taken out, no instance that the change could reach sends a packet or request there"
	case trial.WholeAnswer:
		return "the answer that a caller gets is the one to its own request, and its verdict is Ran only if the request ran; answers may be late or arrive twice"
	case trial.NotRunIsTrue:
		return "no submission with the verdict NotRun has run or runs later; " +
			"whether another submission of the same key ran is checked by TestKeyThatRanElsewhereIsNotSaidNotRun"
	case trial.AtMostOnce:
		return "no request that may not be repeated runs twice, the caller's own repetitions after NotRun included"
	case trial.LeavingGetsNoWork:
		return "5 s after a backend server began to leave it gets no request and no new flow " +
			"from an instance that the change could reach"
	case trial.StopCutsNothing:
		return "an instance that stops as planned has nothing in flight when it ends"
	case trial.ConfigurationStands:
		return "an accepted configuration is in force after 5 s on every instance that it could reach, " +
			"the version of no instance decreases, and no accepted operation is lost"
	}
	return ""
}

package trial

import (
	"fmt"
	"time"
)

// Promise names a guarantee of the load balancer that every trial checks.
type Promise string

// The promises, in the order of the users' list.
const (
	FlowSurvives        Promise = "FlowSurvives"
	RightService        Promise = "RightService"
	ColdProtected       Promise = "ColdProtected"
	OutCentreSilent     Promise = "OutCentreSilent"
	WholeAnswer         Promise = "WholeAnswer"
	NotRunIsTrue        Promise = "NotRunIsTrue"
	AtMostOnce          Promise = "AtMostOnce"
	LeavingGetsNoWork   Promise = "LeavingGetsNoWork"
	StopCutsNothing     Promise = "StopCutsNothing"
	ConfigurationStands Promise = "ConfigurationStands"
)

// Promises lists every promise.
func Promises() []Promise {
	return []Promise{
		FlowSurvives, RightService, ColdProtected, OutCentreSilent, WholeAnswer,
		NotRunIsTrue, AtMostOnce, LeavingGetsNoWork, StopCutsNothing, ConfigurationStands,
	}
}

// EffectTime is the longest time in which a change must take effect on every
// instance that it can reach.
const EffectTime = 5 * time.Second

// Violation is one observed violation of a promise.
type Violation struct {
	Promise Promise
	// At is the time since the trial began.
	At time.Duration
	// Description describes what was observed.
	Description string
}

// String returns the violation on one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s after %s: %s", v.Promise, v.At.Round(time.Millisecond), v.Description)
}

// violate records a violation of p now.
func (t *Trial) violate(p Promise, format string, args ...any) {
	t.violations = append(t.violations, Violation{Promise: p, At: t.now.Sub(t.began), Description: fmt.Sprintf(format, args...)})
}

package dispatch

import (
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/version/health"

	"github.com/tanagerweir/tanagerweir/pkg/request/verdict"
	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
)

// Causes of refusals and failed attempts, as callers and reports see them.
const (
	CauseUnknownClass    = "UnknownClass"
	CauseNoConfiguration = "NoConfiguration"
	CauseNoBackend       = "NoBackend"
	CauseShed            = "Shed"
	CauseStopping        = "Stopping"
	CauseDial            = "DialFailed"
	CauseRefused         = "Refused"
	CauseBroken          = "Broken"
	CauseLate            = "Late"
	CauseTooLate         = "TooLate"
	CauseCancelled       = "Cancelled"
	CauseForeign         = "ForeignAnswer"
)

// Member is an instance that shares the backend servers' slots.
type Member struct {
	Name       string
	DataCentre string
}

// Condition is the reported state of one backend server.
type Condition struct {
	Backend string
	State   health.State
}

// Request is a caller's request for a class of work. A zero Deadline counts as
// past.
type Request struct {
	Class    string
	Deadline time.Time
}

// Attempt is one transmission of a request to a backend server.
type Attempt struct {
	Ticket  string
	Number  int
	Class   catalogue.Class
	Backend catalogue.Backend
	// Began is when the request arrived, the same for each of its attempts.
	Began time.Time
	// NotBefore is the earliest time to send the attempt; a retry that backs
	// off has one in the future.
	NotBefore time.Time
	// Waiting says that no slot is free yet. Ready returns the attempt when
	// it may be sent, or with a refusal at GiveUpAt at the latest.
	Waiting  bool
	GiveUpAt time.Time
	Request  Request

	borrowed bool
	// mayHaveRun says that an earlier attempt of the request may have run.
	mayHaveRun bool
}

// Verdict returns the verdict on the whole request when its last attempt ends
// with v. NotRun becomes MayHaveRun if an earlier attempt may have run.
func (a Attempt) Verdict(v verdict.Verdict) verdict.Verdict {
	if a.mayHaveRun && v == verdict.NotRun {
		return verdict.MayHaveRun
	}
	return v
}

// Outcome is how an attempt ended.
type Outcome struct {
	Verdict verdict.Verdict
	Cause   string
	// Cold says that the refusing backend server reported itself as cold.
	Cold bool
	// RetryAfter is how long the backend server asks not to be sent work; zero
	// means that it gave no time.
	RetryAfter time.Duration
}

// Decision ends the wait of an attempt: it is to be sent if Refusal is nil, and
// refused otherwise.
type Decision struct {
	Attempt Attempt
	Refusal *verdict.Error
}

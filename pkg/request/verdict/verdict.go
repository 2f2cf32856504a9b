// Package verdict says whether a request may have run.
//
// Every failure of a request carries a Verdict. NotRun guarantees that nothing
// of the request can have taken effect, so that sending it again is safe.
// MayHaveRun guarantees nothing.
//
// # Usage
//
//	if v := verdict.Of(err); v == verdict.NotRun {
//		retry()
//	}
package verdict

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"
)

// Verdict says whether a request took effect.
type Verdict uint8

// Verdicts, in ascending order of what is known.
const (
	// MayHaveRun says that it is unknown whether the request took effect. It is
	// the zero value, so an error without a verdict counts as this.
	MayHaveRun Verdict = iota
	// NotRun says that the request has taken no effect and never will.
	NotRun
	// Ran says that the request took effect.
	Ran
)

// String returns the verdict's name as callers see it.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "NotRun"
	case Ran:
		return "Ran"
	}
	return "MayHaveRun"
}

// Error is a failure with its verdict.
type Error struct {
	Verdict Verdict
	// Cause is a short name by which reports count, such as "Shed".
	Cause string
	// RetryAfter is how long to wait before another try; zero gives no time.
	RetryAfter time.Duration
	Err        error
}

// New returns an Error. err may be nil.
func New(v Verdict, cause string, err error) *Error {
	return &Error{Verdict: v, Cause: cause, Err: err}
}

// WithRetryAfter returns a copy of e with that RetryAfter.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	copied := *e
	copied.RetryAfter = d
	return &copied
}

// Error describes the failure.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: %s", e.Verdict, e.Cause)
	}
	return fmt.Sprintf("%s: %s: %v", e.Verdict, e.Cause, e.Err)
}

// Unwrap returns the wrapped error, nil if there is none.
func (e *Error) Unwrap() error { return e.Err }

// Of returns the verdict of err: Ran for nil, MayHaveRun for an error without a
// verdict.
func Of(err error) Verdict {
	if err == nil {
		return Ran
	}
	var failure *Error
	if errors.As(err, &failure) {
		return failure.Verdict
	}
	return MayHaveRun
}

// Package clock holds times and ages that may be "never".
//
// Instances compare what they know by its age. An instance that has just started knows
// nothing, and a plain number can't say so: the time 0 is the start of the instance, so that
// its age is that of something learnt at the start. The zero values of Time and Age are
// "never", and their comparisons treat it as longer ago than any time.
//
// # Usage
//
//	var confirmed clock.Time // never
//	confirmed = confirmed.Latest(clock.At(now))
//	send(confirmed.Age(now))
//	if received.AtMost(limit) {
//		confirmed = confirmed.Latest(received.Before(now))
//	}
package clock

import (
	"log/slog"
	"time"
)

// Time is a reading of a monotonic clock, or never.
type Time struct {
	reading time.Duration
	known   bool
}

// At returns the time at which the clock read that much since its start. It may be negative,
// for what was learnt of others and is older than the start.
func At(reading time.Duration) Time { return Time{reading: reading, known: true} }

// Known reports whether the time isn't never.
func (t Time) Known() bool { return t.known }

// Or returns the clock's reading at t, or fallback if t is never.
func (t Time) Or(fallback time.Duration) time.Duration {
	if !t.known {
		return fallback
	}
	return t.reading
}

// NotBefore reports whether t is at the given reading of the clock or later. Never isn't.
func (t Time) NotBefore(reading time.Duration) bool { return t.known && t.reading >= reading }

// Latest returns the later one of two times.
func (t Time) Latest(u Time) Time {
	if !t.known || u.known && u.reading > t.reading {
		return u
	}
	return t
}

// Earliest returns the earlier one of two times. If one is never, so is the result.
func Earliest(t, u Time) Time {
	if !t.known || u.known && t.reading < u.reading {
		return t
	}
	return u
}

// Age returns how long before now t was.
func (t Time) Age(now time.Duration) Age {
	if !t.known {
		return Age{}
	}
	return Ago(now - t.reading)
}

// Age is how long ago something was, or never.
type Age struct {
	duration time.Duration
	known    bool
}

// Ago returns the age of something that was so long ago.
func Ago(duration time.Duration) Age { return Age{duration: duration, known: true} }

// Known reports whether the age isn't that of something that never was.
func (a Age) Known() bool { return a.known }

// AtMost reports whether something was, and at most so long ago.
func (a Age) AtMost(limit time.Duration) bool { return a.known && a.duration <= limit }

// Or returns the age as a duration, or fallback if it is never.
func (a Age) Or(fallback time.Duration) time.Duration {
	if !a.known {
		return fallback
	}
	return a.duration
}

// Newest returns the smaller one of two ages.
func Newest(a, b Age) Age {
	if !a.known || b.known && b.duration < a.duration {
		return b
	}
	return a
}

// Before returns the time that was so long before now.
func (a Age) Before(now time.Duration) Time {
	if !a.known {
		return Time{}
	}
	return At(now - a.duration)
}

// Add returns the age after that much more time.
func (a Age) Add(d time.Duration) Age {
	if !a.known {
		return a
	}
	return Ago(a.duration + d)
}

// Equal reports whether two ages are the same, for comparisons of messages.
func (a Age) Equal(b Age) bool { return a == b }

// String returns the age with its unit, or "never".
func (a Age) String() string {
	if !a.known {
		return "never"
	}
	return a.duration.String()
}

// LogValue returns the age as a duration, or the text "never".
func (a Age) LogValue() slog.Value {
	if !a.known {
		return slog.StringValue(a.String())
	}
	return slog.DurationValue(a.duration)
}

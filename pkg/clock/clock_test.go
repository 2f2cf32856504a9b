package clock_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/tanagerweir/tanagerweir/pkg/clock"
)

// Guards against a time at which nothing was learnt yet that passes for the start of the
// instance.
func TestNeverIsLongerAgoThanAnyTime(t *testing.T) {
	var never clock.Time
	const now = time.Second
	if never.Known() || never.NotBefore(-time.Hour) || never.Age(now).AtMost(24*time.Hour) || never.Age(now).Before(now).Known() || never.Age(now).Add(now).Known() {
		t.Error("never counts as a time")
	}
	for _, reading := range []time.Duration{-time.Hour, 0, time.Hour} {
		if at := clock.At(reading); never.Latest(at) != at || at.Latest(never) != at {
			t.Errorf("never is later than %v", reading)
		}
	}
	if got := never.Age(now).LogValue().String(); got != "never" {
		t.Errorf("logged as %q", got)
	}
}

func TestAgesAndTimesSurviveEachOther(t *testing.T) {
	const now = 5 * time.Second
	for _, reading := range []time.Duration{-time.Second, 0, now} {
		at := clock.At(reading)
		age := at.Age(now)
		if d := cmp.Diff(clock.Ago(now-reading), age); d != "" {
			t.Error(d)
		}
		if age.Before(now) != at || !at.NotBefore(reading) || at.NotBefore(reading+1) || !age.AtMost(now-reading) || age.AtMost(now-reading-1) {
			t.Errorf("reading %v: age %v", reading, age)
		}
	}
	if early, late := clock.At(1), clock.At(2); early.Latest(late) != late || late.Latest(early) != late {
		t.Error("the later time isn't the latest")
	}
}

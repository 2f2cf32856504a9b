package timeline_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/tanagerweir/tanagerweir/pkg/emulation/timeline"
)

func TestEventsHappenInOrderOfTimeThenOfPlanning(t *testing.T) {
	clock := timeline.New()
	defer clock.Close()
	var got []string
	record := func(name string) func() { return func() { got = append(got, name) } }
	clock.After(3*time.Second, record("third"))
	clock.After(time.Second, func() {
		record("first")()
		clock.At(0, record("in the past, so at once"))
	})
	clock.After(2*time.Second, record("second"))
	clock.After(2*time.Second, record("second, scheduled later"))
	clock.Timer(time.Second, record("cancelled")).Stop()
	clock.After(9*time.Second, record("after the end"))
	clock.Run(4 * time.Second)
	want := []string{"first", "in the past, so at once", "second", "second, scheduled later", "third"}
	if diff := cmp.Diff(want, got); diff != "" || clock.Now() != 4*time.Second {
		t.Errorf("events that ran by %v (-want +got): %s", clock.Now(), diff)
	}
}

func TestProcessesWaitInVirtualTime(t *testing.T) {
	clock := timeline.New()
	var got []time.Duration
	clock.Go(func() {
		clock.Pause(time.Second)
		got = append(got, clock.Now())
		clock.Wait(func(done func()) {
			clock.After(time.Second, done)
			clock.After(5*time.Second, done)
		})
		got = append(got, clock.Now())
		// The second call of done, at 6 s, must not end this wait.
		clock.Pause(time.Minute)
		got = append(got, clock.Now())
	})
	interrupted := clock.Go(func() {
		clock.Pause(time.Hour)
		got = append(got, clock.Now())
	})
	clock.After(3*time.Second, func() { interrupted.Interrupt() })
	clock.Run(10 * time.Second)
	if diff := cmp.Diff([]time.Duration{time.Second, 2 * time.Second, 3 * time.Second}, got); diff != "" {
		t.Error(diff)
	}
	clock.Close()
	if len(got) != 4 {
		t.Errorf("%d waits have returned after Close, want 4: the one of a minute has to return at Close", len(got))
	}
}

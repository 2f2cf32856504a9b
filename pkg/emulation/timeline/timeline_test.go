package timeline_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/tanagerweir/tanagerweir/pkg/emulation/timeline"
)

func TestEventsHappenInOrderOfTimeThenOfPlanning(t *testing.T) {
	line := timeline.New()
	defer line.Close()
	var got []string
	note := func(name string) func() { return func() { got = append(got, name) } }
	line.After(3*time.Second, note("third"))
	line.After(time.Second, func() {
		note("first")()
		line.At(0, note("late, so at once"))
	})
	line.After(2*time.Second, note("second"))
	line.After(2*time.Second, note("second, planned later"))
	line.Timer(time.Second, note("called off")).Stop()
	line.After(9*time.Second, note("after the end"))
	line.Run(4 * time.Second)
	want := []string{"first", "late, so at once", "second", "second, planned later", "third"}
	if diff := cmp.Diff(want, got); diff != "" || line.Now() != 4*time.Second {
		t.Errorf("at %v: %s", line.Now(), diff)
	}
}

func TestProcessesWaitInVirtualTime(t *testing.T) {
	line := timeline.New()
	var got []time.Duration
	line.Go(func() {
		line.Pause(time.Second)
		got = append(got, line.Now())
		line.Wait(func(done func()) {
			line.After(time.Second, done)
			line.After(5*time.Second, done)
		})
		got = append(got, line.Now())
		// The second call of done must not end this wait.
		line.Pause(time.Minute)
		got = append(got, line.Now())
	})
	interrupted := line.Go(func() {
		line.Pause(time.Hour)
		got = append(got, line.Now())
	})
	line.After(3*time.Second, func() { interrupted.Interrupt() })
	line.Run(10 * time.Second)
	if diff := cmp.Diff([]time.Duration{time.Second, 2 * time.Second, 3 * time.Second}, got); diff != "" {
		t.Error(diff)
	}
	line.Close()
	if len(got) != 4 {
		t.Errorf("%d steps, the process that waits has to end at Close", len(got))
	}
}

package admission_test

import (
	"testing"
	"time"
)

// Shows what holding openings in the instance until its next tick would bring against
// rejecting them at once, and guards against rejecting them at once falling further behind:
// holding serves up to 0.1 more of all requests in crowds of a second.
func TestRejectingAtOnceAgainstHolding(t *testing.T) {
	const mostBehind, mostUrgentBehind = 0.12, 0.08
	for _, length := range []time.Duration{300 * time.Millisecond, time.Second, crowdLength} {
		for _, factor := range []float64{1.5, 5} {
			for _, target := range []time.Duration{longTarget, shortTarget} {
				l := load{factor: factor, urgent: 1. / 7, flags: true, length: length, targets: both(target)}
				f, held := play(l.withDefaults(product)), play(l.withDefaults(holding))
				onTime, heldOnTime := share(f.onTime, f.asked), share(held.onTime, held.asked)
				urgent, heldUrgent := share(f.urgentOnTime, f.urgentAsked), share(held.urgentOnTime, held.urgentAsked)
				t.Logf("%v at %v times, target %v: on time %.3f of all, held %.3f; urgent %.3f, held %.3f; attempts %.2f, held %.2f",
					length, factor, target, onTime, heldOnTime, urgent, heldUrgent, f.attempts(), held.attempts())
				if onTime < heldOnTime-mostBehind || urgent < heldUrgent-mostUrgentBehind && length > 300*time.Millisecond {
					t.Error("rejecting at once falls behind holding")
				}
			}
		}
	}
}

func share(part, all int) float64 { return float64(part) / float64(max(all, 1)) }

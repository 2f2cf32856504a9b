package dispatch

import "time"

// Rules for borrowed slots.
const (
	borrowPauseBase      = 10 * time.Millisecond // after the first refusal; it doubles each time
	borrowPauseLimit     = 1 * time.Second
	borrowPauseDoublings = 7
)

// borrowing limits the attempts beyond the instance's own slots by additive
// increase and multiplicative decrease: the window grows by one with each window
// of answers and halves with each refusal.
type borrowing struct {
	window      float64 // attempts allowed in flight
	busy        int     // attempts in flight
	pausedUntil time.Time
	netRefusals int // refusals less answers, at least 0
}

func (b *borrowing) allowed(now time.Time) int {
	if now.Before(b.pausedUntil) {
		return 0
	}
	return max(1, int(b.window))
}

// answered widens the window; limit is the service's number of slots.
func (b *borrowing) answered(limit int) {
	b.netRefusals = max(0, b.netRefusals-1)
	b.window = min(b.window+1/max(1, b.window), float64(limit))
}

// refused halves the window and pauses borrowing. backoff is random, from 0 to
// 1: the pause lasts 0.5+backoff times its length.
func (b *borrowing) refused(now time.Time, backoff float64) {
	b.window /= 2
	pause := min(borrowPauseBase<<min(b.netRefusals, borrowPauseDoublings), borrowPauseLimit)
	b.pausedUntil = now.Add(time.Duration(float64(pause) * (0.5 + backoff)))
	b.netRefusals++
}

package admission

import "time"

const (
	// firstSamples is the number of answers from which a baseline is usable.
	firstSamples = 30
	// baselineStep is the change of a baseline by one answer, of which learntInWindow
	// count in each window. Before the onset of a shortage is noticed, the baseline
	// changes by less than a tenth; a fifth in a second is possible.
	baselineStep, learntInWindow = 0.005, 8
	// firstStep is the sum of the first changes, which find the baseline quickly.
	firstStep = 0.5
	// estimatesWeight is how many answers of idle servers all estimates count as, so that a
	// median that was estimated wrongly is right after some 30 of them.
	estimatesWeight = 8
	// shortAnswer is the part of the baseline below which an answer is taken for an
	// error response: work that takes a quarter of its median is rare.
	shortAnswer = 0.5
)

// baseline is the median time in which idle servers answer a route's requests. It
// includes the work and the round trips.
type baseline struct {
	median  time.Duration
	samples int
	// estimates is the number of answers of servers that weren't idle from which the median
	// was estimated.
	estimates int
	// inWindow is the number of answers that were learnt in the present window.
	inWindow int
}

// known reports whether there were enough answers.
func (b *baseline) known() bool { return b.samples+b.estimates >= firstSamples }

// estimate records an answer of servers that have so many requests a slot, as long as none of
// idle servers is known: an instance that starts amid a crowd sees only such. Requests that
// wait for each other take about as many times as long as those that don't.
func (b *baseline) estimate(waited time.Duration, load float64) {
	if b.samples >= firstSamples {
		return
	}
	b.estimates++
	b.move(time.Duration(float64(waited)/max(load, 1)), b.samples+b.estimates)
}

// learn records an answer of idle servers.
func (b *baseline) learn(waited time.Duration) {
	if b.samples >= firstSamples {
		if b.inWindow == learntInWindow {
			return
		}
		b.inWindow++
	}
	b.samples++
	b.move(waited, b.samples+min(b.estimates, estimatesWeight))
}

// move moves the median towards one answer, the less the more there were.
func (b *baseline) move(waited time.Duration, samples int) {
	if b.median == 0 {
		b.median = waited
		return
	}
	step := max(baselineStep, firstStep/float64(samples))
	if waited < b.median {
		step = -step
	}
	b.median += time.Duration(step * float64(b.median))
}

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
	// shortAnswer is the part of the baseline below which an answer is taken for an
	// error response: work that takes a quarter of its median is rare.
	shortAnswer = 0.5
)

// baseline is the median time in which idle servers answer a route's requests. It
// includes the work and the round trips.
type baseline struct {
	median  time.Duration
	samples int
	// inWindow is the number of answers that were learnt in the present window.
	inWindow int
}

// known reports whether there were enough answers.
func (b *baseline) known() bool { return b.samples >= firstSamples }

// learn records an answer of idle servers.
func (b *baseline) learn(waited time.Duration) {
	b.samples++
	if b.samples == 1 {
		b.median = waited
		return
	}
	if b.known() {
		if b.inWindow == learntInWindow {
			return
		}
		b.inWindow++
	}
	step := max(baselineStep, firstStep/float64(b.samples))
	if waited < b.median {
		step = -step
	}
	b.median += time.Duration(step * float64(b.median))
}

package capacity

import (
	"math/bits"
	"time"
)

// Outcome is how a request ended.
type Outcome uint8

// Outcomes.
const (
	// Good: the request was answered.
	Good Outcome = iota
	// Short: the answer is as short as an error and much shorter than others of the route.
	Short
	// Failed: the flow failed to open, or the request got no answer.
	Failed
)

const (
	// longestError is the length in bytes of the longest answer that counts as an error
	// whenever it comes: errors have some 100 to 200 bytes. With a header that isn't part of
	// that they have up to longestFastError, and then count only if they come faster than
	// work takes, as many good answers have that length.
	longestError     = 200
	longestFastError = 400
	// fastPart is the part of the route's average answer time below which an answer comes
	// faster than work takes: one good answer in nine, at a spread of a half.
	fastPart = 0.5
	// shortPart is the part of the route's usual answer length up to which an answer counts
	// as an error. Half keeps errors of 120 bytes apart from answers of 300.
	// Those that come fast may be longer, as a header makes errors and answers more alike.
	shortPart     = 0.5
	fastShortPart = 0.75
	// usualQuantile is the quantile that counts as the usual length. It stays among the good
	// answers while up to three in five servers fail three in five requests.
	usualQuantile = 0.7
	// leastLengths is the weight of the lengths that has to be known before any answer is
	// taken for an error.
	leastLengths = 8
	// lengthsHalved is the weight at which all lengths lose half of theirs, so that a route
	// may change its answers.
	lengthsHalved = 512
	// timeWeight is the weight of one answer in an average answer time, and
	// leastTimed the number of answers over which it is a plain average first.
	timeWeight = 1.0 / 64
	leastTimed = 64
)

// lengthSteps is the number of buckets of lengths in each power of two, and lengthBuckets
// that of all: answers of 4 GB are in the last.
const (
	lengthSteps   = 4
	lengthBuckets = 32 * lengthSteps
)

// average is an average of times, in seconds, that follows changes.
type average struct {
	seconds float64
	samples int
}

func (a *average) add(seconds float64) {
	a.samples = min(a.samples+1, leastTimed)
	a.seconds += (seconds - a.seconds) * max(1/float64(a.samples), timeWeight)
}

// Route is what is known of a service's answers on one route, whichever server they come
// from.
type Route struct {
	group   *group
	lengths [lengthBuckets]float64
	weight  float64
	usual   uint32
	// answerTime is the average time of an answer.
	answerTime average
}

// bucketOf returns the bucket of a length, and lengthOf the shortest length of a bucket.
func bucketOf(length uint32) int {
	if length < lengthSteps {
		return 0
	}
	exponent := bits.Len32(length) - 1
	return exponent*lengthSteps + int(length>>(exponent-2))&(lengthSteps-1)
}

func lengthOf(bucket int) uint32 {
	exponent := bucket / lengthSteps
	if exponent < 2 {
		return 1 << exponent
	}
	return uint32(lengthSteps+bucket%lengthSteps) << (exponent - 2)
}

// Classify learns the length in bytes of an answer that came after a time, and returns its
// outcome.
func (r *Route) Classify(length uint32, waited time.Duration) Outcome {
	r.learn(length)
	longest, part := longestError, shortPart
	if r.fast(waited) {
		longest, part = longestFastError, fastShortPart
	}
	if float64(length) <= min(float64(longest), part*float64(r.usual)) {
		return Short
	}
	return Good
}

func (r *Route) learn(length uint32) {
	r.lengths[bucketOf(length)]++
	r.weight++
	if r.weight >= lengthsHalved {
		for i := range r.lengths {
			r.lengths[i] /= 2
		}
		r.weight /= 2
	}
	if r.weight < leastLengths {
		return
	}
	rest := usualQuantile * r.weight
	for i, n := range r.lengths {
		if rest -= n; rest <= 0 {
			r.usual = lengthOf(i)
			return
		}
	}
}

// recordTime learns the time of an answer. It returns the time that an average request of
// the service would have taken there, since servers get different routes.
func (r *Route) recordTime(waited time.Duration) time.Duration {
	r.answerTime.add(waited.Seconds())
	r.group.answerTime.add(waited.Seconds())
	if r.answerTime.seconds <= 0 {
		return waited
	}
	return time.Duration(float64(waited) * r.group.answerTime.seconds / r.answerTime.seconds)
}

// fast reports whether an answer came much faster than the route's others.
func (r *Route) fast(waited time.Duration) bool {
	return waited.Seconds() < fastPart*r.answerTime.seconds
}

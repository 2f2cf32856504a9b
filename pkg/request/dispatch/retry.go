package dispatch

import (
	"math/rand/v2"
	"time"
)

// Rules for retries.
const (
	attemptLimit      = 3                    // attempts for one request
	retryTokens       = 6.0                  // in a full budget
	retryReserve      = 3.0                  // tokens; no retries at or below it
	retryAnswerCredit = 0.1                  // tokens for an answer
	retryFailureCost  = 1.0                  // tokens for a failed attempt
	retryBackOffBase  = 5 * time.Millisecond // longest back-off, doubled for each attempt made so far
)

// retryBudget keeps retries from multiplying an overload: a failed attempt costs
// more tokens than an answer earns, and the lower half of the budget allows no
// retries.
type retryBudget struct{ spent float64 }

func (r *retryBudget) answered() { r.spent = max(0, r.spent-retryAnswerCredit) }

func (r *retryBudget) failed() { r.spent = min(retryTokens, r.spent+retryFailureCost) }

func (r *retryBudget) allowed() bool { return r.spent < retryTokens-retryReserve }

// drawBackOff draws a random back-off for a retry after that many attempts.
func drawBackOff(random *rand.Rand, attempts int) time.Duration {
	return time.Duration(random.Int64N(int64(retryBackOffBase << attempts)))
}

package instance

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/tanagerweir/tanagerweir/pkg/process/control"
	"github.com/tanagerweir/tanagerweir/pkg/process/store"
	"github.com/tanagerweir/tanagerweir/pkg/request/claim"
	"github.com/tanagerweir/tanagerweir/pkg/request/verdict"
	"github.com/tanagerweir/tanagerweir/service/api"
)

const (
	claimPrefix         = "/tanagerweir/claims/"
	claimTimeout        = 500 * time.Millisecond // for all platform calls of one claim
	claimAttempts       = 2                      // the second for a key whose holder frees it meanwhile
	followUpQueueLength = 1_024                  // outcomes that may wait to be written
)

// claims claims request keys in the platform's store, and writes there how the
// requests ended.
type claims struct {
	node      *Instance
	followUps chan claim.FollowUp

	mu             sync.Mutex
	lease          store.LeaseID
	leaseRequested time.Time
}

func newClaims(i *Instance) *claims {
	return &claims{node: i, followUps: make(chan claim.FollowUp, followUpQueueLength)}
}

// begin decides on a request with a key, and claims the key in the platform's
// store where that is needed.
func (c *claims) begin(ctx context.Context, r *api.SubmitRequest) claim.Decision {
	var d claim.Decision
	c.node.state.withCore(func(now time.Time, core *control.Core) { d = core.Claims().Submit(now, submissionOf(r)) })
	if d.Step != claim.ClaimKey {
		return d
	}
	result := c.claimKey(ctx, r.GetKey(), d.Record)
	c.node.state.withCore(func(now time.Time, core *control.Core) { d = core.Claims().FinishClaim(now, r.GetKey(), result) })
	return d
}

func submissionOf(r *api.SubmitRequest) claim.Submission {
	return claim.Submission{Key: r.GetKey(), Digest: requestDigest(r), First: r.GetFirst()}
}

// requestDigest hashes the class and the body: two requests are the same if both
// are equal.
func requestDigest(r *api.SubmitRequest) uint64 {
	h := xxhash.New()
	// A hash's writes never fail.
	_, _ = h.WriteString(r.GetClass())
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(r.GetBody())
	return h.Sum64()
}

// claimKey claims the key. If it is unclear whether the claim was made, claimKey
// reads the claim that is stored under the key.
func (c *claims) claimKey(ctx context.Context, key string, r claim.Record) claim.Result {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	value, err := json.Marshal(r)
	if err != nil {
		return c.unavailable(err)
	}
	for range claimAttempts {
		lease, err := c.currentLease(ctx)
		if err != nil {
			return c.unavailable(err)
		}
		revision, err := c.node.store.Claim(ctx, claimPrefix+key, value, lease)
		if err == nil {
			return claim.Result{Won: true, Revision: revision}
		}
		existing, found, err := c.readClaim(ctx, key)
		if err != nil {
			return c.unavailable(err)
		}
		if found {
			return existing
		}
		// The holder has just freed the key, or the lease has expired.
		c.discardLease()
	}
	return c.unavailable(errors.New("the key could not be claimed, and no claim on it was found"))
}

// readClaim returns the claim that is stored under the key, if there is one.
func (c *claims) readClaim(ctx context.Context, key string) (existing claim.Result, found bool, err error) {
	entry, found, err := c.node.store.Get(ctx, claimPrefix+key)
	if err != nil || !found {
		return existing, false, err
	}
	existing.Revision = entry.Revision
	if err := json.Unmarshal(entry.Value, &existing.Record); err != nil {
		return existing, false, errors.Wrap(err, "decode claim")
	}
	return existing, true, nil
}

func (c *claims) unavailable(err error) claim.Result {
	c.node.log.Debug("Claims: the platform is not answering.", "Error", err)
	return claim.Result{Unanswered: true}
}

// currentLease returns the lease for new claims. It is valid for at least
// claim.ClaimLifetime from now on.
func (c *claims) currentLease(ctx context.Context) (store.LeaseID, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	requested := c.node.now()
	if c.lease != 0 && requested.Sub(c.leaseRequested) < claim.LeaseRotation {
		return c.lease, nil
	}
	lease, err := c.node.store.Grant(ctx, claim.ClaimLifetime+claim.LeaseRotation)
	if err != nil {
		return 0, err
	}
	c.lease = lease
	c.leaseRequested = requested
	return lease, nil
}

func (c *claims) discardLease() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease = 0
}

// finish records how a request ended and queues the write to the platform for
// run. If the platform is so slow that the queue is full, the claim stays as it
// is, and later submissions of the key get MayHaveRun.
func (c *claims) finish(key string, r *api.SubmitResponse) {
	answer := claim.Answer{
		Verdict:    api.VerdictFromWire(r.GetVerdict()),
		Cause:      r.GetCause(),
		Body:       r.GetBody(),
		RetryAfter: time.Duration(r.GetRetryAfterMilliseconds()) * time.Millisecond,
	}
	var f claim.FollowUp
	c.node.state.withCore(func(_ time.Time, core *control.Core) { f = core.Claims().Finish(key, answer) })
	if f.Key == "" {
		return
	}
	select {
	case c.followUps <- f:
	default:
		c.followUpDone(key)
	}
}

func (c *claims) followUpDone(key string) {
	c.node.state.withCore(func(_ time.Time, core *control.Core) { core.Claims().FinishFollowUp(key) })
}

// run writes the queued outcomes to the platform.
func (c *claims) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-c.followUps:
			if err := c.writeFollowUp(ctx, f); err != nil && verdict.Of(err) != verdict.NotRun {
				c.node.log.Debug("Claims: the outcome of a request with a key can't be written to the platform.", "Error", err)
			}
			c.followUpDone(f.Key)
		}
	}
}

func (c *claims) writeFollowUp(ctx context.Context, f claim.FollowUp) error {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if f.Remove {
		return c.node.store.Remove(ctx, claimPrefix+f.Key, f.Revision)
	}
	value, err := json.Marshal(f.Record)
	if err != nil {
		return errors.Wrap(err, "encode claim")
	}
	lease, err := c.currentLease(ctx)
	if err != nil {
		return err
	}
	_, err = c.node.store.SwapLeased(ctx, claimPrefix+f.Key, f.Revision, value, lease)
	return err
}

package store

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/tanagerweir/tanagerweir/pkg/request/verdict"
	"github.com/tanagerweir/tanagerweir/service/api/platform"
)

// Grant creates a lease with the time to live, rounded up to whole seconds.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	c.callCount.Add(1)
	seconds := int64((ttl + time.Second - 1) / time.Second)
	response, err := c.lease.LeaseGrant(ctx, &platform.LeaseGrantRequest{TTL: seconds})
	if err != nil {
		return 0, errors.Wrap(err, "grant lease")
	}
	return LeaseID(response.GetID()), nil
}

// KeepAlive renews the lease once. It returns false if the lease has expired.
func (c *Client) KeepAlive(ctx context.Context, lease LeaseID) (bool, error) {
	c.callCount.Add(1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := c.lease.LeaseKeepAlive(ctx)
	if err != nil {
		return false, errors.Wrap(err, "keep lease")
	}
	if err := stream.Send(&platform.LeaseKeepAliveRequest{ID: int64(lease)}); err != nil {
		return false, errors.Wrap(err, "keep lease")
	}
	response, err := stream.Recv()
	if err != nil {
		return false, errors.Wrap(err, "keep lease")
	}
	return response.GetTTL() > 0, nil
}

// Revoke ends the lease and removes the entries written under it.
func (c *Client) Revoke(ctx context.Context, lease LeaseID) error {
	c.callCount.Add(1)
	_, err := c.lease.LeaseRevoke(ctx, &platform.LeaseRevokeRequest{ID: int64(lease)})
	if err != nil {
		return errors.Wrap(err, "revoke lease")
	}
	return nil
}

// Claim creates key under the lease if it doesn't exist. The returned revision is a
// fencing token: it grows from holder to holder. If another holds the key, the error
// is ErrConflict with NotRun.
func (c *Client) Claim(ctx context.Context, key string, value []byte, lease LeaseID) (int64, error) {
	request := &platform.TxnRequest{
		Compare: []*platform.Compare{revisionEquals(key, 0)},
		Success: []*platform.RequestOp{putOp(key, value, lease)},
	}
	return c.commit(ctx, request)
}

// SwapFenced is Swap for the holder of a claim: it also requires that the claim at
// claimKey still has the fencing token. Without a token it writes nothing.
func (c *Client) SwapFenced(ctx context.Context, key string, expected int64, value []byte, claimKey string, fence int64, others ...Write) (int64, error) {
	if fence == 0 {
		return 0, verdict.New(verdict.NotRun, "NoClaim", ErrConflict)
	}
	request := &platform.TxnRequest{
		Compare: []*platform.Compare{revisionEquals(key, expected), revisionEquals(claimKey, fence)},
		Success: []*platform.RequestOp{putOp(key, value, 0)},
	}
	for _, w := range others {
		request.Success = append(request.Success, putOp(w.Key, w.Value, 0))
	}
	return c.commit(ctx, request)
}

package store

import (
	"context"

	"github.com/tanagerweir/tanagerweir/service/api/platform"
)

// SwapLeased is Swap for an entry that is removed when the lease ends.
func (c *Client) SwapLeased(ctx context.Context, key string, expected int64, value []byte, lease LeaseID) (int64, error) {
	return c.commit(ctx, &platform.TxnRequest{
		Compare: []*platform.Compare{revisionEquals(key, expected)},
		Success: []*platform.RequestOp{putOp(key, value, lease)},
	})
}

// Remove removes the entry at key if its revision is the expected one; otherwise
// the error is ErrConflict with NotRun.
func (c *Client) Remove(ctx context.Context, key string, expected int64) error {
	remove := &platform.RequestOp{Request: &platform.RequestOp_RequestDeleteRange{
		RequestDeleteRange: &platform.DeleteRangeRequest{Key: []byte(key)},
	}}
	_, err := c.commit(ctx, &platform.TxnRequest{
		Compare: []*platform.Compare{revisionEquals(key, expected)},
		Success: []*platform.RequestOp{remove},
	})
	return err
}

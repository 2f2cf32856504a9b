// Package store is a client of the platform's key-value service.
//
// A Client uses the published etcd v3 protocol: get, range, compare-and-swap,
// leases and watches. It counts its calls, an open watch as one, since the service
// limits the call rate, and that limit grows more slowly than the fleet.
//
// # Usage
//
//	client, closeClient, err := store.Dial(endpoint, transport)
//	if err != nil {
//		return err
//	}
//	defer closeClient()
//	entry, found, err := client.Get(ctx, key)
//
// The error of a failed write carries a verdict (see package verdict): NotRun if
// the comparison failed, MayHaveRun if the response was lost.
package store

import (
	"context"
	"sync/atomic"

	"github.com/go-faster/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"github.com/tanagerweir/tanagerweir/pkg/request/verdict"
	"github.com/tanagerweir/tanagerweir/service/api/platform"
)

// ErrConflict says that a compare-and-swap found another revision than expected.
var ErrConflict = errors.New("the entry's revision is not the expected one")

// messageLimit is the largest message accepted from the platform, in bytes: values
// reach one megabyte, and a range may return several.
const messageLimit = 16 << 20

// Entry is one key with its value and the revision at which it was last written.
type Entry struct {
	Key      string
	Value    []byte
	Revision int64
}

// LeaseID identifies a lease.
type LeaseID int64

// Client is a connection to the platform. It is safe for use from several
// goroutines.
type Client struct {
	kv        platform.KVClient
	watch     platform.WatchClient
	lease     platform.LeaseClient
	callCount atomic.Uint64
}

// Dial returns a client for the endpoint, an IP address with a port, and the
// function that closes it. It doesn't wait for the connection.
func Dial(endpoint string, transport credentials.TransportCredentials) (*Client, func() error, error) {
	connection, err := grpc.NewClient("passthrough:///"+endpoint,
		grpc.WithTransportCredentials(transport),
		grpc.WithDisableServiceConfig(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(messageLimit)))
	if err != nil {
		return nil, nil, errors.Wrap(err, "dial platform")
	}
	c := &Client{
		kv:    platform.NewKVClient(connection),
		watch: platform.NewWatchClient(connection),
		lease: platform.NewLeaseClient(connection),
	}
	return c, connection.Close, nil
}

// Calls returns how many calls c has made, counting an open watch as one.
func (c *Client) Calls() uint64 { return c.callCount.Load() }

// Get returns the entry at key, and whether there is one.
func (c *Client) Get(ctx context.Context, key string) (Entry, bool, error) {
	c.callCount.Add(1)
	response, err := c.kv.Range(ctx, &platform.RangeRequest{Key: []byte(key)})
	if err != nil {
		return Entry{}, false, errors.Wrapf(err, "get %s", key)
	}
	if len(response.GetKvs()) == 0 {
		return Entry{}, false, nil
	}
	return entryFromWire(response.GetKvs()[0]), true, nil
}

// Range returns the entries whose keys begin with prefix, and the revision at
// which they were read.
func (c *Client) Range(ctx context.Context, prefix string) ([]Entry, int64, error) {
	c.callCount.Add(1)
	response, err := c.kv.Range(ctx, &platform.RangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix)})
	if err != nil {
		return nil, 0, errors.Wrapf(err, "range %s", prefix)
	}
	entries := make([]Entry, 0, len(response.GetKvs()))
	for _, kv := range response.GetKvs() {
		entries = append(entries, entryFromWire(kv))
	}
	return entries, response.GetHeader().GetRevision(), nil
}

// KeyRevision returns the revision of the entry at key without reading its value, 0 if
// there is none.
func (c *Client) KeyRevision(ctx context.Context, key string) (int64, error) {
	c.callCount.Add(1)
	response, err := c.kv.Range(ctx, &platform.RangeRequest{Key: []byte(key), KeysOnly: true})
	if err != nil {
		return 0, errors.Wrapf(err, "get the revision of %s", key)
	}
	if len(response.GetKvs()) == 0 {
		return 0, nil
	}
	return response.GetKvs()[0].GetModRevision(), nil
}

// Changes is the result of RangeSince.
type Changes struct {
	// Entries are those written at the requested revision or later.
	Entries []Entry
	// Count is how many entries the prefix has in all, unchanged ones included.
	Count int64
	// Revision is the revision of the store at which the range was read.
	Revision int64
}

// RangeSince returns the entries whose keys begin with prefix and that were
// written at revision since or later. With keysOnly they carry no values.
func (c *Client) RangeSince(ctx context.Context, prefix string, since int64, keysOnly bool) (Changes, error) {
	c.callCount.Add(1)
	response, err := c.kv.Range(ctx, &platform.RangeRequest{
		Key: []byte(prefix), RangeEnd: prefixEnd(prefix), MinModRevision: since, KeysOnly: keysOnly,
	})
	if err != nil {
		return Changes{}, errors.Wrapf(err, "range %s", prefix)
	}
	changes := Changes{Count: response.GetCount(), Revision: response.GetHeader().GetRevision()}
	for _, kv := range response.GetKvs() {
		changes.Entries = append(changes.Entries, entryFromWire(kv))
	}
	return changes, nil
}

// Write is an additional entry that a swap writes in the same transaction.
type Write struct {
	Key   string
	Value []byte
}

// Swap writes value at key, and the other entries in the same transaction, if the
// entry's revision is the expected one; 0 expects that the key doesn't exist. It
// returns the new revision. If the revision is another one, the error is ErrConflict
// with NotRun; a lost response is MayHaveRun.
func (c *Client) Swap(ctx context.Context, key string, expected int64, value []byte, others ...Write) (int64, error) {
	request := &platform.TxnRequest{
		Compare: []*platform.Compare{revisionEquals(key, expected)},
		Success: []*platform.RequestOp{putOp(key, value, 0)},
	}
	for _, w := range others {
		request.Success = append(request.Success, putOp(w.Key, w.Value, 0))
	}
	return c.commit(ctx, request)
}

// RemoveRange removes every entry whose key is at least from and less than before.
func (c *Client) RemoveRange(ctx context.Context, from, before string) error {
	c.callCount.Add(1)
	_, err := c.kv.DeleteRange(ctx, &platform.DeleteRangeRequest{Key: []byte(from), RangeEnd: []byte(before)})
	if err != nil {
		return errors.Wrapf(err, "remove %s", from)
	}
	return nil
}

func (c *Client) commit(ctx context.Context, request *platform.TxnRequest) (int64, error) {
	c.callCount.Add(1)
	response, err := c.kv.Txn(ctx, request)
	if err != nil {
		return 0, verdict.New(verdict.MayHaveRun, "PlatformSilent", err)
	}
	if !response.GetSucceeded() {
		return 0, verdict.New(verdict.NotRun, "Conflict", ErrConflict)
	}
	return response.GetHeader().GetRevision(), nil
}

func revisionEquals(key string, revision int64) *platform.Compare {
	return &platform.Compare{
		Key:         []byte(key),
		Target:      platform.Compare_MOD,
		Result:      platform.Compare_EQUAL,
		TargetUnion: &platform.Compare_ModRevision{ModRevision: revision},
	}
}

func putOp(key string, value []byte, lease LeaseID) *platform.RequestOp {
	return &platform.RequestOp{Request: &platform.RequestOp_RequestPut{
		RequestPut: &platform.PutRequest{Key: []byte(key), Value: value, Lease: int64(lease)},
	}}
}

func entryFromWire(kv *platform.KeyValue) Entry {
	return Entry{Key: string(kv.GetKey()), Value: kv.GetValue(), Revision: kv.GetModRevision()}
}

// prefixEnd returns the first key after all keys that begin with prefix, or a zero
// byte, which stands for no limit.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}

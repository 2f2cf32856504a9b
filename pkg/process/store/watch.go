package store

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/tanagerweir/tanagerweir/service/api/platform"
)

// ErrCompacted says that a watch asked for a revision that the store has compacted;
// the caller has to read the key again.
var ErrCompacted = errors.New("the revision is compacted")

// Event is one change of an entry that a watch delivered.
type Event struct {
	Entry   Entry
	Deleted bool
}

// Watch calls onEvent, on the caller's goroutine, for every change at key from
// revision on, until ctx ends or the platform fails. The error is never nil; it is
// ErrCompacted if the store has compacted revision.
func (c *Client) Watch(ctx context.Context, key string, revision int64, onEvent func(Event)) error {
	c.callCount.Add(1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := c.watch.Watch(ctx)
	if err != nil {
		return errors.Wrap(err, "watch")
	}
	create := &platform.WatchCreateRequest{Key: []byte(key), StartRevision: revision}
	request := &platform.WatchRequest{RequestUnion: &platform.WatchRequest_CreateRequest{CreateRequest: create}}
	if err := stream.Send(request); err != nil {
		return errors.Wrap(err, "watch")
	}
	for {
		response, err := stream.Recv()
		if err != nil {
			return errors.Wrap(err, "watch")
		}
		if response.GetCompactRevision() != 0 {
			return errors.Wrapf(ErrCompacted, "watch %s", key)
		}
		if response.GetCanceled() {
			return errors.Errorf("watch %s: cancelled: %s", key, response.GetCancelReason())
		}
		for _, e := range response.GetEvents() {
			onEvent(Event{
				Entry:   entryFromWire(e.GetKv()),
				Deleted: e.GetType() == platform.Event_DELETE,
			})
		}
	}
}

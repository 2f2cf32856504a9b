package instance

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/tanagerweir/tanagerweir/pkg/process/archive"
	"github.com/tanagerweir/tanagerweir/pkg/process/control"
	"github.com/tanagerweir/tanagerweir/pkg/process/store"
	"github.com/tanagerweir/tanagerweir/service/api"
)

// countsPrefix is the prefix of the hourly counts in the platform's store. There
// is one key per hour and shard: countsPrefix + hour (Unix seconds) + "/" + shard.
const countsPrefix = "/tanagerweir/counts/"

const (
	foldPeriod  = time.Minute // between two folds of counts into hours
	addAttempts = 16          // attempts to swap one shard while other instances write it too
)

// archiver adds the hourly counts of this instance to those in the platform's
// store.
type archiver struct {
	node *Instance
}

func newArchiver(i *Instance) *archiver { return &archiver{node: i} }

func (a *archiver) run(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, foldPeriod)
		var due []archive.Hour
		a.node.state.withCore(func(now time.Time, c *control.Core) {
			c.FoldCounts(now)
			due = c.Archive().Due(now)
		})
		if err := a.addHours(ctx, due); err != nil {
			a.node.log.Warn("Archive: adding the hourly counts to the platform failed.", "Error", err)
		}
	}
}

// addRemaining adds the hours that are not stored yet, before a planned stop.
func (a *archiver) addRemaining(ctx context.Context) error {
	var remaining []archive.Hour
	a.node.state.withCore(func(now time.Time, c *control.Core) {
		c.FoldAllCounts(now)
		remaining = c.Archive().Unadded()
	})
	return a.addHours(ctx, remaining)
}

func (a *archiver) addHours(ctx context.Context, hours []archive.Hour) error {
	for _, h := range hours {
		if err := a.addHour(ctx, h); err != nil {
			return err
		}
		a.node.state.withCore(func(_ time.Time, c *control.Core) { c.Archive().Added(h.Start) })
		if err := a.removeOld(ctx, h.Start); err != nil {
			return err
		}
	}
	return nil
}

// removeOld removes the hours that are too old for any report. Keys sort by
// time, since Unix seconds have ten digits until the year 2286.
func (a *archiver) removeOld(ctx context.Context, added time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	oldest := fmt.Sprintf("%s%d/", countsPrefix, added.Add(-archive.KeepTime).Unix())
	return a.node.store.RemoveRange(ctx, countsPrefix, oldest)
}

// addHour adds every shard of the hour that contains a class.
func (a *archiver) addHour(ctx context.Context, h archive.Hour) error {
	for shard := range archive.Shards {
		part := h.Shard(shard)
		if len(part.Classes) == 0 {
			continue
		}
		if err := a.addShard(ctx, hourKey(h.Start, shard), part); err != nil {
			return errors.Wrapf(err, "hour %s, shard %d", h.Start.Format(time.RFC3339), shard)
		}
	}
	return nil
}

// addShard repeats the compare-and-swap until the stored shard contains the
// part. If the response to a swap is lost, the next read finds the part in it.
func (a *archiver) addShard(ctx context.Context, key string, part archive.Hour) error {
	var lastErr error
	for range addAttempts {
		var done bool
		done, lastErr = a.tryAddShard(ctx, key, part)
		if done {
			return nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return lastErr
}

func (a *archiver) tryAddShard(ctx context.Context, key string, part archive.Hour) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, found, err := a.node.store.Get(ctx, key)
	if err != nil {
		return false, err
	}
	stored := archive.Hour{Start: part.Start}
	if found {
		if stored, err = decodeHour(entry); err != nil {
			return false, err
		}
	}
	if stored.Includes(part.Contributors[0]) {
		return true, nil
	}
	data, err := proto.Marshal(api.HourToWire(stored.Plus(part)))
	if err != nil {
		return false, errors.Wrap(err, "encode hour")
	}
	_, err = a.node.store.Swap(ctx, key, entry.Revision, data)
	return err == nil, err
}

// storedHours returns every shard of every hour in the platform's store.
func (a *archiver) storedHours(ctx context.Context) ([]archive.KeptShard, error) {
	entries, _, err := a.node.store.Range(ctx, countsPrefix)
	if err != nil {
		return nil, err
	}
	var hours []archive.KeptShard
	for _, e := range entries {
		hour, err := decodeHour(e)
		if err != nil {
			return nil, err
		}
		shard, err := shardOfKey(e.Key)
		if err != nil {
			return nil, err
		}
		hours = append(hours, archive.KeptShard{Hour: hour, Shard: shard})
	}
	return hours, nil
}

func decodeHour(e store.Entry) (archive.Hour, error) {
	w := &api.HourCounts{}
	if err := proto.Unmarshal(e.Value, w); err != nil {
		return archive.Hour{}, errors.Wrapf(err, "stored counts at key %s", e.Key)
	}
	return api.HourFromWire(w), nil
}

func hourKey(start time.Time, shard int) string {
	return fmt.Sprintf("%s%d/%d", countsPrefix, start.Unix(), shard)
}

func shardOfKey(key string) (int, error) {
	shard, err := strconv.Atoi(key[strings.LastIndex(key, "/")+1:])
	if err != nil {
		return 0, errors.Wrapf(err, "stored counts at key %s", key)
	}
	return shard, nil
}

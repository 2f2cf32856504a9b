package entry_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/connection/segment"
	"github.com/tanagerweir/tanagerweir/pkg/process/entry"
	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
	"github.com/tanagerweir/tanagerweir/pkg/version/replica"
	"github.com/tanagerweir/tanagerweir/platform"
)

// panickingFormat panics at packets of one caller's port.
type panickingFormat struct{ platform.Format }

const panicPort = 45000

func (f panickingFormat) Parse(packet []byte) (segment.Segment, error) {
	s, err := f.Format.Parse(packet)
	if s.Flow.Caller.Port() == panicPort {
		panic("a packet that nobody thought of")
	}
	return s, err
}

// panickingStore panics at every second watch.
type panickingStore struct {
	*platform.Store
	watches atomic.Int64
}

func (s *panickingStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (replica.Batch, error) {
	if s.watches.Add(1)%2 == 0 {
		panic("a response that nobody thought of")
	}
	return s.Store.Watch(ctx, prefix, after, wait)
}

// scrape returns an instance's metrics.
func scrape(t *testing.T, o entry.Options) string {
	t.Helper()
	response, err := http.Get("http://" + o.Metrics.String() + entry.MetricsPath)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

// A packet at which the code panics must cost that packet only, and must show in the log,
// with the stack, and in the metrics.
func TestPanicAtOnePacketLeavesTheInstanceForwarding(t *testing.T) {
	stand, store := stores(t)
	v := newBackend(t, "i-1")
	stand.Put("servers/"+v.id, v.describe("ready"))
	stand.Put("op/config", fmt.Appendf(nil, configuration, 1))
	o := options(t, "entry-1", store)
	o.Format, o.Metrics = panickingFormat{}, freeEndpoint(t)
	var log lockedBuffer
	o.Logger = slog.New(slog.NewJSONHandler(&log, nil))
	start(t, o)
	waitUntil(t, "ready", func() bool { return readyStatus(t, o) == http.StatusOK })
	for n := range uint16(5) {
		send(t, o.Packets, synPacket(t, panicPort))
		send(t, o.Packets, synPacket(t, panicPort+1+n))
		receive(t, v.conn)
	}
	waitUntil(t, "counted", func() bool {
		return strings.Contains(scrape(t, o), `tanagerweir_entry_panics_total{part="Packets"} 5`)
	})
	if !strings.Contains(log.String(), "panickingFormat") {
		t.Error("the log lacks the panic's stack")
	}
}

// A follower that panics must go on to read the store: without it, the fleet keeps an old
// configuration.
func TestPanicInTheFollowerLeavesItFollowing(t *testing.T) {
	stand, store := stores(t)
	stand.Put("op/config", fmt.Appendf(nil, configuration, 1))
	o := options(t, "entry-1", store)
	failing := &panickingStore{Store: store}
	o.Store = failing
	var log lockedBuffer
	o.Logger = slog.New(slog.NewJSONHandler(&log, nil))
	start(t, o)
	waitUntil(t, "a panic", func() bool { return failing.watches.Load() > 2 })
	stand.Put("op/config", fmt.Appendf(nil, configuration, 2))
	waitUntil(t, "the change", func() bool { return strings.Contains(log.String(), `"Version":2`) })
}

// panicsOnceAt returns a translation that panics at the first change of a key, and counts
// the changes.
func panicsOnceAt(key string) (entry.Translate, *atomic.Int64) {
	seen := &atomic.Int64{}
	return func(d directory.Directory, changes []replica.Change) (directory.Directory, []error) {
		for _, c := range changes {
			if c.Key == key && seen.Add(1) == 1 {
				panic("a value that nobody thought of")
			}
		}
		return platform.Translate(d, changes)
	}, seen
}

// A panic between replica and directory leaves a replica with changes that the directory
// lacks. They must not be lost: everything is read again from the store.
func TestChangeAtWhichTheDirectoryPanickedIsReadAgain(t *testing.T) {
	stand, store := stores(t)
	stand.Put("op/config", fmt.Appendf(nil, configuration, 1))
	o := options(t, "entry-1", store)
	translate, panics := panicsOnceAt("servers/i-2")
	o.Translate = translate
	var log lockedBuffer
	o.Logger = slog.New(slog.NewJSONHandler(&log, nil))
	start(t, o)
	waitUntil(t, "ready", func() bool { return readyStatus(t, o) == http.StatusOK })
	v := newBackend(t, "i-2")
	stand.Put("servers/"+v.id, v.describe("ready"))
	waitUntil(t, "a panic", func() bool { return panics.Load() > 0 })
	arrived := make(chan struct{})
	go func() {
		defer close(arrived)
		receive(t, v.conn)
	}()
	port := uint16(46000)
	waitUntil(t, "flows at the server", func() bool {
		port++
		send(t, o.Packets, synPacket(t, port))
		select {
		case <-arrived:
			return true
		default:
			return false
		}
	})
	if readyStatus(t, o) != http.StatusOK {
		t.Error("the instance isn't ready")
	}
}

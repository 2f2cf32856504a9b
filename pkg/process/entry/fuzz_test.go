package entry_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/clock"
	"github.com/tanagerweir/tanagerweir/pkg/process/entry"
	"github.com/tanagerweir/tanagerweir/pkg/process/membership"
	"github.com/tanagerweir/tanagerweir/pkg/transfer"
	"github.com/tanagerweir/tanagerweir/pkg/version/replica"
	"github.com/tanagerweir/tanagerweir/platform"
	wire "github.com/tanagerweir/tanagerweir/service/entry"
)

// stillHost is a host without a network, whose clock tests set.
type stillHost struct {
	now time.Duration
	// sent are the packets sent, without messages.
	sent [][]byte
	// messages are the messages sent. sending is called before each, if set.
	messages [][]byte
	sending  func()
}

func (h *stillHost) Now() time.Duration                   { return h.now }
func (h *stillHost) Pause(context.Context, time.Duration) {}
func (h *stillHost) AcceptPackets()                       {}

func (h *stillHost) Deadline(ctx context.Context, _ time.Duration) (context.Context, context.CancelFunc) {
	return context.WithCancel(ctx)
}

func (h *stillHost) Transfer(ctx context.Context, _ transfer.Limit) (context.Context, context.CancelCauseFunc) {
	return context.WithCancelCause(ctx)
}

func (h *stillHost) SendPacket(datagram []byte, _ uint64, _ netip.AddrPort) {
	h.sent = append(h.sent, bytes.Clone(datagram))
}

func (h *stillHost) SendMessage(datagram []byte, _ netip.AddrPort) {
	h.messages = append(h.messages, bytes.Clone(datagram))
	if h.sending != nil {
		h.sending()
	}
}

func (h *stillHost) Fetch(context.Context, netip.AddrPort, replica.Position) (replica.Batch, error) {
	return replica.Batch{}, entry.ErrBusy
}

// newEngine returns an engine on a still host, with one route and one server, and what it
// logs. Its replica has revision 8, confirmed at 10 s.
func newEngine(t testing.TB, host *stillHost) (*entry.Engine, *lockedBuffer) {
	t.Helper()
	var log lockedBuffer
	return newEngineAt(t, host, 10*time.Second, 0, &log), &log
}

// newEngineAt returns an engine that gets its replica at a time since its start, from an
// instance whose replica was confirmed age before.
func newEngineAt(t testing.TB, host *stillHost, now, age time.Duration, log io.Writer) *entry.Engine {
	t.Helper()
	store, closeStore := platform.NewStore(netip.MustParseAddrPort("127.0.0.1:1"))
	t.Cleanup(closeStore)
	host.now = now
	e, err := entry.NewEngine(entry.Options{
		Name: "entry-1", DataCentre: "near", Peers: netip.MustParseAddrPort("127.0.0.1:7720"), Format: platform.Format{}, Store: store,
		ChangesLost: platform.ChangesLost,
		Translate:   platform.Translate, EncodeInstance: platform.EncodeInstance, EarlyPrefixes: platform.EarlyPrefixes(),
		MaxFlow: time.Minute, ColdFactor: 1.5, ColdSlack: 5, Seed: 1, Logger: slog.New(slog.NewJSONHandler(log, nil)),
	}, host)
	if err != nil {
		t.Fatal(err)
	}
	e.HandleMessage(helloFrom(t, "entry-2", 8, age, &replica.Batch{Whole: true, Revision: 8, Changes: []replica.Change{
		{Key: "op/config", Value: fmt.Appendf(nil, configuration, 1), Revision: 7},
		{Key: "servers/i-1", Value: []byte(`{"service":"board","address":"10.0.0.1:80","zone":"near","slots":3,"state":"ready","coldLeftMs":0}`), Revision: 8},
	}}), netip.AddrPort{}, 0)
	if !e.Ready() {
		t.Fatal("not ready")
	}
	return e
}

// helloFrom returns the datagram with an instance's hello.
func helloFrom(t testing.TB, name string, revision uint64, confirmedAge time.Duration, b *replica.Batch) []byte {
	t.Helper()
	datagram, err := wire.Encode(wire.Message{Batch: b, Hello: membership.Hello{
		From:     membership.Member{Name: name, DataCentre: "near", Endpoint: netip.MustParseAddrPort("127.0.0.1:7721")},
		Revision: revision, ConfirmedAge: clock.Ago(confirmedAge), Follower: name, FollowerAge: clock.Ago(confirmedAge),
	}})
	if err != nil {
		t.Fatal(err)
	}
	return datagram
}

// FuzzEngine gives an instance a message and a packet. Neither may cause a panic, also one
// that is contained.
func FuzzEngine(f *testing.F) {
	f.Add(helloFrom(f, "entry-3", 9, time.Hour, &replica.Batch{After: 8, Revision: 9, Changes: []replica.Change{
		{Key: "servers/i-1", Revision: 9, Deleted: true}, {Key: "op/evacuate/near", Revision: 1 << 53},
	}}), synPacket(f, 40001))
	f.Add(helloFrom(f, "entry-3", 1<<53, 0, &replica.Batch{Whole: true, Revision: 1 << 53}), synPacket(f, 0))
	f.Add([]byte{0xff, 0xff}, []byte{})
	f.Fuzz(func(t *testing.T, datagram, packet []byte) {
		if len(packet) > platform.MaxPacketBytes+1 {
			return // the receiver's buffers are no longer
		}
		host := &stillHost{}
		e, log := newEngine(t, host)
		e.HandleMessage(datagram, netip.MustParseAddrPort("127.0.0.1:7722"), 0)
		for range 3 {
			e.HandlePacket(append(make([]byte, platform.AddresseeBytes), packet...))
			host.now += 200 * time.Millisecond
			e.Tick()
			e.SendState()
		}
		if _, err := e.ServeFetch(replica.Position{}); err != nil {
			t.Errorf("the replica can't be served: %v", err)
		}
		if strings.Contains(log.String(), "panicked") {
			t.Error(log.String())
		}
	})
}

// gzipped returns b compressed.
func gzipped(t testing.TB, b []byte) []byte {
	t.Helper()
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	if _, err := w.Write(b); err != nil {
		t.Fatal(err)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	return compressed.Bytes()
}

// longBatch returns an encoded batch with more bytes than a fetch may have, of which the
// limit cuts off whole changes.
func longBatch(t testing.TB) []byte {
	t.Helper()
	const limit, part = 16 << 20, 1 << 20
	b := replica.Batch{After: 8, Revision: 9}
	for n := range limit / part {
		b.Changes = append(b.Changes, replica.Change{Key: fmt.Sprint(n), Value: make([]byte, part-64), Revision: 9})
	}
	last := &b.Changes[len(b.Changes)-1]
	last.Value = make([]byte, len(last.Value)+limit-len(encoded(t, b)))
	if got := len(encoded(t, b)); got != limit {
		t.Fatalf("the batch has %d bytes, want %d", got, limit)
	}
	b.Changes = append(b.Changes, replica.Change{Key: "cut off", Revision: 9, Deleted: true})
	return encoded(t, b)
}

func encoded(t testing.TB, b replica.Batch) []byte {
	t.Helper()
	body, err := wire.EncodeBatch(b)
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// A response beyond the limit was cut there. If the cut falls between two changes, the rest
// is a valid batch, and the changes beyond it would be lost for good.
func TestFetchBeyondItsLimitIsRefused(t *testing.T) {
	if b, err := entry.DecodeFetch(bytes.NewReader(gzipped(t, longBatch(t)))); err == nil {
		t.Errorf("decoded %d keys", len(b.Changes))
	}
}

// FuzzDecodeFetch decodes the compressed bodies of fetches, also those that expand without
// bound or end early.
func FuzzDecodeFetch(f *testing.F) {
	whole := gzipped(f, encoded(f, replica.Batch{Whole: true, Revision: 9, Changes: []replica.Change{{Key: "k", Value: []byte("v"), Revision: 9}}}))
	f.Add(whole)
	f.Add(whole[:len(whole)-5])
	f.Add(append(bytes.Clone(whole), whole...))
	f.Add(gzipped(f, make([]byte, 32<<20)))
	f.Fuzz(func(t *testing.T, response []byte) {
		b, err := entry.DecodeFetch(bytes.NewReader(response))
		if err != nil {
			return
		}
		replica.New().Apply(b)
	})
}

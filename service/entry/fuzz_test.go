package entry_test

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tanagerweir/tanagerweir/pkg/clock"
	"github.com/tanagerweir/tanagerweir/pkg/connection/forwarding"
	"github.com/tanagerweir/tanagerweir/pkg/connection/mark"
	"github.com/tanagerweir/tanagerweir/pkg/connection/segment"
	"github.com/tanagerweir/tanagerweir/pkg/process/membership"
	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
	"github.com/tanagerweir/tanagerweir/pkg/version/replica"
	"github.com/tanagerweir/tanagerweir/service/entry"
)

const backendID = "i-7"

var route = netip.MustParseAddrPort("198.18.0.1:443")

// known returns a directory with one route and one backend server.
func known() directory.Directory {
	return directory.New().WithConfiguration(directory.Configuration{
		Version:  1,
		Routes:   []directory.Route{{Endpoint: route, Kind: directory.Repeatable, Shares: []directory.Share{{Service: "s", Weight: 1}}}},
		Services: []directory.Service{{Name: "s", ColdFor: 2 * time.Second, ColdRate: 4}},
	}).WithServer(directory.Server{
		ID: backendID, Number: 7, Service: "s", DataCentre: "dakar-1", Slots: 3, Revision: 1, Endpoint: netip.MustParseAddrPort("10.0.0.7:80"),
	})
}

// extreme returns the largest value of each field, and values that change their sign when
// they are converted.
func extreme() *entry.Hello {
	m := sampleWire()
	m.Revision, m.EarlyRevision, m.ConfirmedAgeMilliseconds = math.MaxUint64, math.MaxUint64, math.MaxUint32
	m.FollowerAgeMilliseconds, m.ProgressAgeMilliseconds = math.MaxUint32, proto.Uint32(math.MaxUint32)
	m.Loads = []*entry.Load{{
		Mark: uint32(mark.Of(backendID)), Open: math.MaxUint32, RunningHundredths: math.MaxUint32, Failures: math.MaxUint32,
		FailedAgeMilliseconds: math.MaxUint32, Stuck: math.MaxUint32, AliveAgeMilliseconds: math.MaxUint32, ColdLeftMilliseconds: math.MaxUint32,
	}}
	m.Batch = &entry.Batch{After: 1, Revision: math.MaxUint64, Changes: []*entry.Change{{Key: "k", Revision: math.MaxUint64}}}
	return m
}

func sampleWire() *entry.Hello {
	return &entry.Hello{From: &entry.Member{Name: "entry-1", DataCentre: "dakar-1", Address: 1, Port: 7720}, Revision: 8}
}

func marshal(t testing.TB, m proto.Message) []byte {
	t.Helper()
	b, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// A replica that took a revision which no store reaches would ignore all later changes.
func TestRevisionsThatNoStoreReachesAreRefused(t *testing.T) {
	for name, change := range map[string]func(*entry.Hello){
		"revision": func(m *entry.Hello) { m.Revision = math.MaxUint64 },
		"early":    func(m *entry.Hello) { m.EarlyRevision = math.MaxUint64 },
		"batch":    func(m *entry.Hello) { m.Batch = &entry.Batch{After: 8, Revision: math.MaxUint64} },
		"change": func(m *entry.Hello) {
			m.Batch = &entry.Batch{After: 8, Revision: 9, Changes: []*entry.Change{{Key: "k", Revision: math.MaxUint64}}}
		},
		"order": func(m *entry.Hello) {
			m.Batch = &entry.Batch{After: 8, Revision: 12, Changes: []*entry.Change{{Key: "k", Revision: 12}, {Key: "l", Revision: 11}}}
		},
	} {
		m := sampleWire()
		change(m)
		if _, err := entry.Decode(marshal(t, m)); err == nil {
			t.Errorf("%s was accepted", name)
		}
		if m.Batch == nil {
			continue
		}
		if _, err := entry.DecodeBatch(marshal(t, m.Batch)); err == nil {
			t.Errorf("%s was accepted in a batch", name)
		}
	}
}

// FuzzMessageApplied applies decoded messages to all that instances apply them to. No
// message may end the process, and none may keep new flows away for longer than reports
// count.
func FuzzMessageApplied(f *testing.F) {
	f.Add(marshal(f, extreme()))
	within := extreme()
	within.Revision, within.EarlyRevision, within.Batch = 1<<53, 1<<53, &entry.Batch{After: 1, Revision: 9, Changes: []*entry.Change{{Key: "k", Revision: 1 << 53}}}
	f.Add(marshal(f, within))
	f.Add(marshal(f, sampleWire()))
	f.Fuzz(func(t *testing.T, datagram []byte) {
		m, err := entry.Decode(datagram)
		if err != nil {
			return
		}
		const now = 10 * time.Second
		applyToMembership(now, m)
		if m.Batch != nil {
			applyToReplica(t, *m.Batch)
		}
		core := forwarding.New(forwarding.Options{Name: "entry-2", DataCentre: "dakar-1", Seed: 1, ColdFactor: 1.5, ColdSlack: 5})
		core.Confirm(now, clock.At(now))
		core.Adopt(now, known())
		core.ReceiveLoads(now, m.Hello.From.Name, m.Loads, 3)
		core.HeardFrom(now, m.Hello.From.DataCentre)
		core.AnswerInquiry(now, m.Asked)
		core.ReceiveAnswer(now, m.Loads, true)
		core.Tick(now, time.Minute)
		core.Inquiries(now)
		open := segment.Segment{Flow: segment.Flow{Caller: netip.MustParseAddrPort("100.64.0.7:4001"), Route: route}, Flags: segment.Open}
		core.Decide(now, open)
		// Reports count for 3 s and suspicions of a restart for the service's 2 s.
		const later = now + 6*time.Second
		core.Tick(later, time.Minute)
		if d := core.Decide(later, open); d.Verdict != forwarding.Forward {
			t.Errorf("6 s after the message: %v", d.Reason)
		}
		if _, err := entry.Encode(entry.Message{Hello: m.Hello, Loads: core.Loads(later)}); err != nil {
			t.Errorf("what was learnt can't be sent: %v", err)
		}
	})
}

func applyToMembership(now time.Duration, m entry.Message) {
	core := membership.New(membership.Member{Name: "entry-2", DataCentre: "dakar-1"}, nil, 1)
	core.ReceiveHello(now, m.Hello, true)
	core.UpdateFollowing(now)
	core.Hello(now)
	core.PeriodPeers(1)
	core.AskedPeers(now, m.Hello.From.DataCentre)
	core.SetRegistered(now, nil)
}

// applyToReplica applies a batch to an empty replica and to one with a key, and checks
// that what they hold can be passed on.
func applyToReplica(t *testing.T, b replica.Batch) {
	t.Helper()
	with := replica.New()
	with.Apply(replica.Batch{Whole: true, Revision: 8, Changes: []replica.Change{{Key: "k", Value: []byte("v"), Revision: 8}}})
	for _, r := range []*replica.Replica{replica.New(), with} {
		before := r.Revision()
		r.Apply(b)
		if r.Revision() < before || r.EncodedSize() < 0 {
			t.Errorf("revision %d after %d, %d bytes", r.Revision(), before, r.EncodedSize())
		}
		if r.Revision() == 0 {
			continue
		}
		passOn(t, r)
	}
}

// passOn checks that a replica that lacks what r has gets the same keys from it.
func passOn(t *testing.T, r *replica.Replica) {
	t.Helper()
	body, err := entry.EncodeBatch(r.Since(replica.Position{}))
	if err != nil {
		t.Fatal(err)
	}
	whole, err := entry.DecodeBatch(body)
	if err != nil {
		t.Fatal(err)
	}
	other := replica.New()
	if _, ok := other.Apply(whole); !ok || other.Revision() != r.Revision() || other.EncodedSize() != r.EncodedSize() {
		t.Errorf("passed on revision %d as %d, %d bytes as %d", r.Revision(), other.Revision(), r.EncodedSize(), other.EncodedSize())
	}
}

// FuzzDecodeBatch applies the bodies of fetches to replicas.
func FuzzDecodeBatch(f *testing.F) {
	f.Add(marshal(f, extreme().Batch))
	f.Add(marshal(f, &entry.Batch{Whole: true, Revision: 9, Changes: []*entry.Change{{Key: "k", Value: []byte("v"), Revision: 9}}}))
	f.Add(marshal(f, &entry.Batch{Whole: true, Era: 48, Changes: []*entry.Change{{Key: "k", Revision: 0}}}))
	f.Add(marshal(f, &entry.Batch{After: 8, Revision: 1 << 53, Changes: []*entry.Change{{Key: "k", Deleted: true, Revision: 9}, {Key: "l", Revision: 1 << 53}}}))
	f.Fuzz(func(t *testing.T, body []byte) {
		b, err := entry.DecodeBatch(body)
		if err != nil {
			return
		}
		applyToReplica(t, b)
	})
}

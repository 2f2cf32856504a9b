package entry_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"google.golang.org/protobuf/proto"

	"github.com/tanagerweir/tanagerweir/pkg/clock"
	"github.com/tanagerweir/tanagerweir/pkg/connection/admission"
	"github.com/tanagerweir/tanagerweir/pkg/connection/capacity"
	"github.com/tanagerweir/tanagerweir/pkg/connection/forwarding"
	"github.com/tanagerweir/tanagerweir/pkg/connection/mark"
	"github.com/tanagerweir/tanagerweir/pkg/process/membership"
	"github.com/tanagerweir/tanagerweir/pkg/version/replica"
	"github.com/tanagerweir/tanagerweir/service/entry"
)

var sample = entry.Message{
	Hello: membership.Hello{
		From:     membership.Member{Name: "entry-1", DataCentre: "dakar-1", Endpoint: netip.MustParseAddrPort("10.1.0.10:7720")},
		Revision: 412, ConfirmedAge: clock.Ago(700 * time.Millisecond), Following: true, Leaving: true,
		Follower: "entry-2", FollowerAge: 250 * time.Millisecond,
		Era: 3, EarlyRevision: 415, ProgressAge: clock.Ago(50 * time.Millisecond),
	},
	Loads: []forwarding.Load{{
		Mark: 7, Open: 21, Running: 1.25, Failures: 3, FailedAge: time.Second, Stuck: 2, AliveAge: 2 * time.Second, ColdLeft: time.Second,
		Evidence: capacity.Evidence{Answered: 12.5, Failed: 3.25, AnswerTime: 40 * time.Millisecond}, EjectedLeft: 2 * time.Second,
	}},
	Asked: []mark.Mark{7, 9}, Answer: true,
	Pressures:   []admission.Pressure{{Service: 1 << 31, Asked: 1500.25, Admitted: 321.5, Wait: 48 * time.Millisecond, Answers: 31, Level: 0.2143}},
	CentreLoads: []forwarding.CentreLoad{{Service: 5, Load: 0.75}},
	Batch: &replica.Batch{Era: 3, After: 410, Revision: 412, Changes: []replica.Change{
		{Key: "a", Value: []byte("1"), Revision: 411}, {Key: "b", Revision: 412, Deleted: true},
	}},
}

func TestMessageSurvivesEncoding(t *testing.T) {
	datagram, err := entry.Encode(sample)
	if err != nil {
		t.Fatal(err)
	}
	got, err := entry.Decode(datagram)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(sample, got, cmpopts.EquateComparable(netip.AddrPort{})); d != "" {
		t.Error(d)
	}
}

// TestHelloWithoutProgressCountsFromTheConfirmation guards against instances of an
// earlier version: they never say when their follower received something.
func TestHelloWithoutProgressCountsFromTheConfirmation(t *testing.T) {
	datagram, err := proto.Marshal(&entry.Hello{From: &entry.Member{Name: "entry-1", Port: 7720}, ConfirmedAgeMilliseconds: 900})
	if err != nil {
		t.Fatal(err)
	}
	m, err := entry.Decode(datagram)
	if err != nil {
		t.Fatal(err)
	}
	if m.Hello.ProgressAge != clock.Ago(900*time.Millisecond) {
		t.Errorf("progress %v ago", m.Hello.ProgressAge)
	}
}

func TestBatchSurvivesEncoding(t *testing.T) {
	want := replica.Batch{Revision: 9, Whole: true, Changes: []replica.Change{{Key: "k", Value: []byte("v"), Revision: 3}}}
	body, err := entry.EncodeBatch(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := entry.DecodeBatch(body)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
}

func FuzzDecode(f *testing.F) {
	datagram, err := entry.Encode(sample)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(datagram)
	f.Add(datagram[:len(datagram)/2])
	f.Fuzz(func(t *testing.T, datagram []byte) {
		message, err := entry.Decode(datagram)
		if err != nil {
			return
		}
		if message.Hello.From.Name == "" || message.Hello.From.Endpoint.Port() == 0 {
			t.Errorf("decoded a message without a sender's name or port: %+v", message.Hello)
		}
	})
}

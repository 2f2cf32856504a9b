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
		Follower: "entry-2", FollowerAge: clock.Ago(250 * time.Millisecond),
		Era: 3, EarlyRevision: 415,
	},
	Loads: []forwarding.Load{{
		Mark: 7, Open: 21, Running: 1.25, Failures: 3, FailedAge: time.Second, Stuck: 2, AliveAge: clock.Ago(2 * time.Second), ColdLeft: time.Second,
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

// Guards against instances of earlier versions that count as followers by a wrong age, or
// not at all: they don't say when a follower received something from the store, and the
// earliest don't know of progress.
func TestFollowersOfEarlierVersions(t *testing.T) {
	from := &entry.Member{Name: "entry-1", Port: 7720}
	for _, test := range []struct {
		name     string
		hello    *entry.Hello
		follower string
		age      clock.Age
	}{
		{"without progress", &entry.Hello{Following: true, ConfirmedAgeMilliseconds: 900}, "entry-1", clock.Ago(900 * time.Millisecond)},
		{"with progress", &entry.Hello{Following: true, ConfirmedAgeMilliseconds: 900, ProgressAgeMilliseconds: proto.Uint32(50)}, "entry-1", clock.Ago(50 * time.Millisecond)},
		{"of another", &entry.Hello{Follower: "entry-2", FollowerAgeMilliseconds: 250, ProgressAgeMilliseconds: proto.Uint32(50)}, "entry-2", clock.Ago(250 * time.Millisecond)},
		{"of none", &entry.Hello{ConfirmedAgeMilliseconds: 900, ProgressAgeMilliseconds: proto.Uint32(50)}, "", clock.Age{}},
	} {
		test.hello.From = from
		datagram, err := proto.Marshal(test.hello)
		if err != nil {
			t.Fatal(err)
		}
		m, err := entry.Decode(datagram)
		if err != nil {
			t.Fatal(err)
		}
		if m.Hello.Follower != test.follower || m.Hello.FollowerAge != test.age {
			t.Errorf("%s: follower %q, %v ago", test.name, m.Hello.Follower, m.Hello.FollowerAge)
		}
	}
}

// Guards against a follower that has read nothing yet, or that tells of another one, and is
// understood otherwise; and against earlier versions that take "never" for a short age.
func TestFollowersSurviveEncoding(t *testing.T) {
	for _, h := range []membership.Hello{
		{},
		{Following: true, Follower: "entry-1"},
		{Following: true, Follower: "entry-1", FollowerAge: clock.Ago(0), ConfirmedAge: clock.Ago(0)},
		{Following: true, Follower: "entry-2", FollowerAge: clock.Ago(time.Second), ConfirmedAge: clock.Ago(2 * time.Second)},
		{Follower: "entry-2", FollowerAge: clock.Ago(time.Second)},
		{Confirmation: membership.Source{Start: 7, Number: 1}, ConfirmedAge: clock.Ago(0)},
		{
			Follower: "entry-2", FollowerAge: clock.Ago(time.Second), Reading: membership.Source{Start: 7, Number: 8},
			ConfirmedAge: clock.Ago(0), Confirmation: membership.Source{Start: 7, Number: 3},
		},
		{
			Follower: "entry-2", FollowerAge: clock.Ago(time.Second), Reading: membership.Source{Start: 7, Number: 8},
			ConfirmedAge: clock.Ago(0), Confirmation: membership.Source{Start: 9, Number: 3},
		},
	} {
		h.From = sample.Hello.From
		datagram, err := entry.Encode(entry.Message{Hello: h})
		if err != nil {
			t.Fatal(err)
		}
		m, err := entry.Decode(datagram)
		if err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff(h, m.Hello, cmpopts.EquateComparable(netip.AddrPort{})); d != "" {
			t.Error(d)
		}
		var w entry.Hello
		if err := proto.Unmarshal(datagram, &w); err != nil {
			t.Fatal(err)
		}
		if !h.ConfirmedAge.Known() && w.GetConfirmedAgeMilliseconds() < uint32(24*time.Hour/time.Millisecond) {
			t.Errorf("%+v: confirmed %d ms ago", h, w.GetConfirmedAgeMilliseconds())
		}
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

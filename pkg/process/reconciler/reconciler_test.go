package reconciler_test

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/tanagerweir/tanagerweir/pkg/process/listing"
	"github.com/tanagerweir/tanagerweir/pkg/process/reconciler"
	"github.com/tanagerweir/tanagerweir/pkg/process/registrar"
	"github.com/tanagerweir/tanagerweir/pkg/process/store"
	"github.com/tanagerweir/tanagerweir/pkg/request/verdict"
	"github.com/tanagerweir/tanagerweir/pkg/standin/platform"
	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
)

var start = time.Date(2026, 1, 5, 9, 0, 0, 0, time.UTC)

// clock is the stand-in's time; the channel holds it and serves as a lock.
type clock struct{ now chan time.Time }

func (c clock) read() time.Time {
	now := <-c.now
	c.now <- now
	return now
}

func (c clock) advance(d time.Duration) { c.now <- (<-c.now).Add(d) }

func connect(t *testing.T) (*store.Client, clock) {
	t.Helper()
	c := clock{now: make(chan time.Time, 1)}
	c.now <- start
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	platform.Register(server, platform.New(c.read))
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	client, closeClient, err := store.Dial(listener.Addr().String(), insecure.NewCredentials())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = closeClient() })
	return client, c
}

func backend(name, address string, s catalogue.BackendState) catalogue.Backend {
	at := netip.MustParseAddrPort(address)
	return catalogue.Backend{Name: name, Service: "board", DataCentre: "dakar-1", Packets: at, Requests: at, Slots: 3, State: s}
}

func entry(name, address string, s listing.State) listing.Entry {
	at := netip.MustParseAddrPort(address)
	return listing.Entry{
		Name: name, Kind: listing.BackendServer, DataCentre: "dakar-1",
		Packets: at, Requests: at, Slots: 3, State: s,
	}
}

// configured returns a catalogue with two leaving and three active servers.
func configured(t *testing.T) catalogue.Catalogue {
	t.Helper()
	c, err := catalogue.Catalogue{}.Apply(catalogue.Operation{Identifier: "first", At: start}, []catalogue.Change{
		catalogue.PutDataCentre{DataCentre: catalogue.DataCentre{Name: "dakar-1", State: catalogue.DataCentreIn}},
		catalogue.PutService{Service: catalogue.Service{Name: "board", Address: netip.MustParseAddrPort("192.0.2.1:443"), Protocol: catalogue.TCP}},
		catalogue.PutBackend{Backend: backend("board-1", "10.0.0.1:80", catalogue.BackendActive)},
		catalogue.PutBackend{Backend: backend("board-2", "10.0.0.2:80", catalogue.BackendActive)},
		catalogue.PutBackend{Backend: backend("board-3", "10.0.0.3:80", catalogue.BackendLeaving)},
		catalogue.PutBackend{Backend: backend("board-4", "10.0.0.4:80", catalogue.BackendLeaving)},
		catalogue.PutBackend{Backend: backend("board-5", "10.0.0.5:80", catalogue.BackendActive)},
	})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// The plan may change a server only to new endpoints or to Leaving. It must
// not reactivate a leaving server at its old endpoints, add a server that
// isn't configured, or remove one that the list lacks.
func TestPlanTakesMovesAndLeavingAndNothingElse(t *testing.T) {
	got := reconciler.Plan(configured(t), []listing.Entry{
		entry("board-1", "10.0.0.9:80", listing.Live),
		entry("board-2", "10.0.0.2:80", listing.Leaving),
		entry("board-3", "10.0.0.3:80", listing.Live),
		entry("board-4", "10.0.0.8:80", listing.Live),
		entry("stranger", "10.0.0.7:80", listing.Live),
	})
	want := []catalogue.Change{
		catalogue.PutBackend{Backend: backend("board-1", "10.0.0.9:80", catalogue.BackendActive)},
		catalogue.PutBackend{Backend: backend("board-2", "10.0.0.2:80", catalogue.BackendLeaving)},
		catalogue.PutBackend{Backend: backend("board-4", "10.0.0.8:80", catalogue.BackendActive)},
	}
	same := cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })
	// Changed is ignored, as Apply sets it whatever the change has.
	unset := cmpopts.IgnoreFields(catalogue.Backend{}, "Changed")
	if diff := cmp.Diff(want, got, same, unset); diff != "" {
		t.Errorf("plan (-want +got):\n%s", diff)
	}
}

// A holder is paused beyond its lease while another instance acquires the
// role. Its late write would overwrite the successor's endpoints with old
// ones.
func TestPausedHolderWritesNothingLate(t *testing.T) {
	client, platformClock := connect(t)
	paused, successor := reconciler.New(client, "entry-1"), reconciler.New(client, "entry-2")
	expectHeld := func(r *reconciler.Role, want bool) {
		t.Helper()
		if held, err := r.AcquireOrRenew(t.Context()); err != nil || held != want {
			t.Fatalf("held %v (%v), want %v", held, err, want)
		}
	}
	expectHeld(paused, true)
	expectHeld(successor, false)
	platformClock.advance(reconciler.LeaseFor + time.Second)
	expectHeld(successor, true)
	first := registrar.LocalView{Catalogue: configured(t)}
	_, err := paused.Reconcile(t.Context(), first, []listing.Entry{entry("board-1", "10.0.0.66:80", listing.Live)}, start)
	if err == nil || verdict.Of(err) != verdict.NotRun {
		t.Errorf("late write by the paused holder: %v, want the verdict NotRun", err)
	}
	next, err := successor.Reconcile(t.Context(), first, []listing.Entry{entry("board-1", "10.0.0.9:80", listing.Live)}, start)
	if err != nil {
		t.Fatal(err)
	}
	stored, _, err := registrar.New(client).Stored(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	b, _ := stored.Backend("board-1")
	if b.Packets.String() != "10.0.0.9:80" || stored.Version() != next.Version() {
		t.Errorf("stored version %d has board-1 at %s", stored.Version(), b.Packets)
	}
	expectHeld(paused, false)
}

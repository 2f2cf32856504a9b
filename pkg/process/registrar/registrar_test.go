package registrar_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/tanagerweir/tanagerweir/pkg/process/registrar"
	"github.com/tanagerweir/tanagerweir/pkg/process/store"
	"github.com/tanagerweir/tanagerweir/pkg/request/verdict"
	standin "github.com/tanagerweir/tanagerweir/pkg/standin/platform"
	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// clock is the stand-in's time.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// connect starts a stand-in for the platform and returns it with a client and
// its clock.
func connect(t *testing.T) (*standin.Server, *store.Client, *clock) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &clock{now: epoch}
	platform := standin.New(c.Now)
	server := grpc.NewServer()
	standin.Register(server, platform)
	go func() { _ = server.Serve(listener) }()
	client, closeClient, err := store.Dial(listener.Addr().String(), insecure.NewCredentials())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = closeClient()
		server.Stop()
	})
	return platform, client, c
}

// build returns a Build that puts a data centre named after the operation.
func build(identifier string) registrar.Build {
	return func(current catalogue.Catalogue) (catalogue.Catalogue, error) {
		o := catalogue.Operation{Identifier: identifier, Author: "operator", At: epoch}
		return current.Apply(o, []catalogue.Change{catalogue.PutDataCentre{DataCentre: catalogue.DataCentre{Name: identifier, State: catalogue.DataCentreIn}}})
	}
}

func apply(t *testing.T, r *registrar.Registrar, v registrar.LocalView, identifier string) catalogue.Catalogue {
	t.Helper()
	next, err := r.Apply(t.Context(), v, identifier, build(identifier))
	if err != nil {
		t.Fatalf("apply %s: %v", identifier, err)
	}
	return next
}

func identifiers(c catalogue.Catalogue) []string {
	list := []string{}
	for _, o := range c.History() {
		list = append(list, o.Identifier)
	}
	return list
}

// stored fails the test unless the stored history has exactly these
// operations.
func stored(t *testing.T, r *registrar.Registrar, want ...string) catalogue.Catalogue {
	t.Helper()
	c, _, err := r.Stored(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, identifiers(c)); diff != "" {
		t.Errorf("stored history (-want +got):\n%s", diff)
	}
	return c
}

// The store makes the write but its answer is lost. The registrar finds the
// operation in the stored history and reports success.
func TestLostAnswerIsResolvedIntoRan(t *testing.T) {
	platform, client, _ := connect(t)
	r := registrar.New(client)
	platform.SetFault(standin.Fault{LoseAnswers: true})
	apply(t, r, registrar.LocalView{}, "first")
	stored(t, r, "first")
}

// A write is delayed on its way while the operator repeats the command. When
// it arrives after the repetition, it must not be applied a second time.
func TestWriteThatArrivesLateTakesNoEffectTwice(t *testing.T) {
	platform, client, _ := connect(t)
	r := registrar.New(client)
	apply(t, r, registrar.LocalView{}, "first")
	platform.SetFault(standin.Fault{HoldRequests: true})
	// The store answers reads but delays writes, so the lost write can't be
	// resolved.
	_, err := r.Apply(t.Context(), registrar.LocalView{}, "second", build("second"))
	if got := verdict.Of(err); err == nil || got != verdict.MayHaveRun {
		t.Fatalf("verdict %s (%v), want MayHaveRun", got, err)
	}
	platform.SetFault(standin.Fault{})
	apply(t, r, registrar.LocalView{}, "second")
	if err := platform.ReleaseRequests(); err != nil {
		t.Fatal(err)
	}
	stored(t, r, "first", "second")
}

// flaky delays the first swap and passes the others on.
type flaky struct {
	*store.Client
	platform *standin.Server
	swaps    int
}

func (f *flaky) Swap(ctx context.Context, key string, expected int64, value []byte, others ...store.Write) (int64, error) {
	f.swaps++
	f.platform.SetFault(standin.Fault{HoldRequests: f.swaps == 1})
	return f.Client.Swap(ctx, key, expected, value, others...)
}

// A write is delayed on its way, and build refuses at the second attempt.
// NotRun is true only if the delayed write has no effect when it arrives.
func TestNotRunIsReportedOnlyOnceALateWriteIsImpossible(t *testing.T) {
	platform, client, _ := connect(t)
	apply(t, registrar.New(client), registrar.LocalView{}, "first")
	refuse := errors.New("the operator thought again")
	f := &flaky{Client: client, platform: platform}
	r := registrar.New(f)
	builds := 0
	_, err := r.Apply(t.Context(), registrar.LocalView{}, "second", func(c catalogue.Catalogue) (catalogue.Catalogue, error) {
		builds++
		if builds > 1 {
			return c, verdict.New(verdict.NotRun, "Refused", refuse)
		}
		return build("second")(c)
	})
	if verdict.Of(err) != verdict.NotRun {
		t.Fatalf("got %v, want NotRun", err)
	}
	if err := platform.ReleaseRequests(); err != nil {
		t.Fatal(err)
	}
	stored(t, r, "first")
}

// The store makes a write and becomes unreachable before it answers. The
// verdict is MayHaveRun, and repeating the command adds no version.
func TestOutageRightAfterAcceptanceMayHaveRunAndRepeatingIsHarmless(t *testing.T) {
	platform, client, _ := connect(t)
	r := registrar.New(client)
	platform.SetFault(standin.Fault{OutageAfterWrite: true})
	_, err := r.Apply(t.Context(), registrar.LocalView{}, "first", build("first"))
	if got := verdict.Of(err); err == nil || got != verdict.MayHaveRun {
		t.Fatalf("verdict %s (%v), want MayHaveRun", got, err)
	}
	_, err = r.Apply(t.Context(), registrar.LocalView{}, "other", build("other"))
	if got := verdict.Of(err); err == nil || got != verdict.NotRun {
		t.Fatalf("before anything was written: verdict %s (%v), want NotRun", got, err)
	}
	platform.SetFault(standin.Fault{})
	if next := apply(t, r, registrar.LocalView{}, "first"); next.Version() != 1 {
		t.Errorf("repeating made version %d, want 1", next.Version())
	}
	stored(t, r, "first")
}

// The store is restored from a copy that lacks an accepted version. A change
// built on the older version would undo the lost one.
func TestStoreRestoredFromAnOlderCopyNeverTakesAcceptedVersionsBack(t *testing.T) {
	platform, client, _ := connect(t)
	r := registrar.New(client)
	apply(t, r, registrar.LocalView{}, "first")
	restore := platform.Backup()
	held := apply(t, r, registrar.LocalView{}, "second")
	restore()
	_, err := r.Apply(t.Context(), registrar.LocalView{Newest: held.Version()}, "third", build("third"))
	var behind *registrar.BehindError
	if !errors.As(err, &behind) || verdict.Of(err) != verdict.NotRun {
		t.Fatalf("change by an instance that lacks the accepted version: %v, want a BehindError with verdict NotRun", err)
	}
	apply(t, r, registrar.LocalView{Catalogue: held, Newest: held.Version()}, "third")
	newest := stored(t, r, "first", "second", "third")
	restore()
	if err := r.Restore(t.Context(), newest); err != nil {
		t.Fatal(err)
	}
	stored(t, r, "first", "second", "third")
}

// Two operators change different objects at the same time. The one whose
// compare-and-swap fails must be repeated and not overwrite the other.
func TestTwoOperatorsAtOnceBothSucceedOnDifferentThings(t *testing.T) {
	_, client, _ := connect(t)
	r := registrar.New(client)
	var operators sync.WaitGroup
	failures := make([]error, 2)
	for i := range failures {
		operators.Go(func() {
			name := fmt.Sprintf("dakar-%d", i)
			_, failures[i] = r.Apply(t.Context(), registrar.LocalView{}, name, build(name))
		})
	}
	operators.Wait()
	c, _, err := r.Stored(t.Context())
	if err := errors.Join(append(failures, err)...); err != nil {
		t.Fatal(err)
	}
	if len(c.DataCentres()) != 2 || c.Version() != 2 {
		t.Errorf("version %d with %d data centres, want 2 with 2", c.Version(), len(c.DataCentres()))
	}
}

// Several instances apply the same mark. Only one operation may result, even
// where the history doesn't have the mark's operation: the mark's number
// decides.
func TestEmergencyMarkIsAppliedOnceHoweverManyTry(t *testing.T) {
	_, client, _ := connect(t)
	r := registrar.New(client)
	held := apply(t, r, registrar.LocalView{}, "dakar-1")
	m := catalogue.Mark{DataCentre: "dakar-1", State: catalogue.DataCentreOut, Number: 1, Identifier: "order", At: epoch}
	for range 2 {
		next, err := r.ApplyMark(t.Context(), registrar.LocalView{Catalogue: held, Newest: held.Version()}, m)
		if err != nil {
			t.Fatal(err)
		}
		if next.TakesPart("dakar-1") || !next.Reflects(m) {
			t.Error("the mark isn't applied")
		}
	}
	m.Identifier = "forgotten"
	if _, err := r.ApplyMark(t.Context(), registrar.LocalView{}, m); err != nil {
		t.Fatal(err)
	}
	stored(t, r, "dakar-1", "mark-dakar-1-1-order")
}

// A lease holder is paused beyond its lease and then writes, before or after
// another instance takes the role over. Its old fence must fail the write.
func TestLateWriteOfAPausedLeaseHolderIsRefusedByItsFence(t *testing.T) {
	_, client, platformClock := connect(t)
	ctx := t.Context()
	claim := func(name string) int64 {
		lease, err := client.Grant(ctx, 10*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		fence, err := client.Claim(ctx, "/role", []byte(name), lease)
		if err != nil {
			t.Fatal(err)
		}
		return fence
	}
	paused := claim("paused")
	platformClock.advance(11 * time.Second)
	// The lease has expired and nobody has taken the role over yet.
	_, err := client.SwapFenced(ctx, "/table", 0, []byte("late"), "/role", paused)
	if !errors.Is(err, store.ErrConflict) || verdict.Of(err) != verdict.NotRun {
		t.Errorf("late write after the lease expired: %v", err)
	}
	fence := claim("successor")
	if _, err := client.SwapFenced(ctx, "/table", 0, []byte("late"), "/role", paused); !errors.Is(err, store.ErrConflict) {
		t.Errorf("late write after the takeover: %v", err)
	}
	if _, err := client.SwapFenced(ctx, "/table", 0, []byte("fresh"), "/role", fence); err != nil {
		t.Errorf("write by the present holder: %v", err)
	}
	entry, _, err := client.Get(ctx, "/table")
	if err != nil || string(entry.Value) != "fresh" {
		t.Errorf("stored %q (%v), want fresh", entry.Value, err)
	}
}

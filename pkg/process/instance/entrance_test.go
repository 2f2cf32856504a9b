package instance_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"runtime"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/go-cmp/cmp"

	"github.com/tanagerweir/tanagerweir/pkg/demo"
	"github.com/tanagerweir/tanagerweir/pkg/request/claim"
	"github.com/tanagerweir/tanagerweir/pkg/request/dispatch"
	"github.com/tanagerweir/tanagerweir/pkg/standin/backend"
	"github.com/tanagerweir/tanagerweir/pkg/standin/platform"
	"github.com/tanagerweir/tanagerweir/service/api"
	"github.com/tanagerweir/tanagerweir/service/api/apiconnect"
)

// newConfiguredCluster returns a configured deployment with one backend server per
// service and that many instances in front of them.
func newConfiguredCluster(ctx context.Context, t *testing.T, instances int) *demo.Cluster {
	t.Helper()
	plan := demo.SmallPlan()
	plan.InstancesPerCentre = instances
	cluster, closeCluster, err := demo.NewCluster(ctx, plan, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(closeCluster)
	if err := cluster.Configure(ctx); err != nil {
		t.Fatal(err)
	}
	return cluster
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	t.Cleanup(cancel)
	return ctx
}

func entrance(c *demo.Cluster, n int) apiconnect.EntranceClient {
	return apiconnect.NewEntranceClient(http.DefaultClient, "http://"+c.Instances[n].Settings().Requests.String())
}

func signOff(key, body string) *connect.Request[api.SubmitRequest] {
	return connect.NewRequest(&api.SubmitRequest{Class: "sign-off", Key: key, Body: []byte(body)})
}

func submitKey(ctx context.Context, t *testing.T, c *demo.Cluster, n int, key, body string) submitResult {
	t.Helper()
	return submitTo(ctx, t, c, n, signOff(key, body))
}

func submitTo(ctx context.Context, t *testing.T, c *demo.Cluster, n int, r *connect.Request[api.SubmitRequest]) submitResult {
	t.Helper()
	response, err := entrance(c, n).Submit(ctx, r)
	if err != nil {
		t.Fatal(err)
	}
	return submitResult{response.Msg.GetVerdict(), response.Msg.GetCause(), string(response.Msg.GetBody())}
}

// newKey returns a version 7 UUID with the current time; n makes it unique.
func newKey(n int) string {
	stamp := fmt.Sprintf("%012x", time.Now().UnixMilli())
	return fmt.Sprintf("%s-%s-7000-8000-%012x", stamp[:8], stamp[8:], n)
}

// TestVerdictAtEachCutOfThePath breaks the path between instance and backend server
// at each stage of a request. Only a request that can't have reached the server may
// get NotRun.
func TestVerdictAtEachCutOfThePath(t *testing.T) {
	t.Parallel()
	mayHaveRun := func(cause string) submitResult {
		return submitResult{Verdict: api.Verdict_VERDICT_MAY_HAVE_RUN, Cause: cause}
	}
	cases := []struct {
		name   string
		fault  backend.Fault
		body   string
		wanted submitResult
		runs   int
	}{
		{"after the write", backend.CutBeforeRun, "a", mayHaveRun(dispatch.CauseBroken), 0},
		{"in the write", backend.CutBeforeRun, string(bytes.Repeat([]byte("a"), 16<<20)), mayHaveRun(dispatch.CauseBroken), 0},
		{"after it ran", backend.CutAfterRun, "a", mayHaveRun(dispatch.CauseBroken), 1},
		{"in the answer", backend.CutMidAnswer, "a", mayHaveRun(dispatch.CauseBroken), 1},
		{"answer of another request", backend.WrongTicketAnswer, "a", mayHaveRun(dispatch.CauseForeign), 1},
		{"changed answer", backend.CorruptAnswer, "a", mayHaveRun(dispatch.CauseForeign), 1},
		{"answered twice", backend.DoubleAnswer, "a", submitResult{Verdict: api.Verdict_VERDICT_RAN, Body: "board-1: a"}, 1},
		{"none", backend.NoFault, "a", submitResult{Verdict: api.Verdict_VERDICT_RAN, Body: "board-1: a"}, 1},
		{"no connection", backend.Gone, "a", submitResult{Verdict: api.Verdict_VERDICT_NOT_RUN, Cause: dispatch.CauseDial}, 0},
	}
	ctx := testContext(t)
	cluster := newConfiguredCluster(ctx, t, 1)
	server := cluster.Backends["board-1"]
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			before := server.TotalRuns()
			server.SetFault(c.fault)
			if diff := cmp.Diff(c.wanted, submitKey(ctx, t, cluster, 0, "", c.body)); diff != "" {
				t.Errorf("answer (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.runs, server.TotalRuns()-before); diff != "" {
				t.Errorf("runs (-want +got):\n%s", diff)
			}
		})
	}
}

// TestDoubledAnswersNeverReachTheNextRequest guards against a response that goes to
// the wrong request: the server sends every response twice, and on a reused
// connection the second copy arrives where the next response is expected.
func TestDoubledAnswersNeverReachTheNextRequest(t *testing.T) {
	t.Parallel()
	ctx := testContext(t)
	cluster := newConfiguredCluster(ctx, t, 1)
	cluster.Backends["ledger-1"].SetFault(backend.DoubleAnswer)
	served := 0
	for n := range 20 {
		body := fmt.Sprintf("body %d", n)
		request := connect.NewRequest(&api.SubmitRequest{Class: "upload", Body: []byte(body)})
		response, err := entrance(cluster, 0).Submit(ctx, request)
		if err != nil {
			t.Fatal(err)
		}
		if response.Msg.GetVerdict() != api.Verdict_VERDICT_RAN {
			continue
		}
		served++
		if got := string(response.Msg.GetBody()); got != "ledger-1: "+body {
			t.Errorf("%q was answered with %q", body, got)
		}
	}
	if served == 0 {
		t.Error("no request was served")
	}
}

// TestServerThatClosesConnectionsCausesNoMayHaveRun guards against requests sent on
// a connection that the server is closing, whose verdict would be MayHaveRun. The
// server closes every connection after its response, as a restarting one does.
func TestServerThatClosesConnectionsCausesNoMayHaveRun(t *testing.T) {
	t.Parallel()
	ctx := testContext(t)
	cluster := newConfiguredCluster(ctx, t, 1)
	cluster.Backends["board-1"].SetFault(backend.ClosingAnswer)
	for n := range 200 {
		got := submitKey(ctx, t, cluster, 0, "", "a")
		for got.Verdict == api.Verdict_VERDICT_NOT_RUN && ctx.Err() == nil {
			// On a stalled machine, slow responses make the server look cold; the
			// caller repeats the request.
			got = submitKey(ctx, t, cluster, 0, "", "a")
		}
		if diff := cmp.Diff(submitResult{Verdict: api.Verdict_VERDICT_RAN, Body: "board-1: a"}, got); diff != "" {
			t.Fatalf("request %d (-want +got):\n%s", n, diff)
		}
	}
}

func TestRefusalOfTheServerIsNotRun(t *testing.T) {
	t.Parallel()
	ctx := testContext(t)
	cluster := newConfiguredCluster(ctx, t, 1)
	cluster.Backends["board-1"].SetLeaving(true)
	got := submitKey(ctx, t, cluster, 0, "", "a")
	if got.Verdict != api.Verdict_VERDICT_NOT_RUN {
		t.Errorf("the backend server refused the request, but the caller got %v", got)
	}
	if runs := cluster.Backends["board-1"].TotalRuns(); runs != 0 {
		t.Errorf("%d runs", runs)
	}
}

// TestCallerCancellationReachesTheServer guards against backend servers that go on
// working for a caller that has cancelled or whose deadline has passed.
func TestCallerCancellationReachesTheServer(t *testing.T) {
	t.Parallel()
	for name, leave := range map[string]func(context.Context) (context.Context, context.CancelFunc){
		"cancelled": context.WithCancel,
		"deadline": func(ctx context.Context) (context.Context, context.CancelFunc) {
			return context.WithTimeout(ctx, 300*time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx := testContext(t)
			cluster := newConfiguredCluster(ctx, t, 1)
			server := cluster.Backends["board-1"]
			arrived, release := server.HoldRequests()
			defer release()
			calling, cancel := leave(ctx)
			defer cancel()
			done := make(chan api.Verdict, 1)
			go func() {
				response, err := entrance(cluster, 0).Submit(calling, signOff("", "a"))
				if err != nil {
					done <- api.Verdict_VERDICT_MAY_HAVE_RUN
					return
				}
				done <- response.Msg.GetVerdict()
			}()
			<-arrived
			if name == "cancelled" {
				cancel()
			}
			if got := <-done; got != api.Verdict_VERDICT_MAY_HAVE_RUN {
				t.Errorf("the caller of a request under way got %s", got)
			}
			for server.Cancelled() == 0 && ctx.Err() == nil {
				runtime.Gosched()
			}
			if ctx.Err() != nil || server.TotalRuns() != 0 {
				t.Errorf("cancelled at the server: %d, runs: %d", server.Cancelled(), server.TotalRuns())
			}
		})
	}
}

// claimPause is the time between two claims of a test: less often than an instance of a
// fleet of nine may claim.
const claimPause = 100 * time.Millisecond

func TestKeyRunsOnceThroughTwoInstances(t *testing.T) {
	t.Parallel()
	ctx := testContext(t)
	cluster := newConfiguredCluster(ctx, t, 2)
	key := newKey(1)
	first := submitResult{Verdict: api.Verdict_VERDICT_RAN, Body: "board-1: a"}
	for _, attempt := range []string{"first", "repeated"} {
		if diff := cmp.Diff(first, submitKey(ctx, t, cluster, 0, key, "a")); diff != "" {
			t.Errorf("%s (-want +got):\n%s", attempt, diff)
		}
	}
	before := submitResult{Verdict: api.Verdict_VERDICT_RAN, Cause: claim.CauseRanBefore}
	var got submitResult
	for got != before && ctx.Err() == nil {
		// Each request makes a claim, whose rate is bounded.
		time.Sleep(claimPause)
		got = submitKey(ctx, t, cluster, 1, key, "a")
		if got.Verdict == api.Verdict_VERDICT_NOT_RUN {
			t.Fatalf("at another instance: %v", got)
		}
	}
	reused := submitResult{Verdict: api.Verdict_VERDICT_NOT_RUN, Cause: claim.CauseKeyReused}
	if diff := cmp.Diff(reused, submitKey(ctx, t, cluster, 1, key, "b")); diff != "" {
		t.Errorf("another request under the key (-want +got):\n%s", diff)
	}
	if runs := cluster.Backends["board-1"].TotalRuns(); runs != 1 {
		t.Errorf("%d runs", runs)
	}
}

// TestKeyOfAKilledInstanceIsNotRunAgain kills an instance while a backend server
// works on a request with a key. Another instance must not run the request again.
func TestKeyOfAKilledInstanceIsNotRunAgain(t *testing.T) {
	t.Parallel()
	ctx := testContext(t)
	cluster := newConfiguredCluster(ctx, t, 2)
	server := cluster.Backends["board-1"]
	arrived, release := server.HoldRequests()
	defer release()
	key := newKey(1)
	first := entrance(cluster, 0)
	done := make(chan error, 1)
	go func() {
		_, err := first.Submit(ctx, signOff(key, "a"))
		done <- err
	}()
	<-arrived
	cluster.KillInstance(0)
	if err := <-done; err == nil {
		t.Error("the killed instance answered")
	}
	wanted := submitResult{Verdict: api.Verdict_VERDICT_MAY_HAVE_RUN, Cause: claim.CauseClaimed}
	if diff := cmp.Diff(wanted, submitKey(ctx, t, cluster, 0, key, "a")); diff != "" {
		t.Errorf("at the other instance (-want +got):\n%s", diff)
	}
}

func TestPlatformDownRefusesKeysAndServesTheRest(t *testing.T) {
	t.Parallel()
	ctx := testContext(t)
	cluster := newConfiguredCluster(ctx, t, 2)
	cluster.Platform.SetFault(platform.Fault{Outage: true})
	first := signOff(newKey(1), "a")
	first.Msg.First = true
	unavailable := submitResult{Verdict: api.Verdict_VERDICT_NOT_RUN, Cause: claim.CausePlatformSilent}
	if diff := cmp.Diff(unavailable, submitTo(ctx, t, cluster, 0, first)); diff != "" {
		t.Errorf("with a key, for the first time (-want +got):\n%s", diff)
	}
	unavailable.Verdict = api.Verdict_VERDICT_MAY_HAVE_RUN
	if diff := cmp.Diff(unavailable, submitKey(ctx, t, cluster, 0, newKey(2), "a")); diff != "" {
		t.Errorf("with a key that may have run elsewhere (-want +got):\n%s", diff)
	}
	issued, err := entrance(cluster, 0).Issue(ctx, connect.NewRequest(&api.IssueRequest{}))
	if err != nil {
		t.Fatal(err)
	}
	ran := submitResult{Verdict: api.Verdict_VERDICT_RAN, Body: "board-1: b"}
	for _, attempt := range []string{"first", "repeated"} {
		if diff := cmp.Diff(ran, submitKey(ctx, t, cluster, 0, issued.Msg.GetTicket(), "b")); diff != "" {
			t.Errorf("with a ticket, %s (-want +got):\n%s", attempt, diff)
		}
	}
	unknownTicket := submitResult{Verdict: api.Verdict_VERDICT_MAY_HAVE_RUN, Cause: claim.CauseTicketUnknown}
	if diff := cmp.Diff(unknownTicket, submitKey(ctx, t, cluster, 1, issued.Msg.GetTicket(), "b")); diff != "" {
		t.Errorf("the ticket at another instance (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(ran, submitKey(ctx, t, cluster, 0, "", "b")); diff != "" {
		t.Errorf("without a key (-want +got):\n%s", diff)
	}
	if runs := cluster.Backends["board-1"].TotalRuns(); runs != 2 {
		t.Errorf("%d runs of two requests", runs)
	}
}

// TestRequestHeldUpPastItsDeadlineIsRefused sends a backend server a request whose
// deadline has passed. This happens if an instance is paused between its last check
// of the clock and the write; the server has to refuse the request.
func TestRequestHeldUpPastItsDeadlineIsRefused(t *testing.T) {
	t.Parallel()
	ctx := testContext(t)
	cluster := newConfiguredCluster(ctx, t, 1)
	server := cluster.Backends["board-1"]
	worker := apiconnect.NewWorkerClient(http.DefaultClient, "http://"+server.Requests().String())
	response, err := worker.Handle(ctx, connect.NewRequest(&api.HandleRequest{
		Ticket: "late/1/1", Class: "sign-off", BodyHash: emptyHash, DeadlineUnixMilliseconds: time.Now().Add(-time.Second).UnixMilli(),
	}))
	if err != nil {
		t.Fatal(err)
	}
	if !response.Msg.GetRefused() || server.TotalRuns() != 0 {
		t.Errorf("refused: %t, runs: %d", response.Msg.GetRefused(), server.TotalRuns())
	}
}

// emptyHash is the XXH64 hash of an empty body.
const emptyHash = 0xef46db3751d8e999

// TestPlannedStopLetsASlowCallerReadItsAnswer guards against a stop that cuts off a
// response: it stops an instance while a caller has read only the headers of a
// large response.
func TestPlannedStopLetsASlowCallerReadItsAnswer(t *testing.T) {
	t.Parallel()
	ctx := testContext(t)
	cluster := newConfiguredCluster(ctx, t, 1)
	node := cluster.Instances[0]
	body := bytes.Repeat([]byte("0123456789abcdef"), 1<<20)
	stopped := make(chan error, 1)
	slow := &http.Client{Transport: slowReader{afterHead: func() {
		go func() {
			_, err := cluster.StopInstance(ctx, 0)
			stopped <- err
		}()
		for node.Ready() {
			runtime.Gosched()
		}
		for range 20 {
			_, _ = apiconnect.NewEntranceClient(http.DefaultClient, "http://"+node.Settings().Requests.String()).
				Submit(ctx, signOff("", "b"))
		}
	}}}
	client := apiconnect.NewEntranceClient(slow, "http://"+node.Settings().Requests.String(),
		connect.WithAcceptCompression("gzip", nil, nil))
	response, err := client.Submit(ctx, signOff("", string(body)))
	if err != nil {
		t.Fatalf("the response was cut off: %v", err)
	}
	if !bytes.Equal(response.Msg.GetBody(), append([]byte("board-1: "), body...)) {
		t.Error("the response is incomplete")
	}
	if err := <-stopped; err != nil {
		t.Errorf("the stop failed: %v", err)
	}
}

// slowReader calls afterHead after the headers of a response have arrived and
// before its body is read.
type slowReader struct {
	afterHead func()
}

func (s slowReader) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := http.DefaultTransport.RoundTrip(r)
	if err == nil {
		s.afterHead()
	}
	return response, err
}

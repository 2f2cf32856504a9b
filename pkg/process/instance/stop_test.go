package instance_test

import (
	"context"
	"net/http"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/go-cmp/cmp"

	"github.com/tanagerweir/tanagerweir/pkg/demo"
	"github.com/tanagerweir/tanagerweir/pkg/request/dispatch"
	"github.com/tanagerweir/tanagerweir/service/api"
	"github.com/tanagerweir/tanagerweir/service/api/apiconnect"
)

const testLimit = 30 * time.Second // limits a test that hangs

// submitResult holds the fields of a SubmitResponse that the tests compare.
type submitResult struct {
	Verdict api.Verdict
	Cause   string
	Body    string
}

func submit(ctx context.Context, t *testing.T, endpoint netip.AddrPort, body string) submitResult {
	t.Helper()
	entrance := apiconnect.NewEntranceClient(http.DefaultClient, "http://"+endpoint.String())
	response, err := entrance.Submit(ctx, connect.NewRequest(&api.SubmitRequest{Class: "sign-off", Body: []byte(body)}))
	if err != nil {
		t.Errorf("submit %q: %v", body, err)
		return submitResult{}
	}
	return submitResult{response.Msg.GetVerdict(), response.Msg.GetCause(), string(response.Msg.GetBody())}
}

// TestPlannedStopFinishesWhatIsInFlight guards against a stop that abandons requests
// in flight: it stops an instance while a backend server holds a request back, and
// releases the request only after the stop began.
func TestPlannedStopFinishesWhatIsInFlight(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	cluster, closeCluster, err := demo.NewCluster(ctx, demo.SmallPlan(), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer closeCluster()
	if err := cluster.Configure(ctx); err != nil {
		t.Fatal(err)
	}
	node, server := cluster.Instances[0], cluster.Backends["board-1"]
	arrived, release := server.HoldRequests()
	answers := make(chan submitResult, 1)
	go func() { answers <- submit(ctx, t, node.Settings().Requests, "first") }()
	<-arrived
	stopped := make(chan error, 1)
	go func() { stopped <- node.Stop(ctx) }()
	for node.Ready() {
		runtime.Gosched()
	}
	lateResult := submit(ctx, t, node.Settings().Requests, "second")
	refused := submitResult{Verdict: api.Verdict_VERDICT_NOT_RUN, Cause: dispatch.CauseStopping}
	if diff := cmp.Diff(refused, lateResult); diff != "" {
		t.Errorf("a request after the stop began (-want +got):\n%s", diff)
	}
	select {
	case err := <-stopped:
		t.Fatalf("the stop didn't wait for the request in flight: %v", err)
	default:
	}
	release()
	wanted := submitResult{Verdict: api.Verdict_VERDICT_RAN, Body: "board-1: first"}
	if diff := cmp.Diff(wanted, <-answers); diff != "" {
		t.Errorf("the request in flight (-want +got):\n%s", diff)
	}
	if err := <-stopped; err != nil {
		t.Errorf("the stop failed: %v", err)
	}
}

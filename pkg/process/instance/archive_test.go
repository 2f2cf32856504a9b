package instance_test

import (
	"context"
	"testing"

	"connectrpc.com/connect"

	"github.com/tanagerweir/tanagerweir/pkg/demo"
	standin "github.com/tanagerweir/tanagerweir/pkg/standin/platform"
	"github.com/tanagerweir/tanagerweir/service/api"
	"github.com/tanagerweir/tanagerweir/service/api/apiconnect"
)

// TestPlannedStopKeepsCountsOnceThoughAnswersAreLost guards against counts that
// are stored twice or not at all: it stops an instance while every write on the
// platform takes effect but its response is lost.
func TestPlannedStopKeepsCountsOnceThoughAnswersAreLost(t *testing.T) {
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
	node := cluster.Instances[0]
	const requests = 3
	for range requests {
		submit(ctx, t, node.Settings().Requests, "sign-off")
	}
	cluster.Platform.SetFault(standin.Fault{LoseAnswers: true})
	if err := node.Stop(ctx); err != nil {
		t.Errorf("the stop failed: %v", err)
	}
	cluster.Platform.SetFault(standin.Fault{})
	admin := apiconnect.NewAdminClient(cluster.Operator(), cluster.Operator().URL(cluster.Admin(0)))
	response, err := admin.Kept(ctx, connect.NewRequest(&api.KeptRequest{}))
	if err != nil {
		t.Fatal(err)
	}
	kept := uint64(0)
	for _, h := range response.Msg.GetHours() {
		for _, c := range h.GetCounts().GetClasses() {
			for _, n := range c.GetRequests() {
				kept += n.GetCount()
			}
		}
	}
	if kept != requests {
		t.Errorf("%d requests were answered, %d are kept", requests, kept)
	}
}

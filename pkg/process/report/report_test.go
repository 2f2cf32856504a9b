package report_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/go-cmp/cmp"

	"github.com/tanagerweir/tanagerweir/pkg/process/archive"
	"github.com/tanagerweir/tanagerweir/pkg/process/certificate"
	"github.com/tanagerweir/tanagerweir/pkg/process/report"
	"github.com/tanagerweir/tanagerweir/service/api"
	"github.com/tanagerweir/tanagerweir/service/api/apiconnect"
)

var start = time.Date(2026, 10, 1, 23, 0, 0, 0, time.UTC)

// instance is an admin server with fixed counts.
type instance struct {
	apiconnect.UnimplementedAdminHandler
	counts []*api.ClassCounts
	hours  []*api.HourCounts
	peers  []*api.InstanceVersion
}

func (i *instance) Read(context.Context, *connect.Request[api.ReadRequest]) (*connect.Response[api.ReadResponse], error) {
	target := &api.Target{Share: 0.9, WithinMilliseconds: 500, WindowSeconds: 3600, FlowShare: 0.99}
	return connect.NewResponse(&api.ReadResponse{Catalogue: &api.Catalogue{
		Version: 7,
		Classes: []*api.Class{{Name: "sign-off", Service: "board", Target: target}},
	}}), nil
}

func (i *instance) InForce(context.Context, *connect.Request[api.InForceRequest]) (*connect.Response[api.InForceResponse], error) {
	return connect.NewResponse(&api.InForceResponse{Instances: i.peers}), nil
}

func (i *instance) Report(context.Context, *connect.Request[api.ReportRequest]) (*connect.Response[api.ReportResponse], error) {
	return connect.NewResponse(&api.ReportResponse{NowUnixSeconds: start.Unix() + 30, Classes: i.counts, Hours: i.hours}), nil
}

func (i *instance) Kept(context.Context, *connect.Request[api.KeptRequest]) (*connect.Response[api.KeptResponse], error) {
	shard := uint32(archive.ShardOf("sign-off"))
	kept := hour(150, 50, "entry-1/1", "gone/1")
	return connect.NewResponse(&api.KeptResponse{Hours: []*api.KeptHour{{Shard: shard, Counts: kept}}}), nil
}

// hour returns an hour of the class sign-off with those contributors.
func hour(good, late uint64, contributors ...string) *api.HourCounts {
	causes := []*api.CauseCount{{Cause: "Good", Count: good}, {Cause: "Late", Count: late}}
	return &api.HourCounts{
		StartUnixSeconds: start.Unix(),
		Classes:          []*api.ClassTotals{{Class: "sign-off", Requests: causes}},
		Contributors:     contributors,
	}
}

func serve(t *testing.T, i *instance) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(apiconnect.NewAdminHandler(i))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func counts(good uint64, cause string, bad uint64) []*api.ClassCounts {
	interval := &api.Interval{StartUnixSeconds: start.Unix(), Good: good, Bad: []*api.CauseCount{{Cause: cause, Count: bad}}}
	return []*api.ClassCounts{{Class: "sign-off", Requests: []*api.Interval{interval}, Flows: []*api.Interval{interval}}}
}

func collect(t *testing.T) report.Report {
	t.Helper()
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	first := &instance{counts: counts(80, "Late", 10), hours: []*api.HourCounts{hour(100, 20, "entry-1/1")}}
	second := &instance{counts: counts(100, "Shed", 10), hours: []*api.HourCounts{hour(100, 0, "entry-2/1")}}
	endpoint := serve(t, first)
	first.peers = []*api.InstanceVersion{
		{Instance: "entry-1", Admin: endpoint},
		{Instance: "entry-2", Admin: serve(t, second)},
		{Instance: "entry-3", Admin: strings.TrimPrefix(gone.URL, "http://")},
		{Instance: "entry-4", Admin: strings.TrimPrefix(gone.URL, "http://"), Leaving: true},
	}
	r, err := report.Collect(context.Background(), certificate.PlainCaller(), endpoint)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Two of four instances answer, one can't be reached and one stopped as
// planned. Counts that the platform already keeps must not be added again.
func TestReportMergesInstancesAndNamesTheMissing(t *testing.T) {
	bad := []report.CauseCount{{Cause: "Late", Count: 10}, {Cause: "Shed", Count: 10}}
	points := []report.Point{{At: start, Good: 180, All: 200}}
	wanted := report.Report{
		At:      start.Add(30 * time.Second),
		Version: 7,
		Asked:   []string{"entry-1", "entry-2"},
		Left:    []string{"entry-4"},
		Missing: []string{"entry-3"},
		Rows: []report.Row{{
			Class: "sign-off", Service: "board", Share: 0.9, Within: "500ms",
			Good: 180, All: 200, FastBurn: 1, SlowBurn: 1, Bad: bad,
			// The hour of entry-1 is also kept by the platform and counts
			// once.
			Window: "1h0m0s", WindowGood: 250, WindowAll: 300, BudgetLeft: 1 - 50.0/30, FlowBudgetLeft: 1,
			FlowShare: 0.99, FlowsGood: 180, FlowsAll: 200, FlowFastBurn: 10, FlowSlowBurn: 10, FlowsBad: bad,
			Points: points, FlowPoints: points,
		}},
	}
	approximately := cmp.Comparer(func(a, b float64) bool { return a-b < 1e-9 && b-a < 1e-9 })
	if diff := cmp.Diff(wanted, collect(t), approximately); diff != "" {
		t.Errorf("report (-want +got):\n%s", diff)
	}
}

func TestReportPageIsSelfContained(t *testing.T) {
	var b bytes.Buffer
	if err := collect(t).WriteHTML(&b); err != nil {
		t.Fatal(err)
	}
	text := b.String()
	for _, wanted := range []string{"<svg", "sign-off", "entry-3", "Shed 10"} {
		if !strings.Contains(text, wanted) {
			t.Errorf("the page lacks %q", wanted)
		}
	}
	for _, unwanted := range []string{"<script", "src=", "<link"} {
		if strings.Contains(text, unwanted) {
			t.Errorf("the page holds %q", unwanted)
		}
	}
}

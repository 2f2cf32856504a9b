package instance_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/tanagerweir/tanagerweir/pkg/demo"
)

func httpGet(t *testing.T, url string) (int, string) {
	t.Helper()
	response, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(body)
}

func TestMetricsAndReadinessFollowTheInstance(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	cluster, closeCluster, err := demo.NewCluster(ctx, demo.SmallPlan(), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer closeCluster()
	node := cluster.Instances[0]
	url := "http://" + node.Settings().Metrics.String()
	if code, _ := httpGet(t, url+"/readyz"); code != http.StatusServiceUnavailable {
		t.Errorf("an instance without a configuration returns %d from /readyz", code)
	}
	if err := cluster.Configure(ctx); err != nil {
		t.Fatal(err)
	}
	if code, _ := httpGet(t, url+"/readyz"); code != http.StatusOK {
		t.Errorf("a configured instance returns %d from /readyz", code)
	}
	submit(ctx, t, node.Settings().Requests, "first")
	_, page := httpGet(t, url+"/metrics")
	for _, line := range []string{
		"tanagerweir_configuration_version 1",
		`tanagerweir_ended{cause="Good",class="sign-off",kind="requests"} 1`,
		`tanagerweir_burn_rate{class="sign-off",kind="requests",window="5m"} 0`,
	} {
		if !strings.Contains(page, line+"\n") {
			t.Errorf("metrics lack %q", line)
		}
	}
	if err := node.Stop(ctx); err != nil {
		t.Fatal(err)
	}
	if code, _ := httpGet(t, url+"/readyz"); code != http.StatusServiceUnavailable {
		t.Errorf("a leaving instance returns %d from /readyz", code)
	}
}

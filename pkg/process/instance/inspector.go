package instance

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/tanagerweir/tanagerweir/pkg/process/condition"
	"github.com/tanagerweir/tanagerweir/pkg/process/control"
	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
	"github.com/tanagerweir/tanagerweir/service/api"
	"github.com/tanagerweir/tanagerweir/service/api/apiconnect"
)

const (
	loadQueryPeriod  = 1 * time.Second        // between two rounds of queries
	loadQueryTimeout = 500 * time.Millisecond // limits the query of one backend server
)

// inspector queries backend servers for their load. The control core chooses
// which: a few per second, and each server is queried by only a few instances. The
// others learn the result from marks.
type inspector struct {
	node   *Instance
	client *http.Client
}

func newInspector(i *Instance) *inspector {
	return &inspector{node: i, client: &http.Client{Timeout: loadQueryTimeout}}
}

func (i *inspector) run(ctx context.Context) {
	for ctx.Err() == nil {
		var due []catalogue.Backend
		i.node.state.withCore(func(now time.Time, c *control.Core) { due = c.NextInspections(now) })
		for _, b := range due {
			i.queryLoad(ctx, b)
		}
		sleep(ctx, loadQueryPeriod)
	}
	i.client.CloseIdleConnections()
}

func (i *inspector) queryLoad(ctx context.Context, b catalogue.Backend) {
	worker := apiconnect.NewWorkerClient(i.client, "http://"+b.Requests.String())
	response, err := worker.Load(ctx, connect.NewRequest(&api.LoadRequest{}))
	if err != nil {
		i.node.log.Debug("Inspector: a backend server doesn't respond to the load query.", "Backend", b.Name, "Error", err)
		return
	}
	r := condition.Report{
		Backend: b.Name,
		Slots:   response.Msg.GetSlots(),
		Busy:    response.Msg.GetBusy(),
		Cold:    response.Msg.GetCold(),
		Leaving: response.Msg.GetLeaving(),
	}
	i.node.state.withCore(func(now time.Time, c *control.Core) { c.ApplyReport(now, r) })
}

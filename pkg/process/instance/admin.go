package instance

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/tanagerweir/tanagerweir/pkg/process/control"
	"github.com/tanagerweir/tanagerweir/pkg/process/journal"
	"github.com/tanagerweir/tanagerweir/pkg/request/budget"
	"github.com/tanagerweir/tanagerweir/service/api"
)

// admin implements the Admin service, which operators call.
type admin struct {
	node *Instance
}

func newAdmin(i *Instance) *admin { return &admin{node: i} }

// Read returns the configuration in force on this instance.
func (a *admin) Read(context.Context, *connect.Request[api.ReadRequest]) (*connect.Response[api.ReadResponse], error) {
	return connect.NewResponse(&api.ReadResponse{Catalogue: api.CatalogueToWire(a.node.state.current())}), nil
}

// InForce returns the configuration version that each known instance has in
// force, the data centres with their states, and the emergency marks.
func (a *admin) InForce(context.Context, *connect.Request[api.InForceRequest]) (*connect.Response[api.InForceResponse], error) {
	response := &api.InForceResponse{}
	a.node.state.withCore(func(now time.Time, c *control.Core) {
		response.Instances = memberVersions(now, c)
		for _, d := range c.Current().DataCentres() {
			response.DataCentres = append(response.DataCentres, api.DataCentreToWire(d))
		}
		response.Marks = api.DataCentreMarksToWire(c.EmergencyMarks())
	})
	for _, i := range response.GetInstances() {
		if i.GetInstance() == a.node.settings.Name {
			response.Self = i
		}
	}
	return connect.NewResponse(response), nil
}

func (a *admin) knownInstanceVersions() []*api.InstanceVersion {
	var versions []*api.InstanceVersion
	a.node.state.withCore(func(now time.Time, c *control.Core) { versions = memberVersions(now, c) })
	return versions
}

func memberVersions(now time.Time, c *control.Core) []*api.InstanceVersion {
	var versions []*api.InstanceVersion
	for _, m := range c.Members() {
		versions = append(versions, &api.InstanceVersion{
			Instance:        m.Name,
			DataCentre:      m.DataCentre,
			Version:         uint64(m.Version),
			AgeMilliseconds: c.Age(now, m.Name).Milliseconds(),
			Admin:           m.Admin.String(),
			Leaving:         m.Leaving,
		})
	}
	return versions
}

// Report returns the counts of this instance and every hour that it holds.
func (a *admin) Report(context.Context, *connect.Request[api.ReportRequest]) (*connect.Response[api.ReportResponse], error) {
	response := &api.ReportResponse{
		Instance:        a.node.settings.Name,
		NowUnixSeconds:  a.node.now().Unix(),
		IntervalSeconds: int64(budget.IntervalLength.Seconds()),
		Instances:       a.knownInstanceVersions(),
	}
	a.node.state.withCore(func(now time.Time, c *control.Core) {
		response.Classes = classCounts(c)
		c.FoldCounts(now)
		for _, h := range c.Archive().Hours() {
			response.Hours = append(response.Hours, api.HourToWire(h))
		}
	})
	return connect.NewResponse(response), nil
}

// Kept returns the hourly counts that are stored in the platform. Where the
// platform can't be read the error code is Unavailable.
func (a *admin) Kept(ctx context.Context, _ *connect.Request[api.KeptRequest]) (*connect.Response[api.KeptResponse], error) {
	hours, err := a.node.archiver.storedHours(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	response := &api.KeptResponse{}
	for _, k := range hours {
		response.Hours = append(response.Hours, &api.KeptHour{Shard: uint32(k.Shard), Counts: api.HourToWire(k.Hour)})
	}
	return connect.NewResponse(response), nil
}

func classCounts(c *control.Core) []*api.ClassCounts {
	var counts []*api.ClassCounts
	for _, class := range c.Current().Classes() {
		requests, flows := c.Counts(class)
		counts = append(counts, &api.ClassCounts{
			Class:    class.Name,
			Requests: api.SeriesToWire(requests),
			Flows:    api.SeriesToWire(flows),
		})
	}
	return counts
}

// Why returns the journal's entries about a subject.
func (a *admin) Why(_ context.Context, r *connect.Request[api.WhyRequest]) (*connect.Response[api.WhyResponse], error) {
	response := &api.WhyResponse{}
	var entries []journal.Entry
	a.node.state.withCore(func(_ time.Time, c *control.Core) { entries = c.Decisions(r.Msg.GetSubject()) })
	for _, e := range entries {
		response.Decisions = append(response.Decisions, &api.Decision{
			UnixMilliseconds: e.At.UnixMilli(),
			Instance:         a.node.settings.Name,
			Subject:          e.Subject,
			Action:           e.Action,
			Cause:            e.Cause,
		})
	}
	return connect.NewResponse(response), nil
}

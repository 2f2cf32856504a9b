// Package report shows how each class of work is served against its target.
//
// Collect queries every instance that the first one knows for its own counts
// and merges them. An instance that can't be reached is listed as missing;
// its counts are left out, and nothing is counted twice.
//
// # Usage
//
//	r, err := report.Collect(ctx, certificate.PlainCaller(), "127.0.0.1:7004")
//	if err != nil {
//		return err
//	}
//	err = r.WriteTable(os.Stdout)
package report

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"github.com/tanagerweir/tanagerweir/pkg/process/archive"
	"github.com/tanagerweir/tanagerweir/pkg/request/budget"
	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
	"github.com/tanagerweir/tanagerweir/service/api"
	"github.com/tanagerweir/tanagerweir/service/api/apiconnect"
)

// callTimeout bounds each call to an instance.
const callTimeout = 2 * time.Second

// Report shows how all classes are served. It is encoded as JSON with the
// names of its fields.
type Report struct {
	At      time.Time
	Version uint64
	Rows    []Row
	// Asked names the instances whose counts are included. Left names those
	// that stopped as planned: the platform keeps their hours, but their last
	// minutes aren't included. Missing names all other known instances.
	Asked   []string
	Left    []string
	Missing []string
	// NoKeptHours says that the hours kept by the platform couldn't be read,
	// so budgets cover live instances only.
	NoKeptHours bool
}

// Caller reaches the admin ports of instances; package certificate has
// implementations.
type Caller interface {
	connect.HTTPClient
	// URL returns the base URL of an endpoint.
	URL(endpoint string) string
}

// Collect queries the instance at the admin endpoint and all instances that
// it knows. It fails only if that first instance can't be queried or sends an
// invalid catalogue.
func Collect(ctx context.Context, client Caller, endpoint string) (Report, error) {
	first := apiconnect.NewAdminClient(client, client.URL(endpoint))
	read, err := first.Read(ctx, connect.NewRequest(&api.ReadRequest{}))
	if err != nil {
		return Report{}, errors.Wrapf(err, "instance %s", endpoint)
	}
	current, err := api.CatalogueFromWire(read.Msg.GetCatalogue())
	if err != nil {
		return Report{}, err
	}
	known, err := first.InForce(ctx, connect.NewRequest(&api.InForceRequest{}))
	if err != nil {
		return Report{}, errors.Wrapf(err, "instance %s", endpoint)
	}
	m := merger{classes: make(map[string]classSeries)}
	for _, i := range known.Msg.GetInstances() {
		m.query(ctx, client, i)
	}
	m.queryKept(ctx, first)
	return m.report(current), nil
}

// merger collects the answers of instances. liveHours are the hours that
// instances hold, keptHours those that the platform keeps.
type merger struct {
	now         time.Time
	classes     map[string]classSeries
	asked       []string
	left        []string
	missing     []string
	liveHours   []archive.Hour
	keptHours   []archive.KeptShard
	noKeptHours bool
}

// query adds the counts of one instance.
func (m *merger) query(ctx context.Context, client Caller, i *api.InstanceVersion) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	admin := apiconnect.NewAdminClient(client, client.URL(i.GetAdmin()))
	answer, err := admin.Report(ctx, connect.NewRequest(&api.ReportRequest{}))
	if err != nil {
		m.addUnreachable(i)
		return
	}
	m.asked = append(m.asked, i.GetInstance())
	if now := time.Unix(answer.Msg.GetNowUnixSeconds(), 0).UTC(); now.After(m.now) {
		m.now = now
	}
	for _, h := range answer.Msg.GetHours() {
		m.liveHours = append(m.liveHours, api.HourFromWire(h))
	}
	for _, c := range answer.Msg.GetClasses() {
		m.addClass(c)
	}
}

// addUnreachable records an instance that didn't answer, as left if it had
// begun a planned stop and as missing otherwise.
func (m *merger) addUnreachable(i *api.InstanceVersion) {
	if i.GetLeaving() {
		m.left = append(m.left, i.GetInstance())
		return
	}
	m.missing = append(m.missing, i.GetInstance())
}

// queryKept adds the hours that the platform keeps.
func (m *merger) queryKept(ctx context.Context, admin apiconnect.AdminClient) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := admin.Kept(ctx, connect.NewRequest(&api.KeptRequest{}))
	if err != nil {
		m.noKeptHours = true
		return
	}
	for _, k := range answer.Msg.GetHours() {
		m.keptHours = append(m.keptHours, archive.KeptShard{Hour: api.HourFromWire(k.GetCounts()), Shard: int(k.GetShard())})
	}
}

// addClass merges one instance's counts of a class with those of the others.
func (m *merger) addClass(c *api.ClassCounts) {
	known := m.classes[c.GetClass()]
	known.requests = budget.Merge(known.requests, api.SeriesFromWire(c.GetRequests()))
	known.flows = budget.Merge(known.flows, api.SeriesFromWire(c.GetFlows()))
	m.classes[c.GetClass()] = known
}

func (m *merger) report(c catalogue.Catalogue) Report {
	slices.Sort(m.asked)
	slices.Sort(m.left)
	slices.Sort(m.missing)
	r := Report{At: m.now, Version: uint64(c.Version()), Asked: m.asked, Left: m.left, Missing: m.missing, NoKeptHours: m.noKeptHours}
	hours := archive.Merge(m.keptHours, m.liveHours)
	for _, class := range c.Classes() {
		series := m.classes[class.Name]
		series.hours = hours[class.Name]
		r.Rows = append(r.Rows, newRow(m.now, class, series))
	}
	return r
}

// WriteJSON writes r as one JSON object.
func (r Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteTable writes r as a table for people.
func (r Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "CLASS\tSERVICE\tTARGET\tGOOD\tALL\tBUDGET LEFT\tBURN 5M\tBURN 1H\tBAD BY CAUSE\tFLOWS GOOD\tFLOWS ALL\tFLOWS BURN 1H\tFLOWS BAD BY CAUSE")
	for _, row := range r.Rows {
		fmt.Fprintf(t, "%s\t%s\t%.4g%% within %s\t%d\t%d\t%.1f%%\t%.2f\t%.2f\t%s\t%d\t%d\t%.2f\t%s\n",
			row.Class, row.Service, row.Share*100, row.Within, row.Good, row.All,
			row.BudgetLeft*100, row.FastBurn, row.SlowBurn, causes(row.Bad),
			row.FlowsGood, row.FlowsAll, row.FlowSlowBurn, causes(row.FlowsBad))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "Version %d; counts of %d instances; left as planned: %s; missing: %s\n",
		r.Version, len(r.Asked), orNone(r.Left), orNone(r.Missing))
	if err == nil && r.NoKeptHours {
		_, err = fmt.Fprintln(w, "The platform's hours can't be read: budgets cover live instances only.")
	}
	return err
}

func causes(bad []CauseCount) string {
	var words []string
	for _, c := range bad {
		words = append(words, fmt.Sprintf("%s %d", c.Cause, c.Count))
	}
	return orNone(words)
}

func orNone(words []string) string {
	if len(words) == 0 {
		return "none"
	}
	return strings.Join(words, ", ")
}

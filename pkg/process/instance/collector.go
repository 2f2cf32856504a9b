package instance

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tanagerweir/tanagerweir/pkg/process/control"
	"github.com/tanagerweir/tanagerweir/pkg/request/budget"
	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
)

// Labels of the collector's metrics. Classes come from the configuration
// and causes from a fixed list, so that both sets are bounded.
const (
	labelClass  = "class"
	labelKind   = "kind"
	labelCause  = "cause"
	labelWindow = "window"
)

// Values of the kind label: the two kinds of work that a target covers.
const (
	kindRequests = "requests"
	kindFlows    = "flows"
)

// collector computes metrics from the state of an instance at each scrape.
type collector struct {
	node     *Instance
	version  *prometheus.Desc
	alive    *prometheus.Desc
	calls    *prometheus.Desc
	inFlight *prometheus.Desc
	burn     *prometheus.Desc
	ended    *prometheus.Desc
}

func newCollector(i *Instance) *collector {
	return &collector{
		node: i,
		version: prometheus.NewDesc("tanagerweir_configuration_version",
			"Configuration version in force, 0 for none.", nil, nil),
		alive: prometheus.NewDesc("tanagerweir_instances_alive",
			"Instances taken for alive, this one included.", nil, nil),
		calls: prometheus.NewDesc("tanagerweir_platform_calls_total",
			"Calls on the platform's key-value service, a waiting watch as one.", nil, nil),
		inFlight: prometheus.NewDesc("tanagerweir_requests_in_flight",
			"Requests in flight.", nil, nil),
		burn: prometheus.NewDesc("tanagerweir_burn_rate",
			"Burn rate of the error budget at this instance; 1 uses it up within the target's window.",
			[]string{labelClass, labelKind, labelWindow}, nil),
		ended: prometheus.NewDesc("tanagerweir_ended",
			"Requests and flows that ended within the last hour at this instance, by cause.",
			[]string{labelClass, labelKind, labelCause}, nil),
	}
}

// Describe sends the descriptions of all metrics.
func (c *collector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{c.version, c.alive, c.calls, c.inFlight, c.burn, c.ended} {
		out <- d
	}
}

// Collect sends the current values.
func (c *collector) Collect(out chan<- prometheus.Metric) {
	sendGauge(out, c.version, float64(c.node.state.version()))
	sendGauge(out, c.alive, float64(len(c.node.state.alive())))
	sendGauge(out, c.inFlight, float64(c.node.activeRequests.inFlight()))
	out <- prometheus.MustNewConstMetric(c.calls, prometheus.CounterValue, float64(c.node.store.Calls()))
	for _, s := range c.snapshots() {
		c.collectClass(out, s)
	}
}

// snapshot is the counts of one class at the time of a scrape.
type snapshot struct {
	now      time.Time
	class    catalogue.Class
	requests budget.Series
	flows    budget.Series
}

func (c *collector) snapshots() []snapshot {
	var counts []snapshot
	c.node.state.withCore(func(now time.Time, core *control.Core) {
		for _, class := range core.Current().Classes() {
			requests, flows := core.Counts(class)
			counts = append(counts, snapshot{now: now, class: class, requests: requests, flows: flows})
		}
	})
	return counts
}

func (c *collector) collectClass(out chan<- prometheus.Metric, s snapshot) {
	c.collectSeries(out, s, kindRequests, s.requests, s.class.Target.Share)
	c.collectSeries(out, s, kindFlows, s.flows, s.class.Target.FlowShare)
}

func (c *collector) collectSeries(out chan<- prometheus.Metric, s snapshot, kind string, counts budget.Series, share float64) {
	name := s.class.Name
	sendGauge(out, c.burn, counts.BurnRate(s.now, budget.FastWindow, share), name, kind, "5m")
	sendGauge(out, c.burn, counts.BurnRate(s.now, budget.SlowWindow, share), name, kind, "1h")
	total := counts.Total(s.now, budget.SlowWindow)
	for _, cause := range budget.Causes() {
		sendGauge(out, c.ended, float64(total[cause]), name, kind, string(cause))
	}
}

func sendGauge(out chan<- prometheus.Metric, d *prometheus.Desc, value float64, labels ...string) {
	out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
}

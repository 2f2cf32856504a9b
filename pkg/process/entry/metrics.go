package entry

import (
	"math"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/tanagerweir/tanagerweir/pkg/clock"
	"github.com/tanagerweir/tanagerweir/pkg/connection/forwarding"
	"github.com/tanagerweir/tanagerweir/pkg/connection/mechanism"
	"github.com/tanagerweir/tanagerweir/pkg/process/build"
)

// DefaultMetricsPort is the port for metrics where none is set.
const DefaultMetricsPort = 9464

// MetricsPath is the HTTP path of the metrics.
const MetricsPath = "/metrics"

// metricsDeadline bounds one scrape.
const metricsDeadline = 5 * time.Second

// answerBuckets are the upper bounds of the histogram of answer times, in seconds.
// They are finest around callers' targets of 120 to 800 ms.
var answerBuckets = []float64{.01, .025, .05, .075, .1, .15, .2, .25, .3, .4, .5, .8, 1.5, 3, 10}

// metrics are an instance's metrics. The decider updates them; scrapes read them
// from other goroutines.
type metrics struct {
	registry     *prometheus.Registry
	packets      []prometheus.Counter
	malformed    prometheus.Counter
	placed       *prometheus.CounterVec
	answers      *prometheus.HistogramVec
	serverStates []prometheus.Counter
	// healthStates and healthChanges are nil unless health is observed.
	healthStates  []prometheus.Gauge
	healthChanges *prometheus.CounterVec
	restarts      []prometheus.Counter
	demandMetrics
}

func newMetrics(calls func() map[string]uint64, confirmedAge func() clock.Age, switchedOff mechanism.Set) *metrics {
	m := &metrics{registry: prometheus.NewRegistry()}
	m.demandMetrics = newDemandMetrics(m.registry)
	packets := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "tanagerweir_entry_packets_total", Help: "Packets from callers, by the reason of the decision.",
	}, []string{"reason"})
	for _, r := range forwarding.Reasons() {
		m.packets = append(m.packets, packets.WithLabelValues(r.String()))
	}
	m.malformed = packets.WithLabelValues("Malformed")
	m.placed = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "tanagerweir_entry_flows_placed_total", Help: "New flows and copies of their opening packets, by service and data centre.",
	}, []string{"service", "data_centre", "reason"})
	m.answers = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "tanagerweir_entry_answer_seconds", Help: "Time from a request's first packet to the first acknowledgement of its answer, which callers may delay.",
		Buckets: answerBuckets,
	}, []string{"service"})
	beliefs := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "tanagerweir_entry_beliefs_total", Help: "Changes of what the instance believes of backend servers.",
	}, []string{"belief"})
	for _, b := range []forwarding.ServerState{forwarding.Answering, forwarding.Suspected, forwarding.Silent} {
		m.serverStates = append(m.serverStates, beliefs.WithLabelValues(b.String()))
	}
	restarts := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "tanagerweir_entry_restart_doubts_total", Help: "Backend servers that may have been started anew (Doubted), and how that was settled.",
	}, []string{"outcome"})
	for _, r := range forwarding.RestartOutcomes() {
		m.restarts = append(m.restarts, restarts.WithLabelValues(r.String()))
	}
	age := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "tanagerweir_entry_confirmed_age_seconds", Help: "Time since the configuration was known to be the newest, infinite if it never was.",
	}, func() float64 {
		age := confirmedAge()
		if !age.Known() {
			return math.Inf(1)
		}
		return age.Or(0).Seconds()
	})
	off := prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "tanagerweir_entry_mechanism_off", Help: "1 for each mechanism that the policy switches off.",
	}, []string{"mechanism"})
	for _, n := range mechanism.All() {
		if switchedOff.Has(n) {
			off.WithLabelValues(n.String()).Set(1)
		}
	}
	running := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "tanagerweir_build_info", Help: "1, with the revision of the build that runs.", ConstLabels: prometheus.Labels{"revision": build.Read().String()},
	}, func() float64 { return 1 })
	m.registry.MustRegister(running, off, packets, m.placed, m.answers, beliefs, restarts, age, storeCalls{read: calls, description: prometheus.NewDesc(
		"tanagerweir_entry_store_calls_total", "Calls to the platform's store, by kind.", []string{"kind"}, nil)})
	return m
}

// count adds a counter whose value is read when it is scraped.
func (m *metrics) count(name, help string, value func() uint64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, func() float64 { return float64(value()) }))
}

// countPanics adds a counter of each part's contained panics.
func (m *metrics) countPanics(g *guards) {
	for _, guard := range g.all() {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "tanagerweir_entry_panics_total", Help: "Panics that were contained, by the part that panicked.",
			ConstLabels: prometheus.Labels{"part": guard.Part()},
		}, func() float64 { return float64(guard.Panics()) }))
	}
}

// countDecision counts a packet by the decision taken for it.
func (m *metrics) countDecision(d forwarding.Decision) {
	m.packets[d.Reason].Inc()
	switch {
	case d.Reason == forwarding.Placed || d.Reason == forwarding.PlacedAgain:
		m.placed.WithLabelValues(d.Service, d.DataCentre, d.Reason.String()).Inc()
	case d.Answered:
		m.answers.WithLabelValues(d.Service).Observe(d.Waited.Seconds())
	}
}

// storeCalls is a collector of the counts that the store's client keeps.
type storeCalls struct {
	read        func() map[string]uint64
	description *prometheus.Desc
}

// Describe sends the metric's description.
func (s storeCalls) Describe(to chan<- *prometheus.Desc) { to <- s.description }

// Collect sends the counts.
func (s storeCalls) Collect(to chan<- prometheus.Metric) {
	for kind, n := range s.read() {
		to <- prometheus.MustNewConstMetric(s.description, prometheus.CounterValue, float64(n), kind)
	}
}

func newMetricsServer(o Options, endpoint netip.AddrPort, m *metrics, g *guards) (*webServer, error) {
	listener, err := net.Listen("tcp4", endpoint.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen for metrics scrapes")
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+MetricsPath, promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}))
	return newWebServer("Metrics", listener, g.web.Handler(mux), webLimits{header: metricsDeadline, response: metricsDeadline}, o.Logger), nil
}

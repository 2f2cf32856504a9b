package instance

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metrics holds the counters of one instance. Each instance has its own registry,
// since tests and demos run several in one process.
type metrics struct {
	registry       *prometheus.Registry
	forwarded      *prometheus.CounterVec
	dropped        *prometheus.CounterVec
	foreignAnswers prometheus.Counter
}

func newMetrics(i *Instance) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		forwarded: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tanagerweir_packets_forwarded_total",
			Help: "Packets sent on, by the reason of the decision.",
		}, []string{"reason"}),
		dropped: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tanagerweir_packets_dropped_total",
			Help: "Packets dropped, by reason.",
		}, []string{"reason"}),
		foreignAnswers: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "tanagerweir_answers_dropped_total",
			Help: "Answers dropped because they were another request's, or not whole.",
		}),
	}
	m.registry.MustRegister(newCollector(i), m.foreignAnswers, m.forwarded, m.dropped)
	return m
}

// health returns the handler for metrics, liveness and readiness.
func (i *Instance) health() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(i.metrics.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("/readyz", i.serveReady)
	return mux
}

func (i *Instance) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !i.Ready() {
		http.Error(w, "no configuration in force, or leaving", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

package entry

import (
	"math"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tanagerweir/tanagerweir/pkg/connection/admission"
	"github.com/tanagerweir/tanagerweir/pkg/process/logs"
)

// recordShortages logs which services begin and end to be short of capacity, with the
// numbers that decided.
func (o *observer) recordShortages(events []admission.Event) {
	for _, e := range events {
		message := "Service: no longer short of capacity."
		if e.Short {
			message = "Service: short of capacity."
		}
		o.log.InfoContext(logs.Always(), message, "Service", e.Service, "Wait", e.Wait, "Limit", e.Limit,
			"Asked", math.Round(e.Asked), "Admitted", math.Round(e.Admitted), "Answered", math.Round(e.Answered),
			"Failed", math.Round(e.Failed*100)/100, "Lasted", e.Lasted)
	}
}

// demandMetrics are the metrics of admission, by service and priority.
type demandMetrics struct {
	asked, refused *prometheus.CounterVec
	wait           *prometheus.GaugeVec
	counted        map[demandKey]admission.Count
}

type demandKey struct {
	service  string
	priority int
}

func newDemandMetrics(r *prometheus.Registry) demandMetrics {
	labels := []string{"service", "priority"}
	m := demandMetrics{
		asked: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tanagerweir_entry_asked_total", Help: "New flows that callers asked for, by service and priority.",
		}, labels),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tanagerweir_entry_refused_total", Help: "New flows that were refused as the service was short of capacity.",
		}, labels),
		wait: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "tanagerweir_entry_queueing_seconds", Help: "Time by which answers take longer than at idle servers, over 0.2 s.",
		}, labels[:1]),
		counted: make(map[demandKey]admission.Count),
	}
	r.MustRegister(m.asked, m.refused, m.wait)
	return m
}

// countDemand brings the metrics of admission up to the counts since the start.
func (m demandMetrics) countDemand(counts []admission.Count) {
	for _, c := range counts {
		key := demandKey{service: c.Service, priority: c.Priority}
		before := m.counted[key]
		priority := strconv.Itoa(c.Priority)
		if c.Asked >= before.Asked && c.Refused >= before.Refused {
			m.asked.WithLabelValues(c.Service, priority).Add(float64(c.Asked - before.Asked))
			m.refused.WithLabelValues(c.Service, priority).Add(float64(c.Refused - before.Refused))
		}
		m.wait.WithLabelValues(c.Service).Set(c.Wait.Seconds())
		m.counted[key] = c
	}
}

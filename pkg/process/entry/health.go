package entry

import (
	"math"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tanagerweir/tanagerweir/pkg/connection/capacity"
	"github.com/tanagerweir/tanagerweir/pkg/connection/forwarding"
)

// registerHealth adds the metrics of backend servers' health.
func (m *metrics) registerHealth() {
	states := prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "tanagerweir_entry_servers", Help: "Usable backend servers by their health, as this instance sees it.",
	}, []string{"health"})
	for _, s := range capacity.States() {
		m.healthStates = append(m.healthStates, states.WithLabelValues(s.String()))
	}
	m.healthChanges = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "tanagerweir_entry_health_changes_total", Help: "Changes of the health of backend servers, by service and the health that they changed to.",
	}, []string{"service", "health"})
	m.registry.MustRegister(states, m.healthChanges)
}

var healthText = [...]string{
	capacity.Healthy: "healthy, has its slots.", capacity.Limited: "limited, it is slower than others.",
	capacity.Probed: "probed after its ejection.", capacity.Ejected: "ejected, it gets no new flows.",
}

// recordHealth logs and counts changes of backend servers' health, and publishes how many
// servers are in each state, nil if health isn't observed.
func (o *observer) recordHealth(events []forwarding.HealthEvent, states []int) {
	for s, n := range states {
		o.metrics.healthStates[s].Set(float64(n))
	}
	const tenths = 10
	for _, e := range events {
		o.metrics.healthChanges.WithLabelValues(e.Service, e.Now.String()).Inc()
		o.log.Info("Server: "+healthText[e.Now], "Server", e.Server, "Service", e.Service, "DataCentre", e.DataCentre,
			"Before", e.Before.String(), "Since", e.Since, "Answered", math.Round(e.Evidence.Answered*tenths)/tenths,
			"Failed", math.Round(e.Evidence.Failed*tenths)/tenths, "Reference", math.Round(e.Reference*100)/100, "Sources", e.Sources,
			"AnswerTime", e.Evidence.AnswerTime, "AnswerTimes", math.Round(e.AnswerTimes*tenths)/tenths, "For", e.For)
	}
}

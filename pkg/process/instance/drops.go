package instance

import (
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// dropsLogPeriod is the minimum time between two reports of dropped packets in
// the log.
const dropsLogPeriod = 10 * time.Second

// drops counts dropped packets by reason and logs the counts at most once per
// dropsLogPeriod. It is safe for use from several goroutines.
type drops struct {
	log     *slog.Logger
	counter *prometheus.CounterVec

	mu         sync.Mutex
	unlogged   map[string]uint64
	lastLogged time.Time
}

func newDrops(l *slog.Logger, c *prometheus.CounterVec) *drops {
	return &drops{log: l, counter: c, unlogged: make(map[string]uint64)}
}

// add counts one dropped packet.
func (d *drops) add(reason string) {
	d.counter.WithLabelValues(reason).Inc()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unlogged[reason]++
}

// logDropped logs the counts since the last report, if dropsLogPeriod has passed
// since then.
func (d *drops) logDropped(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.unlogged) == 0 || now.Sub(d.lastLogged) < dropsLogPeriod {
		return
	}
	for _, reason := range slices.Sorted(maps.Keys(d.unlogged)) {
		d.log.Warn("Packets: some were dropped.", "Reason", reason, "Packets", d.unlogged[reason])
	}
	clear(d.unlogged)
	d.lastLogged = now
}

package entry

import (
	"log/slog"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/connection/forwarding"
	"github.com/tanagerweir/tanagerweir/pkg/connection/segment"
)

// witness logs and counts what the forwarding core decides. The decider owns it.
type witness struct {
	log     *slog.Logger
	metrics *metrics
	// spoilt counts packets that couldn't be read since the last line on them.
	spoilt int
	// unmarked counts packets that name no backend server, likewise.
	unmarked int
	told     time.Duration
}

// spoiltEvery is how often dropped packets are told, in one line a reason.
const spoiltEvery = time.Second

// malformed counts a packet that can't be read.
func (w *witness) malformed() {
	w.metrics.malformed.Inc()
	w.spoilt++
}

// facts are what a decision went by, beside the packet.
type facts struct {
	// request is the identifier of a request, if the packet shows one whole.
	request      string
	version      uint64
	confirmedAge time.Duration
}

// decided counts a decision, and logs it if it touches a request.
func (w *witness) decided(s segment.Segment, d forwarding.Decision, facts facts) {
	w.metrics.decided(d)
	switch {
	case d.Verdict == forwarding.Reset:
		w.log.Info("Flow: reset.", w.fields(s, d, facts)...)
	case d.Reason == forwarding.Placed || d.Reason == forwarding.PlacedAgain:
		w.log.Info("Flow: placed.", append(w.fields(s, d, facts),
			"DataCentre", d.DataCentre, "Copy", s.Copy(), "Running", d.Load.Running, "Open", d.Load.Open, "Slots", d.Load.Slots, "Local", d.Load.Local)...)
	case d.Reason == forwarding.NoMark:
		w.unmarked++
	case d.Verdict == forwarding.Drop:
		w.log.Info("Flow: dropped.", append(w.fields(s, d, facts), "Mark", s.Mark)...)
	case facts.request != "" || d.Began:
		w.log.Info("Request: forwarded.", "RequestId", facts.request, "Class", d.Route,
			"Caller", s.Flow.Caller, "Route", s.Flow.Route, "Server", d.Server, "DataCentre", d.DataCentre)
	}
	if d.Answered {
		w.log.Info("Request: answered.", "Caller", s.Flow.Caller, "Route", s.Flow.Route, "Server", d.Server, "Waited", d.Waited)
	}
}

func (w *witness) fields(s segment.Segment, d forwarding.Decision, facts facts) []any {
	fields := []any{
		"Caller", s.Flow.Caller, "Route", s.Flow.Route, "Reason", d.Reason.String(), "Server", d.Server,
		"Version", facts.version, "ConfirmedAge", facts.confirmedAge,
	}
	if facts.request != "" {
		fields = append(fields, "RequestId", facts.request)
	}
	return fields
}

// believed logs what the core believes of backend servers.
func (w *witness) believed(events []forwarding.Event) {
	for _, e := range events {
		w.metrics.beliefs[e.Now].Inc()
		w.log.Info("Server: "+beliefText[e.Now], "Server", e.Server, "Service", e.Service, "DataCentre", e.DataCentre,
			"Before", e.Before.String(), "Failures", e.Failures, "Stuck", e.Stuck, "Others", e.Others, "SilentFor", e.SilentFor)
	}
}

var beliefText = [...]string{
	forwarding.Answering: "answers.", forwarding.Suspected: "suspected.", forwarding.Silent: "silent, flows there are given up.",
}

// tell logs what was only counted, once a second.
func (w *witness) tell(now time.Duration) {
	if now-w.told < spoiltEvery {
		return
	}
	w.told = now
	if w.spoilt > 0 {
		w.log.Warn("Packets: some couldn't be read.", "Packets", w.spoilt)
	}
	if w.unmarked > 0 {
		w.log.Info("Packets: some named no backend server.", "Packets", w.unmarked)
	}
	w.spoilt, w.unmarked = 0, 0
}

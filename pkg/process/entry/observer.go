package entry

import (
	"log/slog"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/clock"
	"github.com/tanagerweir/tanagerweir/pkg/connection/forwarding"
	"github.com/tanagerweir/tanagerweir/pkg/connection/segment"
	"github.com/tanagerweir/tanagerweir/pkg/process/logs"
)

// observer logs and counts the decisions of the forwarding core. Only the decider
// uses it.
type observer struct {
	log     *slog.Logger
	metrics *metrics
	// unreadable counts malformed packets since the last summary.
	unreadable int
	// withoutMark counts packets that name no backend server since the last summary.
	withoutMark int
	lastSummary time.Duration
}

// summaryPeriod is how often dropped packets are logged, in one line per reason.
const summaryPeriod = time.Second

// countMalformed counts a packet that can't be parsed.
func (o *observer) countMalformed() {
	o.metrics.malformed.Inc()
	o.unreadable++
}

// decisionInputs are what a decision was based on beside the packet's header.
type decisionInputs struct {
	// requestID is empty if the packet doesn't contain a whole request identifier.
	requestID string
	// version is the version of the configuration in force.
	version uint64
	// confirmedAge is how long ago the directory was known to be the newest.
	confirmedAge clock.Age
}

// recordDecision counts a decision, and logs it if it begins, ends or answers a
// flow or a request.
func (o *observer) recordDecision(s segment.Segment, d forwarding.Decision, inputs decisionInputs) {
	o.metrics.countDecision(d)
	switch {
	case d.Verdict == forwarding.Reset:
		o.log.Info("Flow: reset.", o.decisionFields(s, d, inputs)...)
	case d.Reason == forwarding.Placed || d.Reason == forwarding.PlacedAgain:
		fields := append(o.decisionFields(s, d, inputs),
			"DataCentre", d.DataCentre, "Copy", s.Copy(), "Running", d.Load.Running, "Open", d.Load.Open, "Slots", d.Load.Slots, "Local", d.Load.Local)
		if d.Load.Reported {
			fields = append(fields, "CentreLoad", d.Load.CentreLoad)
		}
		o.log.Info("Flow: placed.", fields...)
	case d.Reason == forwarding.NoMark:
		o.withoutMark++
	case d.Verdict == forwarding.Drop:
		o.log.Info("Flow: dropped.", append(o.decisionFields(s, d, inputs), "Mark", s.Mark)...)
	case inputs.requestID != "" || d.Began:
		o.log.Info("Request: forwarded.", "RequestId", inputs.requestID, "Class", d.Route,
			"Caller", s.Flow.Caller, "Route", s.Flow.Route, "Server", d.Server, "DataCentre", d.DataCentre)
	}
	if d.Answered {
		o.log.Info("Request: answered.", "Caller", s.Flow.Caller, "Route", s.Flow.Route, "Server", d.Server, "Waited", d.Waited)
	}
}

func (o *observer) decisionFields(s segment.Segment, d forwarding.Decision, inputs decisionInputs) []any {
	fields := []any{
		"Caller", s.Flow.Caller, "Route", s.Flow.Route, "Reason", d.Reason.String(), "Server", d.Server,
		"Version", inputs.version, "ConfirmedAge", inputs.confirmedAge,
	}
	if d.Reason == forwarding.NoRoom {
		fields = append(fields, "Service", d.Service, "Class", d.Route)
	}
	if inputs.requestID != "" {
		fields = append(fields, "RequestId", inputs.requestID)
	}
	return fields
}

// recordServerStates logs and counts changes in the states of backend servers, which
// the core infers from flows.
func (o *observer) recordServerStates(events []forwarding.Event) {
	for _, e := range events {
		o.metrics.serverStates[e.Now].Inc()
		o.log.Info("Server: "+serverStateText[e.Now], "Server", e.Server, "Service", e.Service, "DataCentre", e.DataCentre,
			"Before", e.Before.String(), "Failures", e.Failures, "Stuck", e.Stuck, "Others", e.Others, "SilentFor", e.SilentFor,
			"Asked", e.Asked, "Answered", e.Answered)
	}
}

// recordRestarts logs and counts which backend servers may have been started anew, and how
// that was settled.
func (o *observer) recordRestarts(events []forwarding.RestartEvent) {
	for _, e := range events {
		o.metrics.restarts[e.Outcome].Inc()
		message := "Server: no longer counts as started anew."
		if e.Outcome == forwarding.Doubted {
			message = "Server: may have ended and been started anew, gets flows as a cold one."
		}
		o.log.Info(message, "Server", e.Server, "Service", e.Service, "DataCentre", e.DataCentre,
			"Outcome", e.Outcome.String(), "SignAge", e.SignAge, "ConfirmedAge", e.ConfirmedAge)
	}
}

// recordReach logs which data centres' backend servers come within reach or leave it.
func (o *observer) recordReach(events []forwarding.ReachEvent) {
	for _, e := range events {
		message := "DataCentre: its servers are within reach again."
		if e.Lost {
			message = "DataCentre: its servers are out of reach."
		}
		o.log.InfoContext(logs.Always(), message, "DataCentre", e.DataCentre, "Failures", e.Failures, "SilentFor", e.SilentFor, "Server", e.Server)
	}
}

// recordSpills logs when callers count on free slots of other data centres.
func (o *observer) recordSpills(events []forwarding.SpillEvent) {
	for _, e := range events {
		message := "Service: its slots in the data centre are free again."
		if e.Began {
			message = "Service: its slots in the data centre are taken, flows leave for data centres that report free ones."
		}
		o.log.InfoContext(logs.Always(), message, "Service", e.Service, "Slots", e.Slots, "Running", e.Running, "Spare", e.Spare, "FullFor", e.FullFor)
	}
}

// recordServed logs whether callers can be served.
func (o *observer) recordServed(served bool) {
	if served {
		o.log.InfoContext(logs.Always(), "Instance: callers can be served again; ready.")
		return
	}
	o.log.WarnContext(logs.Always(), "Instance: all usable servers are out of reach; not ready, so that routers lead callers elsewhere.")
}

var serverStateText = [...]string{
	forwarding.Answering: "answers.", forwarding.Suspected: "suspected.", forwarding.Silent: "silent, flows there are given up.",
}

// logSummary logs the packets that were only counted, at most once in each
// summaryPeriod.
func (o *observer) logSummary(now time.Duration) {
	if now-o.lastSummary < summaryPeriod {
		return
	}
	o.lastSummary = now
	if o.unreadable > 0 {
		o.log.Warn("Packets: malformed packets were dropped.", "Packets", o.unreadable)
	}
	if o.withoutMark > 0 {
		o.log.Info("Packets: packets that name no backend server were dropped.", "Packets", o.withoutMark)
	}
	o.unreadable, o.withoutMark = 0, 0
}

package requests

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	"github.com/tanagerweir/tanagerweir/pkg/bench"
	"github.com/tanagerweir/tanagerweir/pkg/demo"
	"github.com/tanagerweir/tanagerweir/pkg/standin/backend"
	"github.com/tanagerweir/tanagerweir/service/api"
	"github.com/tanagerweir/tanagerweir/service/api/apiconnect"
)

const (
	faultRequests   = 60    // under each fault
	latencyRequests = 1_500 // of each kind
	latencyWarmUp   = 200   // the first of them, which aren't counted
)

// pathFault is one fault of the connection between an instance and a backend
// server.
type pathFault struct {
	name  string
	fault backend.Fault
}

// pathFaults returns all faults of the path. Names stand in measures.
func pathFaults() []pathFault {
	return []pathFault{
		{"none", backend.NoFault},
		{"cut before it ran", backend.CutBeforeRun},
		{"cut after it ran", backend.CutAfterRun},
		{"cut in the answer", backend.CutMidAnswer},
		{"answer of another request", backend.WrongTicketAnswer},
		{"answered twice", backend.DoubleAnswer},
		{"spoilt answer", backend.CorruptAnswer},
		{"closed after the answer", backend.ClosingAnswer},
		{"server gone", backend.Gone},
	}
}

// pathRows sends requests over loopback under each fault, and counts false and
// mixed answers.
func pathRows(ctx context.Context) ([]bench.Row, error) {
	var rows []bench.Row
	falseNotRun, mixed := 0, 0
	for _, f := range pathFaults() {
		counted, err := underFault(ctx, f.fault)
		if err != nil {
			return nil, err
		}
		falseNotRun += counted.falseNotRun
		mixed += counted.mixed
		rows = append(rows, bench.Measured(bench.Tanagerweir, "MayHaveRunShare:"+f.name,
			float64(counted.mayHaveRun)/faultRequests, "share of requests"))
	}
	return append(rows,
		bench.AtMost(bench.Tanagerweir, "FalseNotRunOverLoopback", float64(falseNotRun), "answers", 0),
		bench.AtMost(bench.Tanagerweir, "MixedAnswers", float64(mixed), "answers", 0)), nil
}

// answerCounts counts what callers were answered under a fault.
type answerCounts struct {
	falseNotRun int // NotRun for a request that ran
	mixed       int // Ran with an altered body or that of another request
	mayHaveRun  int
}

// underFault sends requests to an instance while one backend server has the fault.
func underFault(ctx context.Context, f backend.Fault) (answerCounts, error) {
	cluster, closeCluster, err := demo.NewCluster(ctx, demo.SmallPlan(), nil)
	if err != nil {
		return answerCounts{}, err
	}
	defer closeCluster()
	if err := cluster.Configure(ctx); err != nil {
		return answerCounts{}, err
	}
	server := cluster.Backends["board-1"]
	server.SetFault(f)
	entrance := apiconnect.NewEntranceClient(http.DefaultClient, "http://"+cluster.Instances[0].Settings().Requests.String())
	var counted answerCounts
	for n := range faultRequests {
		body := fmt.Sprintf("body %d", n)
		runsBefore := server.TotalRuns()
		answer, err := entrance.Submit(ctx, connect.NewRequest(&api.SubmitRequest{Class: "sign-off", Body: []byte(body)}))
		if err != nil {
			return counted, err
		}
		counted.add(answer.Msg, "board-1: "+body, server.TotalRuns() > runsBefore)
	}
	return counted, nil
}

// add counts an answer, given the body that is expected and whether the request
// ran.
func (c *answerCounts) add(m *api.SubmitResponse, want string, ran bool) {
	switch m.GetVerdict() {
	case api.Verdict_VERDICT_RAN:
		if string(m.GetBody()) != want || m.GetBodyHash() != xxhash.Sum64String(want) {
			c.mixed++
		}
	case api.Verdict_VERDICT_NOT_RUN:
		if ran {
			c.falseNotRun++
		}
	default:
		c.mayHaveRun++
	}
}

// latencyRows compares requests through an instance with direct calls to a backend
// server, alternating in one run. Direct calls reuse their connection, as the
// instance does for requests that may be repeated.
func latencyRows(ctx context.Context) ([]bench.Row, error) {
	cluster, closeCluster, err := demo.NewCluster(ctx, demo.SmallPlan(), nil)
	if err != nil {
		return nil, err
	}
	defer closeCluster()
	if err := cluster.Configure(ctx); err != nil {
		return nil, err
	}
	worker := apiconnect.NewWorkerClient(http.DefaultClient, "http://"+cluster.Backends["board-1"].Requests().String(),
		connect.WithAcceptCompression("gzip", nil, nil))
	entrance := apiconnect.NewEntranceClient(http.DefaultClient, "http://"+cluster.Instances[0].Settings().Requests.String())
	var direct, repeatable, notRepeatable []time.Duration
	for n := range latencyRequests {
		body := fmt.Appendf(nil, "body %d", n)
		calls := []func() error{
			func() error { return callDirectly(ctx, worker, n, body) },
			func() error { return callThrough(ctx, entrance, "upload", body) },
			func() error { return callThrough(ctx, entrance, "sign-off", body) },
		}
		for i, sample := range []*[]time.Duration{&direct, &repeatable, &notRepeatable} {
			duration, err := timed(calls[i])
			if err != nil {
				return nil, err
			}
			if n >= latencyWarmUp {
				*sample = append(*sample, duration)
			}
		}
	}
	const unit = "times a direct call"
	return []bench.Row{
		bench.Measured(bench.Tanagerweir, "ExtraLatencyP50", ratio(repeatable, direct, 0.5), unit),
		bench.Measured(bench.Tanagerweir, "ExtraLatencyP99", ratio(repeatable, direct, 0.99), unit),
		bench.Measured(bench.Tanagerweir, "ExtraLatencyP50:not repeatable", ratio(notRepeatable, direct, 0.5), unit),
		bench.Measured(bench.Tanagerweir, "ExtraLatencyP99:not repeatable", ratio(notRepeatable, direct, 0.99), unit),
	}, nil
}

func callDirectly(ctx context.Context, worker apiconnect.WorkerClient, n int, body []byte) error {
	_, err := worker.Handle(ctx, connect.NewRequest(&api.HandleRequest{
		Ticket: fmt.Sprintf("direct/%d", n), Class: "sign-off", Body: body, BodyHash: xxhash.Sum64(body),
	}))
	return err
}

func callThrough(ctx context.Context, entrance apiconnect.EntranceClient, class string, body []byte) error {
	_, err := entrance.Submit(ctx, connect.NewRequest(&api.SubmitRequest{Class: class, Body: body}))
	return err
}

func timed(call func() error) (time.Duration, error) {
	began := time.Now()
	err := call()
	return time.Since(began), err
}

// ratio returns the quantile of a sample over that of a reference.
func ratio(sample, reference []time.Duration, quantile float64) float64 {
	return float64(quantileOf(sample, quantile)) / float64(quantileOf(reference, quantile))
}

func quantileOf(sample []time.Duration, quantile float64) time.Duration {
	sorted := slices.Sorted(slices.Values(sample))
	return sorted[int(quantile*float64(len(sorted)-1))]
}

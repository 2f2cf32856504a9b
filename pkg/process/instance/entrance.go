package instance

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/tanagerweir/tanagerweir/pkg/process/control"
	"github.com/tanagerweir/tanagerweir/pkg/request/claim"
	"github.com/tanagerweir/tanagerweir/pkg/request/dispatch"
	"github.com/tanagerweir/tanagerweir/pkg/request/verdict"
	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
	"github.com/tanagerweir/tanagerweir/service/api"
	"github.com/tanagerweir/tanagerweir/service/api/apiconnect"
)

const (
	defaultDeadline    = 10 * time.Second // for a request without a deadline
	maxDeadline        = time.Minute      // longest deadline, far below claim.ClaimLifetime
	maxIdleConnections = 8                // kept open to each backend server
	// idleConnectionTimeout is shorter than the usual idle timeouts of servers, so
	// that they rarely close a connection while a request is being written.
	idleConnectionTimeout = 3 * time.Second
)

// uncompressed asks for uncompressed responses from backend servers, since
// compression costs more than it saves within a data centre.
var uncompressed = connect.WithAcceptCompression("gzip", nil, nil)

// compressMinBytes is the smallest size, in bytes, of a response to a caller that
// is compressed.
const compressMinBytes = 4 << 10

// entrance implements the Entrance service: it takes callers' requests and
// dispatches them to backend servers.
type entrance struct {
	node     *Instance
	pooled   *http.Client // reuses connections
	unpooled *http.Client // opens a new connection for each request
	claims   *claims
	queue    *queue
}

func newEntrance(i *Instance) *entrance {
	pooled := &http.Transport{
		DialContext:         dialTracked,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleConnectionTimeout,
	}
	unpooled := &http.Transport{DialContext: dialTracked, DisableKeepAlives: true}
	return &entrance{
		node:     i,
		pooled:   &http.Client{Transport: pooled},
		unpooled: &http.Client{Transport: unpooled},
		claims:   newClaims(i),
		queue:    newQueue(i),
	}
}

func (e *entrance) start(ctx context.Context) {
	e.node.tasks.Go(func() { e.queue.run(ctx) })
	e.node.tasks.Go(func() { e.claims.run(ctx) })
}

// Issue issues a ticket, or returns when to ask again instead.
func (e *entrance) Issue(context.Context, *connect.Request[api.IssueRequest]) (*connect.Response[api.IssueResponse], error) {
	response := &api.IssueResponse{}
	e.node.state.withCore(func(now time.Time, c *control.Core) {
		ticket, refusal := c.Issue(now)
		if refusal != nil {
			response.RetryAfterMilliseconds = refusal.RetryAfter.Milliseconds()
		}
		response.Ticket = ticket
	})
	return connect.NewResponse(response), nil
}

// Submit serves one request. A request with a key runs at most once, unless its
// class is repeatable or unknown.
func (e *entrance) Submit(ctx context.Context, r *connect.Request[api.SubmitRequest]) (*connect.Response[api.SubmitResponse], error) {
	defer e.node.activeRequests.begin()()
	deadline := e.requestDeadline(ctx)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	class, known := e.node.state.current().Class(r.Msg.GetClass())
	if r.Msg.GetKey() == "" || !known || class.Repeatable {
		return connect.NewResponse(e.serve(ctx, r.Msg, deadline)), nil
	}
	return connect.NewResponse(e.serveOnce(ctx, r.Msg, deadline)), nil
}

func (e *entrance) requestDeadline(ctx context.Context) time.Time {
	now := e.node.now()
	deadline, ok := ctx.Deadline()
	if !ok {
		return now.Add(defaultDeadline)
	}
	if latest := now.Add(maxDeadline); deadline.After(latest) {
		return latest
	}
	return deadline
}

// serveOnce serves a request with a key so that it runs at most once.
func (e *entrance) serveOnce(ctx context.Context, r *api.SubmitRequest, deadline time.Time) *api.SubmitResponse {
	decision := e.claims.begin(ctx, r)
	if decision.Step != claim.Dispatch {
		a := decision.Answer
		return responseOf(r.GetKey(), a.Body, dispatch.Outcome{Verdict: a.Verdict, Cause: a.Cause, RetryAfter: a.RetryAfter})
	}
	response := e.serve(ctx, r, deadline)
	e.claims.finish(r.GetKey(), response)
	return response
}

// serve sends a request to backend servers until it has run or no further attempt
// follows.
func (e *entrance) serve(ctx context.Context, r *api.SubmitRequest, deadline time.Time) *api.SubmitResponse {
	attempt, refusal := e.queue.begin(ctx, dispatch.Request{Class: r.GetClass(), Deadline: deadline})
	for refusal == nil {
		body, outcome := e.attempt(ctx, attempt, r.GetBody())
		next, nextRefusal, again := e.queue.complete(ctx, attempt, outcome)
		if !again {
			outcome.Verdict = attempt.Verdict(outcome.Verdict)
			return responseOf(attempt.Ticket, body, outcome)
		}
		attempt = next
		refusal = nextRefusal
	}
	return refusalResponse(refusal)
}

func refusalResponse(refusal *verdict.Error) *api.SubmitResponse {
	return &api.SubmitResponse{
		Verdict:                api.VerdictToWire(refusal.Verdict),
		Cause:                  refusal.Cause,
		RetryAfterMilliseconds: refusal.RetryAfter.Milliseconds(),
	}
}

func responseOf(ticket string, body []byte, o dispatch.Outcome) *api.SubmitResponse {
	return &api.SubmitResponse{
		Verdict:                api.VerdictToWire(o.Verdict),
		Body:                   body,
		BodyHash:               xxhash.Sum64(body),
		Ticket:                 ticket,
		Cause:                  o.Cause,
		RetryAfterMilliseconds: o.RetryAfter.Milliseconds(),
	}
}

// attempt sends the request to one backend server.
func (e *entrance) attempt(ctx context.Context, a dispatch.Attempt, body []byte) ([]byte, dispatch.Outcome) {
	if wait := a.NotBefore.Sub(e.node.now()); wait > 0 {
		sleep(ctx, wait)
	}
	if !e.node.now().Before(a.Request.Deadline) || ctx.Err() != nil {
		return nil, notSent(ctx, dispatch.CauseTooLate)
	}
	trace := &attemptTrace{}
	worker := apiconnect.NewWorkerClient(e.clientFor(a.Class), "http://"+a.Backend.Requests.String(), uncompressed)
	response, err := worker.Handle(trace.withTrace(ctx), connect.NewRequest(&api.HandleRequest{
		Ticket:                   a.Ticket,
		Class:                    a.Class.Name,
		Body:                     body,
		BodyHash:                 xxhash.Sum64(body),
		DeadlineUnixMilliseconds: a.Request.Deadline.UnixMilli(),
	}))
	if err != nil {
		return nil, outcomeOfError(ctx, trace, err)
	}
	return e.checkAnswer(a, response.Msg)
}

// clientFor returns the client for a class. A request that may not be repeated
// gets a new connection: the backend server may be closing a reused one, which
// would leave it unknown whether the request ran.
func (e *entrance) clientFor(c catalogue.Class) *http.Client {
	if c.Repeatable {
		return e.pooled
	}
	return e.unpooled
}

// checkAnswer accepts a response only if it carries the attempt's ticket and its
// body matches its hash. Any other response is counted as foreign and makes the
// outcome MayHaveRun.
func (e *entrance) checkAnswer(a dispatch.Attempt, m *api.HandleResponse) ([]byte, dispatch.Outcome) {
	if m.GetTicket() != a.Ticket || m.GetBodyHash() != xxhash.Sum64(m.GetBody()) {
		e.node.metrics.foreignAnswers.Inc()
		return nil, dispatch.Outcome{Verdict: verdict.MayHaveRun, Cause: dispatch.CauseForeign}
	}
	if m.GetRefused() {
		return nil, dispatch.Outcome{
			Verdict:    verdict.NotRun,
			Cause:      dispatch.CauseRefused,
			Cold:       m.GetCold(),
			RetryAfter: time.Duration(m.GetRetryAfterMilliseconds()) * time.Millisecond,
		}
	}
	return m.GetBody(), dispatch.Outcome{Verdict: verdict.Ran}
}

// outcomeOfError returns the outcome of an attempt that ended without a response.
func outcomeOfError(ctx context.Context, trace *attemptTrace, err error) dispatch.Outcome {
	if trace.endUnsent() {
		return notSent(ctx, dispatch.CauseDial)
	}
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return dispatch.Outcome{Verdict: verdict.MayHaveRun, Cause: dispatch.CauseCancelled}
	case ctx.Err() != nil, connect.CodeOf(err) == connect.CodeDeadlineExceeded:
		return dispatch.Outcome{Verdict: verdict.MayHaveRun, Cause: dispatch.CauseLate}
	}
	return dispatch.Outcome{Verdict: verdict.MayHaveRun, Cause: dispatch.CauseBroken}
}

// notSent returns the outcome of an attempt of which no byte was sent. If the
// caller cancelled, the cause says so, since that is no evidence against the
// backend server.
func notSent(ctx context.Context, cause string) dispatch.Outcome {
	if errors.Is(ctx.Err(), context.Canceled) {
		cause = dispatch.CauseCancelled
	}
	return dispatch.Outcome{Verdict: verdict.NotRun, Cause: cause}
}

package trial

import (
	"cmp"
	"fmt"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/request/claim"
	"github.com/tanagerweir/tanagerweir/pkg/request/dispatch"
	"github.com/tanagerweir/tanagerweir/pkg/request/verdict"
)

const (
	requestPeriod     = 50 * time.Millisecond
	requestDeadline   = 2 * time.Second
	dialTime          = 5 * time.Millisecond
	maxCallerTries    = 4
	callerPause       = 300 * time.Millisecond
	twoInstancesOneIn = 4 // one keyed request in this many is submitted to two instances at once
)

// request is one request of a caller, with all its submissions.
type request struct {
	identifier string
	service    Service
	// key identifies a request that may not be repeated, so that the caller
	// can submit it again safely. It is empty for the others.
	key string
	// twoInstances says that the first submission goes to two instances at
	// once.
	twoInstances bool
	tries        int // submissions
	runs         int // by backend servers
	// served says that the caller got the verdict Ran.
	served bool
}

func (r *request) body() string { return "answer to " + r.identifier }

// submission is one request sent to one instance.
type submission struct {
	request        *request
	node           *Node
	ran            bool // a backend server ran this submission
	answered       bool // the caller has its verdict
	notReceived    bool // the instance was not running when it arrived
	onlySubmission bool // the caller submits the request nowhere else
	attempt        dispatch.Attempt
}

// attemptKey identifies an attempt of a request at an instance.
type attemptKey struct {
	ticket string
	number int
}

func compareAttemptKeys(a, b attemptKey) int {
	return cmp.Or(cmp.Compare(a.ticket, b.ticket), cmp.Compare(a.number, b.number))
}

// SendRequests sends a request of every class each requestPeriod, for d from
// now.
func (t *Trial) SendRequests(d time.Duration) {
	end := t.now.Add(d)
	for _, s := range t.plan.Services {
		t.every(requestPeriod, func() bool {
			t.requestCount++
			t.newRequest(s)
			return t.now.Before(end)
		})
	}
}

// Burst sends as many requests of every class at once as each says.
func (t *Trial) Burst(each int) {
	for _, s := range t.plan.Services {
		for range each {
			t.requestCount++
			t.newRequest(s)
		}
	}
}

// newRequest makes a request and submits it. One that may not be repeated
// carries a key, and some of those are submitted to two instances at once.
func (t *Trial) newRequest(s Service) {
	r := &request{identifier: fmt.Sprintf("%s-%d", s.Class, t.requestCount), service: s}
	if !s.Repeatable {
		r.key = t.newKey()
		if t.random.IntN(twoInstancesOneIn) == 0 {
			r.twoInstances = true
			t.submit(r)
		}
	}
	t.submit(r)
}

// newKey returns a UUID of version 7 with the simulated time.
func (t *Trial) newKey() string {
	milliseconds := uint64(t.now.UnixMilli())
	high, low := t.random.Uint64(), t.random.Uint64()
	return fmt.Sprintf("%08x-%04x-7%03x-%04x-%012x",
		milliseconds>>16, milliseconds&0xffff, high&0xfff, low>>48&0x3fff|0x8000, low&(1<<48-1))
}

// submit submits the request through a random instance.
func (t *Trial) submit(r *request) {
	n := t.anyInstance()
	if n == nil {
		return
	}
	r.tries++
	s := &submission{request: r, node: n, onlySubmission: r.tries == 1 && !r.twoInstances}
	t.send(callerLocation, n.Centre, func() {
		if !n.alive {
			// The caller's connection fails, so the verdict is not an instance's.
			s.notReceived = true
			t.deliverVerdict(s, verdict.NotRun)
			return
		}
		n.do(func() { n.handleRequest(s) })
	})
}

// deliverVerdict gives the caller its verdict; a second one is dropped. The
// caller submits the request again after NotRun, and if it has a key after
// MayHaveRun too.
func (t *Trial) deliverVerdict(s *submission, v verdict.Verdict) {
	if s.answered {
		return
	}
	s.answered = true
	t.counts.countVerdict(v)
	r := s.request
	if v == verdict.Ran && !r.served {
		r.served = true
		t.counts.Served++
	}
	if v == verdict.NotRun && r.runs > 0 && !s.notReceived {
		t.violate(NotRunIsTrue, "%s answered NotRun for %s, which ran", s.node.Name, r.identifier)
	}
	again := v == verdict.NotRun || v == verdict.MayHaveRun && r.key != ""
	if again && r.tries < maxCallerTries {
		t.after(callerPause, func() { t.submit(r) })
	}
}

// countRun counts one run of a request by a backend server.
func (t *Trial) countRun(r *request) {
	r.runs++
	if r.runs > 1 && !r.service.Repeatable {
		t.violate(AtMostOnce, "%s ran %d times", r.identifier, r.runs)
	}
}

// connectionLost handles the end of an instance before its answer: to the
// caller the request may have run.
func (t *Trial) connectionLost(s *submission) { t.deliverVerdict(s, verdict.MayHaveRun) }

// handleRequest handles a request that arrives at the instance. One with a key
// begins only after its claim is won.
func (n *Node) handleRequest(s *submission) {
	if s.request.key == "" {
		n.begin(s)
		return
	}
	d := n.cores.Claims().Submit(n.trial.now, claim.Submission{Key: s.request.key, First: s.onlySubmission})
	if d.Step != claim.ClaimKey {
		n.handleClaim(s, d)
		return
	}
	n.trial.Platform.claim(n, s.request.key, d.Record, func(r claim.Result) {
		n.handleClaim(s, n.cores.Claims().FinishClaim(n.trial.now, s.request.key, r))
	})
}

// handleClaim begins the request if its claim is won, and otherwise returns the
// answer that the claim gave.
func (n *Node) handleClaim(s *submission, d claim.Decision) {
	if d.Step == claim.Dispatch {
		n.begin(s)
		return
	}
	t := n.trial
	o := dispatch.Outcome{Verdict: d.Answer.Verdict, Cause: d.Answer.Cause}
	t.send(n.Centre, callerLocation, func() { t.checkAnswer(s, o, string(d.Answer.Body)) })
}

// begin has the dispatch core admit or refuse the request.
func (n *Node) begin(s *submission) {
	t := n.trial
	a, refusal := n.cores.Begin(t.now, dispatch.Request{
		Class: s.request.service.Class, Deadline: t.now.Add(requestDeadline),
	})
	n.proceed(s, a, refusal)
	n.resumeWaiting()
}

// proceed carries out a decision of the dispatch core: it schedules the
// attempt, lets the request wait for a slot, or ends it.
func (n *Node) proceed(s *submission, a dispatch.Attempt, refusal *verdict.Error) {
	s.attempt = a
	switch {
	case refusal != nil:
		n.finish(s, dispatch.Outcome{Verdict: refusal.Verdict, Cause: refusal.Cause}, "")
	case a.Waiting:
		n.waiting[a.Ticket] = s
	default:
		key := attemptKey{ticket: a.Ticket, number: a.Number}
		n.pending[key] = s
		n.trial.after(a.NotBefore.Sub(n.trial.now), n.guard(func() { n.sendAttempt(s, key) }))
	}
}

// resumeWaiting proceeds with the requests whose wait for a slot is over. It
// runs again every dispatch.TickPeriod while any request waits.
func (n *Node) resumeWaiting() {
	t := n.trial
	for _, d := range n.cores.Ready(t.now) {
		s, ok := n.waiting[d.Attempt.Ticket]
		if !ok {
			continue
		}
		delete(n.waiting, d.Attempt.Ticket)
		n.proceed(s, d.Attempt, d.Refusal)
	}
	if n.cores.Waiting() > 0 && !n.polling {
		n.polling = true
		t.after(dispatch.TickPeriod, n.guard(func() {
			n.polling = false
			n.resumeWaiting()
		}))
	}
}

// sendAttempt sends the request to the backend server that the core chose.
func (n *Node) sendAttempt(s *submission, key attemptKey) {
	t := n.trial
	a := s.attempt
	if !t.now.Before(a.Request.Deadline) {
		n.completeAttempt(key, dispatch.Outcome{Verdict: verdict.NotRun, Cause: dispatch.CauseTooLate}, "")
		return
	}
	b := t.backendsByName[a.Backend.Name]
	t.checkAttempt(n, s, b)
	if !t.connected(n.Centre, b.Centre) {
		t.after(dialTime, n.guard(func() {
			n.completeAttempt(key, dispatch.Outcome{Verdict: verdict.NotRun, Cause: dispatch.CauseDial}, "")
		}))
		return
	}
	t.send(n.Centre, b.Centre, func() {
		b.handle(n, s, func(ran bool, body string) { t.sendAnswer(n, b, key, ran, body) })
	})
	t.after(a.Request.Deadline.Sub(t.now), n.guard(func() {
		n.completeAttempt(key, dispatch.Outcome{Verdict: verdict.MayHaveRun, Cause: dispatch.CauseLate}, "")
	}))
}

// checkAttempt checks the backend server that n sends a request to.
func (t *Trial) checkAttempt(n *Node, s *submission, b *Backend) {
	if b.Service != s.request.service.Name {
		t.violate(RightService, "%s sent a request of %s to %s", n.Name, s.request.service.Name, b.Name)
	}
	if n.mustReflect(t.outSince[b.Centre]) {
		t.violate(OutCentreSilent, "%s sent a request to %s of %s", n.Name, b.Name, b.Centre)
	}
	if n.mustReflect(b.leavingSince) {
		t.violate(LeavingGetsNoWork, "%s gave %s a request", n.Name, b.Name)
	}
}

// sendAnswer sends the answer of a backend server to the instance. Some answers
// are late and some arrive twice.
func (t *Trial) sendAnswer(n *Node, b *Backend, key attemptKey, ran bool, body string) {
	outcome := dispatch.Outcome{Verdict: verdict.Ran}
	if !ran {
		outcome = dispatch.Outcome{Verdict: verdict.NotRun, Cause: dispatch.CauseRefused, Cold: b.cold()}
	}
	arrive := n.guard(func() { n.completeAttempt(key, outcome, body) })
	if t.random.IntN(delayOneIn) == 0 {
		t.after(lateAnswerDelay, func() { t.send(b.Centre, n.Centre, arrive) })
		return
	}
	t.send(b.Centre, n.Centre, arrive)
	if t.random.IntN(duplicateOneIn) == 0 {
		t.send(b.Centre, n.Centre, arrive)
	}
}

// completeAttempt reports the outcome of an attempt to the core and proceeds
// with the next attempt, if there is one. An outcome for an attempt that has
// ended is dropped.
func (n *Node) completeAttempt(key attemptKey, o dispatch.Outcome, body string) {
	s, ok := n.pending[key]
	if !ok {
		return
	}
	delete(n.pending, key)
	next, hasNext := n.cores.Complete(n.trial.now, s.attempt, o)
	if hasNext {
		n.proceed(s, next, nil)
	} else {
		o.Verdict = s.attempt.Verdict(o.Verdict)
		n.finish(s, o, body)
	}
	n.resumeWaiting()
}

// finish ends a request at the instance, records the result in its claim and
// answers the caller.
func (n *Node) finish(s *submission, o dispatch.Outcome, body string) {
	t := n.trial
	t.recordRequest(n, s, o)
	if key := s.request.key; key != "" {
		f := n.cores.Claims().Finish(key, claim.Answer{Verdict: o.Verdict, Cause: o.Cause, Body: []byte(body)})
		if f.Key != "" {
			t.Platform.finishClaim(n, f, func() { n.cores.Claims().FinishFollowUp(key) })
		}
	}
	t.send(n.Centre, callerLocation, func() { t.checkAnswer(s, o, body) })
}

// checkAnswer checks an answer that arrives at the caller and delivers its
// verdict.
func (t *Trial) checkAnswer(s *submission, o dispatch.Outcome, body string) {
	if o.Verdict == verdict.Ran && body != s.request.body() && o.Cause == "" {
		t.violate(WholeAnswer, "%s was answered with %q", s.request.identifier, body)
	}
	if o.Verdict == verdict.Ran && s.request.runs == 0 {
		t.violate(WholeAnswer, "%s got the verdict Ran but did not run", s.request.identifier)
	}
	t.deliverVerdict(s, o.Verdict)
}

// Package claim keeps a request that may not be repeated from running twice.
//
// A request carries a key of one of two kinds. A ticket is issued by one
// incarnation of one instance, and only that incarnation may dispatch it. A
// UUID of version 7 is made by the caller, and an instance claims it in the
// platform by compare-and-swap before it dispatches the request.
// docs/design/requests.md gives the reasons.
//
// # Usage
//
//	decision := tracker.Submit(now, claim.Submission{Key: key, Digest: digest})
//	if decision.Step == claim.ClaimKey {
//		decision = tracker.FinishClaim(now, key, claimInPlatform(key, decision.Record))
//	}
//	if decision.Step == claim.Dispatch {
//		followUp := tracker.Finish(key, dispatch())
//		write(followUp)
//		tracker.FinishFollowUp(followUp.Key)
//	}
//
// A Tracker does no I/O and is not safe for use from several goroutines.
package claim

import (
	"fmt"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/request/verdict"
)

// Lifetimes and limits.
const (
	// ClaimLifetime is the minimum time for which the platform keeps a claim.
	ClaimLifetime = time.Hour
	// LeaseRotation is how long an instance uses one lease for its claims.
	LeaseRotation = 15 * time.Minute
	// ClockMargin is how far the clocks of callers and instances may differ.
	ClockMargin = 2 * time.Minute
	// KeyLifetime is the maximum age of a key. It is below ClaimLifetime, so that a
	// claim outlives its key also where clocks differ.
	KeyLifetime = ClaimLifetime - 3*ClockMargin

	// ClaimsPerSecond is the rate of claims for all instances together.
	ClaimsPerSecond = 100.0

	claimBurst     = 3.0              // claims at once, if the instance's share of a second is less
	entryLifetime  = 10 * time.Minute // of tickets and answers kept in memory
	entryLimit     = 65_536
	bodyLimit      = 64 << 10    // bytes of one answer kept for repeated requests
	bodyTotalLimit = 16 << 20    // bytes of all of them
	platformPause  = time.Second // without claims, while the platform doesn't answer
	// unansweredToPause is how many calls in a row go unanswered before a pause.
	unansweredToPause = 3
	retryHint         = 200 * time.Millisecond // shortest RetryAfter of a refusal
)

// Causes of the answers that a Tracker gives by itself.
const (
	CauseKeyInvalid     = "KeyInvalid"
	CauseKeyExpired     = "KeyExpired"
	CauseKeyReused      = "KeyReused"
	CauseTicketUnknown  = "TicketUnknown"
	CauseRunning        = "Running"
	CauseRanBefore      = "RanBefore"
	CauseClaimed        = "Claimed"
	CauseClaimRate      = "ClaimRate"
	CausePlatformSilent = "PlatformSilent"
	CauseFull           = "Full"
)

// Step is the next step for a request with a key.
type Step uint8

// Steps.
const (
	// Answered ends the request with the decision's answer.
	Answered Step = iota
	// ClaimKey means that the caller claims the key in the platform with the
	// decision's record, and passes the result to FinishClaim.
	ClaimKey
	// Dispatch means that the caller sends the request to a backend server,
	// and passes the answer to Finish.
	Dispatch
)

// Submission is a request with a key.
type Submission struct {
	Key string
	// Digest covers everything by which two requests differ, so that a reused
	// key is detected.
	Digest uint64
	// First says that the caller has submitted the key nowhere else, neither
	// before nor at the same time. Otherwise the request may have run through
	// another instance, and an instance that doesn't know the key can't answer
	// NotRun.
	First bool
}

// Answer is the result of a request. RetryAfter is zero if it gives no time.
type Answer struct {
	Verdict    verdict.Verdict
	Cause      string
	Body       []byte
	RetryAfter time.Duration
}

// Decision is the next step of a request, with its Answer for Answered and its
// Record for ClaimKey.
type Decision struct {
	Step   Step
	Answer Answer
	Record Record
}

// Record is a claim as the platform stores it.
type Record struct {
	// Nonce is unique to one submission at one incarnation.
	Nonce string
	// Digest is that of the submission; a later request under the key with
	// another one is a different request.
	Digest uint64
	// Ran says that the request took effect.
	Ran bool
}

// Result is the platform's answer to a claim.
type Result struct {
	// Unanswered says that the platform gave no answer; the claim may have been
	// made or not.
	Unanswered bool
	// Won says that the claim was made, at Revision.
	Won      bool
	Revision int64
	// Record is the claim that is stored already, at Revision, where this one
	// wasn't made.
	Record Record
}

// FollowUp is the write to the platform that follows the answer; FinishFollowUp is
// called after it. There is none if Key is empty.
type FollowUp struct {
	Key      string
	Revision int64
	// Remove says that the claim is to be deleted, which frees the key;
	// otherwise Record is written.
	Remove bool
	Record Record
}

type entryState uint8

const (
	stateOpen      entryState = iota // issued, or free to be claimed again with its nonce
	stateClaiming                    // the claim is being made in the platform
	stateRunning                     // dispatched
	stateReleasing                   // its claim is being removed
	stateFinished                    // the answer is known
)

// entry is the state of one key.
type entry struct {
	state    entryState
	ticket   bool // the key is a ticket
	nonce    string
	digest   uint64
	first    bool  // Submission.First of the latest submission
	revision int64 // of the claim in the platform
	answer   Answer
	expires  time.Time
}

// Tracker holds the state of the keys that one incarnation of an instance has
// seen, and a token bucket that limits its claims.
type Tracker struct {
	instance    string
	incarnation uint64
	sequence    uint64
	entries     map[string]*entry
	keysByAge   []string  // keys of entries, oldest first
	bodyBytes   int       // in the bodies of all entries
	unanswered  int       // calls in a row that the platform didn't answer
	pausedUntil time.Time // no claims before

	instances int
	tokens    float64   // claims that may be made now
	refilled  time.Time // when tokens were last added
}

// NewTracker returns the empty tracker of a new incarnation.
func NewTracker(instance string, incarnation uint64) *Tracker {
	return &Tracker{
		instance: instance, incarnation: incarnation,
		entries: make(map[string]*entry), instances: 1, tokens: claimBurst,
	}
}

// SetInstances sets how many instances share ClaimsPerSecond.
func (t *Tracker) SetInstances(n int) { t.instances = max(1, n) }

// Issue issues a ticket, or refuses with CauseFull while the tracker is full.
func (t *Tracker) Issue(now time.Time) (string, *verdict.Error) {
	t.dropExpired(now)
	if len(t.entries) >= entryLimit {
		return "", verdict.New(verdict.NotRun, CauseFull, nil).WithRetryAfter(platformPause)
	}
	t.sequence++
	ticket := ticketOf(t.instance, t.incarnation, t.sequence)
	t.add(now, ticket, &entry{ticket: true, state: stateOpen})
	return ticket, nil
}

func (t *Tracker) add(now time.Time, key string, e *entry) {
	e.expires = now.Add(entryLifetime)
	t.entries[key] = e
	t.keysByAge = append(t.keysByAge, key)
}

// dropExpired drops expired entries. One that is in use stays, because a
// repeated submission has to find it.
func (t *Tracker) dropExpired(now time.Time) {
	for len(t.keysByAge) > 0 {
		key := t.keysByAge[0]
		e, ok := t.entries[key]
		if ok && now.Before(e.expires) {
			return
		}
		t.keysByAge = t.keysByAge[1:]
		if !ok {
			continue
		}
		if e.state == stateClaiming || e.state == stateRunning || e.state == stateReleasing {
			e.expires = now.Add(entryLifetime)
			t.keysByAge = append(t.keysByAge, key)
			continue
		}
		t.drop(key)
	}
}

func (t *Tracker) drop(key string) {
	if e, ok := t.entries[key]; ok {
		t.bodyBytes -= len(e.answer.Body)
		delete(t.entries, key)
	}
}

// answered ends a request with an answer of the tracker's own.
func answered(v verdict.Verdict, cause string, after time.Duration) Decision {
	return Decision{Answer: Answer{Verdict: v, Cause: cause, RetryAfter: after}}
}

// notSent refuses a submission of which this instance sent nothing. The verdict
// is NotRun only if first is set: else the key may have been submitted elsewhere
// and the request have run there.
func notSent(first bool, cause string, after time.Duration) Decision {
	if first {
		return answered(verdict.NotRun, cause, after)
	}
	return answered(verdict.MayHaveRun, cause, after)
}

// Submit starts the processing of a submission.
func (t *Tracker) Submit(now time.Time, s Submission) Decision {
	t.dropExpired(now)
	if e, ok := t.entries[s.Key]; ok {
		return t.resubmit(now, e, s)
	}
	kind, made := kindOf(s.Key)
	switch {
	case kind == keyTicket:
		return answered(verdict.MayHaveRun, CauseTicketUnknown, 0)
	case kind == keyInvalid, made.Sub(now) > ClockMargin:
		return answered(verdict.NotRun, CauseKeyInvalid, 0)
	case now.Sub(made) > KeyLifetime:
		return answered(verdict.MayHaveRun, CauseKeyExpired, 0)
	}
	return t.claimNew(now, s)
}

// resubmit decides on a submission whose key is known.
func (t *Tracker) resubmit(now time.Time, e *entry, s Submission) Decision {
	if e.digest != 0 && e.digest != s.Digest {
		return answered(verdict.NotRun, CauseKeyReused, 0)
	}
	switch e.state {
	case stateOpen:
		return t.reopen(now, e, s)
	case stateFinished:
		return Decision{Answer: e.answer}
	}
	// In stateReleasing too: the removal may have taken effect, and another
	// instance may have claimed the key since.
	return answered(verdict.MayHaveRun, CauseRunning, retryHint)
}

func (t *Tracker) reopen(now time.Time, e *entry, s Submission) Decision {
	if e.ticket {
		e.digest = s.Digest
		e.state = stateRunning
		return Decision{Step: Dispatch}
	}
	if refusal, ok := t.admitClaim(now, s.First); !ok {
		return refusal
	}
	e.state = stateClaiming
	e.first = s.First
	return Decision{Step: ClaimKey, Record: Record{Nonce: e.nonce, Digest: s.Digest}}
}

// admitClaim reports whether a claim may be made now. If not, it returns the
// refusal: the platform doesn't answer, or the rate of claims is used up.
func (t *Tracker) admitClaim(now time.Time, first bool) (Decision, bool) {
	if now.Before(t.pausedUntil) {
		return notSent(first, CausePlatformSilent, t.pausedUntil.Sub(now)+retryHint), false
	}
	share := ClaimsPerSecond / float64(t.instances)
	if !t.refilled.IsZero() && now.After(t.refilled) {
		t.tokens = min(t.tokens+share*now.Sub(t.refilled).Seconds(), max(claimBurst, share))
	}
	t.refilled = now
	if t.tokens < 1 {
		wait := time.Duration((1 - t.tokens) / share * float64(time.Second))
		return notSent(first, CauseClaimRate, max(wait, retryHint)), false
	}
	t.tokens--
	return Decision{}, true
}

func (t *Tracker) claimNew(now time.Time, s Submission) Decision {
	if len(t.entries) >= entryLimit {
		return notSent(s.First, CauseFull, platformPause)
	}
	if refusal, ok := t.admitClaim(now, s.First); !ok {
		return refusal
	}
	t.sequence++
	e := &entry{
		state:  stateClaiming,
		nonce:  fmt.Sprintf("%s/%d/%d", t.instance, t.incarnation, t.sequence),
		digest: s.Digest,
		first:  s.First,
	}
	t.add(now, s.Key, e)
	return Decision{Step: ClaimKey, Record: Record{Nonce: e.nonce, Digest: s.Digest}}
}

// FinishClaim takes the platform's answer to the claim that ClaimKey began.
func (t *Tracker) FinishClaim(now time.Time, key string, r Result) Decision {
	e, ok := t.entries[key]
	if !ok || e.state != stateClaiming {
		return answered(verdict.MayHaveRun, CauseClaimed, retryHint)
	}
	if !r.Unanswered {
		t.unanswered = 0
	}
	switch {
	case r.Unanswered:
		// Nothing was sent. If the claim took effect, the entry's nonce shows
		// later that it is this instance's own.
		e.state = stateOpen
		return t.platformSilent(now, e.first)
	case r.Won, r.Record.Nonce == e.nonce && !r.Record.Ran:
		e.state = stateRunning
		e.revision = r.Revision
		return Decision{Step: Dispatch}
	}
	t.drop(key)
	switch {
	case r.Record.Digest != e.digest:
		return answered(verdict.NotRun, CauseKeyReused, 0)
	case r.Record.Ran:
		return answered(verdict.Ran, CauseRanBefore, 0)
	}
	return answered(verdict.MayHaveRun, CauseClaimed, retryHint)
}

// platformSilent refuses a request whose claim the platform didn't answer. After
// unansweredToPause of them in a row no claims are made for platformPause, which
// relieves the platform and spares callers the wait.
func (t *Tracker) platformSilent(now time.Time, first bool) Decision {
	t.unanswered++
	if t.unanswered < unansweredToPause {
		return notSent(first, CausePlatformSilent, retryHint)
	}
	t.pausedUntil = now.Add(platformPause)
	return notSent(first, CausePlatformSilent, platformPause+retryHint)
}

// Finish takes the answer to a dispatched request and returns what to write to
// the platform.
func (t *Tracker) Finish(key string, a Answer) FollowUp {
	e, ok := t.entries[key]
	if !ok || e.state != stateRunning {
		return FollowUp{}
	}
	if a.Verdict == verdict.NotRun {
		return t.release(key, e)
	}
	e.state = stateFinished
	e.answer = t.retainAnswer(a)
	if e.ticket || a.Verdict != verdict.Ran {
		return FollowUp{}
	}
	return FollowUp{Key: key, Revision: e.revision, Record: Record{Nonce: e.nonce, Digest: e.digest, Ran: true}}
}

// release frees the key of a request that didn't run: a ticket at once, a
// claimed key when its claim has been removed.
func (t *Tracker) release(key string, e *entry) FollowUp {
	if e.ticket {
		e.state = stateOpen
		return FollowUp{}
	}
	e.state = stateReleasing
	return FollowUp{Key: key, Revision: e.revision, Remove: true}
}

// retainAnswer returns what is kept of an answer for repeated requests: without
// the body and with CauseRanBefore where the limits are exceeded.
func (t *Tracker) retainAnswer(a Answer) Answer {
	if len(a.Body) > bodyLimit || t.bodyBytes+len(a.Body) > bodyTotalLimit {
		a.Body = nil
		a.Cause = CauseRanBefore
		return a
	}
	t.bodyBytes += len(a.Body)
	return a
}

// FinishFollowUp ends a follow-up, whether it was written or given up. A removal
// with an unknown result may still take effect, so its nonce is never used again.
func (t *Tracker) FinishFollowUp(key string) {
	if e, ok := t.entries[key]; ok && e.state == stateReleasing {
		t.drop(key)
	}
}

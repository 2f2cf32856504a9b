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
//	decision := book.Take(now, claim.Submission{Key: key, Digest: digest})
//	if decision.Step == claim.Ask {
//		decision = book.Claimed(now, key, askPlatform(key, decision.Record))
//	}
//	if decision.Step == claim.Dispatch {
//		followUp := book.Finish(key, dispatch())
//		write(followUp)
//		book.Followed(followUp.Key)
//	}
//
// A Book does no I/O and is not safe for use from several goroutines.
package claim

import (
	"fmt"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/request/verdict"
)

// Lifetimes and limits.
const (
	// Life is the minimum time for which the platform keeps a claim.
	Life = time.Hour
	// LeaseRotation is how long an instance uses one lease for its claims.
	LeaseRotation = 15 * time.Minute
	// ClockMargin is how far the clocks of callers and instances may differ.
	ClockMargin = 2 * time.Minute
	// KeyLife is the maximum age of a key. It is below Life, so that a claim
	// outlives its key also where clocks differ.
	KeyLife = Life - 3*ClockMargin

	// ClaimsASecond is the rate of claims for all instances together.
	ClaimsASecond = 100.0

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

// Causes of the answers that a Book gives by itself.
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
	// Ask means that the caller claims the key in the platform with the
	// decision's record, and passes the result to Claimed.
	Ask
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
// Record for Ask.
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

// Found is the platform's answer to a claim.
type Found struct {
	// Silent says that the platform gave no answer; the claim may have been
	// made or not.
	Silent bool
	// Won says that the claim was made, at Revision.
	Won      bool
	Revision int64
	// Record is the claim that is stored already, at Revision, where this one
	// wasn't made.
	Record Record
}

// FollowUp is the write to the platform that follows the answer; Followed is
// called after it. There is none if Key is empty.
type FollowUp struct {
	Key      string
	Revision int64
	// Remove says that the claim is to be deleted, which frees the key;
	// otherwise Record is written.
	Remove bool
	Record Record
}

type state uint8

const (
	stateOpen      state = iota // issued, or free to be claimed again with its nonce
	stateClaiming               // the claim is being made in the platform
	stateRunning                // dispatched
	stateReleasing              // its claim is being removed
	stateFinished               // the answer is known
)

// entry is the state of one key.
type entry struct {
	state    state
	ticket   bool // the key is a ticket
	nonce    string
	digest   uint64
	first    bool  // Submission.First of the latest submission
	revision int64 // of the claim in the platform
	answer   Answer
	expires  time.Time
}

// Book holds the state of the keys that one incarnation of an instance has seen,
// and a token bucket that limits its claims.
type Book struct {
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

// NewBook returns the empty book of a new incarnation.
func NewBook(instance string, incarnation uint64) *Book {
	return &Book{
		instance: instance, incarnation: incarnation,
		entries: make(map[string]*entry), instances: 1, tokens: claimBurst,
	}
}

// SetInstances sets how many instances share ClaimsASecond.
func (b *Book) SetInstances(n int) { b.instances = max(1, n) }

// Issue issues a ticket, or refuses with CauseFull while the book is full.
func (b *Book) Issue(now time.Time) (string, *verdict.Error) {
	b.dropExpired(now)
	if len(b.entries) >= entryLimit {
		return "", verdict.New(verdict.NotRun, CauseFull, nil).WithRetryAfter(platformPause)
	}
	b.sequence++
	ticket := ticketOf(b.instance, b.incarnation, b.sequence)
	b.add(now, ticket, &entry{ticket: true, state: stateOpen})
	return ticket, nil
}

func (b *Book) add(now time.Time, key string, e *entry) {
	e.expires = now.Add(entryLifetime)
	b.entries[key] = e
	b.keysByAge = append(b.keysByAge, key)
}

// dropExpired drops expired entries. One that is in use stays, because a
// repeated submission has to find it.
func (b *Book) dropExpired(now time.Time) {
	for len(b.keysByAge) > 0 {
		key := b.keysByAge[0]
		e, ok := b.entries[key]
		if ok && now.Before(e.expires) {
			return
		}
		b.keysByAge = b.keysByAge[1:]
		if !ok {
			continue
		}
		if e.state == stateClaiming || e.state == stateRunning || e.state == stateReleasing {
			e.expires = now.Add(entryLifetime)
			b.keysByAge = append(b.keysByAge, key)
			continue
		}
		b.drop(key)
	}
}

func (b *Book) drop(key string) {
	if e, ok := b.entries[key]; ok {
		b.bodyBytes -= len(e.answer.Body)
		delete(b.entries, key)
	}
}

// answered ends a request with an answer of the book's own.
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

// Take starts the processing of a submission.
func (b *Book) Take(now time.Time, s Submission) Decision {
	b.dropExpired(now)
	if e, ok := b.entries[s.Key]; ok {
		return b.resubmit(now, e, s)
	}
	kind, made := kindOf(s.Key)
	switch {
	case kind == keyTicket:
		return answered(verdict.MayHaveRun, CauseTicketUnknown, 0)
	case kind == keyInvalid, made.Sub(now) > ClockMargin:
		return answered(verdict.NotRun, CauseKeyInvalid, 0)
	case now.Sub(made) > KeyLife:
		return answered(verdict.MayHaveRun, CauseKeyExpired, 0)
	}
	return b.claimNew(now, s)
}

// resubmit decides on a submission whose key is known.
func (b *Book) resubmit(now time.Time, e *entry, s Submission) Decision {
	if e.digest != 0 && e.digest != s.Digest {
		return answered(verdict.NotRun, CauseKeyReused, 0)
	}
	switch e.state {
	case stateOpen:
		return b.reopen(now, e, s)
	case stateFinished:
		return Decision{Answer: e.answer}
	}
	// In stateReleasing too: the removal may have taken effect, and another
	// instance may have claimed the key since.
	return answered(verdict.MayHaveRun, CauseRunning, retryHint)
}

func (b *Book) reopen(now time.Time, e *entry, s Submission) Decision {
	if e.ticket {
		e.digest = s.Digest
		e.state = stateRunning
		return Decision{Step: Dispatch}
	}
	if refusal, ok := b.admitClaim(now, s.First); !ok {
		return refusal
	}
	e.state = stateClaiming
	e.first = s.First
	return Decision{Step: Ask, Record: Record{Nonce: e.nonce, Digest: s.Digest}}
}

// admitClaim reports whether a claim may be made now. If not, it returns the
// refusal: the platform doesn't answer, or the rate of claims is used up.
func (b *Book) admitClaim(now time.Time, first bool) (Decision, bool) {
	if now.Before(b.pausedUntil) {
		return notSent(first, CausePlatformSilent, b.pausedUntil.Sub(now)+retryHint), false
	}
	share := ClaimsASecond / float64(b.instances)
	if !b.refilled.IsZero() && now.After(b.refilled) {
		b.tokens = min(b.tokens+share*now.Sub(b.refilled).Seconds(), max(claimBurst, share))
	}
	b.refilled = now
	if b.tokens < 1 {
		wait := time.Duration((1 - b.tokens) / share * float64(time.Second))
		return notSent(first, CauseClaimRate, max(wait, retryHint)), false
	}
	b.tokens--
	return Decision{}, true
}

func (b *Book) claimNew(now time.Time, s Submission) Decision {
	if len(b.entries) >= entryLimit {
		return notSent(s.First, CauseFull, platformPause)
	}
	if refusal, ok := b.admitClaim(now, s.First); !ok {
		return refusal
	}
	b.sequence++
	e := &entry{
		state:  stateClaiming,
		nonce:  fmt.Sprintf("%s/%d/%d", b.instance, b.incarnation, b.sequence),
		digest: s.Digest,
		first:  s.First,
	}
	b.add(now, s.Key, e)
	return Decision{Step: Ask, Record: Record{Nonce: e.nonce, Digest: s.Digest}}
}

// Claimed takes the platform's answer to the claim that Ask began.
func (b *Book) Claimed(now time.Time, key string, f Found) Decision {
	e, ok := b.entries[key]
	if !ok || e.state != stateClaiming {
		return answered(verdict.MayHaveRun, CauseClaimed, retryHint)
	}
	if !f.Silent {
		b.unanswered = 0
	}
	switch {
	case f.Silent:
		// Nothing was sent. If the claim took effect, the entry's nonce shows
		// later that it is this instance's own.
		e.state = stateOpen
		return b.platformSilent(now, e.first)
	case f.Won, f.Record.Nonce == e.nonce && !f.Record.Ran:
		e.state = stateRunning
		e.revision = f.Revision
		return Decision{Step: Dispatch}
	}
	b.drop(key)
	switch {
	case f.Record.Digest != e.digest:
		return answered(verdict.NotRun, CauseKeyReused, 0)
	case f.Record.Ran:
		return answered(verdict.Ran, CauseRanBefore, 0)
	}
	return answered(verdict.MayHaveRun, CauseClaimed, retryHint)
}

// platformSilent refuses a request whose claim the platform didn't answer. After
// unansweredToPause of them in a row no claims are made for platformPause, which
// relieves the platform and spares callers the wait.
func (b *Book) platformSilent(now time.Time, first bool) Decision {
	b.unanswered++
	if b.unanswered < unansweredToPause {
		return notSent(first, CausePlatformSilent, retryHint)
	}
	b.pausedUntil = now.Add(platformPause)
	return notSent(first, CausePlatformSilent, platformPause+retryHint)
}

// Finish takes the answer to a dispatched request and returns what to write to
// the platform.
func (b *Book) Finish(key string, a Answer) FollowUp {
	e, ok := b.entries[key]
	if !ok || e.state != stateRunning {
		return FollowUp{}
	}
	if a.Verdict == verdict.NotRun {
		return b.release(key, e)
	}
	e.state = stateFinished
	e.answer = b.retainAnswer(a)
	if e.ticket || a.Verdict != verdict.Ran {
		return FollowUp{}
	}
	return FollowUp{Key: key, Revision: e.revision, Record: Record{Nonce: e.nonce, Digest: e.digest, Ran: true}}
}

// release frees the key of a request that didn't run: a ticket at once, a
// claimed key when its claim has been removed.
func (b *Book) release(key string, e *entry) FollowUp {
	if e.ticket {
		e.state = stateOpen
		return FollowUp{}
	}
	e.state = stateReleasing
	return FollowUp{Key: key, Revision: e.revision, Remove: true}
}

// retainAnswer returns what is kept of an answer for repeated requests: without
// the body and with CauseRanBefore where the limits are exceeded.
func (b *Book) retainAnswer(a Answer) Answer {
	if len(a.Body) > bodyLimit || b.bodyBytes+len(a.Body) > bodyTotalLimit {
		a.Body = nil
		a.Cause = CauseRanBefore
		return a
	}
	b.bodyBytes += len(a.Body)
	return a
}

// Followed ends a follow-up, whether it was written or given up. A removal with
// an unknown result may still take effect, so its nonce is never used again.
func (b *Book) Followed(key string) {
	if e, ok := b.entries[key]; ok && e.state == stateReleasing {
		b.drop(key)
	}
}

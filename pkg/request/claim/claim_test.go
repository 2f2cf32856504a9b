package claim_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/tanagerweir/tanagerweir/pkg/request/claim"
	"github.com/tanagerweir/tanagerweir/pkg/request/verdict"
)

const digest = 11

var start = time.Date(2026, 6, 1, 12, 0, 0, 0, time.UTC)

// platform stores claims and never fails.
type platform struct {
	revision  int64
	records   map[string]claim.Record
	revisions map[string]int64
}

func newPlatform() *platform {
	return &platform{records: make(map[string]claim.Record), revisions: make(map[string]int64)}
}

func (p *platform) claim(key string, r claim.Record) claim.Result {
	if stored, ok := p.records[key]; ok {
		return claim.Result{Record: stored, Revision: p.revisions[key]}
	}
	p.put(key, r)
	return claim.Result{Won: true, Revision: p.revision}
}

func (p *platform) put(key string, r claim.Record) {
	p.revision++
	p.records[key] = r
	p.revisions[key] = p.revision
}

func (p *platform) follow(f claim.FollowUp) {
	switch {
	case f.Key == "" || p.revisions[f.Key] != f.Revision:
	case f.Remove:
		delete(p.records, f.Key)
		delete(p.revisions, f.Key)
	default:
		p.put(f.Key, f.Record)
	}
}

// keyMade returns a UUID of version 7 made at that time.
func keyMade(made time.Time) string {
	stamp := fmt.Sprintf("%012x", made.UnixMilli())
	return stamp[:8] + "-" + stamp[8:] + "-7abc-8def-0123456789ab"
}

// submitAndClaim submits a request and claims its key in the platform if that is
// the next step.
func submitAndClaim(tracker *claim.Tracker, p *platform, now time.Time, key string) claim.Decision {
	d := tracker.Submit(now, claim.Submission{Key: key, Digest: digest, First: true})
	if d.Step == claim.ClaimKey {
		d = tracker.FinishClaim(now, key, p.claim(key, d.Record))
	}
	return d
}

// outcome describes a decision: Dispatch, or the answer's verdict and cause.
func outcome(d claim.Decision) string {
	if d.Step == claim.Dispatch {
		return "Dispatch"
	}
	return d.Answer.Verdict.String() + " " + d.Answer.Cause
}

func check(t *testing.T, what, wanted string, d claim.Decision) {
	t.Helper()
	if diff := cmp.Diff(wanted, outcome(d)); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

func TestSameKeyAtTwoInstancesIsDispatchedOnce(t *testing.T) {
	p := newPlatform()
	one, two := claim.NewTracker("entry-1", 1), claim.NewTracker("entry-2", 1)
	key := keyMade(start)
	check(t, "the first", "Dispatch", submitAndClaim(one, p, start, key))
	check(t, "the same instance", "MayHaveRun Running", submitAndClaim(one, p, start, key))
	check(t, "another instance", "MayHaveRun Claimed", submitAndClaim(two, p, start, key))
	p.follow(one.Finish(key, claim.Answer{Verdict: verdict.Ran, Body: []byte("done")}))
	check(t, "another instance after it ran", "Ran RanBefore", submitAndClaim(two, p, start, key))
	again := submitAndClaim(one, p, start, key)
	if diff := cmp.Diff("done", string(again.Answer.Body)); diff != "" {
		t.Errorf("the answer at the same instance (-want +got):\n%s", diff)
	}
}

func TestKeyOfADeadInstanceIsNeverDispatchedAgain(t *testing.T) {
	p := newPlatform()
	key := keyMade(start)
	check(t, "the first", "Dispatch", submitAndClaim(claim.NewTracker("entry-1", 1), p, start, key))
	check(t, "another instance", "MayHaveRun Claimed", submitAndClaim(claim.NewTracker("entry-2", 1), p, start, key))
	check(t, "restarted with empty state", "MayHaveRun Claimed", submitAndClaim(claim.NewTracker("entry-1", 2), p, start, key))
}

func TestTicketIsOnlyForTheIncarnationThatIssuedIt(t *testing.T) {
	one := claim.NewTracker("entry-1", 1)
	ticket, refusal := one.Issue(start)
	if refusal != nil {
		t.Fatal(refusal)
	}
	later := start.Add(time.Minute)
	check(t, "another instance", "MayHaveRun TicketUnknown", submitAndClaim(claim.NewTracker("entry-2", 1), nil, later, ticket))
	check(t, "restarted", "MayHaveRun TicketUnknown", submitAndClaim(claim.NewTracker("entry-1", 2), nil, later, ticket))
	check(t, "its own", "Dispatch", submitAndClaim(one, nil, later, ticket))
	check(t, "a repetition", "MayHaveRun Running", submitAndClaim(one, nil, later, ticket))
	one.Finish(ticket, claim.Answer{Verdict: verdict.NotRun})
	check(t, "after NotRun", "Dispatch", submitAndClaim(one, nil, later, ticket))
	one.Finish(ticket, claim.Answer{Verdict: verdict.MayHaveRun, Cause: "Broken"})
	check(t, "after MayHaveRun", "MayHaveRun Broken", submitAndClaim(one, nil, later, ticket))
	check(t, "long after", "MayHaveRun TicketUnknown", submitAndClaim(one, nil, later.Add(time.Hour), ticket))
}

// TestSilentPlatformRefusesKeysAtOnceButNotTickets guards against callers that
// wait for a platform which doesn't answer, and against NotRun for a key that may
// have been submitted elsewhere.
func TestSilentPlatformRefusesKeysAtOnceButNotTickets(t *testing.T) {
	tracker := claim.NewTracker("entry-1", 1)
	tracker.SetInstances(1)
	for n := range 5 {
		now := start.Add(time.Duration(n) * 100 * time.Millisecond)
		key := keyMade(now)
		d := tracker.Submit(now, claim.Submission{Key: key, Digest: digest, First: n%2 == 0})
		if claims := d.Step == claim.ClaimKey; claims != (n < 3) {
			t.Errorf("key %d is claimed in the silent platform: %t", n, claims)
		}
		if d.Step == claim.ClaimKey {
			d = tracker.FinishClaim(now, key, claim.Result{Unanswered: true})
		}
		wanted := "NotRun PlatformSilent"
		if n%2 != 0 {
			// The request may have run through another instance.
			wanted = "MayHaveRun PlatformSilent"
		}
		check(t, "with the platform down", wanted, d)
		if d.Answer.RetryAfter <= 0 {
			t.Error("the refusal has no RetryAfter")
		}
	}
	ticket, _ := tracker.Issue(start)
	check(t, "a ticket", "Dispatch", submitAndClaim(tracker, nil, start, ticket))
}

func TestLostAnswerToAClaimIsResolvedByItsNonce(t *testing.T) {
	p := newPlatform()
	tracker := claim.NewTracker("entry-1", 1)
	key := keyMade(start)
	d := tracker.Submit(start, claim.Submission{Key: key, Digest: digest, First: true})
	p.put(key, d.Record)
	check(t, "the answer and the reading are lost", "NotRun PlatformSilent", tracker.FinishClaim(start, key, claim.Result{Unanswered: true}))
	check(t, "another instance meanwhile", "MayHaveRun Claimed", submitAndClaim(claim.NewTracker("entry-2", 1), p, start, key))
	check(t, "the same instance", "Dispatch", submitAndClaim(tracker, p, start.Add(time.Second), key))
}

// TestRemovalWithoutAnswerNeverFreesAClaimInUse guards against a removal that
// takes effect late and deletes the claim of a later submission: the removal's
// answer is lost, the key is claimed again, and a copy of the removal arrives.
func TestRemovalWithoutAnswerNeverFreesAClaimInUse(t *testing.T) {
	p := newPlatform()
	tracker := claim.NewTracker("entry-1", 1)
	key := keyMade(start)
	check(t, "the first", "Dispatch", submitAndClaim(tracker, p, start, key))
	removal := tracker.Finish(key, claim.Answer{Verdict: verdict.NotRun})
	check(t, "while the claim is being removed", "MayHaveRun Running", submitAndClaim(tracker, p, start, key))
	tracker.FinishFollowUp(key) // the removal's answer was lost
	now := start.Add(time.Second)
	check(t, "while the removal has no answer", "MayHaveRun Claimed", submitAndClaim(tracker, p, now, key))
	p.follow(removal)
	check(t, "after the removal", "Dispatch", submitAndClaim(tracker, p, now, key))
	p.follow(removal) // a copy that arrives late
	check(t, "another instance", "MayHaveRun Claimed", submitAndClaim(claim.NewTracker("entry-2", 1), p, now, key))
}

func TestKeyOutlivingItsClaimIsRefused(t *testing.T) {
	tracker := claim.NewTracker("entry-2", 1)
	old := keyMade(start.Add(-claim.KeyLifetime - time.Second))
	check(t, "an old key", "MayHaveRun KeyExpired", submitAndClaim(tracker, newPlatform(), start, old))
	young := keyMade(start.Add(-claim.KeyLifetime + time.Second))
	check(t, "a key in its life", "Dispatch", submitAndClaim(tracker, newPlatform(), start, young))
	future := keyMade(start.Add(claim.ClockMargin + time.Second))
	check(t, "a key from the future", "NotRun KeyInvalid", submitAndClaim(tracker, newPlatform(), start, future))
	check(t, "another kind of key", "NotRun KeyInvalid", submitAndClaim(tracker, newPlatform(), start, "sign-off-17"))
}

func TestKeyOfAnotherRequestIsRefused(t *testing.T) {
	p := newPlatform()
	tracker := claim.NewTracker("entry-1", 1)
	key := keyMade(start)
	check(t, "the first", "Dispatch", submitAndClaim(tracker, p, start, key))
	check(t, "another request, same instance", "NotRun KeyReused", tracker.Submit(start, claim.Submission{Key: key, Digest: digest + 1}))
	other := claim.NewTracker("entry-2", 1)
	d := other.Submit(start, claim.Submission{Key: key, Digest: digest + 1})
	check(t, "another request, another instance", "NotRun KeyReused", other.FinishClaim(start, key, p.claim(key, d.Record)))
}

func TestClaimsStayWithinTheInstancesShareOfTheRate(t *testing.T) {
	const instances = 9
	tracker := claim.NewTracker("entry-1", 1)
	tracker.SetInstances(instances)
	claimed := 0
	for n := range 10_000 {
		now := start.Add(time.Duration(n) * time.Millisecond)
		stamp := fmt.Sprintf("%012x", now.UnixMilli())
		key := stamp[:8] + "-" + stamp[8:] + "-7abc-8def-0123456789ab"
		if tracker.Submit(now, claim.Submission{Key: key, Digest: digest}).Step == claim.ClaimKey {
			claimed++
		}
	}
	limit := 11 * claim.ClaimsPerSecond / instances
	if float64(claimed) > limit {
		t.Errorf("%d claims in 10 s, the instance's share is %g", claimed, limit)
	}
}

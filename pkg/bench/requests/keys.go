package requests

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/bench"
	"github.com/tanagerweir/tanagerweir/pkg/request/claim"
	"github.com/tanagerweir/tanagerweir/pkg/request/verdict"
)

// How keys are submitted, and which faults occur meanwhile.
const (
	keyCount       = 4_000
	keyPeriod      = 50 * time.Millisecond  // between new keys
	maxSubmissions = 4                      // of one key
	resubmitAfter  = 300 * time.Millisecond // without an answer
	keyDeadline    = 2 * time.Second        // from a submission
	maxPause       = 90 * time.Second       // of an instance
	maxWriteDelay  = 5 * time.Second        // of a write on its way to the platform
	executionTime  = 50 * time.Millisecond  // of a request at a backend server
	outagePeriod   = 20 * time.Second       // the platform is down for half of each
	deathPeriod    = 7 * time.Second        // between two deaths of instances
	pausePeriod    = 11 * time.Second       // between two pauses of instances
	faultShare     = 0.1                    // of calls and of attempts, for each kind of fault
	keyInstances   = 9
	keyDigest      = 7               // of every request's content
	keySettleTime  = 5 * time.Minute // from the last key to the end of the run
)

// keyWorld is a simulation of callers that submit keys to instances, which claim
// them in a faulty platform.
type keyWorld struct {
	timeline
	random        *rand.Rand
	withoutClaims bool // the baseline
	platform      *keyPlatform
	instances     []*keyInstance
	runs          map[string]int // by key
	falseAnswers  int            // answers NotRun to submissions that ran, or Ran to keys that didn't
	mayHaveRun    int            // answers MayHaveRun
	answers       int            // all answers
}

// keyInstance is one instance with its claim tracker.
type keyInstance struct {
	tracker     *claim.Tracker
	incarnation uint64
	pausedUntil time.Duration
}

func newKeyWorld(seed uint64, withoutClaims bool) *keyWorld {
	w := &keyWorld{random: rand.New(rand.NewPCG(seed, 2)), withoutClaims: withoutClaims, runs: make(map[string]int)}
	w.platform = &keyPlatform{world: w, entries: make(map[string]keyEntry)}
	for n := range keyInstances {
		w.instances = append(w.instances, &keyInstance{})
		w.restart(n)
	}
	return w
}

// restart replaces an instance by a new incarnation that knows no claims.
func (w *keyWorld) restart(n int) {
	i := w.instances[n]
	i.incarnation++
	i.pausedUntil = 0
	i.tracker = claim.NewTracker(fmt.Sprintf("entry-%d", n+1), i.incarnation)
}

// Keys submits keys under all faults at once, and counts the runs of each key
// beyond the first and the false answers. Any design but bench.Tanagerweir is the
// baseline, which claims no keys.
func Keys(design string, seed uint64) []bench.Row {
	w := newKeyWorld(seed, design != bench.Tanagerweir)
	for n := range keyCount {
		w.after(time.Duration(n)*keyPeriod, func() { w.submit(w.key(n), maxSubmissions) })
	}
	w.after(deathPeriod, w.killInstance)
	w.after(pausePeriod, w.pauseInstance)
	w.runUntil(keyCount*keyPeriod + keySettleTime)
	doubleRuns := 0
	for _, runs := range w.runs {
		doubleRuns += max(0, runs-1)
	}
	mayHaveRun := float64(w.mayHaveRun) / float64(max(1, w.answers))
	return []bench.Row{
		bench.AtMost(design, "DoubleRuns", float64(doubleRuns), "requests", 0),
		bench.AtMost(design, "FalseNotRun", float64(w.falseAnswers), "answers", 0),
		bench.Measured(design, "KeysRun", float64(len(w.runs))/keyCount, "share of keys"),
		bench.Measured(design, "MayHaveRunShare:keys, all faults at once", mayHaveRun, "share of answers"),
	}
}

// key returns the n-th key, a UUID of version 7 whose time is now.
func (w *keyWorld) key(n int) string {
	return fmt.Sprintf("%012x", w.clock().UnixMilli())[:8] + "-" +
		fmt.Sprintf("%012x", w.clock().UnixMilli())[8:] + fmt.Sprintf("-7000-8000-%012x", n)
}

// killInstance restarts a random instance, and schedules the next death.
func (w *keyWorld) killInstance() {
	w.restart(w.random.IntN(keyInstances))
	w.after(deathPeriod, w.killInstance)
}

// pauseInstance suspends a random instance for a random time, and schedules the
// next pause.
func (w *keyWorld) pauseInstance() {
	i := w.instances[w.random.IntN(keyInstances)]
	i.pausedUntil = w.now + time.Duration(w.random.Int64N(int64(maxPause)))
	w.after(pausePeriod, w.pauseInstance)
}

// onInstance runs a step of an instance at d from now. A paused instance runs it
// after its pause, and one that died in between doesn't run it.
func (w *keyWorld) onInstance(n int, incarnation uint64, d time.Duration, step func()) {
	w.after(d, func() {
		i := w.instances[n]
		switch {
		case i.incarnation != incarnation:
		case i.pausedUntil > w.now:
			w.onInstance(n, incarnation, i.pausedUntil-w.now, step)
		default:
			step()
		}
	})
}

// submission is one attempt of a caller to submit a key, at one instance.
type submission struct {
	key         string
	remaining   int // further submissions that the caller may make
	instance    int
	incarnation uint64 // of the instance
	deadline    time.Duration
	ran         bool
	answered    bool
}

// submit sends a key to a random instance, and submits it again if no answer
// arrives within resubmitAfter.
func (w *keyWorld) submit(key string, remaining int) {
	n := w.random.IntN(keyInstances)
	s := &submission{
		key: key, remaining: remaining - 1, instance: n, incarnation: w.instances[n].incarnation, deadline: w.now + keyDeadline,
	}
	w.onInstance(n, s.incarnation, networkDelay, func() { w.receive(s) })
	w.after(resubmitAfter, func() {
		if !s.answered && s.remaining > 0 {
			w.submit(key, s.remaining)
			s.remaining = 0
		}
	})
}

// receive handles a submission that has reached its instance.
func (w *keyWorld) receive(s *submission) {
	if w.withoutClaims {
		w.dispatch(s)
		return
	}
	d := w.instances[s.instance].tracker.Submit(w.clock(), claim.Submission{Key: s.key, Digest: keyDigest})
	if d.Step != claim.ClaimKey {
		w.apply(s, d)
		return
	}
	w.platform.claim(s.key, d.Record, func(r claim.Result) {
		w.onInstance(s.instance, s.incarnation, networkDelay, func() {
			w.apply(s, w.instances[s.instance].tracker.FinishClaim(w.clock(), s.key, r))
		})
	})
}

// apply does what the claim tracker decided once the key is claimed, or needn't be.
func (w *keyWorld) apply(s *submission, d claim.Decision) {
	if d.Step == claim.Dispatch {
		w.dispatch(s)
		return
	}
	w.reply(s, d.Answer)
}

// dispatch sends the request to a backend server, where it runs if it arrives
// before its deadline. The request or its answer may be lost.
func (w *keyWorld) dispatch(s *submission) {
	draw := w.random.Float64()
	switch {
	case w.now > s.deadline, draw < faultShare:
		w.finish(s, claim.Answer{Verdict: verdict.NotRun, Cause: "TooLate"})
		return
	case draw < 2*faultShare:
		w.after(networkDelay, func() { w.recordRun(s) })
		w.finish(s, claim.Answer{Verdict: verdict.MayHaveRun, Cause: "Broken"})
		return
	}
	w.after(executionTime, func() {
		if w.now > s.deadline {
			w.onInstance(s.instance, s.incarnation, networkDelay, func() { w.finish(s, claim.Answer{Verdict: verdict.NotRun}) })
			return
		}
		w.recordRun(s)
		w.onInstance(s.instance, s.incarnation, networkDelay, func() { w.finish(s, claim.Answer{Verdict: verdict.Ran}) })
	})
}

// recordRun counts a run at a backend server.
func (w *keyWorld) recordRun(s *submission) {
	s.ran = true
	w.runs[s.key]++
}

// finish records the outcome of a dispatched request and answers the caller.
func (w *keyWorld) finish(s *submission, a claim.Answer) {
	if !w.withoutClaims {
		w.followUp(s, w.instances[s.instance].tracker.Finish(s.key, a))
	}
	w.reply(s, a)
}

// followUp makes the write to the platform that follows an outcome, if any.
func (w *keyWorld) followUp(s *submission, f claim.FollowUp) {
	if f.Key == "" {
		return
	}
	w.platform.followUp(f, func() {
		w.onInstance(s.instance, s.incarnation, networkDelay, func() { w.instances[s.instance].tracker.FinishFollowUp(f.Key) })
	})
}

// reply answers the caller, who submits the key again until it ran or no
// submission remains.
func (w *keyWorld) reply(s *submission, a claim.Answer) {
	s.answered = true
	w.answers++
	if a.Verdict == verdict.NotRun && s.ran || a.Verdict == verdict.Ran && w.runs[s.key] == 0 {
		w.falseAnswers++
	}
	if a.Verdict == verdict.MayHaveRun {
		w.mayHaveRun++
	}
	if a.Verdict != verdict.Ran && s.remaining > 0 {
		remaining := s.remaining
		s.remaining = 0
		w.after(a.RetryAfter+networkDelay, func() { w.submit(s.key, remaining) })
	}
}

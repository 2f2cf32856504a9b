package forwarding

import (
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/clock"
	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
)

const (
	// entryDelay is how long a backend server that answers may take until its entry is in
	// the store: it writes the entry when it starts.
	entryDelay = 200 * time.Millisecond
	// signLapse is how much later than a sign the directory has to be confirmed until the
	// sign no longer counts although no instance of the data centre sees the server answer.
	// Entries of servers that have ended expire in about that time. It is also the longest
	// time for which a server that answered once is restricted.
	signLapse = 5 * time.Second
	// shortestRestart is how long a backend server that is started anew answers nothing at
	// least. Answers are acknowledged up to 40 ms late.
	shortestRestart = 250 * time.Millisecond
	// maxNotices bounds the servers in one notice, so that it fits into a datagram.
	maxNotices = 32
)

// restart is what shows whether a backend server was started anew under its identifier
// before its entry says so.
//
// A packet that goes unanswered is a sign that the server has ended. From then on it gets
// flows only as a cold server does, until one of these holds: it answers in a flow that was
// open before the sign, as a server that ends loses its flows, or sooner than it could have
// been started anew; it answers, and the directory was confirmed since; or it has answered
// for as long as a server stays cold. Servers of services that are never cold aren't
// restricted.
type restart struct {
	// firstSign and lastSign are when the first and the last packet was sent that is a
	// sign, 0 if there is none.
	firstSign, lastSign time.Duration
	// unanswered is the largest number of flows in a row that went unanswered at one
	// instance.
	unanswered int
	// startedBy is the time by which the server was running after the signs, 0 if it
	// hasn't answered since.
	startedBy time.Duration
	// The server is known to have run without interruption from runFrom to runTo, by the
	// flows that it answered.
	runFrom, runTo time.Duration
	// settled is the time up to which signs no longer count.
	settled time.Duration
	// announced says that other instances were told of the signs, or of the answer since.
	announced bool
}

// RestartOutcome is how the question whether a backend server was started anew ended.
type RestartOutcome uint8

// Outcomes.
const (
	// Doubted: there is a sign, and no outcome yet.
	Doubted RestartOutcome = iota
	// SameProcess: the server answered in a flow that was open before the sign, or too soon
	// for a restart.
	SameProcess
	// EntryConfirmed: the server answered, and its entry was confirmed after that.
	EntryConfirmed
	// WarmedUp: the server has answered for as long as a server stays cold.
	WarmedUp
	// EntryChanged: the entry says that the server was started anew.
	EntryChanged
	// Lapsed: nobody saw the server answer.
	Lapsed
	// WithinReachAgain: the way to the data centre was at fault.
	WithinReachAgain
)

var restartOutcomeNames = [...]string{"Doubted", "SameProcess", "EntryConfirmed", "WarmedUp", "EntryChanged", "Lapsed", "WithinReachAgain"}

// RestartOutcomes returns all outcomes, in the order of their values.
func RestartOutcomes() []RestartOutcome {
	outcomes := make([]RestartOutcome, len(restartOutcomeNames))
	for i := range outcomes {
		outcomes[i] = RestartOutcome(i)
	}
	return outcomes
}

// String returns the name that logs and metrics show.
func (o RestartOutcome) String() string { return restartOutcomeNames[o] }

// RestartEvent says that a backend server may have been started anew, or how the question
// ended.
type RestartEvent struct {
	Server, Service, DataCentre string
	Outcome                     RestartOutcome
	// SignAge is how long ago the last sign was.
	SignAge time.Duration
	// ConfirmedAge is how long ago the directory was known to be the newest.
	ConfirmedAge clock.Age
}

// RestartEvents returns the events since the last call, oldest first.
func (c *Core) RestartEvents() []RestartEvent {
	events := c.restartEvents
	c.restartEvents = nil
	return events
}

// recordSign records that a packet sent at that time went unanswered, as the last of so
// many flows in a row. It is no sign if the server is known to have run on.
func (c *Core) recordSign(now time.Duration, v *server, sent time.Duration, unanswered int) {
	r := &v.restart
	if c.coldFor(v) == 0 || sent <= r.settled || r.runFrom < sent && sent+answerTime <= r.runTo {
		return
	}
	if r.firstSign == 0 {
		r.firstSign, r.lastSign, r.startedBy = sent, sent, 0
		r.unanswered = unanswered
		c.addRestartEvent(now, v, Doubted)
		return
	}
	r.firstSign, r.unanswered = min(r.firstSign, sent), max(r.unanswered, unanswered)
	if sent > r.lastSign {
		r.lastSign = sent
		if r.startedBy > 0 && sent > r.startedBy {
			r.startedBy = 0
		}
	}
}

// recordRun records that the server answered in a flow that was open since the given time.
func (c *Core) recordRun(now time.Duration, v *server, since time.Duration) {
	r := &v.restart
	if r.runTo == 0 || since > r.runTo+shortestRestart {
		r.runFrom = since
	}
	r.runFrom, r.runTo = min(r.runFrom, since), now
	if r.firstSign == 0 || now < r.lastSign+answerTime {
		// An answer from before the sign may have been on its way.
		return
	}
	if r.runFrom < r.firstSign {
		c.settle(now, v, SameProcess, now-answerTime)
		return
	}
	if r.startedBy == 0 {
		r.announced, c.noticesDue = false, true
	}
	r.recordStarted(r.runFrom)
}

// recordStarted records that the server was running at that time, after the signs.
func (r *restart) recordStarted(at time.Duration) {
	if r.firstSign > 0 && (r.startedBy == 0 || at < r.startedBy) {
		r.startedBy = at
	}
}

// settle ends the question whether the server was started anew. Signs up to the given time
// no longer count.
func (c *Core) settle(now time.Duration, v *server, o RestartOutcome, until time.Duration) {
	r := &v.restart
	if r.firstSign > 0 {
		c.addRestartEvent(now, v, o)
	}
	r.firstSign, r.lastSign, r.startedBy, r.unanswered, r.announced, r.settled = 0, 0, 0, 0, false, max(r.settled, until)
}

// settleSigns ends the questions that answers, the directory or time have decided.
func (c *Core) settleSigns(now time.Duration) {
	for _, v := range c.servers.sorted {
		r := &v.restart
		if r.firstSign == 0 {
			continue
		}
		if sign := v.observed.others.lastAlive.Latest(v.observed.inquiry.lastAlive); r.startedBy == 0 && sign.NotBefore(r.lastSign+answerTime) {
			r.recordStarted(sign.Or(0))
		}
		switch {
		case r.startedBy == 0 && c.confirmed.NotBefore(r.lastSign+signLapse):
			c.settle(now, v, Lapsed, r.lastSign)
		case c.entryConfirmed(v):
			c.settle(now, v, EntryConfirmed, r.startedBy)
		case c.warmedUp(now, v):
			c.settle(now, v, WarmedUp, r.startedBy)
		}
	}
}

// settleRegained ends the questions about the servers of a data centre that is within reach
// again, as the way there was at fault, once the directory was confirmed since.
func (c *Core) settleRegained(now time.Duration, dataCentre string, r *reach) {
	if r.regainedAt == 0 || !c.confirmed.NotBefore(r.regainedAt) {
		return
	}
	for _, v := range c.servers.sorted {
		if v.DataCentre == dataCentre && !v.missing && v.restart.firstSign > 0 && v.restart.lastSign < r.regainedAt {
			c.settle(now, v, WithinReachAgain, r.regainedAt)
		}
	}
	r.regainedAt = 0
}

// doubtful reports whether the server may have been started anew and be cold, although its
// entry doesn't say so.
func (c *Core) doubtful(now time.Duration, v *server) bool {
	r := &v.restart
	switch {
	case r.firstSign == 0:
		return c.warmUpUnconfirmed(now, v)
	case r.startedBy == 0:
		return !c.confirmed.NotBefore(r.lastSign + signLapse)
	}
	return !c.warmedUp(now, v) && !c.entryConfirmed(v)
}

// warmedUp reports whether the server has answered for as long as a server stays cold, up to
// the last trial. Without an answer from the last part of that time it may have been started
// anew again, and counts as cold for some more time.
func (c *Core) warmedUp(now time.Duration, v *server) bool {
	started, coldFor := v.restart.startedBy, c.coldFor(v)
	if started == 0 || now < started+coldFor {
		return false
	}
	return v.observed.lastSign().NotBefore(started+coldFor/2) || now >= started+signLapse
}

// entryConfirmed reports whether the server's entry was confirmed after the server answered
// again. An entry that is missing says nothing: a server that doesn't reach the store
// can't write it.
func (c *Core) entryConfirmed(v *server) bool {
	return v.restart.startedBy > 0 && !v.missing && c.confirmed.NotBefore(v.restart.startedBy+entryDelay)
}

// warmUpUnconfirmed reports whether a server that should have warmed up by its entry may
// have been started anew while it was cold. Few flows go to a cold server, so that nobody
// may have noticed.
func (c *Core) warmUpUnconfirmed(now time.Duration, v *server) bool {
	if !v.coldByEntry || c.confirmed.NotBefore(v.coldUntil) || now >= v.coldUntil+c.coldFor(v) {
		return false
	}
	r := &v.restart
	return r.runTo < v.coldUntil || now < r.runFrom+c.coldFor(v)
}

// coldFor returns how long the server is cold after a start.
func (c *Core) coldFor(v *server) time.Duration {
	service, _ := c.directory.Service(v.Service)
	return service.ColdFor
}

// coldLeft returns for how long the server counts as cold since it may have been started
// anew, 0 if it doesn't or hasn't answered yet.
func (c *Core) coldLeft(now time.Duration, v *server) time.Duration {
	if v.restart.startedBy == 0 || !c.doubtful(now, v) {
		return 0
	}
	return max(v.restart.startedBy+c.coldFor(v)-now, 0)
}

// acceptsTrial reports whether a server that may have ended may get a flow that shows
// whether it answers, or, after it has answered, whether it still does so.
func (c *Core) acceptsTrial(now time.Duration, v *server) bool {
	r := &v.restart
	due := r.startedBy == 0 || now >= r.startedBy+c.coldFor(v)*3/5
	return c.usable(now, v) && now >= v.coldUntil && r.firstSign > 0 && due && !v.observed.suspected(now) && c.acceptsCold(now, v)
}

// acceptsDoubtful reports whether a server that may be cold, and isn't by its entry, may
// get a flow since there is no better one, of which that many copies of the opening packet
// were sent before: otherwise lost packets or callers that abandon their openings could
// leave a service without any server. A server that has answered gets one flow each second.
// Copies go there too while the directory is fresh, as it would say by then that the server
// was started anew, and last copies if the server left only a single flow unanswered.
func (c *Core) acceptsDoubtful(now time.Duration, v *server, copies int) bool {
	if !c.usable(now, v) || now < v.coldUntil {
		return false
	}
	r := &v.restart
	return r.firstSign > 0 && r.startedBy == 0 || c.directoryFresh(now) && !v.missing && copies > 0 ||
		r.unanswered < suspectFailures && copies >= len(copyPauses) ||
		v.coldSent == 0 || now-v.coldSent >= coldPause
}

// receiveSigns applies what another instance says of servers that may have been started
// anew.
func (c *Core) receiveSigns(now time.Duration, loads []Load) {
	for _, l := range loads {
		v, ok := c.servers.byMark[l.Mark]
		if !ok {
			continue
		}
		if l.Failures == 0 && l.ColdLeft == 0 {
			continue
		}
		// The others were told, too.
		v.restart.announced = true
		if l.Failures > 0 {
			c.recordSign(now, v, now-l.FailedAge-answerTime, l.Failures)
		}
		if coldFor := c.coldFor(v); l.ColdLeft > 0 && coldFor > 0 {
			startedBy := now - coldFor + min(l.ColdLeft, coldFor)
			c.recordSign(now, v, startedBy-1, 1)
			v.restart.recordStarted(startedBy)
		}
	}
}

// Notices returns what other instances of the data centre should know at once: servers that
// may have ended, or that answer again, and that they weren't told of yet.
func (c *Core) Notices(now time.Duration) []Load {
	if !c.noticesDue {
		return nil
	}
	c.noticesDue = false
	var loads []Load
	for _, v := range c.servers.sorted {
		if len(loads) == maxNotices {
			c.noticesDue = true
			break
		}
		if r := &v.restart; r.firstSign > 0 && !r.announced && (v.observed.failures > 0 || r.startedBy > 0) {
			r.announced = true
			loads = append(loads, c.load(now, v))
		}
	}
	return loads
}

func (c *Core) addRestartEvent(now time.Duration, v *server, o RestartOutcome) {
	if o == Doubted {
		c.noticesDue = true
	}
	if len(c.restartEvents) < maxEvents {
		c.restartEvents = append(c.restartEvents, RestartEvent{
			Server: v.ID, Service: v.Service, DataCentre: v.DataCentre, Outcome: o,
			SignAge: now - v.restart.lastSign, ConfirmedAge: c.confirmed.Age(now),
		})
	}
}

// usableSoon reports whether a server of the route may get a flow by the time at which the
// caller sends the next copy of an opening packet, of which that many were sent before.
func (c *Core) usableSoon(now time.Duration, r directory.Route, f *flow, copies int) bool {
	if copies >= len(copyPauses) {
		return false
	}
	next := now + copyPauses[copies]
	for _, v := range c.servers.byService[serviceOf(r, f.key)] {
		if c.usable(next, v) && (next >= v.coldUntil || c.acceptsCold(next, v)) {
			return true
		}
	}
	return false
}

// copyPauses are the times from an opening packet, and from its first copy, to the caller's
// next one.
var copyPauses = [...]time.Duration{200 * time.Millisecond, 400 * time.Millisecond}

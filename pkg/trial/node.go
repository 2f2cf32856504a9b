package trial

import (
	"net/netip"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/connection/flow"
	"github.com/tanagerweir/tanagerweir/pkg/process/condition"
	"github.com/tanagerweir/tanagerweir/pkg/process/control"
	"github.com/tanagerweir/tanagerweir/pkg/process/listing"
	"github.com/tanagerweir/tanagerweir/pkg/process/roster"
	"github.com/tanagerweir/tanagerweir/pkg/trace"
	"github.com/tanagerweir/tanagerweir/pkg/trial/cores"
	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
	"github.com/tanagerweir/tanagerweir/pkg/version/watcher"
)

// Periods and limits of an instance, as in the daemon.
const (
	exchangePeriod  = 100 * time.Millisecond // between two checks whether an exchange is due
	exchangeTimeout = time.Second
	watcherPeriod   = 250 * time.Millisecond
	callTimeout     = 2 * time.Second // of one call on the platform
	reportPeriod    = time.Second
	comparisonPause = 10 * time.Millisecond
	stopPeriod      = 100 * time.Millisecond
	stopGrace       = 10 * time.Second
	maxPasses       = 3 // times that a packet may be passed from one instance to another
)

// Node is one instance: its production cores and the simulation around them.
type Node struct {
	Name   string
	Centre string

	trial           *Trial
	incarnation     uint64 // counts the starts
	alive           bool
	leaving         bool
	isolated        int // calls of Isolate that are still in effect
	frozenUntil     time.Time
	lastUnreachable time.Time // last time at which a change could not reach it
	highestVersion  catalogue.Version
	cores           *cores.Instance
	watcher         *watcher.Core
	pending         map[attemptKey]*submission
	waiting         map[string]*submission // by ticket
	polling         bool
	comparisonPlans uint64 // number of the newest planned call of compareIfDue
	// exchangePeer is the peer whose answer is awaited, empty if there is none.
	// exchangeCount numbers the exchanges that n began.
	exchangePeer  string
	exchangeCount int
}

// start starts the node with empty state as a new incarnation.
func (n *Node) start() {
	t := n.trial
	n.incarnation++
	n.alive, n.leaving = true, false
	n.frozenUntil = time.Time{}
	n.lastUnreachable = t.now
	n.highestVersion = 0
	n.exchangePeer = ""
	self := roster.Member{
		Name: n.Name, DataCentre: n.Centre, Incarnation: uint64(t.now.UnixNano()),
		Peer: n.endpoint(), Passed: n.endpoint(), Admin: n.endpoint(),
	}
	n.cores = cores.New(self, t.random.Uint64())
	n.cores.SetSeeds(t.seedEndpoints())
	n.pending = make(map[attemptKey]*submission)
	n.waiting = make(map[string]*submission)
	n.polling = false
	t.record(trace.Line{Input: trace.Start, Instance: n.Name, DataCentre: n.Centre})
	n.loop(exchangePeriod, n.exchange)
	n.compareIfDue()
	n.watcher = watcher.New(watcher.Instance{Name: n.Name, DataCentre: n.Centre}, t.random.Uint64())
	n.loop(watcherPeriod, n.runWatcher)
	n.loop(reportPeriod, n.requestReports)
	n.loop(flow.TickPeriod, n.flowTick)
}

// endpoint returns an address that stands for all sockets of the node. Nothing
// is sent to it.
func (n *Node) endpoint() netip.AddrPort {
	for i, name := range n.trial.instanceNames {
		if name == n.Name {
			return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i + 1)}), 7000)
		}
	}
	return netip.AddrPort{}
}

// nodeOf returns the node of a member. A seed has no name and is found by its
// endpoint.
func (t *Trial) nodeOf(m roster.Member) (*Node, bool) {
	if n, ok := t.nodes[m.Name]; ok {
		return n, true
	}
	for _, name := range t.instanceNames {
		if n := t.nodes[name]; n.endpoint() == m.Peer {
			return n, true
		}
	}
	return nil, false
}

// seedEndpoints returns the seed endpoints in the settings of every instance:
// the first instance of each data centre.
func (t *Trial) seedEndpoints() []netip.AddrPort {
	var seeds []netip.AddrPort
	for _, c := range t.plan.Centres {
		seeds = append(seeds, t.nodes[instanceName(c, 0)].endpoint())
	}
	return seeds
}

// loop runs action periodically until this incarnation ends.
func (n *Node) loop(period time.Duration, action func()) {
	incarnation := n.incarnation
	n.trial.every(period, func() bool {
		if !n.alive || n.incarnation != incarnation {
			return false
		}
		n.do(action)
		return true
	})
}

// do runs action on the node: now, or after the pause if the node is frozen. It
// does nothing if the node is not running.
func (n *Node) do(action func()) {
	if !n.alive {
		return
	}
	wait := n.frozenUntil.Sub(n.trial.now)
	if wait <= 0 {
		action()
		return
	}
	n.trial.after(wait, n.guard(action))
}

// guard returns a function that runs action as do does, but only if the present
// incarnation is still running.
func (n *Node) guard(action func()) func() {
	incarnation := n.incarnation
	return func() {
		if n.incarnation == incarnation {
			n.do(action)
		}
	}
}

func (n *Node) frozen() bool { return n.frozenUntil.After(n.trial.now) }

// connectedTo reports whether messages pass between n and other, in either
// direction.
func (n *Node) connectedTo(other *Node) bool {
	return n.isolated == 0 && other.isolated == 0 && n.trial.connected(n.Centre, other.Centre)
}

// exchange begins an exchange with one peer, if one is due and none is awaiting
// its answer.
func (n *Node) exchange() {
	t := n.trial
	if n.exchangePeer != "" || !n.cores.ExchangeDue(t.now) {
		return
	}
	peer, ok := n.cores.Tick(t.now)
	t.record(trace.Line{Input: trace.Tick, Instance: n.Name})
	if !ok {
		return
	}
	other, ok := t.nodeOf(peer)
	if !ok {
		return
	}
	n.exchangePeer = other.Name
	n.exchangeCount++
	number := n.exchangeCount
	t.after(exchangeTimeout, n.guard(func() { n.exchangeTimedOut(number) }))
	if !n.connectedTo(other) {
		return
	}
	hello := n.cores.Hello(t.now, other.Name)
	t.send(n.Centre, other.Centre, func() {
		other.do(func() { other.handleHello(n, hello) })
	})
}

// exchangeTimedOut ends exchange number if it got no answer in time.
func (n *Node) exchangeTimedOut(number int) {
	if n.exchangePeer == "" || n.exchangeCount != number {
		return
	}
	n.cores.ExchangeFailed(n.trial.now, n.exchangePeer)
	n.trial.record(trace.Line{Input: trace.Silence, Instance: n.Name, Peer: n.exchangePeer})
	n.exchangePeer = ""
}

func (n *Node) handleHello(sender *Node, h control.Hello) {
	a := n.cores.HandleHello(n.trial.now, h)
	if !n.connectedTo(sender) {
		return
	}
	n.trial.send(n.Centre, sender.Centre, sender.guard(func() { sender.handleAnswer(n.Name, a) }))
}

func (n *Node) handleAnswer(from string, a control.Answer) {
	if n.exchangePeer == from {
		n.exchangePeer = ""
	}
	n.cores.ApplyAnswer(n.trial.now, from, a)
	n.checkVersion()
	if n.trial.nodes[from].alive {
		n.trial.record(trace.Line{Input: trace.Exchange, Instance: n.Name, Peer: from})
	}
}

// offer offers a configuration to the cores and records it if it comes into
// force.
func (n *Node) offer(c catalogue.Catalogue, from string) {
	if !n.cores.Offer(n.trial.now, c, from) {
		return
	}
	n.checkVersion()
	n.trial.record(trace.Line{
		Input: trace.Configuration, Instance: n.Name, Version: c.Version(),
		Outcome: &trace.Outcome{InForce: c.Version()},
	})
}

// checkVersion checks that the version in force has not decreased, and compares
// the configuration with a peer if it has increased.
func (n *Node) checkVersion() {
	v := n.cores.Version()
	if v < n.highestVersion {
		n.trial.violate(ConfigurationStands, "%s went from version %d to %d", n.Name, n.highestVersion, v)
	}
	if v > n.highestVersion {
		n.highestVersion = v
		n.compareIfDue()
	}
}

// compareIfDue compares the configuration with a peer, if that is due, and plans
// its next call. A call that happens earlier replaces the planned one.
func (n *Node) compareIfDue() {
	t := n.trial
	if peer, ok := n.cores.NextSpread(t.now); ok {
		n.compare(t.nodes[peer.Name], n.cores.BeginSpread(), true)
	}
	n.comparisonPlans++
	plan := n.comparisonPlans
	t.after(max(n.cores.SpreadDue().Sub(t.now), comparisonPause), n.guard(func() {
		if n.comparisonPlans == plan {
			n.compareIfDue()
		}
	}))
}

// compare sends the state of n in a comparison and handles the answer.
func (n *Node) compare(other *Node, state control.Spread, first bool) {
	t := n.trial
	if other == nil || !n.connectedTo(other) {
		return
	}
	t.send(n.Centre, other.Centre, func() {
		other.do(func() {
			answer := other.cores.Compare(t.now, n.Name, state)
			other.checkVersion()
			if !other.connectedTo(n) {
				return
			}
			t.send(other.Centre, n.Centre, n.guard(func() { n.handleComparison(other, answer, first) }))
		})
	})
}

// handleComparison takes the answer to a comparison. If the peer still lacks
// something after the first one, it sends a second one.
func (n *Node) handleComparison(other *Node, answer control.Spread, first bool) {
	second, again := n.cores.FinishSpread(n.trial.now, other.Name, answer)
	n.checkVersion()
	if n.trial.nodes[other.Name].alive {
		n.trial.record(trace.Line{Input: trace.Spread, Instance: n.Name, Peer: other.Name})
	}
	if again && first {
		n.compare(other, second, false)
	}
}

// runWatcher does the reads of the platform that the watcher core says are due.
func (n *Node) runWatcher() {
	t := n.trial
	var fleet []watcher.Instance
	for _, m := range n.cores.Alive(t.now) {
		fleet = append(fleet, watcher.Instance{Name: m.Name, DataCentre: m.DataCentre})
	}
	n.watcher.SetFleet(t.now, fleet)
	d := n.watcher.Due(t.now, n.cores.Version() == 0)
	if d.Poll {
		n.readPlatform()
	}
	if d.List {
		n.readList()
	}
}

func (n *Node) readPlatform() {
	answered := false
	n.trial.after(callTimeout, n.guard(func() {
		if !answered {
			n.watcher.Failed()
		}
	}))
	if n.isolated > 0 {
		return
	}
	n.trial.Platform.read(n.Centre, func(c catalogue.Catalogue, revision int64) {
		n.guard(func() {
			answered = true
			n.handleConfiguration(c, revision)
		})()
	})
}

// handleConfiguration handles the configuration that was read from the
// platform.
func (n *Node) handleConfiguration(c catalogue.Catalogue, revision int64) {
	if changed, _ := n.watcher.Polled(n.trial.now, revision); changed {
		n.offer(c, "platform")
		n.watcher.Read(revision)
	}
	if n.watcher.Watching() {
		n.storeMarks(c, revision)
	}
}

func (n *Node) readList() {
	if n.isolated > 0 {
		return
	}
	n.trial.Platform.readList(n.Centre, func(entries []listing.Entry) {
		n.guard(func() { n.handleList(entries) })()
	})
}

func (n *Node) handleList(entries []listing.Entry) {
	n.trial.recordList(n, entries)
	n.cores.SetList(n.trial.now, entries)
}

// requestReports requests the report of every backend server.
func (n *Node) requestReports() {
	t := n.trial
	for _, b := range t.backends {
		t.send(n.Centre, b.Centre, func() {
			report, ok := b.report()
			if !ok {
				return
			}
			t.send(b.Centre, n.Centre, n.guard(func() { n.handleReport(report) }))
		})
	}
}

func (n *Node) handleReport(r condition.Report) {
	n.cores.ApplyReport(n.trial.now, r)
	n.trial.recordReport(n, r)
}

// flowTick advances the packet core and sends its messages to peers.
func (n *Node) flowTick() {
	n.trial.record(trace.Line{Input: trace.FlowTick, Instance: n.Name})
	n.sendFlowMessages(n.cores.FlowTick(n.trial.now))
}

// sendFlowMessages sends messages of the packet core to their peers, and the
// peers' answers back.
func (n *Node) sendFlowMessages(envelopes []flow.Envelope) {
	t := n.trial
	for _, e := range envelopes {
		other, ok := t.nodes[e.To]
		if !ok || !n.connectedTo(other) {
			continue
		}
		t.send(n.Centre, other.Centre, func() {
			other.do(func() { other.sendFlowMessages(other.cores.FlowReceive(t.now, n.Name, e.Message)) })
		})
	}
}

// mustReflect reports whether a change made at the given time must have taken
// effect at n by now. The time allowed begins anew whenever n was unreachable;
// a zero time is no change.
func (n *Node) mustReflect(changed time.Time) bool {
	if changed.IsZero() {
		return false
	}
	if n.lastUnreachable.After(changed) {
		changed = n.lastUnreachable
	}
	return n.trial.now.Sub(changed) > EffectTime
}

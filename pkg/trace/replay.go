package trace

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/connection/flow"
	"github.com/tanagerweir/tanagerweir/pkg/process/condition"
	"github.com/tanagerweir/tanagerweir/pkg/process/listing"
	"github.com/tanagerweir/tanagerweir/pkg/process/roster"
	"github.com/tanagerweir/tanagerweir/pkg/request/dispatch"
	"github.com/tanagerweir/tanagerweir/pkg/request/verdict"
	"github.com/tanagerweir/tanagerweir/pkg/trial/cores"
	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
)

const (
	maxDecisions    = 3 // on one packet, by the instance that it arrives at and those that it is passed to
	requestDeadline = 2 * time.Second
)

// DifferenceError is the first line whose stated outcome did not come about.
type DifferenceError struct {
	// Line is the number of the line in the file, counted from 1 with the
	// header. Step is the number of the input, counted from 1.
	Line, Step int
	Recorded   Line
	// Why describes the difference.
	Why string
}

// Error returns the place of the line, its input and the difference.
func (d *DifferenceError) Error() string {
	return fmt.Sprintf("line %d (step %d, %s at %s, %d ms): %s",
		d.Line, d.Step, d.Recorded.Input, d.Recorded.Instance, d.Recorded.At, d.Why)
}

// Result counts the inputs that were replayed (Steps), those of them with a
// stated outcome (Stated), and the packets that the cores forwarded or dropped.
type Result struct {
	Steps, Stated, Forwarded, Dropped int
}

// Replay drives the decision cores with the inputs of the trace and compares
// their decisions with the stated outcomes. It stops at the first difference
// and returns it, or nil if every stated outcome came about.
func Replay(t Trace) (Result, *DifferenceError) {
	r := &replayer{
		instances: make(map[string]*cores.Instance),
		accepted:  make(map[catalogue.Version]catalogue.Catalogue),
		homes:     make(map[flow.Key]catalogue.Backend),
		endpoints: make(map[string]netip.AddrPort),
		wasOut:    make(map[string]bool),
	}
	for i, l := range t.Lines {
		r.result.Steps++
		if l.Outcome != nil {
			r.result.Stated++
		}
		if difference := r.apply(l); difference != "" {
			return r.result, &DifferenceError{Line: i + headerLine + 1, Step: i + 1, Recorded: l, Why: difference}
		}
	}
	return r.result, nil
}

// replayer is the state of one replay.
type replayer struct {
	instances map[string]*cores.Instance
	accepted  map[catalogue.Version]catalogue.Catalogue
	homes     map[flow.Key]catalogue.Backend
	endpoints map[string]netip.AddrPort
	wasOut    map[string]bool
	result    Result
}

// apply applies one line and describes the difference from its stated outcome.
// It returns an empty string if there is none, as do the functions that it
// calls.
func (r *replayer) apply(l Line) string {
	switch l.Input {
	case Accepted:
		c := catalogue.FromParts(*l.Catalogue)
		r.accepted[c.Version()] = c
		r.noteOutDataCentres(c)
		return ""
	case Start:
		self := r.member(Member{Name: l.Instance, DataCentre: l.DataCentre})
		self.Incarnation = uint64(l.time().UnixNano())
		r.instances[l.Instance] = cores.New(self, uint64(len(r.endpoints)))
		return ""
	}
	instance, ok := r.instances[l.Instance]
	if !ok {
		return "the instance isn't running"
	}
	if difference := r.applyInput(instance, l); difference != "" {
		return difference
	}
	if o := l.Outcome; o != nil && o.InForce != 0 && instance.Version() != o.InForce {
		return fmt.Sprintf("version %d is in force, but the line states %d", instance.Version(), o.InForce)
	}
	return ""
}

// noteOutDataCentres records which data centres have ever been out. Flows to
// their backend servers are given up, so they may move.
func (r *replayer) noteOutDataCentres(c catalogue.Catalogue) {
	for _, d := range c.DataCentres() {
		if d.State == catalogue.DataCentreOut {
			r.wasOut[d.Name] = true
		}
	}
}

// applyInput drives the cores of the instance with the input of the line.
func (r *replayer) applyInput(instance *cores.Instance, l Line) string {
	now := l.time()
	switch l.Input {
	case Kill:
		delete(r.instances, l.Instance)
	case Leave:
		instance.Leave()
	case Tick:
		instance.Tick(now)
	case Silence:
		instance.ExchangeFailed(now, l.Peer)
	case FlowTick:
		r.deliverFlowMessages(l, l.Instance, instance.FlowTick(now))
	case Exchange, Spread:
		return r.exchange(instance, l)
	case Configuration:
		c, ok := r.accepted[l.Version]
		if !ok {
			return fmt.Sprintf("no line above states that version %d was accepted", l.Version)
		}
		instance.Offer(now, c, "platform")
	case List:
		instance.SetList(now, r.entries(l.Members))
	case Report:
		instance.ApplyReport(now, condition.Report{Backend: l.Backend, Cold: l.Cold, Leaving: l.Leaving, Busy: l.Busy})
	case Packet:
		return r.packet(l)
	case Request:
		return r.request(instance, l)
	case Accepted, Start:
	}
	return ""
}

// exchange runs a whole exchange or comparison between an instance and a peer.
func (r *replayer) exchange(instance *cores.Instance, l Line) string {
	peer, ok := r.instances[l.Peer]
	if !ok {
		return fmt.Sprintf("the peer %s isn't running", l.Peer)
	}
	now := l.time()
	if l.Input == Exchange {
		instance.ApplyAnswer(now, l.Peer, peer.HandleHello(now, instance.Hello(now, l.Peer)))
		return ""
	}
	second, again := instance.FinishSpread(now, l.Peer, peer.Compare(now, l.Instance, instance.BeginSpread()))
	if again {
		instance.FinishSpread(now, l.Peer, peer.Compare(now, l.Instance, second))
	}
	return ""
}

// deliverFlowMessages delivers messages of the packet core to the running
// peers, and the peers' answers back. from is the sender.
func (r *replayer) deliverFlowMessages(l Line, from string, envelopes []flow.Envelope) {
	for _, e := range envelopes {
		if peer, ok := r.instances[e.To]; ok {
			r.deliverFlowMessages(l, e.To, peer.FlowReceive(l.time(), from, e.Message))
		}
	}
}

// member returns a member whose endpoint stands for all its sockets. Nothing is
// sent to it.
func (r *replayer) member(m Member) roster.Member {
	e, ok := r.endpoints[m.Name]
	if !ok {
		n := len(r.endpoints) + 1
		e = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 7000)
		r.endpoints[m.Name] = e
	}
	return roster.Member{Name: m.Name, DataCentre: m.DataCentre, Leaving: m.Leaving, Peer: e, Passed: e, Admin: e}
}

func (r *replayer) entries(members []Member) []listing.Entry {
	var entries []listing.Entry
	for _, m := range members {
		member := r.member(m)
		e := listing.Entry{
			Name: m.Name, Kind: listing.EntryInstance, DataCentre: m.DataCentre, State: listing.Live,
			Peer: member.Peer, Passed: member.Passed, Admin: member.Admin,
		}
		if m.Leaving {
			e.State = listing.Leaving
		}
		entries = append(entries, e)
	}
	return entries
}

// packet has the instance decide on a packet, and each instance that it is
// passed to.
func (r *replayer) packet(l Line) string {
	packet := flow.Packet{
		Key:    flow.Key{Protocol: catalogue.TCP, Source: l.Source, Destination: l.Destination},
		Starts: l.Starts,
	}
	name := l.Instance
	for range maxDecisions {
		instance, ok := r.instances[name]
		if !ok {
			break
		}
		d := instance.Packet(l.time(), packet)
		if d.Action == flow.Forward {
			r.result.Forwarded++
			return r.checkForwarded(l, packet.Key, d.Backend)
		}
		if d.Action == flow.Drop {
			break
		}
		name, packet.Passed = d.Owner, true
	}
	r.result.Dropped++
	if l.Outcome != nil && l.Outcome.Forwarded {
		return "the packet was dropped, but the line states that it is forwarded"
	}
	return ""
}

// checkForwarded checks the backend server b that a packet of flow k was
// forwarded to.
func (r *replayer) checkForwarded(l Line, k flow.Key, b catalogue.Backend) string {
	home, known := r.homes[k]
	if !known && l.Starts {
		r.homes[k] = b
		home, known = b, true
	}
	o := l.Outcome
	if o == nil {
		return ""
	}
	if o.Home && known && !r.wasOut[home.DataCentre] && b.Name != home.Name {
		return fmt.Sprintf("the packet went to %s, but its flow is at %s", b.Name, home.Name)
	}
	return checkTarget(*o, b)
}

// checkTarget describes what is wrong with sending a packet or request to b.
func checkTarget(o Outcome, b catalogue.Backend) string {
	switch {
	case o.Service != "" && b.Service != o.Service:
		return fmt.Sprintf("it went to %s of service %s, but the line states service %s", b.Name, b.Service, o.Service)
	case o.Avoid == b.Name:
		return fmt.Sprintf("it went to %s, which gets no new work", b.Name)
	case o.AvoidCentre != "" && o.AvoidCentre == b.DataCentre:
		return fmt.Sprintf("it went to %s of %s, which is out", b.Name, b.DataCentre)
	}
	return ""
}

// request has the instance dispatch a request. All its attempts end as the line
// says.
func (r *replayer) request(instance *cores.Instance, l Line) string {
	now := l.time()
	var o Outcome
	if l.Outcome != nil {
		o = *l.Outcome
	}
	a, refusal := instance.Begin(now, dispatch.Request{Class: l.Class, Deadline: now.Add(requestDeadline)})
	if refusal != nil {
		return checkVerdict(o, refusal.Verdict)
	}
	if a.Waiting {
		instance.Abandon(a)
		return checkVerdict(o, verdict.NotRun)
	}
	attemptOutcome := outcomeOf(l.Ends)
	for attempts := 1; ; attempts++ {
		if difference := checkTarget(o, a.Backend); difference != "" {
			return difference
		}
		if o.AttemptsMost != 0 && attempts > o.AttemptsMost {
			return fmt.Sprintf("it was sent %d times, but the line states at most %d", attempts, o.AttemptsMost)
		}
		next, again := instance.Complete(now, a, attemptOutcome)
		if !again {
			return checkVerdict(o, a.Verdict(attemptOutcome.Verdict))
		}
		a = next
	}
}

// outcomeOf returns the outcome of an attempt that ends as e says.
func outcomeOf(e End) dispatch.Outcome {
	switch e {
	case EndRan:
		return dispatch.Outcome{Verdict: verdict.Ran}
	case EndRefused:
		return dispatch.Outcome{Verdict: verdict.NotRun, Cause: dispatch.CauseRefused}
	case EndLate:
	}
	return dispatch.Outcome{Verdict: verdict.MayHaveRun, Cause: dispatch.CauseLate}
}

// checkVerdict compares the verdict with the stated one.
func checkVerdict(o Outcome, v verdict.Verdict) string {
	if o.Verdict == "" || o.Verdict == v.String() {
		return ""
	}
	return fmt.Sprintf("the verdict is %s, but the line states %s", v, o.Verdict)
}

// Package cores connects the decision cores of one instance to each other as
// the daemon does. Trials, replays and benchmarks drive it without sockets.
//
// # Usage
//
//	instance := cores.New(self, seed)
//	instance.Offer(now, accepted, "platform")
//	decision := instance.Packet(now, packet)
//
// An Instance is not safe for use from several goroutines.
package cores

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tanagerweir/tanagerweir/pkg/connection/flow"
	"github.com/tanagerweir/tanagerweir/pkg/process/condition"
	"github.com/tanagerweir/tanagerweir/pkg/process/control"
	"github.com/tanagerweir/tanagerweir/pkg/process/listing"
	"github.com/tanagerweir/tanagerweir/pkg/process/roster"
	"github.com/tanagerweir/tanagerweir/pkg/request/claim"
	"github.com/tanagerweir/tanagerweir/pkg/request/dispatch"
	"github.com/tanagerweir/tanagerweir/pkg/request/verdict"
	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
	"github.com/tanagerweir/tanagerweir/service/api"
)

// Instance holds the cores of one incarnation of an instance.
type Instance struct {
	control *control.Core
	flows   *flow.Core
}

// New returns the cores of a started instance with empty state. seed determines
// its random choices.
func New(self roster.Member, seed uint64) *Instance {
	return &Instance{control: control.New(self, seed), flows: flow.New(self.Name, flow.Options{})}
}

// Version returns the version of the configuration in force.
func (i *Instance) Version() catalogue.Version { return i.control.Current().Version() }

// Alive returns the members that take packets, the instance itself included.
func (i *Instance) Alive(now time.Time) []roster.Member { return i.control.Alive(now) }

// AddMark puts an operator's emergency mark on a data centre in force at this
// instance and returns it with its number.
func (i *Instance) AddMark(now time.Time, m catalogue.Mark) catalogue.Mark {
	m, changed := i.control.AddMark(now, m)
	i.applyConfiguration(now, changed)
	return m
}

// NextMark returns the mark number with which a change of a data centre's
// state replaces the emergency mark that is in force here, 0 if there is none.
func (i *Instance) NextMark(change catalogue.DataCentre) uint64 {
	d, _ := i.control.Current().DataCentre(change.Name)
	if d.Mark == 0 {
		return 0
	}
	return catalogue.NextMark(d.Mark, change.State)
}

// Marks returns the emergency marks that the configuration does not reflect
// yet.
func (i *Instance) Marks() []catalogue.Mark { return i.control.EmergencyMarks() }

// Obeys reports whether m or a later mark for its data centre is in force.
func (i *Instance) Obeys(m catalogue.Mark) bool { return i.control.Current().Reflects(m) }

// Tick advances the heartbeat and returns the peer for the next exchange, and
// false if there is none.
func (i *Instance) Tick(now time.Time) (roster.Member, bool) { return i.control.Tick(now) }

// SetSeeds sets the endpoints to exchange with when no other instance is known.
func (i *Instance) SetSeeds(endpoints []netip.AddrPort) { i.control.SetSeeds(endpoints) }

// ExchangeDue reports whether an exchange with a peer is due.
func (i *Instance) ExchangeDue(now time.Time) bool { return i.control.ExchangeDue(now) }

// Hello returns the members and conditions to send to a peer in an exchange.
func (i *Instance) Hello(now time.Time, to string) control.Hello {
	h := i.control.Hello(now, to)
	return control.Hello{Roster: h.Roster, Marks: h.Marks}
}

// ExchangeFailed reports that an exchange with the peer got no answer.
func (i *Instance) ExchangeFailed(now time.Time, peer string) { i.control.ExchangeFailed(now, peer) }

// HandleHello applies a peer's Hello and returns the answer to it.
func (i *Instance) HandleHello(now time.Time, h control.Hello) control.Answer {
	a := i.control.HandleHello(now, h)
	return control.Answer{Roster: a.Roster, Marks: a.Marks}
}

// ApplyAnswer applies a peer's answer to an exchange.
func (i *Instance) ApplyAnswer(now time.Time, from string, a control.Answer) {
	i.applyConfiguration(now, i.control.ApplyAnswer(now, from, a))
}

// NextSpread returns the peer to compare the configuration with now, and false
// if no comparison is due. SpreadDue returns when to call it again.
func (i *Instance) NextSpread(now time.Time) (roster.Member, bool) { return i.control.NextSpread(now) }

// SpreadDue returns when the next comparison is due.
func (i *Instance) SpreadDue() time.Time { return i.control.SpreadDue() }

// BeginSpread returns the message that begins a comparison.
func (i *Instance) BeginSpread() control.Spread { return i.control.BeginSpread() }

// Compare applies a peer's message in a comparison and returns the answer.
func (i *Instance) Compare(now time.Time, from string, s control.Spread) control.Spread {
	answer, changed := i.control.Compare(now, from, s)
	i.applyConfiguration(now, changed)
	return answer
}

// FinishSpread applies the answer to a comparison. If the peer still lacks
// something, it returns the message for a second comparison and true.
func (i *Instance) FinishSpread(now time.Time, from string, answer control.Spread) (control.Spread, bool) {
	second, again, changed := i.control.FinishSpread(now, from, answer)
	i.applyConfiguration(now, changed)
	return second, again
}

// applyConfiguration gives the configuration in force to the packet core if it
// has changed, and returns changed.
func (i *Instance) applyConfiguration(now time.Time, changed bool) bool {
	if changed {
		i.flows.Adopt(now, i.control.Current())
	}
	return changed
}

// Offer offers a configuration and says whether it came into force. from names
// its source.
func (i *Instance) Offer(now time.Time, c catalogue.Catalogue, from string) bool {
	return i.applyConfiguration(now, i.control.Offer(now, c, from))
}

// SetList applies the platform's list.
func (i *Instance) SetList(now time.Time, entries []listing.Entry) { i.control.SetList(now, entries) }

// ApplyReport applies a backend server's report on itself.
func (i *Instance) ApplyReport(now time.Time, r condition.Report) { i.control.ApplyReport(now, r) }

// Leave begins a planned stop.
func (i *Instance) Leave() { i.control.Leave() }

// FlowTick gives the present members, conditions and time to the packet core,
// and returns its messages to peers. It must be called every flow.TickPeriod.
func (i *Instance) FlowTick(now time.Time) []flow.Envelope {
	var members []flow.Member
	for _, m := range i.control.Reachable(now) {
		members = append(members, flow.Member{Name: m.Name, Leaving: m.Leaving})
	}
	i.flows.SetMembers(now, members)
	i.flows.SetConditions(now, i.control.FlowConditions(now))
	return i.flows.Tick(now)
}

// FlowReceive applies a message of a peer's packet core and returns the answers
// to it.
func (i *Instance) FlowReceive(now time.Time, from string, m flow.Message) []flow.Envelope {
	return i.flows.Receive(now, from, m)
}

// Packet decides where a packet goes.
func (i *Instance) Packet(now time.Time, p flow.Packet) flow.Decision { return i.flows.Decide(now, p) }

// Begin admits a request and returns its first attempt, or the error with which
// it is refused.
func (i *Instance) Begin(now time.Time, r dispatch.Request) (dispatch.Attempt, *verdict.Error) {
	return i.control.Begin(now, r)
}

// Ready returns the decisions on requests whose wait for a slot is over.
func (i *Instance) Ready(now time.Time) []dispatch.Decision { return i.control.Ready(now) }

// Waiting returns how many requests wait for a slot.
func (i *Instance) Waiting() int { return i.control.Waiting() }

// Abandon ends the wait of an attempt for a slot.
func (i *Instance) Abandon(a dispatch.Attempt) bool { return i.control.Abandon(a) }

// Claims returns the tracker of keyed requests.
func (i *Instance) Claims() *claim.Tracker { return i.control.Claims() }

// Complete reports the outcome of an attempt and returns the next attempt, and
// false if the request has ended.
func (i *Instance) Complete(now time.Time, a dispatch.Attempt, o dispatch.Outcome) (dispatch.Attempt, bool) {
	return i.control.Complete(now, a, o)
}

// AddMembers adds other instances to the members, as a peer's Hello does.
func (i *Instance) AddMembers(now time.Time, members []roster.Member) {
	i.control.HandleHello(now, control.Hello{Roster: roster.Message{Members: members}})
}

// HelloSize returns the size in bytes of the encoded members and conditions
// that go to a peer in one exchange.
func (i *Instance) HelloSize() int {
	h := i.Hello(time.Time{}, "")
	return proto.Size(&api.ExchangeRequest{Roster: api.RosterToWire(h.Roster), Marks: api.MarksToWire(h.Marks)})
}

// Package flows measures the forwarding of packets and compares it with
// baselines.
//
// A Fleet is a number of instances in injected time, whose messages arrive at
// once. It drives the production decision cores and hands each packet to an
// instance chosen at random; its backend servers only record which flows began at
// them. Tests of package flow use it as well.
//
// # Usage
//
//	fleet := flows.NewFleet(flows.Config{Seed: 1, NewDesign: flows.Tanagerweir(flow.Options{})})
//	fleet.Open(1_000)
//	fleet.Run(10, flows.Traffic{Packets: 500})
//	fleet.Change(catalogue.PutBackend{Backend: leaving})
//	fmt.Println(fleet.Tally().Broken)
package flows

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tanagerweir/tanagerweir/pkg/connection/flow"
	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
	"github.com/tanagerweir/tanagerweir/service/api"
)

const (
	// Step is the injected time that one step of a fleet takes.
	Step = time.Second

	deathDetectionSteps = 4   // until others take a killed instance for dead
	maxPropagationSteps = 3   // until a change has reached every instance
	briefFlowSteps      = 3   // until a brief flow ends
	brokenAfterSteps    = 30  // without an answer, after which a flow is broken
	messageOverhead     = 120 // bytes of a call and its answer besides the message
	instanceCount       = 9
)

// Design decides about packets on one instance, as flow.Core does.
type Design interface {
	Adopt(now time.Time, next catalogue.Catalogue)
	SetMembers(now time.Time, members []flow.Member)
	SetConditions(now time.Time, conditions []flow.Condition)
	Decide(now time.Time, p flow.Packet) flow.Decision
	Tick(now time.Time) []flow.Envelope
	Receive(now time.Time, from string, m flow.Message) []flow.Envelope
}

// Config describes a fleet.
type Config struct {
	Seed      uint64
	Instances int           // 9 if zero
	Services  []ServicePlan // two services with 15 and 4 backend servers if empty
	// NewDesign returns the design of the instance of that name.
	NewDesign func(name string) Design
}

// ServicePlan is a service and its number of backend servers.
type ServicePlan struct {
	Name     string
	Backends int
}

// Node is one instance of a fleet.
type Node struct {
	Name   string
	Design Design
	// Partition is the network partition that the node is in: messages and passed
	// packets don't cross between nodes with different values.
	Partition int
	// Leaving marks the node as leaving in the member lists of all nodes.
	Leaving bool

	dead      bool
	sentBytes uint64 // control traffic since the last Reset
	diedAt    int    // step
	joinedAt  int    // step
	pending   []pendingCatalogue
}

// pendingCatalogue is a catalogue that reaches a node at a later step.
type pendingCatalogue struct {
	step      int
	catalogue catalogue.Catalogue
}

// Tally counts what happened in a fleet since it started or the last Reset.
type Tally struct {
	// Open counts the flows in Fleet.Flows that haven't ended, broken ones
	// included. Broken flows reached a backend server other than their own or got
	// no answer for too long. GivenUp counts flows lost in this way because their
	// server or data centre was taken away, which Broken leaves out. Misrouted
	// counts packets that went to another service.
	Open, Broken, GivenUp, Misrouted int
	// Packets counts all packets that callers sent, Passed those that went over a
	// second instance, and Dropped those that reached no backend server.
	Packets, Passed, Dropped uint64
	// ControlBytes and Messages count what all nodes together sent to each other.
	ControlBytes, Messages uint64
}

// Fleet drives a number of instances in steps. It isn't safe for concurrent use.
type Fleet struct {
	Nodes []*Node
	// Flows holds every flow opened by Open.
	Flows []*Flow
	// Begun counts flows by the backend server at which they began.
	Begun map[string]int
	// LastPacket is when each backend server last received a packet.
	LastPacket map[string]time.Time

	config      Config
	random      *rand.Rand
	start       time.Time
	step        int
	current     catalogue.Catalogue
	conditions  []flow.Condition
	byName      map[string]*Node
	alive       []*Node // in this step
	tally       Tally
	flowNumber  uint32 // of the newest flow, from which its source address derives
	briefFlows  []*Flow
	lastOutStep map[string]int // the last step at which a data centre was out
}

// Flow is one flow of a fleet.
type Flow struct {
	Key     flow.Key
	Service string
	// Backend is the backend server at which the flow began, empty before.
	Backend         string
	Broken          bool
	GivenUp         bool
	Ended           bool
	unansweredSteps int // without an answer, up to now
	begunAt         int // step
}

// NewFleet returns a fleet whose instances have all adopted the first catalogue.
// Its tally is empty.
func NewFleet(c Config) *Fleet {
	if c.Instances == 0 {
		c.Instances = instanceCount
	}
	if len(c.Services) == 0 {
		c.Services = []ServicePlan{{Name: "board", Backends: 15}, {Name: "ledger", Backends: 4}}
	}
	f := &Fleet{
		config: c, random: rand.New(rand.NewPCG(c.Seed, c.Seed)), start: time.Unix(1_800_000_000, 0),
		byName: make(map[string]*Node), Begun: make(map[string]int),
		LastPacket:  make(map[string]time.Time),
		lastOutStep: make(map[string]int),
	}
	f.current = firstCatalogue(c.Services)
	for n := range c.Instances {
		f.Join(fmt.Sprintf("entry-%d", n+1))
	}
	for range 12 {
		f.advance()
	}
	f.Reset()
	return f
}

// DataCentre returns the name of the n-th data centre of three, counted from 0.
func DataCentre(n int) string { return fmt.Sprintf("dakar-%d", n%3+1) }

func firstCatalogue(services []ServicePlan) catalogue.Catalogue {
	var changes []catalogue.Change
	for n := range 3 {
		d := catalogue.DataCentre{Name: DataCentre(n), State: catalogue.DataCentreIn}
		changes = append(changes, catalogue.PutDataCentre{DataCentre: d})
	}
	for i, s := range services {
		changes = append(changes, catalogue.PutService{Service: catalogue.Service{
			Name: s.Name, Address: Address(i), Protocol: catalogue.TCP,
		}})
		for n := range s.Backends {
			changes = append(changes, catalogue.PutBackend{Backend: Backend(s.Name, n)})
		}
	}
	c, err := catalogue.Catalogue{}.Apply(catalogue.Operation{Identifier: "first"}, changes)
	if err != nil {
		panic(err) // the plan is wrong, not the input of a user
	}
	return c
}

// Address returns the address of the n-th service, counted from 0.
func Address(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(n + 1)}), 443)
}

// Backend returns the n-th backend server of a service, counted from 0. It is
// active, in one of the data centres in turn.
func Backend(service string, n int) catalogue.Backend {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 9)
	return catalogue.Backend{
		Name: fmt.Sprintf("%s-%d", service, n+1), Service: service, DataCentre: DataCentre(n),
		Packets: address, Requests: address, Slots: 3, State: catalogue.BackendActive,
	}
}

// Now returns the injected time.
func (f *Fleet) Now() time.Time { return f.start.Add(time.Duration(f.step) * Step) }

// Catalogue returns the newest catalogue.
func (f *Fleet) Catalogue() catalogue.Catalogue { return f.current }

// Join starts an instance without a catalogue, which it gets within a few steps.
func (f *Fleet) Join(name string) *Node {
	n := &Node{Name: name, Design: f.config.NewDesign(name), joinedAt: f.step}
	f.Nodes = append(f.Nodes, n)
	f.byName[name] = n
	f.scheduleCatalogue(n)
	return n
}

// Kill stops an instance without notice to the others.
func (f *Fleet) Kill(n *Node) {
	n.dead = true
	n.diedAt = f.step
}

// Change applies changes to the catalogue, which reaches each instance after a
// random number of steps. It panics if the changes are invalid.
func (f *Fleet) Change(changes ...catalogue.Change) {
	o := catalogue.Operation{Identifier: fmt.Sprint("change-", f.current.Version())}
	next, err := f.current.Apply(o, changes)
	if err != nil {
		panic(err) // the scenario is wrong, not the input of a user
	}
	f.current = next
	for _, n := range f.Nodes {
		f.scheduleCatalogue(n)
	}
}

// scheduleCatalogue lets the current catalogue reach a node after at most
// maxPropagationSteps.
func (f *Fleet) scheduleCatalogue(n *Node) {
	n.pending = append(n.pending, pendingCatalogue{step: f.step + f.random.IntN(maxPropagationSteps+1), catalogue: f.current})
}

// SetConditions puts conditions of backend servers in force on every instance, in
// place of those before.
func (f *Fleet) SetConditions(conditions ...flow.Condition) {
	f.conditions = conditions
	for _, n := range f.Nodes {
		n.Design.SetConditions(f.Now(), conditions)
	}
}

// Tally returns what has happened since the start or the last Reset.
func (f *Fleet) Tally() Tally {
	t := f.tally
	for _, w := range f.Flows {
		if !w.Ended {
			t.Open++
		}
	}
	return t
}

// Reset sets all counts of the tally to zero.
func (f *Fleet) Reset() {
	f.tally = Tally{}
	for _, n := range f.Nodes {
		n.sentBytes = 0
	}
}

// advance moves the time by one step: instances adopt the catalogues that have
// reached them, see members and conditions, and send their messages.
func (f *Fleet) advance() {
	f.step++
	now := f.Now()
	f.alive = f.alive[:0]
	for _, d := range f.current.DataCentres() {
		if d.State == catalogue.DataCentreOut {
			f.lastOutStep[d.Name] = f.step
		}
	}
	for _, n := range f.Nodes {
		if n.dead {
			continue
		}
		f.alive = append(f.alive, n)
		f.adoptDue(n)
		n.Design.SetMembers(now, f.visibleMembers(n))
		n.Design.SetConditions(now, f.conditions)
	}
	for _, n := range f.alive {
		f.deliver(n, n.Design.Tick(now))
	}
}

// adoptDue lets a node adopt the catalogues that have reached it by now.
func (f *Fleet) adoptDue(n *Node) {
	kept := n.pending[:0]
	for _, p := range n.pending {
		if p.step > f.step {
			kept = append(kept, p)
			continue
		}
		n.Design.Adopt(f.Now(), p.catalogue)
	}
	n.pending = kept
}

// visibleMembers returns the members that a node takes for reachable. It sees new
// ones after one or two steps, depending on its own name, and takes dead ones for
// alive during the first deathDetectionSteps.
func (f *Fleet) visibleMembers(n *Node) []flow.Member {
	var members []flow.Member
	for _, o := range f.Nodes {
		late := o != n && f.step-o.joinedAt < 1+int(n.Name[len(n.Name)-1])%2
		dead := o.dead && f.step-o.diedAt >= deathDetectionSteps
		if !late && !dead && o.Partition == n.Partition {
			members = append(members, flow.Member{Name: o.Name, Leaving: o.Leaving})
		}
	}
	return members
}

// deliver counts messages and delivers them at once, with those that they cause.
func (f *Fleet) deliver(from *Node, envelopes []flow.Envelope) {
	for _, e := range envelopes {
		w := api.FlowMessageToWire(from.Name, e.Message)
		size := uint64(proto.Size(w)) + messageOverhead
		f.tally.ControlBytes += size
		from.sentBytes += size
		f.tally.Messages++
		to, ok := f.byName[e.To]
		if !ok || to.dead || to.Partition != from.Partition {
			continue
		}
		f.deliver(to, to.Design.Receive(f.Now(), from.Name, api.FlowMessageFromWire(w)))
	}
}

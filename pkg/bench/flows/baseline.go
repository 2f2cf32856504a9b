package flows

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tanagerweir/tanagerweir/pkg/connection/flow"
	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
	"github.com/tanagerweir/tanagerweir/pkg/version/health"
	"github.com/tanagerweir/tanagerweir/pkg/version/table"
)

// Names of the baselines in rows.
const (
	// Modulo takes the flow's hash modulo the number of active backend servers.
	Modulo = "Modulo"
	// Rendezvous takes the table's choice for the flow's hash.
	Rendezvous = "RendezvousWithoutState"
	// OnePeer records flows, and sends a record of each new one to one peer.
	OnePeer = "EveryFlowToldToOnePeer"
)

// baseline is a simple design for comparison. It adopts every catalogue at
// once.
type baseline struct {
	kind           string // Modulo, Rendezvous or OnePeer
	name           string // of the instance
	current        catalogue.Catalogue
	conditions     map[string]health.State // by backend server
	table          *table.Table
	activeBackends map[table.Frontend][]catalogue.Backend
	members        []string                 // sorted
	flowBackends   map[uint64]string        // by hash of the flow
	unsent         map[string][]flow.Record // by the peer that gets them at the next tick
	backendNames   map[uint64]string        // by hash of the name, as in records
}

// Baseline returns the constructor of a baseline. kind is Modulo, Rendezvous or
// OnePeer, and the constructor's argument the name of the instance.
func Baseline(kind string) func(string) Design {
	return func(name string) Design {
		return &baseline{
			kind: kind, name: name, table: &table.Table{}, flowBackends: make(map[uint64]string),
			unsent: make(map[string][]flow.Record), backendNames: make(map[uint64]string),
		}
	}
}

func (b *baseline) Adopt(_ time.Time, next catalogue.Catalogue) {
	if next.Version() < b.current.Version() {
		return
	}
	b.current = next
	b.recompute()
}

func (b *baseline) SetConditions(_ time.Time, conditions []flow.Condition) {
	states := make(map[string]health.State, len(conditions))
	changed := len(conditions) != len(b.conditions)
	for _, c := range conditions {
		states[c.Backend] = c.State
		changed = changed || b.conditions[c.Backend] != c.State
	}
	b.conditions = states
	if changed {
		b.recompute()
	}
}

// recompute computes the table and the active backend servers anew. Leaving and
// ejected servers are left out; cold ones count in full.
func (b *baseline) recompute() {
	c := b.current
	for _, v := range b.current.Backends() {
		if s := b.conditions[v.Name]; s == health.Leaving || s == health.Ejected {
			v.State = catalogue.BackendLeaving
			c = c.WithBackend(v)
		}
		b.backendNames[xxhash.Sum64String(v.Name)] = v.Name
	}
	b.table = b.table.Next(c)
	b.activeBackends = make(map[table.Frontend][]catalogue.Backend)
	for _, s := range c.Services() {
		frontend := table.Frontend{Address: s.Address, Protocol: s.Protocol}
		for _, v := range c.Backends() {
			if v.Service == s.Name && v.State == catalogue.BackendActive && c.TakesPart(v.DataCentre) {
				b.activeBackends[frontend] = append(b.activeBackends[frontend], v)
			}
		}
	}
}

func (b *baseline) SetMembers(_ time.Time, members []flow.Member) {
	b.members = b.members[:0]
	for _, m := range members {
		b.members = append(b.members, m.Name)
	}
	slices.Sort(b.members)
}

func (b *baseline) Decide(_ time.Time, p flow.Packet) flow.Decision {
	frontend := table.Frontend{Address: p.Key.Destination, Protocol: p.Key.Protocol}
	hash := table.Mix(p.Key.Hash())
	if b.kind == OnePeer {
		return b.decideWithState(frontend, hash, p)
	}
	return b.decideByHash(frontend, hash)
}

// decideByHash chooses by the flow's hash alone.
func (b *baseline) decideByHash(frontend table.Frontend, hash uint64) flow.Decision {
	if b.kind == Modulo {
		backends := b.activeBackends[frontend]
		if len(backends) == 0 {
			return flow.Decision{Reason: flow.NoBackend}
		}
		return flow.Decision{Action: flow.Forward, Backend: backends[hash%uint64(len(backends))]}
	}
	ring, ok := b.table.Ring(frontend)
	if !ok {
		return flow.Decision{Reason: flow.UnknownAddress}
	}
	v, ok := ring.Backend(hash)
	if !ok {
		return flow.Decision{Reason: flow.NoBackend}
	}
	return flow.Decision{Action: flow.Forward, Backend: v}
}

// decideWithState forwards a known flow to its backend server, and passes other
// packets within a flow to the peer that gets its record.
func (b *baseline) decideWithState(frontend table.Frontend, hash uint64, p flow.Packet) flow.Decision {
	if name, ok := b.flowBackends[hash]; ok && !p.Starts {
		if v, ok := b.current.Backend(name); ok && b.current.TakesPart(v.DataCentre) {
			return flow.Decision{Action: flow.Forward, Reason: flow.ByCache, Backend: v}
		}
	}
	peer := b.recordPeer(hash)
	if !p.Starts && !p.Passed && peer != b.name {
		return flow.Decision{Action: flow.Pass, Owner: peer}
	}
	d := b.decideByHash(frontend, hash)
	if d.Action == flow.Forward {
		b.flowBackends[hash] = d.Backend.Name
		if p.Starts && peer != b.name {
			b.unsent[peer] = append(b.unsent[peer], flow.Record{Fingerprint: hash, Server: xxhash.Sum64String(d.Backend.Name)})
		}
	}
	return d
}

// recordPeer returns the member that gets the record of a flow, by rendezvous
// hashing. It may be this instance.
func (b *baseline) recordPeer(hash uint64) string {
	best, score := b.name, uint64(0)
	for _, m := range b.members {
		if s := table.Mix(xxhash.Sum64String(m) ^ hash); s > score {
			best, score = m, s
		}
	}
	return best
}

func (b *baseline) Tick(time.Time) []flow.Envelope {
	var envelopes []flow.Envelope
	for to, records := range b.unsent {
		envelopes = append(envelopes, flow.Envelope{To: to, Message: flow.Message{Records: records}})
	}
	clear(b.unsent)
	slices.SortFunc(envelopes, func(x, y flow.Envelope) int { return strings.Compare(x.To, y.To) })
	return envelopes
}

func (b *baseline) Receive(_ time.Time, _ string, m flow.Message) []flow.Envelope {
	for _, r := range m.Records {
		b.flowBackends[r.Fingerprint] = b.backendNames[r.Server]
	}
	return nil
}

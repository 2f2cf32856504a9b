package forwarding

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/connection/capacity"
	"github.com/tanagerweir/tanagerweir/pkg/connection/mark"
	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
)

// server is a backend server's entry with what this instance has observed of it.
type server struct {
	directory.Server
	mark mark.Mark
	// missingSince is when the entry left the directory, while missing.
	missingSince time.Duration
	missing      bool
	// usableUntil is the time until which a missing server gets new flows, as its
	// entry may only be missing because of an outage.
	usableUntil time.Duration
	// coldUntil is when the server has warmed up, and coldSent when this instance
	// last sent it a new flow before that.
	coldUntil, coldSent time.Duration
	// coldByEntry says that coldUntil is from the entry.
	coldByEntry bool
	restart     restart
	// sends says whether this instance is one of sendersCount that send to the server while
	// it is cold, as of a generation of the registered instances.
	sends                           bool
	sendersCount, sendersGeneration int
	observed                        observations
	// observedSince is when this instance began to observe the server.
	observedSince time.Duration
	health        capacity.Server
	// state is the state as of the last event, and silentAt when it last became Silent.
	state    ServerState
	silentAt time.Duration
	// distance is how far the server is from this instance on the ring of its service and
	// data centre, from 0 to 1, see assignAffinity.
	distance float64
	// group holds the servers of the same service and data centre, nil for a server without
	// service.
	group *centreServers
}

// registry holds the backend servers that marks can name.
type registry struct {
	byMark    map[mark.Mark]*server
	byService map[string][]*server
	// ranks holds the order in which the servers of each service are considered for new flows,
	// see rankServers.
	ranks map[string][]*centreServers
	// groups holds the same by data centre and service.
	groups map[centreService]*centreServers
	// sorted holds all servers ordered by identifier, so that the same inputs give
	// the same decisions, and events in the same order.
	sorted []*server
	// services are the names of the services with servers, sorted.
	services []string
	// generation counts the changes of the lists.
	generation int
}

// rank is a server, its place in the list of its service, and the lowest score that it can have.
type rank struct {
	server *server
	index  int
	least  float64
}

// centreServers are the servers of one service in one data centre.
type centreServers struct {
	dataCentre string
	key        centreService
	// reported is the load that the data centre reports, if it is another one, and own what is
	// known of the service's slots in the own data centre.
	reported reportedLoad
	own      *ownSlots
	ranks    []rank
	// slots is the largest number of slots of a server.
	slots int
	// meanOthers is the mean of others.running over the servers, and common the load, in
	// requests a slot, that each of them has at least because of it.
	meanOthers, common float64
}

// averageOthers sets meanOthers.
func (g *centreServers) averageOthers() {
	sum := 0.0
	for _, k := range g.ranks {
		sum += k.server.observed.others.running
	}
	g.meanOthers = sum / float64(len(g.ranks))
}

func newRegistry() registry {
	return registry{byMark: make(map[mark.Mark]*server), byService: make(map[string][]*server), ranks: make(map[string][]*centreServers)}
}

// Adopt replaces the directory by a newer one.
func (c *Core) Adopt(now time.Duration, d directory.Directory) {
	c.markCold(now, d)
	if c.outageUntil(now) {
		// The first update after an outage, which arrives before its confirmation.
		c.outageEnded = now
	}
	c.noteEra(now, d)
	changed := false
	d.Differences(c.directory, func(before, after *directory.Server) {
		if after == nil {
			c.markMissing(now, before.ID)
			changed = true
			return
		}
		if before != nil && before.Service != after.Service {
			changed = true
			if v := c.servers.byMark[mark.Of(after.ID)]; v != nil && v.ID == after.ID {
				// The health was compared with servers of another service.
				v.health = capacity.Server{}
			}
		}
		changed = changed || before == nil || before.DataCentre != after.DataCentre
		if v := c.servers.update(now, mark.Of(after.ID), *after); v != nil {
			// The server was restarted: its earlier flows are gone.
			c.flows.removeServer(v)
			v.observed, v.observedSince, v.health = observations{}, now, capacity.Server{}
			c.settle(now, v, EntryChanged, now)
			v.restart.runFrom, v.restart.runTo = 0, 0
		}
	})
	before := c.directory.Version()
	c.directory = d
	c.senders.stale = true
	c.configureAdmission(before)
	if changed {
		c.servers.index()
	}
	c.assignAffinity()
}

// markMissing records that the directory lacks a backend server from now on.
func (c *Core) markMissing(now time.Duration, id string) {
	v := c.servers.byMark[mark.Of(id)]
	if v == nil || v.ID != id || v.missing {
		return // unknown, missing already, or another server has its mark
	}
	v.missing, v.missingSince, v.usableUntil = true, now, now
	if !v.Draining && c.outageEnded > 0 && !c.outageEndedByRestoration() {
		v.usableUntil = max(now, c.outageEnded+graceAfterOutage)
	}
}

// markCold marks the backend servers of data centres that are taken in again as
// cold, until their entries say otherwise: they may have been restarted meanwhile.
func (c *Core) markCold(now time.Duration, next directory.Directory) {
	for _, v := range c.servers.byMark {
		if !c.directory.Evacuated(v.DataCentre) || next.Evacuated(v.DataCentre) {
			continue
		}
		if service, ok := next.Service(v.Service); ok {
			v.coldUntil, v.coldByEntry = max(v.coldUntil, now+service.ColdFor), false
		}
	}
}

// update applies a backend server's entry. It returns the server if it was
// restarted under its identifier, otherwise nil.
func (r *registry) update(now time.Duration, m mark.Mark, d directory.Server) (restarted *server) {
	v, known := r.byMark[m]
	if !known {
		v = &server{mark: m, observedSince: now}
		r.byMark[m] = v
	}
	if v.ID != "" && v.ID != d.ID {
		// Two identifiers have the same mark. The first keeps it; the other gets no
		// flows, as their packets couldn't be distinguished later.
		return nil
	}
	if d.Revision != v.Revision || d.Era != v.Era || v.missing {
		v.coldUntil, v.coldByEntry = now+d.ColdLeft, d.ColdLeft > 0
	}
	if known && d.StartedMillis != v.StartedMillis {
		restarted = v
	}
	v.Server, v.missing = d, false
	return restarted
}

// index rebuilds the sorted list of servers, and the lists by service of those
// that may get new flows.
func (r *registry) index() {
	clear(r.byService)
	r.sorted = r.sorted[:0]
	for _, v := range r.byMark {
		r.sorted = append(r.sorted, v)
	}
	slices.SortFunc(r.sorted, func(a, b *server) int { return strings.Compare(a.ID, b.ID) })
	for _, v := range r.sorted {
		if !v.missing || v.usableUntil > v.missingSince {
			r.byService[v.Service] = append(r.byService[v.Service], v)
		}
	}
	r.services = slices.Sorted(maps.Keys(r.byService))
	r.generation++
}

// expire removes backend servers that have been missing for longer than maxFlow,
// the longest life of a flow, and reports whether there were any.
func (r *registry) expire(now, maxFlow time.Duration) bool {
	before := len(r.byMark)
	for m, v := range r.byMark {
		if v.missing && now-v.missingSince > maxFlow {
			delete(r.byMark, m)
		}
	}
	if len(r.byMark) == before {
		return false
	}
	r.index()
	return true
}

package forwarding

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tanagerweir/tanagerweir/pkg/connection/mechanism"
)

const (
	// maxCentreLoads bounds the services in one message to other data centres, which takes some
	// 8 bytes for each.
	maxCentreLoads = 8
	// centreLoadMaxAge is how long a load that another data centre reported counts: an instance gets
	// about one message a second from each other data centre.
	centreLoadMaxAge = 3 * time.Second
	// reportWeight is the weight of the latest message in a data centre's load: senders see
	// different parts of it.
	reportWeight = 0.5
	// sparePart is the part of another data centre's free slots that flows of this one may take.
	// The rest is for its own callers, whose number varies within the second until it reports.
	sparePart = 0.7
	// settleTime is the time after the own slots were all taken from which on what others report
	// counts: in a crowd of all data centres each would otherwise take the others for idle until
	// their next message. The averages in a message reach half of a step in 0.3 s.
	settleTime = 300 * time.Millisecond
	// fullEnded is the load at which the own slots count as free again.
	fullEnded = 0.8
	// shortLoad is the load of a data centre that sends flows to others too, which have to share
	// what is spare.
	shortLoad = 1.0
)

// CentreLoad is the load of one service's backend servers in a data centre, as far as that data
// centre's instances cause it.
type CentreLoad struct {
	// Service is the hash of the service's name, and Load the running requests for each slot.
	Service uint32
	Load    float64
}

// reportedLoad is the load that another data centre reported, at a time.
type reportedLoad struct {
	at   time.Duration
	load float64
}

// ownSlots is what is known of a service's slots in the own data centre.
type ownSlots struct {
	// fullSince is since when all are taken, 0 if they aren't, and leaving says that callers count
	// on free slots elsewhere since.
	fullSince time.Duration
	leaving   bool
}

// centreService names a service in a data centre.
type centreService struct {
	dataCentre string
	service    uint32
}

func hashOfService(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// counts reports whether the load is recent enough to count, and from after the time at which the
// slots of the own data centre were taken.
func (l reportedLoad) counts(now time.Duration, own ownSlots) bool {
	return l.at > 0 && now-l.at <= centreLoadMaxAge && (own.fullSince == 0 || l.at >= own.fullSince+settleTime)
}

// reports reports whether the load that the group's data centre reported counts.
func (g *centreServers) reports(now time.Duration) bool { return g.reported.counts(now, *g.own) }

// updateFull notes since when the slots of the own data centre are all taken.
func (c *Core) updateFull(now time.Duration) {
	for _, service := range c.servers.services {
		g := c.servers.ranks[service][0]
		if g.dataCentre != c.options.DataCentre {
			continue
		}
		slots, running := c.sumLoad(now, g)
		own := g.own
		if own.fullSince == 0 {
			if running > slots {
				own.fullSince = now
			}
			continue
		}
		spare, _ := c.spareElsewhere(now, service)
		e := SpillEvent{Service: service, Slots: slots, Running: running, Spare: spare, FullFor: now - own.fullSince}
		switch {
		case running < fullEnded*slots:
			if own.leaving {
				c.addSpillEvent(e)
			}
			own.fullSince, own.leaving = 0, false
		case !own.leaving && running > slots && spare > 0:
			own.leaving, e.Began = true, true
			c.addSpillEvent(e)
		}
	}
}

// SpillEvent is the begin or the end of a time in which callers count on free slots of other data
// centres, as those of the own one are taken.
type SpillEvent struct {
	Service string
	Began   bool
	// Slots are those of the own data centre, and Running the requests that its instances have
	// there. Spare is how many of its requests fit into free slots elsewhere.
	Slots, Running, Spare float64
	// FullFor is how long the own slots are or were taken.
	FullFor time.Duration
}

// maxSpillEvents bounds the events that wait for a call of SpillEvents; later ones are lost.
const maxSpillEvents = 64

func (c *Core) addSpillEvent(e SpillEvent) {
	if len(c.spillEvents) < maxSpillEvents {
		c.spillEvents = append(c.spillEvents, e)
	}
}

// SpillEvents returns the events since the last call, oldest first.
func (c *Core) SpillEvents() []SpillEvent {
	events := c.spillEvents
	c.spillEvents = nil
	return events
}

// CentreLoads returns the loads of this data centre for instances of others, those of the
// busiest services if there are too many.
func (c *Core) CentreLoads(now time.Duration) []CentreLoad {
	type busy struct {
		CentreLoad
		running float64
	}
	var all []busy
	for _, service := range c.servers.services {
		g := c.servers.ranks[service][0]
		if g.dataCentre != c.options.DataCentre {
			continue
		}
		if slots, running := c.sumLoad(now, g); slots > 0 {
			all = append(all, busy{CentreLoad{Service: g.key.service, Load: max(running, 0) / slots}, running})
		}
	}
	if len(all) > maxCentreLoads {
		slices.SortStableFunc(all, func(a, b busy) int { return cmp.Compare(b.running, a.running) })
		all = all[:maxCentreLoads]
	}
	loads := make([]CentreLoad, len(all))
	for i, b := range all {
		loads[i] = b.CentreLoad
	}
	return loads
}

// sumLoad returns the slots of a group's servers that take flows, and what this data centre's
// instances have running there.
func (c *Core) sumLoad(now time.Duration, g *centreServers) (slots, running float64) {
	for _, k := range g.ranks {
		if v := k.server; c.takesFlows(now, v) {
			slots += float64(v.capacity())
			running += c.running(v) - float64(v.observed.stale)
		}
	}
	return slots, running
}

// takesFlows reports whether as many flows may go to the server as it has slots for.
func (c *Core) takesFlows(now time.Duration, v *server) bool {
	return c.warm(now, v) && v.capacity() > 0 && !c.suspected(now, v)
}

// ReceiveCentreLoads applies what an instance of another data centre reports of the loads there.
func (c *Core) ReceiveCentreLoads(now time.Duration, dataCentre string, loads []CentreLoad) {
	for _, l := range loads {
		g, ok := c.servers.groups[centreService{dataCentre, l.Service}]
		switch {
		case !ok || now <= g.reported.at:
		case !g.reports(now):
			g.reported = reportedLoad{at: now, load: l.Load}
		default:
			g.reported = reportedLoad{at: now, load: g.reported.load + reportWeight*(l.Load-g.reported.load)}
		}
	}
}

// spareElsewhere returns how many requests of this data centre's callers fit into free slots of
// others, by what these report, and how many of them run there.
func (c *Core) spareElsewhere(now time.Duration, service string) (spare, running float64) {
	if c.options.Off.Has(mechanism.SpareElsewhere) {
		return 0, 0
	}
	short := 1.0
	for _, g := range c.servers.ranks[service] {
		if g.dataCentre == c.options.DataCentre || !g.reports(now) || c.reachOf(g.dataCentre).lost {
			continue
		}
		if g.reported.load >= shortLoad {
			short++
		}
		slots, ours := c.sumLoad(now, g)
		spare += sparePart * slots * max(1-g.reported.load, 0)
		running += ours
	}
	return spare / short, running
}

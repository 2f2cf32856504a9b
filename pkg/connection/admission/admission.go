// Package admission decides which opening packets may go to a service's backend servers
// while callers ask for more than the servers can carry.
//
// It is made for some seconds of 2 to 20 times the load that the servers of a service
// can carry, in short requests of which a part is more urgent, with callers that retry
// at once when they are rejected. The servers' queues are then full: nearly all answers
// are late, and urgent requests are shed like the others.
//
// A service is short while clearly more requests run for an instance than its share of what
// the servers take, or while the queueing delay, by which answers take longer than at idle
// servers, is too long. As many requests may run for the instance then as keep that delay at
// its aim, those of the most urgent classes first. Of the class that fits only in part,
// those callers are admitted whose hash lies in a window that moves through the hash's range,
// so that a rejected caller's retries are rejected too.
//
// # Usage
//
//	core := admission.New(admission.Options{LongestStarvation: 5 * time.Second})
//	core.Configure([]admission.Route{{Service: "board", Endpoint: route, Target: target}})
//	if !core.Admit(now, "board", route, caller) {
//		reset(packet)
//	}
//	core.Answered(now, "board", route, waited, true)
//	core.Tick(now) // each 0.1 s
//
// Times are readings of a monotonic clock with any starting point. A Core does no I/O,
// starts no goroutine and is not safe for concurrent use.
package admission

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tanagerweir/tanagerweir/pkg/connection/mechanism"
)

// DefaultLongestStarvation is LongestStarvation where none is set.
const DefaultLongestStarvation = 5 * time.Second

// maxEvents bounds the events that wait for a call of Events; later ones are lost.
const maxEvents = 64

// Options are the settings of a Core.
type Options struct {
	// LongestStarvation is the time in which the window of admitted callers moves
	// once through the range of the hash; 0 stands for DefaultLongestStarvation.
	LongestStarvation time.Duration
	// Epoch is the wall-clock time at which the monotonic clock read 0, since the Unix
	// epoch. Instances whose clocks agree admit the same callers.
	Epoch time.Duration
	// Off are the mechanisms that are switched off.
	Off mechanism.Set
}

// Route is what admission knows about one route and one of its services.
type Route struct {
	Service  string
	Endpoint netip.AddrPort
	// Target is the longest time in which an answer counts as on time, 0 for none.
	Target time.Duration
	// Priority is 0 for the most important requests.
	Priority int
}

// Event is the begin or the end of a shortage, with the numbers that decided.
type Event struct {
	Service string
	// Short is true at the begin.
	Short bool
	// Wait is the queueing delay, and Limit the longest allowed.
	Wait, Limit time.Duration
	// Asked, Admitted and Answered are requests a second at this instance, and Failed
	// the part of the latest attempts at servers that were shed or didn't open.
	Asked, Admitted, Answered, Failed float64
	// Lasted is how long the shortage lasted, at its end.
	Lasted time.Duration
}

// Count is what was asked of a service by requests of one priority, since the start.
type Count struct {
	Service  string
	Priority int
	// Asked, Admitted and Refused count opening packets without their copies.
	Asked, Admitted, Refused uint64
	// Wait is the present queueing delay of the service.
	Wait time.Duration
}

// Core decides for all services of one instance.
type Core struct {
	options  Options
	services map[string]*service
	sorted   []*service
	byHash   map[uint32]*service
	events   []Event
}

// New returns a Core without routes; it admits everything until Configure.
func New(o Options) *Core {
	if o.LongestStarvation <= 0 {
		o.LongestStarvation = DefaultLongestStarvation
	}
	return &Core{options: o, services: make(map[string]*service), byHash: make(map[uint32]*service)}
}

// Configure replaces the routes. Services whose routes name no target admit everything.
// What was learnt of the other services stays.
func (c *Core) Configure(routes []Route) {
	byService := make(map[string][]Route)
	for _, r := range routes {
		byService[r.Service] = append(byService[r.Service], r)
	}
	before := c.services
	c.services = make(map[string]*service, len(byService))
	c.sorted, c.byHash = nil, make(map[uint32]*service, len(byService))
	for _, name := range slices.Sorted(maps.Keys(byService)) {
		target := shortestTarget(byService[name])
		if target == 0 {
			continue
		}
		s, ok := before[name]
		if !ok {
			s = newService(name, c.options.Off)
		}
		s.configure(target, byService[name])
		c.services[name], c.byHash[s.hash] = s, s
		c.sorted = append(c.sorted, s)
	}
	for _, name := range slices.Sorted(maps.Keys(before)) {
		if s := before[name]; s.short && c.services[name] == nil {
			s.short = false
			c.addEvent(s.event())
		}
	}
}

// shortestTarget returns the shortest target of the routes, 0 if none has one.
func shortestTarget(routes []Route) time.Duration {
	var shortest time.Duration
	for _, r := range routes {
		if r.Target > 0 && (shortest == 0 || r.Target < shortest) {
			shortest = r.Target
		}
	}
	return shortest
}

// Admit reports whether the first opening packet of a flow may go to the service's
// servers, and counts it. Copies of opening packets aren't asked about: their flow was
// admitted, as a rejected caller sends none.
func (c *Core) Admit(now time.Duration, serviceName string, route netip.AddrPort, caller netip.Addr) bool {
	s, ok := c.services[serviceName]
	if !ok {
		return true
	}
	r, ok := s.routes[route]
	if !ok {
		return true
	}
	admitted := s.admit(r.class, func() float64 { return c.position(now, caller) })
	if admitted {
		c.checkOnset(now, s)
	}
	return admitted
}

// position returns where in the moving range, 0 to 1, the caller is. The callers below
// the admitted fraction are admitted.
func (c *Core) position(now time.Duration, caller netip.Addr) float64 {
	address := caller.As16()
	point := float64(xxhash.Sum64(address[:])>>11) / (1 << 53)
	turn := (now + c.options.Epoch) % c.options.LongestStarvation
	point -= float64(turn) / float64(c.options.LongestStarvation)
	if point < 0 {
		point++
	}
	return point
}

// Answered records that the first request of a flow was answered, so long after it was
// sent. Later requests say nothing of where new flows go.
// An answer that isn't good, such as a short error response, shows no queueing delay.
func (c *Core) Answered(now time.Duration, serviceName string, route netip.AddrPort, waited time.Duration, good bool) {
	s, ok := c.services[serviceName]
	if !ok {
		return
	}
	r, ok := s.routes[route]
	if !ok {
		return
	}
	s.answered(r, waited, good)
	c.checkOnset(now, s)
}

// Opened records that a flow was opened, so long after its opening packet.
func (c *Core) Opened(serviceName string, took time.Duration) {
	if s, ok := c.services[serviceName]; ok {
		s.opened(took)
	}
}

// Unopened records that an opening packet went to a server of the service and no further
// packet of its flow followed.
func (c *Core) Unopened(now time.Duration, serviceName string) {
	if s, ok := c.services[serviceName]; ok {
		s.window.failed++
		c.checkOnset(now, s)
	}
}

// Load is what is known of the load of a service's usable servers.
type Load struct {
	// Capacity is how many requests they carry at once, and Running how many they have.
	Capacity, Running float64
	// Own is how many of all requests run for this instance, and Instances the number of
	// instances that send to the servers, this one included.
	Own, Instances int
}

// SetLoad records the load of a service. Call it before each Tick.
func (c *Core) SetLoad(serviceName string, l Load) {
	if s, ok := c.services[serviceName]; ok {
		s.setLoad(l)
	}
}

// Tick adapts the admitted rates; call it each 0.1 s.
func (c *Core) Tick(now time.Duration) {
	for _, s := range c.sorted {
		if event, changed := s.tick(now); changed {
			c.addEvent(event)
		}
	}
}

// Short reports whether a service is short of capacity, so that requests may be refused.
func (c *Core) Short(serviceName string) bool {
	s, ok := c.services[serviceName]
	return ok && s.short
}

func (c *Core) checkOnset(now time.Duration, s *service) {
	if event, begun := s.checkOnset(now); begun {
		c.addEvent(event)
	}
}

func (c *Core) addEvent(e Event) {
	if len(c.events) < maxEvents {
		c.events = append(c.events, e)
	}
}

// Events returns the begins and ends of shortages since the last call, oldest first.
func (c *Core) Events() []Event {
	events := c.events
	c.events = nil
	return events
}

// Counts returns the counts of all services that were asked for, ordered by service and
// priority.
func (c *Core) Counts() []Count {
	var counts []Count
	for _, s := range c.sorted {
		for i := range s.classes {
			if k := &s.classes[i]; k.asked > 0 {
				counts = append(counts, Count{
					Service: s.name, Priority: k.priority, Asked: k.asked, Admitted: k.asked - k.refused, Refused: k.refused, Wait: s.wait,
				})
			}
		}
	}
	return counts
}

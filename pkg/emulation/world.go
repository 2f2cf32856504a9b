package emulation

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/connection/admission"
	"github.com/tanagerweir/tanagerweir/pkg/connection/segment"
	"github.com/tanagerweir/tanagerweir/pkg/emulation/day"
	"github.com/tanagerweir/tanagerweir/pkg/emulation/timeline"
	"github.com/tanagerweir/tanagerweir/pkg/process/entry"
)

// Streams of random numbers. Each purpose has its own, so that the load is the same
// for each design. Each data centre's callers use two streams from callerStream on,
// so it must be the last.
const (
	worldStream = iota + 1
	networkStream
	storeStream
	operatorStream
	faultStream
	callerStream
)

const (
	// packetPort is where instances get packets from callers and routers, and
	// peerPort where they get messages from other instances.
	packetPort, peerPort = 8172, 7720
	// seedCount is how many instances an instance knows from its settings when it
	// starts.
	seedCount = 3
	// maxMissedHeartbeats is how many heartbeats a backend server may miss before
	// its entry lapses.
	maxMissedHeartbeats = 3
	// lapseCheckPeriod is how often the store looks for lapsed entries.
	lapseCheckPeriod = 100 * time.Millisecond
	// flowCheckPeriod is how often backend servers look for flows to expire.
	flowCheckPeriod = time.Second
)

// world is one emulated deployment: the instances and the models around them.
// Everything in it runs on the goroutine that calls run.
type world struct {
	day      day.Day
	seed     uint64
	policy   day.Policy
	platform Platform
	// withoutAdmission lets instances admit all new flows.
	withoutAdmission bool
	log              io.Writer
	clock            *timeline.Timeline
	random           *rand.Rand
	faultRandom      *rand.Rand
	network          *network
	store            *store
	operator         *operator
	routers          routers
	checker          *checker
	tally            *tally

	instances     []*instance
	byPeerAddress map[netip.AddrPort]*instance
	servers       []*server
	byEndpoint    map[netip.AddrPort]*server
	byID          map[string]*server
	callers       []*callerGroup
	routes        map[string]netip.AddrPort
	attemptCount  uint64
	// openingsSent counts the opening packets, by the instance that sent them and
	// the backend server that they were sent to.
	openingsSent map[instanceAndServer]int
	// serverAddresses is how many addresses were assigned to backend servers.
	serverAddresses int
	// allReturnedAt holds the times at which instances could start again after all
	// of them were lost together.
	allReturnedAt []time.Duration
	// injectedFaults describes the faults that were injected so far, one line each.
	injectedFaults []string
	err            error
}

// trafficStart returns the virtual time of the first request.
func (w *world) trafficStart() time.Duration { return w.day.Warmup }

func (w *world) fail(err error) {
	if w.err == nil {
		w.err = err
	}
}

func (w *world) newRandom(n uint64) *rand.Rand { return rand.New(rand.NewPCG(w.seed, n)) }

func newWorld(d day.Day, o Options) *world {
	w := &world{
		day: d, seed: o.Seed, policy: o.Policy, platform: o.Platform, log: o.Log, withoutAdmission: o.WithoutAdmission, clock: timeline.New(),
		byPeerAddress: make(map[netip.AddrPort]*instance), byEndpoint: make(map[netip.AddrPort]*server), byID: make(map[string]*server),
		routes: make(map[string]netip.AddrPort), openingsSent: make(map[instanceAndServer]int),
	}
	w.random, w.faultRandom = w.newRandom(worldStream), w.newRandom(faultStream)
	w.network = &network{clock: w.clock, random: w.newRandom(networkStream), links: d.Links}
	w.store = &store{
		node: node{role: storeRole, name: "store", disturbedUntil: beforeDay}, clock: w.clock, network: w.network, random: w.newRandom(storeStream),
		settings: d.Store, keys: w.platform.NewKeys(d.Store.PageKeys), refused: make(map[string]refusal), leaseEnds: make(map[uint64]time.Duration),
	}
	w.operator = &operator{world: w, random: w.newRandom(operatorStream), servicesOfRoute: make(map[netip.AddrPort]map[string]bool), addedIn: make(map[netip.AddrPort]version), evacuatedAt: make(map[string]time.Duration)}
	w.checker = &checker{world: w, runs: make(map[*request]int)}
	w.tally = newTally(w)
	for n, c := range d.Classes {
		w.routes[c.Name] = routeOf(n)
	}
	w.build()
	return w
}

// build creates the callers, instances and backend servers that the day begins with.
func (w *world) build() {
	for n, c := range w.day.DataCentres {
		w.callers = append(w.callers, &callerGroup{
			node: node{role: callerRole, name: "callers-" + c.Name, centre: c.Name, disturbedUntil: beforeDay}, world: w, load: c,
			arrivals: w.newRandom(callerStream + 2*uint64(n)), random: w.newRandom(callerStream + 2*uint64(n) + 1), rateFactor: 1, port: 1024,
		})
		for range c.Users {
			w.callers[n].users = append(w.callers[n].users, &user{})
		}
		for k := range c.Instances + c.Spare {
			w.addInstance(n, k, k < c.Instances)
		}
	}
	for _, s := range w.day.Services {
		for n, count := range s.Servers {
			for range count {
				w.addServer(s, w.day.DataCentres[n].Name, w.newEndpoint(), false)
			}
		}
	}
}

func (w *world) addInstance(centre, number int, deployed bool) {
	c := w.day.DataCentres[centre]
	ip := netip.AddrFrom4([4]byte{10, 1, byte(centre), byte(number + 1)})
	i := &instance{
		node:  node{role: instanceRole, name: fmt.Sprintf("%s-entry-%d", c.Name, number+1), centre: c.Name, disturbedUntil: beforeDay, bytesPerSecond: c.Megabits * 1e6 / 8},
		world: w, packetEndpoint: netip.AddrPortFrom(ip, packetPort), peerEndpoint: netip.AddrPortFrom(ip, peerPort), cores: c.Cores,
		number: number, deployed: deployed, failedProbes: maxFailedProbes,
	}
	w.instances = append(w.instances, i)
	w.byPeerAddress[i.peerEndpoint] = i
}

// newEndpoint returns an endpoint that no backend server had before.
func (w *world) newEndpoint() netip.AddrPort {
	w.serverAddresses++
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(w.serverAddresses >> 8), byte(w.serverAddresses)}), 8080)
}

// addServer creates and starts a backend server with a random identifier.
func (w *world) addServer(s day.Service, centre string, endpoint netip.AddrPort, cold bool) {
	number := w.random.Uint64N(1<<40-1) + 1
	v := &server{
		node:  node{role: serverRole, name: "i-" + strconv.FormatUint(number, 16), centre: centre, disturbedUntil: beforeDay},
		world: w, service: s, id: "i-" + strconv.FormatUint(number, 16), number: number, endpoint: endpoint,
	}
	w.servers = append(w.servers, v)
	w.byEndpoint[endpoint], w.byID[v.id] = v, v
	w.startServer(v, cold)
}

// startServer starts a backend server's process, which has no flows at first.
func (w *world) startServer(v *server, cold bool) {
	v.listening, v.dark, v.draining, v.flows = true, false, false, make(map[segment.Flow]*serverFlow)
	v.startedAt, v.leaveKnownAt, v.coldUntil, v.coldFlowTimes = w.clock.Now()+w.day.Warmup, 0, 0, nil
	if cold {
		v.coldUntil = w.clock.Now() + v.service.ColdFor
	}
	v.startHeartbeats()
	if cold {
		// The entry has to show that the server has warmed up.
		w.clock.At(v.coldUntil, v.writeEntry)
	}
}

// instanceOptions returns the options with which an instance starts its current
// boot.
func (w *world) instanceOptions(i *instance) entry.Options {
	o := w.platform.Options(i.transport)
	o.Name, o.DataCentre, o.Packets, o.Peers = i.name, i.centre, i.packetEndpoint, i.peerEndpoint
	for _, other := range w.instances[:min(seedCount, len(w.instances))] {
		o.Seeds = append(o.Seeds, other.peerEndpoint)
	}
	b := w.day.Bounds
	o.MaxFlow, o.ColdFactor, o.ColdSlack = b.MaxFlow, b.ColdFactor, b.ColdSlack
	o.ChangeBound = min(b.Configuration, b.Drain)
	o.Seed = w.seed<<16 + uint64(slices.Index(w.instances, i))<<8 + uint64(i.boot)
	o.LinkBytesPerSecond = i.bytesPerSecond
	o.Health.Enabled = w.day.Health
	if w.policy.Holds(i.number) {
		o.Off, o.Policy = w.policy.Off, w.placementOf(w.policy.Design, i)
	}
	o.Logger = w.logger(i)
	if !w.withoutAdmission {
		o.Admission = &admission.Options{Epoch: i.startedAt}
	}
	return o
}

// epoch is the time of day at which every emulated day begins.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// logger returns a logger for the instance that stamps records with virtual time.
func (w *world) logger(i *instance) *slog.Logger {
	if w.log == nil {
		return slog.New(slog.DiscardHandler)
	}
	stamp := func(_ []string, a slog.Attr) slog.Attr {
		if a.Key == slog.TimeKey {
			return slog.Time(slog.TimeKey, epoch.Add(w.clock.Now()))
		}
		return a
	}
	return slog.New(slog.NewJSONHandler(w.log, &slog.HandlerOptions{ReplaceAttr: stamp})).With("Instance", i.name)
}

// run emulates the day to its end, checks the last promises and ends all processes.
func (w *world) run() {
	w.operator.writeConfiguration(w.operator.firstConfiguration(), func() {})
	for _, i := range w.instances {
		w.startProbes(i)
		if i.deployed {
			w.clock.After(w.startSpread(), i.start)
		}
	}
	w.updateRotations()
	w.every(lapseCheckPeriod, w.removeLapsedEntries)
	w.prepareRestorations()
	w.every(flowCheckPeriod, func() {
		for _, v := range w.servers {
			v.expireFlows(w.clock.Now())
		}
	})
	w.clock.At(w.trafficStart(), func() {
		for _, c := range w.callers {
			c.scheduleRequests()
		}
	})
	for _, f := range w.day.Faults {
		w.clock.At(w.trafficStart()+f.At, func() { w.inject(f) })
	}
	w.clock.Run(w.trafficStart() + w.day.Length + w.longestBudget())
	w.checker.checkRecovery()
	for _, i := range w.instances {
		i.kill()
	}
	w.clock.Run(w.clock.Now())
	w.clock.Close()
}

// startSpread draws a random delay for the start of an instance.
func (w *world) startSpread() time.Duration {
	if w.day.Instances.StartSpread == 0 {
		return 0
	}
	return time.Duration(w.random.Int64N(int64(w.day.Instances.StartSpread)))
}

func (w *world) every(period time.Duration, do func()) {
	var next func()
	next = func() {
		do()
		w.clock.After(period, next)
	}
	w.clock.After(period, next)
}

func (w *world) longestBudget() time.Duration {
	longest := time.Duration(0)
	for _, c := range w.day.Classes {
		longest = max(longest, c.Budget)
	}
	return longest
}

// removeLapsedEntries removes the entries of backend servers that missed too many
// heartbeats. Entries don't lapse while the store is down, unless the fault says so.
func (w *world) removeLapsedEntries() {
	if w.store.down && !w.store.lapseWhileDown {
		return
	}
	for _, v := range w.servers {
		if v.hasEntry && w.clock.Now()-v.lastWriteAt > maxMissedHeartbeats*w.day.Store.Heartbeat {
			v.removeEntry()
		}
	}
}

func (w *world) centreIndex(name string) int {
	return slices.IndexFunc(w.day.DataCentres, func(c day.DataCentre) bool { return c.Name == name })
}

// drawClass draws the class of a request by the classes' shares.
func (w *world) drawClass(r *rand.Rand) *day.Class {
	total := 0.0
	for _, c := range w.day.Classes {
		total += c.Share
	}
	point := r.Float64() * total
	for n := range w.day.Classes {
		if point -= w.day.Classes[n].Share; point < 0 {
			return &w.day.Classes[n]
		}
	}
	return &w.day.Classes[0]
}

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

	"github.com/tanagerweir/tanagerweir/pkg/connection/segment"
	"github.com/tanagerweir/tanagerweir/pkg/emulation/day"
	"github.com/tanagerweir/tanagerweir/pkg/emulation/timeline"
	"github.com/tanagerweir/tanagerweir/pkg/process/entry"
)

// Streams of random numbers, so that the load is the same for each design.
const (
	worldStream = iota + 1
	networkStream
	storeStream
	operatorStream
	faultStream
	callerStream
)

const (
	// packetPort is where callers and routers send, peerPort where instances do.
	packetPort, peerPort = 8172, 7720
	// seeds is how many instances a new one is told of.
	seeds = 3
	// entryMisses is after how many heartbeats of silence an entry lapses.
	entryMisses = 3
	// lapsePoll is how often the store looks for entries that lapse.
	lapsePoll = 100 * time.Millisecond
	// expirePoll is how often backend servers look for flows to forget.
	expirePoll = time.Second
)

// world is one emulated deployment.
type world struct {
	day      day.Day
	seed     uint64
	design   Design
	platform Platform
	log      io.Writer
	line     *timeline.Timeline
	random   *rand.Rand
	faults   *rand.Rand
	network  *network
	store    *store
	operator *operator
	routers  routers
	judge    *judge
	tally    *tally

	instances  []*instance
	byPeers    map[netip.AddrPort]*instance
	servers    []*server
	byEndpoint map[netip.AddrPort]*server
	byID       map[string]*server
	callers    []*callers
	routes     map[string]netip.AddrPort
	attempts   uint64
	// sent counts the opening packets that instances sent to backend servers.
	sent map[sentKey]int
	// hosts numbers the addresses of backend servers.
	hosts int
	// losses are when all instances were back after they were lost together.
	losses []time.Duration
	// told are the faults that happened.
	told []string
	err  error
}

// trafficFrom is when the first request is asked.
func (w *world) trafficFrom() time.Duration { return w.day.Warmup }

func (w *world) fail(err error) {
	if w.err == nil {
		w.err = err
	}
}

func (w *world) stream(n uint64) *rand.Rand { return rand.New(rand.NewPCG(w.seed, n)) }

func newWorld(d day.Day, o Options) *world {
	w := &world{
		day: d, seed: o.Seed, design: o.Design, platform: o.Platform, log: o.Log, line: timeline.New(),
		byPeers: make(map[netip.AddrPort]*instance), byEndpoint: make(map[netip.AddrPort]*server), byID: make(map[string]*server),
		routes: make(map[string]netip.AddrPort), sent: make(map[sentKey]int),
	}
	w.random, w.faults = w.stream(worldStream), w.stream(faultStream)
	w.network = &network{line: w.line, random: w.stream(networkStream), links: d.Links}
	w.store = &store{
		place: place{role: storeRole, name: "store", calm: never}, line: w.line, network: w.network, random: w.stream(storeStream),
		settings: d.Store, keys: w.platform.NewKeys(d.Store.PageKeys), refused: make(map[string]refusal), leases: make(map[uint64]time.Duration),
	}
	w.operator = &operator{world: w, random: w.stream(operatorStream), led: make(map[netip.AddrPort]map[string]bool), out: make(map[string]time.Duration)}
	w.judge = &judge{world: w, ranOf: make(map[*request]int)}
	w.tally = newTally(w)
	for n, c := range d.Classes {
		w.routes[c.Name] = routeOf(n)
	}
	w.build()
	return w
}

// build places everything that a day begins with.
func (w *world) build() {
	for n, c := range w.day.DataCentres {
		w.callers = append(w.callers, &callers{
			place: place{role: callerRole, name: "callers-" + c.Name, centre: c.Name, calm: never}, world: w, load: c,
			arrivals: w.stream(callerStream + 2*uint64(n)), random: w.stream(callerStream + 2*uint64(n) + 1), factor: 1, port: 1024,
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

func (w *world) addInstance(centre, number int, present bool) {
	c := w.day.DataCentres[centre]
	ip := netip.AddrFrom4([4]byte{10, 1, byte(centre), byte(number + 1)})
	i := &instance{
		place: place{role: instanceRole, name: fmt.Sprintf("%s-entry-%d", c.Name, number+1), centre: c.Name, calm: never, bytesPerSecond: c.Megabits * 1e6 / 8},
		world: w, packets: netip.AddrPortFrom(ip, packetPort), peers: netip.AddrPortFrom(ip, peerPort), cores: c.Cores,
		present: present, misses: missesOut,
	}
	w.instances = append(w.instances, i)
	w.byPeers[i.peers] = i
}

// newEndpoint returns an address that no backend server had before.
func (w *world) newEndpoint() netip.AddrPort {
	w.hosts++
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(w.hosts >> 8), byte(w.hosts)}), 8080)
}

// addServer starts a backend server at an address.
func (w *world) addServer(s day.Service, centre string, at netip.AddrPort, cold bool) {
	number := w.random.Uint64N(1<<40-1) + 1
	v := &server{
		place: place{role: serverRole, name: "i-" + strconv.FormatUint(number, 16), centre: centre, calm: never},
		world: w, service: s, id: "i-" + strconv.FormatUint(number, 16), number: number, endpoint: at,
	}
	w.servers = append(w.servers, v)
	w.byEndpoint[at], w.byID[v.id] = v, v
	w.boot(v, cold)
}

// boot starts a backend server's process.
func (w *world) boot(v *server, cold bool) {
	v.listening, v.dark, v.draining, v.flows = true, false, false, make(map[segment.Flow]*serverFlow)
	v.born, v.leftAt, v.coldUntil, v.opened = w.line.Now()+w.day.Warmup, 0, 0, nil
	if cold {
		v.coldUntil = w.line.Now() + v.service.ColdFor
	}
	v.run()
	if cold {
		// The entry changes when the server has warmed up.
		w.line.At(v.coldUntil, v.write)
	}
}

// options are those of an instance.
func (w *world) options(i *instance) entry.Options {
	o := w.platform.Options(i.transport)
	o.Name, o.DataCentre, o.Packets, o.Peers = i.name, i.centre, i.packets, i.peers
	for _, other := range w.instances[:min(seeds, len(w.instances))] {
		o.Seeds = append(o.Seeds, other.peers)
	}
	b := w.day.Bounds
	o.MaxFlow, o.ColdFactor, o.ColdSlack = b.MaxFlow, b.ColdFactor, b.ColdSlack
	o.Seed = w.seed<<16 + uint64(slices.Index(w.instances, i))<<8 + uint64(i.boot)
	o.Policy = w.design.policy(w, i)
	o.Logger = w.logger(i)
	return o
}

// epoch is the time of day at which emulated days begin.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// logger writes the instance's log with virtual times.
func (w *world) logger(i *instance) *slog.Logger {
	if w.log == nil {
		return slog.New(slog.DiscardHandler)
	}
	stamp := func(_ []string, a slog.Attr) slog.Attr {
		if a.Key == slog.TimeKey {
			return slog.Time(slog.TimeKey, epoch.Add(w.line.Now()))
		}
		return a
	}
	return slog.New(slog.NewJSONHandler(w.log, &slog.HandlerOptions{ReplaceAttr: stamp})).With("Instance", i.name)
}

// run plays the day.
func (w *world) run() {
	w.operator.configure(w.operator.first(), func() {})
	for _, i := range w.instances {
		w.probe(i)
		if i.present {
			w.line.After(w.startSpread(), i.start)
		}
	}
	w.rotate()
	w.every(lapsePoll, w.lapse)
	w.every(expirePoll, func() {
		for _, v := range w.servers {
			v.expire(w.line.Now())
		}
	})
	w.line.At(w.trafficFrom(), func() {
		for _, c := range w.callers {
			c.ask()
		}
	})
	for _, f := range w.day.Faults {
		w.line.At(w.trafficFrom()+f.At, func() { w.inject(f) })
	}
	w.line.Run(w.trafficFrom() + w.day.Length + w.longestBudget())
	w.judge.recovered()
	for _, i := range w.instances {
		i.kill()
	}
	w.line.Run(w.line.Now())
	w.line.Close()
}

// startSpread draws how much later than others an instance starts.
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
		w.line.After(period, next)
	}
	w.line.After(period, next)
}

func (w *world) longestBudget() time.Duration {
	longest := time.Duration(0)
	for _, c := range w.day.Classes {
		longest = max(longest, c.Budget)
	}
	return longest
}

// lapse removes the entries of backend servers that have been silent.
func (w *world) lapse() {
	if w.store.down && !w.store.lapse {
		return
	}
	for _, v := range w.servers {
		if v.stored && w.line.Now()-v.beat > entryMisses*w.day.Store.Heartbeat {
			v.remove()
		}
	}
}

func (w *world) centreIndex(name string) int {
	return slices.IndexFunc(w.day.DataCentres, func(c day.DataCentre) bool { return c.Name == name })
}

// drawClass draws the class of a request.
func (w *world) drawClass(r *rand.Rand) *day.Class {
	total := 0.0
	for _, c := range w.day.Classes {
		total += c.Share
	}
	at := r.Float64() * total
	for n := range w.day.Classes {
		if at -= w.day.Classes[n].Share; at < 0 {
			return &w.day.Classes[n]
		}
	}
	return &w.day.Classes[0]
}

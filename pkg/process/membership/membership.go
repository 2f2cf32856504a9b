// Package membership keeps one instance's view of the other instances, and decides
// whether it reads the platform's store for them.
//
// One instance, the follower, watches the store and sends changes to all others of
// its data centre and to some of each other data centre, which relay them. Any
// instance whose replica hasn't been confirmed as the newest for a while starts to
// follow too, and of two followers that read the store and reach each other the one with the
// higher rank stops. So replicas stay fresh wherever any instance reaches the store, and no
// consensus is needed: two followers at once only cost more calls to the store. A follower
// counts only by what it receives from the store itself, not by what others tell it. One
// whose replica is of an older era of the store, and so may be cut off from it, counts as none.
//
// # Usage
//
//	core := membership.New(self, seeds, seed)
//	core.SetRegistered(now, registered)
//	core.ReceiveHello(now, hello, current)
//	core.Confirm(now)
//	if core.UpdateFollowing(now) {
//		watch()
//	}
//	for _, to := range core.PeriodPeers(limit) {
//		send(to, hello)
//	}
//
// A Core does no I/O and is not safe for concurrent use.
package membership

import (
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tanagerweir/tanagerweir/pkg/clock"
)

const (
	// StaleAfter is how long a replica may go unconfirmed before its instance
	// follows the store itself: a follower confirms every 0.8 s and sends that
	// within 0.25 s, and in another data centre it is relayed once or twice. The
	// users' rules allow 3 s for a change to take effect.
	StaleAfter = 1700 * time.Millisecond
	// staleJitter spreads instances whose replicas become stale at the same time.
	staleJitter = 400 * time.Millisecond
	// startupAfter and startupJitter bound how old the replica of an instance that
	// knows of no follower may become before it follows. If there is a follower, an
	// instance learns of it in the first period of 0.25 s. After all instances have
	// restarted, a backend server that restarts isn't known to be cold until one of
	// them follows.
	startupAfter  = 300 * time.Millisecond
	startupJitter = 300 * time.Millisecond
	// maxTransfer is how long other instances wait for a follower that is receiving a
	// large change: then they follow too, in case their links are faster. A
	// configuration of 400 KB takes 1.7 s on a link of 2 Mbit/s.
	maxTransfer = 5 * time.Second
	// readReserve is the part of the time in which a change has to take effect that is left
	// when they stop to wait: they check each 0.1 s whether they have to follow, read the
	// change and send it to the others.
	readReserve = 800 * time.Millisecond
	// aliveFor is how long an instance counts as alive after its last hello.
	aliveFor = 5 * time.Second
	// followerFanout is how many instances a follower sends its state to in one
	// period of 0.25 s: with messages of some 80 bytes it stays below 3 KB/s. The
	// others get it indirectly.
	followerFanout = 9
	// gossipDelayStep is the additional time that a confirmation takes for each
	// doubling of a data centre beyond gossipDelayFrom instances; up to that many get
	// it directly.
	gossipDelayStep = 150 * time.Millisecond
	gossipDelayFrom = 8
	// otherCentrePeriod is the number of periods between two messages to other data
	// centres.
	otherCentrePeriod = 2
	// relaysPerCentre is how many instances of each other data centre a follower
	// sends changes to.
	relaysPerCentre = 2
)

// Member is one instance.
type Member struct {
	Name       string
	DataCentre string
	// Endpoint receives UDP messages and HTTP fetches of other instances.
	Endpoint netip.AddrPort
}

// Hello is the state that an instance sends to its peers.
type Hello struct {
	From Member
	// Era and Revision are the position of the sender's replica. Revision is 0 if it has
	// none, and Era if it is unknown.
	Era, Revision uint64
	// ConfirmedAge is how long ago the sender's replica was known to be the newest, never
	// if nobody has said so since the sender's start. Confirmation identifies the response of
	// the store that confirmed it.
	ConfirmedAge clock.Age
	Confirmation Source
	// EarlyRevision is the revision of the latest change that the sender's replica has
	// beyond Revision, 0 if it has none.
	EarlyRevision uint64
	// Following is set if the sender follows the store.
	Following bool
	// Follower is the name of the follower with the lowest rank that the sender knows, which
	// may be the sender, empty for none. FollowerAge is how long ago that one received
	// something from the store, which Reading identifies.
	Follower    string
	FollowerAge clock.Age
	Reading     Source
	// Leaving is set if the sender is shutting down.
	Leaving bool
}

type peer struct {
	member    Member
	lastHello time.Duration
	// active is set if the peer sent a hello and its last one wasn't leaving.
	active bool
}

// Core is one instance's view of the other instances. See New. Times are counted
// from the start of the instance.
type Core struct {
	self Member
	// rank is the hash of the name: of two followers, the one with the higher rank
	// stops.
	rank  uint64
	peers map[string]*peer
	// byCentre holds the peers of each data centre, ordered by name, and centres the names of
	// the other data centres, sorted. Both are nil while they have to be built anew.
	byCentre map[string][]*peer
	centres  []string
	seeds    []netip.AddrPort
	random   *rand.Rand
	// confirmed is when the replica was last known to be the newest, by the response that
	// confirmation identifies, and confirmedBy the name of the instance that said so.
	confirmed    clock.Time
	confirmation Source
	confirmedBy  string
	// followAfter is StaleAfter with this instance's share of staleJitter, and
	// startupRandom its share of startupJitter.
	followAfter   time.Duration
	startupRandom time.Duration
	// maxWait is how old a confirmation may become while a follower is receiving something.
	maxWait   time.Duration
	following bool
	// followingSince is when this instance began to follow, and ownReading when it last
	// received something from the store.
	followingSince time.Duration
	ownReading     clock.Time
	// start identifies this start of the instance. confirmations counts the responses of the
	// store that it got, and readings these and their parts.
	start                   uint32
	confirmations, readings uint32
	// heardConfirmations and heardReadings hold the latest ones of all instances.
	heardConfirmations, heardReadings heard
	// periods counts the periods in which messages were sent.
	periods int
	// follower is the name of the known follower with the lowest rank, which may be this
	// instance, empty if there was none yet. read is when it last received something from the
	// store, which reading identifies, and readBy the name of the instance that said so.
	follower, readBy string
	read             clock.Time
	reading          Source
	// era is the era of the replica, see SetEra, and followerEra the highest of the hellos
	// that named the follower.
	era, followerEra uint64
}

// New returns the view of an instance that knows no other instances but the seeds,
// which may no longer exist. The last argument seeds its random stream.
func New(self Member, seeds []netip.AddrPort, seed uint64) *Core {
	r := rand.New(rand.NewPCG(seed, seed))
	c := &Core{
		self: self, rank: rankOf(self.Name), peers: make(map[string]*peer), random: r,
		followAfter:        StaleAfter + time.Duration(r.Int64N(int64(staleJitter))),
		maxWait:            maxTransfer,
		startupRandom:      time.Duration(r.Int64N(int64(startupJitter))),
		start:              newStart(self.Name, seed),
		heardConfirmations: make(heard), heardReadings: make(heard),
	}
	c.SetSeeds(seeds)
	return c
}

// SetBound sets in which time a change has to take effect at all instances. Those that reach
// the store don't wait for a slow follower for longer than that allows. 0 stands for no bound.
func (c *Core) SetBound(bound time.Duration) {
	c.maxWait = maxTransfer
	if bound > 0 {
		c.maxWait = min(maxTransfer, bound-readReserve)
	}
}

// SetSeeds replaces the endpoints that are contacted while no instance is known. The
// own endpoint is left out.
func (c *Core) SetSeeds(seeds []netip.AddrPort) {
	c.seeds = slices.DeleteFunc(slices.Clone(seeds), func(s netip.AddrPort) bool { return s == c.self.Endpoint })
}

func rankOf(name string) uint64 { return xxhash.Sum64String(name) }

// SetRegistered sets the instances that are registered in the store. Other instances
// are forgotten once they have sent no hello for aliveFor.
// The list is ordered by name.
func (c *Core) SetRegistered(now time.Duration, registered []Member) {
	for _, m := range registered {
		if m.Name != c.self.Name {
			c.addPeer(m)
		}
	}
	for name, p := range c.peers {
		if now-p.lastHello <= aliveFor {
			continue
		}
		if _, found := slices.BinarySearchFunc(registered, name, func(m Member, name string) int { return strings.Compare(m.Name, name) }); !found {
			delete(c.peers, name)
			c.byCentre = nil
		}
	}
}

func (c *Core) addPeer(m Member) *peer {
	p, ok := c.peers[m.Name]
	if !ok {
		p = &peer{}
		c.peers[m.Name] = p
	}
	if p.member != m {
		p.member = m
		c.byCentre = nil
	}
	return p
}

// sortPeers builds the lists by data centre. Each period and each follower's change needs them,
// and in large fleets sorting all peers each time takes most of an instance's time.
func (c *Core) sortPeers() {
	if c.byCentre != nil {
		return
	}
	c.byCentre = make(map[string][]*peer)
	for _, p := range c.peers {
		c.byCentre[p.member.DataCentre] = append(c.byCentre[p.member.DataCentre], p)
	}
	c.centres = nil
	for centre, peers := range c.byCentre {
		slices.SortFunc(peers, func(a, b *peer) int { return strings.Compare(a.member.Name, b.member.Name) })
		if centre != c.self.DataCentre {
			c.centres = append(c.centres, centre)
		}
	}
	slices.Sort(c.centres)
}

// SetEra sets the era of this instance's replica, which only grows. A follower that is
// only known from hellos of older eras counts as not seen: it may be cut off from the
// restored store. Its name stays, as MaxConfirmedAge is short only until any follower is
// known.
func (c *Core) SetEra(era uint64) {
	if era <= c.era {
		return
	}
	c.era = era
	if c.followerEra < era {
		c.read = clock.Time{}
	}
}

// ReceiveHello handles the hello of another instance. Current says that this
// instance's replica has the sender's revision or a later one of the same era, so that
// the sender's confirmation holds for it too. A hello of an older era only shows that the
// sender is alive: its follower may be cut off from the restored store.
func (c *Core) ReceiveHello(now time.Duration, h Hello, current bool) {
	if h.From.Name == c.self.Name {
		return
	}
	p := c.addPeer(h.From)
	p.lastHello, p.active = now, !h.Leaving
	if h.Era < c.era {
		return
	}
	confirmed := c.heardConfirmations.place(now, h.Confirmation, h.ConfirmedAge)
	if current {
		c.confirm(confirmed, h.Confirmation, h.From.Name)
	}
	if h.Follower == "" || h.Follower == c.self.Name || h.Leaving && h.Follower == h.From.Name {
		return
	}
	read := c.heardReadings.place(now, h.Reading, h.FollowerAge)
	c.recordReading(now, h, read)
	if c.following && c.yields(now, h.Follower, read) {
		c.following = false
	}
}

// recordReading records that the follower of a hello received something from the store at a
// time. Of several followers only the one with the lowest rank is kept, unless it hasn't read
// the store for StaleAfter.
func (c *Core) recordReading(now time.Duration, h Hello, at clock.Time) {
	known := h.Follower == c.follower
	switch {
	case !at.Known() || known && c.read.NotBefore(at.Or(0)):
		return
	case known:
		c.followerEra = max(c.followerEra, h.Era)
	case !at.Age(now).AtMost(StaleAfter):
		return
	case c.read.Age(now).AtMost(StaleAfter) && rankOf(h.Follower) > rankOf(c.follower):
		return
	default:
		c.follower, c.followerEra = h.Follower, h.Era
	}
	c.read, c.reading, c.readBy = at, h.Reading, h.From.Name
}

// yields reports whether this instance stops following since another one follows that read the
// store at that time: lately, and its rank is lower, or this instance hasn't read it for long.
// A follower that is cut off from the store reads nothing, so that nobody stops for it. One that
// receives a change slowly confirms nothing meanwhile, so that those whose replica is stale go on.
func (c *Core) yields(now time.Duration, follower string, read clock.Time) bool {
	if !read.Age(now).AtMost(StaleAfter) || !c.ConfirmedAge(now).AtMost(StaleAfter) {
		return false
	}
	readsNothing := now-c.followingSince > StaleAfter && !c.ownReading.Age(now).AtMost(StaleAfter)
	return rankOf(follower) < c.rank || readsNothing
}

// Confirm records that this instance's replica was the newest at the given time, as the
// store said. Earlier times than the known one have no effect.
func (c *Core) Confirm(at time.Duration) {
	c.confirmations++
	own := Source{Start: c.start, Number: c.confirmations}
	c.confirm(c.heardConfirmations.place(at, own, clock.Ago(0)), own, c.self.Name)
	c.Progress(at)
}

func (c *Core) confirm(at clock.Time, source Source, by string) {
	if latest := c.confirmed.Latest(at); latest != c.confirmed {
		c.confirmed, c.confirmation, c.confirmedBy = latest, source, by
	}
}

// Progress records that this instance was receiving something from the store at the given
// time. It counts only while this instance follows: one that reads all keys at its start gives
// that up once it gets them from another, and what it has received by then is lost.
func (c *Core) Progress(at time.Duration) {
	if c.following {
		c.readings++
		own := Source{Start: c.start, Number: c.readings}
		c.ownReading = c.ownReading.Latest(c.heardReadings.place(at, own, clock.Ago(0)))
		c.recordReading(at, Hello{From: c.self, Era: c.era, Follower: c.self.Name, Reading: own}, c.ownReading)
	}
}

// ReadAge returns how long ago the known follower received something from the store.
func (c *Core) ReadAge(now time.Duration) clock.Age { return c.read.Age(now) }

// Confirmed returns when the replica was last known to be the newest.
func (c *Core) Confirmed() clock.Time { return c.confirmed }

// ConfirmedAge returns how long ago that was.
func (c *Core) ConfirmedAge(now time.Duration) clock.Age { return c.confirmed.Age(now) }

// MaxConfirmedAge returns how old the replica's confirmation may be before this
// instance follows the store. It grows with the size of data centres.
func (c *Core) MaxConfirmedAge() time.Duration {
	c.sortPeers()
	peersPerCentre := uint(len(c.peers)) / uint(len(c.centres)+1)
	doublings := bits.Len(peersPerCentre / gossipDelayFrom)
	if c.follower == "" {
		return startupAfter + c.startupRandom<<doublings
	}
	return c.followAfter + time.Duration(doublings)*gossipDelayStep
}

// UpdateFollowing reports whether this instance has to follow the store. It starts to
// follow when the replica's confirmation has become too old, unless a follower is
// receiving a change. An instance whose replica was never confirmed waits from its start on.
func (c *Core) UpdateFollowing(now time.Duration) bool {
	age := c.ConfirmedAge(now).Or(now)
	if age <= c.maxWait {
		age = min(age, c.ReadAge(now).Or(age))
	}
	if !c.following && age > c.MaxConfirmedAge() {
		c.following, c.followingSince = true, now
	}
	return c.following
}

// Hello returns this instance's state for its peers. Revision, EarlyRevision and
// Leaving are left for the caller to set; Era is that of SetEra.
func (c *Core) Hello(now time.Duration) Hello {
	h := Hello{From: c.self, Era: c.era, ConfirmedAge: c.ConfirmedAge(now), Confirmation: c.confirmation, Following: c.following}
	if age := c.ReadAge(now); age.AtMost(StaleAfter) {
		h.Follower, h.FollowerAge, h.Reading = c.follower, age, c.reading
	}
	return h
}

// Following reports whether this instance follows the store, without starting to.
func (c *Core) Following() bool { return c.following }

// Follower returns the name of the known follower with the lowest rank, which may be this
// instance; it is empty for none.
func (c *Core) Follower() string { return c.follower }

// ReadBy returns the name of the instance by whose word the follower's last reading is known,
// empty for none.
func (c *Core) ReadBy() string { return c.readBy }

// ConfirmedBy returns the name of the instance by whose word the replica was last confirmed,
// empty for none.
func (c *Core) ConfirmedBy() string { return c.confirmedBy }

// DataCentrePeers returns the endpoints of all known other instances of the own data
// centre, some of which may have ended.
func (c *Core) DataCentrePeers() []netip.AddrPort { return c.endpoints(c.self.DataCentre) }

// AliveCount returns how many other instances of the own data centre are alive: they
// sent a hello within aliveFor and aren't leaving.
func (c *Core) AliveCount(now time.Duration) int {
	c.sortPeers()
	alive := 0
	for _, p := range c.byCentre[c.self.DataCentre] {
		if p.alive(now) {
			alive++
		}
	}
	return alive
}

const (
	// askedPeers is how many instances of the own data centre are asked about a
	// backend server: half of the 98 that the largest deployment has in one.
	askedPeers = 48
	// askedElsewhere is how many instances of another data centre are asked: one may
	// have ended, and one message may be lost.
	askedElsewhere = 3
)

// AskedPeers returns the endpoints of living instances of a data centre that are asked
// about a backend server.
func (c *Core) AskedPeers(now time.Duration, dataCentre string) []netip.AddrPort {
	c.sortPeers()
	var alive []netip.AddrPort
	for _, p := range c.byCentre[dataCentre] {
		if p.alive(now) {
			alive = append(alive, p.member.Endpoint)
		}
	}
	if dataCentre == c.self.DataCentre {
		return c.sample(alive, askedPeers)
	}
	if len(alive) == 0 {
		alive = c.endpoints(dataCentre)
	}
	return c.sample(alive, askedElsewhere)
}

// alive reports whether the peer sent a hello within aliveFor and isn't leaving.
func (p *peer) alive(now time.Duration) bool { return p.active && now-p.lastHello <= aliveFor }

// PeriodPeers returns the endpoints for the messages of one period, and is called once
// in each: at most limit instances of the own data centre, and every otherCentrePeriod
// one of another. A follower gets up to followerFanout of the endpoints for changes
// instead, and an instance that knows no others gets the seeds, which the caller must
// not change.
func (c *Core) PeriodPeers(limit int) []netip.AddrPort {
	c.periods++
	if len(c.peers) == 0 {
		return c.seeds
	}
	if c.following {
		return c.sample(c.PushTargets(), followerFanout)
	}
	peers := c.sample(c.DataCentrePeers(), limit)
	if c.periods%otherCentrePeriod != 0 {
		return peers
	}
	var others []netip.AddrPort
	for _, centre := range c.centres {
		others = append(others, c.endpoints(centre)...)
	}
	return append(peers, c.sample(others, 1)...)
}

// PushTargets returns the endpoints to which a follower sends changes: all of its
// data centre, and relaysPerCentre of each other one, which relay them.
func (c *Core) PushTargets() []netip.AddrPort {
	endpoints := c.DataCentrePeers()
	for _, centre := range c.centres {
		endpoints = append(endpoints, c.sample(c.endpoints(centre), relaysPerCentre)...)
	}
	return endpoints
}

// sample returns up to n random endpoints. It reorders the slice.
func (c *Core) sample(from []netip.AddrPort, n int) []netip.AddrPort {
	c.random.Shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
	return from[:min(n, len(from))]
}

// endpoints returns the endpoints of the peers of a data centre, in order of their names.
func (c *Core) endpoints(dataCentre string) []netip.AddrPort {
	c.sortPeers()
	peers := c.byCentre[dataCentre]
	endpoints := make([]netip.AddrPort, len(peers))
	for i, p := range peers {
		endpoints[i] = p.member.Endpoint
	}
	return endpoints
}

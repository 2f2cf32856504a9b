// Package membership keeps one instance's view of the others, and decides which
// of them read the platform's store for all.
//
// One instance follows the store and tells all others of its data centre and some
// of each other one, which pass it on. Any instance whose copy hasn't been
// confirmed for a while begins to follow, and of two that follow and hear each
// other the one with the higher rank stops. So a copy stays fresh wherever anyone
// reaches the store, and no agreement is needed: two followers at once only cost
// calls.
//
// # Usage
//
//	core := membership.New(self, seeds, seed)
//	core.Know(now, registered)
//	core.Hear(now, hello, current)
//	core.Confirm(now)
//	if core.Follows(now) {
//		watch()
//	}
//	for _, to := range core.Peers(limit) {
//		send(to, hello)
//	}
//
// A Core does no I/O and is not safe for use from several goroutines.
package membership

import (
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// StaleAfter is how long a copy may go unconfirmed until its holder follows
	// the store itself: a follower confirms every 0.8 s, tells it in 0.25 s, and
	// in another data centre it is passed on once or twice. Rules leave 3 s for a
	// change to take effect.
	StaleAfter = 1700 * time.Millisecond
	// staleSpread parts the instances that find their copies stale at once.
	staleSpread = 400 * time.Millisecond
	// firstAfter and firstSpread bound how old the copy of an instance that never
	// heard of a follower may be until it follows: where one follows, an instance
	// hears of it in the first period of 0.25 s. A backend server that starts anew
	// after all instances did is not known to be cold before.
	firstAfter  = 300 * time.Millisecond
	firstSpread = 300 * time.Millisecond
	// yieldAge is the oldest word of another follower for which one makes way.
	yieldAge = 1500 * time.Millisecond
	// heardFor is how long an instance counts as alive after its last word.
	heardFor = 5 * time.Second
	// followerFan is how many instances a follower tells in one period of 0.25 s:
	// with words of some 70 bytes it stays below 3 KB/s. The rest hear of it from
	// others.
	followerFan = 10
	// spreadStep is the time that a confirmation takes for each doubling of a data
	// centre beyond spreadFrom instances, which hear of it at once.
	spreadStep = 150 * time.Millisecond
	spreadFrom = 8
	// awayEvery is one in how many periods a word goes to another data centre.
	awayEvery = 2
	// relays is how many instances of each other data centre a follower tells.
	relays = 2
)

// Member is one instance.
type Member struct {
	Name       string
	DataCentre string
	// Endpoint takes datagrams and streams from other instances.
	Endpoint netip.AddrPort
}

// Hello is what an instance says of itself.
type Hello struct {
	From     Member
	Revision uint64
	// ConfirmedAge is how long ago its copy was known to be the newest.
	ConfirmedAge time.Duration
	// Following says that it reads the store itself.
	Following bool
	// Follower is the one of the lowest rank that it knows to follow, empty for
	// none, and FollowerAge how long ago that one said so.
	Follower    string
	FollowerAge time.Duration
	Leaving     bool
}

type peer struct {
	member Member
	heard  time.Duration
	// present says that it was heard and didn't say that it leaves.
	present bool
}

// Core is one instance's view. See New.
type Core struct {
	self      Member
	rank      uint64
	peers     map[string]*peer
	seeds     []netip.AddrPort
	random    *rand.Rand
	confirmed time.Duration
	patience  time.Duration
	first     time.Duration
	following bool
	periods   int
	// follower is the other follower of the lowest rank that was heard of, and
	// said when it said so.
	follower string
	said     time.Duration
}

// New returns the view of an instance that knows only some endpoints, which may
// be gone.
func New(self Member, seeds []netip.AddrPort, seed uint64) *Core {
	r := rand.New(rand.NewPCG(seed, seed))
	c := &Core{
		self: self, rank: rankOf(self.Name), peers: make(map[string]*peer), random: r,
		patience: StaleAfter + time.Duration(r.Int64N(int64(staleSpread))),
		first:    time.Duration(r.Int64N(int64(firstSpread))),
	}
	c.Seed(seeds)
	return c
}

// Seed replaces the endpoints that are asked while no instance is known.
func (c *Core) Seed(seeds []netip.AddrPort) {
	c.seeds = slices.DeleteFunc(slices.Clone(seeds), func(s netip.AddrPort) bool { return s == c.self.Endpoint })
}

func rankOf(name string) uint64 { return xxhash.Sum64String(name) }

// Know takes the instances that are registered. Others are forgotten once they
// are silent.
func (c *Core) Know(now time.Duration, registered []Member) {
	named := make(map[string]bool, len(registered))
	for _, m := range registered {
		named[m.Name] = true
		if m.Name != c.self.Name {
			c.learn(m)
		}
	}
	for name, p := range c.peers {
		if !named[name] && now-p.heard > heardFor {
			delete(c.peers, name)
		}
	}
}

func (c *Core) learn(m Member) *peer {
	p, ok := c.peers[m.Name]
	if !ok {
		p = &peer{}
		c.peers[m.Name] = p
	}
	p.member = m
	return p
}

// Hear takes another instance's word. Current says that the own copy is at the
// sender's revision or a later one.
func (c *Core) Hear(now time.Duration, h Hello, current bool) {
	if h.From.Name == c.self.Name {
		return
	}
	p := c.learn(h.From)
	p.heard, p.present = now, !h.Leaving
	if current {
		c.confirmed = max(c.confirmed, now-h.ConfirmedAge)
	}
	if h.Following && !h.Leaving && h.ConfirmedAge <= yieldAge {
		c.note(now, h.From.Name, now)
	}
	if h.Follower != "" {
		c.note(now, h.Follower, now-h.FollowerAge)
	}
	if c.following && c.follower != "" && rankOf(c.follower) < c.rank && now-c.said <= yieldAge {
		c.following = false
	}
}

// note remembers another follower, the one of the lowest rank that spoke lately.
func (c *Core) note(now time.Duration, name string, said time.Duration) {
	switch {
	case name == c.self.Name || now-said > yieldAge:
	case name == c.follower:
		c.said = max(c.said, said)
	case c.follower == "" || now-c.said > yieldAge || rankOf(name) < rankOf(c.follower):
		c.follower, c.said = name, said
	}
}

// Confirm notes that the instance's copy was the newest at that time.
func (c *Core) Confirm(at time.Duration) { c.confirmed = max(c.confirmed, at) }

// ConfirmedAge returns how long ago the copy was known to be the newest.
func (c *Core) ConfirmedAge(now time.Duration) time.Duration { return now - c.confirmed }

// Patience returns how old a confirmation may be until the instance follows.
func (c *Core) Patience() time.Duration {
	size := uint(len(c.peers)) / uint(len(c.centres())+1)
	doublings := bits.Len(size / spreadFrom)
	if c.follower == "" {
		return firstAfter + c.first<<doublings
	}
	return c.patience + time.Duration(doublings)*spreadStep
}

// Follows says whether the instance is to follow the store.
func (c *Core) Follows(now time.Duration) bool {
	if !c.following && c.ConfirmedAge(now) > c.Patience() {
		c.following = true
	}
	return c.following
}

// Hello returns what the instance says of itself, but for its revision and
// whether it leaves.
func (c *Core) Hello(now time.Duration) Hello {
	h := Hello{From: c.self, ConfirmedAge: c.ConfirmedAge(now), Following: c.following}
	if c.follower != "" && now-c.said <= yieldAge {
		h.Follower, h.FollowerAge = c.follower, now-c.said
	}
	return h
}

// Following says what Follows said last.
func (c *Core) Following() bool { return c.following }

// Follower returns the name of another instance that follows, empty for none.
func (c *Core) Follower() string { return c.follower }

// Near returns the endpoints of all instances of the own data centre that may be
// alive.
func (c *Core) Near() []netip.AddrPort {
	return c.endpoints(func(p *peer) bool { return p.member.DataCentre == c.self.DataCentre })
}

// Alive returns how many other instances of the own data centre were heard
// lately.
func (c *Core) Alive(now time.Duration) int {
	alive := 0
	for _, p := range c.peers {
		if p.member.DataCentre == c.self.DataCentre && p.present && now-p.heard <= heardFor {
			alive++
		}
	}
	return alive
}

// Peers returns whom to tell in this period: at most limit instances of the own
// data centre and now and then one elsewhere, and some of those that Told returns
// while the instance follows. Until it knows others it asks the seeds.
func (c *Core) Peers(limit int) []netip.AddrPort {
	c.periods++
	if len(c.peers) == 0 {
		return c.seeds
	}
	if c.following {
		return c.draw(c.Told(), followerFan)
	}
	near := c.draw(c.Near(), limit)
	if c.periods%awayEvery != 0 {
		return near
	}
	away := c.endpoints(func(p *peer) bool { return p.member.DataCentre != c.self.DataCentre })
	return append(near, c.draw(away, 1)...)
}

// Told returns whom a follower tells what is new: its data centre, and instances
// of each other one that pass it on.
func (c *Core) Told() []netip.AddrPort {
	told := c.Near()
	for _, centre := range c.centres() {
		there := c.endpoints(func(p *peer) bool { return p.member.DataCentre == centre })
		told = append(told, c.draw(there, relays)...)
	}
	return told
}

// centres returns the other data centres, sorted.
func (c *Core) centres() []string {
	var centres []string
	for _, p := range c.peers {
		if p.member.DataCentre != c.self.DataCentre && !slices.Contains(centres, p.member.DataCentre) {
			centres = append(centres, p.member.DataCentre)
		}
	}
	slices.Sort(centres)
	return centres
}

// draw returns some of the endpoints.
func (c *Core) draw(from []netip.AddrPort, n int) []netip.AddrPort {
	c.random.Shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
	return from[:min(n, len(from))]
}

func (c *Core) endpoints(wanted func(*peer) bool) []netip.AddrPort {
	var members []Member
	for _, p := range c.peers {
		if wanted(p) {
			members = append(members, p.member)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	at := make([]netip.AddrPort, len(members))
	for i, m := range members {
		at[i] = m.Endpoint
	}
	return at
}

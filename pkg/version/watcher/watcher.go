// Package watcher decides how one instance follows the platform's store.
//
// A few instances of each data centre keep a watch open and also poll the stored
// revision every second, so that a watch that stopped delivering is detected. The
// others receive the configuration from their peers and poll rarely, the more
// rarely the larger the fleet. Each instance decides by rendezvous hashing over
// its own view of the fleet whether it watches: if views differ, there is a watch
// more or less, with no other effect.
//
// # Usage
//
//	core := watcher.New(watcher.Instance{Name: "entry-1", DataCentre: "dakar-1"}, seed)
//	core.SetFleet(now, alive)
//	tasks := core.Due(now, held.Version() == 0)
//	if tasks.Poll {
//		read, reopen := core.Polled(now, revision)
//	}
//	switch watcher.Compare(held, stored) { ... }
//
// A Core does no I/O and is not safe for use from several goroutines.
package watcher

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tanagerweir/tanagerweir/pkg/version/gossip"
)

// Numbers and periods for following the store.
const (
	// PerDataCentre is how many instances of a data centre watch.
	PerDataCentre = 2
	// PollPeriod is the time between two polls of a watching instance.
	PollPeriod = 1 * time.Second
	// OthersPollPeriod is the shortest time between two polls of another instance.
	OthersPollPeriod = 30 * time.Second
	// FleetPollPeriod is the time between two polls by any of the other instances,
	// in a fleet so large that each one polls less often than OthersPollPeriod.
	FleetPollPeriod = 250 * time.Millisecond
	// UnconfiguredPollPeriod is the time between two polls of an instance without a
	// configuration.
	UnconfiguredPollPeriod = 500 * time.Millisecond
	// MaxPollPeriod is the longest time between two polls while the store fails, of
	// an instance that watches or has no configuration.
	MaxPollPeriod = 4 * time.Second
	// ListPeriod is the time between two reads of the platform's list by a
	// watching instance.
	ListPeriod = 2 * time.Second
)

// Instance is one instance of the fleet.
type Instance struct {
	Name       string
	DataCentre string
}

// Tasks is what an instance has to do now.
type Tasks struct {
	// Poll says to poll the revision of the stored head.
	Poll bool
	// List says to read the changes of the platform's list.
	List bool
}

// Core decides how one instance follows the store.
type Core struct {
	self          Instance
	random        *rand.Rand
	fleetSize     int
	watching      bool
	nextPoll      time.Time
	nextList      time.Time
	failures      int
	readRevision  int64
	watchRevision int64
}

// New returns the core of an instance that knows no other one and so watches.
func New(self Instance, seed uint64) *Core {
	return &Core{self: self, random: rand.New(rand.NewPCG(seed, xxhash.Sum64String(self.Name))), fleetSize: 1, watching: true}
}

// SetFleet sets the instances that are alive, this one included or not.
func (c *Core) SetFleet(now time.Time, alive []Instance) {
	c.fleetSize = max(len(alive), 1)
	watchedBefore := c.watching
	c.watching = c.rank(alive) < PerDataCentre
	if c.watching && !watchedBefore {
		c.nextPoll, c.nextList = now, now
		c.watchRevision = 0
	}
}

// rank returns how many instances of this one's data centre rank above it.
func (c *Core) rank(alive []Instance) int {
	own, above := c.self.score(), 0
	for _, i := range alive {
		if i.DataCentre != c.self.DataCentre || i.Name == c.self.Name {
			continue
		}
		if s := i.score(); s > own || s == own && i.Name < c.self.Name {
			above++
		}
	}
	return above
}

func (i Instance) score() uint64 { return xxhash.Sum64String(i.DataCentre + "/" + i.Name) }

// Watching reports whether this instance is to keep a watch open.
func (c *Core) Watching() bool { return c.watching }

// Due returns what to do now and schedules the next time for it. unconfigured says
// that the instance has no configuration.
func (c *Core) Due(now time.Time, unconfigured bool) Tasks {
	var d Tasks
	if !now.Before(c.nextPoll) {
		d.Poll = true
		c.nextPoll = now.Add(c.jitter(c.pollPeriod(unconfigured)))
	}
	if !now.Before(c.nextList) {
		d.List = true
		c.nextList = now.Add(c.jitter(c.listPeriod()))
	}
	return d
}

// Next returns when to call Due again.
func (c *Core) Next() time.Time {
	if c.nextList.Before(c.nextPoll) {
		return c.nextList
	}
	return c.nextPoll
}

func (c *Core) pollPeriod(unconfigured bool) time.Duration {
	switch {
	case c.watching:
		return min(PollPeriod<<min(c.failures, 8), MaxPollPeriod)
	case unconfigured:
		return min(UnconfiguredPollPeriod<<min(c.failures, 8), MaxPollPeriod)
	}
	return max(OthersPollPeriod, time.Duration(c.fleetSize)*FleetPollPeriod)
}

func (c *Core) listPeriod() time.Duration {
	if c.watching {
		return ListPeriod
	}
	return max(OthersPollPeriod, time.Duration(c.fleetSize)*FleetPollPeriod)
}

// Polled takes the polled revision of the stored head, 0 if there is none. It
// reports whether to read the head, and whether to reopen the watch because it
// hasn't delivered that revision.
func (c *Core) Polled(now time.Time, revision int64) (read, reopen bool) {
	if c.failures > 0 {
		c.failures = 0
		c.nextPoll = now.Add(c.jitter(PollPeriod))
	}
	return revision != c.readRevision, c.watching && c.watchRevision != 0 && revision > c.watchRevision
}

// Failed records that the store didn't answer a poll or a read.
func (c *Core) Failed() { c.failures++ }

// Read records that the head was read at that revision and compared by Compare.
func (c *Core) Read(revision int64) { c.readRevision = revision }

// LastRead returns the revision at which the head was last read or delivered.
func (c *Core) LastRead() int64 { return c.readRevision }

// Opened records that a watch was opened that delivers changes after that
// revision.
func (c *Core) Opened(revision int64) { c.watchRevision = max(revision, 1) }

// Delivered records that the watch delivered the head at that revision.
func (c *Core) Delivered(revision int64) {
	c.watchRevision = max(c.watchRevision, revision)
	c.readRevision = revision
}

// jitter returns a random time from 0.75 to 1.25 times the period.
func (c *Core) jitter(period time.Duration) time.Duration {
	return period*3/4 + time.Duration(c.random.Int64N(int64(period/2)))
}

// Action is what an instance does after it has compared the configuration that it
// holds with the stored one.
type Action uint8

// Actions after a comparison.
const (
	// Nothing means that both are the same.
	Nothing Action = iota
	// Adopt means to take over the stored configuration, which is newer.
	Adopt
	// Restore means to write the held configuration to the store, which has lost
	// changes that it had accepted.
	Restore
	// Join means that two histories diverged and have the same version: the
	// stored configuration is accepted again under the next version.
	Join
)

// Compare compares the configuration that an instance holds with the stored one. A
// store without a configuration has the zero digest.
func Compare(held, stored gossip.Digest) Action {
	switch {
	case stored.Version > held.Version:
		return Adopt
	case stored.Version < held.Version:
		return Restore
	case stored.History != held.History:
		return Join
	}
	return Nothing
}

// Package transition decides which directory is in force after the platform's store has
// returned restored from an older copy of itself.
//
// The copy lacks the latest writes until they are written again: a data centre that was
// taken out seems to be in, a draining or departed backend server seems to be ready. For a
// limited time, what was known before stays in force where the copy contradicts it, until
// the store's new era says something of its own: an entry that is written again, or a
// deletion.
//
// # Usage
//
//	core := transition.New(stretch)
//	inForce := core.Update(now, read)            // a change of the store's keys
//	inForce = core.Restore(now, position, read)  // the first keys of a newer era
//	inForce = core.Delete(now, withoutDeleted, read)
//	inForce, changed := core.Expire(now)         // a few times a second
//
// A Core does no I/O and is not safe for concurrent use.
package transition

import (
	"maps"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
	"github.com/tanagerweir/tanagerweir/pkg/version/replica"
)

const (
	// DefaultStretch is the longest time for which knowledge of the era before stays in
	// force if the settings name none: eight heartbeats of 1.2 s, with which backend
	// servers write their entries again.
	DefaultStretch = 10 * time.Second
	// missingGrace is how long a backend server stays usable whose entry the copy lacks,
	// as after an outage of the store.
	missingGrace = 2 * time.Second
	// departedMemory is how long departed backend servers are remembered. Copies are some
	// seconds old, and restorations may follow one another.
	departedMemory = time.Minute
)

// heldServer is a backend server for which the copy doesn't count.
type heldServer struct {
	// server is the description in force, nil for a departed server.
	server *directory.Server
	until  time.Duration
	// missing is set if the copy lacks the server's entry.
	missing bool
}

// departure is a backend server that left the directory.
type departure struct {
	server directory.Server
	at     time.Duration
}

// Core holds the directory that the store's keys give, the one in force, and what
// distinguishes them after a restoration. See New.
type Core struct {
	stretch       time.Duration
	read, inForce directory.Directory
	// departed holds the backend servers that left, by identifier.
	departed map[string]departure
	// first is the position of the first keys that were read in the newest era.
	first replica.Position
	// servers and instances are held by identifier and name, and evacuated holds the
	// names of data centres that stay out. The last two are held until the time until.
	servers   map[string]heldServer
	evacuated map[string]bool
	instances map[string]directory.Instance
	until     time.Duration
}

// New returns a Core with empty directories. Knowledge of the era before stays in force
// for at most stretch, or DefaultStretch if it is 0.
func New(stretch time.Duration) *Core {
	if stretch == 0 {
		stretch = DefaultStretch
	}
	c := &Core{stretch: stretch, read: directory.New(), inForce: directory.New(), departed: make(map[string]departure)}
	c.clear()
	return c
}

func (c *Core) clear() {
	c.servers, c.evacuated, c.instances = make(map[string]heldServer), make(map[string]bool), make(map[string]directory.Instance)
}

// Read returns the directory that the store's keys give.
func (c *Core) Read() directory.Directory { return c.read }

// Held is the number of entries for which the restored copy doesn't count.
type Held struct{ Servers, Missing, DataCentres, Instances int }

// Held returns how many entries are held. The zero Held means that the transition is over.
func (c *Core) Held() Held {
	h := Held{DataCentres: len(c.evacuated), Instances: len(c.instances)}
	for _, s := range c.servers {
		if s.missing {
			h.Missing++
		} else {
			h.Servers++
		}
	}
	return h
}

// Update sets the directory that the store's keys give, and returns the one in force.
// What was written again is no longer held.
func (c *Core) Update(now time.Duration, read directory.Directory) directory.Directory {
	read.Differences(c.read, func(before, after *directory.Server) {
		switch {
		case after == nil:
			left := *before
			if d, ok := c.departed[left.ID]; ok && startedAfter(d.server, left) {
				left = d.server // the entry was a copy's
			}
			c.departed[left.ID] = departure{server: left, at: now}
		case before == nil:
			delete(c.departed, after.ID)
		}
	})
	c.read = read
	maps.DeleteFunc(c.servers, func(id string, h heldServer) bool {
		s, exists := read.Server(id)
		if h.missing || !exists {
			return h.missing == exists
		}
		return s.Era == c.first.Era && s.Revision > c.first.Revision
	})
	maps.DeleteFunc(c.evacuated, func(name string, _ bool) bool { return read.Evacuated(name) })
	maps.DeleteFunc(c.instances, func(name string, _ directory.Instance) bool {
		_, exists := read.Instance(name)
		return exists
	})
	return c.combine()
}

// Delete is Update after deletions in the new era, which take effect at once.
// WithoutDeleted is the directory in force without the deleted entries.
func (c *Core) Delete(now time.Duration, withoutDeleted, read directory.Directory) directory.Directory {
	maps.DeleteFunc(c.servers, func(id string, h heldServer) bool {
		_, exists := withoutDeleted.Server(id)
		return h.server != nil && !exists
	})
	maps.DeleteFunc(c.evacuated, func(name string, _ bool) bool { return !withoutDeleted.Evacuated(name) })
	maps.DeleteFunc(c.instances, func(name string, _ directory.Instance) bool {
		_, exists := withoutDeleted.Instance(name)
		return !exists
	})
	return c.Update(now, read)
}

// Restore sets the directory that the first keys of a newer era give, and returns the one
// in force. First is the position of these keys.
func (c *Core) Restore(now time.Duration, first replica.Position, read directory.Directory) directory.Directory {
	earlier := c.servers
	c.clear()
	c.read, c.first, c.until = read, first, now+c.stretch
	read.Differences(c.inForce, func(known, restored *directory.Server) {
		switch {
		case restored == nil:
			h := heldServer{server: known, until: min(now+missingGrace, c.until), missing: true}
			if before, ok := earlier[known.ID]; ok && before.missing {
				h.until = before.until
			}
			c.servers[known.ID] = h
		case known == nil:
			if d, ok := c.departed[restored.ID]; ok && !startedAfter(*restored, d.server) {
				c.servers[restored.ID] = heldServer{until: c.until}
			}
		case !startedAfter(*restored, *known) && (known.Draining || !restored.Draining):
			c.servers[known.ID] = heldServer{server: known, until: c.until}
		}
	})
	for _, name := range c.inForce.EvacuatedNames() {
		if !read.Evacuated(name) {
			c.evacuated[name] = true
		}
	}
	for _, i := range c.inForce.Instances() {
		if _, exists := read.Instance(i.Name); !exists {
			c.instances[i.Name] = i
		}
	}
	return c.combine()
}

// startedAfter reports whether the first of two descriptions of a backend server is of a
// later start, which a copy can't have instead of an earlier one.
func startedAfter(s, other directory.Server) bool {
	return s.StartedMillis > other.StartedMillis && other.StartedMillis != 0
}

// Expire ends what was held for long enough. It returns the directory in force, and
// whether that has changed.
func (c *Core) Expire(now time.Duration) (directory.Directory, bool) {
	maps.DeleteFunc(c.departed, func(_ string, d departure) bool { return now-d.at > departedMemory })
	before := c.Held()
	maps.DeleteFunc(c.servers, func(_ string, h heldServer) bool { return now >= h.until })
	if now >= c.until {
		clear(c.evacuated)
		clear(c.instances)
	}
	if c.Held() == before {
		return c.inForce, false
	}
	return c.combine(), true
}

// combine sets and returns the directory in force.
func (c *Core) combine() directory.Directory {
	d := c.read.WithEra(c.first.Era)
	if len(c.servers) > 0 {
		held := make(map[string]*directory.Server, len(c.servers))
		for id, h := range c.servers {
			held[id] = h.server
		}
		d = d.WithServers(held)
	}
	for name := range c.evacuated {
		d = d.WithEvacuated(name, true)
	}
	if len(c.instances) > 0 {
		held := make(map[string]*directory.Instance, len(c.instances))
		for name, i := range c.instances {
			held[name] = &i
		}
		d = d.WithInstances(held)
	}
	c.inForce = d
	return d
}

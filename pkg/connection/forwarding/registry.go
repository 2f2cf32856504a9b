package forwarding

import (
	"slices"
	"strings"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/connection/mark"
	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
)

// server is a backend server with what this instance has seen of it.
type server struct {
	directory.Server
	mark mark.Mark
	// gone is when the directory lost it, while missing.
	gone    time.Duration
	missing bool
	// lapsed is until when the entry may be missing because of an outage.
	lapsed time.Duration
	// coldUntil is when it has warmed up, and coldSent when this instance last
	// sent a new flow there before that.
	coldUntil, coldSent time.Duration
	view                view
	// belief is what Events told last.
	belief Belief
}

// registry holds the backend servers that marks can name.
type registry struct {
	byMark    map[mark.Mark]*server
	byService map[string][]*server
	// known are all of them by identifier, so that equal inputs bring equal
	// decisions and events in one order.
	known []*server
}

func newRegistry() registry {
	return registry{byMark: make(map[mark.Mark]*server), byService: make(map[string][]*server)}
}

// Adopt takes a newer directory.
func (c *Core) Adopt(now time.Duration, d directory.Directory) {
	c.chill(now, d)
	if c.confirmed > 0 && now-c.confirmed > outageAfter {
		// The first news after an outage, ahead of the word that confirms it.
		c.returned = now
	}
	moved := false
	d.Differences(c.directory, func(was, is *directory.Server) {
		if is == nil {
			c.lose(now, was.ID)
			moved = true
			return
		}
		moved = moved || was == nil || was.Service != is.Service
		if v := c.servers.describe(now, mark.Of(is.ID), *is); v != nil {
			// It started anew: its flows of before are gone.
			c.flows.leave(v)
			v.view = view{}
		}
	})
	c.directory = d
	if moved {
		c.servers.index()
	}
}

// lose notes that the directory has no entry of a backend server any more.
func (c *Core) lose(now time.Duration, id string) {
	v := c.servers.byMark[mark.Of(id)]
	if v == nil || v.ID != id || v.missing {
		return // another one has its mark
	}
	v.missing, v.gone, v.lapsed = true, now, now
	if !v.Draining && c.returned > 0 {
		v.lapsed = max(now, c.returned+lapsedFor)
	}
}

// chill takes the backend servers of data centres that are brought back for cold
// until they say otherwise: they may have been started again meanwhile.
func (c *Core) chill(now time.Duration, next directory.Directory) {
	for _, v := range c.servers.byMark {
		if !c.directory.Evacuated(v.DataCentre) || next.Evacuated(v.DataCentre) {
			continue
		}
		if service, ok := next.Service(v.Service); ok {
			v.coldUntil = max(v.coldUntil, now+service.ColdFor)
		}
	}
}

// describe takes a backend server's description, and returns the server if it
// started anew.
func (r *registry) describe(now time.Duration, m mark.Mark, d directory.Server) (reborn *server) {
	v, known := r.byMark[m]
	if !known {
		v = &server{mark: m}
		r.byMark[m] = v
	}
	if v.ID != "" && v.ID != d.ID {
		// Two identifiers with one mark: the first keeps it, and the other gets
		// no flow, which can't be told apart later.
		return nil
	}
	if d.Revision != v.Revision || v.missing {
		v.coldUntil = now + d.ColdLeft
	}
	if known && d.Born != v.Born {
		reborn = v
	}
	v.Server, v.missing = d, false
	return reborn
}

// index lists the servers, and those of each service that may get flows.
func (r *registry) index() {
	clear(r.byService)
	r.known = r.known[:0]
	for _, v := range r.byMark {
		r.known = append(r.known, v)
	}
	slices.SortFunc(r.known, func(a, b *server) int { return strings.Compare(a.ID, b.ID) })
	for _, v := range r.known {
		if !v.missing || v.lapsed > v.gone {
			r.byService[v.Service] = append(r.byService[v.Service], v)
		}
	}
}

// expire forgets backend servers that left longer ago than any flow lasts.
func (r *registry) expire(now, maxFlow time.Duration) {
	before := len(r.byMark)
	for m, v := range r.byMark {
		if v.missing && now-v.gone > maxFlow {
			delete(r.byMark, m)
		}
	}
	if len(r.byMark) < before {
		r.index()
	}
}

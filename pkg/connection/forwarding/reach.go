package forwarding

import (
	"maps"
	"slices"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/clock"
	"github.com/tanagerweir/tanagerweir/pkg/connection/mechanism"
	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
)

const (
	// lostFailures is how many flows in a row have to go unanswered at the backend
	// servers of a data centre, at two servers or more, until none of them counts as
	// within reach: one or more of this instance, and those that others report.
	lostFailures = 6
	// lostAfter is how long there must have been no sign of the data centre by then:
	// neither an answer of a backend server nor a message of an instance there.
	lostAfter = 800 * time.Millisecond
	// reachTrialPeriod is the time between two flows that try a data centre out of
	// reach.
	reachTrialPeriod = 500 * time.Millisecond
	// askedFor is how long a service counts as asked for after a flow for it.
	askedFor = 2 * time.Second
	// unservedFor is how long callers may be led elsewhere without any sign. Then some
	// are let in again and try the servers, as no instance may be left that could be
	// heard from.
	unservedFor = 10 * time.Second
)

// reach is what this instance knows of the way to the backend servers of one data
// centre.
type reach struct {
	// lastSign is when a backend server there last answered, and lastMessage when an
	// instance there last sent a message, 0 for the own data centre.
	lastSign, lastMessage time.Duration
	// failures is how many flows went unanswered there since the last sign of life,
	// and servers the first two backend servers at which they did.
	failures int
	servers  [2]*server
	// others sums up what other instances of the own data centre report.
	others othersReach
	// lost says that no backend server there is within reach, and lostAt since when.
	lost   bool
	lostAt time.Duration
	// nextTrial is when a flow may try the data centre again.
	nextTrial time.Duration
	// regained says that it came within reach again, and that failures from before
	// still count against its servers.
	regained bool
	// regainedAt is the time at which the directory has to be confirmed until signs from
	// before no longer count, 0 if they don't.
	regainedAt time.Duration
	// askedAt is when other instances were last asked about it while it was lost, asked
	// how many of them, and answered how many of these answered.
	askedAt         time.Duration
	asked, answered int
	// contradictedAt is when another instance last told of a sign of life from shortly before the
	// data centre was lost, 0 for never.
	contradictedAt time.Duration
}

// othersReach is what other instances report of the servers of one data centre.
type othersReach struct {
	lastSign clock.Time
	// failures is the number of flows that went unanswered, servers that of the servers
	// at which they did.
	failures, servers int
}

// recordSign records a sign of life of a backend server there.
func (r *reach) recordSign(now time.Duration) {
	if r.lost {
		r.regained, r.regainedAt = true, now+entryDelay
	}
	r.lastSign, r.failures, r.servers, r.lost = now, 0, [2]*server{}, false
}

// recordFailure records that a flow went unanswered at the server.
func (r *reach) recordFailure(v *server) {
	r.failures++
	switch {
	case r.servers[0] == nil:
		r.servers[0] = v
	case r.servers[0] != v:
		r.servers[1] = v
	}
}

// update decides whether the data centre is within reach.
func (r *reach) update(now time.Duration) {
	switch {
	case r.lost:
		r.lost = r.lastMessage <= r.lostAt
		if !r.lost {
			r.failures, r.servers, r.regained, r.regainedAt = 0, [2]*server{}, true, now
		}
	case r.failures > 0 && r.failures+r.others.failures >= lostFailures && (r.servers[1] != nil || r.others.servers > 1) &&
		now-max(r.lastSign, r.others.lastSign.Or(0), r.lastMessage) >= lostAfter:
		r.lost, r.lostAt, r.nextTrial = true, now, now+reachTrialPeriod
		r.askedAt, r.asked, r.answered, r.contradictedAt = 0, 0, 0, 0
	}
}

// confirmed reports whether enough instances of the own data centre have answered that
// they see no sign of the servers there either. Without other instances, peers is 0.
func (r *reach) confirmed(now time.Duration, peers int) bool {
	if !r.lost || peers == 0 {
		return r.lost
	}
	if r.contradictedAt > 0 && now-r.contradictedAt < lostAfter {
		return false
	}
	return enough(now, r.askedAt, r.asked, r.answered)
}

// reachOf returns what is known of the way to a data centre.
func (c *Core) reachOf(dataCentre string) *reach {
	r, ok := c.reaches[dataCentre]
	if !ok {
		r = &reach{}
		c.reaches[dataCentre] = r
	}
	return r
}

// beforeCopies is less than the 200 ms after which callers send packets again. What is answered
// by then was answered to this instance.
const beforeCopies = 180 * time.Millisecond

// signOfLife records that a backend server answered what this instance sent it at a time, 0 if
// that isn't known. While the server's data centre is out of reach, callers' copies may have gone
// another way, through an instance of another data centre, so that only an answer from before any
// copy shows that it is within reach again.
func (c *Core) signOfLife(now, sent time.Duration, v *server) {
	r := c.reachOf(v.DataCentre)
	if r.lost {
		if sent < r.lostAt || now-sent > beforeCopies {
			return
		}
		c.reachEvents = append(c.reachEvents, ReachEvent{DataCentre: v.DataCentre, Server: v.ID, SilentFor: now - max(r.lastSign, r.lastMessage)})
	}
	v.observed.recordAnswer(now)
	r.recordSign(now)
	c.lastAnswer = now
}

// HeardFrom records that an instance of another data centre sent a message.
func (c *Core) HeardFrom(now time.Duration, dataCentre string) {
	c.reachOf(dataCentre).lastMessage = now
}

// withinReach reports whether a new flow may go to the backend server's data centre.
func (c *Core) withinReach(now time.Duration, v *server) bool {
	r, ok := c.reaches[v.DataCentre]
	return !ok || !r.lost || now >= r.nextTrial
}

// updateReach decides which data centres are within reach, and whether callers are
// served here.
func (c *Core) updateReach(now time.Duration) {
	c.combineReach(now)
	for _, dataCentre := range slices.Sorted(maps.Keys(c.reaches)) {
		r := c.reaches[dataCentre]
		before := r.lost
		r.update(now)
		if r.lost != before {
			c.reachEvents = append(c.reachEvents, ReachEvent{
				DataCentre: dataCentre, Lost: r.lost, Failures: r.failures, SilentFor: now - max(r.lastSign, r.lastMessage),
			})
		}
	}
	c.forgiveFailures(now)
	c.updateServed(now)
}

// forgiveFailures forgets the failures of servers whose data centre is within reach again,
// as the way there was at fault. It waits until the directory is fresh, which then says
// which servers were started anew meanwhile.
func (c *Core) forgiveFailures(now time.Duration) {
	for dataCentre, r := range c.reaches {
		c.settleRegained(now, dataCentre, r)
		if !r.regained || !c.directoryFresh(now) {
			continue
		}
		r.regained = false
		for _, v := range c.servers.sorted {
			if v.DataCentre == dataCentre {
				v.observed.forgive()
			}
		}
	}
}

// combineReach sums up the reports of other instances by data centre.
func (c *Core) combineReach(now time.Duration) {
	for _, r := range c.reaches {
		r.others = othersReach{}
	}
	for _, v := range c.servers.sorted {
		r, ok := c.reaches[v.DataCentre]
		if !ok {
			continue
		}
		o := &v.observed.others
		r.others.lastSign = r.others.lastSign.Latest(o.lastAlive)
		if o.failures > 0 && !o.lastAlive.NotBefore(o.lastFailure) && now-o.lastFailure <= silentPeriod {
			r.others.failures += o.failures
			r.others.servers++
		}
	}
}

// updateServed decides whether callers are served here. They aren't if, of all services
// that they ask for, the only usable backend servers are in other data centres and out of
// reach. While nobody asks, as routers send callers elsewhere, it waits for a sign.
func (c *Core) updateServed(now time.Duration) {
	asked := false
	for service, at := range c.askedAt {
		if now-at > askedFor {
			continue
		}
		asked = true
		if !c.outOfReach(now, service) {
			c.unserved = false
			return
		}
	}
	switch {
	case asked && !c.unserved:
		c.unserved, c.unservedAt = true, now
	case c.unserved && !asked:
		c.unserved = now-c.unservedAt < unservedFor && !c.reachesUsable(now)
	}
}

// reachesUsable reports whether any usable backend server is within reach.
func (c *Core) reachesUsable(now time.Duration) bool {
	return slices.ContainsFunc(c.servers.sorted, func(v *server) bool { return c.usable(now, v) && !c.reachOf(v.DataCentre).lost })
}

// outOfReach reports whether the service has usable backend servers, all of them in
// other data centres and out of reach. Without servers in reach of its own data centre,
// an instance can't know that callers would fare better elsewhere.
func (c *Core) outOfReach(now time.Duration, service string) bool {
	lost := false
	for _, v := range c.servers.byService[service] {
		if !c.usable(now, v) {
			continue
		}
		if v.DataCentre == c.options.DataCentre || !c.reachOf(v.DataCentre).lost {
			return false
		}
		lost = true
	}
	return lost
}

// Served reports whether callers are served here, as of the last Tick. If not, routers
// should lead them to another data centre.
func (c *Core) Served() bool { return !c.unserved || c.options.Off.Has(mechanism.CallerLeading) }

// askFor records that a caller asks for one of the route's services.
func (c *Core) askFor(now time.Duration, r directory.Route) {
	for _, s := range r.Shares {
		c.askedAt[s.Service] = now
	}
}

// ReachEvent is a change of whether the backend servers of a data centre are within
// reach.
type ReachEvent struct {
	DataCentre string
	Lost       bool
	// Failures is how many flows went unanswered there in a row, and SilentFor how long
	// ago the last sign of the data centre was.
	Failures  int
	SilentFor time.Duration
	// Server is the backend server whose answer showed that the data centre is within reach
	// again, empty if a message of another data centre's instance did.
	Server string
}

// ReachEvents returns the changes since the last call, oldest first.
func (c *Core) ReachEvents() []ReachEvent {
	events := c.reachEvents
	c.reachEvents = nil
	return events
}

package flow

import (
	"math"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/version/health"
	"github.com/tanagerweir/tanagerweir/pkg/version/table"
)

const (
	rampDuration = 60 * time.Second // time until a cold backend server takes its full share
	rampStart    = 1.0 / 16         // its smallest share
)

// RampShare returns the part of its full share that a backend server takes, from
// 0 to 1, when it has been cold for that time.
func RampShare(age time.Duration) float64 {
	part := float64(age) / float64(rampDuration)
	return min(1, max(rampStart, part))
}

// place chooses the backend server of a new flow. It returns 0 and a reason if
// there is none.
//
// The home of a bucket is the server that the active ring gives for it. Only
// buckets whose home isn't serving normally go to other servers. A cold home
// takes a part of its own buckets and no others, so that all instances together
// stay within its share without exchanging messages, and a rising share only
// moves buckets to it.
func (c *Core) place(now time.Time, q *query) (chosen uint16, refused Reason) {
	home := q.service.active.serverOf(q.fingerprint)
	if home == 0 {
		return 0, NoBackend
	}
	v := &c.registry.servers[home]
	if !v.usable {
		return 0, Announced
	}
	early := now.Sub(v.conditionSince) < conditionDelay
	switch v.condition.State {
	case health.Serving:
		return home, ByTable
	case health.Cold:
		if v.takesBucket(q.fingerprint) {
			return home, ByTable
		}
		if early {
			return 0, Announced
		}
	case health.Ejected:
		if early || c.panicking(q.service) {
			return home, ByTable
		}
	case health.Leaving:
		if early {
			return home, ByTable
		}
	}
	return c.fallback(q, home)
}

// fallback chooses among the backend servers that take their full share of flows.
func (c *Core) fallback(q *query, home uint16) (chosen uint16, refused Reason) {
	servers := q.service.active.servers
	cold := false
	panics := c.panicking(q.service)
	i, ok := q.service.active.ring.Best(q.fingerprint, func(i int) bool {
		v := &c.registry.servers[servers[i]]
		cold = cold || v.usable && v.condition.State == health.Cold
		return v.usable && (v.condition.State == health.Serving || v.condition.State == health.Ejected && panics)
	})
	switch {
	case ok:
		return servers[i], ByTable
	case cold:
		return 0, ColdOnly
	}
	// All of them are reported leaving or ejected: the reports can't be right.
	return home, ByTable
}

// panicking reports whether so many servers are ejected that the reports can't
// be right: more than half.
func (c *Core) panicking(s *service) bool { return s.ejected*2 > len(s.active.servers) }

// takesBucket reports whether a cold backend server's share includes the bucket
// of a fingerprint.
func (v *server) takesBucket(fingerprint uint64) bool {
	drawn := table.Mix(fingerprint>>bucketShift ^ table.Mix(v.seed))
	return float64(drawn) < v.condition.Share*math.MaxUint64
}

// SetConditions replaces the conditions of all backend servers. A backend server
// that isn't in conditions is serving normally.
func (c *Core) SetConditions(now time.Time, conditions []Condition) {
	byName := make(map[string]Condition, len(conditions))
	for _, condition := range conditions {
		byName[condition.Backend] = condition
	}
	for i := range c.registry.servers {
		v := &c.registry.servers[i]
		condition := byName[v.backend.Name]
		if condition.State != v.condition.State {
			v.conditionSince = now
			c.note(now, v.backend.Name, condition.State.String())
		}
		v.condition = condition
	}
	for _, s := range c.ordered {
		c.disputeConditions(s)
	}
}

// disputeConditions makes the buckets disputed whose home isn't serving normally.
func (c *Core) disputeConditions(s *service) {
	s.ejected = 0
	for _, i := range s.active.servers {
		v := &c.registry.servers[i]
		if v.condition.State == health.Serving {
			continue
		}
		if v.condition.State == health.Ejected {
			s.ejected++
		}
		if s.dispute(epochOf(s.active.ring).without(v.seed)) {
			c.progressChanged = true
		}
	}
}

package control

import (
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/connection/flow"
	"github.com/tanagerweir/tanagerweir/pkg/version/health"
)

// FlowConditions returns the conditions of backend servers for the packet core. Servers
// that are serving are left out; cold ones carry the share of flows they get.
func (c *Core) FlowConditions(now time.Time) []flow.Condition {
	marks := c.Conditions()
	converted := make([]flow.Condition, 0, len(marks))
	for _, m := range marks {
		if m.State == health.Serving {
			continue
		}
		f := flow.Condition{Backend: m.Backend, State: m.State}
		if m.State == health.Cold {
			f.Share = flow.RampShare(now.Sub(m.Since))
		}
		converted = append(converted, f)
	}
	return converted
}

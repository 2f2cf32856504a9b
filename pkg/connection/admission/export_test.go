package admission

import (
	"net/netip"
	"time"
)

// WouldAdmit reports whether Admit would admit a request now, without counting it.
func (c *Core) WouldAdmit(now time.Duration, serviceName string, route netip.AddrPort, caller netip.Addr) bool {
	s := c.services[serviceName]
	k := &s.classes[s.routes[route].class]
	return !s.short || k.fraction >= 1 || c.position(now, caller) < k.fraction
}

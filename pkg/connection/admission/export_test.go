package admission

import (
	"net/netip"
	"time"
)

// WouldAdmit reports whether Admit would admit a request now, without counting it.
func (c *Core) WouldAdmit(now time.Duration, serviceName string, route netip.AddrPort, caller netip.Addr) bool {
	s := c.services[serviceName]
	index := s.routes[route].class
	places := s.placesOf(index)
	return !s.short || float64(s.inFlight) < choosyFrom*places ||
		float64(s.inFlight) < places && (s.classes[index].fraction >= 1 || c.position(now, caller) < s.classes[index].fraction)
}

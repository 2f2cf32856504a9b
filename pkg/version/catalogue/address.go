package catalogue

import (
	"net/netip"
	"time"
)

// AddressReuseDelay is how long a removed service's address isn't reused while
// some instance hasn't confirmed the removal.
const AddressReuseDelay = 10 * time.Minute

// FreeAddress returns the first address of the pool that is free to use, or
// false if there is none. An address is free if no service has it and no instance
// can still route it to a removed service: all instances have confirmed a version
// without that service, or it was removed at least AddressReuseDelay ago.
// confirmed is the lowest version that any instance has confirmed.
func (c Catalogue) FreeAddress(pool netip.Prefix, confirmed Version, now time.Time) (netip.Addr, bool) {
	taken := make(map[netip.Addr]bool, len(c.services)+len(c.removals))
	for _, s := range c.services {
		taken[s.Address.Addr()] = true
	}
	for _, r := range c.removals {
		if r.Kind == KindService && r.Version > confirmed && now.Sub(r.At) < AddressReuseDelay {
			taken[r.Address.Addr()] = true
		}
	}
	for address := pool.Masked().Addr().Next(); pool.Contains(address); address = address.Next() {
		if !taken[address] {
			return address, true
		}
	}
	return netip.Addr{}, false
}

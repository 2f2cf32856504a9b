package catalogue

import (
	"fmt"
	"net/netip"
	"time"
)

// Limits that Validate checks.
const (
	NameLimit  = 63                  // bytes in a name
	SlotsLimit = 65_536              // requests at once on one backend server
	MaxWithin  = time.Hour           // longest time a target may allow
	MinWindow  = time.Minute         // shortest window of a target
	MaxWindow  = 90 * 24 * time.Hour // longest window of a target
)

// Validate returns nil or a *ProblemsError that lists every problem.
func (c Catalogue) Validate() error {
	v := validation{catalogue: c}
	v.checkServices()
	v.checkClasses()
	v.checkBackends()
	v.checkDataCentres()
	if len(v.problems) == 0 {
		return nil
	}
	return &ProblemsError{List: v.problems}
}

// validation collects the problems of a catalogue.
type validation struct {
	catalogue Catalogue
	problems  []string
}

func (v *validation) add(format string, args ...any) {
	v.problems = append(v.problems, fmt.Sprintf(format, args...))
}

func (v *validation) checkName(kind, name string) {
	if name == "" || len(name) > NameLimit {
		v.add("%s %q: a name must have 1 to %d characters", kind, name, NameLimit)
		return
	}
	for _, r := range name {
		if !isNameRune(r) {
			v.add("%s %q: a name may contain a-z, 0-9 and '-' only", kind, name)
			return
		}
	}
}

func isNameRune(r rune) bool {
	return r == '-' || (r >= 'a' && r <= 'z') || (r >= '0' && r <= '9')
}

func (v *validation) checkServices() {
	serviceAt := make(map[netip.AddrPort]string, len(v.catalogue.services))
	for _, s := range v.catalogue.services {
		v.checkName("service", s.Name)
		if !s.Address.IsValid() {
			v.add("service %q: has no address", s.Name)
		}
		if other, taken := serviceAt[s.Address]; taken {
			v.add("service %q: address %s belongs to service %q", s.Name, s.Address, other)
		}
		serviceAt[s.Address] = s.Name
		if s.Protocol != TCP && s.Protocol != UDP {
			v.add("service %q: protocol must be TCP or UDP", s.Name)
		}
	}
}

func (v *validation) checkClasses() {
	for _, l := range v.catalogue.classes {
		v.checkName("class", l.Name)
		if _, ok := v.catalogue.Service(l.Service); !ok {
			v.add("class %q: no service %q", l.Name, l.Service)
		}
		v.checkTarget(l)
	}
}

func (v *validation) checkTarget(l Class) {
	t := l.Target
	if t.Share <= 0 || t.Share >= 1 {
		v.add("class %q: share %g must lie between 0 and 1", l.Name, t.Share)
	}
	if t.FlowShare < 0 || t.FlowShare >= 1 {
		v.add("class %q: flow share %g must be at least 0 and below 1", l.Name, t.FlowShare)
	}
	if t.Within <= 0 || t.Within > MaxWithin {
		v.add("class %q: time %s must be above 0 and at most %s", l.Name, t.Within, MaxWithin)
	}
	if t.Window < MinWindow || t.Window > MaxWindow {
		v.add("class %q: window %s must be from %s to %s", l.Name, t.Window, MinWindow, MaxWindow)
	}
}

func (v *validation) checkBackends() {
	for _, b := range v.catalogue.backends {
		v.checkName("backend", b.Name)
		if _, ok := v.catalogue.Service(b.Service); !ok {
			v.add("backend %q: no service %q", b.Name, b.Service)
		}
		if _, ok := v.catalogue.DataCentre(b.DataCentre); !ok {
			v.add("backend %q: no data centre %q", b.Name, b.DataCentre)
		}
		if !b.Packets.IsValid() || !b.Requests.IsValid() {
			v.add("backend %q: the platform lists no address", b.Name)
		}
		if b.Slots == 0 || b.Slots > SlotsLimit {
			v.add("backend %q: slots %d must be from 1 to %d", b.Name, b.Slots, SlotsLimit)
		}
		if b.State != BackendActive && b.State != BackendLeaving {
			v.add("backend %q: state must be Active or Leaving", b.Name)
		}
	}
}

func (v *validation) checkDataCentres() {
	for _, d := range v.catalogue.dataCentres {
		v.checkName("data centre", d.Name)
		if d.State != DataCentreIn && d.State != DataCentreOut {
			v.add("data centre %q: state must be In or Out", d.Name)
		}
	}
}

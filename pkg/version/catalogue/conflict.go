package catalogue

import (
	"fmt"
	"strings"
)

// absent describes an object that the catalogue doesn't hold.
const absent = "absent"

// Conflict is one object that another operation has changed since the version
// that the operator saw.
type Conflict struct {
	Kind Kind
	Name string
	// Changed is the version of the other change, By the operation.
	Changed Version
	By      Operation
	// Theirs describes the object as it is now, Ours as it was requested.
	Theirs string
	Ours   string
}

// ConflictError says that objects changed after the version that the operator
// saw. Nothing was changed.
type ConflictError struct {
	Seen Version
	List []Conflict
}

// Error names each object with both values.
func (e *ConflictError) Error() string {
	lines := make([]string, 0, len(e.List)+1)
	lines = append(lines, fmt.Sprintf("changed by others since version %d, which you saw:", e.Seen))
	for _, c := range e.List {
		lines = append(lines, fmt.Sprintf("%s %q: changed in version %d by %s (%s)\n  theirs: %s\n  yours:  %s",
			c.Kind, c.Name, c.Changed, c.By.Author, c.By.Reason, c.Theirs, c.Ours))
	}
	return strings.Join(lines, "\n")
}

// Conflicts returns a *ConflictError if an object that the changes touch was
// changed or removed after version seen, otherwise nil.
func (c Catalogue) Conflicts(seen Version, changes []Change) error {
	var list []Conflict
	for _, change := range changes {
		kind, name := change.subject()
		changed := c.changedIn(kind, name)
		if changed <= seen {
			continue
		}
		list = append(list, Conflict{
			Kind: kind, Name: name, Changed: changed, By: c.operationAt(changed),
			Theirs: c.describe(kind, name),
			Ours:   change.apply(c, c.operationAt(changed).At).describe(kind, name),
		})
	}
	if len(list) == 0 {
		return nil
	}
	return &ConflictError{Seen: seen, List: list}
}

// changedIn returns the version in which an object was last changed or removed, 0
// if the catalogue doesn't know it.
func (c Catalogue) changedIn(kind Kind, name string) Version {
	changed := Version(0)
	for _, r := range c.removals {
		if r.Kind == kind && r.Name == name {
			changed = r.Version
		}
	}
	switch kind {
	case KindService:
		s, _ := c.Service(name)
		return max(changed, s.Changed)
	case KindClass:
		l, _ := c.Class(name)
		return max(changed, l.Changed)
	case KindBackend:
		b, _ := c.Backend(name)
		return max(changed, b.Changed)
	case KindDataCentre:
		d, _ := c.DataCentre(name)
		return max(changed, d.Changed)
	}
	return changed
}

// operationAt returns the operation that made version v. One that the history no
// longer holds has the author "somebody".
func (c Catalogue) operationAt(v Version) Operation {
	for _, o := range c.history {
		if o.Version == v {
			return o
		}
	}
	return Operation{Version: v, Author: "somebody"}
}

// describe returns a one-line description of an object for operators, absent if
// the catalogue doesn't hold it.
func (c Catalogue) describe(kind Kind, name string) string {
	switch kind {
	case KindService:
		if s, ok := c.Service(name); ok {
			return fmt.Sprintf("Protocol=%s Address=%s", s.Protocol, s.Address)
		}
	case KindClass:
		if l, ok := c.Class(name); ok {
			t := l.Target
			return fmt.Sprintf("Service=%s Share=%g Within=%s Window=%s FlowShare=%g Repeatable=%t",
				l.Service, t.Share, t.Within, t.Window, t.FlowShare, l.Repeatable)
		}
	case KindBackend:
		if b, ok := c.Backend(name); ok {
			return fmt.Sprintf("Service=%s DataCentre=%s Slots=%d State=%s", b.Service, b.DataCentre, b.Slots, b.State)
		}
	case KindDataCentre:
		if d, ok := c.DataCentre(name); ok {
			return "State=" + d.State.String()
		}
	}
	return absent
}

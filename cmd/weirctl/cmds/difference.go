package cmds

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/tanagerweir/tanagerweir/service/api"
)

// object is one object of the configuration, with its values as the list commands
// print them.
type object struct {
	kind, name string
	values     string
}

// objects returns the objects of a configuration as operators set them.
func objects(c *api.Catalogue) []object {
	var list []object
	add := func(kind string, r rows) {
		for _, cells := range r.body {
			list = append(list, object{kind: kind, name: cells[0], values: fmt.Sprint(cells[1:])})
		}
	}
	add("Service", serviceRows(c))
	add("Class", classRows(c))
	add("Backend", backendRows(c))
	for _, d := range c.GetDataCentres() {
		list = append(list, object{kind: "DataCentre", name: d.GetName(), values: fmt.Sprint(d.GetState())})
	}
	return list
}

// differenceRows lists the objects in which two configurations differ.
func differenceRows(from, to *api.Catalogue) rows {
	r := rows{head: []string{"Kind", "Name", "From", "To"}}
	before, after := objects(from), objects(to)
	sameObject := func(a object) func(object) bool {
		return func(b object) bool { return a.kind == b.kind && a.name == b.name }
	}
	for _, b := range before {
		i := slices.IndexFunc(after, sameObject(b))
		switch {
		case i < 0:
			r.add(b.kind, b.name, b.values, "absent")
		case after[i].values != b.values:
			r.add(b.kind, b.name, b.values, after[i].values)
		}
	}
	for _, a := range after {
		if !slices.ContainsFunc(before, sameObject(a)) {
			r.add(a.kind, a.name, "absent", a.values)
		}
	}
	return r
}

// sinceRows lists the objects that changed after a version.
func sinceRows(c *api.Catalogue, version uint64) rows {
	r := rows{head: []string{"Kind", "Name", "ChangedIn", "Value"}}
	current := objects(c)
	add := func(kind, name string, changed uint64) {
		i := slices.IndexFunc(current, func(o object) bool { return o.kind == kind && o.name == name })
		if changed > version && i >= 0 {
			r.add(kind, name, fmt.Sprint(changed), current[i].values)
		}
	}
	for _, s := range c.GetServices() {
		add("Service", s.GetName(), s.GetChanged())
	}
	for _, l := range c.GetClasses() {
		add("Class", l.GetName(), l.GetChanged())
	}
	for _, b := range c.GetBackends() {
		add("Backend", b.GetName(), b.GetChanged())
	}
	for _, d := range c.GetDataCentres() {
		add("DataCentre", d.GetName(), d.GetChanged())
	}
	for _, removed := range c.GetRemovals() {
		if removed.GetVersion() > version {
			kind := [...]string{"", "Service", "Class", "Backend"}[removed.GetKind()%4]
			r.add(kind, removed.GetName(), fmt.Sprint(removed.GetVersion()), "removed")
		}
	}
	return r
}

// effectiveChanges returns the changes without puts that would change nothing. It
// doesn't modify its arguments.
func effectiveChanges(changes []*api.Change, current *api.Catalogue) []*api.Change {
	return slices.DeleteFunc(slices.Clone(changes), func(c *api.Change) bool {
		switch edit := c.GetEdit().(type) {
		case *api.Change_PutService:
			return slices.ContainsFunc(current.GetServices(), func(s *api.Service) bool {
				return s.GetName() == edit.PutService.GetName() && s.GetProtocol() == edit.PutService.GetProtocol()
			})
		case *api.Change_PutClass:
			return slices.ContainsFunc(current.GetClasses(), func(l *api.Class) bool {
				existing := proto.CloneOf(l)
				existing.Changed = 0
				return proto.Equal(existing, edit.PutClass)
			})
		case *api.Change_PutBackend:
			return slices.ContainsFunc(current.GetBackends(), func(b *api.Backend) bool {
				return b.GetName() == edit.PutBackend.GetName() && b.GetService() == edit.PutBackend.GetService()
			})
		case *api.Change_PutDataCentre:
			return slices.ContainsFunc(current.GetDataCentres(), func(d *api.DataCentre) bool {
				return d.GetName() == edit.PutDataCentre.GetName() && d.GetState() == edit.PutDataCentre.GetState()
			})
		}
		return false
	})
}

package catalogue

import (
	"fmt"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Change is one edit of a catalogue.
type Change interface {
	apply(c Catalogue, at time.Time) Catalogue
	// subject returns the kind and name of the object that the edit changes.
	subject() (Kind, string)
	// String describes the edit in a few words, for Operation.Summary.
	String() string
}

// PutService creates or replaces a service.
type PutService struct{ Service Service }

// RemoveService removes a service.
type RemoveService struct{ Name string }

// PutClass creates or replaces a class.
type PutClass struct{ Class Class }

// RemoveClass removes a class.
type RemoveClass struct{ Name string }

// PutBackend creates or replaces a backend server.
type PutBackend struct{ Backend Backend }

// RemoveBackend removes a backend server.
type RemoveBackend struct{ Name string }

// PutDataCentre creates a data centre or changes whether it takes part.
type PutDataCentre struct{ DataCentre DataCentre }

func (p PutService) apply(c Catalogue, _ time.Time) Catalogue {
	s := p.Service
	s.Changed = c.version + 1
	return c.WithService(s)
}

func (r RemoveService) apply(c Catalogue, at time.Time) Catalogue {
	s, ok := c.Service(r.Name)
	if !ok {
		return c
	}
	return c.WithoutService(r.Name).withRemoval(Removal{
		Kind: KindService, Name: r.Name, Version: c.version + 1, At: at, Address: s.Address,
	})
}

func (p PutClass) apply(c Catalogue, _ time.Time) Catalogue {
	l := p.Class
	l.Changed = c.version + 1
	return c.WithClass(l)
}

func (r RemoveClass) apply(c Catalogue, at time.Time) Catalogue {
	if _, ok := c.Class(r.Name); !ok {
		return c
	}
	return c.WithoutClass(r.Name).withRemoval(Removal{Kind: KindClass, Name: r.Name, Version: c.version + 1, At: at})
}

func (p PutBackend) apply(c Catalogue, _ time.Time) Catalogue {
	b := p.Backend
	b.Changed = c.version + 1
	return c.WithBackend(b)
}

func (r RemoveBackend) apply(c Catalogue, at time.Time) Catalogue {
	if _, ok := c.Backend(r.Name); !ok {
		return c
	}
	return c.WithoutBackend(r.Name).withRemoval(Removal{Kind: KindBackend, Name: r.Name, Version: c.version + 1, At: at})
}

func (p PutDataCentre) apply(c Catalogue, _ time.Time) Catalogue {
	d := p.DataCentre
	present, _ := c.DataCentre(d.Name)
	d.Mark = max(d.Mark, present.Mark)
	d.Changed = c.version + 1
	return c.WithDataCentre(d)
}

func (p PutService) subject() (Kind, string)    { return KindService, p.Service.Name }
func (r RemoveService) subject() (Kind, string) { return KindService, r.Name }
func (p PutClass) subject() (Kind, string)      { return KindClass, p.Class.Name }
func (r RemoveClass) subject() (Kind, string)   { return KindClass, r.Name }
func (p PutBackend) subject() (Kind, string)    { return KindBackend, p.Backend.Name }
func (r RemoveBackend) subject() (Kind, string) { return KindBackend, r.Name }
func (p PutDataCentre) subject() (Kind, string) { return KindDataCentre, p.DataCentre.Name }

func (p PutService) String() string    { return "put service " + p.Service.Name }
func (r RemoveService) String() string { return "remove service " + r.Name }
func (p PutClass) String() string      { return "put class " + p.Class.Name }
func (r RemoveClass) String() string   { return "remove class " + r.Name }
func (p PutBackend) String() string    { return "put backend " + p.Backend.Name }
func (r RemoveBackend) String() string { return "remove backend " + r.Name }

func (p PutDataCentre) String() string {
	return fmt.Sprintf("put data centre %s %s", p.DataCentre.Name, p.DataCentre.State)
}

// ProblemsError lists every problem of a configuration, with the object's kind
// and name.
type ProblemsError struct{ List []string }

// Error returns one problem a line.
func (p *ProblemsError) Error() string { return strings.Join(p.List, "\n") }

// checkSubjects refuses operations that edit an object twice or remove one that
// doesn't exist.
func (c Catalogue) checkSubjects(changes []Change) error {
	var found []string
	for i, change := range changes {
		kind, name := change.subject()
		for _, earlier := range changes[:i] {
			if k, n := earlier.subject(); k == kind && n == name {
				found = append(found, fmt.Sprintf("%s %q: changed twice in one operation", kind, name))
			}
		}
		if isRemoval(change) && c.describe(kind, name) == absent {
			found = append(found, fmt.Sprintf("%s %q: can't be removed, it doesn't exist", kind, name))
		}
	}
	if len(found) > 0 {
		return &ProblemsError{List: found}
	}
	return nil
}

func isRemoval(change Change) bool {
	switch change.(type) {
	case RemoveService, RemoveClass, RemoveBackend:
		return true
	}
	return false
}

// Apply returns c with the changes applied, one version later. An operation whose
// identifier is in the history returns c unchanged. On an error it returns c
// unchanged and a *ProblemsError, possibly wrapped.
func (c Catalogue) Apply(o Operation, changes []Change) (Catalogue, error) {
	if _, ok := c.Operation(o.Identifier); ok {
		return c, nil
	}
	if len(changes) == 0 {
		return c, &ProblemsError{List: []string{"the operation contains no change"}}
	}
	if err := c.checkSubjects(changes); err != nil {
		return c, err
	}
	next := c
	summaries := make([]string, 0, len(changes))
	for _, change := range changes {
		next = change.apply(next, o.At)
		summaries = append(summaries, change.String())
	}
	if err := next.Validate(); err != nil {
		return c, errors.Wrap(err, "apply")
	}
	o.Summary = strings.Join(summaries, ", ")
	return next.WithOperation(o), nil
}

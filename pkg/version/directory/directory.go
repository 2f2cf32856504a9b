// Package directory holds the operators' configuration, the backend servers and
// the registered instances as one immutable value.
//
// # Usage
//
//	d := directory.New().WithConfiguration(configuration).WithServer(server)
//	route, ok := d.Route(netip.MustParseAddrPort("198.18.0.1:443"))
package directory

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Version counts the operators' configurations; it only grows.
type Version uint64

// Kind says whether a request may run more than once.
type Kind uint8

// Kinds of request.
const (
	// Unrepeatable requests run at most once. An unknown kind counts as this.
	Unrepeatable Kind = iota
	// Repeatable requests may be sent again after any failure.
	Repeatable
	// Upload requests carry a large body and run at most once.
	Upload
)

// String returns the name that logs and reports use.
func (k Kind) String() string {
	switch k {
	case Repeatable:
		return "Repeatable"
	case Upload:
		return "Upload"
	}
	return "Unrepeatable"
}

// Share is the part of a route's new flows that goes to one service.
type Share struct {
	Service string
	// Weight is relative to those of the route's other shares.
	Weight float64
}

// Route is one address that callers connect to.
type Route struct {
	Name     string
	Endpoint netip.AddrPort
	Shares   []Share
	Kind     Kind
	// Target is the longest time in which an answer counts as on time.
	Target time.Duration
	// Timeout is the time after which a request is abandoned.
	Timeout time.Duration
	// Priority is 0 for the most important requests.
	Priority int
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name string
	// ColdFor is how long a backend server stays cold after its start.
	ColdFor time.Duration
	// ColdRate is how many requests a second a cold backend server can take.
	ColdRate float64
}

// Server is the latest description that a backend server gave of itself.
type Server struct {
	ID string
	// Number is the identifier in the form that packets carry.
	Number     uint64
	Service    string
	DataCentre string
	Endpoint   netip.AddrPort
	// Slots is how many requests it can run at once.
	Slots    int
	Draining bool
	// ColdLeft is how long it stays cold, counted from the time of this
	// description.
	ColdLeft time.Duration
	// StartedMillis is its start time in milliseconds since the Unix epoch by its
	// own clock, 0 if unknown. It distinguishes two starts under one identifier.
	StartedMillis int64
	// Era and Revision are the platform's revision of this description, in an era of its
	// store.
	Era, Revision uint64
}

// Instance is one load balancer instance as it registered itself. It may have
// stopped since.
type Instance struct {
	Name       string
	DataCentre string
	// Endpoint receives datagrams and streams from other instances.
	Endpoint netip.AddrPort
}

// Directory holds configuration, backend servers and instances at one revision of
// the platform. It never changes: each With method returns a changed copy. The
// zero value is not usable; see New.
type Directory struct {
	version     Version
	routes      map[netip.AddrPort]Route
	services    map[string]Service
	servers     []Server
	evacuated   map[string]bool
	instances   []Instance
	idleTimeout time.Duration
	era         uint64
}

// New returns an empty directory, at version 0.
func New() Directory {
	return Directory{
		routes: map[netip.AddrPort]Route{}, services: map[string]Service{},
		evacuated: map[string]bool{},
	}
}

// Version returns the version of the operators' configuration, 0 for none.
func (d Directory) Version() Version { return d.version }

// IdleTimeout returns the time after which the state of an idle flow may be
// dropped.
func (d Directory) IdleTimeout() time.Duration { return d.idleTimeout }

// Era returns the era of the platform's store, 0 if unknown.
func (d Directory) Era() uint64 { return d.era }

// WithEra returns d with the era of the platform's store set.
func (d Directory) WithEra(era uint64) Directory {
	d.era = era
	return d
}

// Route returns the route at an address and port.
func (d Directory) Route(endpoint netip.AddrPort) (Route, bool) {
	r, ok := d.routes[endpoint]
	return r, ok
}

// Routes returns how many routes there are.
func (d Directory) Routes() int { return len(d.routes) }

// EachRoute calls visit for each route, in the order of their endpoints.
func (d Directory) EachRoute(visit func(Route)) {
	for _, endpoint := range slices.SortedFunc(maps.Keys(d.routes), netip.AddrPort.Compare) {
		visit(d.routes[endpoint])
	}
}

// Service returns a service by its name.
func (d Directory) Service(name string) (Service, bool) {
	s, ok := d.services[name]
	return s, ok
}

// Servers returns all backend servers, ordered by identifier. The caller must
// not change them.
func (d Directory) Servers() []Server { return d.servers }

// Evacuated reports whether operators have taken a data centre out.
func (d Directory) Evacuated(dataCentre string) bool { return d.evacuated[dataCentre] }

// EvacuatedNames returns the names of the data centres that are out, sorted.
func (d Directory) EvacuatedNames() []string { return slices.Sorted(maps.Keys(d.evacuated)) }

// WithConfiguration returns d with configuration c in force, or d unchanged if c
// is not newer.
func (d Directory) WithConfiguration(c Configuration) Directory {
	if c.Version <= d.version {
		return d
	}
	d.version, d.idleTimeout = c.Version, c.IdleTimeout
	d.routes = make(map[netip.AddrPort]Route, len(c.Routes))
	for _, r := range c.Routes {
		d.routes[r.Endpoint] = r
	}
	d.services = make(map[string]Service, len(c.Services))
	for _, s := range c.Services {
		d.services[s.Name] = s
	}
	return d
}

// Configuration is one version of the operators' configuration.
type Configuration struct {
	Version  Version
	Routes   []Route
	Services []Service
	// IdleTimeout is how long a flow may be idle before its state may be dropped.
	IdleTimeout time.Duration
}

// WithServer returns d with a backend server added or replaced.
func (d Directory) WithServer(s Server) Directory {
	return d.WithServers(map[string]*Server{s.ID: &s})
}

// WithoutServer returns d without a backend server.
func (d Directory) WithoutServer(id string) Directory {
	return d.WithServers(map[string]*Server{id: nil})
}

// WithServers returns d with the changed backend servers, by identifier, added or
// replaced, or removed if nil. It copies and sorts all servers once, whatever the
// number of changes.
func (d Directory) WithServers(changed map[string]*Server) Directory {
	d.servers = merge(d.servers, changed, func(s Server) string { return s.ID })
	return d
}

// merge returns a copy of a list with the changed entries, by key, added or replaced, or removed
// if nil, ordered by key.
func merge[T any](list []T, changed map[string]*T, key func(T) string) []T {
	merged := make([]T, 0, len(list)+len(changed))
	for _, e := range list {
		if _, replaced := changed[key(e)]; !replaced {
			merged = append(merged, e)
		}
	}
	for _, e := range changed {
		if e != nil {
			merged = append(merged, *e)
		}
	}
	slices.SortFunc(merged, func(a, b T) int { return strings.Compare(key(a), key(b)) })
	return merged
}

// WithoutEntries returns d with nothing but its configuration.
func (d Directory) WithoutEntries() Directory {
	empty := New()
	d.servers, d.evacuated, d.instances = empty.servers, empty.evacuated, empty.instances
	return d
}

// Server returns a backend server by its identifier.
func (d Directory) Server(id string) (Server, bool) {
	index, found := slices.BinarySearchFunc(d.servers, id, func(s Server, id string) int { return strings.Compare(s.ID, id) })
	if !found {
		return Server{}, false
	}
	return d.servers[index], true
}

// Differences calls visit for each backend server whose description changed since
// an older directory, in order of identifier. before is nil for an added server
// and after is nil for a removed one.
func (d Directory) Differences(older Directory, visit func(before, after *Server)) {
	previous, current := older.servers, d.servers
	for len(previous) > 0 || len(current) > 0 {
		switch {
		case len(current) == 0 || len(previous) > 0 && previous[0].ID < current[0].ID:
			visit(&previous[0], nil)
			previous = previous[1:]
		case len(previous) == 0 || current[0].ID < previous[0].ID:
			visit(nil, &current[0])
			current = current[1:]
		default:
			if previous[0].Revision != current[0].Revision || previous[0].Era != current[0].Era {
				visit(&previous[0], &current[0])
			}
			previous, current = previous[1:], current[1:]
		}
	}
}

// WithEvacuated returns d with a data centre taken out or brought back.
func (d Directory) WithEvacuated(dataCentre string, out bool) Directory {
	d.evacuated = maps.Clone(d.evacuated)
	if out {
		d.evacuated[dataCentre] = true
	} else {
		delete(d.evacuated, dataCentre)
	}
	return d
}

// Instances returns the registered instances, ordered by name. The caller must not
// change them.
func (d Directory) Instances() []Instance { return d.instances }

// Instance returns a registered instance by its name.
func (d Directory) Instance(name string) (Instance, bool) {
	index, found := slices.BinarySearchFunc(d.instances, name, func(i Instance, name string) int { return strings.Compare(i.Name, name) })
	if !found {
		return Instance{}, false
	}
	return d.instances[index], true
}

// WithInstances returns d with the changed instances, by name, added or replaced,
// or removed if nil. It copies all instances once, whatever the number of changes.
func (d Directory) WithInstances(changed map[string]*Instance) Directory {
	if len(changed) > 0 {
		d.instances = merge(d.instances, changed, func(i Instance) string { return i.Name })
	}
	return d
}

// WithInstance returns d with an instance added or replaced.
func (d Directory) WithInstance(i Instance) Directory {
	return d.WithInstances(map[string]*Instance{i.Name: &i})
}

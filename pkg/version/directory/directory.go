// Package directory holds what operators configured and which backend servers
// there are, as one immutable value.
//
// # Usage
//
//	d := directory.New().WithConfiguration(4, routes, services).WithServer(server)
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

// Kind says what a request may suffer.
type Kind uint8

// Kinds of request.
const (
	// Unrepeatable requests run once at most. An unknown kind is taken for it.
	Unrepeatable Kind = iota
	// Repeatable requests may run again after any failure.
	Repeatable
	// Upload requests carry a large body and run once at most.
	Upload
)

// String returns the name that logs and reports show.
func (k Kind) String() string {
	switch k {
	case Repeatable:
		return "Repeatable"
	case Upload:
		return "Upload"
	}
	return "Unrepeatable"
}

// Share sends a part of a route's new flows to a service.
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
	// Target is the time within which an answer is on time.
	Target time.Duration
	// Timeout is the time after which a request is given up.
	Timeout time.Duration
	// Priority is 0 for the most important requests.
	Priority int
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name string
	// ColdFor is how long a backend server stays cold after its start.
	ColdFor time.Duration
	// ColdRate is how many requests a second a cold backend server bears.
	ColdRate float64
}

// Server is one backend server as it last described itself.
type Server struct {
	ID string
	// Number is the identifier in the form that packets carry.
	Number     uint64
	Service    string
	DataCentre string
	Endpoint   netip.AddrPort
	// Slots is how many requests it runs at once.
	Slots    int
	Draining bool
	// ColdLeft is how long it stays cold, counted from when it said so.
	ColdLeft time.Duration
	// Born is when it started, in milliseconds of the Unix epoch by its own
	// clock, and tells two starts under one identifier apart. 0 is unknown.
	Born int64
	// Revision is the platform's revision of this description.
	Revision uint64
}

// Instance is one instance of ours as it registered itself. It may have ended.
type Instance struct {
	Name       string
	DataCentre string
	// Endpoint takes datagrams and streams from other instances.
	Endpoint netip.AddrPort
}

// Directory is everything at one revision of the platform. The zero value is
// not usable; see New.
type Directory struct {
	version   Version
	routes    map[netip.AddrPort]Route
	services  map[string]Service
	servers   []Server
	evacuated map[string]bool
	instances map[string]Instance
	idle      time.Duration
}

// New returns an empty directory, at version 0.
func New() Directory {
	return Directory{
		routes: map[netip.AddrPort]Route{}, services: map[string]Service{},
		evacuated: map[string]bool{}, instances: map[string]Instance{},
	}
}

// Version returns the version of the operators' configuration, 0 for none.
func (d Directory) Version() Version { return d.version }

// IdleTimeout returns after how long an idle flow may be forgotten.
func (d Directory) IdleTimeout() time.Duration { return d.idle }

// Route returns the route at an address and port.
func (d Directory) Route(at netip.AddrPort) (Route, bool) {
	r, ok := d.routes[at]
	return r, ok
}

// Routes returns how many routes there are.
func (d Directory) Routes() int { return len(d.routes) }

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

// EvacuatedNames returns the data centres that are out, sorted.
func (d Directory) EvacuatedNames() []string { return slices.Sorted(maps.Keys(d.evacuated)) }

// WithConfiguration returns d with another configuration in force, or d as it
// is if that configuration is not newer.
func (d Directory) WithConfiguration(c Configuration) Directory {
	if c.Version <= d.version {
		return d
	}
	d.version, d.idle = c.Version, c.IdleTimeout
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

// Configuration is what operators wrote as a whole.
type Configuration struct {
	Version  Version
	Routes   []Route
	Services []Service
	// IdleTimeout is how long a flow may be idle before it may be forgotten.
	IdleTimeout time.Duration
}

// WithServer returns d with a backend server added or described anew.
func (d Directory) WithServer(s Server) Directory {
	return d.WithServers(map[string]*Server{s.ID: &s})
}

// WithoutServer returns d without a backend server.
func (d Directory) WithoutServer(id string) Directory {
	return d.WithServers(map[string]*Server{id: nil})
}

// WithServers returns d with backend servers added or described anew, by their
// identifiers, and without those that are nil. The time that it takes grows with
// the servers there are, not with their product with the changes.
func (d Directory) WithServers(changed map[string]*Server) Directory {
	servers := make([]Server, 0, len(d.servers)+len(changed))
	for _, s := range d.servers {
		if _, replaced := changed[s.ID]; !replaced {
			servers = append(servers, s)
		}
	}
	for _, s := range changed {
		if s != nil {
			servers = append(servers, *s)
		}
	}
	slices.SortFunc(servers, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
	d.servers = servers
	return d
}

// Server returns a backend server by its identifier.
func (d Directory) Server(id string) (Server, bool) {
	at, found := slices.BinarySearchFunc(d.servers, id, func(s Server, id string) int { return strings.Compare(s.ID, id) })
	if !found {
		return Server{}, false
	}
	return d.servers[at], true
}

// Differences calls each for the backend servers that were described anew since an
// older directory, with nil for one that only one of the directories has.
func (d Directory) Differences(older Directory, each func(before, after *Server)) {
	was, is := older.servers, d.servers
	for len(was) > 0 || len(is) > 0 {
		switch {
		case len(is) == 0 || len(was) > 0 && was[0].ID < is[0].ID:
			each(&was[0], nil)
			was = was[1:]
		case len(was) == 0 || is[0].ID < was[0].ID:
			each(nil, &is[0])
			is = is[1:]
		default:
			if was[0].Revision != is[0].Revision {
				each(&was[0], &is[0])
			}
			was, is = was[1:], is[1:]
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

// Instances returns the registered instances, ordered by name.
func (d Directory) Instances() []Instance {
	all := make([]Instance, 0, len(d.instances))
	for _, name := range slices.Sorted(maps.Keys(d.instances)) {
		all = append(all, d.instances[name])
	}
	return all
}

// Instance returns a registered instance by its name.
func (d Directory) Instance(name string) (Instance, bool) {
	i, ok := d.instances[name]
	return i, ok
}

// WithInstances returns d with instances registered, by their names, and without
// those that are nil.
func (d Directory) WithInstances(changed map[string]*Instance) Directory {
	d.instances = maps.Clone(d.instances)
	for name, i := range changed {
		if i == nil {
			delete(d.instances, name)
		} else {
			d.instances[name] = *i
		}
	}
	return d
}

// WithInstance returns d with an instance registered.
func (d Directory) WithInstance(i Instance) Directory {
	return d.WithInstances(map[string]*Instance{i.Name: &i})
}

package catalogue

import (
	"net/netip"
	"time"
)

// Version counts the accepted changes; it only grows.
type Version uint64

// Protocol is the transport protocol of a service address, by its IP protocol
// number.
type Protocol uint8

// Protocols that a service can use.
const (
	TCP Protocol = 6
	UDP Protocol = 17
)

// String returns the name that operators use.
func (p Protocol) String() string {
	switch p {
	case TCP:
		return "TCP"
	case UDP:
		return "UDP"
	}
	return "Unknown"
}

// BackendState is whether a backend server may receive new work.
type BackendState uint8

// States of a backend server.
const (
	BackendActive BackendState = iota + 1
	BackendLeaving
)

// String returns the name that operators see.
func (s BackendState) String() string {
	switch s {
	case BackendActive:
		return "Active"
	case BackendLeaving:
		return "Leaving"
	}
	return "Unknown"
}

// DataCentreState is whether a data centre takes part in serving.
type DataCentreState uint8

// States of a data centre.
const (
	DataCentreIn DataCentreState = iota + 1
	DataCentreOut
)

// String returns the name that operators see.
func (s DataCentreState) String() string {
	switch s {
	case DataCentreIn:
		return "In"
	case DataCentreOut:
		return "Out"
	}
	return "Unknown"
}

// Service is a group of interchangeable backend servers behind one address.
type Service struct {
	Name     string
	Address  netip.AddrPort
	Protocol Protocol
	// Changed is the version in which the service last changed.
	Changed Version
}

// Target is the service level objective of a class.
type Target struct {
	// Share is the share of requests served within Within, from 0 to 1.
	Share float64
	// Within is the time a request may take.
	Within time.Duration
	// Window is the time over which Share is counted.
	Window time.Duration
	// FlowShare is the share of flows not broken, from 0 to 1.
	FlowShare float64
}

// Class is one kind of work with its target.
type Class struct {
	Name    string
	Service string
	Target  Target
	// Repeatable says that a request may run more than once without harm.
	Repeatable bool
	// Changed is the version in which the class last changed.
	Changed Version
}

// Backend is one backend server of a service.
type Backend struct {
	Name       string
	Service    string
	DataCentre string
	// Packets is the UDP endpoint that receives encapsulated packets.
	Packets netip.AddrPort
	// Requests is the TCP endpoint that receives requests.
	Requests netip.AddrPort
	// Slots is how many requests the backend server can run at once.
	Slots uint32
	State BackendState
	// Changed is the version in which the backend server last changed.
	Changed Version
}

// DataCentre is one data centre and whether it takes part.
type DataCentre struct {
	Name  string
	State DataCentreState
	// Changed is the version in which State last changed.
	Changed Version
	// Mark is the number of the last emergency mark that State reflects.
	Mark uint64
}

// Kind is the kind of an object of the catalogue.
type Kind uint8

// Kinds of objects.
const (
	KindService Kind = iota + 1
	KindClass
	KindBackend
	KindDataCentre
)

var kindNames = [...]string{"unknown", "service", "class", "backend", "data centre"}

// String returns the name that operators use.
func (k Kind) String() string {
	if int(k) >= len(kindNames) {
		return kindNames[0]
	}
	return kindNames[k]
}

// Removal records that an object was removed, so that differences can include
// the removal and a removed service's address isn't reused too early.
type Removal struct {
	Kind    Kind
	Name    string
	Version Version
	At      time.Time
	// Address is the address of a removed service.
	Address netip.AddrPort
}

// Operation is one accepted change, kept in the catalogue's history.
type Operation struct {
	// Identifier is chosen by the caller; an operation that is applied twice
	// under one identifier takes effect once.
	Identifier string
	Version    Version
	Author     string
	Reason     string
	At         time.Time
	Summary    string
	// Digest covers this operation and all before it, so that diverged histories
	// can be distinguished. It is set when the operation is accepted.
	Digest uint64
}

func (s Service) key() string    { return s.Name }
func (c Class) key() string      { return c.Name }
func (b Backend) key() string    { return b.Name }
func (d DataCentre) key() string { return d.Name }

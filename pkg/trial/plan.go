package trial

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
)

// Plan describes a deployment for a trial.
type Plan struct {
	Name string
	// Centres are the data centres with their numbers of instances.
	Centres  []Centre
	Services []Service
	// CentreDelay is the network delay between data centres, and CallerDelay the
	// one between callers and instances. Both are for one direction.
	CentreDelay, CallerDelay time.Duration
}

// Centre is one data centre and the number of its instances.
type Centre struct {
	Name      string
	Instances int
}

// Service is one service with its one class of work. Slots is the number of
// concurrent requests of each of its backend servers.
type Service struct {
	Name       string
	Class      string
	Repeatable bool
	Backends   int
	Slots      uint32
}

// Teranga returns the deployment for year-end checklists, in three data
// centres.
func Teranga() Plan {
	return Plan{
		Name:    "teranga",
		Centres: []Centre{{"dakar-1", 3}, {"dakar-2", 3}, {"dakar-3", 3}},
		Services: []Service{
			{Name: "board", Class: "sign-off", Backends: 15, Slots: 3},
			{Name: "ledger", Class: "upload", Repeatable: true, Backends: 4, Slots: 3},
		},
		CentreDelay: time.Millisecond,
		CallerDelay: time.Millisecond,
	}
}

// Kovacsreti returns the deployment for ripening cellars, in four data centres.
func Kovacsreti() Plan {
	return Plan{
		Name:    "kovacsreti",
		Centres: []Centre{{"alfold-1", 3}, {"alfold-2", 2}, {"alfold-3", 2}, {"alfold-4", 2}},
		Services: []Service{
			{Name: "cellar-control", Class: "turning-order", Backends: 15, Slots: 2},
			{Name: "photo-archive", Class: "rind-photo", Repeatable: true, Backends: 4, Slots: 2},
		},
		CentreDelay: 1500 * time.Microsecond,
		CallerDelay: 3 * time.Millisecond,
	}
}

const (
	servicePort      = 443   // of every service address
	firstPacketPort  = 20000 // packet port of the first backend server
	firstRequestPort = 30000 // request port of the first backend server
	requestShare     = 0.99
	targetWithin     = 500 * time.Millisecond
	targetWindow     = time.Hour
	flowShare        = 0.999
	firstOperator    = "operator-1"
	pausedOperator   = "operator-2"
)

// serviceAddress returns the address of the n-th service, counted from 0.
func serviceAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(n + 1)}), servicePort)
}

// backends returns all backend servers of the plan. Those of each service are
// distributed over the data centres in turn.
func (p Plan) backends() []catalogue.Backend {
	var backends []catalogue.Backend
	for _, s := range p.Services {
		for n := range s.Backends {
			backends = append(backends, p.backend(s, n, len(backends)))
		}
	}
	return backends
}

func (p Plan) backend(s Service, n, number int) catalogue.Backend {
	host := netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number)})
	return catalogue.Backend{
		Name:       fmt.Sprintf("%s-%d", s.Name, n+1),
		Service:    s.Name,
		DataCentre: p.Centres[n%len(p.Centres)].Name,
		Packets:    netip.AddrPortFrom(host, uint16(firstPacketPort+number)),
		Requests:   netip.AddrPortFrom(host, uint16(firstRequestPort+number)),
		Slots:      s.Slots,
		State:      catalogue.BackendActive,
	}
}

// changes returns the changes that make the first configuration. It lacks the
// last backend server of each service, so that a trial can add it.
func (p Plan) changes() []catalogue.Change {
	var changes []catalogue.Change
	for _, c := range p.Centres {
		d := catalogue.DataCentre{Name: c.Name, State: catalogue.DataCentreIn}
		changes = append(changes, catalogue.PutDataCentre{DataCentre: d})
	}
	target := catalogue.Target{Share: requestShare, Within: targetWithin, Window: targetWindow, FlowShare: flowShare}
	for n, s := range p.Services {
		changes = append(changes,
			catalogue.PutService{Service: catalogue.Service{Name: s.Name, Address: serviceAddress(n), Protocol: catalogue.TCP}},
			catalogue.PutClass{Class: catalogue.Class{Name: s.Class, Service: s.Name, Target: target, Repeatable: s.Repeatable}})
	}
	for _, b := range p.backends() {
		if !p.isSpare(b) {
			changes = append(changes, catalogue.PutBackend{Backend: b})
		}
	}
	return changes
}

// isSpare reports whether b is the last backend server of its service, which the
// first configuration lacks.
func (p Plan) isSpare(b catalogue.Backend) bool {
	for _, s := range p.Services {
		if b.Service == s.Name {
			return b.Name == fmt.Sprintf("%s-%d", s.Name, s.Backends)
		}
	}
	return false
}

package demo

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/tanagerweir/tanagerweir/pkg/process/certificate"
	"github.com/tanagerweir/tanagerweir/pkg/process/instance"
	"github.com/tanagerweir/tanagerweir/pkg/process/listing"
	"github.com/tanagerweir/tanagerweir/pkg/process/settings"
	"github.com/tanagerweir/tanagerweir/pkg/process/store"
	"github.com/tanagerweir/tanagerweir/pkg/standin/backend"
	"github.com/tanagerweir/tanagerweir/pkg/standin/platform"
	"github.com/tanagerweir/tanagerweir/service/api"
)

// loopback listens on any free loopback port.
const loopback = "127.0.0.1:0"

// certificateValidity is how long the certificates of a Cluster are valid.
const certificateValidity = 30 * 24 * time.Hour

// Cluster is a whole deployment in one process, with real loopback sockets. Its
// methods are not safe for use from several goroutines. Close it with the
// function that NewCluster returns.
type Cluster struct {
	Platform  *platform.Server
	Instances []*instance.Instance
	Backends  map[string]*backend.Server

	plan           Plan
	logger         *slog.Logger
	endpoint       netip.AddrPort
	client         *store.Client
	cleanups       []func() // run in reverse order
	configuration  *api.Catalogue
	authority      *certificate.Authority
	operator       certificate.Caller
	closeInstances map[string]func() // by name
}

// Plan describes the size of a Cluster. Pool contains the addresses that
// services get.
type Plan struct {
	DataCentres        []string
	InstancesPerCentre int
	Services           []ServicePlan
	Pool               netip.Prefix
}

// ServicePlan describes one service: the number of its backend servers and the
// slots of each.
type ServicePlan struct {
	Name     string
	Backends int
	Slots    uint32
}

// FullPlan returns the deployment of the demonstration: nine instances in three
// data centres.
func FullPlan() Plan {
	return Plan{
		DataCentres:        []string{"dakar-1", "dakar-2", "dakar-3"},
		InstancesPerCentre: 3,
		Services:           []ServicePlan{{Name: "board", Backends: 15, Slots: 3}, {Name: "ledger", Backends: 4, Slots: 3}},
		Pool:               netip.MustParsePrefix("192.0.2.0/24"),
	}
}

// SmallPlan returns a deployment for tests: one instance, and one backend
// server for each service.
func SmallPlan() Plan {
	return Plan{
		DataCentres:        []string{"dakar-1"},
		InstancesPerCentre: 1,
		Services:           []ServicePlan{{Name: "board", Backends: 1, Slots: 3}, {Name: "ledger", Backends: 1, Slots: 3}},
		Pool:               netip.MustParsePrefix("192.0.2.0/24"),
	}
}

// NewCluster starts the deployment without a configuration; see Configure. A
// nil logger discards all messages. The returned function stops the deployment.
func NewCluster(ctx context.Context, p Plan, logger *slog.Logger) (*Cluster, func(), error) {
	if logger == nil {
		logger = slog.New(slog.DiscardHandler)
	}
	authority, err := certificate.NewAuthority(time.Now(), certificateValidity)
	if err != nil {
		return nil, nil, err
	}
	c := &Cluster{plan: p, Backends: make(map[string]*backend.Server), closeInstances: make(map[string]func()), logger: logger, authority: authority}
	operator, err := c.Certificates(demoOperator())
	if err != nil {
		return nil, nil, err
	}
	c.operator = operator.Caller()
	if err := c.start(ctx, p); err != nil {
		c.close()
		return nil, nil, err
	}
	return c, c.close, nil
}

func (c *Cluster) start(ctx context.Context, p Plan) error {
	if err := c.startPlatform(); err != nil {
		return err
	}
	for _, s := range p.Services {
		if err := c.startBackends(ctx, s, p.DataCentres); err != nil {
			return err
		}
	}
	for _, d := range p.DataCentres {
		for n := range p.InstancesPerCentre {
			if err := c.startInstance(ctx, fmt.Sprintf("%s-entry-%d", d, n+1), d, p.Pool); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *Cluster) close() {
	for _, cleanup := range slices.Backward(c.cleanups) {
		cleanup()
	}
}

// startPlatform starts the stand-in for the platform and connects to it.
func (c *Cluster) startPlatform() error {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return errors.Wrap(err, "start platform")
	}
	c.endpoint = listener.Addr().(*net.TCPAddr).AddrPort()
	c.Platform = platform.New(time.Now)
	server := grpc.NewServer()
	platform.Register(server, c.Platform)
	go c.runPlatform(server, listener)
	c.cleanups = append(c.cleanups, server.Stop)
	client, closeClient, err := store.Dial(c.endpoint.String(), insecure.NewCredentials())
	if err != nil {
		return err
	}
	c.client = client
	c.cleanups = append(c.cleanups, func() { c.logError(closeClient()) })
	return nil
}

func (c *Cluster) runPlatform(server *grpc.Server, listener net.Listener) {
	c.logError(server.Serve(listener))
}

// logError logs an error of a part of the deployment, if there is one.
func (c *Cluster) logError(err error) {
	if err != nil {
		c.logger.Debug("Demo: a part of the deployment ended with an error.", "Error", err)
	}
}

// startBackends starts the backend servers of a service and puts them on the
// platform's list, distributed over the data centres in turn.
func (c *Cluster) startBackends(ctx context.Context, s ServicePlan, dataCentres []string) error {
	for n := range s.Backends {
		name := fmt.Sprintf("%s-%d", s.Name, n+1)
		server, closeServer, err := backend.New(name, s.Slots)
		if err != nil {
			return err
		}
		c.cleanups = append(c.cleanups, closeServer)
		c.Backends[name] = server
		entry := listing.Entry{
			Name: name, Kind: listing.BackendServer, State: listing.Live,
			DataCentre: dataCentres[n%len(dataCentres)],
			Packets:    server.Packets(), Requests: server.Requests(), Slots: s.Slots,
		}
		if err := c.List(ctx, entry); err != nil {
			return err
		}
	}
	return nil
}

// startInstance starts an instance and puts it on the platform's list.
func (c *Cluster) startInstance(ctx context.Context, name, dataCentre string, pool netip.Prefix) error {
	source, err := c.Certificates(certificate.Identity{Name: name, Role: certificate.Instance})
	if err != nil {
		return err
	}
	endpoint := netip.MustParseAddrPort(loopback)
	node, closeNode, err := instance.New(settings.Settings{
		Name: name, DataCentre: dataCentre, Region: "demo",
		Packets: endpoint, Passed: endpoint, Requests: endpoint, Admin: endpoint, Peer: endpoint, Metrics: endpoint,
		Platform: c.endpoint, Pool: pool, Security: settings.Mutual, Grace: 30 * time.Second,
	}, instance.Options{Logger: c.logger, Certificates: source})
	if err != nil {
		return err
	}
	c.cleanups = append(c.cleanups, closeNode)
	c.closeInstances[name] = closeNode
	c.Instances = append(c.Instances, node)
	s := node.Settings()
	return c.List(ctx, listing.Entry{
		Name: name, Kind: listing.EntryInstance, State: listing.Live, DataCentre: dataCentre,
		Packets: s.Packets, Passed: s.Passed, Requests: s.Requests, Admin: s.Admin, Peer: s.Peer,
	})
}

func demoOperator() certificate.Identity {
	return certificate.Identity{Name: "demo", Role: certificate.Operator}
}

// Operator returns an API caller with the certificate of an operator.
func (c *Cluster) Operator() certificate.Caller { return c.operator }

// Certificates issues a certificate for the identity and returns a source with
// it.
func (c *Cluster) Certificates(i certificate.Identity) (*certificate.Source, error) {
	m, err := c.authority.Issue(i)
	if err != nil {
		return nil, err
	}
	return certificate.FromMaterial(m, certificate.Options{Logger: c.logger})
}

// WriteCertificates issues a certificate for the identity and writes its files
// into the directory, which is created if it does not exist.
func (c *Cluster) WriteCertificates(directory string, i certificate.Identity) (certificate.Files, error) {
	m, err := c.authority.Issue(i)
	if err != nil {
		return certificate.Files{}, err
	}
	return m.Write(directory)
}

// List puts an entry on the platform's list. It replaces an entry of the same
// name.
func (c *Cluster) List(ctx context.Context, e listing.Entry) error {
	data, err := e.Encode()
	if err != nil {
		return err
	}
	key := listing.Prefix + e.Name
	present, _, err := c.client.Get(ctx, key)
	if err != nil {
		return err
	}
	_, err = c.client.Swap(ctx, key, present.Revision, data)
	return err
}

// StopInstance stops the n-th instance as planned, removes it from the
// platform's list and returns its name. Later instances move down by one.
func (c *Cluster) StopInstance(ctx context.Context, n int) (string, error) {
	node := c.Instances[n]
	c.Instances = slices.Delete(c.Instances, n, n+1)
	if err := node.Stop(ctx); err != nil {
		return "", err
	}
	c.closeInstances[node.Name()]()
	return node.Name(), c.client.RemoveRange(ctx, listing.Prefix+node.Name(), listing.Prefix+node.Name()+"\x00")
}

// KillInstance ends the n-th instance at once and leaves it on the platform's
// list. Later instances move down by one.
func (c *Cluster) KillInstance(n int) {
	node := c.Instances[n]
	c.Instances = slices.Delete(c.Instances, n, n+1)
	c.closeInstances[node.Name()]()
}

func (c *Cluster) packetEndpoints() []netip.AddrPort {
	var endpoints []netip.AddrPort
	for _, i := range c.Instances {
		endpoints = append(endpoints, i.Settings().Packets)
	}
	return endpoints
}

// serviceOf returns the service of a backend server, empty if the configuration
// does not have it.
func (c *Cluster) serviceOf(backend string) string {
	for _, b := range c.configuration.GetBackends() {
		if b.GetName() == backend {
			return b.GetService()
		}
	}
	return ""
}

// Admin returns the admin endpoint of the n-th instance.
func (c *Cluster) Admin(n int) string { return c.Instances[n].Settings().Admin.String() }

package demo

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
	"github.com/tanagerweir/tanagerweir/service/api"
	"github.com/tanagerweir/tanagerweir/service/api/apiconnect"
)

const (
	inForceTimeout = 5 * time.Second  // for a change to come into force on all instances
	readyTimeout   = 20 * time.Second // for new instances to find each other
	pollPeriod     = 20 * time.Millisecond
)

// Configure creates the services, classes, backend servers and data centres of
// the plan as an operator would. It waits until the configuration is in force
// on all instances and they serve packets.
func (c *Cluster) Configure(ctx context.Context) error {
	if err := c.configure(ctx); err != nil {
		return err
	}
	return c.awaitReady(ctx)
}

// configure applies the first configuration and waits until it is in force. It
// retries while the instance refuses the changes as invalid.
func (c *Cluster) configure(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	admin := apiconnect.NewAdminClient(c.operator, c.operator.URL(c.Admin(0)))
	request := &api.ApplyRequest{
		Identifier: "demo-1", Author: "demo", Reason: "first configuration", Changes: c.changes(),
	}
	for {
		answer, err := admin.Apply(ctx, connect.NewRequest(request))
		if err == nil {
			c.configuration = answer.Msg.GetCatalogue()
			return c.awaitInForce(ctx)
		}
		// The instance may not have read the platform's list yet.
		if connect.CodeOf(err) != connect.CodeInvalidArgument {
			return errors.Wrap(err, "configure")
		}
		if sleep(ctx, pollPeriod) != nil {
			return errors.Wrap(err, "configure")
		}
	}
}

// SetDataCentre takes a data centre out or brings it back, and waits until that
// is in force on all instances.
func (c *Cluster) SetDataCentre(ctx context.Context, name string, state api.DataCentreState) error {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	admin := apiconnect.NewAdminClient(c.operator, c.operator.URL(c.Admin(0)))
	d := &api.DataCentre{Name: name, State: state}
	answer, err := admin.Apply(ctx, connect.NewRequest(&api.ApplyRequest{
		Identifier: fmt.Sprintf("demo-%s-%s", name, state), Author: "demo", Reason: "move of a data centre",
		Changes: []*api.Change{{Edit: &api.Change_PutDataCentre{PutDataCentre: d}}},
	}))
	if err != nil {
		return errors.Wrap(err, "move data centre")
	}
	c.configuration = answer.Msg.GetCatalogue()
	return c.awaitInForce(ctx)
}

// Catalogue returns the configuration that Configure or SetDataCentre applied
// last, nil before.
func (c *Cluster) Catalogue() *api.Catalogue { return c.configuration }

// changes returns the changes that make the first configuration.
func (c *Cluster) changes() []*api.Change {
	var changes []*api.Change
	for _, name := range c.plan.DataCentres {
		d := &api.DataCentre{Name: name, State: api.DataCentreState_DATA_CENTRE_STATE_IN}
		changes = append(changes, &api.Change{Edit: &api.Change_PutDataCentre{PutDataCentre: d}})
	}
	for _, p := range c.plan.Services {
		put := &api.Service{Name: p.Name, Protocol: api.Protocol_PROTOCOL_TCP}
		changes = append(changes, &api.Change{Edit: &api.Change_PutService{PutService: put}})
		for n := range p.Backends {
			b := &api.Backend{Name: fmt.Sprintf("%s-%d", p.Name, n+1), Service: p.Name}
			changes = append(changes, &api.Change{Edit: &api.Change_PutBackend{PutBackend: b}})
		}
	}
	for _, l := range classes() {
		changes = append(changes, &api.Change{Edit: &api.Change_PutClass{PutClass: l}})
	}
	return changes
}

func classes() []*api.Class {
	target := &api.Target{Share: 0.99, WithinMilliseconds: 500, WindowSeconds: 3600, FlowShare: 0.999}
	return []*api.Class{
		{Name: "sign-off", Service: "board", Target: target},
		{Name: "upload", Service: "ledger", Target: target, Repeatable: true},
	}
}

// awaitInForce waits until the newest configuration is in force on all
// instances.
func (c *Cluster) awaitInForce(ctx context.Context) error {
	for !c.inForce() {
		if sleep(ctx, pollPeriod) != nil {
			return errors.New("the configuration did not come into force on all instances in time")
		}
	}
	return nil
}

// awaitReady waits until all instances serve packets.
func (c *Cluster) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, i := range c.Instances {
		for !i.Ready() {
			if sleep(ctx, pollPeriod) != nil {
				return errors.Errorf("instance %s did not become ready in time", i.Name())
			}
		}
	}
	return nil
}

func (c *Cluster) inForce() bool {
	for _, i := range c.Instances {
		if i.Version() < catalogue.Version(c.configuration.GetVersion()) {
			return false
		}
	}
	return true
}

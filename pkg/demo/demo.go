// Package demo runs a whole deployment in one process and demonstrates it.
//
// It starts a stand-in for the platform, backend servers and nine instances in
// three data centres, creates the configuration as an operator would, sends
// flows and requests through the instances, and prints the report. Run returns
// an error if any packet or request is not handled correctly.
//
// # Usage
//
//	err := demo.Run(ctx, os.Stdout, demo.Options{For: 5 * time.Second})
package demo

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"github.com/tanagerweir/tanagerweir/pkg/process/certificate"
	"github.com/tanagerweir/tanagerweir/pkg/process/report"
	"github.com/tanagerweir/tanagerweir/pkg/standin/fabric"
	"github.com/tanagerweir/tanagerweir/service/api"
	"github.com/tanagerweir/tanagerweir/service/api/apiconnect"
)

const (
	requestsPerClass = 100                     // requests of each class in one step
	flowCountPause   = 1500 * time.Millisecond // for instances to count the flows that ended, which they do once a second
)

// Options configures the demonstration.
type Options struct {
	// For is how long the deployment keeps running after the demonstration.
	// Zero keeps it running until the context ends.
	For time.Duration
	// Seed determines which instance each packet is sent to.
	Seed uint64
	// Certificates is the directory that the operator's certificate is written
	// to, so that other commands can reach the deployment. If it is empty, none
	// is written.
	Certificates string
	Logger       *slog.Logger
}

// Run runs the demonstration and writes its progress to out.
func Run(ctx context.Context, out io.Writer, o Options) error {
	cluster, closeCluster, err := NewCluster(ctx, FullPlan(), o.Logger)
	if err != nil {
		return err
	}
	defer closeCluster()
	d := &demonstration{
		cluster: cluster, plan: cluster.plan, out: out, seed: o.Seed,
		client: http.DefaultClient, operator: cluster.Operator(), closeTraffic: func() {},
	}
	if o.Certificates != "" {
		if err := d.certificates(o.Certificates); err != nil {
			return err
		}
	}
	return d.run(ctx, o.For)
}

// demonstration is one run of Run.
type demonstration struct {
	cluster       *Cluster
	plan          Plan
	out           io.Writer
	seed          uint64
	client        *http.Client
	configuration *api.Catalogue
	traffic       *traffic
	// closeTraffic ends the traffic. It does nothing before there is any.
	closeTraffic func()

	operator certificate.Caller
	// flags are those with which weirctl uses the written certificate.
	flags string
}

// certificates writes the operator's certificate into the directory.
func (d *demonstration) certificates(directory string) error {
	f, err := d.cluster.WriteCertificates(directory, demoOperator())
	if err != nil {
		return err
	}
	d.flags = fmt.Sprintf(" --certificate %s --key %s --authority %s", f.Certificate, f.Key, f.Authority)
	return nil
}

func (d *demonstration) print(format string, args ...any) { fmt.Fprintf(d.out, format+"\n", args...) }

// run runs all steps and then keeps the deployment running, until ctx ends if
// keepRunning is zero.
func (d *demonstration) run(ctx context.Context, keepRunning time.Duration) error {
	d.print("Started the platform stand-in, %d backend servers and %d instances in %d data centres.",
		len(d.cluster.Backends), len(d.cluster.Instances), len(d.plan.DataCentres))
	steps := []func(context.Context) error{d.configure, d.openFlows, d.requests, d.stopInstance, d.moveDataCentre, d.requests, d.endFlows, d.report}
	defer func() { d.closeTraffic() }()
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	if keepRunning > 0 {
		d.print("Running for another %s.", keepRunning)
		return sleep(ctx, keepRunning)
	}
	if d.flags == "" {
		d.print("Running until interrupted. Start it with --certificates DIRECTORY to try other commands against it.")
	} else {
		d.print("Running until interrupted. Try: weirctl --instance %s%s report", d.cluster.Admin(0), d.flags)
	}
	<-ctx.Done()
	return nil
}

// configure creates the configuration and the flows.
func (d *demonstration) configure(ctx context.Context) error {
	if err := d.cluster.Configure(ctx); err != nil {
		return err
	}
	d.configuration = d.cluster.Catalogue()
	t, closeTraffic, err := newTraffic(d.cluster, d.seed)
	if err != nil {
		return err
	}
	d.traffic = t
	d.closeTraffic = func() { d.cluster.logError(closeTraffic()) }
	d.print("Created %d services, %d classes and %d backend servers: version %d is in force on all instances.",
		len(d.configuration.GetServices()), len(d.configuration.GetClasses()), len(d.configuration.GetBackends()), d.configuration.GetVersion())
	return nil
}

// openFlows opens every flow and sends two more packets of each.
func (d *demonstration) openFlows(ctx context.Context) error {
	if err := d.sendRounds(ctx, fabric.Start, fabric.Middle, fabric.Middle); err != nil {
		return err
	}
	d.print("Opened %d flows over %d instances: each flow at one backend server of its service.",
		len(d.traffic.flows), len(d.cluster.Instances))
	return nil
}

// sendRounds sends one packet of every flow for each stage.
func (d *demonstration) sendRounds(ctx context.Context, stages ...fabric.Stage) error {
	for _, stage := range stages {
		if err := d.traffic.sendRound(ctx, stage); err != nil {
			return err
		}
	}
	return nil
}

// stopInstance stops one instance as planned and checks that all flows
// continue.
func (d *demonstration) stopInstance(ctx context.Context) error {
	name, err := d.cluster.StopInstance(ctx, len(d.cluster.Instances)-1)
	if err != nil {
		return err
	}
	d.traffic.spray.SetInstances(d.cluster.packetEndpoints())
	if err := d.sendRounds(ctx, fabric.Middle, fabric.Middle); err != nil {
		return err
	}
	d.print("Stopped instance %s as planned: %d flows go on.", name, len(d.traffic.flows))
	return nil
}

// moveDataCentre takes a data centre out, checks that no packet reaches it and
// that the other flows continue, and brings it back.
func (d *demonstration) moveDataCentre(ctx context.Context) error {
	centre := d.plan.DataCentres[1]
	if err := d.cluster.SetDataCentre(ctx, centre, api.DataCentreState_DATA_CENTRE_STATE_OUT); err != nil {
		return err
	}
	d.traffic.giveUp(centre)
	before := d.traffic.packetsAt(centre)
	if err := d.sendRounds(ctx, fabric.Middle, fabric.Middle); err != nil {
		return err
	}
	if packets := d.traffic.packetsAt(centre) - before; packets > 0 {
		return errors.Errorf("%d packets reached %s after it was out", packets, centre)
	}
	d.print("Took data centre %s out: %d flows there were given up, %d others go on, no packet reached it since.",
		centre, d.traffic.flowsGivenUp, len(d.traffic.flows))
	if err := d.cluster.SetDataCentre(ctx, centre, api.DataCentreState_DATA_CENTRE_STATE_IN); err != nil {
		return err
	}
	if err := d.sendRounds(ctx, fabric.Middle, fabric.Middle); err != nil {
		return err
	}
	d.print("Brought data centre %s back: %d flows go on.", centre, len(d.traffic.flows))
	return nil
}

// endFlows ends every flow.
func (d *demonstration) endFlows(ctx context.Context) error {
	if err := d.sendRounds(ctx, fabric.End); err != nil {
		return err
	}
	// Instances count the flows that ended once a second.
	if err := sleep(ctx, flowCountPause); err != nil {
		return err
	}
	d.print("Ended %d flows; none was broken, %d packets were sent again.", len(d.traffic.flows), d.traffic.resentPackets)
	return nil
}

// sleep waits for the duration, or returns the error of ctx if that ends first.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// requests sends requests of each class, distributed over the instances in
// turn.
func (d *demonstration) requests(ctx context.Context) error {
	for _, class := range d.configuration.GetClasses() {
		for n := range requestsPerClass {
			node := d.cluster.Instances[n%len(d.cluster.Instances)]
			if err := d.request(ctx, node.Settings().Requests.String(), class.GetName(), n); err != nil {
				return err
			}
		}
		d.print("Class %s: %d requests answered whole, verdict Ran.", class.GetName(), requestsPerClass)
	}
	return nil
}

// request sends one request and checks its verdict and answer.
func (d *demonstration) request(ctx context.Context, endpoint, class string, n int) error {
	body := fmt.Sprintf("%s %d", class, n)
	entrance := apiconnect.NewEntranceClient(d.client, "http://"+endpoint)
	answer, err := entrance.Submit(ctx, connect.NewRequest(&api.SubmitRequest{Class: class, Body: []byte(body)}))
	if err != nil {
		return errors.Wrapf(err, "request %q", body)
	}
	if answer.Msg.GetVerdict() != api.Verdict_VERDICT_RAN {
		return errors.Errorf("request %q: %s %s", body, answer.Msg.GetVerdict(), answer.Msg.GetCause())
	}
	if got := string(answer.Msg.GetBody()); len(got) < len(body) || got[len(got)-len(body):] != body {
		return errors.Errorf("request %q was answered with %q", body, got)
	}
	return nil
}

// report writes the report once every instance that is still listed answers.
func (d *demonstration) report(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	for {
		r, err := report.Collect(ctx, d.operator, d.cluster.Admin(0))
		if err != nil {
			return err
		}
		if len(r.Missing) == 0 {
			return r.WriteTable(d.out)
		}
		if sleep(ctx, pollPeriod) != nil {
			return errors.Errorf("instances missing from the report: %v", r.Missing)
		}
	}
}

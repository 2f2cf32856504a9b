package demo

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"github.com/tanagerweir/tanagerweir/pkg/connection/flow"
	"github.com/tanagerweir/tanagerweir/pkg/standin/fabric"
	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
	"github.com/tanagerweir/tanagerweir/service/api"
)

const (
	flowsPerService = 200                   // flows that the demonstration opens
	maxSends        = 20                    // of one packet, counting retransmissions
	sendPause       = 50 * time.Millisecond // between two of them
)

// demoFlow is one flow of the demonstration.
type demoFlow struct {
	key     flow.Key
	service string
	// home is the backend server that the packets of the flow reach, empty
	// before the first. packets is how many have reached it.
	home    string
	packets int
}

// traffic is the flows of the demonstration.
type traffic struct {
	cluster *Cluster
	spray   *fabric.Spray
	flows   []*demoFlow
	// centres maps each backend server to its data centre.
	centres map[string]string
	// resentPackets counts retransmissions. flowsGivenUp counts flows that
	// ended because their data centre was taken out.
	resentPackets int
	flowsGivenUp  int
}

// newTraffic returns flows to every service of the configuration, and the
// function that closes their socket.
func newTraffic(c *Cluster, seed uint64) (*traffic, func() error, error) {
	spray, closeSpray, err := fabric.New(c.packetEndpoints(), seed)
	if err != nil {
		return nil, nil, err
	}
	t := &traffic{cluster: c, spray: spray, centres: make(map[string]string)}
	for _, b := range c.Catalogue().GetBackends() {
		t.centres[b.GetName()] = b.GetDataCentre()
	}
	for _, s := range c.Catalogue().GetServices() {
		if err := t.addFlows(s); err != nil {
			return nil, nil, errors.Join(err, closeSpray())
		}
	}
	return t, closeSpray, nil
}

// addFlows adds flowsPerService flows to a service.
func (t *traffic) addFlows(s *api.Service) error {
	destination, err := netip.ParseAddrPort(s.GetAddress())
	if err != nil {
		return errors.Wrap(err, "service address")
	}
	for n := range flowsPerService {
		source := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 51, 100, byte(n)}), uint16(10_000+n))
		key := flow.Key{Protocol: catalogue.TCP, Source: source, Destination: destination}
		t.flows = append(t.flows, &demoFlow{key: key, service: s.GetName()})
	}
	return nil
}

// sendRound sends the next packet of every flow, retransmits those that do not
// arrive, and checks that each flow stays at one backend server of its service.
func (t *traffic) sendRound(ctx context.Context, stage fabric.Stage) error {
	waiting := t.flows
	for try := range maxSends {
		if try > 0 {
			t.resentPackets += len(waiting)
		}
		for _, f := range waiting {
			if err := t.spray.Send(f.key, stage); err != nil {
				return err
			}
		}
		if err := sleep(ctx, sendPause); err != nil {
			return err
		}
		var err error
		if waiting, err = t.withoutArrival(waiting); err != nil || len(waiting) == 0 {
			return err
		}
	}
	return errors.Errorf("%d flows have packets that did not arrive, %v among them", len(waiting), waiting[0].key)
}

// withoutArrival updates where packets of the flows have arrived and returns
// the flows without a new arrival.
func (t *traffic) withoutArrival(waiting []*demoFlow) ([]*demoFlow, error) {
	arrivals := make(map[flow.Key]map[string]int)
	for _, b := range t.cluster.Catalogue().GetBackends() {
		for k, n := range t.cluster.Backends[b.GetName()].Flows() {
			if arrivals[k] == nil {
				arrivals[k] = make(map[string]int)
			}
			arrivals[k][b.GetName()] = n
		}
	}
	var left []*demoFlow
	for _, f := range waiting {
		before := f.packets
		if err := f.noteArrivals(arrivals[f.key], t.cluster.serviceOf); err != nil {
			return nil, err
		}
		if f.packets == before {
			left = append(left, f)
		}
	}
	return left, nil
}

// noteArrivals takes the packets of the flow that arrived at each backend
// server. It returns an error if one arrived at a wrong server.
func (f *demoFlow) noteArrivals(arrivals map[string]int, serviceOf func(string) string) error {
	for name, n := range arrivals {
		if serviceOf(name) != f.service {
			return errors.Errorf("a packet of %s reached %s", f.service, name)
		}
		if f.home != "" && f.home != name {
			return errors.Errorf("flow %v reached %s and %s", f.key, f.home, name)
		}
		f.home, f.packets = name, n
	}
	return nil
}

// giveUp removes the flows whose backend servers are in the data centre.
func (t *traffic) giveUp(dataCentre string) {
	var remaining []*demoFlow
	for _, f := range t.flows {
		if t.centres[f.home] == dataCentre {
			t.flowsGivenUp++
			continue
		}
		remaining = append(remaining, f)
	}
	t.flows = remaining
}

// packetsAt returns the number of packets that reached the backend servers of a
// data centre.
func (t *traffic) packetsAt(dataCentre string) int {
	total := 0
	for name, centre := range t.centres {
		if centre != dataCentre {
			continue
		}
		for _, n := range t.cluster.Backends[name].Flows() {
			total += n
		}
	}
	return total
}

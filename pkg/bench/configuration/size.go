package configuration

import (
	"fmt"
	"net/netip"

	"github.com/tanagerweir/tanagerweir/pkg/bench"
	"github.com/tanagerweir/tanagerweir/pkg/version/catalogue"
	"github.com/tanagerweir/tanagerweir/pkg/version/gossip"
	"github.com/tanagerweir/tanagerweir/service/api"
)

// The deployment size to design for.
const (
	designServices = 1_200
	designBackends = 3_800
	designCentres  = 9
)

// size measures the encoded size of the stored value, which is a full copy, and of
// one difference, at the design size and with a full history.
func (m *measurement) size() {
	c, err := largeCatalogue()
	if err != nil {
		m.err = err
		return
	}
	full, err := api.EncodeCatalogue(c)
	if err != nil {
		m.err = err
		return
	}
	base := c.Version() - 1
	difference, ok := c.Since(base, c.DigestAt(base))
	if !ok {
		m.err = fmt.Errorf("the design-size catalogue has no difference from version %d", base)
		return
	}
	change, err := api.EncodeUpdate(gossip.Update{Difference: &difference})
	if err != nil {
		m.err = err
		return
	}
	m.add(bench.AtMost(bench.Tanagerweir, "StoredValueBytes", float64(len(full)), "B", valueBound))
	m.add(bench.Measured(bench.Tanagerweir, "DifferenceBytes", float64(len(change)), "B"))
}

// largeCatalogue returns a catalogue of the design size whose history is full.
func largeCatalogue() (catalogue.Catalogue, error) {
	c, err := largeCatalogueStart()
	for i := 0; err == nil && c.Version() < catalogue.HistoryLimit; i++ {
		b := c.Backends()[i*7%designBackends]
		b.Slots++
		o := catalogue.Operation{
			Identifier: fmt.Sprintf("operator-%d", 1_767_225_600_000_000_000+i*7_919),
			Author:     "operator", Reason: "more slots for the deadline",
		}
		c, err = c.Apply(o, []catalogue.Change{catalogue.PutBackend{Backend: b}})
	}
	return c, err
}

// largeCatalogueStart returns the first version of largeCatalogue.
func largeCatalogueStart() (catalogue.Catalogue, error) {
	var p catalogue.Parts
	for i := range designCentres {
		p.DataCentres = append(p.DataCentres, catalogue.DataCentre{Name: fmt.Sprintf("dc-%d", i+1), State: catalogue.DataCentreIn})
	}
	for i := range designServices {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, byte(i >> 8), byte(i)}), 443)
		p.Services = append(p.Services, catalogue.Service{Name: fmt.Sprintf("service-%d", i+1), Protocol: catalogue.TCP, Address: address})
	}
	for i := range designBackends {
		address := netip.AddrFrom4([4]byte{10, byte(i % 251), byte(i >> 8), byte(i)})
		p.Backends = append(p.Backends, catalogue.Backend{
			Name: fmt.Sprintf("service-%d-%d", i%designServices+1, i/designServices+1), Service: fmt.Sprintf("service-%d", i%designServices+1),
			DataCentre: p.DataCentres[i%designCentres].Name, Slots: 3, State: catalogue.BackendActive,
			Packets: netip.AddrPortFrom(address, 4000), Requests: netip.AddrPortFrom(address, 8000),
		})
	}
	start := catalogue.FromParts(p)
	o := catalogue.Operation{Identifier: "first", Author: "operator", Reason: "first configuration"}
	return start.Apply(o, []catalogue.Change{catalogue.PutDataCentre{DataCentre: p.DataCentres[0]}})
}

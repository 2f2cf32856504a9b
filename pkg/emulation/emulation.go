// Package emulation runs a day of a deployment in one process and in virtual time.
// Instances run their real engine, package entry, with the platform's real formats;
// callers, routers, backend servers, links and the platform's store are models.
//
// # Usage
//
//	d, err := day.Load("dakar.ini")
//	if err != nil {
//		return err
//	}
//	result, err := emulation.Run(d, emulation.Options{Seed: 1, Platform: formats})
//	for _, b := range result.Breaches {
//		fmt.Println(b.At, b.Promise, b.Text)
//	}
//
// The same day, seed and design always give the same result and the same log.
package emulation

import (
	"fmt"
	"io"

	"github.com/tanagerweir/tanagerweir/pkg/emulation/day"
)

// Options choose how a day is run.
type Options struct {
	Seed     uint64
	Platform Platform
	// Policy replaces that of the day; the zero value leaves it as it is.
	Policy day.Policy
	// WithoutAdmission lets instances admit all new flows.
	WithoutAdmission bool
	// Log receives the logs of all instances as JSON lines; nil discards them.
	Log io.Writer
}

// Result holds the figures of one run of a day. WriteJSON encodes it under these field
// names.
type Result struct {
	Day    string
	Seed   uint64
	Design day.Design
	// Worth is the weighted benefit of the day, less its prices.
	Worth float64
	// WorstWindows is the mean benefit of the two worst windows of 2 s.
	WorstWindows float64
	All          ServiceLevel
	Classes      []ServiceLevel
	DataCentres  []ServiceLevel
	Windows      []ServiceLevel
	// StoreCalls counts the calls of all instances to the store, BusiestWrites those
	// that write within the second that has most of them, and BytesBetween the bytes
	// between data centres.
	StoreCalls    int
	BusiestWrites int
	BytesBetween  int
	// Faults lists the faults that were injected, one line each.
	Faults []string
	// Broken is the number of breaches of promises. Breaches lists the first 50.
	Broken   int
	Breaches []Breach
}

// Run emulates a day in the calling goroutine, until each request is answered or its
// budget has passed. It fails if an instance can't start, a configuration can't be
// encoded, or a fault has an unknown kind.
func Run(d day.Day, o Options) (Result, error) {
	if o.Policy == (day.Policy{}) {
		o.Policy = d.Policy
	}
	if o.Policy.Design == "" {
		o.Policy.Design = day.Product
	}
	w := newWorld(d, o)
	w.run()
	if w.err != nil {
		return Result{}, w.err
	}
	return w.result(), nil
}

func (w *world) result() Result {
	t := w.tally
	r := Result{
		Day: w.day.Name, Seed: w.seed, Design: w.policy.Design, WorstWindows: t.worstWindowsBenefit(), All: t.total.withQuantiles(),
		StoreCalls: w.store.callCount, BusiestWrites: w.store.busiestWrites, BytesBetween: w.network.bytesBetweenCentres, Faults: w.injectedFaults,
		Broken: w.checker.breachCount, Breaches: w.checker.breaches,
	}
	for _, c := range w.day.Classes {
		r.Classes = append(r.Classes, t.classes[c.Name].withQuantiles())
	}
	for _, c := range w.day.DataCentres {
		r.DataCentres = append(r.DataCentres, t.centres[c.Name].withQuantiles())
	}
	for _, s := range t.windows {
		r.Windows = append(r.Windows, s.withQuantiles())
	}
	r.Worth = w.worth()
	return r
}

// worth returns the benefit, weighted by the day's goal, less the prices divided by
// what all requests are worth.
func (w *world) worth() float64 {
	t, g, p := w.tally, w.day.Goal, w.day.Prices
	benefit := g.Day*t.total.Benefit() + g.Windows*t.worstWindowsBenefit() + g.Class*t.lowestBenefit(t.classes) + g.DataCentre*t.lowestBenefit(t.centres)
	machines := 0
	for _, i := range w.instances {
		if i.deployed {
			machines++
		}
	}
	const gigabyte = 1e9
	price := p.StoreCall*float64(w.store.callCount) + p.GigabyteBetween*float64(w.network.bytesBetweenCentres)/gigabyte +
		p.MachineSecond*float64(machines)*w.day.Length.Seconds()
	return benefit - price/max(t.total.Owed, 1)
}

// Shrink removes faults one by one, as long as the day still breaks a promise with
// these options, and returns the day with the rest. It runs the day once for each
// fault and reports each decision to progress.
func Shrink(d day.Day, o Options, progress func(text string)) (day.Day, error) {
	for n := 0; n < len(d.Faults); {
		fewer := append(append([]day.Fault{}, d.Faults[:n]...), d.Faults[n+1:]...)
		r, err := Run(d.WithFaults(fewer), o)
		if err != nil {
			return day.Day{}, err
		}
		if r.Broken == 0 {
			progress(fmt.Sprintf("fault %s is needed to break a promise", d.Faults[n].Name))
			n++
			continue
		}
		progress(fmt.Sprintf("fault %s isn't needed to break a promise", d.Faults[n].Name))
		d = d.WithFaults(fewer)
	}
	return d, nil
}

// Package emulation plays a day of a deployment in one process and in virtual time.
// Instances run their real duties, with the platform's real formats; callers,
// routers, backend servers, links and the platform's store are models.
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
// The same day, seed and design bring the same result and the same log.
package emulation

import (
	"fmt"
	"io"

	"github.com/tanagerweir/tanagerweir/pkg/emulation/day"
)

// Options say how a day is played.
type Options struct {
	Seed     uint64
	Design   Design
	Platform Platform
	// Log takes the logs of all instances, if it isn't nil.
	Log io.Writer
}

// Result is what came of a day.
type Result struct {
	Day    string
	Seed   uint64
	Design Design
	// Worth is what counts of the benefit, less prices.
	Worth float64
	// WorstWindows is the mean benefit of the two worst windows of 2 s.
	WorstWindows float64
	All          Service
	Classes      []Service
	DataCentres  []Service
	Windows      []Service
	// StoreCalls are those of all instances, BytesBetween what went between data
	// centres.
	StoreCalls   int
	BytesBetween int
	// Faults are those that happened, as they were drawn.
	Faults []string
	// Broken counts the breaches of promises, and Breaches are the first of them.
	Broken   int
	Breaches []Breach
}

// Run plays a day.
func Run(d day.Day, o Options) (Result, error) {
	if o.Design == "" {
		o.Design = Product
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
		Day: w.day.Name, Seed: w.seed, Design: w.design, WorstWindows: t.worst(), All: t.all.closed(),
		StoreCalls: w.store.calls, BytesBetween: w.network.between, Faults: w.told,
		Broken: w.judge.counted, Breaches: w.judge.breaches,
	}
	for _, c := range w.day.Classes {
		r.Classes = append(r.Classes, t.classes[c.Name].closed())
	}
	for _, c := range w.day.DataCentres {
		r.DataCentres = append(r.DataCentres, t.centres[c.Name].closed())
	}
	for _, s := range t.windows {
		r.Windows = append(r.Windows, s.closed())
	}
	r.Worth = w.worth()
	return r
}

// worth weighs the benefit as the day's goal says, and takes prices off.
func (w *world) worth() float64 {
	t, g, p := w.tally, w.day.Goal, w.day.Prices
	benefit := g.Day*t.all.Benefit() + g.Windows*t.worst() + g.Class*t.least(t.classes) + g.DataCentre*t.least(t.centres)
	machines := 0
	for _, i := range w.instances {
		if i.present {
			machines++
		}
	}
	const gigabyte = 1e9
	price := p.StoreCall*float64(w.store.calls) + p.GigabyteBetween*float64(w.network.between)/gigabyte +
		p.MachineSecond*float64(machines)*w.day.Length.Seconds()
	return benefit - price/max(t.all.Owed, 1)
}

// Shrink returns the day with as few faults as still break a promise with these
// options.
func Shrink(d day.Day, o Options, progress func(text string)) (day.Day, error) {
	for n := 0; n < len(d.Faults); {
		fewer := append(append([]day.Fault{}, d.Faults[:n]...), d.Faults[n+1:]...)
		r, err := Run(d.WithFaults(fewer), o)
		if err != nil {
			return day.Day{}, err
		}
		if r.Broken == 0 {
			progress(fmt.Sprintf("%s is needed", d.Faults[n].Name))
			n++
			continue
		}
		progress(fmt.Sprintf("%s isn't needed", d.Faults[n].Name))
		d = d.WithFaults(fewer)
	}
	return d, nil
}

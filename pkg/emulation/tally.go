package emulation

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// windowLength is the span of one window of the day.
	windowLength = 2 * time.Second
	// worstWindows is how many of the worst windows count.
	worstWindows = 2
	// longestWait and waitDigits are the range and precision of histograms.
	longestWait = time.Minute
	waitDigits  = 3
	// countedShare is the least share of the requests from which on a class or a
	// data centre counts as the worst.
	countedShare = 0.05
)

// Service is how some requests were served.
type Service struct {
	Name string
	// Asked, Served and OnTime count requests.
	Asked, Served, OnTime int
	// Earned and Owed are what the requests are worth.
	Earned, Owed float64
	// MedianMilliseconds and P99Milliseconds are of the served ones.
	MedianMilliseconds, P99Milliseconds float64

	waits *hdrhistogram.Histogram
}

// Benefit returns the share that was earned, 1 for none owed.
func (s Service) Benefit() float64 {
	if s.Owed == 0 {
		return 1
	}
	return s.Earned / s.Owed
}

func newService(name string) *Service {
	return &Service{Name: name, waits: hdrhistogram.New(1, longestWait.Microseconds(), waitDigits)}
}

// closed returns the service with its quantiles.
func (s *Service) closed() Service {
	const thousand = 1000
	s.MedianMilliseconds = float64(s.waits.ValueAtQuantile(50)) / thousand
	s.P99Milliseconds = float64(s.waits.ValueAtQuantile(99)) / thousand
	return *s
}

// tally counts what callers got.
type tally struct {
	world   *world
	all     *Service
	classes map[string]*Service
	centres map[string]*Service
	windows []*Service
	// ends are when each request began and whether it was served.
	ends []ending
}

type ending struct {
	began  time.Duration
	served bool
}

func newTally(w *world) *tally {
	t := &tally{world: w, all: newService("All"), classes: make(map[string]*Service), centres: make(map[string]*Service)}
	for _, c := range w.day.Classes {
		t.classes[c.Name] = newService(c.Name)
	}
	for _, c := range w.day.DataCentres {
		t.centres[c.Name] = newService(c.Name)
	}
	for at := time.Duration(0); at < w.day.Length; at += windowLength {
		t.windows = append(t.windows, newService(at.String()))
	}
	return t
}

// of returns where a request counts.
func (t *tally) of(r *request) []*Service {
	window := int((r.began - t.world.trafficFrom()) / windowLength)
	return []*Service{t.all, t.classes[r.class.Name], t.centres[r.home.centre], t.windows[min(window, len(t.windows)-1)]}
}

func (t *tally) asked(r *request) {
	for _, s := range t.of(r) {
		s.Asked++
		s.Owed += r.class.Worth
	}
}

func (t *tally) answered(r *request, waited time.Duration) {
	t.ends = append(t.ends, ending{r.began, true})
	for _, s := range t.of(r) {
		s.Served++
		// The value is within the histogram's range, so it is taken.
		_ = s.waits.RecordValue(min(max(waited, 0), longestWait).Microseconds())
		if waited <= r.class.Target {
			s.OnTime++
			s.Earned += r.class.Worth
		} else {
			s.Earned += r.class.LateWorth
		}
	}
}

func (t *tally) lost(r *request) { t.ends = append(t.ends, ending{r.began, false}) }

// servedFrom counts the requests that began after a time.
func (t *tally) servedFrom(from time.Duration) (owed, served int) {
	for _, e := range t.ends {
		if e.began < from {
			continue
		}
		owed++
		if e.served {
			served++
		}
	}
	return owed, served
}

// worst returns the mean benefit of the worst windows.
func (t *tally) worst() float64 {
	var benefits []float64
	for _, w := range t.windows {
		benefits = append(benefits, w.Benefit())
	}
	slices.Sort(benefits)
	sum := 0.0
	n := min(worstWindows, len(benefits))
	for _, b := range benefits[:n] {
		sum += b
	}
	return sum / float64(max(n, 1))
}

// least returns the lowest benefit among those with a share of the requests.
func (t *tally) least(of map[string]*Service) float64 {
	least := 1.0
	for _, s := range of {
		if float64(s.Asked) >= countedShare*float64(t.all.Asked) {
			least = min(least, s.Benefit())
		}
	}
	return least
}

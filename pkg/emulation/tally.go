package emulation

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// windowLength is the length of one window of the day.
	windowLength = 2 * time.Second
	// worstWindowCount is how many of the worst windows WorstWindows averages.
	worstWindowCount = 2
	// longestWait and waitDigits are the range and the decimal precision of
	// histograms. Longer waits are recorded as longestWait.
	longestWait = time.Minute
	waitDigits  = 3
	// minCountedShare is the share of the requests that a class or a data centre
	// must have to count as the worst.
	minCountedShare = 0.05
)

// ServiceLevel holds how well a group of requests was served.
type ServiceLevel struct {
	Name string
	// Asked, Served and OnTime count requests: all, those answered, and those
	// answered within their target.
	Asked, Served, OnTime int
	// Owed is what the requests would be worth if all were answered on time, and
	// Earned what their answers were worth.
	Earned, Owed float64
	// MedianMilliseconds and P99Milliseconds are waiting times of the served
	// requests.
	MedianMilliseconds, P99Milliseconds float64

	waits *hdrhistogram.Histogram
}

// Benefit returns Earned divided by Owed, or 1 if nothing is owed.
func (s ServiceLevel) Benefit() float64 {
	if s.Owed == 0 {
		return 1
	}
	return s.Earned / s.Owed
}

func newServiceLevel(name string) *ServiceLevel {
	return &ServiceLevel{Name: name, waits: hdrhistogram.New(1, longestWait.Microseconds(), waitDigits)}
}

// withQuantiles computes the quantiles and returns a copy.
func (s *ServiceLevel) withQuantiles() ServiceLevel {
	const thousand = 1000
	s.MedianMilliseconds = float64(s.waits.ValueAtQuantile(50)) / thousand
	s.P99Milliseconds = float64(s.waits.ValueAtQuantile(99)) / thousand
	return *s
}

// tally counts how requests were served.
type tally struct {
	world   *world
	total   *ServiceLevel
	classes map[string]*ServiceLevel
	centres map[string]*ServiceLevel
	windows []*ServiceLevel
	// endings holds the start of each ended request and whether it was served.
	endings []ending
}

type ending struct {
	startedAt time.Duration
	served    bool
}

func newTally(w *world) *tally {
	t := &tally{world: w, total: newServiceLevel("All"), classes: make(map[string]*ServiceLevel), centres: make(map[string]*ServiceLevel)}
	for _, c := range w.day.Classes {
		t.classes[c.Name] = newServiceLevel(c.Name)
	}
	for _, c := range w.day.DataCentres {
		t.centres[c.Name] = newServiceLevel(c.Name)
	}
	for start := time.Duration(0); start < w.day.Length; start += windowLength {
		t.windows = append(t.windows, newServiceLevel(start.String()))
	}
	return t
}

// groupsOf returns the groups that a request belongs to.
func (t *tally) groupsOf(r *request) []*ServiceLevel {
	window := int((r.startedAt - t.world.trafficStart()) / windowLength)
	return []*ServiceLevel{t.total, t.classes[r.class.Name], t.centres[r.group.centre], t.windows[min(window, len(t.windows)-1)]}
}

func (t *tally) asked(r *request) {
	for _, s := range t.groupsOf(r) {
		s.Asked++
		s.Owed += r.class.Worth
	}
}

func (t *tally) answered(r *request, waited time.Duration) {
	t.endings = append(t.endings, ending{r.startedAt, true})
	for _, s := range t.groupsOf(r) {
		s.Served++
		// The value is limited to the histogram's range, so this can't fail.
		_ = s.waits.RecordValue(min(max(waited, 0), longestWait).Microseconds())
		if waited <= r.class.Target {
			s.OnTime++
			s.Earned += r.class.Worth
		} else {
			s.Earned += r.class.LateWorth
		}
	}
}

func (t *tally) unserved(r *request) { t.endings = append(t.endings, ending{r.startedAt, false}) }

// servedFrom counts the ended requests that began at or after a time, and those of
// them that were served.
func (t *tally) servedFrom(from time.Duration) (owed, served int) {
	for _, e := range t.endings {
		if e.startedAt < from {
			continue
		}
		owed++
		if e.served {
			served++
		}
	}
	return owed, served
}

// worstWindowsBenefit returns the mean benefit of the worst windows.
func (t *tally) worstWindowsBenefit() float64 {
	var benefits []float64
	for _, w := range t.windows {
		benefits = append(benefits, w.Benefit())
	}
	slices.Sort(benefits)
	sum := 0.0
	n := min(worstWindowCount, len(benefits))
	for _, b := range benefits[:n] {
		sum += b
	}
	return sum / float64(max(n, 1))
}

// lowestBenefit returns the lowest benefit among the groups that have enough
// requests to count.
func (t *tally) lowestBenefit(groups map[string]*ServiceLevel) float64 {
	lowest := 1.0
	for _, s := range groups {
		if float64(s.Asked) >= minCountedShare*float64(t.total.Asked) {
			lowest = min(lowest, s.Benefit())
		}
	}
	return lowest
}

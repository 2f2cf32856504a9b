package day

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// drawStream selects a stream of random numbers that nothing else uses with the
	// same seed.
	drawStream = 99
	// A drawn day has at least minFaults and at most maxFaults faults, counting the
	// loss of all instances.
	minFaults, maxFaults = 4, 9
	// closingOneIn says that one in so many drawn days ends with the loss of all
	// instances.
	closingOneIn = 3
	// No fault begins within faultFreeEnd of the end of the day. timeAfterClosing is
	// the time that remains after the loss of all instances.
	faultFreeEnd     = 6 * time.Second
	timeAfterClosing = 7 * time.Second
)

// variantsOf holds the values of How that are drawn for a kind, with equal chances.
var variantsOf = map[string][]string{
	ServersCrash: {"", "Dark", "Lost", "Lost Dark"}, AddressesReused: {"", "Drain", "Dark"}, ServersGrey: {"", "Mute"}, ServersFlap: {"", "Dark"},
	DataCentreBackCold: {"", "Dark"}, InstancesKilled: {"", "Power", "Follower", "Follower Power"},
	InstancesRestarted: {""}, InstancesCut: {"", "OneWay", "All", "Follower OneWay"}, StoreDown: {"", "Busy", "Lapse", "Busy Lapse"},
	StoreCut: {"", "OneWay", "Follower"}, StoreRefuses: {"", "Many", "Silent", "Revoke"}, StoreLosesAnswers: {"", "Late"},
	StoreRestored:        {"", "Down", "Twice", "Down Twice"},
	ConfigurationChanges: {"", "Route"}, DataCentreOut: {"", "Warm"},
}

// DrawFaults draws faults of random kinds for a day, in order of their times. The same
// day and seed always give the same faults.
func DrawFaults(d Day, seed uint64) []Fault {
	r := rand.New(rand.NewPCG(seed, drawStream))
	kinds := Kinds()
	if !d.Store.Eras {
		// Days of other deployments stay as they are drawn without this kind.
		kinds = slices.DeleteFunc(kinds, func(kind string) bool { return kind == StoreRestored })
	}
	faults := make([]Fault, 0, maxFaults)
	last := d.Length - faultFreeEnd
	closing := r.IntN(closingOneIn) == 0
	if closing {
		last = d.Length - timeAfterClosing
	}
	for n := range minFaults + r.IntN(maxFaults-minFaults) {
		f := Fault{
			Name: fmt.Sprintf("drawn-%d", n+1), Kind: kinds[r.IntN(len(kinds))],
			At:    time.Duration(r.Int64N(int64(last))).Round(time.Millisecond),
			For:   time.Second + time.Duration(r.Int64N(int64(7*time.Second))).Round(time.Millisecond),
			Gap:   300*time.Millisecond + time.Duration(r.Int64N(int64(1500*time.Millisecond))).Round(time.Millisecond),
			Share: float64(10+r.IntN(35)) / 100,
		}
		if variants := variantsOf[f.Kind]; len(variants) > 0 {
			f.How = words(variants[r.IntN(len(variants))])
		}
		faults = append(faults, f)
	}
	if closing {
		faults = append(faults, Fault{
			Name: "closing", Kind: InstancesKilled, At: last, Share: 1, How: words([]string{"", "Power"}[r.IntN(2)]),
			For: 500*time.Millisecond + time.Duration(r.Int64N(int64(time.Second))).Round(time.Millisecond),
		})
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	return faults
}

// Section returns the fault as a section of a day's settings.
func (f Fault) Section() string {
	var b strings.Builder
	fmt.Fprintf(&b, "[Fault %s]\nKind = %s\nAt = %v\nFor = %v\nGap = %v\n", f.Name, f.Kind, f.At, f.For, f.Gap)
	for _, pair := range [][2]string{
		{"Share", formatNonZero(f.Share)}, {"Count", formatNonZero(float64(f.Count))}, {"Factor", formatNonZero(f.Factor)},
		{"How", strings.Join(f.How, " ")}, {"DataCentre", f.DataCentre}, {"Service", f.Service},
	} {
		if pair[1] != "" {
			fmt.Fprintf(&b, "%s = %s\n", pair[0], pair[1])
		}
	}
	return b.String() + "\n"
}

// formatNonZero formats a number, and returns an empty text for 0.
func formatNonZero(n float64) string {
	if n == 0 {
		return ""
	}
	return strconv.FormatFloat(n, 'g', -1, 64)
}

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
	// drawStream sets the draws of faults apart from others of the same seed.
	drawStream = 99
	// fewestFaults and mostFaults bound the faults that are drawn for a day.
	fewestFaults, mostFaults = 4, 9
	// closingChance is one in how many drawn days end with the loss of all
	// instances.
	closingChance = 3
	// lastFault is how long before the end of the day no fault begins, and
	// closingFor the time that remains after the loss of all instances.
	lastFault  = 6 * time.Second
	closingFor = 7 * time.Second
)

// words are the variants that are drawn for a kind, each with an even chance.
var words = map[string][]string{
	ServersCrash: {"", "Dark", "Lost", "Lost Dark"}, AddressesReused: {"", "Drain", "Dark"}, ServersGrey: {"", "Mute"}, ServersFlap: {"", "Dark"},
	DataCentreBackCold: {"", "Dark"}, InstancesKilled: {"", "Power", "Follower", "Follower Power"},
	InstancesRestarted: {""}, InstancesCut: {"", "OneWay", "All", "Follower OneWay"}, StoreDown: {"", "Busy", "Lapse", "Busy Lapse"},
	StoreCut: {"", "OneWay", "Follower"}, StoreRefuses: {"", "Many", "Silent", "Revoke"}, StoreLosesAnswers: {"", "Late"},
	ConfigurationChanges: {"", "Route"}, DataCentreOut: {"", "Warm"},
}

// Draw returns faults of all kinds for a day, drawn from a seed.
func Draw(d Day, seed uint64) []Fault {
	r := rand.New(rand.NewPCG(seed, drawStream))
	kinds := Kinds()
	faults := make([]Fault, 0, mostFaults)
	last := d.Length - lastFault
	closing := r.IntN(closingChance) == 0
	if closing {
		last = d.Length - closingFor
	}
	for n := range fewestFaults + r.IntN(mostFaults-fewestFaults) {
		f := Fault{
			Name: fmt.Sprintf("drawn-%d", n+1), Kind: kinds[r.IntN(len(kinds))],
			At:    time.Duration(r.Int64N(int64(last))).Round(time.Millisecond),
			For:   time.Second + time.Duration(r.Int64N(int64(7*time.Second))).Round(time.Millisecond),
			Gap:   300*time.Millisecond + time.Duration(r.Int64N(int64(1500*time.Millisecond))).Round(time.Millisecond),
			Share: float64(10+r.IntN(35)) / 100,
		}
		if variants := words[f.Kind]; len(variants) > 0 {
			f.How = strings.Fields(variants[r.IntN(len(variants))])
		}
		faults = append(faults, f)
	}
	if closing {
		faults = append(faults, Fault{
			Name: "closing", Kind: InstancesKilled, At: last, Share: 1, How: strings.Fields([]string{"", "Power"}[r.IntN(2)]),
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
		{"Share", figure(f.Share)}, {"Count", figure(float64(f.Count))}, {"Factor", figure(f.Factor)},
		{"How", strings.Join(f.How, " ")}, {"DataCentre", f.DataCentre}, {"Service", f.Service},
	} {
		if pair[1] != "" {
			fmt.Fprintf(&b, "%s = %s\n", pair[0], pair[1])
		}
	}
	return b.String() + "\n"
}

// figure writes a number, and nothing for 0.
func figure(n float64) string {
	if n == 0 {
		return ""
	}
	return strconv.FormatFloat(n, 'g', -1, 64)
}

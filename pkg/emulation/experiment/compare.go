package experiment

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// confidence is the part of such intervals that contain the true difference.
const confidence = 0.95

// Difference is how a cell differs from another one in a measure, on one day, by runs with the same
// seeds.
type Difference struct {
	Day, Cell, Measure string
	// Pairs is the number of seeds that both cells were played with.
	Pairs int
	// Base is the mean of the cell that it is compared with, and Mean that of the differences.
	Base, Mean float64
	// Low and High bound the interval in which the true difference is with a confidence of
	// 0.95; they are infinite with fewer than two pairs.
	Low, High float64
}

// Seen reports whether the interval leaves out no difference at all.
func (d Difference) Seen() bool { return d.Low > 0 || d.High < 0 }

// String returns the difference as one line of a report.
func (d Difference) String() string {
	seen := "no difference seen"
	if d.Seen() {
		seen = fmt.Sprintf("%+.4f", d.Mean)
	}
	return fmt.Sprintf("%s, %s, %s: %s (%+.4f to %+.4f, base %.4f, %d pairs)", d.Day, d.Cell, d.Measure, seen, d.Low, d.High, d.Base, d.Pairs)
}

// Compare compares each cell with the one of that name, by day and measure, over the seeds that
// both were played with.
func Compare(rows []Row, base string) []Difference {
	return compare(rows, rows, func(k Key) Key { return Key{Day: k.Day, Seed: k.Seed, Cell: base} }, func(k Key) bool { return k.Cell != base })
}

// CompareVersions compares each cell of the rows with the same cell of earlier ones.
func CompareVersions(earlier, rows []Row) []Difference {
	return compare(earlier, rows, func(k Key) Key { return k }, func(Key) bool { return true })
}

// compare compares the rows that are included with those among the others that partner names.
func compare(others, rows []Row, partner func(Key) Key, includes func(Key) bool) []Difference {
	byKey := make(map[Key]Row, len(others))
	for _, r := range others {
		byKey[r.Key] = r
	}
	type group struct{ day, cell, measure string }
	type pairs struct{ base, differences []float64 }
	groups := make(map[group]*pairs)
	for _, r := range rows {
		other, ok := byKey[partner(r.Key)]
		if !ok || !includes(r.Key) {
			continue
		}
		for measure, value := range r.Measures {
			before, ok := other.Measures[measure]
			if !ok {
				continue
			}
			g := group{r.Day, r.Cell, measure}
			if groups[g] == nil {
				groups[g] = &pairs{}
			}
			groups[g].base = append(groups[g].base, before)
			groups[g].differences = append(groups[g].differences, value-before)
		}
	}
	var list []Difference
	for g, p := range groups {
		// In a fixed order, since sums of floating-point numbers depend on it.
		slices.Sort(p.base)
		slices.Sort(p.differences)
		d := Difference{Day: g.day, Cell: g.cell, Measure: g.measure, Pairs: len(p.differences), Base: stat.Mean(p.base, nil), Mean: stat.Mean(p.differences, nil)}
		margin := marginOf(p.differences)
		d.Low, d.High = d.Mean-margin, d.Mean+margin
		list = append(list, d)
	}
	slices.SortFunc(list, func(a, b Difference) int {
		return cmp.Or(cmp.Compare(a.Day, b.Day), cmp.Compare(a.Cell, b.Cell), cmp.Compare(a.Measure, b.Measure))
	})
	return list
}

// marginOf returns half of the width of the confidence interval of the mean, by Student's t.
func marginOf(differences []float64) float64 {
	n := float64(len(differences))
	if n < 2 {
		return math.Inf(1)
	}
	t := distuv.StudentsT{Sigma: 1, Nu: n - 1}
	return t.Quantile((1+confidence)/2) * stat.StdDev(differences, nil) / math.Sqrt(n)
}

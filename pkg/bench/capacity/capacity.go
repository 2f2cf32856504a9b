// Package capacity measures how an instance's memory, control traffic and
// computing time grow with the size of the deployment, and extrapolates them
// to the design size: 490 instances in 9 data centres, with 3,800 backend
// servers behind 1,200 addresses.
//
// Each measure runs the production cores at several sizes. Its rows are the
// measured values, the slope of the least-squares line through them, the largest
// distance of a value from that line as a share of the largest value, and the
// value of the line at the design size.
//
// # Usage
//
//	rows := capacity.Rows(seed)
//	err := bench.WriteTable(os.Stdout, rows)
package capacity

import (
	"github.com/tanagerweir/tanagerweir/pkg/bench"
)

// The deployment size to design for.
const (
	designInstances     = 490
	designBackends      = 3_800
	designAddresses     = 1_200
	designCentres       = 9
	designChangesPerDay = 510 // changes of the configuration
)

// Bounds for one instance.
const (
	memoryBound   = 128 << 20 // bytes
	controlBound  = 3_000     // bytes of control traffic per second
	secondsPerDay = 86_400
)

// measure is one quantity that is measured at several sizes.
type measure struct {
	name     string
	unit     string
	sizeUnit string // what a size counts, as row names have it
	sizes    []int
	value    func(size int) float64
	// designSize is the size to which the fitted line is extrapolated. bound is
	// the largest value that it may have there, 0 for no bound.
	designSize int
	bound      float64
}

// Rows runs every measure and returns its rows. Timings depend on the machine.
func Rows(seed uint64) []bench.Row {
	var rows []bench.Row
	for _, m := range measures(seed) {
		rows = append(rows, m.rows()...)
	}
	return rows
}

// rows measures at every size and extrapolates to the design size.
func (m measure) rows() []bench.Row {
	var points []point
	var rows []bench.Row
	for _, size := range m.sizes {
		value := m.value(size)
		points = append(points, point{size: float64(size), value: value})
		rows = append(rows, bench.Measured(bench.Tanagerweir, measureName(m.name, size, m.sizeUnit), value, m.unit))
	}
	fitted := leastSquares(points)
	rows = append(rows,
		bench.Measured(bench.Tanagerweir, m.name+"Slope", fitted.slope, m.unit+"/"+m.sizeUnit),
		bench.Measured(bench.Tanagerweir, m.name+"FitError", fitted.maxError, "share"))
	value := max(fitted.valueAt(float64(m.designSize)), 0)
	name := measureName(m.name, m.designSize, m.sizeUnit) + "ByFit"
	if m.bound == 0 {
		return append(rows, bench.Measured(bench.Tanagerweir, name, value, m.unit))
	}
	return append(rows, bench.AtMost(bench.Tanagerweir, name, value, m.unit, m.bound))
}

package capacity

import "math"

// point is the value measured at one size.
type point struct{ size, value float64 }

// fit is a straight line fitted to points.
type fit struct {
	intercept, slope float64
	// maxError is the largest distance of a point's value from the line, as a
	// share of the largest value.
	maxError float64
}

// leastSquares returns the least-squares line through the points, which need
// at least two different sizes.
func leastSquares(points []point) fit {
	var count, sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		count++
		sumX += p.size
		sumY += p.value
		sumXX += p.size * p.size
		sumXY += p.size * p.value
	}
	slope := (count*sumXY - sumX*sumY) / (count*sumXX - sumX*sumX)
	f := fit{slope: slope, intercept: (sumY - slope*sumX) / count}
	largest := 0.0
	for _, p := range points {
		f.maxError = max(f.maxError, math.Abs(f.valueAt(p.size)-p.value))
		largest = max(largest, math.Abs(p.value))
	}
	if largest > 0 {
		f.maxError /= largest
	}
	return f
}

func (f fit) valueAt(size float64) float64 { return f.intercept + f.slope*size }

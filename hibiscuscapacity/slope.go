package hibiscuscapacity

import (
	"math"
	"runtime"
)

// A slope is a linear fit to a cost at three or more sizes. docs/CAPACITY.md multiplies slopes by the planned size, so each has its
// standard error, which shows a cost that is not linear.

// Slope is a measured cost by size with its linear fit.
type Slope struct {
	name      string
	unit      string
	per       string
	sizes     []float64
	values    []float64
	slope     float64
	intercept float64
	err       float64
}

// newSlope fits a line to the values by least squares; unit is the unit of the values, and per is what the sizes count.
func newSlope(name, unit, per string, sizes, values []float64) Slope {
	s := Slope{name: name, unit: unit, per: per, sizes: sizes, values: values}
	n := float64(len(sizes))
	meanX, meanY := mean(sizes), mean(values)
	var xx, xy float64
	for i := range sizes {
		xx += (sizes[i] - meanX) * (sizes[i] - meanX)
		xy += (sizes[i] - meanX) * (values[i] - meanY)
	}
	s.slope = xy / xx
	s.intercept = meanY - s.slope*meanX
	var residual float64
	for i := range sizes {
		r := values[i] - s.intercept - s.slope*sizes[i]
		residual += r * r
	}
	s.err = math.Sqrt(residual / (n - 2) / xx)
	return s
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// Name returns the name of the measured cost.
func (s Slope) Name() string { return s.name }

// Unit returns the unit of the values.
func (s Slope) Unit() string { return s.unit }

// Per returns what the sizes count.
func (s Slope) Per() string { return s.per }

// Sizes returns the sizes at which the cost was measured.
func (s Slope) Sizes() []float64 { return s.sizes }

// Values returns the cost at each size.
func (s Slope) Values() []float64 { return s.values }

// Slope returns the cost per unit of size.
func (s Slope) Slope() float64 { return s.slope }

// Intercept returns the cost at size zero.
func (s Slope) Intercept() float64 { return s.intercept }

// Err returns the standard error of the slope.
func (s Slope) Err() float64 { return s.err }

// subtract fits a line to the values of s minus factor times those of other, under a new name; both must have the same sizes.
func (s Slope) subtract(name string, other Slope, factor float64) Slope {
	values := make([]float64, len(s.values))
	for i := range values {
		values[i] = s.values[i] - factor*other.values[i]
	}
	return newSlope(name, s.unit, s.per, s.sizes, values)
}

// liveBytes returns the memory of the heap and the stacks that is in use after a garbage collection.
func liveBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

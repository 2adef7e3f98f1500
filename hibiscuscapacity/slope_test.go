package hibiscuscapacity

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// TestSlope guards against a wrong fit, from which docs/CAPACITY.md would be wrong at every size.
func TestSlope(t *testing.T) {
	line := newSlope("line", "us", "task", []float64{1, 2, 4, 8}, []float64{5, 7, 11, 19})
	bent := newSlope("bent", "us", "task", []float64{0, 1, 2}, []float64{0, 3, 0})
	less := line.minus("less", line, 0.5)
	convey.Convey("A straight line is found without error, a bent one with it", t, func() {
		convey.So([]float64{line.Slope(), line.Intercept(), line.Err()}, convey.ShouldResemble, []float64{2, 3, 0})
		convey.So([]float64{bent.Slope(), bent.Intercept()}, convey.ShouldResemble, []float64{0, 1})
		convey.So(bent.Err(), convey.ShouldAlmostEqual, 1.7320508, 1e-6)
		convey.So([]float64{less.Slope(), less.Intercept()}, convey.ShouldResemble, []float64{1, 1.5})
	})
}

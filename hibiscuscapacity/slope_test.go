package hibiscuscapacity

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// TestSlope guards against a wrong fit, which would make docs/CAPACITY.md wrong at every size.
func TestSlope(t *testing.T) {
	line := newSlope("line", "us", "task", []float64{1, 2, 4, 8}, []float64{5, 7, 11, 19})
	curve := newSlope("bent", "us", "task", []float64{0, 1, 2}, []float64{0, 3, 0})
	difference := line.subtract("less", line, 0.5)
	convey.Convey("The fit of a line has no error, that of a curve has one", t, func() {
		convey.So([]float64{line.Slope(), line.Intercept(), line.Err()}, convey.ShouldResemble, []float64{2, 3, 0})
		convey.So([]float64{curve.Slope(), curve.Intercept()}, convey.ShouldResemble, []float64{0, 1})
		convey.So(curve.Err(), convey.ShouldAlmostEqual, 1.7320508, 1e-6)
		convey.So([]float64{difference.Slope(), difference.Intercept()}, convey.ShouldResemble, []float64{1, 1.5})
	})
}

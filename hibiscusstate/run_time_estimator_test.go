package hibiscusstate

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// TestDeclaredRunTimes guards against estimates that ignore informative declarations, and against ones that rely on uninformative
// declarations. Jobs of the users' kinds differ by 0.5 (standard deviation of the logarithm), which is the error of an estimate by
// the mean of the kind.
func TestDeclaredRunTimes(t *testing.T) {
	const (
		runs   = 4000
		warmUp = 500
		spread = 0.5
		mean   = 150 * time.Millisecond
	)
	// estimateError returns the error of the estimates when declarations have this noise and are informative or not.
	estimateError := func(noise float64, informative bool) float64 {
		r, random := NewRunTimeEstimator(), rand.New(rand.NewPCG(1, 2))
		sum := 0.0
		for i := range runs {
			length := spread * random.NormFloat64()
			declared := noise * random.NormFloat64()
			if informative {
				declared += length
			}
			scaled := func(log float64) time.Duration { return time.Duration(float64(mean) * math.Exp(log)) }
			expected, _ := r.Expect("check", 100, scaled(declared))
			if i >= warmUp {
				off := math.Log(float64(expected) / float64(scaled(length)))
				sum += off * off
			}
			r.Observe("check", 100, scaled(declared), scaled(length))
		}
		return math.Sqrt(sum / (runs - warmUp))
	}
	convey.Convey("declarations that are off by 40% improve the estimate, and uninformative ones hardly degrade it", t, func() {
		convey.So(estimateError(0.4, true), convey.ShouldBeLessThan, 0.4)
		convey.So(estimateError(1.3, false), convey.ShouldBeLessThan, spread*1.2)
	})
}

package hibiscusstate

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// TestDeclaredRunTimes guards against predictions that leave out what declarations say, and against ones that believe
// declarations which say nothing. Jobs of the users' kinds differ by 0.5 (standard deviation of the logarithm), and a
// prediction by the mean of the kind is off by that much.
func TestDeclaredRunTimes(t *testing.T) {
	const (
		runs   = 4000
		warmUp = 500
		spread = 0.5
		mean   = 150 * time.Millisecond
	)
	// predict returns by how much predictions are off when declarations are off by noise, times the real length or not.
	predict := func(noise float64, informed bool) float64 {
		r, random := NewRunTimeEstimator(), rand.New(rand.NewPCG(1, 2))
		sum := 0.0
		for i := range runs {
			length := spread * random.NormFloat64()
			declared := noise * random.NormFloat64()
			if informed {
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
	convey.Convey("declarations that are off by 40% help, and those that say nothing harm little", t, func() {
		convey.So(predict(0.4, true), convey.ShouldBeLessThan, 0.4)
		convey.So(predict(1.3, false), convey.ShouldBeLessThan, spread*1.2)
	})
}

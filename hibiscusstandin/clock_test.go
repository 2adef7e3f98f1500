package hibiscusstandin

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestClock guards against a stand-in that steps the steady clock too, or nothing: tests of stepped clocks would pass for any code.
func TestClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewClock()
		before, beforeRuntime := c.Now(), time.Now()
		time.Sleep(time.Second)
		c.Step(2400 * time.Millisecond)
		ahead := c.Now()
		c.Step(-5 * time.Second)
		behind := c.Now()
		Convey("the time of day steps, the steady reading does not", t, func() {
			So(before.Equal(beforeRuntime), ShouldBeTrue)
			So(ahead.Sub(before), ShouldEqual, time.Second)
			So(ahead.Round(0).Sub(before.Round(0)), ShouldEqual, 3400*time.Millisecond)
			So(behind.Sub(before), ShouldEqual, time.Second)
			So(behind.Round(0).Sub(before.Round(0)), ShouldEqual, -1600*time.Millisecond)
		})
	})
}

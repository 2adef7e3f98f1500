package hibiscusmeasure

import (
	"bytes"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/smartystreets/goconvey/convey"
)

// shortDivisor is the divisor that shortens the full run to about a second.
const shortDivisor = 20

// TestFigures guards against policy changes whose effect on the figures goes unnoticed, and against decisions that depend on map
// order, with which the figures differ between runs.
func TestFigures(t *testing.T) {
	for _, name := range []string{"port_louis", "nokkhao"} {
		t.Run(name, func(t *testing.T) {
			d, err := FindDeployment(name)
			if err != nil {
				t.Fatal(err)
			}
			r := Measure(d, NewOptions(1).Shortened(shortDivisor))
			raw, err := r.JSON()
			if err != nil {
				t.Fatal(err)
			}
			goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, name, raw)
			svg, err := r.SVG()
			convey.Convey("the plot is an SVG document", t, func() {
				convey.So(err, convey.ShouldBeNil)
				convey.So(bytes.Contains(svg, []byte("<svg")), convey.ShouldBeTrue)
			})
			convey.Convey("no policy starts a task twice, loses one, or reports a task as not run that was started", t, func() {
				for _, p := range r.policies {
					f := p.figures
					convey.So([]int{f.StartedTwice, f.Lost, f.FalseNotRun}, convey.ShouldResemble, []int{0, 0, 0})
				}
			})
		})
	}
}

package hibiscusmeasure

import (
	"bytes"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/smartystreets/goconvey/convey"
)

// shortParts makes a run of about a second out of the full one.
const shortParts = 20

// TestFigures guards against a policy change whose effect on the measures nobody looked at, and against a decision that
// depends on map order: the golden file then differs between runs.
func TestFigures(t *testing.T) {
	for _, name := range []string{"port_louis", "nokkhao"} {
		t.Run(name, func(t *testing.T) {
			d, err := FindDeployment(name)
			if err != nil {
				t.Fatal(err)
			}
			r := Measure(d, NewOptions(1).Shortened(shortParts))
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
			convey.Convey("no policy starts a task twice, loses one, or says falsely that it was not run", t, func() {
				for _, p := range r.policies {
					f := p.figures
					convey.So([]int{f.StartedTwice, f.Lost, f.FalseNotRun}, convey.ShouldResemble, []int{0, 0, 0})
				}
			})
		})
	}
}

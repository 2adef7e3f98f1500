package hibiscusmeasure

import (
	"bytes"
	"fmt"
	"image/color"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// ErrPlot means that the figures could not be plotted.
var ErrPlot = errors.New("figures can't be drawn")

// peakStep is the width of one point of the plot of the load peak.
const peakStep = 500 * time.Millisecond

var plotColors = []color.Color{
	color.RGBA{R: 190, B: 60, A: 255}, color.RGBA{R: 90, G: 120, B: 190, A: 255}, color.RGBA{R: 60, G: 150, B: 80, A: 255},
	color.RGBA{R: 200, G: 140, B: 30, A: 255}, color.RGBA{R: 130, G: 80, B: 160, A: 255},
}

// Text returns the figures of all policies as a human-readable table.
func (r *Report) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s, load %.0f%%\n%-34s", r.deployment.name, 100*steadyLoad, "")
	for _, p := range r.policies {
		fmt.Fprintf(&b, "%14s", p.name)
	}
	row := func(name string, value func(f figuresJSON) string) {
		fmt.Fprintf(&b, "\n%-34s", name)
		for _, p := range r.policies {
			fmt.Fprintf(&b, "%14s", value(p.figures))
		}
	}
	number := func(v float64) string { return fmt.Sprintf("%.4g", v) }
	row("response ratio p50 (<= 1.02)", func(f figuresJSON) string { return number(f.ResponseRatioP50) })
	row("response ratio p99 (<= 1.5)", func(f figuresJSON) string { return number(f.ResponseRatioP99) })
	row("head-of-line ratio (<= 1.2)", func(f figuresJSON) string { return number(f.HeadOfLineRatio) })
	row("completed", func(f figuresJSON) string { return number(f.CompleteRatio) })
	row("completed, 1% long", func(f figuresJSON) string { return number(f.CompleteWithLong) })
	row("crest service (>= 0.98)", func(f figuresJSON) string { return number(f.CrestService) })
	row("crest service, faulty workers", func(f figuresJSON) string { return number(f.CrestServiceFaults) })
	row("refusal p99, ms (< 50)", func(f figuresJSON) string { return number(f.RefusalMSP99) })
	row("wasted messages a task (<= 0.1)", func(f figuresJSON) string { return number(f.WastedMessagesPerRun) })
	row("false not run", func(f figuresJSON) string { return fmt.Sprint(f.FalseNotRun) })
	row("started twice", func(f figuresJSON) string { return fmt.Sprint(f.StartedTwice) })
	row("lost", func(f figuresJSON) string { return fmt.Sprint(f.Lost) })
	row("tasks", func(f figuresJSON) string { return fmt.Sprint(f.Tasks) })
	b.WriteString("\n")
	return b.String()
}

// SVG returns plots of the response ratio percentiles and of the work done in time around the load peak.
func (r *Report) SVG() ([]byte, error) {
	const width, height = 9 * vg.Inch, 8 * vg.Inch
	ratios, err := r.ratioPlot()
	if err != nil {
		return nil, errors.Mark(err, ErrPlot)
	}
	peak, err := r.peakPlot()
	if err != nil {
		return nil, errors.Mark(err, ErrPlot)
	}
	canvas := vgsvg.New(width, height)
	page := draw.New(canvas)
	ratios.Draw(draw.Crop(page, 0, 0, height/2, 0))
	peak.Draw(draw.Crop(page, 0, 0, 0, -height/2))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return nil, errors.Mark(err, ErrPlot)
	}
	return b.Bytes(), nil
}

func (r *Report) ratioPlot() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s: response ratio at %.0f%% load", r.deployment.name, 100*steadyLoad)
	p.X.Label.Text = "percentile"
	p.Y.Label.Text = "response time / (round trips + run time)"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	for i, policy := range r.policies {
		var points plotter.XYs
		for percentile := 1.0; percentile < 100; percentile++ {
			ratio := float64(policy.steady.ratios.ValueAtQuantile(percentile)) / ratioScale
			points = append(points, plotter.XY{X: percentile, Y: ratio})
		}
		if err := addLine(p, policy.name, points, plotColors[i%len(plotColors)]); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func (r *Report) peakPlot() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s: work in time around a %dx surge", r.deployment.name, peakFactor)
	p.X.Label.Text = "time, s"
	p.Y.Label.Text = "slots"
	for i, policy := range r.policies {
		served := policy.peak.series(policy.peak.service)
		if err := addLine(p, policy.name, served, plotColors[i%len(plotColors)]); err != nil {
			return nil, err
		}
	}
	if len(r.policies) > 0 {
		t := r.policies[0].peak
		if err := addLine(p, "demand", t.series(t.demand), color.Gray{Y: 150}); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// series samples a rate over the scenario.
func (t *trial) series(rate func(from, to time.Time) float64) plotter.XYs {
	var points plotter.XYs
	for at := time.Duration(0); at < t.scenario.length(); at += peakStep {
		points = append(points, plotter.XY{X: at.Seconds(), Y: rate(t.began.Add(at), t.began.Add(at+peakStep))})
	}
	return points
}

func addLine(p *plot.Plot, name string, points plotter.XYs, c color.Color) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = c
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}

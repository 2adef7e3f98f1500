package hibiscusmeasure

import (
	"encoding/json"
	"math"
	"time"
)

// Each policy runs the same scenarios; the figures of docs/measurements.md come from here.

const (
	// steadyLoad is the load of the response and head-of-line scenarios, and that before and after the load peak.
	steadyLoad = 0.8
	// peakFactor is the increase of the demand during a load peak, which lasts for peakTime.
	peakFactor = 3
	peakTime   = 30 * time.Second
)

// Options configure a measurement.
type Options struct {
	seed    uint64
	divisor int
}

// NewOptions returns the options of a full run whose demand and jitter come from seed.
func NewOptions(seed uint64) Options { return Options{seed: seed, divisor: 1} }

// Shortened returns the options with the length of all scenarios divided by divisor, for tests.
func (o Options) Shortened(divisor int) Options {
	o.divisor = divisor
	return o
}

// Report holds the figures of all policies in one deployment.
type Report struct {
	deployment *Deployment
	policies   []policyResult
}

type policyResult struct {
	name    string
	figures figuresJSON
	peak    *trial
	steady  *trial
}

// figuresJSON is the wire form of one policy's figures.
type figuresJSON struct {
	Policy               string  `json:"policy"`
	Deployment           string  `json:"deployment"`
	Seed                 uint64  `json:"seed"`
	Tasks                int     `json:"tasks"`
	Load                 float64 `json:"load"`
	ResponseRatioP50     float64 `json:"response_ratio_p50"`
	ResponseRatioP99     float64 `json:"response_ratio_p99"`
	CompleteRatio        float64 `json:"complete_ratio"`
	CompleteWithLong     float64 `json:"complete_ratio_with_long"`
	ShortMSP99           float64 `json:"short_ms_p99"`
	ShortMSP99WithLong   float64 `json:"short_ms_p99_with_long"`
	HeadOfLineRatio      float64 `json:"head_of_line_ratio"`
	CrestService         float64 `json:"crest_service"`
	CrestServiceFaults   float64 `json:"crest_service_faults"`
	RefusalMSP99         float64 `json:"refusal_ms_p99"`
	FalseNotRun          int     `json:"false_not_run"`
	WastedMessagesPerRun float64 `json:"wasted_messages_per_task"`
	StartedTwice         int     `json:"started_twice"`
	Lost                 int     `json:"lost"`
}

// policy is a dispatch policy; build connects it to a trial.
type policy struct {
	name  string
	build func(t *trial, seed uint64)
}

func policies() []policy {
	return []policy{
		{"hibiscus", func(t *trial, seed uint64) { newFleet(t, seed) }},
		{"random_fifo", newRandomFIFO},
		{"one_queue", newOneQueue},
		{"power_of_two", newPowerOfTwo},
		{"late_binding", newLateBinding},
	}
}

func (o Options) scenarios() (response, short, long, peak, faults scenario) {
	shortened := func(d time.Duration) time.Duration { return d / time.Duration(o.divisor) }
	steady := []phase{{shortened(130 * time.Second), steadyLoad}}
	mixed := []phase{{shortened(400 * time.Second), steadyLoad}}
	loadPeak := []phase{
		{shortened(10 * time.Second), steadyLoad}, {shortened(peakTime), steadyLoad * peakFactor},
		{shortened(10 * time.Second), steadyLoad},
	}
	response = scenario{name: "response", warmUp: shortened(10 * time.Second), phases: steady, failing: -1, slow: -1}
	short = scenario{name: "short", warmUp: shortened(100 * time.Second), phases: mixed, single: true, failing: -1, slow: -1}
	long = scenario{
		name: "long", warmUp: shortened(100 * time.Second), phases: mixed, single: true, long: true, failing: -1, slow: -1,
	}
	peak = scenario{name: "crest", phases: loadPeak, failing: -1, slow: -1}
	faults = scenario{name: "faults", phases: loadPeak, failing: 4, slow: 7}
	return response, short, long, peak, faults
}

// Measure runs all scenarios under all policies.
func Measure(d *Deployment, o Options) *Report {
	r := &Report{deployment: d}
	for _, p := range policies() {
		r.policies = append(r.policies, measurePolicy(d, o, p))
	}
	return r
}

func measurePolicy(d *Deployment, o Options, p policy) policyResult {
	response, short, long, peak, faults := o.scenarios()
	result := policyResult{name: p.name}
	f := &result.figures
	f.Policy, f.Deployment, f.Seed, f.Load = p.name, d.name, o.seed, steadyLoad
	runTrial := func(s scenario) *trial {
		t := newTrial(d, s)
		p.build(t, o.seed)
		t.run(s.jobs(d, o.seed))
		f.add(t)
		return t
	}
	t := runTrial(response)
	result.steady = t
	f.ResponseRatioP50 = rounded(float64(t.ratios.ValueAtQuantile(50)) / ratioScale)
	f.ResponseRatioP99 = rounded(float64(t.ratios.ValueAtQuantile(99)) / ratioScale)
	f.CompleteRatio = rounded(float64(t.complete) / float64(t.measured))
	f.ShortMSP99 = rounded(float64(runTrial(short).responses.ValueAtQuantile(99)) / 1000)
	t = runTrial(long)
	f.ShortMSP99WithLong = rounded(float64(t.responses.ValueAtQuantile(99)) / 1000)
	f.CompleteWithLong = rounded(float64(t.complete) / float64(t.measured))
	f.HeadOfLineRatio = rounded(f.ShortMSP99WithLong / f.ShortMSP99)
	result.peak = runTrial(peak)
	f.CrestService = rounded(result.peak.peakService())
	f.CrestServiceFaults = rounded(runTrial(faults).peakService())
	return result
}

// add adds the counts of a trial; of the other figures that every scenario has, it keeps the worst.
func (f *figuresJSON) add(t *trial) {
	tasks, falseNotRun, startedTwice, lost := t.faults()
	f.Tasks += tasks
	f.FalseNotRun += falseNotRun
	f.StartedTwice += startedTwice
	f.Lost += lost
	f.RefusalMSP99 = max(f.RefusalMSP99, rounded(float64(t.refusals.ValueAtQuantile(99))/1000))
	f.WastedMessagesPerRun = max(f.WastedMessagesPerRun, rounded(float64(t.wasted())/float64(max(t.started(), 1))))
}

// peakService returns the work done in time during the load peak, as a fraction of the capacity of all slots.
func (t *trial) peakService() float64 {
	from := t.began.Add(t.scenario.phases[0].length)
	return t.service(from, from.Add(t.scenario.phases[1].length)) / float64(t.deployment.capacity())
}

func rounded(v float64) float64 { return math.Round(v*10_000) / 10_000 }

// JSON returns the figures of all policies, in snake case.
func (r *Report) JSON() ([]byte, error) {
	figures := make([]figuresJSON, len(r.policies))
	for i, p := range r.policies {
		figures[i] = p.figures
	}
	raw, err := json.MarshalIndent(figures, "", "  ")
	if err != nil {
		return nil, err
	}
	return append(raw, '\n'), nil
}

package hibiscusscheduling

import (
	"math"
	"slices"
)

// The speed of a worker is measured by its agent, over the tasks of all entries, and compared by each entry with that of the other workers.
// The expected run times may be wrong for all workers alike, so only the comparison counts. A run's time varies by 40% around its
// expectation and the expectation by as much, so that the mean of the last 128 runs is off by 4% (standard deviation).

const (
	// speedWeight is the weight of the newest run in the mean, and minSpeedWeight the least weight where run times vary so much that the
	// standard error of the mean, a logarithm, would exceed speedError otherwise.
	speedWeight    = 1.0 / 64
	minSpeedWeight = 1.0 / 512
	// minSpeedRuns is how many runs it takes before the mean is reported.
	minSpeedRuns = 48
	// maxSpeedError is the standard error above which the mean of the first runs is not reported.
	speedError    = 0.045
	maxSpeedError = 0.06
	// maxRunDeviation bounds the deviation of the logarithm of one run from the mean: a few tasks take seven times as long as the others.
	maxRunDeviation = 1.0
	// maxRelativeRunTime bounds the mean, so that a worker recovers from a long pause within some runs.
	maxRelativeRunTime = 16

	// minComparedWorkers is how many workers must report a relative run time before they are compared.
	minComparedWorkers = 3
	// speedClassStep is the distance of two speed classes, as a logarithm: a factor of the square root of two.
	speedClassStep = math.Ln2 / 2
	// speedClassHysteresis is how far, as a logarithm, a speed must be beyond the bound of its class before the class changes.
	speedClassHysteresis = 0.05
	// A speed relative to the median below minRelativeSpeed or above maxRelativeSpeed counts as that bound. A worker that is slower than
	// this is sick rather than slow: its runs count as slow, and it is ejected (slowness.go).
	minRelativeSpeed = 0.4
	maxRelativeSpeed = 4
)

// SpeedMeter estimates how long the runs of a worker take relative to their expected run time on a worker of speed 1: the geometric
// mean over about the last 128 runs, with outliers bounded. It handles workers whose hardware is slower or faster than that of the others;
// a worker that suddenly becomes slow is found sooner by the running median of the agent.
type SpeedMeter struct {
	runs     int
	mean     float64
	variance float64
}

// Observe adds a run that took ratio times as long as expected on a worker of speed 1.
func (m *SpeedMeter) Observe(ratio float64) {
	if ratio <= 0 || math.IsNaN(ratio) {
		return
	}
	m.runs++
	deviation := math.Log(ratio) - m.mean
	if m.runs > 1 {
		deviation = min(max(deviation, -maxRunDeviation), maxRunDeviation)
	}
	weight := max(m.weight(), 1/float64(m.runs))
	m.mean += weight * deviation
	m.variance = (1 - weight) * (m.variance + weight*deviation*deviation)
	bound := math.Log(maxRelativeRunTime)
	m.mean = min(max(m.mean, -bound), bound)
}

// weight returns the weight of the newest run: speedWeight, or less where runs vary a lot.
func (m *SpeedMeter) weight() float64 {
	if m.variance == 0 {
		return speedWeight
	}
	return min(max(2*speedError*speedError/m.variance, minSpeedWeight), speedWeight)
}

// RelativeRunTime returns the mean of run time / expected run time, zero while it is not known well enough.
func (m *SpeedMeter) RelativeRunTime() float64 {
	if m.runs < minSpeedRuns || m.variance > float64(m.runs)*maxSpeedError*maxSpeedError ||
		m.variance*m.weight() > 2*maxSpeedError*maxSpeedError {
		return 0
	}
	return math.Exp(m.mean)
}

// SpeedComparison compares the workers of a pool by their relative run times. It handles pools in which some workers are slower or faster
// by their hardware. Where all are alike, all have the speed 1 and the class 0, whatever the noise of the measurement.
type SpeedComparison struct {
	ratios []float64
	median float64
}

// Reset starts a new comparison.
func (c *SpeedComparison) Reset() {
	c.ratios = c.ratios[:0]
	c.median = 0
}

// Add adds the relative run time of a worker; zero, for unknown, is ignored.
func (c *SpeedComparison) Add(relativeRunTime float64) {
	if relativeRunTime > 0 {
		c.ratios = append(c.ratios, relativeRunTime)
	}
}

// Compare computes the median of the added values and reports whether there are enough to compare workers.
func (c *SpeedComparison) Compare() bool {
	if len(c.ratios) < minComparedWorkers {
		return false
	}
	slices.Sort(c.ratios)
	c.median = c.ratios[len(c.ratios)/2]
	return true
}

// Median returns the median relative run time, zero while too few workers are known.
func (c *SpeedComparison) Median() float64 { return c.median }

// Classify returns the speed of a worker relative to the median worker, and its speed class, given the class that it had. Class 0 holds
// the workers that are like the median, with the relative speed 1; each class above or below is faster or slower by the square
// root of two.
func (c *SpeedComparison) Classify(relativeRunTime float64, class int) (relative float64, newClass int) {
	if c.median == 0 || relativeRunTime <= 0 {
		return 1, 0
	}
	relative = min(max(c.median/relativeRunTime, minRelativeSpeed), maxRelativeSpeed)
	position := math.Log(relative) / speedClassStep
	if math.Abs(position-float64(class)) > 0.5+speedClassHysteresis/speedClassStep {
		class = int(math.Round(position))
	}
	if class == 0 {
		return 1, 0
	}
	return relative, class
}

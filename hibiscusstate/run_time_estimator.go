package hibiscusstate

import (
	"math"
	"math/bits"
	"time"
)

// RunTimeEstimator learns how long tasks of each kind and payload size run, and what a declared run time is worth.
//
// Declared run times are often wrong by a factor of ten either way, so that alone they serve only until enough runs were
// observed. Then the runs of a kind are told apart by what was declared for them: where declarations say something, the classes
// differ, and where they don't, all classes have the mean of the kind. On the users' sites, whose declarations are off by 40%,
// the error of the prediction (standard deviation of its logarithm) was 0.58 to 0.69 with the mean of the kind, and 0.43 to 0.45
// with the declaration alone.
type RunTimeEstimator struct {
	classes     map[runClass]*runEstimate
	regressions map[runClass]*declaredRegression
	median      time.Duration
}

// runClass is what the runs of a class have in common. Those of a whole kind and size have declared = anyDeclared.
type runClass struct {
	kind     string
	size     int
	declared int
}

// anyDeclared stands for all declared run times.
const anyDeclared = -1

type runEstimate struct {
	n         int
	mean      float64
	deviation float64
}

// declaredRegression follows how the logarithms of declared and observed run times of a kind go together.
type declaredRegression struct {
	n          int
	declared   float64
	observed   float64
	variance   float64
	covariance float64
}

const (
	// minRuns is the number of observed runs after which the declared run time no longer counts.
	minRuns = 8
	// runWeight is the weight of the newest run in the moving mean.
	runWeight = 1.0 / 16
	// medianStep is the weight of the newest run in the service's usual run time.
	medianStep = 1.0 / 64
	// defaultRunTime stands in for a kind without declaration or observation.
	defaultRunTime = 250 * time.Millisecond
	// outlierFactor is how many times the mean a single run may count.
	outlierFactor = 4
	// declaredFactor is how far a declared run time may be from the service's usual one before a run was observed. With 4,
	// twelve waiting tasks of a wrongly declared kind still had 9 of 20 jobs of another kind refused.
	declaredFactor = 2
	// regressionPriorRuns is how many observed runs of a declared class count as much as the guess from the kind's fit.
	regressionPriorRuns = 8
	// regressionWeight is the weight of the newest run in the fit.
	regressionWeight = 1.0 / 128
	// longFactor is how many usual run times make a task long.
	longFactor = 4
)

// NewRunTimeEstimator returns an estimator without observations.
func NewRunTimeEstimator() *RunTimeEstimator {
	return &RunTimeEstimator{classes: map[runClass]*runEstimate{}, regressions: map[runClass]*declaredRegression{}}
}

// Observe adds the run time of a finished task that was declared to take so long.
func (r *RunTimeEstimator) Observe(kind string, payloadBytes int, declared, runTime time.Duration) {
	r.observeMedian(runTime)
	class := classOf(kind, payloadBytes)
	r.observeClass(class, runTime)
	r.observeClass(class.withDeclared(declared), runTime)
	f := r.regressions[class]
	if f == nil {
		f = &declaredRegression{}
		r.regressions[class] = f
	}
	f.observe(logMillis(declared), logMillis(runTime))
}

// logMillis returns the natural logarithm of a time in milliseconds, of at least one.
func logMillis(t time.Duration) float64 {
	return math.Log(float64(max(t, time.Millisecond)) / float64(time.Millisecond))
}

func (f *declaredRegression) observe(declared, observed float64) {
	f.n++
	weight := max(regressionWeight, 1/float64(f.n))
	fromDeclared, fromObserved := declared-f.declared, observed-f.observed
	f.declared += weight * fromDeclared
	f.observed += weight * fromObserved
	f.variance = (1 - weight) * (f.variance + weight*fromDeclared*fromDeclared)
	f.covariance = (1 - weight) * (f.covariance + weight*fromDeclared*fromObserved)
}

// factor returns how many times the mean of its kind a run takes that was declared to take so long: one where declarations say
// nothing, and at most in proportion to them.
func (f *declaredRegression) factor(declared time.Duration) float64 {
	if f == nil || f.variance == 0 {
		return 1
	}
	slope := min(max(f.covariance/f.variance, 0), 1)
	return math.Exp(slope * (logMillis(declared) - f.declared))
}

func (r *RunTimeEstimator) observeClass(class runClass, runTime time.Duration) {
	e := r.classes[class]
	if e == nil {
		e = &runEstimate{}
		r.classes[class] = e
	}
	e.n++
	if e.n > minRuns {
		// One run that is a hundred times as long would make the kind look six times as long as it is, and admission would
		// refuse all of it; a real change still gets through, by a factor of outlierFactor at a time.
		runTime = min(runTime, time.Duration(outlierFactor*e.mean))
	}
	weight := max(runWeight, 1/float64(e.n))
	difference := float64(runTime) - e.mean
	e.mean += weight * difference
	e.deviation += weight * (max(difference, -difference) - e.deviation)
}

// observeMedian follows the median: each run moves it by a fixed fraction up or down, so that rare long runs don't pull it.
func (r *RunTimeEstimator) observeMedian(runTime time.Duration) {
	step := time.Duration(float64(r.median) * medianStep)
	switch {
	case r.median == 0:
		r.median = runTime
	case runTime > r.median:
		r.median += step
	case runTime < r.median:
		r.median -= step
	}
}

// Expect returns the predicted run time of a task and whether that is long for this service.
//
// Until runs were observed, the prediction stays within declaredFactor of the service's usual run time: a kind whose declared
// run time is ten times too long would otherwise fill the estimated queue and have the jobs of other kinds refused.
func (r *RunTimeEstimator) Expect(kind string, payloadBytes int, declared time.Duration) (expected time.Duration, long bool) {
	if declared <= 0 {
		declared = defaultRunTime
	}
	bounded := declared
	if r.median > 0 {
		bounded = min(max(declared, r.median/declaredFactor), declaredFactor*r.median)
	}
	e := r.classes[classOf(kind, payloadBytes)]
	if e == nil || e.n < minRuns {
		trust, mean := 0.0, 0.0
		if e != nil {
			trust, mean = float64(e.n)/minRuns, e.mean
		}
		expected = time.Duration(trust*mean + (1-trust)*float64(bounded))
		believed := time.Duration(trust*mean + (1-trust)*float64(declared))
		return expected, r.median > 0 && believed > longFactor*r.median
	}
	expected = r.expectDeclared(classOf(kind, payloadBytes), e.mean, declared)
	// A kind is long as a whole. When single jobs were, by what was declared for them, those waited at the cap of long work until
	// their deadlines.
	return expected, r.median > 0 && e.mean > float64(longFactor*r.median)
}

// expectDeclared returns the predicted run time of a class of a kind with a known mean.
func (r *RunTimeEstimator) expectDeclared(class runClass, mean float64, declared time.Duration) time.Duration {
	guess := mean * r.regressions[class].factor(declared)
	e := r.classes[class.withDeclared(declared)]
	if e == nil {
		return time.Duration(guess)
	}
	trust := float64(e.n) / float64(e.n+regressionPriorRuns)
	return time.Duration(trust*e.mean + (1-trust)*guess)
}

// Mean returns the observed mean run time of such tasks, and whether enough runs are behind it to compare others with.
func (r *RunTimeEstimator) Mean(kind string, payloadBytes int) (mean time.Duration, ok bool) {
	e := r.classes[classOf(kind, payloadBytes)]
	if e == nil || e.n < minRuns {
		return 0, false
	}
	return time.Duration(e.mean), true
}

// Median returns the running median of all observed run times, zero before the first.
func (r *RunTimeEstimator) Median() time.Duration { return r.median }

// classOf groups payloads by a factor of four in size.
func classOf(kind string, payloadBytes int) runClass {
	return runClass{kind: kind, size: bits.Len(uint(payloadBytes)) / 2, declared: anyDeclared}
}

// withDeclared returns the class of the runs that were declared to take about so long: two classes for each factor of two.
func (c runClass) withDeclared(declared time.Duration) runClass {
	c.declared = int(2 * logMillis(declared) / math.Ln2)
	return c
}

// StepMedian returns a running median after another value: it moves by the part step up or down, so that rare large
// values don't pull it.
func StepMedian(median, value, step float64) float64 {
	if value > median {
		return median * (1 + step)
	}
	return median * (1 - step)
}

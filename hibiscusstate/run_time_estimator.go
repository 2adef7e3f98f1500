package hibiscusstate

import (
	"math"
	"math/bits"
	"time"
)

// RunTimeEstimator estimates the run times of tasks from observed runs by kind and payload size, and from declared run times.
//
// Declared run times are often wrong by a factor of ten either way, so they are used on their own only until enough runs were
// observed. Then the runs of a kind are classed by their declared run time: where declarations are informative, the classes differ,
// and where they aren't, all classes have the mean of the kind. On the users' sites, whose declarations are off by 40%, the error
// of the estimate (standard deviation of its logarithm) was 0.58 to 0.69 with the mean of the kind, and 0.43 to 0.45 with the
// declaration alone.
type RunTimeEstimator struct {
	classes     map[runClass]*runEstimate
	regressions map[runClass]*declaredRegression
	median      time.Duration
}

// runClass identifies a class of runs. The class of all runs of a kind and size has declared = anyDeclared.
type runClass struct {
	kind     string
	size     int
	declared int
}

// anyDeclared means all declared run times.
const anyDeclared = -1

type runEstimate struct {
	n         int
	mean      float64
	deviation float64
}

// declaredRegression is a running linear regression of observed on declared run times of a kind, both as logarithms.
type declaredRegression struct {
	n          int
	declared   float64
	observed   float64
	variance   float64
	covariance float64
}

const (
	// minRuns is the number of observed runs below which their mean is averaged with the declared run time.
	minRuns = 8
	// runWeight is the weight of the newest run in the moving mean.
	runWeight = 1.0 / 16
	// medianStep is the fraction by which a run moves the service's median run time.
	medianStep = 1.0 / 64
	// defaultRunTime is the estimate for a kind without declaration or observation.
	defaultRunTime = 250 * time.Millisecond
	// outlierFactor bounds the weight of a single run: it counts at most as this many times the mean.
	outlierFactor = 4
	// declaredFactor bounds the ratio of a declared run time to the service's median before runs were observed. With 4, twelve
	// waiting tasks of a wrongly declared kind caused 9 of 20 jobs of another kind to be refused.
	declaredFactor = 2
	// regressionPriorRuns is how many observed runs of a declared class weigh as much as the estimate from the kind's regression.
	regressionPriorRuns = 8
	// regressionWeight is the weight of the newest run in the regression.
	regressionWeight = 1.0 / 128
	// longFactor is the multiple of the service's median run time above which a task is long.
	longFactor = 4
)

// NewRunTimeEstimator returns an estimator without observations.
func NewRunTimeEstimator() *RunTimeEstimator {
	return &RunTimeEstimator{classes: map[runClass]*runEstimate{}, regressions: map[runClass]*declaredRegression{}}
}

// Observe adds the run time of a finished task with its declared run time.
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

// logMillis returns the natural logarithm of a duration in milliseconds; a shorter one counts as one millisecond.
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

// factor returns the estimated ratio of a run with this declared run time to the mean of its kind: one where declarations are not
// informative, and at most in proportion to them.
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
		// Unbounded, one run a hundred times as long would raise the mean sixfold, and admission would refuse all jobs of the
		// kind. A lasting change is still followed, by at most a factor of outlierFactor per run.
		runTime = min(runTime, time.Duration(outlierFactor*e.mean))
	}
	weight := max(runWeight, 1/float64(e.n))
	difference := float64(runTime) - e.mean
	e.mean += weight * difference
	e.deviation += weight * (max(difference, -difference) - e.deviation)
}

// observeMedian updates the running median: each run moves it by a fixed fraction up or down, so rare long runs have little effect.
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

// Expect returns the estimated run time of a task and whether that is long for this service.
//
// Until runs were observed, the estimate stays within declaredFactor of the service's median run time: a kind whose declared run
// time is ten times too long would otherwise inflate the estimated backlog and cause jobs of other kinds to be refused.
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
		weight, mean := 0.0, 0.0
		if e != nil {
			weight, mean = float64(e.n)/minRuns, e.mean
		}
		expected = time.Duration(weight*mean + (1-weight)*float64(bounded))
		unbounded := time.Duration(weight*mean + (1-weight)*float64(declared))
		return expected, r.median > 0 && unbounded > longFactor*r.median
	}
	expected = r.expectDeclared(classOf(kind, payloadBytes), e.mean, declared)
	// All tasks of a kind are long or none is. When it was decided by each job's declaration, single jobs waited for the slots of
	// long tasks until their deadlines.
	return expected, r.median > 0 && e.mean > float64(longFactor*r.median)
}

// expectDeclared returns the estimated run time for a declared run time, given the mean of the kind.
func (r *RunTimeEstimator) expectDeclared(class runClass, mean float64, declared time.Duration) time.Duration {
	estimate := mean * r.regressions[class].factor(declared)
	e := r.classes[class.withDeclared(declared)]
	if e == nil {
		return time.Duration(estimate)
	}
	weight := float64(e.n) / float64(e.n+regressionPriorRuns)
	return time.Duration(weight*e.mean + (1-weight)*estimate)
}

// Mean returns the observed mean run time of such tasks, and whether enough runs were observed to compare others with it.
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

// withDeclared returns the class of the runs with about this declared run time: two classes for each factor of two.
func (c runClass) withDeclared(declared time.Duration) runClass {
	c.declared = int(2 * logMillis(declared) / math.Ln2)
	return c
}

// StepMedian returns a running median updated by a value: it moves by the fraction step up or down, so that rare large values
// have little effect.
func StepMedian(median, value, step float64) float64 {
	if value > median {
		return median * (1 + step)
	}
	return median * (1 - step)
}

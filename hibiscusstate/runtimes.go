package hibiscusstate

import (
	"math/bits"
	"time"
)

// RunTimes learns how long tasks of each kind and payload size run.
//
// Declared run times are often wrong by a factor of ten either way, so they serve only until enough runs were observed.
type RunTimes struct {
	classes map[runClass]*runEstimate
	usual   time.Duration
}

type runClass struct {
	kind string
	size int
}

type runEstimate struct {
	n         int
	mean      float64
	deviation float64
}

const (
	// trustedRuns is the number of observed runs after which the declared run time no longer counts.
	trustedRuns = 8
	// runWeight is the weight of the newest run in the moving mean.
	runWeight = 1.0 / 16
	// usualWeight is the weight of the newest run in the service's usual run time.
	usualWeight = 1.0 / 64
	// defaultRunTime stands in for a kind without declaration or observation.
	defaultRunTime = 250 * time.Millisecond
	// outlierFactor is how many times the mean a single run may count.
	outlierFactor = 4
	// declaredFactor is how far a declared run time may be from the service's usual one before a run was observed. With 4,
	// twelve waiting tasks of a wrongly declared kind still had 9 of 20 jobs of another kind refused.
	declaredFactor = 2
	// longFactor is how many usual run times make a task long.
	longFactor = 4
)

// NewRunTimes returns an estimator without observations.
func NewRunTimes() *RunTimes { return &RunTimes{classes: map[runClass]*runEstimate{}} }

// Observe adds the run time of a finished task.
func (r *RunTimes) Observe(kind string, payloadBytes int, runTime time.Duration) {
	r.observeUsual(runTime)
	e := r.classes[classOf(kind, payloadBytes)]
	if e == nil {
		e = &runEstimate{}
		r.classes[classOf(kind, payloadBytes)] = e
	}
	e.n++
	if e.n > trustedRuns {
		// One run that is a hundred times as long would make the kind look six times as long as it is, and admission would
		// refuse all of it; a real change still gets through, by a factor of outlierFactor at a time.
		runTime = min(runTime, time.Duration(outlierFactor*e.mean))
	}
	weight := max(runWeight, 1/float64(e.n))
	difference := float64(runTime) - e.mean
	e.mean += weight * difference
	e.deviation += weight * (max(difference, -difference) - e.deviation)
}

// observeUsual follows the median: each run moves it by a fixed fraction up or down, so that rare long runs don't pull it.
func (r *RunTimes) observeUsual(runTime time.Duration) {
	step := time.Duration(float64(r.usual) * usualWeight)
	switch {
	case r.usual == 0:
		r.usual = runTime
	case runTime > r.usual:
		r.usual += step
	case runTime < r.usual:
		r.usual -= step
	}
}

// Expect returns the predicted run time of a task and whether that is long for this service.
//
// Until runs were observed, the prediction stays within declaredFactor of the service's usual run time: a kind whose declared
// run time is ten times too long would otherwise fill the estimated queue and have the jobs of other kinds refused.
func (r *RunTimes) Expect(kind string, payloadBytes int, declared time.Duration) (expected time.Duration, long bool) {
	if declared <= 0 {
		declared = defaultRunTime
	}
	bounded := declared
	if r.usual > 0 {
		bounded = min(max(declared, r.usual/declaredFactor), declaredFactor*r.usual)
	}
	trust, mean := 0.0, 0.0
	if e := r.classes[classOf(kind, payloadBytes)]; e != nil {
		trust = min(float64(e.n)/trustedRuns, 1)
		mean = e.mean
	}
	expected = time.Duration(trust*mean + (1-trust)*float64(bounded))
	believed := time.Duration(trust*mean + (1-trust)*float64(declared))
	return expected, r.usual > 0 && believed > longFactor*r.usual
}

// Learned returns the observed mean run time of such tasks, and whether enough runs are behind it to compare others with.
func (r *RunTimes) Learned(kind string, payloadBytes int) (mean time.Duration, ok bool) {
	e := r.classes[classOf(kind, payloadBytes)]
	if e == nil || e.n < trustedRuns {
		return 0, false
	}
	return time.Duration(e.mean), true
}

// Usual returns the running median of all observed run times, zero before the first.
func (r *RunTimes) Usual() time.Duration { return r.usual }

// classOf groups payloads by a factor of four in size.
func classOf(kind string, payloadBytes int) runClass {
	return runClass{kind: kind, size: bits.Len(uint(payloadBytes)) / 2}
}

// FollowMedian returns a running median after another value: it moves by the part step up or down, so that rare large
// values don't pull it.
func FollowMedian(median, value, step float64) float64 {
	if value > median {
		return median * (1 + step)
	}
	return median * (1 - step)
}

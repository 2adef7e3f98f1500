package hibiscuscoordination

import (
	"fmt"
	"time"

	"hibiscusrouter/hibiscusstate"
)

// Health is judged from the results that come anyway. A worker whose tasks all fail, while those of the others do not, is
// taken out and tried again with one task after a growing delay; one task that finishes brings it back. So is a straggler,
// whose tasks take several times as long as the same tasks on the others; it comes back when its trials are fast again.

const (
	// outAfterFailures is how many failures in a row take a worker out.
	outAfterFailures = 5
	// stalledFailures is how many failures in a row take a worker out whose tasks stand still, which count twice: a sound task
	// makes progress, so that two are no accident.
	stalledFailures = 4
	// maxOutPercent bounds the part of a service's workers that may be out at once.
	maxOutPercent = 30
	// serviceFailureLimit is the part of failures in the whole service above which no worker is blamed.
	serviceFailureLimit = 0.5
	// failureWeight is the weight of the newest result in the service's part of failures.
	failureWeight = 1.0 / 32
	// slowFactor is how many times slower than the service's median a worker has to be to be taken out, and backFactor how
	// many times slower it may be when it comes back.
	slowFactor = 3
	backFactor = 2
	// slowRuns is how many finished tasks are needed to call a worker slow.
	slowRuns = 16
	// speedStep, trialSpeedStep and poolSpeedStep are the parts by which one task moves the medians of a worker, of a worker
	// on trial and of the service. A trial counts more, so that a few fast ones bring a worker back.
	speedStep      = 1.0 / 16
	trialSpeedStep = 1.0 / 4
	poolSpeedStep  = 1.0 / 64

	firstTrial    = 2 * time.Second
	maxTrialDelay = 60 * time.Second
)

// judge takes the result of a task into the health of its worker.
func (d *Dispatcher) judge(now time.Time, a *assignment, t *hibiscusstate.Task, r *hibiscusstate.Report) {
	w := a.worker
	switch r.Outcome() {
	case hibiscusstate.OutcomeFinished:
		a.pool.failures -= a.pool.failures * failureWeight
		w.CountFinished()
		d.judgeSpeed(now, a, t, r.RunTime())
	case hibiscusstate.OutcomeFailed, hibiscusstate.OutcomeMayHaveRun:
		a.pool.failures += (1 - a.pool.failures) * failureWeight
		// A task that fails at once would free its slot at once and draw the next task to the broken worker.
		w.Hold(t.Room().Slots(), t.SentAt().Add(t.Expected()))
		failures := w.CountFailed()
		if failures >= outAfterFailures || w.Health() == hibiscusstate.HealthOnTrial {
			d.takeOut(now, a, fmt.Sprintf("%d tasks in a row failed", failures))
		}
	case hibiscusstate.OutcomeStalled:
		a.pool.failures += (1 - a.pool.failures) * failureWeight
		w.CountFailed()
		if failures := w.CountFailed(); failures >= stalledFailures || w.Health() == hibiscusstate.HealthOnTrial {
			d.takeOut(now, a, "its tasks stand still")
		}
	case hibiscusstate.OutcomeStopped, hibiscusstate.OutcomeNotRun, hibiscusstate.OutcomePending, hibiscusstate.OutcomeLost:
	}
}

// judgeSpeed compares a finished task with what such tasks take, and the worker with the service's median. A run time that
// was only declared says nothing: while wrong ones gave way to learned ones, every worker looked like a straggler.
func (d *Dispatcher) judgeSpeed(now time.Time, a *assignment, t *hibiscusstate.Task, runTime time.Duration) {
	w := a.worker
	onTrial := w.Health() == hibiscusstate.HealthOnTrial
	if mean, ok := a.pool.runTimes.Learned(t.Kind(), len(t.Payload())); ok {
		a.pool.compareSpeed(w, float64(runTime)/float64(max(mean, time.Millisecond)), onTrial)
	}
	slowness := w.Slowness() / a.pool.slowness
	switch {
	case w.Runs() >= slowRuns && (slowness > slowFactor || onTrial && slowness > backFactor):
		d.takeOut(now, a, fmt.Sprintf("its tasks take %.1f times as long as the service's", slowness))
	case onTrial:
		w.ClearTrial()
		w.SetHealth(hibiscusstate.HealthGood, "")
		d.event(NewWorkerEvent(hibiscusstate.EventWorkerBack, w, "a trial task finished"))
	case w.Health() == hibiscusstate.HealthGood:
		w.ClearTrial()
	}
}

// compareSpeed adds a task that took ratio times the usual to the medians of its worker and of the service. Means won't do:
// where a tenth of the tasks run a hundred times as long, every worker's mean is far above the service's median, and a
// straggler among four workers draws the service's mean so far up that it is never found.
func (p *pool) compareSpeed(w *hibiscusstate.Worker, ratio float64, onTrial bool) {
	step := speedStep
	if onTrial {
		step = trialSpeedStep
	}
	w.ObserveSpeed(ratio, p.slowness, step)
	if onTrial && ratio < backFactor*p.slowness {
		// The worker may be fast again: the next trials come soon, or it would be out for minutes.
		w.ClearTrial()
	}
	p.slowness = hibiscusstate.FollowMedian(p.slowness, ratio, poolSpeedStep)
}

func (d *Dispatcher) takeOut(now time.Time, a *assignment, cause string) {
	w := a.worker
	onTrial := w.Health() == hibiscusstate.HealthOnTrial
	if !onTrial && (w.Health() != hibiscusstate.HealthGood || a.pool.failures > serviceFailureLimit || !d.mayTakeOut(a.pool)) {
		return
	}
	delay := min(max(2*w.TrialDelay(), firstTrial), maxTrialDelay)
	w.SetOut(now.Add(delay), delay, cause)
	if !onTrial {
		d.event(NewWorkerEvent(hibiscusstate.EventWorkerOut, w, w.HealthCause()))
	}
}

func (d *Dispatcher) mayTakeOut(p *pool) bool {
	out := 0
	for i := range p.heap.Len() {
		switch p.heap.At(i).Health() {
		case hibiscusstate.HealthOut, hibiscusstate.HealthOnTrial:
			out++
		case hibiscusstate.HealthGood, hibiscusstate.HealthLeaving:
		}
	}
	// Of two or three workers one may be out: a worker that fails everything is of no use there either.
	if out == 0 && p.heap.Len() > 1 {
		return true
	}
	return (out+1)*100 <= p.heap.Len()*maxOutPercent
}

// tryAgain puts a worker that was out long enough on trial.
func (d *Dispatcher) tryAgain(now time.Time, a *assignment) {
	if a.worker.Health() == hibiscusstate.HealthOut && !now.Before(a.worker.OutUntil()) {
		a.worker.SetHealth(hibiscusstate.HealthOnTrial, a.worker.HealthCause())
	}
}

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
	// ejectAfterFailures is how many failures in a row take a worker out.
	ejectAfterFailures = 5
	// ejectAfterStalls is how many failures in a row take a worker out whose tasks stand still, which count twice: a sound task
	// makes progress, so that two are no accident.
	ejectAfterStalls = 4
	// maxEjectedPercent bounds the part of a service's workers that may be out at once.
	maxEjectedPercent = 30
	// maxServiceFailureRate is the part of failures in the whole service above which no worker is blamed.
	maxServiceFailureRate = 0.5
	// failureWeight is the weight of the newest result in the service's part of failures.
	failureWeight = 1.0 / 32
	// slowFactor is how many times slower than the service's median a worker has to be to be taken out, and reinstateFactor how
	// many times slower it may be when it comes back.
	slowFactor = 3
	reinstateFactor = 2
	// minSpeedRuns is how many finished tasks are needed to call a worker slow.
	minSpeedRuns = 16
	// speedStep, probeSpeedStep and poolSpeedStep are the parts by which one task moves the medians of a worker, of a worker
	// on trial and of the service. A trial counts more, so that a few fast ones bring a worker back.
	speedStep      = 1.0 / 16
	probeSpeedStep = 1.0 / 4
	poolSpeedStep  = 1.0 / 64

	minProbeDelay    = 2 * time.Second
	maxProbeDelay = 60 * time.Second
)

// judge takes the result of a task into the health of its worker.
func (d *Dispatcher) evaluateResult(now time.Time, a *assignment, t *hibiscusstate.Task, r *hibiscusstate.Report) {
	w := a.worker
	switch r.Outcome() {
	case hibiscusstate.OutcomeFinished:
		a.pool.failureRate -= a.pool.failureRate * failureWeight
		w.CountFinished()
		d.evaluateSpeed(now, a, t, r.RunTime())
	case hibiscusstate.OutcomeFailed, hibiscusstate.OutcomeMayHaveRun:
		a.pool.failureRate += (1 - a.pool.failureRate) * failureWeight
		// A task that fails at once would free its slot at once and draw the next task to the broken worker.
		w.Hold(t.Resources().Slots(), t.SentAt().Add(t.Expected()))
		failures := w.CountFailed()
		if failures >= ejectAfterFailures || w.Health() == hibiscusstate.HealthProbing {
			d.eject(now, a, fmt.Sprintf("%d tasks in a row failed", failures))
		}
	case hibiscusstate.OutcomeStalled:
		a.pool.failureRate += (1 - a.pool.failureRate) * failureWeight
		w.CountFailed()
		if failures := w.CountFailed(); failures >= ejectAfterStalls || w.Health() == hibiscusstate.HealthProbing {
			d.eject(now, a, "its tasks stand still")
		}
	case hibiscusstate.OutcomeStopped, hibiscusstate.OutcomeNotRun, hibiscusstate.OutcomePending, hibiscusstate.OutcomeLost:
	}
}

// evaluateSpeed compares a finished task with what such tasks take, and the worker with the service's median. A run time that
// was only declared says nothing: while wrong ones gave way to learned ones, every worker looked like a straggler.
func (d *Dispatcher) evaluateSpeed(now time.Time, a *assignment, t *hibiscusstate.Task, runTime time.Duration) {
	w := a.worker
	onTrial := w.Health() == hibiscusstate.HealthProbing
	if mean, ok := a.pool.runTimes.Mean(t.Kind(), len(t.Payload())); ok {
		a.pool.observeSpeed(w, float64(runTime)/float64(max(mean, time.Millisecond)), onTrial)
	}
	slowness := w.Slowness() / a.pool.slowness
	switch {
	case w.Runs() >= minSpeedRuns && (slowness > slowFactor || onTrial && slowness > reinstateFactor):
		d.eject(now, a, fmt.Sprintf("its tasks take %.1f times as long as the service's", slowness))
	case onTrial:
		w.ResetProbeDelay()
		w.SetHealth(hibiscusstate.HealthGood, "")
		d.event(NewWorkerEvent(hibiscusstate.EventWorkerReinstated, w, "a trial task finished"))
	case w.Health() == hibiscusstate.HealthGood:
		w.ResetProbeDelay()
	}
}

// observeSpeed adds a task that took ratio times the usual to the medians of its worker and of the service. Means won't do:
// where a tenth of the tasks run a hundred times as long, every worker's mean is far above the service's median, and a
// straggler among four workers draws the service's mean so far up that it is never found.
func (p *pool) observeSpeed(w *hibiscusstate.Worker, ratio float64, onTrial bool) {
	step := speedStep
	if onTrial {
		step = probeSpeedStep
	}
	w.ObserveSpeed(ratio, p.slowness, step)
	if onTrial && ratio < reinstateFactor*p.slowness {
		// The worker may be fast again: the next trials come soon, or it would be out for minutes.
		w.ResetProbeDelay()
	}
	p.slowness = hibiscusstate.StepMedian(p.slowness, ratio, poolSpeedStep)
}

func (d *Dispatcher) eject(now time.Time, a *assignment, cause string) {
	w := a.worker
	onTrial := w.Health() == hibiscusstate.HealthProbing
	if !onTrial && (w.Health() != hibiscusstate.HealthGood || a.pool.failureRate > maxServiceFailureRate || !d.canEject(a.pool)) {
		return
	}
	delay := min(max(2*w.ProbeDelay(), minProbeDelay), maxProbeDelay)
	w.Eject(now.Add(delay), delay, cause)
	if !onTrial {
		d.event(NewWorkerEvent(hibiscusstate.EventWorkerEjected, w, w.HealthCause()))
	}
}

func (d *Dispatcher) canEject(p *pool) bool {
	out := 0
	for i := range p.heap.Len() {
		switch p.heap.At(i).Health() {
		case hibiscusstate.HealthEjected, hibiscusstate.HealthProbing:
			out++
		case hibiscusstate.HealthGood, hibiscusstate.HealthLeaving:
		}
	}
	// Of two or three workers one may be out: a worker that fails everything is of no use there either.
	if out == 0 && p.heap.Len() > 1 {
		return true
	}
	return (out+1)*100 <= p.heap.Len()*maxEjectedPercent
}

// startProbe puts a worker that was out long enough on trial.
func (d *Dispatcher) startProbe(now time.Time, a *assignment) {
	if a.worker.Health() == hibiscusstate.HealthEjected && !now.Before(a.worker.EjectedUntil()) {
		a.worker.SetHealth(hibiscusstate.HealthProbing, a.worker.HealthCause())
	}
}

package hibiscuscoordination

import (
	"fmt"
	"time"

	"hibiscusrouter/hibiscusstate"
)

// The health of workers is derived from the results of their tasks, without extra checks. A worker whose tasks all fail, while
// those of the others do not, is ejected and probed with one task after a growing delay; one probe task that finishes reinstates
// it. A straggler, whose tasks take several times as long as the same tasks on the others, is ejected as well and reinstated
// when its probe tasks are fast again.

const (
	// ejectAfterFailures is how many consecutive failures eject a worker.
	ejectAfterFailures = 5
	// ejectAfterStalls is how many consecutive failures eject a worker whose task has stalled. A stalled task counts twice: a
	// task on a working endpoint makes progress, so two stalled ones suffice.
	ejectAfterStalls = 4
	// maxEjectedPercent bounds the percentage of a service's workers that may be ejected at the same time.
	maxEjectedPercent = 30
	// maxServiceFailureRate is the failure rate of the whole service above which no further worker is ejected.
	maxServiceFailureRate = 0.5
	// failureWeight is the weight of the newest result in the failure rate of the service.
	failureWeight = 1.0 / 32
	// A worker that is slowFactor times slower than the service's median is ejected; it is reinstated when it is at most
	// reinstateFactor times slower.
	slowFactor      = 3
	reinstateFactor = 2
	// minSpeedRuns is how many finished tasks it takes before a worker is ejected as slow.
	minSpeedRuns = 16
	// speedStep, probeSpeedStep and poolSpeedStep are the fractions by which one task moves the running medians of a worker, of
	// a probed worker and of the service. A probe task counts more, so that a few fast ones reinstate a worker.
	speedStep      = 1.0 / 16
	probeSpeedStep = 1.0 / 4
	poolSpeedStep  = 1.0 / 64

	minProbeDelay = 2 * time.Second
	maxProbeDelay = 60 * time.Second
)

// evaluateResult updates the health of a worker with the result of a task.
func (d *Dispatcher) evaluateResult(now time.Time, a *assignment, t *hibiscusstate.Task, r *hibiscusstate.Report) {
	w := a.worker
	switch r.Outcome() {
	case hibiscusstate.OutcomeFinished:
		a.pool.failureRate -= a.pool.failureRate * failureWeight
		w.CountFinished()
		d.evaluateSpeed(now, a, t, r.RunTime())
	case hibiscusstate.OutcomeFailed, hibiscusstate.OutcomeMayHaveRun:
		a.pool.failureRate += (1 - a.pool.failureRate) * failureWeight
		// A task that fails at once would free its slot at once, and the next task would be placed on the broken worker.
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

// evaluateSpeed compares the run time of a finished task with the observed mean of such tasks, and the worker with the service's
// median. Declared run times are not used: until observed ones had replaced wrong ones, every worker looked like a straggler.
func (d *Dispatcher) evaluateSpeed(now time.Time, a *assignment, t *hibiscusstate.Task, runTime time.Duration) {
	w := a.worker
	probing := w.Health() == hibiscusstate.HealthProbing
	if mean, ok := a.pool.runTimes.Mean(t.Kind(), len(t.Payload())); ok {
		a.pool.observeSpeed(w, float64(d.normalizedRunTime(w, t, runTime))/float64(max(mean, time.Millisecond)), probing)
	}
	slowness := a.pool.relativeSlowness(w)
	if w.Runs() >= minSpeedRuns {
		slowness = max(slowness, w.Slowness()/a.pool.slowness)
	}
	switch {
	case slowness > slowFactor, probing && slowness > reinstateFactor:
		if d.eject(now, a, fmt.Sprintf("its tasks take %.1f times as long as the service's", slowness)) {
			a.ejectedAsSlow = true
		}
	case probing:
		d.reinstate(a, "a trial task finished")
	case w.Health() == hibiscusstate.HealthGood:
		w.ResetProbeDelay()
	}
}

// observeSpeed adds a task that took ratio times the observed mean to the medians of its worker and of the service. Means are
// not used: where a tenth of the tasks run a hundred times as long, every worker's mean is far above the service's median, and
// a straggler among four workers raises the service's mean so much that it is never found.
func (p *pool) observeSpeed(w *hibiscusstate.Worker, ratio float64, probing bool) {
	step := speedStep
	if probing {
		step = probeSpeedStep
	}
	w.ObserveSpeed(ratio, p.slowness, step)
	if probing && ratio < reinstateFactor*p.slowness {
		// The worker may be fast again: the probe delay is reset, or the worker would stay ejected for minutes.
		w.ResetProbeDelay()
	}
	p.slowness = hibiscusstate.StepMedian(p.slowness, ratio, poolSpeedStep)
}

// reinstate ends the ejection of a worker.
func (d *Dispatcher) reinstate(a *assignment, cause string) {
	a.worker.ResetProbeDelay()
	a.worker.SetHealth(hibiscusstate.HealthGood, "")
	a.ejectedAsSlow = false
	d.event(NewWorkerEvent(hibiscusstate.EventWorkerReinstated, a.worker, cause))
}

// eject ejects a worker, or extends its ejection after a probe task, and reports whether it did.
func (d *Dispatcher) eject(now time.Time, a *assignment, cause string) bool {
	w := a.worker
	probing := w.Health() == hibiscusstate.HealthProbing
	if !probing && (w.Health() != hibiscusstate.HealthGood || a.pool.failureRate > maxServiceFailureRate || !d.canEject(a.pool)) {
		return false
	}
	delay := min(max(2*w.ProbeDelay(), minProbeDelay), maxProbeDelay)
	w.Eject(now.Add(delay), delay, cause)
	a.ejectedAsSlow = false
	if !probing {
		d.event(NewWorkerEvent(hibiscusstate.EventWorkerEjected, w, w.HealthCause()))
	}
	return true
}

func (d *Dispatcher) canEject(p *pool) bool {
	ejected := 0
	for i := range p.heap.Len() {
		switch p.heap.At(i).Health() {
		case hibiscusstate.HealthEjected, hibiscusstate.HealthProbing:
			ejected++
		case hibiscusstate.HealthGood, hibiscusstate.HealthLeaving:
		}
	}
	// One of two or three workers may be ejected although that exceeds maxEjectedPercent: one that fails all tasks is of no use.
	if ejected == 0 && p.heap.Len() > 1 {
		return true
	}
	return (ejected+1)*100 <= p.heap.Len()*maxEjectedPercent
}

// startProbe probes an ejected worker once its delay has passed.
func (d *Dispatcher) startProbe(now time.Time, a *assignment) {
	if a.worker.Health() == hibiscusstate.HealthEjected && !now.Before(a.worker.EjectedUntil()) {
		a.worker.SetHealth(hibiscusstate.HealthProbing, a.worker.HealthCause())
	}
}

package hibiscuscoordination

import (
	"fmt"
	"time"

	"hibiscusrouter/hibiscusstate"
)

// Health is judged from the results that come anyway. A worker whose tasks all fail, while those of the others do not, is
// taken out and tried again with one task after a growing delay; one task that finishes brings it back.

const (
	// outAfterFailures is how many failures in a row take a worker out.
	outAfterFailures = 5
	// maxOutPercent bounds the part of a service's workers that may be out at once.
	maxOutPercent = 30
	// serviceFailureLimit is the part of failures in the whole service above which no worker is blamed.
	serviceFailureLimit = 0.5
	// failureWeight is the weight of the newest result in the service's part of failures.
	failureWeight = 1.0 / 32
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
		w.ClearTrial()
		if w.Health() == hibiscusstate.HealthOnTrial {
			w.SetHealth(hibiscusstate.HealthGood, "")
			d.event(NewWorkerEvent(hibiscusstate.EventWorkerBack, w, "a trial task finished"))
		}
	case hibiscusstate.OutcomeFailed, hibiscusstate.OutcomeMayHaveRun:
		a.pool.failures += (1 - a.pool.failures) * failureWeight
		// A task that fails at once would free its slot at once and draw the next task to the broken worker.
		w.Hold(t.SentAt().Add(t.Expected()))
		failures := w.CountFailed()
		if failures >= outAfterFailures || w.Health() == hibiscusstate.HealthOnTrial {
			d.takeOut(now, a, failures)
		}
	case hibiscusstate.OutcomeStopped, hibiscusstate.OutcomeNotRun, hibiscusstate.OutcomePending:
	}
}

func (d *Dispatcher) takeOut(now time.Time, a *assignment, failures int) {
	w := a.worker
	onTrial := w.Health() == hibiscusstate.HealthOnTrial
	if !onTrial && (w.Health() != hibiscusstate.HealthGood || a.pool.failures > serviceFailureLimit || !d.mayTakeOut(a.pool)) {
		return
	}
	delay := min(max(2*w.TrialDelay(), firstTrial), maxTrialDelay)
	w.SetOut(now.Add(delay), delay, fmt.Sprintf("%d tasks in a row failed", failures))
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
	return (out+1)*100 <= p.heap.Len()*maxOutPercent
}

// tryAgain puts a worker that was out long enough on trial.
func (d *Dispatcher) tryAgain(now time.Time, a *assignment) {
	if a.worker.Health() == hibiscusstate.HealthOut && !now.Before(a.worker.OutUntil()) {
		a.worker.SetHealth(hibiscusstate.HealthOnTrial, a.worker.HealthCause())
	}
}

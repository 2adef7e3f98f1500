package hibiscuscoordination

import (
	"time"

	"hibiscusrouter/hibiscusstate"
)

// Reports of agents about the tasks of an entry, and what follows from them: the end of a task, or its return to the queue.

// HandleReports handles the reports of an agent about tasks of this entry.
func (d *Dispatcher) HandleReports(now time.Time, id hibiscusstate.Incarnation, reports []hibiscusstate.Report) {
	a := d.workers[id]
	if a == nil {
		return
	}
	for i := range reports {
		d.handleReport(now, a, &reports[i])
	}
	a.update()
	d.dispatch(now, a.pool)
}

func (d *Dispatcher) handleReport(now time.Time, a *assignment, r *hibiscusstate.Report) {
	a.worker.SetLeaseEpoch(r.LeaseEpoch())
	a.worker.Report(r.OtherSlots(), r.Waiting(), now)
	a.worker.SetRelativeRunTime(r.RelativeRunTime())
	d.observeReportedSlowness(now, a, r.Slowness())
	t := a.tasks[r.ID()]
	if t == nil || t.Attempt() != r.Attempt() {
		return
	}
	switch r.Status() {
	case hibiscusstate.StatusWaiting, hibiscusstate.StatusRunning:
		t.MarkSent(a.worker.ID(), t.SentAt())
		if t.Job().Ending() || !now.Before(t.Job().Deadline()) {
			// The job ended while the session was lost, so the agent has not received the request to stop the task.
			d.counters.messages++
			d.send(a.worker.ID(), NewStopMessage([]hibiscusstate.TaskAttempt{t.Attempt()}))
		}
	case hibiscusstate.StatusNeverReceived:
		d.requeue(now, a, t, false, "the task never reached its worker")
	case hibiscusstate.StatusRejected:
		d.counters.countRejection(r.Rejection())
		if r.Rejection() == hibiscusstate.RejectionSealed {
			d.resolve(now, a, t, hibiscusstate.OutcomeNotRun, nil, "another entry has answered for the job", 0)
			return
		}
		d.logReturned(a, t, r)
		a.endNotice(r)
		d.backOffWorker(now, a.worker, r)
		busy := r.Rejection() == hibiscusstate.RejectionNoFreeSlot || r.Rejection() == hibiscusstate.RejectionWaitTimeout
		d.requeue(now, a, t, busy, "no worker took the task: "+r.Rejection().String())
	case hibiscusstate.StatusDone:
		d.handleResult(now, a, t, r)
	}
}

// backOffWorker lowers the free slots of a worker that rejected a task, so that it isn't selected again immediately.
func (d *Dispatcher) backOffWorker(now time.Time, w *hibiscusstate.Worker, r *hibiscusstate.Report) {
	switch r.Rejection() {
	case hibiscusstate.RejectionNoFreeSlot:
		w.Report(max(r.OtherSlots(), w.Slots()-w.InFlightSlots()+1), r.Waiting(), now)
	case hibiscusstate.RejectionEndpointDown, hibiscusstate.RejectionEndpointBusy:
		// An endpoint that refuses connections appears idle: without the back-off a task was returned eight times within a
		// few milliseconds and failed its job while other workers had free slots.
		w.HoldAll(now.Add(endpointBackoff))
	case hibiscusstate.RejectionNone, hibiscusstate.RejectionWaitTimeout, hibiscusstate.RejectionLeaving,
		hibiscusstate.RejectionLeaseExpired, hibiscusstate.RejectionSealed, hibiscusstate.RejectionDuplicate,
		hibiscusstate.RejectionUnknownKind, hibiscusstate.RejectionExpired, hibiscusstate.RejectionStopped:
	}
}

// requeue queues a task that certainly has not started, unless its job has failed, was cancelled or is past its deadline.
func (d *Dispatcher) requeue(now time.Time, a *assignment, t *hibiscusstate.Task, busy bool, reason string) {
	job := t.Job()
	if t.Rejections() >= maxReturns && job.Name() == "" || job.Ending() || !now.Before(job.Deadline()) {
		d.resolve(now, a, t, hibiscusstate.OutcomeNotRun, nil, reason, 0)
		return
	}
	d.release(a, t)
	d.counters.moves++
	t.MarkReturned(busy)
	a.pool.queue.Push(t)
}

func (d *Dispatcher) handleResult(now time.Time, a *assignment, t *hibiscusstate.Task, r *hibiscusstate.Report) {
	if r.Outcome() == hibiscusstate.OutcomeFinished {
		d.observeRunTime(a, t, r.RunTime())
	}
	d.evaluateResult(now, a, t, r)
	if d.runAgain(now, a, t, r) {
		return
	}
	outcome := r.Outcome()
	if outcome == hibiscusstate.OutcomeFailed && t.Failures()+1 < t.Job().MaxAttempts() {
		// The job ends while the task had attempts left, so the task is lost and not failed.
		outcome = hibiscusstate.OutcomeLost
	}
	d.resolve(now, a, t, outcome, r.Output(), r.Reason(), r.RunTime())
}

// release removes a task from its worker.
func (d *Dispatcher) release(a *assignment, t *hibiscusstate.Task) {
	delete(a.tasks, t.ID())
	a.worker.Remove(t)
	if t.Long() {
		a.pool.longSlots -= t.Resources().Slots()
	}
}

// resolve sets the outcome of a task that was sent to a worker. When it is the first of its job that does not finish, the queued
// tasks of the job are resolved as not run.
func (d *Dispatcher) resolve(
	now time.Time, a *assignment, t *hibiscusstate.Task,
	outcome hibiscusstate.Outcome, output []byte, reason string, runTime time.Duration,
) {
	d.release(a, t)
	r := d.jobs[t.Job().Key()]
	before := t.Job().Bytes()
	if !t.Resolve(outcome, output, reason, runTime) || r == nil {
		return
	}
	d.recordBytes += t.Job().Bytes() - before
	d.counters.countOutcome(outcome)
	if outcome != hibiscusstate.OutcomeFinished && t.Job().Unfinished() == 1 && !t.Job().Cancelled() && r.answerBy.IsZero() {
		d.abandonQueued(r, "another task of the job did not finish")
		if t.Job().Name() != "" {
			d.stopSent(now, r)
		}
	}
	d.finish(now, r)
}

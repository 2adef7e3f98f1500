package hibiscuscoordination

import (
	"slices"
	"time"

	"hibiscusrouter/hibiscusstate"
)

// Cancellation of jobs: queued tasks are not run, and agents are asked to stop the others.

// Cancel cancels a job; reply gets the final answer, or at once the state of the job when the cancellation does not wait.
func (d *Dispatcher) Cancel(now time.Time, s *Submission, reply func(*Answer)) {
	r := d.jobs[s.key]
	if r == nil {
		d.Submit(now, s, reply)
		return
	}
	if r.job.State() == hibiscusstate.JobRunning {
		d.cancelJob(now, r)
	}
	d.join(r, s, reply)
}

// CancelNamed cancels the running job of that name, refuses the submissions that wait for its end, and reports whether there is one.
func (d *Dispatcher) CancelNamed(now time.Time, name string) bool {
	r := d.namedJobs[name]
	if r == nil {
		return false
	}
	resubmissions := r.resubmissions
	r.resubmissions = nil
	d.cancelJob(now, r)
	for _, p := range resubmissions {
		p.reply(newCancelledRefusal(p.submission.key))
	}
	return true
}

// cancelJob resolves the queued tasks of a running job as not run, and asks the agents to stop the others.
func (d *Dispatcher) cancelJob(now time.Time, r *jobRecord) {
	r.job.Cancel()
	d.abandonQueued(r, "the job was cancelled before the task was started")
	d.stopSent(now, r)
	d.finish(now, r)
	d.dispatch(now, d.pool(r.job.Service()))
}

// abandonQueued resolves the queued tasks of a job as not run.
func (d *Dispatcher) abandonQueued(r *jobRecord, reason string) {
	p := d.pool(r.job.Service())
	for i := range r.job.Len() {
		t := r.job.Task(i)
		if t.Phase() == hibiscusstate.PhaseQueued {
			t.Resolve(hibiscusstate.OutcomeNotRun, nil, reason, 0)
			p.queue.Discard(t)
			d.counters.countOutcome(hibiscusstate.OutcomeNotRun)
		}
	}
}

// stopSent asks the agents to stop their tasks of a job. Those whose order has not been sent are resolved as not run.
func (d *Dispatcher) stopSent(now time.Time, r *jobRecord) {
	byWorker := map[hibiscusstate.Incarnation][]hibiscusstate.TaskAttempt{}
	for i := range r.job.Len() {
		t := r.job.Task(i)
		if t.Phase() == hibiscusstate.PhaseSent && !d.withdrawOrder(t) {
			byWorker[t.Worker()] = append(byWorker[t.Worker()], t.Attempt())
		}
	}
	for worker, attempts := range byWorker {
		d.flushWorker(now, d.workers[worker])
		d.counters.messages++
		d.send(worker, NewStopMessage(attempts))
	}
}

// withdrawOrder resolves a task as not run whose order has not been sent yet, and reports whether it did.
func (d *Dispatcher) withdrawOrder(t *hibiscusstate.Task) bool {
	a := d.workers[t.Worker()]
	if a == nil {
		return false
	}
	i := slices.IndexFunc(a.orders, func(o hibiscusstate.Order) bool { return o.Attempt() == t.Attempt() })
	if i < 0 {
		return false
	}
	a.orders = slices.Delete(a.orders, i, i+1)
	d.release(a, t)
	a.update()
	t.Resolve(hibiscusstate.OutcomeNotRun, nil, "the job ended before the task was sent", 0)
	d.counters.countOutcome(t.Outcome())
	return true
}

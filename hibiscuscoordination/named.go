package hibiscuscoordination

import (
	"slices"
	"time"

	"hibiscusrouter/hibiscusscheduling"
	"hibiscusrouter/hibiscusstate"
)

// Named jobs have a name that their client chose. A client resends such a job, to any entry, when it got no answer, and its
// tasks may be run again, but two runs of one task must not overlap. So all tasks of a job are stopped as soon as no caller
// waits for it, and within one entry a resubmission joins the running job, or waits until the last run of the cancelled one
// has ended. Between entries, the agents prevent overlapping runs (SlotManager).

// lateFactor is how many times its objective a job may take before its answer is of no use to the caller: the users value an
// answer up to three times the objective.
const lateFactor = 3

// SubmitNamed admits, joins or refuses a named submission; caller identifies the waiting connection, as in CallerDisconnected.
func (d *Dispatcher) SubmitNamed(now time.Time, s *Submission, caller uint64, reply func(*Answer)) {
	s.caller = caller
	if r := d.namedJobs[s.name]; r != nil {
		if r.job.Cancelled() {
			r.resubmissions = append(r.resubmissions, pendingSubmission{submission: s, reply: reply})
			return
		}
		r.callers = append(r.callers, caller)
		r.waiters = append(r.waiters, reply)
		return
	}
	s.key = d.IssueKeys(1)[0]
	d.Submit(now, s, reply)
}

// CallerDisconnected records that a caller's connection was closed. The job is cancelled when no other caller waits for it.
func (d *Dispatcher) CallerDisconnected(now time.Time, name string, caller uint64) {
	r := d.namedJobs[name]
	if r == nil {
		return
	}
	r.resubmissions = slices.DeleteFunc(r.resubmissions, func(p pendingSubmission) bool { return p.submission.caller == caller })
	n := len(r.callers)
	r.callers = slices.DeleteFunc(r.callers, func(c uint64) bool { return c == caller })
	if len(r.callers) == n || len(r.callers) > 0 || r.job.State() != hibiscusstate.JobRunning {
		return
	}
	d.cancelJob(now, r)
}

// indexByName sets the name and the maximum attempts of a job, and adds it to the named jobs.
func (d *Dispatcher) indexByName(r *jobRecord, s *Submission) {
	attempts := 1
	for _, t := range s.tasks {
		attempts = max(attempts, d.kind(s.service, t.Kind()).MaxAttempts())
	}
	r.job.SetName(s.name, attempts)
	r.callers = append(r.callers, s.caller)
	d.namedJobs[s.name] = r
}

// finishNamed removes a named job that is final, and submits those of its name that waited for its end.
func (d *Dispatcher) finishNamed(now time.Time, r *jobRecord) {
	if r.job.Name() == "" || d.namedJobs[r.job.Name()] != r {
		return
	}
	delete(d.namedJobs, r.job.Name())
	for _, p := range r.resubmissions {
		d.SubmitNamed(now, p.submission, p.submission.caller, p.reply)
	}
	r.resubmissions = nil
}

// runAgain queues a task of a named job whose run has ended without a result, and reports whether it did. Only a
// failed run counts as a failure of the task, not one that was lost, stopped or stalled.
func (d *Dispatcher) runAgain(now time.Time, a *assignment, t *hibiscusstate.Task, r *hibiscusstate.Report) bool {
	job := t.Job()
	failed := r.Outcome() == hibiscusstate.OutcomeFailed
	switch r.Outcome() {
	case hibiscusstate.OutcomeFailed, hibiscusstate.OutcomeLost, hibiscusstate.OutcomeStopped, hibiscusstate.OutcomeStalled:
	case hibiscusstate.OutcomeFinished, hibiscusstate.OutcomeNotRun, hibiscusstate.OutcomeMayHaveRun, hibiscusstate.OutcomePending:
		return false
	}
	if job.Name() == "" {
		return false
	}
	if job.Ending() || !now.Before(job.Expiry()) || failed && t.Failures()+1 >= job.MaxAttempts() {
		return false
	}
	d.logRunAgain(a, t, r)
	d.release(a, t)
	d.counters.moves++
	t.MarkRunEnded(failed)
	t.Avoid(a.worker.ID())
	a.pool.queue.Push(t)
	return true
}

// chooseWorker returns the worker for a task: the best one, or another one with enough free slots when the task does not fit
// there or has ended there without a result; nil for none. Where workers differ in speed, the task may be held instead, until a faster one
// has room.
func (d *Dispatcher) chooseWorker(
	now time.Time, p *pool, best *hibiscusstate.Worker, t *hibiscusstate.Task,
) (w *hibiscusstate.Worker, held bool) {
	if t.Rack() != "" {
		if w, held := d.chooseByRack(now, p, t); w != nil || held {
			return w, held
		}
	}
	if p.heap.Classes() > 1 {
		if w, held := d.chooseBySpeed(now, p, t); w != nil || held {
			return w, held
		}
	} else if best.FreeSlots() < t.Resources().Slots() || t.Avoided() == best.ID() {
		if w := p.heap.BestFitting(t.Resources().Slots(), t.Avoided()); w != nil {
			return w, false
		}
	}
	if best.FreeSlots() < t.Resources().Slots() {
		return nil, false
	}
	return best, false
}

// setDueTime sets when a job is due, and with an objective also its expiry, after which its answer is of no use.
func (d *Dispatcher) setDueTime(now time.Time, job *hibiscusstate.Job, longest time.Duration) {
	kind := d.kind(job.Service(), job.Task(0).Kind())
	objective := kind.Objective(longest)
	if objective == 0 {
		job.SetDue(now.Add(min(dueFactor*longest, job.Deadline().Sub(now)/dueBudgetDivisor)))
		return
	}
	job.SetObjective(now.Add(objective), now.Add(lateFactor*objective), kind.TopPriority())
	job.SetStartBy(now.Add(hibiscusscheduling.StartIn(job.Due().Sub(now), longest)))
}

// kind returns a kind of the configuration in force, or one without maximum attempts and objective when the name is unknown.
func (d *Dispatcher) kind(service, name string) hibiscusstate.Kind {
	s, _ := d.configuration.Document().Service(service)
	k, _ := s.Kind(name)
	return k
}

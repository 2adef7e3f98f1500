package hibiscuscoordination

import (
	"log/slog"
	"strconv"
	"time"

	"hibiscusrouter/hibiscusstate"
)

// Log lines of an entry's decisions about jobs. The line at the admission has the estimates of that time. Placements are
// collected and written at the end of the job, because a job of many tasks would otherwise take a line for each; a task that is
// returned has a line of its own.

// maxPlacementBytes bounds the bytes of the placements in a line.
const maxPlacementBytes = 1024

// logAdmitted logs the admission of a job with its estimates.
func (d *Dispatcher) logAdmitted(r *jobRecord) {
	p := d.pool(r.job.Service())
	first := r.job.Task(0)
	d.log.Info("entry: job admitted", "job", logName(r.job), "kind", first.Kind(), "tasks", r.job.Len(),
		"declared_ms", first.Declared().Milliseconds(), "expected_ms", first.Expected().Milliseconds(),
		"due_ms", r.job.Due().Sub(r.job.SubmittedAt()).Milliseconds(),
		"version", d.configuration.Version(), "waiting", p.queue.Len(), "waiting_slots", p.queue.Slots(), "live_slots", p.liveSlots)
}

// recordPlacement records a placement for logEnded: task index, worker, milliseconds since the submission, free slots in the
// entry's view, and the age of that view in milliseconds, -1 without a report.
func (d *Dispatcher) recordPlacement(now time.Time, a *assignment, t *hibiscusstate.Task) {
	if t.PriorAttempts() == 0 {
		d.placementDelays.Observe(now.Sub(t.Job().SubmittedAt()))
	}
	r := d.jobs[t.Job().Key()]
	if r == nil || len(r.placements) >= maxPlacementBytes {
		return
	}
	b := r.placements
	if len(b) > 0 {
		b = append(b, ' ')
	}
	b = strconv.AppendInt(b, int64(t.ID().Index()), 10)
	b = append(append(append(b, '@'), a.worker.Address()...), '+')
	b = strconv.AppendInt(b, now.Sub(t.Job().SubmittedAt()).Milliseconds(), 10)
	b = strconv.AppendInt(append(b, '/'), int64(a.worker.FreeSlots()), 10)
	age := int64(-1)
	if !a.worker.ReportedAt().IsZero() {
		age = now.Sub(a.worker.ReportedAt()).Milliseconds()
	}
	r.placements = strconv.AppendInt(append(b, '/'), age, 10)
}

// logReturned logs that an agent rejected a task.
func (d *Dispatcher) logReturned(a *assignment, t *hibiscusstate.Task, r *hibiscusstate.Report) {
	d.log.Info("entry: task returned", "job", logName(t.Job()), "index", t.ID().Index(), "try", t.PriorAttempts(),
		"worker", a.worker.Address(), "rejection", r.Rejection().String(), "others", r.OtherSlots())
}

// logRunAgain logs that a run ended without a result and its task is queued again.
func (d *Dispatcher) logRunAgain(a *assignment, t *hibiscusstate.Task, r *hibiscusstate.Report) {
	d.log.Info("entry: task queued to run again", "job", logName(t.Job()), "index", t.ID().Index(), "try", t.PriorAttempts(),
		"worker", a.worker.Address(), "outcome", r.Outcome().String(), "reason", r.Reason(), "failures", t.Failures())
}

// logEnded logs how a job ended, and its first task that did not finish.
func (d *Dispatcher) logEnded(now time.Time, r *jobRecord) {
	took := now.Sub(r.job.SubmittedAt())
	d.jobTimes.Observe(took)
	attributes := []any{
		"job", logName(r.job), "state", r.job.State().String(), "took_ms", took.Milliseconds(), "late", r.job.Late(),
		"placed", string(r.placements),
	}
	for i := range r.job.Len() {
		if t := r.job.Task(i); t.Outcome() != hibiscusstate.OutcomeFinished {
			attributes = append(attributes, "unfinished", i, "outcome", t.Outcome().String(), "reason", t.Reason())
			break
		}
	}
	d.log.Info("entry: job ended", attributes...)
}

// logName returns the name of a job in the log: the client's name, or else the submission key.
func logName(job *hibiscusstate.Job) slog.Value {
	if job.Name() != "" {
		return slog.StringValue(job.Name())
	}
	return slog.StringValue(job.Key().Incarnation().String() + "-" + strconv.FormatUint(job.Key().Sequence(), 16))
}

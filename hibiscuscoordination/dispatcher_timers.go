package hibiscuscoordination

import (
	"container/heap"
	"slices"
	"time"

	"hibiscusrouter/hibiscusstate"
)

// Timers of a Dispatcher: deadlines of jobs, stale views of workers, workers that don't reconnect, and retention of records.

// Tick runs the timers that have expired at now.
func (d *Dispatcher) Tick(now time.Time) {
	if d.startedAt.IsZero() {
		d.startedAt = now
	}
	d.expireJobs(now)
	d.reassessJobs(now)
	if now.Before(d.nextTick) {
		return
	}
	d.nextTick = now.Add(tickInterval)
	for _, a := range d.workers {
		d.tickWorker(now, a)
	}
	for _, p := range d.pools {
		p.observeUsableSlots(now, len(d.entries), d.isGrowing(now, p), d.evacuation)
		p.kindShares.Update(now)
		p.teamShares.Update(now)
		p.updateReportedSlowness()
		d.updateSpeeds(now, p)
	}
	d.evict(now)
	d.refuseEvacuated(now)
	d.dispatchAll(now)
}

// NextTick returns when the next timer expires.
func (d *Dispatcher) NextTick() time.Time {
	next := d.nextTick
	for _, p := range d.pools {
		if p.queue.Len() > 0 && d.nextSweep.Before(next) {
			next = d.nextSweep
		}
	}
	if len(d.deadlines) > 0 {
		if due := d.deadlines[0].expiresAt(); due.Before(next) {
			next = due
		}
	}
	return next
}

// expiresAt returns when expireJob has to run next for a job.
func (r *jobRecord) expiresAt() time.Time {
	submitted, deadline := r.job.SubmittedAt(), r.job.Deadline()
	switch {
	case !r.answerBy.IsZero():
		return r.answerBy
	case r.job.HasObjective() && submitted.Add(certainlyLateFactor*r.job.Due().Sub(submitted)).Before(deadline.Add(-giveUpMargin)):
		return deadline.Add(-giveUpMargin)
	default:
		return deadline
	}
}

func (d *Dispatcher) expireJobs(now time.Time) {
	for len(d.deadlines) > 0 && !d.deadlines[0].expiresAt().After(now) {
		d.expireJob(now, d.deadlines[0])
	}
}

// expireJob gives a job up, and resolves the tasks without a report as possibly run when the agents' time to report has passed.
func (d *Dispatcher) expireJob(now time.Time, r *jobRecord) {
	if r.answerBy.IsZero() {
		d.giveUp(now, r, r.job.Deadline(), "the deadline passed before the task was started")
		return
	}
	d.resolveRunning(now, r, "the deadline passed while a worker had the task")
}

// giveUp ends a job: its queued tasks are resolved as not run, and the agents are asked to stop the others. They report within a
// round trip which of these they have not started; the tasks without a report at answerBy, and after reportGrace, are resolved as
// possibly run.
func (d *Dispatcher) giveUp(now time.Time, r *jobRecord, answerBy time.Time, reason string) {
	r.job.MarkEnding()
	r.answerBy = answerBy
	if grace := now.Add(reportGrace); answerBy.Before(grace) {
		r.answerBy = grace
	}
	heap.Fix(&d.deadlines, r.heapIndex)
	d.abandonQueued(r, reason)
	d.stopSent(now, r)
	d.finish(now, r)
}

// resolveRunning resolves the tasks that workers have as possibly run.
func (d *Dispatcher) resolveRunning(now time.Time, r *jobRecord, reason string) {
	for i := range r.job.Len() {
		t := r.job.Task(i)
		if t.Phase() != hibiscusstate.PhaseDone {
			d.resolve(now, d.workers[t.Worker()], t, hibiscusstate.OutcomeMayHaveRun, nil, reason, 0)
		}
	}
}

// tickWorker corrects a stale view of a worker and releases its held slots, and removes a worker that did not reconnect.
func (d *Dispatcher) tickWorker(now time.Time, a *assignment) {
	w := a.worker
	if !w.Connected() {
		d.endLostRuns(now, a)
		if now.Sub(a.lostAt) >= reconnectTimeout {
			d.removeWorker(now, a, "the worker was lost while it had the task")
		}
		return
	}
	w.ReleaseHolds(now)
	d.startProbe(now, a)
	if now.Sub(w.ReportedAt()) > a.pool.maxViewAge() && w.FreeSlots() < a.pool.taskSlots && w.OtherSlots() > 0 {
		// Otherwise a worker that was full of other entries' tasks would stay full in this view, because nothing is sent to
		// it and so it returns no report. Free capacity for one task is enough to get one; when the others' tasks were halved on
		// every worker instead, a fifth of the tasks were rejected.
		w.Report(max(w.OtherSlots()+w.FreeSlots()-a.pool.taskSlots, 0), w.Waiting(), now)
	}
	a.update()
}

// evict deletes the oldest finished jobs that exceed jobRetention or the bounds of the records.
func (d *Dispatcher) evict(now time.Time) {
	for e := d.finishedJobs.Front(); e != nil; e = d.finishedJobs.Front() {
		r := e.Value.(*jobRecord)
		if now.Sub(r.job.FinishedAt()) < jobRetention && len(d.jobs) <= maxJobs && d.recordBytes <= d.maxRecordBytes {
			return
		}
		d.finishedJobs.Remove(e)
		delete(d.jobs, r.job.Key())
		d.recordBytes -= r.job.Bytes()
	}
}

// Drain makes the entry refuse new submissions; running jobs continue. Named jobs that can be finished before stopBy are still
// admitted, none when it is zero.
func (d *Dispatcher) Drain(stopBy time.Time) {
	d.draining = true
	d.stopBy = stopBy
}

// Abandon ends all running jobs and returns their number: queued tasks are resolved as not run, and the agents are asked to stop the
// others. The jobs are final when the agents have reported, after reportGrace at the latest.
func (d *Dispatcher) Abandon(now time.Time, cause string) int {
	running := slices.Clone(d.deadlines)
	for _, r := range running {
		d.giveUp(now, r, now, cause)
	}
	return len(running)
}

// Idle reports whether no job is running.
func (d *Dispatcher) Idle() bool { return len(d.deadlines) == 0 }

// deadlineHeap orders running jobs by when they expire.
type deadlineHeap []*jobRecord

func (h deadlineHeap) Len() int { return len(h) }

func (h deadlineHeap) Less(a, b int) bool {
	return h[a].expiresAt().Before(h[b].expiresAt())
}

func (h deadlineHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].heapIndex = a
	h[b].heapIndex = b
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	r := x.(*jobRecord)
	r.heapIndex = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return r
}

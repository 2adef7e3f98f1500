package hibiscuscoordination

import (
	"container/heap"
	"slices"
	"time"

	"hibiscusrouter/hibiscusstate"
)

// What happens in a Dispatcher because time passes: deadlines, views that grow old, workers that stay away, records that
// have been kept long enough.

// Tick does what is due at now.
func (d *Dispatcher) Tick(now time.Time) {
	if d.startedAt.IsZero() {
		d.startedAt = now
	}
	d.expireJobs(now)
	d.abandonLateJobs(now)
	if now.Before(d.nextTick) {
		return
	}
	d.nextTick = now.Add(tickInterval)
	for _, a := range d.workers {
		d.tickWorker(now, a)
	}
	for _, p := range d.pools {
		p.observeUsableSlots(len(d.entries))
	}
	d.evict(now)
	d.dispatchAll(now)
}

// NextTick returns when Tick has something to do.
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

// due returns the deadline, and once that has passed the end of the grace for reports that are under way.
func (r *jobRecord) expiresAt() time.Time {
	if r.overdue {
		return r.job.Deadline().Add(reportGrace)
	}
	return r.job.Deadline()
}

func (d *Dispatcher) expireJobs(now time.Time) {
	for len(d.deadlines) > 0 && !d.deadlines[0].expiresAt().After(now) {
		d.expireJob(now, d.deadlines[0])
	}
}

// expireJob resolves queued tasks as not run at the deadline, and after the grace the others as possibly run.
func (d *Dispatcher) expireJob(now time.Time, r *jobRecord) {
	if !r.overdue {
		r.overdue = true
		heap.Fix(&d.deadlines, r.heapIndex)
		d.abandonQueued(r, "the deadline passed before the task was started")
		d.stopSent(now, r)
		d.finish(now, r)
		return
	}
	d.resolveRunning(now, r, "the deadline passed while a worker had the task")
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

// tickWorker forgets old reports and held slots, and gives up a worker that stayed away.
func (d *Dispatcher) tickWorker(now time.Time, a *assignment) {
	w := a.worker
	if !w.Connected() {
		if now.Sub(a.lostAt) >= lostRunTimeout {
			d.endLostRuns(now, a)
		}
		if now.Sub(a.lostAt) >= reconnectTimeout {
			d.removeWorker(now, a, "the worker was lost while it had the task")
		}
		return
	}
	w.ReleaseHolds(now)
	d.startProbe(now, a)
	if now.Sub(w.ReportedAt()) > a.pool.maxViewAge() && w.FreeSlots() < a.pool.taskSlots && w.OtherSlots() > 0 {
		// Without this a worker that was full of other entries' tasks would look full for good, because nothing is sent
		// to it and so no report comes back. One slot is enough to find out; halving the others' tasks on every worker
		// instead made a fifth of the tasks bounce.
		w.Report(max(w.OtherSlots()+w.FreeSlots()-a.pool.taskSlots, 0), w.Waiting(), now)
	}
	a.update()
}

// evict forgets the oldest finished jobs that are past their time or past the bounds.
func (d *Dispatcher) evict(now time.Time) {
	for e := d.finishedJobs.Front(); e != nil; e = d.finishedJobs.Front() {
		r := e.Value.(*jobRecord)
		if now.Sub(r.job.FinishedAt()) < jobRetention && len(d.jobs) <= maxJobs && d.recordBytes <= maxJobBytes {
			return
		}
		d.finishedJobs.Remove(e)
		delete(d.jobs, r.job.Key())
		d.recordBytes -= r.job.Bytes()
	}
}

// Drain makes the entry refuse new submissions; what it has goes on. Named jobs that can be finished before stopBy are still
// taken, none when it is zero.
func (d *Dispatcher) Drain(stopBy time.Time) {
	d.draining = true
	d.stopBy = stopBy
}

// Abandon ends all running jobs: queued tasks as not run, the others as possibly run, which the agents are asked to stop.
func (d *Dispatcher) Abandon(now time.Time, cause string) int {
	running := slices.Clone(d.deadlines)
	for _, r := range running {
		d.abandonQueued(r, cause)
		d.stopSent(now, r)
		d.finish(now, r)
		d.resolveRunning(now, r, cause)
	}
	return len(running)
}

// Idle says whether no job is running.
func (d *Dispatcher) Idle() bool { return len(d.deadlines) == 0 }

// deadlineHeap orders running jobs by when their time is up.
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

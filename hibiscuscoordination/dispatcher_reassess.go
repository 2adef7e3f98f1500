package hibiscuscoordination

import (
	"time"

	"hibiscusrouter/hibiscusscheduling"
	"hibiscusrouter/hibiscusstate"
)

// Waiting jobs are assessed again as soon as capacity falls, and at short intervals because run times are not known exactly: what has no
// place any more is refused at once, and its caller can submit it elsewhere instead of waiting until the deadline.

const (
	// sweepInterval is how often waiting jobs are assessed in services without objectives, and objectiveSweepInterval in those with: a job
	// that is known to be too late is refused within 5 ms.
	sweepInterval          = 20 * time.Millisecond
	objectiveSweepInterval = 4 * time.Millisecond
	// shedScanLimit bounds the waiting tasks that one assessment looks at; sorting 512 takes some 30 us.
	shedScanLimit = 512
)

// reassessJobs refuses the waiting jobs that have no place in the capacity any more.
func (d *Dispatcher) reassessJobs(now time.Time) {
	due := !now.Before(d.nextSweep)
	if due {
		d.nextSweep = now.Add(sweepInterval)
	}
	for _, p := range d.pools {
		if due && p.objectives {
			d.nextSweep = now.Add(objectiveSweepInterval)
		}
	}
	for _, p := range d.pools {
		if p.queue.Len() == 0 {
			p.emptyAt = now
		}
		if p.queue.Len() == 0 || !due && !p.capacityFell {
			continue
		}
		p.capacityFell = false
		d.reassessLateJobs(now, p)
		if p.objectives && d.knowsCapacity(now, p) && !hibiscusscheduling.Feasible(now, &p.forecast, p.load(now)) {
			d.shedJobs(now, p)
		}
	}
}

// reassessLateJobs assesses the waiting late jobs. The tasks of a job are mostly next to each other, and one pass over them is enough:
// with one for each task, a job of 1,000 tasks took 1.9 ms of every 4 ms.
func (d *Dispatcher) reassessLateJobs(now time.Time, p *pool) {
	var last *hibiscusstate.Job
	for _, t := range p.queue.DemoteLate(now, scanLimit) {
		if t.Job() != last {
			d.reassessLate(now, p, t)
			last = t.Job()
		}
	}
}

// knowsCapacity reports whether the workers are known; an entry that has just started has none, or only the first few.
func (d *Dispatcher) knowsCapacity(now time.Time, p *pool) bool {
	return !d.isGrowing(now, p) && (p.liveSlots > 0 || now.Sub(d.startedAt) > startGrace)
}

// reassessLate refuses the job of a late task if nothing of it has started and jobs in time leave no capacity for it, and abandons it
// if it can't be done before its expiry.
func (d *Dispatcher) reassessLate(now time.Time, p *pool, t *hibiscusstate.Task) {
	if t.Phase() != hibiscusstate.PhaseQueued {
		return
	}
	job := t.Job()
	if d.isTooLate(now, p, t) {
		p.queue.Discard(t)
		d.abandonLateJob(now, t)
		return
	}
	if !job.Unstarted() || !d.knowsCapacity(now, p) {
		return
	}
	work, longest := waitingWork(job)
	request := hibiscusscheduling.NewRequest(work, longest, job.Due().Sub(now), job.Expiry().Sub(now))
	if a := hibiscusscheduling.ReassessLate(&p.forecast, p.load(now), request); a.Verdict() == hibiscusscheduling.VerdictRefused {
		d.shedJob(now, p, job, a)
	}
}

// shedJobs refuses waiting jobs that are expected to be late while capacity is short, in the order in which they would be served.
// Started jobs stay.
func (d *Dispatcher) shedJobs(now time.Time, p *pool) {
	load := p.load(now)
	ahead := time.Duration(0)
	var last *hibiscusstate.Job
	for _, t := range p.queue.Waiting(shedScanLimit) {
		job := t.Job()
		if job == last || t.Phase() != hibiscusstate.PhaseQueued {
			continue
		}
		last = job
		work, longest := waitingWork(job)
		if job.HasObjective() && job.Unstarted() {
			request := hibiscusscheduling.NewRequest(work, longest, job.Due().Sub(now), job.Expiry().Sub(now))
			a := hibiscusscheduling.Reassess(&p.forecast, load, ahead, request)
			if a.Verdict() == hibiscusscheduling.VerdictRefused {
				d.shedJob(now, p, job, a)
				continue
			}
		}
		ahead += work
	}
}

// shedJob refuses a waiting job of which nothing has started.
func (d *Dispatcher) shedJob(now time.Time, p *pool, job *hibiscusstate.Job, a hibiscusscheduling.Assessment) {
	kind := job.Task(0).Kind()
	p.withdrawShares(job)
	p.admissions.refusedWaiting++
	r := d.jobs[job.Key()]
	r.retryAfter = hibiscusscheduling.RetryAfter(&p.forecast, p.observeShortage(now), d.drainTime(p))
	d.log.Info("entry: waiting job refused", "job", logName(job), "kind", kind, "waited_ms", now.Sub(job.SubmittedAt()).Milliseconds(),
		"late", job.Late(), "ahead_ms", a.Ahead().Milliseconds(), "needed_ms", a.Needed().Milliseconds(), "useful_ms", a.Useful().Milliseconds(),
		"slots", int(a.Slots()), "spare", int(a.Spare()), "live_slots", p.liveSlots, "age_ms", now.Sub(p.observedAt).Milliseconds(),
		"retry_ms", r.retryAfter.Milliseconds())
	d.giveUp(now, r, now, "the capacity no longer suffices for the job")
}

// waitingWork returns the work of the waiting tasks of a job, and its longest expected task.
func waitingWork(job *hibiscusstate.Job) (work, longest time.Duration) {
	for i := range job.Len() {
		t := job.Task(i)
		if t.Phase() == hibiscusstate.PhaseQueued {
			work += t.Work()
			longest = max(longest, t.Expected())
		}
	}
	return work, longest
}

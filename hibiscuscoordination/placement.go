package hibiscuscoordination

import (
	"time"

	"hibiscusrouter/hibiscusscheduling"
	"hibiscusrouter/hibiscusstate"
)

// Placement of queued tasks on workers. Tasks are put into the next orders message of a worker; Flush sends these messages
// once for each batch of commands.

const (
	// longSlotPercent is the percentage of a service's slots that long tasks may take.
	longSlotPercent = 75
	// maxAgentQueue is how many tasks may wait at one agent.
	maxAgentQueue = 4
	// maxAgentWait is how long a task may wait at an agent before it is returned, unless the service is full: then tasks
	// wait at all agents, and with this limit a load peak wasted 0.23 to 0.32 messages a task.
	maxAgentWait = 100 * time.Millisecond
	// A task may wait its run time divided by staleWaitDivisor at an agent whose slots were free in this entry's stale view. A
	// rejection costs two messages and another attempt with a view that is just as stale.
	staleWaitDivisor = 4
)

func (d *Dispatcher) dispatchAll(now time.Time) {
	for _, p := range d.pools {
		d.dispatch(now, p)
	}
}

// dispatch places queued tasks of a service while there are tasks and usable workers.
func (d *Dispatcher) dispatch(now time.Time, p *pool) {
	defer p.putBackHeld()
	for p.queue.Len() > 0 {
		w := p.heap.Best()
		if (w == nil || w.FreeSlots() < p.taskSlots) && d.placeOnLeaving(now, p) {
			continue
		}
		if w == nil {
			return
		}
		wait := time.Duration(0)
		if w.FreeSlots() < p.taskSlots {
			if p.taskSlots > 1 || -w.FreeSlots() >= d.agentQueueShare() || p.queue.Slots() < p.slots/len(d.entries) {
				// No task is sent to an agent's queue. The next free slot of any worker serves the tasks of a short queue sooner
				// than the next one of a single worker. Where workers run many tasks at once, one ends every few milliseconds, and a task
				// that waits at an agent can't be overtaken by one that is due earlier.
				return
			}
			wait = max(2*p.runTimes.Median(), maxAgentWait)
		}
		t := p.queue.Pop(now, p.longSlots*100 < p.slots*longSlotPercent)
		if t == nil {
			return
		}
		if p.queue.Len()+len(p.held) > 0 && d.isTooLate(now, p, t) {
			// The job may have held tasks, which leave the queue with the others.
			p.putBackHeld()
			d.abandonLateJob(now, t)
			continue
		}
		if wait == 0 {
			var held bool
			if w, held = d.chooseWorker(now, p, w, t); held {
				if p.held = append(p.held, t); len(p.held) == maxHeld {
					return
				}
				continue
			}
			if w == nil {
				// The task is larger than a typical one and fits no worker at present.
				p.queue.PutBack(t)
				return
			}
			wait = min(d.expectedOn(w, t)/staleWaitDivisor, maxAgentWait)
			if w.Waiting() > 0 {
				wait = max(2*p.runTimes.Median(), maxAgentWait)
			}
		}
		d.place(now, d.workers[w.ID()], t, wait)
	}
}

// isTooLate reports whether the next task can't be done before the expiry of its job. A late job is demoted behind all other jobs, so
// it is too late unless the whole queue can be done by then.
func (d *Dispatcher) isTooLate(now time.Time, p *pool, t *hibiscusstate.Task) bool {
	expiry := t.Job().Expiry()
	if t.Job().Late() && p.liveSlots > 0 && !d.isGrowing(now, p) {
		now = now.Add(time.Duration(float64(p.queue.Work()) / d.capacity(p)))
	}
	return now.Add(t.Shortest()).After(expiry)
}

// abandonLateJob ends a job whose next task can't be done in time, so that no slot works for a late answer. It is called only
// while tasks are queued: a kind whose estimated run time is too long would otherwise never run again, and the estimate would
// never be corrected.
func (d *Dispatcher) abandonLateJob(now time.Time, t *hibiscusstate.Task) {
	job := t.Job()
	r, p := d.jobs[job.Key()], d.pool(job.Service())
	p.admissions.abandoned++
	if job.HasObjective() && job.Unplaced() {
		p.withdrawShares(job)
		r.retryAfter = hibiscusscheduling.RetryAfter(&p.forecast, p.shortFor(now), d.drainTime(p))
	}
	t.Resolve(hibiscusstate.OutcomeNotRun, nil, "the task could not be done before the deadline", 0)
	d.counters.countOutcome(hibiscusstate.OutcomeNotRun)
	d.giveUp(now, r, r.job.Deadline(), "another task of the job could not be done before the deadline")
}

// agentQueueShare returns how many tasks this entry may have waiting at an agent.
func (d *Dispatcher) agentQueueShare() int { return max(maxAgentQueue/len(d.entries), 1) }

// place puts a task into the next orders message of a worker.
func (d *Dispatcher) place(now time.Time, a *assignment, t *hibiscusstate.Task, wait time.Duration) {
	job := t.Job()
	if len(a.orders) == 0 {
		d.unflushed = append(d.unflushed, a)
	}
	order := hibiscusstate.NewOrder(t.Attempt(), job.Len(), job.Digest(), t.Kind(), t.Payload()).
		WithBudget(job.Deadline().Sub(now)).WithLeaseEpoch(a.worker.LeaseEpoch()).WithWait(wait).
		WithResources(t.Resources()).WithJobName(job.Name()).
		WithExpected(d.expectedOn(a.worker, t)).WithSpeed(a.worker.Speed())
	a.orders = append(a.orders, order)
	d.recordPlacement(now, a, t)
	a.tasks[t.ID()] = t
	t.MarkSent(a.worker.ID(), now)
	a.worker.Add(t)
	if t.Long() {
		a.pool.longSlots += t.Resources().Slots()
	}
	a.update()
}

// Flush sends the orders that were placed since the last call, one message for each worker.
func (d *Dispatcher) Flush(now time.Time) {
	for _, a := range d.unflushed {
		d.flushWorker(now, a)
	}
	d.unflushed = d.unflushed[:0]
}

func (d *Dispatcher) flushWorker(now time.Time, a *assignment) {
	if a == nil || len(a.orders) == 0 {
		return
	}
	if !d.send(a.worker.ID(), NewOrdersMessage(a.orders).WithDecidedAt(now)) {
		// The writer's ring is full: the worker counts as full until its next report, or these tasks would be placed there again.
		a.worker.Report(a.worker.Slots(), 0, now)
		a.update()
		d.requeueOrders(now, a)
		return
	}
	d.counters.messages++
	d.counters.sent += uint64(len(a.orders))
	a.orders = nil
}

// requeueOrders requeues the tasks of orders that have not been sent.
func (d *Dispatcher) requeueOrders(now time.Time, a *assignment) {
	orders := a.orders
	a.orders = nil
	for _, order := range orders {
		if t := a.tasks[order.ID()]; t != nil {
			d.requeue(now, a, t, true, "the session to the worker took no more tasks")
		}
	}
}

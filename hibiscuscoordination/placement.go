package hibiscuscoordination

import (
	"time"

	"hibiscusrouter/hibiscusstate"
)

// Placement of queued tasks on workers. Tasks are put into the next orders message of a worker; Flush sends these messages
// once for each batch of commands.

const (
	// longSlotPercent is the percentage of a service's slots that long tasks may take.
	longSlotPercent = 75
	// agentWaitPlaces is how many tasks may wait at one agent.
	agentWaitPlaces = 4
	// agentWaitLimit is how long a task may wait at an agent before it is returned, unless the service is full: then tasks
	// wait at all agents, and with this limit a load peak wasted 0.23 to 0.32 messages a task.
	agentWaitLimit = 100 * time.Millisecond
	// sweepInterval is how often queued jobs are checked for lateness; the shortest objective of the known sites is 140 ms.
	sweepInterval = 20 * time.Millisecond
	// staleWaitPart divides the run time of a task to give how long it may wait for a slot that is free in this entry's view.
	// A rejection costs two messages and another attempt with a view that is just as stale.
	staleWaitPart = 4
)

func (d *Dispatcher) dispatchAll(now time.Time) {
	for _, p := range d.pools {
		d.dispatch(now, p)
	}
}

// dispatch places queued tasks of a service while there are tasks and usable workers.
func (d *Dispatcher) dispatch(now time.Time, p *pool) {
	for p.queue.Len() > 0 {
		w := p.heap.Best()
		if w == nil {
			return
		}
		wait := time.Duration(0)
		if w.Free() < p.unit {
			if p.unit > 1 || -w.Free() >= d.waitPlaces() || p.queue.Slots() < p.slots/len(d.entries) {
				// A short queue is served sooner by the next free slot of any worker than by that of one. So is every task where
				// workers run many at once: one ends every few milliseconds, and no task that is due earlier can go before a task
				// that waits at an agent.
				return
			}
			wait = max(2*p.runTimes.Usual(), agentWaitLimit)
		}
		t := p.queue.Pop(now, p.longs*100 < p.slots*longSlotPercent)
		if t == nil {
			return
		}
		if p.queue.Len() > 0 && d.ofNoUse(now, p, t) {
			d.giveUp(now, t)
			continue
		}
		if wait == 0 {
			w = d.choose(p, w, t)
			if w.Free() < t.Room().Slots() {
				// The task is larger than a typical one and fits no worker at present.
				p.queue.Push(t)
				return
			}
			wait = min(t.Expected()/staleWaitPart, agentWaitLimit)
			if w.Waiting() > 0 {
				wait = max(2*p.runTimes.Usual(), agentWaitLimit)
			}
		}
		d.place(now, d.workers[w.ID()], t, wait)
	}
}

// ofNoUse reports whether the next task can't be done while its answer is of use. A late job is kept only when the whole queue
// could be done by then: it is demoted behind all other jobs, and would wait in vain.
func (d *Dispatcher) ofNoUse(now time.Time, p *pool, t *hibiscusstate.Task) bool {
	expiry := t.Job().Latest()
	if t.Job().Late() && p.live > 0 {
		now = now.Add(time.Duration(float64(p.queue.Work()) / d.capacity(p)))
	}
	return now.Add(t.Expected()).After(expiry)
}

// endHopeless abandons the late jobs that can't be done while their answers are of use. They are demoted behind all others, so
// dispatch may not reach them before that time has passed, and their callers would wait in vain.
func (d *Dispatcher) endHopeless(now time.Time) {
	if now.Before(d.nextSweep) {
		return
	}
	d.nextSweep = now.Add(sweepInterval)
	for _, p := range d.pools {
		if p.queue.Len() == 0 {
			continue
		}
		for _, t := range p.queue.SetLateAside(now, scanLimit) {
			if t.Phase() == hibiscusstate.PhaseQueued && d.ofNoUse(now, p, t) {
				p.queue.Forget(t)
				d.giveUp(now, t)
			}
		}
	}
}

// giveUp ends a job whose next task can't be done in time, so that no slot works for a late answer. It is called only while
// tasks are queued: a kind whose estimated run time is too long would otherwise never run again, and the estimate would
// never be corrected.
func (d *Dispatcher) giveUp(now time.Time, t *hibiscusstate.Task) {
	r := d.jobs[t.Job().Key()]
	t.Resolve(hibiscusstate.OutcomeNotRun, nil, "the task could not be done before the deadline", 0)
	d.counters.countOutcome(hibiscusstate.OutcomeNotRun)
	d.abandonQueued(r, "another task of the job could not be done before the deadline")
	d.stopSent(now, r)
	d.finish(now, r)
}

// waitPlaces returns how many tasks this entry may have waiting at an agent.
func (d *Dispatcher) waitPlaces() int { return max(agentWaitPlaces/len(d.entries), 1) }

// place puts a task into the next orders message of a worker.
func (d *Dispatcher) place(now time.Time, a *assignment, t *hibiscusstate.Task, wait time.Duration) {
	job := t.Job()
	if len(a.orders) == 0 {
		d.dirty = append(d.dirty, a)
	}
	order := hibiscusstate.NewOrder(t.Try(), job.Len(), job.Digest(), t.Kind(), t.Payload()).
		WithBudget(job.Deadline().Sub(now)).WithLease(a.worker.Lease()).WithWait(wait).
		WithRoom(t.Room()).WithJobName(job.Name()).WithExpected(t.Expected())
	a.orders = append(a.orders, order)
	d.logPlaced(now, a, t)
	a.tasks[t.ID()] = t
	t.MarkSent(a.worker.ID(), now)
	a.worker.Add(t)
	if t.Long() {
		a.pool.longs += t.Room().Slots()
	}
	a.update()
}

// Flush sends the orders that were placed since the last call, one message for each worker.
func (d *Dispatcher) Flush(now time.Time) {
	for _, a := range d.dirty {
		d.flushWorker(now, a)
	}
	d.dirty = d.dirty[:0]
}

func (d *Dispatcher) flushWorker(now time.Time, a *assignment) {
	if a == nil || len(a.orders) == 0 {
		return
	}
	if !d.send(a.worker.ID(), NewOrdersMessage(a.orders)) {
		// The writer's ring is full: the worker counts as full until its next report, or these tasks would be placed there again.
		a.worker.Report(a.worker.Slots(), 0, now)
		a.update()
		d.returnOrders(now, a)
		return
	}
	d.counters.messages++
	d.counters.sent += uint64(len(a.orders))
	a.orders = nil
}

// returnOrders requeues the tasks of orders that have not been sent.
func (d *Dispatcher) returnOrders(now time.Time, a *assignment) {
	orders := a.orders
	a.orders = nil
	for _, order := range orders {
		if t := a.tasks[order.ID()]; t != nil {
			d.comeBack(now, a, t, true, "the session to the worker took no more tasks")
		}
	}
}

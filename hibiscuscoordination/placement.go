package hibiscuscoordination

import (
	"time"

	"hibiscusrouter/hibiscusstate"
)

// Which worker gets which waiting task, and when. Tasks are placed into the next orders message of a worker; Flush sends
// these once for each batch of commands.

const (
	// longSlotPercent is the share of a service's slots that long work may hold.
	longSlotPercent = 75
	// agentWaitPlaces is how many tasks may wait at one agent.
	agentWaitPlaces = 4
	// agentWaitLimit is how long a task may wait at an agent before it comes back, unless the service is full: then all
	// agents have tasks waiting, and with this limit a surge wasted 0.23 to 0.32 messages a task.
	agentWaitLimit = 100 * time.Millisecond
	// sweepInterval is how often waiting jobs are looked at; the shortest objective of the known sites is 140 ms.
	sweepInterval = 20 * time.Millisecond
	// staleWaitPart is the part of its run time that a task may wait for a slot that this entry believed to be free. A
	// rejection costs two messages and another try by a view that is no better.
	staleWaitPart = 4
)

func (d *Dispatcher) dispatchAll(now time.Time) {
	for _, p := range d.pools {
		d.dispatch(now, p)
	}
}

// dispatch gives waiting tasks of a service to its workers as long as both are there.
func (d *Dispatcher) dispatch(now time.Time, p *pool) {
	for p.queue.Len() > 0 {
		w := p.heap.Best()
		if w == nil {
			return
		}
		wait := time.Duration(0)
		if w.Free() < p.unit {
			if p.unit > 1 || -w.Free() >= d.waitPlaces() || p.queue.Slots() < p.slots/len(d.entries) {
				// A short queue is served sooner by the next free slot anywhere than by one agent's. So is every task of a worker
				// that runs many at once: one ends there every few milliseconds, and a task that waits at an agent can't be
				// overtaken by one that is due earlier.
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
				// The task is larger than usual and fits nowhere at present.
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

// ofNoUse says whether a task that is next can't be done while its answer is of use. A late job goes on only when all that
// waits could be done by then: it yields to everything else, and would be held for nothing.
func (d *Dispatcher) ofNoUse(now time.Time, p *pool, t *hibiscusstate.Task) bool {
	latest := t.Job().Latest()
	if t.Job().Late() && p.live > 0 {
		now = now.Add(time.Duration(float64(p.queue.Work()) / d.capacity(p)))
	}
	return now.Add(t.Expected()).After(latest)
}

// endHopeless ends the late jobs that can't be done while their answers are of use. They yield to all others, so that they may
// not be looked at again before that time is over, and their callers would wait for nothing.
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

// giveUp ends a job whose next task can't be in time, so that no slot works for an answer that comes too late. It is
// called only while other tasks wait: a kind whose learned run time is too long would otherwise never run again, and never
// be learned anew.
func (d *Dispatcher) giveUp(now time.Time, t *hibiscusstate.Task) {
	r := d.jobs[t.Job().Key()]
	t.Resolve(hibiscusstate.OutcomeNotRun, nil, "the task could not be done before the deadline", 0)
	d.counters.countOutcome(hibiscusstate.OutcomeNotRun)
	d.abandonQueued(r, "another task of the job could not be done before the deadline")
	d.stopSent(now, r)
	d.finish(now, r)
}

// waitPlaces returns this entry's share of the waiting places at an agent.
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
		// The writer's ring is full: count the worker as full until its next report, or these tasks would come straight back.
		a.worker.Report(a.worker.Slots(), 0, now)
		a.update()
		d.returnOrders(now, a)
		return
	}
	d.counters.messages++
	d.counters.sent += uint64(len(a.orders))
	a.orders = nil
}

// returnOrders queues again the tasks whose message has not left this process.
func (d *Dispatcher) returnOrders(now time.Time, a *assignment) {
	orders := a.orders
	a.orders = nil
	for _, order := range orders {
		if t := a.tasks[order.ID()]; t != nil {
			d.comeBack(now, a, t, true, "the session to the worker took no more tasks")
		}
	}
}

package hibiscuscoordination

import (
	"time"

	"hibiscusrouter/hibiscusstate"
)

// Life cycle of workers at an entry: connect, change of capacity, loss of the session, removal.

// WorkerUp adds a worker whose agent has opened a session, or reconnects one whose agent has opened a new session.
func (d *Dispatcher) WorkerUp(now time.Time, hello Hello) {
	id := hello.incarnation
	a := d.workers[id]
	if a == nil {
		d.resolvePredecessorTasks(now, hello)
		w := hibiscusstate.NewWorker(id, hello.address, hello.domain, hello.capacity.service, hello.capacity.slots,
			rendezvousHash(d.incarnation, id))
		w.SetPrimary(d.isPrimary(id))
		a = &assignment{worker: w, pool: d.pool(hello.capacity.service), tasks: map[hibiscusstate.TaskID]*hibiscusstate.Task{}}
		d.workers[id] = a
		a.pool.heap.Add(w)
		a.pool.slots += w.Slots()
		a.pool.grewAt = now
	}
	if a.worker.Connected() && len(a.tasks) > 0 {
		// The agent opened a new session before this entry detected the loss of the previous one.
		d.WorkerDown(now, id, now)
	}
	a.worker.SetConnected(true)
	d.UpdateCapacity(now, id, hello.capacity)
	d.reconcile(a)
}

// resolvePredecessorTasks resolves the tasks of an agent that was replaced at the same address: its records are lost.
func (d *Dispatcher) resolvePredecessorTasks(now time.Time, hello Hello) {
	for id, a := range d.workers {
		if a.worker.Address() == hello.address && !a.worker.Connected() && id != hello.incarnation {
			d.resolveUnnamedTasks(now, a, "the worker was replaced while it had the task")
		}
	}
}

// resolveUnnamedTasks resolves the tasks of a lost worker that must not run again as possibly run; those of named jobs stay until
// their runs have certainly ended.
func (d *Dispatcher) resolveUnnamedTasks(now time.Time, a *assignment, reason string) {
	for _, t := range a.tasks {
		if t.Job().Name() == "" {
			d.resolve(now, a, t, hibiscusstate.OutcomeMayHaveRun, nil, reason, 0)
		}
	}
	if len(a.tasks) == 0 {
		d.removeWorker(now, a, reason)
	}
}

// endLostRuns records the end of the runs of named jobs at a lost worker that have certainly ended by now. Their tasks may run again.
func (d *Dispatcher) endLostRuns(now time.Time, a *assignment) {
	d.endRunsOf(now, a, func(t *hibiscusstate.Task) bool {
		return now.Sub(a.lastHeardAt) >= lostRunTimeout && now.Sub(t.SentAt()) >= lostRunTimeout
	})
}

// endRunsOf records the end of those runs of named jobs at a lost worker for which ended returns true.
func (d *Dispatcher) endRunsOf(now time.Time, a *assignment, ended func(*hibiscusstate.Task) bool) {
	for _, t := range a.tasks {
		if t.Job().Name() == "" || !ended(t) {
			continue
		}
		report := hibiscusstate.NewResult(t.Attempt(), hibiscusstate.OutcomeLost, nil, "the worker was lost while it had the task", 0)
		if !d.runAgain(now, a, t, &report) {
			d.resolve(now, a, t, report.Outcome(), nil, report.Reason(), 0)
		}
	}
}

// endPredecessorRuns records the end of the predecessor's runs at the same address: an agent offers slots only after these
// runs have ended.
func (d *Dispatcher) endPredecessorRuns(now time.Time, successor *assignment) {
	for _, a := range d.workers {
		if a != successor && a.worker.Address() == successor.worker.Address() && !a.worker.Connected() {
			d.endRunsOf(now, a, func(*hibiscusstate.Task) bool { return true })
			if len(a.tasks) == 0 {
				d.removeWorker(now, a, "the worker was replaced")
			}
		}
	}
}

// reconcile asks an agent for the state of the tasks that were sent to it over an earlier session.
func (d *Dispatcher) reconcile(a *assignment) {
	var attempts []hibiscusstate.TaskAttempt
	for _, t := range a.tasks {
		if t.Phase() == hibiscusstate.PhaseInDoubt {
			attempts = append(attempts, t.Attempt())
		}
	}
	if len(attempts) > 0 {
		d.counters.messages++
		d.send(a.worker.ID(), NewSettleMessage(attempts))
	}
}

// UpdateCapacity handles a message with the current capacity of a worker's endpoint.
func (d *Dispatcher) UpdateCapacity(now time.Time, id hibiscusstate.Incarnation, c Capacity) {
	a := d.workers[id]
	if a == nil {
		return
	}
	a.worker.SetLeaseEpoch(c.leaseEpoch)
	a.worker.SetRelativeRunTime(c.relativeRunTime)
	if c.service != "" && c.service != a.worker.Service() {
		a = d.moveToService(a, c.service)
	}
	a.setRack(c.rack)
	if c.slots > a.worker.Slots() {
		a.pool.grewAt = now
	}
	a.pool.slots += c.slots - a.worker.Slots()
	a.worker.SetSlots(c.slots)
	a.pool.maxWorkerSlots = max(a.pool.maxWorkerSlots, c.slots)
	if c.slots > 0 {
		d.endPredecessorRuns(now, a)
	}
	d.applyNotice(now, a, c)
	a.capacity = c
	d.updateAvailability(a)
	d.dispatch(now, a.pool)
}

// UpdateLoad updates the load of a worker from a report of its agent: the slots of other entries' tasks, and the waiting tasks.
func (d *Dispatcher) UpdateLoad(now time.Time, id hibiscusstate.Incarnation, l Load) {
	a := d.workers[id]
	if a == nil {
		return
	}
	a.worker.Report(l.otherSlots, l.waiting, now)
	a.worker.SetRelativeRunTime(l.relativeRunTime)
	d.observeReportedSlowness(now, a, l.slowness)
	a.update()
	d.dispatch(now, a.pool)
}

// moveToService moves a worker to the pool of another service, as when its endpoint announces itself after its agent connected.
func (d *Dispatcher) moveToService(a *assignment, service string) *assignment {
	a.leavePool()
	w := hibiscusstate.NewWorker(a.worker.ID(), a.worker.Address(), a.worker.Domain(), service, 0, a.worker.TieBreaker())
	w.SetPrimary(a.worker.Primary())
	w.SetLeaseEpoch(a.worker.LeaseEpoch())
	w.SetReportedSlowness(a.worker.ReportedSlowness())
	w.SetRelativeRunTime(a.worker.RelativeRunTime())
	a.worker = w
	a.pool = d.pool(service)
	a.pool.heap.Add(w)
	return a
}

// WorkerDown records that the session to a worker was lost, over which the last message was received at lastHeardAt: the state of its
// tasks is in doubt until the agent reconnects.
func (d *Dispatcher) WorkerDown(now time.Time, id hibiscusstate.Incarnation, lastHeardAt time.Time) {
	a := d.workers[id]
	if a == nil || !a.worker.Connected() {
		return
	}
	a.worker.SetConnected(false)
	a.lostAt, a.lastHeardAt = now, lastHeardAt
	d.requeueOrders(now, a)
	for _, t := range a.tasks {
		t.MarkInDoubt()
	}
	a.update()
	d.dispatch(now, a.pool)
}

func (d *Dispatcher) removeWorker(now time.Time, a *assignment, reason string) {
	for _, t := range a.tasks {
		d.resolve(now, a, t, hibiscusstate.OutcomeMayHaveRun, nil, reason, 0)
	}
	a.leavePool()
	delete(d.workers, a.worker.ID())
}

// update applies a change of the worker to its pool.
func (a *assignment) update() {
	a.pool.heap.Update(a.worker)
	a.setLiveSlots(a.worker.LiveSlots())
}

// setLiveSlots applies a change of the slots that currently get work to the pool and to its forecast.
func (a *assignment) setLiveSlots(slots int) {
	change := slots - a.liveSlots
	if change == 0 {
		return
	}
	a.pool.liveSlots += change
	a.liveSlots = slots
	a.pool.forecast.Change(float64(change) * a.worker.Speed())
	a.pool.capacityFell = a.pool.capacityFell || change < 0
}

func (a *assignment) leavePool() {
	a.leaveRack()
	a.pool.heap.Remove(a.worker)
	a.pool.slots -= a.worker.Slots()
	a.setLiveSlots(0)
}

// isPrimary reports whether this entry has the highest rendezvous hash for a worker among the entries.
func (d *Dispatcher) isPrimary(worker hibiscusstate.Incarnation) bool {
	own := rendezvousHash(d.incarnation, worker)
	for _, entry := range d.entries {
		if entry != d.incarnation && rendezvousHash(entry, worker) > own {
			return false
		}
	}
	return true
}

// rendezvousHash mixes two incarnations into a hash, with the finaliser of splitmix64.
func rendezvousHash(entry, worker hibiscusstate.Incarnation) uint64 {
	x := uint64(entry) ^ (uint64(worker) * 0x9e3779b97f4a7c15)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

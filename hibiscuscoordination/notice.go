package hibiscuscoordination

import (
	"slices"
	"time"

	"hibiscusrouter/hibiscusscheduling"
	"hibiscusrouter/hibiscusstate"
)

// Work for workers that leave with notice. Their slots don't count as capacity, but while all other workers are full, tasks that end before
// they are gone are still placed on them. Their agents decide: they reject what arrives too late.

// applyNotice starts the time in which a worker that reports that it is leaving takes short tasks, or ends it.
func (d *Dispatcher) applyNotice(now time.Time, a *assignment, c Capacity) {
	switch {
	case !c.leaving || c.remaining <= 0:
		a.notice = hibiscusscheduling.Notice{}
	case !a.notice.Open(now):
		a.pool.pruneNoticed(now)
		a.pool.noticed = append(a.pool.noticed, a)
		a.notice = hibiscusscheduling.NewEntryNotice(now, c.remaining)
		d.log.Info("entry: leaving worker takes short tasks while all others are full", "worker", a.worker.Address(),
			"remaining_ms", c.remaining.Milliseconds())
	}
}

// placeOnLeaving places the next task of a service on a worker that is leaving, and reports whether it has taken a task from the queue. The
// expected run time of a kind without observed runs may be far too short, so the declared one counts too.
func (d *Dispatcher) placeOnLeaving(now time.Time, p *pool) bool {
	if len(p.noticed) == 0 {
		return false
	}
	p.pruneNoticed(now)
	best := d.bestLeaving(p)
	if best == nil {
		return false
	}
	t := p.queue.Pop(now, p.longSlots*100 < p.slots*longSlotPercent)
	if t == nil {
		return false
	}
	if p.queue.Len()+len(p.held) > 0 && d.isTooLate(now, p, t) {
		// The job may have held tasks, which leave the queue with the others.
		p.putBackHeld()
		d.abandonLateJob(now, t)
		return true
	}
	if t.Long() || best.worker.FreeSlots() < t.Resources().Slots() || !best.notice.Admits(now, max(t.Expected(), t.Declared())) {
		p.queue.PutBack(t)
		return false
	}
	d.counters.leavingPlacements++
	d.place(now, best, t, 0)
	return true
}

// pruneNoticed removes the workers that take no more tasks.
func (p *pool) pruneNoticed(now time.Time) {
	p.noticed = slices.DeleteFunc(p.noticed, func(a *assignment) bool { return a.pool != p || !a.notice.Open(now) })
}

// bestLeaving returns the worker with the most free slots among those that leave with notice, nil if all are full.
func (d *Dispatcher) bestLeaving(p *pool) *assignment {
	var best *assignment
	for _, a := range p.noticed {
		w := a.worker
		if !w.Connected() || a.capacity.drained || d.evacuation.Has(w.Domain()) || w.FreeSlots() <= 0 {
			continue
		}
		if best == nil || w.FreeSlots() > best.worker.FreeSlots() {
			best = a
		}
	}
	return best
}

// endNotice ends the time in which a worker takes short tasks when its agent has rejected one as leaving.
func (a *assignment) endNotice(r *hibiscusstate.Report) {
	if r.Rejection() == hibiscusstate.RejectionLeaving {
		a.notice = hibiscusscheduling.Notice{}
	}
}

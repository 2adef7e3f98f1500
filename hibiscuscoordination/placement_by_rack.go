package hibiscuscoordination

import (
	"slices"
	"time"

	"hibiscusrouter/hibiscusscheduling"
	"hibiscusrouter/hibiscusstate"
)

// Placement of tasks that name the rack of their data. A task takes farFactor times as long in another rack; with a factor of 1 racks have
// no effect.

// maxRackHeld bounds the tasks that wait for their racks while dispatch goes through the queue once; the other tasks pass them.
const maxRackHeld = 8

// SetFarFactor sets how many times as long a task takes outside the rack that it names.
func (d *Dispatcher) SetFarFactor(factor float64) { d.farFactor = max(factor, 1) }

// farFactorOf returns how many times as long a task takes on a worker because of its rack. The rack of some workers is not known.
func (d *Dispatcher) farFactorOf(w *hibiscusstate.Worker, t *hibiscusstate.Task) float64 {
	if t.Rack() == "" || w.Rack() == "" || w.Rack() == t.Rack() {
		return 1
	}
	return d.farFactor
}

// expectedOn returns the expected run time of a task on a worker.
func (d *Dispatcher) expectedOn(w *hibiscusstate.Worker, t *hibiscusstate.Task) time.Duration {
	if factor := d.farFactorOf(w, t); factor != 1 {
		return time.Duration(factor * float64(w.RunTime(t.Expected())))
	}
	return w.RunTime(t.Expected())
}

// normalizedRunTime returns the run time at speed 1, in its rack, of a task that took this long on a worker.
func (d *Dispatcher) normalizedRunTime(w *hibiscusstate.Worker, t *hibiscusstate.Task, runTime time.Duration) time.Duration {
	if factor := d.farFactorOf(w, t); factor != 1 {
		return time.Duration(float64(w.NormalizedRunTime(runTime)) / factor)
	}
	return w.NormalizedRunTime(runTime)
}

// chooseByRack returns the worker in the rack that a task names, or whether the task is held until its rack has room; neither if the task
// is placed like any other.
func (d *Dispatcher) chooseByRack(now time.Time, p *pool, t *hibiscusstate.Task) (w *hibiscusstate.Worker, held bool) {
	workers := p.racks[t.Rack()]
	if len(workers) == 0 || d.farFactor == 1 {
		return nil, false
	}
	best, local := d.bestInRack(p, t, workers)
	elsewhere := hibiscusscheduling.Candidate{}
	for class := p.heap.Classes() - 1; class >= 0; class-- {
		if far := p.heap.ClassBestFitting(class, t.Resources().Slots(), t.Avoided()); far != nil {
			elsewhere = hibiscusscheduling.FreeCandidate(time.Duration(d.farFactor*float64(far.RunTime(t.Expected()))), 1)
			break
		}
	}
	left := hibiscusscheduling.NewTimeLeft(t.Job().Due().Sub(now), t.Job().Expiry().Sub(now))
	switch hibiscusscheduling.ChooseRack(left, now.Sub(t.Job().SubmittedAt()), local, elsewhere) {
	case hibiscusscheduling.RackLocal:
		d.counters.rackLocal++
		return best, false
	case hibiscusscheduling.RackWait:
		if len(p.held) < maxRackHeld {
			d.counters.held++
			return nil, true
		}
	case hibiscusscheduling.RackElsewhere:
	}
	d.counters.rackElsewhere++
	return nil, false
}

// bestInRack returns the fastest worker of a rack that has room for a task, the emptiest of several, and a description of it; a nil worker
// with the expected wait when none has room.
func (d *Dispatcher) bestInRack(
	p *pool, t *hibiscusstate.Task, workers []*hibiscusstate.Worker,
) (best *hibiscusstate.Worker, local hibiscusscheduling.Candidate) {
	slots, speed := 0, 1.0
	for _, w := range workers {
		slots += w.LiveSlots()
		speed = max(speed, w.Speed())
		if !w.Usable() || w.FreeSlots() < t.Resources().Slots() || w.ID() == t.Avoided() {
			continue
		}
		if best == nil || w.SpeedClass() > best.SpeedClass() || w.SpeedClass() == best.SpeedClass() && rankedBefore(w, best) {
			best = w
		}
	}
	if best != nil {
		return best, hibiscusscheduling.FreeCandidate(best.RunTime(t.Expected()), 1)
	}
	if slots == 0 {
		return nil, hibiscusscheduling.BusyCandidate(t.Expected(), time.Hour)
	}
	return nil, hibiscusscheduling.BusyCandidate(time.Duration(float64(t.Expected())/speed), d.expectedWait(p, speed, slots))
}

// rankedBefore ranks workers of one speed as the heap does: those whose primary entry this is first, then the emptiest.
func rankedBefore(a, b *hibiscusstate.Worker) bool {
	if a.Primary() != b.Primary() {
		return a.Primary()
	}
	return a.FreeSlots() > b.FreeSlots()
}

// expectedWait returns the expected time until one of these slots is free for a task of this entry: each entry gets its share of them, and
// the held tasks are served before.
func (d *Dispatcher) expectedWait(p *pool, speed float64, slots int) time.Duration {
	perSlot := float64(p.runTimes.Median()) / speed * float64(p.taskSlots*len(d.entries)) / float64(slots)
	return time.Duration(perSlot * float64(1+len(p.held)))
}

// setRack sets the rack of a worker.
func (a *assignment) setRack(rack string) {
	if rack == a.worker.Rack() {
		return
	}
	a.leaveRack()
	a.worker.SetRack(rack)
	a.joinRack()
}

// joinRack adds the worker to its rack.
func (a *assignment) joinRack() {
	if rack := a.worker.Rack(); rack != "" {
		a.pool.racks[rack] = append(a.pool.racks[rack], a.worker)
	}
}

// leaveRack removes the worker from its rack.
func (a *assignment) leaveRack() {
	rack := a.worker.Rack()
	if rack == "" {
		return
	}
	rest := slices.DeleteFunc(a.pool.racks[rack], func(w *hibiscusstate.Worker) bool { return w == a.worker })
	if len(rest) == 0 {
		delete(a.pool.racks, rack)
		return
	}
	a.pool.racks[rack] = rest
}

package hibiscuscoordination

import (
	"time"

	"hibiscusrouter/hibiscusscheduling"
	"hibiscusrouter/hibiscusstate"
)

// Placement where workers differ in speed (hibiscusscheduling.Placer). Where all are alike, none of this applies.

const (
	// maxHeld bounds the tasks that wait for a faster worker while dispatch goes through the queue once.
	maxHeld = 16
	// minFastestPercent is the percentage of a service's slots that the workers of a speed class must have for the class to be the fastest
	// one, by which it is decided whether a job can still be in time.
	minFastestPercent = 10
)

// chooseBySpeed returns the worker for a task, or whether the task is held because it should wait for a faster one.
func (d *Dispatcher) chooseBySpeed(now time.Time, p *pool, t *hibiscusstate.Task) (w *hibiscusstate.Worker, held bool) {
	var best [hibiscusscheduling.MaxSpeedClasses]*hibiscusstate.Worker
	var candidates [hibiscusscheduling.MaxSpeedClasses]hibiscusscheduling.Candidate
	n := 0
	for class := range min(p.heap.Classes(), len(best)) {
		w := p.heap.ClassBest(class)
		if w == nil {
			continue
		}
		if w.FreeSlots() < t.Resources().Slots() || w.ID() == t.Avoided() {
			w = p.heap.ClassBestFitting(class, t.Resources().Slots(), t.Avoided())
		}
		best[n], candidates[n] = w, d.candidate(p, t, class, w)
		n++
	}
	if n == 0 {
		return nil, false
	}
	left := hibiscusscheduling.NewTimeLeft(t.Job().Due().Sub(now), t.Job().Expiry().Sub(now))
	choice := p.placer.Choose(left, p.fastestFree, candidates[:n])
	if i, ok := choice.Placed(); ok {
		return best[i], false
	}
	if choice.Held() {
		d.counters.held++
	}
	return nil, choice.Held()
}

// candidate describes the best worker of a speed class for a task, nil if none has room for it.
func (d *Dispatcher) candidate(p *pool, t *hibiscusstate.Task, class int, w *hibiscusstate.Worker) hibiscusscheduling.Candidate {
	if w != nil {
		free := float64(w.FreeSlots()-t.Resources().Slots()) / float64(w.Slots())
		return hibiscusscheduling.FreeCandidate(d.expectedOn(w, t), free)
	}
	speed, slots := p.classes[class].speed, p.classes[class].slots
	if slots == 0 {
		return hibiscusscheduling.BusyCandidate(t.Expected(), time.Hour)
	}
	return hibiscusscheduling.BusyCandidate(time.Duration(float64(t.Expected())/speed), d.expectedWait(p, speed, slots))
}

// putBackHeld returns the held tasks to the queue.
func (p *pool) putBackHeld() {
	for _, t := range p.held {
		p.queue.PutBack(t)
	}
	clear(p.held)
	p.held = p.held[:0]
}

// classState is the speed and the live slots of the workers of a speed class, at most one tick old.
type classState struct {
	speed float64
	slots int
	free  int
}

// SpeedSnapshot is the state of the workers of a speed class of a service.
type SpeedSnapshot struct {
	class   int
	workers int
	speed   float64
}

// Class returns the speed class, 0 for the workers like the median.
func (s SpeedSnapshot) Class() int { return s.class }

// Workers returns the number of workers of the class.
func (s SpeedSnapshot) Workers() int { return s.workers }

// Speed returns their mean speed relative to the mean of the service.
func (s SpeedSnapshot) Speed() float64 { return s.speed }

func (p *pool) speedSnapshots() []SpeedSnapshot {
	snapshots := make([]SpeedSnapshot, p.heap.Classes())
	for i := range snapshots {
		w := p.heap.ClassWorker(i)
		snapshots[i] = SpeedSnapshot{class: w.SpeedClass(), workers: p.heap.ClassLen(i), speed: w.Speed()}
		if i < len(p.classes) && p.classes[i].speed > 0 {
			snapshots[i].speed = p.classes[i].speed
		}
	}
	return snapshots
}

// updateClasses computes the state of the speed classes, and the speed of the fastest one with enough slots.
func (p *pool) updateClasses() {
	p.classes = [hibiscusscheduling.MaxSpeedClasses]classState{}
	p.fastestSpeed = 1
	p.fastestFree = 0
	total, position, class, sum := 0, -1, 0, 0.0
	for i := range p.heap.Len() {
		w := p.heap.At(i)
		if position < 0 || w.SpeedClass() != class {
			position, class, sum = position+1, w.SpeedClass(), 0
		}
		if position < len(p.classes) {
			c := &p.classes[position]
			c.slots += w.LiveSlots()
			if w.Usable() {
				c.free += max(w.FreeSlots(), 0)
			}
			sum += w.Speed() * float64(w.LiveSlots())
			if c.slots > 0 {
				c.speed = sum / float64(c.slots)
			}
		}
		total += w.LiveSlots()
	}
	for _, c := range p.classes {
		if c.slots*100 >= total*minFastestPercent && c.slots > 0 {
			p.fastestSpeed = c.speed
			p.fastestFree = float64(c.free) / float64(c.slots)
		}
	}
}

// shortest returns the expected run time of a task on the fastest workers.
func (p *pool) shortest(expected time.Duration) time.Duration {
	if p.fastestSpeed == 1 {
		return expected
	}
	return time.Duration(float64(expected) / p.fastestSpeed)
}

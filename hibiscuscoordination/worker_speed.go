package hibiscuscoordination

import (
	"time"

	"hibiscusrouter/hibiscusscheduling"
	"hibiscusrouter/hibiscusstate"
)

// The speed of workers, relative to the mean of their service. An agent measures how long its runs take relative to their expected
// run time at speed 1 and reports that mean with every result, load and capacity; an entry compares the workers with each other at each
// tick (hibiscusscheduling.SpeedComparison). The expected run time of a task is that on a worker of speed 1.

const (
	// maxSpeedLogs bounds the log lines about changed speed classes at one tick.
	maxSpeedLogs = 4
	// speedChange is the factor by which the mean changes before an entry without a run here is notified.
	speedChange = 1.3
	// otherClassInterval is the number of runs on workers of other classes than 0 of which one counts for the mean of its kind. A kind may
	// run on such workers only.
	otherClassInterval = 8
)

// agentSpeed is the mean of run time / expected run time at speed 1 of an agent's runs. Of consecutive runs of one job only the first
// counts, as for the median (slownessMeter).
type agentSpeed struct {
	meter   hibiscusscheduling.SpeedMeter
	lastJob hibiscusstate.SubmissionKey
}

// observe adds a run that has finished.
func (m *agentSpeed) observe(now time.Time, t *hibiscusstate.AgentTask) {
	order := t.Order()
	if order.Expected() == 0 || order.ID().Key() == m.lastJob {
		return
	}
	m.lastJob = order.ID().Key()
	m.meter.Observe(float64(now.Sub(t.StartedAt())) / (float64(order.Expected()) * order.Speed()))
}

// relativeRunTime returns the mean, zero while it is not known well enough.
func (m *agentSpeed) relativeRunTime() float64 { return m.meter.RelativeRunTime() }

// load returns the load as it is sent to an entry; total is the number of slots of all running and waiting tasks.
func (s *SlotManager) load(c *entryState, total int) Load {
	return NewLoad(total-c.slots, len(s.waiting)).WithSlowness(s.slowness.slowness()).WithRelativeRunTime(s.speed.relativeRunTime())
}

// hasStaleSpeed reports whether an entry was last told a mean that has changed so much that it should place tasks differently.
func (s *SlotManager) hasStaleSpeed(c *entryState) bool {
	current, reported := s.speed.relativeRunTime(), c.reportedLoad.relativeRunTime
	if current == 0 || !c.connected {
		return false
	}
	if reported == 0 {
		reported = 1
	}
	return current > reported*speedChange || current*speedChange < reported
}

// updateSpeeds computes the speeds of a service's workers from what their agents report.
func (d *Dispatcher) updateSpeeds(now time.Time, p *pool) {
	p.speeds.Reset()
	p.ranked = p.ranked[:0]
	for i := range p.heap.Len() {
		w := p.heap.At(i)
		p.ranked = append(p.ranked, w)
		if w.Connected() {
			p.speeds.Add(w.RelativeRunTime())
		}
	}
	if !p.speeds.Compare() && p.meanSpeed == 1 {
		return
	}
	slots, sum, logged, uneven := 0, 0.0, 0, false
	for _, w := range p.ranked {
		relative, class := p.speeds.Classify(w.RelativeRunTime(), w.SpeedClass())
		if class != w.SpeedClass() {
			d.counters.speedChanges++
			if logged++; logged <= maxSpeedLogs {
				d.logSpeedClass(now, p, w, relative, class)
			}
		}
		w.SetSpeed(relative, class)
		uneven = uneven || class != 0
		if w.Connected() && w.Health() == hibiscusstate.HealthGood {
			slots += w.Slots()
			sum += relative * float64(w.Slots())
		}
	}
	p.meanSpeed = 1
	if slots > 0 {
		p.meanSpeed = sum / float64(slots)
	}
	p.heap.SetSpread(uneven)
	for _, w := range p.ranked {
		w.SetSpeed(w.Speed()/p.meanSpeed, w.SpeedClass())
		p.heap.Update(w)
	}
	p.updateClasses()
}

// SetRack sets the rack of the endpoint.
func (s *SlotManager) SetRack(now time.Time, rack string) {
	if s.rack != rack {
		s.rack = rack
		s.broadcastCapacity(now)
	}
}

// observeRunTime adds the run time of a finished task, as it is on a worker of speed 1. The runs of a worker that has become slow are left
// out until its speed is known: one sick worker would change the mean of the kinds that it runs.
func (d *Dispatcher) observeRunTime(a *assignment, t *hibiscusstate.Task, runTime time.Duration) {
	if a.worker.Health() == hibiscusstate.HealthProbing || a.pool.relativeSlowness(a.worker) > reinstateFactor {
		return
	}
	if _, known := a.pool.runTimes.Mean(t.Kind(), len(t.Payload())); known && a.worker.SpeedClass() != 0 {
		// The mean follows the workers that are like the median. A mean that followed a worker's own speed would confirm any error of it.
		if a.pool.otherClassRuns++; a.pool.otherClassRuns%otherClassInterval != 0 {
			return
		}
	}
	declared := d.declared(t.Job().Service(), t.Kind(), t.Declared())
	a.pool.runTimes.Observe(t.Kind(), len(t.Payload()), declared, d.normalizedRunTime(a.worker, t, runTime))
}

func (d *Dispatcher) logSpeedClass(now time.Time, p *pool, w *hibiscusstate.Worker, relative float64, class int) {
	d.log.Info("dispatcher: speed class of a worker changed", "service", p.service, "worker", w.Address(), "from", w.SpeedClass(), "to", class,
		"relative_speed", relative, "relative_run_time", w.RelativeRunTime(), "median", p.speeds.Median(), "mean_speed", p.meanSpeed,
		"report_age_ms", now.Sub(w.ReportedAt()).Milliseconds())
}

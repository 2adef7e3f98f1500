package hibiscuscoordination

import (
	"fmt"
	"slices"
	"time"

	"hibiscusrouter/hibiscusstate"
)

// Slow workers are found by their agents. An agent sees the runs of all entries, of which one of 55 entries sees a 55th: with three
// entries, a worker that became five times slower under a peak load was ejected after 1.8 to 4.5 s, by each entry for itself, and
// most jobs of several tasks had one there. The agent measures how much longer its runs take than their entries expected, and reports it
// with every result and load. An entry compares it with the other workers, because the expected run times may be wrong for all.

const (
	// slownessStep is the fraction by which one run moves the running median, and sparseSlownessStep the same for a run that follows
	// the last one by sparseInterval, as the probe tasks of an ejected worker do.
	slownessStep       = 1.0 / 8
	sparseSlownessStep = 1.0 / 4
	sparseInterval     = 250 * time.Millisecond
	// minSlownessRuns is how many runs it takes before the median is reported. With the step above it can't reach slowFactor in fewer.
	minSlownessRuns = 8
	// overdueFactor times its expected time is when a run counts as slow although it has not ended.
	overdueFactor = slowFactor
	// maxSlowness bounds the median, so that a worker recovers from a long pause with a few runs.
	maxSlowness = 16
	// slownessChange is the factor by which the median changes before an entry without a run here is notified, if either value is
	// above minNotifiedSlowness.
	slownessChange      = 1.2
	minNotifiedSlowness = 2
)

// slownessMeter is the running median of run time / expected run time of an agent's runs. Of consecutive runs of one job only the first
// counts: the tasks of a job take as much longer than expected as each other.
type slownessMeter struct {
	median     float64
	runs       int
	lastJob    hibiscusstate.SubmissionKey
	observedAt time.Time
}

// observe adds a run of a job that took, or has taken so far, ratio times as long as expected.
func (m *slownessMeter) observe(now time.Time, job hibiscusstate.SubmissionKey, ratio float64) {
	if m.runs > 0 && job == m.lastJob {
		return
	}
	m.lastJob = job
	if m.runs == 0 {
		m.median = 1
	}
	step := slownessStep
	if now.Sub(m.observedAt) >= sparseInterval {
		step = sparseSlownessStep
	}
	m.runs++
	m.observedAt = now
	m.median = min(hibiscusstate.StepMedian(m.median, ratio, step), maxSlowness)
}

// slowness returns the median, zero while too few runs were observed.
func (m *slownessMeter) slowness() float64 {
	if m.runs < minSlownessRuns {
		return 0
	}
	return m.median
}

// observeRun adds a run that has finished, unless it was counted when it became overdue.
func (s *SlotManager) observeRun(now time.Time, t *hibiscusstate.AgentTask) {
	s.speed.observe(now, t)
	if t.Order().Expected() > 0 && !t.Overdue() {
		s.slowness.observe(now, t.Order().ID().Key(), float64(now.Sub(t.StartedAt()))/float64(t.Order().Expected()))
	}
}

// observeOverdueRuns adds the runs that have become overdue, and returns when the next one does, the zero time for none.
func (s *SlotManager) observeOverdueRuns(now time.Time) time.Time {
	var next time.Time
	for _, t := range s.slots {
		if t == nil || t.Overdue() || t.Order().Expected() == 0 {
			continue
		}
		due := t.StartedAt().Add(overdueFactor * t.Order().Expected())
		if due.After(now) {
			next = earliest(next, due)
			continue
		}
		t.MarkOverdue()
		s.slowness.observe(now, t.Order().ID().Key(), overdueFactor)
	}
	return next
}

// hasStaleSlowness reports whether an entry was last told a slowness that has changed so much that it may eject or reinstate the worker.
func (s *SlotManager) hasStaleSlowness(c *entryState) bool {
	if s.hasStaleSpeed(c) {
		return true
	}
	current, reported := s.slowness.slowness(), c.reportedLoad.slowness
	if current == 0 || !c.connected || max(current, reported) < minNotifiedSlowness {
		return false
	}
	return current > reported*slownessChange || current*slownessChange < reported
}

// observeReportedSlowness updates the slowness that an agent reports. It ejects its worker if it is far above that of the others, and
// reinstates a worker that was ejected as slow once the probe tasks of any entry, and the tasks that follow them, are fast again.
func (d *Dispatcher) observeReportedSlowness(now time.Time, a *assignment, slowness float64) {
	if slowness == 0 {
		return
	}
	a.worker.SetReportedSlowness(slowness)
	relative := a.pool.relativeSlowness(a.worker)
	health := a.worker.Health()
	switch {
	case relative == 0:
	case relative > slowFactor && health == hibiscusstate.HealthGood:
		if d.eject(now, a, fmt.Sprintf("its runs take %.1f times as long as those of the other workers", relative)) {
			a.ejectedAsSlow = true
		}
	case relative <= reinstateFactor && a.ejectedAsSlow && health != hibiscusstate.HealthLeaving:
		d.reinstate(a, "its runs are as fast as those of the other workers")
	}
}

// relativeSlowness returns the slowness that a worker's agent reports relative to the median of all workers, zero if it is unknown.
func (p *pool) relativeSlowness(w *hibiscusstate.Worker) float64 {
	if p.reportedSlowness == 0 {
		return 0
	}
	return w.ReportedSlowness() / p.reportedSlowness
}

// minComparedWorkers is how many workers must report a slowness before they are compared.
const minComparedWorkers = 3

// updateReportedSlowness computes the median of the slowness that the agents of the connected workers report.
func (p *pool) updateReportedSlowness() {
	p.compared = p.compared[:0]
	for i := range p.heap.Len() {
		if w := p.heap.At(i); w.Connected() && w.ReportedSlowness() > 0 {
			p.compared = append(p.compared, w.ReportedSlowness())
		}
	}
	if len(p.compared) < minComparedWorkers {
		p.reportedSlowness = 0
		return
	}
	slices.Sort(p.compared)
	p.reportedSlowness = p.compared[len(p.compared)/2]
}

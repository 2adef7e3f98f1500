package hibiscusstate

import "time"

// Worker is one entry's view of a worker: the tasks that the entry sent to it, and the load that its agent last reported.
//
// The entry's own tasks are exact. The slots of other entries are as old as the last report, which comes with every result and
// rejection at no extra cost.
type Worker struct {
	id            Incarnation
	address       string
	domain        string
	service       string
	rack          string
	slots         int
	primary       bool
	tieBreaker    uint64
	inFlightSlots int
	tasks         int
	longTasks     int
	otherSlots    int
	waiting       int
	reportedAt    time.Time
	held          []heldSlots
	heldSlots     int
	health        Health
	connected     bool
	failures      int
	ejectedUntil  time.Time
	slowness      float64
	// reportedSlowness is the agent's median of run time / expected run time, over the tasks of all entries.
	reportedSlowness float64
	// relativeRunTime is the agent's mean of run time / expected run time at speed 1, zero if unknown. speed is the speed of the worker
	// relative to the mean of its service, zero for 1, and speedClass the class of workers of about this speed.
	relativeRunTime float64
	speed           float64
	speedClass      int
	rankedClass     int
	runs            int
	probeDelay      time.Duration
	leaseEpoch      uint64
	heapIndex       int
	score           int
	finished        uint64
	failed          uint64
	healthCause     string
}

// MaxRackBytes bounds the name of a rack.
const MaxRackBytes = 64

// heldSlots are slots that count as in use until a time.
type heldSlots struct {
	slots int
	until time.Time
}

// NewWorker returns the view of a connected worker without tasks; tieBreaker orders workers with equal scores and should differ
// between entries.
func NewWorker(id Incarnation, address, domain, service string, slots int, tieBreaker uint64) *Worker {
	return &Worker{
		id: id, address: address, domain: domain, service: service, slots: slots, tieBreaker: tieBreaker,
		connected: true, heapIndex: -1,
	}
}

// ID returns the incarnation of the worker's agent.
func (w *Worker) ID() Incarnation { return w.id }

// Address returns the address that the agent reported.
func (w *Worker) Address() string { return w.address }

// Domain returns the failure domain of the worker.
func (w *Worker) Domain() string { return w.domain }

// Service returns the service whose tasks the worker's endpoint runs.
func (w *Worker) Service() string { return w.service }

// Rack returns the rack of the worker, empty if unknown.
func (w *Worker) Rack() string { return w.rack }

// SetRack sets the rack of the worker.
func (w *Worker) SetRack(rack string) { w.rack = rack }

// Slots returns how many slots the worker has.
func (w *Worker) Slots() int { return w.slots }

// SetSlots sets how many slots the worker has.
func (w *Worker) SetSlots(slots int) { w.slots = slots }

// TieBreaker returns the value that orders workers with equal scores.
func (w *Worker) TieBreaker() uint64 { return w.tieBreaker }

// Primary reports whether this entry is the worker's primary entry, the one that ranks first for it among the entries.
func (w *Worker) Primary() bool { return w.primary }

// SetPrimary sets whether this entry is the worker's primary entry.
func (w *Worker) SetPrimary(primary bool) { w.primary = primary }

// Tasks returns how many tasks of this entry the worker has.
func (w *Worker) Tasks() int { return w.tasks }

// InFlightSlots returns how many slots the tasks of this entry take at the worker.
func (w *Worker) InFlightSlots() int { return w.inFlightSlots }

// LongTasks returns how many of the tasks are estimated to be long.
func (w *Worker) LongTasks() int { return w.longTasks }

// OtherSlots returns how many slots the tasks of other entries took at the last report.
func (w *Worker) OtherSlots() int { return w.otherSlots }

// Waiting returns how many tasks waited at the agent at the last report.
func (w *Worker) Waiting() int { return w.waiting }

// LeaseEpoch returns the epoch under which the agent accepts tasks from this entry.
func (w *Worker) LeaseEpoch() uint64 { return w.leaseEpoch }

// SetLeaseEpoch records a lease epoch; an epoch lower than the current one is ignored.
func (w *Worker) SetLeaseEpoch(epoch uint64) { w.leaseEpoch = max(w.leaseEpoch, epoch) }

// Connected reports whether a session to the worker is open.
func (w *Worker) Connected() bool { return w.connected }

// SetConnected records whether a session to the worker is open.
func (w *Worker) SetConnected(connected bool) { w.connected = connected }

// Health returns the health of the worker.
func (w *Worker) Health() Health { return w.health }

// HealthCause returns why the worker is not in good health, empty when it is.
func (w *Worker) HealthCause() string { return w.healthCause }

// SetHealth sets the health and its cause.
func (w *Worker) SetHealth(health Health, cause string) {
	w.health = health
	w.healthCause = cause
}

// Add counts a task that was sent to the worker.
func (w *Worker) Add(t *Task) {
	w.tasks++
	w.inFlightSlots += t.resources.slots
	if t.long {
		w.longTasks++
	}
}

// Remove counts a task that the worker no longer has.
func (w *Worker) Remove(t *Task) {
	w.tasks--
	w.inFlightSlots -= t.resources.slots
	if t.long {
		w.longTasks--
	}
}

// Report records the load that the agent reported at now: the slots that tasks of other entries take, and the waiting tasks.
func (w *Worker) Report(others, waiting int, now time.Time) {
	w.otherSlots = others
	w.waiting = waiting
	w.reportedAt = now
}

// ReportedAt returns when the last report was received.
func (w *Worker) ReportedAt() time.Time { return w.reportedAt }

// Hold counts slots as in use until a time, so that a worker whose tasks fail at once doesn't get more tasks for its free slots.
func (w *Worker) Hold(slots int, until time.Time) {
	slots = min(slots, w.slots-w.heldSlots)
	if slots > 0 {
		w.held = append(w.held, heldSlots{slots: slots, until: until})
		w.heldSlots += slots
	}
}

// HoldAll counts all slots as in use until a time.
func (w *Worker) HoldAll(until time.Time) {
	w.held = append(w.held[:0], heldSlots{slots: w.slots, until: until})
	w.heldSlots = w.slots
}

// ReleaseHolds releases the held slots whose time has passed and reports whether there were any.
func (w *Worker) ReleaseHolds(now time.Time) bool {
	kept := w.held[:0]
	for _, h := range w.held {
		if h.until.After(now) {
			kept = append(kept, h)
		} else {
			w.heldSlots -= h.slots
		}
	}
	released := len(kept) < len(w.held)
	w.held = kept
	return released
}

// FreeSlots returns the number of free slots in this view; it is negative when tasks wait.
func (w *Worker) FreeSlots() int { return w.slots - w.inFlightSlots - w.otherSlots - w.heldSlots }

// Usable reports whether a task may be sent to the worker.
func (w *Worker) Usable() bool {
	if !w.connected || w.slots == 0 {
		return false
	}
	switch w.health {
	case HealthGood:
		return true
	case HealthProbing:
		return w.inFlightSlots == 0
	case HealthEjected, HealthLeaving:
		return false
	}
	return false
}

// LiveSlots returns how many of the slots currently get work, in use or free. A worker that is probed counts with one slot.
func (w *Worker) LiveSlots() int {
	if !w.connected {
		return 0
	}
	switch w.health {
	case HealthGood:
		return w.slots
	case HealthProbing:
		return min(w.slots, 1)
	case HealthEjected, HealthLeaving:
		return 0
	}
	return 0
}

// CountFinished counts a finished task and returns the number of consecutive failures before it.
func (w *Worker) CountFinished() int {
	before := w.failures
	w.failures = 0
	w.finished++
	return before
}

// CountFailed counts a failed task and returns the number of consecutive failures.
func (w *Worker) CountFailed() int {
	w.failures++
	w.failed++
	return w.failures
}

// Finished returns how many tasks of this entry finished on the worker.
func (w *Worker) Finished() uint64 { return w.finished }

// Failed returns how many tasks of this entry failed on the worker.
func (w *Worker) Failed() uint64 { return w.failed }

// EjectedUntil returns when an ejected worker is probed again.
func (w *Worker) EjectedUntil() time.Time { return w.ejectedUntil }

// Eject ejects the worker until a time; delay is the time from now to its next probe.
func (w *Worker) Eject(until time.Time, delay time.Duration, cause string) {
	w.SetHealth(HealthEjected, cause)
	w.ejectedUntil = until
	w.probeDelay = delay
}

// ProbeDelay returns the delay of the last ejection, zero when there was none or it was reset.
func (w *Worker) ProbeDelay() time.Duration { return w.probeDelay }

// ResetProbeDelay resets the delay to zero.
func (w *Worker) ResetProbeDelay() { w.probeDelay = 0 }

// ObserveSpeed adds a finished task that took ratio times the observed mean run time: it moves Slowness by the fraction step up or
// down, starting from initial at the first task.
func (w *Worker) ObserveSpeed(ratio, initial, step float64) {
	if w.runs == 0 {
		w.slowness = initial
	}
	w.runs++
	w.slowness = StepMedian(w.slowness, ratio, step)
}

// Slowness returns the running median of run time / observed mean run time, zero before the first finished task.
func (w *Worker) Slowness() float64 { return w.slowness }

// ReportedSlowness returns the median of run time / expected run time that the worker's agent reports, zero if unknown.
func (w *Worker) ReportedSlowness() float64 { return w.reportedSlowness }

// SetReportedSlowness records the slowness that the worker's agent reports.
func (w *Worker) SetReportedSlowness(slowness float64) { w.reportedSlowness = slowness }

// RelativeRunTime returns the mean of run time / expected run time at speed 1 that the worker's agent reports, zero if unknown.
func (w *Worker) RelativeRunTime() float64 { return w.relativeRunTime }

// SetRelativeRunTime records the mean of run time / expected run time at speed 1 that the worker's agent reports.
func (w *Worker) SetRelativeRunTime(ratio float64) { w.relativeRunTime = ratio }

// Speed returns the speed of the worker relative to the mean of its service, 1 where all workers are alike.
func (w *Worker) Speed() float64 {
	if w.speed == 0 {
		return 1
	}
	return w.speed
}

// SpeedClass returns the class of the worker's speed, 0 for workers like the median; higher classes are faster.
func (w *Worker) SpeedClass() int { return w.speedClass }

// SetSpeed sets the speed of the worker relative to the mean of its service, and its class. Update the heap afterwards.
func (w *Worker) SetSpeed(speed float64, class int) {
	w.speed = speed
	w.speedClass = class
}

// RunTime returns how long a task with this run time at speed 1 takes on the worker.
func (w *Worker) RunTime(expected time.Duration) time.Duration {
	if w.Speed() == 1 {
		return expected
	}
	return time.Duration(float64(expected) / w.Speed())
}

// NormalizedRunTime returns the run time at speed 1 of a task that took this long on the worker.
func (w *Worker) NormalizedRunTime(runTime time.Duration) time.Duration {
	if w.Speed() == 1 {
		return runTime
	}
	return time.Duration(float64(runTime) * w.Speed())
}

// Runs returns the number of finished tasks in Slowness.
func (w *Worker) Runs() int { return w.runs }

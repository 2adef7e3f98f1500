package hibiscusstate

import "time"

// Worker is one entry's view of one worker: what it gave to it, and what the worker's agent last reported about the rest.
//
// The own tasks are exact. The tasks of other entries are as old as the last report, which comes for free with every
// result and rejection.
type Worker struct {
	id            Incarnation
	address       string
	domain        string
	service       string
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
	runs          int
	probeDelay    time.Duration
	leaseEpoch    uint64
	heapIndex     int
	score         int
	finished      uint64
	failed        uint64
	healthCause   string
}

// heldSlots are slots that count as taken until a time.
type heldSlots struct {
	slots int
	until time.Time
}

// NewWorker returns the view of a connected worker that no task was given to; preference orders workers that are equal
// otherwise, and should differ between entries.
func NewWorker(id Incarnation, address, domain, service string, slots int, preference uint64) *Worker {
	return &Worker{
		id: id, address: address, domain: domain, service: service, slots: slots, tieBreaker: preference,
		connected: true, heapIndex: -1,
	}
}

// ID returns the incarnation of the worker's agent.
func (w *Worker) ID() Incarnation { return w.id }

// Address returns the address that the agent reported.
func (w *Worker) Address() string { return w.address }

// Domain returns the failure domain of the worker.
func (w *Worker) Domain() string { return w.domain }

// Service returns the service that the worker's endpoint serves.
func (w *Worker) Service() string { return w.service }

// Slots returns how many slots the worker has.
func (w *Worker) Slots() int { return w.slots }

// SetSlots sets how many slots the worker has.
func (w *Worker) SetSlots(slots int) { w.slots = slots }

// TieBreaker returns what orders workers that are equal otherwise.
func (w *Worker) TieBreaker() uint64 { return w.tieBreaker }

// Primary says whether this entry ranks first for the worker among the entries.
func (w *Worker) Primary() bool { return w.primary }

// SetPrimary sets whether this entry ranks first for the worker.
func (w *Worker) SetPrimary(primary bool) { w.primary = primary }

// Tasks returns how many tasks of this entry the worker has.
func (w *Worker) Tasks() int { return w.tasks }

// InFlightSlots returns how many slots the tasks of this entry take at the worker.
func (w *Worker) InFlightSlots() int { return w.inFlightSlots }

// LongTasks returns how many of the tasks are predicted to be long.
func (w *Worker) LongTasks() int { return w.longTasks }

// OtherSlots returns how many slots the tasks of other entries took at the last report.
func (w *Worker) OtherSlots() int { return w.otherSlots }

// Waiting returns how many tasks waited at the agent at the last report.
func (w *Worker) Waiting() int { return w.waiting }

// LeaseEpoch returns the epoch under which the agent takes tasks from this entry.
func (w *Worker) LeaseEpoch() uint64 { return w.leaseEpoch }

// SetLeaseEpoch takes a lease epoch; a lower one than before is ignored.
func (w *Worker) SetLeaseEpoch(epoch uint64) { w.leaseEpoch = max(w.leaseEpoch, epoch) }

// Connected says whether a session to the worker is open.
func (w *Worker) Connected() bool { return w.connected }

// SetConnected records whether a session to the worker is open.
func (w *Worker) SetConnected(connected bool) { w.connected = connected }

// Health returns whether the worker gets tasks.
func (w *Worker) Health() Health { return w.health }

// HealthCause returns why the worker is not in good health, empty when it is.
func (w *Worker) HealthCause() string { return w.healthCause }

// SetHealth sets the health with its cause.
func (w *Worker) SetHealth(health Health, cause string) {
	w.health = health
	w.healthCause = cause
}

// Add counts a task that was given to the worker.
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

// Report takes what the agent says: the slots that tasks of other entries take, and how many tasks wait, at now.
func (w *Worker) Report(others, waiting int, now time.Time) {
	w.otherSlots = others
	w.waiting = waiting
	w.reportedAt = now
}

// ReportedAt returns when the last report came.
func (w *Worker) ReportedAt() time.Time { return w.reportedAt }

// Hold keeps slots counted as taken until a time, so that a task that failed at once doesn't attract the next.
func (w *Worker) Hold(slots int, until time.Time) {
	slots = min(slots, w.slots-w.heldSlots)
	if slots > 0 {
		w.held = append(w.held, heldSlots{slots: slots, until: until})
		w.heldSlots += slots
	}
}

// HoldAll keeps all slots counted as taken until a time.
func (w *Worker) HoldAll(until time.Time) {
	w.held = append(w.held[:0], heldSlots{slots: w.slots, until: until})
	w.heldSlots = w.slots
}

// ReleaseHolds frees the held slots whose time has passed and says whether there was one.
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

// FreeSlots returns the number of slots that are free in this view; it is negative when tasks wait.
func (w *Worker) FreeSlots() int { return w.slots - w.inFlightSlots - w.otherSlots - w.heldSlots }

// Usable says whether the worker may get a task.
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

// LiveSlots returns how many of the slots get work at present, taken or free. A worker on trial counts with its one task.
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

// CountFinished records a task that finished and returns the number of failures in a row before it.
func (w *Worker) CountFinished() int {
	before := w.failures
	w.failures = 0
	w.finished++
	return before
}

// CountFailed records a task that failed and returns the number of failures in a row.
func (w *Worker) CountFailed() int {
	w.failures++
	w.failed++
	return w.failures
}

// Finished returns how many tasks of this entry finished on the worker.
func (w *Worker) Finished() uint64 { return w.finished }

// Failed returns how many tasks of this entry failed on the worker.
func (w *Worker) Failed() uint64 { return w.failed }

// EjectedUntil returns when the worker that is out is tried again.
func (w *Worker) EjectedUntil() time.Time { return w.ejectedUntil }

// Eject takes the worker out until a time, with the delay that led to it.
func (w *Worker) Eject(until time.Time, delay time.Duration, cause string) {
	w.SetHealth(HealthEjected, cause)
	w.ejectedUntil = until
	w.probeDelay = delay
}

// ProbeDelay returns the delay before the last trial, zero when the worker was never out.
func (w *Worker) ProbeDelay() time.Duration { return w.probeDelay }

// ResetProbeDelay forgets the delay of earlier trials.
func (w *Worker) ResetProbeDelay() { w.probeDelay = 0 }

// ObserveSpeed adds a finished task that took ratio times the learned run time: it moves Slowness by the part step up or
// down, from usual at the first task.
func (w *Worker) ObserveSpeed(ratio, usual, step float64) {
	if w.runs == 0 {
		w.slowness = usual
	}
	w.runs++
	w.slowness = StepMedian(w.slowness, ratio, step)
}

// Slowness returns the running median of run time / learned run time, zero before the first finished task.
func (w *Worker) Slowness() float64 { return w.slowness }

// Runs returns the number of finished tasks behind Slowness.
func (w *Worker) Runs() int { return w.runs }

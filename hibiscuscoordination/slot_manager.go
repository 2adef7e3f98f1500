package hibiscuscoordination

import (
	"log/slog"
	"slices"
	"time"

	"hibiscusrouter/hibiscusscheduling"
	"hibiscusrouter/hibiscusstate"
)

// The SlotManager makes every decision of an agent. It alone allocates the resources of its endpoint: entries place tasks by
// views that may be stale, and it starts, queues or rejects each of them. A rejection always means that the task did not run:
// after the handover to a runner only the runner can reject a task, when the endpoint did not start it. A task holds its
// resources from its start until its runner has reported the end, so a task that is being stopped still counts.

const (
	// entryLeaseDuration is how long an entry may send nothing before orders that it sent earlier are rejected.
	entryLeaseDuration = 2 * time.Second
	// resultRetention and maxResultBytes bound the results that are retained for recovery.
	resultRetention = 2 * time.Minute
	maxResultBytes  = 32 << 20
	// maxTombstones bounds the sealed keys, and the attempts that were reported as never received.
	maxTombstones = 100_000
	// entryStateRetention is how long the state of an entry without session and tasks is retained; it is longer than any entry
	// needs to reconnect.
	entryStateRetention = time.Minute
)

// SlotManager starts, queues, stops and rejects the tasks of one agent.
type SlotManager struct {
	incarnation   hibiscusstate.Incarnation
	service, rack string
	slots         []*hibiscusstate.AgentTask
	capacity      hibiscusstate.Resources
	used          hibiscusstate.Resources
	waiting       []*hibiscusstate.AgentTask
	tasks         *hibiscusstate.AgentTasks
	entries       map[hibiscusstate.Incarnation]*entryState
	sealed        *hibiscusstate.BoundedSet[hibiscusstate.SubmissionKey]
	neverReceived *hibiscusstate.BoundedSet[hibiscusstate.TaskAttempt]
	watchers      map[hibiscusstate.SubmissionKey][]watcher
	// taskSlots is the moving average of the slots of a task; an endpoint with fewer free slots counts as full.
	taskSlots int
	slowness  slownessMeter
	speed     agentSpeed
	// nextOverdue is when the next run becomes overdue, as of the last tick, the zero time for none.
	nextOverdue time.Time
	// freeSince is the time since which a typical task fits, zero while none fits.
	freeSince     time.Time
	leaving       bool
	notice        hibiscusscheduling.Notice
	minLeaseEpoch uint64
	drained       bool
	evacuated     bool
	outbox        map[hibiscusstate.Incarnation][]hibiscusstate.Report
	send          func(entry hibiscusstate.Incarnation, m Message) bool
	run           func(slot int, order hibiscusstate.Order)
	stop          func(slot int, attempt hibiscusstate.TaskAttempt)
	log           *slog.Logger
	waitTimes     hibiscusstate.Histogram
	runTimes      hibiscusstate.Histogram
	started       uint64
	duplicates    uint64
	leasesRaised  uint64
	messages      uint64
	outcomes      [hibiscusstate.OutcomeStalled + 1]uint64
	rejections    [hibiscusstate.RejectionStopped + 1]uint64
}

// entryState is the state that the agent has for an entry.
type entryState struct {
	leaseEpoch uint64
	lastSeenAt time.Time
	connected  bool
	// leaveAcknowledged means that the entry has received the notice that the endpoint is leaving, and sends no more orders.
	leaveAcknowledged bool
	// offerHeld means that the entry is offered no slots until it has sent the evacuated domains.
	offerHeld bool
	tasks     int
	// restartable is how many of these tasks need a permission (permission.go).
	restartable int
	// slots is the number of slots of the entry's running and waiting tasks.
	slots  int
	lostAt time.Time
	// permittedAt is the time at which the agent sent what the entry has echoed last, and permissionRequestedAt when the agent last
	// asked for a newer echo.
	permittedAt           time.Time
	permissionRequestedAt time.Time
	// permissionEnded means that tasks were stopped since the last echo because their permission had ended.
	permissionEnded bool
	// reportedLoad is the load that the entry was sent last; reportedAt is when it was last sent outside a report.
	reportedLoad Load
	reportedAt   time.Time
}

// watcher is an entry that recovers a job and waits for the end of tasks that are not done.
type watcher struct {
	entry   hibiscusstate.Incarnation
	request uint64
}

// SlotManagerSeams are the function fields through which a SlotManager acts.
type SlotManagerSeams struct {
	send func(entry hibiscusstate.Incarnation, m Message) bool
	run  func(slot int, order hibiscusstate.Order)
	stop func(slot int, attempt hibiscusstate.TaskAttempt)
}

// NewSlotManagerSeams returns the callbacks: send passes a message to an entry's session without blocking and reports whether it
// was queued, run passes a task to the idle runner of a slot, and stop asks the runner of a slot to stop an attempt.
func NewSlotManagerSeams(
	send func(entry hibiscusstate.Incarnation, m Message) bool,
	run func(slot int, order hibiscusstate.Order),
	stop func(slot int, attempt hibiscusstate.TaskAttempt),
) SlotManagerSeams {
	return SlotManagerSeams{send: send, run: run, stop: stop}
}

// NewSlotManager returns the SlotManager of the agent with the given incarnation, without an endpoint.
func NewSlotManager(incarnation hibiscusstate.Incarnation, seams SlotManagerSeams) *SlotManager {
	return &SlotManager{
		incarnation:   incarnation,
		tasks:         hibiscusstate.NewAgentTasks(resultRetention, maxResultBytes),
		entries:       map[hibiscusstate.Incarnation]*entryState{},
		sealed:        hibiscusstate.NewBoundedSet[hibiscusstate.SubmissionKey](maxTombstones),
		neverReceived: hibiscusstate.NewBoundedSet[hibiscusstate.TaskAttempt](maxTombstones),
		watchers:      map[hibiscusstate.SubmissionKey][]watcher{},
		outbox:        map[hibiscusstate.Incarnation][]hibiscusstate.Report{},
		log:           slog.New(slog.DiscardHandler),
		send:          seams.send,
		run:           seams.run,
		stop:          seams.stop,
	}
}

// SetLogger sets the logger for rejected orders and ended tasks.
func (s *SlotManager) SetLogger(log *slog.Logger) { s.log = log }

// Running returns the number of tasks that run at the endpoint.
func (s *SlotManager) Running() int {
	n := 0
	for _, t := range s.slots {
		if t != nil {
			n++
		}
	}
	return n
}

// Waiting returns the number of tasks that wait for a slot.
func (s *SlotManager) Waiting() int { return len(s.waiting) }

// Started returns how many tasks were handed to a runner.
func (s *SlotManager) Started() uint64 { return s.started }

// Duplicates returns how many orders were ignored because their task had been accepted before.
func (s *SlotManager) Duplicates() uint64 { return s.duplicates }

// Leaving reports whether the endpoint accepts no new tasks.
func (s *SlotManager) Leaving() bool { return s.leaving }

// Idle reports whether no task runs or waits.
func (s *SlotManager) Idle() bool { return s.Running() == 0 && len(s.waiting) == 0 }

// Capacity returns the capacity of the endpoint as sent to an entry, with the epoch of that entry's lease.
func (s *SlotManager) Capacity(now time.Time, entry hibiscusstate.Incarnation) Capacity {
	c := s.entryState(entry)
	slots := s.capacity.Slots()
	if c.offerHeld {
		slots = 0
	}
	capacity := NewCapacity(s.service, slots, s.leaving, c.leaseEpoch).WithDrained(s.drained).
		WithRelativeRunTime(s.speed.relativeRunTime()).WithRack(s.rack)
	if s.leaving {
		capacity = capacity.WithRemaining(s.notice.Remaining(now))
	}
	return capacity
}

// SetEndpoint sets the service and the capacity of the endpoint; the capacity is zero while there is no endpoint.
func (s *SlotManager) SetEndpoint(now time.Time, service string, capacity hibiscusstate.Resources) {
	if service == s.service && capacity == s.capacity && !s.leaving {
		return
	}
	if s.capacity.Slots() == 0 {
		s.slowness = slownessMeter{}
		s.speed = agentSpeed{}
	}
	s.service = service
	s.capacity = capacity
	s.leaving, s.notice = false, hibiscusscheduling.Notice{}
	s.broadcastCapacity(now)
	s.startWaiting(now)
}

// SetDrained drains the worker at an operator's request, or ends the drain. The entry that forwarded the request gets an
// answer even when nothing changes.
func (s *SlotManager) SetDrained(now time.Time, entry hibiscusstate.Incarnation, drained bool) {
	if s.drained == drained {
		s.send(entry, NewCapacityMessage(s.Capacity(now, entry)))
		return
	}
	s.drained = drained
	s.broadcastCapacity(now)
}

func (s *SlotManager) broadcastCapacity(now time.Time) {
	for id, c := range s.entries {
		if c.connected {
			s.send(id, NewCapacityMessage(s.Capacity(now, id)))
		}
	}
}

// EntryUp registers an entry whose session has opened.
func (s *SlotManager) EntryUp(now time.Time, entry hibiscusstate.Incarnation) {
	s.RenewLease(now, entry)
	s.entryState(entry).connected = true
	s.entryState(entry).leaveAcknowledged = false
	s.send(entry, NewCapacityMessage(s.Capacity(now, entry)))
}

// EntryDown records the loss of an entry's session; its tasks continue.
func (s *SlotManager) EntryDown(now time.Time, entry hibiscusstate.Incarnation) {
	s.entryState(entry).connected = false
	s.entryState(entry).offerHeld = false
	s.entryState(entry).lostAt = now
}

// RenewLease renews the lease of an entry. If the lease has expired, it increments the lease epoch, so that orders sent before
// the expiry are rejected. An order carries the time that is left until its deadline: if its entry was paused between computing that
// time and sending the order, the task would start too late.
func (s *SlotManager) RenewLease(now time.Time, entry hibiscusstate.Incarnation) {
	c := s.entryState(entry)
	if now.Sub(c.lastSeenAt) > entryLeaseDuration {
		c.leaseEpoch++
		if !c.lastSeenAt.IsZero() {
			s.leasesRaised++
		}
	}
	c.lastSeenAt = now
}

// HandleOrders starts, queues or rejects tasks that an entry sent.
func (s *SlotManager) HandleOrders(now time.Time, entry hibiscusstate.Incarnation, orders []hibiscusstate.Order) {
	for _, order := range orders {
		if rejection := s.accept(now, entry, order); rejection != hibiscusstate.RejectionNone {
			s.log.Info("agent: order rejected", "job", order.JobName(), "index", order.ID().Index(), "try", order.Attempt().Number(),
				"entry", entry.String(), "rejection", rejection.String(), "needs", order.Resources().Slots(), "used", s.used.Slots(),
				"room", s.capacity.Slots(), "waiting", len(s.waiting))
			s.reject(entry, order.Attempt(), rejection)
		}
	}
	s.flush()
}

// accept starts or queues the task of an order, or returns why not.
func (s *SlotManager) accept(now time.Time, entry hibiscusstate.Incarnation, order hibiscusstate.Order) hibiscusstate.Rejection {
	existing := s.tasks.Get(order.ID())
	if existing != nil && order.Restartable() && existing.Status() == hibiscusstate.StatusDone &&
		existing.Order().Attempt().Number() < order.Attempt().Number() {
		// The entry has the result of the earlier attempt and starts the task again.
		s.tasks.Drop(existing)
		existing = nil
	}
	if existing != nil {
		// The task was accepted before. It must not start again, and a rejection would make the entry place it elsewhere.
		s.duplicates++
		return hibiscusstate.RejectionNone
	}
	age := time.Duration(0)
	if !order.DecidedAt().IsZero() {
		age = now.Sub(order.DecidedAt())
	}
	switch {
	case s.sealed.Has(order.ID().Key()):
		return hibiscusstate.RejectionSealed
	case s.neverReceived.Has(order.Attempt()):
		return hibiscusstate.RejectionDuplicate
	case order.LeaseEpoch() != s.entryState(entry).leaseEpoch, age >= permissionDuration:
		return hibiscusstate.RejectionLeaseExpired
	case s.isLeaving(now, order), s.drained, s.evacuated:
		return hibiscusstate.RejectionLeaving
	case s.capacity.Slots() == 0:
		return hibiscusstate.RejectionEndpointDown
	case order.Budget()-age <= 0:
		return hibiscusstate.RejectionExpired
	}
	t := hibiscusstate.NewAgentTask(order, entry, now)
	if s.leaving && (len(s.waiting) > 0 || s.otherRun(t) != nil || !s.fits(t)) {
		// Nothing may wait at a leaving endpoint.
		return hibiscusstate.RejectionLeaving
	}
	conflict := s.stopPreviousRun(t)
	if len(s.waiting) == 0 && !conflict && s.fits(t) {
		s.add(t)
		s.start(now, t)
		return hibiscusstate.RejectionNone
	}
	if !conflict && (!order.MayWait() || len(s.waiting) >= maxAgentQueue) {
		return hibiscusstate.RejectionNoFreeSlot
	}
	s.add(t)
	s.waiting = append(s.waiting, t)
	return hibiscusstate.RejectionNone
}

func (s *SlotManager) add(t *hibiscusstate.AgentTask) {
	s.tasks.Add(t)
	c := s.entryState(t.Entry())
	c.tasks++
	c.slots += t.Order().Resources().Slots()
	if t.Order().Restartable() {
		c.restartable++
	}
}

// uncount subtracts a task that no longer runs or waits from its entry's counts.
func (s *SlotManager) uncount(t *hibiscusstate.AgentTask) {
	c := s.entryState(t.Entry())
	c.tasks--
	c.slots -= t.Order().Resources().Slots()
	if t.Order().Restartable() {
		c.restartable--
	}
}

// fits reports whether the endpoint has the free resources for a task.
func (s *SlotManager) fits(t *hibiscusstate.AgentTask) bool {
	return s.used.Add(t.Order().Resources()).Within(s.capacity)
}

// freeSlot returns the lowest unused index of s.slots, and adds one if all are used; each index has a runner.
func (s *SlotManager) freeSlot() int {
	for i, t := range s.slots {
		if t == nil {
			return i
		}
	}
	s.slots = append(s.slots, nil)
	return len(s.slots) - 1
}

func (s *SlotManager) start(now time.Time, t *hibiscusstate.AgentTask) {
	slot := s.freeSlot()
	s.slots[slot] = t
	s.used = s.used.Add(t.Order().Resources())
	if s.taskSlots == 0 {
		s.taskSlots = t.Order().Resources().Slots()
	}
	s.taskSlots += (t.Order().Resources().Slots() - s.taskSlots) / taskSlotsDivisor
	t.Start(slot, now)
	s.waitTimes.Observe(now.Sub(t.AcceptedAt()))
	s.started++
	order := t.Order().WithBudget(t.Order().Budget() - now.Sub(t.PermittedAt()))
	if order.Restartable() {
		order = order.WithStartBy(s.permittedUntil(t))
	}
	s.run(slot, s.withStartLimit(order))
}

// Finished reports the result of a slot's task to its entry and starts waiting tasks.
func (s *SlotManager) Finished(now time.Time, slot int, result RunResult) {
	t := s.slots[slot]
	s.slots[slot] = nil
	s.used = s.used.Sub(t.Order().Resources())
	s.uncount(t)
	s.runTimes.Observe(now.Sub(t.StartedAt()))
	if result.outcome == hibiscusstate.OutcomeFinished && result.rejection == hibiscusstate.RejectionNone {
		s.observeRun(now, t)
	}
	s.log.Info("agent: task ended", "job", t.Order().JobName(), "index", t.Order().ID().Index(), "try", t.Order().Attempt().Number(),
		"entry", t.Entry().String(), "outcome", result.outcome.String(), "rejection", result.rejection.String(),
		"reason", result.reason, "waited_ms", t.StartedAt().Sub(t.AcceptedAt()).Milliseconds(), "ran_ms", now.Sub(t.StartedAt()).Milliseconds(),
		"used", s.used.Slots(), "room", s.capacity.Slots())
	if result.rejection != hibiscusstate.RejectionNone {
		s.tasks.Drop(t)
		s.reject(t.Entry(), t.Order().Attempt(), result.rejection)
	} else {
		report := hibiscusstate.NewResult(t.Order().Attempt(), result.outcome, result.output, result.reason, now.Sub(t.StartedAt())).
			WithJob(t.Order().TaskCount(), t.Order().Digest())
		s.outcomes[result.outcome]++
		t.Finish(report, now)
		s.tasks.MarkDone(t, now)
		s.queueReport(t.Entry(), report)
	}
	s.startWaiting(now)
	s.notifyWatchers(t.Order().ID().Key())
	s.flush()
}

func (s *SlotManager) startWaiting(now time.Time) {
	s.rejectAfterNotice(now)
	for i := 0; i < len(s.waiting); {
		t := s.waiting[i]
		if !s.fits(t) {
			return
		}
		if s.otherRun(t) != nil {
			i++
			continue
		}
		s.waiting = slices.Delete(s.waiting, i, i+1)
		s.start(now, t)
	}
}

// Tick rejects tasks that have waited too long, stops orphaned tasks, sends load messages and deletes old records.
func (s *SlotManager) Tick(now time.Time) {
	s.rejectAfterNotice(now)
	for i := 0; i < len(s.waiting); {
		t := s.waiting[i]
		if now.Sub(t.AcceptedAt()) < t.Order().WaitLimit() || s.isPinned(t) {
			i++
			continue
		}
		s.rejectWaiting(t, hibiscusstate.RejectionWaitTimeout)
	}
	s.renewPermissions(now)
	s.stopOrphans(now)
	if s.used.Slots() == 0 {
		// No run will end and start them. The one that was before them has been rejected here, or stopped since the last tick.
		s.startWaiting(now)
	}
	s.nextOverdue = s.observeOverdueRuns(now)
	s.sendLoad(now)
	s.tasks.Evict(now)
	s.flush()
	for entry, c := range s.entries {
		if !c.connected && c.tasks == 0 && now.Sub(c.lastSeenAt) > entryStateRetention {
			// If the entry reconnects, its epochs continue above the ones that it had.
			s.minLeaseEpoch = max(s.minLeaseEpoch, c.leaseEpoch)
			delete(s.entries, entry)
		}
	}
}

// NextTick returns when Tick has to run next.
func (s *SlotManager) NextTick(now time.Time) time.Time {
	s.trackFreeCapacity(now, s.committedSlots())
	next := now.Add(time.Second)
	next = earliest(earliest(next, s.nextLoadDue()), s.nextOverdue)
	next = earliest(next, s.nextPermissionDue(now))
	if s.leaving && len(s.waiting) > 0 {
		next = earliest(next, s.notice.StartBy())
	}
	for _, t := range s.waiting {
		due := t.AcceptedAt().Add(t.Order().WaitLimit())
		if due.Before(next) && !s.isPinned(t) {
			next = due
		}
	}
	return next
}

func (s *SlotManager) reject(entry hibiscusstate.Incarnation, attempt hibiscusstate.TaskAttempt, rejection hibiscusstate.Rejection) {
	s.rejections[rejection]++
	s.queueReport(entry, hibiscusstate.NewRejection(attempt, rejection))
}

func (s *SlotManager) queueReport(entry hibiscusstate.Incarnation, report hibiscusstate.Report) {
	s.outbox[entry] = append(s.outbox[entry], report)
}

// flush sends the queued reports, with the load as it is after all of them.
func (s *SlotManager) flush() {
	total := s.committedSlots()
	for entry, reports := range s.outbox {
		c := s.entryState(entry)
		c.reportedLoad = s.load(c, total)
		for i := range reports {
			reports[i] = reports[i].WithLoad(total-c.slots, len(s.waiting), c.leaseEpoch).WithSlowness(c.reportedLoad.slowness).
				WithRelativeRunTime(c.reportedLoad.relativeRunTime)
		}
		s.send(entry, NewReportsMessage(reports))
		delete(s.outbox, entry)
	}
}

func (s *SlotManager) entryState(entry hibiscusstate.Incarnation) *entryState {
	c := s.entries[entry]
	if c == nil {
		c = &entryState{leaseEpoch: s.minLeaseEpoch}
		s.entries[entry] = c
	}
	return c
}

package hibiscuscoordination

import (
	"log/slog"
	"slices"
	"time"

	"hibiscusrouter/hibiscusstate"
)

// The SlotKeeper makes every decision of an agent. It alone allocates the resources of its endpoint: entries place tasks by
// views that may be stale, and it starts, queues or rejects each of them. A rejection always means that the task did not run:
// after the handover to a runner only the runner can reject a task, when the endpoint did not start it. A task holds its
// resources from its start until its runner has reported the end, so a task that is being stopped still counts.

const (
	// leaseTime is how long an entry may send nothing before orders that it sent earlier are rejected.
	leaseTime = 2 * time.Second
	// doneRetention and maxDoneBytes bound the results that are kept for recovery.
	doneRetention = 2 * time.Minute
	maxDoneBytes  = 32 << 20
	// maxTombstones bounds the sealed keys, and the attempts that were reported as never received.
	maxTombstones = 100_000
	// clientRetention is how long the state of an entry without session and tasks is retained; it is longer than any entry
	// needs to reconnect.
	clientRetention = time.Minute
)

// SlotKeeper starts, queues, stops and rejects the tasks of one agent.
type SlotKeeper struct {
	incarnation hibiscusstate.Incarnation
	service     string
	slots       []*hibiscusstate.AgentTask
	limit       hibiscusstate.Room
	used        hibiscusstate.Room
	waiting     []*hibiscusstate.AgentTask
	tasks       *hibiscusstate.AgentTasks
	entries     map[hibiscusstate.Incarnation]*client
	sealed      *hibiscusstate.BoundedSet[hibiscusstate.SubmissionKey]
	settled     *hibiscusstate.BoundedSet[hibiscusstate.TaskTry]
	watchers    map[hibiscusstate.SubmissionKey][]watcher
	// unit is the moving average of the slots of a task; an endpoint with fewer free slots counts as full.
	unit int
	// roomSince is the time since which a typical task fits, zero while none fits.
	roomSince  time.Time
	leaving    bool
	firstLease uint64
	drained    bool
	outbox     map[hibiscusstate.Incarnation][]hibiscusstate.Report
	send       func(entry hibiscusstate.Incarnation, m Message) bool
	run        func(slot int, order hibiscusstate.Order)
	stop       func(slot int, try hibiscusstate.TaskTry)
	log        *slog.Logger
	waitTimes  hibiscusstate.Histogram
	runTimes   hibiscusstate.Histogram
	started    uint64
	duplicates uint64
	leases     uint64
	messages   uint64
	outcomes   [hibiscusstate.OutcomeStalled + 1]uint64
	rejections [hibiscusstate.RejectionStopped + 1]uint64
}

// entryState is what the agent records about an entry.
type client struct {
	lease     uint64
	heardAt   time.Time
	connected bool
	// acknowledged means that the entry has received the notice that the endpoint is leaving, and sends no more orders.
	acknowledged bool
	tasks        int
	// slots is the number of slots of the entry's running and waiting tasks.
	slots    int
	lostAt   time.Time
	orphaned bool
	// told is the load that the entry was sent last; toldAt is when it was last sent outside a report.
	told   Load
	toldAt time.Time
}

// watcher is an entry that recovers a job and waits for the end of tasks that are not done.
type watcher struct {
	entry   hibiscusstate.Incarnation
	request uint64
}

// SlotKeeperSeams are the function fields through which a SlotKeeper acts.
type SlotKeeperSeams struct {
	send func(entry hibiscusstate.Incarnation, m Message) bool
	run  func(slot int, order hibiscusstate.Order)
	stop func(slot int, try hibiscusstate.TaskTry)
}

// NewSlotKeeperSeams returns the callbacks: send passes a message to an entry's session without blocking, run passes a task
// to the runner of a slot, and stop asks that runner to stop the task.
func NewSlotKeeperSeams(
	send func(entry hibiscusstate.Incarnation, m Message) bool,
	run func(slot int, order hibiscusstate.Order),
	stop func(slot int, try hibiscusstate.TaskTry),
) SlotKeeperSeams {
	return SlotKeeperSeams{send: send, run: run, stop: stop}
}

// NewSlotKeeper returns the SlotKeeper of the agent with the given incarnation, without an endpoint.
func NewSlotKeeper(incarnation hibiscusstate.Incarnation, seams SlotKeeperSeams) *SlotKeeper {
	return &SlotKeeper{
		incarnation: incarnation,
		tasks:       hibiscusstate.NewAgentTasks(doneRetention, maxDoneBytes),
		entries:     map[hibiscusstate.Incarnation]*client{},
		sealed:      hibiscusstate.NewBoundedSet[hibiscusstate.SubmissionKey](maxTombstones),
		settled:     hibiscusstate.NewBoundedSet[hibiscusstate.TaskTry](maxTombstones),
		watchers:    map[hibiscusstate.SubmissionKey][]watcher{},
		outbox:      map[hibiscusstate.Incarnation][]hibiscusstate.Report{},
		log:         slog.New(slog.DiscardHandler),
		send:        seams.send,
		run:         seams.run,
		stop:        seams.stop,
	}
}

// LogTo sets the logger for rejected orders and ended tasks.
func (s *SlotKeeper) LogTo(log *slog.Logger) { s.log = log }

// Running returns the number of tasks that run at the endpoint.
func (s *SlotKeeper) Running() int {
	n := 0
	for _, t := range s.slots {
		if t != nil {
			n++
		}
	}
	return n
}

// Waiting returns the number of tasks that wait for a slot.
func (s *SlotKeeper) Waiting() int { return len(s.waiting) }

// Started returns how many tasks were handed to a runner.
func (s *SlotKeeper) Started() uint64 { return s.started }

// Duplicates returns how many orders were ignored because their task had been accepted before.
func (s *SlotKeeper) Duplicates() uint64 { return s.duplicates }

// Leaving reports whether the endpoint accepts no new tasks.
func (s *SlotKeeper) Leaving() bool { return s.leaving }

// Idle reports whether no task runs or waits.
func (s *SlotKeeper) Idle() bool { return s.Running() == 0 && len(s.waiting) == 0 }

// Capacity returns what the endpoint offers to an entry.
func (s *SlotKeeper) Capacity(entry hibiscusstate.Incarnation) Capacity {
	return NewCapacity(s.service, s.limit.Slots(), s.leaving, s.client(entry).lease).WithDrained(s.drained)
}

// SetEndpoint sets the service and the capacity of the endpoint; the capacity is zero while there is no endpoint.
func (s *SlotKeeper) SetEndpoint(now time.Time, service string, capacity hibiscusstate.Room) {
	if service == s.service && capacity == s.limit && !s.leaving {
		return
	}
	s.service = service
	s.limit = capacity
	s.leaving = false
	s.announce()
	s.startWaiting(now)
}

// Leave makes the agent reject all new orders and all waiting tasks. Running tasks go on, and so do waiting ones under a
// sealed key, which no other agent may start.
func (s *SlotKeeper) Leave() {
	if s.leaving {
		return
	}
	s.leaving = true
	for _, c := range s.entries {
		c.acknowledged = false
	}
	s.announce()
	for _, t := range slices.Clone(s.waiting) {
		if !s.mustStay(t) {
			s.returnWaiting(t, hibiscusstate.RejectionLeaving)
		}
	}
	s.flush()
}

// Acknowledge records that an entry has received the notice that the endpoint is leaving, and that all its orders have arrived.
func (s *SlotKeeper) Acknowledge(entry hibiscusstate.Incarnation) {
	s.client(entry).acknowledged = true
}

// Acknowledged reports whether no connected entry may still have an order in flight.
func (s *SlotKeeper) Acknowledged() bool {
	for _, c := range s.entries {
		if c.connected && !c.acknowledged {
			return false
		}
	}
	return true
}

// mustStay reports whether a waiting task belongs to a job that was sealed for a recovery, so that no other agent may run it.
func (s *SlotKeeper) mustStay(t *hibiscusstate.AgentTask) bool {
	return s.limit.Slots() > 0 && s.sealed.Has(t.Order().ID().Key())
}

// SetDrained drains the worker at an operator's request, or ends the drain. The entry that forwarded the request gets an
// answer even when nothing changes.
func (s *SlotKeeper) SetDrained(entry hibiscusstate.Incarnation, drained bool) {
	if s.drained == drained {
		s.send(entry, NewCapacityMessage(s.Capacity(entry)))
		return
	}
	s.drained = drained
	s.announce()
}

func (s *SlotKeeper) announce() {
	for id, c := range s.entries {
		if c.connected {
			s.send(id, NewCapacityMessage(s.Capacity(id)))
		}
	}
}

// EntryUp registers an entry whose session has opened.
func (s *SlotKeeper) EntryUp(now time.Time, entry hibiscusstate.Incarnation) {
	s.Hear(now, entry)
	s.client(entry).connected = true
	s.client(entry).acknowledged = false
	s.send(entry, NewCapacityMessage(s.Capacity(entry)))
}

// EntryDown records the loss of an entry's session; its tasks go on.
func (s *SlotKeeper) EntryDown(now time.Time, entry hibiscusstate.Incarnation) {
	s.client(entry).connected = false
	s.client(entry).lostAt = now
}

// Hear renews the lease of an entry. If the lease has expired, it increments the lease epoch, so that orders sent before
// the expiry are rejected. An order carries the time that is left until its deadline: one that a process sent after a pause,
// based on a check before it, would start too late.
func (s *SlotKeeper) Hear(now time.Time, entry hibiscusstate.Incarnation) {
	c := s.client(entry)
	if now.Sub(c.heardAt) > leaseTime {
		c.lease++
		if !c.heardAt.IsZero() {
			s.leases++
		}
	}
	c.heardAt = now
}

// Orders starts, queues or rejects tasks that an entry sent.
func (s *SlotKeeper) Orders(now time.Time, entry hibiscusstate.Incarnation, orders []hibiscusstate.Order) {
	for _, order := range orders {
		if rejection := s.take(now, entry, order); rejection != hibiscusstate.RejectionNone {
			s.log.Info("agent: order rejected", "job", order.JobName(), "index", order.ID().Index(), "try", order.Try().Number(),
				"entry", entry.String(), "rejection", rejection.String(), "needs", order.Room().Slots(), "used", s.used.Slots(),
				"room", s.limit.Slots(), "waiting", len(s.waiting))
			s.reject(entry, order.Try(), rejection)
		}
	}
	s.flush()
}

// admit starts or queues the task of an order, or returns why not.
func (s *SlotKeeper) take(now time.Time, entry hibiscusstate.Incarnation, order hibiscusstate.Order) hibiscusstate.Rejection {
	existing := s.tasks.Get(order.ID())
	if existing != nil && order.Restartable() && existing.Status() == hibiscusstate.StatusDone &&
		existing.Order().Try().Number() < order.Try().Number() {
		// The entry has the result of the earlier attempt and starts the task again.
		s.tasks.Drop(existing)
		existing = nil
	}
	if existing != nil {
		// The task was accepted before. It must not start again, and a rejection would make the entry place it elsewhere.
		s.duplicates++
		return hibiscusstate.RejectionNone
	}
	switch {
	case s.sealed.Has(order.ID().Key()):
		return hibiscusstate.RejectionSealed
	case s.settled.Has(order.Try()):
		return hibiscusstate.RejectionDuplicate
	case order.Lease() != s.client(entry).lease:
		return hibiscusstate.RejectionLeaseExpired
	case s.leaving, s.drained:
		return hibiscusstate.RejectionLeaving
	case s.limit.Slots() == 0:
		return hibiscusstate.RejectionEndpointDown
	case order.Budget() <= 0:
		return hibiscusstate.RejectionExpired
	}
	t := hibiscusstate.NewAgentTask(order, entry, now)
	conflict := s.stopFormerRun(t)
	if len(s.waiting) == 0 && !conflict && s.fits(t) {
		s.add(t)
		s.start(now, t)
		return hibiscusstate.RejectionNone
	}
	if !conflict && (!order.MayWait() || len(s.waiting) >= agentWaitPlaces) {
		return hibiscusstate.RejectionNoFreeSlot
	}
	s.add(t)
	s.waiting = append(s.waiting, t)
	return hibiscusstate.RejectionNone
}

func (s *SlotKeeper) add(t *hibiscusstate.AgentTask) {
	s.tasks.Add(t)
	s.client(t.Entry()).tasks++
	s.client(t.Entry()).slots += t.Order().Room().Slots()
}

// uncount subtracts a task that no longer runs or waits from its entry's counts.
func (s *SlotKeeper) leave(t *hibiscusstate.AgentTask) {
	s.client(t.Entry()).tasks--
	s.client(t.Entry()).slots -= t.Order().Room().Slots()
}

// fits reports whether the endpoint has the free resources for a task.
func (s *SlotKeeper) fits(t *hibiscusstate.AgentTask) bool {
	return s.used.Add(t.Order().Room()).Within(s.limit)
}

// freeSlot returns the lowest unused index of s.slots, and adds one if all are used; each index has a runner.
func (s *SlotKeeper) freeSlot() int {
	for i, t := range s.slots {
		if t == nil {
			return i
		}
	}
	s.slots = append(s.slots, nil)
	return len(s.slots) - 1
}

func (s *SlotKeeper) start(now time.Time, t *hibiscusstate.AgentTask) {
	slot := s.freeSlot()
	s.slots[slot] = t
	s.used = s.used.Add(t.Order().Room())
	if s.unit == 0 {
		s.unit = t.Order().Room().Slots()
	}
	s.unit += (t.Order().Room().Slots() - s.unit) / unitPart
	t.Start(slot, now)
	s.waitTimes.Observe(now.Sub(t.TakenAt()))
	s.started++
	left := t.Order().Budget() - now.Sub(t.TakenAt())
	s.run(slot, t.Order().WithBudget(left))
}

// Finished reports the result of a slot's task to its entry and starts waiting tasks.
func (s *SlotKeeper) Finished(now time.Time, slot int, result RunResult) {
	t := s.slots[slot]
	s.slots[slot] = nil
	s.used = s.used.Sub(t.Order().Room())
	s.leave(t)
	s.runTimes.Observe(now.Sub(t.StartedAt()))
	s.log.Info("agent: task ended", "job", t.Order().JobName(), "index", t.Order().ID().Index(), "try", t.Order().Try().Number(),
		"entry", t.Entry().String(), "outcome", result.outcome.String(), "rejection", result.rejection.String(),
		"waited_ms", t.StartedAt().Sub(t.TakenAt()).Milliseconds(), "ran_ms", now.Sub(t.StartedAt()).Milliseconds(),
		"used", s.used.Slots(), "room", s.limit.Slots())
	if result.rejection != hibiscusstate.RejectionNone {
		s.tasks.Drop(t)
		s.reject(t.Entry(), t.Order().Try(), result.rejection)
	} else {
		report := hibiscusstate.NewResult(t.Order().Try(), result.outcome, result.output, result.reason, now.Sub(t.StartedAt())).
			WithJob(t.Order().Count(), t.Order().Digest())
		s.outcomes[result.outcome]++
		t.Finish(report, now)
		s.tasks.Done(t, now)
		s.put(t.Entry(), report)
	}
	s.startWaiting(now)
	s.tellWatchers(t.Order().ID().Key())
	s.flush()
}

func (s *SlotKeeper) startWaiting(now time.Time) {
	for i := 0; i < len(s.waiting); {
		t := s.waiting[i]
		if !s.fits(t) {
			return
		}
		if s.sameTask(t) != nil {
			i++
			continue
		}
		s.waiting = slices.Delete(s.waiting, i, i+1)
		s.start(now, t)
	}
}

// Tick rejects tasks that have waited too long, stops orphaned tasks, sends load messages and deletes old records.
func (s *SlotKeeper) Tick(now time.Time) {
	for i := 0; i < len(s.waiting); {
		t := s.waiting[i]
		if now.Sub(t.TakenAt()) < t.Order().WaitLimit() || s.mustStay(t) {
			i++
			continue
		}
		s.returnWaiting(t, hibiscusstate.RejectionWaitedOut)
	}
	s.stopOrphans(now)
	s.tellLoad(now)
	s.tasks.Evict(now)
	s.flush()
	for entry, c := range s.entries {
		if !c.connected && c.tasks == 0 && now.Sub(c.heardAt) > clientRetention {
			// If the entry reconnects, its epochs continue above the ones that it had.
			s.firstLease = max(s.firstLease, c.lease)
			delete(s.entries, entry)
		}
	}
}

// NextTick returns when Tick has to run next.
func (s *SlotKeeper) NextTick(now time.Time) time.Time {
	s.noteRoom(now, s.takenSlots())
	next := now.Add(time.Second)
	if due := s.nextLoad(); !due.IsZero() && due.Before(next) {
		next = due
	}
	for _, c := range s.entries {
		if due := c.lostAt.Add(orphanLimit); !c.connected && c.tasks > 0 && due.After(now) && due.Before(next) {
			next = due
		}
	}
	for _, t := range s.waiting {
		due := t.TakenAt().Add(t.Order().WaitLimit())
		if due.Before(next) && !s.mustStay(t) {
			next = due
		}
	}
	return next
}

func (s *SlotKeeper) reject(entry hibiscusstate.Incarnation, try hibiscusstate.TaskTry, rejection hibiscusstate.Rejection) {
	s.rejections[rejection]++
	s.put(entry, hibiscusstate.NewRejection(try, rejection))
}

func (s *SlotKeeper) put(entry hibiscusstate.Incarnation, report hibiscusstate.Report) {
	s.outbox[entry] = append(s.outbox[entry], report)
}

// flush sends the queued reports, with the load as it is after all of them.
func (s *SlotKeeper) flush() {
	total := s.takenSlots()
	for entry, reports := range s.outbox {
		c := s.client(entry)
		for i := range reports {
			reports[i] = reports[i].WithLoad(total-c.slots, len(s.waiting), c.lease)
		}
		c.told = NewLoad(total-c.slots, len(s.waiting))
		s.send(entry, NewReportsMessage(reports))
		delete(s.outbox, entry)
	}
}

func (s *SlotKeeper) client(entry hibiscusstate.Incarnation) *client {
	c := s.entries[entry]
	if c == nil {
		c = &client{lease: s.firstLease}
		s.entries[entry] = c
	}
	return c
}

package hibiscuscoordination

import (
	"log/slog"
	"slices"
	"time"

	"hibiscusrouter/hibiscusstate"
)

// The SlotManager holds every decision of an agent. It is the one authority for the room of its endpoint: entries place
// tasks by views that may be late, and the keeper starts, holds or rejects each of them. A rejection always means that the
// task was not run, because nothing is rejected after it was handed to a runner. A task takes its room from its start until
// its runner has reported the end, so that what is being stopped still counts.

const (
	// entryLeaseDuration is how long an entry may be silent before orders that it sent earlier are rejected.
	entryLeaseDuration = 2 * time.Second
	// resultRetention and maxResultBytes bound the results that are kept for recovery.
	resultRetention = 2 * time.Minute
	maxResultBytes  = 32 << 20
	// maxTombstones bounds the sealed keys and the settled tries that are remembered.
	maxTombstones = 100_000
	// entryStateRetention is how long an entry without session and tasks is remembered; it is longer than any entry needs to
	// open a session again.
	entryStateRetention = time.Minute
)

// SlotManager decides for one agent.
type SlotManager struct {
	incarnation   hibiscusstate.Incarnation
	service       string
	slots         []*hibiscusstate.AgentTask
	capacity      hibiscusstate.Resources
	used          hibiscusstate.Resources
	waiting       []*hibiscusstate.AgentTask
	tasks         *hibiscusstate.AgentTasks
	entries       map[hibiscusstate.Incarnation]*entryState
	sealed        *hibiscusstate.BoundedSet[hibiscusstate.SubmissionKey]
	neverReceived *hibiscusstate.BoundedSet[hibiscusstate.TaskAttempt]
	watchers      map[hibiscusstate.SubmissionKey][]watcher
	// taskSlots is how many slots a task usually takes; an endpoint with fewer free ones counts as full.
	taskSlots int
	// freeSince is since when there is room for a usual task, zero while there is none.
	freeSince     time.Time
	leaving       bool
	minLeaseEpoch uint64
	drained       bool
	outbox        map[hibiscusstate.Incarnation][]hibiscusstate.Report
	send          func(entry hibiscusstate.Incarnation, m Message) bool
	run           func(slot int, order hibiscusstate.Order)
	stop          func(slot int, try hibiscusstate.TaskAttempt)
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

// entryState is an entry as the agent knows it.
type entryState struct {
	leaseEpoch uint64
	lastSeenAt time.Time
	connected  bool
	// leaveAcknowledged says that the entry has sent no order after it learned that the endpoint is leaving.
	leaveAcknowledged bool
	tasks             int
	// slots is how many slots the tasks of the entry take, running and waiting.
	slots    int
	lostAt   time.Time
	orphaned bool
	// reportedLoad is the load that the entry was told last, at reportedAt.
	reportedLoad Load
	reportedAt   time.Time
}

// watcher is an entry that recovers a job and waits for the tasks that still run.
type watcher struct {
	entry   hibiscusstate.Incarnation
	request uint64
}

// SlotManagerSeams are the function fields through which a SlotManager acts.
type SlotManagerSeams struct {
	send func(entry hibiscusstate.Incarnation, m Message) bool
	run  func(slot int, order hibiscusstate.Order)
	stop func(slot int, try hibiscusstate.TaskAttempt)
}

// NewSlotManagerSeams returns the seams: send gives a message to an entry's session without blocking, run hands a task to
// the runner of a slot, and stop asks that runner to give up the task.
func NewSlotManagerSeams(
	send func(entry hibiscusstate.Incarnation, m Message) bool,
	run func(slot int, order hibiscusstate.Order),
	stop func(slot int, try hibiscusstate.TaskAttempt),
) SlotManagerSeams {
	return SlotManagerSeams{send: send, run: run, stop: stop}
}

// NewSlotManager returns the decisions of the agent with the given incarnation, without an endpoint.
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

// SetLogger makes the SlotManager log each decision that touches a task.
func (k *SlotManager) SetLogger(log *slog.Logger) { k.log = log }

// Running returns the number of tasks that the endpoint has.
func (k *SlotManager) Running() int {
	n := 0
	for _, t := range k.slots {
		if t != nil {
			n++
		}
	}
	return n
}

// Waiting returns the number of tasks that wait for a slot.
func (k *SlotManager) Waiting() int { return len(k.waiting) }

// Started returns how many tasks were handed to the endpoint.
func (k *SlotManager) Started() uint64 { return k.started }

// Duplicates returns how many orders were ignored because their task was already taken.
func (k *SlotManager) Duplicates() uint64 { return k.duplicates }

// Leaving says whether the endpoint takes no new work.
func (k *SlotManager) Leaving() bool { return k.leaving }

// Idle says whether no task runs or waits.
func (k *SlotManager) Idle() bool { return k.Running() == 0 && len(k.waiting) == 0 }

// Capacity returns what the endpoint offers to an entry.
func (k *SlotManager) Capacity(entry hibiscusstate.Incarnation) Capacity {
	return NewCapacity(k.service, k.capacity.Slots(), k.leaving, k.entryState(entry).leaseEpoch).WithDrained(k.drained)
}

// SetEndpoint takes an announcement: the service of the endpoint and its room, zero when it is gone.
func (k *SlotManager) SetEndpoint(now time.Time, service string, room hibiscusstate.Resources) {
	if service == k.service && room == k.capacity && !k.leaving {
		return
	}
	k.service = service
	k.capacity = room
	k.leaving = false
	k.broadcastCapacity()
	k.startWaiting(now)
}

// Leave makes the agent reject all orders from now on and gives back what waits; what runs goes on, and so does what waits
// under a sealed key, which no other agent may start.
func (k *SlotManager) Leave() {
	if k.leaving {
		return
	}
	k.leaving = true
	for _, c := range k.entries {
		c.leaveAcknowledged = false
	}
	k.broadcastCapacity()
	for _, t := range slices.Clone(k.waiting) {
		if !k.isPinned(t) {
			k.rejectWaiting(t, hibiscusstate.RejectionLeaving)
		}
	}
	k.flush()
}

// AcknowledgeLeave takes an entry's word that it has sent no order after it learned that the endpoint is leaving.
func (k *SlotManager) AcknowledgeLeave(entry hibiscusstate.Incarnation) {
	k.entryState(entry).leaveAcknowledged = true
}

// LeaveAcknowledged says whether no connected entry may still have an order under way.
func (k *SlotManager) LeaveAcknowledged() bool {
	for _, c := range k.entries {
		if c.connected && !c.leaveAcknowledged {
			return false
		}
	}
	return true
}

// isPinned says whether a waiting task is one that was sealed for a recovery: it runs here or nowhere.
func (k *SlotManager) isPinned(t *hibiscusstate.AgentTask) bool {
	return k.capacity.Slots() > 0 && k.sealed.Has(t.Order().ID().Key())
}

// SetDrained takes an operator's word that the worker is to be out, or back; the entry that passed it on gets an answer
// even when nothing changes.
func (k *SlotManager) SetDrained(entry hibiscusstate.Incarnation, drained bool) {
	if k.drained == drained {
		k.send(entry, NewCapacityMessage(k.Capacity(entry)))
		return
	}
	k.drained = drained
	k.broadcastCapacity()
}

func (k *SlotManager) broadcastCapacity() {
	for id, c := range k.entries {
		if c.connected {
			k.send(id, NewCapacityMessage(k.Capacity(id)))
		}
	}
}

// EntryUp takes an entry whose session has opened.
func (k *SlotManager) EntryUp(now time.Time, entry hibiscusstate.Incarnation) {
	k.RenewLease(now, entry)
	k.entryState(entry).connected = true
	k.entryState(entry).leaveAcknowledged = false
	k.send(entry, NewCapacityMessage(k.Capacity(entry)))
}

// EntryDown takes the loss of an entry's session; its tasks go on.
func (k *SlotManager) EntryDown(now time.Time, entry hibiscusstate.Incarnation) {
	k.entryState(entry).connected = false
	k.entryState(entry).lostAt = now
}

// RenewLease renews the lease of an entry; after a silence past the lease it raises the epoch first, so that orders that were sent
// before the silence are rejected. An order carries the time that is left until its deadline, and a process that was paused
// between its check and its send would have it started late.
func (k *SlotManager) RenewLease(now time.Time, entry hibiscusstate.Incarnation) {
	c := k.entryState(entry)
	if now.Sub(c.lastSeenAt) > entryLeaseDuration {
		c.leaseEpoch++
		if !c.lastSeenAt.IsZero() {
			k.leasesRaised++
		}
	}
	c.lastSeenAt = now
}

// Orders takes tasks from an entry.
func (k *SlotManager) Orders(now time.Time, entry hibiscusstate.Incarnation, orders []hibiscusstate.Order) {
	for _, order := range orders {
		if rejection := k.accept(now, entry, order); rejection != hibiscusstate.RejectionNone {
			k.log.Info("agent: order rejected", "job", order.JobName(), "index", order.ID().Index(), "try", order.Attempt().Number(),
				"entry", entry.String(), "rejection", rejection.String(), "needs", order.Resources().Slots(), "used", k.used.Slots(),
				"room", k.capacity.Slots(), "waiting", len(k.waiting))
			k.reject(entry, order.Attempt(), rejection)
		}
	}
	k.flush()
}

// accept starts an order or lets it wait, and otherwise says why not.
func (k *SlotManager) accept(now time.Time, entry hibiscusstate.Incarnation, order hibiscusstate.Order) hibiscusstate.Rejection {
	known := k.tasks.Get(order.ID())
	if known != nil && order.Restartable() && known.Status() == hibiscusstate.StatusDone &&
		known.Order().Attempt().Number() < order.Attempt().Number() {
		// The entry knows the end of the earlier try and starts the task again.
		k.tasks.Drop(known)
		known = nil
	}
	if known != nil {
		// The task was taken under another try. Whatever the entry believes, it must not start again, and calling it not
		// run would make the entry place it elsewhere.
		k.duplicates++
		return hibiscusstate.RejectionNone
	}
	switch {
	case k.sealed.Has(order.ID().Key()):
		return hibiscusstate.RejectionSealed
	case k.neverReceived.Has(order.Attempt()):
		return hibiscusstate.RejectionDuplicate
	case order.LeaseEpoch() != k.entryState(entry).leaseEpoch:
		return hibiscusstate.RejectionLeaseExpired
	case k.leaving, k.drained:
		return hibiscusstate.RejectionLeaving
	case k.capacity.Slots() == 0:
		return hibiscusstate.RejectionEndpointDown
	case order.Budget() <= 0:
		return hibiscusstate.RejectionExpired
	}
	t := hibiscusstate.NewAgentTask(order, entry, now)
	conflict := k.stopPreviousRun(t)
	if len(k.waiting) == 0 && !conflict && k.fits(t) {
		k.add(t)
		k.start(now, t)
		return hibiscusstate.RejectionNone
	}
	if !conflict && (!order.MayWait() || len(k.waiting) >= maxAgentQueue) {
		return hibiscusstate.RejectionNoFreeSlot
	}
	k.add(t)
	k.waiting = append(k.waiting, t)
	return hibiscusstate.RejectionNone
}

func (k *SlotManager) add(t *hibiscusstate.AgentTask) {
	k.tasks.Add(t)
	k.entryState(t.Entry()).tasks++
	k.entryState(t.Entry()).slots += t.Order().Resources().Slots()
}

// uncount takes a task that no longer runs or waits out of its entry's counts.
func (k *SlotManager) uncount(t *hibiscusstate.AgentTask) {
	k.entryState(t.Entry()).tasks--
	k.entryState(t.Entry()).slots -= t.Order().Resources().Slots()
}

// fits says whether the endpoint has room for a task.
func (k *SlotManager) fits(t *hibiscusstate.AgentTask) bool {
	return k.used.Add(t.Order().Resources()).Within(k.capacity)
}

// freeSlot returns the lowest index of k.slots that no task has; each index has a runner.
func (k *SlotManager) freeSlot() int {
	for i, t := range k.slots {
		if t == nil {
			return i
		}
	}
	k.slots = append(k.slots, nil)
	return len(k.slots) - 1
}

func (k *SlotManager) start(now time.Time, t *hibiscusstate.AgentTask) {
	slot := k.freeSlot()
	k.slots[slot] = t
	k.used = k.used.Add(t.Order().Resources())
	if k.taskSlots == 0 {
		k.taskSlots = t.Order().Resources().Slots()
	}
	k.taskSlots += (t.Order().Resources().Slots() - k.taskSlots) / taskSlotsDivisor
	t.Start(slot, now)
	k.waitTimes.Observe(now.Sub(t.AcceptedAt()))
	k.started++
	left := t.Order().Budget() - now.Sub(t.AcceptedAt())
	k.run(slot, t.Order().WithBudget(left))
}

// Finished takes the result of the task that a slot's runner has ended.
func (k *SlotManager) Finished(now time.Time, slot int, result RunResult) {
	t := k.slots[slot]
	k.slots[slot] = nil
	k.used = k.used.Sub(t.Order().Resources())
	k.uncount(t)
	k.runTimes.Observe(now.Sub(t.StartedAt()))
	k.log.Info("agent: task ended", "job", t.Order().JobName(), "index", t.Order().ID().Index(), "try", t.Order().Attempt().Number(),
		"entry", t.Entry().String(), "outcome", result.outcome.String(), "rejection", result.rejection.String(),
		"waited_ms", t.StartedAt().Sub(t.AcceptedAt()).Milliseconds(), "ran_ms", now.Sub(t.StartedAt()).Milliseconds(),
		"used", k.used.Slots(), "room", k.capacity.Slots())
	if result.rejection != hibiscusstate.RejectionNone {
		k.tasks.Drop(t)
		k.reject(t.Entry(), t.Order().Attempt(), result.rejection)
	} else {
		report := hibiscusstate.NewResult(t.Order().Attempt(), result.outcome, result.output, result.reason, now.Sub(t.StartedAt())).
			WithJob(t.Order().TaskCount(), t.Order().Digest())
		k.outcomes[result.outcome]++
		t.Finish(report, now)
		k.tasks.MarkDone(t, now)
		k.queueReport(t.Entry(), report)
	}
	k.startWaiting(now)
	k.notifyWatchers(t.Order().ID().Key())
	k.flush()
}

func (k *SlotManager) startWaiting(now time.Time) {
	for i := 0; i < len(k.waiting); {
		t := k.waiting[i]
		if !k.fits(t) {
			return
		}
		if k.otherRun(t) != nil {
			i++
			continue
		}
		k.waiting = slices.Delete(k.waiting, i, i+1)
		k.start(now, t)
	}
}

// Tick returns tasks that have waited too long and forgets old records.
func (k *SlotManager) Tick(now time.Time) {
	for i := 0; i < len(k.waiting); {
		t := k.waiting[i]
		if now.Sub(t.AcceptedAt()) < t.Order().WaitLimit() || k.isPinned(t) {
			i++
			continue
		}
		k.rejectWaiting(t, hibiscusstate.RejectionWaitTimeout)
	}
	k.stopOrphans(now)
	k.sendLoad(now)
	k.tasks.Evict(now)
	k.flush()
	for entry, c := range k.entries {
		if !c.connected && c.tasks == 0 && now.Sub(c.lastSeenAt) > entryStateRetention {
			// Should the entry come back, its epochs go on above the ones that it had.
			k.minLeaseEpoch = max(k.minLeaseEpoch, c.leaseEpoch)
			delete(k.entries, entry)
		}
	}
}

// NextTick returns when Tick has something to do.
func (k *SlotManager) NextTick(now time.Time) time.Time {
	k.trackFreeCapacity(now, k.committedSlots())
	next := now.Add(time.Second)
	if due := k.nextLoadDue(); !due.IsZero() && due.Before(next) {
		next = due
	}
	for _, c := range k.entries {
		if due := c.lostAt.Add(orphanTimeout); !c.connected && c.tasks > 0 && due.After(now) && due.Before(next) {
			next = due
		}
	}
	for _, t := range k.waiting {
		due := t.AcceptedAt().Add(t.Order().WaitLimit())
		if due.Before(next) && !k.isPinned(t) {
			next = due
		}
	}
	return next
}

func (k *SlotManager) reject(entry hibiscusstate.Incarnation, try hibiscusstate.TaskAttempt, rejection hibiscusstate.Rejection) {
	k.rejections[rejection]++
	k.queueReport(entry, hibiscusstate.NewRejection(try, rejection))
}

func (k *SlotManager) queueReport(entry hibiscusstate.Incarnation, report hibiscusstate.Report) {
	k.outbox[entry] = append(k.outbox[entry], report)
}

// flush sends the collected reports, with the load as it is after all of them.
func (k *SlotManager) flush() {
	total := k.committedSlots()
	for entry, reports := range k.outbox {
		c := k.entryState(entry)
		for i := range reports {
			reports[i] = reports[i].WithLoad(total-c.slots, len(k.waiting), c.leaseEpoch)
		}
		c.reportedLoad = NewLoad(total-c.slots, len(k.waiting))
		k.send(entry, NewReportsMessage(reports))
		delete(k.outbox, entry)
	}
}

func (k *SlotManager) entryState(entry hibiscusstate.Incarnation) *entryState {
	c := k.entries[entry]
	if c == nil {
		c = &entryState{leaseEpoch: k.minLeaseEpoch}
		k.entries[entry] = c
	}
	return c
}

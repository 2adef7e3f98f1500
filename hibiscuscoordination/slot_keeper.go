package hibiscuscoordination

import (
	"log/slog"
	"slices"
	"time"

	"hibiscusrouter/hibiscusstate"
)

// The SlotKeeper holds every decision of an agent. It is the one authority for the room of its endpoint: entries place
// tasks by views that may be late, and the keeper starts, holds or rejects each of them. A rejection always means that the
// task was not run, because nothing is rejected after it was handed to a runner. A task takes its room from its start until
// its runner has reported the end, so that what is being stopped still counts.

const (
	// leaseTime is how long an entry may be silent before orders that it sent earlier are rejected.
	leaseTime = 2 * time.Second
	// doneRetention and maxDoneBytes bound the results that are kept for recovery.
	doneRetention = 2 * time.Minute
	maxDoneBytes  = 32 << 20
	// maxTombstones bounds the sealed keys and the settled tries that are remembered.
	maxTombstones = 100_000
	// clientRetention is how long an entry without session and tasks is remembered; it is longer than any entry needs to
	// open a session again.
	clientRetention = time.Minute
)

// SlotKeeper decides for one agent.
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
	// unit is how many slots a task usually takes; an endpoint with fewer free ones counts as full.
	unit int
	// roomSince is since when there is room for a usual task, zero while there is none.
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

// client is an entry as the agent knows it.
type client struct {
	lease     uint64
	heardAt   time.Time
	connected bool
	// acknowledged says that the entry has sent no order after it learned that the endpoint is leaving.
	acknowledged bool
	tasks        int
	// slots is how many slots the tasks of the entry take, running and waiting.
	slots    int
	lostAt   time.Time
	orphaned bool
	// told is the load that the entry was told last, at toldAt.
	told   Load
	toldAt time.Time
}

// watcher is an entry that recovers a job and waits for the tasks that still run.
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

// NewSlotKeeperSeams returns the seams: send gives a message to an entry's session without blocking, run hands a task to
// the runner of a slot, and stop asks that runner to give up the task.
func NewSlotKeeperSeams(
	send func(entry hibiscusstate.Incarnation, m Message) bool,
	run func(slot int, order hibiscusstate.Order),
	stop func(slot int, try hibiscusstate.TaskTry),
) SlotKeeperSeams {
	return SlotKeeperSeams{send: send, run: run, stop: stop}
}

// NewSlotKeeper returns the decisions of the agent with the given incarnation, without an endpoint.
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

// LogTo makes the SlotKeeper log each decision that touches a task.
func (k *SlotKeeper) LogTo(log *slog.Logger) { k.log = log }

// Running returns the number of tasks that the endpoint has.
func (k *SlotKeeper) Running() int {
	n := 0
	for _, t := range k.slots {
		if t != nil {
			n++
		}
	}
	return n
}

// Waiting returns the number of tasks that wait for a slot.
func (k *SlotKeeper) Waiting() int { return len(k.waiting) }

// Started returns how many tasks were handed to the endpoint.
func (k *SlotKeeper) Started() uint64 { return k.started }

// Duplicates returns how many orders were ignored because their task was already taken.
func (k *SlotKeeper) Duplicates() uint64 { return k.duplicates }

// Leaving says whether the endpoint takes no new work.
func (k *SlotKeeper) Leaving() bool { return k.leaving }

// Idle says whether no task runs or waits.
func (k *SlotKeeper) Idle() bool { return k.Running() == 0 && len(k.waiting) == 0 }

// Capacity returns what the endpoint offers to an entry.
func (k *SlotKeeper) Capacity(entry hibiscusstate.Incarnation) Capacity {
	return NewCapacity(k.service, k.limit.Slots(), k.leaving, k.client(entry).lease).WithDrained(k.drained)
}

// SetEndpoint takes an announcement: the service of the endpoint and its room, zero when it is gone.
func (k *SlotKeeper) SetEndpoint(now time.Time, service string, room hibiscusstate.Room) {
	if service == k.service && room == k.limit && !k.leaving {
		return
	}
	k.service = service
	k.limit = room
	k.leaving = false
	k.announce()
	k.startWaiting(now)
}

// Leave makes the agent reject all orders from now on and gives back what waits; what runs goes on, and so does what waits
// under a sealed key, which no other agent may start.
func (k *SlotKeeper) Leave() {
	if k.leaving {
		return
	}
	k.leaving = true
	for _, c := range k.entries {
		c.acknowledged = false
	}
	k.announce()
	for _, t := range slices.Clone(k.waiting) {
		if !k.mustStay(t) {
			k.returnWaiting(t, hibiscusstate.RejectionLeaving)
		}
	}
	k.flush()
}

// Acknowledge takes an entry's word that it has sent no order after it learned that the endpoint is leaving.
func (k *SlotKeeper) Acknowledge(entry hibiscusstate.Incarnation) {
	k.client(entry).acknowledged = true
}

// Acknowledged says whether no connected entry may still have an order under way.
func (k *SlotKeeper) Acknowledged() bool {
	for _, c := range k.entries {
		if c.connected && !c.acknowledged {
			return false
		}
	}
	return true
}

// mustStay says whether a waiting task is one that was sealed for a recovery: it runs here or nowhere.
func (k *SlotKeeper) mustStay(t *hibiscusstate.AgentTask) bool {
	return k.limit.Slots() > 0 && k.sealed.Has(t.Order().ID().Key())
}

// SetDrained takes an operator's word that the worker is to be out, or back; the entry that passed it on gets an answer
// even when nothing changes.
func (k *SlotKeeper) SetDrained(entry hibiscusstate.Incarnation, drained bool) {
	if k.drained == drained {
		k.send(entry, NewCapacityMessage(k.Capacity(entry)))
		return
	}
	k.drained = drained
	k.announce()
}

func (k *SlotKeeper) announce() {
	for id, c := range k.entries {
		if c.connected {
			k.send(id, NewCapacityMessage(k.Capacity(id)))
		}
	}
}

// EntryUp takes an entry whose session has opened.
func (k *SlotKeeper) EntryUp(now time.Time, entry hibiscusstate.Incarnation) {
	k.Hear(now, entry)
	k.client(entry).connected = true
	k.client(entry).acknowledged = false
	k.send(entry, NewCapacityMessage(k.Capacity(entry)))
}

// EntryDown takes the loss of an entry's session; its tasks go on.
func (k *SlotKeeper) EntryDown(now time.Time, entry hibiscusstate.Incarnation) {
	k.client(entry).connected = false
	k.client(entry).lostAt = now
}

// Hear renews the lease of an entry; after a silence past the lease it raises the epoch first, so that orders that were sent
// before the silence are rejected. An order carries the time that is left until its deadline, and a process that was paused
// between its check and its send would have it started late.
func (k *SlotKeeper) Hear(now time.Time, entry hibiscusstate.Incarnation) {
	c := k.client(entry)
	if now.Sub(c.heardAt) > leaseTime {
		c.lease++
		if !c.heardAt.IsZero() {
			k.leases++
		}
	}
	c.heardAt = now
}

// Orders takes tasks from an entry.
func (k *SlotKeeper) Orders(now time.Time, entry hibiscusstate.Incarnation, orders []hibiscusstate.Order) {
	for _, order := range orders {
		if rejection := k.take(now, entry, order); rejection != hibiscusstate.RejectionNone {
			k.log.Info("agent: order rejected", "job", order.JobName(), "index", order.ID().Index(), "try", order.Try().Number(),
				"entry", entry.String(), "rejection", rejection.String(), "needs", order.Room().Slots(), "used", k.used.Slots(),
				"room", k.limit.Slots(), "waiting", len(k.waiting))
			k.reject(entry, order.Try(), rejection)
		}
	}
	k.flush()
}

// take starts an order or lets it wait, and otherwise says why not.
func (k *SlotKeeper) take(now time.Time, entry hibiscusstate.Incarnation, order hibiscusstate.Order) hibiscusstate.Rejection {
	known := k.tasks.Get(order.ID())
	if known != nil && order.Restartable() && known.Status() == hibiscusstate.StatusDone &&
		known.Order().Try().Number() < order.Try().Number() {
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
	case k.settled.Has(order.Try()):
		return hibiscusstate.RejectionDuplicate
	case order.Lease() != k.client(entry).lease:
		return hibiscusstate.RejectionLeaseExpired
	case k.leaving, k.drained:
		return hibiscusstate.RejectionLeaving
	case k.limit.Slots() == 0:
		return hibiscusstate.RejectionEndpointDown
	case order.Budget() <= 0:
		return hibiscusstate.RejectionExpired
	}
	t := hibiscusstate.NewAgentTask(order, entry, now)
	conflict := k.stopFormerRun(t)
	if len(k.waiting) == 0 && !conflict && k.fits(t) {
		k.add(t)
		k.start(now, t)
		return hibiscusstate.RejectionNone
	}
	if !conflict && (!order.MayWait() || len(k.waiting) >= agentWaitPlaces) {
		return hibiscusstate.RejectionNoFreeSlot
	}
	k.add(t)
	k.waiting = append(k.waiting, t)
	return hibiscusstate.RejectionNone
}

func (k *SlotKeeper) add(t *hibiscusstate.AgentTask) {
	k.tasks.Add(t)
	k.client(t.Entry()).tasks++
	k.client(t.Entry()).slots += t.Order().Room().Slots()
}

// leave takes a task that no longer runs or waits out of its entry's counts.
func (k *SlotKeeper) leave(t *hibiscusstate.AgentTask) {
	k.client(t.Entry()).tasks--
	k.client(t.Entry()).slots -= t.Order().Room().Slots()
}

// fits says whether the endpoint has room for a task.
func (k *SlotKeeper) fits(t *hibiscusstate.AgentTask) bool {
	return k.used.Add(t.Order().Room()).Within(k.limit)
}

// freeSlot returns the lowest index of k.slots that no task has; each index has a runner.
func (k *SlotKeeper) freeSlot() int {
	for i, t := range k.slots {
		if t == nil {
			return i
		}
	}
	k.slots = append(k.slots, nil)
	return len(k.slots) - 1
}

func (k *SlotKeeper) start(now time.Time, t *hibiscusstate.AgentTask) {
	slot := k.freeSlot()
	k.slots[slot] = t
	k.used = k.used.Add(t.Order().Room())
	if k.unit == 0 {
		k.unit = t.Order().Room().Slots()
	}
	k.unit += (t.Order().Room().Slots() - k.unit) / unitPart
	t.Start(slot, now)
	k.waitTimes.Observe(now.Sub(t.TakenAt()))
	k.started++
	left := t.Order().Budget() - now.Sub(t.TakenAt())
	k.run(slot, t.Order().WithBudget(left))
}

// Finished takes the result of the task that a slot's runner has ended.
func (k *SlotKeeper) Finished(now time.Time, slot int, result RunResult) {
	t := k.slots[slot]
	k.slots[slot] = nil
	k.used = k.used.Sub(t.Order().Room())
	k.leave(t)
	k.runTimes.Observe(now.Sub(t.StartedAt()))
	k.log.Info("agent: task ended", "job", t.Order().JobName(), "index", t.Order().ID().Index(), "try", t.Order().Try().Number(),
		"entry", t.Entry().String(), "outcome", result.outcome.String(), "rejection", result.rejection.String(),
		"waited_ms", t.StartedAt().Sub(t.TakenAt()).Milliseconds(), "ran_ms", now.Sub(t.StartedAt()).Milliseconds(),
		"used", k.used.Slots(), "room", k.limit.Slots())
	if result.rejection != hibiscusstate.RejectionNone {
		k.tasks.Drop(t)
		k.reject(t.Entry(), t.Order().Try(), result.rejection)
	} else {
		report := hibiscusstate.NewResult(t.Order().Try(), result.outcome, result.output, result.reason, now.Sub(t.StartedAt())).
			WithJob(t.Order().Count(), t.Order().Digest())
		k.outcomes[result.outcome]++
		t.Finish(report, now)
		k.tasks.Done(t, now)
		k.put(t.Entry(), report)
	}
	k.startWaiting(now)
	k.tellWatchers(t.Order().ID().Key())
	k.flush()
}

func (k *SlotKeeper) startWaiting(now time.Time) {
	for i := 0; i < len(k.waiting); {
		t := k.waiting[i]
		if !k.fits(t) {
			return
		}
		if k.sameTask(t) != nil {
			i++
			continue
		}
		k.waiting = slices.Delete(k.waiting, i, i+1)
		k.start(now, t)
	}
}

// Tick returns tasks that have waited too long and forgets old records.
func (k *SlotKeeper) Tick(now time.Time) {
	for i := 0; i < len(k.waiting); {
		t := k.waiting[i]
		if now.Sub(t.TakenAt()) < t.Order().WaitLimit() || k.mustStay(t) {
			i++
			continue
		}
		k.returnWaiting(t, hibiscusstate.RejectionWaitedOut)
	}
	k.stopOrphans(now)
	k.tellLoad(now)
	k.tasks.Evict(now)
	k.flush()
	for entry, c := range k.entries {
		if !c.connected && c.tasks == 0 && now.Sub(c.heardAt) > clientRetention {
			// Should the entry come back, its epochs go on above the ones that it had.
			k.firstLease = max(k.firstLease, c.lease)
			delete(k.entries, entry)
		}
	}
}

// NextTick returns when Tick has something to do.
func (k *SlotKeeper) NextTick(now time.Time) time.Time {
	k.noteRoom(now, k.takenSlots())
	next := now.Add(time.Second)
	if due := k.nextLoad(); !due.IsZero() && due.Before(next) {
		next = due
	}
	for _, c := range k.entries {
		if due := c.lostAt.Add(orphanLimit); !c.connected && c.tasks > 0 && due.After(now) && due.Before(next) {
			next = due
		}
	}
	for _, t := range k.waiting {
		due := t.TakenAt().Add(t.Order().WaitLimit())
		if due.Before(next) && !k.mustStay(t) {
			next = due
		}
	}
	return next
}

func (k *SlotKeeper) reject(entry hibiscusstate.Incarnation, try hibiscusstate.TaskTry, rejection hibiscusstate.Rejection) {
	k.rejections[rejection]++
	k.put(entry, hibiscusstate.NewRejection(try, rejection))
}

func (k *SlotKeeper) put(entry hibiscusstate.Incarnation, report hibiscusstate.Report) {
	k.outbox[entry] = append(k.outbox[entry], report)
}

// flush sends the collected reports, with the load as it is after all of them.
func (k *SlotKeeper) flush() {
	total := k.takenSlots()
	for entry, reports := range k.outbox {
		c := k.client(entry)
		for i := range reports {
			reports[i] = reports[i].WithLoad(total-c.slots, len(k.waiting), c.lease)
		}
		c.told = NewLoad(total-c.slots, len(k.waiting))
		k.send(entry, NewReportsMessage(reports))
		delete(k.outbox, entry)
	}
}

func (k *SlotKeeper) client(entry hibiscusstate.Incarnation) *client {
	c := k.entries[entry]
	if c == nil {
		c = &client{lease: k.firstLease}
		k.entries[entry] = c
	}
	return c
}

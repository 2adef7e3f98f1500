package hibiscuscoordination

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"hibiscusrouter/hibiscusscheduling"
	"hibiscusrouter/hibiscusstate"
)

// Agent is the event loop of an agent process, which owns the SlotManager. Each slot has a runner, a goroutine that sends tasks
// to the endpoint.

// announcementTimeout is how long after its last announcement an endpoint is considered gone; it announces itself every second.
const announcementTimeout = 3 * time.Second

// Agent is safe for concurrent use; its methods queue commands for the event loop.
type Agent struct {
	loop             *eventLoop
	identity         Identity
	manager          *SlotManager
	entries          map[hibiscusstate.Incarnation]*Peer
	members          *memberLists
	runners          []*runner
	configuration    *hibiscusstate.Configuration
	fetch            *configurationFetch
	reports          versionReports
	evacuated        evacuatedDomains
	announcedAt      time.Time
	announced        bool
	stopping         bool
	execute          func(ctx context.Context, order hibiscusstate.Order) RunResult
	log              *slog.Logger
	runnerGoroutines sync.WaitGroup
}

// runner runs the tasks of one slot, one at a time.
type runner struct {
	ring    *hibiscusstate.Ring[hibiscusstate.Order]
	mu      sync.Mutex
	attempt hibiscusstate.TaskAttempt
	cancel  context.CancelCauseFunc
	// stopped is the last attempt whose stop was requested; the request may arrive before the runner has received the task.
	stopped hibiscusstate.TaskAttempt
}

// NewAgent returns the Agent of an agent process; execute sends one task to the endpoint and waits for its result.
func NewAgent(
	identity Identity, execute func(ctx context.Context, order hibiscusstate.Order) RunResult, log *slog.Logger,
) *Agent {
	a := &Agent{
		identity: identity,
		entries:  map[hibiscusstate.Incarnation]*Peer{},
		members:  newMemberLists(),
		fetch:    newConfigurationFetch(identity.incarnation),
		reports:  newVersionReports(agentReportInterval),
		execute:  execute,
		log:      log,
	}
	a.manager = NewSlotManager(identity.incarnation, NewSlotManagerSeams(a.sendToEntry, a.runOnSlot, a.stopSlot))
	a.manager.SetLogger(log)
	a.loop = newEventLoop(a.afterBatch, a.nextWake, log)
	return a
}

// SetClock sets the clock of the event loop; it must be called before Run.
func (a *Agent) SetClock(c *Clock) { a.loop.clock = c }

// SetProcessorTime sets the function that returns the processor time of the process; it must be called before Run.
func (a *Agent) SetProcessorTime(used func() time.Duration) { a.loop.monitor.processorTime = used }

// Run executes the event loop until Stop, and then waits for the runners.
func (a *Agent) Run() {
	a.loop.run()
	for _, r := range a.runners {
		r.ring.Close()
	}
	a.runnerGoroutines.Wait()
}

// Stop ends the event loop after the commands that were queued before.
func (a *Agent) Stop() { a.loop.ring.Close() }

// Announce handles an announcement of the endpoint: its service and its capacity. A process that is stopping ignores it,
// because the endpoint continues to announce itself.
func (a *Agent) Announce(service string, capacity hibiscusstate.Resources) error {
	return a.loop.post(func(now time.Time) {
		if a.stopping {
			return
		}
		a.announced = true
		a.announcedAt = now
		a.manager.SetEndpoint(now, service, capacity)
	})
}

// SetRack sets the rack of the endpoint.
func (a *Agent) SetRack(rack string) error {
	return a.loop.post(func(now time.Time) { a.manager.SetRack(now, rack) })
}

// Leave makes the agent accept no new tasks until the endpoint announces itself again; when it returns, no more accepted tasks
// are handed to runners.
func (a *Agent) Leave() error { return a.LeaveWithNotice(0, 0) }

// LeaveWithNotice is Leave for an endpoint that announced age ago that it would stay for at least remaining from then on, zero for
// unknown. Tasks that end in that time are still accepted for a while.
func (a *Agent) LeaveWithNotice(age, remaining time.Duration) error {
	_, err := runAndWait(a.loop, func(now time.Time) bool {
		a.leave(now, hibiscusscheduling.NewNotice(now.Add(-age), remaining))
		return true
	})
	return err
}

// Drain makes the agent accept no new tasks until the process ends.
func (a *Agent) Drain() error {
	return a.loop.post(func(now time.Time) {
		a.stopping = true
		a.leave(now, hibiscusscheduling.Notice{})
	})
}

// StopAll stops all running tasks and rejects all waiting ones; their entries may place them elsewhere.
func (a *Agent) StopAll() error {
	return a.loop.post(func(time.Time) { a.manager.StopAll() })
}

func (a *Agent) leave(now time.Time, notice hibiscusscheduling.Notice) {
	a.log.Info("agent: endpoint is leaving", "for_short_tasks_ms", notice.Remaining(now).Milliseconds())
	a.announced = false
	a.manager.Leave(now, notice)
}

// Drained reports whether no task runs or waits, and all connected entries have acknowledged that the endpoint is leaving.
func (a *Agent) Drained() bool {
	drained, err := runAndWait(a.loop, func(time.Time) bool { return a.manager.Idle() && a.manager.LeaveAcknowledged() })
	return err != nil || drained
}

// Hello returns the hello of this agent. It offers no slots: the first capacity message does, with the lease epoch of the entry
// at the other end.
func (a *Agent) Hello() Hello {
	hello := NewHello(RoleAgent, a.identity.incarnation, a.identity.address, a.identity.domain, 0, Capacity{})
	current, err := runAndWait(a.loop, func(time.Time) Hello {
		hello.version = a.version()
		return hello.WithEvacuation(a.evacuated.set.Announced())
	})
	if err != nil {
		return hello
	}
	return current
}

// Members returns the entries that this agent has a session to, and those of the member lists.
func (a *Agent) Members() ([]Member, error) {
	return runAndWait(a.loop, func(time.Time) []Member {
		members := slices.Clone(a.members.all())
		for id, p := range a.entries {
			// A connected entry stays a member even if no list has it; otherwise its session would be closed.
			members = append(members, NewMember(id, p.Hello().Address(), p.Hello().Domain(), 0))
		}
		return members
	})
}

// KnownEntries returns the number of entries whose state the agent retains.
func (a *Agent) KnownEntries() (int, error) {
	return runAndWait(a.loop, func(time.Time) int { return len(a.manager.entries) })
}

// PeerUp registers a session that has opened.
func (a *Agent) PeerUp(p *Peer) error {
	return a.loop.post(func(now time.Time) {
		if previous := a.entries[p.Hello().Incarnation()]; previous != nil {
			previous.Close()
		}
		a.entries[p.Hello().Incarnation()] = p
		a.exchangeEvacuation(now, p)
		a.manager.EntryUp(now, p.Hello().Incarnation())
		a.exchangeVersions(now, p)
		a.log.Info("session: peer connected", "role", p.Hello().Role().String(), "address", p.Hello().Address())
	})
}

// PeerMessage handles a message of a session.
func (a *Agent) PeerMessage(p *Peer, m Message) error {
	return a.loop.post(func(now time.Time) { a.peerMessage(now, p, m) })
}

// PeerDown handles the end of a session.
func (a *Agent) PeerDown(p *Peer) error {
	return a.loop.post(func(now time.Time) {
		if a.entries[p.Hello().Incarnation()] != p {
			return
		}
		delete(a.entries, p.Hello().Incarnation())
		a.manager.EntryDown(now, p.Hello().Incarnation())
		a.members.markLost(now, p.Hello().Incarnation())
		a.log.Info("session: peer lost", "role", p.Hello().Role().String(), "address", p.Hello().Address())
	})
}

func (a *Agent) peerMessage(now time.Time, p *Peer, m Message) {
	id := p.Hello().Incarnation()
	if a.entries[id] != p {
		return
	}
	a.manager.RenewLease(now, id)
	a.manager.RenewPermission(now, id, m.EchoedAt())
	switch m.Kind() {
	case MessageOrders:
		a.manager.HandleOrders(now, id, datedOrders(m))
	case MessageStop:
		if len(m.Attempts()) == 0 {
			a.manager.AcknowledgeLeave(id)
		}
		a.manager.Stop(m.Attempts())
	case MessageSettle:
		a.manager.Reconcile(id, m.Attempts())
	case MessageRecover:
		a.manager.Recover(id, m.Request(), m.Key())
	case MessageConfiguration:
		a.configure(now, p, m.Configuration())
	case MessageInForce:
		a.recordReport(now, p, m.Version())
	case MessageFetch:
		answerFetch(p, m.Version(), a.configuration)
	case MessageMembers:
		a.members.apply(id, m)
	case MessageEvacuation:
		a.handleEvacuation(now, p, m.Evacuation())
	case MessageCapacity:
		a.log.Info("agent: drain state set by an operator", "drained", m.Capacity().Drained())
		a.manager.SetDrained(now, id, m.Capacity().Drained())
	case MessageHello, MessagePing, MessagePong:
	case MessageReports, MessageRecovered, MessageForward, MessageForwarded, MessageLoad,
		MessageClaim, MessageClaimed, MessageRelease, MessageCancel, MessageCancelled:
		a.log.Warn("session: unexpected message for an agent", "kind", m.Kind().String())
	}
}

// datedOrders returns the orders of a message with the earliest time at which their entry can have decided on them.
func datedOrders(m Message) []hibiscusstate.Order {
	orders := slices.Clone(m.Orders())
	for i := range orders {
		orders[i] = orders[i].WithDecidedAt(m.DecidedAfter())
	}
	return orders
}

// exchangeVersions reports the version in force to an entry that has connected, and records the one in its hello. An entry that
// restarts while the table is down gets its configuration back from its agents and peers.
func (a *Agent) exchangeVersions(now time.Time, p *Peer) {
	switch {
	case a.configuration == nil:
	case p.Hello().Revision() == 0 && p.Hello().Version() < a.version():
		p.Send(NewConfigurationMessage(a.configuration))
	default:
		p.Send(NewInForceMessage(a.version()))
	}
	a.recordReport(now, p, p.Hello().Version())
}

// configure applies a version that an entry sent if it is higher, and has it reported to the entries; the sender receives the version in
// force in any case.
func (a *Agent) configure(now time.Time, p *Peer, c *hibiscusstate.Configuration) {
	defer func() { p.Send(NewInForceMessage(a.version())) }()
	if a.configuration != nil && c.Version() <= a.configuration.Version() {
		return
	}
	a.configuration = c
	a.fetch.logInForce(a.log, now, c.Version(), p.Hello().Address())
	a.reports.markChanged()
}

func (a *Agent) version() uint64 {
	if a.configuration == nil {
		return 0
	}
	return a.configuration.Version()
}

func (a *Agent) afterBatch(now time.Time) {
	if a.announced && now.Sub(a.announcedAt) > announcementTimeout {
		a.log.Warn("agent: no announcement of the endpoint within the timeout")
		a.announced = false
		a.manager.SetEndpoint(now, a.manager.service, hibiscusstate.Resources{})
	}
	a.manager.Tick(now)
	a.members.expire(now)
	a.fetchConfiguration(now)
	if a.reports.take(now) {
		for _, entry := range a.entries {
			entry.Send(NewInForceMessage(a.version()))
		}
	}
	if a.evacuated.takeResend(now) {
		for _, p := range a.entries {
			a.evacuated.send(now, p)
		}
	}
}

func (a *Agent) nextWake(now time.Time) time.Time {
	next := earliest(earliest(a.manager.NextTick(now), a.fetch.nextDue(now)), a.reports.nextDue())
	return earliest(next, a.evacuated.resendDue)
}

func (a *Agent) sendToEntry(entry hibiscusstate.Incarnation, m Message) bool {
	p := a.entries[entry]
	if p == nil {
		return false
	}
	a.manager.messages++
	return p.Send(a.hideEvacuated(p, m))
}

// runOnSlot hands a task to the idle runner of a slot.
func (a *Agent) runOnSlot(slot int, order hibiscusstate.Order) {
	for len(a.runners) <= slot {
		r := &runner{ring: hibiscusstate.NewRing[hibiscusstate.Order](1)}
		a.runners = append(a.runners, r)
		index := len(a.runners) - 1
		a.runnerGoroutines.Go(func() { a.runSlot(index, r) })
	}
	a.runners[slot].ring.TryPush(order)
}

// runSlot executes the tasks of a runner until its ring is closed.
func (a *Agent) runSlot(slot int, r *runner) {
	for {
		order, err := r.ring.Pop()
		if err != nil {
			return
		}
		result := a.runTask(r, order)
		if a.loop.post(func(now time.Time) { a.manager.Finished(now, slot, result) }) != nil {
			return
		}
	}
}

func (a *Agent) runTask(r *runner, order hibiscusstate.Order) RunResult {
	if order.Budget() <= 0 {
		return NewNotRunResult(hibiscusstate.RejectionExpired)
	}
	if by := order.StartBy(); !by.IsZero() && !a.loop.clock.Now().Before(by) {
		// This process was suspended after it had decided to start the task.
		return NewNotRunResult(hibiscusstate.RejectionLeaseExpired)
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	timed, cancelTimer := context.WithTimeout(ctx, order.Budget())
	r.mu.Lock()
	if r.stopped == order.Attempt() {
		r.mu.Unlock()
		cancelTimer()
		cancel(nil)
		return NewNotRunResult(hibiscusstate.RejectionStopped)
	}
	r.attempt = order.Attempt()
	r.cancel = cancel
	r.mu.Unlock()
	result := a.execute(timed, order)
	cancelTimer()
	r.mu.Lock()
	r.cancel = nil
	r.mu.Unlock()
	cancel(nil)
	return result
}

// errStopRequested is the cause with which a task is cancelled on request.
var errStopRequested = context.Canceled

func (a *Agent) stopSlot(slot int, attempt hibiscusstate.TaskAttempt) {
	r := a.runners[slot]
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = attempt
	if r.cancel != nil && r.attempt == attempt {
		r.cancel(errStopRequested)
	}
}

package hibiscusmeasure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"hibiscusrouter/hibiscuscoordination"
	"hibiscusrouter/hibiscusstate"
)

// The fleet runs the production decisions: a Dispatcher for each entry and a SlotManager for each worker. It simulates their event
// loops (a tick and a flush after each message), the links and the endpoints.

// pingInterval is the interval between pings of an idle session, which renew the lease; pings are not counted as messages.
const pingInterval = time.Second

type fleet struct {
	trial   *trial
	rng     *rand.Rand
	entries []*fakeEntry
	agents  []*fakeAgent
	byID    map[hibiscusstate.Incarnation]int
	orders  map[hibiscusstate.TaskAttempt]*orderMessage
	sent    int
	useful  int
}

// fakeEntry is an entry process.
type fakeEntry struct {
	id         hibiscusstate.Incarnation
	dispatcher *hibiscuscoordination.Dispatcher
	lane       int
	wakeAt     time.Time
	down       []link
}

// fakeAgent is an agent process with its endpoint.
type fakeAgent struct {
	id          hibiscusstate.Incarnation
	slotManager *hibiscuscoordination.SlotManager
	lane        int
	wakeAt      time.Time
	slots       []*fakeSlot
	up          []link
}

// fakeSlot is one slot of an endpoint; generation distinguishes a task from earlier tasks of the slot.
type fakeSlot struct {
	generation int
	id         hibiscusstate.TaskID
	run        *run
}

// link is one direction of the connection between an entry and a worker; the events of its messages have its lane.
type link struct {
	lane    int
	latency time.Duration
}

// orderMessage is an orders message; it is useful once one of its tasks was started.
type orderMessage struct {
	useful bool
}

// newFleet creates the processes of a deployment and connects them.
func newFleet(t *trial, seed uint64) *fleet {
	f := &fleet{
		trial: t, rng: rand.New(rand.NewPCG(seed, 3)), byID: map[hibiscusstate.Incarnation]int{},
		orders: map[hibiscusstate.TaskAttempt]*orderMessage{},
	}
	for i := range t.deployment.entries {
		f.addEntry(i)
	}
	for i := range t.deployment.workerSlots {
		f.addAgent(i)
	}
	ids := make([]hibiscusstate.Incarnation, len(f.entries))
	for i, e := range f.entries {
		ids[i] = e.id
	}
	for i, e := range f.entries {
		e.dispatcher.SetEntries(ids)
		e.dispatcher.Configure(t.clock.now, t.deployment.configuration())
		for n, a := range f.agents {
			f.connect(i, n, a)
		}
		f.endEntryBatch(e)
	}
	t.submit = f.submit
	t.wasted = func() int { return f.sent - f.useful }
	return f
}

func (f *fleet) addEntry(i int) {
	e := &fakeEntry{id: hibiscusstate.Incarnation(f.rng.Uint64()), lane: f.trial.clock.lane()}
	jitter := func(d time.Duration) time.Duration { return time.Duration(f.rng.Int64N(int64(max(d, 1)))) }
	e.dispatcher = hibiscuscoordination.NewDispatcher(e.id, hibiscuscoordination.NewDispatcherSeams(
		func(worker hibiscusstate.Incarnation, m hibiscuscoordination.Message) bool {
			f.toAgent(e, f.byID[worker], m)
			return true
		},
		func(hibiscuscoordination.Event) {},
		jitter,
	))
	for n := range f.trial.deployment.workerSlots {
		e.down = append(e.down, link{lane: f.trial.clock.lane(), latency: f.trial.deployment.linkLatency(i, n)})
	}
	f.byID[e.id] = i
	f.entries = append(f.entries, e)
}

func (f *fleet) addAgent(n int) {
	a := &fakeAgent{id: hibiscusstate.Incarnation(f.rng.Uint64()), lane: f.trial.clock.lane()}
	a.slotManager = hibiscuscoordination.NewSlotManager(a.id, hibiscuscoordination.NewSlotManagerSeams(
		func(entry hibiscusstate.Incarnation, m hibiscuscoordination.Message) bool {
			f.toEntry(a, f.byID[entry], m)
			return true
		},
		func(slot int, order hibiscusstate.Order) { f.start(n, slot, order) },
		func(slot int, attempt hibiscusstate.TaskAttempt) { f.stop(n, slot, attempt.ID()) },
	))
	for i := range f.trial.deployment.entries {
		a.up = append(a.up, link{lane: f.trial.clock.lane(), latency: f.trial.deployment.linkLatency(i, n)})
	}
	f.byID[a.id] = n
	f.agents = append(f.agents, a)
	capacity := hibiscusstate.NewResources(f.trial.deployment.workerSlots[n], 0, 0)
	a.slotManager.SetEndpoint(f.trial.clock.now, f.trial.deployment.service, capacity)
}

// connect opens the session between an entry and an agent and schedules its pings.
func (f *fleet) connect(i, n int, a *fakeAgent) {
	e := f.entries[i]
	now := f.trial.clock.now
	e.dispatcher.WorkerUp(now, hibiscuscoordination.NewHello(hibiscuscoordination.RoleAgent, a.id,
		fmt.Sprintf("10.0.2.%d:7200", n+1), fmt.Sprintf("domain-%d", n/workersPerRack%len(f.trial.deployment.entries)),
		1, hibiscuscoordination.Capacity{}))
	a.slotManager.EntryUp(now, e.id)
	var ping func()
	ping = func() {
		a.slotManager.RenewLease(f.trial.clock.now, e.id)
		f.trial.clock.at(f.trial.clock.now.Add(pingInterval), e.down[n].lane, ping)
	}
	f.trial.clock.at(now.Add(pingInterval), e.down[n].lane, ping)
}

// submit simulates the HTTP API of an entry.
func (f *fleet) submit(a *submission, reply func(answer)) {
	e := f.entries[a.job.entry]
	specs := make([]hibiscusstate.TaskSpec, len(a.job.tasks))
	for i, t := range a.job.tasks {
		specs[i] = hibiscusstate.NewTaskSpec(t.kind, a.payload(i), t.declared).WithResources(hibiscusstate.NewResources(max(t.slots, 1), 0, 0))
	}
	unnamed := func(received *hibiscuscoordination.Answer) { reply(answerOf(received)) }
	if a.job.named {
		inSeconds := func(received *hibiscuscoordination.Answer) {
			a := answerOf(received)
			a.retryAfter = a.retryAfter.Truncate(time.Second) + time.Second
			reply(a)
		}
		e.dispatcher.SubmitNamed(f.trial.clock.now, hibiscuscoordination.NewNamedSubmission(
			fmt.Sprint(a.number), a.job.team, f.trial.deployment.service, specs).WithBudget(a.job.budget).WithWait(time.Hour),
			uint64(a.number), inSeconds)
		f.endEntryBatch(e)
		return
	}
	key := e.dispatcher.IssueKeys(1)[0]
	s := hibiscuscoordination.NewSubmission(key, uint64(a.number), a.job.team, f.trial.deployment.service, specs).
		WithBudget(a.job.budget).WithAttempt(a.attemptNumber).WithWait(time.Hour)
	e.dispatcher.Submit(f.trial.clock.now, s, unnamed)
	f.endEntryBatch(e)
}

func answerOf(received *hibiscuscoordination.Answer) answer {
	a := answer{
		refused:    received.Refusal() != hibiscusstate.RefusalNone,
		retryAfter: received.RetryAfter(),
		complete:   received.State() == hibiscusstate.JobComplete,
	}
	for _, t := range received.Tasks() {
		a.outcomes = append(a.outcomes, t.Outcome())
	}
	return a
}

// endEntryBatch does what the event loop of an entry does after each batch of commands.
func (f *fleet) endEntryBatch(e *fakeEntry) {
	now := f.trial.clock.now
	e.dispatcher.Tick(now)
	e.dispatcher.Flush(now)
	next := e.dispatcher.NextTick()
	if e.wakeAt.After(now) && !next.Before(e.wakeAt) {
		return
	}
	e.wakeAt = next
	f.trial.clock.at(next, e.lane, func() {
		if e.wakeAt.Equal(next) {
			f.endEntryBatch(e)
		}
	})
}

// endAgentBatch does what the event loop of an agent does after each batch of commands.
func (f *fleet) endAgentBatch(a *fakeAgent) {
	now := f.trial.clock.now
	a.slotManager.Tick(now)
	next := a.slotManager.NextTick(now)
	if a.wakeAt.After(now) && !next.Before(a.wakeAt) {
		return
	}
	a.wakeAt = next
	f.trial.clock.at(next, a.lane, func() {
		if a.wakeAt.Equal(next) {
			f.endAgentBatch(a)
		}
	})
}

func (f *fleet) toAgent(e *fakeEntry, n int, m hibiscuscoordination.Message) {
	a := f.agents[n]
	f.sent++
	message := &orderMessage{}
	for _, order := range m.Orders() {
		f.orders[order.Attempt()] = message
	}
	f.trial.clock.at(f.trial.clock.now.Add(e.down[n].latency), e.down[n].lane, func() {
		now := f.trial.clock.now
		a.slotManager.RenewLease(now, e.id)
		switch m.Kind() {
		case hibiscuscoordination.MessageOrders:
			a.slotManager.HandleOrders(now, e.id, m.Orders())
		case hibiscuscoordination.MessageStop:
			a.slotManager.Stop(m.Attempts())
		case hibiscuscoordination.MessageSettle:
			a.slotManager.Reconcile(e.id, m.Attempts())
		default:
			panic("unexpected message to an agent: " + m.Kind().String())
		}
		f.endAgentBatch(a)
	})
}

func (f *fleet) toEntry(a *fakeAgent, i int, m hibiscuscoordination.Message) {
	e := f.entries[i]
	switch m.Kind() {
	case hibiscuscoordination.MessageReports:
		f.countReports(m.Reports())
	case hibiscuscoordination.MessageLoad:
		f.sent++
	default:
		// Capacity messages are not part of the cost of a task.
	}
	f.trial.clock.at(f.trial.clock.now.Add(a.up[i].latency), a.up[i].lane, func() {
		now := f.trial.clock.now
		switch m.Kind() {
		case hibiscuscoordination.MessageReports:
			e.dispatcher.HandleReports(now, a.id, m.Reports())
		case hibiscuscoordination.MessageCapacity:
			e.dispatcher.UpdateCapacity(now, a.id, m.Capacity())
		case hibiscuscoordination.MessageLoad:
			e.dispatcher.UpdateLoad(now, a.id, m.Load())
		case hibiscuscoordination.MessagePing:
			f.renewPermission(e, i, a)
		default:
			panic("unexpected message to an entry: " + m.Kind().String())
		}
		f.endEntryBatch(e)
	})
}

// renewPermission answers the ping of an agent whose tasks of named jobs need the permission of their entry.
func (f *fleet) renewPermission(e *fakeEntry, i int, a *fakeAgent) {
	n := f.byID[a.id]
	f.trial.clock.at(f.trial.clock.now.Add(f.entries[i].down[n].latency), e.down[n].lane, func() {
		a.slotManager.RenewPermission(f.trial.clock.now, e.id, time.Time{})
	})
}

// countReports counts a message, and as useful when it contains a result.
func (f *fleet) countReports(reports []hibiscusstate.Report) {
	f.sent++
	for i := range reports {
		if reports[i].Status() == hibiscusstate.StatusDone {
			f.useful++
			return
		}
	}
}

// start simulates the runner and the endpoint; as in the runner, a task is stopped when its budget ends.
func (f *fleet) start(n, slot int, order hibiscusstate.Order) {
	if message := f.orders[order.Attempt()]; !message.useful {
		message.useful = true
		f.useful++
	}
	delete(f.orders, order.Attempt())
	for len(f.agents[n].slots) <= slot {
		f.agents[n].slots = append(f.agents[n].slots, &fakeSlot{})
	}
	s := f.agents[n].slots[slot]
	takes, fails, r := f.trial.endpointStart(n, order.Payload())
	s.generation++
	s.id = order.ID()
	s.run = r
	generation := s.generation
	outcome := hibiscusstate.OutcomeFinished
	switch {
	case fails:
		outcome = hibiscusstate.OutcomeFailed
	case takes > order.Budget():
		takes = order.Budget()
		outcome = hibiscusstate.OutcomeStopped
	}
	f.trial.clock.at(f.trial.clock.now.Add(takes), f.agents[n].lane, func() {
		if s.generation == generation {
			f.finished(n, slot, outcome)
		}
	})
}

func (f *fleet) stop(n, slot int, id hibiscusstate.TaskID) {
	s := f.agents[n].slots[slot]
	generation := s.generation
	f.trial.clock.at(f.trial.clock.now, f.agents[n].lane, func() {
		if s.generation == generation && s.id == id {
			f.finished(n, slot, hibiscusstate.OutcomeStopped)
		}
	})
}

func (f *fleet) finished(n, slot int, outcome hibiscusstate.Outcome) {
	a := f.agents[n]
	now := f.trial.clock.now
	a.slots[slot].generation++
	a.slots[slot].run.endedAt = now
	a.slotManager.Finished(now, slot, hibiscuscoordination.NewRunResult(outcome, nil, ""))
	f.endAgentBatch(a)
}

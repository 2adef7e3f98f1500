package hibiscusmeasure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"hibiscusrouter/hibiscuscoordination"
	"hibiscusrouter/hibiscusstate"
)

// The fleet runs the production decisions: a Dispatcher for each entry and a SlotManager for each worker. It stands in for
// the duties around them (a tick and a flush behind each message) and for the links and endpoints.

// hearInterval is how often an idle session carries a ping, which renews the lease; pings are not counted as messages.
const hearInterval = time.Second

type fleet struct {
	trial   *trial
	rng     *rand.Rand
	entries []*entryFake
	agents  []*agentFake
	byID    map[hibiscusstate.Incarnation]int
	orders  map[hibiscusstate.TaskAttempt]*orderMessage
	sent    int
	useful  int
}

// entryFake is an entry process.
type entryFake struct {
	id         hibiscusstate.Incarnation
	dispatcher *hibiscuscoordination.Dispatcher
	lane       int
	wakeAt     time.Time
	down       []link
}

// agentFake is an agent process with its endpoint.
type agentFake struct {
	id     hibiscusstate.Incarnation
	keeper *hibiscuscoordination.SlotManager
	lane   int
	wakeAt time.Time
	slots  []slotFake
	up     []link
}

// slotFake is one slot of an endpoint; generation tells a task from the one that the slot had before.
type slotFake struct {
	generation int
	id         hibiscusstate.TaskID
	run        *run
}

// link is one direction between an entry and a worker.
type link struct {
	lane    int
	latency time.Duration
}

// orderMessage is an orders message, useful once one of its tasks was started.
type orderMessage struct {
	useful bool
}

// newFleet builds the processes of a deployment and connects them.
func newFleet(t *trial, seed uint64) *fleet {
	f := &fleet{
		trial: t, rng: rand.New(rand.NewPCG(seed, 3)), byID: map[hibiscusstate.Incarnation]int{},
		orders: map[hibiscusstate.TaskAttempt]*orderMessage{},
	}
	for i := range t.deployment.entries {
		f.addEntry(i)
	}
	for i := range workers {
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
		f.afterEntry(e)
	}
	t.submit = f.submit
	t.wasted = func() int { return f.sent - f.useful }
	return f
}

func (f *fleet) addEntry(i int) {
	e := &entryFake{id: hibiscusstate.Incarnation(f.rng.Uint64()), lane: f.trial.clock.lane()}
	jitter := func(d time.Duration) time.Duration { return time.Duration(f.rng.Int64N(int64(max(d, 1)))) }
	e.dispatcher = hibiscuscoordination.NewDispatcher(e.id, hibiscuscoordination.NewDispatcherSeams(
		func(worker hibiscusstate.Incarnation, m hibiscuscoordination.Message) bool {
			f.toAgent(e, f.byID[worker], m)
			return true
		},
		func(hibiscuscoordination.Event) {},
		jitter,
	))
	for n := range workers {
		e.down = append(e.down, link{lane: f.trial.clock.lane(), latency: f.trial.deployment.link(i, n)})
	}
	f.byID[e.id] = i
	f.entries = append(f.entries, e)
}

func (f *fleet) addAgent(n int) {
	a := &agentFake{id: hibiscusstate.Incarnation(f.rng.Uint64()), lane: f.trial.clock.lane(), slots: make([]slotFake, slotsPerWorker)}
	a.keeper = hibiscuscoordination.NewSlotManager(a.id, hibiscuscoordination.NewSlotManagerSeams(
		func(entry hibiscusstate.Incarnation, m hibiscuscoordination.Message) bool {
			f.toEntry(a, f.byID[entry], m)
			return true
		},
		func(slot int, order hibiscusstate.Order) { f.start(n, slot, order) },
		func(slot int, try hibiscusstate.TaskAttempt) { f.stop(n, slot, try.ID()) },
	))
	for i := range f.trial.deployment.entries {
		a.up = append(a.up, link{lane: f.trial.clock.lane(), latency: f.trial.deployment.link(i, n)})
	}
	f.byID[a.id] = n
	f.agents = append(f.agents, a)
	a.keeper.SetEndpoint(f.trial.clock.now, f.trial.deployment.service, hibiscusstate.NewResources(slotsPerWorker, 0, 0))
}

// connect opens the session between an entry and an agent and keeps it alive.
func (f *fleet) connect(i, n int, a *agentFake) {
	e := f.entries[i]
	now := f.trial.clock.now
	e.dispatcher.WorkerUp(now, hibiscuscoordination.NewHello(hibiscuscoordination.RoleAgent, a.id,
		fmt.Sprintf("10.0.2.%d:7200", n+1), fmt.Sprintf("domain-%d", n/workersPerRack%len(f.trial.deployment.entries)),
		1, hibiscuscoordination.Capacity{}))
	a.keeper.EntryUp(now, e.id)
	var hear func()
	hear = func() {
		a.keeper.RenewLease(f.trial.clock.now, e.id)
		f.trial.clock.at(f.trial.clock.now.Add(hearInterval), e.down[n].lane, hear)
	}
	f.trial.clock.at(now.Add(hearInterval), e.down[n].lane, hear)
}

// submit plays the HTTP front end of an entry.
func (f *fleet) submit(a *attempt, reply func(answer)) {
	e := f.entries[a.job.entry]
	specs := make([]hibiscusstate.TaskSpec, len(a.job.tasks))
	for i, t := range a.job.tasks {
		specs[i] = hibiscusstate.NewTaskSpec(t.kind, a.payload(i), t.declared)
	}
	key := e.dispatcher.IssueKeys(1)[0]
	s := hibiscuscoordination.NewSubmission(key, uint64(a.number), a.job.team, f.trial.deployment.service, specs).
		WithBudget(a.job.budget).WithAttempt(a.try).WithWait(time.Hour)
	e.dispatcher.Submit(f.trial.clock.now, s, func(told *hibiscuscoordination.Answer) { reply(answerOf(told)) })
	f.afterEntry(e)
}

func answerOf(told *hibiscuscoordination.Answer) answer {
	a := answer{
		refused:    told.Refusal() != hibiscusstate.RefusalNone,
		retryAfter: told.RetryAfter(),
		complete:   told.State() == hibiscusstate.JobComplete,
	}
	for _, t := range told.Tasks() {
		a.outcomes = append(a.outcomes, t.Outcome())
	}
	return a
}

// afterEntry is what the dispatch duty does behind each batch of commands.
func (f *fleet) afterEntry(e *entryFake) {
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
			f.afterEntry(e)
		}
	})
}

// afterAgent is what the slots duty does behind each batch of commands.
func (f *fleet) afterAgent(a *agentFake) {
	now := f.trial.clock.now
	a.keeper.Tick(now)
	next := a.keeper.NextTick(now)
	if a.wakeAt.After(now) && !next.Before(a.wakeAt) {
		return
	}
	a.wakeAt = next
	f.trial.clock.at(next, a.lane, func() {
		if a.wakeAt.Equal(next) {
			f.afterAgent(a)
		}
	})
}

func (f *fleet) toAgent(e *entryFake, n int, m hibiscuscoordination.Message) {
	a := f.agents[n]
	f.sent++
	message := &orderMessage{}
	for _, order := range m.Orders() {
		f.orders[order.Attempt()] = message
	}
	f.trial.clock.at(f.trial.clock.now.Add(e.down[n].latency), e.down[n].lane, func() {
		now := f.trial.clock.now
		a.keeper.RenewLease(now, e.id)
		switch m.Kind() {
		case hibiscuscoordination.MessageOrders:
			a.keeper.Orders(now, e.id, m.Orders())
		case hibiscuscoordination.MessageStop:
			a.keeper.Stop(m.Attempts())
		case hibiscuscoordination.MessageSettle:
			a.keeper.Reconcile(e.id, m.Attempts())
		default:
			panic("message kind that an agent does not get here: " + m.Kind().String())
		}
		f.afterAgent(a)
	})
}

func (f *fleet) toEntry(a *agentFake, i int, m hibiscuscoordination.Message) {
	e := f.entries[i]
	switch m.Kind() {
	case hibiscuscoordination.MessageReports:
		f.countReports(m.Reports())
	case hibiscuscoordination.MessageLoad:
		f.sent++
	default:
		// Messages about capacity belong to no task.
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
		default:
			panic("message kind that an entry does not get here: " + m.Kind().String())
		}
		f.afterEntry(e)
	})
}

// countReports counts a message as useful when it brings a result.
func (f *fleet) countReports(reports []hibiscusstate.Report) {
	f.sent++
	for i := range reports {
		if reports[i].Status() == hibiscusstate.StatusDone {
			f.useful++
			return
		}
	}
}

// start plays the runner and the endpoint; a task is given up when its budget ends, as the runner does.
func (f *fleet) start(n, slot int, order hibiscusstate.Order) {
	if message := f.orders[order.Attempt()]; !message.useful {
		message.useful = true
		f.useful++
	}
	delete(f.orders, order.Attempt())
	s := &f.agents[n].slots[slot]
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
	s := &f.agents[n].slots[slot]
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
	a.slots[slot].run.to = now
	a.keeper.Finished(now, slot, hibiscuscoordination.NewRunResult(outcome, nil, ""))
	f.afterAgent(a)
}

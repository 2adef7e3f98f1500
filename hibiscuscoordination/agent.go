package hibiscuscoordination

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"hibiscusrouter/hibiscusstate"
)

// Agent is the slots duty of an agent process, with one runner duty for each slot that speaks to the endpoint.

// endpointTimeout is how long an endpoint may be silent before it counts as gone; it announces itself every second.
const endpointTimeout = 3 * time.Second

// Agent is safe for concurrent use; its methods queue commands for the duty.
type Agent struct {
	duty          *duty
	identity      Identity
	keeper        *SlotKeeper
	entries       map[hibiscusstate.Incarnation]*Peer
	members       map[hibiscusstate.Incarnation]Member
	runners       []*runner
	configuration *hibiscusstate.Configuration
	announcedAt   time.Time
	announced     bool
	execute       func(ctx context.Context, order hibiscusstate.Order) RunResult
	log           *slog.Logger
	running       sync.WaitGroup
}

// runner is the duty of one slot.
type runner struct {
	ring   *hibiscusstate.Ring[hibiscusstate.Order]
	mu     sync.Mutex
	id     hibiscusstate.TaskID
	cancel context.CancelCauseFunc
}

// NewAgent returns the duty of an agent process; execute gives one task to the endpoint and waits for its result.
func NewAgent(
	identity Identity, execute func(ctx context.Context, order hibiscusstate.Order) RunResult, log *slog.Logger,
) *Agent {
	a := &Agent{
		identity: identity,
		entries:  map[hibiscusstate.Incarnation]*Peer{},
		members:  map[hibiscusstate.Incarnation]Member{},
		execute:  execute,
		log:      log,
	}
	a.keeper = NewSlotKeeper(identity.incarnation, NewSlotKeeperSeams(a.sendToEntry, a.runOnSlot, a.stopSlot))
	a.duty = newDuty(a.afterBatch, a.nextWake)
	return a
}

// Run executes the duty until Stop.
func (a *Agent) Run() {
	a.duty.run()
	for _, r := range a.runners {
		r.ring.Close()
	}
	a.running.Wait()
}

// Stop ends the duty after the commands that were queued before.
func (a *Agent) Stop() { a.duty.ring.Close() }

// Announce takes an announcement of the endpoint: its service and how many tasks it runs at once.
func (a *Agent) Announce(service string, slots int) error {
	return a.duty.do(func(now time.Time) {
		a.announced = true
		a.announcedAt = now
		a.keeper.SetEndpoint(now, service, slots)
	})
}

// Leave makes the agent take no new work.
func (a *Agent) Leave() error {
	return a.duty.do(func(time.Time) {
		a.log.Info("agent: endpoint is leaving")
		a.announced = false
		a.keeper.Leave()
	})
}

// Idle says whether no task runs or waits.
func (a *Agent) Idle() bool {
	idle, err := ask(a.duty, func(time.Time) bool { return a.keeper.Idle() })
	return err != nil || idle
}

// Hello returns the introduction of this agent. It offers no slots: these come with the lease in the first capacity
// message, which is made for the entry at the other end.
func (a *Agent) Hello() Hello {
	version, _ := ask(a.duty, func(time.Time) uint64 { return a.version() })
	return NewHello(RoleAgent, a.identity.incarnation, a.identity.address, a.identity.domain, version, Capacity{})
}

// Members returns the entries that this agent has heard of.
func (a *Agent) Members() ([]Member, error) {
	return ask(a.duty, func(time.Time) []Member {
		members := make([]Member, 0, len(a.members))
		for _, m := range a.members {
			members = append(members, m)
		}
		return members
	})
}

// PeerUp takes a session that has opened.
func (a *Agent) PeerUp(p *Peer) error {
	return a.duty.do(func(now time.Time) {
		a.entries[p.Hello().Incarnation()] = p
		a.keeper.EntryUp(now, p.Hello().Incarnation())
		a.log.Info("session: peer connected", "role", p.Hello().Role().String(), "address", p.Hello().Address())
	})
}

// PeerMessage takes a message of a session.
func (a *Agent) PeerMessage(p *Peer, m Message) error {
	return a.duty.do(func(now time.Time) { a.peerMessage(now, p, m) })
}

// PeerDown takes the end of a session.
func (a *Agent) PeerDown(p *Peer) error {
	return a.duty.do(func(time.Time) {
		if a.entries[p.Hello().Incarnation()] != p {
			return
		}
		delete(a.entries, p.Hello().Incarnation())
		a.keeper.EntryDown(p.Hello().Incarnation())
		a.log.Info("session: peer lost", "role", p.Hello().Role().String(), "address", p.Hello().Address())
	})
}

func (a *Agent) peerMessage(now time.Time, p *Peer, m Message) {
	id := p.Hello().Incarnation()
	if a.entries[id] != p {
		return
	}
	a.keeper.Hear(now, id)
	switch m.Kind() {
	case MessageOrders:
		a.keeper.Orders(now, id, m.Orders())
	case MessageStop:
		a.keeper.Stop(m.Tries())
	case MessageSettle:
		a.keeper.Settle(id, m.Tries())
	case MessageRecover:
		a.keeper.Recover(id, m.Request(), m.Key())
	case MessageConfiguration:
		a.configure(m.Configuration())
	case MessageMembers:
		for _, member := range m.Members() {
			a.members[member.Incarnation()] = member
		}
	case MessageCapacity:
		a.log.Info("agent: an operator changed the drain", "drained", m.Capacity().Drained())
		a.keeper.SetDrained(id, m.Capacity().Drained())
	case MessageHello, MessagePing, MessagePong:
	case MessageReports, MessageRecovered, MessageForward, MessageForwarded:
		a.log.Warn("session: message not meant for an agent", "kind", m.Kind().String())
	}
}

func (a *Agent) configure(c *hibiscusstate.Configuration) {
	if a.configuration != nil && c.Version() <= a.configuration.Version() {
		return
	}
	a.configuration = c
	a.log.Info("config: version in force", "version", c.Version())
}

func (a *Agent) version() uint64 {
	if a.configuration == nil {
		return 0
	}
	return a.configuration.Version()
}

func (a *Agent) afterBatch(now time.Time) {
	if a.announced && now.Sub(a.announcedAt) > endpointTimeout {
		a.log.Warn("agent: endpoint stopped announcing itself")
		a.announced = false
		a.keeper.SetEndpoint(now, a.keeper.service, 0)
	}
	a.keeper.Tick(now)
}

func (a *Agent) nextWake(now time.Time) time.Time { return a.keeper.NextTick(now) }

func (a *Agent) sendToEntry(entry hibiscusstate.Incarnation, m Message) bool {
	p := a.entries[entry]
	if p != nil {
		a.keeper.messages++
	}
	return p != nil && p.Send(m)
}

// runOnSlot hands a task to the runner of a slot, which is idle.
func (a *Agent) runOnSlot(slot int, order hibiscusstate.Order) {
	for len(a.runners) <= slot {
		r := &runner{ring: hibiscusstate.NewRing[hibiscusstate.Order](1)}
		a.runners = append(a.runners, r)
		index := len(a.runners) - 1
		a.running.Go(func() { a.runSlot(index, r) })
	}
	a.runners[slot].ring.TryPush(order)
}

// runSlot is the runner duty: one task at a time.
func (a *Agent) runSlot(slot int, r *runner) {
	for {
		order, err := r.ring.Pop()
		if err != nil {
			return
		}
		result := a.runTask(r, order)
		if a.duty.do(func(now time.Time) { a.keeper.Finished(now, slot, result) }) != nil {
			return
		}
	}
}

func (a *Agent) runTask(r *runner, order hibiscusstate.Order) RunResult {
	if order.Budget() <= 0 {
		return NewNotRunResult(hibiscusstate.RejectionExpired)
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	timed, cancelTimer := context.WithTimeout(ctx, order.Budget())
	r.mu.Lock()
	r.id = order.ID()
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

// errStopRequested is the cause with which a task is given up on request.
var errStopRequested = context.Canceled

func (a *Agent) stopSlot(slot int, id hibiscusstate.TaskID) {
	r := a.runners[slot]
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancel != nil && r.id == id {
		r.cancel(errStopRequested)
	}
}

// CloseSessions ends all sessions after the messages that were sent before, and waits until that was queued.
func (a *Agent) CloseSessions() {
	closed, err := ask(a.duty, func(time.Time) int {
		for _, p := range a.entries {
			p.Close()
		}
		return len(a.entries)
	})
	if err == nil {
		a.log.Debug("agent: sessions closing", "sessions", closed)
	}
}

package hibiscuscoordination

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"hibiscusrouter/hibiscusstate"
)

// Entry is the dispatch duty of an entry process. It owns the Dispatcher and the sessions, and routes each submission by
// the incarnation in its key: its own ones to the Dispatcher, those of another live entry over the session to it, and those
// of an entry that is gone to a recovery from the agents.

// readyTimeout is how long an entry that has just started may wait for workers before it counts as ready; agents dial a new
// entry within 250 ms of hearing of it.
const readyTimeout = 3 * time.Second

// Entry is safe for concurrent use; its methods queue commands for the duty.
type Entry struct {
	loop         *eventLoop
	identity     Identity
	dispatcher   *Dispatcher
	agents       map[hibiscusstate.Incarnation]*Peer
	peers        map[hibiscusstate.Incarnation][]*Peer
	members      *memberLists
	lostAgents   map[hibiscusstate.Incarnation]lostAgent
	forwards     map[uint64]*pendingForward
	recoveries   map[hibiscusstate.SubmissionKey]*recovery
	drains       map[hibiscusstate.Incarnation]*drainRequest
	lastRequest  uint64
	readyHeld    bool
	configuredAt time.Time
	ready        bool
	event        func(Event)
	log          *slog.Logger
}

// Identity is what a process knows about itself from its settings.
type Identity struct {
	incarnation   hibiscusstate.Incarnation
	address       string
	domain        string
	callerAddress string
}

// NewIdentity returns the identity of one run of a process: its incarnation, where it listens, and its failure domain.
func NewIdentity(incarnation hibiscusstate.Incarnation, address, domain string) Identity {
	return Identity{incarnation: incarnation, address: address, domain: domain}
}

// WithCallerAddress sets where callers and operators reach the process over HTTP.
func (i Identity) WithCallerAddress(address string) Identity {
	i.callerAddress = address
	return i
}

// Incarnation returns the random number that names this run of the process.
func (i Identity) Incarnation() hibiscusstate.Incarnation { return i.incarnation }

// Address returns where the process listens for sessions, host and port.
func (i Identity) Address() string { return i.address }

// Domain returns the failure domain of the process.
func (i Identity) Domain() string { return i.domain }

// NewEntry returns the duty of an entry process; event gets what operators should find in the audit trail.
func NewEntry(identity Identity, event func(Event), log *slog.Logger) *Entry {
	e := &Entry{
		identity:   identity,
		agents:     map[hibiscusstate.Incarnation]*Peer{},
		peers:      map[hibiscusstate.Incarnation][]*Peer{},
		members:    newMemberLists(),
		lostAgents: map[hibiscusstate.Incarnation]lostAgent{},
		forwards:   map[uint64]*pendingForward{},
		recoveries: map[hibiscusstate.SubmissionKey]*recovery{},
		drains:     map[hibiscusstate.Incarnation]*drainRequest{},
		event:      event,
		log:        log,
	}
	e.dispatcher = NewDispatcher(identity.incarnation, NewDispatcherSeams(e.sendToAgent, event, randomPart))
	e.dispatcher.SetLogger(log)
	e.loop = newEventLoop(e.afterBatch, e.nextWake)
	return e
}

// randomPart returns a random duration below d.
func randomPart(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return rand.N(d)
}

// Run executes the duty until Stop.
func (e *Entry) Run() { e.loop.run() }

// Stop ends the duty after the commands that were queued before.
func (e *Entry) Stop() { e.loop.ring.Close() }

// Submit routes a submission, a fetch or a cancellation; reply is called once, on the duty, and must not block.
func (e *Entry) Submit(s *Submission, reply func(*Answer)) error {
	return e.loop.post(func(now time.Time) { e.route(now, s, reply) })
}

// SubmitNamed takes a submission that its client has named; reply is called once, on the duty, and must not block. caller
// names the connection that waits, for Leave.
func (e *Entry) SubmitNamed(s *Submission, caller uint64, reply func(*Answer)) error {
	return e.loop.post(func(now time.Time) { e.dispatcher.SubmitNamed(now, s, caller, reply) })
}

// CallerDisconnected takes the word that a connection no longer waits for a named job.
func (e *Entry) CallerDisconnected(name string, caller uint64) error {
	return e.loop.post(func(now time.Time) { e.dispatcher.CallerDisconnected(now, name, caller) })
}

// Abandon ends all running jobs for a cause and returns their number; what workers have of them is stopped.
func (e *Entry) Abandon(cause string) (int, error) {
	return call(e.loop, func(now time.Time) int { return e.dispatcher.Abandon(now, cause) })
}

// RunningNamed says whether a job of that name is running at this entry.
func (e *Entry) RunningNamed(name string) (bool, error) {
	return call(e.loop, func(time.Time) bool { return e.dispatcher.namedJobs[name] != nil })
}

// IssueKeys returns n fresh submission keys, or ErrStopped.
func (e *Entry) IssueKeys(n int) ([]hibiscusstate.SubmissionKey, error) {
	return call(e.loop, func(time.Time) []hibiscusstate.SubmissionKey { return e.dispatcher.IssueKeys(n) })
}

// Configure puts a configuration in force if it is higher than the present one, and passes it on.
func (e *Entry) Configure(c *hibiscusstate.Configuration) error {
	return e.loop.post(func(now time.Time) { e.configure(now, c) })
}

// Configuration returns the configuration in force, nil before the first.
func (e *Entry) Configuration() (*hibiscusstate.Configuration, error) {
	return call(e.loop, func(time.Time) *hibiscusstate.Configuration { return e.dispatcher.Configuration() })
}

// Ready says whether the entry takes submissions. An entry that has just started waits for the agents of all services for
// a while: callers that the balancer sent earlier would be refused for want of workers.
func (e *Entry) Ready() bool {
	ready, err := call(e.loop, func(now time.Time) bool {
		c := e.dispatcher.Configuration()
		if c == nil || e.readyHeld || e.dispatcher.draining {
			return false
		}
		if !e.ready {
			e.ready = now.Sub(e.configuredAt) >= readyTimeout || !slices.ContainsFunc(c.Document().Services(),
				func(s hibiscusstate.Service) bool { return e.dispatcher.pool(s.Name()).slots == 0 })
		}
		return e.ready
	})
	return err == nil && ready
}

// Drain makes the entry refuse new jobs, for a cause that the audit trail keeps. Named jobs that can be finished before stopBy
// are still taken, none when it is zero.
func (e *Entry) Drain(cause string, stopBy time.Time) error {
	return e.loop.post(func(time.Time) {
		e.dispatcher.Drain(stopBy)
		e.event(NewEvent(hibiscusstate.EventDrainStarted, e.identity.address, cause))
	})
}

// Idle says whether no job is running and no forward or recovery is open.
func (e *Entry) Idle() bool {
	idle, err := call(e.loop, func(time.Time) bool {
		return e.dispatcher.Idle() && len(e.forwards) == 0 && len(e.recoveries) == 0
	})
	return err != nil || idle
}

// Hello returns the introduction of this entry.
func (e *Entry) Hello() Hello {
	version, _ := call(e.loop, func(time.Time) uint64 { return e.version() })
	return NewHello(RoleEntry, e.identity.incarnation, e.identity.address, e.identity.domain, version, Capacity{}).
		WithCallerAddress(e.identity.callerAddress)
}

// PeerUp takes a session that has opened, in the order of its messages.
func (e *Entry) PeerUp(p *Peer) error {
	return e.loop.post(func(now time.Time) { e.peerUp(now, p) })
}

// PeerMessage takes a message of a session.
func (e *Entry) PeerMessage(p *Peer, m Message) error {
	return e.loop.post(func(now time.Time) { e.peerMessage(now, p, m) })
}

// PeerDown takes the end of a session.
func (e *Entry) PeerDown(p *Peer) error {
	return e.loop.post(func(now time.Time) { e.peerDown(now, p) })
}

func (e *Entry) afterBatch(now time.Time) {
	e.dispatcher.Tick(now)
	e.expireForwards(now)
	e.expireRecoveries(now)
	e.members.expire(now)
	e.dispatcher.Flush(now)
}

func (e *Entry) nextWake(time.Time) time.Time { return e.dispatcher.NextTick() }

func (e *Entry) version() uint64 {
	if c := e.dispatcher.Configuration(); c != nil {
		return c.Version()
	}
	return 0
}

func (e *Entry) sendToAgent(worker hibiscusstate.Incarnation, m Message) bool {
	p := e.agents[worker]
	return p != nil && p.Send(m)
}

// route sends a submission to where the record of its key is.
func (e *Entry) route(now time.Time, s *Submission, reply func(*Answer)) {
	owner := s.key.Incarnation()
	if owner == e.identity.incarnation {
		e.routeLocally(now, s, reply)
		return
	}
	e.forward(now, s, reply)
}

func (e *Entry) routeLocally(now time.Time, s *Submission, reply func(*Answer)) {
	withKey := func(a *Answer) {
		if a.Refusal() == hibiscusstate.RefusalNone {
			a = a.WithNextKey(e.dispatcher.IssueKeys(1)[0])
		}
		reply(a)
	}
	if s.cancel {
		e.dispatcher.Cancel(now, s, withKey)
		return
	}
	e.dispatcher.Submit(now, s, withKey)
}

// configure puts a version in force that came from the table or an operator, and pushes it to all who have a lower one.
func (e *Entry) configure(now time.Time, c *hibiscusstate.Configuration) {
	if e.applyConfiguration(now, c) {
		e.pushConfiguration(false)
	}
}

// applyConfiguration puts a version in force when it is higher, and tells the other entries that it is.
func (e *Entry) applyConfiguration(now time.Time, c *hibiscusstate.Configuration) bool {
	if !e.dispatcher.Configure(now, c) {
		return false
	}
	if e.configuredAt.IsZero() {
		e.configuredAt = now
	}
	e.log.Info("config: version in force", "version", c.Version())
	for _, sessions := range e.peers {
		sessions[0].Send(NewInForceMessage(c.Version()))
	}
	return true
}

// broadcast sends a message to all agents, and to each entry once.
func (e *Entry) broadcast(m Message) {
	for _, p := range e.agents {
		p.Send(m)
	}
	for _, sessions := range e.peers {
		sessions[0].Send(m)
	}
}

func (e *Entry) peerUp(now time.Time, p *Peer) {
	hello := p.Hello()
	if c := e.dispatcher.Configuration(); c != nil && hello.Version() < c.Version() {
		p.Send(NewConfigurationMessage(c))
	}
	p.Send(NewMembersMessage(e.memberList()))
	switch hello.Role() {
	case RoleAgent:
		if former := e.agents[hello.Incarnation()]; former != nil {
			former.Close()
		}
		e.agents[hello.Incarnation()] = p
		e.removeLostAgents(hello.Address())
		e.dispatcher.WorkerUp(now, hello)
		e.resumeRecoveries(hello.Incarnation(), p)
	case RoleEntry:
		e.peers[hello.Incarnation()] = append(e.peers[hello.Incarnation()], p)
		if len(e.peers[hello.Incarnation()]) == 1 {
			e.updateEntries()
		}
		e.sendPendingForwards(now, hello.Incarnation())
	}
	e.log.Info("session: peer connected", "role", hello.Role().String(), "address", hello.Address())
}

func (e *Entry) peerDown(now time.Time, p *Peer) {
	hello := p.Hello()
	switch hello.Role() {
	case RoleAgent:
		if e.agents[hello.Incarnation()] != p {
			return
		}
		delete(e.agents, hello.Incarnation())
		e.addLostAgent(now, p)
		e.dispatcher.WorkerDown(now, hello.Incarnation())
		e.answerDrain(hello.Incarnation(), ErrNoAnswer)
		e.markAgentLost(now, hello.Incarnation())
	case RoleEntry:
		e.peers[hello.Incarnation()] = slices.DeleteFunc(e.peers[hello.Incarnation()], func(other *Peer) bool { return other == p })
		if len(e.peers[hello.Incarnation()]) == 0 {
			delete(e.peers, hello.Incarnation())
			e.members.markLost(now, hello.Incarnation())
			e.updateEntries()
		}
		e.resendForwards(now, p)
	}
	e.log.Info("session: peer lost", "role", hello.Role().String(), "address", hello.Address())
}

// updateEntries tells the Dispatcher which entries share the workers, and all others which entries there are.
func (e *Entry) updateEntries() {
	entries := []hibiscusstate.Incarnation{e.identity.incarnation}
	for id := range e.peers {
		entries = append(entries, id)
	}
	e.dispatcher.SetEntries(entries)
	e.broadcast(NewMembersMessage(e.memberList()))
}

func (e *Entry) peerMessage(now time.Time, p *Peer, m Message) {
	id := p.Hello().Incarnation()
	if e.agents[id] != p && !slices.Contains(e.peers[id], p) {
		// A message that was read before its session was replaced; the settlement over the new session covers it.
		return
	}
	switch m.Kind() {
	case MessageReports:
		e.dispatcher.HandleReports(now, id, m.Reports())
	case MessageCapacity:
		p.leaving = m.Capacity().Leaving()
		e.dispatcher.UpdateCapacity(now, id, m.Capacity())
		if m.Capacity().Leaving() {
			// An empty stop message behind the last orders tells the agent that no order is under way to it.
			e.dispatcher.Flush(now)
			p.Send(NewStopMessage(nil))
		}
		e.confirmDrain(p, m.Capacity())
	case MessageLoad:
		e.dispatcher.UpdateLoad(now, id, m.Load())
	case MessageRecovered:
		e.handleRecovered(now, id, m)
	case MessageForward:
		e.handleForward(now, p, m)
	case MessageForwarded:
		e.handleForwardAnswer(m)
	case MessageConfiguration:
		e.handleConfiguration(now, p, m.Configuration())
	case MessageInForce:
		e.recordVersion(p, m.Version())
	case MessageMembers:
		e.members.set(id, m.Members())
	case MessageHello, MessagePing, MessagePong:
	case MessageOrders, MessageStop, MessageSettle, MessageRecover:
		e.log.Warn("session: message not meant for an entry", "kind", m.Kind().String())
	}
}

func (e *Entry) memberList() []Member {
	members := []Member{
		NewMember(e.identity.incarnation, e.identity.address, e.identity.domain, 0).WithCallerAddress(e.identity.callerAddress),
	}
	for id, sessions := range e.peers {
		hello := sessions[0].Hello()
		members = append(members, NewMember(id, hello.Address(), hello.Domain(), 0).WithCallerAddress(hello.CallerAddress()))
	}
	return members
}

// Members returns the entries that this one knows, itself included.
func (e *Entry) Members() ([]Member, error) {
	return call(e.loop, func(time.Time) []Member {
		members := e.memberList()
		for _, m := range e.members.all() {
			if e.peers[m.Incarnation()] == nil && m.Incarnation() != e.identity.incarnation {
				members = append(members, m)
			}
		}
		return members
	})
}

package hibiscuscoordination

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"hibiscusrouter/hibiscusstate"
)

// Entry is the dispatch duty of an entry process. It owns the Dispatcher and the sessions, and routes each submission by
// the incarnation in its key: its own ones to the Dispatcher, those of another live entry over the session to it, and those
// of an entry that is gone to a recovery from the agents.

// Entry is safe for concurrent use; its methods queue commands for the duty.
type Entry struct {
	duty        *duty
	identity    Identity
	dispatcher  *Dispatcher
	agents      map[hibiscusstate.Incarnation]*Peer
	peers       map[hibiscusstate.Incarnation]*Peer
	members     map[hibiscusstate.Incarnation]Member
	forwards    map[uint64]*forward
	recoveries  map[hibiscusstate.SubmissionKey]*recovery
	drains      map[hibiscusstate.Incarnation]*drainRequest
	lastRequest uint64
	event       func(Event)
	log         *slog.Logger
}

// Identity is what a process knows about itself from its settings.
type Identity struct {
	incarnation hibiscusstate.Incarnation
	address     string
	domain      string
}

// NewIdentity returns the identity of one run of a process: its incarnation, where it listens, and its failure domain.
func NewIdentity(incarnation hibiscusstate.Incarnation, address, domain string) Identity {
	return Identity{incarnation: incarnation, address: address, domain: domain}
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
		peers:      map[hibiscusstate.Incarnation]*Peer{},
		members:    map[hibiscusstate.Incarnation]Member{},
		forwards:   map[uint64]*forward{},
		recoveries: map[hibiscusstate.SubmissionKey]*recovery{},
		drains:     map[hibiscusstate.Incarnation]*drainRequest{},
		event:      event,
		log:        log,
	}
	e.dispatcher = NewDispatcher(identity.incarnation, NewDispatcherSeams(e.sendToAgent, event, randomPart))
	e.duty = newDuty(e.afterBatch, e.nextWake)
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
func (e *Entry) Run() { e.duty.run() }

// Stop ends the duty after the commands that were queued before.
func (e *Entry) Stop() { e.duty.ring.Close() }

// Submit routes a submission, a fetch or a cancellation; reply is called once, on the duty, and must not block.
func (e *Entry) Submit(s *Submission, reply func(*Answer)) error {
	return e.duty.do(func(now time.Time) { e.route(now, s, reply) })
}

// IssueKeys returns n fresh submission keys, or ErrStopped.
func (e *Entry) IssueKeys(n int) ([]hibiscusstate.SubmissionKey, error) {
	return ask(e.duty, func(time.Time) []hibiscusstate.SubmissionKey { return e.dispatcher.IssueKeys(n) })
}

// Configure puts a configuration in force if it is higher than the present one, and passes it on.
func (e *Entry) Configure(c *hibiscusstate.Configuration) error {
	return e.duty.do(func(now time.Time) { e.configure(now, c) })
}

// Configuration returns the configuration in force, nil before the first.
func (e *Entry) Configuration() (*hibiscusstate.Configuration, error) {
	return ask(e.duty, func(time.Time) *hibiscusstate.Configuration { return e.dispatcher.Configuration() })
}

// Ready says whether the entry takes submissions.
func (e *Entry) Ready() bool {
	ready, err := ask(e.duty, func(time.Time) bool {
		return e.dispatcher.Configuration() != nil && !e.dispatcher.draining
	})
	return err == nil && ready
}

// Drain makes the entry refuse new jobs, for a cause that the audit trail keeps.
func (e *Entry) Drain(cause string) error {
	return e.duty.do(func(time.Time) {
		e.dispatcher.Drain()
		e.event(NewEvent(hibiscusstate.EventDrainStarted, e.identity.address, cause))
	})
}

// Idle says whether no job is running and no forward or recovery is open.
func (e *Entry) Idle() bool {
	idle, err := ask(e.duty, func(time.Time) bool {
		return e.dispatcher.Idle() && len(e.forwards) == 0 && len(e.recoveries) == 0
	})
	return err != nil || idle
}

// Hello returns the introduction of this entry.
func (e *Entry) Hello() Hello {
	version, _ := ask(e.duty, func(time.Time) uint64 { return e.version() })
	return NewHello(RoleEntry, e.identity.incarnation, e.identity.address, e.identity.domain, version, Capacity{})
}

// PeerUp takes a session that has opened, in the order of its messages.
func (e *Entry) PeerUp(p *Peer) error {
	return e.duty.do(func(now time.Time) { e.peerUp(now, p) })
}

// PeerMessage takes a message of a session.
func (e *Entry) PeerMessage(p *Peer, m Message) error {
	return e.duty.do(func(now time.Time) { e.peerMessage(now, p, m) })
}

// PeerDown takes the end of a session.
func (e *Entry) PeerDown(p *Peer) error {
	return e.duty.do(func(now time.Time) { e.peerDown(now, p) })
}

func (e *Entry) afterBatch(now time.Time) {
	e.dispatcher.Tick(now)
	e.expireRecoveries(now)
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
		e.routeHere(now, s, reply)
		return
	}
	if p := e.peers[owner]; p != nil {
		e.forward(now, p, s, reply)
		return
	}
	e.recover(now, s, reply)
}

func (e *Entry) routeHere(now time.Time, s *Submission, reply func(*Answer)) {
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

func (e *Entry) configure(now time.Time, c *hibiscusstate.Configuration) {
	if !e.dispatcher.Configure(now, c) {
		return
	}
	e.log.Info("config: version in force", "version", c.Version())
	for _, p := range e.agents {
		p.Send(NewConfigurationMessage(c))
	}
	for _, p := range e.peers {
		p.Send(NewConfigurationMessage(c))
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
		e.agents[hello.Incarnation()] = p
		e.dispatcher.WorkerUp(now, hello)
	case RoleEntry:
		e.peers[hello.Incarnation()] = p
		e.updateEntries()
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
		e.dispatcher.WorkerDown(now, hello.Incarnation())
		e.answerDrain(hello.Incarnation(), ErrNoAnswer)
		e.recoveryLost(now, hello.Incarnation())
	case RoleEntry:
		if e.peers[hello.Incarnation()] != p {
			return
		}
		delete(e.peers, hello.Incarnation())
		e.updateEntries()
		e.forwardsLost(now, p)
	}
	e.log.Info("session: peer lost", "role", hello.Role().String(), "address", hello.Address())
}

// updateEntries tells the Dispatcher which entries share the workers.
func (e *Entry) updateEntries() {
	entries := []hibiscusstate.Incarnation{e.identity.incarnation}
	for id := range e.peers {
		entries = append(entries, id)
	}
	e.dispatcher.SetEntries(entries)
}

func (e *Entry) peerMessage(now time.Time, p *Peer, m Message) {
	id := p.Hello().Incarnation()
	if e.agents[id] != p && e.peers[id] != p {
		// A message that was read before its session was replaced; the settlement over the new session covers it.
		return
	}
	switch m.Kind() {
	case MessageReports:
		e.dispatcher.Reports(now, id, m.Reports())
	case MessageCapacity:
		e.dispatcher.Capacity(now, id, m.Capacity())
		e.confirmDrain(p, m.Capacity())
	case MessageRecovered:
		e.recovered(now, id, m)
	case MessageForward:
		e.forwarded(now, p, m)
	case MessageForwarded:
		e.forwardAnswered(m)
	case MessageConfiguration:
		e.configure(now, m.Configuration())
	case MessageMembers:
		e.learnMembers(m.Members())
	case MessageHello, MessagePing, MessagePong:
	case MessageOrders, MessageStop, MessageSettle, MessageRecover:
		e.log.Warn("session: message not meant for an entry", "kind", m.Kind().String())
	}
}

// learnMembers remembers entries that the membership duty should connect to.
func (e *Entry) learnMembers(members []Member) {
	for _, m := range members {
		e.members[m.Incarnation()] = m
	}
}

func (e *Entry) memberList() []Member {
	members := []Member{NewMember(e.identity.incarnation, e.identity.address, e.identity.domain, 0)}
	for _, p := range e.peers {
		members = append(members, NewMember(p.Hello().Incarnation(), p.Hello().Address(), p.Hello().Domain(), 0))
	}
	return members
}

// Members returns the entries that this one knows, itself included.
func (e *Entry) Members() ([]Member, error) {
	return ask(e.duty, func(time.Time) []Member {
		members := e.memberList()
		for id, m := range e.members {
			if e.peers[id] == nil && id != e.identity.incarnation {
				members = append(members, m)
			}
		}
		return members
	})
}

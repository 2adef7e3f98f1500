package hibiscuscoordination

import (
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"hibiscusrouter/hibiscusstate"
)

// Entry is the event loop of an entry process. It owns the Dispatcher and the sessions, and routes each submission by the
// incarnation in its key: its own ones to the Dispatcher, those of another running entry over the session to it, and those of
// an entry that has stopped to a recovery from the agents.

// readyTimeout is how long an entry waits for workers after its first configuration before it is ready without them; agents dial a
// new entry within 250 ms of its appearance in a member list.
const readyTimeout = 3 * time.Second

// Entry is safe for concurrent use; its methods queue commands for the event loop.
type Entry struct {
	loop         *eventLoop
	identity     Identity
	dispatcher   *Dispatcher
	agents       map[hibiscusstate.Incarnation]*Peer
	peers        map[hibiscusstate.Incarnation][]*Peer
	members      *memberLists
	announcer    memberAnnouncer
	lostAgents   map[hibiscusstate.Incarnation]lostAgent
	fetch        *configurationFetch
	reports      versionReports
	evacuated    evacuatedDomains
	forwards     map[uint64]*pendingForward
	recoveries   map[hibiscusstate.SubmissionKey]*recovery
	claims       *jobClaims
	cancels      *jobCancellations
	contact      contact
	probedAt     time.Time
	probes       int
	drains       map[hibiscusstate.Incarnation]*drainRequest
	lastRequest  uint64
	readyHeld    bool
	configuredAt time.Time
	ready        bool
	event        func(Event)
	log          *slog.Logger
}

// Identity is the identity of one run of a process: its incarnation, addresses and failure domain.
type Identity struct {
	incarnation   hibiscusstate.Incarnation
	address       string
	domain        string
	callerAddress string
}

// NewIdentity returns an identity; address is the host and port where the process listens for sessions.
func NewIdentity(incarnation hibiscusstate.Incarnation, address, domain string) Identity {
	return Identity{incarnation: incarnation, address: address, domain: domain}
}

// WithCallerAddress sets the address at which callers and operators reach the process over HTTP.
func (i Identity) WithCallerAddress(address string) Identity {
	i.callerAddress = address
	return i
}

// Incarnation returns the random number that identifies this run of the process.
func (i Identity) Incarnation() hibiscusstate.Incarnation { return i.incarnation }

// Address returns the host and port where the process listens for sessions.
func (i Identity) Address() string { return i.address }

// Domain returns the failure domain of the process.
func (i Identity) Domain() string { return i.domain }

// NewEntry returns the Entry of an entry process; event records events for the audit trail.
func NewEntry(identity Identity, event func(Event), log *slog.Logger) *Entry {
	e := &Entry{
		identity:   identity,
		agents:     map[hibiscusstate.Incarnation]*Peer{},
		peers:      map[hibiscusstate.Incarnation][]*Peer{},
		members:    newMemberLists(),
		lostAgents: map[hibiscusstate.Incarnation]lostAgent{},
		fetch:      newConfigurationFetch(identity.incarnation),
		reports:    newVersionReports(entryReportInterval),
		forwards:   map[uint64]*pendingForward{},
		recoveries: map[hibiscusstate.SubmissionKey]*recovery{},
		claims:     newJobClaims(),
		cancels:    newJobCancellations(),
		drains:     map[hibiscusstate.Incarnation]*drainRequest{},
		event:      event,
		log:        log,
	}
	e.dispatcher = NewDispatcher(identity.incarnation, NewDispatcherSeams(e.sendToAgent, event, randomPart))
	e.dispatcher.SetLogger(log)
	e.loop = newEventLoop(e.afterBatch, e.nextWake, log)
	return e
}

// randomPart returns a random duration below d.
func randomPart(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return rand.N(d)
}

// SetClock sets the clock of the event loop; it must be called before Run.
func (e *Entry) SetClock(c *Clock) { e.loop.clock = c }

// SetProcessorTime sets the function that returns the processor time of the process; it must be called before Run.
func (e *Entry) SetProcessorTime(used func() time.Duration) { e.loop.monitor.processorTime = used }

// SetFarFactor sets how many times as long a task takes outside the rack that it names; it must be called before Run.
func (e *Entry) SetFarFactor(factor float64) { e.dispatcher.SetFarFactor(factor) }

// SetMaxRecordBytes sets the bound of the payloads and results in job records. It must be called before Run.
func (e *Entry) SetMaxRecordBytes(n int) { e.dispatcher.SetMaxRecordBytes(n) }

// Run executes the event loop until Stop.
func (e *Entry) Run() { e.loop.run() }

// Stop ends the event loop after the commands that were queued before.
func (e *Entry) Stop() { e.loop.ring.Close() }

// Submit routes a submission, a fetch or a cancellation; reply is called once, on the event loop, and must not block.
func (e *Entry) Submit(s *Submission, reply func(*Answer)) error {
	return e.loop.post(func(now time.Time) { e.route(now, s, reply) })
}

// SubmitNamed handles a submission that its client has named; reply is called once, on the event loop, and must not block.
// caller identifies the waiting connection for CallerDisconnected.
func (e *Entry) SubmitNamed(s *Submission, caller uint64, reply func(*Answer)) error {
	return e.loop.post(func(now time.Time) { e.submitNamed(now, s, caller, reply) })
}

// CallerDisconnected handles the end of a connection that waited for a named job.
func (e *Entry) CallerDisconnected(name string, caller uint64) error {
	return e.loop.post(func(now time.Time) {
		if !e.dropCaller(name, caller) {
			e.dispatcher.CallerDisconnected(now, name, caller)
		}
	})
}

// Abandon ends all running jobs for a cause, has the workers stop their tasks, and returns the number of jobs. It also answers all
// callers that wait for other processes.
func (e *Entry) Abandon(cause string) (int, error) {
	return runAndWait(e.loop, func(now time.Time) int { return e.abandon(now, cause) })
}

func (e *Entry) abandon(now time.Time, cause string) int {
	for request := range e.claims.claims {
		e.refuseClaim(request, cause)
	}
	e.failCancellations()
	e.abandonForwards(cause)
	return e.dispatcher.Abandon(now, cause)
}

// RunningNamed reports whether a job of that name is running at this entry.
func (e *Entry) RunningNamed(name string) (bool, error) {
	return runAndWait(e.loop, func(time.Time) bool { return e.dispatcher.namedJobs[name] != nil })
}

// IssueKeys returns n fresh submission keys, or ErrStopped.
func (e *Entry) IssueKeys(n int) ([]hibiscusstate.SubmissionKey, error) {
	return runAndWait(e.loop, func(time.Time) []hibiscusstate.SubmissionKey { return e.dispatcher.IssueKeys(n) })
}

// Configure applies a configuration if its version is higher than the one in force, and reports it to the other processes.
func (e *Entry) Configure(c *hibiscusstate.Configuration) error {
	return e.loop.post(func(now time.Time) {
		if e.applyConfiguration(now, c, "table") {
			e.pushConfiguration()
		}
	})
}

// Configuration returns the configuration in force, nil before the first.
func (e *Entry) Configuration() (*hibiscusstate.Configuration, error) {
	return runAndWait(e.loop, func(time.Time) *hibiscusstate.Configuration { return e.dispatcher.Configuration() })
}

// Ready reports whether the load balancer should send submissions to the entry; what is admitted doesn't depend on it. After its
// first configuration, the entry waits up to readyTimeout for agents of all services: otherwise, submissions that are sent
// immediately would be refused because no workers are connected. Then it stays ready until it drains.
func (e *Entry) Ready() bool {
	ready, err := runAndWait(e.loop, func(now time.Time) bool {
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

// Drain makes the entry refuse new jobs, for a cause that is written to the audit trail. Named jobs that can finish before
// stopBy are still accepted, none when it is zero.
func (e *Entry) Drain(cause string, stopBy time.Time) error {
	return e.loop.post(func(time.Time) {
		e.dispatcher.Drain(stopBy)
		e.event(NewEvent(hibiscusstate.EventDrainStarted, e.identity.address, cause))
	})
}

// RefuseJobs makes a draining entry refuse all new jobs and cancellations from now on.
func (e *Entry) RefuseJobs() error {
	return e.loop.post(func(time.Time) { e.dispatcher.Drain(time.Time{}) })
}

// Idle reports whether no job is running and no forward or recovery is pending.
func (e *Entry) Idle() bool {
	idle, err := runAndWait(e.loop, func(time.Time) bool {
		return e.dispatcher.Idle() && len(e.forwards) == 0 && len(e.recoveries) == 0 && len(e.claims.claims) == 0 &&
			len(e.cancels.rounds) == 0
	})
	return err != nil || idle
}

// Hello returns the hello of this entry.
func (e *Entry) Hello() Hello {
	hello := NewHello(RoleEntry, e.identity.incarnation, e.identity.address, e.identity.domain, 0, Capacity{}).
		WithCallerAddress(e.identity.callerAddress)
	current, err := runAndWait(e.loop, func(time.Time) Hello {
		hello.version = e.version()
		return hello.WithEvacuation(e.evacuated.set.Announced())
	})
	if err != nil {
		return hello
	}
	return current
}

// PeerUp registers a session that has opened; it is called before the session's messages are passed to PeerMessage.
func (e *Entry) PeerUp(p *Peer) error {
	return e.loop.post(func(now time.Time) { e.peerUp(now, p) })
}

// PeerMessage handles a message of a session. Pings and pongs matter to the session only.
func (e *Entry) PeerMessage(p *Peer, m Message) error {
	e.contact.observe(e.loop.clock.Now(), m.DecidedAfter())
	if m.Kind() == MessagePing || m.Kind() == MessagePong {
		return nil
	}
	return e.loop.post(func(now time.Time) { e.peerMessage(now, p, m) })
}

// PeerDown handles the end of a session.
func (e *Entry) PeerDown(p *Peer) error {
	return e.loop.post(func(now time.Time) { e.peerDown(now, p) })
}

func (e *Entry) afterBatch(now time.Time) {
	e.dispatcher.Tick(now)
	e.probeContact(now)
	e.expireClaims(now)
	e.sendCancellations()
	e.expireCancellations(now)
	e.expireForwards(now)
	e.expireRecoveries(now)
	e.members.expire(now)
	e.fetchConfiguration(now)
	if e.reports.take(now) {
		e.broadcast(NewInForceMessage(e.version()))
	}
	if e.evacuated.takeResend(now) {
		e.sendEvacuation(now)
	}
	e.announceMembers(now)
	e.dispatcher.Flush(now)
}

// probeContact pings one other process after the other while nothing arrives.
func (e *Entry) probeContact(now time.Time) {
	if now.Sub(e.probedAt) < tickInterval || !e.contact.needsProbe(now) {
		return
	}
	e.probedAt = now
	e.probes++
	if agents := slices.Sorted(maps.Keys(e.agents)); len(agents) > 0 {
		e.agents[agents[e.probes%len(agents)]].Send(NewPingMessage())
	} else if peers := slices.Sorted(maps.Keys(e.peers)); len(peers) > 0 {
		e.peers[peers[e.probes%len(peers)]][0].Send(NewPingMessage())
	}
}

func (e *Entry) nextWake(now time.Time) time.Time {
	next := earliest(earliest(e.dispatcher.NextTick(), e.fetch.nextDue(now)), earliest(e.announcer.nextDue(), e.reports.nextDue()))
	return earliest(earliest(earliest(next, e.nextClaimDue()), e.nextCancellationDue()), e.evacuated.resendDue)
}

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

// route passes a submission to the entry that has the record of its key.
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

// broadcast sends a message to all agents, and once to each entry.
func (e *Entry) broadcast(m Message) {
	e.eachPeer(func(p *Peer) { p.Send(m) })
}

// eachPeer calls f with the session of each agent, and with one session of each entry.
func (e *Entry) eachPeer(f func(*Peer)) {
	for _, p := range e.agents {
		f(p)
	}
	for _, sessions := range e.peers {
		f(sessions[0])
	}
}

func (e *Entry) peerUp(now time.Time, p *Peer) {
	hello := p.Hello()
	e.exchangeVersions(now, p)
	e.evacuated.open(now, p)
	p.Send(NewMembersMessage(e.announcer.list(e.memberList())))
	switch hello.Role() {
	case RoleAgent:
		if previous := e.agents[hello.Incarnation()]; previous != nil {
			previous.Close()
		}
		e.agents[hello.Incarnation()] = p
		e.removeLostAgents(hello.Address())
		e.dispatcher.WorkerUp(now, hello)
		e.resumeRecoveries(hello.Incarnation(), p)
	case RoleEntry:
		e.peers[hello.Incarnation()] = append(e.peers[hello.Incarnation()], p)
		if len(e.peers[hello.Incarnation()]) == 1 {
			e.updateEntries()
			e.entryConnected(now, hello.Incarnation())
			e.announceCancellations(now, hello.Incarnation())
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
		e.dispatcher.WorkerDown(now, hello.Incarnation(), p.lastReceivedAt(now))
		e.answerDrain(hello.Incarnation(), ErrNoAnswer)
		e.markAgentLost(now, hello.Incarnation())
	case RoleEntry:
		e.peers[hello.Incarnation()] = slices.DeleteFunc(e.peers[hello.Incarnation()], func(other *Peer) bool { return other == p })
		if len(e.peers[hello.Incarnation()]) == 0 {
			delete(e.peers, hello.Incarnation())
			e.members.markLost(now, hello.Incarnation())
			e.updateEntries()
			e.entryLost(now, hello.Incarnation())
		} else {
			e.resendCancellations(hello.Incarnation())
			e.evacuated.send(now, e.peers[hello.Incarnation()][0])
		}
		e.resendForwards(now, p)
	}
	e.log.Info("session: peer lost", "role", hello.Role().String(), "address", hello.Address())
}

// updateEntries passes the connected entries to the Dispatcher, which shares the workers with them, and has the change announced.
func (e *Entry) updateEntries() {
	entries := []hibiscusstate.Incarnation{e.identity.incarnation}
	for id := range e.peers {
		entries = append(entries, id)
	}
	e.dispatcher.SetEntries(entries)
	e.announcer.markChanged()
}

func (e *Entry) peerMessage(now time.Time, p *Peer, m Message) {
	id := p.Hello().Incarnation()
	if e.agents[id] != p && !slices.Contains(e.peers[id], p) {
		// The message was read before its session was replaced; the reconciliation over the new session covers it.
		return
	}
	switch m.Kind() {
	case MessageReports:
		e.dispatcher.HandleReports(now, id, m.Reports())
	case MessageCapacity:
		p.leaving = m.Capacity().Leaving()
		e.dispatcher.UpdateCapacity(now, id, m.Capacity())
		if m.Capacity().Leaving() {
			// An empty stop message after the last orders confirms to the agent that no order is in flight.
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
	case MessageClaim:
		e.handleClaim(now, p, m)
	case MessageClaimed:
		e.handleClaimed(now, id, m)
	case MessageRelease:
		e.handleRelease(now, id, m.JobName())
	case MessageCancel:
		e.handleCancel(now, p, m)
	case MessageCancelled:
		e.handleCancelled(id, m)
	case MessageConfiguration:
		e.handleConfiguration(now, p, m.Configuration())
	case MessageInForce:
		e.recordReport(now, p, m.Version())
	case MessageFetch:
		answerFetch(p, m.Version(), e.dispatcher.Configuration())
	case MessageMembers:
		e.members.apply(id, m)
	case MessageEvacuation:
		e.handleEvacuation(now, p, m.Evacuation())
	case MessageHello, MessagePing, MessagePong:
	case MessageOrders, MessageStop, MessageSettle, MessageRecover:
		e.log.Warn("session: unexpected message for an entry", "kind", m.Kind().String())
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

// Members returns this entry, the connected entries, and those of the member lists.
func (e *Entry) Members() ([]Member, error) {
	return runAndWait(e.loop, func(time.Time) []Member {
		members := e.memberList()
		for _, m := range e.members.all() {
			if e.peers[m.Incarnation()] == nil && m.Incarnation() != e.identity.incarnation {
				members = append(members, m)
			}
		}
		return members
	})
}

package hibiscuscoordination

import (
	"time"

	"hibiscusrouter/hibiscusscheduling"
	"hibiscusrouter/hibiscusstate"
)

//go:generate stringer -type=MessageKind,Role -linecomment -output=message_string.go

// The messages between the processes of the system, without their encoding.

// MessageKind is the kind of a message.
type MessageKind int

// The kinds of messages; section 6 of docs/design.md lists who sends which.
const (
	MessageHello         MessageKind = iota // hello
	MessagePing                             // ping
	MessagePong                             // pong
	MessageOrders                           // orders
	MessageReports                          // reports
	MessageStop                             // stop
	MessageSettle                           // settle
	MessageRecover                          // recover
	MessageRecovered                        // recovered
	MessageForward                          // forward
	MessageForwarded                        // forwarded
	MessageConfiguration                    // configuration
	MessageMembers                          // members
	MessageCapacity                         // capacity
	MessageInForce                          // in_force
	MessageLoad                             // load
	MessageFetch                            // fetch
	MessageClaim                            // claim
	MessageClaimed                          // claimed
	MessageRelease                          // release
	MessageCancel                           // cancel
	MessageCancelled                        // cancelled
	MessageEvacuation                       // evacuation
)

// Role is the role of a process.
type Role int

// The roles of processes that hold sessions.
const (
	RoleEntry Role = iota // entry
	RoleAgent             // agent
)

// Hello identifies a process to the other end of a session.
type Hello struct {
	role          Role
	incarnation   hibiscusstate.Incarnation
	address       string
	domain        string
	version       uint64
	capacity      Capacity
	callerAddress string
	revision      int
	evacuation    uint64
}

// ProtocolRevision is the revision of the protocol between processes. From revision 1 on, processes fetch configurations and take
// changes of a member list. Earlier ones wait until they are sent a configuration, take each member list as a whole, and end a session
// at a message that they don't know. From revision 2 on, messages have a Timing,
// and entries answer claims. From revision 3 on, entries handle the cancellation of named jobs, and processes exchange the
// evacuated domains.
const ProtocolRevision = 3

// claimRevision is the first revision in which entries answer claims.
const claimRevision = 2

// NewHello returns a hello; version is that of the configuration in force, zero for none.
func NewHello(role Role, incarnation hibiscusstate.Incarnation, address, domain string, version uint64, capacity Capacity) Hello {
	return Hello{
		role: role, incarnation: incarnation, address: address, domain: domain, version: version, capacity: capacity,
		revision: ProtocolRevision,
	}
}

// WithRevision sets the revision of the protocol that the process speaks.
func (h Hello) WithRevision(revision int) Hello {
	h.revision = revision
	return h
}

// Revision returns the revision of the protocol that the process speaks, zero for processes older than revisions.
func (h Hello) Revision() int { return h.revision }

// WithEvacuation sets the revision of the evacuated domains that the process announces.
func (h Hello) WithEvacuation(revision uint64) Hello {
	h.evacuation = revision
	return h
}

// Evacuation returns the revision of the evacuated domains of the process, zero while none is evacuated.
func (h Hello) Evacuation() uint64 { return h.evacuation }

// WithCallerAddress sets the address at which callers and operators reach the process over HTTP.
func (h Hello) WithCallerAddress(address string) Hello {
	h.callerAddress = address
	return h
}

// CallerAddress returns the address at which callers and operators reach the process over HTTP, empty for an agent.
func (h Hello) CallerAddress() string { return h.callerAddress }

// Role returns the role of the process.
func (h Hello) Role() Role { return h.role }

// Incarnation returns the incarnation of the process.
func (h Hello) Incarnation() hibiscusstate.Incarnation { return h.incarnation }

// Address returns the host and port where the process listens.
func (h Hello) Address() string { return h.address }

// Domain returns the failure domain of the process.
func (h Hello) Domain() string { return h.domain }

// Version returns the configuration version that is in force in the process, zero for none.
func (h Hello) Version() uint64 { return h.version }

// Capacity returns the slots that the agent's endpoint offers.
func (h Hello) Capacity() Capacity { return h.capacity }

// Capacity is the slots that an agent's endpoint offers to one entry, and under which lease epoch.
type Capacity struct {
	service    string
	slots      int
	leaving    bool
	drained    bool
	rack       string
	leaseEpoch uint64
	remaining  time.Duration
	// relativeRunTime is as in Load.
	relativeRunTime float64
}

// NewCapacity returns a capacity; slots is zero while there is no endpoint.
func NewCapacity(service string, slots int, leaving bool, leaseEpoch uint64) Capacity {
	return Capacity{service: service, slots: slots, leaving: leaving, leaseEpoch: leaseEpoch}
}

// Service returns the service of the endpoint, empty while there is none.
func (c Capacity) Service() string { return c.service }

// Slots returns the number of slots of the endpoint.
func (c Capacity) Slots() int { return c.slots }

// Leaving reports whether the endpoint accepts no new tasks.
func (c Capacity) Leaving() bool { return c.leaving }

// WithDrained sets whether an operator has drained the worker.
func (c Capacity) WithDrained(drained bool) Capacity {
	c.drained = drained
	return c
}

// WithRemaining sets how long a leaving endpoint stays, during which it takes short tasks.
func (c Capacity) WithRemaining(remaining time.Duration) Capacity {
	c.remaining = remaining
	return c
}

// Remaining returns how long a leaving endpoint stays at least, zero if it takes no tasks any more.
func (c Capacity) Remaining() time.Duration { return c.remaining }

// Drained reports whether an operator has drained the worker; sent by an entry, it requests that state from the agent.
func (c Capacity) Drained() bool { return c.drained }

// WithRack returns the capacity with the rack of the endpoint, empty if unknown.
func (c Capacity) WithRack(rack string) Capacity {
	c.rack = rack
	return c
}

// Rack returns the rack of the endpoint, empty if unknown.
func (c Capacity) Rack() string { return c.rack }

// WithRelativeRunTime returns the capacity with the agent's mean of run time / expected run time at speed 1, zero if unknown.
func (c Capacity) WithRelativeRunTime(ratio float64) Capacity {
	c.relativeRunTime = ratio
	return c
}

// RelativeRunTime returns the agent's mean of run time / expected run time at speed 1, zero if unknown.
func (c Capacity) RelativeRunTime() float64 { return c.relativeRunTime }

// LeaseEpoch returns the lease epoch that the agent grants to the receiving entry.
func (c Capacity) LeaseEpoch() uint64 { return c.leaseEpoch }

// Member is one entry process that others may connect to.
type Member struct {
	incarnation   hibiscusstate.Incarnation
	address       string
	domain        string
	heartbeat     uint64
	callerAddress string
}

// NewMember returns a member; heartbeat is the heartbeat counter of its row in the table.
func NewMember(incarnation hibiscusstate.Incarnation, address, domain string, heartbeat uint64) Member {
	return Member{incarnation: incarnation, address: address, domain: domain, heartbeat: heartbeat}
}

// WithCallerAddress sets the address at which callers and operators reach the entry over HTTP.
func (m Member) WithCallerAddress(address string) Member {
	m.callerAddress = address
	return m
}

// CallerAddress returns the address at which callers and operators reach the entry over HTTP; only connected entries have one.
func (m Member) CallerAddress() string { return m.callerAddress }

// Incarnation returns the incarnation of the entry.
func (m Member) Incarnation() hibiscusstate.Incarnation { return m.incarnation }

// Address returns the host and port where the entry listens for sessions.
func (m Member) Address() string { return m.address }

// Domain returns the failure domain of the entry.
func (m Member) Domain() string { return m.domain }

// Heartbeat returns the heartbeat counter of the entry's row in the table.
func (m Member) Heartbeat() uint64 { return m.heartbeat }

// Message is one message between two processes; the accessors of other kinds return zero values.
type Message struct {
	kind          MessageKind
	hello         Hello
	orders        []hibiscusstate.Order
	reports       []hibiscusstate.Report
	attempts      []hibiscusstate.TaskAttempt
	key           hibiscusstate.SubmissionKey
	request       uint64
	submission    *Submission
	answer        *Answer
	configuration *hibiscusstate.Configuration
	members       []Member
	removed       []hibiscusstate.Incarnation
	changes       bool
	load          Load
	evacuation    hibiscusscheduling.Evacuation
	jobName       string
	budget        time.Duration
	denied        bool
	cancelled     []CancelledJob
	timing        Timing
	decidedAt     time.Time
	echoedAt      time.Time
	decidedAfter  time.Time
}

// NewInForceMessage returns a message that reports the configuration version in force in the sender.
func NewInForceMessage(version uint64) Message {
	return Message{kind: MessageInForce, hello: Hello{version: version}}
}

// NewFetchMessage returns a message that asks for a configuration of at least this version.
func NewFetchMessage(version uint64) Message {
	return Message{kind: MessageFetch, hello: Hello{version: version}}
}

// NewEvacuationMessage returns a message that carries the evacuated domains.
func NewEvacuationMessage(set hibiscusscheduling.Evacuation) Message {
	return Message{kind: MessageEvacuation, evacuation: set}
}

// Evacuation returns the domains of an evacuation message.
func (m Message) Evacuation() hibiscusscheduling.Evacuation { return m.evacuation }

// Load is the load of an agent, as sent to one entry: the slots of other entries' tasks, and the tasks that wait.
type Load struct {
	otherSlots int
	waiting    int
	slowness   float64
	// relativeRunTime is the mean of run time / expected run time at speed 1 over the agent's runs, zero if unknown.
	relativeRunTime float64
}

// NewLoad returns a load: the slots that tasks of other entries take, and the number of tasks that wait at the agent.
func NewLoad(otherSlots, waiting int) Load { return Load{otherSlots: otherSlots, waiting: waiting} }

// WithSlowness returns the load with the agent's median of run time / expected run time, zero if unknown.
func (l Load) WithSlowness(slowness float64) Load {
	l.slowness = slowness
	return l
}

// Slowness returns the agent's median of run time / expected run time, zero if unknown.
func (l Load) Slowness() float64 { return l.slowness }

// WithRelativeRunTime returns the load with the agent's mean of run time / expected run time at speed 1, zero if unknown.
func (l Load) WithRelativeRunTime(ratio float64) Load {
	l.relativeRunTime = ratio
	return l
}

// RelativeRunTime returns the agent's mean of run time / expected run time at speed 1, zero if unknown.
func (l Load) RelativeRunTime() float64 { return l.relativeRunTime }

// OtherSlots returns the slots that tasks of other entries take.
func (l Load) OtherSlots() int { return l.otherSlots }

// Waiting returns the number of tasks that wait at the agent.
func (l Load) Waiting() int { return l.waiting }

// NewLoadMessage returns a message that reports an agent's load to an entry that receives no report with it.
func NewLoadMessage(load Load) Message { return Message{kind: MessageLoad, load: load} }

// Load returns the load of a load message.
func (m Message) Load() Load { return m.load }

// NewHelloMessage returns the first message of a session.
func NewHelloMessage(hello Hello) Message { return Message{kind: MessageHello, hello: hello} }

// NewPingMessage returns a message that requests a pong.
func NewPingMessage() Message { return Message{kind: MessagePing} }

// NewPongMessage returns the answer to a ping.
func NewPongMessage() Message { return Message{kind: MessagePong} }

// NewOrdersMessage returns a message that sends tasks to an agent.
func NewOrdersMessage(orders []hibiscusstate.Order) Message {
	return Message{kind: MessageOrders, orders: orders}
}

// NewReportsMessage returns a message that reports the status of tasks to their entry.
func NewReportsMessage(reports []hibiscusstate.Report) Message {
	return Message{kind: MessageReports, reports: reports}
}

// NewStopMessage returns a message that asks an agent to stop tasks.
func NewStopMessage(attempts []hibiscusstate.TaskAttempt) Message {
	return Message{kind: MessageStop, attempts: attempts}
}

// NewSettleMessage returns a message that asks an agent for the status of tasks that were sent over an earlier session.
func NewSettleMessage(attempts []hibiscusstate.TaskAttempt) Message {
	return Message{kind: MessageSettle, attempts: attempts}
}

// NewRecoverMessage returns a message that seals a key at an agent and asks for the status of all tasks under it.
func NewRecoverMessage(request uint64, key hibiscusstate.SubmissionKey) Message {
	return Message{kind: MessageRecover, request: request, key: key}
}

// NewRecoveredMessage returns the answer to a recover message; further answers follow as unfinished tasks end.
func NewRecoveredMessage(request uint64, key hibiscusstate.SubmissionKey, reports []hibiscusstate.Report) Message {
	return Message{kind: MessageRecovered, request: request, key: key, reports: reports}
}

// NewForwardMessage returns a message that forwards a submission to the entry that issued its key.
func NewForwardMessage(request uint64, submission *Submission) Message {
	return Message{kind: MessageForward, request: request, submission: submission}
}

// NewForwardedMessage returns the answer to a forward message.
func NewForwardedMessage(request uint64, answer *Answer) Message {
	return Message{kind: MessageForwarded, request: request, answer: answer}
}

// NewClaimMessage returns a message that claims a named job, which has this much time until its deadline, at another entry.
func NewClaimMessage(request uint64, jobName string, budget time.Duration) Message {
	return Message{kind: MessageClaim, request: request, jobName: jobName, budget: budget}
}

// NewClaimedMessage returns the answer to a claim, which is denied when the entry or another one has the job.
func NewClaimedMessage(request uint64, denied bool) Message {
	return Message{kind: MessageClaimed, request: request, denied: denied}
}

// NewReleaseMessage returns a message that releases a claimed job.
func NewReleaseMessage(jobName string) Message {
	return Message{kind: MessageRelease, jobName: jobName}
}

// NewCancelMessage returns a message that cancels named jobs at another entry, which confirms it unless request is zero.
func NewCancelMessage(request uint64, jobs []CancelledJob) Message {
	return Message{kind: MessageCancel, request: request, cancelled: jobs}
}

// NewCancelledMessage returns the confirmation of a cancel message with the jobs that the entry had.
func NewCancelledMessage(request uint64, found []CancelledJob) Message {
	return Message{kind: MessageCancelled, request: request, cancelled: found}
}

// NewConfigurationMessage returns a message that carries an accepted configuration.
func NewConfigurationMessage(configuration *hibiscusstate.Configuration) Message {
	return Message{kind: MessageConfiguration, configuration: configuration}
}

// NewMembersMessage returns a message that lists the entries.
func NewMembersMessage(members []Member) Message {
	return Message{kind: MessageMembers, members: members}
}

// NewMemberChangesMessage returns a message that lists the entries that are new or have changed since the last list, and the
// incarnations of those that are gone.
func NewMemberChangesMessage(members []Member, removed []hibiscusstate.Incarnation) Message {
	return Message{kind: MessageMembers, members: members, removed: removed, changes: true}
}

// NewCapacityMessage returns a message that reports the current capacity of an agent's endpoint.
func NewCapacityMessage(capacity Capacity) Message {
	return Message{kind: MessageCapacity, hello: Hello{capacity: capacity}}
}

// Kind returns the kind of the message.
func (m Message) Kind() MessageKind { return m.kind }

// Hello returns the content of a hello message.
func (m Message) Hello() Hello { return m.hello }

// Capacity returns the capacity of a hello or capacity message.
func (m Message) Capacity() Capacity { return m.hello.capacity }

// Version returns the configuration version of a hello, in-force or fetch message.
func (m Message) Version() uint64 { return m.hello.version }

// Orders returns the tasks of an orders message.
func (m Message) Orders() []hibiscusstate.Order { return m.orders }

// Reports returns the reports of a reports or recovered message.
func (m Message) Reports() []hibiscusstate.Report { return m.reports }

// Attempts returns the tasks of a stop or settle message.
func (m Message) Attempts() []hibiscusstate.TaskAttempt { return m.attempts }

// Key returns the submission key of a recover or recovered message.
func (m Message) Key() hibiscusstate.SubmissionKey { return m.key }

// Request returns the number that correlates an answer with its request.
func (m Message) Request() uint64 { return m.request }

// Submission returns the submission of a forward message.
func (m Message) Submission() *Submission { return m.submission }

// Answer returns the answer of a forwarded message.
func (m Message) Answer() *Answer { return m.answer }

// JobName returns the name of the job of a claim or a release.
func (m Message) JobName() string { return m.jobName }

// Budget returns the time until the deadline of a claimed job.
func (m Message) Budget() time.Duration { return m.budget }

// CancelledJobs returns the jobs of a cancel or cancelled message.
func (m Message) CancelledJobs() []CancelledJob { return m.cancelled }

// Denied reports whether a claim was denied.
func (m Message) Denied() bool { return m.denied }

// Configuration returns the configuration of a configuration message.
func (m Message) Configuration() *hibiscusstate.Configuration { return m.configuration }

// Changes reports whether a members message lists only changes.
func (m Message) Changes() bool { return m.changes }

// Removed returns the incarnations of the entries that are gone, of a members message that lists changes.
func (m Message) Removed() []hibiscusstate.Incarnation { return m.removed }

// Members returns the entries of a members message.
func (m Message) Members() []Member { return m.members }

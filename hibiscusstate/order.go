package hibiscusstate

import "time"

// An Order is sent by an entry to an agent and asks it to run a task; a Report is the agent's answer about that task.

//go:generate stringer -type=TaskStatus -linecomment -output=order_string.go

// TaskStatus is the state of a task at an agent.
type TaskStatus int

// The states of a task at an agent.
const (
	StatusNeverReceived TaskStatus = iota // never_received
	StatusWaiting                         // waiting
	StatusRunning                         // running
	StatusDone                            // done
	StatusRejected                        // rejected
)

// Order asks an agent to run one attempt of a task.
type Order struct {
	attempt    TaskAttempt
	taskCount  int
	digest     uint64
	kind       string
	payload    []byte
	budget     time.Duration
	leaseEpoch uint64
	resources  Resources
	expected   time.Duration
	speed      float64
	jobName    string
	mayWait    bool
	waitLimit  time.Duration
	decidedAt  time.Time
	startBy    time.Time
}

// NewOrder returns an order for an attempt of a task of a job with count tasks and the given body digest.
func NewOrder(attempt TaskAttempt, count int, digest uint64, kind string, payload []byte) Order {
	return Order{attempt: attempt, taskCount: count, digest: digest, kind: kind, payload: payload, resources: Resources{slots: 1}}
}

// WithResources returns the order with the resources that the task needs; the default is one slot.
func (o Order) WithResources(resources Resources) Order {
	o.resources = resources
	return o
}

// WithJobName returns the order with the name that the client gave to the job; the task may be run again.
func (o Order) WithJobName(name string) Order {
	o.jobName = name
	return o
}

// WithExpected returns the order with the estimated run time of the task.
func (o Order) WithExpected(expected time.Duration) Order {
	o.expected = expected
	return o
}

// Expected returns the estimated run time of the task, zero for none.
func (o Order) Expected() time.Duration { return o.expected }

// WithSpeed returns the order with the speed of the worker that the estimated run time allows for.
func (o Order) WithSpeed(speed float64) Order {
	o.speed = speed
	return o
}

// Speed returns the speed of the worker that the estimated run time allows for.
func (o Order) Speed() float64 {
	if o.speed == 0 {
		return 1
	}
	return o.speed
}

// JobName returns the name that the client gave to the job, empty for none.
func (o Order) JobName() string { return o.jobName }

// Restartable reports whether the task may be run again after it ended without a result.
func (o Order) Restartable() bool { return o.jobName != "" }

// Resources returns the resources that the task needs.
func (o Order) Resources() Resources { return o.resources }

// WithBudget returns the order with the time left until the job's deadline.
func (o Order) WithBudget(budget time.Duration) Order {
	o.budget = budget
	return o
}

// WithLeaseEpoch returns the order with the lease epoch under which the agent may accept it.
func (o Order) WithLeaseEpoch(epoch uint64) Order {
	o.leaseEpoch = epoch
	return o
}

// WithWait returns the order with permission to wait for a slot, for at most limit.
func (o Order) WithWait(limit time.Duration) Order {
	o.mayWait = limit > 0
	o.waitLimit = limit
	return o
}

// WithDecidedAt returns the order with the earliest time at which its entry can have decided on it, on the agent's clock. The budget
// counts from then.
func (o Order) WithDecidedAt(t time.Time) Order {
	o.decidedAt = t
	return o
}

// DecidedAt returns the earliest time at which the entry can have decided on the order, the zero time if that is unknown.
func (o Order) DecidedAt() time.Time { return o.decidedAt }

// WithStartBy returns the order with the time, on the agent's clock, from which its runner must not start it.
func (o Order) WithStartBy(t time.Time) Order {
	o.startBy = t
	return o
}

// StartBy returns the time from which the runner must not start the task, the zero time for none.
func (o Order) StartBy() time.Time { return o.startBy }

// ID returns the id of the task.
func (o Order) ID() TaskID { return o.attempt.id }

// Attempt returns the attempt that the order is for.
func (o Order) Attempt() TaskAttempt { return o.attempt }

// TaskCount returns the number of tasks of the job.
func (o Order) TaskCount() int { return o.taskCount }

// Digest returns the digest of the job's body.
func (o Order) Digest() uint64 { return o.digest }

// Kind returns the kind of the task.
func (o Order) Kind() string { return o.kind }

// Payload returns the bytes that are sent to the endpoint.
func (o Order) Payload() []byte { return o.payload }

// Budget returns the time left until the deadline when the order was sent.
func (o Order) Budget() time.Duration { return o.budget }

// LeaseEpoch returns the lease epoch of the order.
func (o Order) LeaseEpoch() uint64 { return o.leaseEpoch }

// MayWait reports whether the task may wait at the agent for a slot.
func (o Order) MayWait() bool { return o.mayWait }

// WaitLimit returns the maximum time that the task may wait at the agent.
func (o Order) WaitLimit() time.Duration { return o.waitLimit }

// Report is an agent's report about one task.
type Report struct {
	attempt    TaskAttempt
	status     TaskStatus
	outcome    Outcome
	rejection  Rejection
	output     []byte
	reason     string
	runTime    time.Duration
	taskCount  int
	digest     uint64
	otherSlots int
	waiting    int
	leaseEpoch uint64
	slowness   float64
	// relativeRunTime is the agent's mean of run time / expected run time at speed 1.
	relativeRunTime float64
}

// NewStatusReport returns a report about an attempt that waits or runs, or that the agent never received.
func NewStatusReport(attempt TaskAttempt, status TaskStatus) Report {
	return Report{attempt: attempt, status: status}
}

// NewRejection returns a report about a task that was not run.
func NewRejection(attempt TaskAttempt, rejection Rejection) Report {
	return Report{attempt: attempt, status: StatusRejected, outcome: OutcomeNotRun, rejection: rejection}
}

// NewResult returns a report about a task that was started.
func NewResult(attempt TaskAttempt, outcome Outcome, output []byte, reason string, runTime time.Duration) Report {
	return Report{attempt: attempt, status: StatusDone, outcome: outcome, output: output, reason: reason, runTime: runTime}
}

// WithJob returns the report with the size and the body digest of the task's job.
func (r Report) WithJob(count int, digest uint64) Report {
	r.taskCount = count
	r.digest = digest
	return r
}

// WithLoad returns the report with the agent's load: slots that tasks of other entries take, waiting tasks, and the
// lease epoch.
func (r Report) WithLoad(otherSlots, waiting int, leaseEpoch uint64) Report {
	r.otherSlots = otherSlots
	r.waiting = waiting
	r.leaseEpoch = leaseEpoch
	return r
}

// WithSlowness returns the report with the agent's median of run time / expected run time, zero if unknown.
func (r Report) WithSlowness(slowness float64) Report {
	r.slowness = slowness
	return r
}

// Slowness returns the agent's median of run time / expected run time, zero if unknown.
func (r Report) Slowness() float64 { return r.slowness }

// WithRelativeRunTime returns the report with the agent's mean of run time / expected run time at speed 1, zero if unknown.
func (r Report) WithRelativeRunTime(ratio float64) Report {
	r.relativeRunTime = ratio
	return r
}

// RelativeRunTime returns the agent's mean of run time / expected run time at speed 1, zero if unknown.
func (r Report) RelativeRunTime() float64 { return r.relativeRunTime }

// ID returns the id of the task.
func (r Report) ID() TaskID { return r.attempt.id }

// Attempt returns the attempt that the report is about.
func (r Report) Attempt() TaskAttempt { return r.attempt }

// Status returns the state of the task at the agent.
func (r Report) Status() TaskStatus { return r.status }

// Outcome returns the result of the task, as far as it is known.
func (r Report) Outcome() Outcome { return r.outcome }

// Rejection returns why the task was not accepted.
func (r Report) Rejection() Rejection { return r.rejection }

// Output returns the output of the task.
func (r Report) Output() []byte { return r.output }

// Reason returns why the task failed, in one short sentence.
func (r Report) Reason() string { return r.reason }

// RunTime returns how long the endpoint ran the task.
func (r Report) RunTime() time.Duration { return r.runTime }

// TaskCount returns the number of tasks of the job.
func (r Report) TaskCount() int { return r.taskCount }

// Digest returns the body digest of the job.
func (r Report) Digest() uint64 { return r.digest }

// OtherSlots returns how many slots the tasks of other entries take, running and waiting.
func (r Report) OtherSlots() int { return r.otherSlots }

// Waiting returns how many tasks wait at the agent.
func (r Report) Waiting() int { return r.waiting }

// LeaseEpoch returns the lease epoch that the agent currently grants to the entry.
func (r Report) LeaseEpoch() uint64 { return r.leaseEpoch }

package hibiscusstate

import "time"

// A Job is one submission at the entry that holds its record; a Task is one unit of its work. An outcome is final once it is
// set: later results of the task are ignored, so that repeated and reordered results are harmless.

// TaskPhase is the state of a task in the entry's view.
type TaskPhase int

// The phases of a task at its entry.
const (
	// PhaseQueued means that no agent has the task.
	PhaseQueued TaskPhase = iota
	// PhaseSent means that the task was sent to an agent, so that it may have started.
	PhaseSent
	// PhaseInDoubt means that the session to the agent was lost after the task was sent to it.
	PhaseInDoubt
	// PhaseDone means that the outcome is final.
	PhaseDone
)

// Task is one unit of work of a job.
type Task struct {
	id        TaskID
	job       *Job
	kind      string
	payload   []byte
	declared  time.Duration
	expected  time.Duration
	shortest  time.Duration
	long      bool
	rack      string
	resources Resources

	phase         TaskPhase
	worker        Incarnation
	sentAt        time.Time
	priorAttempts int
	rejections    int
	// failures counts the failed runs; mayHaveRun is set once a run may have begun.
	failures   int
	mayHaveRun bool
	// workBucket is the bucket of the task in the table of its queue if counted is set.
	workBucket int64
	counted    bool
	avoid      Incarnation
	outcome    Outcome
	output     []byte
	reason     string
	runTime    time.Duration
}

// ID returns the task's id.
func (t *Task) ID() TaskID { return t.id }

// Job returns the job that the task belongs to.
func (t *Task) Job() *Job { return t.job }

// Kind returns the name of the task's kind.
func (t *Task) Kind() string { return t.kind }

// Payload returns the bytes that are sent to the endpoint.
func (t *Task) Payload() []byte { return t.payload }

// Declared returns the run time that the caller declared, zero for none.
func (t *Task) Declared() time.Duration { return t.declared }

// Expected returns the estimated run time on a worker of speed 1.
func (t *Task) Expected() time.Duration { return t.expected }

// Long reports whether the estimated run time is much longer than the median of the service.
func (t *Task) Long() bool { return t.long }

// SetExpected sets the estimated run time on a worker of speed 1 and whether that is long for the service.
func (t *Task) SetExpected(expected time.Duration, long bool) {
	t.expected = expected
	t.shortest = expected
	t.long = long
}

// SetShortest sets the estimated run time on the fastest workers; SetExpected sets it to that on a worker of speed 1.
func (t *Task) SetShortest(shortest time.Duration) { t.shortest = shortest }

// Shortest returns the estimated run time on the fastest workers.
func (t *Task) Shortest() time.Duration { return t.shortest }

// Rack returns the rack of the task's data, empty for none.
func (t *Task) Rack() string { return t.rack }

// Resources returns the resources that the task needs.
func (t *Task) Resources() Resources { return t.resources }

// Work returns the estimated run time times the slots that the task takes.
func (t *Task) Work() time.Duration { return t.expected * time.Duration(t.resources.slots) }

// Phase returns the state of the task in the entry's view.
func (t *Task) Phase() TaskPhase { return t.phase }

// Worker returns the incarnation of the agent that the task was last sent to.
func (t *Task) Worker() Incarnation { return t.worker }

// SentAt returns when the task was last sent to an agent.
func (t *Task) SentAt() time.Time { return t.sentAt }

// Attempt returns the current attempt of the task.
func (t *Task) Attempt() TaskAttempt { return NewTaskAttempt(t.id, t.priorAttempts) }

// PriorAttempts returns the number of attempts before the current one.
func (t *Task) PriorAttempts() int { return t.priorAttempts }

// Rejections returns how often agents rejected the task for a reason other than load.
func (t *Task) Rejections() int { return t.rejections }

// Failures returns how many runs of the task failed.
func (t *Task) Failures() int { return t.failures }

// Avoid makes the task prefer other workers than this one, on which a run of it ended without a result.
func (t *Task) Avoid(worker Incarnation) { t.avoid = worker }

// Avoided returns the worker that the task avoids, zero for none.
func (t *Task) Avoided() Incarnation { return t.avoid }

// MarkRunEnded records that a run of the task ended without a result, by a failure of the task or not, and returns the task to the
// queued phase.
func (t *Task) MarkRunEnded(failed bool) {
	t.phase = PhaseQueued
	t.priorAttempts++
	t.mayHaveRun = true
	if failed {
		t.failures++
	}
}

// Outcome returns the result of the task, as far as it is known.
func (t *Task) Outcome() Outcome { return t.outcome }

// Output returns the output of a finished task.
func (t *Task) Output() []byte { return t.output }

// Reason returns why the task did not finish, in one short sentence.
func (t *Task) Reason() string { return t.reason }

// RunTime returns the run time that the agent measured.
func (t *Task) RunTime() time.Duration { return t.runTime }

// MarkSent records that the task was sent to worker at now.
func (t *Task) MarkSent(worker Incarnation, now time.Time) {
	t.phase = PhaseSent
	t.worker = worker
	t.sentAt = now
}

// MarkInDoubt records that the session to the task's worker was lost.
func (t *Task) MarkInDoubt() { t.phase = PhaseInDoubt }

// MarkReturned records that the task certainly did not start and returns it to the queued phase; busy means that it was
// rejected only because of the worker's load.
func (t *Task) MarkReturned(busy bool) {
	t.phase = PhaseQueued
	t.priorAttempts++
	if !busy {
		t.rejections++
	}
}

// Resolve sets the final outcome and reports whether it did; a later outcome is ignored.
func (t *Task) Resolve(outcome Outcome, output []byte, reason string, runTime time.Duration) bool {
	if t.phase == PhaseDone {
		return false
	}
	if outcome == OutcomeNotRun && t.mayHaveRun {
		// An earlier run may have begun, so the outcome can't be not_run.
		outcome = OutcomeLost
	}
	t.phase = PhaseDone
	t.outcome = outcome
	t.output = output
	t.reason = reason
	t.runTime = runTime
	t.payload = nil
	t.job.pending--
	t.job.bytes += len(output)
	if outcome != OutcomeFinished {
		t.job.unfinished++
	}
	return true
}

// Job is one submission and its tasks.
type Job struct {
	key         SubmissionKey
	digest      uint64
	team        string
	service     string
	submittedAt time.Time
	deadline    time.Time
	due         time.Time
	startBy     time.Time
	// started means that a task of a job with an objective was taken from the queue.
	started     bool
	queued      int
	topPriority bool
	tasks       []Task
	name        string
	maxAttempts int
	expiry      time.Time
	late        bool
	pending     int
	unfinished  int
	cancelled   bool
	ending      bool
	state       JobState
	finishedAt  time.Time
	bytes       int
}

// taskOverheadBytes is the memory of one task's record without its payload and output, 237 bytes rounded up.
const taskOverheadBytes = 240

// NewJob returns a running job without tasks.
func NewJob(key SubmissionKey, digest uint64, team, service string, submittedAt, deadline time.Time) *Job {
	return &Job{key: key, digest: digest, team: team, service: service, submittedAt: submittedAt, deadline: deadline, due: deadline}
}

// AddTasks creates a task for each specification; it must be called once, before the job is shared.
func (j *Job) AddTasks(specs []TaskSpec) {
	j.tasks = make([]Task, len(specs))
	for i := range specs {
		s := &specs[i]
		j.tasks[i] = Task{
			id: NewTaskID(j.key, i), job: j, kind: s.kind, payload: s.payload, declared: s.declared, resources: s.resources, rack: s.rack,
		}
		j.bytes += len(s.payload) + taskOverheadBytes
	}
	j.pending = len(specs)
}

// Key returns the submission key of the job.
func (j *Job) Key() SubmissionKey { return j.key }

// Digest returns the first eight bytes of the SHA-256 of the submitted body.
func (j *Job) Digest() uint64 { return j.digest }

// Team returns the name of the submitting team.
func (j *Job) Team() string { return j.team }

// Service returns the name of the service that runs the job.
func (j *Job) Service() string { return j.service }

// SubmittedAt returns when the job was admitted.
func (j *Job) SubmittedAt() time.Time { return j.submittedAt }

// Deadline returns the deadline of the answer.
func (j *Job) Deadline() time.Time { return j.deadline }

// Due returns the time by which waiting jobs are ordered: the deadline unless SetDue set an earlier time.
func (j *Job) Due() time.Time { return j.due }

// SetDue sets the due time of the job, by which a job of its length is expected to be complete; a time after the deadline is
// ignored.
func (j *Job) SetDue(due time.Time) {
	if due.Before(j.deadline) {
		j.due = due
	}
}

// SetObjective sets the due time of the job, the time after which an answer is of no use to the caller, and whether the job has
// top priority: it goes before all jobs without, regardless of their due times.
func (j *Job) SetObjective(due, expiry time.Time, topPriority bool) {
	j.SetDue(due)
	j.expiry = expiry
	j.topPriority = topPriority
}

// SetStartBy sets the time by which the tasks of a job with an objective have to start to be complete when it is due.
func (j *Job) SetStartBy(startBy time.Time) { j.startBy = startBy }

// StartBy returns the time by which waiting jobs are ordered: the due time unless SetStartBy set an earlier one.
func (j *Job) StartBy() time.Time {
	if j.startBy.IsZero() {
		return j.due
	}
	return j.startBy
}

// Unstarted reports whether all tasks wait and none of them may have run.
func (j *Job) Unstarted() bool {
	if j.queued < len(j.tasks) {
		return false
	}
	for i := range j.tasks {
		if j.tasks[i].mayHaveRun {
			return false
		}
	}
	return true
}

// Unplaced reports whether no task of the job was ever sent to a worker.
func (j *Job) Unplaced() bool {
	for i := range j.tasks {
		if j.tasks[i].worker != 0 {
			return false
		}
	}
	return true
}

// SetName sets the name that the client chose for the job, and the number of failures of a task after which the job fails.
func (j *Job) SetName(name string, maxAttempts int) {
	j.name = name
	j.maxAttempts = maxAttempts
}

// Name returns the name that the client chose, empty for none. Tasks of a named job may be run again.
func (j *Job) Name() string { return j.name }

// MaxAttempts returns the number of failures of a task after which a named job fails.
func (j *Job) MaxAttempts() int { return j.maxAttempts }

// lateValueDivisor divides the value of an answer when it is late: to the users it is worth a fifth of one in time.
const lateValueDivisor = 5

// yields reports whether a job with an objective would be late if its task t was started now, and should be demoted behind the
// others. A job of which at most a fifth still waits is not: finishing it gains more for each run than starting another job.
func (j *Job) yields(now time.Time, t *Task) bool {
	return !j.expiry.IsZero() && now.Add(t.shortest).After(j.due) && j.queued*lateValueDivisor > len(j.tasks)
}

// HasObjective reports whether the job has a response time objective.
func (j *Job) HasObjective() bool { return !j.expiry.IsZero() }

// MarkLate records that the job is not expected to meet its objective; call it before its tasks are queued. They wait behind all others.
func (j *Job) MarkLate() { j.late = true }

// Late reports whether the job is not expected to meet its objective any more.
func (j *Job) Late() bool { return j.late }

// Expiry returns the time after which an answer is of no use to the caller: the deadline unless SetObjective set an earlier one.
func (j *Job) Expiry() time.Time {
	if j.expiry.IsZero() || j.deadline.Before(j.expiry) {
		return j.deadline
	}
	return j.expiry
}

// Len returns the number of tasks.
func (j *Job) Len() int { return len(j.tasks) }

// Task returns the task at index i, from zero.
func (j *Job) Task(i int) *Task { return &j.tasks[i] }

// Pending returns the number of tasks without a final outcome.
func (j *Job) Pending() int { return j.pending }

// Unfinished returns the number of tasks whose final outcome is other than finished.
func (j *Job) Unfinished() int { return j.unfinished }

// Cancelled reports whether the caller cancelled the job.
func (j *Job) Cancelled() bool { return j.cancelled }

// Cancel records that the caller cancelled the job.
func (j *Job) Cancel() { j.cancelled = true }

// MarkEnding records that the job was given up: none of its tasks may be sent any more.
func (j *Job) MarkEnding() { j.ending = true }

// Ending reports whether no task of the job may be sent any more, because it was given up or cancelled, or a task did not finish.
func (j *Job) Ending() bool { return j.ending || j.cancelled || j.unfinished > 0 }

// State returns the state of the job.
func (j *Job) State() JobState { return j.state }

// FinishedAt returns when the state became final.
func (j *Job) FinishedAt() time.Time { return j.finishedAt }

// Bytes returns the size of the job's record with its payloads and outputs.
func (j *Job) Bytes() int { return j.bytes }

// Finish sets the final state when no task is pending, and reports whether it did.
func (j *Job) Finish(now time.Time) bool {
	if j.pending > 0 || j.state != JobRunning {
		return false
	}
	j.finishedAt = now
	switch {
	case j.cancelled:
		j.state = JobCancelled
	case j.unfinished > 0:
		j.state = JobFailed
	default:
		j.state = JobComplete
	}
	return true
}

// TaskSpec is a caller's specification of one task.
type TaskSpec struct {
	kind      string
	payload   []byte
	declared  time.Duration
	resources Resources
	rack      string
}

// NewTaskSpec returns a specification; declared is the caller's estimate of the run time, zero for none.
func NewTaskSpec(kind string, payload []byte, declared time.Duration) TaskSpec {
	return TaskSpec{kind: kind, payload: payload, declared: declared, resources: Resources{slots: 1}}
}

// WithResources returns the specification with the resources that the task needs; the default is one slot.
func (s TaskSpec) WithResources(resources Resources) TaskSpec {
	s.resources = resources
	return s
}

// WithRack returns the specification with the rack of the task's data, empty for none.
func (s TaskSpec) WithRack(rack string) TaskSpec {
	s.rack = rack
	return s
}

// Rack returns the rack of the task's data, empty for none.
func (s TaskSpec) Rack() string { return s.rack }

// Resources returns the resources that the task needs.
func (s TaskSpec) Resources() Resources { return s.resources }

// Kind returns the name of the task's kind.
func (s TaskSpec) Kind() string { return s.kind }

// Payload returns the bytes that are sent to the endpoint.
func (s TaskSpec) Payload() []byte { return s.payload }

// Declared returns the declared run time, zero for none.
func (s TaskSpec) Declared() time.Duration { return s.declared }

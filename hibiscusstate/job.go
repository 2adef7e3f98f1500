package hibiscusstate

import "time"

// A Job is one submission at the entry that holds its record; a Task is one unit of its work. Outcomes are final once
// set: a second result for a task changes nothing, which is what makes repeated and crossed results harmless.

// TaskPhase says where the entry believes a task to be.
type TaskPhase int

// The phases of a task at its entry.
const (
	// PhaseQueued means that no agent has the task.
	PhaseQueued TaskPhase = iota
	// PhaseSent means that the task was given to an agent, so that it may have started.
	PhaseSent
	// PhaseInDoubt means that the session to the agent was lost after the task was given to it.
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
	long      bool
	resources Resources

	phase         TaskPhase
	worker        Incarnation
	sentAt        time.Time
	priorAttempts int
	rejections    int
	// failures counts the runs that ended failed, and ran says that a run may have begun.
	failures   int
	mayHaveRun bool
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

// Payload returns the bytes that the endpoint gets.
func (t *Task) Payload() []byte { return t.payload }

// Declared returns the run time that the caller declared, zero for none.
func (t *Task) Declared() time.Duration { return t.declared }

// Expected returns the predicted run time.
func (t *Task) Expected() time.Duration { return t.expected }

// Long says whether the task is predicted to be much longer than the service's usual task.
func (t *Task) Long() bool { return t.long }

// SetExpected sets the predicted run time and whether that is long for the service.
func (t *Task) SetExpected(expected time.Duration, long bool) {
	t.expected = expected
	t.long = long
}

// Resources returns what the task takes of its worker.
func (t *Task) Resources() Resources { return t.resources }

// Work returns the expected run time times the slots that the task takes.
func (t *Task) Work() time.Duration { return t.expected * time.Duration(t.resources.slots) }

// Phase returns where the entry believes the task to be.
func (t *Task) Phase() TaskPhase { return t.phase }

// Worker returns the incarnation of the agent that the task was last given to.
func (t *Task) Worker() Incarnation { return t.worker }

// SentAt returns when the task was last given to an agent.
func (t *Task) SentAt() time.Time { return t.sentAt }

// Attempt returns the try that the task is on.
func (t *Task) Attempt() TaskAttempt { return NewTaskAttempt(t.id, t.priorAttempts) }

// PriorAttempts returns how often the task came back as not run from an agent.
func (t *Task) PriorAttempts() int { return t.priorAttempts }

// Rejections returns how often a worker would not take the task for a reason other than its load.
func (t *Task) Rejections() int { return t.rejections }

// Failures returns how many runs of the task ended failed.
func (t *Task) Failures() int { return t.failures }

// Avoid makes the task prefer other workers than the one on which a run of it ended without a result.
func (t *Task) Avoid(worker Incarnation) { t.avoid = worker }

// Avoided returns the worker that the task prefers not to go to, zero for none.
func (t *Task) Avoided() Incarnation { return t.avoid }

// MarkRunEnded records that a run of the task ended without a result, by its own failure or not, and that the task waits for a
// worker again.
func (t *Task) MarkRunEnded(failed bool) {
	t.phase = PhaseQueued
	t.priorAttempts++
	t.mayHaveRun = true
	if failed {
		t.failures++
	}
}

// Outcome returns what is known about the task.
func (t *Task) Outcome() Outcome { return t.outcome }

// Output returns the endpoint's answer of a finished task.
func (t *Task) Output() []byte { return t.output }

// Reason returns why the task did not finish, in one short sentence.
func (t *Task) Reason() string { return t.reason }

// RunTime returns the run time that the agent measured.
func (t *Task) RunTime() time.Duration { return t.runTime }

// MarkSent records that the task was given to worker at now.
func (t *Task) MarkSent(worker Incarnation, now time.Time) {
	t.phase = PhaseSent
	t.worker = worker
	t.sentAt = now
}

// MarkInDoubt records that the session to the task's worker was lost.
func (t *Task) MarkInDoubt() { t.phase = PhaseInDoubt }

// MarkReturned records that the task is known not to have started and waits for a worker again; busy says that it came
// back only because of the worker's load.
func (t *Task) MarkReturned(busy bool) {
	t.phase = PhaseQueued
	t.priorAttempts++
	if !busy {
		t.rejections++
	}
}

// Resolve sets the final outcome and says whether it was the first one; later ones are ignored.
func (t *Task) Resolve(outcome Outcome, output []byte, reason string, runTime time.Duration) bool {
	if t.phase == PhaseDone {
		return false
	}
	if outcome == OutcomeNotRun && t.mayHaveRun {
		// An earlier run began, so that the task can't be called not run.
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
	state       JobState
	finishedAt  time.Time
	bytes       int
}

// taskOverheadBytes is what the record of one task takes besides its payload and output, measured at 237 bytes.
const taskOverheadBytes = 240

// NewJob returns a running job without tasks.
func NewJob(key SubmissionKey, digest uint64, team, service string, submittedAt, deadline time.Time) *Job {
	return &Job{key: key, digest: digest, team: team, service: service, submittedAt: submittedAt, deadline: deadline, due: deadline}
}

// AddTasks appends a task for each specification; it must be called once, before the job is shared.
func (j *Job) AddTasks(specs []TaskSpec) {
	j.tasks = make([]Task, len(specs))
	for i := range specs {
		s := &specs[i]
		j.tasks[i] = Task{id: NewTaskID(j.key, i), job: j, kind: s.kind, payload: s.payload, declared: s.declared, resources: s.resources}
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

// Deadline returns when the answer is due.
func (j *Job) Deadline() time.Time { return j.deadline }

// Due returns the time by which waiting jobs are ordered, the deadline unless SetDue brought it forward.
func (j *Job) Due() time.Time { return j.due }

// SetDue brings the order of the job forward to the time by which a job of its length is expected; a time after the
// deadline is ignored.
func (j *Job) SetDue(due time.Time) {
	if due.Before(j.deadline) {
		j.due = due
	}
}

// SetObjective sets when a job is due, after which time an answer is of no use to the caller, and whether it goes before all
// that are not first, whenever they are due.
func (j *Job) SetObjective(due, latest time.Time, first bool) {
	j.SetDue(due)
	j.expiry = latest
	j.topPriority = first
}

// SetName gives the job the name that its client chose for it, and how often a task of it may fail.
func (j *Job) SetName(name string, attempts int) {
	j.name = name
	j.maxAttempts = attempts
}

// Name returns the name that the client chose, empty for none. Tasks of a named job may be run again.
func (j *Job) Name() string { return j.name }

// MaxAttempts returns how often a task of a named job may fail.
func (j *Job) MaxAttempts() int { return j.maxAttempts }

// lateValueDivisor is what a late answer is worth to the users, as a part of one that is in time: a fifth.
const lateValueDivisor = 5

// yields says whether a job with an objective can't be in time when its task t is started now, and should let others go before
// it. One of which no more than a fifth still waits does not: to finish it gives more for each run than to begin another.
func (j *Job) yields(now time.Time, t *Task) bool {
	return !j.expiry.IsZero() && now.Add(t.expected).After(j.due) && j.queued*lateValueDivisor > len(j.tasks)
}

// Late says whether the job can't be in time any more.
func (j *Job) Late() bool { return j.late }

// Expiry returns the time after which an answer is of no use to the caller: the deadline unless SetObjective brought it forward.
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

// Cancelled says whether the caller cancelled the job.
func (j *Job) Cancelled() bool { return j.cancelled }

// Cancel records that the caller cancelled the job.
func (j *Job) Cancel() { j.cancelled = true }

// State returns how far the job is.
func (j *Job) State() JobState { return j.state }

// FinishedAt returns when the state became final.
func (j *Job) FinishedAt() time.Time { return j.finishedAt }

// Bytes returns the size of the payloads and outputs that the record holds.
func (j *Job) Bytes() int { return j.bytes }

// Finish sets the final state when no task is pending, and says whether it did.
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

// TaskSpec is what a caller submits for one task.
type TaskSpec struct {
	kind      string
	payload   []byte
	declared  time.Duration
	resources Resources
}

// NewTaskSpec returns a specification; declared is the caller's guess of the run time, zero for none.
func NewTaskSpec(kind string, payload []byte, declared time.Duration) TaskSpec {
	return TaskSpec{kind: kind, payload: payload, declared: declared, resources: Resources{slots: 1}}
}

// WithResources returns the specification of a task that takes this much of its worker, one slot otherwise.
func (s TaskSpec) WithResources(room Resources) TaskSpec {
	s.resources = room
	return s
}

// Resources returns what the task takes of its worker.
func (s TaskSpec) Resources() Resources { return s.resources }

// Kind returns the name of the task's kind.
func (s TaskSpec) Kind() string { return s.kind }

// Payload returns the bytes that the endpoint gets.
func (s TaskSpec) Payload() []byte { return s.payload }

// Declared returns the declared run time, zero for none.
func (s TaskSpec) Declared() time.Duration { return s.declared }

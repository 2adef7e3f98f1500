package hibiscuscoordination

import (
	"time"

	"hibiscusrouter/hibiscusstate"
)

// Requests of callers and the answers to them, independent of their encoding.

// Submission is a job as a caller submits it.
type Submission struct {
	key      hibiscusstate.SubmissionKey
	digest   uint64
	team     string
	service  string
	budget   time.Duration
	attempt  int
	tasks    []hibiscusstate.TaskSpec
	cancel   bool
	fetch    bool
	waitTime time.Duration
	name     string
	caller   uint64
	// sentAfter is the earliest time at which the client can have sent the job, the zero time if that is unknown.
	sentAfter time.Time
	// late means that the job was admitted although it is expected to be late.
	late bool
}

// NewSubmission returns a submission of tasks to a service; digest is the digest of the submitted body.
func NewSubmission(key hibiscusstate.SubmissionKey, digest uint64, team, service string, tasks []hibiscusstate.TaskSpec) *Submission {
	return &Submission{key: key, digest: digest, team: team, service: service, tasks: tasks, attempt: 1}
}

// NewNamedSubmission returns a submission with a name that its client chose. The name stays the same when the client resends
// the job to any entry, and the tasks may be run again; the entry that receives the submission issues its key.
func NewNamedSubmission(name string, team, service string, tasks []hibiscusstate.TaskSpec) *Submission {
	return &Submission{name: name, team: team, service: service, tasks: tasks, attempt: 1}
}

// WithSentAfter sets the earliest time at which the client can have sent the job: when its connection opened or was last answered.
func (s *Submission) WithSentAfter(t time.Time) *Submission {
	s.sentAfter = t
	return s
}

// Name returns the name that the client gave to the job, empty for none.
func (s *Submission) Name() string { return s.name }

// NewFetch returns a request for the answer of an earlier submission.
func NewFetch(key hibiscusstate.SubmissionKey) *Submission { return &Submission{key: key, fetch: true} }

// NewCancel returns a request to cancel an earlier submission.
func NewCancel(key hibiscusstate.SubmissionKey) *Submission {
	return &Submission{key: key, cancel: true}
}

// WithBudget sets the time until the deadline, zero for the default of the kinds.
func (s *Submission) WithBudget(budget time.Duration) *Submission {
	s.budget = budget
	return s
}

// WithAttempt sets which submission of this job by the caller this is, from one; zero if the caller did not give it.
func (s *Submission) WithAttempt(attempt int) *Submission {
	s.attempt = attempt
	return s
}

// WithWait sets how long the caller waits for the answer; with zero the current state is returned at once.
func (s *Submission) WithWait(wait time.Duration) *Submission {
	s.waitTime = wait
	return s
}

// Key returns the submission key.
func (s *Submission) Key() hibiscusstate.SubmissionKey { return s.key }

// Digest returns the digest of the submitted body.
func (s *Submission) Digest() uint64 { return s.digest }

// Team returns the submitting team.
func (s *Submission) Team() string { return s.team }

// Service returns the service that is to run the tasks.
func (s *Submission) Service() string { return s.service }

// Budget returns the time until the deadline, zero for the default.
func (s *Submission) Budget() time.Duration { return s.budget }

// Attempt returns which submission of this job by the caller this is, from one; zero if the caller did not give it.
func (s *Submission) Attempt() int { return s.attempt }

// Wait returns how long the caller waits for the answer.
func (s *Submission) Wait() time.Duration { return s.waitTime }

// Tasks returns the tasks.
func (s *Submission) Tasks() []hibiscusstate.TaskSpec { return s.tasks }

// Fetch reports whether this is a request for the answer of an earlier submission.
func (s *Submission) Fetch() bool { return s.fetch }

// Cancel reports whether this is a request to cancel an earlier submission.
func (s *Submission) Cancel() bool { return s.cancel }

// TaskAnswer is the outcome of one task, as it is returned to the caller.
type TaskAnswer struct {
	outcome hibiscusstate.Outcome
	output  []byte
	reason  string
}

// NewTaskAnswer returns the outcome of one task; output is set when the task finished, reason when it did not.
func NewTaskAnswer(outcome hibiscusstate.Outcome, output []byte, reason string) TaskAnswer {
	return TaskAnswer{outcome: outcome, output: output, reason: reason}
}

// Outcome returns what is known about the task.
func (t TaskAnswer) Outcome() hibiscusstate.Outcome { return t.outcome }

// Output returns the endpoint's answer.
func (t TaskAnswer) Output() []byte { return t.output }

// Reason returns why the task did not finish.
func (t TaskAnswer) Reason() string { return t.reason }

// Answer is the answer to a caller: a refusal, or the state of its job with the outcome of each task.
type Answer struct {
	key        hibiscusstate.SubmissionKey
	refusal    hibiscusstate.Refusal
	message    string
	notRun     bool
	retryAfter time.Duration
	state      hibiscusstate.JobState
	tasks      []TaskAnswer
	nextKey    hibiscusstate.SubmissionKey
	hasNextKey bool
}

// NewRefusal returns a refusal; notRun states whether certainly no task was started.
func NewRefusal(key hibiscusstate.SubmissionKey, refusal hibiscusstate.Refusal, notRun bool, message string) *Answer {
	return &Answer{key: key, refusal: refusal, notRun: notRun, message: message}
}

// NewJobAnswer returns the state of a job; tasks is empty while the job runs.
func NewJobAnswer(key hibiscusstate.SubmissionKey, state hibiscusstate.JobState, tasks []TaskAnswer) *Answer {
	return &Answer{key: key, state: state, tasks: tasks}
}

// WithRetryAfter sets the delay after which the caller may retry.
func (a *Answer) WithRetryAfter(after time.Duration) *Answer {
	a.retryAfter = after
	return a
}

// WithNextKey returns a copy of the answer with an unused key for the caller's next submission. It must be a copy: all callers
// of a job share one answer, and setting the key in place gave two of them the same key.
func (a *Answer) WithNextKey(key hibiscusstate.SubmissionKey) *Answer {
	own := *a
	own.nextKey = key
	own.hasNextKey = true
	return &own
}

// Key returns the submission key that the answer belongs to.
func (a *Answer) Key() hibiscusstate.SubmissionKey { return a.key }

// Refusal returns why there is no job, RefusalNone when there is one.
func (a *Answer) Refusal() hibiscusstate.Refusal { return a.refusal }

// Message returns the sentence that explains a refusal.
func (a *Answer) Message() string { return a.message }

// NotRun reports whether certainly no task of the refused submission was started.
func (a *Answer) NotRun() bool { return a.notRun }

// RetryAfter returns the delay after which the caller may retry, zero when a retry is of no use.
func (a *Answer) RetryAfter() time.Duration { return a.retryAfter }

// State returns the state of the job.
func (a *Answer) State() hibiscusstate.JobState { return a.state }

// Tasks returns the outcomes of the job's tasks in order, empty while the job runs.
func (a *Answer) Tasks() []TaskAnswer { return a.tasks }

// NextKey returns the unused key for the caller's next submission and whether there is one.
func (a *Answer) NextKey() (hibiscusstate.SubmissionKey, bool) { return a.nextKey, a.hasNextKey }

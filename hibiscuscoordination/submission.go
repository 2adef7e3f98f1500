package hibiscuscoordination

import (
	"time"

	"hibiscusrouter/hibiscusstate"
)

// What a caller asks and what it is told, without its encoding.

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
}

// NewSubmission returns a submission of tasks to a service; digest is that of the submitted body.
func NewSubmission(key hibiscusstate.SubmissionKey, digest uint64, team, service string, tasks []hibiscusstate.TaskSpec) *Submission {
	return &Submission{key: key, digest: digest, team: team, service: service, tasks: tasks, attempt: 1}
}

// NewNamedSubmission returns a submission that its client has named. The name stays the same when the client sends the job
// again to any entry, and the tasks may be run again: the entry that gets the submission issues the key itself.
func NewNamedSubmission(name string, team, service string, tasks []hibiscusstate.TaskSpec) *Submission {
	return &Submission{name: name, team: team, service: service, tasks: tasks, attempt: 1}
}

// Name returns the name that the client gave to the job, empty for none.
func (s *Submission) Name() string { return s.name }

// NewFetch returns a question for the answer of an earlier submission.
func NewFetch(key hibiscusstate.SubmissionKey) *Submission { return &Submission{key: key, fetch: true} }

// NewCancel returns the cancellation of an earlier submission.
func NewCancel(key hibiscusstate.SubmissionKey) *Submission {
	return &Submission{key: key, cancel: true}
}

// WithBudget sets the time until the deadline, zero for the default of the kinds.
func (s *Submission) WithBudget(budget time.Duration) *Submission {
	s.budget = budget
	return s
}

// WithAttempt sets which try of the caller this is, from one.
func (s *Submission) WithAttempt(attempt int) *Submission {
	s.attempt = attempt
	return s
}

// WithWait sets how long the caller waits for the answer; zero asks for the state at once.
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

// Attempt returns which try of the caller this is.
func (s *Submission) Attempt() int { return s.attempt }

// Wait returns how long the caller waits for the answer.
func (s *Submission) Wait() time.Duration { return s.waitTime }

// Tasks returns the tasks.
func (s *Submission) Tasks() []hibiscusstate.TaskSpec { return s.tasks }

// Fetch says whether this only asks for the answer of an earlier submission.
func (s *Submission) Fetch() bool { return s.fetch }

// Cancel says whether this cancels an earlier submission.
func (s *Submission) Cancel() bool { return s.cancel }

// TaskAnswer is the outcome of one task for the caller.
type TaskAnswer struct {
	outcome hibiscusstate.Outcome
	output  []byte
	reason  string
}

// NewTaskAnswer returns the outcome of one task; output is set when it finished, reason when it did not.
func NewTaskAnswer(outcome hibiscusstate.Outcome, output []byte, reason string) TaskAnswer {
	return TaskAnswer{outcome: outcome, output: output, reason: reason}
}

// Outcome returns what is known about the task.
func (t TaskAnswer) Outcome() hibiscusstate.Outcome { return t.outcome }

// Output returns the endpoint's answer.
func (t TaskAnswer) Output() []byte { return t.output }

// Reason returns why the task did not finish.
func (t TaskAnswer) Reason() string { return t.reason }

// Answer is what a caller gets: a refusal, or the state of its job with the outcome of each task.
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

// NewRefusal returns a refusal; notRun says whether it is certain that no task was started.
func NewRefusal(key hibiscusstate.SubmissionKey, refusal hibiscusstate.Refusal, notRun bool, message string) *Answer {
	return &Answer{key: key, refusal: refusal, notRun: notRun, message: message}
}

// NewJobAnswer returns the state of a job; tasks is empty while the job runs.
func NewJobAnswer(key hibiscusstate.SubmissionKey, state hibiscusstate.JobState, tasks []TaskAnswer) *Answer {
	return &Answer{key: key, state: state, tasks: tasks}
}

// WithRetryAfter sets when the caller may try again.
func (a *Answer) WithRetryAfter(after time.Duration) *Answer {
	a.retryAfter = after
	return a
}

// WithNextKey returns a copy of the answer with a fresh key for the caller's next submission. All callers that wait for a
// job get one answer, and setting the key in place gave two of them the same key.
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

// NotRun says whether it is certain that no task of the refused submission was started.
func (a *Answer) NotRun() bool { return a.notRun }

// RetryAfter returns when the caller may try again, zero when that is of no use.
func (a *Answer) RetryAfter() time.Duration { return a.retryAfter }

// State returns the state of the job.
func (a *Answer) State() hibiscusstate.JobState { return a.state }

// Tasks returns the outcomes of the job's tasks in order, empty while the job runs.
func (a *Answer) Tasks() []TaskAnswer { return a.tasks }

// NextKey returns a fresh key and whether there is one.
func (a *Answer) NextKey() (hibiscusstate.SubmissionKey, bool) { return a.nextKey, a.hasNextKey }

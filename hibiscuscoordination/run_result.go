package hibiscuscoordination

import "hibiscusrouter/hibiscusstate"

// RunResult is the result that a slot's runner reports for its task.
type RunResult struct {
	outcome   hibiscusstate.Outcome
	output    []byte
	reason    string
	rejection hibiscusstate.Rejection
}

// NewRunResult returns the result of a task that the endpoint started, or may have started.
func NewRunResult(outcome hibiscusstate.Outcome, output []byte, reason string) RunResult {
	return RunResult{outcome: outcome, output: output, reason: reason}
}

// NewNotRunResult returns the result of a task that the endpoint has certainly not started.
func NewNotRunResult(rejection hibiscusstate.Rejection) RunResult {
	return RunResult{rejection: rejection}
}

// Outcome returns how the task ended, as far as it is known; it has no meaning for a result with a rejection.
func (r RunResult) Outcome() hibiscusstate.Outcome { return r.outcome }

// Rejection returns why the endpoint did not start the task, RejectionNone when it did or may have.
func (r RunResult) Rejection() hibiscusstate.Rejection { return r.rejection }

// Output returns the output of the task.
func (r RunResult) Output() []byte { return r.output }

// Reason returns why the task did not finish.
func (r RunResult) Reason() string { return r.reason }

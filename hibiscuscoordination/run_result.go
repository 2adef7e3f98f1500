package hibiscuscoordination

import "hibiscusrouter/hibiscusstate"

// RunResult is what a slot's runner says about the task that it had.
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

// NewNotRunResult returns the result of a task that the endpoint certainly did not start.
func NewNotRunResult(rejection hibiscusstate.Rejection) RunResult {
	return RunResult{rejection: rejection}
}

// Outcome returns what is known about the task.
func (r RunResult) Outcome() hibiscusstate.Outcome { return r.outcome }

// Rejection returns why the endpoint did not take the task, RejectionNone when it did or may have.
func (r RunResult) Rejection() hibiscusstate.Rejection { return r.rejection }

// Output returns the endpoint's answer.
func (r RunResult) Output() []byte { return r.output }

// Reason returns why the task did not finish.
func (r RunResult) Reason() string { return r.reason }

package hibiscuscoordination

import (
	"hibiscusrouter/hibiscusstate"
)

// Event is an event for the audit trail.
type Event struct {
	kind    hibiscusstate.EventKind
	subject string
	cause   string
}

// NewEvent returns an event about a subject, with its cause in one short sentence.
func NewEvent(kind hibiscusstate.EventKind, subject, cause string) Event {
	return Event{kind: kind, subject: subject, cause: cause}
}

// NewWorkerEvent returns an event about a worker.
func NewWorkerEvent(kind hibiscusstate.EventKind, w *hibiscusstate.Worker, cause string) Event {
	return NewEvent(kind, w.Service()+"/"+w.Address(), cause)
}

// Kind returns what happened.
func (e Event) Kind() hibiscusstate.EventKind { return e.kind }

// Subject returns the process or worker that the event is about.
func (e Event) Subject() string { return e.subject }

// Cause returns why it happened.
func (e Event) Cause() string { return e.cause }

// Counters are the totals of one entry's decisions.
type Counters struct {
	jobs  uint64
	tasks uint64
	sent  uint64
	moves uint64
	held  uint64
	// speedChanges counts the changes of workers' speed classes.
	speedChanges uint64
	// rackLocal and rackElsewhere count the tasks that named a rack by where they were placed.
	rackLocal     uint64
	rackElsewhere uint64
	messages      uint64
	// leavingPlacements counts the tasks that were placed on workers that leave with notice.
	leavingPlacements uint64
	jobStates         [hibiscusstate.JobCancelled + 1]uint64
	outcomes          [hibiscusstate.OutcomeStalled + 1]uint64
	refusals          [hibiscusstate.RefusalOutcomeUnknown + 1]uint64
	rejections        [hibiscusstate.RejectionStopped + 1]uint64
}

// Jobs returns the number of admitted jobs.
func (c Counters) Jobs() uint64 { return c.jobs }

// Tasks returns the number of admitted tasks.
func (c Counters) Tasks() uint64 { return c.tasks }

// Sent returns how many times a task was sent to a worker.
func (c Counters) Sent() uint64 { return c.sent }

// Held returns how often a task waited for a faster worker while slower ones had room.
func (c Counters) Held() uint64 { return c.held }

// SpeedChanges returns how often the speed class of a worker has changed.
func (c Counters) SpeedChanges() uint64 { return c.speedChanges }

// RackLocal returns how many tasks were placed in the rack that they named.
func (c Counters) RackLocal() uint64 { return c.rackLocal }

// RackElsewhere returns how many tasks were placed outside the rack that they named.
func (c Counters) RackElsewhere() uint64 { return c.rackElsewhere }

// Moves returns how many times a task was returned as not run and queued again for another worker.
func (c Counters) Moves() uint64 { return c.moves }

// Messages returns the number of messages sent to workers.
func (c Counters) Messages() uint64 { return c.messages }

// LeavingPlacements returns how many tasks were placed on workers that leave with notice.
func (c Counters) LeavingPlacements() uint64 { return c.leavingPlacements }

// JobState returns how many jobs ended in a state.
func (c Counters) JobState(s hibiscusstate.JobState) uint64 { return c.jobStates[s] }

// Outcome returns how many tasks ended with an outcome.
func (c Counters) Outcome(o hibiscusstate.Outcome) uint64 { return c.outcomes[o] }

// Refusal returns how many submissions were refused for a reason.
func (c Counters) Refusal(r hibiscusstate.Refusal) uint64 { return c.refusals[r] }

// Rejection returns how many tasks were rejected by agents for a reason.
func (c Counters) Rejection(r hibiscusstate.Rejection) uint64 { return c.rejections[r] }

func (c *Counters) countJob(job *hibiscusstate.Job)          { c.jobStates[job.State()]++ }
func (c *Counters) countOutcome(o hibiscusstate.Outcome)     { c.outcomes[o]++ }
func (c *Counters) countRefusal(r hibiscusstate.Refusal)     { c.refusals[r]++ }
func (c *Counters) countRejection(r hibiscusstate.Rejection) { c.rejections[r]++ }

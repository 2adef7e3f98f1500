package hibiscusstate

//go:generate stringer -type=Outcome,JobState,Refusal,Rejection,Health,EventKind -linecomment -output=enum_string.go

// Outcome says what is known about one task.
type Outcome int

// The outcomes of a task. A lost task was started, and its run has ended for certain without a
// result; a stalled one was stopped because it made no progress.
const (
	OutcomePending    Outcome = iota // pending
	OutcomeFinished                  // finished
	OutcomeFailed                    // failed
	OutcomeNotRun                    // not_run
	OutcomeMayHaveRun                // may_have_run
	OutcomeStopped                   // stopped
	OutcomeLost                      // lost
	OutcomeStalled                   // stalled
)

// JobState says how far a job is.
type JobState int

// The states of a job; the last three are final.
const (
	JobRunning   JobState = iota // running
	JobComplete                  // complete
	JobFailed                    // failed
	JobCancelled                 // cancelled
)

// Refusal is the reason why a submission was not admitted or can't be answered.
type Refusal int

// The reasons for a refusal; all but RefusalOutcomeUnknown and RefusalKeyExpired are certain to be not run.
const (
	RefusalNone           Refusal = iota // none
	RefusalBadRequest                    // bad_request
	RefusalUnknownService                // unknown_service
	RefusalUnknownKind                   // unknown_kind
	RefusalUnknownTeam                   // unknown_team
	RefusalTooManyTasks                  // too_many_tasks
	RefusalBodyTooLarge                  // body_too_large
	RefusalDeadlinePassed                // deadline_passed
	RefusalKeyNotIssued                  // key_not_issued
	RefusalKeyReused                     // key_reused
	RefusalKeyExpired                    // key_expired
	RefusalQueueFull                     // queue_full
	RefusalOverQuota                     // over_quota
	RefusalTooLate                       // too_late
	RefusalRetryBudget                   // retry_budget
	RefusalDependencyDown                // dependency_down
	RefusalNoWorkers                     // no_workers
	RefusalDraining                      // draining
	RefusalNotReady                      // not_ready
	RefusalUnknownJob                    // unknown_job
	RefusalOutcomeUnknown                // outcome_unknown
)

// Rejection is the reason why an agent did not take a task; every rejection means that the task was not run.
type Rejection int

// The reasons for a rejection.
const (
	RejectionNone         Rejection = iota // none
	RejectionNoFreeSlot                    // no_free_slot
	RejectionWaitTimeout                   // waited_out
	RejectionLeaving                       // leaving
	RejectionLeaseExpired                  // lease_expired
	RejectionSealed                        // sealed
	RejectionDuplicate                     // duplicate
	RejectionUnknownKind                   // unknown_kind
	RejectionEndpointDown                  // endpoint_down
	RejectionEndpointBusy                  // endpoint_busy
	RejectionExpired                       // expired
	RejectionStopped                       // stopped
)

// Health says whether a worker gets tasks.
type Health int

// The states of a worker's health.
const (
	HealthGood    Health = iota // good
	HealthEjected               // out
	HealthProbing               // on_trial
	HealthLeaving               // leaving
)

// EventKind names what an audit entry records.
type EventKind int

// The kinds of audit entries.
const (
	EventConfigurationAccepted EventKind = iota // configuration_accepted
	EventWorkerEjected                          // worker_out
	EventWorkerReinstated                       // worker_back
	EventWorkerLeaving                          // worker_leaving
	EventDrainStarted                           // drain_started
	EventProcessStopped                         // process_stopped
	EventWorkerDrained                          // worker_drained
	EventWorkerReturned                         // worker_returned
)

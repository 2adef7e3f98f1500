package hibiscusstate

import (
	"container/list"
	"time"
)

// AgentTask is an agent's record of a task that it accepted.
type AgentTask struct {
	order      Order
	entry      Incarnation
	status     TaskStatus
	slot       int
	acceptedAt time.Time
	startedAt  time.Time
	doneAt     time.Time
	report     Report
	overdue    bool
	element    *list.Element
}

// NewAgentTask returns the record of an order from an entry that was accepted at now.
func NewAgentTask(order Order, entry Incarnation, now time.Time) *AgentTask {
	return &AgentTask{order: order, entry: entry, status: StatusWaiting, slot: -1, acceptedAt: now}
}

// Order returns the order.
func (t *AgentTask) Order() Order { return t.order }

// Entry returns the incarnation of the entry that sent the order.
func (t *AgentTask) Entry() Incarnation { return t.entry }

// Status returns the state of the task at the agent.
func (t *AgentTask) Status() TaskStatus { return t.status }

// Slot returns the slot that runs the task, -1 for none.
func (t *AgentTask) Slot() int { return t.slot }

// AcceptedAt returns when the agent accepted the task.
func (t *AgentTask) AcceptedAt() time.Time { return t.acceptedAt }

// PermittedAt returns when the entry has at the earliest decided on the order, and when it was accepted if that is unknown.
func (t *AgentTask) PermittedAt() time.Time {
	if t.order.decidedAt.IsZero() {
		return t.acceptedAt
	}
	return t.order.decidedAt
}

// StartedAt returns when the task was sent to the endpoint.
func (t *AgentTask) StartedAt() time.Time { return t.startedAt }

// Report returns the final report of a task that is done.
func (t *AgentTask) Report() Report { return t.report }

// Overdue reports whether the run was counted as overdue.
func (t *AgentTask) Overdue() bool { return t.overdue }

// MarkOverdue records that the run was counted as overdue.
func (t *AgentTask) MarkOverdue() { t.overdue = true }

// Start records that slot runs the task from now on.
func (t *AgentTask) Start(slot int, now time.Time) {
	t.status = StatusRunning
	t.slot = slot
	t.startedAt = now
}

// Finish records the final report and releases the payload.
func (t *AgentTask) Finish(report Report, now time.Time) {
	t.status = StatusDone
	t.report = report
	t.doneAt = now
	t.slot = -1
	t.order.payload = nil
}

// AgentTasks holds an agent's records by task and by job.
//
// Records of done tasks are kept for recovery after their entry died, until they exceed the retention time or the bound on bytes.
type AgentTasks struct {
	byID      map[TaskID]*AgentTask
	byJob     map[SubmissionKey][]*AgentTask
	done      *list.List
	bytes     int
	retention time.Duration
	maxBytes  int
}

// recordOverheadBytes is the memory of one record without its result.
const recordOverheadBytes = 400

// NewAgentTasks returns an empty store that keeps done tasks for a retention time, in at most maxBytes.
func NewAgentTasks(retention time.Duration, maxBytes int) *AgentTasks {
	return &AgentTasks{
		byID: map[TaskID]*AgentTask{}, byJob: map[SubmissionKey][]*AgentTask{}, done: list.New(),
		retention: retention, maxBytes: maxBytes,
	}
}

// Len returns the number of records.
func (s *AgentTasks) Len() int { return len(s.byID) }

// Bytes returns the size of the records of done tasks.
func (s *AgentTasks) Bytes() int { return s.bytes }

// Get returns the record of a task, nil for none.
func (s *AgentTasks) Get(id TaskID) *AgentTask { return s.byID[id] }

// OfJob returns the records of a job's tasks.
func (s *AgentTasks) OfJob(key SubmissionKey) []*AgentTask { return s.byJob[key] }

// Add stores the record of a task that was just accepted.
func (s *AgentTasks) Add(t *AgentTask) {
	s.byID[t.order.attempt.id] = t
	s.byJob[t.order.attempt.id.key] = append(s.byJob[t.order.attempt.id.key], t)
}

// Drop removes the record of a task that was not started.
func (s *AgentTasks) Drop(t *AgentTask) { s.remove(t) }

// MarkDone adds a task whose Finish was called to the done tasks, and evicts records beyond the bounds.
func (s *AgentTasks) MarkDone(t *AgentTask, now time.Time) {
	t.element = s.done.PushBack(t)
	s.bytes += len(t.report.output) + recordOverheadBytes
	s.Evict(now)
}

// Evict removes the records that exceed the retention time or the bound on bytes, oldest first.
func (s *AgentTasks) Evict(now time.Time) {
	for e := s.done.Front(); e != nil; e = s.done.Front() {
		t := e.Value.(*AgentTask)
		if now.Sub(t.doneAt) <= s.retention && s.bytes <= s.maxBytes {
			return
		}
		s.remove(t)
	}
}

func (s *AgentTasks) remove(t *AgentTask) {
	delete(s.byID, t.order.attempt.id)
	records := s.byJob[t.order.attempt.id.key]
	for i, other := range records {
		if other == t {
			records[i] = records[len(records)-1]
			records = records[:len(records)-1]
			break
		}
	}
	if len(records) == 0 {
		delete(s.byJob, t.order.attempt.id.key)
	} else {
		s.byJob[t.order.attempt.id.key] = records
	}
	if t.element != nil {
		s.done.Remove(t.element)
		t.element = nil
		s.bytes -= len(t.report.output) + recordOverheadBytes
	}
}

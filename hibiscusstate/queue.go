package hibiscusstate

import (
	"container/heap"
	"slices"
	"time"
)

// FairQueue holds the queued tasks of one service.
//
// Teams share the service by weighted fair queueing: each team has a virtual time that advances by the Work of each task popped
// divided by the team's share, and the team with the lowest virtual time is served next. Shares order only waiting tasks, so the
// other teams use an idle team's share until its next task arrives. Within a team, tasks are served by earliest start time
// (Job.StartBy), in two classes: while long tasks take all slots that they may, only the short class is served.
//
// A started job with an objective is finished first, because the answer needs all of its tasks: when tasks with earlier start times went
// between them, a third of the longest jobs of an overloaded site ran in part and were given up.
//
// Under overload, earliest due time first would make every job late, as each is served just after its due time. A job that can no
// longer meet its objective is therefore demoted behind all jobs that can, unless most of it has run.
//
// Cancelled tasks stay in the heaps and are skipped when they reach the head, so that many cancellations at once scan nothing.
type FairQueue struct {
	teams       map[string]*teamQueue
	active      []*teamQueue
	virtualTime time.Duration
	waiting     int
	slots       int
	work        time.Duration
	// top and rest hold the work of the tasks that are not late, with and without top priority.
	top  WorkTable
	rest WorkTable
	// listed is the buffer of Waiting, and late that of DemoteLate.
	listed []*Task
	late   []*Task
}

type teamQueue struct {
	name        string
	share       int
	virtualTime time.Duration
	classes     [classCount]taskHeap
	// started are the waiting tasks of started jobs with an objective, which go before all others.
	started []*Task
	waiting int
	work    time.Duration
	active  bool
}

const (
	classShort = 0
	classLong  = 1
	// classLate holds the tasks of jobs that can no longer meet their objective.
	classLate  = 2
	classCount = 3

	// compactionSlack is the number of discarded tasks below which a compaction is not worth a pass over the heap.
	compactionSlack = 1024

	// maxStartedTasks is how many waiting tasks a started job may have to go before all others. A larger job would make the
	// others late meanwhile.
	maxStartedTasks = 32
)

// NewFairQueue returns an empty queue.
func NewFairQueue() *FairQueue { return &FairQueue{teams: map[string]*teamQueue{}} }

// SetShare sets the weight of a team; a weight below one counts as one.
func (q *FairQueue) SetShare(team string, share int) { q.team(team).share = max(share, 1) }

// Len returns the number of waiting tasks, without the cancelled ones.
func (q *FairQueue) Len() int { return q.waiting }

// TeamLen returns the number of waiting tasks of a team.
func (q *FairQueue) TeamLen(team string) int {
	t := q.teams[team]
	if t == nil {
		return 0
	}
	return t.waiting
}

// Slots returns how many slots the waiting tasks take.
func (q *FairQueue) Slots() int { return q.slots }

// Work returns the sum of Task.Work of the waiting tasks.
func (q *FairQueue) Work() time.Duration { return q.work }

// TeamWork returns the sum of Task.Work of a team's waiting tasks.
func (q *FairQueue) TeamWork(team string) time.Duration {
	t := q.teams[team]
	if t == nil {
		return 0
	}
	return t.work
}

// DemoteLate demotes the tasks whose jobs can no longer meet their objectives behind all others, and returns up to limit of
// the late tasks; the slice is valid until the next call.
func (q *FairQueue) DemoteLate(now time.Time, limit int) []*Task {
	q.late = q.late[:0]
	for _, team := range q.active {
		q.demoteLate(now, team)
		for _, t := range team.classes[classLate] {
			if t.phase == PhaseQueued && len(q.late) < limit {
				q.late = append(q.late, t)
			}
		}
	}
	return q.late
}

// WorkBefore returns the sum of Task.Work of the waiting tasks that are served before a task with this start time and priority,
// without late ones.
func (q *FairQueue) WorkBefore(startBy time.Time, topPriority bool) time.Duration {
	if topPriority {
		return q.top.Before(startBy)
	}
	return q.top.Total() + q.rest.Before(startBy)
}

// WorkTables returns the work of the waiting tasks with and without top priority by the time at which they have to start, without
// late ones.
func (q *FairQueue) WorkTables(now time.Time) (top, rest *WorkTable) {
	q.top.Advance(now)
	q.rest.Advance(now)
	return &q.top, &q.rest
}

// Waiting returns the waiting tasks that are not late in the order in which they are served within their teams, at most limit of
// each class; the slice is valid until the next call.
func (q *FairQueue) Waiting(limit int) []*Task {
	q.listed = q.listed[:0]
	for _, team := range q.active {
		q.list(team.started)
	}
	started := len(q.listed)
	for _, team := range q.active {
		for class := classShort; class <= classLong; class++ {
			q.list(team.classes[class][:min(limit, len(team.classes[class]))])
		}
	}
	slices.SortFunc(q.listed[started:], func(a, b *Task) int {
		if dueBefore(a, b) {
			return -1
		}
		return 1
	})
	return q.listed
}

// list adds the tasks that wait and are not late to the buffer of Waiting.
func (q *FairQueue) list(tasks []*Task) {
	for _, t := range tasks {
		if t.phase == PhaseQueued && !t.job.late {
			q.listed = append(q.listed, t)
		}
	}
}

// TeamShare returns the fraction of the service that a team's share amounts to among the teams with waiting tasks and itself.
func (q *FairQueue) TeamShare(team string) float64 {
	own := q.team(team)
	sum := 0
	for _, t := range q.active {
		if t != own {
			sum += t.share
		}
	}
	return float64(own.share) / float64(sum+own.share)
}

// Push adds a task that is in PhaseQueued.
func (q *FairQueue) Push(t *Task) {
	team := q.team(t.job.team)
	if t.job.started && !t.job.late && t.job.queued < maxStartedTasks {
		team.started = append(team.started, t)
	} else {
		heap.Push(&team.classes[team.classOf(t)], t)
	}
	team.waiting++
	team.work += t.Work()
	t.job.queued++
	q.count(t)
	q.waiting++
	q.slots += t.resources.slots
	q.work += t.Work()
	if !team.active {
		// A team that was idle starts at the queue's virtual time, so that idle time earns no credit.
		team.virtualTime = max(team.virtualTime, q.virtualTime)
		team.active = true
		q.active = append(q.active, team)
	}
}

// PutBack adds a task that was popped and not placed. Its team is not charged for it, and its job has not started because of it.
func (q *FairQueue) PutBack(t *Task) {
	team := q.team(t.job.team)
	if t.job.started && t.job.queued+1 == len(t.job.tasks) && t.job.Unplaced() {
		team.unstart(t.job)
	}
	q.Push(t)
	team.virtualTime -= t.Work() / time.Duration(team.share)
}

// Discard discards a queued task: it leaves the counts at once. Call it after the task got its final outcome. The heaps drop the
// task when it reaches the head, or when they hold more discarded tasks than others.
func (q *FairQueue) Discard(t *Task) {
	team := q.team(t.job.team)
	q.uncount(team, t)
	if team.heapSize() > 2*team.waiting+compactionSlack {
		team.compact()
	}
}

// compact removes the discarded tasks from the heaps. Without it, a caller that submits and cancels jobs while long tasks take all
// slots would exhaust the memory, because no task reaches the head.
func (t *teamQueue) compact() {
	t.started = slices.DeleteFunc(t.started, func(task *Task) bool { return task.phase != PhaseQueued })
	for i := range t.classes {
		t.classes[i] = slices.DeleteFunc(t.classes[i], func(task *Task) bool { return task.phase != PhaseQueued })
		heap.Init(&t.classes[i])
	}
}

// HeapSize returns the number of tasks in the heaps, the discarded ones included.
func (q *FairQueue) HeapSize() int {
	n := 0
	for _, t := range q.teams {
		n += t.heapSize()
	}
	return n
}

// Pop removes and returns the next task at now, without long tasks unless allowLong; it returns nil when there is none.
func (q *FairQueue) Pop(now time.Time, allowLong bool) *Task {
	var best *teamQueue
	var bestTask *Task
	for i := 0; i < len(q.active); {
		team := q.active[i]
		q.demoteLate(now, team)
		head := team.head(allowLong)
		if head == nil && team.heapSize() == 0 {
			team.active = false
			last := len(q.active) - 1
			q.active[i] = q.active[last]
			q.active = q.active[:last]
			continue
		}
		if head != nil && (best == nil || team.virtualTime < best.virtualTime) {
			best = team
			bestTask = head
		}
		i++
	}
	if best == nil {
		return nil
	}
	best.remove(bestTask)
	q.uncount(best, bestTask)
	q.virtualTime = best.virtualTime
	best.virtualTime += bestTask.Work() / time.Duration(best.share)
	return bestTask
}

// remove removes the task that head returned, and puts the other tasks of its job before all others.
func (t *teamQueue) remove(task *Task) {
	if len(t.started) > 0 && t.started[0] == task {
		t.started = slices.Delete(t.started, 0, 1)
		return
	}
	class := &t.classes[t.classOf(task)]
	heap.Pop(class)
	if !task.job.HasObjective() || task.job.late || task.job.queued > maxStartedTasks {
		return
	}
	task.job.started = true
	for next := class.peek(); next != nil && next.job == task.job; next = class.peek() {
		heap.Pop(class)
		t.started = append(t.started, next)
	}
}

// unstart returns the waiting tasks of a job to the heaps.
func (t *teamQueue) unstart(job *Job) {
	job.started = false
	t.started = slices.DeleteFunc(t.started, func(task *Task) bool {
		if task.job != job || task.phase != PhaseQueued {
			return false
		}
		heap.Push(&t.classes[t.classOf(task)], task)
		return true
	})
}

func (q *FairQueue) uncount(team *teamQueue, t *Task) {
	team.waiting--
	team.work -= t.Work()
	t.job.queued--
	q.uncountWork(t)
	q.waiting--
	q.slots -= t.resources.slots
	q.work -= t.Work()
}

// count adds the work of a task to the tables, unless its job is late.
func (q *FairQueue) count(t *Task) {
	t.counted = !t.job.late
	if t.counted {
		q.table(t).Advance(t.job.submittedAt)
		t.workBucket = q.table(t).Add(t.job.StartBy(), t.Work())
	}
}

// uncountWork removes the work of a task from the tables.
func (q *FairQueue) uncountWork(t *Task) {
	if t.counted {
		q.table(t).Remove(t.workBucket, t.Work())
		t.counted = false
	}
}

func (q *FairQueue) table(t *Task) *WorkTable {
	if t.job.topPriority {
		return &q.top
	}
	return &q.rest
}

func (q *FairQueue) team(name string) *teamQueue {
	t := q.teams[name]
	if t == nil {
		t = &teamQueue{name: name, share: 1}
		q.teams[name] = t
	}
	return t
}

// classOf returns the class of a task.
func (t *teamQueue) classOf(task *Task) int {
	switch {
	case task.job.late:
		return classLate
	case task.long:
		return classLong
	default:
		return classShort
	}
}

// heapSize returns the number of tasks in the heaps, the discarded ones included.
func (t *teamQueue) heapSize() int {
	n := len(t.started)
	for i := range t.classes {
		n += t.classes[i].Len()
	}
	return n
}

// demoteLate moves the tasks at the heads whose jobs can no longer meet their objectives to the class of late tasks.
func (q *FairQueue) demoteLate(now time.Time, t *teamQueue) {
	for class := classShort; class <= classLong; class++ {
		for head := t.classes[class].peek(); head != nil; head = t.classes[class].peek() {
			if !head.job.late && !head.job.yields(now, head) {
				break
			}
			heap.Pop(&t.classes[class])
			head.job.late = true
			for i := range head.job.tasks {
				q.uncountWork(&head.job.tasks[i])
			}
			heap.Push(&t.classes[classLate], head)
		}
	}
}

// head returns the next task of the team, and removes the tasks at the heads that were cancelled.
func (t *teamQueue) head(allowLong bool) *Task {
	for len(t.started) > 0 && t.started[0].phase != PhaseQueued {
		t.started = slices.Delete(t.started, 0, 1)
	}
	if len(t.started) > 0 && (allowLong || !t.started[0].long) {
		return t.started[0]
	}
	next := t.classes[classShort].peek()
	if allowLong {
		if long := t.classes[classLong].peek(); next == nil || (long != nil && dueBefore(long, next)) {
			next = long
		}
	}
	if next == nil {
		next = t.classes[classLate].peek()
	}
	return next
}

type taskHeap []*Task

// peek returns the first queued task, nil if there is none, and removes the tasks before it that have left the queue.
func (h *taskHeap) peek() *Task {
	for len(*h) > 0 && (*h)[0].phase != PhaseQueued {
		heap.Pop(h)
	}
	if len(*h) == 0 {
		return nil
	}
	return (*h)[0]
}

func (h taskHeap) Len() int { return len(h) }

func (h taskHeap) Less(a, b int) bool { return dueBefore(h[a], h[b]) }

func (h taskHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Push implements heap.Interface.
func (h *taskHeap) Push(x any) { *h = append(*h, x.(*Task)) }

// Pop implements heap.Interface.
func (h *taskHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return t
}

// dueBefore orders tasks by whether their job has top priority, then by its start time, then by its age, so that a started job is
// finished before the next one.
func dueBefore(a, b *Task) bool {
	if a.job.topPriority != b.job.topPriority {
		return a.job.topPriority
	}
	if x, y := a.job.StartBy(), b.job.StartBy(); !x.Equal(y) {
		return x.Before(y)
	}
	if a.job != b.job {
		if !a.job.submittedAt.Equal(b.job.submittedAt) {
			return a.job.submittedAt.Before(b.job.submittedAt)
		}
		return a.job.key.sequence < b.job.key.sequence
	}
	return a.id.index < b.id.index
}

package hibiscusstate

import (
	"container/heap"
	"slices"
	"time"
)

// FairQueue holds the tasks of one service that no agent has yet.
//
// Teams share the service by weighted fair queueing: each team has a virtual time that advances by the expected run time
// of what it sends divided by its share, and the team that is furthest behind goes next. A share orders only what waits,
// so an unused share is lent to the others and taken back with the next task of its owner. Within a team the earliest
// due time goes first (Job.Due), in two classes: when long work holds its cap of slots, only the short class is served.
//
// While more work comes than can be done in time, the earliest due time first would make every job late: each is served just
// after its time. So a job with an objective that can't be met any more yields to all jobs whose objective can, unless most of
// it has run.
//
// Cancelled tasks stay in the heaps and are skipped when they reach the head, so a wave of cancellations scans nothing.
type FairQueue struct {
	teams       map[string]*teamQueue
	active      []*teamQueue
	virtualTime time.Duration
	waiting     int
	slots       int
	work        time.Duration
}

type teamQueue struct {
	name        string
	share       int
	virtualTime time.Duration
	classes     [classCount]taskHeap
	waiting     int
	work        time.Duration
	active      bool
}

const (
	classShort = 0
	classLong  = 1
	// classLate holds the tasks of jobs that can't be in time any more.
	classLate  = 2
	classCount = 3

	// compactionSlack is the number of forgotten tasks below which compacting is not worth a pass over the heap.
	compactionSlack = 1024
)

// NewFairQueue returns an empty queue.
func NewFairQueue() *FairQueue { return &FairQueue{teams: map[string]*teamQueue{}} }

// SetShare sets the weight of a team; a weight below one counts as one.
func (q *FairQueue) SetShare(team string, share int) { q.team(team).share = max(share, 1) }

// Len returns the number of tasks that wait, without the cancelled ones.
func (q *FairQueue) Len() int { return q.waiting }

// TeamLen returns the number of tasks of a team that wait.
func (q *FairQueue) TeamLen(team string) int {
	t := q.teams[team]
	if t == nil {
		return 0
	}
	return t.waiting
}

// Slots returns how many slots the waiting tasks take.
func (q *FairQueue) Slots() int { return q.slots }

// Work returns the sum of the expected run times of the waiting tasks, each times the slots that it takes.
func (q *FairQueue) Work() time.Duration { return q.work }

// TeamWork returns Work of a team's waiting tasks.
func (q *FairQueue) TeamWork(team string) time.Duration {
	t := q.teams[team]
	if t == nil {
		return 0
	}
	return t.work
}

// DemoteLate moves the tasks whose jobs can't meet their objectives any more behind all others, and returns up to limit of
// the late ones.
func (q *FairQueue) DemoteLate(now time.Time, limit int) []*Task {
	var late []*Task
	for _, team := range q.active {
		team.demoteLate(now)
		for _, t := range team.classes[classLate] {
			if t.phase == PhaseQueued && len(late) < limit {
				late = append(late, t)
			}
		}
	}
	return late
}

// WorkBefore returns Work of the waiting tasks that go before one due at a time, first or not, without late ones; it looks at no
// more than limit tasks of each kind of heap and takes the rest as before it.
func (q *FairQueue) WorkBefore(due time.Time, first bool, limit int) time.Duration {
	work := time.Duration(0)
	for _, team := range q.active {
		for class := classShort; class <= classLong; class++ {
			tasks := team.classes[class]
			for i, t := range tasks {
				before := t.job.topPriority == first && !t.job.due.After(due) || t.job.topPriority && !first
				if i >= limit || t.phase == PhaseQueued && !t.job.late && before {
					work += t.Work()
				}
			}
		}
	}
	return work
}

// TeamShare returns the fraction of the service that a team is due among the teams that wait now, itself included.
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
	heap.Push(&team.classes[team.classOf(t)], t)
	team.waiting++
	team.work += t.Work()
	t.job.queued++
	q.waiting++
	q.slots += t.resources.slots
	q.work += t.Work()
	if !team.active {
		// A team that was idle starts at the queue's virtual time: idle time earns no credit.
		team.virtualTime = max(team.virtualTime, q.virtualTime)
		team.active = true
		q.active = append(q.active, team)
	}
}

// Discard takes a queued task out of the counts; call it after the task got its final outcome. The heaps drop it when it
// reaches the head, or when they hold more forgotten tasks than others.
func (q *FairQueue) Discard(t *Task) {
	team := q.team(t.job.team)
	q.uncount(team, t)
	if team.heapSize() > 2*team.waiting+compactionSlack {
		team.compact()
	}
}

// compact drops the forgotten tasks. Without it a caller that submits and cancels while all slots are held by long work
// fills the memory, because nothing reaches the head.
func (t *teamQueue) compact() {
	for i := range t.classes {
		t.classes[i] = slices.DeleteFunc(t.classes[i], func(task *Task) bool { return task.phase != PhaseQueued })
		heap.Init(&t.classes[i])
	}
}

// HeapSize returns the number of tasks that the heaps hold, the forgotten ones included.
func (q *FairQueue) HeapSize() int {
	n := 0
	for _, t := range q.teams {
		n += t.heapSize()
	}
	return n
}

// Pop takes the next task at now, without long ones unless allowLong; it returns nil when there is none.
func (q *FairQueue) Pop(now time.Time, allowLong bool) *Task {
	var best *teamQueue
	var bestTask *Task
	for i := 0; i < len(q.active); {
		team := q.active[i]
		team.demoteLate(now)
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
	heap.Pop(&best.classes[best.classOf(bestTask)])
	q.uncount(best, bestTask)
	q.virtualTime = best.virtualTime
	best.virtualTime += bestTask.Work() / time.Duration(best.share)
	return bestTask
}

func (q *FairQueue) uncount(team *teamQueue, t *Task) {
	team.waiting--
	team.work -= t.Work()
	t.job.queued--
	q.waiting--
	q.slots -= t.resources.slots
	q.work -= t.Work()
}

func (q *FairQueue) team(name string) *teamQueue {
	t := q.teams[name]
	if t == nil {
		t = &teamQueue{name: name, share: 1}
		q.teams[name] = t
	}
	return t
}

// classOf returns the class that a task waits in.
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

// heapSize returns the number of tasks that the heaps hold, the forgotten ones included.
func (t *teamQueue) heapSize() int {
	n := 0
	for i := range t.classes {
		n += t.classes[i].Len()
	}
	return n
}

// demoteLate moves the tasks at the heads whose job can't meet its objective any more into the class of late ones.
func (t *teamQueue) demoteLate(now time.Time) {
	for class := classShort; class <= classLong; class++ {
		for head := t.classes[class].peek(); head != nil; head = t.classes[class].peek() {
			if !head.job.late && !head.job.yields(now, head) {
				break
			}
			heap.Pop(&t.classes[class])
			head.job.late = true
			heap.Push(&t.classes[classLate], head)
		}
	}
}

// head returns the task of the team that is due first, and drops the tasks that were cancelled while they waited.
func (t *teamQueue) head(allowLong bool) *Task {
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

// dueBefore orders tasks by whether their job is first, then by when it is due, then by its age, so that a job that was begun is
// finished first.
func dueBefore(a, b *Task) bool {
	if a.job.topPriority != b.job.topPriority {
		return a.job.topPriority
	}
	if !a.job.due.Equal(b.job.due) {
		return a.job.due.Before(b.job.due)
	}
	if a.job != b.job {
		if !a.job.submittedAt.Equal(b.job.submittedAt) {
			return a.job.submittedAt.Before(b.job.submittedAt)
		}
		return a.job.key.sequence < b.job.key.sequence
	}
	return a.id.index < b.id.index
}

package hibiscusstate

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// TestDiscardedTasks guards against cancelled tasks that fill the memory while nothing is taken from the queue, and against
// a compaction that loses or reorders the tasks that are left.
func TestDiscardedTasks(t *testing.T) {
	start := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	q := NewFairQueue()
	kept := []*Task{}
	most := 0
	for i := range 50_000 {
		job := NewJob(NewSubmissionKey(1, uint64(i)), 0, "nokkhao", "sighting", start, start.Add(time.Duration(i)*time.Millisecond))
		job.AddTasks([]TaskSpec{NewTaskSpec("list_sync", nil, 0)})
		q.Push(job.Task(0))
		if i%100 == 0 {
			kept = append(kept, job.Task(0))
			continue
		}
		job.Task(0).Resolve(OutcomeNotRun, nil, "", 0)
		q.Discard(job.Task(0))
		most = max(most, q.HeapSize())
	}
	popped := []*Task{}
	for task := q.Pop(time.Time{}, true); task != nil; task = q.Pop(time.Time{}, true) {
		popped = append(popped, task)
	}
	convey.Convey("the heaps stay small and the other tasks come out in order", t, func() {
		convey.So(most, convey.ShouldBeLessThanOrEqualTo, 2*len(kept)+compactionSlack+1)
		convey.So(popped, convey.ShouldResemble, kept)
	})
}

// TestJobBytes guards against records of jobs with empty payloads that the bound on memory doesn't see.
func TestJobBytes(t *testing.T) {
	job := NewJob(NewSubmissionKey(1, 1), 0, "nokkhao", "sighting", time.Time{}, time.Time{})
	job.AddTasks(make([]TaskSpec, 1800))
	convey.Convey("a job of 1,800 tasks counts their records", t, func() {
		convey.So(job.Bytes(), convey.ShouldEqual, 1800*taskOverheadBytes)
	})
}

// TestTeamShares guards against a team that gets less than its share while others wait, an unused share that lies idle, and
// a team that is paid back for the time when it had nothing to run.
func TestTeamShares(t *testing.T) {
	start := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	q := NewFairQueue()
	q.SetShare("nokkhao", 60)
	q.SetShare("surveys", 20)
	sequence := uint64(0)
	push := func(team string, n int) {
		for range n {
			sequence++
			job := NewJob(NewSubmissionKey(1, sequence), 0, team, "sighting", start, start.Add(time.Hour))
			job.AddTasks([]TaskSpec{NewTaskSpec("list_sync", nil, 0)})
			job.Task(0).SetExpected(100*time.Millisecond, false)
			q.Push(job.Task(0))
		}
	}
	pop := func(n int) map[string]int {
		counts := map[string]int{}
		for range n {
			counts[q.Pop(time.Time{}, true).Job().Team()]++
		}
		return counts
	}
	push("surveys", 1000)
	alone := pop(400)
	push("nokkhao", 1000)
	convey.Convey("an unused share is lent whole, and comes back as a share, without credit", t, func() {
		convey.So(alone, convey.ShouldResemble, map[string]int{"surveys": 400})
		// Weighted fair queueing is exact up to one task of each team.
		convey.So(pop(400)["nokkhao"], convey.ShouldAlmostEqual, 300, 1)
	})
}

// TestTopPriorityKinds guards against urgent short jobs that wait behind longer ones that came before: in a burst of the users' sites, a
// seventh of the jobs of the first priority were late.
func TestTopPriorityKinds(t *testing.T) {
	start := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	q := NewFairQueue()
	push := func(sequence uint64, due time.Duration, first bool) *Task {
		job := NewJob(NewSubmissionKey(1, sequence), 0, "callers", "sighting", start, start.Add(time.Hour))
		job.AddTasks([]TaskSpec{NewTaskSpec("check", nil, 0)})
		job.SetObjective(start.Add(due), start.Add(3*due), first)
		job.Task(0).SetExpected(50*time.Millisecond, false)
		q.Push(job.Task(0))
		return job.Task(0)
	}
	early, late := push(1, 100*time.Millisecond, false), push(2, 300*time.Millisecond, false)
	urgent := push(3, 200*time.Millisecond, true)
	convey.Convey("what is first goes before what is due earlier, and only that is before it", t, func() {
		convey.So(q.WorkBefore(start.Add(time.Second), true, 10), convey.ShouldEqual, 50*time.Millisecond)
		convey.So(q.WorkBefore(start.Add(time.Millisecond), false, 10), convey.ShouldEqual, 50*time.Millisecond)
		convey.So(q.WorkBefore(start.Add(time.Second), false, 10), convey.ShouldEqual, 150*time.Millisecond)
		popped := []*Task{q.Pop(start, true), q.Pop(start, true), q.Pop(start, true)}
		convey.So(popped, convey.ShouldResemble, []*Task{urgent, early, late})
	})
}

// TestNearlyDoneJobs guards against a job of which most has run, and whose last task yields to all others until it is given up: the
// work of the others was for nothing.
func TestNearlyDoneJobs(t *testing.T) {
	start := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	next := func(tasks, waiting int) (job uint64) {
		q := NewFairQueue()
		push := func(sequence uint64, due time.Duration, n, waiting int) {
			job := NewJob(NewSubmissionKey(1, sequence), 0, "callers", "sighting", start, start.Add(time.Hour))
			job.AddTasks(make([]TaskSpec, n))
			job.SetObjective(start.Add(due), start.Add(3*due), false)
			for i := range waiting {
				job.Task(i).SetExpected(50*time.Millisecond, false)
				q.Push(job.Task(i))
			}
		}
		push(1, 100*time.Millisecond, tasks, waiting)
		push(2, 200*time.Millisecond, 1, 1)
		return q.Pop(start.Add(80*time.Millisecond), true).ID().Key().Sequence()
	}
	convey.Convey("a late job yields, unless no more than a fifth of it waits", t, func() {
		convey.So([]uint64{next(10, 10), next(10, 3), next(10, 2), next(1, 1)}, convey.ShouldResemble, []uint64{2, 2, 1, 2})
	})
}

package hibiscuscoordination

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"hibiscusrouter/hibiscusstate"
)

// rackScene is a policyScene that counts the starts of tasks; as at real agents, the tasks of a lost worker go on.
type rackScene struct {
	*policyScene
	workers  []hibiscusstate.Incarnation
	starts   map[hibiscusstate.TaskID]int
	seen     map[hibiscusstate.Incarnation]int
	outcomes map[hibiscusstate.Outcome]int
	falseNot int
}

func newRackScene(t *testing.T, n int) *rackScene {
	s := &rackScene{
		policyScene: newPolicyScene(t, n), starts: map[hibiscusstate.TaskID]int{}, seen: map[hibiscusstate.Incarnation]int{},
		outcomes: map[hibiscusstate.Outcome]int{},
	}
	for i := range n {
		s.workers = append(s.workers, hibiscusstate.Incarnation(100+i))
	}
	return s
}

// countStarts counts the orders that workers received since its last call as started, and returns their number.
func (s *rackScene) take(workers []hibiscusstate.Incarnation) int {
	n := 0
	for _, worker := range workers {
		for _, order := range s.has[worker][s.seen[worker]:] {
			s.starts[order.ID()]++
			n++
		}
		s.seen[worker] = len(s.has[worker])
	}
	return n
}

func (s *rackScene) finishAll(workers []hibiscusstate.Incarnation) int {
	n := 0
	for _, worker := range workers {
		n += s.finish(worker, hibiscusstate.OutcomeFinished, 100*time.Millisecond)
		s.seen[worker] = 0
	}
	return n
}

// submitTold submits jobs and logs the immediate refusals; later answers are counted by outcome.
func (s *rackScene) submitTold(n int) {
	refused, submitted := map[hibiscusstate.Refusal]int{}, false
	for range n {
		key := s.d.IssueKeys(1)[0]
		submission := NewSubmission(key, 0, "review", "check",
			[]hibiscusstate.TaskSpec{hibiscusstate.NewTaskSpec("right", nil, 0)}).WithWait(time.Hour)
		s.d.Submit(s.now, submission, func(a *Answer) {
			if !submitted && a.Refusal() != hibiscusstate.RefusalNone {
				refused[a.Refusal()]++
				return
			}
			for i, task := range a.Tasks() {
				s.outcomes[task.Outcome()]++
				if task.Outcome() == hibiscusstate.OutcomeNotRun && s.starts[hibiscusstate.NewTaskID(key, i)] > 0 {
					s.falseNot++
				}
			}
		})
	}
	submitted = true
	s.d.Flush(s.now)
	s.note("%d jobs submitted, refused at once: %v", n, refused)
}

// disconnect ends the sessions of workers at the same time.
func (s *rackScene) lose(workers []hibiscusstate.Incarnation) {
	for _, worker := range workers {
		s.d.WorkerDown(s.now, worker)
	}
	s.d.Flush(s.now)
	s.note("%d workers disconnected", len(workers))
}

// comeBack opens the sessions again. The agents report that their tasks have finished, except the last one, which never received
// its orders.
func (s *rackScene) comeBack(workers []hibiscusstate.Incarnation) {
	last := workers[len(workers)-1]
	orders := s.has[last]
	s.has[last] = nil
	s.seen[last] = 0
	for _, worker := range workers {
		s.worker(worker, fmt.Sprintf("10.0.2.%d:7300", int(worker)-99), "check", 8)
	}
	finished := s.finishAll(workers[:len(workers)-1])
	for _, order := range orders {
		s.starts[order.ID()]--
		s.d.Reports(s.now, last, []hibiscusstate.Report{hibiscusstate.NewStatusReport(order.Try(), hibiscusstate.StatusNeverReceived)})
	}
	s.d.Flush(s.now)
	s.note("%d workers reconnected, %d of their tasks finished, %d were never received", len(workers), finished, len(orders))
}

// TestRacksLost guards against tasks that are started twice when several racks are lost at once, tasks that are placed on lost
// workers, an estimate that still counts their slots, and workers that get no tasks after they reconnect.
func TestRacksLost(t *testing.T) {
	s := newRackScene(t, 11)
	lost, kept := s.workers[:6], s.workers[6:]
	s.pass(time.Second)
	s.submitTold(400)
	s.note("started on workers: %d", s.take(s.workers))
	s.lose(lost)
	s.submitTold(100)
	s.note("started on remaining workers: %d", s.take(kept))
	for range 5 {
		s.pass(100 * time.Millisecond)
		finished := s.finishAll(kept)
		s.note("finished on remaining workers: %d, started: %d, started on lost workers: %d", finished, s.take(kept), s.take(lost))
	}
	s.submitTold(100)
	s.comeBack(lost)
	s.note("started at once on reconnected workers: %d", s.take(lost))
	for range 10 {
		s.pass(100 * time.Millisecond)
		finished := s.finishAll(kept) + s.finishAll(lost)
		if finished == 0 {
			continue
		}
		s.note("finished: %d, started on remaining workers: %d, on reconnected workers: %d", finished, s.take(kept), s.take(lost))
	}
	s.submitTold(88)
	var perWorker []int
	for i := range s.workers {
		perWorker = append(perWorker, s.take(s.workers[i:i+1]))
	}
	s.note("started on each worker one second later: %v", perWorker)
	s.pass(100 * time.Millisecond)
	s.finishAll(s.workers)
	s.pass(5 * time.Second)
	s.note("outcomes: %v", s.outcomes)
	s.golden("racks_lost")
	Convey("No task is started twice, and none that was started is reported as not run", t, func() {
		twice := 0
		for _, n := range s.starts {
			if n > 1 {
				twice++
			}
		}
		So([]int{twice, s.falseNot}, ShouldResemble, []int{0, 0})
	})
}

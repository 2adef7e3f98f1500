package hibiscuscoordination

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"hibiscusrouter/hibiscusstate"
)

// rackHarness is a policyHarness that counts the starts of tasks; as at real agents, the tasks of a lost worker continue.
type rackHarness struct {
	*policyHarness
	workers       []hibiscusstate.Incarnation
	starts        map[hibiscusstate.TaskID]int
	counted       map[hibiscusstate.Incarnation]int
	outcomes      map[hibiscusstate.Outcome]int
	falselyNotRun int
}

func newRackHarness(t *testing.T, n int) *rackHarness {
	s := &rackHarness{
		policyHarness: newPolicyHarness(t, n), starts: map[hibiscusstate.TaskID]int{}, counted: map[hibiscusstate.Incarnation]int{},
		outcomes: map[hibiscusstate.Outcome]int{},
	}
	for i := range n {
		s.workers = append(s.workers, hibiscusstate.Incarnation(100+i))
	}
	return s
}

// countStarts counts the orders that workers received since its last call as started, and returns their number.
func (s *rackHarness) countStarts(workers []hibiscusstate.Incarnation) int {
	n := 0
	for _, worker := range workers {
		for _, order := range s.orders[worker][s.counted[worker]:] {
			s.starts[order.ID()]++
			n++
		}
		s.counted[worker] = len(s.orders[worker])
	}
	return n
}

func (s *rackHarness) reportAllFinished(workers []hibiscusstate.Incarnation) int {
	n := 0
	for _, worker := range workers {
		n += s.reportResults(worker, hibiscusstate.OutcomeFinished, 100*time.Millisecond)
		s.counted[worker] = 0
	}
	return n
}

// submitJobs submits jobs and logs the immediate refusals; later answers are counted by outcome.
func (s *rackHarness) submitJobs(n int) {
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
					s.falselyNotRun++
				}
			}
		})
	}
	submitted = true
	s.d.Flush(s.now)
	s.logf("%d jobs submitted, refused at once: %v", n, refused)
}

// disconnect ends the sessions of workers at the same time.
func (s *rackHarness) disconnect(workers []hibiscusstate.Incarnation) {
	for _, worker := range workers {
		s.d.WorkerDown(s.now, worker, s.now)
	}
	s.d.Flush(s.now)
	s.logf("%d workers disconnected", len(workers))
}

// reconnect opens the sessions again. The agents report that their tasks have finished, except the last one, which never received
// its orders.
func (s *rackHarness) reconnect(workers []hibiscusstate.Incarnation) {
	last := workers[len(workers)-1]
	orders := s.orders[last]
	s.orders[last] = nil
	s.counted[last] = 0
	for _, worker := range workers {
		s.connectWorker(worker, fmt.Sprintf("10.0.2.%d:7300", int(worker)-99), "check", 8)
	}
	finished := s.reportAllFinished(workers[:len(workers)-1])
	for _, order := range orders {
		s.starts[order.ID()]--
		s.d.HandleReports(s.now, last, []hibiscusstate.Report{hibiscusstate.NewStatusReport(order.Attempt(), hibiscusstate.StatusNeverReceived)})
	}
	s.d.Flush(s.now)
	s.logf("%d workers reconnected, %d of their tasks finished, %d were never received", len(workers), finished, len(orders))
}

// TestRacksLost guards against tasks that are started twice when several racks are lost at once, tasks that are placed on lost
// workers, an estimate that still counts their slots, and workers that get no tasks after they reconnect.
func TestRacksLost(t *testing.T) {
	s := newRackHarness(t, 11)
	lost, kept := s.workers[:6], s.workers[6:]
	s.advance(time.Second)
	s.submitJobs(400)
	s.logf("started on workers: %d", s.countStarts(s.workers))
	s.disconnect(lost)
	s.submitJobs(100)
	s.logf("started on remaining workers: %d", s.countStarts(kept))
	for range 5 {
		s.advance(100 * time.Millisecond)
		finished := s.reportAllFinished(kept)
		s.logf("finished on remaining workers: %d, started: %d, started on lost workers: %d", finished, s.countStarts(kept), s.countStarts(lost))
	}
	s.submitJobs(100)
	s.reconnect(lost)
	s.logf("started at once on reconnected workers: %d", s.countStarts(lost))
	for range 10 {
		s.advance(100 * time.Millisecond)
		finished := s.reportAllFinished(kept) + s.reportAllFinished(lost)
		if finished == 0 {
			continue
		}
		s.logf("finished: %d, started on remaining workers: %d, on reconnected workers: %d", finished, s.countStarts(kept), s.countStarts(lost))
	}
	s.submitJobs(88)
	var perWorker []int
	for i := range s.workers {
		perWorker = append(perWorker, s.countStarts(s.workers[i:i+1]))
	}
	s.logf("started on each worker one second later: %v", perWorker)
	s.advance(100 * time.Millisecond)
	s.reportAllFinished(s.workers)
	s.advance(5 * time.Second)
	s.logf("outcomes: %v", s.outcomes)
	s.assertGolden("racks_lost")
	Convey("No task is started twice, and none that was started is reported as not run", t, func() {
		twice := 0
		for _, n := range s.starts {
			if n > 1 {
				twice++
			}
		}
		So([]int{twice, s.falselyNotRun}, ShouldResemble, []int{0, 0})
	})
}

package hibiscuscoordination

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/smartystreets/goconvey/convey"

	"hibiscusrouter/hibiscusstate"
)

// policyHarness is a Dispatcher with a transcript of its decisions; the test sends the reports of its agents.
type policyHarness struct {
	t          *testing.T
	now        time.Time
	d          *Dispatcher
	orders     map[hibiscusstate.Incarnation][]hibiscusstate.Order
	transcript []string
}

// newPolicyHarness returns an entry with n workers of 8 slots for the service check, which depends on the service lookup.
func newPolicyHarness(t *testing.T, n int) *policyHarness {
	s := &policyHarness{t: t, now: time.Unix(0, 0).UTC(), orders: map[hibiscusstate.Incarnation][]hibiscusstate.Order{}}
	s.d = NewDispatcher(1, NewDispatcherSeams(
		func(worker hibiscusstate.Incarnation, m Message) bool {
			s.orders[worker] = append(s.orders[worker], m.Orders()...)
			return true
		},
		func(e Event) { s.logf("event: %s %s, %s", e.Kind(), e.Subject(), e.Cause()) },
		func(time.Duration) time.Duration { return 0 },
	))
	kinds := []hibiscusstate.Kind{
		hibiscusstate.NewKind("right", false, true, 100*time.Millisecond, 2*time.Second),
		hibiscusstate.NewKind("wrong", false, true, 30*time.Second, 5*time.Second),
	}
	services := []hibiscusstate.Service{
		hibiscusstate.NewService("check", []string{"lookup"}, kinds), hibiscusstate.NewService("lookup", nil, nil),
	}
	s.d.Configure(s.now, hibiscusstate.NewConfiguration(1, "", hibiscusstate.NewDocument(services,
		[]hibiscusstate.Team{hibiscusstate.NewTeam("review", 1, 0)})))
	for i := range n {
		s.connectWorker(hibiscusstate.Incarnation(100+i), fmt.Sprintf("10.0.2.%d:7300", i+1), "check", 8)
	}
	s.connectWorker(200, "10.0.3.1:7300", "lookup", 1)
	return s
}

func (s *policyHarness) connectWorker(id hibiscusstate.Incarnation, address, service string, slots int) {
	s.d.WorkerUp(s.now, NewHello(RoleAgent, id, address, "a", 1, NewCapacity(service, slots, false, 1)))
}

func (s *policyHarness) logf(format string, args ...any) {
	s.transcript = append(s.transcript, fmt.Sprintf("%7d ms  ", s.now.Sub(time.Unix(0, 0)).Milliseconds())+fmt.Sprintf(format, args...))
}

// submit submits n jobs of one task and logs how many were refused at once, by reason.
func (s *policyHarness) submit(n int, kind string) {
	refused := map[hibiscusstate.Refusal]int{}
	for range n {
		submission := NewSubmission(s.d.IssueKeys(1)[0], 0, "review", "check",
			[]hibiscusstate.TaskSpec{hibiscusstate.NewTaskSpec(kind, nil, 0)}).WithWait(time.Hour)
		s.d.Submit(s.now, submission, func(a *Answer) {
			if a.Refusal() != hibiscusstate.RefusalNone {
				refused[a.Refusal()]++
			}
		})
	}
	s.d.Flush(s.now)
	s.logf("%d %s jobs submitted, refused: %v", n, kind, refused)
}

// advance advances the time by d, in ticks.
func (s *policyHarness) advance(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(tickInterval)
		s.d.Tick(s.now)
		s.d.Flush(s.now)
	}
}

// reportResults reports the same result for all tasks of a worker and returns their number.
func (s *policyHarness) reportResults(worker hibiscusstate.Incarnation, outcome hibiscusstate.Outcome, took time.Duration) int {
	orders := s.orders[worker]
	s.orders[worker] = nil
	for _, order := range orders {
		report := hibiscusstate.NewResult(order.Attempt(), outcome, nil, "", took).WithLoad(0, 0, 1)
		s.d.HandleReports(s.now, worker, []hibiscusstate.Report{report})
	}
	s.d.Flush(s.now)
	return len(orders)
}

func (s *policyHarness) assertGolden(name string) {
	goldie.New(s.t, goldie.WithFixtureDir("testdata")).Assert(s.t, name, []byte(strings.Join(s.transcript, "\n")+"\n"))
}

// TestWrongRunTime guards against a kind with a declared run time that is 300 times too long, because of which jobs of another
// kind are refused as too late.
func TestWrongRunTime(t *testing.T) {
	s := newPolicyHarness(t, 1)
	for range 2 {
		s.submit(8, "right")
		s.advance(100 * time.Millisecond)
		s.reportResults(100, hibiscusstate.OutcomeFinished, 100*time.Millisecond)
	}
	s.submit(20, "wrong")
	s.submit(20, "right")
	s.assertGolden("policy_wrong_run_time")
}

// TestFailingWorker guards against a worker that fails every task and still gets tasks, and against an ejected worker that is
// never probed, or probed with more than one task.
func TestFailingWorker(t *testing.T) {
	s := newPolicyHarness(t, 4)
	runJobs := func(failing bool) {
		s.submit(24, "right")
		s.advance(100 * time.Millisecond)
		for _, worker := range []hibiscusstate.Incarnation{101, 102, 103} {
			s.reportResults(worker, hibiscusstate.OutcomeFinished, 100*time.Millisecond)
		}
		outcome := hibiscusstate.OutcomeFinished
		if failing {
			outcome = hibiscusstate.OutcomeFailed
		}
		s.logf("worker 1 had %d tasks, they %s", s.reportResults(100, outcome, time.Millisecond), outcome)
	}
	runJobs(true)
	runJobs(true)
	s.advance(2 * time.Second)
	runJobs(true)
	s.advance(4 * time.Second)
	runJobs(false)
	runJobs(false)
	s.assertGolden("policy_failing_worker")
}

// TestFailingWorkerOfTwo guards against a failing worker that is not ejected because one of two workers exceeds maxEjectedPercent,
// and against the ejection of both.
func TestFailingWorkerOfTwo(t *testing.T) {
	s := newPolicyHarness(t, 2)
	for range 3 {
		s.submit(12, "right")
		s.advance(100 * time.Millisecond)
		s.logf("worker 2 finished %d tasks", s.reportResults(101, hibiscusstate.OutcomeFinished, 100*time.Millisecond))
		s.logf("worker 1 failed %d tasks", s.reportResults(100, hibiscusstate.OutcomeFailed, time.Millisecond))
	}
	s.submit(8, "right")
	s.logf("worker 2 failed %d tasks", s.reportResults(101, hibiscusstate.OutcomeFailed, time.Millisecond))
	s.assertGolden("policy_failing_worker_of_two")
}

// TestStraggler guards against a worker that takes five times as long as the others and still gets tasks, against a good worker
// that is ejected after one long task, and against a worker that is fast again and never reinstated.
func TestStraggler(t *testing.T) {
	s := newPolicyHarness(t, 4)
	runJobs := func(first, others time.Duration) {
		s.submit(24, "right")
		s.advance(100 * time.Millisecond)
		for _, worker := range []hibiscusstate.Incarnation{101, 102, 103} {
			s.reportResults(worker, hibiscusstate.OutcomeFinished, others)
		}
		s.logf("worker 1 had %d tasks of %v", s.reportResults(100, hibiscusstate.OutcomeFinished, first), first)
	}
	const typical = 100 * time.Millisecond
	for range 4 {
		runJobs(typical, typical)
	}
	s.submit(24, "right")
	long := hibiscusstate.NewResult(s.orders[100][0].Attempt(), hibiscusstate.OutcomeFinished, nil, "", 100*typical).WithLoad(0, 0, 1)
	s.d.HandleReports(s.now, 100, []hibiscusstate.Report{long})
	s.orders[100] = s.orders[100][1:]
	s.logf("worker 1 had one task of %v", 100*typical)
	runJobs(typical, typical)
	for range 5 {
		runJobs(5*typical, typical)
	}
	for range 8 {
		s.advance(2 * time.Second)
		runJobs(5*typical, typical)
	}
	for range 30 {
		s.advance(2 * time.Second)
		runJobs(typical, typical)
	}
	s.assertGolden("policy_straggler")
}

// TestDependencyDown guards against jobs that are admitted while their service's dependency has no endpoint, and then fail.
func TestDependencyDown(t *testing.T) {
	s := newPolicyHarness(t, 1)
	s.submit(1, "right")
	s.d.UpdateCapacity(s.now, 200, NewCapacity("lookup", 0, false, 1))
	s.submit(1, "right")
	s.d.UpdateCapacity(s.now, 200, NewCapacity("lookup", 1, false, 1))
	s.submit(1, "right")
	s.assertGolden("policy_dependency_down")
}

// TestRefusedRetries guards against retries of refused callers that prolong a load peak, against first attempts that are refused
// because of them, and against a job that is refused as not run and leaves a record.
func TestRefusedRetries(t *testing.T) {
	s := newPolicyHarness(t, 1)
	submit := func(key hibiscusstate.SubmissionKey, attempt int) string {
		result := "admitted"
		task := []hibiscusstate.TaskSpec{hibiscusstate.NewTaskSpec("right", nil, 0)}
		s.d.Submit(s.now, NewSubmission(key, 0, "review", "check", task).WithAttempt(attempt).WithWait(time.Hour), func(a *Answer) {
			result = fmt.Sprintf("%s, not run: %t, retry after %v", a.Refusal(), a.NotRun(), a.RetryAfter())
		})
		return result
	}
	keys := s.d.IssueKeys(40)
	for _, key := range keys[:24] {
		submit(key, 1)
	}
	for _, key := range keys[24:30] {
		s.logf("second attempt: %s", submit(key, 2))
	}
	s.logf("first attempt: %s", submit(keys[30], 1))
	s.d.UpdateCapacity(s.now, 200, NewCapacity("lookup", 0, false, 1))
	s.logf("dependency without endpoint: %s", submit(keys[31], 1))
	s.logf("job records: %d, queued tasks: %d", len(s.d.jobs), s.d.pool("check").queue.Len())
	s.d.UpdateCapacity(s.now, 200, NewCapacity("lookup", 1, false, 1))
	s.logf("refused key submitted again: %s", submit(keys[31], 1))
	s.assertGolden("policy_refused_retries")
}

// TestUnevenRunTimes guards against good workers that are ejected as stragglers because a tenth of the tasks of a kind run a
// hundred times as long as the others.
func TestUnevenRunTimes(t *testing.T) {
	s := newPolicyHarness(t, 4)
	n := 0
	for range 60 {
		s.submit(24, "right")
		s.advance(100 * time.Millisecond)
		for worker := hibiscusstate.Incarnation(100); worker < 104; worker++ {
			for len(s.orders[worker]) > 0 {
				took := 100 * time.Millisecond
				if n++; n%10 == 0 {
					took *= 100
				}
				report := hibiscusstate.NewResult(s.orders[worker][0].Attempt(), hibiscusstate.OutcomeFinished, nil, "", took).WithLoad(0, 0, 1)
				s.orders[worker] = s.orders[worker][1:]
				s.d.HandleReports(s.now, worker, []hibiscusstate.Report{report})
			}
		}
		s.d.Flush(s.now)
	}
	events := slices.DeleteFunc(s.transcript, func(line string) bool { return !strings.Contains(line, "event") })
	convey.Convey("no worker is ejected", t, func() { convey.So(events, convey.ShouldBeEmpty) })
}

// TestStopWaiting guards against an entry process that crashes when an agent rejects a waiting task because it was stopped: the
// counters had no element for that reason.
func TestStopWaiting(t *testing.T) {
	s := newPolicyHarness(t, 1)
	s.submit(1, "right")
	order := s.orders[100][0]
	s.d.Cancel(s.now, NewCancel(order.ID().Key()).WithWait(time.Hour), func(a *Answer) {
		s.logf("cancelled: %s, task %s", a.State(), a.Tasks()[0].Outcome())
	})
	s.d.HandleReports(s.now, 100, []hibiscusstate.Report{hibiscusstate.NewRejection(order.Attempt(), hibiscusstate.RejectionStopped)})
	s.assertGolden("policy_stop_waiting")
}

// TestAdmissionCountsLiveSlots guards against an estimate that counts slots of unusable workers, so that jobs which can't be in
// time are admitted instead of refused at once.
func TestAdmissionCountsLiveSlots(t *testing.T) {
	s := newPolicyHarness(t, 0)
	for _, cause := range []string{"good", "drained", "leaving", "without endpoint", "without session", "ejected", "probed"} {
		harness := newPolicyHarness(t, 4)
		harness.advance(time.Second)
		harness.logf("one of four workers is %s", cause)
		harness.disableWorker(100, cause)
		harness.submit(400, "right")
		s.transcript = append(s.transcript, harness.transcript...)
	}
	s.assertGolden("policy_live_slots")
}

// disableWorker makes a worker unusable for the given cause.
func (s *policyHarness) disableWorker(worker hibiscusstate.Incarnation, cause string) {
	capacity := func(slots int, leaving, drained bool) {
		s.d.UpdateCapacity(s.now, worker, NewCapacity("check", slots, leaving, 1).WithDrained(drained))
	}
	switch cause {
	case "good":
	case "drained":
		capacity(8, false, true)
	case "leaving":
		capacity(8, true, false)
	case "without endpoint":
		capacity(0, false, false)
	case "without session":
		s.d.WorkerDown(s.now, worker, s.now)
	case "ejected", "probed":
		s.submit(24, "right")
		s.reportResults(worker, hibiscusstate.OutcomeFailed, time.Millisecond)
		for _, other := range []hibiscusstate.Incarnation{101, 102, 103} {
			s.reportResults(other, hibiscusstate.OutcomeFinished, 100*time.Millisecond)
		}
		if cause == "probed" {
			s.advance(minProbeDelay)
		}
	default:
		s.t.Fatalf("unknown cause %q", cause)
	}
}

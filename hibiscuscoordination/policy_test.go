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

// policyHarness is a Dispatcher whose agents a test answers by hand, and a transcript of what it decides.
type policyHarness struct {
	t     *testing.T
	now   time.Time
	d     *Dispatcher
	orders   map[hibiscusstate.Incarnation][]hibiscusstate.Order
	transcript []string
}

// newPolicyHarness returns an entry with n workers of 8 slots for the service check, which needs the service lookup.
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

// submit submits n jobs of one task and notes how many were refused at once, and why.
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

// pass lets time pass, in ticks.
func (s *policyHarness) advance(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(tickInterval)
		s.d.Tick(s.now)
		s.d.Flush(s.now)
	}
}

// finish lets a worker report all that it has.
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

// TestWrongRunTime guards against a kind whose declared run time is 300 times too long and makes the jobs of another kind
// look too late.
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

// TestFailingWorker guards against a worker that fails every task and keeps getting them, and against one that is never
// tried again or tried with more than one task.
func TestFailingWorker(t *testing.T) {
	s := newPolicyHarness(t, 4)
	work := func(failing bool) {
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
	work(true)
	work(true)
	s.advance(2 * time.Second)
	work(true)
	s.advance(4 * time.Second)
	work(false)
	work(false)
	s.assertGolden("policy_failing_worker")
}

// TestFailingWorkerOfTwo guards against a small service whose failing worker stays in, because one of two is over the cap,
// and against one that takes out both.
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

// TestStraggler guards against a worker that takes five times as long as the others and keeps getting tasks, against
// one long task that takes a good worker out, and against a worker that is fast again and never comes back.
func TestStraggler(t *testing.T) {
	s := newPolicyHarness(t, 4)
	work := func(first, others time.Duration) {
		s.submit(24, "right")
		s.advance(100 * time.Millisecond)
		for _, worker := range []hibiscusstate.Incarnation{101, 102, 103} {
			s.reportResults(worker, hibiscusstate.OutcomeFinished, others)
		}
		s.logf("worker 1 had %d tasks of %v", s.reportResults(100, hibiscusstate.OutcomeFinished, first), first)
	}
	const usual = 100 * time.Millisecond
	for range 4 {
		work(usual, usual)
	}
	s.submit(24, "right")
	long := hibiscusstate.NewResult(s.orders[100][0].Attempt(), hibiscusstate.OutcomeFinished, nil, "", 100*usual).WithLoad(0, 0, 1)
	s.d.HandleReports(s.now, 100, []hibiscusstate.Report{long})
	s.orders[100] = s.orders[100][1:]
	s.logf("worker 1 had one task of %v", 100*usual)
	work(usual, usual)
	for range 5 {
		work(5*usual, usual)
	}
	for range 8 {
		s.advance(2 * time.Second)
		work(5*usual, usual)
	}
	for range 30 {
		s.advance(2 * time.Second)
		work(usual, usual)
	}
	s.assertGolden("policy_straggler")
}

// TestDependencyDown guards against work that is taken while a service that it needs has no endpoint, and is lost or fails.
func TestDependencyDown(t *testing.T) {
	s := newPolicyHarness(t, 1)
	s.submit(1, "right")
	s.d.UpdateCapacity(s.now, 200, NewCapacity("lookup", 0, false, 1))
	s.submit(1, "right")
	s.d.UpdateCapacity(s.now, 200, NewCapacity("lookup", 1, false, 1))
	s.submit(1, "right")
	s.assertGolden("policy_dependency_down")
}

// TestRefusedRetries guards against refused callers that keep a surge up by coming back, against a first try that pays for
// them, and against a refusal that says not run and leaves a trace of its job.
func TestRefusedRetries(t *testing.T) {
	s := newPolicyHarness(t, 1)
	try := func(key hibiscusstate.SubmissionKey, attempt int) string {
		told := "admitted"
		task := []hibiscusstate.TaskSpec{hibiscusstate.NewTaskSpec("right", nil, 0)}
		s.d.Submit(s.now, NewSubmission(key, 0, "review", "check", task).WithAttempt(attempt).WithWait(time.Hour), func(a *Answer) {
			told = fmt.Sprintf("%s, not run: %t, retry after %v", a.Refusal(), a.NotRun(), a.RetryAfter())
		})
		return told
	}
	keys := s.d.IssueKeys(40)
	for _, key := range keys[:24] {
		try(key, 1)
	}
	for _, key := range keys[24:30] {
		s.logf("second try: %s", try(key, 2))
	}
	s.logf("first try: %s", try(keys[30], 1))
	s.d.UpdateCapacity(s.now, 200, NewCapacity("lookup", 0, false, 1))
	s.logf("without the service that it needs: %s", try(keys[31], 1))
	s.logf("jobs with a record: %d, tasks that wait: %d", len(s.d.jobs), s.d.pool("check").queue.Len())
	s.d.UpdateCapacity(s.now, 200, NewCapacity("lookup", 1, false, 1))
	s.logf("the refused key again: %s", try(keys[31], 1))
	s.assertGolden("policy_refused_tries")
}

// TestUnevenRunTimes guards against good workers that are called stragglers because a tenth of the tasks of a kind run a
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
	convey.Convey("no worker is taken out", t, func() { convey.So(events, convey.ShouldBeEmpty) })
}

// TestStopWaiting guards against an entry that ends on the rejection of a waiting task that it asked to stop: the counters
// had no place for that reason.
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

// TestAdmissionCountsLiveSlots guards against an estimate that counts slots which get no work: jobs are then taken that
// can't be in time, instead of being refused at once.
func TestAdmissionCountsLiveSlots(t *testing.T) {
	s := newPolicyHarness(t, 0)
	for _, cause := range []string{"good", "drained", "leaving", "without endpoint", "without session", "out", "on trial"} {
		scene := newPolicyHarness(t, 4)
		scene.advance(time.Second)
		scene.logf("one of four workers is %s", cause)
		scene.disableWorker(100, cause)
		scene.submit(400, "right")
		s.transcript = append(s.transcript, scene.transcript...)
	}
	s.assertGolden("policy_live_slots")
}

// lose takes the slots of a worker away.
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
		s.d.WorkerDown(s.now, worker)
	case "out", "on trial":
		s.submit(24, "right")
		s.reportResults(worker, hibiscusstate.OutcomeFailed, time.Millisecond)
		for _, other := range []hibiscusstate.Incarnation{101, 102, 103} {
			s.reportResults(other, hibiscusstate.OutcomeFinished, 100*time.Millisecond)
		}
		if cause == "on trial" {
			s.advance(minProbeDelay)
		}
	default:
		s.t.Fatalf("unknown cause %q", cause)
	}
}

package hibiscuscoordination

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"hibiscusrouter/hibiscusstate"
)

// newNamedDispatcher returns a Dispatcher without workers that admits named jobs of the kind check.
func newNamedDispatcher(now time.Time) *Dispatcher {
	return newNamedDispatcherWithSend(now, func(hibiscusstate.Incarnation, Message) bool { return true })
}

// newNamedDispatcherWithSend is newNamedDispatcher with a function that receives its messages.
func newNamedDispatcherWithSend(now time.Time, send func(hibiscusstate.Incarnation, Message) bool) *Dispatcher {
	d := NewDispatcher(1, NewDispatcherSeams(send, func(Event) {}, func(time.Duration) time.Duration { return 0 }))
	kinds := []hibiscusstate.Kind{hibiscusstate.NewKind("check", false, true, 100*time.Millisecond, time.Minute).
		WithMaxAttempts(2).WithObjective(1.6, 60*time.Millisecond)}
	d.Configure(now, hibiscusstate.NewConfiguration(1, "", hibiscusstate.NewDocument(
		[]hibiscusstate.Service{hibiscusstate.NewService("checks", nil, kinds)}, []hibiscusstate.Team{hibiscusstate.NewTeam("a", 1, 100)})))
	d.Tick(now)
	return d
}

// TestNamedJobRecordsAreDeleted guards against records of named jobs that are retained for ten minutes as those of other jobs are:
// they are never requested, and at 50 jobs a second they would take more memory than an entry VM has.
func TestNamedJobRecordsAreDeleted(t *testing.T) {
	Convey("The record of a named job is deleted when the job has ended", t, func() {
		now := time.Unix(1_000_000, 0)
		d := newNamedDispatcher(now)
		answers := 0
		for i, name := range []string{"one", "two", "one"} {
			s := NewNamedSubmission(name, "a", "checks", []hibiscusstate.TaskSpec{hibiscusstate.NewTaskSpec("check", make([]byte, 1000), 0)}).
				WithWait(time.Hour)
			d.SubmitNamed(now, s, uint64(i), func(*Answer) { answers++ })
		}
		So([]int{len(d.jobs), len(d.namedJobs), answers}, ShouldResemble, []int{2, 2, 0})
		d.CallerDisconnected(now, "one", 0)
		So([]int{len(d.jobs), len(d.namedJobs), answers}, ShouldResemble, []int{2, 2, 0})
		d.CallerDisconnected(now, "one", 2)
		d.CallerDisconnected(now, "two", 1)
		So([]int{len(d.jobs), len(d.namedJobs), d.finishedJobs.Len(), d.recordBytes}, ShouldResemble, []int{0, 0, 0, 0})
	})
}

// TestTooLargeTasksAreRefused guards against a task that fits no endpoint and blocks the queue until its deadline.
func TestTooLargeTasksAreRefused(t *testing.T) {
	Convey("A task larger than every endpoint is refused at once, until a larger endpoint connects", t, func() {
		now := time.Unix(1_000_000, 0)
		d := newNamedDispatcher(now)
		submit := func(name string, slots int) string {
			refusal := "none"
			task := hibiscusstate.NewTaskSpec("check", nil, 0).WithResources(hibiscusstate.NewResources(slots, 0, 0))
			d.SubmitNamed(now, NewNamedSubmission(name, "a", "checks", []hibiscusstate.TaskSpec{task}).WithWait(time.Hour), 1,
				func(a *Answer) { refusal = a.Refusal().String() })
			return refusal
		}
		d.WorkerUp(now, NewHello(RoleAgent, 2, "10.0.0.2:1", "a", 0, NewCapacity("checks", 4000, false, 1)))
		So([]string{submit("one", 4001), submit("two", 4000)}, ShouldResemble, []string{"no_workers", "none"})
		d.WorkerUp(now, NewHello(RoleAgent, 3, "10.0.0.3:1", "a", 0, NewCapacity("checks", 8000, false, 1)))
		So(submit("three", 4001), ShouldEqual, "none")
		d.UpdateCapacity(now, 3, NewCapacity("checks", 0, false, 1))
		d.Tick(now.Add(time.Second))
		So(submit("four", 4001), ShouldEqual, "no_workers")
	})
}

// TestUrgentTaskOvertakes guards against tasks that wait at the agent of a full worker, where tasks with earlier due times can't
// go before them: in a burst, jobs of 50 ms waited there behind jobs of a second, and were late.
func TestUrgentTaskOvertakes(t *testing.T) {
	Convey("While the workers are full, the next free slot gets the task that is due first", t, func() {
		now := time.Unix(1_000_000, 0)
		var sent []string
		d := newNamedDispatcherWithSend(now, func(_ hibiscusstate.Incarnation, m Message) bool {
			for _, order := range m.Orders() {
				sent = append(sent, order.JobName())
			}
			return true
		})
		submit := func(name string, declared time.Duration, n int) {
			tasks := make([]hibiscusstate.TaskSpec, n)
			for i := range tasks {
				tasks[i] = hibiscusstate.NewTaskSpec("check", nil, declared).WithResources(hibiscusstate.NewResources(500, 0, 0))
			}
			d.SubmitNamed(now, NewNamedSubmission(name, "a", "checks", tasks).WithWait(time.Hour), 1, func(*Answer) {})
			d.Flush(now)
		}
		d.WorkerUp(now, NewHello(RoleAgent, 2, "10.0.0.2:1", "a", 0, NewCapacity("checks", 2000, false, 1)))
		submit("running", time.Second, 4)
		submit("patient", time.Second, 16)
		submit("urgent", 50*time.Millisecond, 1)
		So(sent, ShouldResemble, []string{"running", "running", "running", "running"})
		running := d.namedJobs["running"].job.Task(0)
		d.HandleReports(now, 2, []hibiscusstate.Report{
			hibiscusstate.NewResult(running.Attempt(), hibiscusstate.OutcomeFinished, nil, "", time.Second).WithLoad(0, 0, 1),
		})
		d.Flush(now)
		So(sent[4:], ShouldResemble, []string{"urgent"})
	})
}

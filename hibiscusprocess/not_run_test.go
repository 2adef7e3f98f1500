package hibiscusprocess

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"hibiscusrouter/hibiscuscoordination"
	"hibiscusrouter/hibiscusstate"
)

// A task that is reported as not run must not have been started. In these sessions the observer compares the reports with the
// starts at the endpoints.

// TestNotRun guards against a task that was started and is reported as not run, for each cause of that report: the deadline
// passed in the queue, the endpoint answered so, the endpoint refused the connection, the entry drains, there are no workers. A
// connection to an endpoint that is lost after the request was written must not be reported as not run.
func TestNotRun(t *testing.T) {
	runSession(t, "not_run", func(d *deployment) {
		d.submit("deadline", "10.0.1.1", d.key("10.0.1.1", "key-1"), `{"deadline_ms":700,`+listSyncJob(12, 500)[1:])
		time.Sleep(time.Second)
		busy := `{"team":"nokkhao","service":"sighting","tasks":[{"kind":"list_sync","payload":{"behavior":"not_run"}}]}`
		d.submit("endpoint busy", "10.0.1.1", d.key("10.0.1.1", "key-2"), busy)
		lost := d.background(func() { d.submit("endpoint lost", "10.0.1.1", d.key("10.0.1.1", "key-3"), listSyncJob(4, 400)) })
		time.Sleep(50 * time.Millisecond)
		d.kill("10.0.2.1/endpoint")
		lost()
		d.submit("endpoint refuses", "10.0.1.1", d.key("10.0.1.1", "key-4"), listSyncJob(2, 50))
		key := d.key("10.0.1.1", "key-5")
		d.background(func() { d.submit("before the stop", "10.0.1.1", d.key("10.0.1.1", "key-6"), listSyncJob(1, 3000)) })
		time.Sleep(50 * time.Millisecond)
		stopped := d.background(func() { d.terminate("10.0.1.1") })
		time.Sleep(2100 * time.Millisecond)
		d.submit("draining", "10.0.1.1", key, listSyncJob(1, 50))
		stopped()
		d.kill("10.0.2.2/endpoint")
		time.Sleep(4 * time.Second)
		d.submit("no workers", "10.0.1.2", d.key("10.0.1.2", "key-7"), listSyncJob(1, 50))
	})
}

// TestCancel guards against queued tasks that start after their job was cancelled, running ones that are not stopped, in
// particular when the session to their agent is down at that time, and finished ones whose answer changes.
func TestCancel(t *testing.T) {
	runSession(t, "cancel", func(d *deployment) {
		key := d.key("10.0.1.1", "key-1")
		first := d.background(func() { d.submit("caller", "10.0.1.1", key, listSyncJob(12, 1000)) })
		time.Sleep(50 * time.Millisecond)
		d.cancel("canceller", "10.0.1.2", key)
		first()
		key = d.key("10.0.1.1", "key-2")
		d.submit("caller", "10.0.1.1", key, listSyncJob(2, 100))
		d.cancel("canceller", "10.0.1.1", key)
		d.cancel("canceller", "10.0.1.1", d.key("10.0.1.1", "key-3"))
		key = d.key("10.0.1.1", "key-4")
		first = d.background(func() { d.submit("caller", "10.0.1.1", key, listSyncJob(2, 4000)) })
		time.Sleep(50 * time.Millisecond)
		d.network.Cut("10.0.1.1:7200")
		time.Sleep(10 * time.Millisecond)
		d.cancel("canceller", "10.0.1.1", key)
		first()
	})
}

// TestManyCancellations guards against queued tasks that start after 10,000 cancellations in a row, and against answers that
// report started tasks as not run.
func TestManyCancellations(t *testing.T) {
	const jobs = 10_000
	states := map[hibiscusstate.JobState]int{}
	wrong := 0
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t)
		d.startProcesses(1, 2)
		entry := d.nodes["10.0.1.1"].entry.Coordination()
		keys, err := entry.IssueKeys(jobs)
		d.must(err)
		d.quiet.Store(true)
		answers := make(chan *hibiscuscoordination.Answer, 2*jobs)
		reply := func(a *hibiscuscoordination.Answer) { answers <- a }
		task := []hibiscusstate.TaskSpec{hibiscusstate.NewTaskSpec("list_sync", []byte(`{"run_ms":100}`), 0)}
		for _, key := range keys {
			d.must(entry.Submit(hibiscuscoordination.NewSubmission(key, 1, "nokkhao", "sighting", task).WithBudget(time.Hour), reply))
		}
		time.Sleep(500 * time.Millisecond)
		for _, key := range keys {
			d.must(entry.Submit(hibiscuscoordination.NewCancel(key).WithWait(time.Minute), reply))
		}
		time.Sleep(time.Second)
		d.close()
		close(answers)
		for a := range answers {
			states[a.State()]++
			started := false
			if len(a.Tasks()) == 1 {
				started = d.observer.starts[fmt.Sprintf("%s-%x-0", a.Key().Incarnation(), a.Key().Sequence())] > 0
			}
			if started && a.Tasks()[0].Outcome() == hibiscusstate.OutcomeNotRun {
				wrong++
			}
		}
	})
	convey.Convey("each submission and each cancellation has one answer, and none is wrong", t, func() {
		convey.So(states[hibiscusstate.JobRunning], convey.ShouldEqual, jobs)
		convey.So(states[hibiscusstate.JobCancelled]+states[hibiscusstate.JobComplete], convey.ShouldEqual, jobs)
		convey.So(states[hibiscusstate.JobCancelled], convey.ShouldBeGreaterThan, jobs-100)
		convey.So(wrong, convey.ShouldEqual, 0)
	})
}

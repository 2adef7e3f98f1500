package hibiscuscapacity

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"hibiscusrouter/hibiscuscoordination"
	"hibiscusrouter/hibiscusstate"
	"hibiscusrouter/hibiscustransport"
)

// The cost of tasks at an entry: the processor time of a task and of a message, and the memory of waiting tasks and of finished
// tasks whose answers are kept.

const (
	// payloadBytes is the size of a payload, which is about that of a sighting.
	payloadBytes = 100
	// tasksPerFigure is four times the number of tasks over which processor time is averaged, eight times for jobs of one task.
	tasksPerFigure = 40_000
)

var (
	jobSizes      = []float64{1, 8, 32, 128}
	messageCounts = []float64{1, 2, 4, 8, 16}
	taskCounts    = []float64{10_000, 20_000, 40_000, 80_000}
)

// finishAll answers an orders message like an agent whose tasks all finish immediately.
func finishAll(p *hibiscuscoordination.Peer, m hibiscuscoordination.Message) {
	if m.Kind() != hibiscuscoordination.MessageOrders {
		return
	}
	reports := make([]hibiscusstate.Report, len(m.Orders()))
	for i, o := range m.Orders() {
		reports[i] = hibiscusstate.NewResult(o.Attempt(), hibiscusstate.OutcomeFinished, finishedOutput, "", time.Millisecond).
			WithJob(o.TaskCount(), o.Digest()).WithLoad(0, 0, harnessLease)
	}
	p.Send(hibiscuscoordination.NewReportsMessage(reports))
}

// tasksHarness is an entry with sessions in the role of agents, without an agent behind them.
type tasksHarness struct {
	*harness
	entryProcess *hibiscuscoordination.Entry
	answers      *hibiscusstate.Ring[*hibiscuscoordination.Answer]
}

func newTasksHarness(
	ctx context.Context, agents, slots int, answer func(*hibiscuscoordination.Peer, hibiscuscoordination.Message),
) (*tasksHarness, error) {
	r, err := newHarness(ctx)
	if err != nil {
		return nil, err
	}
	t := &tasksHarness{harness: r, answers: hibiscusstate.NewRing[*hibiscuscoordination.Answer](1)}
	if t.entryProcess, err = r.entry(); err == nil {
		r.dial(agents, r.bareHandlers(hibiscuscoordination.RoleAgent, slots, answer))
		err = r.awaitConnected(agents)
	}
	if err == nil {
		// The capacity messages of the last agents are still in flight.
		err = pause(ctx, settleTime)
	}
	if err != nil {
		r.close()
	}
	return t, err
}

// submit submits a job of n tasks and waits for its answer, which is that the job is running when wait is zero.
func (t *tasksHarness) submit(n int, wait time.Duration) error {
	keys, err := t.entryProcess.IssueKeys(1)
	if err != nil {
		return err
	}
	tasks := make([]hibiscusstate.TaskSpec, n)
	for i := range tasks {
		tasks[i] = hibiscusstate.NewTaskSpec(harnessKind, []byte(strings.Repeat("x", payloadBytes)), 0)
	}
	s := hibiscuscoordination.NewSubmission(keys[0], 1, harnessTeam, harnessService, tasks).WithWait(wait)
	if err := t.entryProcess.Submit(s, func(a *hibiscuscoordination.Answer) { t.answers.TryPush(a) }); err != nil {
		return err
	}
	a, err := t.answers.Pop()
	if err != nil {
		return err
	}
	if a.Refusal() != hibiscusstate.RefusalNone || (wait > 0 && a.State() != hibiscusstate.JobComplete) {
		return errors.Newf("job of %d tasks: state %s, refusal %s %s", n, a.State(), a.Refusal(), a.Message())
	}
	return nil
}

// jobProcessorTime returns the processor time of one job of n tasks in microseconds.
func (t *tasksHarness) jobProcessorTime(n int) (float64, error) {
	jobs := tasksPerFigure / n / 4
	if n == 1 {
		jobs = tasksPerFigure / 8
	}
	used := hibiscustransport.ProcessorTime()
	for range jobs {
		if err := t.submit(n, time.Minute); err != nil {
			return 0, err
		}
	}
	return float64((hibiscustransport.ProcessorTime() - used).Nanoseconds()) / 1000 / float64(jobs), nil
}

// measureTasks returns the cost of tasks and messages at an entry, including the bare ends of its sessions.
func measureTasks(ctx context.Context) ([]Slope, error) {
	var byTasks, byMessages []float64
	for _, n := range jobSizes {
		v, err := measureJob(ctx, 1, int(n))
		if err != nil {
			return nil, err
		}
		byTasks = append(byTasks, v)
	}
	for _, n := range messageCounts {
		v, err := measureJob(ctx, int(n), 128)
		if err != nil {
			return nil, err
		}
		byMessages = append(byMessages, v)
	}
	queued, err := measureMemory(ctx, ignore, 0)
	if err != nil {
		return nil, err
	}
	finished, err := measureMemory(ctx, finishAll, time.Minute)
	if err != nil {
		return nil, err
	}
	return []Slope{
		newSlope("entry processor time of a job in one orders message, with both ends of the session", "us", "task", jobSizes, byTasks),
		newSlope("entry processor time of a job of 128 tasks over some agents, with both ends of the session", "us", "orders message",
			messageCounts, byMessages),
		newSlope("entry memory of tasks that wait", "KiB", "task", taskCounts, queued),
		newSlope("entry memory of finished tasks that are kept", "KiB", "task", taskCounts, finished),
	}, nil
}

// measureJob returns the processor time of a job of n tasks that are sent in one message to each agent.
func measureJob(ctx context.Context, agents, n int) (float64, error) {
	t, err := newTasksHarness(ctx, agents, max(n/agents, 1), finishAll)
	if err != nil {
		return 0, err
	}
	defer t.close()
	return t.jobProcessorTime(n)
}

// measureMemory returns the memory in KiB by which the process grows when tasks are submitted, for each number in taskCounts.
// answer handles the messages of the entry to its agent; with a wait of zero the jobs need not finish.
func measureMemory(
	ctx context.Context, answer func(*hibiscuscoordination.Peer, hibiscuscoordination.Message), wait time.Duration,
) ([]float64, error) {
	var values []float64
	for _, count := range taskCounts {
		t, err := newTasksHarness(ctx, 1, 100, answer)
		if err != nil {
			return nil, err
		}
		before := liveBytes()
		for range int(count) / 100 {
			if err := t.submit(100, wait); err != nil {
				t.close()
				return nil, err
			}
		}
		values = append(values, (liveBytes()-before)/1024)
		t.close()
	}
	return values, nil
}

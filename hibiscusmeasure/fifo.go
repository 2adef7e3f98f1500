package hibiscusmeasure

import (
	"math/rand/v2"

	"hibiscusrouter/hibiscusstate"
)

// The baselines random_fifo and one_queue are implemented here; power_of_two and late_binding reuse parts of them. None of these
// baselines refuses a job or stops one at its deadline.
//
// random_fifo sends every task immediately to a random worker, where it waits in an unbounded FIFO queue. one_queue has a single
// FIFO queue with the current state of all slots. No system of several entries can implement it; it shows how much of a ratio is
// caused by the demand itself.

// fifo is the baseline random_fifo or one_queue.
type fifo struct {
	trial  *trial
	rng    *rand.Rand
	queues []fifoQueue
	slots  int
}

type fifoQueue struct {
	lane    int
	busy    int
	waiting []fifoTask
}

type fifoTask struct {
	job   *fifoJob
	index int
}

type fifoJob struct {
	submission *submission
	pending    int
	outcomes   []hibiscusstate.Outcome
	reply      func(answer)
	lane       int
}

func newRandomFIFO(t *trial, seed uint64) { newFIFO(t, seed, workers, slotsPerWorker) }

func newOneQueue(t *trial, seed uint64) { newFIFO(t, seed, 1, workers*slotsPerWorker) }

func newFIFO(t *trial, seed uint64, queues, slots int) *fifo {
	f := &fifo{trial: t, rng: rand.New(rand.NewPCG(seed, 4)), queues: make([]fifoQueue, queues), slots: slots}
	for n := range f.queues {
		f.queues[n].lane = t.clock.lane()
	}
	t.submit = f.submit
	t.wasted = func() int { return 0 }
	return f
}

func (f *fifo) submit(a *submission, reply func(answer)) {
	j := f.newJob(a, reply)
	for i := range a.runs {
		f.send(f.rng.IntN(len(f.queues)), fifoTask{job: j, index: i})
	}
}

func (f *fifo) newJob(a *submission, reply func(answer)) *fifoJob {
	return &fifoJob{
		submission: a, pending: len(a.runs), reply: reply, lane: f.trial.clock.lane(),
		outcomes: make([]hibiscusstate.Outcome, len(a.runs)),
	}
}

// afterLatency calls do after the latency of the link between a job's entry and a worker.
func (f *fifo) afterLatency(j *fifoJob, n int, do func()) {
	f.trial.clock.at(f.trial.clock.now.Add(f.trial.deployment.linkLatency(j.submission.job.entry, n)), j.lane, do)
}

// send sends a task to the queue of a worker.
func (f *fifo) send(n int, t fifoTask) {
	f.afterLatency(t.job, n, func() {
		f.queues[n].waiting = append(f.queues[n].waiting, t)
		f.startNext(n)
	})
}

// length returns the number of running and waiting tasks.
func (q *fifoQueue) length() int { return q.busy + len(q.waiting) }

func (f *fifo) startNext(n int) {
	q := &f.queues[n]
	for q.busy < f.slots && len(q.waiting) > 0 {
		t := q.waiting[0]
		q.waiting = q.waiting[1:]
		q.busy++
		takes, fails, r := f.trial.endpointStart(n, t.job.submission.payload(t.index)[:payloadHeader])
		f.trial.clock.at(f.trial.clock.now.Add(takes), q.lane, func() {
			r.endedAt = f.trial.clock.now
			q.busy--
			f.report(n, t, fails)
			f.startNext(n)
		})
	}
}

func (f *fifo) report(n int, t fifoTask, failed bool) {
	j := t.job
	f.afterLatency(j, n, func() {
		j.outcomes[t.index] = hibiscusstate.OutcomeFinished
		if failed {
			j.outcomes[t.index] = hibiscusstate.OutcomeFailed
		}
		j.pending--
		if j.pending > 0 {
			return
		}
		complete := true
		for _, o := range j.outcomes {
			complete = complete && o == hibiscusstate.OutcomeFinished
		}
		j.reply(answer{complete: complete, outcomes: j.outcomes})
	})
}

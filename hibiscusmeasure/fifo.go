package hibiscusmeasure

import (
	"math/rand/v2"

	"hibiscusrouter/hibiscusstate"
)

// Two baselines share this code. In both nothing is refused, and nothing is given up at its deadline.
//
// random_fifo sends every task to a random worker at once, where it waits in an unbounded queue in order of arrival.
// one_queue has a single queue in order of arrival that sees all slots without delay. No system of several entries can
// have it; it shows how much of a ratio comes from the demand itself.

// fifo is one of the baselines.
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
	attempt  *attempt
	left     int
	outcomes []hibiscusstate.Outcome
	reply    func(answer)
	lane     int
}

func newRandomFIFO(t *trial, seed uint64) { newFIFO(t, seed, workers, slotsPerWorker) }

func newOneQueue(t *trial, seed uint64) { newFIFO(t, seed, 1, workers*slotsPerWorker) }

func newFIFO(t *trial, seed uint64, queues, slots int) {
	f := &fifo{trial: t, rng: rand.New(rand.NewPCG(seed, 4)), queues: make([]fifoQueue, queues), slots: slots}
	for n := range f.queues {
		f.queues[n].lane = t.clock.lane()
	}
	t.submit = f.submit
	t.wasted = func() int { return 0 }
}

func (f *fifo) submit(a *attempt, reply func(answer)) {
	j := &fifoJob{
		attempt: a, left: len(a.runs), reply: reply, lane: f.trial.clock.lane(),
		outcomes: make([]hibiscusstate.Outcome, len(a.runs)),
	}
	for i := range a.runs {
		n := f.rng.IntN(len(f.queues))
		f.trial.clock.at(f.trial.clock.now.Add(f.trial.deployment.link(a.job.entry, n)), j.lane, func() {
			f.queues[n].waiting = append(f.queues[n].waiting, fifoTask{job: j, index: i})
			f.next(n)
		})
	}
}

func (f *fifo) next(n int) {
	q := &f.queues[n]
	for q.busy < f.slots && len(q.waiting) > 0 {
		t := q.waiting[0]
		q.waiting = q.waiting[1:]
		q.busy++
		takes, fails, r := f.trial.endpointStart(n, t.job.attempt.payload(t.index)[:payloadHeader])
		f.trial.clock.at(f.trial.clock.now.Add(takes), q.lane, func() {
			r.to = f.trial.clock.now
			q.busy--
			f.report(n, t, fails)
			f.next(n)
		})
	}
}

func (f *fifo) report(n int, t fifoTask, failed bool) {
	j := t.job
	f.trial.clock.at(f.trial.clock.now.Add(f.trial.deployment.link(j.attempt.job.entry, n)), j.lane, func() {
		j.outcomes[t.index] = hibiscusstate.OutcomeFinished
		if failed {
			j.outcomes[t.index] = hibiscusstate.OutcomeFailed
		}
		j.left--
		if j.left > 0 {
			return
		}
		complete := true
		for _, o := range j.outcomes {
			complete = complete && o == hibiscusstate.OutcomeFinished
		}
		j.reply(answer{complete: complete, outcomes: j.outcomes})
	})
}

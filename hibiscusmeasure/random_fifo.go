package hibiscusmeasure

import (
	"math/rand/v2"

	"hibiscusrouter/hibiscusstate"
)

// The baseline: every task goes to a random worker at once and waits there in an unbounded queue in order of arrival.
// Nothing is refused, and nothing is given up at its deadline.

type randomFIFO struct {
	trial  *trial
	rng    *rand.Rand
	queues []fifoQueue
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

func newRandomFIFO(t *trial, seed uint64) {
	f := &randomFIFO{trial: t, rng: rand.New(rand.NewPCG(seed, 4)), queues: make([]fifoQueue, workers)}
	for n := range f.queues {
		f.queues[n].lane = t.clock.lane()
	}
	t.submit = f.submit
	t.wasted = func() int { return 0 }
}

func (f *randomFIFO) submit(a *attempt, reply func(answer)) {
	j := &fifoJob{
		attempt: a, left: len(a.runs), reply: reply, lane: f.trial.clock.lane(),
		outcomes: make([]hibiscusstate.Outcome, len(a.runs)),
	}
	for i := range a.runs {
		n := f.rng.IntN(workers)
		f.trial.clock.at(f.trial.clock.now.Add(f.trial.deployment.link(a.job.entry, n)), j.lane, func() {
			f.queues[n].waiting = append(f.queues[n].waiting, fifoTask{job: j, index: i})
			f.next(n)
		})
	}
}

func (f *randomFIFO) next(n int) {
	q := &f.queues[n]
	for q.busy < slotsPerWorker && len(q.waiting) > 0 {
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

func (f *randomFIFO) report(n int, t fifoTask, failed bool) {
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

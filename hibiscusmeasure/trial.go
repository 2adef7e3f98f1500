package hibiscusmeasure

import (
	"encoding/binary"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hibiscusrouter/hibiscusstate"
)

// A trial is one scenario under one policy. It plays the callers, who submit, follow retry hints and keep count of their
// tries, and it knows the truth about what the endpoints ran, against which the answers are checked.

const (
	// drainLimit is how long after the last arrival answers are waited for.
	drainLimit = 20 * time.Minute
	// failAfter is how soon the worker that fails everything fails a task; slowFactor is how much the straggler is slower.
	failAfter  = 2 * time.Millisecond
	slowFactor = 4
	// ratioScale turns response ratios into the integers that a histogram takes.
	ratioScale = 10_000
	// payloadHeader names the attempt and the task at the start of a payload, for the fake endpoints.
	payloadHeader = 8
)

type trial struct {
	clock      *clock
	deployment *Deployment
	scenario   scenario
	began      time.Time
	attempts   []*attempt
	open       int
	arriving   int
	submit     func(a *attempt, reply func(answer))
	wasted     func() int

	ratios    *hdrhistogram.Histogram
	responses *hdrhistogram.Histogram
	refusals  *hdrhistogram.Histogram
	complete  int
	measured  int
}

// attempt is one submission of a job by its caller.
type attempt struct {
	number      int
	job         *job
	try         int
	submittedAt time.Time
	answer      answer
	answered    bool
	answeredAt  time.Time
	runs        []run
}

// run is what the endpoints did for one task.
type run struct {
	starts int
	from   time.Time
	to     time.Time
}

// answer is what a caller is told: refused, or complete, or failed with what is known of each task.
type answer struct {
	refused    bool
	retryAfter time.Duration
	complete   bool
	outcomes   []hibiscusstate.Outcome
}

func newTrial(d *Deployment, s scenario) *trial {
	c := newClock()
	return &trial{
		clock: c, deployment: d, scenario: s, began: c.now,
		ratios:    hdrhistogram.New(1, 100_000_000, 4),
		responses: hdrhistogram.New(1, 10_000_000_000, 4),
		refusals:  hdrhistogram.New(1, 10_000_000_000, 4),
	}
}

// run plays the demand to its end.
func (t *trial) run(jobs []*job) {
	lane := t.clock.lane()
	t.arriving = len(jobs)
	for _, j := range jobs {
		t.clock.at(t.began.Add(j.at), lane, func() {
			t.arriving--
			t.try(j, 1)
		})
	}
	t.clock.run(t.began.Add(t.scenario.length()+drainLimit), func() bool { return t.arriving == 0 && t.open == 0 })
}

// try submits a job over the caller's link and takes the answer.
func (t *trial) try(j *job, try int) {
	a := &attempt{number: len(t.attempts), job: j, try: try, submittedAt: t.clock.now, runs: make([]run, len(j.tasks))}
	t.attempts = append(t.attempts, a)
	t.open++
	lane := t.clock.lane()
	t.clock.at(t.clock.now.Add(clientLatency), lane, func() {
		t.submit(a, func(answer answer) {
			t.clock.at(t.clock.now.Add(clientLatency), lane, func() { t.answered(a, answer) })
		})
	})
}

func (t *trial) answered(a *attempt, answer answer) {
	a.answer = answer
	a.answered = true
	a.answeredAt = t.clock.now
	t.open--
	took := t.clock.now.Sub(a.submittedAt)
	switch {
	case answer.refused:
		record(t.refusals, took.Microseconds())
		if answer.retryAfter > 0 && a.try < giveUpAfter {
			t.open++
			t.clock.at(t.clock.now.Add(answer.retryAfter), t.clock.lane(), func() {
				t.open--
				t.try(a.job, a.try+1)
			})
		}
	case answer.complete:
		if a.job.measured && a.try == 1 {
			t.complete++
		}
		if a.job.measured {
			ideal := t.deployment.roundTrips() + a.job.longest()
			record(t.ratios, int64(float64(took)/float64(ideal)*ratioScale))
			if !a.job.longJob {
				record(t.responses, took.Microseconds())
			}
		}
	case notRun(answer.outcomes):
		// A job that was admitted and then not run at all was refused late.
		record(t.refusals, took.Microseconds())
	}
	if a.job.measured && a.try == 1 {
		t.measured++
	}
}

func notRun(outcomes []hibiscusstate.Outcome) bool {
	for _, o := range outcomes {
		if o != hibiscusstate.OutcomeNotRun {
			return false
		}
	}
	return true
}

func record(h *hdrhistogram.Histogram, v int64) {
	// The bounds of the histograms exceed every value that drainLimit allows, so that this can't fail.
	if err := h.RecordValue(max(v, 1)); err != nil {
		panic(err)
	}
}

// payload returns what an endpoint gets for a task: a header that names it, filled up to the task's size.
func (a *attempt) payload(index int) []byte {
	p := make([]byte, payloadHeader+a.job.tasks[index].size)
	binary.BigEndian.PutUint32(p, uint32(a.number))
	binary.BigEndian.PutUint32(p[4:], uint32(index))
	return p
}

// endpointStart starts a task at a worker's endpoint and returns how long it will take and whether it will fail.
func (t *trial) endpointStart(worker int, payload []byte) (takes time.Duration, fails bool, r *run) {
	a := t.attempts[binary.BigEndian.Uint32(payload)]
	index := binary.BigEndian.Uint32(payload[4:])
	r = &a.runs[index]
	r.starts++
	r.from = t.clock.now
	takes = a.job.tasks[index].length
	switch worker {
	case t.scenario.failing:
		return min(failAfter, takes), true, r
	case t.scenario.slow:
		return takes * slowFactor, false, r
	}
	return takes, false, r
}

// inTime says whether the caller got a complete answer before its deadline.
func (a *attempt) inTime() bool {
	return a.answered && a.answer.complete && a.answeredAt.Sub(a.submittedAt) <= a.job.budget+2*clientLatency
}

// service returns the work per second, in slots, that was done between two times for jobs that were in time. A task's work
// is its own run time on a good worker, spread over the time that it took.
func (t *trial) service(from, to time.Time) float64 {
	work := 0.0
	for _, a := range t.attempts {
		if !a.inTime() {
			continue
		}
		for i, r := range a.runs {
			begin, end := r.from, r.to
			took := end.Sub(begin)
			if begin.Before(from) {
				begin = from
			}
			if end.After(to) {
				end = to
			}
			if end.After(begin) && took > 0 {
				work += a.job.tasks[i].length.Seconds() * float64(end.Sub(begin)) / float64(took)
			}
		}
	}
	return work / to.Sub(from).Seconds()
}

// demand returns the work per second, in slots, that callers first asked for between two times.
func (t *trial) demand(from, to time.Time) float64 {
	work := 0.0
	for _, a := range t.attempts {
		if a.try == 1 && !a.submittedAt.Before(from) && a.submittedAt.Before(to) {
			work += a.job.work().Seconds()
		}
	}
	return work / to.Sub(from).Seconds()
}

// started returns how many tasks were started, over all tries.
func (t *trial) started() int {
	n := 0
	for _, a := range t.attempts {
		for _, r := range a.runs {
			n += r.starts
		}
	}
	return n
}

// faults counts the answers that were not true.
func (t *trial) faults() (tasks, falseNotRun, startedTwice, lost int) {
	startsOfJob := map[*job][]int{}
	for _, a := range t.attempts {
		if a.try == 1 {
			tasks += len(a.runs)
		}
		if !a.answered {
			lost++
			continue
		}
		if startsOfJob[a.job] == nil {
			startsOfJob[a.job] = make([]int, len(a.runs))
		}
		for i, r := range a.runs {
			startsOfJob[a.job][i] += r.starts
			saidNotRun := a.answer.refused || (!a.answer.complete && a.answer.outcomes[i] == hibiscusstate.OutcomeNotRun)
			if saidNotRun && r.starts > 0 {
				falseNotRun++
			}
			if a.answer.complete && r.starts == 0 {
				lost++
			}
		}
	}
	for _, starts := range startsOfJob {
		for _, n := range starts {
			if n > 1 {
				startedTwice++
			}
		}
	}
	return tasks, falseNotRun, startedTwice, lost
}

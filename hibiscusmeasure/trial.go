package hibiscusmeasure

import (
	"encoding/binary"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hibiscusrouter/hibiscusstate"
)

// A trial is one scenario under one policy. It simulates the callers, which submit jobs, follow retry hints and count their
// submissions, and it records what the endpoints ran, against which the answers are checked.

const (
	// drainLimit is how long a trial waits for answers after the last arrival.
	drainLimit = 20 * time.Minute
	// failAfter is the time after which the failing worker fails a task; slowFactor is the slowdown of the straggler.
	failAfter  = 2 * time.Millisecond
	slowFactor = 4
	// ratioScale converts response ratios to the integers that a histogram records.
	ratioScale = 10_000
	// payloadHeader is the size of the header of a payload, which identifies the submission and the task to the fake endpoints.
	payloadHeader = 8
)

type trial struct {
	clock           *clock
	deployment      *Deployment
	scenario        scenario
	began           time.Time
	submissions     []*submission
	openSubmissions int
	arriving        int
	// noReturns means that refused callers don't submit their jobs again.
	noReturns bool
	submit    func(a *submission, reply func(answer))
	wasted    func() int

	ratios    *hdrhistogram.Histogram
	responses *hdrhistogram.Histogram
	refusals  *hdrhistogram.Histogram
	complete  int
	measured  int
}

// submission is one submission of a job by its caller.
type submission struct {
	number        int
	job           *job
	attemptNumber int
	submittedAt   time.Time
	answer        answer
	answered      bool
	answeredAt    time.Time
	runs          []run
}

// run records the runs of one task at the endpoints.
type run struct {
	starts    int
	startedAt time.Time
	endedAt   time.Time
}

// answer is the answer that a caller receives: refused, complete, or failed with the outcome of each task.
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

// run runs the demand to its end.
func (t *trial) run(jobs []*job) {
	lane := t.clock.lane()
	t.arriving = len(jobs)
	for _, j := range jobs {
		t.clock.at(t.began.Add(j.arrival), lane, func() {
			t.arriving--
			t.submitJob(j, 1)
		})
	}
	t.clock.run(t.began.Add(t.scenario.length()+drainLimit), func() bool { return t.arriving == 0 && t.openSubmissions == 0 })
}

// submitJob submits a job over the caller's link and handles the answer.
func (t *trial) submitJob(j *job, attemptNumber int) {
	a := &submission{
		number: len(t.submissions), job: j, attemptNumber: attemptNumber, submittedAt: t.clock.now, runs: make([]run, len(j.tasks)),
	}
	t.submissions = append(t.submissions, a)
	t.openSubmissions++
	lane := t.clock.lane()
	t.clock.at(t.clock.now.Add(clientLatency), lane, func() {
		t.submit(a, func(answer answer) {
			t.clock.at(t.clock.now.Add(clientLatency), lane, func() { t.answered(a, answer) })
		})
	})
}

func (t *trial) answered(a *submission, answer answer) {
	a.answer = answer
	a.answered = true
	a.answeredAt = t.clock.now
	t.openSubmissions--
	took := t.clock.now.Sub(a.submittedAt)
	if a.returns() && !t.noReturns {
		t.openSubmissions++
		t.clock.at(t.clock.now.Add(answer.retryAfter), t.clock.lane(), func() {
			t.openSubmissions--
			t.submitJob(a.job, a.attemptNumber+1)
		})
	}
	switch {
	case answer.refused:
		record(t.refusals, took.Microseconds())
	case answer.complete:
		if a.job.measured && a.attemptNumber == 1 {
			t.complete++
		}
		if a.job.measured {
			ideal := t.deployment.roundTrips() + a.job.longest()
			record(t.ratios, int64(float64(took)/float64(ideal)*ratioScale))
			if !a.job.longJob {
				record(t.responses, took.Microseconds())
			}
		}
	case allNotRun(answer.outcomes):
		// A job that was admitted, but not run at all, counts as refused late.
		record(t.refusals, took.Microseconds())
	}
	if a.job.measured && a.attemptNumber == 1 {
		t.measured++
	}
}

// returns reports whether the caller of a submission may submit its job again.
func (a *submission) returns() bool {
	notRun := a.answer.refused || a.job.named && !a.answer.complete && allNotRun(a.answer.outcomes)
	return notRun && a.answer.retryAfter > 0 && a.attemptNumber < maxSubmissions
}

func allNotRun(outcomes []hibiscusstate.Outcome) bool {
	for _, o := range outcomes {
		if o != hibiscusstate.OutcomeNotRun {
			return false
		}
	}
	return true
}

func record(h *hdrhistogram.Histogram, v int64) {
	// The bounds of the histograms exceed every value that drainLimit allows, so this can't fail.
	if err := h.RecordValue(max(v, 1)); err != nil {
		panic(err)
	}
}

// payload returns the payload of a task: a header that identifies it, and padding to the task's size.
func (a *submission) payload(index int) []byte {
	p := make([]byte, payloadHeader+a.job.tasks[index].size)
	binary.BigEndian.PutUint32(p, uint32(a.number))
	binary.BigEndian.PutUint32(p[4:], uint32(index))
	return p
}

// endpointStart starts a task at a worker's endpoint and returns its run time, whether it will fail, and its record.
func (t *trial) endpointStart(worker int, payload []byte) (takes time.Duration, fails bool, r *run) {
	a := t.submissions[binary.BigEndian.Uint32(payload)]
	index := binary.BigEndian.Uint32(payload[4:])
	r = &a.runs[index]
	r.starts++
	r.startedAt = t.clock.now
	takes = a.job.tasks[index].runTime
	if speeds := t.deployment.speeds; speeds != nil {
		takes = time.Duration(float64(takes) / speeds[worker%len(speeds)])
	}
	switch worker {
	case t.scenario.failing:
		return min(failAfter, takes), true, r
	case t.scenario.slow:
		return takes * slowFactor, false, r
	}
	return takes, false, r
}

// inTime reports whether the caller received a complete answer before the deadline.
func (a *submission) inTime() bool {
	return a.answered && a.answer.complete && a.answeredAt.Sub(a.submittedAt) <= a.job.budget+2*clientLatency
}

// service returns the work per second, in slots, that was done between two times for jobs that were in time. A task's work is its
// run time on a healthy worker, distributed evenly over its actual run.
func (t *trial) service(from, to time.Time) float64 {
	work := 0.0
	for _, a := range t.submissions {
		if !a.inTime() {
			continue
		}
		for i, r := range a.runs {
			begin, end := r.startedAt, r.endedAt
			took := end.Sub(begin)
			if begin.Before(from) {
				begin = from
			}
			if end.After(to) {
				end = to
			}
			if end.After(begin) && took > 0 {
				work += a.job.tasks[i].runTime.Seconds() * float64(end.Sub(begin)) / float64(took)
			}
		}
	}
	return work / to.Sub(from).Seconds()
}

// demand returns the work per second, in slots, that callers submitted for the first time between two times.
func (t *trial) demand(from, to time.Time) float64 {
	work := 0.0
	for _, a := range t.submissions {
		if a.attemptNumber == 1 && !a.submittedAt.Before(from) && a.submittedAt.Before(to) {
			work += a.job.work().Seconds()
		}
	}
	return work / to.Sub(from).Seconds()
}

// started returns the number of task starts in all submissions.
func (t *trial) started() int {
	n := 0
	for _, a := range t.submissions {
		for _, r := range a.runs {
			n += r.starts
		}
	}
	return n
}

// faults counts the tasks, the tasks wrongly reported as not run, those started twice, and the answers and tasks that were lost.
func (t *trial) faults() (tasks, falseNotRun, startedTwice, lost int) {
	startsOfJob := map[*job][]int{}
	for _, a := range t.submissions {
		if a.attemptNumber == 1 {
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
			reportedNotRun := a.answer.refused || (!a.answer.complete && a.answer.outcomes[i] == hibiscusstate.OutcomeNotRun)
			if reportedNotRun && r.starts > 0 {
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

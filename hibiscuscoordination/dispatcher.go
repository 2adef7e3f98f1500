package hibiscuscoordination

import (
	"container/heap"
	"container/list"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"hibiscusrouter/hibiscusscheduling"
	"hibiscusrouter/hibiscusstate"
)

// The Dispatcher makes every decision of an entry: which submissions it admits, which worker gets which task and when,
// and what callers are answered. One event loop calls it; it acts only through its callbacks.
//
// A task changes from queued to sent when it is put into the next orders message of a worker. From then on it may have
// started. It is queued again only when the agent reports that it did not run it, or when the message was never sent.
// Outcomes are final once set, so repeated and crossed reports change nothing.

const (
	// maxTasks is the largest number of tasks of a job, the job size that the users require.
	maxTasks = 1800
	// maxQueuedTasks bounds the queued tasks of one service at one entry.
	maxQueuedTasks = 100_000
	// maxJobs and maxJobBytes bound the job records of an entry. A process with less memory has a lower bound of their bytes.
	maxJobs     = 200_000
	maxJobBytes = 256 << 20
	// jobRetention is how long the answer of a finished job is retained.
	jobRetention = 10 * time.Minute
	// maxReturns is how often a task may be returned unrun before its job fails; returns by a busy worker don't count.
	// When they did, a job of 12 tasks of 1.5 s on 4 slots failed, because agents return a waiting task after 100 ms.
	maxReturns = 8
	// reportGrace is how long the agents of a job that was given up may take to report which of its tasks they have not started.
	reportGrace = 50 * time.Millisecond
	// giveUpMargin is how long before its deadline a job is given up that is certainly late, so that the reports of the agents arrive before
	// its caller leaves: a platform caller leaves 20 ms after the deadline, and 3 ms of that are the way back to it. A job is certainly late
	// after certainlyLateFactor times its objective, because run times are expected with errors of up to 40%.
	giveUpMargin        = 30 * time.Millisecond
	certainlyLateFactor = 2
	// reconnectTimeout is how long a task of a lost session waits for the agent to reconnect.
	reconnectTimeout = 5 * time.Second
	// lostRunTimeout is how long a run of a named job may continue after its agent was last heard of, or its order was sent, if that
	// was later. The agent stops it at the end of the permission; if the agent is suspended then, the lease that it has just renewed
	// ends the run.
	lostRunTimeout = permissionDuration + endpointLeaseDuration + leaseSlack + stopSlack
	// tickInterval is how often stale views are corrected and ejected workers are probed whose delay has passed.
	tickInterval = 100 * time.Millisecond
	// defaultDeadline is the time limit of a job when neither the submission nor its kinds set one.
	defaultDeadline = 30 * time.Second
	// dueFactor times its longest task is the time after which a job is due, for the order of queued jobs.
	dueFactor = 4
	// dueBudgetDivisor divides the budget of a job to give its latest due time. Jobs with earlier due times go before it until
	// then, and it needs the rest of the budget to be served.
	dueBudgetDivisor = 3
	// endpointBackoff is how long a worker gets no tasks after one was rejected because its endpoint was down or busy.
	endpointBackoff = 250 * time.Millisecond
	// maxWaiters bounds the callers waiting for one job.
	maxWaiters = 64
)

// Dispatcher admits and places the jobs of one entry process.
type Dispatcher struct {
	incarnation     hibiscusstate.Incarnation
	keyWindow       *hibiscusstate.KeyWindow
	jobs            map[hibiscusstate.SubmissionKey]*jobRecord
	namedJobs       map[string]*jobRecord
	finishedJobs    *list.List
	recordBytes     int
	maxRecordBytes  int
	deadlines       deadlineHeap
	pools           map[string]*pool
	workers         map[hibiscusstate.Incarnation]*assignment
	unflushed       []*assignment
	configuration   *hibiscusstate.Configuration
	evacuation      hibiscusscheduling.Evacuation
	entries         []hibiscusstate.Incarnation
	log             *slog.Logger
	jobTimes        hibiscusstate.Histogram
	placementDelays hibiscusstate.Histogram
	draining        bool
	farFactor       float64
	startedAt       time.Time
	stopBy          time.Time
	nextTick        time.Time
	nextSweep       time.Time
	jitter          func(d time.Duration) time.Duration
	send            func(worker hibiscusstate.Incarnation, m Message) bool
	event           func(Event)
	counters        Counters
}

// jobRecord is a job with the callers waiting for it.
type jobRecord struct {
	job       *hibiscusstate.Job
	waiters   []func(*Answer)
	heapIndex int
	// answerBy is when a job that was given up is answered, with the tasks without a report as possibly run; zero before.
	answerBy time.Time
	// retryAfter is when the caller of a job that was refused while it waited should try again, before it is spread.
	retryAfter time.Duration
	// placements lists which task went when to which worker, for the log line at the end of the job.
	placements []byte
	// callers are the connections that wait for a named job, and resubmissions those of its name that arrived after its
	// cancellation; they start when its last run has ended.
	callers       []uint64
	resubmissions []pendingSubmission
}

// pendingSubmission is a submission that waits until an earlier job of its name has ended.
type pendingSubmission struct {
	submission *Submission
	reply      func(*Answer)
}

// assignment is a worker with the tasks of this entry that are assigned to it.
type assignment struct {
	worker *hibiscusstate.Worker
	pool   *pool
	// capacity is what the agent reported last, and notice until when a leaving worker takes short tasks.
	capacity Capacity
	notice   hibiscusscheduling.Notice
	tasks    map[hibiscusstate.TaskID]*hibiscusstate.Task
	orders   []hibiscusstate.Order
	// lostAt is when the loss of the session was detected, and lastHeardAt when the last message had been received over it.
	lostAt      time.Time
	lastHeardAt time.Time
	// ejectedAsSlow means that the worker was last ejected because its tasks take too long.
	ejectedAsSlow bool
	// liveSlots is the worker's part of the pool's liveSlots.
	liveSlots int
}

// DispatcherSeams are the callbacks through which a Dispatcher acts.
type DispatcherSeams struct {
	send   func(worker hibiscusstate.Incarnation, m Message) bool
	event  func(Event)
	jitter func(d time.Duration) time.Duration
}

// NewDispatcherSeams returns the callbacks: send queues a message on a worker's session without blocking and reports whether it did,
// event records an event for the audit trail, and jitter returns a random duration below d.
func NewDispatcherSeams(
	send func(worker hibiscusstate.Incarnation, m Message) bool,
	event func(Event),
	jitter func(d time.Duration) time.Duration,
) DispatcherSeams {
	return DispatcherSeams{send: send, event: event, jitter: jitter}
}

// NewDispatcher returns the Dispatcher of the entry with the given incarnation, without configuration and workers.
func NewDispatcher(incarnation hibiscusstate.Incarnation, seams DispatcherSeams) *Dispatcher {
	return &Dispatcher{
		incarnation:    incarnation,
		keyWindow:      hibiscusstate.NewKeyWindow(),
		jobs:           map[hibiscusstate.SubmissionKey]*jobRecord{},
		namedJobs:      map[string]*jobRecord{},
		finishedJobs:   list.New(),
		maxRecordBytes: maxJobBytes,
		pools:          map[string]*pool{},
		workers:        map[hibiscusstate.Incarnation]*assignment{},
		entries:        []hibiscusstate.Incarnation{incarnation},
		jitter:         seams.jitter,
		farFactor:      1,
		log:            slog.New(slog.DiscardHandler),
		send:           seams.send,
		event:          seams.event,
	}
}

// SetLogger sets the logger of the decisions about jobs.
func (d *Dispatcher) SetLogger(log *slog.Logger) { d.log = log }

// SetMaxRecordBytes sets the bound of the payloads and results in job records.
func (d *Dispatcher) SetMaxRecordBytes(n int) { d.maxRecordBytes = min(n, maxJobBytes) }

// Counters returns the running totals of this entry.
func (d *Dispatcher) Counters() Counters { return d.counters }

// Configuration returns the configuration in force, nil before the first.
func (d *Dispatcher) Configuration() *hibiscusstate.Configuration { return d.configuration }

// Configure applies a configuration and reports whether it did; a version no higher than the one in force is ignored.
func (d *Dispatcher) Configure(now time.Time, c *hibiscusstate.Configuration) bool {
	if d.configuration != nil && c.Version() <= d.configuration.Version() {
		return false
	}
	d.configuration = c
	for _, service := range c.Document().Services() {
		p := d.pool(service.Name())
		p.objectives = false
		for _, kind := range service.Kinds() {
			p.objectives = p.objectives || kind.Stretch() > 0
			p.kindShares.Configure(kind.Name(), float64(kind.Weight()), float64(kind.MinSharePercent())/100)
		}
		for _, team := range c.Document().Teams() {
			p.queue.SetShare(team.Name(), team.Share())
			p.teamShares.Configure(team.Name(), float64(team.Share()), 0)
		}
	}
	d.dispatchAll(now)
	return true
}

// SetEntries sets the running entries, this one included, and so which workers have this entry as their primary.
func (d *Dispatcher) SetEntries(entries []hibiscusstate.Incarnation) {
	d.entries = entries
	for _, a := range d.workers {
		a.worker.SetPrimary(d.isPrimary(a.worker.ID()))
		a.update()
	}
}

// IssueKeys returns n unused submission keys.
func (d *Dispatcher) IssueKeys(n int) []hibiscusstate.SubmissionKey {
	keys := make([]hibiscusstate.SubmissionKey, n)
	for i := range keys {
		keys[i] = hibiscusstate.NewSubmissionKey(d.incarnation, d.keyWindow.Issue())
	}
	return keys
}

// Submit admits or refuses a submission whose key this entry issued, or joins the job that exists under the key. reply is
// called once: immediately for a refusal or a submission without a wait, otherwise when the job is final, or earlier with its
// current state when more than maxWaiters callers wait.
func (d *Dispatcher) Submit(now time.Time, s *Submission, reply func(*Answer)) {
	if r := d.jobs[s.key]; r != nil {
		d.join(r, s, reply)
		return
	}
	used, err := d.keyWindow.Used(s.key.Sequence())
	if refusal := d.checkKey(s, used, err); refusal != nil {
		d.countRefusal(s, refusal)
		reply(refusal)
		return
	}
	if s.fetch || s.cancel {
		reply(NewRefusal(s.key, hibiscusstate.RefusalUnknownJob, true, "no job was submitted under this key; submit it, the key is still good"))
		return
	}
	if refusal := d.admit(now, s); refusal != nil {
		d.countRefusal(s, refusal)
		reply(refusal)
		return
	}
	d.addJob(now, s, reply)
}

// join answers a submission whose key has a record.
func (d *Dispatcher) join(r *jobRecord, s *Submission, reply func(*Answer)) {
	if !s.fetch && !s.cancel && s.digest != r.job.Digest() {
		reply(NewRefusal(s.key, hibiscusstate.RefusalKeyReused, true,
			"this key was used for a submission with another body; the body sent now was not run; get a fresh key for it"))
		return
	}
	if s.waitTime == 0 || r.job.State() != hibiscusstate.JobRunning {
		reply(d.answer(r.job))
		return
	}
	if len(r.waiters) == maxWaiters {
		r.waiters[0](d.answer(r.job))
		r.waiters = r.waiters[1:]
	}
	r.waiters = append(r.waiters, reply)
}

// checkKey refuses keys whose record was deleted, so that nothing is started under them again.
func (d *Dispatcher) checkKey(s *Submission, used bool, err error) *Answer {
	switch {
	case err == nil && !used:
		return nil
	case err == nil, errors.Is(err, hibiscusstate.ErrKeyExpired):
		return NewRefusal(s.key, hibiscusstate.RefusalKeyExpired, false,
			"the record of this key is no longer kept; its tasks may have run")
	default:
		return NewRefusal(s.key, hibiscusstate.RefusalKeyNotIssued, true, "this key was never issued; get one from POST /v1/keys")
	}
}

func (d *Dispatcher) addJob(now time.Time, s *Submission, reply func(*Answer)) {
	d.keyWindow.MarkUsed(s.key.Sequence())
	job := hibiscusstate.NewJob(s.key, s.digest, s.team, s.service, now, now.Add(d.budget(s)))
	job.AddTasks(s.tasks)
	r := &jobRecord{job: job}
	d.jobs[s.key] = r
	if s.name != "" {
		d.indexByName(r, s)
	}
	d.recordBytes += job.Bytes()
	d.counters.jobs++
	d.counters.tasks += uint64(job.Len())
	if s.waitTime == 0 {
		reply(d.answer(job))
	} else {
		r.waiters = append(r.waiters, reply)
	}
	p := d.pool(s.service)
	longest := time.Duration(0)
	for i := range job.Len() {
		t := job.Task(i)
		t.SetExpected(p.runTimes.Expect(t.Kind(), len(t.Payload()), d.declared(s.service, t.Kind(), t.Declared())))
		t.SetShortest(p.shortest(t.Expected()))
		longest = max(longest, t.Expected())
	}
	d.setDueTime(now, job, longest)
	// The objective decides when the job expires.
	heap.Push(&d.deadlines, r)
	if s.late {
		job.MarkLate()
	}
	d.logAdmitted(r)
	for i := range job.Len() {
		p.queue.Push(job.Task(i))
		p.observeTaskSlots(job.Task(i).Resources().Slots())
	}
	d.dispatch(now, p)
}

// finish answers the callers of a job whose last task is resolved, and retains the record for later requests.
func (d *Dispatcher) finish(now time.Time, r *jobRecord) {
	if !r.job.Finish(now) {
		return
	}
	heap.Remove(&d.deadlines, r.heapIndex)
	d.retainOrDelete(r)
	d.counters.countJob(r.job)
	d.logEnded(now, r)
	d.pool(r.job.Service()).totals.countJob(r.job)
	answer := d.answer(r.job)
	if r.retryAfter > 0 {
		answer.WithRetryAfter(r.retryAfter + d.jitter(r.retryAfter))
	}
	for _, reply := range r.waiters {
		reply(answer)
	}
	r.waiters = nil
	d.finishNamed(now, r)
}

// retainOrDelete retains the record of a job for later requests, and deletes that of a named job, which has none.
func (d *Dispatcher) retainOrDelete(r *jobRecord) {
	if r.job.Name() == "" {
		d.finishedJobs.PushBack(r)
		return
	}
	delete(d.jobs, r.job.Key())
	d.recordBytes -= r.job.Bytes()
}

// answer returns the state of a job, with the outcomes once all are final, so that no answer is partial.
func (d *Dispatcher) answer(job *hibiscusstate.Job) *Answer {
	if job.State() == hibiscusstate.JobRunning {
		return NewJobAnswer(job.Key(), job.State(), nil)
	}
	tasks := make([]TaskAnswer, job.Len())
	for i := range tasks {
		t := job.Task(i)
		tasks[i] = NewTaskAnswer(t.Outcome(), t.Output(), t.Reason())
	}
	return NewJobAnswer(job.Key(), job.State(), tasks)
}

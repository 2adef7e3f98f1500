package hibiscuscoordination

import (
	"container/heap"
	"container/list"
	"time"

	"hibiscusrouter/hibiscusstate"
)

// The Dispatcher holds every decision of an entry: which submissions it admits, which worker gets which task and when,
// and what a caller is told. One duty calls it; it acts only through its function fields.
//
// A task moves from queued to sent when it is put into the next orders message of a worker. From then on it may have
// started. It becomes queued again only when the agent says that it did not run it, or when the message never left.
// Outcomes are final once set, so that repeated and crossed reports change nothing.

const (
	// maxTasks is the largest number of tasks of a job, from the size that the users name.
	maxTasks = 1800
	// maxQueuedTasks bounds the tasks of one service that wait at one entry.
	maxQueuedTasks = 100_000
	// maxJobs and maxJobBytes bound the records of an entry.
	maxJobs     = 200_000
	maxJobBytes = 256 << 20
	// jobRetention is how long the answer of a finished job is kept.
	jobRetention = 10 * time.Minute
	// maxMoves is how often a task may come back as not run before its job fails; coming back from a busy worker does not
	// count. When it did, a job of 12 tasks of 1.5 s on 4 slots failed, because a waiting place is given up after 100 ms.
	maxMoves = 8
	// reportGrace is how long after the deadline a report that is under way is waited for.
	reportGrace = 50 * time.Millisecond
	// unsettledLimit is how long a task of a lost session waits for the agent to come back.
	unsettledLimit = 5 * time.Second
	// tickInterval is how often views age and workers that are out are looked at.
	tickInterval = 100 * time.Millisecond
	// defaultDeadline is the time that a job gets when neither the submission nor its kinds name one.
	defaultDeadline = 30 * time.Second
	// longSlotPercent is the share of a service's slots that long work may hold.
	longSlotPercent = 75
	// agentWaitPlaces is how many tasks may wait at one agent.
	agentWaitPlaces = 4
	// agentWaitLimit is how long a task may wait at an agent before it comes back.
	agentWaitLimit = 100 * time.Millisecond
	// staleWaitPart is the part of its run time that a task may wait for a slot that this entry believed to be free. A
	// rejection costs two messages and another try by a view that is no better.
	staleWaitPart = 4
	// dueFactor is how many times its longest task a job is expected to take, for the order of waiting jobs.
	dueFactor = 4
	// refusedHold is how long a worker whose endpoint took no task gets none.
	refusedHold = 250 * time.Millisecond
	// maxWaiters bounds the callers that wait for one job.
	maxWaiters = 64
)

// Dispatcher decides for one entry process.
type Dispatcher struct {
	incarnation   hibiscusstate.Incarnation
	window        *hibiscusstate.KeyWindow
	jobs          map[hibiscusstate.SubmissionKey]*jobRecord
	finished      *list.List
	bytes         int
	deadlines     deadlineHeap
	pools         map[string]*pool
	workers       map[hibiscusstate.Incarnation]*assignment
	dirty         []*assignment
	configuration *hibiscusstate.Configuration
	entries       []hibiscusstate.Incarnation
	draining      bool
	nextTick      time.Time
	jitter        func(d time.Duration) time.Duration
	send          func(worker hibiscusstate.Incarnation, m Message) bool
	event         func(Event)
	counters      Counters
}

// jobRecord is a job with the callers that wait for it.
type jobRecord struct {
	job     *hibiscusstate.Job
	waiters []func(*Answer)
	index   int
	overdue bool
}

// pool is one service's queue and workers at this entry.
type pool struct {
	service  string
	queue    *hibiscusstate.FairQueue
	runTimes *hibiscusstate.RunTimes
	heap     *hibiscusstate.WorkerHeap
	slots    int
	usable   float64
	longs    int
	failures float64
	retries  float64
	totals   serviceTotals
}

// assignment is a worker with the tasks of this entry that it has.
type assignment struct {
	worker *hibiscusstate.Worker
	pool   *pool
	tasks  map[hibiscusstate.TaskID]*hibiscusstate.Task
	orders []hibiscusstate.Order
	lostAt time.Time
}

// DispatcherSeams are the function fields through which a Dispatcher acts.
type DispatcherSeams struct {
	send   func(worker hibiscusstate.Incarnation, m Message) bool
	event  func(Event)
	jitter func(d time.Duration) time.Duration
}

// NewDispatcherSeams returns the seams: send gives a message to a worker's session without blocking, event records what
// operators should see, and jitter returns a random part of d.
func NewDispatcherSeams(
	send func(worker hibiscusstate.Incarnation, m Message) bool,
	event func(Event),
	jitter func(d time.Duration) time.Duration,
) DispatcherSeams {
	return DispatcherSeams{send: send, event: event, jitter: jitter}
}

// NewDispatcher returns the decisions of the entry with the given incarnation, without configuration and workers.
func NewDispatcher(incarnation hibiscusstate.Incarnation, seams DispatcherSeams) *Dispatcher {
	return &Dispatcher{
		incarnation: incarnation,
		window:      hibiscusstate.NewKeyWindow(),
		jobs:        map[hibiscusstate.SubmissionKey]*jobRecord{},
		finished:    list.New(),
		pools:       map[string]*pool{},
		workers:     map[hibiscusstate.Incarnation]*assignment{},
		entries:     []hibiscusstate.Incarnation{incarnation},
		jitter:      seams.jitter,
		send:        seams.send,
		event:       seams.event,
	}
}

// Counters returns the running totals of this entry.
func (d *Dispatcher) Counters() Counters { return d.counters }

// Configuration returns the configuration in force, nil before the first.
func (d *Dispatcher) Configuration() *hibiscusstate.Configuration { return d.configuration }

// Configure puts a configuration in force; a version that is not higher than the one in force is ignored.
func (d *Dispatcher) Configure(now time.Time, c *hibiscusstate.Configuration) bool {
	if d.configuration != nil && c.Version() <= d.configuration.Version() {
		return false
	}
	d.configuration = c
	for _, service := range c.Document().Services() {
		p := d.pool(service.Name())
		for _, team := range c.Document().Teams() {
			p.queue.SetShare(team.Name(), team.Share())
		}
	}
	d.dispatchAll(now)
	return true
}

// SetEntries tells which entries there are, this one included, so that each worker has one that ranks first.
func (d *Dispatcher) SetEntries(entries []hibiscusstate.Incarnation) {
	d.entries = entries
	for _, a := range d.workers {
		a.worker.SetPrimary(d.ranksFirst(a.worker.ID()))
		a.pool.heap.Update(a.worker)
	}
}

// IssueKeys returns n fresh submission keys.
func (d *Dispatcher) IssueKeys(n int) []hibiscusstate.SubmissionKey {
	keys := make([]hibiscusstate.SubmissionKey, n)
	for i := range keys {
		keys[i] = hibiscusstate.NewSubmissionKey(d.incarnation, d.window.Issue())
	}
	return keys
}

// Submit admits or refuses a submission whose key this entry issued, or joins the job that the key already has; reply is
// called once, now or when the job is final.
func (d *Dispatcher) Submit(now time.Time, s *Submission, reply func(*Answer)) {
	if r := d.jobs[s.key]; r != nil {
		d.join(r, s, reply)
		return
	}
	used, err := d.window.Used(s.key.Sequence())
	if refusal := d.refuseKey(s, used, err); refusal != nil {
		d.countRefusal(s, refusal)
		reply(refusal)
		return
	}
	if s.fetch || s.cancel {
		reply(NewRefusal(s.key, hibiscusstate.RefusalUnknownJob, true, "no job was submitted under this key; submit it, the key is still good"))
		return
	}
	if refusal := d.admit(s); refusal != nil {
		d.countRefusal(s, refusal)
		reply(refusal)
		return
	}
	d.start(now, s, reply)
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

// refuseKey refuses keys whose record is gone, so that nothing is started under them again.
func (d *Dispatcher) refuseKey(s *Submission, used bool, err error) *Answer {
	switch {
	case err == nil && !used:
		return nil
	case err == nil, hibiscusstateIsExpired(err):
		return NewRefusal(s.key, hibiscusstate.RefusalKeyExpired, false,
			"the record of this key is no longer kept; its tasks may have run")
	default:
		return NewRefusal(s.key, hibiscusstate.RefusalKeyNotIssued, true, "this key was never issued; get one from POST /v1/keys")
	}
}

func (d *Dispatcher) start(now time.Time, s *Submission, reply func(*Answer)) {
	d.window.MarkUsed(s.key.Sequence())
	job := hibiscusstate.NewJob(s.key, s.digest, s.team, s.service, now, now.Add(d.budget(s)))
	job.AddTasks(s.tasks)
	r := &jobRecord{job: job}
	d.jobs[s.key] = r
	d.bytes += job.Bytes()
	heap.Push(&d.deadlines, r)
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
		longest = max(longest, t.Expected())
	}
	job.SetDue(now.Add(dueFactor * longest))
	for i := range job.Len() {
		p.queue.Push(job.Task(i))
	}
	d.dispatch(now, p)
}

// budget returns the time until the deadline: the submission's, or the longest of its kinds.
func (d *Dispatcher) budget(s *Submission) time.Duration {
	if s.budget > 0 {
		return s.budget
	}
	service, _ := d.configuration.Document().Service(s.service)
	budget := time.Duration(0)
	for _, t := range s.tasks {
		kind, _ := service.Kind(t.Kind())
		budget = max(budget, kind.Deadline())
	}
	if budget == 0 {
		return defaultDeadline
	}
	return budget
}

// declared returns the caller's declared run time, or the kind's when the caller names none.
func (d *Dispatcher) declared(service, kind string, declared time.Duration) time.Duration {
	if declared > 0 {
		return declared
	}
	s, _ := d.configuration.Document().Service(service)
	k, _ := s.Kind(kind)
	return k.RunTime()
}

// Cancel stops a job: queued tasks are not run, and agents are asked to stop the others; reply gets the final answer, or
// the state of the job at once when the cancellation does not wait.
func (d *Dispatcher) Cancel(now time.Time, s *Submission, reply func(*Answer)) {
	r := d.jobs[s.key]
	if r == nil {
		d.Submit(now, s, reply)
		return
	}
	if r.job.State() == hibiscusstate.JobRunning {
		r.job.Cancel()
		d.abandonQueued(r, "the job was cancelled before the task was started")
		d.stopSent(now, r)
		d.finish(now, r)
		d.dispatch(now, d.pool(r.job.Service()))
	}
	d.join(r, s, reply)
}

// WorkerUp takes a worker whose agent has opened a session, or whose agent has opened another one after a lost session.
func (d *Dispatcher) WorkerUp(now time.Time, hello Hello) {
	id := hello.incarnation
	a := d.workers[id]
	if a == nil {
		d.forgetPredecessor(now, hello)
		w := hibiscusstate.NewWorker(id, hello.address, hello.domain, hello.capacity.service, hello.capacity.slots,
			rendezvous(d.incarnation, id))
		w.SetPrimary(d.ranksFirst(id))
		a = &assignment{worker: w, pool: d.pool(hello.capacity.service), tasks: map[hibiscusstate.TaskID]*hibiscusstate.Task{}}
		d.workers[id] = a
		a.pool.heap.Add(w)
		a.pool.slots += w.Slots()
	}
	if a.worker.Connected() && len(a.tasks) > 0 {
		// The agent opened another session before this entry noticed the loss of the one before.
		d.WorkerDown(now, id)
	}
	a.worker.SetConnected(true)
	d.Capacity(now, id, hello.capacity)
	d.settle(a)
}

// forgetPredecessor gives up the tasks of an agent that was replaced at the same address: its memory is gone.
func (d *Dispatcher) forgetPredecessor(now time.Time, hello Hello) {
	for id, a := range d.workers {
		if a.worker.Address() == hello.address && !a.worker.Connected() && id != hello.incarnation {
			d.forgetWorker(now, a, "the worker was replaced while it had the task")
		}
	}
}

// settle asks an agent what became of the tasks that it was given over an earlier session.
func (d *Dispatcher) settle(a *assignment) {
	var tries []hibiscusstate.TaskTry
	for _, t := range a.tasks {
		if t.Phase() == hibiscusstate.PhaseUnsettled {
			tries = append(tries, t.Try())
		}
	}
	if len(tries) > 0 {
		d.counters.messages++
		d.send(a.worker.ID(), NewSettleMessage(tries))
	}
}

// Capacity takes what a worker's endpoint offers now.
func (d *Dispatcher) Capacity(now time.Time, id hibiscusstate.Incarnation, c Capacity) {
	a := d.workers[id]
	if a == nil {
		return
	}
	a.worker.SetLease(c.lease)
	if c.service != "" && c.service != a.worker.Service() {
		a = d.moveToService(a, c.service)
	}
	a.pool.slots += c.slots - a.worker.Slots()
	a.worker.SetSlots(c.slots)
	switch {
	case c.leaving:
		if a.worker.Health() != hibiscusstate.HealthLeaving {
			d.event(NewWorkerEvent(hibiscusstate.EventWorkerLeaving, a.worker, "the endpoint is leaving"))
		}
		a.worker.SetHealth(hibiscusstate.HealthLeaving, "the endpoint is leaving")
	case c.drained:
		a.worker.SetHealth(hibiscusstate.HealthLeaving, "an operator drained the endpoint")
	case a.worker.Health() == hibiscusstate.HealthLeaving:
		a.worker.SetHealth(hibiscusstate.HealthGood, "")
	}
	a.pool.heap.Update(a.worker)
	d.dispatch(now, a.pool)
}

// moveToService serves the first announcement of an endpoint that came after its agent's session.
func (d *Dispatcher) moveToService(a *assignment, service string) *assignment {
	a.pool.heap.Remove(a.worker)
	a.pool.slots -= a.worker.Slots()
	w := hibiscusstate.NewWorker(a.worker.ID(), a.worker.Address(), a.worker.Domain(), service, 0, a.worker.Preference())
	w.SetPrimary(a.worker.Primary())
	w.SetLease(a.worker.Lease())
	a.worker = w
	a.pool = d.pool(service)
	a.pool.heap.Add(w)
	return a
}

// WorkerDown records that the session to a worker was lost: what it has is unsettled until the agent comes back.
func (d *Dispatcher) WorkerDown(now time.Time, id hibiscusstate.Incarnation) {
	a := d.workers[id]
	if a == nil || !a.worker.Connected() {
		return
	}
	a.worker.SetConnected(false)
	a.lostAt = now
	d.returnOrders(now, a)
	for _, t := range a.tasks {
		t.MarkUnsettled()
	}
	a.pool.heap.Update(a.worker)
	d.dispatch(now, a.pool)
}

func (d *Dispatcher) forgetWorker(now time.Time, a *assignment, reason string) {
	for _, t := range a.tasks {
		d.resolve(now, a, t, hibiscusstate.OutcomeMayHaveRun, nil, reason, 0)
	}
	a.pool.heap.Remove(a.worker)
	a.pool.slots -= a.worker.Slots()
	delete(d.workers, a.worker.ID())
}

// Reports takes what an agent says about tasks of this entry.
func (d *Dispatcher) Reports(now time.Time, id hibiscusstate.Incarnation, reports []hibiscusstate.Report) {
	a := d.workers[id]
	if a == nil {
		return
	}
	for i := range reports {
		d.report(now, a, &reports[i])
	}
	a.pool.heap.Update(a.worker)
	d.dispatch(now, a.pool)
}

func (d *Dispatcher) report(now time.Time, a *assignment, r *hibiscusstate.Report) {
	a.worker.SetLease(r.Lease())
	a.worker.Report(r.Others(), r.Waiting(), now)
	t := a.tasks[r.ID()]
	if t == nil || t.Try() != r.Try() {
		return
	}
	switch r.Status() {
	case hibiscusstate.StatusWaiting, hibiscusstate.StatusRunning:
		t.MarkSent(a.worker.ID(), t.SentAt())
		if t.Job().Cancelled() || !now.Before(t.Job().Deadline()) {
			// The job ended while the session was lost, so the agent has not been asked to stop the task.
			d.counters.messages++
			d.send(a.worker.ID(), NewStopMessage([]hibiscusstate.TaskTry{t.Try()}))
		}
	case hibiscusstate.StatusNeverReceived:
		d.comeBack(now, a, t, false, "the task never reached its worker")
	case hibiscusstate.StatusRejected:
		d.counters.countRejection(r.Rejection())
		if r.Rejection() == hibiscusstate.RejectionSealed {
			d.resolve(now, a, t, hibiscusstate.OutcomeNotRun, nil, "another entry has answered for the job", 0)
			return
		}
		d.avoid(now, a.worker, r)
		busy := r.Rejection() == hibiscusstate.RejectionNoFreeSlot || r.Rejection() == hibiscusstate.RejectionWaitedOut
		d.comeBack(now, a, t, busy, "no worker took the task: "+r.Rejection().String())
	case hibiscusstate.StatusDone:
		d.done(now, a, t, r)
	}
}

// avoid keeps a worker that did not take a task from attracting it again at once.
func (d *Dispatcher) avoid(now time.Time, w *hibiscusstate.Worker, r *hibiscusstate.Report) {
	switch r.Rejection() {
	case hibiscusstate.RejectionNoFreeSlot:
		w.Report(max(r.Others(), w.Slots()-w.InFlight()+1), r.Waiting(), now)
	case hibiscusstate.RejectionEndpointDown, hibiscusstate.RejectionEndpointBusy:
		// An endpoint that refuses connections looks idle, and a task that came back eight times within a few
		// milliseconds failed its job while other workers had free slots.
		w.HoldAll(now.Add(refusedHold))
	case hibiscusstate.RejectionNone, hibiscusstate.RejectionWaitedOut, hibiscusstate.RejectionLeaving,
		hibiscusstate.RejectionLeaseExpired, hibiscusstate.RejectionSealed, hibiscusstate.RejectionDuplicate,
		hibiscusstate.RejectionUnknownKind, hibiscusstate.RejectionExpired, hibiscusstate.RejectionStopped:
	}
}

// comeBack queues a task that is known not to have started, unless it is of no more use.
func (d *Dispatcher) comeBack(now time.Time, a *assignment, t *hibiscusstate.Task, busy bool, reason string) {
	job := t.Job()
	if t.Refused() >= maxMoves || job.Cancelled() || job.Unfinished() > 0 || !now.Before(job.Deadline()) {
		d.resolve(now, a, t, hibiscusstate.OutcomeNotRun, nil, reason, 0)
		return
	}
	d.release(a, t)
	d.counters.moves++
	t.MarkReturned(busy)
	a.pool.queue.Push(t)
}

func (d *Dispatcher) done(now time.Time, a *assignment, t *hibiscusstate.Task, r *hibiscusstate.Report) {
	if r.Outcome() == hibiscusstate.OutcomeFinished {
		a.pool.runTimes.Observe(t.Kind(), len(t.Payload()), r.RunTime())
	}
	d.judge(now, a, t, r)
	d.resolve(now, a, t, r.Outcome(), r.Output(), r.Reason(), r.RunTime())
}

// release takes a task off its worker.
func (d *Dispatcher) release(a *assignment, t *hibiscusstate.Task) {
	delete(a.tasks, t.ID())
	a.worker.Remove(t)
	if t.Long() {
		a.pool.longs--
	}
}

// resolve sets the outcome of a task that a worker has; the first task that does not finish abandons the rest of its job.
func (d *Dispatcher) resolve(
	now time.Time, a *assignment, t *hibiscusstate.Task,
	outcome hibiscusstate.Outcome, output []byte, reason string, runTime time.Duration,
) {
	d.release(a, t)
	r := d.jobs[t.Job().Key()]
	before := t.Job().Bytes()
	if !t.Resolve(outcome, output, reason, runTime) || r == nil {
		return
	}
	d.bytes += t.Job().Bytes() - before
	d.counters.countOutcome(outcome)
	if outcome != hibiscusstate.OutcomeFinished && t.Job().Unfinished() == 1 && !t.Job().Cancelled() {
		d.abandonQueued(r, "another task of the job did not finish")
	}
	d.finish(now, r)
}

// abandonQueued resolves the queued tasks of a job as not run.
func (d *Dispatcher) abandonQueued(r *jobRecord, reason string) {
	p := d.pool(r.job.Service())
	for i := range r.job.Len() {
		t := r.job.Task(i)
		if t.Phase() == hibiscusstate.PhaseQueued {
			p.queue.Forget(t)
			t.Resolve(hibiscusstate.OutcomeNotRun, nil, reason, 0)
			d.counters.countOutcome(hibiscusstate.OutcomeNotRun)
		}
	}
}

// stopSent asks the agents to stop the tasks of a job that they have.
func (d *Dispatcher) stopSent(now time.Time, r *jobRecord) {
	byWorker := map[hibiscusstate.Incarnation][]hibiscusstate.TaskTry{}
	for i := range r.job.Len() {
		t := r.job.Task(i)
		if t.Phase() == hibiscusstate.PhaseSent {
			byWorker[t.Worker()] = append(byWorker[t.Worker()], t.Try())
		}
	}
	for worker, tries := range byWorker {
		d.flushWorker(now, d.workers[worker])
		d.counters.messages++
		d.send(worker, NewStopMessage(tries))
	}
}

// finish tells the callers of a job whose last task is resolved, and keeps the record for those who ask later.
func (d *Dispatcher) finish(now time.Time, r *jobRecord) {
	if !r.job.Finish(now) {
		return
	}
	heap.Remove(&d.deadlines, r.index)
	d.finished.PushBack(r)
	d.counters.countJob(r.job)
	d.pool(r.job.Service()).totals.countJob(r.job)
	answer := d.answer(r.job)
	for _, reply := range r.waiters {
		reply(answer)
	}
	r.waiters = nil
}

// answer returns the state of a job; outcomes are told only when they are all final, so that no answer is partial.
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

func (d *Dispatcher) dispatchAll(now time.Time) {
	for _, p := range d.pools {
		d.dispatch(now, p)
	}
}

// dispatch gives waiting tasks of a service to its workers as long as both are there.
func (d *Dispatcher) dispatch(now time.Time, p *pool) {
	for p.queue.Len() > 0 {
		w := p.heap.Best()
		if w == nil {
			return
		}
		wait := time.Duration(0)
		if w.Free() <= 0 {
			if -w.Free() >= d.waitPlaces() || p.queue.Len() < p.slots/len(d.entries) {
				// A short queue is served sooner by the next free slot anywhere than by one agent's.
				return
			}
			wait = agentWaitLimit
		}
		t := p.queue.Pop(p.longs*100 < p.slots*longSlotPercent)
		if t == nil {
			return
		}
		if p.queue.Len() > 0 && now.Add(t.Expected()).After(t.Job().Deadline()) {
			d.giveUp(now, t)
			continue
		}
		if wait == 0 {
			wait = min(t.Expected()/staleWaitPart, agentWaitLimit)
		}
		d.place(now, d.workers[w.ID()], t, wait)
	}
}

// giveUp ends a job whose next task can't be in time, so that no slot works for an answer that comes too late. It is
// called only while other tasks wait: a kind whose learned run time is too long would otherwise never run again, and never
// be learned anew.
func (d *Dispatcher) giveUp(now time.Time, t *hibiscusstate.Task) {
	r := d.jobs[t.Job().Key()]
	t.Resolve(hibiscusstate.OutcomeNotRun, nil, "the task could not be done before the deadline", 0)
	d.counters.countOutcome(hibiscusstate.OutcomeNotRun)
	d.abandonQueued(r, "another task of the job could not be done before the deadline")
	d.stopSent(now, r)
	d.finish(now, r)
}

// waitPlaces returns this entry's share of the waiting places at an agent.
func (d *Dispatcher) waitPlaces() int { return max(agentWaitPlaces/len(d.entries), 1) }

// place puts a task into the next orders message of a worker.
func (d *Dispatcher) place(now time.Time, a *assignment, t *hibiscusstate.Task, wait time.Duration) {
	job := t.Job()
	if len(a.orders) == 0 {
		d.dirty = append(d.dirty, a)
	}
	order := hibiscusstate.NewOrder(t.Try(), job.Len(), job.Digest(), t.Kind(), t.Payload()).
		WithBudget(job.Deadline().Sub(now)).WithLease(a.worker.Lease()).WithWait(wait)
	a.orders = append(a.orders, order)
	a.tasks[t.ID()] = t
	t.MarkSent(a.worker.ID(), now)
	a.worker.Add(t)
	if t.Long() {
		a.pool.longs++
	}
	a.pool.heap.Update(a.worker)
}

// Flush sends the orders that were placed since the last call, one message for each worker.
func (d *Dispatcher) Flush(now time.Time) {
	for _, a := range d.dirty {
		d.flushWorker(now, a)
	}
	d.dirty = d.dirty[:0]
}

func (d *Dispatcher) flushWorker(now time.Time, a *assignment) {
	if a == nil || len(a.orders) == 0 {
		return
	}
	if !d.send(a.worker.ID(), NewOrdersMessage(a.orders)) {
		// The writer's ring is full: count the worker as full until its next report, or these tasks would come straight back.
		a.worker.Report(a.worker.Slots(), 0, now)
		a.pool.heap.Update(a.worker)
		d.returnOrders(now, a)
		return
	}
	d.counters.messages++
	d.counters.sent += uint64(len(a.orders))
	a.orders = nil
}

// returnOrders queues again the tasks whose message has not left this process.
func (d *Dispatcher) returnOrders(now time.Time, a *assignment) {
	orders := a.orders
	a.orders = nil
	for _, order := range orders {
		if t := a.tasks[order.ID()]; t != nil {
			d.comeBack(now, a, t, true, "the session to the worker took no more tasks")
		}
	}
}

func (d *Dispatcher) pool(service string) *pool {
	p := d.pools[service]
	if p == nil {
		p = &pool{
			service: service, queue: hibiscusstate.NewFairQueue(), runTimes: hibiscusstate.NewRunTimes(),
			heap: hibiscusstate.NewWorkerHeap(),
		}
		d.pools[service] = p
	}
	return p
}

// ranksFirst says whether this entry has the highest rendezvous hash for a worker among the entries.
func (d *Dispatcher) ranksFirst(worker hibiscusstate.Incarnation) bool {
	own := rendezvous(d.incarnation, worker)
	for _, entry := range d.entries {
		if entry != d.incarnation && rendezvous(entry, worker) > own {
			return false
		}
	}
	return true
}

// rendezvous mixes two incarnations into a hash, with the finaliser of splitmix64.
func rendezvous(entry, worker hibiscusstate.Incarnation) uint64 {
	x := uint64(entry) ^ (uint64(worker) * 0x9e3779b97f4a7c15)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// deadlineHeap orders running jobs by when their time is up.
type deadlineHeap []*jobRecord

func (h deadlineHeap) Len() int { return len(h) }

func (h deadlineHeap) Less(a, b int) bool {
	return h[a].due().Before(h[b].due())
}

func (h deadlineHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].index = a
	h[b].index = b
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	r := x.(*jobRecord)
	r.index = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return r
}

package hibiscuscoordination

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"hibiscusrouter/hibiscusstate"
)

// LeasedWorker is the runs duty of an agent whose endpoint runs orders under leases. It knows of every run whether it may be
// going on: a runner that has asked for a start gets the end of the run, or the certainty that it has not begun.
//
// A look renews the lease and lists what runs and what ended. Looks are numbered as they are sent, because answers overtake
// each other: that a run is missing from a list says something only when the list was asked for after the run's start, or
// the stop of it, had been answered. A request to start that gets no answer may take effect seconds later. It is therefore
// stopped: an endpoint that has answered the stop begins the run no more.
//
// An agent that has just started knows nothing of what its predecessor started. It stops all that the endpoint runs, and
// offers no room until a list is empty.

const (
	// leaseRenewal is how long a lease lasts from each renewal; endpoints take at most a second.
	leaseRenewal = time.Second
	// leaseSlack is how much longer than its lease a run may go on: the endpoint's clock may be 2% slow, and a kill takes 50 ms.
	leaseSlack = 100 * time.Millisecond
	// busyLook and idleLook are how long an endpoint may hold back its answer to a look while it runs something, and otherwise.
	// A run whose start carried its own lease is renewed by a look that begins at most idleLook later.
	busyLook = 300 * time.Millisecond
	idleLook = 600 * time.Millisecond
	// callTimeout bounds a request to the endpoint beside the agent, which answers within a millisecond. A process whose
	// processor time is a quota may stand still for 76 ms.
	callTimeout = 150 * time.Millisecond
	// lookSlack is how long an answer to a look may take beyond the time that it may be held back.
	lookSlack = 250 * time.Millisecond
	// renewWhileSilent is how long an endpoint that answers no look still has its lease renewed. After that its runs have to
	// end, because nobody learns of their results.
	renewWhileSilent = 600 * time.Millisecond
	// retryLook is the time between two looks when the endpoint does not answer.
	retryLook = 50 * time.Millisecond
	// stallTime, stallParts and firstStallPart say when a run stands still: its percentage does not change for stallTime, for
	// stallParts times as long as one percent has taken so far, and before the first percent for a part of its expected time.
	// A task of 8 s on a worker that is 6 times slower makes a percent in 0.5 s.
	stallTime      = 300 * time.Millisecond
	stallParts     = 5
	firstStallPart = 10
	// firstNumbers bounds how many numbers a start tries when the endpoint has seen higher ones.
	firstNumbers = 12
	// maxForgotten bounds the runs that are remembered after their end.
	maxForgotten = 4096
)

// LeasedWorker is safe for concurrent use; its methods queue commands for the duty.
type LeasedWorker struct {
	duty         *duty
	seams        LeasedWorkerSeams
	life         WorkerLife
	announcement Announcement
	runs         map[RunID]*leasedRun
	orphans      map[RunID]bool
	forgotten    map[RunID]uint64
	cursor       uint64
	looks        uint64
	applied      uint64
	clock        int64
	clockAt      time.Time
	answeredAt   time.Time
	leaseEnd     time.Time
	offered      bool
	listed       bool
	log          *slog.Logger
	wake         chan struct{}
	working      sync.WaitGroup
}

// leasedRun is a run that may be going on.
type leasedRun struct {
	id    RunID
	begun bool
	// settled is the number of looks that had been sent when the start or the stop was answered, so that a later list that
	// lacks the run is believed.
	answered bool
	settled  uint64
	ended    chan RunEnd
	// percent is the progress that was listed last, since changedAt; stalled gets a value when it stands still for too long.
	percent   int
	beganAt   time.Time
	changedAt time.Time
	expected  time.Duration
	stalled   chan struct{}
}

// NewLeasedWorker returns the duty, without an endpoint.
func NewLeasedWorker(seams LeasedWorkerSeams, log *slog.Logger) *LeasedWorker {
	w := &LeasedWorker{
		seams: seams, runs: map[RunID]*leasedRun{}, orphans: map[RunID]bool{}, forgotten: map[RunID]uint64{}, log: log,
		wake: make(chan struct{}, 1),
	}
	w.duty = newDuty(func(time.Time) {}, func(now time.Time) time.Time { return now.Add(time.Second) })
	return w
}

// Run executes the duty and looks at the endpoint until ctx is done.
func (w *LeasedWorker) Run(ctx context.Context) {
	w.working.Go(w.duty.run)
	w.lookLoop(ctx)
	w.duty.ring.Close()
	w.working.Wait()
}

// Announce takes what the endpoint says of itself, and returns when the agent has taken note of it. An announcement of an
// earlier life, or one that was overtaken, is ignored.
func (w *LeasedWorker) Announce(a Announcement) error {
	_, err := ask(w.duty, func(now time.Time) bool {
		if a.life.born < w.life.born || a.life == w.life && a.sequence <= w.announcement.sequence {
			w.log.Warn("endpoint: late announcement ignored", "endpoint", a.life.id, "born", a.life.born, "sequence", a.sequence)
			return false
		}
		if a.life != w.life {
			w.newLife(now, a.life)
		}
		if a.draining && !w.announcement.draining {
			w.log.Info("endpoint: draining", "endpoint", a.life.id, "running", len(w.runs))
			w.report(w.seams.leave())
		}
		w.announcement = a
		w.offerRoom()
		return true
	})
	if err != nil {
		return err
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return nil
}

// Gone takes the word of an endpoint that it ends.
func (w *LeasedWorker) Gone(id string) error {
	return w.duty.do(func(time.Time) {
		if id != w.life.id {
			return
		}
		w.log.Info("endpoint: left", "endpoint", id, "running", len(w.runs))
		w.endAll(EndLapsed, "the endpoint has left")
		w.life = WorkerLife{born: w.life.born}
		w.withdraw()
	})
}

// Execute runs one task and returns its result; it is called by the runner of a slot.
func (w *LeasedWorker) Execute(ctx context.Context, order hibiscusstate.Order) RunResult {
	number := order.Try().Number() + 1
	for range firstNumbers {
		id := NewRunID(order.JobName(), order.ID().Index(), number)
		run, request, life, err := w.begin(id, order)
		if err != nil {
			return NewNotRunResult(hibiscusstate.RejectionEndpointDown)
		}
		startCtx, cancel := context.WithTimeout(ctx, callTimeout)
		verdict, clock := w.seams.start(startCtx, life, request)
		cancel()
		w.answered(run, verdict, clock)
		switch verdict {
		case StartTaken:
			return w.await(ctx, life, run)
		case StartUnanswered:
			w.log.Warn("endpoint: start got no answer, stopping it", "job", id.job, "index", id.index, "run", id.number)
			return w.stopAndAwait(ctx, life, run)
		case StartOutdated:
			number *= 2
		case StartNoRoom, StartRefused:
			return NewNotRunResult(hibiscusstate.RejectionEndpointBusy)
		case StartUnreachable:
			return NewNotRunResult(hibiscusstate.RejectionEndpointDown)
		}
	}
	return NewNotRunResult(hibiscusstate.RejectionEndpointBusy)
}

// startPlan is what a start needs from the duty.
type startPlan struct {
	run     *leasedRun
	request StartRequest
	life    WorkerLife
}

// begin records a run that is about to be asked for.
func (w *LeasedWorker) begin(id RunID, order hibiscusstate.Order) (*leasedRun, StartRequest, WorkerLife, error) {
	plan, err := ask(w.duty, func(now time.Time) startPlan {
		if w.life.id == "" || !w.listed || w.runs[id] != nil {
			return startPlan{}
		}
		run := &leasedRun{
			id: id, ended: make(chan RunEnd, 1), stalled: make(chan struct{}, 1), expected: order.Expected(), beganAt: now, changedAt: now,
		}
		w.runs[id] = run
		return startPlan{run: run, life: w.life, request: StartRequest{run: id, payload: order.Payload(), until: w.renew(now)}}
	})
	if err == nil && plan.run == nil {
		err = ErrEndpointGone
	}
	return plan.run, plan.request, plan.life, err
}

// answered records the verdict on a start. A run that has certainly not begun is forgotten.
func (w *LeasedWorker) answered(run *leasedRun, verdict StartVerdict, clock int64) {
	w.report(w.duty.do(func(now time.Time) {
		if w.runs[run.id] != run {
			return
		}
		if clock > 0 {
			w.setClock(now, clock)
		}
		switch verdict {
		case StartTaken:
			run.begun, run.answered, run.settled = true, true, w.looks
		case StartUnanswered:
		case StartOutdated, StartNoRoom, StartRefused, StartUnreachable:
			w.log.Info("endpoint: start not taken", "job", run.id.job, "index", run.id.index, "run", run.id.number,
				"verdict", verdict.String())
			w.forget(run)
		}
	}))
}

// await waits for the end of a run, and stops it when ctx is done before.
func (w *LeasedWorker) await(ctx context.Context, life WorkerLife, run *leasedRun) RunResult {
	select {
	case end := <-run.ended:
		return resultOfEnd(end, false)
	case <-run.stalled:
		w.log.Warn("endpoint: run stands still, stopping it", "job", run.id.job, "index", run.id.index, "run", run.id.number)
		return stalledResult(w.stopAndAwait(ctx, life, run))
	case <-ctx.Done():
		return w.stopAndAwait(ctx, life, run)
	}
}

// stalledResult returns the result of a run that was stopped because it stood still, unless it ended otherwise.
func stalledResult(r RunResult) RunResult {
	if r.outcome == hibiscusstate.OutcomeLost {
		return NewRunResult(hibiscusstate.OutcomeStalled, nil, "the run made no progress")
	}
	return r
}

// stopAndAwait stops a run and waits for its end. The request is repeated until it is answered, also past ctx, because the run
// takes room until its end is known.
func (w *LeasedWorker) stopAndAwait(ctx context.Context, life WorkerLife, run *leasedRun) RunResult {
	for {
		stopCtx, cancel := context.WithTimeout(context.Background(), callTimeout)
		err := w.seams.stop(stopCtx, life, run.id)
		cancel()
		if err == nil {
			break
		}
		select {
		case end := <-run.ended:
			return resultOfEnd(end, ctx.Err() != nil)
		case <-time.After(retryLook):
		}
	}
	w.report(w.duty.do(func(time.Time) { run.answered, run.settled = true, w.looks }))
	w.lookOnce(context.Background(), 0)
	return resultOfEnd(<-run.ended, ctx.Err() != nil)
}

// resultOfEnd returns what the agent tells about a run; wanted says that its end was asked for.
func resultOfEnd(end RunEnd, wanted bool) RunResult {
	switch end {
	case EndDone:
		return NewRunResult(hibiscusstate.OutcomeFinished, nil, "")
	case EndFailed:
		return NewRunResult(hibiscusstate.OutcomeFailed, nil, "the task failed at the endpoint")
	case EndNotBegun:
		return NewNotRunResult(hibiscusstate.RejectionStopped)
	case EndStopped, EndLapsed:
		if wanted {
			return NewRunResult(hibiscusstate.OutcomeStopped, nil, "the task was stopped while it ran")
		}
		return NewRunResult(hibiscusstate.OutcomeLost, nil, "the run ended with its lease or its endpoint")
	}
	return NewRunResult(hibiscusstate.OutcomeMayHaveRun, nil, "unknown end")
}

// lookLoop is the looks duty.
func (w *LeasedWorker) lookLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if w.lookOnce(ctx, busyLook) {
			continue
		}
		select {
		case <-ctx.Done():
		case <-w.wake:
		case <-time.After(retryLook):
		}
	}
}

// lookPlan is what a look needs from the duty.
type lookPlan struct {
	life    WorkerLife
	request LookRequest
	number  uint64
}

// lookOnce asks the endpoint once and says whether it answered. The endpoint may hold the answer back for wait, or longer
// when it runs nothing.
func (w *LeasedWorker) lookOnce(ctx context.Context, wait time.Duration) bool {
	plan, err := ask(w.duty, func(now time.Time) lookPlan { return w.planLook(now, wait) })
	if err != nil || plan.life.id == "" {
		return false
	}
	lookCtx, cancel := context.WithTimeout(ctx, plan.request.wait+lookSlack)
	listing, err := w.seams.look(lookCtx, plan.life, plan.request)
	cancel()
	if ctx.Err() != nil {
		return false
	}
	w.report(w.duty.do(func(now time.Time) {
		if plan.life != w.life {
			return
		}
		if err != nil {
			w.lookFailed(now, err)
			return
		}
		w.apply(now, plan.number, listing)
	}))
	return err == nil
}

func (w *LeasedWorker) planLook(now time.Time, wait time.Duration) lookPlan {
	switch {
	case !w.listed:
		// Nothing is offered before the first list, so that it is asked for at once.
		wait = 0
	case len(w.runs) == 0 && wait > 0:
		wait = idleLook
	}
	w.looks++
	request := LookRequest{cursor: w.cursor, wait: wait}
	if len(w.runs) > 0 && now.Sub(w.answeredAt) < renewWhileSilent {
		request.until = w.renew(now)
	}
	return lookPlan{life: w.life, number: w.looks, request: request}
}

// renew returns the end of a lease that is renewed now, on the endpoint's clock, zero while that is unknown.
func (w *LeasedWorker) renew(now time.Time) int64 {
	if w.clock == 0 {
		return 0
	}
	w.leaseEnd = now.Add(leaseRenewal)
	return w.clock + (now.Sub(w.clockAt) + leaseRenewal).Milliseconds()
}

func (w *LeasedWorker) setClock(now time.Time, clock int64) {
	w.clock, w.clockAt = clock, now
}

// apply takes an endpoint's list.
func (w *LeasedWorker) apply(now time.Time, number uint64, l Listing) {
	if l.born != 0 && l.born != w.life.born {
		w.log.Warn("endpoint: another life answers", "endpoint", w.life.id, "born", w.life.born, "answering", l.born)
		w.newLife(now, NewWorkerLife(w.life.id, l.born, w.life.address))
		return
	}
	w.answeredAt = now
	w.setClock(now, l.clock)
	for _, r := range l.ended {
		w.cursor = max(w.cursor, r.sequence)
		if run := w.runs[r.run]; run != nil {
			w.end(run, r.end)
		}
		delete(w.orphans, r.run)
	}
	if number < w.applied {
		return
	}
	w.applied = number
	w.compare(now, number, l.running)
	if !w.listed && len(w.orphans) == 0 {
		w.listed = true
		w.log.Info("endpoint: first list is empty", "endpoint", w.life.id, "born", w.life.born)
	}
	w.offerRoom()
}

// compare ends the runs that a list lacks, and stops those that nobody here has started.
func (w *LeasedWorker) compare(now time.Time, number uint64, running []ListedRun) {
	listed := make(map[RunID]bool, len(running))
	for _, r := range running {
		listed[r.run] = true
		if run := w.runs[r.run]; run != nil {
			run.observe(now, r.percent)
		}
		if w.runs[r.run] == nil && !w.orphans[r.run] && w.forgotten[r.run] < number {
			w.stopOrphan(r.run)
		}
	}
	for id := range w.orphans {
		if !listed[id] {
			delete(w.orphans, id)
		}
	}
	for id, run := range w.runs {
		if listed[id] || !run.answered || run.settled >= number {
			continue
		}
		if run.begun {
			w.end(run, EndLapsed)
		} else {
			w.end(run, EndNotBegun)
		}
	}
}

// observe takes the percentage of a run's work that is done, and reports a run that stands still.
func (r *leasedRun) observe(now time.Time, percent int) {
	if percent != r.percent {
		r.percent, r.changedAt = percent, now
		return
	}
	limit := max(stallTime, r.expected/firstStallPart)
	if percent > 0 {
		limit = max(stallTime, stallParts*r.changedAt.Sub(r.beganAt)/time.Duration(percent))
	}
	if now.Sub(r.changedAt) < limit {
		return
	}
	select {
	case r.stalled <- struct{}{}:
	default:
	}
}

// stopOrphan stops a run that an earlier agent process started. Its room is not known, so that none is offered meanwhile.
func (w *LeasedWorker) stopOrphan(id RunID) {
	w.log.Warn("endpoint: stopping a run that this process did not start", "job", id.job, "index", id.index, "run", id.number)
	w.orphans[id] = true
	life := w.life
	w.working.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		err := w.seams.stop(ctx, life, id)
		if err != nil {
			w.log.Warn("endpoint: stop got no answer", "job", id.job, "index", id.index, "cause", err.Error())
		}
		w.report(w.duty.do(func(time.Time) {
			if err != nil {
				delete(w.orphans, id)
			}
		}))
	})
}

// lookFailed takes a look that got no list. Runs end with their endpoint at once, or with their lease.
func (w *LeasedWorker) lookFailed(now time.Time, err error) {
	switch {
	case errors.Is(err, ErrEndpointGone):
		w.endAll(EndLapsed, "the endpoint is down")
		w.listed = false
		w.withdraw()
	case now.Sub(w.answeredAt) > renewWhileSilent:
		w.withdraw()
		if now.After(w.leaseEnd.Add(leaseRenewal/50 + leaseSlack)) {
			w.endAll(EndLapsed, "the endpoint is silent and its lease has expired")
			w.listed = false
		}
	}
}

// newLife begins with an endpoint that has started anew: nothing of the life before runs.
func (w *LeasedWorker) newLife(now time.Time, life WorkerLife) {
	w.endAll(EndLapsed, "the endpoint has started anew")
	w.log.Info("endpoint: new life", "endpoint", life.id, "born", life.born, "address", life.address)
	w.life = life
	w.announcement.sequence = 0
	w.announcement.draining = false
	w.cursor, w.clock, w.listed, w.answeredAt = 0, 0, false, now
	clear(w.orphans)
	w.withdraw()
}

// offerRoom tells the agent what the endpoint offers, when its state is known.
func (w *LeasedWorker) offerRoom() {
	if !w.listed || len(w.orphans) > 0 || w.announcement.draining || w.life != w.announcement.life {
		return
	}
	w.offered = true
	w.report(w.seams.offer(w.announcement.service, w.announcement.room))
}

// withdraw tells the agent that the endpoint takes no tasks at present.
func (w *LeasedWorker) withdraw() {
	if w.offered {
		w.offered = false
		w.log.Warn("endpoint: offers no room", "endpoint", w.life.id)
		w.report(w.seams.offer(w.announcement.service, hibiscusstate.Room{}))
	}
}

func (w *LeasedWorker) endAll(end RunEnd, cause string) {
	if len(w.runs) > 0 {
		w.log.Warn("endpoint: all runs have ended", "runs", len(w.runs), "cause", cause)
	}
	for _, run := range w.runs {
		w.end(run, end)
	}
}

// end tells the runner how its run ended.
func (w *LeasedWorker) end(run *leasedRun, end RunEnd) {
	w.forget(run)
	run.ended <- end
}

// forget drops a run; lists that were asked for before may still name it.
func (w *LeasedWorker) forget(run *leasedRun) {
	delete(w.runs, run.id)
	if len(w.forgotten) >= maxForgotten {
		clear(w.forgotten)
	}
	w.forgotten[run.id] = w.looks
}

// report logs an error of a duty that has ended; nothing else can be done about it.
func (w *LeasedWorker) report(err error) {
	if err != nil {
		w.log.Debug("endpoint: the agent has stopped", "cause", err.Error())
	}
}

package hibiscuscoordination

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"hibiscusrouter/hibiscusstate"
)

// LeasedWorker manages the runs at an endpoint that runs tasks under leases, for its agent. It tracks which runs may be in
// progress: a runner that has requested a start receives the end of the run, or a confirmation that it never began.
//
// A poll renews the lease and lists the running and the ended runs. Polls are numbered as they are sent, because responses can
// overtake each other: a run that a list lacks is known to have ended only if the poll was sent after the start of the run, or
// its stop, had been answered. A start request without an answer may take effect seconds later. It is therefore stopped: an
// endpoint that has answered the stop does not begin the run any more.
//
// An agent process that has just started has no record of the runs of its predecessor. It stops all runs that the endpoint
// lists, and offers no capacity until a list is empty.
//
// A request without an answer may take effect up to 12 s later, when the endpoint has restarted under its name and lost the
// record of the stop, or when another agent process has taken over, which has not reserved resources for the run. So all requests
// carry an epoch, which rises with each agent process and each incarnation of the endpoint, and an endpoint ignores lower ones.

const (
	// leaseRenewal is the duration of a lease from each renewal; endpoints accept at most a second.
	leaseRenewal = time.Second
	// leaseSlack is how much longer than its lease a run may go on: the endpoint's clock may be 2% slow, and a kill takes 50 ms.
	leaseSlack = 100 * time.Millisecond
	// busyLook and idleLook are how long an endpoint may delay its answer to a poll, with and without runs. A run whose start
	// carried its own lease is renewed by a poll that begins at most idleLook later, and is not listed before.
	busyLook = 150 * time.Millisecond
	idleLook = 200 * time.Millisecond
	// orphanLook is the same while runs of an earlier agent process are being stopped, which takes 50 ms.
	orphanLook = 50 * time.Millisecond
	// callTimeout bounds a request to the endpoint on the same VM, which answers within a millisecond. A process with a CPU quota
	// may be throttled for 76 ms.
	callTimeout = 150 * time.Millisecond
	// minStartTimeout and startFactor bound a start, and the stop of a start without an answer: the timeout is startFactor times
	// the average time to an answer, at least minStartTimeout and at most callTimeout. A wait of 150 ms for one start makes a job
	// of 50 ms tasks late; the answer usually comes within 2 ms.
	minStartTimeout = 25 * time.Millisecond
	startFactor     = 10
	// answerWeight is the divisor of the moving average of the time to an answer.
	answerWeight = 8
	// lookSlack is how long the answer to a poll may take beyond the requested delay.
	lookSlack = 100 * time.Millisecond
	// lookDuties is the number of concurrent polls. While a poll is unanswered, no ends of runs are received: with 6% of the
	// requests unanswered and one poll of 0.4 s at a time, that is a third of the time.
	lookDuties = 2
	// renewWhileSilent is how long the lease is still renewed after the last answer to a poll. After that the runs must end,
	// because their results can't be received.
	renewWhileSilent = 600 * time.Millisecond
	// retryLook is the delay before the next poll after one without an answer.
	retryLook = 50 * time.Millisecond
	// retryStop is the delay before a stop without an answer is repeated. Its task can't run anywhere until the stop is answered.
	retryStop = 10 * time.Millisecond
	// stallTime, stallParts and firstStallPart bound the progress of a run. It is stalled when its percentage has not changed for
	// stallTime and for stallParts times the average time per percent, or before the first percent for the expected time divided
	// by firstStallPart. A task of 8 s on a worker that is 6 times slower makes a percent in 0.5 s.
	stallTime      = 250 * time.Millisecond
	stallParts     = 5
	firstStallPart = 10
	// suspectStalls is the number of stalled runs in a row after which the endpoint is suspended: it offers no capacity for
	// suspectTime, doubled each time up to maxSuspectTime, and then its slots divided by suspectPart until a run is done.
	// Workers of the host platform stall for 5 to 7 s.
	suspectStalls  = 2
	suspectTime    = 2 * time.Second
	maxSuspectTime = 16 * time.Second
	suspectPart    = 8
	// epochStep is the first increment of the epoch, in milliseconds, when the endpoint has seen a higher one; it doubles each
	// time. Epochs are times of day, which differ by at most 5 s between VMs, and by 2 s when a clock jumps.
	epochStep = 5000
	// firstNumbers bounds the run numbers that a start tries when the endpoint has seen higher ones.
	firstNumbers = 12
	// maxForgotten bounds the records of ended runs.
	maxForgotten = 4096
)

// LeasedWorker is safe for concurrent use; its methods queue commands for its event loop.
type LeasedWorker struct {
	duty         *duty
	seams        LeasedWorkerSeams
	life         WorkerLife
	announcement Announcement
	// epoch is the epoch of all requests, in milliseconds of the time of day.
	epoch      uint64
	epochStep  uint64
	runs       map[RunID]*leasedRun
	orphans    map[RunID]bool
	forgotten  map[RunID]uint64
	cursor     uint64
	looks      uint64
	applied    uint64
	clock      int64
	clockAt    time.Time
	answeredAt time.Time
	startTime  time.Duration
	leaseEnd   time.Time
	// largest is the most slots that a run here has taken; a reduced offer has at least that many.
	largest      int
	offered      bool
	stalls       int
	suspectUntil time.Time
	suspectFor   time.Duration
	listed       bool
	log          *slog.Logger
	wake         chan struct{}
	working      sync.WaitGroup
}

// NewLeasedWorker returns a LeasedWorker without an endpoint.
func NewLeasedWorker(seams LeasedWorkerSeams, log *slog.Logger) *LeasedWorker {
	w := &LeasedWorker{
		seams: seams, runs: map[RunID]*leasedRun{}, orphans: map[RunID]bool{}, forgotten: map[RunID]uint64{}, log: log,
		wake: make(chan struct{}, 1), epoch: uint64(time.Now().UnixMilli()), epochStep: epochStep,
	}
	w.duty = newDuty(func(time.Time) {}, func(now time.Time) time.Time { return now.Add(time.Second) })
	return w
}

// Run executes the event loop and polls the endpoint until ctx is done.
func (w *LeasedWorker) Run(ctx context.Context) {
	w.working.Go(w.duty.run)
	var polls sync.WaitGroup
	for range lookDuties {
		polls.Go(func() { w.lookLoop(ctx) })
	}
	polls.Wait()
	w.duty.ring.Close()
	w.working.Wait()
}

// Announce processes an announcement of the endpoint before it returns. An announcement of an earlier incarnation, or one
// older than the last, is ignored.
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
		w.offerRoom(now)
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

// Gone handles the request of an endpoint to delete its announcement, because it shuts down.
func (w *LeasedWorker) Gone(id string) error {
	return w.duty.do(func(time.Time) {
		if id != w.life.id {
			return
		}
		w.log.Info("endpoint: shut down", "endpoint", id, "running", len(w.runs))
		w.endAll("the endpoint has shut down")
		w.life = WorkerLife{born: w.life.born}
		w.withdraw("the endpoint has shut down")
	})
}

// lookLoop polls the endpoint until ctx is done.
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

// pollParams are the parameters of a poll, as of the event loop's state.
type lookPlan struct {
	life    WorkerLife
	request LookRequest
	number  uint64
	timeout time.Duration
}

// lookOnce polls the endpoint once and reports whether it answered. The endpoint may delay the answer by wait, or longer
// while it has no runs.
func (w *LeasedWorker) lookOnce(ctx context.Context, wait time.Duration) bool {
	params, err := ask(w.duty, func(now time.Time) lookPlan { return w.planLook(now, wait) })
	if err != nil || params.life.id == "" {
		return false
	}
	pollCtx, cancel := context.WithTimeout(ctx, params.timeout)
	response, err := w.seams.look(pollCtx, params.life, params.request)
	cancel()
	if ctx.Err() != nil {
		return false
	}
	w.report(w.duty.do(func(now time.Time) {
		if params.life != w.life {
			return
		}
		if err != nil {
			w.lookFailed(now, err)
			return
		}
		w.apply(now, params.number, response)
	}))
	return err == nil
}

func (w *LeasedWorker) planLook(now time.Time, wait time.Duration) lookPlan {
	switch {
	case !w.listed && len(w.orphans) == 0:
		// No capacity is offered before the first list, so the endpoint must answer at once.
		wait = 0
	case !w.listed:
		wait = min(wait, orphanLook)
	case len(w.runs) == 0 && wait > 0:
		wait = idleLook
	}
	w.looks++
	request := LookRequest{cursor: w.cursor, wait: wait, epoch: w.epoch}
	if len(w.runs) > 0 && now.Sub(w.answeredAt) < renewWhileSilent {
		request.until = w.renew(now)
	}
	timeout := wait + lookSlack
	if wait == 0 {
		// The answer is not delayed, so it takes no longer than that to a start.
		timeout = w.startTimeout()
	}
	return lookPlan{life: w.life, number: w.looks, request: request, timeout: timeout}
}

// epochNow returns the current epoch, or previous when the event loop has ended.
func (w *LeasedWorker) epochNow(previous uint64) uint64 {
	epoch, err := ask(w.duty, func(time.Time) uint64 { return w.epoch })
	if err != nil {
		return previous
	}
	return epoch
}

// startTimeout returns the timeout of a start request.
func (w *LeasedWorker) startTimeout() time.Duration {
	if w.startTime == 0 {
		return callTimeout
	}
	return min(max(startFactor*w.startTime, minStartTimeout), callTimeout)
}

// renew renews the lease and returns its end on the endpoint's clock, zero while that clock is unknown.
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

// apply updates the runs from the response to the poll with the given number.
func (w *LeasedWorker) apply(now time.Time, number uint64, response Listing) {
	if response.born != 0 && response.born != w.life.born {
		w.log.Warn("endpoint: another life answers", "endpoint", w.life.id, "born", w.life.born, "answering", response.born)
		w.newLife(now, NewWorkerLife(w.life.id, response.born, w.life.address))
		return
	}
	w.answeredAt = now
	w.setClock(now, response.clock)
	for _, r := range response.ended {
		w.cursor = max(w.cursor, r.sequence)
		if run := w.runs[r.run]; run != nil {
			w.end(run, r.end)
		}
		if r.end == EndDone {
			w.stalls, w.suspectFor = 0, 0
		}
		delete(w.orphans, r.run)
	}
	if number < w.applied {
		return
	}
	w.applied = number
	w.compare(now, number, response.running)
	if !w.listed && len(w.orphans) == 0 {
		w.listed = true
		w.log.Info("endpoint: first list is empty", "endpoint", w.life.id, "born", w.life.born)
	}
	w.offerRoom(now)
}

// compare ends the runs that the list of a poll lacks, and stops listed runs that this process did not start.
func (w *LeasedWorker) compare(now time.Time, number uint64, running []ListedRun) {
	listed := make(map[RunID]bool, len(running))
	for _, r := range running {
		listed[r.run] = true
		if run := w.runs[r.run]; run != nil {
			if run.observe(now, r.percent) {
				w.suspect(now)
			}
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

// stopOrphan stops a run that an earlier agent process started. Its resources are not known, so no capacity is offered until
// it has ended.
func (w *LeasedWorker) stopOrphan(id RunID) {
	w.log.Warn("endpoint: stopping a run that this process did not start", "job", id.job, "index", id.index, "run", id.number)
	w.orphans[id] = true
	incarnation, epoch := w.life, w.epoch
	w.working.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		err := w.seams.stop(ctx, incarnation, id, epoch)
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

// lookFailed handles a poll that returned no list. Runs end at once if the endpoint is down, otherwise when the lease expires.
func (w *LeasedWorker) lookFailed(now time.Time, err error) {
	switch {
	case errors.Is(err, ErrEpochPassed):
		w.epoch += w.epochStep
		w.epochStep *= 2
		w.log.Warn("endpoint: has seen a higher epoch", "endpoint", w.life.id, "epoch", w.epoch)
	case errors.Is(err, ErrEndpointGone):
		w.endAll("the endpoint is down")
		w.listed = false
		w.withdraw(err.Error())
	case now.Sub(w.answeredAt) > renewWhileSilent:
		w.withdraw("the endpoint does not answer polls: " + err.Error())
		if now.After(w.leaseEnd.Add(leaseRenewal/50 + leaseSlack)) {
			w.endAll("the endpoint does not answer polls and its lease has expired")
			w.listed = false
		}
	}
}

// newLife resets the state for an endpoint that has restarted: no run of its previous incarnation goes on.
func (w *LeasedWorker) newLife(now time.Time, incarnation WorkerLife) {
	w.endAll("the endpoint has restarted")
	w.log.Info("endpoint: new incarnation", "endpoint", incarnation.id, "born", incarnation.born, "address", incarnation.address)
	w.life = incarnation
	w.epoch = max(w.epoch+1, uint64(now.UnixMilli()))
	w.announcement.sequence = 0
	w.announcement.draining = false
	w.cursor, w.clock, w.listed, w.answeredAt = 0, 0, false, now
	w.stalls, w.suspectFor, w.suspectUntil = 0, 0, time.Time{}
	clear(w.orphans)
	w.withdraw("the endpoint has restarted")
}

// offerRoom offers the endpoint's capacity to the agent, unless the state of the endpoint is unknown or it is suspended.
func (w *LeasedWorker) offerRoom(now time.Time) {
	if now.Before(w.suspectUntil) || !w.listed || len(w.orphans) > 0 || w.announcement.draining || w.life != w.announcement.life {
		return
	}
	w.offered = true
	capacity := w.announcement.room
	if w.suspectFor > 0 {
		capacity = hibiscusstate.NewRoom(
			max(capacity.Slots()/suspectPart, min(w.largest, capacity.Slots())), capacity.Memory(), capacity.Accelerators(),
		)
	}
	w.report(w.seams.offer(w.announcement.service, capacity))
}

// suspect counts a stalled run and suspends the endpoint after suspectStalls. All entries are notified of that at once;
// otherwise each would detect it only after its own tasks had stalled there.
func (w *LeasedWorker) suspect(now time.Time) {
	w.stalls++
	if w.stalls < suspectStalls || now.Before(w.suspectUntil) {
		return
	}
	w.suspectFor = min(max(2*w.suspectFor, suspectTime), maxSuspectTime)
	w.suspectUntil = now.Add(w.suspectFor)
	w.log.Warn("endpoint: suspected, its runs stand still", "endpoint", w.life.id, "runs", w.stalls, "for_ms", w.suspectFor.Milliseconds())
	w.withdraw("runs are stalled")
}

// withdraw offers the agent no capacity until the next offerRoom.
func (w *LeasedWorker) withdraw(cause string) {
	if w.offered {
		w.offered = false
		w.log.Warn("endpoint: offers no room", "endpoint", w.life.id, "cause", cause)
		w.report(w.seams.offer(w.announcement.service, hibiscusstate.Room{}))
	}
}

// endAll ends all runs as lapsed.
func (w *LeasedWorker) endAll(cause string) {
	if len(w.runs) > 0 {
		w.log.Warn("endpoint: all runs have ended", "runs", len(w.runs), "cause", cause)
	}
	for _, run := range w.runs {
		w.end(run, EndLapsed)
	}
}

// end removes a run and sends its end to the runner.
func (w *LeasedWorker) end(run *leasedRun, end RunEnd) {
	w.forget(run)
	run.ended <- end
}

// forget removes a run, and records that it has ended, because the lists of earlier polls may still contain it.
func (w *LeasedWorker) forget(run *leasedRun) {
	delete(w.runs, run.id)
	if len(w.forgotten) >= maxForgotten {
		clear(w.forgotten)
	}
	w.forgotten[run.id] = w.looks
}

// report logs the error of a command for an event loop that has ended; the process is stopping.
func (w *LeasedWorker) report(err error) {
	if err != nil {
		w.log.Debug("endpoint: the agent has stopped", "cause", err.Error())
	}
}

package hibiscuscoordination

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"hibiscusrouter/hibiscusstate"
)

// LeasedEndpoint manages the runs at an endpoint that runs tasks under leases, for its agent. It tracks which runs may be in
// progress: a runner that has requested a start receives the end of the run, or a confirmation that it never began.
//
// A poll renews the lease and lists the running and the ended runs. Polls are numbered as they are sent, because responses can
// overtake each other: a run that a list lacks is known to have ended only if the poll was sent after the start of the run, or
// its stop, had been answered. A start request without an answer may take effect seconds later. It is repeated, and stopped in the
// end: an endpoint that has answered the stop will not begin the run.
//
// An agent process that has just started has no record of the runs of its predecessor. It stops all runs that the endpoint
// lists, and offers no capacity until a list is empty.
//
// A request without an answer may take effect up to maxRequestDelay later, when the endpoint has restarted under its name and lost the
// record of the stop, or when another agent process has taken over, which has not reserved resources for the run. So all requests
// carry an epoch, which rises with each agent process and each incarnation of the endpoint, and an endpoint ignores lower ones.
//
// A new incarnation has not seen any epoch, so until it has answered a request with the raised one it may still begin a run whose
// start was sent to its predecessor. The end of an incarnation, and of its lease, therefore ends only the runs of which no request is under
// way. The others stay registered until a list that was requested with a higher epoch than their start has them, in progress or
// ended, or lacks them; or, when no incarnation answers, until they are cancelled or no request can take effect any more.

const (
	// endpointLeaseDuration is the duration of a lease from each renewal; endpoints accept at most a second.
	endpointLeaseDuration = time.Second
	// leaseSlack is how much longer than its lease a run may last: the endpoint's clock may be 2% slow, and a kill takes 50 ms.
	leaseSlack = 100 * time.Millisecond
	// busyPollWait and idlePollWait are how long an endpoint may delay its answer to a poll, with and without runs. A run whose
	// start carried its own lease is renewed by a poll that begins at most idlePollWait later, and is not listed before.
	busyPollWait = 150 * time.Millisecond
	idlePollWait = 200 * time.Millisecond
	// orphanPollWait is the same while runs of an earlier agent process are being stopped, which takes 50 ms.
	orphanPollWait = 50 * time.Millisecond
	// callTimeout bounds a request to the endpoint on the same VM, which answers within a millisecond. A process with a CPU quota
	// may be throttled for 76 ms.
	callTimeout = 150 * time.Millisecond
	// minStartTimeout and startTimeoutFactor bound a start, and the stop of a start without an answer: the timeout is
	// startTimeoutFactor times the average time to an answer, at least minStartTimeout and at most callTimeout. A wait of 150 ms for
	// one start makes a job of 50 ms tasks late; the answer usually comes within 2 ms.
	minStartTimeout    = 25 * time.Millisecond
	startTimeoutFactor = 10
	// initialStartTimeout is the same before the first answer. A start that is answered later is repeated, at no cost to its task.
	initialStartTimeout = 50 * time.Millisecond
	// startLatencyDivisor is the divisor of the moving average of the time to an answer.
	startLatencyDivisor = 8
	// pollTimeoutSlack is how long the answer to a poll may take beyond the requested delay.
	pollTimeoutSlack = 100 * time.Millisecond
	// concurrentPolls is the number of concurrent polls. While a poll is unanswered, no ends of runs are received: with 6% of the
	// requests unanswered and one poll of 0.4 s at a time, that is a third of the time.
	concurrentPolls = 2
	// maxRenewalSilence is how long the lease is still renewed after the last answer to a poll. After that the runs must end,
	// because their results can't be received.
	maxRenewalSilence = 600 * time.Millisecond
	// pollRetryDelay is the delay before the next poll after one without an answer.
	pollRetryDelay = 50 * time.Millisecond
	// maxRequestDelay is how late a request without an answer may take effect.
	maxRequestDelay = 12 * time.Second
	// stopRetryDelay is the delay before a stop without an answer is repeated. Its task can't run anywhere until the stop is answered.
	stopRetryDelay = 10 * time.Millisecond
	// minStallTime, stallFactor and firstPercentDivisor bound the progress of a run. It is stalled when its percentage has not
	// changed for minStallTime and for stallFactor times the average time per percent, or before the first percent for the expected
	// time divided by firstPercentDivisor. A task of 8 s on a worker that is 6 times slower makes a percent in 0.5 s.
	minStallTime        = 250 * time.Millisecond
	stallFactor         = 5
	firstPercentDivisor = 10
	// suspendAfterStalls is the number of stalled runs in a row after which the endpoint is suspended: it offers no capacity for
	// minSuspension, doubled each time up to maxSuspension, and then its slots divided by resumedSlotsDivisor until a run is done.
	// Workers of the host platform stall for 5 to 7 s.
	suspendAfterStalls  = 2
	minSuspension       = 2 * time.Second
	maxSuspension       = 16 * time.Second
	resumedSlotsDivisor = 8
	// initialEpochStep is the first increment of the epoch, in milliseconds, when the endpoint has seen a higher one; it doubles
	// each time. Epochs are times of day, which differ by at most 5 s between VMs, and by 2 s when a clock jumps.
	initialEpochStep = 5000
	// maxAnnouncementAge bounds the age of an announcement by the endpoint's clock; a higher one means that its clocks differ.
	maxAnnouncementAge = 10 * time.Second
	// startRetryDelay is the delay before a start without an answer is repeated, and maxRepeatTime for how long it is repeated. After that
	// its task goes elsewhere, which takes a stop and a poll: tasks have 1.5 s to their deadline.
	startRetryDelay = 10 * time.Millisecond
	maxRepeatTime   = 400 * time.Millisecond
	// maxStartAttempts bounds the run numbers that a start tries when the endpoint has seen higher ones.
	maxStartAttempts = 12
	// maxEndedRuns bounds the records of ended runs.
	maxEndedRuns = 4096
)

// LeasedEndpoint is safe for concurrent use; its methods queue commands for its event loop.
type LeasedEndpoint struct {
	loop         *eventLoop
	seams        LeasedEndpointSeams
	incarnation  EndpointIncarnation
	announcement Announcement
	// candidate is the newest announcement of another incarnation that arrived while the current one was in use.
	candidate Announcement
	// epoch is the epoch of all requests, in milliseconds of the time of day.
	epoch           uint64
	epochStep       uint64
	runs            map[RunID]*leasedRun
	orphans         map[RunID]bool
	endedRuns       map[RunID]uint64
	cursor          uint64
	pollsSent       uint64
	lastAppliedPoll uint64
	endpointClock   int64
	clockReadAt     time.Time
	lastAnswerAt    time.Time
	startLatency    time.Duration
	leaseEnd        time.Time
	// maxRunSlots is the most slots that a run here has taken; a reduced offer has at least that many.
	maxRunSlots       int
	offered           bool
	consecutiveStalls int
	suspendedUntil    time.Time
	suspension        time.Duration
	stateKnown        bool
	// startBy is when the last start may be requested at a draining endpoint, the zero time while it is not draining.
	startBy time.Time
	// coldUntil is until when the endpoint is slow, and coldTotal for how long it was when it first said so.
	coldUntil time.Time
	coldTotal time.Duration
	// withdrawn means that the endpoint has withdrawn its announcement and gets no new tasks.
	withdrawn bool
	// gone means that there is no endpoint, or that its runs have ended because it is down or its lease has expired.
	gone       bool
	log        *slog.Logger
	wake       chan struct{}
	goroutines sync.WaitGroup
}

// NewLeasedEndpoint returns a LeasedEndpoint without an endpoint.
func NewLeasedEndpoint(seams LeasedEndpointSeams, log *slog.Logger) *LeasedEndpoint {
	w := &LeasedEndpoint{
		seams: seams, runs: map[RunID]*leasedRun{}, orphans: map[RunID]bool{}, endedRuns: map[RunID]uint64{}, log: log,
		wake: make(chan struct{}, 1), gone: true, epoch: uint64(time.Now().UnixMilli()), epochStep: initialEpochStep,
	}
	w.loop = newEventLoop(func(time.Time) {}, func(now time.Time) time.Time { return now.Add(time.Second) }, log)
	return w
}

// SetClock sets the clock of the event loop; it must be called before Run.
func (w *LeasedEndpoint) SetClock(c *Clock) { w.loop.clock = c }

// Run executes the event loop and polls the endpoint until ctx is done.
func (w *LeasedEndpoint) Run(ctx context.Context) {
	w.goroutines.Go(w.loop.run)
	var polls sync.WaitGroup
	for range concurrentPolls {
		polls.Go(func() { w.pollLoop(ctx) })
	}
	polls.Wait()
	w.loop.ring.Close()
	w.goroutines.Wait()
}

// pollLoop polls the endpoint until ctx is done.
func (w *LeasedEndpoint) pollLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if w.pollOnce(ctx, busyPollWait) {
			continue
		}
		select {
		case <-ctx.Done():
		case <-w.wake:
		case <-time.After(pollRetryDelay):
		}
	}
}

// pollParams are the parameters of a poll, as of the event loop's state.
type pollParams struct {
	incarnation EndpointIncarnation
	request     PollRequest
	number      uint64
	timeout     time.Duration
}

// pollOnce polls the endpoint once and reports whether it answered. The endpoint may delay the answer by wait, or longer
// while it has no runs.
func (w *LeasedEndpoint) pollOnce(ctx context.Context, wait time.Duration) bool {
	params, err := runAndWait(w.loop, func(now time.Time) pollParams { return w.preparePoll(now, wait) })
	if err != nil || params.incarnation.id == "" {
		return false
	}
	pollCtx, cancel := context.WithTimeout(ctx, params.timeout)
	response, err := w.seams.poll(pollCtx, params.incarnation, params.request)
	cancel()
	if ctx.Err() != nil {
		return false
	}
	w.logError(w.loop.post(func(now time.Time) {
		if params.incarnation != w.incarnation {
			return
		}
		if err != nil {
			w.pollFailed(now, params.number, err)
			return
		}
		w.applyResponse(now, params, response)
	}))
	return err == nil
}

func (w *LeasedEndpoint) preparePoll(now time.Time, wait time.Duration) pollParams {
	switch {
	case !w.stateKnown && len(w.orphans) == 0:
		// No capacity is offered before the first list, so the endpoint must answer at once.
		wait = 0
	case !w.stateKnown:
		wait = min(wait, orphanPollWait)
	case len(w.runs) == 0 && wait > 0:
		wait = idlePollWait
	}
	w.pollsSent++
	request := PollRequest{cursor: w.cursor, wait: wait, epoch: w.epoch}
	if len(w.runs) > 0 && !w.gone && now.Sub(w.lastAnswerAt) < maxRenewalSilence {
		request.leaseEndMs = w.renewLease(now)
	}
	timeout := wait + pollTimeoutSlack
	if wait == 0 {
		// The endpoint answers immediately, so the timeout of a start is sufficient.
		timeout = callTimeout
		if w.startLatency > 0 {
			timeout = w.startTimeout()
		}
	}
	return pollParams{incarnation: w.incarnation, number: w.pollsSent, request: request, timeout: timeout}
}

// currentEpoch returns the current epoch, or previous when the event loop has ended.
func (w *LeasedEndpoint) currentEpoch(previous uint64) uint64 {
	epoch, err := runAndWait(w.loop, func(time.Time) uint64 { return w.epoch })
	if err != nil {
		return previous
	}
	return epoch
}

// startTimeout returns the timeout of a start request.
func (w *LeasedEndpoint) startTimeout() time.Duration {
	if w.startLatency == 0 {
		return initialStartTimeout
	}
	return min(max(startTimeoutFactor*w.startLatency, minStartTimeout), callTimeout)
}

// renewLease renews the lease and returns its end on the endpoint's clock, zero while that clock is unknown.
func (w *LeasedEndpoint) renewLease(now time.Time) int64 {
	if w.endpointClock == 0 {
		return 0
	}
	w.leaseEnd = now.Add(endpointLeaseDuration)
	return w.endpointClock + (now.Sub(w.clockReadAt) + endpointLeaseDuration).Milliseconds()
}

func (w *LeasedEndpoint) setClock(now time.Time, clock int64) {
	w.endpointClock, w.clockReadAt = clock, now
}

// applyResponse updates the runs from the response to a poll.
func (w *LeasedEndpoint) applyResponse(now time.Time, poll pollParams, response PollResponse) {
	if response.startMs != 0 && response.startMs != w.incarnation.startMs {
		w.log.Warn("endpoint: response of another incarnation", "endpoint", w.incarnation.id, "born", w.incarnation.startMs,
			"answering", response.startMs)
		w.endSettledRuns(now, poll.number, response.runs(), EvidenceRestarted)
		restarted := NewEndpointIncarnation(w.incarnation.id, response.startMs, w.incarnation.address)
		if w.candidate.incarnation.startMs == response.startMs {
			w.adoptCandidate(now)
		} else {
			w.startIncarnation(now, restarted)
		}
		return
	}
	w.lastAnswerAt, w.gone = now, false
	w.setClock(now, response.clock)
	for _, r := range response.ended {
		w.cursor = max(w.cursor, r.sequence)
		if run := w.runs[r.run]; run != nil {
			w.endRun(now, run, r.end, EvidenceListed)
		}
		if r.end == EndDone {
			w.consecutiveStalls, w.suspension = 0, 0
		}
		delete(w.orphans, r.run)
	}
	if poll.number < w.lastAppliedPoll {
		return
	}
	w.lastAppliedPoll = poll.number
	w.reconcileRuns(now, poll, response.running)
	if !w.stateKnown && len(w.orphans) == 0 {
		w.stateKnown = true
		w.log.Info("endpoint: first list is empty", "endpoint", w.incarnation.id, "born", w.incarnation.startMs)
	}
	w.offerCapacity(now)
}

// reconcileRuns ends the runs that the list of a poll lacks, and stops listed runs that this process did not start.
func (w *LeasedEndpoint) reconcileRuns(now time.Time, poll pollParams, running []ListedRun) {
	listed := make(map[RunID]bool, len(running))
	for _, r := range running {
		listed[r.run] = true
		if run := w.runs[r.run]; run != nil {
			w.recordListed(now, run)
			if run.observeProgress(now, r.percent) {
				w.recordStall(now)
			}
		}
		if w.runs[r.run] == nil && !w.orphans[r.run] && w.endedRuns[r.run] < poll.number {
			w.stopOrphan(r.run)
		}
	}
	for id := range w.orphans {
		if !listed[id] {
			delete(w.orphans, id)
		}
	}
	for id, run := range w.runs {
		switch {
		case listed[id], !run.isSettledBy(poll):
		case run.begun:
			w.endRun(now, run, EndLapsed, EvidenceMissing)
		default:
			w.endRun(now, run, EndNotBegun, EvidenceMissing)
		}
	}
}

// recordListed records that a list has a run, which may have begun in a later incarnation than the one that its start was sent to.
func (w *LeasedEndpoint) recordListed(now time.Time, run *leasedRun) {
	if run.startMs != w.incarnation.startMs {
		w.log.Warn("endpoint: run began in a later incarnation", "job", run.id.job, "index", run.id.index, "run", run.id.number,
			"endpoint", w.incarnation.id, "born", w.incarnation.startMs, "requested_from", run.startMs, "run_epoch", run.epoch)
		run.startMs, run.requestedAt, run.progressAt, run.percent = w.incarnation.startMs, now, now, 0
		w.extendLease(now)
	}
	if !run.begun {
		run.recordBegin(w.pollsSent)
		run.progressAt = now
	}
}

// extendLease records that the lease may last from now on: the endpoint carried out a request at a time that is not known exactly.
func (w *LeasedEndpoint) extendLease(now time.Time) {
	if end := now.Add(endpointLeaseDuration); end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
}

// stopOrphan stops a run that an earlier agent process started. Its resources are not known, so no capacity is offered until
// it has ended.
func (w *LeasedEndpoint) stopOrphan(id RunID) {
	_, reported := w.endedRuns[id]
	w.log.Warn("endpoint: stopping a run that this process did not start", "job", id.job, "index", id.index, "run", id.number,
		"reported_as_ended", reported, "endpoint", w.incarnation.id, "born", w.incarnation.startMs, "epoch", w.epoch)
	w.orphans[id] = true
	incarnation, epoch := w.incarnation, w.epoch
	w.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		err := w.seams.stop(ctx, incarnation, id, epoch)
		if err != nil {
			w.log.Warn("endpoint: stop got no answer", "job", id.job, "index", id.index, "cause", err.Error())
		}
		w.logError(w.loop.post(func(time.Time) {
			if err != nil {
				delete(w.orphans, id)
			}
		}))
	})
}

// pollFailed handles a poll that returned no list. Runs of which no request is under way end at once if the endpoint is down, otherwise
// when the lease expires.
func (w *LeasedEndpoint) pollFailed(now time.Time, number uint64, err error) {
	switch {
	case errors.Is(err, ErrStaleEpoch):
		w.epoch += w.epochStep
		w.epochStep *= 2
		w.log.Warn("endpoint: epoch raised, the endpoint has seen a higher one", "endpoint", w.incarnation.id, "epoch", w.epoch)
	case errors.Is(err, ErrEndpointGone):
		w.withdrawOffer(err.Error())
		w.endSettledRuns(now, number, nil, EvidenceRefused)
		w.expireLease(now)
		w.markGone(now)
	case now.Sub(w.lastAnswerAt) > maxRenewalSilence:
		w.withdrawOffer("the endpoint does not answer polls: " + err.Error())
		if w.expireLease(now) {
			w.markGone(now)
		}
	}
}

// expireLease ends the runs that the expiry of the lease ends, and reports whether it has expired.
func (w *LeasedEndpoint) expireLease(now time.Time) bool {
	if !now.After(w.leaseEnd.Add(endpointLeaseDuration/50 + leaseSlack)) {
		return false
	}
	for _, run := range w.runs {
		if !run.isUnderWay() || run.cancelled || now.Sub(run.requestedAt) >= maxRequestDelay {
			w.endRun(now, run, EndLapsed, EvidenceLeaseExpired)
		}
	}
	return true
}

// offerCapacity offers the endpoint's capacity to the agent, unless the state of the endpoint is unknown or it is suspended.
func (w *LeasedEndpoint) offerCapacity(now time.Time) {
	if now.Before(w.suspendedUntil) || !w.stateKnown || len(w.orphans) > 0 || w.announcement.draining || w.withdrawn ||
		w.incarnation != w.announcement.incarnation {
		return
	}
	w.offered = true
	w.logError(w.seams.offer(w.announcement.service, w.offeredResources(now)))
}

// recordStall counts a stalled run and suspends the endpoint after suspendAfterStalls. All entries are notified of that at once;
// otherwise each would detect it only after its own tasks had stalled there.
func (w *LeasedEndpoint) recordStall(now time.Time) {
	w.consecutiveStalls++
	if w.consecutiveStalls < suspendAfterStalls || now.Before(w.suspendedUntil) {
		return
	}
	w.suspension = min(max(2*w.suspension, minSuspension), maxSuspension)
	w.suspendedUntil = now.Add(w.suspension)
	w.log.Warn("endpoint: suspended, its runs are stalled", "endpoint", w.incarnation.id, "runs", w.consecutiveStalls,
		"for_ms", w.suspension.Milliseconds())
	w.withdrawOffer("runs are stalled")
}

// withdrawOffer offers the agent no capacity until the next offerCapacity.
func (w *LeasedEndpoint) withdrawOffer(cause string) {
	if w.offered {
		w.offered = false
		w.log.Warn("endpoint: offers no capacity", "endpoint", w.incarnation.id, "cause", cause)
		w.logError(w.seams.offer(w.announcement.service, hibiscusstate.Resources{}))
	}
}

// endSettledRuns ends the runs of which no request was under way any more when the poll with the given number was sent: the incarnation
// that began them is gone, unless they are in the list of its successor.
func (w *LeasedEndpoint) endSettledRuns(now time.Time, number uint64, listed map[RunID]bool, evidence EndEvidence) {
	for id, run := range w.runs {
		if !run.isUnderWay() && run.pollsAtAnswer < number && !listed[id] {
			w.endRun(now, run, EndLapsed, evidence)
		}
	}
}

// endRun removes a run and sends its end to the runner.
func (w *LeasedEndpoint) endRun(now time.Time, run *leasedRun, end RunEnd, evidence EndEvidence) {
	if evidence != EvidenceListed {
		w.log.Info("endpoint: run concluded to have ended", "job", run.id.job, "index", run.id.index, "run", run.id.number,
			"end", end.String(), "evidence", evidence.String(), "endpoint", w.incarnation.id, "born", w.incarnation.startMs,
			"requested_from", run.startMs, "run_epoch", run.epoch, "epoch", w.epoch, "answered", run.answered,
			"under_way", run.isUnderWay(),
			"requested_ms", now.Sub(run.requestedAt).Milliseconds(), "last_list_ms", now.Sub(w.lastAnswerAt).Milliseconds())
	}
	w.removeRun(run)
	run.ended <- end
}

// removeRun removes a run, and records that it has ended, because the lists of earlier polls may still contain it.
func (w *LeasedEndpoint) removeRun(run *leasedRun) {
	delete(w.runs, run.id)
	if len(w.endedRuns) >= maxEndedRuns {
		clear(w.endedRuns)
	}
	w.endedRuns[run.id] = w.pollsSent
}

// logError logs the error of a command for an event loop that has ended; the process is stopping.
func (w *LeasedEndpoint) logError(err error) {
	if err != nil {
		w.log.Debug("endpoint: the agent has stopped", "cause", err.Error())
	}
}

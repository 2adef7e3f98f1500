package hibiscuscoordination

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"hibiscusrouter/hibiscusstate"
)

// The runner of a slot requests the start of a run, waits for its end, and stops it when it is cancelled or stalled. It does
// not return before the end is known, so that the resources of the run stay reserved.

// leasedRun is a run that may be in progress.
type leasedRun struct {
	id RunID
	// startMs is the incarnation in which the run was requested or is listed, and epoch that of its start.
	startMs int64
	epoch   uint64
	// begun means that the start was accepted or that the run was listed.
	begun bool
	// requests and answers count the requests to start the run since firstRequestedAt, and their answers.
	requests         int
	answers          int
	firstRequestedAt time.Time
	// cancelled means that the runner awaits the end only to free the resources: the task is not placed again.
	cancelled bool
	// answered means that a start or the stop was answered, and pollsAtAnswer is the number of polls that had been sent by then.
	answered      bool
	pollsAtAnswer uint64
	ended         chan RunEnd
	// percent is the progress that was listed last, since progressAt; stalled receives a value when it has not changed for too long.
	percent     int
	requestedAt time.Time
	progressAt  time.Time
	expected    time.Duration
	stalled     chan struct{}
	// stallReported means that a value was sent to stalled.
	stallReported bool
}

// recordBegin records that the run has begun, and that so many polls had been sent by then.
func (r *leasedRun) recordBegin(pollsSent uint64) {
	r.begun, r.answered, r.pollsAtAnswer = true, true, pollsSent
}

// isUnderWay reports whether a request to start the run may still be carried out: one had no answer, and it is not the one that began the
// run.
func (r *leasedRun) isUnderWay() bool {
	return !r.begun || r.requests > max(r.answers, 1)
}

// isSettledBy reports whether the run has ended, or will never begin, if the list of a poll lacks it: the poll was sent after the
// incarnation had answered the start or the stop, or its epoch keeps the start from taking effect later.
func (r *leasedRun) isSettledBy(poll pollParams) bool {
	return r.answered && r.pollsAtAnswer < poll.number || r.epoch < poll.request.epoch
}

// Execute runs one task and returns its result; it is called by the runner of a slot.
func (w *LeasedEndpoint) Execute(ctx context.Context, order hibiscusstate.Order) RunResult {
	number := order.Attempt().Number() + 1
	for range maxStartAttempts {
		id := NewRunID(order.JobName(), order.ID().Index(), number)
		params, err := w.registerRun(id, order)
		if err != nil {
			return NewNotRunResult(hibiscusstate.RejectionEndpointDown)
		}
		switch w.requestStart(ctx, order, &params) {
		case StartAccepted:
			if params.requests > 1 {
				// The polls under way may have been lost like the first request.
				w.pollOnce(context.Background(), 0)
			}
			return w.awaitEnd(ctx, params)
		case StartUnanswered:
			w.log.Warn("endpoint: start got no answer, stopping the run", "job", id.job, "index", id.index, "run", id.number,
				"endpoint", params.incarnation.id, "born", params.incarnation.startMs, "epoch", params.request.epoch,
				"requests", params.requests)
			return w.stopAndAwait(ctx, params)
		case StartOutdated:
			number *= 2
		case StartNoCapacity, StartRefused:
			return NewNotRunResult(hibiscusstate.RejectionEndpointBusy)
		case StartUnreachable:
			return NewNotRunResult(hibiscusstate.RejectionEndpointDown)
		}
	}
	return NewNotRunResult(hibiscusstate.RejectionEndpointBusy)
}

// startParams are the parameters of a start and of the stop after it, as of the event loop's state; timeout bounds each request.
type startParams struct {
	run *leasedRun
	// requests is the number of this request for the start, and begun means that the run began without an answer.
	requests    int
	begun       bool
	request     StartRequest
	incarnation EndpointIncarnation
	timeout     time.Duration
}

// registerRun registers a run whose start is about to be requested.
func (w *LeasedEndpoint) registerRun(id RunID, order hibiscusstate.Order) (startParams, error) {
	params, err := runAndWait(w.loop, func(now time.Time) startParams {
		if w.incarnation.id == "" || !w.stateKnown || w.runs[id] != nil || isPast(now, w.startBy) {
			return startParams{}
		}
		run := &leasedRun{
			id: id, startMs: w.incarnation.startMs, epoch: w.epoch, requests: 1, ended: make(chan RunEnd, 1), stalled: make(chan struct{}, 1),
			expected: order.Expected(), firstRequestedAt: now, requestedAt: now, progressAt: now,
		}
		w.runs[id] = run
		w.maxRunSlots = max(w.maxRunSlots, order.Resources().Slots())
		request := StartRequest{run: id, payload: order.Payload(), leaseEndMs: w.renewLease(now), epoch: w.epoch}
		return startParams{run: run, requests: 1, incarnation: w.incarnation, timeout: w.startTimeout(), request: request}
	})
	if err == nil && params.run == nil {
		err = ErrEndpointGone
	}
	return params, err
}

// requestStart requests the start of a run, and repeats the request while it gets no answer: an endpoint begins a run only once. A start
// without an answer may take effect seconds later, also in the next incarnation, so its task is not placed elsewhere meanwhile.
// StartUnanswered means that the run may be in progress.
func (w *LeasedEndpoint) requestStart(ctx context.Context, order hibiscusstate.Order, params *startParams) StartResult {
	for {
		startCtx, cancel := context.WithTimeout(ctx, params.timeout)
		result, clock := w.seams.start(startCtx, params.incarnation, params.request)
		cancel()
		w.recordStartResult(params.run, result, clock)
		if result == StartAccepted || result != StartUnanswered && params.requests == 1 {
			return result
		}
		if result != StartUnanswered {
			return StartUnanswered
		}
		select {
		case <-ctx.Done():
			return StartUnanswered
		case <-time.After(startRetryDelay):
		}
		if !w.prepareRepeat(params, order) {
			return StartUnanswered
		}
		if params.begun {
			return StartAccepted
		}
	}
}

// prepareRepeat prepares another request for the start of a run, unless the run has begun. It returns false if the start must not be
// repeated: the run has ended, the endpoint is gone, has restarted or is silent, the start has been repeated for too long, or is no longer
// permitted.
func (w *LeasedEndpoint) prepareRepeat(params *startParams, order hibiscusstate.Order) bool {
	repeat, err := runAndWait(w.loop, func(now time.Time) bool {
		run := params.run
		if w.runs[run.id] != run || !w.stateKnown || w.incarnation != params.incarnation || now.Sub(w.lastAnswerAt) > maxRenewalSilence ||
			now.Sub(run.firstRequestedAt) >= maxRepeatTime || isPast(now, w.startBy) || isPast(now, order.StartBy()) {
			return false
		}
		if params.begun = run.begun; params.begun {
			return true
		}
		run.requests++
		run.requestedAt, run.progressAt = now, now
		params.requests, params.timeout = run.requests, w.startTimeout()
		params.request.leaseEndMs = w.renewLease(now)
		return true
	})
	return err == nil && repeat
}

// isPast reports whether a time limit has passed; the zero time is no limit.
func isPast(now, limit time.Time) bool { return !limit.IsZero() && !now.Before(limit) }

// recordStartResult records the result of a start request, and removes the run if it has certainly not begun.
func (w *LeasedEndpoint) recordStartResult(run *leasedRun, result StartResult, clock int64) {
	w.logError(w.loop.post(func(now time.Time) {
		if w.runs[run.id] != run {
			return
		}
		if clock > 0 && run.startMs == w.incarnation.startMs {
			w.setClock(now, clock)
		}
		if result != StartUnanswered {
			run.answers++
		}
		switch result {
		case StartAccepted:
			run.recordBegin(w.pollsSent)
			w.extendLease(now)
			if w.startLatency == 0 {
				w.startLatency = now.Sub(run.requestedAt)
			}
			w.startLatency += (now.Sub(run.requestedAt) - w.startLatency) / startLatencyDivisor
		case StartUnanswered:
		case StartOutdated, StartNoCapacity, StartRefused, StartUnreachable:
			w.log.Info("endpoint: start not accepted", "job", run.id.job, "index", run.id.index, "run", run.id.number,
				"verdict", result.String(), "requests", run.requests)
			if run.requests == 1 {
				w.removeRun(run)
			}
		}
	}))
}

// awaitEnd waits for the end of a run, and stops it when it is stalled or ctx is done.
func (w *LeasedEndpoint) awaitEnd(ctx context.Context, params startParams) RunResult {
	run := params.run
	select {
	case end := <-run.ended:
		return run.resultOfEnd(end, false)
	case <-run.stalled:
		w.log.Warn("endpoint: run stalled, stopping it", "job", run.id.job, "index", run.id.index, "run", run.id.number)
		return stalledResult(w.stopAndAwait(ctx, params))
	case <-ctx.Done():
		return w.stopAndAwait(ctx, params)
	}
}

// stalledResult returns the result of a run that was stopped because it stalled, unless it ended otherwise.
func stalledResult(r RunResult) RunResult {
	if r.outcome == hibiscusstate.OutcomeLost {
		return NewRunResult(hibiscusstate.OutcomeStalled, nil, "the run made no progress")
	}
	return r
}

// stopAndAwait stops a run and waits for its end. The request is repeated until it is answered, also after ctx is done, because
// the resources of the run stay reserved until its end is known.
func (w *LeasedEndpoint) stopAndAwait(ctx context.Context, params startParams) RunResult {
	run := params.run
	unregister := context.AfterFunc(ctx, func() {
		w.logError(w.loop.post(func(time.Time) { run.cancelled = true }))
	})
	defer unregister()
	for {
		select {
		case end := <-run.ended:
			return run.resultOfEnd(end, ctx.Err() != nil)
		default:
		}
		stopCtx, cancel := context.WithTimeout(context.Background(), params.timeout)
		err := w.seams.stop(stopCtx, params.incarnation, run.id, w.currentEpoch(params.request.epoch))
		cancel()
		if err == nil {
			break
		}
		delay := stopRetryDelay
		if errors.Is(err, ErrEndpointGone) {
			delay = pollRetryDelay
		}
		select {
		case end := <-run.ended:
			return run.resultOfEnd(end, ctx.Err() != nil)
		case <-time.After(delay):
		}
	}
	w.logError(w.loop.post(func(time.Time) { run.answered, run.pollsAtAnswer = true, w.pollsSent }))
	w.pollOnce(context.Background(), 0)
	return run.resultOfEnd(<-run.ended, ctx.Err() != nil)
}

// resultOfEnd returns the result that the agent reports for a run; cancelled means that its stop was requested.
func (r *leasedRun) resultOfEnd(end RunEnd, cancelled bool) RunResult {
	switch end {
	case EndDone:
		return NewRunResult(hibiscusstate.OutcomeFinished, nil, "")
	case EndFailed:
		return NewRunResult(hibiscusstate.OutcomeFailed, nil, "the task failed at the endpoint")
	case EndNotBegun:
		if r.requests > r.answers {
			// The next incarnation of the endpoint may still carry the start out.
			return NewRunResult(hibiscusstate.OutcomeStopped, nil, "the task was stopped before its start was answered")
		}
		return NewNotRunResult(hibiscusstate.RejectionStopped)
	case EndStopped, EndLapsed:
		if cancelled {
			return NewRunResult(hibiscusstate.OutcomeStopped, nil, "the task was stopped while it ran")
		}
		return NewRunResult(hibiscusstate.OutcomeLost, nil, "the run ended with its lease or its endpoint")
	}
	return NewRunResult(hibiscusstate.OutcomeMayHaveRun, nil, "unknown end")
}

// observeProgress records the percentage of a run's work that is done. It signals the runner when the run is stalled, and reports
// whether it has just done so.
func (r *leasedRun) observeProgress(now time.Time, percent int) bool {
	if percent != r.percent {
		r.percent, r.progressAt = percent, now
		return false
	}
	limit := max(minStallTime, r.expected/firstPercentDivisor)
	if percent > 0 {
		limit = max(minStallTime, stallFactor*r.progressAt.Sub(r.requestedAt)/time.Duration(percent))
	}
	if now.Sub(r.progressAt) < limit || r.stallReported {
		return false
	}
	r.stallReported = true
	r.stalled <- struct{}{}
	return true
}

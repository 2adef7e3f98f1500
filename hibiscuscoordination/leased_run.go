package hibiscuscoordination

import (
	"context"
	"time"

	"hibiscusrouter/hibiscusstate"
)

// One run at an endpoint with leases, as the runner of a slot goes through it: it asks for the start, waits for the end, and
// stops the run when it is no longer wanted or stands still. A runner does not return before the end is known, so that the
// room of the run stays taken.

// leasedRun is a run that may be going on.
type leasedRun struct {
	id    RunID
	begun bool
	// settled is the number of looks that had been sent when the start or the stop was answered, so that a later list that
	// lacks the run is believed.
	answered      bool
	pollsAtAnswer uint64
	ended         chan RunEnd
	// percent is the progress that was listed last, since progressAt; stalled gets a value when it stands still for too long.
	percent     int
	requestedAt time.Time
	progressAt  time.Time
	expected    time.Duration
	stalled     chan struct{}
	// stallReported says that the runner was told.
	stallReported bool
}

// Execute runs one task and returns its result; it is called by the runner of a slot.
func (w *LeasedEndpoint) Execute(ctx context.Context, order hibiscusstate.Order) RunResult {
	number := order.Attempt().Number() + 1
	for range maxStartAttempts {
		id := NewRunID(order.JobName(), order.ID().Index(), number)
		plan, err := w.registerRun(id, order)
		if err != nil {
			return NewNotRunResult(hibiscusstate.RejectionEndpointDown)
		}
		run, life := plan.run, plan.incarnation
		startCtx, cancel := context.WithTimeout(ctx, plan.timeout)
		verdict, clock := w.seams.start(startCtx, life, plan.request)
		cancel()
		w.recordStartResult(run, verdict, clock)
		switch verdict {
		case StartAccepted:
			return w.awaitEnd(ctx, plan)
		case StartUnanswered:
			w.log.Warn("endpoint: start got no answer, stopping it", "job", id.job, "index", id.index, "run", id.number)
			return w.stopAndAwait(ctx, plan)
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

// startParams is what a start, and the stop after it, need from the duty; timeout is after how long each counts as unanswered.
type startParams struct {
	run         *leasedRun
	request     StartRequest
	incarnation EndpointIncarnation
	timeout     time.Duration
}

// registerRun records a run that is about to be asked for.
func (w *LeasedEndpoint) registerRun(id RunID, order hibiscusstate.Order) (startParams, error) {
	plan, err := call(w.loop, func(now time.Time) startParams {
		if w.incarnation.id == "" || !w.stateKnown || w.runs[id] != nil {
			return startParams{}
		}
		run := &leasedRun{
			id: id, ended: make(chan RunEnd, 1), stalled: make(chan struct{}, 1), expected: order.Expected(), requestedAt: now, progressAt: now,
		}
		w.runs[id] = run
		w.maxRunSlots = max(w.maxRunSlots, order.Resources().Slots())
		request := StartRequest{run: id, payload: order.Payload(), leaseEndMs: w.renewLease(now), epoch: w.epoch}
		return startParams{run: run, incarnation: w.incarnation, timeout: w.startTimeout(), request: request}
	})
	if err == nil && plan.run == nil {
		err = ErrEndpointGone
	}
	return plan, err
}

// recordStartResult records the verdict on a start. A run that has certainly not begun is forgotten.
func (w *LeasedEndpoint) recordStartResult(run *leasedRun, verdict StartResult, clock int64) {
	w.logError(w.loop.post(func(now time.Time) {
		if w.runs[run.id] != run {
			return
		}
		if clock > 0 {
			w.setClock(now, clock)
		}
		switch verdict {
		case StartAccepted:
			run.begun, run.answered, run.pollsAtAnswer = true, true, w.pollsSent
			if w.startLatency == 0 {
				w.startLatency = now.Sub(run.requestedAt)
			}
			w.startLatency += (now.Sub(run.requestedAt) - w.startLatency) / startLatencyDivisor
		case StartUnanswered:
		case StartOutdated, StartNoRoom, StartRefused, StartUnreachable:
			w.log.Info("endpoint: start not taken", "job", run.id.job, "index", run.id.index, "run", run.id.number,
				"verdict", verdict.String())
			w.removeRun(run)
		}
	}))
}

// awaitEnd waits for the end of a run, and stops it when ctx is done before.
func (w *LeasedEndpoint) awaitEnd(ctx context.Context, plan startParams) RunResult {
	run := plan.run
	select {
	case end := <-run.ended:
		return resultOfEnd(end, false)
	case <-run.stalled:
		w.log.Warn("endpoint: run stands still, stopping it", "job", run.id.job, "index", run.id.index, "run", run.id.number)
		return stalledResult(w.stopAndAwait(ctx, plan))
	case <-ctx.Done():
		return w.stopAndAwait(ctx, plan)
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
func (w *LeasedEndpoint) stopAndAwait(ctx context.Context, plan startParams) RunResult {
	run := plan.run
	for {
		stopCtx, cancel := context.WithTimeout(context.Background(), plan.timeout)
		err := w.seams.stop(stopCtx, plan.incarnation, run.id, w.currentEpoch(plan.request.epoch))
		cancel()
		if err == nil {
			break
		}
		select {
		case end := <-run.ended:
			return resultOfEnd(end, ctx.Err() != nil)
		case <-time.After(stopRetryDelay):
		}
	}
	w.logError(w.loop.post(func(time.Time) { run.answered, run.pollsAtAnswer = true, w.pollsSent }))
	w.pollOnce(context.Background(), 0)
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

// observeProgress takes the percentage of a run's work that is done. It reports a run that stands still to its runner, and says whether
// it has just done so.
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

package hibiscuscoordination

import (
	"context"
	"time"

	"hibiscusrouter/hibiscusstate"
)

// The runner of a slot requests the start of a run, waits for its end, and stops it when it is cancelled or stalled. It does
// not return before the end is known, so that the resources of the run stay reserved.

// leasedRun is a run that may be in progress.
type leasedRun struct {
	id    RunID
	begun bool
	// settled is the number of polls that had been sent when the start or the stop was answered. The run has ended if the list of
	// a later poll lacks it.
	answered bool
	settled  uint64
	ended    chan RunEnd
	// percent is the progress that was listed last, since changedAt; stalled receives a value when it has not changed for too long.
	percent   int
	beganAt   time.Time
	changedAt time.Time
	expected  time.Duration
	stalled   chan struct{}
	// stopping means that a value was sent to stalled.
	stopping bool
}

// Execute runs one task and returns its result; it is called by the runner of a slot.
func (w *LeasedWorker) Execute(ctx context.Context, order hibiscusstate.Order) RunResult {
	number := order.Try().Number() + 1
	for range firstNumbers {
		id := NewRunID(order.JobName(), order.ID().Index(), number)
		params, err := w.begin(id, order)
		if err != nil {
			return NewNotRunResult(hibiscusstate.RejectionEndpointDown)
		}
		run, incarnation := params.run, params.life
		startCtx, cancel := context.WithTimeout(ctx, params.timeout)
		result, clock := w.seams.start(startCtx, incarnation, params.request)
		cancel()
		w.answered(run, result, clock)
		switch result {
		case StartTaken:
			return w.await(ctx, params)
		case StartUnanswered:
			w.log.Warn("endpoint: start got no answer, stopping it", "job", id.job, "index", id.index, "run", id.number)
			return w.stopAndAwait(ctx, params)
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

// startParams are the parameters of a start and of the stop after it, as of the event loop's state; timeout bounds each request.
type startPlan struct {
	run     *leasedRun
	request StartRequest
	life    WorkerLife
	timeout time.Duration
}

// begin registers a run whose start is about to be requested.
func (w *LeasedWorker) begin(id RunID, order hibiscusstate.Order) (startPlan, error) {
	params, err := ask(w.duty, func(now time.Time) startPlan {
		if w.life.id == "" || !w.listed || w.runs[id] != nil {
			return startPlan{}
		}
		run := &leasedRun{
			id: id, ended: make(chan RunEnd, 1), stalled: make(chan struct{}, 1), expected: order.Expected(), beganAt: now, changedAt: now,
		}
		w.runs[id] = run
		w.largest = max(w.largest, order.Room().Slots())
		request := StartRequest{run: id, payload: order.Payload(), until: w.renew(now), epoch: w.epoch}
		return startPlan{run: run, life: w.life, timeout: w.startTimeout(), request: request}
	})
	if err == nil && params.run == nil {
		err = ErrEndpointGone
	}
	return params, err
}

// recordStartResult records the result of a start request, and removes the run if it has certainly not begun.
func (w *LeasedWorker) answered(run *leasedRun, result StartVerdict, clock int64) {
	w.report(w.duty.do(func(now time.Time) {
		if w.runs[run.id] != run {
			return
		}
		if clock > 0 {
			w.setClock(now, clock)
		}
		switch result {
		case StartTaken:
			run.begun, run.answered, run.settled = true, true, w.looks
			if w.startTime == 0 {
				w.startTime = now.Sub(run.beganAt)
			}
			w.startTime += (now.Sub(run.beganAt) - w.startTime) / answerWeight
		case StartUnanswered:
		case StartOutdated, StartNoRoom, StartRefused, StartUnreachable:
			w.log.Info("endpoint: start not accepted", "job", run.id.job, "index", run.id.index, "run", run.id.number,
				"verdict", result.String())
			w.forget(run)
		}
	}))
}

// awaitEnd waits for the end of a run, and stops it when it is stalled or ctx is done.
func (w *LeasedWorker) await(ctx context.Context, params startPlan) RunResult {
	run := params.run
	select {
	case end := <-run.ended:
		return resultOfEnd(end, false)
	case <-run.stalled:
		w.log.Warn("endpoint: run stands still, stopping it", "job", run.id.job, "index", run.id.index, "run", run.id.number)
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
func (w *LeasedWorker) stopAndAwait(ctx context.Context, params startPlan) RunResult {
	run := params.run
	for {
		stopCtx, cancel := context.WithTimeout(context.Background(), params.timeout)
		err := w.seams.stop(stopCtx, params.life, run.id, w.epochNow(params.request.epoch))
		cancel()
		if err == nil {
			break
		}
		select {
		case end := <-run.ended:
			return resultOfEnd(end, ctx.Err() != nil)
		case <-time.After(retryStop):
		}
	}
	w.report(w.duty.do(func(time.Time) { run.answered, run.settled = true, w.looks }))
	w.lookOnce(context.Background(), 0)
	return resultOfEnd(<-run.ended, ctx.Err() != nil)
}

// resultOfEnd returns the result that the agent reports for a run; cancelled means that its stop was requested.
func resultOfEnd(end RunEnd, cancelled bool) RunResult {
	switch end {
	case EndDone:
		return NewRunResult(hibiscusstate.OutcomeFinished, nil, "")
	case EndFailed:
		return NewRunResult(hibiscusstate.OutcomeFailed, nil, "the task failed at the endpoint")
	case EndNotBegun:
		return NewNotRunResult(hibiscusstate.RejectionStopped)
	case EndStopped, EndLapsed:
		if cancelled {
			return NewRunResult(hibiscusstate.OutcomeStopped, nil, "the task was stopped while it ran")
		}
		return NewRunResult(hibiscusstate.OutcomeLost, nil, "the run ended with its lease or its endpoint")
	}
	return NewRunResult(hibiscusstate.OutcomeMayHaveRun, nil, "unknown end")
}

// observe records the percentage of a run's work that is done. It signals the runner when the run is stalled, and reports
// whether it has just done so.
func (r *leasedRun) observe(now time.Time, percent int) bool {
	if percent != r.percent {
		r.percent, r.changedAt = percent, now
		return false
	}
	limit := max(stallTime, r.expected/firstStallPart)
	if percent > 0 {
		limit = max(stallTime, stallParts*r.changedAt.Sub(r.beganAt)/time.Duration(percent))
	}
	if now.Sub(r.changedAt) < limit || r.stopping {
		return false
	}
	r.stopping = true
	r.stalled <- struct{}{}
	return true
}

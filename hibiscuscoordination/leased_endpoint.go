package hibiscuscoordination

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"hibiscusrouter/hibiscusstate"
)

// LeasedEndpoint is the runs duty of an agent whose endpoint runs orders under leases. It knows of every run whether it may be
// going on: a runner that has asked for a start gets the end of the run, or the certainty that it has not begun.
//
// A look renews the lease and lists what runs and what ended. Looks are numbered as they are sent, because answers overtake
// each other: that a run is missing from a list says something only when the list was asked for after the run's start, or
// the stop of it, had been answered. A request to start that gets no answer may take effect seconds later. It is therefore
// stopped: an endpoint that has answered the stop begins the run no more.
//
// An agent that has just started knows nothing of what its predecessor started. It stops all that the endpoint runs, and
// offers no room until a list is empty.
//
// An order that got no answer may be carried out up to 12 s later, when the endpoint has started anew under its name and has
// forgotten the stop, or when another agent process has taken over and does not know of the order's room. So all orders carry an
// epoch, which rises with each agent process and each life of the endpoint, and an endpoint does nothing for a lower one.

const (
	// endpointLeaseDuration is how long a lease lasts from each renewal; endpoints take at most a second.
	endpointLeaseDuration = time.Second
	// leaseSlack is how much longer than its lease a run may go on: the endpoint's clock may be 2% slow, and a kill takes 50 ms.
	leaseSlack = 100 * time.Millisecond
	// busyPollWait and idlePollWait are how long an endpoint may hold back its answer to a look while it runs something, and otherwise.
	// A run whose start carried its own lease is renewed by a look that begins at most idlePollWait later, and is not listed before.
	busyPollWait = 150 * time.Millisecond
	idlePollWait = 200 * time.Millisecond
	// orphanPollWait is the same while runs of an earlier agent process are being stopped, which takes 50 ms.
	orphanPollWait = 50 * time.Millisecond
	// callTimeout bounds a request to the endpoint beside the agent, which answers within a millisecond. A process whose
	// processor time is a quota may stand still for 76 ms.
	callTimeout = 150 * time.Millisecond
	// minStartTimeout and startTimeoutFactor bound a start, and the stop of one without an answer: it counts as unanswered after
	// startTimeoutFactor times the usual time to an answer, at least minStartTimeout and at most callTimeout. A task of 50 ms is late when
	// one of its job's starts is waited for for 150 ms; the answer usually comes within 2 ms.
	minStartTimeout    = 25 * time.Millisecond
	startTimeoutFactor = 10
	// startLatencyDivisor is the part by which one answer moves the usual time.
	startLatencyDivisor = 8
	// pollTimeoutSlack is how long an answer to a look may take beyond the time that it may be held back.
	pollTimeoutSlack = 100 * time.Millisecond
	// concurrentPolls is how many looks are open at a time. While one gets no answer, the ends of runs would not be seen: with 6% of
	// the requests unanswered, one look of 0.4 s at a time is blind for a third of the time.
	concurrentPolls = 2
	// maxRenewalSilence is how long an endpoint that answers no look still has its lease renewed. After that its runs have to
	// end, because nobody learns of their results.
	maxRenewalSilence = 600 * time.Millisecond
	// pollRetryDelay is the time between two looks when the endpoint does not answer.
	pollRetryDelay = 50 * time.Millisecond
	// stopRetryDelay is the time between two tries of a stop that gets no answer. Its task runs nowhere until the stop is answered.
	stopRetryDelay = 10 * time.Millisecond
	// minStallTime, stallFactor and firstPercentDivisor say when a run stands still: its percentage does not change for minStallTime, for
	// stallFactor times as long as one percent has taken so far, and before the first percent for a part of its expected time.
	// A task of 8 s on a worker that is 6 times slower makes a percent in 0.5 s.
	minStallTime        = 250 * time.Millisecond
	stallFactor         = 5
	firstPercentDivisor = 10
	// suspendAfterStalls is how many runs in a row have to stand still for the endpoint to be suspected as a whole. A suspected one
	// offers nothing for minSuspension, twice as long each time up to maxSuspension, and then a part of its room until a run is
	// done there. The users' workers stand still for 5 to 7 s.
	suspendAfterStalls  = 2
	minSuspension       = 2 * time.Second
	maxSuspension       = 16 * time.Second
	resumedSlotsDivisor = 8
	// initialEpochStep is by how much the epoch rises when the endpoint has seen a higher one, in milliseconds, twice as much each time:
	// epochs are times of day, which differ by at most 5 s between VMs, and by 2 s when a clock jumps.
	initialEpochStep = 5000
	// maxStartAttempts bounds how many numbers a start tries when the endpoint has seen higher ones.
	maxStartAttempts = 12
	// maxEndedRuns bounds the runs that are remembered after their end.
	maxEndedRuns = 4096
)

// LeasedEndpoint is safe for concurrent use; its methods queue commands for the duty.
type LeasedEndpoint struct {
	loop         *eventLoop
	seams        LeasedEndpointSeams
	incarnation  EndpointIncarnation
	announcement Announcement
	// epoch is that of all orders that are sent now, in milliseconds of the time of day.
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
	// maxRunSlots is the most slots that a run here has taken, so that a part of the room is enough for one.
	maxRunSlots       int
	offered           bool
	consecutiveStalls int
	suspendedUntil    time.Time
	suspension        time.Duration
	stateKnown        bool
	log               *slog.Logger
	wake              chan struct{}
	goroutines        sync.WaitGroup
}

// NewLeasedEndpoint returns the duty, without an endpoint.
func NewLeasedEndpoint(seams LeasedEndpointSeams, log *slog.Logger) *LeasedEndpoint {
	w := &LeasedEndpoint{
		seams: seams, runs: map[RunID]*leasedRun{}, orphans: map[RunID]bool{}, endedRuns: map[RunID]uint64{}, log: log,
		wake: make(chan struct{}, 1), epoch: uint64(time.Now().UnixMilli()), epochStep: initialEpochStep,
	}
	w.loop = newEventLoop(func(time.Time) {}, func(now time.Time) time.Time { return now.Add(time.Second) })
	return w
}

// Run executes the duty and looks at the endpoint until ctx is done.
func (w *LeasedEndpoint) Run(ctx context.Context) {
	w.goroutines.Go(w.loop.run)
	var looks sync.WaitGroup
	for range concurrentPolls {
		looks.Go(func() { w.pollLoop(ctx) })
	}
	looks.Wait()
	w.loop.ring.Close()
	w.goroutines.Wait()
}

// Announce takes what the endpoint says of itself, and returns when the agent has taken note of it. An announcement of an
// earlier life, or one that was overtaken, is ignored.
func (w *LeasedEndpoint) Announce(a Announcement) error {
	_, err := call(w.loop, func(now time.Time) bool {
		if a.incarnation.startMs < w.incarnation.startMs || a.incarnation == w.incarnation && a.sequence <= w.announcement.sequence {
			w.log.Warn("endpoint: late announcement ignored", "endpoint", a.incarnation.id, "born", a.incarnation.startMs, "sequence", a.sequence)
			return false
		}
		if a.incarnation != w.incarnation {
			w.startIncarnation(now, a.incarnation)
		}
		if a.draining && !w.announcement.draining {
			w.log.Info("endpoint: draining", "endpoint", a.incarnation.id, "running", len(w.runs))
			w.logError(w.seams.leave())
		}
		w.announcement = a
		w.offerCapacity(now)
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
func (w *LeasedEndpoint) Gone(id string) error {
	return w.loop.post(func(time.Time) {
		if id != w.incarnation.id {
			return
		}
		w.log.Info("endpoint: left", "endpoint", id, "running", len(w.runs))
		w.endAllRuns("the endpoint has left")
		w.incarnation = EndpointIncarnation{startMs: w.incarnation.startMs}
		w.withdrawOffer("it has left")
	})
}

// pollLoop is a looks duty.
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

// pollParams is what a look needs from the duty.
type pollParams struct {
	incarnation EndpointIncarnation
	request     PollRequest
	number      uint64
	timeout     time.Duration
}

// pollOnce asks the endpoint once and says whether it answered. The endpoint may hold the answer back for wait, or longer
// when it runs nothing.
func (w *LeasedEndpoint) pollOnce(ctx context.Context, wait time.Duration) bool {
	plan, err := call(w.loop, func(now time.Time) pollParams { return w.preparePoll(now, wait) })
	if err != nil || plan.incarnation.id == "" {
		return false
	}
	lookCtx, cancel := context.WithTimeout(ctx, plan.timeout)
	listing, err := w.seams.poll(lookCtx, plan.incarnation, plan.request)
	cancel()
	if ctx.Err() != nil {
		return false
	}
	w.logError(w.loop.post(func(now time.Time) {
		if plan.incarnation != w.incarnation {
			return
		}
		if err != nil {
			w.pollFailed(now, err)
			return
		}
		w.applyResponse(now, plan.number, listing)
	}))
	return err == nil
}

func (w *LeasedEndpoint) preparePoll(now time.Time, wait time.Duration) pollParams {
	switch {
	case !w.stateKnown && len(w.orphans) == 0:
		// Nothing is offered before the first list, so that it is asked for at once.
		wait = 0
	case !w.stateKnown:
		wait = min(wait, orphanPollWait)
	case len(w.runs) == 0 && wait > 0:
		wait = idlePollWait
	}
	w.pollsSent++
	request := PollRequest{cursor: w.cursor, wait: wait, epoch: w.epoch}
	if len(w.runs) > 0 && now.Sub(w.lastAnswerAt) < maxRenewalSilence {
		request.leaseEndMs = w.renewLease(now)
	}
	timeout := wait + pollTimeoutSlack
	if wait == 0 {
		// Nothing holds the answer back, so that it comes as soon as that to a start.
		timeout = w.startTimeout()
	}
	return pollParams{incarnation: w.incarnation, number: w.pollsSent, request: request, timeout: timeout}
}

// currentEpoch returns the epoch of an order that is sent now, or the one it had before when the duty has ended.
func (w *LeasedEndpoint) currentEpoch(before uint64) uint64 {
	epoch, err := call(w.loop, func(time.Time) uint64 { return w.epoch })
	if err != nil {
		return before
	}
	return epoch
}

// startTimeout returns after how long a start counts as unanswered.
func (w *LeasedEndpoint) startTimeout() time.Duration {
	if w.startLatency == 0 {
		return callTimeout
	}
	return min(max(startTimeoutFactor*w.startLatency, minStartTimeout), callTimeout)
}

// renewLease returns the end of a lease that is renewed now, on the endpoint's clock, zero while that is unknown.
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

// applyResponse takes an endpoint's list.
func (w *LeasedEndpoint) applyResponse(now time.Time, number uint64, l PollResponse) {
	if l.startMs != 0 && l.startMs != w.incarnation.startMs {
		w.log.Warn("endpoint: another life answers", "endpoint", w.incarnation.id, "born", w.incarnation.startMs, "answering", l.startMs)
		w.startIncarnation(now, NewEndpointIncarnation(w.incarnation.id, l.startMs, w.incarnation.address))
		return
	}
	w.lastAnswerAt = now
	w.setClock(now, l.clock)
	for _, r := range l.ended {
		w.cursor = max(w.cursor, r.sequence)
		if run := w.runs[r.run]; run != nil {
			w.endRun(run, r.end)
		}
		if r.end == EndDone {
			w.consecutiveStalls, w.suspension = 0, 0
		}
		delete(w.orphans, r.run)
	}
	if number < w.lastAppliedPoll {
		return
	}
	w.lastAppliedPoll = number
	w.reconcileRuns(now, number, l.running)
	if !w.stateKnown && len(w.orphans) == 0 {
		w.stateKnown = true
		w.log.Info("endpoint: first list is empty", "endpoint", w.incarnation.id, "born", w.incarnation.startMs)
	}
	w.offerCapacity(now)
}

// reconcileRuns ends the runs that a list lacks, and stops those that nobody here has started.
func (w *LeasedEndpoint) reconcileRuns(now time.Time, number uint64, running []ListedRun) {
	listed := make(map[RunID]bool, len(running))
	for _, r := range running {
		listed[r.run] = true
		if run := w.runs[r.run]; run != nil {
			if run.observeProgress(now, r.percent) {
				w.recordStall(now)
			}
		}
		if w.runs[r.run] == nil && !w.orphans[r.run] && w.endedRuns[r.run] < number {
			w.stopOrphan(r.run)
		}
	}
	for id := range w.orphans {
		if !listed[id] {
			delete(w.orphans, id)
		}
	}
	for id, run := range w.runs {
		if listed[id] || !run.answered || run.pollsAtAnswer >= number {
			continue
		}
		if run.begun {
			w.endRun(run, EndLapsed)
		} else {
			w.endRun(run, EndNotBegun)
		}
	}
}

// stopOrphan stops a run that an earlier agent process started. Its room is not known, so that none is offered meanwhile.
func (w *LeasedEndpoint) stopOrphan(id RunID) {
	w.log.Warn("endpoint: stopping a run that this process did not start", "job", id.job, "index", id.index, "run", id.number)
	w.orphans[id] = true
	life, epoch := w.incarnation, w.epoch
	w.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		err := w.seams.stop(ctx, life, id, epoch)
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

// pollFailed takes a look that got no list. Runs end with their endpoint at once, or with their lease.
func (w *LeasedEndpoint) pollFailed(now time.Time, err error) {
	switch {
	case errors.Is(err, ErrStaleEpoch):
		w.epoch += w.epochStep
		w.epochStep *= 2
		w.log.Warn("endpoint: has seen a higher epoch", "endpoint", w.incarnation.id, "epoch", w.epoch)
	case errors.Is(err, ErrEndpointGone):
		w.endAllRuns("the endpoint is down")
		w.stateKnown = false
		w.withdrawOffer(err.Error())
	case now.Sub(w.lastAnswerAt) > maxRenewalSilence:
		w.withdrawOffer("it answers no look: " + err.Error())
		if now.After(w.leaseEnd.Add(endpointLeaseDuration/50 + leaseSlack)) {
			w.endAllRuns("the endpoint is silent and its lease has expired")
			w.stateKnown = false
		}
	}
}

// startIncarnation begins with an endpoint that has started anew: nothing of the life before runs.
func (w *LeasedEndpoint) startIncarnation(now time.Time, life EndpointIncarnation) {
	w.endAllRuns("the endpoint has started anew")
	w.log.Info("endpoint: new life", "endpoint", life.id, "born", life.startMs, "address", life.address)
	w.incarnation = life
	w.epoch = max(w.epoch+1, uint64(now.UnixMilli()))
	w.announcement.sequence = 0
	w.announcement.draining = false
	w.cursor, w.endpointClock, w.stateKnown, w.lastAnswerAt = 0, 0, false, now
	w.consecutiveStalls, w.suspension, w.suspendedUntil = 0, 0, time.Time{}
	clear(w.orphans)
	w.withdrawOffer("it has started anew")
}

// offerCapacity tells the agent what the endpoint offers, when its state is known.
func (w *LeasedEndpoint) offerCapacity(now time.Time) {
	if now.Before(w.suspendedUntil) || !w.stateKnown || len(w.orphans) > 0 || w.announcement.draining ||
		w.incarnation != w.announcement.incarnation {
		return
	}
	w.offered = true
	room := w.announcement.resources
	if w.suspension > 0 {
		room = hibiscusstate.NewResources(
			max(room.Slots()/resumedSlotsDivisor, min(w.maxRunSlots, room.Slots())), room.Memory(), room.Accelerators())
	}
	w.logError(w.seams.offer(w.announcement.service, room))
}

// recordStall counts a run that stands still. All entries learn of a suspected endpoint at once, which each for itself would find
// out only after its own tasks had stood still there.
func (w *LeasedEndpoint) recordStall(now time.Time) {
	w.consecutiveStalls++
	if w.consecutiveStalls < suspendAfterStalls || now.Before(w.suspendedUntil) {
		return
	}
	w.suspension = min(max(2*w.suspension, minSuspension), maxSuspension)
	w.suspendedUntil = now.Add(w.suspension)
	w.log.Warn("endpoint: suspected, its runs stand still", "endpoint", w.incarnation.id,
		"runs", w.consecutiveStalls, "for_ms", w.suspension.Milliseconds())
	w.withdrawOffer("its runs stand still")
}

// withdrawOffer tells the agent that the endpoint takes no tasks at present.
func (w *LeasedEndpoint) withdrawOffer(cause string) {
	if w.offered {
		w.offered = false
		w.log.Warn("endpoint: offers no room", "endpoint", w.incarnation.id, "cause", cause)
		w.logError(w.seams.offer(w.announcement.service, hibiscusstate.Resources{}))
	}
}

// endAllRuns ends all runs without a result.
func (w *LeasedEndpoint) endAllRuns(cause string) {
	if len(w.runs) > 0 {
		w.log.Warn("endpoint: all runs have ended", "runs", len(w.runs), "cause", cause)
	}
	for _, run := range w.runs {
		w.endRun(run, EndLapsed)
	}
}

// endRun tells the runner how its run ended.
func (w *LeasedEndpoint) endRun(run *leasedRun, endRun RunEnd) {
	w.removeRun(run)
	run.ended <- endRun
}

// removeRun drops a run; lists that were asked for before may still name it.
func (w *LeasedEndpoint) removeRun(run *leasedRun) {
	delete(w.runs, run.id)
	if len(w.endedRuns) >= maxEndedRuns {
		clear(w.endedRuns)
	}
	w.endedRuns[run.id] = w.pollsSent
}

// logError logs an error of a duty that has ended; nothing else can be done about it.
func (w *LeasedEndpoint) logError(err error) {
	if err != nil {
		w.log.Debug("endpoint: the agent has stopped", "cause", err.Error())
	}
}

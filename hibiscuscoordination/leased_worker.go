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
//
// An order that got no answer may be carried out up to 12 s later, when the endpoint has started anew under its name and has
// forgotten the stop, or when another agent process has taken over and does not know of the order's room. So all orders carry an
// epoch, which rises with each agent process and each life of the endpoint, and an endpoint does nothing for a lower one.

const (
	// leaseRenewal is how long a lease lasts from each renewal; endpoints take at most a second.
	leaseRenewal = time.Second
	// leaseSlack is how much longer than its lease a run may go on: the endpoint's clock may be 2% slow, and a kill takes 50 ms.
	leaseSlack = 100 * time.Millisecond
	// busyLook and idleLook are how long an endpoint may hold back its answer to a look while it runs something, and otherwise.
	// A run whose start carried its own lease is renewed by a look that begins at most idleLook later, and is not listed before.
	busyLook = 150 * time.Millisecond
	idleLook = 200 * time.Millisecond
	// orphanLook is the same while runs of an earlier agent process are being stopped, which takes 50 ms.
	orphanLook = 50 * time.Millisecond
	// callTimeout bounds a request to the endpoint beside the agent, which answers within a millisecond. A process whose
	// processor time is a quota may stand still for 76 ms.
	callTimeout = 150 * time.Millisecond
	// minStartTimeout and startFactor bound a start, and the stop of one without an answer: it counts as unanswered after
	// startFactor times the usual time to an answer, at least minStartTimeout and at most callTimeout. A task of 50 ms is late when
	// one of its job's starts is waited for for 150 ms; the answer usually comes within 2 ms.
	minStartTimeout = 25 * time.Millisecond
	startFactor     = 10
	// answerWeight is the part by which one answer moves the usual time.
	answerWeight = 8
	// lookSlack is how long an answer to a look may take beyond the time that it may be held back.
	lookSlack = 100 * time.Millisecond
	// lookDuties is how many looks are open at a time. While one gets no answer, the ends of runs would not be seen: with 6% of
	// the requests unanswered, one look of 0.4 s at a time is blind for a third of the time.
	lookDuties = 2
	// renewWhileSilent is how long an endpoint that answers no look still has its lease renewed. After that its runs have to
	// end, because nobody learns of their results.
	renewWhileSilent = 600 * time.Millisecond
	// retryLook is the time between two looks when the endpoint does not answer.
	retryLook = 50 * time.Millisecond
	// retryStop is the time between two tries of a stop that gets no answer. Its task runs nowhere until the stop is answered.
	retryStop = 10 * time.Millisecond
	// stallTime, stallParts and firstStallPart say when a run stands still: its percentage does not change for stallTime, for
	// stallParts times as long as one percent has taken so far, and before the first percent for a part of its expected time.
	// A task of 8 s on a worker that is 6 times slower makes a percent in 0.5 s.
	stallTime      = 250 * time.Millisecond
	stallParts     = 5
	firstStallPart = 10
	// suspectStalls is how many runs in a row have to stand still for the endpoint to be suspected as a whole. A suspected one
	// offers nothing for suspectTime, twice as long each time up to maxSuspectTime, and then a part of its room until a run is
	// done there. The users' workers stand still for 5 to 7 s.
	suspectStalls  = 2
	suspectTime    = 2 * time.Second
	maxSuspectTime = 16 * time.Second
	suspectPart    = 8
	// epochStep is by how much the epoch rises when the endpoint has seen a higher one, in milliseconds, twice as much each time:
	// epochs are times of day, which differ by at most 5 s between VMs, and by 2 s when a clock jumps.
	epochStep = 5000
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
	// epoch is that of all orders that are sent now, in milliseconds of the time of day.
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
	// largest is the most slots that a run here has taken, so that a part of the room is enough for one.
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

// NewLeasedWorker returns the duty, without an endpoint.
func NewLeasedWorker(seams LeasedWorkerSeams, log *slog.Logger) *LeasedWorker {
	w := &LeasedWorker{
		seams: seams, runs: map[RunID]*leasedRun{}, orphans: map[RunID]bool{}, forgotten: map[RunID]uint64{}, log: log,
		wake: make(chan struct{}, 1), epoch: uint64(time.Now().UnixMilli()), epochStep: epochStep,
	}
	w.duty = newDuty(func(time.Time) {}, func(now time.Time) time.Time { return now.Add(time.Second) })
	return w
}

// Run executes the duty and looks at the endpoint until ctx is done.
func (w *LeasedWorker) Run(ctx context.Context) {
	w.working.Go(w.duty.run)
	var looks sync.WaitGroup
	for range lookDuties {
		looks.Go(func() { w.lookLoop(ctx) })
	}
	looks.Wait()
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

// Gone takes the word of an endpoint that it ends.
func (w *LeasedWorker) Gone(id string) error {
	return w.duty.do(func(time.Time) {
		if id != w.life.id {
			return
		}
		w.log.Info("endpoint: left", "endpoint", id, "running", len(w.runs))
		w.endAll("the endpoint has left")
		w.life = WorkerLife{born: w.life.born}
		w.withdraw("it has left")
	})
}

// lookLoop is a looks duty.
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
	timeout time.Duration
}

// lookOnce asks the endpoint once and says whether it answered. The endpoint may hold the answer back for wait, or longer
// when it runs nothing.
func (w *LeasedWorker) lookOnce(ctx context.Context, wait time.Duration) bool {
	plan, err := ask(w.duty, func(now time.Time) lookPlan { return w.planLook(now, wait) })
	if err != nil || plan.life.id == "" {
		return false
	}
	lookCtx, cancel := context.WithTimeout(ctx, plan.timeout)
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
	case !w.listed && len(w.orphans) == 0:
		// Nothing is offered before the first list, so that it is asked for at once.
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
		// Nothing holds the answer back, so that it comes as soon as that to a start.
		timeout = w.startTimeout()
	}
	return lookPlan{life: w.life, number: w.looks, request: request, timeout: timeout}
}

// epochNow returns the epoch of an order that is sent now, or the one it had before when the duty has ended.
func (w *LeasedWorker) epochNow(before uint64) uint64 {
	epoch, err := ask(w.duty, func(time.Time) uint64 { return w.epoch })
	if err != nil {
		return before
	}
	return epoch
}

// startTimeout returns after how long a start counts as unanswered.
func (w *LeasedWorker) startTimeout() time.Duration {
	if w.startTime == 0 {
		return callTimeout
	}
	return min(max(startFactor*w.startTime, minStartTimeout), callTimeout)
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
		if r.end == EndDone {
			w.stalls, w.suspectFor = 0, 0
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
	w.offerRoom(now)
}

// compare ends the runs that a list lacks, and stops those that nobody here has started.
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

// stopOrphan stops a run that an earlier agent process started. Its room is not known, so that none is offered meanwhile.
func (w *LeasedWorker) stopOrphan(id RunID) {
	w.log.Warn("endpoint: stopping a run that this process did not start", "job", id.job, "index", id.index, "run", id.number)
	w.orphans[id] = true
	life, epoch := w.life, w.epoch
	w.working.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		err := w.seams.stop(ctx, life, id, epoch)
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
	case errors.Is(err, ErrEpochPassed):
		w.epoch += w.epochStep
		w.epochStep *= 2
		w.log.Warn("endpoint: has seen a higher epoch", "endpoint", w.life.id, "epoch", w.epoch)
	case errors.Is(err, ErrEndpointGone):
		w.endAll("the endpoint is down")
		w.listed = false
		w.withdraw(err.Error())
	case now.Sub(w.answeredAt) > renewWhileSilent:
		w.withdraw("it answers no look: " + err.Error())
		if now.After(w.leaseEnd.Add(leaseRenewal/50 + leaseSlack)) {
			w.endAll("the endpoint is silent and its lease has expired")
			w.listed = false
		}
	}
}

// newLife begins with an endpoint that has started anew: nothing of the life before runs.
func (w *LeasedWorker) newLife(now time.Time, life WorkerLife) {
	w.endAll("the endpoint has started anew")
	w.log.Info("endpoint: new life", "endpoint", life.id, "born", life.born, "address", life.address)
	w.life = life
	w.epoch = max(w.epoch+1, uint64(now.UnixMilli()))
	w.announcement.sequence = 0
	w.announcement.draining = false
	w.cursor, w.clock, w.listed, w.answeredAt = 0, 0, false, now
	w.stalls, w.suspectFor, w.suspectUntil = 0, 0, time.Time{}
	clear(w.orphans)
	w.withdraw("it has started anew")
}

// offerRoom tells the agent what the endpoint offers, when its state is known.
func (w *LeasedWorker) offerRoom(now time.Time) {
	if now.Before(w.suspectUntil) || !w.listed || len(w.orphans) > 0 || w.announcement.draining || w.life != w.announcement.life {
		return
	}
	w.offered = true
	room := w.announcement.room
	if w.suspectFor > 0 {
		room = hibiscusstate.NewRoom(max(room.Slots()/suspectPart, min(w.largest, room.Slots())), room.Memory(), room.Accelerators())
	}
	w.report(w.seams.offer(w.announcement.service, room))
}

// suspect counts a run that stands still. All entries learn of a suspected endpoint at once, which each for itself would find
// out only after its own tasks had stood still there.
func (w *LeasedWorker) suspect(now time.Time) {
	w.stalls++
	if w.stalls < suspectStalls || now.Before(w.suspectUntil) {
		return
	}
	w.suspectFor = min(max(2*w.suspectFor, suspectTime), maxSuspectTime)
	w.suspectUntil = now.Add(w.suspectFor)
	w.log.Warn("endpoint: suspected, its runs stand still", "endpoint", w.life.id, "runs", w.stalls, "for_ms", w.suspectFor.Milliseconds())
	w.withdraw("its runs stand still")
}

// withdraw tells the agent that the endpoint takes no tasks at present.
func (w *LeasedWorker) withdraw(cause string) {
	if w.offered {
		w.offered = false
		w.log.Warn("endpoint: offers no room", "endpoint", w.life.id, "cause", cause)
		w.report(w.seams.offer(w.announcement.service, hibiscusstate.Room{}))
	}
}

// endAll ends all runs without a result.
func (w *LeasedWorker) endAll(cause string) {
	if len(w.runs) > 0 {
		w.log.Warn("endpoint: all runs have ended", "runs", len(w.runs), "cause", cause)
	}
	for _, run := range w.runs {
		w.end(run, EndLapsed)
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

package hibiscussoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

// The faults of a run come from its seed alone: what, when, where and for how long. They overlap, and come in series: a burst of
// several within a second, then a pause.

// faultKind is what is done to the deployment.
type faultKind int

const (
	faultKill         faultKind = iota // kill
	faultKillMany                      // kill_many
	faultStop                          // stop
	faultPause                         // pause
	faultHangup                        // hangup
	faultResetCallers                  // reset_callers
	faultDelaySession                  // delay_session
	faultResetSession                  // reset_session
	faultCutSession                    // cut_session
	faultOneWay                        // one_way_session
	faultStoreSilent                   // store_silent
	faultStoreRefused                  // store_refused
	faultStoreHistory                  // store_history
	faultWorkerCut                     // worker_cut
	faultWorkerReset                   // worker_reset
	faultWorkerHangs                   // worker_hangs
	faultWorkerLate                    // worker_late
	faultWorkerLooks                   // worker_loses_looks
	faultWorkerNew                     // worker_restarts
	faultConfigure                     // configure
	faultKinds                         // none
)

const (
	// seriesPart is the part of the faults that follow the one before within seriesTime; the others come after up to pauseTime.
	seriesPart = 2
	seriesTime = 600 * time.Millisecond
	pauseTime  = 2500 * time.Millisecond
	// minFault and maxFault bound how long a fault lasts. The longest is above every silence that ends a session.
	minFault = 100 * time.Millisecond
	maxFault = 3 * time.Second
	// warmUp is the calm before the first fault.
	warmUp = 2 * time.Second
	// lateStarts is how many starts one fault delays, by up to maxLate.
	lateStarts = 5
	maxLate    = 3 * time.Second
	lostLooks  = 3
	// contactTime is how long before and after a planned stop nothing else may happen for the stop to count as calm.
	contactTime = 3 * time.Second
	// lossSlack is how long an answer may be missing when a process ends as planned.
	lossSlack = 200 * time.Millisecond
)

// fault is one thing that is done.
type fault struct {
	at   time.Duration
	kind faultKind
	// where picks the process, worker or proxy, modulo their number.
	where int
	lasts time.Duration
	// calm says that no other fault is near.
	calm bool
}

// String returns the line of the fault in a plan.
func (f fault) String() string {
	calm := ""
	if f.calm {
		calm = " calm"
	}
	return fmt.Sprintf("%6d ms %s at %d for %d ms%s", f.at.Milliseconds(), f.kind, f.where, f.lasts.Milliseconds(), calm)
}

// newPlan returns the faults of a seed within a time.
func newPlan(seed uint64, length time.Duration) []fault {
	r := rand.New(rand.NewPCG(seed, 0))
	var plan []fault
	for at := warmUp; ; {
		f := fault{
			at: at, kind: faultKind(r.IntN(int(faultKinds))), where: r.IntN(1000),
			lasts: minFault + time.Duration(r.Int64N(int64(maxFault-minFault))),
		}
		if at+f.lasts > length {
			break
		}
		plan = append(plan, f)
		next := pauseTime
		if r.IntN(seriesPart) == 0 {
			next = seriesTime
		}
		at += time.Duration(r.Int64N(int64(next)))
	}
	for i := range plan {
		plan[i].calm = isCalm(plan, i)
	}
	return plan
}

// isCalm says whether no other fault is near the one at i, while it lasts or while a planned stop may last.
func isCalm(plan []fault, i int) bool {
	from, to := plan[i].at-contactTime, plan[i].at+grace
	for j, f := range plan {
		if j != i && f.at+max(f.lasts, restartTime) > from && f.at < to {
			return false
		}
	}
	return true
}

// inject does one fault, and undoes it when its time is over.
func (f *fleet) inject(ctx context.Context, x fault) {
	f.checks.note("%s", x)
	entry, worker := f.entries[x.where%len(f.entries)], f.workers[x.where%len(f.workers)]
	processes := f.processes()
	process := processes[x.where%len(processes)]
	switch x.kind {
	case faultKill:
		process.kill()
		f.startLater(ctx, process, x.lasts)
	case faultKillMany:
		for i := range processes {
			if i%2 == x.where%2 {
				processes[i].kill()
			}
		}
		for i := range processes {
			if i%2 == x.where%2 {
				f.startLater(ctx, processes[i], restartTime)
			}
		}
	case faultStop:
		f.stop(ctx, process, x)
	case faultPause:
		process.signal(syscall.SIGSTOP, false)
		f.pause(ctx, x.lasts)
		process.signal(syscall.SIGCONT, false)
	case faultHangup:
		process.signal(syscall.SIGHUP, false)
	case faultResetCallers:
		entry.callers.resetAll()
	case faultDelaySession:
		f.mode(ctx, entry.sessions, modeDelay, x.lasts)
	case faultResetSession:
		entry.sessions.resetAll()
	case faultCutSession:
		f.mode(ctx, entry.sessions, modeSilence, x.lasts)
	case faultOneWay:
		f.mode(ctx, entry.sessions, modeOneWay, x.lasts)
	case faultStoreSilent:
		f.mode(ctx, entry.store, modeSilence, x.lasts)
	case faultStoreRefused:
		f.mode(ctx, entry.store, modeRefuse, x.lasts)
	case faultStoreHistory:
		f.store.DropHistory()
	case faultWorkerCut:
		f.mode(ctx, worker.calls, modeSilence, x.lasts)
	case faultWorkerReset:
		worker.calls.resetAll()
	case faultWorkerHangs:
		worker.worker.SetHanging(true)
		f.pause(ctx, x.lasts)
		worker.worker.SetHanging(false)
	case faultWorkerLate:
		worker.worker.DelayStarts(lateStarts, min(x.lasts, maxLate), 0)
	case faultWorkerLooks:
		worker.worker.LosePollAnswers(lostLooks)
	case faultWorkerNew:
		worker.worker.Restart()
	case faultConfigure:
		f.configure()
	case faultKinds:
	}
}

func (f *fleet) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (f *fleet) mode(ctx context.Context, p *proxy, m proxyMode, lasts time.Duration) {
	p.set(m)
	f.pause(ctx, lasts)
	p.set(modePass)
}

// startLater starts a process again.
func (f *fleet) startLater(ctx context.Context, p *process, after time.Duration) {
	f.pause(ctx, after)
	if err := p.start(); err != nil {
		f.checks.fault("process %s can't be started: %v", p.name, err)
	}
}

// stop asks a process to stop and starts it again. When nothing else is near, it must end in time and cut no request.
func (f *fleet) stop(ctx context.Context, p *process, x fault) {
	began := time.Now()
	took, killed := p.stop(grace)
	f.startLater(ctx, p, restartTime)
	if !x.calm {
		return
	}
	if killed {
		f.checks.fault("process %s has not ended %v after it was asked to stop", p.name, grace)
	}
	for _, entry := range f.entries {
		if entry.process != p {
			continue
		}
		for _, c := range entry.cutBetween(began, began.Add(took+restartTime)) {
			started := f.seen.Started(c.job.id, c.job.tasks)
			if c.breaks(started) {
				f.checks.fault("a planned stop of %s cut job %s %d ms after it was sent, started %t",
					p.name, c.job.id, c.cut.Sub(c.sent).Milliseconds(), started)
			}
		}
	}
}

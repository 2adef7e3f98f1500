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
	faultKill               faultKind = iota // kill
	faultKillMany                            // kill_many
	faultStop                                // stop
	faultPause                               // pause
	faultHangup                              // hangup
	faultResetCallers                        // reset_callers
	faultDelaySession                        // delay_session
	faultResetSession                        // reset_session
	faultSilentSession                       // cut_session
	faultOneWaySession                       // one_way_session
	faultStoreSilent                         // store_silent
	faultStoreRefused                        // store_refused
	faultStoreHistory                        // store_history
	faultWorkerSilent                        // worker_cut
	faultWorkerReset                         // worker_reset
	faultWorkerHangs                         // worker_hangs
	faultWorkerDelaysStarts                  // worker_late
	faultWorkerLosesPolls                    // worker_loses_looks
	faultWorkerRestarts                      // worker_restarts
	faultConfigure                           // configure
	faultKindCount                           // none
)

const (
	// oneInBurst is the part of the faults that follow the one before within maxBurstGap; the others come after up to maxGap.
	oneInBurst  = 2
	maxBurstGap = 600 * time.Millisecond
	maxGap      = 2500 * time.Millisecond
	// minFaultDuration and maxFaultDuration bound how long a fault lasts. The longest is above every silence that ends a session.
	minFaultDuration = 100 * time.Millisecond
	maxFaultDuration = 3 * time.Second
	// warmUp is the calm before the first fault.
	warmUp = 2 * time.Second
	// delayedStarts is how many starts one fault delays, by up to maxStartDelay.
	delayedStarts = 5
	maxStartDelay = 3 * time.Second
	lostPolls     = 3
	// isolationTime is how long before and after a planned stop nothing else may happen for the stop to count as calm.
	isolationTime = 3 * time.Second
	// maxUnansweredTime is how long an answer may be missing when a process ends as planned.
	maxUnansweredTime = 200 * time.Millisecond
)

// fault is one thing that is done.
type fault struct {
	at   time.Duration
	kind faultKind
	// where picks the process, worker or proxy, modulo their number.
	target   int
	duration time.Duration
	// calm says that no other fault is near.
	isolated bool
}

// String returns the line of the fault in a plan.
func (f fault) String() string {
	calm := ""
	if f.isolated {
		calm = " calm"
	}
	return fmt.Sprintf("%6d ms %s at %d for %d ms%s", f.at.Milliseconds(), f.kind, f.target, f.duration.Milliseconds(), calm)
}

// newPlan returns the faults of a seed within a time.
func newPlan(seed uint64, length time.Duration) []fault {
	r := rand.New(rand.NewPCG(seed, 0))
	var plan []fault
	for at := warmUp; ; {
		f := fault{
			at: at, kind: faultKind(r.IntN(int(faultKindCount))), target: r.IntN(1000),
			duration: minFaultDuration + time.Duration(r.Int64N(int64(maxFaultDuration-minFaultDuration))),
		}
		if at+f.duration > length {
			break
		}
		plan = append(plan, f)
		next := maxGap
		if r.IntN(oneInBurst) == 0 {
			next = maxBurstGap
		}
		at += time.Duration(r.Int64N(int64(next)))
	}
	for i := range plan {
		plan[i].isolated = isIsolated(plan, i)
	}
	return plan
}

// isIsolated says whether no other fault is near the one at i, while it lasts or while a planned stop may last.
func isIsolated(plan []fault, i int) bool {
	from, to := plan[i].at-isolationTime, plan[i].at+stopGrace
	for j, f := range plan {
		if j != i && f.at+max(f.duration, restartDelay) > from && f.at < to {
			return false
		}
	}
	return true
}

// inject does one fault, and undoes it when its time is over.
func (f *deployment) inject(ctx context.Context, x fault) {
	f.checks.logf("%s", x)
	entry, worker := f.entries[x.target%len(f.entries)], f.workers[x.target%len(f.workers)]
	processes := f.processes()
	process := processes[x.target%len(processes)]
	switch x.kind {
	case faultKill:
		process.kill()
		f.startAfter(ctx, process, x.duration)
	case faultKillMany:
		for i := range processes {
			if i%2 == x.target%2 {
				processes[i].kill()
			}
		}
		for i := range processes {
			if i%2 == x.target%2 {
				f.startAfter(ctx, processes[i], restartDelay)
			}
		}
	case faultStop:
		f.stopAndRestart(ctx, process, x)
	case faultPause:
		process.signal(syscall.SIGSTOP, false)
		f.sleep(ctx, x.duration)
		process.signal(syscall.SIGCONT, false)
	case faultHangup:
		process.signal(syscall.SIGHUP, false)
	case faultResetCallers:
		entry.callerProxy.resetAll()
	case faultDelaySession:
		f.setModeFor(ctx, entry.sessionProxy, modeDelay, x.duration)
	case faultResetSession:
		entry.sessionProxy.resetAll()
	case faultSilentSession:
		f.setModeFor(ctx, entry.sessionProxy, modeDropAll, x.duration)
	case faultOneWaySession:
		f.setModeFor(ctx, entry.sessionProxy, modeDropToServer, x.duration)
	case faultStoreSilent:
		f.setModeFor(ctx, entry.storeProxy, modeDropAll, x.duration)
	case faultStoreRefused:
		f.setModeFor(ctx, entry.storeProxy, modeRefuse, x.duration)
	case faultStoreHistory:
		f.store.DropHistory()
	case faultWorkerSilent:
		f.setModeFor(ctx, worker.workerProxy, modeDropAll, x.duration)
	case faultWorkerReset:
		worker.workerProxy.resetAll()
	case faultWorkerHangs:
		worker.worker.SetHanging(true)
		f.sleep(ctx, x.duration)
		worker.worker.SetHanging(false)
	case faultWorkerDelaysStarts:
		worker.worker.DelayStarts(delayedStarts, min(x.duration, maxStartDelay), 0)
	case faultWorkerLosesPolls:
		worker.worker.LosePollAnswers(lostPolls)
	case faultWorkerRestarts:
		worker.worker.Restart()
	case faultConfigure:
		f.configure()
	case faultKindCount:
	}
}

func (f *deployment) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (f *deployment) setModeFor(ctx context.Context, p *proxy, m proxyMode, lasts time.Duration) {
	p.setMode(m)
	f.sleep(ctx, lasts)
	p.setMode(modeForward)
}

// startAfter starts a process again.
func (f *deployment) startAfter(ctx context.Context, p *process, after time.Duration) {
	f.sleep(ctx, after)
	if err := p.start(); err != nil {
		f.checks.addViolation("process %s can't be started: %v", p.name, err)
	}
}

// stop asks a process to stop and starts it again. When nothing else is near, it must end in time and cut no request.
func (f *deployment) stopAndRestart(ctx context.Context, p *process, x fault) {
	began := time.Now()
	took, killed := p.stop(stopGrace)
	f.startAfter(ctx, p, restartDelay)
	if !x.isolated {
		return
	}
	if killed {
		f.checks.addViolation("process %s has not ended %v after it was asked to stop", p.name, stopGrace)
	}
	for _, entry := range f.entries {
		if entry.process != p {
			continue
		}
		for _, c := range entry.unansweredBetween(began, began.Add(took+restartDelay)) {
			started := f.observer.Started(c.job.id, c.job.tasks)
			if c.isViolation(started) {
				f.checks.addViolation("a planned stop of %s cut job %s %d ms after it was sent, started %t",
					p.name, c.job.id, c.closedAt.Sub(c.sentAt).Milliseconds(), started)
			}
		}
	}
}

package hibiscussoak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

// Faults overlap and come in bursts, several within a second, each followed by a gap. Their kinds, times, targets and durations
// are derived from the seed of the run alone.

// faultKind is the kind of an injected fault.
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
	faultEvacuate                            // evacuate
	faultWorkerLeaves                        // worker_leaves
	faultHostile                             // hostile
	faultWorkerCrashes                       // worker_crashes
	faultCutWorkerCrashes                    // cut_worker_crashes
	faultKindCount                           // none
)

const (
	// One in oneInBurst faults follows the previous one within maxBurstGap, the others within maxGap.
	oneInBurst  = 2
	maxBurstGap = 600 * time.Millisecond
	maxGap      = 2500 * time.Millisecond
	// maxCapacityGap is the maximum time between two faults of the second series, whose kinds begin with faultEvacuate, and of the
	// third, whose kinds begin with faultWorkerCrashes. They have series of their own, so that plans of earlier seeds keep their
	// other faults.
	maxCapacityGap   = 4 * time.Second
	capacitySequence = 1 << 32
	// minFaultDuration and maxFaultDuration bound the duration of a fault. The maximum is above every time without
	// traffic that ends a session.
	minFaultDuration = 100 * time.Millisecond
	maxFaultDuration = 3 * time.Second
	// warmUp is the time before the first fault.
	warmUp = 2 * time.Second
	// delayedStarts is how many starts of runs one fault delays, by up to maxStartDelay.
	delayedStarts = 5
	maxStartDelay = 3 * time.Second
	// lostPolls is for how many polls of an agent at its worker one fault loses the response.
	lostPolls = 3
	// isolationTime is how long before a planned stop no other fault may be active for the stop to count as isolated.
	isolationTime = 3 * time.Second
	// maxUnansweredTime is how long a request may have waited when a planned stop closes its connection without a response.
	maxUnansweredTime = 200 * time.Millisecond
)

// fault is one injected fault.
type fault struct {
	at   time.Duration
	kind faultKind
	// target selects the process, worker or proxy, modulo their number.
	target   int
	duration time.Duration
	// isolated reports whether no other fault is active around that time.
	isolated bool
	// crash is the course of a crash, the zero value for other kinds.
	crash crash
}

// String returns the fault as a line of a plan.
func (f fault) String() string {
	suffix := ""
	if f.isolated {
		suffix = " calm"
	}
	if f.crash != (crash{}) {
		suffix += ", " + f.crash.String()
	}
	return fmt.Sprintf("%6d ms %s at %d for %d ms%s", f.at.Milliseconds(), f.kind, f.target, f.duration.Milliseconds(), suffix)
}

// newPlan returns the faults of a seed; all of them end within the length of the run.
func newPlan(seed uint64, length time.Duration, s Series) []fault {
	if s == SeriesRestarts {
		return newRestartSeries(seed, length, maxBurstGap)
	}
	plan := newCapacitySeries(seed, length)
	if s == SeriesAll {
		plan = append(plan, newRestartSeries(seed, length, maxCapacityGap)...)
	}
	r := rand.New(rand.NewPCG(seed, 0))
	for at := warmUp; ; {
		f := fault{
			at: at, kind: faultKind(r.IntN(int(faultEvacuate))), target: r.IntN(1000),
			duration: minFaultDuration + time.Duration(r.Int64N(int64(maxFaultDuration-minFaultDuration))),
		}
		if at+f.duration > length {
			break
		}
		plan = append(plan, f)
		gap := maxGap
		if r.IntN(oneInBurst) == 0 {
			gap = maxBurstGap
		}
		at += time.Duration(r.Int64N(int64(gap)))
	}
	slices.SortStableFunc(plan, func(x, y fault) int { return cmp.Compare(x.at, y.at) })
	for i := range plan {
		plan[i].isolated = isIsolated(plan, i)
	}
	return plan
}

// newCapacitySeries returns the faults of a seed that take capacity away or consume it.
func newCapacitySeries(seed uint64, length time.Duration) []fault {
	r := rand.New(rand.NewPCG(seed, capacitySequence))
	var series []fault
	for at := warmUp; ; at += time.Duration(r.Int64N(int64(maxCapacityGap))) {
		f := fault{
			at: at, kind: faultEvacuate + faultKind(r.IntN(int(faultWorkerCrashes-faultEvacuate))), target: r.IntN(1000),
			duration: minFaultDuration + time.Duration(r.Int64N(int64(maxFaultDuration-minFaultDuration))),
		}
		if f.kind != faultHostile {
			f.duration += minPlaceDuration
		}
		if at+f.duration > length {
			return series
		}
		series = append(series, f)
	}
}

// isIsolated reports whether no other fault is active from isolationTime before the start of the fault at index i until stopGrace
// after it.
func isIsolated(plan []fault, i int) bool {
	from, to := plan[i].at-isolationTime, plan[i].at+stopGrace
	for j, f := range plan {
		if j != i && f.at+max(f.duration, restartDelay) > from && f.at < to {
			return false
		}
	}
	return true
}

// inject injects one fault and ends it after its duration.
func (d *deployment) inject(ctx context.Context, x fault) {
	d.checks.logf("%s", x)
	began := time.Now()
	defer func() { d.history.addDisturbance(began, time.Now(), d.disturbedBy(x)...) }()
	entry, worker := d.entries[x.target%len(d.entries)], d.workers[x.target%len(d.workers)]
	processes := d.processes()
	process := processes[x.target%len(processes)]
	switch x.kind {
	case faultKill:
		process.kill()
		d.startAfter(ctx, process, x.duration)
	case faultKillMany:
		for i := range processes {
			if i%2 == x.target%2 {
				processes[i].kill()
			}
		}
		for i := range processes {
			if i%2 == x.target%2 {
				d.startAfter(ctx, processes[i], restartDelay)
			}
		}
	case faultStop:
		d.stopAndRestart(ctx, process, x)
	case faultPause:
		process.signal(syscall.SIGSTOP, false)
		d.sleep(ctx, x.duration)
		process.signal(syscall.SIGCONT, false)
	case faultHangup:
		process.signal(syscall.SIGHUP, false)
	case faultResetCallers:
		entry.callerProxy.resetAll()
	case faultDelaySession:
		d.setModeFor(ctx, entry.sessionProxy, modeDelay, x.duration)
	case faultResetSession:
		entry.sessionProxy.resetAll()
	case faultSilentSession:
		d.setModeFor(ctx, entry.sessionProxy, modeDropAll, x.duration)
	case faultOneWaySession:
		d.setModeFor(ctx, entry.sessionProxy, modeDropToServer, x.duration)
	case faultStoreSilent:
		d.setModeFor(ctx, entry.storeProxy, modeDropAll, x.duration)
	case faultStoreRefused:
		d.setModeFor(ctx, entry.storeProxy, modeRefuse, x.duration)
	case faultStoreHistory:
		d.store.DropHistory()
	case faultWorkerSilent:
		d.setModeFor(ctx, worker.workerProxy, modeDropAll, x.duration)
	case faultWorkerReset:
		worker.workerProxy.resetAll()
	case faultWorkerHangs:
		worker.worker.SetHanging(true)
		d.sleep(ctx, x.duration)
		worker.worker.SetHanging(false)
	case faultWorkerDelaysStarts:
		worker.worker.DelayStarts(delayedStarts, min(x.duration, maxStartDelay), 0)
	case faultWorkerLosesPolls:
		worker.worker.LosePollAnswers(lostPolls)
	case faultWorkerRestarts:
		worker.worker.Restart()
	case faultConfigure:
		d.configure()
	case faultEvacuate:
		d.evacuate(ctx, x.target, x.duration)
	case faultWorkerLeaves:
		d.leave(ctx, worker, x.duration)
	case faultHostile:
		d.sendHostile(ctx, x.target, x.duration)
	case faultWorkerCrashes, faultCutWorkerCrashes:
		d.crashAndRestart(ctx, worker, x.crash)
	case faultKindCount:
	}
}

func (d *deployment) sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

func (d *deployment) setModeFor(ctx context.Context, p *proxy, m proxyMode, duration time.Duration) {
	p.setMode(m)
	d.sleep(ctx, duration)
	p.setMode(modeForward)
}

// startAfter starts a process after a delay.
func (d *deployment) startAfter(ctx context.Context, p *process, delay time.Duration) {
	d.sleep(ctx, delay)
	if err := p.start(); err != nil {
		d.checks.addViolation("process %s can't be started: %v", p.name, err)
	}
}

// stopAndRestart asks a process to stop and restarts it. An isolated stop must end in time and leave no request unanswered.
func (d *deployment) stopAndRestart(ctx context.Context, p *process, x fault) {
	began := time.Now()
	took, killed := p.stop(stopGrace)
	d.startAfter(ctx, p, restartDelay)
	if !x.isolated {
		return
	}
	if killed {
		d.checks.addViolation("process %s has not ended %v after it was asked to stop", p.name, stopGrace)
	}
	for _, entry := range d.entries {
		if entry.process != p {
			continue
		}
		for _, r := range entry.unansweredBetween(began, began.Add(took+restartDelay)) {
			started := d.observer.Started(r.job.id, r.job.tasks)
			if r.isViolation(started) {
				d.checks.addViolation("a planned stop of %s cut job %s %d ms after it was sent, started %t",
					p.name, r.job.id, r.closedAt.Sub(r.sentAt).Milliseconds(), started)
			}
		}
	}
}

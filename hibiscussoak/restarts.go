package hibiscussoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// A worker crashes and restarts under its old ID, and its next incarnation carries out the requests that were meant for the former one.

const (
	// maxHeldTime is the maximum time before a crash from which on requests get no answer.
	maxHeldTime = 140 * time.Millisecond
	minDownTime = 5 * time.Millisecond
	maxDownTime = time.Second
	// maxCutLead is the maximum time between the cut of a VM and the crash of its worker, in either order.
	maxCutLead = 2500 * time.Millisecond
	// In one of oneInRefused crashes connections are refused while the worker is down; in the others requests get no answer.
	oneInRefused    = 2
	restartSequence = 2 << 32
)

// crash is the course of a crash. holdAt and cutAt are times from the start of the fault; cutFor is zero if the VM is not cut off.
type crash struct {
	holdAt, held, down time.Duration
	refused            bool
	cutAt, cutFor      time.Duration
}

// String returns the course as the end of a line of a plan.
func (c crash) String() string {
	return fmt.Sprintf("hold at %v for %v, down %v, refused %t, cut at %v for %v", c.holdAt, c.held, c.down, c.refused, c.cutAt, c.cutFor)
}

// newRestartSeries returns the crashes of a seed, with gaps of up to maxGap.
func newRestartSeries(seed uint64, length, maxGap time.Duration) []fault {
	r := rand.New(rand.NewPCG(seed, restartSequence))
	upTo := func(d time.Duration) time.Duration {
		return time.Duration(r.Int64N(int64(d))).Truncate(time.Millisecond)
	}
	var series []fault
	for at := warmUp; ; at += upTo(maxGap) {
		f := fault{at: at, kind: faultWorkerCrashes + faultKind(r.IntN(int(faultKindCount-faultWorkerCrashes))), target: r.IntN(1000)}
		// Short times are the most likely ones: after them most tasks that were placed again still run.
		c := crash{held: upTo(maxHeldTime), down: minDownTime + upTo(upTo(maxDownTime-minDownTime)+time.Millisecond)}
		c.refused = r.IntN(oneInRefused) == 0
		if f.kind == faultCutWorkerCrashes {
			lead := upTo(2*maxCutLead) - maxCutLead
			c.holdAt, c.cutAt, c.cutFor = max(lead, 0), max(-lead, 0), minFaultDuration+upTo(maxFaultDuration-minFaultDuration)
		}
		f.crash, f.duration = c, max(c.holdAt+c.held+c.down, c.cutAt+c.cutFor)
		if at+f.duration > length {
			return series
		}
		series = append(series, f)
	}
}

// crashAndRestart makes a worker crash and restart, unless it is doing so already.
func (d *deployment) crashAndRestart(ctx context.Context, n *workerNode, c crash) {
	if !n.crashing.CompareAndSwap(false, true) {
		return
	}
	defer n.crashing.Store(false)
	var cut sync.WaitGroup
	defer cut.Wait()
	if c.cutFor > 0 {
		cut.Go(func() {
			d.sleep(ctx, c.cutAt)
			for _, e := range d.entries {
				e.sessionProxy.dropFrom(n.process, c.cutFor)
			}
			d.setModeFor(ctx, n.storeProxy, modeDropAll, c.cutFor)
			n.storeProxy.resetAll()
		})
	}
	d.sleep(ctx, c.holdAt)
	n.worker.HoldRequests()
	d.sleep(ctx, c.held)
	n.worker.Crash()
	if c.refused {
		n.workerProxy.closeListener()
	}
	d.sleep(ctx, c.down)
	if c.refused {
		if err := n.workerProxy.reopen(); err != nil {
			d.checks.addViolation("%s can't be reached again: %v", n.name, err)
		}
	}
	n.worker.Restart()
	d.announceOnce(ctx, n)
}

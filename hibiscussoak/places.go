package hibiscussoak

import (
	"context"
	"net/http"
	"sync"
	"time"

	"hibiscusrouter/platform/hibiscusplatformstandin"
)

const (
	// minPlaceDuration is the minimum time for which a domain is evacuated or a worker leaves, so that starts after the bounds are seen.
	minPlaceDuration = 2500 * time.Millisecond
	// noticeTime is what a worker announces as the time until it leaves.
	noticeTime = 2100 * time.Millisecond
)

// domains are the failure domains; entries and workers alternate between them. speeds are those of the workers, in rotation.
var (
	domains = []string{"a", "b"}
	speeds  = []float64{1, 0.6, 1.3}
)

// evacuate evacuates a failure domain for a time, unless it is evacuated already, and returns when it was taken back.
func (d *deployment) evacuate(ctx context.Context, target int, duration time.Duration) time.Time {
	i := target % len(domains)
	if !d.evacuated[i].CompareAndSwap(false, true) {
		return time.Now()
	}
	defer d.evacuated[i].Store(false)
	d.store.Put("op", "evacuate/"+domains[i], "{}")
	from := time.Now()
	d.sleep(ctx, duration)
	to := time.Now()
	d.history.addEvacuation(domains[i], from, to)
	d.store.Delete("op", "evacuate/"+domains[i])
	return to
}

// leave makes a worker announce that it leaves, unless it is leaving already, and replaces it by a new one after a time.
func (d *deployment) leave(ctx context.Context, n *workerNode, duration time.Duration) {
	if !n.leaving.CompareAndSwap(false, true) {
		return
	}
	defer n.leaving.Store(false)
	began := time.Now()
	n.worker.LeaveAfter(noticeTime)
	for time.Since(began) < duration && ctx.Err() == nil {
		if d.announceOnce(ctx, n) {
			from := time.Now()
			d.sleep(ctx, time.Until(began.Add(duration)))
			d.history.addNotice(n.name, from, time.Now())
			break
		}
		d.sleep(ctx, restartDelay)
	}
	n.worker.Replace()
	d.announceOnce(ctx, n)
}

// checkPlaces evacuates a domain while a worker leaves, under load and without any other fault at that time. The domain must get tasks
// again after it was taken back.
func (d *deployment) checkPlaces(ctx context.Context, seed uint64) {
	d.sleep(ctx, contactTime)
	target := int(seed % uint64(len(domains)))
	// With an even number of workers it is in the other domain.
	worker := d.workers[(seed+1)%uint64(len(d.workers))]
	d.checks.logf("calm evacuation of %s and leave of %s", domains[target], worker.name)
	var leaves sync.WaitGroup
	leaves.Go(func() { d.leave(ctx, worker, 2*noticeBound) })
	takenBackAt := d.evacuate(ctx, target, 2*evacuationBound)
	for ctx.Err() == nil && !d.startedIn(domains[target], takenBackAt) {
		if time.Since(takenBackAt) > applyTimeout {
			d.checks.addViolation("domain %s gets no tasks %v after it was taken back", domains[target], applyTimeout)
			break
		}
		d.sleep(ctx, probeInterval)
	}
	leaves.Wait()
}

func (d *deployment) startedIn(domain string, since time.Time) bool {
	places := d.workerPlaces()
	for _, r := range d.observer.Runs() {
		if places[r.Worker()].domain == domain && r.RequestedAt().After(since) {
			return true
		}
	}
	// Without a worker in the domain there is nothing to see.
	for _, p := range places {
		if p.domain == domain {
			return false
		}
	}
	return true
}

func (d *deployment) workerPlaces() map[string]workerPlace {
	places := map[string]workerPlace{}
	for _, n := range d.workers {
		places[n.name] = workerPlace{domain: n.domain, agent: n.process.name}
	}
	return places
}

// placeViolations returns the violated invariants of the whole run that concern places and cancellations.
func (d *deployment) placeViolations() []string {
	var entries []string
	for _, e := range d.entries {
		entries = append(entries, e.process.name)
	}
	judged, all := d.history.judgedEvacuations(d.workerPlaces(), entries)
	d.checks.logf("%d of %d evacuations of a worker are judged", judged, all)
	return d.history.violations(d.observer.Runs(), d.workerPlaces(), entries, time.Now())
}

// disturbedBy returns the processes that a fault suspends, ends or cuts off from the store or from other processes.
func (d *deployment) disturbedBy(x fault) []string {
	processes, entry := d.processes(), d.entries[x.target%len(d.entries)].process.name
	switch x.kind {
	case faultKill, faultStop, faultPause:
		return []string{processes[x.target%len(processes)].name}
	case faultKillMany:
		var names []string
		for i, p := range processes {
			if i%2 == x.target%2 {
				names = append(names, p.name)
			}
		}
		return names
	case faultDelaySession, faultResetSession, faultSilentSession, faultOneWaySession, faultStoreSilent, faultStoreRefused:
		return []string{entry}
	case faultCutWorkerCrashes:
		return []string{d.workers[x.target%len(d.workers)].process.name}
	default:
		return nil
	}
}

// cancel deletes a job at an entry after a delay. Any 2xx answer is a promise that nothing of the job runs later on.
func (l *clients) cancel(ctx context.Context, client *http.Client, entry *entryNode, job string, delay time.Duration) {
	l.deployment.sleep(ctx, delay)
	call, cancel := context.WithTimeout(ctx, jobDeadline)
	defer cancel()
	answer, err := hibiscusplatformstandin.Send(call, client, http.MethodDelete, entry.callerProxy.listener.Addr().String(), jobPrefix+job, "",
		jobDeadline)
	switch {
	case err != nil:
		l.checks.count("cancel without an answer")
	case answer.Status()/100 == 2:
		l.deployment.history.addCancellation(job, time.Now())
		l.checks.count("cancelled")
	default:
		l.checks.checkCancelAnswer(job, answer.Status())
	}
}

// checkCancelAnswer checks the status of an answer to a DELETE that is not 2xx.
func (c *checks) checkCancelAnswer(job string, status int) {
	switch status {
	case http.StatusGone, http.StatusNotFound, http.StatusTooManyRequests, http.StatusBadGateway, http.StatusServiceUnavailable,
		http.StatusGatewayTimeout:
		c.count("not cancelled")
	default:
		c.addViolation("the DELETE of job %s is answered %d", job, status)
	}
}

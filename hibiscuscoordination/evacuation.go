package hibiscuscoordination

import (
	"slices"
	"time"

	"hibiscusrouter/hibiscusscheduling"
	"hibiscusrouter/hibiscusstate"
)

// An operator evacuates a failure domain: no task may start on its workers until the domain is taken back. The operator's request is a row
// of the table. Every entry reads it, stops using the workers, and sends the set of evacuated domains to the processes that announced an
// older one; every process keeps the set with the highest revision. The agents of the domain reject orders, so that an entry that does
// not know the set, because it was paused or is cut off from the table, starts nothing there either.

const (
	// evacuationRevision is the first revision of the protocol with evacuation messages. Earlier processes end a session at one.
	evacuationRevision = 3
	// evacuationResendDelay is the delay before the set is sent again to a process whose session took no message. A task must not
	// start 2 s after the request was stored.
	evacuationResendDelay = 200 * time.Millisecond
)

// evacuatedDomains is the set of a process. Its methods are called by the event loop.
type evacuatedDomains struct {
	set hibiscusscheduling.Evacuation
	// resendDue is when the set is sent again, the zero time while all sessions took it.
	resendDue time.Time
	changes   uint64
}

// accept stores a set with a higher revision, and reports whether it was one and whether the domains are others.
func (d *evacuatedDomains) accept(next hibiscusscheduling.Evacuation) (accepted, changed bool) {
	if !next.Replaces(d.set) {
		return false, false
	}
	changed = !next.SameDomains(d.set)
	if changed {
		d.changes++
	}
	d.set = next
	return true, changed
}

// send sends the set to a process that lacks it.
func (d *evacuatedDomains) send(now time.Time, p *Peer) {
	if p.Hello().Revision() < evacuationRevision || !d.set.NewTo(p.evacuation) {
		return
	}
	if !p.Send(NewEvacuationMessage(d.set)) {
		d.resendDue = now.Add(evacuationResendDelay)
		return
	}
	p.evacuation = d.set.Announced()
}

// open sends the set to a process whose session has opened. The hello of this process may have named a set that was taken back since; an
// agent offers no slots until it has heard of that.
func (d *evacuatedDomains) open(now time.Time, p *Peer) {
	if d.changes > 0 && d.set.Empty() && p.evacuation == 0 && p.Hello().Revision() >= evacuationRevision {
		p.Send(NewEvacuationMessage(d.set))
		return
	}
	d.send(now, p)
}

// takeResend reports whether the set must be sent again to the processes that lack it.
func (d *evacuatedDomains) takeResend(now time.Time) bool {
	if d.resendDue.IsZero() || now.Before(d.resendDue) {
		return false
	}
	d.resendDue = time.Time{}
	return true
}

// Evacuate stores a set of evacuated domains that was read from the table, if its revision is higher, and sends it to the other processes.
func (e *Entry) Evacuate(set hibiscusscheduling.Evacuation) error {
	return e.loop.post(func(now time.Time) { e.applyEvacuation(now, set, "table") })
}

// Evacuation returns the evacuated domains.
func (e *Entry) Evacuation() (hibiscusscheduling.Evacuation, error) {
	return runAndWait(e.loop, func(time.Time) hibiscusscheduling.Evacuation { return e.evacuated.set })
}

func (e *Entry) applyEvacuation(now time.Time, set hibiscusscheduling.Evacuation, source string) {
	accepted, changed := e.evacuated.accept(set)
	if !accepted {
		return
	}
	if changed {
		e.dispatcher.SetEvacuation(now, set, source)
	}
	e.sendEvacuation(now)
}

// sendEvacuation sends the set to all processes that lack it.
func (e *Entry) sendEvacuation(now time.Time) {
	e.eachPeer(func(p *Peer) { e.evacuated.send(now, p) })
}

// handleEvacuation handles the set of another process. One with an older set is sent this one.
func (e *Entry) handleEvacuation(now time.Time, p *Peer, set hibiscusscheduling.Evacuation) {
	p.evacuation = set.Announced()
	e.applyEvacuation(now, set, p.Hello().Address())
	e.evacuated.send(now, p)
}

// SetEvacuation sets the evacuated domains; source is the process from which they were learned, or the table.
func (d *Dispatcher) SetEvacuation(now time.Time, set hibiscusscheduling.Evacuation, source string) {
	d.evacuation = set
	found := map[string]bool{}
	workers := 0
	for _, a := range d.workers {
		if set.Has(a.worker.Domain()) {
			found[a.worker.Domain()] = true
			workers++
			d.requeueOrders(now, a)
		}
		d.updateAvailability(a)
	}
	unmatched := slices.DeleteFunc(slices.Clone(set.Domains()), func(domain string) bool { return found[domain] })
	d.log.Info("evacuation: set of domains in force", "revision", set.Revision(), "domains", set.Domains(), "source", source,
		"workers", workers, "of_workers", len(d.workers), "without_workers", unmatched)
	if workers > 0 && workers == len(d.workers) {
		d.log.Warn("evacuation: all workers are in evacuated domains, jobs are refused", "workers", workers)
	}
	d.refuseEvacuated(now)
	d.dispatchAll(now)
}

// updateAvailability sets the health of a worker from what its agent reported and from the evacuated domains.
func (d *Dispatcher) updateAvailability(a *assignment) {
	switch c := a.capacity; {
	case c.leaving:
		if a.worker.Health() != hibiscusstate.HealthLeaving {
			d.event(NewWorkerEvent(hibiscusstate.EventWorkerLeaving, a.worker, "the endpoint is leaving"))
		}
		a.worker.SetHealth(hibiscusstate.HealthLeaving, "the endpoint is leaving")
	case c.drained:
		a.worker.SetHealth(hibiscusstate.HealthLeaving, "an operator drained the endpoint")
	case d.evacuation.Has(a.worker.Domain()):
		a.worker.SetHealth(hibiscusstate.HealthLeaving, "an operator evacuated the failure domain")
	case a.worker.Health() == hibiscusstate.HealthLeaving:
		a.worker.SetHealth(hibiscusstate.HealthGood, "")
	}
	a.update()
}

// checkEvacuation refuses a job while all endpoints of its service are in evacuated domains.
func (d *Dispatcher) checkEvacuation(s *Submission) *Answer {
	p := d.pool(s.service)
	if !d.isEvacuated(p) {
		return nil
	}
	return d.refuse(s, hibiscusstate.RefusalNoWorkers, evacuatedReason(p), noWorkersRetryAfter)
}

func evacuatedReason(p *pool) string {
	return "all failure domains with endpoints of service \"" + p.service + "\" are evacuated"
}

// isEvacuated reports whether a service has endpoints, and all of them are in evacuated domains.
func (d *Dispatcher) isEvacuated(p *pool) bool {
	if d.evacuation.Empty() || p.liveSlots > 0 {
		return false
	}
	evacuated := false
	for i := range p.heap.Len() {
		w := p.heap.At(i)
		if !w.Connected() || w.Slots() == 0 {
			continue
		}
		if !d.evacuation.Has(w.Domain()) {
			return false
		}
		evacuated = true
	}
	return evacuated
}

func hasTasksAtWorkers(job *hibiscusstate.Job) bool {
	for i := range job.Len() {
		if phase := job.Task(i).Phase(); phase != hibiscusstate.PhaseQueued && phase != hibiscusstate.PhaseDone {
			return true
		}
	}
	return false
}

// refuseEvacuated ends the jobs that wait for a service whose endpoints are all in evacuated domains: an evacuation lasts longer than
// callers wait. Jobs with tasks at workers go on until these have ended or come back.
func (d *Dispatcher) refuseEvacuated(now time.Time) {
	if d.evacuation.Empty() {
		return
	}
	for _, p := range d.pools {
		if p.queue.Len() == 0 || !d.isEvacuated(p) {
			continue
		}
		ended := 0
		for _, r := range slices.Clone(d.deadlines) {
			if r.job.Service() == p.service && !hasTasksAtWorkers(r.job) {
				d.abandonQueued(r, evacuatedReason(p))
				d.finish(now, r)
				ended++
			}
		}
		if ended > 0 {
			d.log.Info("evacuation: waiting jobs are ended, all endpoints are in evacuated domains", "service", p.service, "jobs", ended)
		}
	}
}

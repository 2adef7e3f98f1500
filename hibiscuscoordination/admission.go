package hibiscuscoordination

import (
	"fmt"
	"time"

	"hibiscusrouter/hibiscusscheduling"
	"hibiscusrouter/hibiscusstate"
)

// Admission decides at once whether a job is admitted or refused with all its tasks. A refused job leaves no record, so that it
// is certainly not run, and its key may be used again.

const (
	// minRetryAfter is the smallest retry delay that a refusal suggests.
	minRetryAfter = 50 * time.Millisecond
	// noWorkersRetryAfter is the retry delay while a service has no endpoint; endpoints announce themselves every second.
	noWorkersRetryAfter = 250 * time.Millisecond
	// startGrace is how long after the start of an entry named jobs are admitted without a connected worker: agents open their
	// sessions within 0.3 s, and report their endpoints, which may have started with them, a round trip later.
	startGrace = 1500 * time.Millisecond
	// growthInterval is how long after the last new capacity the capacity of a starting entry still counts as unknown. The agents of a
	// site open their sessions one after the other.
	growthInterval = 150 * time.Millisecond
	// stopFactor times its longest expected task is the time that a job must have left at a stopping entry, or it is refused.
	stopFactor = 3
	// backlogFactor is the safety factor on the estimated run time of the backlog. Later jobs with earlier deadlines, of other
	// teams and at other entries take part of the slots; with 1, 3% of the slots worked for late answers.
	backlogFactor = 2.5
	// onTimeLoadDecay is the decay time of the on-time load; the users' load doubles within a second.
	onTimeLoadDecay = 500 * time.Millisecond
	// scanLimit bounds the queued tasks that an estimate scans one by one, which takes some microseconds.
	scanLimit = 1024
	// retryTokenRatio is how many retry tokens each admitted first attempt adds, of at most maxRetryTokens. While the service is
	// overloaded each retry takes one; without this limit the retries of refused callers prolong a load peak.
	retryTokenRatio = 0.1
	maxRetryTokens  = 100.0
)

// admit returns the refusal of a submission, nil when it is admitted.
func (d *Dispatcher) admit(now time.Time, s *Submission) *Answer {
	if d.draining && !d.canFinishBeforeStop(now, s) {
		return d.refuse(s, hibiscusstate.RefusalDraining, "this entry is stopping; ask again through the balancer", minRetryAfter)
	}
	if d.configuration == nil {
		return d.refuse(s, hibiscusstate.RefusalNotReady, "this entry has no configuration yet", time.Second)
	}
	if refusal := d.validate(s); refusal != nil {
		return refusal
	}
	if refusal := d.checkWorkers(now, s); refusal != nil {
		return refusal
	}
	if refusal := d.checkLimits(s); refusal != nil {
		return refusal
	}
	if refusal := d.checkDeadline(now, s); refusal != nil {
		return refusal
	}
	return d.checkRetryBudget(s)
}

// canFinishBeforeStop reports whether a stopping entry can still finish a named job before its process ends. Clients keep their
// connections until then, and the load balancer may have no other entry in their failure domain.
func (d *Dispatcher) canFinishBeforeStop(now time.Time, s *Submission) bool {
	if d.stopBy.IsZero() || s.name == "" || d.configuration == nil {
		return false
	}
	p := d.pool(s.service)
	longest := time.Duration(0)
	for _, t := range s.tasks {
		expected, _ := p.runTimes.Expect(t.Kind(), len(t.Payload()), d.declared(s.service, t.Kind(), t.Declared()))
		longest = max(longest, expected, t.Declared())
	}
	return now.Add(stopFactor * longest).Before(d.stopBy)
}

// validate refuses a submission that can't be run under the configuration in force, whatever the load.
func (d *Dispatcher) validate(s *Submission) *Answer {
	document := d.configuration.Document()
	service, ok := document.Service(s.service)
	if !ok {
		return d.refuse(s, hibiscusstate.RefusalUnknownService,
			fmt.Sprintf("service %q does not exist; check its name with the operators", s.service), 0)
	}
	if _, ok := document.Team(s.team); !ok {
		return d.refuse(s, hibiscusstate.RefusalUnknownTeam, fmt.Sprintf("team %q does not exist; check its name with the operators", s.team), 0)
	}
	if len(s.tasks) == 0 {
		return d.refuse(s, hibiscusstate.RefusalBadRequest, "the job has no tasks; give at least one", 0)
	}
	if len(s.tasks) > maxTasks {
		return d.refuse(s, hibiscusstate.RefusalTooManyTasks,
			fmt.Sprintf("a job has at most %d tasks, this one has %d; split it into several jobs", maxTasks, len(s.tasks)), 0)
	}
	for i, t := range s.tasks {
		if _, ok := service.Kind(t.Kind()); !ok {
			return d.refuse(s, hibiscusstate.RefusalUnknownKind,
				fmt.Sprintf("task %d: service %q has no kind %q; check its name with the operators", i, s.service, t.Kind()), 0)
		}
	}
	return nil
}

// checkWorkers refuses a job that no worker can run, and a job that would fail because a dependency is down.
func (d *Dispatcher) checkWorkers(now time.Time, s *Submission) *Answer {
	if d.pool(s.service).slots == 0 && (s.name == "" || now.Sub(d.startedAt) > startGrace) {
		return d.refuse(s, hibiscusstate.RefusalNoWorkers, fmt.Sprintf("service %q has no endpoint", s.service), noWorkersRetryAfter)
	}
	if largest := d.pool(s.service).maxWorkerSlots; largest > 0 {
		// A task that fits no worker would block the queue until its deadline.
		for i, t := range s.tasks {
			if t.Resources().Slots() > largest {
				return d.refuse(s, hibiscusstate.RefusalNoWorkers, fmt.Sprintf("task %d takes %d slots, no endpoint of service %q has more than %d",
					i, t.Resources().Slots(), s.service, largest), noWorkersRetryAfter)
			}
		}
	}
	if refusal := d.checkEvacuation(s); refusal != nil {
		return refusal
	}
	service, _ := d.configuration.Document().Service(s.service)
	for _, dependency := range service.DependsOn() {
		if d.pool(dependency).slots == 0 {
			return d.refuse(s, hibiscusstate.RefusalDependencyDown,
				fmt.Sprintf("service %q needs service %q, which has no endpoint", s.service, dependency), noWorkersRetryAfter)
		}
	}
	return nil
}

// checkLimits refuses a job that would exceed the memory of this entry or the quota of the team.
func (d *Dispatcher) checkLimits(s *Submission) *Answer {
	p := d.pool(s.service)
	if len(d.jobs)-d.finishedJobs.Len() >= maxJobs || d.recordBytes >= d.maxRecordBytes || p.queue.Len()+len(s.tasks) > maxQueuedTasks {
		return d.refuse(s, hibiscusstate.RefusalQueueFull, "this entry's queue is full", d.drainTime(p))
	}
	team, _ := d.configuration.Document().Team(s.team)
	if team.MaxQueued() > 0 && p.queue.TeamLen(s.team) > 0 && p.queue.TeamLen(s.team)+len(s.tasks) > team.MaxQueued() {
		return d.refuse(s, hibiscusstate.RefusalOverQuota,
			fmt.Sprintf("team %q has %d tasks waiting, its quota is %d", s.team, p.queue.TeamLen(s.team), team.MaxQueued()),
			d.drainTime(p))
	}
	return nil
}

// isGrowing reports whether an entry that has just started is still learning which workers there are. After a loss of power of all
// VMs, clients return before the agents have connected, and a capacity of the first few workers would make it refuse jobs that the others
// have room for a moment later.
func (d *Dispatcher) isGrowing(now time.Time, p *pool) bool {
	return now.Sub(d.startedAt) <= startGrace && now.Sub(p.grewAt) <= growthInterval
}

// checkObjective refuses a job with an objective that has no place in the capacity of the next seconds.
func (d *Dispatcher) checkObjective(
	now time.Time, s *Submission, p *pool, work, longest, objective time.Duration,
) *Answer {
	s.late = false
	if d.isGrowing(now, p) {
		return nil
	}
	kind := s.tasks[0].Kind()
	if p.queue.Len() == 0 {
		p.emptyAt = now
	}
	request := hibiscusscheduling.NewRequest(work, longest, min(objective, d.budget(s)), min(lateFactor*objective, d.budget(s))).
		WithTopPriority(d.kind(s.service, kind).TopPriority()).WithStrictness(p.strictness(kind, s.team))
	load := p.load(now)
	a := hibiscusscheduling.Assess(now, &p.forecast, load, request)
	verdict := a.Verdict()
	if p.queue.Len() == 0 {
		verdict = hibiscusscheduling.VerdictInTime
	}
	p.admissions.countVerdict(verdict)
	if verdict == hibiscusscheduling.VerdictInTime {
		p.onTimeLoad = p.onTimeLoadAt(now) + float64(work)/float64(onTimeLoadDecay)
		p.onTimeLoadUpdatedAt = now
		p.observeShares(kind, s.team, work, true)
		return nil
	}
	s.late = verdict == hibiscusscheduling.VerdictLate
	p.observeShares(kind, s.team, work, s.late)
	if s.late {
		return nil
	}
	return d.refuse(s, hibiscusstate.RefusalTooLate,
		fmt.Sprintf("the job would be done in %d ms, it is of use for %d ms; %d ms of work wait for %.0f slots, %.0f of them spare, %d ms ago",
			a.Needed().Milliseconds(), a.Useful().Milliseconds(), p.queue.Work().Milliseconds(), a.Slots(), a.Spare(),
			now.Sub(p.observedAt).Milliseconds()),
		hibiscusscheduling.RetryAfter(&p.forecast, p.observeShortage(now), d.drainTime(p)))
}

// checkDeadline refuses a job that can't be done before its deadline. While the queue is empty, every job is admitted: its
// declared or estimated run times may be too long, and only a run corrects them.
func (d *Dispatcher) checkDeadline(now time.Time, s *Submission) *Answer {
	p := d.pool(s.service)
	work := time.Duration(0)
	longest := time.Duration(0)
	for _, t := range s.tasks {
		expected, _ := p.runTimes.Expect(t.Kind(), len(t.Payload()), d.declared(s.service, t.Kind(), t.Declared()))
		work += expected * time.Duration(t.Resources().Slots())
		longest = max(longest, expected)
	}
	if p.slots == 0 {
		// The process has just started, and its agents have not connected yet.
		return nil
	}
	capacity := d.capacity(p)
	if objective := d.kind(s.service, s.tasks[0].Kind()).Objective(longest); objective > 0 {
		return d.checkObjective(now, s, p, work, longest, objective)
	}
	share := p.queue.TeamShare(s.team)
	backlog := min(float64(p.queue.Work()), float64(p.queue.TeamWork(s.team))/share)
	needed := time.Duration((backlogFactor*backlog+float64(work))/capacity) + longest
	if needed > d.budget(s) && p.queue.Len() > 0 {
		return d.refuse(s, hibiscusstate.RefusalTooLate,
			fmt.Sprintf("the job would be done in %d ms, its deadline is in %d ms", needed.Milliseconds(), d.budget(s).Milliseconds()),
			max(needed-d.budget(s), minRetryAfter))
	}
	return nil
}

// budget returns the time until the deadline: that of the submission, or the longest of its kinds.
func (d *Dispatcher) budget(s *Submission) time.Duration {
	if s.budget > 0 {
		return s.budget
	}
	budget := time.Duration(0)
	for _, t := range s.tasks {
		budget = max(budget, d.kind(s.service, t.Kind()).Deadline())
	}
	if budget == 0 {
		return defaultDeadline
	}
	return budget
}

// declared returns the run time that the caller declared, or that of the kind when the caller declared none.
func (d *Dispatcher) declared(service, kind string, declared time.Duration) time.Duration {
	if declared > 0 {
		return declared
	}
	return d.kind(service, kind).RunTime()
}

// checkRetryBudget limits retries to their budget while the queued tasks of the service need more slots than it has.
func (d *Dispatcher) checkRetryBudget(s *Submission) *Answer {
	p := d.pool(s.service)
	if s.attempt <= 1 {
		p.retryTokens = min(p.retryTokens+retryTokenRatio, maxRetryTokens)
		return nil
	}
	if p.queue.Slots() <= p.slots {
		return nil
	}
	if p.retryTokens < 1 {
		return d.refuse(s, hibiscusstate.RefusalRetryBudget, "too many later tries while the service is overloaded", d.drainTime(p))
	}
	p.retryTokens--
	return nil
}

// capacity returns the number of slots that this entry can use. The observed average takes a second to follow a loss of
// workers; the live slots bound it at once.
func (d *Dispatcher) capacity(p *pool) float64 {
	if p.usableSlots == 0 {
		return max(float64(p.liveSlots)/float64(len(d.entries)), 1)
	}
	return max(min(p.usableSlots, float64(p.liveSlots)), 1)
}

// drainTime returns how long the queue of a service takes to empty at its current capacity.
func (d *Dispatcher) drainTime(p *pool) time.Duration {
	return max(time.Duration(float64(p.queue.Work())/d.capacity(p)), minRetryAfter)
}

// refuse returns a refusal of a submission that is certainly not run. The retry delay is extended by up to its own length at
// random, so that callers that were refused together don't retry together.
func (d *Dispatcher) refuse(s *Submission, refusal hibiscusstate.Refusal, message string, retryAfter time.Duration) *Answer {
	a := NewRefusal(s.key, refusal, true, message)
	if retryAfter > 0 {
		a.WithRetryAfter(retryAfter + d.jitter(retryAfter))
	}
	return a
}

package hibiscuscoordination

import (
	"fmt"
	"time"

	"hibiscusrouter/hibiscusstate"
)

// Admission decides at once whether a job is taken whole or refused whole. A refused job has left no trace, so that "not
// run" is true, and its key may be used again.

const (
	// minRetryAfter is the smallest retry hint.
	minRetryAfter = 50 * time.Millisecond
	// noWorkersRetryAfter is the hint while a service has no endpoint; they announce themselves every second.
	noWorkersRetryAfter = 250 * time.Millisecond
	// startGrace is how long after the start of an entry named jobs are taken while no worker is connected: agents open their
	// sessions within 0.3 s, and their endpoints, which may have started with them, are known a round trip later.
	startGrace = 1500 * time.Millisecond
	// stopFactor is how many times its longest expected task a job must have left at a stopping entry; a longer one is cut.
	stopFactor = 3
	// backlogFactor is how much longer than its estimate the work ahead is taken to last. Jobs with earlier deadlines, other
	// teams and other entries that come later take part of the slots; with 1, 3% of the slots worked for late answers.
	backlogFactor = 2.5
	// objectiveBacklogFactor is the same for the work that is due before a job with an objective: later jobs don't go before it.
	objectiveBacklogFactor = 2
	// onTimeLoadDecay is over which time the work is followed that was admitted to be in time: the users' load doubles within a second.
	onTimeLoadDecay = 500 * time.Millisecond
	// minSpareFraction is the part of its capacity that an entry always counts on for late jobs.
	minSpareFraction = 0.05
	// maxRetryAfter bounds the hint of a job that can't be done late either; the users' crests last a few seconds.
	maxRetryAfter = 5 * time.Second
	// scanLimit bounds the waiting tasks that an estimate looks at one by one, to some microseconds.
	scanLimit = 1024
	// retryTokenRatio is the part of admitted first tries that later tries may add while tasks wait, and maxRetryTokens how many
	// may come at once; without it the refused callers of a surge keep it up by coming back.
	retryTokenRatio = 0.1
	maxRetryTokens    = 100.0
)

// admit returns the refusal of a submission, nil when it is taken.
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

// canFinishBeforeStop says whether a stopping entry can still finish a named job before its process ends. Clients keep their
// connections until then, and the balancer may have no other entry in their failure domain.
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

// check refuses what no state of the system could run.
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

// checkWorkers refuses work that has nowhere to go, and work whose dependencies are down and would fail.
func (d *Dispatcher) checkWorkers(now time.Time, s *Submission) *Answer {
	if d.pool(s.service).slots == 0 && (s.name == "" || now.Sub(d.startedAt) > startGrace) {
		return d.refuse(s, hibiscusstate.RefusalNoWorkers, fmt.Sprintf("service %q has no endpoint", s.service), noWorkersRetryAfter)
	}
	if largest := d.pool(s.service).maxWorkerSlots; largest > 0 {
		// A task that fits nowhere would be held until its deadline, with the tasks behind it.
		for i, t := range s.tasks {
			if t.Resources().Slots() > largest {
				return d.refuse(s, hibiscusstate.RefusalNoWorkers, fmt.Sprintf("task %d takes %d slots, no endpoint of service %q has more than %d",
					i, t.Resources().Slots(), s.service, largest), noWorkersRetryAfter)
			}
		}
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

// checkLimits refuses what would exceed the memory of this entry or the quota of the team.
func (d *Dispatcher) checkLimits(s *Submission) *Answer {
	p := d.pool(s.service)
	if len(d.jobs)-d.finishedJobs.Len() >= maxJobs || d.recordBytes >= maxJobBytes || p.queue.Len()+len(s.tasks) > maxQueuedTasks {
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

// checkObjective refuses a job with an objective that can be done neither in time nor late enough to be of use. In time it
// waits only for what is due before it; late it waits for all that is there, and for some of what comes.
func (d *Dispatcher) checkObjective(
	now time.Time, s *Submission, p *pool, work, longest, objective time.Duration,
) *Answer {
	capacity := d.capacity(p)
	ahead := float64(p.queue.WorkBefore(now.Add(objective), d.kind(s.service, s.tasks[0].Kind()).TopPriority(), scanLimit))
	if time.Duration((objectiveBacklogFactor*ahead+float64(work))/capacity)+longest <= objective || p.queue.Len() == 0 {
		p.onTimeLoad = p.onTimeLoadAt(now) + float64(work)/float64(onTimeLoadDecay)
		p.onTimeLoadUpdatedAt = now
		return nil
	}
	// Late jobs get what those leave that are admitted to be in time.
	spare := max(capacity-p.onTimeLoadAt(now), capacity*minSpareFraction)
	needed := max(time.Duration((backlogFactor*float64(p.queue.Work())+float64(work))/capacity),
		time.Duration((float64(p.queue.Work())+float64(work))/spare)) + longest
	useful := min(lateFactor*objective, d.budget(s))
	if needed <= useful {
		return nil
	}
	return d.refuse(s, hibiscusstate.RefusalTooLate,
		fmt.Sprintf("the job would be done in %d ms, it is of use for %d ms; %d ms of work wait for %.0f slots, %.0f of them spare",
			needed.Milliseconds(), useful.Milliseconds(), p.queue.Work().Milliseconds(), capacity, spare),
		min(max(needed-useful, minRetryAfter), maxRetryAfter))
}

// checkDeadline refuses at once what can't be in time. While nothing waits, every job is taken: its run times may be
// declared or learned too long, and only a run corrects them.
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
		// The process has just started, and its agents are about to connect.
		return nil
	}
	capacity := d.capacity(p)
	if objective := d.kind(s.service, s.tasks[0].Kind()).Objective(longest); objective > 0 {
		return d.checkObjective(now, s, p, work, longest, objective)
	}
	share := p.queue.TeamShare(s.team)
	ahead := min(float64(p.queue.Work()), float64(p.queue.TeamWork(s.team))/share)
	needed := time.Duration((backlogFactor*ahead+float64(work))/capacity) + longest
	if needed > d.budget(s) && p.queue.Len() > 0 {
		return d.refuse(s, hibiscusstate.RefusalTooLate,
			fmt.Sprintf("the job would be done in %d ms, its deadline is in %d ms", needed.Milliseconds(), d.budget(s).Milliseconds()),
			max(needed-d.budget(s), minRetryAfter))
	}
	return nil
}

// checkRetryBudget holds later tries to their budget while the service has more waiting tasks than slots.
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

// capacity returns the number of slots that this entry can count on. The observed number follows a loss within a second;
// the live slots bound it at once.
func (d *Dispatcher) capacity(p *pool) float64 {
	if p.usableSlots == 0 {
		return max(float64(p.liveSlots)/float64(len(d.entries)), 1)
	}
	return max(min(p.usableSlots, float64(p.liveSlots)), 1)
}

// drainTime returns how long the queue of a service needs at its present capacity.
func (d *Dispatcher) drainTime(p *pool) time.Duration {
	return max(time.Duration(float64(p.queue.Work())/d.capacity(p)), minRetryAfter)
}

// refuse returns a refusal that is certain to be not run; the hint is spread over twice its length, so that callers that
// were refused together don't come back together.
func (d *Dispatcher) refuse(s *Submission, refusal hibiscusstate.Refusal, message string, retryAfter time.Duration) *Answer {
	a := NewRefusal(s.key, refusal, true, message)
	if retryAfter > 0 {
		a.WithRetryAfter(retryAfter + d.jitter(retryAfter))
	}
	return a
}

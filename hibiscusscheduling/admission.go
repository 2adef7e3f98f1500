package hibiscusscheduling

import (
	"time"

	"hibiscusrouter/hibiscusstate"
)

//go:generate stringer -type=Verdict -linecomment -output=admission_string.go

// Verdict is the class of a job with an objective when it arrives, and again when capacity falls.
type Verdict int

// The verdicts.
const (
	VerdictInTime  Verdict = iota // in_time
	VerdictLate                   // late
	VerdictRefused                // refused
)

const (
	// demandFactor is the safety factor on the work that waits before a job: later jobs with earlier start times go before it, and
	// expected run times are wrong by up to 40%.
	demandFactor = 2
	// maxBurst is how long jobs may wait without a break before capacity counts as short: with enough capacity, the queue empties again
	// within some 10 ms, and no job needs to be refused.
	maxBurst = 150 * time.Millisecond
	// ownWorkFraction is the part of its own work that counts before a job's last task starts: its tasks run beside each other. With all
	// of it, the largest jobs of a kind are refused twice as often as the others.
	ownWorkFraction = 0.3
	// lateDemandFactor is the same for a late job, which waits for the whole queue and for most later jobs.
	lateDemandFactor = 2.5
	// minLateFraction is the least fraction of the capacity that jobs in time must leave for a late job to be admitted.
	minLateFraction = 0.2
	// maxLateStrictness is the strictness above which no late job of a flow is admitted while capacity is short. A flow at its target is
	// below it: the served part of a flow changes by a percent between two divisions, which this is the sixth power of.
	maxLateStrictness = 1.1
	// startMargin is the fraction of its longest expected run time that a job should start earlier than it has to, because run times are
	// expected with errors of up to 40%, and minStartFraction is the part of its slack that it has to wait at least.
	startMargin      = 0.3
	minStartFraction = 0.5
	// minStartTime is the least time that waiting work is assumed to have until its start. Jobs that have to start soon are about to be
	// served; with 40 ms they blocked the kind of top priority, of which 0.75 was served while others got 0.80 to 0.83.
	minStartTime = 200 * time.Millisecond
	// minRetry and maxRetry bound the suggested retry delays. Peaks of the users' load last 3 to 10 s.
	minRetry = 250 * time.Millisecond
	maxRetry = 5 * time.Second
)

// Request is a job with an objective that is to be classified: its work in slots times run time, its longest expected task, its
// objective, how long its answer is of use, whether it goes before jobs without top priority, and the strictness of its kind's share.
type Request struct {
	work        time.Duration
	longest     time.Duration
	objective   time.Duration
	useful      time.Duration
	topPriority bool
	strictness  float64
}

// NewRequest returns a request of ordinary strictness.
func NewRequest(work, longest, objective, useful time.Duration) Request {
	return Request{work: work, longest: longest, objective: objective, useful: useful, strictness: 1}
}

// WithTopPriority returns the request with whether it goes before the jobs without top priority.
func (r Request) WithTopPriority(topPriority bool) Request {
	r.topPriority = topPriority
	return r
}

// WithStrictness returns the request with a factor on the waiting work, above one for a kind that is served better than others.
func (r Request) WithStrictness(strictness float64) Request {
	r.strictness = strictness
	return r
}

// Load is the work that waits at an entry: that of top priority and the rest by start time, all of it with the late jobs, and the load
// of the jobs that were lately admitted as in time, in slots.
type Load struct {
	top        *hibiscusstate.WorkTable
	rest       *hibiscusstate.WorkTable
	waiting    time.Duration
	onTimeLoad float64
	// short means that jobs were lately refused for lack of capacity, and standingFor is how long jobs have been waiting without a break.
	short       bool
	standingFor time.Duration
}

// NewLoad returns the load of an entry.
func NewLoad(top, rest *hibiscusstate.WorkTable, waiting time.Duration, onTimeLoad float64) Load {
	return Load{top: top, rest: rest, waiting: waiting, onTimeLoad: onTimeLoad}
}

// WithShortage returns the load with whether jobs were lately refused for lack of capacity, and for how long jobs have been waiting
// without a break.
func (l Load) WithShortage(short bool, standingFor time.Duration) Load {
	l.short, l.standingFor = short, standingFor
	return l
}

// scarce reports whether capacity is short, and not only in use for a moment.
func (l Load) scarce() bool { return l.short || l.standingFor > maxBurst }

// Assessment is a verdict with its inputs, for the log.
type Assessment struct {
	verdict Verdict
	ahead   time.Duration
	needed  time.Duration
	useful  time.Duration
	slots   float64
	spare   float64
}

// Verdict returns the class of the job.
func (a Assessment) Verdict() Verdict { return a.verdict }

// Ahead returns the waiting work that is served before the job.
func (a Assessment) Ahead() time.Duration { return a.ahead }

// Needed returns the time until the job is expected to be done, with the safety factors.
func (a Assessment) Needed() time.Duration { return a.needed }

// Useful returns how long the answer is of use.
func (a Assessment) Useful() time.Duration { return a.useful }

// Slots returns the capacity that the entry can use, in slots times speed.
func (a Assessment) Slots() float64 { return a.slots }

// Spare returns the part of it that jobs in time leave.
func (a Assessment) Spare() float64 { return a.spare }

// StartIn returns the time within which a job should start to be done at its objective, with a margin for errors of the expected run time.
func StartIn(objective, longest time.Duration) time.Duration {
	slack := objective - longest
	return max(slack-scale(longest, startMargin), scale(slack, minStartFraction))
}

// Assess classifies a job that arrives while others wait.
//
// It handles loads of 1.1 to 1.6 times the capacity for 3 to 10 s. A job is in time if it can start early enough itself and no
// waiting job would start too late because of it. So the queue stays as short as the slack of the waiting jobs, admitted jobs are in
// time, and the rest is refused at once. As all kinds and sizes meet the same full or not full queue, about the same part of each is
// admitted; strictness corrects the difference that remains. A late job is admitted only if jobs in time leave capacity and its flow is not
// served better than others; it waits behind all jobs in time.
func Assess(now time.Time, f *Forecast, l Load, r Request) Assessment {
	startIn := StartIn(r.objective, r.longest)
	startBy := now.Add(startIn)
	a := Assessment{useful: r.useful, slots: f.Slots(0)}
	if r.topPriority {
		a.ahead = l.top.Before(startBy)
	} else {
		a.ahead = l.top.Total() + l.rest.Before(startBy)
	}
	a.spare = a.slots - l.onTimeLoad
	factor := 1.0
	if l.scarce() {
		factor = demandFactor * r.strictness
	}
	a.needed = f.TimeFor(scale(a.ahead, factor)+scale(r.work, ownWorkFraction)) + r.longest
	if a.needed-r.longest > startIn || !leavesOthersInTime(now, f, l, r, factor) {
		a.classifyLate(f, l, l.waiting, r)
	}
	return a
}

// classifyLate classifies a job that is not expected to be in time: it waits for the whole queue and for most later jobs. A job that waits
// alone is not refused unless others were lately: no other one would use the capacity, and expected run times may be too long. others
// is the work of the other jobs.
func (a *Assessment) classifyLate(f *Forecast, l Load, others time.Duration, r Request) {
	a.verdict = VerdictLate
	a.needed = f.TimeFor(l.waiting+r.work) + r.longest
	if !l.scarce() {
		if a.needed > r.useful && others > 0 {
			a.verdict = VerdictRefused
		}
		return
	}
	a.needed = max(f.TimeFor(scale(l.waiting, lateDemandFactor)+r.work),
		time.Duration(float64(l.waiting+r.work)/max(a.spare, 1))) + r.longest
	if (l.short || others > 0) &&
		(r.strictness > maxLateStrictness || a.spare < minLateFraction*a.slots || a.needed > r.useful) {
		a.verdict = VerdictRefused
	}
}

// Reassess classifies a waiting job of which nothing has started, when the work ahead of it may take longer than expected at its
// admission, because capacity has fallen or run times are longer.
func Reassess(f *Forecast, l Load, ahead time.Duration, r Request) Assessment {
	a := Assessment{useful: r.useful, slots: f.Slots(0), spare: f.Slots(0) - l.onTimeLoad, ahead: ahead}
	a.needed = f.TimeFor(ahead+r.work) + r.longest
	if a.needed > r.objective {
		a.classifyLate(f, l, l.waiting-r.work, r)
	}
	return a
}

// ReassessLate classifies a waiting job that is late already and of which nothing has started.
func ReassessLate(f *Forecast, l Load, r Request) Assessment {
	a := Assessment{useful: r.useful, slots: f.Slots(0), spare: f.Slots(0) - l.onTimeLoad, ahead: l.waiting}
	a.classifyLate(f, l, l.waiting-r.work, r)
	return a
}

// leavesOthersInTime reports whether the waiting jobs that go behind a request still start early enough.
func leavesOthersInTime(now time.Time, f *Forecast, l Load, r Request, factor float64) bool {
	behind, before, fits := StartIn(r.objective, r.longest), time.Duration(0), true
	check := func(startIn, work time.Duration) bool {
		if startIn >= behind {
			fits = f.Work(max(startIn, minStartTime)) >= scale(before+work, factor)+scale(r.work, ownWorkFraction)
		}
		return fits
	}
	if r.topPriority {
		l.top.Each(now, check)
		behind = 0
	}
	before = l.top.Total()
	if fits {
		l.rest.Each(now, check)
	}
	return fits
}

// Feasible reports whether all waiting work is expected to start early enough, without a safety factor.
func Feasible(now time.Time, f *Forecast, l Load) bool {
	feasible := true
	before := time.Duration(0)
	check := func(startIn, work time.Duration) bool {
		feasible = f.Work(startIn) >= before+work
		return feasible
	}
	l.top.Each(now, check)
	before = l.top.Total()
	if feasible {
		l.rest.Each(now, check)
	}
	return feasible
}

// RetryAfter returns when a refused caller should try again: when capacity is known to return, otherwise after as long as the shortage
// has lasted, which is the best guess for how long it still lasts. Callers spread it over the same length again.
func RetryAfter(f *Forecast, shortFor, drain time.Duration) time.Duration {
	expected := max(shortFor, drain)
	if rises := f.Rises(); rises > 0 {
		expected = max(rises, drain)
	}
	return min(max(expected, minRetry), maxRetry)
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }

package hibiscuscoordination

import (
	"math"
	"time"

	"hibiscusrouter/hibiscusscheduling"
	"hibiscusrouter/hibiscusstate"
)

// The state of one service at an entry: its queue, its workers, and estimates from both.

const (
	// capacityWeight is the weight of the newest sample in the average of usable slots, one sample each tick.
	capacityWeight = 0.2
	// shortageGap is how long after a refusal for lack of capacity the next one begins a new shortage.
	shortageGap = time.Second
	// taskSlotsWeight is the weight of the newest task in the average number of slots of a task.
	taskSlotsWeight = 1.0 / 32
	// maxPushedViewAge is the age above which the view of a full worker is stale where agents report free slots: such a report can
	// only be lost with its session.
	maxPushedViewAge = 2 * time.Second
)

// pool is the queue and the workers of one service at this entry.
type pool struct {
	service  string
	queue    *hibiscusstate.FairQueue
	runTimes *hibiscusstate.RunTimeEstimator
	heap     *hibiscusstate.WorkerHeap
	// taskSlots is how many slots a task of the service typically takes; a worker with fewer free ones counts as full.
	taskSlots     int
	meanTaskSlots float64
	// maxWorkerSlots is the most slots that an endpoint offers, at most one tick old.
	maxWorkerSlots int
	// slots are the slots of all workers, liveSlots those that currently get work, and longSlots those with long tasks of this entry.
	// usableSlots is the moving average of the slots that this entry can use.
	slots       int
	liveSlots   int
	usableSlots float64
	longSlots   int
	// grewAt is when a worker last offered more slots than before.
	grewAt time.Time
	// onTimeLoad is how many slots are needed for the jobs that were recently admitted as in time, as of onTimeLoadUpdatedAt.
	onTimeLoad          float64
	onTimeLoadUpdatedAt time.Time
	failureRate         float64
	// slowness is the running median of the run times of tasks, relative to the observed mean of such tasks.
	slowness float64
	// reportedSlowness is the median of what the workers' agents report, at most one tick old, zero while too few do. compared is the
	// buffer for it.
	reportedSlowness float64
	compared         []float64
	// speeds compares the speeds of the workers, at most one tick old, ranked is the buffer for it, and meanSpeed the mean speed relative
	// to the median worker.
	speeds    hibiscusscheduling.SpeedComparison
	ranked    []*hibiscusstate.Worker
	meanSpeed float64
	// otherClassRuns counts the runs on workers of other classes than 0.
	otherClassRuns int
	// classes are the states of the speed classes by their position in heap, and fastestSpeed the speed of the fastest one. placer decides
	// on tasks while there are several, and held is the buffer of the tasks that wait for a faster worker.
	classes      [hibiscusscheduling.MaxSpeedClasses]classState
	fastestSpeed float64
	fastestFree  float64
	placer       hibiscusscheduling.Placer
	held         []*hibiscusstate.Task
	// racks are the workers by their rack.
	racks       map[string][]*hibiscusstate.Worker
	retryTokens float64
	// noticed are the workers that are leaving and may still take short tasks.
	noticed []*assignment
	// forecast is the capacity of the next seconds, and kindShares and teamShares are the shares of the jobs with objectives.
	forecast   hibiscusscheduling.Forecast
	kindShares *hibiscusscheduling.Shares
	teamShares *hibiscusscheduling.Shares
	// objectives means that a kind of the service has an objective.
	objectives    bool
	admissions    admissionTotals
	forecastCheck forecastCheck
	// capacityFell means that the capacity has fallen since the waiting jobs were last assessed.
	capacityFell bool
	// shortSince and shortUntil are when jobs were first and last refused for lack of capacity in the current shortage.
	shortSince time.Time
	shortUntil time.Time
	// observedAt is when the forecast was last built anew.
	observedAt time.Time
	// emptyAt is when no job was waiting last.
	emptyAt time.Time
	totals  serviceTotals
}

func (d *Dispatcher) pool(service string) *pool {
	p := d.pools[service]
	if p == nil {
		p = &pool{
			service: service, queue: hibiscusstate.NewFairQueue(), runTimes: hibiscusstate.NewRunTimeEstimator(),
			heap: hibiscusstate.NewWorkerHeap(), taskSlots: 1, slowness: 1, meanSpeed: 1, fastestSpeed: 1,
			kindShares: hibiscusscheduling.NewShares(), teamShares: hibiscusscheduling.NewShares(),
			racks: map[string][]*hibiscusstate.Worker{},
		}
		d.pools[service] = p
	}
	return p
}

// observeTaskSlots updates how many slots a task typically takes. The heap is reordered when that has changed by an eighth.
func (p *pool) observeTaskSlots(slots int) {
	if p.meanTaskSlots == 0 {
		p.meanTaskSlots = float64(slots)
	}
	p.meanTaskSlots += (float64(slots) - p.meanTaskSlots) * taskSlotsWeight
	if typical := int(p.meanTaskSlots); typical > p.taskSlots+p.taskSlots/8 || typical < p.taskSlots-p.taskSlots/8 {
		p.taskSlots = max(typical, 1)
		p.heap.SetMinFreeSlots(p.taskSlots)
	}
}

// maxViewAge returns the age above which the view of a full worker is stale.
func (p *pool) maxViewAge() time.Duration {
	if p.taskSlots > 1 {
		// Agents whose workers run many tasks at once report when they have free slots.
		return maxPushedViewAge
	}
	return max(2*p.runTimes.Median(), tickInterval)
}

// observeUsableSlots updates how many slots this entry can use: those with its tasks and those that are free in its view.
// While several entries have queued work, none gets all slots, and its share can't be computed in advance. While workers are still
// connecting, the average would lag behind them for a second, so it starts anew from an equal share.
func (p *pool) observeUsableSlots(now time.Time, entries int, growing bool, evacuation hibiscusscheduling.Evacuation) {
	slots, own, others := 0, 0, 0
	p.maxWorkerSlots = 0
	p.observedAt = now
	p.forecast.Reset()
	for i := range p.heap.Len() {
		w := p.heap.At(i)
		if !evacuation.Has(w.Domain()) {
			// A task that fits only workers in an evacuated domain would block the queue until its deadline.
			p.maxWorkerSlots = max(p.maxWorkerSlots, w.Slots())
		}
		slots += min(w.InFlightSlots()+max(w.FreeSlots(), 0), w.LiveSlots())
		own += w.InFlightSlots()
		others += w.OtherSlots()
		p.forecast.AddWorker(w.LiveSlots(), w.Speed(), 0, -1)
		if returns := w.EjectedUntil().Sub(now); w.Health() == hibiscusstate.HealthEjected && returns > 0 {
			p.forecast.AddWorker(w.Slots(), w.Speed(), returns, -1)
		}
	}
	if p.usableSlots == 0 || growing {
		p.usableSlots = float64(p.liveSlots) / float64(entries)
		p.forecast.ResetFraction(entries)
	}
	p.usableSlots += (float64(slots) - p.usableSlots) * capacityWeight
	p.forecast.ObserveUse(float64(own), float64(others), entries)
	p.forecastCheck.observe(p.forecast.Slots(0), own, now.Sub(p.emptyAt))
}

// load returns the waiting work at now.
func (p *pool) load(now time.Time) hibiscusscheduling.Load {
	top, rest := p.queue.WorkTables(now)
	return hibiscusscheduling.NewLoad(top, rest, p.queue.Work(), p.onTimeLoadAt(now)).
		WithShortage(now.Sub(p.shortUntil) <= shortageGap, now.Sub(p.emptyAt))
}

// strictness returns how strictly a job is assessed, by the shares of its kind and its team.
func (p *pool) strictness(kind, team string) float64 {
	return p.kindShares.Strictness(kind) * p.teamShares.Strictness(team)
}

// observeShares records that a job with an objective was offered, and whether it is served.
func (p *pool) observeShares(kind, team string, work time.Duration, served bool) {
	p.kindShares.Observe(kind, work, served)
	p.teamShares.Observe(team, work, served)
}

// withdrawShares records that nothing of an admitted job is served after all.
func (p *pool) withdrawShares(job *hibiscusstate.Job) {
	work, _ := waitingWork(job)
	p.kindShares.Withdraw(job.Task(0).Kind(), work)
	p.teamShares.Withdraw(job.Team(), work)
}

// shortFor returns how long capacity has been short, zero if it is not.
func (p *pool) shortFor(now time.Time) time.Duration {
	if now.Sub(p.shortUntil) > shortageGap {
		return 0
	}
	return now.Sub(p.shortSince)
}

// observeShortage records that a job was refused for lack of capacity, and returns how long the shortage has lasted.
func (p *pool) observeShortage(now time.Time) time.Duration {
	if now.Sub(p.shortUntil) > shortageGap {
		p.shortSince = now
	}
	p.shortUntil = now
	return now.Sub(p.shortSince)
}

// onTimeLoadAt returns onTimeLoad, decayed to now.
func (p *pool) onTimeLoadAt(now time.Time) float64 {
	return p.onTimeLoad * math.Exp(-float64(now.Sub(p.onTimeLoadUpdatedAt))/float64(onTimeLoadDecay))
}

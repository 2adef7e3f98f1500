package hibiscuscoordination

import (
	"math"
	"time"

	"hibiscusrouter/hibiscusstate"
)

// What an entry knows of one service as a whole: its queue, its workers, and what it has learned of both.

const (
	// capacityWeight is the weight of the newest look at the slots of a service, one each tick.
	capacityWeight = 0.2
	// taskSlotsWeight is the weight of the newest task in the usual number of slots of a task.
	taskSlotsWeight = 1.0 / 32
	// maxPushedViewAge is how old the view of a full worker has to be to be doubted where agents say when they have room: a message may
	// be lost with its session only.
	maxPushedViewAge = 2 * time.Second
)

// pool is one service's queue and workers at this entry.
type pool struct {
	service  string
	queue    *hibiscusstate.FairQueue
	runTimes *hibiscusstate.RunTimeEstimator
	heap     *hibiscusstate.WorkerHeap
	// unit is how many slots a task of the service usually takes; a worker with fewer free ones counts as full.
	taskSlots     int
	meanTaskSlots float64
	// largest is the most slots that an endpoint offers, seen at most a tick ago.
	maxWorkerSlots int
	slots   int
	liveSlots    int
	usableSlots  float64
	longSlots   int
	// inflow is how many slots the work takes that was admitted to be in time, as of onTimeLoadUpdatedAt.
	onTimeLoad      float64
	onTimeLoadUpdatedAt time.Time
	failureRate    float64
	slowness    float64
	retryTokens     float64
	totals      serviceTotals
}

func (d *Dispatcher) pool(service string) *pool {
	p := d.pools[service]
	if p == nil {
		p = &pool{
			service: service, queue: hibiscusstate.NewFairQueue(), runTimes: hibiscusstate.NewRunTimeEstimator(),
			heap: hibiscusstate.NewWorkerHeap(), taskSlots: 1, slowness: 1,
		}
		d.pools[service] = p
	}
	return p
}

// observeTaskSlots follows how many slots a task usually takes. The heap is ordered anew when that has changed by an eighth.
func (p *pool) observeTaskSlots(slots int) {
	if p.meanTaskSlots == 0 {
		p.meanTaskSlots = float64(slots)
	}
	p.meanTaskSlots += (float64(slots) - p.meanTaskSlots) * taskSlotsWeight
	if unit := int(p.meanTaskSlots); unit > p.taskSlots+p.taskSlots/8 || unit < p.taskSlots-p.taskSlots/8 {
		p.taskSlots = max(unit, 1)
		p.heap.SetMinFreeSlots(p.taskSlots)
	}
}

// maxViewAge returns how old the view of a full worker has to be to be doubted.
func (p *pool) maxViewAge() time.Duration {
	if p.taskSlots > 1 {
		// Agents whose workers run many tasks at once say when they have room.
		return maxPushedViewAge
	}
	return max(2*p.runTimes.Median(), tickInterval)
}

// observeUsableSlots follows how many slots this entry has or could have: those with its tasks and those that look free.
// While several entries have work waiting, none gets all slots, and none knows beforehand which part it gets.
func (p *pool) observeUsableSlots(entries int) {
	slots := 0
	p.maxWorkerSlots = 0
	for i := range p.heap.Len() {
		w := p.heap.At(i)
		p.maxWorkerSlots = max(p.maxWorkerSlots, w.Slots())
		slots += min(w.InFlightSlots()+max(w.FreeSlots(), 0), w.LiveSlots())
	}
	if p.usableSlots == 0 {
		p.usableSlots = float64(p.liveSlots) / float64(entries)
	}
	p.usableSlots += (float64(slots) - p.usableSlots) * capacityWeight
}

// onTimeLoadAt returns how many slots the work takes that has lately been admitted to be in time.
func (p *pool) onTimeLoadAt(now time.Time) float64 {
	return p.onTimeLoad * math.Exp(-float64(now.Sub(p.onTimeLoadUpdatedAt))/float64(onTimeLoadDecay))
}

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
	// slotsWeight is the weight of the newest task in the usual number of slots of a task.
	slotsWeight = 1.0 / 32
	// toldViewAge is how old the view of a full worker has to be to be doubted where agents say when they have room: a message may
	// be lost with its session only.
	toldViewAge = 2 * time.Second
)

// pool is one service's queue and workers at this entry.
type pool struct {
	service  string
	queue    *hibiscusstate.FairQueue
	runTimes *hibiscusstate.RunTimes
	heap     *hibiscusstate.WorkerHeap
	// unit is how many slots a task of the service usually takes; a worker with fewer free ones counts as full.
	unit     int
	meanSlot float64
	// largest is the most slots that an endpoint offers, seen at most a tick ago.
	largest int
	slots   int
	live    int
	usable  float64
	longs   int
	// inflow is how many slots the work takes that was admitted to be in time, as of inflowSince.
	inflow      float64
	inflowSince time.Time
	failures    float64
	slowness    float64
	retries     float64
	totals      serviceTotals
}

func (d *Dispatcher) pool(service string) *pool {
	p := d.pools[service]
	if p == nil {
		p = &pool{
			service: service, queue: hibiscusstate.NewFairQueue(), runTimes: hibiscusstate.NewRunTimes(),
			heap: hibiscusstate.NewWorkerHeap(), unit: 1, slowness: 1,
		}
		d.pools[service] = p
	}
	return p
}

// observeSlots follows how many slots a task usually takes. The heap is ordered anew when that has changed by an eighth.
func (p *pool) observeSlots(slots int) {
	if p.meanSlot == 0 {
		p.meanSlot = float64(slots)
	}
	p.meanSlot += (float64(slots) - p.meanSlot) * slotsWeight
	if unit := int(p.meanSlot); unit > p.unit+p.unit/8 || unit < p.unit-p.unit/8 {
		p.unit = max(unit, 1)
		p.heap.SetUnit(p.unit)
	}
}

// viewAge returns how old the view of a full worker has to be to be doubted.
func (p *pool) viewAge() time.Duration {
	if p.unit > 1 {
		// Agents whose workers run many tasks at once say when they have room.
		return toldViewAge
	}
	return max(2*p.runTimes.Usual(), tickInterval)
}

// observeCapacity follows how many slots this entry has or could have: those with its tasks and those that look free.
// While several entries have work waiting, none gets all slots, and none knows beforehand which part it gets.
func (p *pool) observeCapacity(entries int) {
	slots := 0
	p.largest = 0
	for i := range p.heap.Len() {
		w := p.heap.At(i)
		p.largest = max(p.largest, w.Slots())
		slots += min(w.InFlight()+max(w.Free(), 0), w.LiveSlots())
	}
	if p.usable == 0 {
		p.usable = float64(p.live) / float64(entries)
	}
	p.usable += (float64(slots) - p.usable) * capacityWeight
}

// inflowAt returns how many slots the work takes that has lately been admitted to be in time.
func (p *pool) inflowAt(now time.Time) float64 {
	return p.inflow * math.Exp(-float64(now.Sub(p.inflowSince))/float64(inflowTime))
}

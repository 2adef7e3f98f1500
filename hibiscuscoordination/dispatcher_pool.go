package hibiscuscoordination

import (
	"math"
	"time"

	"hibiscusrouter/hibiscusstate"
)

// The state of one service at an entry: its queue, its workers, and estimates from both.

const (
	// capacityWeight is the weight of the newest sample in the average of usable slots, one sample each tick.
	capacityWeight = 0.2
	// slotsWeight is the weight of the newest task in the average number of slots of a task.
	slotsWeight = 1.0 / 32
	// toldViewAge is the age at which the view of a full worker is stale where agents report free slots: such a report can only
	// be lost with its session.
	toldViewAge = 2 * time.Second
)

// pool is the queue and the workers of one service at this entry.
type pool struct {
	service  string
	queue    *hibiscusstate.FairQueue
	runTimes *hibiscusstate.RunTimes
	heap     *hibiscusstate.WorkerHeap
	// taskSlots is how many slots a task of the service typically takes; a worker with fewer free ones counts as full.
	unit     int
	meanSlot float64
	// maxWorkerSlots is the most slots that an endpoint offers, at most one tick old.
	largest int
	slots   int
	live    int
	usable  float64
	longs   int
	// onTimeLoad is how many slots the jobs occupy that were lately admitted as in time, as of inflowSince.
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

// observeSlots updates how many slots a task typically takes. The heap is reordered when that has changed by more than an eighth.
func (p *pool) observeSlots(slots int) {
	if p.meanSlot == 0 {
		p.meanSlot = float64(slots)
	}
	p.meanSlot += (float64(slots) - p.meanSlot) * slotsWeight
	if typical := int(p.meanSlot); typical > p.unit+p.unit/8 || typical < p.unit-p.unit/8 {
		p.unit = max(typical, 1)
		p.heap.SetUnit(p.unit)
	}
}

// viewAge returns the age above which the view of a full worker is stale.
func (p *pool) viewAge() time.Duration {
	if p.unit > 1 {
		// Agents whose workers run many tasks at once report when they have free slots.
		return toldViewAge
	}
	return max(2*p.runTimes.Usual(), tickInterval)
}

// observeCapacity updates how many slots this entry can use: those with its tasks and those that are free in its view.
// While several entries have queued work, none gets all slots, and its part can't be computed in advance.
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

// inflowAt returns how many slots the jobs occupy that were lately admitted as in time, decayed to now.
func (p *pool) inflowAt(now time.Time) float64 {
	return p.inflow * math.Exp(-float64(now.Sub(p.inflowSince))/float64(inflowTime))
}

package hibiscusmeasure

import (
	"container/heap"
	"time"
)

// The clock runs callbacks in virtual time (discrete-event simulation).
//
// Events with the same time run in the order of their lanes. Every link and every process has its own lane, so that the random
// iteration order of maps in the decisions doesn't change the order of events.

type clock struct {
	now    time.Time
	events eventHeap
	pushed uint64
	lanes  int
}

type event struct {
	at   time.Time
	lane int
	seq  uint64
	do   func()
}

func newClock() *clock { return &clock{now: time.Unix(1_000_000_000, 0).UTC()} }

// lane returns the number of a new lane, which orders the events of one source among those with the same time.
func (c *clock) lane() int {
	c.lanes++
	return c.lanes
}

// at schedules do at t, or now when t is in the past.
func (c *clock) at(t time.Time, lane int, do func()) {
	if t.Before(c.now) {
		t = c.now
	}
	c.pushed++
	heap.Push(&c.events, event{at: t, lane: lane, seq: c.pushed, do: do})
}

// run executes events until the clock reaches end or done returns true.
func (c *clock) run(end time.Time, done func() bool) {
	for len(c.events) > 0 && !c.events[0].at.After(end) && !done() {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.do()
	}
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(a, b int) bool {
	if !h[a].at.Equal(h[b].at) {
		return h[a].at.Before(h[b].at)
	}
	if h[a].lane != h[b].lane {
		return h[a].lane < h[b].lane
	}
	return h[a].seq < h[b].seq
}

func (h eventHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return e
}

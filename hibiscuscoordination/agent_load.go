package hibiscuscoordination

import (
	"cmp"
	"slices"
	"time"

	"hibiscusrouter/hibiscusstate"
)

// Which entries hear of an agent's load, and when. Every report to an entry carries the load, so that an entry whose tasks run
// here knows it well. An entry that has none here believes what it heard last. When that was a full worker, it sends nothing,
// hears nothing, and its tasks wait while room is free. So an agent tells an entry when it has room for a usual task and the
// entry believes that it has none, or the reverse. While no worker is full, no such message is sent.
//
// This is done where tasks take many small slots, and so a worker runs many tasks at once and changes between full and not
// full for one of them. With eight slots of one task each, p99 of the response ratio fell from 1.68 to 1.48 in port_louis, and
// wasted messages rose from 0.10 to 1.65 a task (TestFigures), against a target of 0.1; there the messages are not sent.

const (
	// loadIntervalPerEntry is the least time between two loads that an entry is told of, times the number of entries: one entry hears
	// from 11 agents beside 3 others at most 1,375 times a second, and only while they change between full and not full.
	loadIntervalPerEntry = 2 * time.Millisecond
	// freeCapacityDelay is how long room for a usual task has to stay free until the entries that believe in none are told. The entry whose
	// task has ended hears of it at once, and fills it within a round trip, 1 to 3 ms, if it has tasks waiting. Without the
	// grace, 14 entries sent their tasks to each slot that came free: 106,600 orders were rejected in 34 s.
	freeCapacityDelay = 5 * time.Millisecond
	// taskSlotsDivisor is the part by which one task moves the usual number of slots.
	taskSlotsDivisor = 8
)

// sendLoad tells the entries whose view of this agent is wrong. Of room it tells no more entries than there is room for, those
// first that were told longest ago.
func (k *SlotManager) sendLoad(now time.Time) {
	if k.capacity.Slots() == 0 || k.taskSlots <= 1 {
		return
	}
	total := k.committedSlots()
	k.trackFreeCapacity(now, total)
	var misled []hibiscusstate.Incarnation
	for id, c := range k.entries {
		if k.hasStaleLoad(c, total) && !now.Before(k.loadDueAt(c)) {
			misled = append(misled, id)
		}
	}
	if free := (k.capacity.Slots() - total) / k.taskSlots; free > 0 && free < len(misled) {
		slices.SortFunc(misled, func(a, b hibiscusstate.Incarnation) int {
			return cmp.Or(k.entries[a].reportedAt.Compare(k.entries[b].reportedAt), cmp.Compare(a, b))
		})
		misled = misled[:free]
		// The next ones are told when this room is still free after another grace.
		k.freeSince = now
	}
	for _, id := range misled {
		c := k.entries[id]
		c.reportedLoad, c.reportedAt = NewLoad(total-c.slots, len(k.waiting)), now
		k.send(id, NewLoadMessage(c.reportedLoad))
	}
}

// trackFreeCapacity follows since when there is room for a usual task.
func (k *SlotManager) trackFreeCapacity(now time.Time, total int) {
	switch {
	case k.capacity.Slots()-total < k.taskSlots:
		k.freeSince = time.Time{}
	case k.freeSince.IsZero():
		k.freeSince = now
	}
}

// loadDueAt returns when an entry whose view is wrong may be told.
func (k *SlotManager) loadDueAt(c *entryState) time.Time {
	due := c.reportedAt.Add(k.minLoadInterval())
	if grace := k.freeSince.Add(freeCapacityDelay); !k.freeSince.IsZero() && grace.After(due) {
		return grace
	}
	return due
}

// hasStaleLoad says whether a connected entry believes the opposite of whether a usual task has room here.
func (k *SlotManager) hasStaleLoad(c *entryState, total int) bool {
	if !c.connected || k.leaving || k.drained {
		return false
	}
	believed := k.capacity.Slots() - c.reportedLoad.otherSlots - c.slots
	return (believed < k.taskSlots) != (k.capacity.Slots()-total < k.taskSlots)
}

// minLoadInterval returns the least time between two loads that an entry is told of.
func (k *SlotManager) minLoadInterval() time.Duration {
	return time.Duration(len(k.entries)) * loadIntervalPerEntry
}

// committedSlots returns the slots that all tasks take, running and waiting.
func (k *SlotManager) committedSlots() int {
	total := 0
	for _, c := range k.entries {
		total += c.slots
	}
	return total
}

// nextLoadDue returns when an entry whose view is wrong may be told, the zero time when all are right.
func (k *SlotManager) nextLoadDue() time.Time {
	var next time.Time
	total := k.committedSlots()
	for _, c := range k.entries {
		if due := k.loadDueAt(c); k.taskSlots > 1 && k.hasStaleLoad(c, total) && (next.IsZero() || due.Before(next)) {
			next = due
		}
	}
	return next
}

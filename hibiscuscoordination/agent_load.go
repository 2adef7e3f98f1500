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
	// loadInterval is the least time between two loads that an entry is told of, times the number of entries: one entry hears
	// from 11 agents beside 3 others at most 1,375 times a second, and only while they change between full and not full.
	loadInterval = 2 * time.Millisecond
	// roomGrace is how long room for a usual task has to stay free until the entries that believe in none are told. The entry whose
	// task has ended hears of it at once, and fills it within a round trip, 1 to 3 ms, if it has tasks waiting. Without the
	// grace, 14 entries sent their tasks to each slot that came free: 106,600 orders were rejected in 34 s.
	roomGrace = 5 * time.Millisecond
	// unitPart is the part by which one task moves the usual number of slots.
	unitPart = 8
)

// tellLoad tells the entries whose view of this agent is wrong. Of room it tells no more entries than there is room for, those
// first that were told longest ago.
func (k *SlotKeeper) tellLoad(now time.Time) {
	if k.limit.Slots() == 0 || k.unit <= 1 {
		return
	}
	total := k.takenSlots()
	k.noteRoom(now, total)
	var misled []hibiscusstate.Incarnation
	for id, c := range k.entries {
		if k.misled(c, total) && !now.Before(k.tellAt(c)) {
			misled = append(misled, id)
		}
	}
	if free := (k.limit.Slots() - total) / k.unit; free > 0 && free < len(misled) {
		slices.SortFunc(misled, func(a, b hibiscusstate.Incarnation) int {
			return cmp.Or(k.entries[a].toldAt.Compare(k.entries[b].toldAt), cmp.Compare(a, b))
		})
		misled = misled[:free]
		// The next ones are told when this room is still free after another grace.
		k.roomSince = now
	}
	for _, id := range misled {
		c := k.entries[id]
		c.told, c.toldAt = NewLoad(total-c.slots, len(k.waiting)), now
		k.send(id, NewLoadMessage(c.told))
	}
}

// noteRoom follows since when there is room for a usual task.
func (k *SlotKeeper) noteRoom(now time.Time, total int) {
	switch {
	case k.limit.Slots()-total < k.unit:
		k.roomSince = time.Time{}
	case k.roomSince.IsZero():
		k.roomSince = now
	}
}

// tellAt returns when an entry whose view is wrong may be told.
func (k *SlotKeeper) tellAt(c *client) time.Time {
	due := c.toldAt.Add(k.loadPause())
	if grace := k.roomSince.Add(roomGrace); !k.roomSince.IsZero() && grace.After(due) {
		return grace
	}
	return due
}

// misled says whether a connected entry believes the opposite of whether a usual task has room here.
func (k *SlotKeeper) misled(c *client, total int) bool {
	if !c.connected || k.leaving || k.drained {
		return false
	}
	believed := k.limit.Slots() - c.told.others - c.slots
	return (believed < k.unit) != (k.limit.Slots()-total < k.unit)
}

// loadPause returns the least time between two loads that an entry is told of.
func (k *SlotKeeper) loadPause() time.Duration { return time.Duration(len(k.entries)) * loadInterval }

// takenSlots returns the slots that all tasks take, running and waiting.
func (k *SlotKeeper) takenSlots() int {
	total := 0
	for _, c := range k.entries {
		total += c.slots
	}
	return total
}

// nextLoad returns when an entry whose view is wrong may be told, the zero time when all are right.
func (k *SlotKeeper) nextLoad() time.Time {
	var next time.Time
	total := k.takenSlots()
	for _, c := range k.entries {
		if due := k.tellAt(c); k.unit > 1 && k.misled(c, total) && (next.IsZero() || due.Before(next)) {
			next = due
		}
	}
	return next
}

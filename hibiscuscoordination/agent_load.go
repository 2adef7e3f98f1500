package hibiscuscoordination

import "time"

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
	// unitPart is the part by which one task moves the usual number of slots.
	unitPart = 8
)

// tellLoad tells the entries whose view of this agent is wrong.
func (k *SlotKeeper) tellLoad(now time.Time) {
	if k.limit.Slots() == 0 || k.unit <= 1 {
		return
	}
	total := k.takenSlots()
	for id, c := range k.entries {
		if !k.misled(c, total) || now.Before(c.toldAt.Add(k.loadPause())) {
			continue
		}
		c.told, c.toldAt = NewLoad(total-c.slots, len(k.waiting)), now
		k.send(id, NewLoadMessage(c.told))
	}
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
		if due := c.toldAt.Add(k.loadPause()); k.unit > 1 && k.misled(c, total) && (next.IsZero() || due.Before(next)) {
			next = due
		}
	}
	return next
}

package hibiscuscoordination

import (
	"cmp"
	"slices"
	"time"

	"hibiscusrouter/hibiscusstate"
)

// Load messages keep the entries' views of an agent current. Every report to an entry carries the load, so an entry whose tasks
// run here has a current view. An entry without tasks here has the load that it received last. If the worker was full then, the
// entry sends no orders and receives no reports, and its tasks wait while slots are free. So an agent sends its load to an entry
// when a typical task fits and the entry's view says that none does, or the reverse. While no worker is full, none is sent.
//
// Load messages are sent only where a task takes more than one slot: there a worker runs many tasks at once, and one of them
// makes it full or not full. With eight slots of one task each, they lower p99 of the response ratio from 1.68 to 1.48 in
// port_louis, but raise wasted messages from 0.10 to 1.65 a task (TestFigures), against a target of 0.1.

const (
	// loadInterval times the number of entries is the least time between two load messages to an entry: with 11 agents and 4
	// entries, an entry receives at most 1,375 a second, and only while the agents change between full and not full.
	loadInterval = 2 * time.Millisecond
	// roomGrace is how long the slots of a typical task must be free before other entries are notified. The entry whose task has
	// ended is notified at once, and refills the slots within a round trip, 1 to 3 ms, if it has tasks waiting. Without this delay,
	// 14 entries sent their tasks to each slot that became free: 106,600 orders were rejected in 34 s.
	roomGrace = 5 * time.Millisecond
	// unitPart is the divisor of the moving average of a task's slots.
	unitPart = 8
)

// tellLoad sends the load to the entries with a stale view of this agent. Of free slots it notifies no more entries than
// typical tasks fit, the least recently notified first.
func (s *SlotKeeper) tellLoad(now time.Time) {
	if s.limit.Slots() == 0 || s.unit <= 1 {
		return
	}
	total := s.takenSlots()
	s.noteRoom(now, total)
	var stale []hibiscusstate.Incarnation
	for id, c := range s.entries {
		if s.misled(c, total) && !now.Before(s.tellAt(c)) {
			stale = append(stale, id)
		}
	}
	if free := (s.limit.Slots() - total) / s.unit; free > 0 && free < len(stale) {
		slices.SortFunc(stale, func(a, b hibiscusstate.Incarnation) int {
			return cmp.Or(s.entries[a].toldAt.Compare(s.entries[b].toldAt), cmp.Compare(a, b))
		})
		stale = stale[:free]
		// The next ones are notified if the slots are still free after another roomGrace.
		s.roomSince = now
	}
	for _, id := range stale {
		c := s.entries[id]
		c.told, c.toldAt = NewLoad(total-c.slots, len(s.waiting)), now
		s.send(id, NewLoadMessage(c.told))
	}
}

// noteRoom records since when a typical task fits.
func (s *SlotKeeper) noteRoom(now time.Time, total int) {
	switch {
	case s.limit.Slots()-total < s.unit:
		s.roomSince = time.Time{}
	case s.roomSince.IsZero():
		s.roomSince = now
	}
}

// tellAt returns when the load may be sent to an entry with a stale view.
func (s *SlotKeeper) tellAt(c *client) time.Time {
	due := c.toldAt.Add(s.loadPause())
	if delayed := s.roomSince.Add(roomGrace); !s.roomSince.IsZero() && delayed.After(due) {
		return delayed
	}
	return due
}

// misled reports whether the view of a connected entry is wrong about whether a typical task fits here.
func (s *SlotKeeper) misled(c *client, total int) bool {
	if !c.connected || s.leaving || s.drained {
		return false
	}
	viewedFree := s.limit.Slots() - c.told.others - c.slots
	return (viewedFree < s.unit) != (s.limit.Slots()-total < s.unit)
}

// loadPause returns the least time between two load messages to an entry.
func (s *SlotKeeper) loadPause() time.Duration { return time.Duration(len(s.entries)) * loadInterval }

// takenSlots returns the number of slots of all running and waiting tasks.
func (s *SlotKeeper) takenSlots() int {
	total := 0
	for _, c := range s.entries {
		total += c.slots
	}
	return total
}

// nextLoad returns when the next load message is due, the zero time when no view is stale.
func (s *SlotKeeper) nextLoad() time.Time {
	var next time.Time
	total := s.takenSlots()
	for _, c := range s.entries {
		if due := s.tellAt(c); s.unit > 1 && s.misled(c, total) && (next.IsZero() || due.Before(next)) {
			next = due
		}
	}
	return next
}

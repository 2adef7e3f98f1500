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
// when a typical task fits and the entry's view shows that none does, or the reverse. While no worker is full, none is sent.
//
// A change of the worker's slowness is sent to all entries (slowness.go).
//
// Load messages are sent only where a task takes more than one slot: there a worker runs many tasks at once, and one of them
// makes it full or not full. With eight slots of one task each, they lower p99 of the response ratio from 1.68 to 1.48 in
// port_louis, but raise wasted messages from 0.10 to 1.65 a task (TestFigures), against a target of 0.1.

const (
	// loadIntervalPerEntry times the number of entries is the least time between two load messages to an entry: with 11 agents and 4
	// entries, an entry receives at most 1,375 a second, and only while the agents change between full and not full.
	loadIntervalPerEntry = 2 * time.Millisecond
	// freeCapacityDelay is how long the slots of a typical task must be free before other entries are notified. The entry whose task
	// has ended is notified at once, and refills the slots within a round trip, 1 to 3 ms, if it has tasks waiting. Without this
	// delay, 14 entries sent their tasks to each slot that became free: 106,600 orders were rejected in 34 s.
	freeCapacityDelay = 5 * time.Millisecond
	// taskSlotsDivisor is the divisor of the moving average of a task's slots.
	taskSlotsDivisor = 8
)

// sendLoad sends the load to the entries with a stale view of this agent. Of free slots it notifies no more entries than
// typical tasks fit, the least recently notified first.
func (s *SlotManager) sendLoad(now time.Time) {
	if !s.sendsLoad() {
		return
	}
	total := s.committedSlots()
	s.trackFreeCapacity(now, total)
	var stale []hibiscusstate.Incarnation
	for id, c := range s.entries {
		switch {
		case s.hasStaleSlowness(c) && !now.Before(c.reportedAt.Add(s.minLoadInterval())):
			s.reportLoad(now, id, total)
		case s.hasStaleLoad(c, total) && !now.Before(s.loadDueAt(c)):
			stale = append(stale, id)
		}
	}
	if free := (s.capacity.Slots() - total) / s.taskSlots; free > 0 && free < len(stale) {
		slices.SortFunc(stale, func(a, b hibiscusstate.Incarnation) int {
			return cmp.Or(s.entries[a].reportedAt.Compare(s.entries[b].reportedAt), cmp.Compare(a, b))
		})
		stale = stale[:free]
		// The next ones are notified if the slots are still free after another freeCapacityDelay.
		s.freeSince = now
	}
	for _, id := range stale {
		s.reportLoad(now, id, total)
	}
}

func (s *SlotManager) reportLoad(now time.Time, id hibiscusstate.Incarnation, total int) {
	c := s.entries[id]
	c.reportedLoad, c.reportedAt = s.load(c, total), now
	s.send(id, NewLoadMessage(c.reportedLoad))
}

// sendsLoad reports whether load messages are sent now.
func (s *SlotManager) sendsLoad() bool { return s.capacity.Slots() > 0 && s.taskSlots > 1 }

// trackFreeCapacity records since when a typical task fits.
func (s *SlotManager) trackFreeCapacity(now time.Time, total int) {
	switch {
	case s.capacity.Slots()-total < s.taskSlots:
		s.freeSince = time.Time{}
	case s.freeSince.IsZero():
		s.freeSince = now
	}
}

// loadDueAt returns when the load may be sent to an entry with a stale view.
func (s *SlotManager) loadDueAt(c *entryState) time.Time {
	due := c.reportedAt.Add(s.minLoadInterval())
	if delayed := s.freeSince.Add(freeCapacityDelay); !s.freeSince.IsZero() && delayed.After(due) {
		return delayed
	}
	return due
}

// hasStaleLoad reports whether the view of a connected entry is wrong about whether a typical task fits here.
func (s *SlotManager) hasStaleLoad(c *entryState, total int) bool {
	if !c.connected || s.leaving || s.drained || s.evacuated {
		return false
	}
	viewedFree := s.capacity.Slots() - c.reportedLoad.otherSlots - c.slots
	return (viewedFree < s.taskSlots) != (s.capacity.Slots()-total < s.taskSlots)
}

// minLoadInterval returns the least time between two load messages to an entry.
func (s *SlotManager) minLoadInterval() time.Duration {
	return time.Duration(len(s.entries)) * loadIntervalPerEntry
}

// committedSlots returns the number of slots of all running and waiting tasks.
func (s *SlotManager) committedSlots() int {
	total := 0
	for _, c := range s.entries {
		total += c.slots
	}
	return total
}

// nextLoadDue returns when the next load message is due, the zero time when no view is stale.
func (s *SlotManager) nextLoadDue() time.Time {
	var next time.Time
	if !s.sendsLoad() {
		return next
	}
	total := s.committedSlots()
	for _, c := range s.entries {
		if s.hasStaleSlowness(c) {
			next = earliest(next, c.reportedAt.Add(s.minLoadInterval()))
		}
		if s.hasStaleLoad(c, total) {
			next = earliest(next, s.loadDueAt(c))
		}
	}
	return next
}

package hibiscuscoordination

import (
	"slices"
	"time"

	"hibiscusrouter/hibiscusscheduling"
	"hibiscusrouter/hibiscusstate"
)

// A leaving endpoint starts no new tasks; its agent hands back the tasks that wait, and confirms to the process when it may end. If the
// endpoint has announced how long it stays, the agent still accepts tasks that end in that time, for as long as its notice says. Nothing
// starts later than 2 s after the announcement.

// Leave makes the agent reject all waiting tasks and all new orders but those that the notice admits. Running tasks continue, and until
// the notice forbids it so do waiting ones under a sealed key, which no other agent may start. A notice while the endpoint is leaving
// already can only end the time for new orders.
func (s *SlotManager) Leave(now time.Time, notice hibiscusscheduling.Notice) {
	if s.leaving {
		if !s.notice.Open(now) || notice.Open(now) {
			return
		}
		notice = s.notice.Closed()
	}
	s.leaving, s.notice = true, notice
	for _, c := range s.entries {
		c.leaveAcknowledged = false
	}
	s.broadcastCapacity(now)
	for _, t := range slices.Clone(s.waiting) {
		if !s.isPinned(t) {
			s.rejectWaiting(t, hibiscusstate.RejectionLeaving)
		}
	}
	s.flush()
}

// AcknowledgeLeave records that an entry has received the notice that the endpoint is leaving, and that all its orders have arrived.
func (s *SlotManager) AcknowledgeLeave(entry hibiscusstate.Incarnation) {
	s.entryState(entry).leaveAcknowledged = true
}

// LeaveAcknowledged reports whether no connected entry may still have an order in flight.
func (s *SlotManager) LeaveAcknowledged() bool {
	for _, c := range s.entries {
		if c.connected && !c.leaveAcknowledged {
			return false
		}
	}
	return true
}

// isPinned reports whether a waiting task belongs to a job that was sealed for a recovery, so that no other agent may run it.
func (s *SlotManager) isPinned(t *hibiscusstate.AgentTask) bool {
	return s.capacity.Slots() > 0 && s.sealed.Has(t.Order().ID().Key())
}

// isLeaving reports whether an order must be rejected because the endpoint is leaving.
func (s *SlotManager) isLeaving(now time.Time, order hibiscusstate.Order) bool {
	return s.leaving && !s.notice.Admits(now, order.Expected())
}

// startsNothing reports whether the endpoint has been leaving for so long that nothing may start.
func (s *SlotManager) startsNothing(now time.Time) bool {
	by := s.notice.StartBy()
	return s.leaving && !by.IsZero() && !now.Before(by)
}

// rejectAfterNotice rejects the tasks that still wait when nothing may start any more: those of sealed jobs.
func (s *SlotManager) rejectAfterNotice(now time.Time) {
	if !s.startsNothing(now) {
		return
	}
	for _, t := range slices.Clone(s.waiting) {
		s.rejectWaiting(t, hibiscusstate.RejectionLeaving)
	}
}

// withStartLimit adds to an order when its start may be requested at the latest: a process that is suspended after the decision must
// not start the task then.
func (s *SlotManager) withStartLimit(order hibiscusstate.Order) hibiscusstate.Order {
	if !s.leaving {
		return order
	}
	return order.WithStartBy(earliest(s.notice.StartBy(), order.StartBy()))
}

package hibiscuscoordination

import (
	"slices"
	"time"

	"hibiscusrouter/hibiscusstate"
)

// An agent never has two runs of one task of a named job at the same time. The client of such a job submits it again to any
// entry when its connection breaks. Tasks of an entry without a session are stopped before that, and a task that arrives again
// through another entry waits for the end of its previous run.

const (
	// orphanTimeout is how long restartable tasks continue without a session to their entry. A client whose connection broke
	// submits its job again 1.3 s later; a lost session is detected within 0.9 s, and a stop takes 50 ms.
	orphanTimeout = 300 * time.Millisecond
)

// stopPreviousRun stops the run of a task that its client submitted again through another entry, and reports whether the new
// order has to wait for the end of a run.
func (s *SlotManager) stopPreviousRun(t *hibiscusstate.AgentTask) bool {
	previous := s.otherRun(t)
	if previous == nil {
		return false
	}
	if previous.Status() == hibiscusstate.StatusWaiting {
		s.rejectWaiting(previous, hibiscusstate.RejectionStopped)
		return s.otherRun(t) != nil
	}
	s.stop(previous.Slot(), previous.Order().Attempt())
	return true
}

// otherRun returns a running or waiting record of the same task as t under another key, nil for none.
func (s *SlotManager) otherRun(t *hibiscusstate.AgentTask) *hibiscusstate.AgentTask {
	name, index := t.Order().JobName(), t.Order().ID().Index()
	if name == "" {
		return nil
	}
	for _, list := range [][]*hibiscusstate.AgentTask{s.slots, s.waiting} {
		for _, other := range list {
			if other != nil && other != t && other.Order().JobName() == name && other.Order().ID().Index() == index {
				return other
			}
		}
	}
	return nil
}

// stopOrphans stops the restartable tasks whose entry has had no session for orphanTimeout: their client may submit the job to
// another entry, which has no record of these runs.
func (s *SlotManager) stopOrphans(now time.Time) {
	for _, c := range s.entries {
		c.orphaned = !c.connected && c.tasks > 0 && now.Sub(c.lostAt) >= orphanTimeout
	}
	for _, t := range slices.Clone(s.waiting) {
		if t.Order().Restartable() && s.entryState(t.Entry()).orphaned {
			s.rejectWaiting(t, hibiscusstate.RejectionStopped)
		}
	}
	for slot, t := range s.slots {
		if t != nil && t.Order().Restartable() && s.entryState(t.Entry()).orphaned {
			s.stop(slot, t.Order().Attempt())
		}
	}
}

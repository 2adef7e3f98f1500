package hibiscuscoordination

import (
	"slices"
	"time"

	"hibiscusrouter/hibiscusstate"
)

// An agent never has two runs of one task of a named job at the same time. The client of such a job submits it again to any
// entry when its connection breaks. Tasks that their entry no longer permits are stopped before that (permission.go), and a task
// that arrives again through another entry waits for the end of its previous run.

const (
	// orphanTimeout is how long restartable tasks continue without a session to their entry, if their permission does not end before.
	// It leaves time for a reconnection; after that the resources serve others.
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

// stopOrphans stops the restartable tasks that their entry no longer permits: the entry, or another one to which the client submits
// the job again, counts these runs as ended.
func (s *SlotManager) stopOrphans(now time.Time) {
	for _, t := range slices.Clone(s.waiting) {
		if s.isOrphan(now, t) {
			s.logPermissionEnded(now, t.Entry())
			s.rejectWaiting(t, hibiscusstate.RejectionStopped)
		}
	}
	for slot, t := range s.slots {
		if t != nil && s.isOrphan(now, t) {
			s.logPermissionEnded(now, t.Entry())
			s.stop(slot, t.Order().Attempt())
		}
	}
}

// logPermissionEnded writes one line for all tasks of an entry that are stopped until its next echo.
func (s *SlotManager) logPermissionEnded(now time.Time, entry hibiscusstate.Incarnation) {
	c := s.entryState(entry)
	if c.permissionEnded {
		return
	}
	c.permissionEnded = true
	s.log.Warn("agent: tasks of an entry are stopped, it no longer permits them", "entry", entry.String(), "tasks", c.restartable,
		"connected", c.connected, "echo_age_ms", now.Sub(c.permittedAt).Milliseconds())
}

// isOrphan reports whether a restartable task must not continue.
func (s *SlotManager) isOrphan(now time.Time, t *hibiscusstate.AgentTask) bool {
	return t.Order().Restartable() && !now.Before(s.permittedUntil(t))
}

// permittedUntil returns when the permission to run a task ends.
func (s *SlotManager) permittedUntil(t *hibiscusstate.AgentTask) time.Time {
	c := s.entryState(t.Entry())
	from := c.permittedAt
	if t.PermittedAt().After(from) {
		from = t.PermittedAt()
	}
	until := from.Add(permissionDuration)
	if lost := c.lostAt.Add(orphanTimeout); !c.connected && lost.Before(until) {
		return lost
	}
	return until
}

package hibiscuscoordination

import (
	"slices"
	"time"

	"hibiscusrouter/hibiscusstate"
)

// What an agent does so that two runs of one task of a named job never go on at the same time. The client of such a job sends
// it again to any entry when its connection broke. Tasks whose entry is gone are stopped before that, and a task that comes
// again through another entry waits here for the end of its former run.

const (
	// orphanTimeout is how long tasks that may be run again go on without a session to their entry. A client whose connection
	// broke sends its job again 1.3 s later; the lost session is noticed after at most 0.9 s, and a stop takes 50 ms.
	orphanTimeout = 300 * time.Millisecond
)

// stopPreviousRun stops the run of a task that its client submitted again through another entry, and says whether there is
// one. The new order waits for its end, because one task must not run twice at the same time.
func (k *SlotManager) stopPreviousRun(t *hibiscusstate.AgentTask) bool {
	former := k.otherRun(t)
	if former == nil {
		return false
	}
	if former.Status() == hibiscusstate.StatusWaiting {
		k.rejectWaiting(former, hibiscusstate.RejectionStopped)
		return k.otherRun(t) != nil
	}
	k.stop(former.Slot(), former.Order().Attempt())
	return true
}

// otherRun returns the running or waiting record of the task that t is, under another key; nil for none.
func (k *SlotManager) otherRun(t *hibiscusstate.AgentTask) *hibiscusstate.AgentTask {
	name, index := t.Order().JobName(), t.Order().ID().Index()
	if name == "" {
		return nil
	}
	for _, list := range [][]*hibiscusstate.AgentTask{k.slots, k.waiting} {
		for _, other := range list {
			if other != nil && other != t && other.Order().JobName() == name && other.Order().ID().Index() == index {
				return other
			}
		}
	}
	return nil
}

// stopOrphans stops the tasks that may be run again and whose entry has had no session for too long: their client may send
// the job to another entry, which knows nothing of these runs.
func (k *SlotManager) stopOrphans(now time.Time) {
	for _, c := range k.entries {
		c.orphaned = !c.connected && c.tasks > 0 && now.Sub(c.lostAt) >= orphanTimeout
	}
	for _, t := range slices.Clone(k.waiting) {
		if t.Order().Restartable() && k.entryState(t.Entry()).orphaned {
			k.rejectWaiting(t, hibiscusstate.RejectionStopped)
		}
	}
	for slot, t := range k.slots {
		if t != nil && t.Order().Restartable() && k.entryState(t.Entry()).orphaned {
			k.stop(slot, t.Order().Attempt())
		}
	}
}

package hibiscuscoordination

import "hibiscusrouter/hibiscusstate"

// How tasks at an agent are given up: waiting ones go back to their entry as not run, running ones are stopped at the endpoint.

// Stop gives up tasks: waiting ones are rejected as not run, running ones are stopped at the endpoint.
func (k *SlotManager) Stop(tries []hibiscusstate.TaskAttempt) {
	for _, try := range tries {
		t := k.tasks.Get(try.ID())
		if t == nil || t.Order().Attempt() != try {
			continue
		}
		switch t.Status() {
		case hibiscusstate.StatusWaiting:
			k.rejectWaiting(t, hibiscusstate.RejectionStopped)
		case hibiscusstate.StatusRunning:
			k.stop(t.Slot(), try)
		case hibiscusstate.StatusDone, hibiscusstate.StatusRejected, hibiscusstate.StatusNeverReceived:
		}
	}
	k.flush()
}

// StopAll gives up every task.
func (k *SlotManager) StopAll() {
	var tries []hibiscusstate.TaskAttempt
	for _, list := range [][]*hibiscusstate.AgentTask{k.waiting, k.slots} {
		for _, t := range list {
			if t != nil {
				tries = append(tries, t.Order().Attempt())
			}
		}
	}
	k.Stop(tries)
}

// rejectWaiting gives a waiting task back to its entry.
func (k *SlotManager) rejectWaiting(t *hibiscusstate.AgentTask, rejection hibiscusstate.Rejection) {
	for i, other := range k.waiting {
		if other == t {
			k.waiting = append(k.waiting[:i], k.waiting[i+1:]...)
			break
		}
	}
	k.uncount(t)
	k.tasks.Drop(t)
	k.reject(t.Entry(), t.Order().Attempt(), rejection)
	k.notifyWatchers(t.Order().ID().Key())
}

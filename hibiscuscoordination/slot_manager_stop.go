package hibiscuscoordination

import "hibiscusrouter/hibiscusstate"

// Stop rejects waiting tasks as not run, and stops running ones at the endpoint.
func (s *SlotManager) Stop(attempts []hibiscusstate.TaskAttempt) {
	for _, attempt := range attempts {
		t := s.tasks.Get(attempt.ID())
		if t == nil || t.Order().Attempt() != attempt {
			continue
		}
		switch t.Status() {
		case hibiscusstate.StatusWaiting:
			s.rejectWaiting(t, hibiscusstate.RejectionStopped)
		case hibiscusstate.StatusRunning:
			s.stop(t.Slot(), attempt)
		case hibiscusstate.StatusDone, hibiscusstate.StatusRejected, hibiscusstate.StatusNeverReceived:
		}
	}
	s.flush()
}

// StopAll stops every task.
func (s *SlotManager) StopAll() {
	var attempts []hibiscusstate.TaskAttempt
	for _, list := range [][]*hibiscusstate.AgentTask{s.waiting, s.slots} {
		for _, t := range list {
			if t != nil {
				attempts = append(attempts, t.Order().Attempt())
			}
		}
	}
	s.Stop(attempts)
}

// rejectWaiting removes a waiting task and reports it to its entry as rejected.
func (s *SlotManager) rejectWaiting(t *hibiscusstate.AgentTask, rejection hibiscusstate.Rejection) {
	for i, other := range s.waiting {
		if other == t {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			break
		}
	}
	s.uncount(t)
	s.tasks.Drop(t)
	s.reject(t.Entry(), t.Order().Attempt(), rejection)
	s.notifyWatchers(t.Order().ID().Key())
}

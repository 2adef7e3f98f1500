package hibiscuscoordination

import "hibiscusrouter/hibiscusstate"

// An agent reports the status of its tasks to an entry after a lost session, and to other entries after the loss of an entry.

// Reconcile reports the status of tasks that an entry sent over a session that was lost. An attempt that was never received is
// recorded, so that it is rejected if it arrives later.
func (s *SlotManager) Reconcile(entry hibiscusstate.Incarnation, attempts []hibiscusstate.TaskAttempt) {
	for _, attempt := range attempts {
		t := s.tasks.Get(attempt.ID())
		if t == nil {
			s.neverReceived.Add(attempt)
			s.queueReport(entry, hibiscusstate.NewStatusReport(attempt, hibiscusstate.StatusNeverReceived))
			continue
		}
		s.queueReport(entry, statusReport(t))
	}
	s.flush()
}

// Recover seals a key, so that no further order under it is accepted, and sends the status of all tasks under it.
func (s *SlotManager) Recover(entry hibiscusstate.Incarnation, request uint64, key hibiscusstate.SubmissionKey) {
	s.sealed.Add(key)
	open := false
	reports := []hibiscusstate.Report{}
	for _, t := range s.tasks.OfJob(key) {
		reports = append(reports, statusReport(t))
		open = open || t.Status() != hibiscusstate.StatusDone
	}
	if open {
		s.watchers[key] = append(s.watchers[key], watcher{entry: entry, request: request})
	}
	s.send(entry, NewRecoveredMessage(request, key, reports))
}

// notifyWatchers sends the new status of a job's tasks to the entries that recover it.
func (s *SlotManager) notifyWatchers(key hibiscusstate.SubmissionKey) {
	watchers := s.watchers[key]
	if watchers == nil {
		return
	}
	delete(s.watchers, key)
	for _, w := range watchers {
		s.Recover(w.entry, w.request, key)
	}
}

func statusReport(t *hibiscusstate.AgentTask) hibiscusstate.Report {
	if t.Status() == hibiscusstate.StatusDone {
		return t.Report()
	}
	return hibiscusstate.NewStatusReport(t.Order().Attempt(), t.Status()).WithJob(t.Order().TaskCount(), t.Order().Digest())
}

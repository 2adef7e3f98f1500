package hibiscuscoordination

import "hibiscusrouter/hibiscusstate"

// What an agent tells entries about tasks that they have lost sight of: after a lost session, and after the loss of an entry.

// Reconcile says what became of tasks that an entry gave over a session that was lost. A try that never arrived is
// remembered, so that it is rejected should it still come.
func (k *SlotManager) Reconcile(entry hibiscusstate.Incarnation, tries []hibiscusstate.TaskAttempt) {
	for _, try := range tries {
		t := k.tasks.Get(try.ID())
		if t == nil {
			k.neverReceived.Add(try)
			k.queueReport(entry, hibiscusstate.NewStatusReport(try, hibiscusstate.StatusNeverReceived))
			continue
		}
		k.queueReport(entry, statusReport(t))
	}
	k.flush()
}

// Recover seals a key, so that no order under it is taken from now on, and tells all that the agent has under it.
func (k *SlotManager) Recover(entry hibiscusstate.Incarnation, request uint64, key hibiscusstate.SubmissionKey) {
	k.sealed.Add(key)
	open := false
	reports := []hibiscusstate.Report{}
	for _, t := range k.tasks.OfJob(key) {
		reports = append(reports, statusReport(t))
		open = open || t.Status() != hibiscusstate.StatusDone
	}
	if open {
		k.watchers[key] = append(k.watchers[key], watcher{entry: entry, request: request})
	}
	k.send(entry, NewRecoveredMessage(request, key, reports))
}

// notifyWatchers sends what a recovered job has now to the entries that recover it.
func (k *SlotManager) notifyWatchers(key hibiscusstate.SubmissionKey) {
	watchers := k.watchers[key]
	if watchers == nil {
		return
	}
	delete(k.watchers, key)
	for _, w := range watchers {
		k.Recover(w.entry, w.request, key)
	}
}

func statusReport(t *hibiscusstate.AgentTask) hibiscusstate.Report {
	if t.Status() == hibiscusstate.StatusDone {
		return t.Report()
	}
	return hibiscusstate.NewStatusReport(t.Order().Attempt(), t.Status()).WithJob(t.Order().TaskCount(), t.Order().Digest())
}

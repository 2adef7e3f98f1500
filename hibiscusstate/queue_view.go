package hibiscusstate

import "time"

// WaitingTeams calls visit for each team that has waiting tasks, with their number, their Work, and the submission time of the job
// of the team's next task. It serves the operators' view of the queue.
func (q *FairQueue) WaitingTeams(visit func(team string, waiting int, work time.Duration, submittedAt time.Time)) {
	for _, team := range q.active {
		if head := team.head(true); head != nil {
			visit(team.name, team.waiting, team.work, head.job.submittedAt)
		}
	}
}

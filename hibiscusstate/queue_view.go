package hibiscusstate

import "time"

// What operators see of a FairQueue.

// WaitingTeams calls visit for each team that has waiting tasks: how many, the sum of their expected run times, and when
// the job of the task that is next in the team's order was submitted.
func (q *FairQueue) WaitingTeams(visit func(team string, waiting int, work time.Duration, submittedAt time.Time)) {
	for _, team := range q.active {
		if head := team.head(true); head != nil {
			visit(team.name, team.waiting, team.work, head.job.submittedAt)
		}
	}
}

package hibiscuscoordination

import (
	"time"

	"hibiscusrouter/hibiscusstate"
)

// Submissions whose key another incarnation issued. While that incarnation is running, the submission is forwarded to it.
// When it has stopped, this entry requests the records under the key from every agent and answers from these. It never
// starts a task under a foreign key, so the entries need no agreement.
//
// A recovery seals the key at the agents, which ends the job also when its entry is still running. So a submission first waits
// for a session to its entry: a lost session is dialled again at once, and an entry that has just started has none yet.

const (
	// ownerSessionTimeout is how long a submission waits for a session to the entry that holds its record.
	ownerSessionTimeout = time.Second
	// agentAnswerTimeout is how long an agent may take to answer before a recovery stops waiting for it.
	agentAnswerTimeout = time.Second
	// defaultRecoveryTimeout is how long a recovery waits for running tasks when the submission has no deadline.
	defaultRecoveryTimeout = defaultDeadline
)

// pendingForward is a submission that another entry has to answer; peer is nil while there is no session to that entry.
type pendingForward struct {
	peer       *Peer
	submission *Submission
	reply      func(*Answer)
	due        time.Time
}

// recovery is a job of a lost entry that is rebuilt from the records of the agents.
type recovery struct {
	key       hibiscusstate.SubmissionKey
	request   uint64
	agents    map[hibiscusstate.Incarnation]*agentRecords
	answerDue time.Time
	due       time.Time
	callers   []recoveryCaller
}

// agentRecords are one agent's records of the tasks under a key, as of its last answer.
type agentRecords struct {
	answered bool
	lostAt   time.Time
	reports  []hibiscusstate.Report
}

// recoveryCaller is a caller that waits for a recovery; each has sent its own body, or none.
type recoveryCaller struct {
	submission *Submission
	reply      func(*Answer)
}

// forward sends a submission to the entry that its key names, at once or when there is a session to it.
func (e *Entry) forward(now time.Time, s *Submission, reply func(*Answer)) {
	e.lastRequest++
	f := &pendingForward{submission: s, reply: reply}
	e.forwards[e.lastRequest] = f
	e.sendForward(now, e.lastRequest, f)
}

func (e *Entry) sendForward(now time.Time, request uint64, f *pendingForward) {
	f.peer = nil
	f.due = now.Add(ownerSessionTimeout)
	for _, p := range e.peers[f.submission.key.Incarnation()] {
		if p.Send(NewForwardMessage(request, f.submission)) {
			f.peer = p
			return
		}
	}
}

// handleForward answers a submission that another entry forwarded; one for another incarnation is not forwarded again.
func (e *Entry) handleForward(now time.Time, p *Peer, m Message) {
	answer := func(a *Answer) { p.Send(NewForwardedMessage(m.Request(), a)) }
	if m.Submission().Key().Incarnation() != e.identity.incarnation {
		answer(unknownOutcome(m.Submission().Key()))
		return
	}
	e.routeLocally(now, m.Submission(), answer)
}

func (e *Entry) handleForwardAnswer(m Message) {
	f := e.forwards[m.Request()]
	if f == nil {
		return
	}
	delete(e.forwards, m.Request())
	f.reply(m.Answer())
}

// resendForwards resends the submissions that were forwarded over a lost session. The entry that holds the record joins them to
// the existing job, so a repeated forward starts nothing.
func (e *Entry) resendForwards(now time.Time, p *Peer) {
	for request, f := range e.forwards {
		if f.peer == p {
			e.sendForward(now, request, f)
		}
	}
}

// sendPendingForwards sends the submissions that waited for a session to an entry.
func (e *Entry) sendPendingForwards(now time.Time, owner hibiscusstate.Incarnation) {
	for request, f := range e.forwards {
		if f.peer == nil && f.submission.key.Incarnation() == owner {
			e.sendForward(now, request, f)
		}
	}
}

// expireForwards recovers the jobs of submissions that have waited ownerSessionTimeout for a session to their entry.
func (e *Entry) expireForwards(now time.Time) {
	for request, f := range e.forwards {
		if f.peer == nil && !now.Before(f.due) {
			delete(e.forwards, request)
			e.recoverJob(now, f.submission, f.reply)
		}
	}
}

// abandonForwards answers the callers that wait for another entry or for the records of agents: their jobs may have run.
func (e *Entry) abandonForwards(cause string) {
	for request, f := range e.forwards {
		delete(e.forwards, request)
		f.reply(NewRefusal(f.submission.key, hibiscusstate.RefusalOutcomeUnknown, false, cause))
	}
	for key, r := range e.recoveries {
		delete(e.recoveries, key)
		for _, c := range r.callers {
			c.reply(NewRefusal(key, hibiscusstate.RefusalOutcomeUnknown, false, cause))
		}
	}
}

func unknownOutcome(key hibiscusstate.SubmissionKey) *Answer {
	return NewRefusal(key, hibiscusstate.RefusalOutcomeUnknown, false,
		"the entry that holds the record of this key is gone; its tasks may have run").WithRetryAfter(agentAnswerTimeout)
}

// recoverJob requests the records of a job whose entry has stopped from all agents.
func (e *Entry) recoverJob(now time.Time, s *Submission, reply func(*Answer)) {
	r := e.recoveries[s.key]
	if r == nil {
		timeout := s.budget
		if timeout <= 0 {
			timeout = defaultRecoveryTimeout
		}
		e.lastRequest++
		r = &recovery{
			key: s.key, request: e.lastRequest, agents: map[hibiscusstate.Incarnation]*agentRecords{},
			answerDue: now.Add(agentAnswerTimeout), due: now.Add(timeout),
		}
		e.recoveries[s.key] = r
		for id, p := range e.agents {
			r.ask(id, p)
		}
	}
	r.callers = append(r.callers, recoveryCaller{submission: s, reply: reply})
	e.answerIfComplete(now, r)
}

// ask seals the key at an agent and requests its records.
func (r *recovery) ask(id hibiscusstate.Incarnation, p *Peer) {
	records := r.agents[id]
	if records == nil {
		records = &agentRecords{}
		r.agents[id] = records
	}
	records.lostAt = time.Time{}
	p.Send(NewRecoverMessage(r.request, r.key))
}

// resumeRecoveries requests the records of the jobs in recovery from an agent that has opened a session.
func (e *Entry) resumeRecoveries(agent hibiscusstate.Incarnation, p *Peer) {
	for _, r := range e.recoveries {
		r.ask(agent, p)
	}
}

// handleRecovered stores the records of one agent in place of its earlier ones: a waiting task that was returned is missing
// in the later ones.
func (e *Entry) handleRecovered(now time.Time, agent hibiscusstate.Incarnation, m Message) {
	r := e.recoveries[m.Key()]
	if r == nil || r.request != m.Request() || r.agents[agent] == nil {
		return
	}
	r.agents[agent].answered = true
	r.agents[agent].reports = m.Reports()
	e.answerIfComplete(now, r)
}

// markAgentLost records that the session to an agent was lost; its tasks count as running until it reconnects, for at most
// reconnectTimeout.
func (e *Entry) markAgentLost(now time.Time, agent hibiscusstate.Incarnation) {
	for _, r := range e.recoveries {
		if records := r.agents[agent]; records != nil {
			records.lostAt = now
		}
	}
}

func (e *Entry) expireRecoveries(now time.Time) {
	for _, r := range e.recoveries {
		e.answerIfComplete(now, r)
	}
}

// answerIfComplete answers a recovery when all agents have answered and no task runs, or when its time limit has passed.
func (e *Entry) answerIfComplete(now time.Time, r *recovery) {
	if r.incomplete(now) && now.Before(r.due) {
		return
	}
	delete(e.recoveries, r.key)
	for _, c := range r.callers {
		c.reply(r.answer(c.submission))
	}
}

// incomplete reports whether a result may still arrive.
func (r *recovery) incomplete(now time.Time) bool {
	if len(r.agents) == 0 {
		return now.Before(r.answerDue)
	}
	for _, records := range r.agents {
		if !records.answered && now.Before(r.answerDue) {
			return true
		}
		if !records.lostAt.IsZero() && now.Sub(records.lostAt) >= reconnectTimeout {
			continue
		}
		for _, report := range records.reports {
			if report.Status() != hibiscusstate.StatusDone {
				return true
			}
		}
	}
	return false
}

// answer returns the rebuilt job for one caller, or a refusal when the caller sent another body than that of the job.
func (r *recovery) answer(s *Submission) *Answer {
	hasBody := !s.fetch && !s.cancel
	done := map[int]hibiscusstate.Report{}
	count := 0
	for _, records := range r.agents {
		for _, report := range records.reports {
			if hasBody && report.Digest() != s.digest {
				return NewRefusal(r.key, hibiscusstate.RefusalKeyReused, true,
					"this key was used for a submission with another body; the body sent now was not run")
			}
			count = max(count, report.TaskCount())
			if report.Status() == hibiscusstate.StatusDone {
				done[report.ID().Index()] = report
			}
		}
	}
	if count == 0 {
		count = len(s.tasks)
	}
	if count == 0 {
		return unknownOutcome(r.key)
	}
	tasks := make([]TaskAnswer, count)
	state := hibiscusstate.JobComplete
	for i := range tasks {
		if report, ok := done[i]; ok {
			tasks[i] = NewTaskAnswer(report.Outcome(), report.Output(), report.Reason())
		} else {
			tasks[i] = NewTaskAnswer(hibiscusstate.OutcomeMayHaveRun, nil, "the entry that held the record of the task is gone")
		}
		if tasks[i].Outcome() != hibiscusstate.OutcomeFinished {
			state = hibiscusstate.JobFailed
		}
	}
	return NewJobAnswer(r.key, state, tasks)
}

package hibiscuscoordination

import (
	"time"

	"hibiscusrouter/hibiscusstate"
)

// What an entry does with a submission whose key another incarnation issued. While that incarnation lives, the submission
// goes to it. When it is gone, this entry asks every agent for what it has under the key and answers from that. It never
// starts a task under a foreign key, which is why no agreement between entries is needed.
//
// A recovery seals the key at the agents and so ends a job whose entry still lives. Therefore a submission first waits for
// a session to its entry: a lost one is dialled again at once, and an entry that has just started has none yet.

const (
	// ownerSessionTimeout is how long a submission waits for a session to the entry that holds its record.
	ownerSessionTimeout = time.Second
	// agentAnswerTimeout is how long an agent may take to answer before it counts as lost.
	agentAnswerTimeout = time.Second
	// defaultRecoveryTimeout is how long a recovery waits for tasks that still run when the submission names no deadline.
	defaultRecoveryTimeout = defaultDeadline
)

// forward is a submission that another entry is to answer; peer is nil while there is no session to that entry.
type pendingForward struct {
	peer       *Peer
	submission *Submission
	reply      func(*Answer)
	due        time.Time
}

// recovery is a job of a lost entry that is put together from the agents.
type recovery struct {
	key       hibiscusstate.SubmissionKey
	request   uint64
	agents    map[hibiscusstate.Incarnation]*agentRecords
	answerDue time.Time
	due       time.Time
	callers   []recoveryCaller
}

// agentRecords is what one agent has under a key, as of its last answer.
type agentRecords struct {
	answered bool
	lostAt   time.Time
	reports  []hibiscusstate.Report
}

// recoveryCaller is one of the callers that wait for a recovery; each has sent its own body, or none.
type recoveryCaller struct {
	submission *Submission
	reply      func(*Answer)
}

// forward passes a submission to the entry that its key names, at once or when there is a session to it.
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

// forwarded answers a submission that another entry passed on; one that is not for this incarnation is not passed on again.
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

// resendForwards sends again what was passed on over a lost session. The entry that holds the record joins it to the job
// that is there, so a repeated forward starts nothing.
func (e *Entry) resendForwards(now time.Time, p *Peer) {
	for request, f := range e.forwards {
		if f.peer == p {
			e.sendForward(now, request, f)
		}
	}
}

// sendPendingForwards sends what waited for a session to an entry.
func (e *Entry) sendPendingForwards(now time.Time, owner hibiscusstate.Incarnation) {
	for request, f := range e.forwards {
		if f.peer == nil && f.submission.key.Incarnation() == owner {
			e.sendForward(now, request, f)
		}
	}
}

// expireForwards recovers what has waited too long for a session to its entry.
func (e *Entry) expireForwards(now time.Time) {
	for request, f := range e.forwards {
		if f.peer == nil && !now.Before(f.due) {
			delete(e.forwards, request)
			e.recoverJob(now, f.submission, f.reply)
		}
	}
}

func unknownOutcome(key hibiscusstate.SubmissionKey) *Answer {
	return NewRefusal(key, hibiscusstate.RefusalOutcomeUnknown, false,
		"the entry that holds the record of this key is gone; its tasks may have run").WithRetryAfter(agentAnswerTimeout)
}

// recover asks all agents for the tasks of a job whose entry is gone.
func (e *Entry) recoverJob(now time.Time, s *Submission, reply func(*Answer)) {
	r := e.recoveries[s.key]
	if r == nil {
		limit := s.budget
		if limit <= 0 {
			limit = defaultRecoveryTimeout
		}
		e.lastRequest++
		r = &recovery{
			key: s.key, request: e.lastRequest, agents: map[hibiscusstate.Incarnation]*agentRecords{},
			answerDue: now.Add(agentAnswerTimeout), due: now.Add(limit),
		}
		e.recoveries[s.key] = r
		for id, p := range e.agents {
			r.ask(id, p)
		}
	}
	r.callers = append(r.callers, recoveryCaller{submission: s, reply: reply})
	e.answerIfComplete(now, r)
}

// ask seals the key at an agent and asks for its records, unless it was asked and its session has stayed.
func (r *recovery) ask(id hibiscusstate.Incarnation, p *Peer) {
	records := r.agents[id]
	if records == nil {
		records = &agentRecords{}
		r.agents[id] = records
	}
	records.lostAt = time.Time{}
	p.Send(NewRecoverMessage(r.request, r.key))
}

// resumeRecoveries asks an agent that has opened a session about the jobs that are being recovered.
func (e *Entry) resumeRecoveries(agent hibiscusstate.Incarnation, p *Peer) {
	for _, r := range e.recoveries {
		r.ask(agent, p)
	}
}

// recovered takes what one agent has. It replaces what the agent said before: a waiting task that was returned is no
// longer in it.
func (e *Entry) handleRecovered(now time.Time, agent hibiscusstate.Incarnation, m Message) {
	r := e.recoveries[m.Key()]
	if r == nil || r.request != m.Request() || r.agents[agent] == nil {
		return
	}
	r.agents[agent].answered = true
	r.agents[agent].reports = m.Reports()
	e.answerIfComplete(now, r)
}

// markAgentLost notes that the session to an agent was lost; until it is back, its tasks count as running for a while.
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

// answerIfComplete answers a recovery when all agents have answered and no task runs, or when its time is up.
func (e *Entry) answerIfComplete(now time.Time, r *recovery) {
	if r.incomplete(now) && now.Before(r.due) {
		return
	}
	delete(e.recoveries, r.key)
	for _, c := range r.callers {
		c.reply(r.answer(c.submission))
	}
}

// open says whether a result may still come.
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

// answer puts the job together for one caller, who may have sent a body, and then the same one as the job's.
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

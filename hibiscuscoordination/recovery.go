package hibiscuscoordination

import (
	"time"

	"hibiscusrouter/hibiscusstate"
)

// What an entry does with a submission whose key another incarnation issued. While that incarnation lives, the submission
// goes to it. When it is gone, this entry asks every agent for what it has under the key and answers from that. It never
// starts a task under a foreign key, which is why no agreement between entries is needed.

const (
	// recoverTimeout is how long an agent may take to answer before it counts as lost.
	recoverTimeout = time.Second
	// recoverLimit is how long a recovery waits for tasks that still run when the submission names no deadline.
	recoverLimit = defaultDeadline
)

// forward is a submission that another entry is to answer.
type forward struct {
	peer       *Peer
	submission *Submission
	reply      func(*Answer)
}

// recovery is a job of a lost entry that is put together from the agents.
type recovery struct {
	key       hibiscusstate.SubmissionKey
	digest    uint64
	hasBody   bool
	request   uint64
	count     int
	tasks     map[int]hibiscusstate.Report
	asked     map[hibiscusstate.Incarnation]bool
	answerDue time.Time
	due       time.Time
	replies   []func(*Answer)
}

func (e *Entry) forward(now time.Time, p *Peer, s *Submission, reply func(*Answer)) {
	e.lastRequest++
	request := e.lastRequest
	if !p.Send(NewForwardMessage(request, s)) {
		e.recover(now, s, reply)
		return
	}
	e.forwards[request] = &forward{peer: p, submission: s, reply: reply}
}

// forwarded answers a submission that another entry passed on; one that is not for this incarnation is not passed on again.
func (e *Entry) forwarded(now time.Time, p *Peer, m Message) {
	answer := func(a *Answer) { p.Send(NewForwardedMessage(m.Request(), a)) }
	if m.Submission().Key().Incarnation() != e.identity.incarnation {
		answer(unknownOutcome(m.Submission().Key()))
		return
	}
	e.routeHere(now, m.Submission(), answer)
}

func (e *Entry) forwardAnswered(m Message) {
	f := e.forwards[m.Request()]
	if f == nil {
		return
	}
	delete(e.forwards, m.Request())
	f.reply(m.Answer())
}

// forwardsLost recovers what was passed to an entry whose session was lost.
func (e *Entry) forwardsLost(now time.Time, p *Peer) {
	for request, f := range e.forwards {
		if f.peer == p {
			delete(e.forwards, request)
			e.recover(now, f.submission, f.reply)
		}
	}
}

func unknownOutcome(key hibiscusstate.SubmissionKey) *Answer {
	return NewRefusal(key, hibiscusstate.RefusalOutcomeUnknown, false,
		"the entry that holds the record of this key is gone; its tasks may have run").WithRetryAfter(recoverTimeout)
}

// recover asks all agents for the tasks of a job whose entry is gone.
func (e *Entry) recover(now time.Time, s *Submission, reply func(*Answer)) {
	r := e.recoveries[s.key]
	if r == nil {
		limit := s.budget
		if limit <= 0 {
			limit = recoverLimit
		}
		e.lastRequest++
		r = &recovery{
			key: s.key, request: e.lastRequest, tasks: map[int]hibiscusstate.Report{},
			asked: map[hibiscusstate.Incarnation]bool{}, answerDue: now.Add(recoverTimeout), due: now.Add(limit),
		}
		e.recoveries[s.key] = r
		for id, p := range e.agents {
			if p.Send(NewRecoverMessage(r.request, r.key)) {
				r.asked[id] = true
			}
		}
	}
	if !s.fetch && !s.cancel {
		r.digest = s.digest
		r.hasBody = true
		r.count = max(r.count, len(s.tasks))
	}
	r.replies = append(r.replies, reply)
	e.tryAnswer(now, r)
}

// recovered takes what one agent has.
func (e *Entry) recovered(now time.Time, agent hibiscusstate.Incarnation, m Message) {
	r := e.recoveries[m.Key()]
	if r == nil || r.request != m.Request() {
		return
	}
	delete(r.asked, agent)
	for _, report := range m.Reports() {
		known, ok := r.tasks[report.ID().Index()]
		if !ok || known.Status() != hibiscusstate.StatusDone {
			r.tasks[report.ID().Index()] = report
		}
		r.count = max(r.count, report.Count())
	}
	e.tryAnswer(now, r)
}

// recoveryLost stops waiting for an agent whose session was lost.
func (e *Entry) recoveryLost(now time.Time, agent hibiscusstate.Incarnation) {
	for _, r := range e.recoveries {
		delete(r.asked, agent)
		e.tryAnswer(now, r)
	}
}

func (e *Entry) expireRecoveries(now time.Time) {
	for _, r := range e.recoveries {
		if !now.Before(r.answerDue) {
			clear(r.asked)
		}
		e.tryAnswer(now, r)
	}
}

// tryAnswer answers a recovery when all agents have answered and no task runs, or when its time is up.
func (e *Entry) tryAnswer(now time.Time, r *recovery) {
	if len(r.asked) > 0 {
		return
	}
	open := false
	for _, report := range r.tasks {
		open = open || report.Status() != hibiscusstate.StatusDone
	}
	if open && now.Before(r.due) {
		return
	}
	delete(e.recoveries, r.key)
	answer := r.answer()
	for _, reply := range r.replies {
		reply(answer)
	}
}

func (r *recovery) answer() *Answer {
	if r.count == 0 {
		return unknownOutcome(r.key)
	}
	tasks := make([]TaskAnswer, r.count)
	state := hibiscusstate.JobComplete
	for i := range tasks {
		report, ok := r.tasks[i]
		if r.hasBody && ok && report.Digest() != r.digest {
			return NewRefusal(r.key, hibiscusstate.RefusalKeyReused, true,
				"this key was used for a submission with another body; the body sent now was not run")
		}
		switch {
		case ok && report.Status() == hibiscusstate.StatusDone:
			tasks[i] = NewTaskAnswer(report.Outcome(), report.Output(), report.Reason())
		default:
			tasks[i] = NewTaskAnswer(hibiscusstate.OutcomeMayHaveRun, nil, "the entry that held the record of the task is gone")
		}
		if tasks[i].Outcome() != hibiscusstate.OutcomeFinished {
			state = hibiscusstate.JobFailed
		}
	}
	return NewJobAnswer(r.key, state, tasks)
}

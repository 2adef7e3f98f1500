package hibiscuscoordination

import (
	"maps"
	"slices"
	"time"

	"hibiscusrouter/hibiscusstate"
)

// A client cancels a named job at any entry. That entry doesn't know which one has the job, and the client may send the job to a third
// one a moment later: it does so whenever it got no answer. So a cancellation goes to all entries. Each ends what it has of the
// job and refuses submissions of that name for cancelRetention, and the client is answered when all have confirmed. An entry
// that was out of reach or has just started gets the cancellations in force when its session opens.

const (
	// cancelRetention is how long submissions of a cancelled job are refused. Clients of the known deployments wait at most 12 s for a
	// job, and send it again within that time.
	cancelRetention = time.Minute
	// cancelRetryAfter is the Retry-After of these refusals. It is longer than a client waits, and shorter than cancelRetention, so that
	// a client that comes back then does not start the job.
	cancelRetryAfter = 30 * time.Second
	// maxCancelledJobs bounds the cancelled jobs that an entry remembers, about 1 MiB; the oldest are forgotten first. With them the
	// message for a new session takes 0.2 s on a link of 19 Mbit/s.
	maxCancelledJobs = 8192
	// cancelTimeout bounds the wait for the other entries. A silent entry is lost after 2.5 s, and what it ran has ended 2.4 s later.
	cancelTimeout = 6 * time.Second
	// cancelRevision is the first revision in which entries handle cancellations.
	cancelRevision = 3
)

// CancelledJob is a cancelled named job, and how much longer its submissions are refused.
type CancelledJob struct {
	name string
	keep time.Duration
}

// NewCancelledJob returns a cancelled job whose submissions are refused for the given time.
func NewCancelledJob(name string, keep time.Duration) CancelledJob {
	return CancelledJob{name: name, keep: keep}
}

// Name returns the name of the job.
func (c CancelledJob) Name() string { return c.name }

// Keep returns how much longer submissions of the job are refused.
func (c CancelledJob) Keep() time.Duration { return c.keep }

// cancelledJob is a cancelled job in the order of the cancellations.
type cancelledJob struct {
	name  string
	until time.Time
}

// cancelRound is a set of cancellations that were sent to the other entries in one message each.
type cancelRound struct {
	jobs    []CancelledJob
	found   map[string]bool
	replies []func()
	// waiting are the entries that have not confirmed; some of them may be without a session at present.
	waiting  []hibiscusstate.Incarnation
	deadline time.Time
	// startsUntil is until when the entries that open a session are waited for too, because this entry has just started, the zero time
	// otherwise.
	startsUntil time.Time
	// failed means that the entries did not all confirm in time.
	failed bool
}

// jobCancellations are the cancelled jobs of an entry, and the rounds that wait for other entries, by request. next is the round of
// the current batch of the event loop: many clients cancel at once, and each entry then gets one message.
type jobCancellations struct {
	until  map[string]time.Time
	order  []cancelledJob
	rounds map[uint64]*cancelRound
	next   *cancelRound
}

func newJobCancellations() *jobCancellations {
	return &jobCancellations{until: map[string]time.Time{}, rounds: map[uint64]*cancelRound{}}
}

// has reports whether submissions of a job are refused.
func (c *jobCancellations) has(now time.Time, name string) bool { return now.Before(c.until[name]) }

// add remembers a cancelled job.
func (c *jobCancellations) add(now time.Time, name string, keep time.Duration) {
	until := now.Add(min(keep, cancelRetention))
	if !until.After(c.until[name]) {
		return
	}
	c.until[name] = until
	c.order = append(c.order, cancelledJob{name: name, until: until})
	c.evict(now)
}

// evict forgets the oldest jobs that have expired or exceed maxCancelledJobs.
func (c *jobCancellations) evict(now time.Time) {
	for len(c.order) > 0 && (len(c.order) > maxCancelledJobs || !now.Before(c.order[0].until)) {
		first := c.order[0]
		c.order = c.order[1:]
		if c.until[first.name].Equal(first.until) {
			delete(c.until, first.name)
		}
	}
}

// inForce returns the cancelled jobs with the time that is left.
func (c *jobCancellations) inForce(now time.Time) []CancelledJob {
	var jobs []CancelledJob
	for _, job := range c.order {
		if now.Before(job.until) {
			jobs = append(jobs, NewCancelledJob(job.name, job.until.Sub(now)))
		}
	}
	return jobs
}

// CancelNamed cancels the job of that name at all entries. reply is called once, on the event loop, and must not block: with whether
// an entry had the job, with ErrNoAnswer when an entry may still have it, or with ErrStopped when this entry is about to stop.
func (e *Entry) CancelNamed(name string, reply func(found bool, err error)) error {
	return e.loop.post(func(now time.Time) { e.cancelNamed(now, name, reply) })
}

func (e *Entry) cancelNamed(now time.Time, name string, reply func(found bool, err error)) {
	if e.dispatcher.draining && !now.Before(e.dispatcher.stopBy) {
		reply(false, ErrStopped)
		return
	}
	c := e.cancels
	if c.next == nil {
		c.next = &cancelRound{found: map[string]bool{}, deadline: now.Add(cancelTimeout)}
		if started := e.dispatcher.startedAt.Add(startGrace); now.Before(started) {
			c.next.startsUntil = started
		}
	}
	r := c.next
	r.jobs = append(r.jobs, NewCancelledJob(name, cancelRetention))
	if e.endCancelled(now, name, cancelRetention) {
		r.found[name] = true
	}
	r.replies = append(r.replies, func() {
		e.log.Info("entry: job cancelled", "job", name, "found", r.found[name], "confirmed", !r.failed,
			"took_ms", e.loop.clock.Now().Sub(now).Milliseconds())
		if r.failed {
			reply(r.found[name], ErrNoAnswer)
			return
		}
		reply(r.found[name], nil)
	})
}

// endCancelled ends what this entry has of a job, refuses its submissions from now on, and reports whether it had any.
func (e *Entry) endCancelled(now time.Time, name string, keep time.Duration) bool {
	e.cancels.add(now, name, keep)
	found := e.dispatcher.CancelNamed(now, name)
	for request := e.claimOf(name); request != 0; request = e.claimOf(name) {
		c := e.claims.claims[request]
		e.dropClaim(request)
		c.reply(newCancelledRefusal(c.submission.key))
		found = true
	}
	if g := e.claims.grants[name]; g != nil {
		for _, c := range g.heldBack {
			c.reply(newCancelledRefusal(c.submission.key))
			found = true
		}
		g.heldBack = nil
	}
	return found
}

// newCancelledRefusal returns the answer to a submission of a cancelled job.
func newCancelledRefusal(key hibiscusstate.SubmissionKey) *Answer {
	return NewRefusal(key, hibiscusstate.RefusalUnknownJob, true, "the job was cancelled before this submission was started").
		WithRetryAfter(cancelRetryAfter)
}

// refuseCancelled refuses a submission of a cancelled job, and reports whether it did.
func (e *Entry) refuseCancelled(now time.Time, s *Submission, reply func(*Answer)) bool {
	if !e.cancels.has(now, s.name) {
		return false
	}
	e.log.Info("entry: submission refused, the job was cancelled", "job", s.name)
	reply(newCancelledRefusal(s.key))
	return true
}

// sendCancellations sends the cancellations of the last batch to the other entries. Entries that were lost lately are waited for.
func (e *Entry) sendCancellations() {
	r := e.cancels.next
	if r == nil {
		return
	}
	e.cancels.next = nil
	e.lastRequest++
	e.cancels.rounds[e.lastRequest] = r
	r.waiting = slices.Collect(maps.Keys(e.claims.lost))
	for id := range e.peers {
		if e.sendCancel(id, NewCancelMessage(e.lastRequest, r.jobs)) {
			r.waiting = append(r.waiting, id)
		}
	}
	e.finishRound(e.lastRequest)
}

// sendCancel sends a cancellation to an entry, and reports whether that will answer; earlier builds don't.
func (e *Entry) sendCancel(id hibiscusstate.Incarnation, m Message) bool {
	sessions := e.peers[id]
	return len(sessions) > 0 && sessions[0].Hello().Revision() >= cancelRevision && sessions[0].Send(m)
}

// handleCancel ends the jobs that a client has cancelled at another entry. Request zero asks for no confirmation.
func (e *Entry) handleCancel(now time.Time, p *Peer, m Message) {
	var found []CancelledJob
	for _, job := range m.CancelledJobs() {
		if e.endCancelled(now, job.name, job.keep) {
			found = append(found, job)
			e.log.Info("entry: job cancelled at another entry", "job", job.name, "entry", p.Hello().Incarnation().String())
		}
	}
	if m.Request() != 0 {
		p.Send(NewCancelledMessage(m.Request(), found))
	}
}

// handleCancelled handles the confirmation of another entry.
func (e *Entry) handleCancelled(id hibiscusstate.Incarnation, m Message) {
	r := e.cancels.rounds[m.Request()]
	if r == nil {
		return
	}
	for _, job := range m.CancelledJobs() {
		r.found[job.name] = true
	}
	e.stopWaiting(m.Request(), id)
}

// stopWaiting records that an entry has confirmed a round or has ended.
func (e *Entry) stopWaiting(request uint64, id hibiscusstate.Incarnation) {
	r := e.cancels.rounds[request]
	r.waiting = slices.DeleteFunc(r.waiting, func(other hibiscusstate.Incarnation) bool { return other == id })
	e.finishRound(request)
}

// finishRound answers the clients of a round when no entry is waited for.
func (e *Entry) finishRound(request uint64) {
	r := e.cancels.rounds[request]
	if (len(r.waiting) > 0 || !r.startsUntil.IsZero()) && !r.failed {
		return
	}
	delete(e.cancels.rounds, request)
	for _, reply := range r.replies {
		reply()
	}
}

// announceCancellations sends an entry whose session has opened what is cancelled, and the rounds that wait for it.
func (e *Entry) announceCancellations(now time.Time, id hibiscusstate.Incarnation) {
	if jobs := e.cancels.inForce(now); len(jobs) > 0 {
		e.sendCancel(id, NewCancelMessage(0, jobs))
	}
	for _, r := range e.cancels.rounds {
		if !r.startsUntil.IsZero() && !slices.Contains(r.waiting, id) {
			r.waiting = append(r.waiting, id)
		}
	}
	e.resendCancellations(id)
}

// resendCancellations sends the rounds that wait for an entry again, after the session that carried them was lost.
func (e *Entry) resendCancellations(id hibiscusstate.Incarnation) {
	for request, r := range e.cancels.rounds {
		if slices.Contains(r.waiting, id) && !e.sendCancel(id, NewCancelMessage(request, r.jobs)) {
			e.stopWaiting(request, id)
		}
	}
}

// entryEnded ends the wait for an entry that was lost for lostRunTimeout.
func (e *Entry) entryEnded(id hibiscusstate.Incarnation) {
	for request := range e.cancels.rounds {
		e.stopWaiting(request, id)
	}
}

// expireCancellations forgets old cancellations and fails the rounds that took too long.
func (e *Entry) expireCancellations(now time.Time) {
	e.cancels.evict(now)
	for request, r := range e.cancels.rounds {
		switch {
		case !now.Before(r.deadline):
			r.failed = true
			e.finishRound(request)
		case !r.startsUntil.IsZero() && !now.Before(r.startsUntil):
			r.startsUntil = time.Time{}
			e.finishRound(request)
		}
	}
}

// failCancellations answers all clients that wait for a cancellation that it is not certain.
func (e *Entry) failCancellations() {
	for request, r := range e.cancels.rounds {
		r.failed = true
		e.finishRound(request)
	}
}

// nextCancellationDue returns when expireCancellations has to run next for a round, the zero time for never.
func (e *Entry) nextCancellationDue() time.Time {
	var next time.Time
	for _, r := range e.cancels.rounds {
		next = earliest(earliest(next, r.deadline), r.startsUntil)
	}
	return next
}

package hibiscuscoordination

import (
	"slices"
	"time"

	"hibiscusrouter/hibiscusstate"
)

// A client sends a named job again, to any entry, when it got no answer in time. The first entry has stopped its runs by then, unless
// it gets the request only afterwards: a request that was held up looks like any other. An entry that was out of contact therefore
// claims such a job at all other entries before it submits it. An entry that has the job itself denies the claim; the others hold back
// submissions of the job until the claim is released. So the two submissions meet whichever entry gets its own first, and a job
// whose request can't have been held up costs nothing.

// claim is a job that this entry submits when all other entries have granted it, or when a claim of another entry has ended.
type claim struct {
	submission *Submission
	caller     uint64
	reply      func(*Answer)
	receivedAt time.Time
	// waiting are the entries that have not answered; some of them may be without a session at present.
	waiting []hibiscusstate.Incarnation
}

// grant is a job that another entry has claimed here.
type grant struct {
	entry hibiscusstate.Incarnation
	// until is when the grant ends if it is not released.
	until time.Time
	// heldBack are the submissions of the job that this entry has received since.
	heldBack []*claim
}

// jobClaims are the claims of an entry, by request, and those that it has granted, by the name of the job.
type jobClaims struct {
	claims map[uint64]*claim
	grants map[string]*grant
	// lost are the entries whose last session has ended, and when.
	lost map[hibiscusstate.Incarnation]time.Time
}

func newJobClaims() *jobClaims {
	return &jobClaims{claims: map[uint64]*claim{}, grants: map[string]*grant{}, lost: map[hibiscusstate.Incarnation]time.Time{}}
}

// submitNamed submits a named job, unless another entry may have it.
func (e *Entry) submitNamed(now time.Time, s *Submission, caller uint64, reply func(*Answer)) {
	if e.refuseCancelled(now, s, reply) {
		return
	}
	c := &claim{submission: s, caller: caller, reply: reply, receivedAt: now}
	if g := e.claims.grants[s.name]; g != nil {
		g.heldBack = append(g.heldBack, c)
		e.log.Info("entry: submission held back, another entry has claimed the job", "job", s.name, "entry", g.entry.String())
		return
	}
	if e.dispatcher.namedJobs[s.name] != nil || !e.contact.mayBeHeldUp(now, s.sentAfter) {
		e.dispatcher.SubmitNamed(now, s, caller, reply)
		return
	}
	e.lastRequest++
	e.claims.claims[e.lastRequest] = c
	for id := range e.claims.lost {
		c.waiting = append(c.waiting, id)
	}
	for id := range e.peers {
		if e.sendClaim(now, e.lastRequest, c, id) {
			c.waiting = append(c.waiting, id)
		}
	}
	e.log.Info("entry: request may have been held up, claiming its job", "job", s.name, "idle_ms", now.Sub(s.sentAfter).Milliseconds(),
		"entries", len(c.waiting))
	e.submitClaimed(now, e.lastRequest)
}

// sendClaim claims a job at another entry, and reports whether that will answer; earlier builds don't.
func (e *Entry) sendClaim(now time.Time, request uint64, c *claim, id hibiscusstate.Incarnation) bool {
	sessions := e.peers[id]
	return len(sessions) > 0 && sessions[0].Hello().Revision() >= claimRevision &&
		sessions[0].Send(NewClaimMessage(request, c.submission.name, e.dispatcher.budget(c.submission)-now.Sub(c.receivedAt)))
}

// handleClaim grants the claim of another entry, or denies it because this entry or a third one has the job.
func (e *Entry) handleClaim(now time.Time, p *Peer, m Message) {
	entry := p.Hello().Incarnation()
	g := e.claims.grants[m.JobName()]
	denied := e.dispatcher.namedJobs[m.JobName()] != nil || g != nil && g.entry != entry || e.claimOf(m.JobName()) != 0 ||
		e.cancels.has(now, m.JobName())
	if !denied && g == nil {
		e.claims.grants[m.JobName()] = &grant{entry: entry, until: now.Add(m.Budget() + reportGrace)}
	}
	e.log.Info("entry: another entry claims a job", "job", m.JobName(), "entry", entry.String(), "denied", denied)
	p.Send(NewClaimedMessage(m.Request(), denied))
}

// claimOf returns the request of this entry's claim of a job, zero for none.
func (e *Entry) claimOf(name string) uint64 {
	for request, c := range e.claims.claims {
		if c.submission.name == name {
			return request
		}
	}
	return 0
}

// handleClaimed handles the answer of another entry to a claim.
func (e *Entry) handleClaimed(now time.Time, entry hibiscusstate.Incarnation, m Message) {
	c := e.claims.claims[m.Request()]
	if c == nil {
		return
	}
	if m.Denied() {
		e.dropClaim(m.Request())
		c.refuse("another entry runs the job")
		return
	}
	c.waiting = slices.DeleteFunc(c.waiting, func(id hibiscusstate.Incarnation) bool { return id == entry })
	e.submitClaimed(now, m.Request())
}

// submitClaimed submits a job once no entry has to answer any more.
func (e *Entry) submitClaimed(now time.Time, request uint64) {
	c := e.claims.claims[request]
	if len(c.waiting) > 0 {
		return
	}
	delete(e.claims.claims, request)
	name, reply := c.submission.name, c.reply
	c.reply = func(a *Answer) {
		e.releaseJob(name)
		reply(a)
	}
	e.resumeClaim(now, c)
}

// resumeClaim submits the job of a claim with the time that is left until its deadline.
func (e *Entry) resumeClaim(now time.Time, c *claim) {
	left := e.dispatcher.budget(c.submission) - now.Sub(c.receivedAt)
	if left <= 0 {
		c.refuse("the deadline passed while another entry had the job")
		return
	}
	e.dispatcher.SubmitNamed(now, c.submission.WithBudget(left), c.caller, c.reply)
}

// dropClaim deletes a claim and releases its job.
func (e *Entry) dropClaim(request uint64) {
	name := e.claims.claims[request].submission.name
	delete(e.claims.claims, request)
	e.releaseJob(name)
}

func (e *Entry) releaseJob(name string) {
	for _, sessions := range e.peers {
		if sessions[0].Hello().Revision() >= claimRevision {
			sessions[0].Send(NewReleaseMessage(name))
		}
	}
}

// handleRelease ends the grant of a job to another entry.
func (e *Entry) handleRelease(now time.Time, entry hibiscusstate.Incarnation, name string) {
	if g := e.claims.grants[name]; g != nil && g.entry == entry {
		e.endGrant(now, name, g)
	}
}

// endGrant submits what was held back by a grant.
func (e *Entry) endGrant(now time.Time, name string, g *grant) {
	delete(e.claims.grants, name)
	for _, c := range g.heldBack {
		e.resumeClaim(now, c)
	}
}

// dropCaller drops the claims and the submissions that were held back of a caller that has left, and reports whether it had one.
func (e *Entry) dropCaller(name string, caller uint64) bool {
	if request := e.claimOf(name); request != 0 && e.claims.claims[request].caller == caller {
		e.dropClaim(request)
		return true
	}
	g := e.claims.grants[name]
	if g == nil {
		return false
	}
	n := len(g.heldBack)
	g.heldBack = slices.DeleteFunc(g.heldBack, func(c *claim) bool { return c.caller == caller })
	return len(g.heldBack) < n
}

// entryConnected sends an entry that is back the claims that wait for it.
func (e *Entry) entryConnected(now time.Time, id hibiscusstate.Incarnation) {
	delete(e.claims.lost, id)
	for request, c := range e.claims.claims {
		if slices.Contains(c.waiting, id) && !e.sendClaim(now, request, c, id) {
			c.waiting = slices.DeleteFunc(c.waiting, func(other hibiscusstate.Incarnation) bool { return other == id })
			e.submitClaimed(now, request)
		}
	}
}

// entryLost records the loss of the last session to an entry. What it may still run ends within lostRunTimeout, unless only this
// entry can't reach it.
func (e *Entry) entryLost(now time.Time, id hibiscusstate.Incarnation) {
	e.claims.lost[id] = now
	for _, g := range e.claims.grants {
		if g.entry == id && g.until.After(now.Add(lostRunTimeout)) {
			g.until = now.Add(lostRunTimeout)
		}
	}
}

// expireClaims stops waiting for lost entries after lostRunTimeout, refuses claims whose deadline has passed, and ends grants that
// were not released.
func (e *Entry) expireClaims(now time.Time) {
	for id, lostAt := range e.claims.lost {
		if now.Sub(lostAt) < lostRunTimeout {
			continue
		}
		delete(e.claims.lost, id)
		e.entryEnded(id)
		for request, c := range e.claims.claims {
			c.waiting = slices.DeleteFunc(c.waiting, func(other hibiscusstate.Incarnation) bool { return other == id })
			e.submitClaimed(now, request)
		}
	}
	for request, c := range e.claims.claims {
		if now.Sub(c.receivedAt) >= e.dispatcher.budget(c.submission) {
			e.refuseClaim(request, "the deadline passed before the other entries had answered whether they run the job")
		}
	}
	for name, g := range e.claims.grants {
		if !now.Before(g.until) {
			e.endGrant(now, name, g)
		}
	}
}

// refuseClaim answers a claim whose job was not submitted.
func (e *Entry) refuseClaim(request uint64, reason string) {
	c := e.claims.claims[request]
	e.dropClaim(request)
	c.refuse(reason)
}

// refuse answers the caller of a job that this entry does not run, and another one may have run.
func (c *claim) refuse(reason string) {
	c.reply(NewRefusal(c.submission.key, hibiscusstate.RefusalOutcomeUnknown, false, reason))
}

// nextClaimDue returns when expireClaims has to run next, the zero time for never.
func (e *Entry) nextClaimDue() time.Time {
	var next time.Time
	for _, lostAt := range e.claims.lost {
		next = earliest(next, lostAt.Add(lostRunTimeout))
	}
	for _, c := range e.claims.claims {
		next = earliest(next, c.receivedAt.Add(e.dispatcher.budget(c.submission)))
	}
	for _, g := range e.claims.grants {
		next = earliest(next, g.until)
	}
	return next
}

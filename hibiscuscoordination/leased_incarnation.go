package hibiscuscoordination

import (
	"context"
	"time"

	"hibiscusrouter/hibiscusscheduling"
	"hibiscusrouter/hibiscusstate"
)

// Which incarnation of the endpoint a LeasedEndpoint uses: announcements, withdrawals, and the replacement of one that is gone.

// Announce processes an announcement of the endpoint before it returns. One that is outdated is ignored, and one of another
// incarnation is kept until the current one is gone.
func (w *LeasedEndpoint) Announce(a Announcement) error {
	_, err := runAndWait(w.loop, func(now time.Time) bool {
		switch {
		case w.isCurrent(a):
		case w.isSuccessor(a.incarnation):
			w.startIncarnation(now, a.incarnation)
		case a.incarnation.startMs > w.incarnation.startMs:
			if w.candidate.incarnation != a.incarnation {
				w.log.Info("endpoint: announcement kept until the current endpoint is gone", "endpoint", a.incarnation.id,
					"born", a.incarnation.startMs, "service", a.service, "address", a.incarnation.address,
					"current", w.incarnation.id, "current_born", w.incarnation.startMs)
				// The polls under way may have been sent to an endpoint that is gone, and get no answer until their timeout.
				w.goroutines.Go(func() { w.pollOnce(context.Background(), 0) })
			}
			w.candidate = a
			return false
		default:
			w.log.Warn("endpoint: outdated announcement ignored", "endpoint", a.incarnation.id, "born", a.incarnation.startMs,
				"sequence", a.sequence, "service", a.service, "address", a.incarnation.address)
			return false
		}
		w.applyAnnouncement(now, a)
		return true
	})
	if err != nil {
		return err
	}
	w.wakePoll()
	return nil
}

// applyAnnouncement applies an announcement of the current incarnation.
func (w *LeasedEndpoint) applyAnnouncement(now time.Time, a Announcement) {
	if a.draining && !w.announcement.draining {
		age := w.announcementAge(now, a)
		w.startBy = hibiscusscheduling.NewNotice(now.Add(-age), a.remaining).StartBy()
		w.log.Info("endpoint: draining", "endpoint", a.incarnation.id, "running", len(w.runs), "remaining_ms", a.remaining.Milliseconds(),
			"age_ms", age.Milliseconds())
		w.logError(w.seams.leave(age, a.remaining))
	}
	if !a.draining {
		w.startBy = time.Time{}
	}
	if a.cold > 0 {
		w.observeCold(now, a)
	}
	if a.rack != w.announcement.rack && w.seams.locate != nil {
		w.logError(w.seams.locate(a.rack))
	}
	w.announcement, w.withdrawn = a, false
	w.offerCapacity(now)
}

// wakePoll ends the delay before the next poll.
func (w *LeasedEndpoint) wakePoll() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// isCurrent reports whether an announcement is the next one of the current incarnation, which never changes its service.
func (w *LeasedEndpoint) isCurrent(a Announcement) bool {
	return a.incarnation == w.incarnation && a.sequence > w.announcement.sequence &&
		(w.announcement.incarnation != w.incarnation || w.announcement.service == a.service)
}

// isSuccessor reports whether an announced incarnation replaces the current one. Anyone can send an announcement, so while the
// current endpoint is in use only its own responses end it: a response with another start, a refused connection, a response of
// another ID, or silence until its lease has expired. Once it is gone, any incarnation is tried, because the time of day may have
// been set back between two starts; it gets no tasks before its first list.
func (w *LeasedEndpoint) isSuccessor(next EndpointIncarnation) bool {
	return next != w.incarnation && (w.gone || !w.stateKnown && next.startMs >= w.incarnation.startMs)
}

// markGone records that the endpoint is gone. It is polled on, as it may be back, unless it has withdrawn its announcement and no run is
// left.
func (w *LeasedEndpoint) markGone(now time.Time) {
	w.stateKnown, w.gone = false, true
	if w.withdrawn && len(w.runs) == 0 {
		w.incarnation = EndpointIncarnation{}
	}
	w.adoptCandidate(now)
}

// adoptCandidate replaces an endpoint that is gone by the incarnation that has announced itself meanwhile, if there is one.
func (w *LeasedEndpoint) adoptCandidate(now time.Time) {
	a := w.candidate
	if a.incarnation.id == "" || a.incarnation == w.incarnation {
		return
	}
	w.candidate = Announcement{}
	w.startIncarnation(now, a.incarnation)
	w.applyAnnouncement(now, a)
	w.wakePoll()
}

// WithdrawAnnouncement handles the request of the endpoint with an ID to delete its announcement, because it shuts down. It gets no
// new tasks from then on; its runs end when it no longer responds, because anyone can send such a request.
func (w *LeasedEndpoint) WithdrawAnnouncement(id string) error {
	return w.loop.post(func(time.Time) {
		if id != w.incarnation.id {
			return
		}
		w.log.Info("endpoint: shut down", "endpoint", id, "running", len(w.runs))
		w.withdrawn = true
		w.withdrawOffer("the endpoint shuts down")
	})
}

// startIncarnation resets the state for an endpoint that has restarted, and raises the epoch. The runs that are left stay until a
// list with the raised epoch.
func (w *LeasedEndpoint) startIncarnation(now time.Time, incarnation EndpointIncarnation) {
	w.incarnation = incarnation
	w.epoch = max(w.epoch+1, uint64(now.UnixMilli()))
	w.log.Info("endpoint: new incarnation", "endpoint", incarnation.id, "born", incarnation.startMs, "address", incarnation.address,
		"epoch", w.epoch, "runs_in_doubt", len(w.runs))
	w.announcement.sequence = 0
	w.announcement.draining = false
	w.startBy, w.coldUntil, w.coldTotal = time.Time{}, time.Time{}, 0
	w.cursor, w.endpointClock, w.stateKnown, w.gone, w.lastAnswerAt = 0, 0, false, false, now
	w.consecutiveStalls, w.suspension, w.suspendedUntil = 0, 0, time.Time{}
	w.withdrawn = false
	clear(w.orphans)
	if len(w.runs) > 0 {
		w.extendLease(now)
	}
	w.withdrawOffer("the endpoint has restarted")
}

// announcementAge returns how long ago an announcement was made, by the endpoint's clock, zero if that is not known. An agent that was
// suspended reads it late, and the times of a notice count from the announcement.
func (w *LeasedEndpoint) announcementAge(now time.Time, a Announcement) time.Duration {
	if a.clock == 0 || w.endpointClock == 0 {
		return 0
	}
	age := time.Duration(w.endpointClock-a.clock)*time.Millisecond + now.Sub(w.clockReadAt)
	if age < 0 || age > maxAnnouncementAge {
		return 0
	}
	return age
}

// observeCold records until when the endpoint is slow. The ramp of its slots begins with the first announcement of that.
func (w *LeasedEndpoint) observeCold(now time.Time, a Announcement) {
	if w.coldTotal == 0 {
		w.log.Info("endpoint: slow after its start, its slots are offered in a ramp", "endpoint", a.incarnation.id,
			"for_ms", a.cold.Milliseconds())
	}
	w.coldUntil = now.Add(a.cold)
	w.coldTotal = max(w.coldTotal, a.cold)
}

// offeredResources returns what is offered of the endpoint's resources: few slots after a suspension, and a growing part of them while
// the endpoint is cold, at least as many as a run here has taken.
func (w *LeasedEndpoint) offeredResources(now time.Time) hibiscusstate.Resources {
	r := w.announcement.resources
	slots := hibiscusscheduling.RampedSlots(r.Slots(), w.coldUntil.Sub(now), w.coldTotal)
	if w.suspension > 0 {
		slots = min(slots, r.Slots()/resumedSlotsDivisor)
	}
	if slots == r.Slots() {
		return r
	}
	return hibiscusstate.NewResources(max(slots, min(w.maxRunSlots, r.Slots())), r.Memory(), r.Accelerators())
}

package hibiscusscheduling

import "time"

const (
	// noticeWindow is how long after the announcement of a leaving endpoint tasks may still be sent to it. The start of an order takes
	// up to 0.2 s, and none may be later than 2 s after the announcement.
	noticeWindow = 1500 * time.Millisecond
	// entryNoticeWindow is the same at an entry, from the arrival of the agent's message. It leaves 0.1 s for the message.
	entryNoticeWindow = 1400 * time.Millisecond
	// noticeStartLimit is how long after the announcement a start may still be requested.
	noticeStartLimit = 1900 * time.Millisecond
	// A task needs noticeRunFactor times its expected run time and noticeMargin until the endpoint is gone: run times are wrong by 40%,
	// and a task that is cut off has to run again elsewhere.
	noticeRunFactor = 2
	noticeMargin    = 200 * time.Millisecond
	// coldMinPercent is the percentage of its slots that an endpoint is offered with when it has just started, and coldStepPercent the
	// step of the ramp: each one is a message to every entry.
	coldMinPercent  = 50
	coldStepPercent = 10
)

// Notice is the announcement of an endpoint that it is leaving: until when tasks may still be sent there, and which. It handles workers
// that are taken away with 2 s of notice, 17% of them at once: their slots are of use for short tasks for most of that time. The zero
// value is that of an endpoint that is not leaving.
type Notice struct {
	announcedAt time.Time
	until       time.Time
	goneAt      time.Time
}

// NewNotice returns the notice at an agent: the endpoint announced at announcedAt that it would stay for at least remaining, zero for
// unknown. Then no tasks may be sent.
func NewNotice(announcedAt time.Time, remaining time.Duration) Notice {
	return Notice{announcedAt: announcedAt, until: announcedAt.Add(noticeWindow), goneAt: announcedAt.Add(max(remaining, 0))}
}

// NewEntryNotice returns the notice at an entry, which received it at now: the endpoint stays for remaining from then on.
func NewEntryNotice(now time.Time, remaining time.Duration) Notice {
	return Notice{announcedAt: now, until: now.Add(entryNoticeWindow), goneAt: now.Add(max(remaining, 0))}
}

// Open reports whether any task may still be sent.
func (n Notice) Open(now time.Time) bool {
	return now.Before(n.until) && now.Add(noticeMargin).Before(n.goneAt)
}

// Admits reports whether a task with an expected run time, zero for unknown, may still be sent.
func (n Notice) Admits(now time.Time, expected time.Duration) bool {
	return expected > 0 && now.Before(n.until) && !now.Add(noticeRunFactor*expected+noticeMargin).After(n.goneAt)
}

// Closed returns the notice without the time in which tasks may be sent.
func (n Notice) Closed() Notice {
	return Notice{announcedAt: n.announcedAt, until: n.announcedAt, goneAt: n.announcedAt}
}

// Remaining returns how long the endpoint stays while tasks may be sent, otherwise zero.
func (n Notice) Remaining(now time.Time) time.Duration {
	if !n.Open(now) {
		return 0
	}
	return n.goneAt.Sub(now)
}

// StartBy returns when the last start may be requested, the zero time for an endpoint that is not leaving.
func (n Notice) StartBy() time.Time {
	if n.announcedAt.IsZero() {
		return time.Time{}
	}
	return n.announcedAt.Add(noticeStartLimit)
}

// RampedSlots returns how many slots of a cold endpoint are offered: it is slow for remaining of the total time after its start. It handles
// workers that come back at once, as after a loss of power, and are slow while all queues are full.
func RampedSlots(slots int, remaining, total time.Duration) int {
	if remaining <= 0 || total <= 0 {
		return slots
	}
	percent := 100 - int((100-coldMinPercent)*min(remaining, total)/total)
	percent -= percent % coldStepPercent
	return max(slots*percent/100, min(slots, 1))
}

package hibiscustransport

import (
	"sync/atomic"
	"time"
)

const (
	// pingAfter and silentAfter apply while task frames move: an unresponsive connection is detected within a second.
	pingAfter   = 400 * time.Millisecond
	silentAfter = 900 * time.Millisecond
	// idlePingAfter and idleSilentAfter apply otherwise, to stay within 8 KB/s for twelve sessions of a node.
	idlePingAfter   = time.Second
	idleSilentAfter = 2500 * time.Millisecond
	// activeFor is how long after a task frame the short times apply.
	activeFor = 2 * time.Second
	// acceptorPingFactor times the time to a ping is that of the end that accepted the connection. The dialer's ping arrives before it, so
	// that a quiet session costs one ping and one pong at a time instead of two.
	acceptorPingFactor = 1.5
)

// activity records when a session last received a frame and when task frames moved, as offsets from its start on the steady clock.
// The time of day may jump by seconds, which would close every session as silent or keep a dead one open. It is safe for concurrent
// use.
type activity struct {
	dialer       bool
	start        time.Time
	lastReceived atomic.Int64
	// activeSince and lastTaskFrame are the offsets of the first and the last task frame of a period in which task frames move.
	activeSince   atomic.Int64
	lastTaskFrame atomic.Int64
}

// newActivity returns the activity of a session that starts now and has been idle for long.
func newActivity(now time.Time, dialer bool) *activity {
	a := &activity{start: now, dialer: dialer}
	a.lastTaskFrame.Store(int64(-activeFor))
	return a
}

func (a *activity) offset(now time.Time) time.Duration { return now.Sub(a.start) }

// received records that a frame was received.
func (a *activity) received(now time.Time) { a.lastReceived.Store(int64(a.offset(now))) }

// lastReceivedAt returns when the last frame was received.
func (a *activity) lastReceivedAt() time.Time {
	return a.start.Add(time.Duration(a.lastReceived.Load()))
}

// taskFrame records that a task frame was sent or received, and reports whether the short times apply from now on.
func (a *activity) taskFrame(now time.Time) bool {
	at := a.offset(now)
	begins := at-time.Duration(a.lastTaskFrame.Load()) >= activeFor
	if begins {
		a.activeSince.Store(int64(at))
	}
	a.lastTaskFrame.Store(int64(at))
	return begins
}

// silence returns for how long nothing was received, and after which such time this end pings and then closes the session. The
// short times count from the first task frame: an idle session may legitimately receive nothing for a second.
func (a *activity) silence(now time.Time) (quiet, ping, silent time.Duration) {
	at, since := a.offset(now), time.Duration(a.lastReceived.Load())
	ping, silent = idlePingAfter, idleSilentAfter
	if at-time.Duration(a.lastTaskFrame.Load()) < activeFor {
		since = max(since, time.Duration(a.activeSince.Load()))
		ping, silent = pingAfter, silentAfter
	}
	if !a.dialer {
		ping = time.Duration(acceptorPingFactor * float64(ping))
	}
	return at - since, ping, silent
}

package hibiscustransport

import (
	"sync"
	"time"

	"hibiscusrouter/hibiscuscoordination"
)

// stamps are the stamps of one session (hibiscuscoordination.Timing). The goroutines of both streams and the event loop use them.
type stamps struct {
	start      time.Time
	mu         sync.Mutex
	received   time.Duration
	receivedAt time.Time
}

// newStamps returns the stamps of a session that opens now.
func newStamps(now time.Time) *stamps { return &stamps{start: now} }

// outgoing returns the timing of a message that is queued now and carries a decision made at decidedAt, or now if that is zero.
func (s *stamps) outgoing(now, decidedAt time.Time) hibiscuscoordination.Timing {
	if decidedAt.IsZero() {
		decidedAt = now
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// A stamp is never zero, which would mean that there is none.
	sent := max(now.Sub(s.start), time.Microsecond)
	if s.received == 0 {
		return hibiscuscoordination.NewTiming(sent, 0, 0)
	}
	return hibiscuscoordination.NewTiming(sent, s.received, decidedAt.Sub(s.receivedAt))
}

// incoming records the stamp of a message that was received now, and returns the message with its origin. An echo can't be later than
// now, whatever the peer sends.
func (s *stamps) incoming(now time.Time, m hibiscuscoordination.Message) hibiscuscoordination.Message {
	t := m.Timing()
	s.mu.Lock()
	if t.Sent() > s.received {
		s.received, s.receivedAt = t.Sent(), now
	}
	s.mu.Unlock()
	if t.Echo() == 0 {
		return m
	}
	earliest := func(at time.Time) time.Time {
		if at.After(now) {
			return now
		}
		return at
	}
	echoedAt := s.start.Add(t.Echo())
	return m.WithOrigin(earliest(echoedAt), earliest(echoedAt.Add(t.Held())))
}

package hibiscustransport

import (
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"hibiscusrouter/hibiscuscoordination"
)

// sessionStats counts the sessions of a process for its metrics.
type sessionStats struct {
	opened     atomic.Uint64
	reconnects atomic.Uint64
	silent     atomic.Uint64
	refused    atomic.Uint64
	mu         sync.Mutex
	open       map[*Session]struct{}
	ended      hibiscuscoordination.RingSnapshot
	strangers  *strangers
}

func newSessionStats() *sessionStats {
	return &sessionStats{open: map[*Session]struct{}{}, strangers: newStrangers()}
}

func (s *sessionStats) add(session *Session) {
	s.opened.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[session] = struct{}{}
}

// remove removes an ended session but keeps its largest depth and its drops, so that the totals never decrease.
func (s *sessionStats) remove(session *Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, session)
	rings := session.rings()
	s.ended = s.ended.Merge(hibiscuscoordination.NewRingSnapshot(0, rings.MaxDepth(), rings.Dropped()))
}

func (s *sessionStats) countEnd(err error) {
	switch {
	case errors.Is(err, ErrSilent):
		s.silent.Add(1)
	case errors.Is(err, ErrHandshake):
		s.refused.Add(1)
	}
}

func (s *sessionStats) counters() hibiscuscoordination.SessionCounters {
	s.mu.Lock()
	defer s.mu.Unlock()
	rings := s.ended
	for session := range s.open {
		rings = rings.Merge(session.rings())
	}
	return hibiscuscoordination.NewSessionCounters(
		len(s.open), s.opened.Load(), s.reconnects.Load(), s.silent.Load(), s.refused.Load(), rings)
}

// rings returns the combined state of both writers' rings.
func (s *Session) rings() hibiscuscoordination.RingSnapshot {
	c, t := s.control.ring, s.tasks.ring
	return hibiscuscoordination.NewRingSnapshot(c.Len(), c.MaxDepth(), c.Dropped()).
		Merge(hibiscuscoordination.NewRingSnapshot(t.Len(), t.MaxDepth(), t.Dropped()))
}

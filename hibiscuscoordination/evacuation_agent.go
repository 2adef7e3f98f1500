package hibiscuscoordination

import (
	"slices"
	"time"

	"hibiscusrouter/hibiscusscheduling"
	"hibiscusrouter/hibiscusstate"
)

// Evacuation at an agent: it keeps the set with the highest revision, tells entries that have an older one, and starts nothing while its
// own failure domain is evacuated, whether or not it has a session to an entry.

// handleEvacuation handles the set of an entry. Entries with an older set are sent this one.
func (a *Agent) handleEvacuation(now time.Time, p *Peer, set hibiscusscheduling.Evacuation) {
	p.evacuation = set.Announced()
	if accepted, changed := a.evacuated.accept(set); accepted {
		evacuated := set.Has(a.identity.Domain())
		if changed {
			a.log.Info("evacuation: set of domains in force", "revision", set.Revision(), "domains", set.Domains(),
				"source", p.Hello().Address(), "own_domain", a.identity.Domain(), "evacuated", evacuated)
		}
		// Entries learn the set before the rejections, so that they don't send the tasks here again.
		for _, entry := range a.entries {
			a.evacuated.send(now, entry)
		}
		a.manager.SetEvacuated(now, evacuated)
	}
	a.evacuated.send(now, p)
	a.manager.ReleaseOffer(now, p.Hello().Incarnation())
}

// exchangeEvacuation prepares the session to an entry that has connected. No capacity is offered to an entry with a newer set before the
// set has arrived, which the entry sends at once: an agent that has restarted would otherwise take tasks in an evacuated domain.
func (a *Agent) exchangeEvacuation(now time.Time, p *Peer) {
	if p.Hello().Evacuation() > a.evacuated.set.Revision() {
		a.manager.HoldOffer(p.Hello().Incarnation())
	}
	a.evacuated.send(now, p)
}

// hideEvacuated returns the capacity as sent to an entry: earlier releases don't know evacuations and would send orders on and on, which
// are all rejected, so for them the worker is drained.
func (a *Agent) hideEvacuated(p *Peer, m Message) Message {
	if m.Kind() != MessageCapacity || !a.manager.evacuated || p.Hello().Revision() >= evacuationRevision {
		return m
	}
	return NewCapacityMessage(m.Capacity().WithDrained(true))
}

// SetEvacuated sets whether the failure domain of the agent is evacuated. While it is, orders and waiting tasks are rejected, also those
// of a sealed job: nothing may start. Running tasks continue.
func (s *SlotManager) SetEvacuated(now time.Time, evacuated bool) {
	if s.evacuated == evacuated {
		return
	}
	s.evacuated = evacuated
	s.broadcastCapacity(now)
	if !evacuated {
		s.startWaiting(now)
		return
	}
	for _, t := range slices.Clone(s.waiting) {
		s.rejectWaiting(t, hibiscusstate.RejectionLeaving)
	}
	s.flush()
}

// Evacuated reports whether the failure domain of the agent is evacuated.
func (s *SlotManager) Evacuated() bool { return s.evacuated }

// HoldOffer makes the agent offer no slots to an entry until ReleaseOffer.
func (s *SlotManager) HoldOffer(entry hibiscusstate.Incarnation) {
	s.entryState(entry).offerHeld = true
}

// ReleaseOffer ends HoldOffer.
func (s *SlotManager) ReleaseOffer(now time.Time, entry hibiscusstate.Incarnation) {
	if c := s.entryState(entry); c.offerHeld {
		c.offerHeld = false
		s.send(entry, NewCapacityMessage(s.Capacity(now, entry)))
	}
}

package hibiscuscoordination

import (
	"time"

	"hibiscusrouter/hibiscusstate"
)

// announcementInterval is the least time between two announcements of changes. When 55 entries start within a second, each has 54
// changes; one message for each to 294 processes, with the whole list in it, is 36 MB for an entry with a link of 3 MB a second.
const announcementInterval = 100 * time.Millisecond

// memberAnnouncer decides when an entry announces changes of its member list, and which.
type memberAnnouncer struct {
	announced   map[hibiscusstate.Incarnation]Member
	announcedAt time.Time
	pending     bool
	// listed are the members that a whole list has contained since the last announcement. One that goes before it is announced must be
	// announced as gone to the receivers of that list.
	listed map[hibiscusstate.Incarnation]bool
}

// list records that a whole list was sent to a process that has connected, and returns it.
func (a *memberAnnouncer) list(members []Member) []Member {
	if a.listed == nil {
		a.listed = map[hibiscusstate.Incarnation]bool{}
	}
	for _, m := range members {
		a.listed[m.incarnation] = true
	}
	return members
}

// markChanged records that the member list has changed.
func (a *memberAnnouncer) markChanged() { a.pending = true }

// nextDue returns when the changes are announced, the zero time while there are none.
func (a *memberAnnouncer) nextDue() time.Time {
	if !a.pending {
		return time.Time{}
	}
	return a.announcedAt.Add(announcementInterval)
}

// take returns the members that are new or have changed since the last announcement, and those that are gone. It reports false
// unless an announcement is due and there are any.
func (a *memberAnnouncer) take(now time.Time, members []Member) (changed []Member, removed []hibiscusstate.Incarnation, ok bool) {
	if !a.pending || now.Before(a.nextDue()) {
		return nil, nil, false
	}
	a.pending, a.announcedAt = false, now
	current := make(map[hibiscusstate.Incarnation]Member, len(members))
	for _, m := range members {
		current[m.incarnation] = m
		if previous, known := a.announced[m.incarnation]; !known || previous != m {
			changed = append(changed, m)
		}
	}
	for id := range a.announced {
		if _, stays := current[id]; !stays {
			removed = append(removed, id)
			delete(a.listed, id)
		}
	}
	for id := range a.listed {
		if _, stays := current[id]; !stays {
			removed = append(removed, id)
		}
	}
	a.announced, a.listed = current, nil
	return changed, removed, len(changed)+len(removed) > 0
}

// announceMembers sends the changes of the member list to all processes when they are due. Processes before revision 1 are sent
// the whole list.
func (e *Entry) announceMembers(now time.Time) {
	if !e.announcer.pending {
		return
	}
	members := e.memberList()
	changed, removed, ok := e.announcer.take(now, members)
	if !ok {
		return
	}
	changes, list := NewMemberChangesMessage(changed, removed), NewMembersMessage(members)
	e.eachPeer(func(p *Peer) {
		if p.Hello().Revision() == 0 {
			p.Send(list)
			return
		}
		p.Send(changes)
	})
}

package hibiscuscoordination

import (
	"slices"
	"time"

	"hibiscusrouter/hibiscusstate"
)

// Member lists are how a process finds the entries. Each entry sends the others and its agents the list of entries that it has
// sessions with when a session opens, and then the changes (memberAnnouncer). A list is valid while its sender is connected, and for a
// retention time after that: entries that have stopped are removed, and a process that has lost all its sessions can still dial
// entries.

const (
	// listRetention is how long the list of a disconnected entry is valid while other entries are connected.
	listRetention = 10 * time.Second
	// isolatedRetention is how long it is valid while none is: connections between regions are lost for minutes.
	isolatedRetention = 10 * time.Minute
)

// memberLists holds the latest list of each entry, and the live entries of the latest read of the table.
type memberLists struct {
	lists map[hibiscusstate.Incarnation]*memberList
	table []Member
	// merged is the result of all, nil after a change. With 55 entries it merges 55 lists of 55 members, four times a second.
	merged []Member
}

type memberList struct {
	members []Member
	lostAt  time.Time
}

func newMemberLists() *memberLists {
	return &memberLists{lists: map[hibiscusstate.Incarnation]*memberList{}}
}

// set stores the list of a connected entry.
func (l *memberLists) set(sender hibiscusstate.Incarnation, members []Member) {
	l.lists[sender] = &memberList{members: members}
	l.merged = nil
}

// setTable stores the live entries of the latest read of the table.
func (l *memberLists) setTable(members []Member) {
	l.table = members
	l.merged = nil
}

// apply stores the list of a connected entry, or applies its changes to the last one.
func (l *memberLists) apply(sender hibiscusstate.Incarnation, m Message) {
	list := l.lists[sender]
	if !m.Changes() || list == nil {
		l.set(sender, m.Members())
		return
	}
	kept := slices.DeleteFunc(slices.Clone(list.members), func(member Member) bool {
		return slices.Contains(m.Removed(), member.incarnation) ||
			slices.ContainsFunc(m.Members(), func(next Member) bool { return next.incarnation == member.incarnation })
	})
	l.set(sender, append(kept, m.Members()...))
}

// markLost records that the last session to an entry has ended.
func (l *memberLists) markLost(now time.Time, entry hibiscusstate.Incarnation) {
	if list := l.lists[entry]; list != nil {
		list.lostAt = now
	}
}

// expire removes the lists of entries that have been disconnected for longer than the retention.
func (l *memberLists) expire(now time.Time) {
	retention := isolatedRetention
	for _, list := range l.lists {
		if list.lostAt.IsZero() {
			retention = listRetention
		}
	}
	for entry, list := range l.lists {
		if !list.lostAt.IsZero() && now.Sub(list.lostAt) >= retention {
			delete(l.lists, entry)
			l.merged = nil
		}
	}
}

// expected returns the entries that should be running: those of the table, where the row of a stopped entry is skipped within 20 s,
// or the listed ones before the first read. An entry that has crashed may stay listed for minutes.
func (l *memberLists) expected() []Member {
	if l.table != nil {
		return l.table
	}
	return l.all()
}

// all returns the listed entries, each once. The caller must not change the list.
func (l *memberLists) all() []Member {
	if l.merged == nil {
		l.merged = l.merge()
	}
	return l.merged
}

func (l *memberLists) merge() []Member {
	seen := map[hibiscusstate.Incarnation]bool{}
	members := []Member{}
	add := func(list []Member) {
		for _, m := range list {
			if !seen[m.Incarnation()] {
				seen[m.Incarnation()] = true
				members = append(members, m)
			}
		}
	}
	for _, list := range l.lists {
		add(list.members)
	}
	add(l.table)
	return members
}

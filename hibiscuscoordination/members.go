package hibiscuscoordination

import (
	"time"

	"hibiscusrouter/hibiscusstate"
)

// Which entries a process knows of. Each entry tells the others and its agents which entries it has sessions with. A list
// counts while the entry that sent it is connected, and a while longer, so that entries that are gone for good are
// forgotten and a process that has lost all its sessions still knows where to look.

const (
	// listRetention is how long the list of a lost entry counts while other entries are connected.
	listRetention = 10 * time.Second
	// isolatedRetention is how long it counts while none is: regions lose each other for minutes.
	isolatedRetention = 10 * time.Minute
)

// memberLists holds the latest list of each entry, and the latest reading of the table.
type memberLists struct {
	lists map[hibiscusstate.Incarnation]*memberList
	table []Member
}

type memberList struct {
	members []Member
	lostAt  time.Time
}

func newMemberLists() *memberLists {
	return &memberLists{lists: map[hibiscusstate.Incarnation]*memberList{}}
}

// set takes the list of a connected entry.
func (l *memberLists) set(from hibiscusstate.Incarnation, members []Member) {
	l.lists[from] = &memberList{members: members}
}

// markLost notes that the last session to an entry ended.
func (l *memberLists) markLost(now time.Time, entry hibiscusstate.Incarnation) {
	if list := l.lists[entry]; list != nil {
		list.lostAt = now
	}
}

// expire drops the lists of entries that have stayed away.
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
		}
	}
}

// expected returns the entries that should be running: those of the table, whose dead rows are taken out within 20 s, or
// the listed ones before the first reading. An entry that died may stay listed for minutes.
func (l *memberLists) expected() []Member {
	if l.table != nil {
		return l.table
	}
	return l.all()
}

// all returns the listed entries, each once.
func (l *memberLists) all() []Member {
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

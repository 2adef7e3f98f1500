package hibiscuscoordination

import (
	"context"
	"log/slog"
	"time"

	"hibiscusrouter/hibiscusstate"
)

// Membership discovers entry processes through the table. Each entry has a row with a heartbeat counter. A reader considers an
// entry dead when the counter has not changed for heartbeatTimeout of the reader's own clock, so no clocks are compared. Rows serve
// discovery only: a session to an entry that is considered dead stays open, and the last read stays in use while the table is down.

const (
	heartbeatInterval = 5 * time.Second
	heartbeatTimeout  = 15 * time.Second
	// agentReadInterval is the interval of an agent's reads while it has sessions, over which it receives member lists.
	// 920 agents x 1 read / 60 s = 15 reads/s.
	agentReadInterval = time.Minute
)

// MemberRow is the row of an entry in the table.
type MemberRow struct {
	member  Member
	version uint64
}

// NewMemberRow returns a row with its version in the table.
func NewMemberRow(member Member, version uint64) MemberRow {
	return MemberRow{member: member, version: version}
}

// Member returns the entry that the row describes.
func (r MemberRow) Member() Member { return r.member }

// Version returns the version of the row in the table, zero for a row that does not exist.
func (r MemberRow) Version() uint64 { return r.version }

// livenessTracker decides which members are alive, by when their counters last changed on this process's clock.
type livenessTracker struct {
	seen       map[hibiscusstate.Incarnation]heartbeat
	readFailed bool
}

type heartbeat struct {
	counter   uint64
	changedAt time.Time
}

// observe updates the tracker from a read of all rows and splits them into live and dead ones.
func (h *livenessTracker) observe(now time.Time, rows []MemberRow) (live, dead []MemberRow) {
	seen := make(map[hibiscusstate.Incarnation]heartbeat, len(rows))
	for _, r := range rows {
		last, ok := h.seen[r.member.incarnation]
		if !ok || h.readFailed || last.counter != r.member.heartbeat {
			last = heartbeat{counter: r.member.heartbeat, changedAt: now}
		}
		seen[r.member.incarnation] = last
		if now.Sub(last.changedAt) < heartbeatTimeout {
			live = append(live, r)
		} else {
			dead = append(dead, r)
		}
	}
	h.seen, h.readFailed = seen, false
	return live, dead
}

// markReadFailed makes the next read restart all timeouts. No counter changes while the table is down, so otherwise every member
// would be considered dead at the end of an outage.
func (h *livenessTracker) markReadFailed() { h.readFailed = true }

// MembershipSeams are the function fields through which a Membership accesses the table.
type MembershipSeams struct {
	list   func(ctx context.Context) ([]MemberRow, error)
	put    func(ctx context.Context, row MemberRow) error
	remove func(ctx context.Context, row MemberRow) error
}

// NewMembershipSeams returns the callbacks: list reads all rows, put writes a row if it still has the given version, and remove
// deletes it if it does.
func NewMembershipSeams(
	list func(ctx context.Context) ([]MemberRow, error),
	put, remove func(ctx context.Context, row MemberRow) error,
) MembershipSeams {
	return MembershipSeams{list: list, put: put, remove: remove}
}

// Membership reads and writes the membership rows of a process.
type Membership struct {
	seams    MembershipSeams
	liveness livenessTracker
	log      *slog.Logger
}

// NewMembership returns the Membership of a process; RunEntry or RunAgent runs it.
func NewMembership(seams MembershipSeams, log *slog.Logger) *Membership {
	return &Membership{seams: seams, log: log}
}

// RunEntry updates the entry's own row, passes the live members to the entry, and removes the rows of dead ones, until ctx is
// done; then it removes its own row.
func (m *Membership) RunEntry(ctx context.Context, e *Entry) {
	var own MemberRow
	for ctx.Err() == nil {
		if row, err := m.updateOwnRow(ctx, e); err == nil {
			own = row
		} else if ctx.Err() == nil {
			m.liveness.markReadFailed()
			m.log.Warn("membership: table does not answer, the last read entries stay in use", "cause", err.Error())
		}
		sleep(ctx, heartbeatInterval)
	}
	m.removeOwnRow(own)
}

// updateOwnRow reads all rows and writes the own one with a higher counter; it returns the own row as read.
func (m *Membership) updateOwnRow(ctx context.Context, e *Entry) (MemberRow, error) {
	rows, err := m.seams.list(ctx)
	if err != nil {
		return MemberRow{}, err
	}
	id := e.identity
	own := NewMemberRow(NewMember(id.incarnation, id.address, id.domain, 0), 0)
	for _, r := range rows {
		if r.member.incarnation == id.incarnation {
			own = r
		}
	}
	live, dead := m.liveness.observe(time.Now(), rows)
	m.removeDead(ctx, id.incarnation, live, dead)
	if err := e.SetMembers(membersOf(live)); err != nil {
		return own, err
	}
	next := NewMember(id.incarnation, id.address, id.domain, own.member.heartbeat+1)
	return own, m.seams.put(ctx, NewMemberRow(next, own.version))
}

// removeDead deletes the rows of dead entries. Only the live entry with the lowest incarnation does so: of twelve deletes of
// the same row, eleven would be conflicts.
func (m *Membership) removeDead(ctx context.Context, own hibiscusstate.Incarnation, live, dead []MemberRow) {
	for _, r := range live {
		if r.member.incarnation < own {
			return
		}
	}
	for _, r := range dead {
		if r.member.incarnation == own {
			continue
		}
		if err := m.seams.remove(ctx, r); err != nil {
			m.log.Warn("membership: row of a dead entry not removed", "address", r.member.address, "cause", err.Error())
			continue
		}
		m.log.Info("membership: row of a dead entry removed", "address", r.member.address)
	}
}

// removeOwnRow removes the own row at a planned stop, so that other processes need not wait for heartbeatTimeout.
func (m *Membership) removeOwnRow(own MemberRow) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	rows, err := m.seams.list(ctx)
	for _, r := range rows {
		if r.member.incarnation == own.member.incarnation {
			err = m.seams.remove(ctx, r)
		}
	}
	if err != nil {
		// Another entry removes the row after heartbeatTimeout.
		m.log.Info("membership: own row not removed", "cause", err.Error())
	}
}

// RunAgent passes the live entries of the table to the agent until ctx is done.
func (m *Membership) RunAgent(ctx context.Context, a *Agent) {
	for ctx.Err() == nil {
		if rows, err := m.seams.list(ctx); err != nil {
			m.liveness.markReadFailed()
		} else {
			live, _ := m.liveness.observe(time.Now(), rows)
			if a.setMembers(membersOf(live)) != nil {
				return
			}
		}
		interval := agentReadInterval
		if !a.connected() {
			// Without a session no member list arrives; random intervals keep 920 agents from reading at the same time.
			interval = heartbeatInterval/2 + randomPart(heartbeatInterval)
		}
		sleep(ctx, interval)
	}
}

func membersOf(rows []MemberRow) []Member {
	members := make([]Member, len(rows))
	for i, r := range rows {
		members[i] = r.member
	}
	return members
}

// SetMembers sets the live entries of the table; they stay valid until the next read, also while the table is down.
func (e *Entry) SetMembers(members []Member) error {
	return e.loop.post(func(time.Time) { e.members.setTable(members) })
}

func (a *Agent) setMembers(members []Member) error {
	return a.loop.post(func(time.Time) { a.members.setTable(members) })
}

func (a *Agent) connected() bool {
	connected, err := runAndWait(a.loop, func(time.Time) bool { return len(a.entries) > 0 })
	return err == nil && connected
}
